//! What an instance believes of the world: the configuration in force, the endpoints and the data
//! centres that are taken out.
//!
//! A version of the configuration is never replaced by a lower one. Endpoints whose entries vanish
//! while the store is away, or just after its return, may only have lapsed; they stay for
//! [`LAPSE_GRACE`] after the return and go if they are not listed again by then. One whose removal is
//! seen after the return may just as well leave, and stays no longer than [`REMOVAL_GRACE`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::catalog::Catalog;
use crate::moment::Moment;
use crate::name::{CentreName, EndpointName, ServiceName};

/// Time after the store's return in which lapsed entries come back; the platform states about 2 s.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// Longest time for which an entry is kept whose removal was seen; endpoints that leave get nothing
/// 2 s later.
const REMOVAL_GRACE: Duration = Duration::from_millis(1_200);

/// Time after a failed call to the store for which an instance leaves it to others to ask, beyond a few
/// time-outs of theirs.
const LOSS_MEMORY: Duration = Duration::from_secs(10);

/// One endpoint as its own entry describes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct EndpointRecord {
    pub(crate) name: EndpointName,
    /// Start of its process, Unix time in milliseconds; zero if unknown.
    pub(crate) born: u64,
    pub(crate) service: ServiceName,
    pub(crate) centre: CentreName,
    pub(crate) address: SocketAddr,
    /// Requests that run at once.
    pub(crate) slots: u32,
    pub(crate) leaving: bool,
    /// Time for which it stays cold, counted from when the entry was read.
    pub(crate) cold: Duration,
}

#[derive(Clone, Debug)]
struct Known {
    record: Rc<EndpointRecord>,
    /// When the entry lapses, if it has vanished.
    lapses: Option<Moment>,
}

/// What changed in the set of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EndpointChange {
    Listed(Rc<EndpointRecord>),
    Removed(EndpointName),
    /// The entry vanished around an outage of the store; the endpoint is kept for now.
    Lapsed(EndpointName),
}

/// How long the store has answered.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StoreState {
    /// Since when it has failed this instance, if it was asked.
    Away(Option<Moment>),
    BackSince(Moment),
}

/// All beliefs.
#[derive(Debug)]
pub(crate) struct Directory {
    catalog: Rc<Catalog>,
    endpoints: BTreeMap<EndpointName, Known>,
    evacuated: BTreeSet<CentreName>,
    store: StoreState,
    listed: bool,
    marks: Marks,
    /// How often the beliefs of a peer were taken over.
    adoptions: u64,
}

/// Which state of one kind of belief an instance has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Mark {
    /// Revision of the store at the last change.
    pub(crate) revision: u64,
    /// Hash over all of them, so that a change seen at two revisions is known to be one.
    pub(crate) hash: u64,
}

impl Mark {
    fn is_newer(self, other: Self) -> bool {
        self.hash != other.hash && self.revision > other.revision
    }

    /// Moves on to `hash` as seen at `revision`. Returns whether it is another one.
    fn advance(&mut self, revision: u64, hash: u64) -> bool {
        let has_changed = hash != self.hash;
        if has_changed {
            *self = Self { revision, hash };
        }
        has_changed
    }
}

/// Which beliefs an instance has. Each kind is watched by itself, so the revision of one says nothing
/// of the other.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Marks {
    pub(crate) endpoints: Mark,
    pub(crate) evacuations: Mark,
}

impl Marks {
    /// Whether beliefs with these marks are newer in some kind.
    pub(crate) fn are_newer(self, other: Self) -> bool {
        self.endpoints.is_newer(other.endpoints) || self.evacuations.is_newer(other.evacuations)
    }
}

/// An endpoint as an instance hands it to another one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct BelievedEndpoint {
    pub(crate) record: EndpointRecord,
    /// Time until it goes, if its entry has vanished.
    pub(crate) lapses: Option<Duration>,
}

/// Beliefs in the form in which an instance hands them to another one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Beliefs {
    pub(crate) catalog: Catalog,
    pub(crate) endpoints: Vec<BelievedEndpoint>,
    pub(crate) evacuated: BTreeSet<CentreName>,
    pub(crate) marks: Marks,
}

impl Directory {
    pub(crate) fn new() -> Self {
        Self {
            catalog: Rc::new(Catalog::default()),
            endpoints: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            store: StoreState::Away(None),
            listed: false,
            marks: Marks::default(),
            adoptions: 0,
        }
    }

