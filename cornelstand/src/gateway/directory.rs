//! An instance's view of the store: the active configuration, the endpoints and the evacuated data
//! centres.
//!
//! A configuration is never replaced by a lower version. Entries of endpoints that disappear during
//! a store outage, or just after it, may only have lapsed. Such endpoints are kept for
//! [`LAPSE_GRACE`] after the store's recovery, or after it was seen to be restored from an older
//! copy, and removed unless listed again. An endpoint whose removal is seen after the recovery may be
//! shutting down; it is kept no longer than [`REMOVAL_GRACE`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::catalog::Catalog;
use crate::gateway::rollout::Order;
use crate::gateway::store_revision::StoreRevision;
use crate::moment::Moment;
use crate::name::{CentreName, EndpointName, ServiceName, VersionName};

/// Time after the store's recovery for lapsed entries to return; the platform states about 2 s.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// Longest time for which an entry is kept after its removal was observed; the platform allows 2 s
/// until a leaving endpoint gets no requests.
const REMOVAL_GRACE: Duration = Duration::from_millis(1_200);

/// Time after a failed store call for which an instance leaves store access to its peers; longer
/// than a few of their time-outs.
const STORE_LOSS_HOLD: Duration = Duration::from_secs(10);

/// An endpoint's entry in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct EndpointRecord {
    pub(crate) name: EndpointName,
    /// Process start, Unix time in milliseconds; zero if unknown.
    #[serde(rename = "born")]
    pub(crate) started_at: u64,
    pub(crate) service: ServiceName,
    pub(crate) centre: CentreName,
    pub(crate) address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub(crate) slots: u32,
    /// Version of its software; empty if unknown.
    #[serde(default = "unknown_version")]
    pub(crate) software: VersionName,
    pub(crate) leaving: bool,
    /// Remaining warm-up time when the entry was read.
    pub(crate) cold: Duration,
}

fn unknown_version() -> VersionName {
    VersionName::from("")
}

/// The entry of a roll-out's order in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OrderRecord {
    /// Name of the entry.
    pub(crate) name: String,
    /// Store revision of its last change.
    pub(crate) revision: u64,
    pub(crate) order: Order,
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    record: Rc<EndpointRecord>,
    /// When the endpoint is removed, if its entry has disappeared.
    expires_at: Option<Moment>,
}

/// Change in the set of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EndpointChange {
    Listed(Rc<EndpointRecord>),
    Removed(EndpointName),
    /// The entry disappeared around a store outage; the endpoint is kept for now.
    Lapsed(EndpointName),
}

/// Availability of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StoreState {
    /// Unavailable, with the time of the last failed call, if any.
    Unavailable(Option<Moment>),
    AvailableSince(Moment),
}

/// The view that is in use.
#[derive(Debug)]
pub(crate) struct Directory {
    catalog: Rc<Catalog>,
    endpoints: BTreeMap<EndpointName, KnownEndpoint>,
    evacuated: BTreeSet<CentreName>,
    /// Orders of roll-outs by the name of their entry.
    orders: BTreeMap<String, OrderRecord>,
    store: StoreState,
    /// When the store last answered.
    last_answer: Option<Moment>,
    listed: bool,
    versions: ViewVersions,
    order_version: ViewVersion,
    /// Store revision up to which the orders are complete; none if they are not known yet.
    orders_as_of: Option<StoreRevision>,
    /// Era of the store, and when it was first seen; none before the first answer.
    era: Option<(u16, Moment)>,
    /// When the last restore of the store was seen.
    restored_at: Option<Moment>,
    /// Number of times a peer's view was adopted.
    adoptions: u64,
}

/// Meaning of the era of a store's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EraNews {
    /// It is the known one, or the first.
    Same,
    /// The store was restored from a copy since the answer that had this era.
    Restored(u16),
    /// The answer is from before the store was restored.
    Late,
}

/// Version of one part of the view.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ViewVersion {
    /// Store revision at the last change.
    pub(crate) revision: StoreRevision,
    /// Hash of the contents, which identifies a change that was seen at two revisions.
    pub(crate) hash: u64,
}

