//! A running instance: construction of its parts, start and planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::FutureExt;
use futures::future::BoxFuture;
use prometheus::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use xtra::Address;

use crate::claim_route::claim_route;
use crate::claim_shard::ClaimLimits;
use crate::claims::{ClaimObjects, ClaimStore};
use crate::config::Config;
use crate::entry::{Entry, EntryParts};
use crate::entry_metrics::EntryMetrics;
use crate::gossip::{Member, MemberState, Seed};
use crate::holdings::OwnedCells;
use crate::instance_list::follow_instances;
use crate::lease::LeaseTiming;
use crate::link::{self, LinkSettings, Links};
use crate::member::{MemberTiming, Members};
use crate::membership::{
    AddSeeds, EndMembership, KnowRevision, LeaveFleet, Membership, StopMembership,
};
use crate::meter::Traffic;
use crate::moment::{Clock, micros};
use crate::name::{Incarnation, Revision};
use crate::note::Note;
use crate::operator;
use crate::ownership::Ownership;
use crate::peers::{
    StewardDeps, directory, membership_parts, peer_addresses, revision_parts, spread_suspicion,
    steward_parts,
};
use crate::publish::{Acceptance, Known, PublishError, accept};
use crate::revisions::{InForce, keep_revisions};
use crate::route::{Router, carry_totals};
use crate::settings::{Settings, Times};
use crate::status::{InstanceStatus, MemberStatus, OwnerStatus, Readiness, TrafficStatus};
use crate::steward::{DrainCells, LeaseActor, StopLeaseActor};
use crate::store::Store;
use crate::timeline::{Timeline, Topic};

/// Time between checks whether a planned stop is complete.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(100);
/// Time for peers and the balancer to learn that the instance is draining.
const NOTICE_TIME: Duration = Duration::from_secs(1);
/// Capacity of the queue of messages between cells of a service.
const TOTALS_CAPACITY: usize = 256;
/// Time for the last gossip exchanges.
const FINAL_GOSSIP_TIME: Duration = Duration::from_millis(1_200);

/// Error at the start of an instance.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The metrics cannot be registered.
    #[snafu(display("cannot register the metrics"))]
    Metrics {
        /// Error of the registry.
        source: prometheus::Error,
    },
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// Links between instances.
    pub fleet: SocketAddr,
}

/// A running instance. It stops at once when dropped, and cleanly by [`Instance::drain`].
pub struct Instance {
    parts: Parts,
    addresses: Addresses,
    drain: Duration,
    handover: Duration,
    shutdown: watch::Sender<bool>,
    callers: JoinSet<()>,
    tasks: JoinSet<()>,
}

/// State that an instance's tasks share.
#[derive(Clone)]
pub(crate) struct Parts {
    pub(crate) me: Member,
    pub(crate) entry: Entry,
    pub(crate) claims: ClaimStore,
    pub(crate) holdings: OwnedCells,
    pub(crate) membership: Address<Membership>,
    pub(crate) members: watch::Receiver<Arc<Members>>,
    pub(crate) steward: Address<LeaseActor>,
    pub(crate) in_force: InForce,
    pub(crate) links: Links,
    pub(crate) traffic: Traffic,
    pub(crate) store: Store,
    pub(crate) timeline: Timeline,
    pub(crate) registry: Registry,
    draining: Arc<AtomicBool>,
}

