//! One running instance: all parts wired together, from start to planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::FutureExt;
use futures::future::join_all;
use prometheus::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use xtra::Address;

use crate::agent::{Agent, AgentParts, Farewell, Leave, Listed, News};
use crate::claim_shard::ClaimLimits;
use crate::claims::{ClaimBook, ClaimObjects};
use crate::config::Config;
use crate::containment::SpreadCall;
use crate::entry::{Entry, EntryParts};
use crate::entry_metrics::EntryMetrics;
use crate::gossip::{Member, MemberState, Seed};
use crate::holdings::Holdings;
use crate::lease::LeaseTiming;
use crate::link::{self, LinkSettings, Links};
use crate::meter::Traffic;
use crate::moment::{Clock, micros};
use crate::name::{Incarnation, InstanceName, Revision};
use crate::operator;
use crate::platform;
use crate::publish::Known;
use crate::route::{Directory, Router};
use crate::settings::{Settings, Times};
use crate::status::{InstanceStatus, MemberStatus, OwnerStatus, Readiness, TrafficStatus};
use crate::store::Store;
use crate::timeline::{Timeline, Topic};
use crate::updater::Updater;
use crate::view::FleetView;

/// Time between two looks at whether a planned stop has come to its end.
const DRAIN_PAUSE: Duration = Duration::from_millis(100);
/// Time in which peers and the balancer hear that the instance takes no more requests.
const NOTICE: Duration = Duration::from_secs(1);
/// Time for a peer's answer about a suspect request.
const SPREAD_WAIT: Duration = Duration::from_millis(500);
/// Time for the last exchanges of gossip.
const FAREWELL: Duration = Duration::from_millis(500);

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