impl ViewVersion {
    pub(crate) fn is_newer(self, other: Self) -> bool {
        self.hash != other.hash && self.revision > other.revision
    }

    /// Advances to `hash`, seen at `revision`. Returns whether the hash differs.
    fn advance(&mut self, revision: StoreRevision, hash: u64) -> bool {
        let has_changed = hash != self.hash;
        // In a new era the same contents are newer than others of the earlier one.
        if has_changed || revision.era > self.revision.era {
            *self = Self { revision, hash };
        }
        has_changed
    }
}

/// Versions of a view. Endpoints and evacuations are watched separately, so their revisions are not
/// comparable.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ViewVersions {
    pub(crate) endpoints: ViewVersion,
    pub(crate) evacuations: ViewVersion,
}

impl ViewVersions {
    /// Latest era of any part; none before the first answer of the store.
    pub(crate) fn era(self) -> Option<u16> {
        let revisions = [self.endpoints.revision, self.evacuations.revision];
        let known = revisions.iter().filter(|r| r.number > 0);
        known.map(|r| r.era).max()
    }

    /// Whether any part of a view with these versions is newer.
    pub(crate) fn are_newer(self, other: Self) -> bool {
        self.endpoints.is_newer(other.endpoints) || self.evacuations.is_newer(other.evacuations)
    }
}

/// An endpoint as sent to another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct EndpointSnapshot {
    pub(crate) record: EndpointRecord,
    /// Time until its removal, if its entry has disappeared.
    pub(crate) lapses: Option<Duration>,
}

/// A view as sent to another instance.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct DirectorySnapshot {
    pub(crate) catalog: Catalog,
    pub(crate) endpoints: Vec<EndpointSnapshot>,
    pub(crate) evacuated: BTreeSet<CentreName>,
    #[serde(rename = "marks")]
    pub(crate) versions: ViewVersions,
    /// Orders of roll-outs; older builds send none.
    #[serde(default)]
    pub(crate) orders: Vec<OrderRecord>,
    #[serde(default)]
    pub(crate) order_version: ViewVersion,
}

impl Directory {
    pub(crate) fn new() -> Self {
        Self {
            catalog: Rc::new(Catalog::default()),
            endpoints: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            orders: BTreeMap::new(),
            store: StoreState::Unavailable(None),
            last_answer: None,
            listed: false,
            versions: ViewVersions::default(),
            order_version: ViewVersion::default(),
            orders_as_of: None,
            era: None,
            restored_at: None,
            adoptions: 0,
        }
    }

    pub(crate) fn catalog(&self) -> &Rc<Catalog> {
        &self.catalog
    }

    pub(crate) fn is_evacuated(&self, centre: &CentreName) -> bool {
        self.evacuated.contains(centre)
    }