impl Instance {
    /// Starts an instance. It is ready once it has a configuration.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address is taken.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let callers = listen(settings.listen.callers).await?;
        let operators = listen(settings.listen.operators).await?;
        let fleet = listen(settings.listen.fleet).await?;
        let addresses = Addresses {
            callers: address(&callers, settings.listen.callers),
            operators: address(&operators, settings.listen.operators),
            fleet: address(&fleet, settings.listen.fleet),
        };
        let (parts, link_settings, background) = wire(&settings, addresses.fleet)?;
        let handlers = parts.handlers();
        let (shutdown, stopping) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(link::serve(fleet, link_settings, handlers));
        for task in background {
            tasks.spawn(task);
        }
        let answer = {
            let parts = parts.clone();
            Arc::new(move |query| parts.clone().answer(query).boxed())
        };
        tasks.spawn(operator::serve(
            operators,
            settings.keys.operator.clone(),
            answer,
            std::future::pending(),
        ));
        let mut serving = JoinSet::new();
        let entry = parts.entry.clone();
        serving.spawn(async move {
            let mut stopping = stopping;
            let stopped = async move {
                stopping.wait_for(|stopping| *stopping).await.ok();
            };
            entry.serve(callers, stopped).await;
        });
        let name = settings.instance.as_str();
        parts.timeline.record(Topic::Process, "started", name, None);
        tracing::info!(instance = name, callers = %addresses.callers, "started");
        seed_members(&settings, &parts.membership).await;
        Ok(Self {
            parts,
            addresses,
            drain: Times::duration(settings.times.drain),
            // The last instance of a fleet has no peer to hand its cells to.
            handover: Times::duration(settings.times.lease) * 2,
            shutdown,
            callers: serving,
            tasks,
        })
    }

    /// Addresses that the instance listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Recent events.
    #[must_use]
    pub fn timeline(&self) -> &Timeline {
        &self.parts.timeline
    }

    /// State of the instance.
    pub async fn status(&self) -> InstanceStatus {
        self.parts.status().await
    }

    /// Waits until the instance takes requests.
    pub async fn ready(&self) {
        let mut config = self.parts.in_force.config();
        config.wait_for(|c| c.revision.0 > 0).await.ok();
    }

    /// Running requests, which an immediate stop would abort.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.parts.entry.running()
    }

    /// A function that returns the present number of [`Self::requests`].
    pub fn request_count(&self) -> impl Fn() -> usize + use<> {
        let entry = self.parts.entry.clone();
        move || entry.running()
    }

    /// Stops gracefully and returns the number of requests that were sent and had no complete
    /// answer when the time ran out.
    ///
    /// The instance first reports not ready, then hands over its cells, completes every answer
    /// and reports the outcomes.
    pub async fn drain(mut self) -> usize {
        let start = Instant::now();
        let parts = &self.parts;
        parts.draining.store(true, Ordering::Relaxed);
        parts.entry.announce_stop(self.drain.max(NOTICE_TIME));
        parts.membership.send(LeaveFleet).await.ok();
        parts.steward.send(DrainCells).await.ok();
        sleep(NOTICE_TIME).await;
        parts.entry.drain();
        parts.entry.close_listener();
        while start.elapsed() < self.drain {
            let is_released = parts.holdings.owned().is_empty() || start.elapsed() > self.handover;
            if parts.entry.running() == 0 && is_released {
                break;
            }
            sleep(DRAIN_POLL_PERIOD).await;
        }
        // Outcomes are in flight to the owners of cells, and the last answers to callers.
        sleep(NOTICE_TIME).await;
        parts.membership.send(EndMembership).await.ok();
        sleep(FINAL_GOSSIP_TIME).await;
        // Idle connections stay open until here, so that a request on one is refused, not lost.
        self.shutdown.send_replace(true);
        timeout(DRAIN_POLL_PERIOD, self.callers.join_next())
            .await
            .ok();
        let cut = parts.entry.cut();
        let unlogged = parts.entry.unlogged();
        let name = parts.me.name.as_str();
        parts.timeline.record(Topic::Process, "stopped", name, None);
        tracing::info!(instance = name, cut, unlogged, "stopped");
        parts.steward.send(StopLeaseActor).await.ok();
        parts.membership.send(StopMembership).await.ok();
        self.callers.shutdown().await;
        self.tasks.shutdown().await;
        cut
    }
}

impl Parts {
    /// Whether the instance takes requests.
    pub(crate) fn readiness(&self) -> Readiness {
        if self.draining.load(Ordering::Relaxed) {
            Readiness::Draining
        } else if self.config().revision.0 == 0 || !self.in_force.is_ready() {
            Readiness::Starting
        } else {
            Readiness::Ready
        }
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.in_force.config().borrow().clone()
    }

    /// Fleet addresses of other instances that have not ended.
    pub(crate) fn peers(&self) -> Vec<SocketAddr> {
        peer_addresses(&self.members.borrow())
    }

    /// Accepts a note and announces its revision.
    pub(crate) async fn accept(&self, note: &Note) -> Result<Acceptance, PublishError> {
        let acceptance = accept(&self.store, note, &mut Known::default()).await?;
        let revision = acceptance.revision;
        self.membership.send(KnowRevision(revision)).await.ok();
        Ok(acceptance)
    }

    pub(crate) async fn status(&self) -> InstanceStatus {
        let (owners, members) = {
            let members = self.members.borrow();
            let owners = members.owners().map(OwnerStatus::from).collect();
            let members = members.all().map(MemberStatus::from).collect();
            (owners, members)
        };
        InstanceStatus {
            instance: self.me.name.clone(),
            centre: self.me.centre.clone(),
            incarnation: self.me.incarnation,
            readiness: self.readiness(),
            revision: self.config().revision,
            requests: self.entry.running(),
            traffic: TrafficStatus {
                sent: self.traffic.sent(),
                received: self.traffic.received(),
            },
            calls: self.store.calls(),
            cells: self.holdings.status().await,
            owners,
            members,
        }
    }
}

/// Background task of an instance.
type Task = BoxFuture<'static, ()>;

