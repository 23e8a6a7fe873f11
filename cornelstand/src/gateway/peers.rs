//! State of the peers of an instance, from the heartbeats that instances exchange.
//!
//! A heartbeat carries the whole state that the sender shares, so that a lost one costs only
//! freshness. Peers are found in the platform's store and by the heartbeats they send. In a small
//! fleet heartbeats go to all. In a larger one they stay in their data centre, and its leader sends
//! their sum to the other data centres as a digest, which is forwarded there: so the messages per
//! instance grow with its data centre and not with the fleet.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::admission::{Demand, merge_demands};
use crate::gateway::directory::{EndpointRecord, ViewVersions};
use crate::gateway::endpoint_state::Load;
use crate::gateway::number::{to_f32, to_f64, to_u64};
use crate::gateway::residency::{Resident, join_residents};
use crate::gateway::settings::GatewaySettings;
use crate::gateway::suspicion_news::CrashNews;
use crate::moment::Moment;
use crate::name::{AccountName, CentreName, InstanceName, ServiceName};

/// Time without heartbeats after which the load of a peer no longer counts: its connections are
/// closed or their requests have ended.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without heartbeats after which a peer is removed.
const PEER_RETENTION: Duration = Duration::from_mins(1);

/// Instances of a data centre that watch the store in a large fleet.
const STORE_WATCHERS: usize = 2;

/// Number of peers from which data centres exchange digests: with fewer, heartbeats to all cost
/// less.
const LARGE_FLEET_PEERS: usize = 12;

/// State that an instance shares with its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Heartbeat {
    pub(crate) instance: InstanceName,
    pub(crate) centre: CentreName,
    /// Processor cores of the sender.
    pub(crate) cores: f32,
    /// Requests per second at the sender.
    pub(crate) activity: f32,
    /// Start of the sender's process.
    pub(crate) incarnation: u64,
    pub(crate) number: u64,
    /// Time for which the store has answered the sender, if it does.
    pub(crate) store_time: Option<Duration>,
    /// Whether the sender's calls to the store failed recently.
    pub(crate) store_lost: bool,
    /// Versions of the sender's endpoints and evacuations.
    #[serde(rename = "marks")]
    pub(crate) versions: ViewVersions,
    /// Address that serves the sender's directory snapshot.
    pub(crate) beliefs: SocketAddr,
    /// Version of the configuration in force at the sender.
    pub(crate) version: u64,
    pub(crate) stopping: bool,
    pub(crate) loads: Vec<PeerLoad>,
    #[serde(rename = "attained")]
    pub(crate) attained_service: Vec<(AccountName, f32)>,
    /// Demand of accounts at the sender, by service.
    #[serde(rename = "wanting")]
    pub(crate) demands: Vec<(ServiceName, Vec<Demand>)>,
    /// Longest token intervals at which long answers still end in time, in milliseconds, as seen at
    /// the sender, by service.
    pub(crate) token_times: Vec<(ServiceName, f32)>,
    #[serde(rename = "news")]
    pub(crate) updates: Updates,
}

/// Updates that the receivers keep, in contrast to the sender's current state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Updates {
    pub(crate) crashes: CrashNews,
    /// Endpoints that recently announced that they leave, by [`endpoint_key`].
    pub(crate) leaving: Vec<u32>,
    /// Parts of prompts that engines recently cached.
    pub(crate) residents: Vec<Resident>,
}

/// Load that an instance put on one endpoint.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PeerLoad {
    /// See [`endpoint_key`].
    pub(crate) endpoint: u32,
    pub(crate) running: u32,
    pub(crate) waiting: f32,
    pub(crate) memory: f32,
    pub(crate) token_time: f32,
}

impl PeerLoad {
    pub(crate) fn new(endpoint: u32, load: Load) -> Self {
        Self {
            endpoint,
            running: load.running,
            waiting: to_f32(load.unread_tokens),
            memory: to_f32(load.memory),
            token_time: to_f32(load.token_time),
        }
    }
}

/// Hash that identifies one lifetime of an endpoint.
pub(crate) fn endpoint_key(record: &EndpointRecord) -> u32 {
    let name = record.name.as_str().as_bytes();
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name, record.started_at);
    u32::try_from(hash >> 32).unwrap_or_default()
}