/// What the tasks of an instance share.
#[derive(Clone)]
pub(crate) struct Parts {
    pub(crate) me: Member,
    pub(crate) entry: Entry,
    pub(crate) holdings: Holdings,
    pub(crate) agent: Address<Agent>,
    pub(crate) view: FleetView,
    pub(crate) updater: Updater,
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
        let (news, news_out) = watch::channel(News::default());
        let (parts, link_settings) = wire(&settings, addresses.fleet, news)?;
        let handlers = parts.handlers();
        let (shutdown, stopping) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(link::serve(fleet, link_settings, handlers));
        tasks.spawn(parts.updater.clone().run(news_out));
        tasks.spawn(platform::follow_instances(
            settings.platform.instances,
            parts.agent.clone(),
            parts.holdings.clone(),
            parts.updater.config.subscribe(),
        ));
        let answerer = {
            let parts = parts.clone();
            Arc::new(move |query| parts.clone().answer(query).boxed())
        };
        tasks.spawn(operator::serve(
            operators,
            settings.keys.operator.clone(),
            answerer,
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
        seed_members(&settings, &parts.agent).await;
        Ok(Self {
            parts,
            addresses,
            drain: Times::duration(settings.times.drain),
            // The last instance of a fleet has nobody to hand its cells to.
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

    /// The ring of events.
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
        let mut config = self.parts.updater.config.subscribe();
        config.wait_for(|c| c.revision.0 > 0).await.ok();
    }

    /// Requests of callers that would be cut by a stop at once.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.parts.entry.running()
    }

    /// A call that tells how many requests of callers would be cut by a stop at once.
    pub fn request_count(&self) -> impl Fn() -> usize + use<> {
        let entry = self.parts.entry.clone();
        move || entry.running()
    }

    /// Stops without cutting a request and tells how many were cut when the time ran out.
    ///
    /// The instance is not ready first, then hands its cells over, lets every answer end and
    /// reports the outcomes.
    pub async fn drain(mut self) -> usize {
        let start = Instant::now();
        let parts = &self.parts;
        parts.draining.store(true, Ordering::Relaxed);
        parts.agent.send(Leave).await.ok();
        sleep(NOTICE).await;
        parts.entry.drain();
        self.shutdown.send_replace(true);
        while start.elapsed() < self.drain {
            let is_free = parts.holdings.owned().is_empty() || start.elapsed() > self.handover;
            if parts.entry.running() == 0 && is_free {
                break;
            }
            sleep(DRAIN_PAUSE).await;
        }
        let cut = parts.entry.running();
        // Outcomes are on their way to the owners of cells.
        sleep(NOTICE).await;
        parts.agent.send(Farewell).await.ok();
        sleep(FAREWELL).await;
        let name = parts.me.name.as_str();
        parts.timeline.record(Topic::Process, "stopped", name, None);
        tracing::info!(instance = name, cut, "stopped");
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
        } else if self.updater.config.borrow().revision.0 == 0 {
            Readiness::Starting
        } else {
            Readiness::Ready
        }
    }

    pub(crate) async fn status(&self) -> InstanceStatus {
        let revision = self.updater.config.borrow().revision;
        let owners = self.view.cells().into_iter().map(|claim| OwnerStatus {
            cell: claim.cell,
            owner: claim.owner,
            epoch: claim.epoch,
        });
        let members = self.view.members().into_iter().map(|member| MemberStatus {
            instance: member.name,
            state: member.state.to_string(),
            revision: member.revision,
        });
        InstanceStatus {
            instance: self.me.name.clone(),
            centre: self.me.centre.clone(),
            incarnation: self.me.incarnation,
            readiness: self.readiness(),
            revision,
            requests: self.entry.running(),
            traffic: TrafficStatus {
                sent: self.traffic.sent(),
                received: self.traffic.received(),
            },
            calls: self.store.calls(),
            cells: self.holdings.status().await,
            owners: owners.collect(),
            members: members.collect(),
        }
    }
}

/// Builds all parts around each other.
fn wire(
    settings: &Settings,
    fleet: SocketAddr,
    news: watch::Sender<News>,
) -> Result<(Parts, LinkSettings), StartError> {
    let clock = Clock::start();
    let timeline = Timeline::new(settings.instance.clone(), settings.limits.events);
    let traffic = Traffic::default();
    let registry = Registry::new();
    let store = Store::new(
        settings.platform.objects,
        Times::duration(settings.times.store),
    );
    let me = own_member(settings, fleet);
    let (config, config_out) = watch::channel(Arc::new(Config::default()));
    let link_settings = LinkSettings {
        own: settings.instance.clone(),
        key: settings.keys.fleet.as_str().into(),
        silence: Times::duration(settings.times.link),
        frame: settings.limits.frame_bytes,
        traffic: traffic.clone(),
    };
    let links = Links::new(link_settings.clone());
    let holdings = Holdings::new(clock, timeline.clone(), config_out.clone());
    let view = FleetView::default();
    let agent = Agent::spawn(AgentParts {
        me: me.clone(),
        seed: me.incarnation.0,
        lease: lease_timing(&settings.times),
        clock,
        timeline: timeline.clone(),
        links: links.clone(),
        store: store.clone(),
        holdings: holdings.clone(),
        view: view.clone(),
        news,
    });
    let updater = Updater {
        own: settings.instance.clone(),
        store: store.clone(),
        links: links.clone(),
        view: view.clone(),
        agent: agent.clone(),
        timeline: timeline.clone(),
        config,
        known: Arc::new(tokio::sync::Mutex::new(Known::default())),
        trail: Arc::default(),
    };
    let directory = directory(settings, &view, config_out.clone());
    let router = Router::new(directory, links.clone(), holdings.clone());
    let objects = ClaimObjects::from(store.clone());
    let entry = Entry::new(EntryParts {
        name: settings.instance.clone(),
        dispatch: router.dispatch(),
        config: config_out,
        clock,
        timeline: timeline.clone(),
        metrics: EntryMetrics::new(&registry).context(MetricsSnafu)?,
        limits: settings.entry,
        spread: spread(&settings.instance, &view, &links),
        claims: ClaimBook::start(&objects, clock, ClaimLimits::default()),
    });
    let parts = Parts {
        me,
        entry,
        holdings,
        agent,
        view,
        updater,
        links,
        traffic,
        store,
        timeline,
        registry,
        draining: Arc::default(),
    };
    Ok((parts, link_settings))
}

fn directory(
    settings: &Settings,
    view: &FleetView,
    config: watch::Receiver<Arc<Config>>,
) -> Directory {
    let (owners, peers, delays) = (view.clone(), view.clone(), view.clone());
    Directory {
        own: settings.instance.clone(),
        owner: Arc::new(move |cell| owners.owner(cell)),
        peer: Arc::new(move |instance| peers.address(instance)),
        delay: Arc::new(move |cell| delays.delay(cell)),
        config,
    }
}

/// The call that tells all peers of a suspect request.
fn spread(own: &InstanceName, view: &FleetView, links: &Links) -> SpreadCall {
    let (own, view, links) = (own.clone(), view.clone(), links.clone());
    Arc::new(move |suspicion| {
        let asked = view.peers_of(&own).into_iter().map(|peer| {
            let (links, suspicion) = (links.clone(), suspicion.clone());
            async move {
                let answer = links.call(peer.address, SPREAD_WAIT, |client, context| async move {
                    client.suspect(context, suspicion).await
                });
                answer.await.ok().flatten()
            }
        });
        join_all(asked.collect::<Vec<_>>())
            .map(|answers| answers.into_iter().flatten().collect())
            .boxed()
    })
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

/// The lease's times in proportion to its length.
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

/// Tells the membership the addresses in the settings.
async fn seed_members(settings: &Settings, agent: &Address<Agent>) {
    let seeds = settings.seeds.iter().map(|peer| Seed {
        name: Some(peer.instance.clone()),
        address: peer.address,
        leaving: false,
    });
    let listed = Listed {
        seeds: seeds.collect(),
        is_complete: false,
    };
    agent.send(listed).await.ok();
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// The address that a listener got, which differs where the settings leave the port open.
fn address(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}
