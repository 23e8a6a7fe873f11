//! What the peers of an instance do, from the beats that all send to one another.
//!
//! A beat carries the whole state that the sender shares, so that a lost one costs only freshness.
//! Peers are found in the platform's store and by the beats they send.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::directory::EndpointRecord;
use crate::gateway::placement::Load;
use crate::moment::Moment;
use crate::name::{AccountName, CentreName, InstanceName, ServiceName};
use crate::suspect::Suspicion;

/// Silence after which the load of a peer is not counted any more: its connections are gone or
/// their requests have ended.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Silence after which a peer is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// State that one instance shares with all others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Beat {
    pub(crate) instance: InstanceName,
    pub(crate) centre: CentreName,
    /// Start of the sender's process.
    pub(crate) incarnation: u64,
    pub(crate) number: u64,
    /// Address of the sender's beliefs.
    pub(crate) beliefs: SocketAddr,
    /// Version of the configuration in force at the sender.
    pub(crate) version: u64,
    pub(crate) stopping: bool,
    pub(crate) loads: Vec<PeerLoad>,
    pub(crate) attained: Vec<(AccountName, f32)>,
    /// What the most deserving accounts that wait at the sender have attained, by service.
    pub(crate) wanting: Vec<(ServiceName, f32)>,
    pub(crate) suspicions: Vec<Suspicion>,
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

/// Short key of one lifetime of an endpoint.
pub(crate) fn endpoint_key(record: &EndpointRecord) -> u32 {
    let name = record.name.as_str().as_bytes();
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name, record.born);
    u32::try_from(hash >> 32).unwrap_or_default()
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    heard: Option<Moment>,
    beat: Option<Beat>,
}

/// All peers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<InstanceName, Peer>,
}

impl Peers {
    /// Takes in an instance that the store lists.
    pub(crate) fn list(&mut self, name: InstanceName, address: SocketAddr) {
        let peer = self.peers.entry(name);
        peer.or_insert(Peer {
            address,
            heard: None,
            beat: None,
        });
    }

    /// Takes in a beat. Returns whether its sender was silent before.
    pub(crate) fn hear(&mut self, now: Moment, address: SocketAddr, beat: Beat) -> bool {
        let peer = self.peers.entry(beat.instance.clone()).or_insert(Peer {
            address,
            heard: None,
            beat: None,
        });
        let order = |b: &Beat| (b.incarnation, b.number);
        if peer.beat.as_ref().is_some_and(|b| order(b) >= order(&beat)) {
            return false;
        }
        let was_silent = peer.heard.is_none_or(|h| now.since(h) >= SILENCE);
        peer.address = address;
        peer.heard = Some(now);
        peer.beat = Some(beat);
        was_silent
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

    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.values().map(|p| p.address)
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
        self.peers.len() + 1
    }

    /// Rank of `name` among all instances, for limits that are dealt out one by one.
    pub(crate) fn rank(&self, name: &InstanceName) -> usize {
        self.peers.keys().filter(|n| *n < name).count()
    }

    /// Load of all live peers, by [`endpoint_key`].
    pub(crate) fn loads(&self, now: Moment) -> HashMap<u32, Load> {
        let mut sums: HashMap<u32, Load> = HashMap::new();
        for load in self.live(now).flat_map(|b| &b.loads) {
            *sums.entry(load.endpoint).or_default() += Load {
                running: load.running,
                waiting: f64::from(load.waiting),
                memory: f64::from(load.memory),
                token_time: f64::from(load.token_time),
            };
        }
        sums
    }

    /// What accounts attained through all live peers.
    pub(crate) fn attained(&self, now: Moment) -> HashMap<AccountName, f64> {
        let mut sums: HashMap<AccountName, f64> = HashMap::new();
        for (name, sum) in self.live(now).flat_map(|b| &b.attained) {
            *sums.entry(name.clone()).or_default() += f64::from(*sum);
        }
        sums
    }

    /// What the most deserving accounts that wait at live peers have attained, by service.
    pub(crate) fn wanting(&self, now: Moment) -> HashMap<ServiceName, f64> {
        let mut least: HashMap<ServiceName, f64> = HashMap::new();
        for (service, attained) in self.live(now).flat_map(|b| &b.wanting) {
            let attained = f64::from(*attained);
            let entry = least.entry(service.clone()).or_insert(attained);
            *entry = entry.min(attained);
        }
        least
    }

    /// Peer with the newest configuration, if that is newer than `version`.
    pub(crate) fn ahead(&self, now: Moment, version: u64) -> Option<(u64, SocketAddr)> {
        let newest = self.live(now).max_by_key(|b| b.version)?;
        (newest.version > version).then_some((newest.version, newest.beliefs))
    }
}