/// Combined state of the instances of a data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Digest {
    pub(crate) centre: CentreName,
    /// Start of the sender's process, and a count of its digests.
    pub(crate) order: (u64, u64),
    /// Peer address of the sender; the datagram may come from an instance that forwarded it.
    pub(crate) sender: SocketAddr,
    /// Address that serves the sender's directory snapshot.
    pub(crate) beliefs: SocketAddr,
    /// Version of the configuration in force at the sender.
    pub(crate) version: u64,
    pub(crate) members: usize,
    pub(crate) loads: Vec<PeerLoad>,
    #[serde(rename = "attained")]
    pub(crate) attained_service: Vec<(AccountName, f32)>,
    #[serde(rename = "wanting")]
    pub(crate) demands: Vec<(ServiceName, Vec<Demand>)>,
    #[serde(rename = "news")]
    pub(crate) updates: Updates,
}

/// A message between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Message {
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    Digest(Digest),
    /// Evidence of crashes that all peers need before a caller can retry.
    Alarm(CrashNews),
}

impl Message {
    /// Whether all estimates are in the range that calculations with them require. Differences may
    /// be slightly below zero.
    pub(crate) fn is_sound(&self) -> bool {
        let is_estimate = f32::is_finite;
        let are_loads = |loads: &[PeerLoad]| {
            let mut values = loads
                .iter()
                .flat_map(|l| [l.waiting, l.memory, l.token_time]);
            values.all(is_estimate)
        };
        let are_accounts = |attained: &[(AccountName, f32)]| {
            let mut values = attained.iter().map(|(_, value)| *value);
            values.all(is_estimate)
        };
        let are_demands = |demands: &[(ServiceName, Vec<Demand>)]| {
            let demands = demands.iter().flat_map(|(_, demands)| demands);
            let mut values = demands.flat_map(|d| [d.attained_service, d.tokens]);
            values.all(is_estimate)
        };
        match self {
            Self::Heartbeat(heartbeat) => {
                let times = heartbeat.token_times.iter().map(|(_, time)| *time);
                let mut values = times.chain([heartbeat.cores, heartbeat.activity]);
                values.all(is_estimate)
                    && heartbeat.activity >= 0.0
                    && are_loads(&heartbeat.loads)
                    && are_accounts(&heartbeat.attained_service)
                    && are_demands(&heartbeat.demands)
            }
            Self::Digest(digest) => {
                are_loads(&digest.loads)
                    && are_accounts(&digest.attained_service)
                    && are_demands(&digest.demands)
            }
            Self::Alarm(_) => true,
        }
    }
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    centre: CentreName,
    cores: f32,
    last_heard: Option<Moment>,
    /// Since when it has been heard without a silence.
    heard_since: Moment,
    heartbeat: Option<Heartbeat>,
}

impl Peer {
    fn is_live(&self, now: Moment) -> bool {
        self.last_heard
            .is_some_and(|h| now.since(h) < SILENCE_TIMEOUT)
    }
}

/// All known peers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<InstanceName, Peer>,
    centres: HashMap<CentreName, (Moment, Digest)>,
}

/// Rank of an instance for leader election; the highest leads its data centre.
type Rank = (u64, u64);

fn rank(name: &InstanceName, cores: f32) -> Rank {
    // Whole hundredths, because floats have no total order.
    let cores = to_u64(f64::from(cores) * 100.0);
    (cores, xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()))
}

impl Peers {
    /// Adds an instance that the store lists.
    pub(crate) fn list(
        &mut self,
        name: InstanceName,
        address: SocketAddr,
        centre: CentreName,
        cores: f32,
    ) {
        let peer = self.peers.entry(name);
        peer.or_insert(Peer {
            address,
            centre,
            cores,
            last_heard: None,
            heard_since: Moment::default(),
            heartbeat: None,
        });
    }