    pub(crate) fn catalog(&self) -> &Rc<Catalog> {
        &self.catalog
    }

    pub(crate) fn is_evacuated(&self, centre: &CentreName) -> bool {
        self.evacuated.contains(centre)
    }

    /// Whether a configuration and the endpoints are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.catalog.version > 0 && self.listed
    }

    /// Puts a configuration in force unless a newer one is.
    pub(crate) fn set_catalog(&mut self, catalog: Catalog) -> bool {
        if catalog.version <= self.catalog.version {
            return false;
        }
        self.catalog = Rc::new(catalog.index());
        true
    }

    /// Notes that the store does not answer. Returns whether it did before.
    pub(crate) fn lose_store(&mut self, now: Moment) -> bool {
        let was_there = self.has_store();
        self.store = StoreState::Away(Some(now));
        was_there
    }

    /// Whether the store has failed this instance lately.
    pub(crate) fn is_store_lost(&self, now: Moment) -> bool {
        match self.store {
            StoreState::Away(Some(failed)) => now.since(failed) < LOSS_MEMORY,
            StoreState::Away(None) | StoreState::BackSince(_) => false,
        }
    }

    /// Notes that the store answers, and has answered this instance or a peer since `since`. Returns
    /// whether it did not answer this instance before.
    pub(crate) fn regain_store(&mut self, since: Moment) -> bool {
        let was_away = !self.has_store();
        if was_away {
            self.store = StoreState::BackSince(since);
        }
        was_away
    }

    /// Time for which the store has answered, if it does.
    pub(crate) fn store_time(&self, now: Moment) -> Option<Duration> {
        match self.store {
            StoreState::Away(_) => None,
            StoreState::BackSince(since) => Some(now.since(since)),
        }
    }

    pub(crate) fn has_store(&self) -> bool {
        matches!(self.store, StoreState::BackSince(_))
    }

    /// Takes in a full listing of the endpoints.
    pub(crate) fn list_endpoints(
        &mut self,
        now: Moment,
        records: Vec<EndpointRecord>,
    ) -> Vec<EndpointChange> {
        self.listed = true;
        let gone = self.gone(records.iter());
        let mut changes = Vec::new();
        for record in records {
            changes.extend(self.put_endpoint(record));
        }
        let lapses = self.lapse(now);
        for name in gone {
            changes.extend(self.vanish(now, &name, lapses));
        }
        changes
    }

    /// Known endpoints that are not among `records`.
    fn gone<'a>(&self, records: impl Iterator<Item = &'a EndpointRecord>) -> Vec<EndpointName> {
        let names: BTreeSet<&EndpointName> = records.map(|r| &r.name).collect();
        let gone = self.endpoints.keys().filter(|n| !names.contains(*n));
        gone.cloned().collect()
    }

    /// When entries lapse that vanished by `now`.
    fn lapse(&self, now: Moment) -> Moment {
        match self.store {
            StoreState::BackSince(moment) => moment.after(LAPSE_GRACE),
            StoreState::Away(_) => now.after(LAPSE_GRACE),
        }
    }

    /// Takes in one entry.
    pub(crate) fn put_endpoint(&mut self, record: EndpointRecord) -> Option<EndpointChange> {
        self.put(record, None)
    }

    fn put(&mut self, record: EndpointRecord, lapses: Option<Moment>) -> Option<EndpointChange> {
        if let Some(known) = self.endpoints.get_mut(&record.name) {
            if known.record.born > record.born {
                return None;
            }
            if *known.record == record {
                let was_lapsing = std::mem::replace(&mut known.lapses, lapses).is_some();
                let is_back = was_lapsing && lapses.is_none();
                return is_back.then(|| EndpointChange::Listed(known.record.clone()));
            }
        }
        let record = Rc::new(record);
        let known = Known {
            record: record.clone(),
            lapses,
        };
        self.endpoints.insert(record.name.clone(), known);
        Some(EndpointChange::Listed(record))
    }

    /// Takes in that an entry was removed.
    pub(crate) fn remove_endpoint(
        &mut self,
        now: Moment,
        name: &EndpointName,
    ) -> Option<EndpointChange> {
        let lapses = self.lapse(now).min(now.after(REMOVAL_GRACE));
        self.vanish(now, name, lapses)
    }

    fn vanish(
        &mut self,
        now: Moment,
        name: &EndpointName,
        lapses: Moment,
    ) -> Option<EndpointChange> {
        let known = self.endpoints.get_mut(name)?;
        if known.record.leaving || now >= lapses {
            self.endpoints.remove(name);
            return Some(EndpointChange::Removed(name.clone()));
        }
        let is_new = known.lapses.is_none();
        known.lapses = Some(known.lapses.map_or(lapses, |l| l.min(lapses)));
        is_new.then(|| EndpointChange::Lapsed(name.clone()))
    }

    /// Removes endpoints whose entries did not come back.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<EndpointChange> {
        let is_over = |k: &Known| k.lapses.is_some_and(|l| now >= l);
        let over = self.endpoints.iter().filter(|(_, k)| is_over(k));
        let over: Vec<EndpointName> = over.map(|(name, _)| name.clone()).collect();
        let remove = |name: EndpointName| {
            self.endpoints.remove(&name);
            EndpointChange::Removed(name)
        };
        over.into_iter().map(remove).collect()
    }

    /// Sets the data centres that are taken out. Returns whether they changed.
    pub(crate) fn set_evacuated(&mut self, centres: BTreeSet<CentreName>) -> bool {
        let has_changed = centres != self.evacuated;
        self.evacuated = centres;
        has_changed
    }

    pub(crate) fn evacuated(&self) -> &BTreeSet<CentreName> {
        &self.evacuated
    }

    /// All that is believed, for another instance.
    pub(crate) fn beliefs(&self, now: Moment) -> Beliefs {
        let believed = |k: &Known| BelievedEndpoint {
            record: (*k.record).clone(),
            lapses: k.lapses.map(|l| l.since(now)),
        };
        Beliefs {
            catalog: (*self.catalog).clone(),
            endpoints: self.endpoints.values().map(believed).collect(),
            evacuated: self.evacuated.clone(),
            marks: self.marks,
        }
    }

    pub(crate) fn marks(&self) -> Marks {
        self.marks
    }

    /// Notes that the endpoints are those of the store at `revision`. Returns whether they changed.
    pub(crate) fn mark_endpoints(&mut self, revision: u64) -> bool {
        let mut hash = Xxh3::new();
        for (name, known) in &self.endpoints {
            let record = &known.record;
            hash.update(name.as_str().as_bytes());
            hash.update(&record.born.to_le_bytes());
            let flags = [
                record.leaving,
                record.cold.is_zero(),
                known.lapses.is_some(),
            ];
            hash.update(&flags.map(u8::from));
        }
        self.marks.endpoints.advance(revision, hash.digest())
    }

    /// Notes that the evacuations are those of the store at `revision`. Returns whether they changed.
    pub(crate) fn mark_evacuations(&mut self, revision: u64) -> bool {
        let mut hash = Xxh3::new();
        for centre in &self.evacuated {
            hash.update(centre.as_str().as_bytes());
            hash.update(&[0]);
        }
        self.marks.evacuations.advance(revision, hash.digest())
    }

    /// Takes over what a peer believes of endpoints and evacuations, as far as it is newer.
    pub(crate) fn adopt(&mut self, now: Moment, beliefs: Beliefs) -> Vec<EndpointChange> {
        self.adoptions += 1;
        if beliefs.marks.evacuations.is_newer(self.marks.evacuations) {
            self.marks.evacuations = beliefs.marks.evacuations;
            self.evacuated = beliefs.evacuated;
        }
        if !beliefs.marks.endpoints.is_newer(self.marks.endpoints) {
            return Vec::new();
        }
        self.listed = true;
        self.marks.endpoints = beliefs.marks.endpoints;
        let gone = self.gone(beliefs.endpoints.iter().map(|b| &b.record));
        let removed = gone.into_iter().map(|name| {
            self.endpoints.remove(&name);
            EndpointChange::Removed(name)
        });
        let mut changes: Vec<EndpointChange> = removed.collect();
        for believed in beliefs.endpoints {
            let lapses = believed.lapses.map(|l| now.after(l));
            changes.extend(self.put(believed.record, lapses));
        }
        changes
    }

    /// How often the beliefs of a peer were taken over. A watch from before that would repeat
    /// changes that are older than the beliefs.
    pub(crate) fn adoptions(&self) -> u64 {
        self.adoptions
    }
}