/// Builds and connects all parts.
fn wire(
    settings: &Settings,
    fleet: SocketAddr,
) -> Result<(Parts, LinkSettings, Vec<Task>), StartError> {
    let clock = Clock::start();
    let timeline = Timeline::new(settings.instance.clone(), settings.limits.events);
    let traffic = Traffic::default();
    let registry = Registry::new();
    let times = &settings.times;
    let store = Store::new(settings.platform.objects, Times::duration(times.store));
    let me = own_member(settings, fleet);
    let link_settings = LinkSettings {
        own: settings.instance.clone(),
        key: settings.keys.fleet.as_str().into(),
        silence: Times::duration(times.link),
        max_frame: settings.limits.frame_bytes,
        traffic: traffic.clone(),
    };
    let links = Links::new(link_settings.clone());
    let (list, list_out) = watch::channel(None);
    let (applied, applied_out) = watch::channel(Arc::new(Config::default()));
    let (totals, totals_out) = mpsc::channel(TOTALS_CAPACITY);
    let holdings = OwnedCells::new(clock, timeline.clone(), applied_out.clone(), totals);
    let table = Members::new(me.clone(), MemberTiming::default(), me.incarnation.0);
    let parts = membership_parts(&links, list_out, applied_out.clone(), clock, &timeline);
    let (membership, members) = Membership::spawn(table, parts);
    let parts = revision_parts(
        &links,
        &store,
        members.clone(),
        membership.clone(),
        &timeline,
    );
    let in_force = keep_revisions(parts);
    let (changes, changes_out) = mpsc::unbounded_channel();
    let parts = steward_parts(StewardDeps {
        links: &links,
        store: &store,
        holdings: &holdings,
        changes,
        members: members.clone(),
        membership: membership.clone(),
        config: applied_out.clone(),
        clock,
        timeline: &timeline,
    });
    let steward = LeaseActor::spawn(me.holder(), lease_timing(times), parts);
    let directory = directory(&members, applied_out.clone());
    let totals_task = carry_totals(
        directory.clone(),
        links.clone(),
        holdings.clone(),
        totals_out,
    );
    let router = Router::new(directory, links.clone(), holdings.clone());
    let objects = ClaimObjects::from(store.clone());
    let claims = ClaimStore::start(&objects, clock, ClaimLimits::default());
    let claims = claims.with_route(claim_route(&members, &links));
    let entry = Entry::new(EntryParts {
        name: settings.instance.clone(),
        dispatch: router.dispatch(),
        config: applied_out,
        clock,
        timeline: timeline.clone(),
        metrics: EntryMetrics::new(&registry).context(MetricsSnafu)?,
        limits: settings.entry,
        spread: spread_suspicion(&links, &members),
        claims: claims.clone(),
    });
    let ownership = Ownership {
        holdings: holdings.clone(),
        links: links.clone(),
        members: members.clone(),
    };
    let tasks = vec![
        totals_task.boxed(),
        follow_instances(settings.platform.instances, holdings.clone(), list).boxed(),
        configure(in_force.config(), applied, holdings.clone()).boxed(),
        holdings.clone().measure_delays().boxed(),
        ownership.clone().watch_entries().boxed(),
        ownership
            .apply_changes(changes_out, steward.clone())
            .boxed(),
    ];
    let parts = Parts {
        me,
        entry,
        claims,
        holdings,
        membership,
        members,
        steward,
        in_force,
        links,
        traffic,
        store,
        timeline,
        registry,
        draining: Arc::default(),
    };
    Ok((parts, link_settings, tasks))
}

/// Applies each revision, to the owned cells first and then at the entry.
async fn configure(
    mut in_force: watch::Receiver<Arc<Config>>,
    applied: watch::Sender<Arc<Config>>,
    holdings: OwnedCells,
) {
    loop {
        let config = in_force.borrow_and_update().clone();
        holdings.configure(&config).await;
        applied.send_replace(config);
        if in_force.changed().await.is_err() {
            return;
        }
    }
}

fn own_member(settings: &Settings, fleet: SocketAddr) -> Member {
    let start = SystemTime::now().duration_since(UNIX_EPOCH);
    Member {
        name: settings.instance.clone(),
        address: fleet,
        centre: settings.centre.clone(),
        incarnation: Incarnation(start.map_or(1, micros)),
        count: 0,
        state: MemberState::Live,
        revision: Revision::default(),
    }
}

/// Lease timing in proportion to its length.
fn lease_timing(times: &Times) -> LeaseTiming {
    let length = Times::duration(times.lease);
    LeaseTiming {
        length,
        renew: length * 3 / 10,
        loan: length * 4 / 10,
        borrow: length / 10,
        margin: length / 10,
    }
}

/// Passes the settings' addresses to the membership.
async fn seed_members(settings: &Settings, membership: &Address<Membership>) {
    let seeds = settings.seeds.iter().map(|peer| Seed {
        name: Some(peer.instance.clone()),
        address: peer.address,
        leaving: false,
    });
    membership.send(AddSeeds(seeds.collect())).await.ok();
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// The bound address, which differs from `asked` where the settings leave the port open.
fn address(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}
