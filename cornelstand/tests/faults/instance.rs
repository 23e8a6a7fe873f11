//! An instance of the fleet with the real entry and claims, and faulty ways to everything else.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelstand::{
    AttemptId, CellId, ClaimLimits, ClaimObjects, ClaimStore, Clock, Dispatch, Dispatcher, Entry,
    EntryLimits, EntryMetrics, EntryParts, InstanceName, Offer, Reply, Report, SendReports,
    SubmitOffer, Timeline, Withdraw, WriteResult,
};
use futures::FutureExt;
use tokio::net::TcpListener;
use tokio::time::sleep;
use xtra::Address;

use crate::plan::Step;
use crate::world::{Act, Node, World};

/// Time after which a lost message to the dispatcher is sent again.
const RESEND: Duration = Duration::from_millis(100);

fn entry_limits() -> EntryLimits {
    EntryLimits {
        body_ms: 1_000,
        replay_bytes: 8,
        first_ms: 2_000,
        idle_ms: 1_000,
        deadline_ms: 20_000,
        ..EntryLimits::default()
    }
}

fn claim_limits() -> ClaimLimits {
    ClaimLimits {
        shards: 1,
        gap: Duration::from_millis(5),
        begin_timeout: Duration::from_secs(1),
        send_window: Duration::from_secs(10),
        ..ClaimLimits::default()
    }
}

/// Starts an instance and returns the address for callers.
pub(crate) async fn start(world: &Arc<World>, node: Node) -> SocketAddr {
    let name = InstanceName::from(if node == Node::A { "a" } else { "b" });
    let clock = Clock::start();
    let entry = Entry::new(EntryParts {
        name: name.clone(),
        dispatch: dispatch(world, node),
        claims: ClaimStore::start(&objects(world, node), clock, claim_limits()),
        spread: Arc::new(|_| async { Vec::new() }.boxed()),
        config: world.config.subscribe(),
        clock,
        timeline: Timeline::new(name, 100),
        metrics: EntryMetrics::new(&prometheus::Registry::new()).unwrap(),
        limits: entry_limits(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { entry.serve(listener, std::future::pending()).await });
    address
}

fn dispatch(world: &Arc<World>, node: Node) -> Dispatch {
    let (offers, reports) = (world.clone(), world.clone());
    Dispatch {
        offer: Arc::new(move |offer| grant(offers.clone(), node, offer).boxed()),
        report: Arc::new(move |report| {
            tokio::spawn(tell(reports.clone(), node, report));
        }),
        pick: Arc::new(|service| {
            let service = service.clone();
            Some(CellId { service, index: 0 })
        }),
    }
}

/// Takes an offer back that nobody waits for any more.
struct Waiting<'a> {
    cell: &'a Address<Dispatcher>,
    attempt: Option<AttemptId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt {
            let cell = self.cell.clone();
            tokio::spawn(async move { cell.send(Withdraw(attempt)).await });
        }
    }
}

/// Offers a request to the real dispatcher over a link that may fail, as often as it takes.
async fn grant(world: Arc<World>, node: Node, offer: Offer) -> Reply {
    world.alive_or_stuck(node).await;
    let attempt = offer.attempt;
    world.nodes.lock().unwrap().insert(attempt.request, node);
    let cell = world.cell();
    let mut waiting = Waiting {
        cell: &cell,
        attempt: Some(attempt),
    };
    lost(world.reach(Step::Queued, node).await).await;
    let grant = ask(&world, &cell, &offer).await?;
    let act = world.reach(Step::Granted, node).await;
    lost(act).await;
    let mut grant = match act {
        Act::Cut | Act::Silent | Act::Repeat => ask(&world, &cell, &offer).await?,
        _ => grant,
    };
    if act == Act::Cross {
        grant.attempt.request.0 ^= 1;
    }
    match world.reach(Step::Connecting, node).await {
        Act::Cut => {
            world.refusals.send_modify(|r| *r += 1);
            sleep(Duration::from_millis(1)).await;
        }
        Act::Silent => *world.mute.lock().unwrap() = true,
        _ => {}
    }
    world.alive_or_stuck(node).await;
    waiting.attempt = None;
    Ok(grant)
}

async fn ask(world: &World, cell: &Address<Dispatcher>, offer: &Offer) -> Reply {
    let reply = cell.send(SubmitOffer(offer.clone())).await.unwrap();
    if world.is_repeating() {
        // The copy replaces the one who waits, as a sender's second try does.
        let again = cell.send(SubmitOffer(offer.clone())).await.unwrap();
        drop(reply);
        return again.await.unwrap();
    }
    reply.await.unwrap()
}

/// Reports to the dispatcher until the report is received.
async fn tell(world: Arc<World>, node: Node, report: Report) {
    world.alive_or_stuck(node).await;
    if report.phase.is_ended() {
        let act = world.reach(Step::Reported, node).await;
        lost(act).await;
        if act == Act::Repeat {
            drop(world.cell().send(SendReports(vec![report.clone()])).await);
        }
    }
    world.alive_or_stuck(node).await;
    drop(world.cell().send(SendReports(vec![report])).await);
}

/// Waits until a lost message is sent again.
async fn lost(act: Act) {
    match act {
        Act::Cut => sleep(RESEND).await,
        Act::Silent => sleep(RESEND * 10).await,
        _ => {}
    }
}

fn objects(world: &Arc<World>, node: Node) -> ClaimObjects {
    let inner = world.store.objects();
    let (reader, get) = (world.clone(), inner.get);
    let (writer, put) = (world.clone(), inner.put);
    ClaimObjects {
        delete: inner.delete,
        get: Arc::new(move |name| {
            let world = reader.clone();
            let read = get(name);
            async move {
                world.alive_or_stuck(node).await;
                read.await
            }
            .boxed()
        }),
        put: Arc::new(move |name, condition, value| {
            let (world, put, name) = (writer.clone(), put.clone(), name.to_owned());
            async move {
                world.alive_or_stuck(node).await;
                let step = claim_step(&value);
                let act = match step {
                    Some(step) => world.reach(step, node).await,
                    None => Act::Go,
                };
                let end = write(act, || put(&name, condition, value.clone())).await;
                world.alive_or_stuck(node).await;
                end
            }
            .boxed()
        }),
    }
}

/// Writes a claim object over a link that may fail.
async fn write<F: Future<Output = WriteResult>>(act: Act, put: impl Fn() -> F) -> WriteResult {
    match act {
        Act::Cut => WriteResult::NotWritten,
        Act::Silent => {
            put().await;
            sleep(Duration::from_millis(200)).await;
            WriteResult::Unknown
        }
        Act::Repeat => {
            let end = put().await;
            put().await;
            end
        }
        _ => put().await,
    }
}

/// The step that a write of a claim object belongs to.
fn claim_step(value: &str) -> Option<Step> {
    if value.contains("\"recorded\"") {
        Some(Step::Recorded)
    } else if value.contains("\"open\"") {
        Some(Step::Claimed)
    } else {
        None
    }
}
