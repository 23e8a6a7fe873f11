//! What the peers of an instance do, from the beats that all send to one another.
//!
//! A beat carries the whole state that the sender shares, so that a lost one costs only freshness.
//! Peers are found in the platform's store and by the beats they send. In a small fleet beats go to
//! all. In a larger one they stay in their data centre, and one instance of each, its leader, tells
//! the other data centres the sum as a digest, which is passed on there: so the messages of an
//! instance grow with its data centre and not with the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::admission::{Want, join_wants};
use crate::gateway::directory::{EndpointRecord, Marks};
use crate::gateway::endpoint_state::Load;
use crate::gateway::number::{float, short, whole};
use crate::gateway::residency::{Resident, join_residents};
use crate::gateway::settings::GatewaySettings;
use crate::moment::Moment;
use crate::name::{AccountName, CentreName, InstanceName, ServiceName};
use crate::suspect::Suspicion;

/// Silence after which the load of a peer is not counted any more: its connections are gone or
/// their requests have ended.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Silence after which a peer is forgotten.
const FORGET: Duration = Duration::from_mins(1);

/// Instances of a data centre that watch the store in a large fleet.
const WATCHERS: usize = 2;

/// Number of peers from which data centres exchange digests: with fewer, all beats cost less.
const LARGE: usize = 12;

/// State that one instance shares with all others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Beat {
    pub(crate) instance: InstanceName,
    pub(crate) centre: CentreName,
    /// Processor cores of the sender.
    pub(crate) cores: f32,
    /// Requests a second at the sender.
    pub(crate) activity: f32,
    /// Start of the sender's process.
    pub(crate) incarnation: u64,
    pub(crate) number: u64,
    /// Time for which the store has answered the sender, if it does.
    pub(crate) store_time: Option<Duration>,
    /// Whether the store has failed the sender lately.
    pub(crate) store_lost: bool,
    /// Endpoints and evacuations that the sender believes in.
    pub(crate) marks: Marks,
    /// Address of the sender's beliefs.
    pub(crate) beliefs: SocketAddr,
    /// Version of the configuration in force at the sender.
    pub(crate) version: u64,
    pub(crate) stopping: bool,
    pub(crate) loads: Vec<PeerLoad>,
    pub(crate) attained: Vec<(AccountName, f32)>,
    /// What accounts want at the sender, by service.
    pub(crate) wanting: Vec<(ServiceName, Vec<Want>)>,
    /// Longest times between two tokens for long answers to end in time, in milliseconds, as seen at
    /// the sender, by service.
    pub(crate) token_times: Vec<(ServiceName, f32)>,
    pub(crate) news: News,
}

/// What a message tells for its receivers to keep, beside what its sender does now.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct News {
    /// What is held against requests.
    pub(crate) suspicions: Vec<Suspicion>,
    /// Endpoints that said lately that they leave, by [`endpoint_key`].
    pub(crate) leaving: Vec<u32>,
    /// Parts of prompts that requests brought to engines lately.
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
            waiting: short(load.waiting),
            memory: short(load.memory),
            token_time: short(load.token_time),
        }
    }
}

/// Short key of one lifetime of an endpoint.
pub(crate) fn endpoint_key(record: &EndpointRecord) -> u32 {
    let name = record.name.as_str().as_bytes();
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name, record.born);
    u32::try_from(hash >> 32).unwrap_or_default()
}

/// What all instances of a data centre do together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Digest {
    pub(crate) centre: CentreName,
    /// Start of the sender's process, and a count of its digests.
    pub(crate) order: (u64, u64),
    /// Address at which the sender takes messages; the digest may come from one that passed it on.
    pub(crate) sender: SocketAddr,
    /// Address of the sender's beliefs.
    pub(crate) beliefs: SocketAddr,
    /// Version of the configuration in force at the sender.
    pub(crate) version: u64,
    pub(crate) members: usize,
    pub(crate) loads: Vec<PeerLoad>,
    pub(crate) attained: Vec<(AccountName, f32)>,
    pub(crate) wanting: Vec<(ServiceName, Vec<Want>)>,
    pub(crate) news: News,
}