    /// Records a heartbeat. Returns whether its sender was silent before.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Moment,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> bool {
        let peer = self
            .peers
            .entry(heartbeat.instance.clone())
            .or_insert(Peer {
                address,
                centre: heartbeat.centre.clone(),
                cores: heartbeat.cores,
                last_heard: None,
                heard_since: now,
                heartbeat: None,
            });
        let order = |b: &Heartbeat| (b.incarnation, b.number);
        if peer
            .heartbeat
            .as_ref()
            .is_some_and(|b| order(b) >= order(&heartbeat))
        {
            return false;
        }
        let was_silent = peer
            .last_heard
            .is_none_or(|h| now.since(h) >= SILENCE_TIMEOUT);
        if was_silent {
            peer.heard_since = now;
        }
        peer.address = address;
        peer.cores = heartbeat.cores;
        peer.last_heard = Some(now);
        peer.heartbeat = Some(heartbeat);
        was_silent
    }

    /// Records a digest. Returns whether it is newer than the last one of its data centre.
    pub(crate) fn record_digest(&mut self, now: Moment, digest: Digest) -> bool {
        let last = self.centres.get(&digest.centre);
        let is_old = |(heard, last): &(Moment, Digest)| {
            last.order >= digest.order && now.since(*heard) < SILENCE_TIMEOUT
        };
        if last.is_some_and(is_old) {
            return false;
        }
        self.centres.insert(digest.centre.clone(), (now, digest));
        true
    }

    /// Whether the fleet is so large that data centres exchange digests.
    pub(crate) fn is_large(&self) -> bool {
        self.peers.len() >= LARGE_FLEET_PEERS
    }

    /// Whether the instance with `settings` leads its data centre.
    pub(crate) fn is_leader(&self, now: Moment, settings: &GatewaySettings, is_lost: bool) -> bool {
        !self.is_large() || self.count_higher_ranked(now, settings, is_lost) == 0
    }

    /// Whether the instance with `settings` watches the store.
    pub(crate) fn watches_store(
        &self,
        now: Moment,
        settings: &GatewaySettings,
        is_lost: bool,
    ) -> bool {
        !self.is_large() || self.count_higher_ranked(now, settings, is_lost) < STORE_WATCHERS
    }

    /// Position among the instances of the same data centre that call the store.
    pub(crate) fn store_rank(
        &self,
        now: Moment,
        settings: &GatewaySettings,
        is_lost: bool,
    ) -> usize {
        self.count_higher_ranked(now, settings, is_lost)
    }

    /// Number of instances of the same data centre that rank higher. Those whose store calls failed
    /// rank last, in the same order: so the others try it in turn, and during an outage no more ask
    /// it than normally.
    fn count_higher_ranked(&self, now: Moment, settings: &GatewaySettings, is_lost: bool) -> usize {
        let own = (!is_lost, rank(&settings.instance, settings.cores));
        let neighbours = self.live(now).filter(|b| b.centre == settings.centre);
        let fit = neighbours.filter(|b| !b.stopping);
        let keys = fit.map(|b| (!b.store_lost, rank(&b.instance, b.cores)));
        keys.filter(|key| *key > own).count()
    }

    /// Longest time for which the store has answered a live peer. Peers outside of `centre` count
    /// for as long as they have been heard: while that data centre is cut off from others, entries
    /// of its endpoints lapse although the store answers the others.
    pub(crate) fn store_time(&self, now: Moment, centre: &CentreName) -> Option<Duration> {
        let store_time = |peer: &Peer| {
            let heartbeat = peer.heartbeat.as_ref()?;
            let time = heartbeat.store_time?;
            if heartbeat.centre == *centre {
                return Some(time);
            }
            let heard = now.since(peer.heard_since);
            (!heard.is_zero()).then_some(time.min(heard))
        };
        let live = self.peers.values().filter(|p| p.is_live(now));
        live.filter_map(store_time).max()
    }

    /// Builds the digest of a data centre with this number from the heartbeats of its live
    /// instances and the `own` one of `sender`.
    pub(crate) fn digest(
        &self,
        now: Moment,
        own: &Heartbeat,
        number: u64,
        sender: SocketAddr,
    ) -> Digest {
        let neighbours = self.live(now).filter(|b| b.centre == own.centre);
        let heartbeats: Vec<&Heartbeat> = neighbours.chain([own]).collect();
        let loads = sum_loads(heartbeats.iter().flat_map(|b| &b.loads));
        let attained_service = sum_attained(heartbeats.iter().flat_map(|b| &b.attained_service));
        let demands = collect_demands(heartbeats.iter().flat_map(|b| &b.demands));
        let members = self.peers.values().filter(|p| p.centre == own.centre);
        Digest {
            members: members.count() + 1,
            loads: loads
                .into_iter()
                .map(|(key, load)| PeerLoad::new(key, load))
                .collect(),
            attained_service: attained_service
                .into_iter()
                .map(|(a, sum)| (a, to_f32(sum)))
                .collect(),
            demands: demands
                .into_iter()
                .map(|(s, demands)| (s, merge_demands(demands)))
                .collect(),
            updates: Updates {
                crashes: own.updates.crashes.clone(),
                leaving: own.updates.leaving.clone(),
                residents: join_residents(heartbeats.iter().flat_map(|b| &b.updates.residents)),
            },
            order: (own.incarnation, number),
            sender,
            beliefs: own.beliefs,
            version: own.version,
            centre: own.centre.clone(),
        }
    }

    /// Instances to which the leader of `centre` sends the digest `number`, one per other data
    /// centre: alternately the leader whose digests arrive and the one ranked second, or, while no
    /// digests arrive, each instance there in turn.
    pub(crate) fn digest_targets(
        &self,
        now: Moment,
        centre: &CentreName,
        number: u64,
    ) -> Vec<SocketAddr> {
        let mut others: HashMap<&CentreName, Vec<(Rank, SocketAddr)>> = HashMap::new();
        for (name, peer) in self.peers.iter().filter(|(_, p)| p.centre != *centre) {
            let ranked = others.entry(&peer.centre).or_default();
            ranked.push((rank(name, peer.cores), peer.address));
        }
        let pick = |(other, mut ranked): (&CentreName, Vec<(Rank, SocketAddr)>)| {
            ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
            let digest = self.fresh_digests(now, centre).find(|d| d.centre == *other);
            let count = u64::try_from(ranked.len()).unwrap_or(u64::MAX);
            let position = match digest {
                Some(digest) if number.is_multiple_of(2) => return Some(digest.sender),
                Some(_) => 1.min(count - 1),
                None => number % count,
            };
            let (_, address) = ranked.get(usize::try_from(position).ok()?)?;
            Some(*address)
        };
        others.into_iter().filter_map(pick).collect()
    }

    /// When an instance of a data centre, or a digest of it, was last heard.
    pub(crate) fn centre_heard(&self, centre: &CentreName) -> Option<Moment> {
        let members = self.peers.values().filter(|p| p.centre == *centre);
        let heard = members.filter_map(|p| p.last_heard);
        let digest = self.centres.get(centre).map(|(heard, _)| *heard);
        heard.chain(digest).max()
    }

    /// Addresses to which heartbeats are sent.
    pub(crate) fn heartbeat_targets(&self, centre: &CentreName) -> Vec<SocketAddr> {
        let is_large = self.is_large();
        let neighbours = self
            .peers
            .values()
            .filter(|p| !is_large || p.centre == *centre);
        neighbours.map(|p| p.address).collect()
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|p| p.address).collect()
    }

    /// Requests per second of all live peers in a data centre.
    pub(crate) fn activity(&self, now: Moment, centre: &CentreName) -> f64 {
        let neighbours = self.live(now).filter(|b| b.centre == *centre);
        neighbours.map(|b| f64::from(b.activity)).sum()
    }

    /// Peers that have fallen silent since `before`.
    pub(crate) fn newly_silent(&self, before: Moment, now: Moment) -> Vec<&InstanceName> {
        let is_silent =
            |p: &Peer, at: Moment| p.last_heard.is_some_and(|h| at.since(h) >= SILENCE_TIMEOUT);
        let newly_silent = |p: &Peer| is_silent(p, now) && !is_silent(p, before);
        let newly_silent = self.peers.iter().filter(|(_, p)| newly_silent(p));
        newly_silent.map(|(name, _)| name).collect()
    }

    /// Removes peers that have been silent for long.
    pub(crate) fn remove_silent(&mut self, now: Moment) {
        self.peers
            .retain(|_, p| p.last_heard.is_none_or(|h| now.since(h) < PEER_RETENTION));
    }

    /// Heartbeats of peers that are not silent.
    pub(crate) fn live(&self, now: Moment) -> impl Iterator<Item = &Heartbeat> {
        let live = self.peers.values().filter(move |p| p.is_live(now));
        live.filter_map(|p| p.heartbeat.as_ref())
    }

    /// Last heartbeats of the live instances of a data centre, with their addresses and ages.
    pub(crate) fn neighbours(
        &self,
        now: Moment,
        centre: &CentreName,
    ) -> impl Iterator<Item = (&Heartbeat, SocketAddr, Duration)> {
        let live = self
            .peers
            .values()
            .filter(move |p| p.is_live(now) && p.centre == *centre);
        live.filter_map(move |p| {
            let age = now.since(p.last_heard?);
            Some((p.heartbeat.as_ref()?, p.address, age))
        })
    }

    /// Last heartbeat of an instance, and its age.
    pub(crate) fn last_heartbeat(
        &self,
        now: Moment,
        name: &InstanceName,
    ) -> Option<(&Heartbeat, Duration)> {
        let peer = self.peers.get(name)?;
        Some((peer.heartbeat.as_ref()?, now.since(peer.last_heard?)))
    }

    /// Whether `name` is an instance of this data centre at an IP address.
    pub(crate) fn is_neighbour(
        &self,
        name: &InstanceName,
        centre: &CentreName,
        ip: IpAddr,
    ) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|p| p.centre == *centre && p.address.ip() == ip)
    }

    /// Whether any instance of this data centre is known at an IP address.
    pub(crate) fn has_neighbour_at(&self, centre: &CentreName, ip: IpAddr) -> bool {
        let mut peers = self.peers.values();
        peers.any(|p| p.centre == *centre && p.address.ip() == ip)
    }

    /// Number of instances that may be running, with silent ones and this one.
    pub(crate) fn count(&self) -> usize {
        let reported: usize = self.centres.values().map(|(_, d)| d.members).sum();
        self.peers.len().max(reported) + 1
    }

    /// Position of `name` among all instances by name, for dividing up limits.
    pub(crate) fn rank(&self, name: &InstanceName) -> usize {
        self.peers.keys().filter(|n| *n < name).count()
    }

    /// Fresh digests of other data centres than `centre`.
    fn fresh_digests(&self, now: Moment, centre: &CentreName) -> impl Iterator<Item = &Digest> {
        let fresh = self
            .centres
            .values()
            .filter(move |(heard, _)| now.since(*heard) < SILENCE_TIMEOUT);
        fresh.map(|(_, d)| d).filter(move |d| d.centre != *centre)
    }

    /// Other data centres than `centre` whose digests arrive.
    pub(crate) fn digested(
        &self,
        now: Moment,
        centre: &CentreName,
    ) -> impl Iterator<Item = &CentreName> {
        self.fresh_digests(now, centre).map(|d| &d.centre)
    }

    /// Name and data centre of the peer at an address.
    pub(crate) fn at(&self, address: SocketAddr) -> Option<(&InstanceName, &CentreName)> {
        let mut peers = self.peers.iter();
        let (name, peer) = peers.find(|(_, p)| p.address == address)?;
        Some((name, &peer.centre))
    }

    /// Live heartbeats that no fresh digest covers.
    fn undigested_heartbeats(
        &self,
        now: Moment,
        centre: &CentreName,
    ) -> impl Iterator<Item = &Heartbeat> {
        let is_digested =
            move |c: &CentreName| self.fresh_digests(now, centre).any(|d| d.centre == *c);
        self.live(now).filter(move |b| !is_digested(&b.centre))
    }

    /// Load of all live peers, by [`endpoint_key`], as seen in `centre`.
    pub(crate) fn loads(&self, now: Moment, centre: &CentreName) -> HashMap<u32, Load> {
        let heartbeats = self
            .undigested_heartbeats(now, centre)
            .flat_map(|b| &b.loads);
        sum_loads(heartbeats.chain(self.fresh_digests(now, centre).flat_map(|d| &d.loads)))
    }

    /// Usage that accounts attained through all live peers.
    pub(crate) fn attained_service(
        &self,
        now: Moment,
        centre: &CentreName,
    ) -> HashMap<AccountName, f64> {
        let heartbeats = self
            .undigested_heartbeats(now, centre)
            .flat_map(|b| &b.attained_service);
        sum_attained(
            heartbeats.chain(
                self.fresh_digests(now, centre)
                    .flat_map(|d| &d.attained_service),
            ),
        )
    }

    /// Demand of accounts at live peers, by service.
    pub(crate) fn demands(
        &self,
        now: Moment,
        centre: &CentreName,
    ) -> HashMap<ServiceName, Vec<Demand>> {
        let heartbeats = self
            .undigested_heartbeats(now, centre)
            .flat_map(|b| &b.demands);
        collect_demands(heartbeats.chain(self.fresh_digests(now, centre).flat_map(|d| &d.demands)))
    }

    /// Latest era of the store in the views of the live instances of `centre`.
    pub(crate) fn era(&self, now: Moment, centre: &CentreName) -> Option<u16> {
        let neighbours = self.live(now).filter(|b| b.centre == *centre);
        neighbours.filter_map(|b| b.versions.era()).max()
    }

    /// Instance of `centre` with newer endpoints or evacuations than `versions`.
    pub(crate) fn newer_snapshot(
        &self,
        now: Moment,
        centre: &CentreName,
        versions: ViewVersions,
    ) -> Option<SocketAddr> {
        let neighbours = self.live(now).filter(|b| b.centre == *centre);
        let newer = neighbours.filter(|b| b.versions.are_newer(versions));
        let revisions = |b: &&Heartbeat| {
            (
                b.versions.evacuations.revision,
                b.versions.endpoints.revision,
            )
        };
        newer.max_by_key(revisions).map(|b| b.beliefs)
    }

    /// Mean of the token intervals that live peers report, in milliseconds, with their number.
    pub(crate) fn token_times(&self, now: Moment) -> HashMap<ServiceName, (f64, usize)> {
        let mut means: HashMap<ServiceName, (f64, usize)> = HashMap::new();
        for (service, time) in self.live(now).flat_map(|b| &b.token_times) {
            let (mean, count) = means.entry(service.clone()).or_default();
            *count += 1;
            *mean += (f64::from(*time) - *mean) / to_f64(*count);
        }
        means
    }

    /// Peer with the newest configuration, if that is newer than `version`.
    pub(crate) fn newer_config(&self, now: Moment, version: u64) -> Option<(u64, SocketAddr)> {
        let live = self.live(now).map(|b| (b.version, b.beliefs));
        let fresh = self
            .centres
            .values()
            .filter(|(heard, _)| now.since(*heard) < SILENCE_TIMEOUT);
        let digested = fresh.map(|(_, d)| (d.version, d.beliefs));
        let newest = live.chain(digested).max_by_key(|(version, _)| *version)?;
        (newest.0 > version).then_some(newest)
    }
}

fn sum_loads<'a>(loads: impl Iterator<Item = &'a PeerLoad>) -> HashMap<u32, Load> {
    let mut sums: HashMap<u32, Load> = HashMap::new();
    for load in loads {
        *sums.entry(load.endpoint).or_default() += Load {
            running: load.running,
            unread_tokens: f64::from(load.waiting),
            memory: f64::from(load.memory),
            token_time: f64::from(load.token_time),
        };
    }
    sums
}

fn sum_attained<'a>(
    attained_service: impl Iterator<Item = &'a (AccountName, f32)>,
) -> HashMap<AccountName, f64> {
    let mut sums: HashMap<AccountName, f64> = HashMap::new();
    for (name, sum) in attained_service {
        *sums.entry(name.clone()).or_default() += f64::from(*sum);
    }
    sums
}

fn collect_demands<'a>(
    demands: impl Iterator<Item = &'a (ServiceName, Vec<Demand>)>,
) -> HashMap<ServiceName, Vec<Demand>> {
    let mut joined: HashMap<ServiceName, Vec<Demand>> = HashMap::new();
    for (service, demands) in demands {
        joined.entry(service.clone()).or_default().extend(demands);
    }
    joined
}