    /// Whether both a configuration and an endpoint listing are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.catalog.version > 0 && self.listed
    }

    /// Activates a configuration. Returns false if its version is not higher than the active one.
    pub(crate) fn set_catalog(&mut self, catalog: Catalog) -> bool {
        if catalog.version <= self.catalog.version {
            return false;
        }
        self.catalog = Rc::new(catalog.index());
        true
    }

    /// Records a failed store call. Returns whether the store was available before.
    pub(crate) fn mark_store_lost(&mut self, now: Moment) -> bool {
        let was_available = self.has_store();
        self.store = StoreState::Unavailable(Some(now));
        was_available
    }

    /// Records an answer of the store.
    pub(crate) fn note_answer(&mut self, now: Moment) {
        self.last_answer = Some(now);
    }

    /// Whether the store has answered since `began`. A call from before may fail later, at its
    /// time-out, and does not show that the store was lost again.
    pub(crate) fn has_answered_since(&self, began: Moment) -> bool {
        self.last_answer.is_some_and(|answered| answered > began)
    }

    /// Records the era of the answer to a call that began at `began`.
    pub(crate) fn note_era(&mut self, now: Moment, began: Moment, era: u16) -> EraNews {
        let news = match self.era {
            Some((known, _)) if known == era => return EraNews::Same,
            Some((known, since)) if era < known && began < since => return EraNews::Late,
            Some((known, _)) => EraNews::Restored(known),
            None => EraNews::Same,
        };
        self.era = Some((era, now));
        if matches!(news, EraNews::Restored(_)) {
            self.restored_at = Some(now);
        }
        news
    }

    /// Records the era that a peer knows. Returns the one until then, if that is earlier.
    pub(crate) fn raise_era(&mut self, now: Moment, era: u16) -> Option<u16> {
        let before = self.era.map(|(known, _)| known);
        if before.is_some_and(|known| known >= era) {
            return None;
        }
        self.era = Some((era, now));
        self.restored_at = before.and(Some(now));
        before
    }

    /// Whether a store call of this instance has failed recently.
    pub(crate) fn is_store_lost(&self, now: Moment) -> bool {
        match self.store {
            StoreState::Unavailable(Some(failed)) => now.since(failed) < STORE_LOSS_HOLD,
            StoreState::Unavailable(None) | StoreState::AvailableSince(_) => false,
        }
    }

    /// Records that the store has answered this instance or a peer since `since`. Returns whether
    /// it was unavailable to this instance before.
    pub(crate) fn mark_store_available(&mut self, since: Moment) -> bool {
        let was_unavailable = !self.has_store();
        if was_unavailable {
            self.store = StoreState::AvailableSince(since);
        }
        was_unavailable
    }

    /// Time for which the store has been available, if it is.
    pub(crate) fn store_time(&self, now: Moment) -> Option<Duration> {
        match self.store {
            StoreState::Unavailable(_) => None,
            StoreState::AvailableSince(since) => Some(now.since(since)),
        }
    }

    pub(crate) fn has_store(&self) -> bool {
        matches!(self.store, StoreState::AvailableSince(_))
    }

    /// Applies a full listing of the endpoints.
    pub(crate) fn list_endpoints(
        &mut self,
        now: Moment,
        records: Vec<EndpointRecord>,
    ) -> Vec<EndpointChange> {
        self.listed = true;
        let missing = self.missing(records.iter());
        let mut changes = Vec::new();
        for record in records {
            if !self.is_leaving_since(now, &record) {
                changes.extend(self.put_endpoint(record));
            }
        }
        let expires_at = self.removal_time(now);
        for name in missing {
            changes.extend(self.mark_missing(now, &name, expires_at));
        }
        changes
    }

    /// Whether the endpoint of a listed entry has said since that it leaves: the store was just
    /// restored from a copy that is older than this.
    fn is_leaving_since(&self, now: Moment, record: &EndpointRecord) -> bool {
        let restored_at = self.restored_at;
        let is_restored = restored_at.is_some_and(|at| now < at.after(LAPSE_GRACE));
        let known = self.endpoints.get(&record.name).map(|k| &k.record);
        let is_same = |k: &&Rc<EndpointRecord>| k.started_at == record.started_at;
        is_restored && !record.leaving && known.filter(is_same).is_some_and(|k| k.leaving)
    }

    /// Known endpoints that are not among `records`.
    fn missing<'a>(&self, records: impl Iterator<Item = &'a EndpointRecord>) -> Vec<EndpointName> {
        let names: BTreeSet<&EndpointName> = records.map(|r| &r.name).collect();
        let missing = self.endpoints.keys().filter(|n| !names.contains(*n));
        missing.cloned().collect()
    }

    /// Removal time of endpoints whose entries have disappeared by `now`.
    fn removal_time(&self, now: Moment) -> Moment {
        let since = match self.store {
            StoreState::AvailableSince(moment) => moment,
            StoreState::Unavailable(_) => now,
        };
        // Endpoints write again what a restored store lacks.
        since
            .max(self.restored_at.unwrap_or_default())
            .after(LAPSE_GRACE)
    }

    /// Applies an added or changed entry.
    pub(crate) fn put_endpoint(&mut self, record: EndpointRecord) -> Option<EndpointChange> {
        self.put(record, None)
    }

    fn put(
        &mut self,
        record: EndpointRecord,
        expires_at: Option<Moment>,
    ) -> Option<EndpointChange> {
        if let Some(known) = self.endpoints.get_mut(&record.name) {
            if known.record.started_at > record.started_at {
                return None;
            }
            if *known.record == record {
                let was_missing = std::mem::replace(&mut known.expires_at, expires_at).is_some();
                let is_back = was_missing && expires_at.is_none();
                return is_back.then(|| EndpointChange::Listed(known.record.clone()));
            }
        }
        let record = Rc::new(record);
        let known = KnownEndpoint {
            record: record.clone(),
            expires_at,
        };
        self.endpoints.insert(record.name.clone(), known);
        Some(EndpointChange::Listed(record))
    }

    /// Applies the removal of an entry.
    pub(crate) fn remove_endpoint(
        &mut self,
        now: Moment,
        name: &EndpointName,
    ) -> Option<EndpointChange> {
        let expires_at = self.removal_time(now).min(now.after(REMOVAL_GRACE));
        self.mark_missing(now, name, expires_at)
    }

    fn mark_missing(
        &mut self,
        now: Moment,
        name: &EndpointName,
        expires_at: Moment,
    ) -> Option<EndpointChange> {
        let known = self.endpoints.get_mut(name)?;
        if known.record.leaving || now >= expires_at {
            self.endpoints.remove(name);
            return Some(EndpointChange::Removed(name.clone()));
        }
        let is_new = known.expires_at.is_none();
        known.expires_at = Some(known.expires_at.map_or(expires_at, |l| l.min(expires_at)));
        is_new.then(|| EndpointChange::Lapsed(name.clone()))
    }

    /// Removes endpoints whose grace time is over.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<EndpointChange> {
        let is_expired = |k: &KnownEndpoint| k.expires_at.is_some_and(|l| now >= l);
        let expired = self.endpoints.iter().filter(|(_, k)| is_expired(k));
        let expired: Vec<EndpointName> = expired.map(|(name, _)| name.clone()).collect();
        let remove = |name: EndpointName| {
            self.endpoints.remove(&name);
            EndpointChange::Removed(name)
        };
        expired.into_iter().map(remove).collect()
    }

    /// Sets the evacuated data centres. Returns whether they changed.
    pub(crate) fn set_evacuated(&mut self, centres: BTreeSet<CentreName>) -> bool {
        let has_changed = centres != self.evacuated;
        self.evacuated = centres;
        has_changed
    }

    pub(crate) fn evacuated(&self) -> &BTreeSet<CentreName> {
        &self.evacuated
    }

    /// Copy of the view for another instance.
    pub(crate) fn snapshot(&self, now: Moment) -> DirectorySnapshot {
        let snapshot = |k: &KnownEndpoint| EndpointSnapshot {
            record: (*k.record).clone(),
            lapses: k.expires_at.map(|l| l.since(now)),
        };
        DirectorySnapshot {
            catalog: (*self.catalog).clone(),
            endpoints: self.endpoints.values().map(snapshot).collect(),
            evacuated: self.evacuated.clone(),
            versions: self.versions,
            orders: self.orders.values().cloned().collect(),
            order_version: self.order_version,
        }
    }

    /// Orders of roll-outs.
    pub(crate) fn orders(&self) -> impl Iterator<Item = &OrderRecord> {
        self.orders.values()
    }

    /// Sets all orders, as listed.
    pub(crate) fn set_orders(&mut self, orders: impl IntoIterator<Item = OrderRecord>) {
        let by_name = orders.into_iter().map(|o| (o.name.clone(), o));
        self.orders = by_name.collect();
    }

    /// Applies an added or changed order, unless a later change of it is known.
    pub(crate) fn put_order(&mut self, order: OrderRecord) {
        let known = self.orders.get(&order.name);
        if known.is_none_or(|k| k.revision <= order.revision) {
            self.orders.insert(order.name.clone(), order);
        }
    }

    /// Applies the removal of an order.
    pub(crate) fn remove_order(&mut self, name: &str) {
        self.orders.remove(name);
    }

    /// Version of the orders.
    pub(crate) fn order_version(&self) -> ViewVersion {
        self.order_version
    }

    /// Store revision up to which the orders are complete.
    pub(crate) fn orders_as_of(&self) -> StoreRevision {
        self.orders_as_of.unwrap_or_default()
    }

    /// Whether the orders were listed or adopted.
    pub(crate) fn knows_orders(&self) -> bool {
        self.orders_as_of.is_some()
    }

    /// Marks the orders as current at store `revision`. Returns whether they changed.
    pub(crate) fn mark_orders(&mut self, revision: StoreRevision) -> bool {
        self.orders_as_of = self.orders_as_of.max(Some(revision));
        let mut hash = Xxh3::new();
        for order in self.orders.values() {
            hash.update(order.name.as_bytes());
            hash.update(&order.order.id.created.to_le_bytes());
            hash.update(&order.revision.to_le_bytes());
        }
        // No orders is the state at the start.
        let digest = if self.orders.is_empty() {
            0
        } else {
            hash.digest()
        };
        self.order_version.advance(revision, digest)
    }

    pub(crate) fn versions(&self) -> ViewVersions {
        self.versions
    }

    /// Marks the endpoints as current at store `revision`. Returns whether they changed.
    pub(crate) fn mark_endpoints(&mut self, revision: StoreRevision) -> bool {
        let mut hash = Xxh3::new();
        for (name, known) in &self.endpoints {
            let record = &known.record;
            hash.update(name.as_str().as_bytes());
            hash.update(&record.started_at.to_le_bytes());
            let flags = [
                record.leaving,
                record.cold.is_zero(),
                known.expires_at.is_some(),
            ];
            hash.update(&flags.map(u8::from));
        }
        self.versions.endpoints.advance(revision, hash.digest())
    }

    /// Marks the evacuations as current at store `revision`. Returns whether they changed.
    pub(crate) fn mark_evacuations(&mut self, revision: StoreRevision) -> bool {
        let mut hash = Xxh3::new();
        for centre in &self.evacuated {
            hash.update(centre.as_str().as_bytes());
            hash.update(&[0]);
        }
        self.versions.evacuations.advance(revision, hash.digest())
    }

    /// Adopts those parts of a peer's view that are newer.
    pub(crate) fn adopt(
        &mut self,
        now: Moment,
        snapshot: DirectorySnapshot,
    ) -> Vec<EndpointChange> {
        self.adoptions += 1;
        if snapshot
            .versions
            .evacuations
            .is_newer(self.versions.evacuations)
        {
            self.versions.evacuations = snapshot.versions.evacuations;
            self.evacuated = snapshot.evacuated;
        }
        if snapshot.order_version.is_newer(self.order_version) {
            self.order_version = snapshot.order_version;
            self.set_orders(snapshot.orders);
        }
        self.orders_as_of = self.orders_as_of.max(Some(self.order_version.revision));
        if !snapshot
            .versions
            .endpoints
            .is_newer(self.versions.endpoints)
        {
            return Vec::new();
        }
        self.listed = true;
        self.versions.endpoints = snapshot.versions.endpoints;
        let missing = self.missing(snapshot.endpoints.iter().map(|b| &b.record));
        let removed = missing.into_iter().map(|name| {
            self.endpoints.remove(&name);
            EndpointChange::Removed(name)
        });
        let mut changes: Vec<EndpointChange> = removed.collect();
        for endpoint in snapshot.endpoints {
            if self.is_leaving_since(now, &endpoint.record) {
                continue;
            }
            let expires_at = endpoint.lapses.map(|l| now.after(l));
            changes.extend(self.put(endpoint.record, expires_at));
        }
        changes
    }

    /// Number of times a peer's view was adopted. A watch that was opened earlier would replay
    /// changes that are older than that view.
    pub(crate) fn adoptions(&self) -> u64 {
        self.adoptions
    }
}