/// A message between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Message {
    Beat(Beat),
    Digest(Digest),
    /// What peers everywhere should know before a caller can come back.
    Alarm(Vec<Suspicion>),
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    centre: CentreName,
    cores: f32,
    heard: Option<Moment>,
    beat: Option<Beat>,
}

/// All peers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<InstanceName, Peer>,
    centres: HashMap<CentreName, (Moment, Digest)>,
}

/// Rank of an instance among those that could lead its data centre; the highest does.
type Rank = (u64, u64);

fn rank(name: &InstanceName, cores: f32) -> Rank {
    // Whole hundredths order like the cores themselves.
    let cores = whole(f64::from(cores) * 100.0);
    (cores, xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()))
}

impl Peers {
    /// Takes in an instance that the store lists.
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
            heard: None,
            beat: None,
        });
    }

    /// Takes in a beat. Returns whether its sender was silent before.
    pub(crate) fn hear(&mut self, now: Moment, address: SocketAddr, beat: Beat) -> bool {
        let peer = self.peers.entry(beat.instance.clone()).or_insert(Peer {
            address,
            centre: beat.centre.clone(),
            cores: beat.cores,
            heard: None,
            beat: None,
        });
        let order = |b: &Beat| (b.incarnation, b.number);
        if peer.beat.as_ref().is_some_and(|b| order(b) >= order(&beat)) {
            return false;
        }
        let was_silent = peer.heard.is_none_or(|h| now.since(h) >= SILENCE);
        peer.address = address;
        peer.cores = beat.cores;
        peer.heard = Some(now);
        peer.beat = Some(beat);
        was_silent
    }

    /// Takes in a digest. Returns whether it is newer than the last one of its data centre.
    pub(crate) fn hear_centre(&mut self, now: Moment, digest: Digest) -> bool {
        let last = self.centres.get(&digest.centre);
        let is_old = |(heard, last): &(Moment, Digest)| {
            last.order >= digest.order && now.since(*heard) < SILENCE
        };
        if last.is_some_and(is_old) {
            return false;
        }
        self.centres.insert(digest.centre.clone(), (now, digest));
        true
    }

    /// Whether the fleet is so large that data centres exchange digests.
    pub(crate) fn is_large(&self) -> bool {
        self.peers.len() >= LARGE
    }

    /// Whether the instance with `settings` speaks for its data centre.
    pub(crate) fn leads(&self, now: Moment, settings: &GatewaySettings, is_lost: bool) -> bool {
        !self.is_large() || self.before(now, settings, is_lost) == 0
    }

    /// Whether the instance with `settings` watches the store.
    pub(crate) fn watches(&self, now: Moment, settings: &GatewaySettings, is_lost: bool) -> bool {
        !self.is_large() || self.before(now, settings, is_lost) < WATCHERS
    }

    /// Number of instances of the same data centre that would rather lead. Those that the store has
    /// failed come last, in the same order: so the others try it in turn, and while it is away for
    /// all, no more ask than watch in calm times.
    fn before(&self, now: Moment, settings: &GatewaySettings, is_lost: bool) -> usize {
        let own = (!is_lost, rank(&settings.instance, settings.cores));
        let near = self.live(now).filter(|b| b.centre == settings.centre);
        let fit = near.filter(|b| !b.stopping);
        let keys = fit.map(|b| (!b.store_lost, rank(&b.instance, b.cores)));
        keys.filter(|key| *key > own).count()
    }

    /// Longest time for which the store has answered a live peer of `centre`.
    pub(crate) fn store_time(&self, now: Moment, centre: &CentreName) -> Option<Duration> {
        let near = self.live(now).filter(|b| b.centre == *centre);
        near.filter_map(|b| b.store_time).max()
    }

    /// The sum of a data centre, for the digest with this number: the beats of its live instances and
    /// the `own` one of `sender`.
    pub(crate) fn digest(
        &self,
        now: Moment,
        own: &Beat,
        number: u64,
        sender: SocketAddr,
    ) -> Digest {
        let near = self.live(now).filter(|b| b.centre == own.centre);
        let beats: Vec<&Beat> = near.chain([own]).collect();
        let loads = sum_loads(beats.iter().flat_map(|b| &b.loads));
        let attained = sum_attained(beats.iter().flat_map(|b| &b.attained));
        let wanting = join_wanting(beats.iter().flat_map(|b| &b.wanting));
        let members = self.peers.values().filter(|p| p.centre == own.centre);
        Digest {
            members: members.count() + 1,
            loads: loads
                .into_iter()
                .map(|(key, load)| PeerLoad::new(key, load))
                .collect(),
            attained: attained
                .into_iter()
                .map(|(a, sum)| (a, short(sum)))
                .collect(),
            wanting: wanting
                .into_iter()
                .map(|(s, wants)| (s, join_wants(wants)))
                .collect(),
            news: News {
                suspicions: own.news.suspicions.clone(),
                leaving: own.news.leaving.clone(),
                residents: join_residents(beats.iter().flat_map(|b| &b.news.residents)),
            },
            order: (own.incarnation, number),
            sender,
            beliefs: own.beliefs,
            version: own.version,
            centre: own.centre.clone(),
        }
    }

    /// Instances to which the leader of `centre` sends the digest numbered `number`, one of each other
    /// data centre: in turn the leader that is heard and the one that is second to lead, or, while
    /// none is heard, each instance there.
    pub(crate) fn other_leaders(
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
            let heard = self.digests(now, centre).find(|d| d.centre == *other);
            let count = u64::try_from(ranked.len()).unwrap_or(u64::MAX);
            let turn = match heard {
                Some(digest) if number.is_multiple_of(2) => return Some(digest.sender),
                Some(_) => 1.min(count - 1),
                None => number % count,
            };
            let (_, address) = ranked.get(usize::try_from(turn).ok()?)?;
            Some(*address)
        };
        others.into_iter().filter_map(pick).collect()
    }

    /// Addresses to which beats go.
    pub(crate) fn listeners(&self, centre: &CentreName) -> Vec<SocketAddr> {
        let is_large = self.is_large();
        let near = self
            .peers
            .values()
            .filter(|p| !is_large || p.centre == *centre);
        near.map(|p| p.address).collect()
    }

    /// Addresses of all peers.
    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|p| p.address).collect()
    }

    /// Requests a second of all live peers in a data centre.
    pub(crate) fn activity(&self, now: Moment, centre: &CentreName) -> f64 {
        let near = self.live(now).filter(|b| b.centre == *centre);
        near.map(|b| f64::from(b.activity)).sum()
    }

    /// Peers that have fallen silent since `before`.
    pub(crate) fn lost(&self, before: Moment, now: Moment) -> Vec<&InstanceName> {
        let is_silent = |p: &Peer, at: Moment| p.heard.is_some_and(|h| at.since(h) >= SILENCE);
        let lost = |p: &Peer| is_silent(p, now) && !is_silent(p, before);
        let lost = self.peers.iter().filter(|(_, p)| lost(p));
        lost.map(|(name, _)| name).collect()
    }

    /// Forgets peers that have been silent for long.
    pub(crate) fn forget(&mut self, now: Moment) {
        self.peers
            .retain(|_, p| p.heard.is_none_or(|h| now.since(h) < FORGET));
    }

    /// Beats of peers that are not silent.
    pub(crate) fn live(&self, now: Moment) -> impl Iterator<Item = &Beat> {
        let is_live = move |p: &&Peer| p.heard.is_some_and(|h| now.since(h) < SILENCE);
        self.peers
            .values()
            .filter(is_live)
            .filter_map(|p| p.beat.as_ref())
    }

    /// Number of instances that may act, silent ones and this one included.
    pub(crate) fn count(&self) -> usize {
        let told: usize = self.centres.values().map(|(_, d)| d.members).sum();
        self.peers.len().max(told) + 1
    }

    /// Rank of `name` among all instances, for limits that are dealt out one by one.
    pub(crate) fn rank(&self, name: &InstanceName) -> usize {
        self.peers.keys().filter(|n| *n < name).count()
    }

    /// Digests of other data centres than `centre` that are fresh.
    fn digests(&self, now: Moment, centre: &CentreName) -> impl Iterator<Item = &Digest> {
        let fresh = self
            .centres
            .values()
            .filter(move |(heard, _)| now.since(*heard) < SILENCE);
        fresh.map(|(_, d)| d).filter(move |d| d.centre != *centre)
    }

    /// Live beats that no fresh digest contains.
    fn single(&self, now: Moment, centre: &CentreName) -> impl Iterator<Item = &Beat> {
        let told = move |c: &CentreName| self.digests(now, centre).any(|d| d.centre == *c);
        self.live(now).filter(move |b| !told(&b.centre))
    }

    /// Load of all live peers, by [`endpoint_key`], as seen in `centre`.
    pub(crate) fn loads(&self, now: Moment, centre: &CentreName) -> HashMap<u32, Load> {
        let beats = self.single(now, centre).flat_map(|b| &b.loads);
        sum_loads(beats.chain(self.digests(now, centre).flat_map(|d| &d.loads)))
    }

    /// What accounts attained through all live peers.
    pub(crate) fn attained(&self, now: Moment, centre: &CentreName) -> HashMap<AccountName, f64> {
        let beats = self.single(now, centre).flat_map(|b| &b.attained);
        sum_attained(beats.chain(self.digests(now, centre).flat_map(|d| &d.attained)))
    }

    /// What accounts want at live peers, by service.
    pub(crate) fn wanting(
        &self,
        now: Moment,
        centre: &CentreName,
    ) -> HashMap<ServiceName, Vec<Want>> {
        let beats = self.single(now, centre).flat_map(|b| &b.wanting);
        join_wanting(beats.chain(self.digests(now, centre).flat_map(|d| &d.wanting)))
    }

    /// Instance of `centre` that believes something newer than what `marks` tell.
    pub(crate) fn better_informed(
        &self,
        now: Moment,
        centre: &CentreName,
        marks: Marks,
    ) -> Option<SocketAddr> {
        let near = self.live(now).filter(|b| b.centre == *centre);
        let newer = near.filter(|b| b.marks.are_newer(marks));
        let revisions = |b: &&Beat| (b.marks.evacuations.revision, b.marks.endpoints.revision);
        newer.max_by_key(revisions).map(|b| b.beliefs)
    }

    /// Mean of the longest times between two tokens at live peers, in milliseconds, with their number.
    pub(crate) fn token_times(&self, now: Moment) -> HashMap<ServiceName, (f64, usize)> {
        let mut means: HashMap<ServiceName, (f64, usize)> = HashMap::new();
        for (service, time) in self.live(now).flat_map(|b| &b.token_times) {
            let (mean, count) = means.entry(service.clone()).or_default();
            *count += 1;
            *mean += (f64::from(*time) - *mean) / float(*count);
        }
        means
    }

    /// Peer with the newest configuration, if that is newer than `version`.
    pub(crate) fn ahead(&self, now: Moment, version: u64) -> Option<(u64, SocketAddr)> {
        let live = self.live(now).map(|b| (b.version, b.beliefs));
        let fresh = self
            .centres
            .values()
            .filter(|(heard, _)| now.since(*heard) < SILENCE);
        let told = fresh.map(|(_, d)| (d.version, d.beliefs));
        let newest = live.chain(told).max_by_key(|(version, _)| *version)?;
        (newest.0 > version).then_some(newest)
    }
}

fn sum_loads<'a>(loads: impl Iterator<Item = &'a PeerLoad>) -> HashMap<u32, Load> {
    let mut sums: HashMap<u32, Load> = HashMap::new();
    for load in loads {
        *sums.entry(load.endpoint).or_default() += Load {
            running: load.running,
            waiting: f64::from(load.waiting),
            memory: f64::from(load.memory),
            token_time: f64::from(load.token_time),
        };
    }
    sums
}

fn sum_attained<'a>(
    attained: impl Iterator<Item = &'a (AccountName, f32)>,
) -> HashMap<AccountName, f64> {
    let mut sums: HashMap<AccountName, f64> = HashMap::new();
    for (name, sum) in attained {
        *sums.entry(name.clone()).or_default() += f64::from(*sum);
    }
    sums
}

fn join_wanting<'a>(
    wanting: impl Iterator<Item = &'a (ServiceName, Vec<Want>)>,
) -> HashMap<ServiceName, Vec<Want>> {
    let mut joined: HashMap<ServiceName, Vec<Want>> = HashMap::new();
    for (service, wants) in wanting {
        joined.entry(service.clone()).or_default().extend(wants);
    }
    joined
}
