//! An instance of the fleet with the real entry and claims, and faulty ways to everything else.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelstand::{
    CellId, ClaimBook, ClaimLimits, ClaimObjects, Clock, Dispatch, Entry, EntryLimits,
    EntryMetrics, EntryParts, Epoch, Grant, InstanceName, Offer, Refusal, Reply, Timeline,
    WriteEnd,
};
use futures::FutureExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::plan::Step;
use crate::world::{Act, Node, World};

/// Time that a refused caller or dispatcher waits.
const RETRY: Duration = Duration::from_secs(1);

fn entry_limits() -> EntryLimits {
    EntryLimits {
        body_ms: 1_000,
        replay_bytes: 8,
        first_ms: 2_000,
        idle_ms: 1_000,
        deadline_ms: 5_000,
        ..EntryLimits::default()
    }
}

fn claim_limits() -> ClaimLimits {
    ClaimLimits {
        shards: 1,
        gap: Duration::from_millis(5),
        patience: Duration::from_secs(1),
        window: Duration::from_secs(30),
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
        claims: ClaimBook::start(&objects(world, node), clock, claim_limits()),
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
            let world = reports.clone();
            if report.phase.is_ended() {
                tokio::spawn(async move { world.reach(Step::Reported, node).await });
            }
        }),
        pick: Arc::new(|service| {
            let service = service.clone();
            Some(CellId { service, index: 0 })
        }),
    }
}

/// Grants the endpoint of the instance, if the configuration has it.
async fn grant(world: Arc<World>, node: Node, offer: Offer) -> Reply {
    world.alive_or_stuck(node).await;
    pass(world.reach(Step::Queued, node).await).await?;
    let name = endpoint_name(node);
    let known = world.config.borrow().endpoints.contains_key(name);
    if !known || offer.avoid.iter().any(|e| e.as_str() == name) {
        return Err(Refusal::NoEndpoint { retry: RETRY });
    }
    let mut grant = Grant {
        attempt: offer.attempt,
        endpoint: name.into(),
        cell: offer.cell,
        epoch: Epoch(1),
        charged: 10,
    };
    let act = pass(world.reach(Step::Granted, node).await).await?;
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
    Ok(grant)
}

async fn pass(act: Act) -> Result<Act, Refusal> {
    match act {
        Act::Cut => Err(Refusal::NotOwner(None)),
        Act::Silent => std::future::pending().await,
        act => Ok(act),
    }
}

pub(crate) fn endpoint_name(node: Node) -> &'static str {
    match node {
        Node::A => "for-a",
        Node::B => "for-b",
    }
}

fn objects(world: &Arc<World>, node: Node) -> ClaimObjects {
    let inner = world.store.objects();
    let (reader, get) = (world.clone(), inner.get);
    let (writer, put) = (world.clone(), inner.put);
    ClaimObjects {
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
async fn write<F: Future<Output = WriteEnd>>(act: Act, put: impl Fn() -> F) -> WriteEnd {
    match act {
        Act::Cut => WriteEnd::NotWritten,
        Act::Silent => {
            put().await;
            sleep(Duration::from_millis(200)).await;
            WriteEnd::Unknown
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
