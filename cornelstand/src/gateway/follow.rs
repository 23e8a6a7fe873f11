//! Follows the platform's store: the configuration, the endpoints, the evacuated data centres, the
//! roll-outs if the deployment has any, and the fleet's own instances.
//!
//! Each kind is listed once and then watched from the listing's revision. A watch without changes
//! ends and is started again, so that a dead connection is detected within one wait. While the
//! store is unavailable, newer state is fetched from peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::catalog::Catalog;
use crate::gateway::directory::{DirectorySnapshot, EndpointRecord, EraNews, OrderRecord};
use crate::gateway::gate::Gate;
use crate::gateway::settings::{GatewaySettings, peer_address};
use crate::gateway::store_revision::StoreRevision;
use crate::gateway::upstream::Upstream;
use crate::moment::Moment;
use crate::name::{CentreName, EndpointName, InstanceName};
use crate::platform::objects::{
    CONFIG_KIND, ENDPOINT_KIND, EVACUATION_KIND, INSTANCE_KIND, InstanceSpec, Metadata,
    ROLLOUT_KIND, StoreObject, read_config, read_endpoint, read_rollout,
};
use crate::platform::store::{Change, StoreCallError, StoreClient};

/// Margin of a watch's wait below the time that the platform allows to detect a lost connection: a
/// silent watch is given up only after its wait and the store's slack.
const WATCH_MARGIN: Duration = Duration::from_millis(800);
/// Shortest wait of a watch.
const WATCH_WAIT_MIN: Duration = Duration::from_millis(500);
/// Delay after a change of the endpoints, which batches changes close together into one call; far
/// below the time in which an endpoint that leaves has to be known.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(150);
/// Time after the first listing of instances until heartbeats have established the leader.
const LEADER_SETTLE_TIME: Duration = Duration::from_millis(700);
/// Interval of listing the instances at one that does not lead.
const FOLLOWER_LIST_PERIOD: Duration = Duration::from_mins(1);
/// Delay after a failed call, doubled each time.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);
/// Longest such delay: entries that lapsed are back about 2 s after the store's return.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// Longest delay after a failed call for the fleet's own entries, which every instance makes.
const INSTANCE_RETRY_DELAY_MAX: Duration = Duration::from_secs(4);
/// Time over which the instances spread their listings after the store was restored.
const REGISTRATION_SPREAD: Duration = Duration::from_secs(2);
/// Interval of listing the instances at a leader. New ones also announce themselves by heartbeats.
const LEADER_LIST_PERIOD: Duration = Duration::from_secs(10);
/// Interval of looking whether the settings have a part that was not used so far.
const UNUSED_PERIOD: Duration = Duration::from_secs(1);
/// Interval of checking the peers for newer state.
const PEER_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Timeout for fetching the directory snapshot of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest directory snapshot that is accepted from a peer.
const MAX_BELIEFS_BYTES: usize = 16 * 1024 * 1024;

/// Followed kinds.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Followed {
    #[display("configuration")]
    Configuration,
    #[display("endpoints")]
    Endpoints,
    #[display("evacuations")]
    Evacuations,
    #[display("roll-outs")]
    Rollouts,
}

impl Followed {
    fn kind(self) -> &'static str {
        match self {
            Self::Configuration => CONFIG_KIND,
            Self::Endpoints => ENDPOINT_KIND,
            Self::Evacuations => EVACUATION_KIND,
            Self::Rollouts => ROLLOUT_KIND,
        }
    }
}

/// Follows one kind until the process ends.
pub(crate) async fn follow(gate: Rc<Gate>, followed: Followed) {
    // The first heartbeats determine the leader.
    while !gate.discovery_done.get() {
        sleep(PEER_CHECK_PERIOD).await;
    }
    let mut client = StoreClient::new(gate.settings.borrow().store);
    let mut delay = RETRY_DELAY_MIN;
    let mut revision = None;
    let mut adoptions = 0;
    loop {
        if followed == Followed::Rollouts && !gate.has_rollouts() {
            revision = None;
            sleep(UNUSED_PERIOD).await;
            continue;
        }
        if !gate.watches_store() {
            // Others of this data centre watch, and this one fetches from them.
            revision = None;
            sleep(PEER_CHECK_PERIOD).await;
            continue;
        }
        // An adopted snapshot is newer than the revision of the last watch.
        let adopted = gate.state.borrow().directory.adoptions();
        if std::mem::replace(&mut adoptions, adopted) != adopted {
            revision = None;
        }
        let began = gate.now();
        let restored = gate.restore_trigger.notified();
        let result = tokio::select! {
            biased;
            result = poll_store(&gate, &mut client, followed, revision) => result,
            // Another call has met the new era first.
            () = restored => {
                revision = None;
                continue;
            }
        };
        note_call(&gate, followed, began, &result);
        match result {
            Ok((next, has_changed)) => {
                revision = Some(next);
                delay = RETRY_DELAY_MIN;
                if has_changed && followed == Followed::Endpoints {
                    sleep(CHANGE_BATCH_DELAY).await;
                }
            }
            Err(StoreCallError::HistoryGone | StoreCallError::OtherEra { .. }) => revision = None,
            Err(error) => {
                // The same watch would be answered alike.
                if matches!(error, StoreCallError::Unreadable { .. }) {
                    revision = None;
                }
                let spread = 0.5 + rand::random::<f64>();
                sleep(delay.mul_f64(spread)).await;
                delay = (delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }
}

async fn poll_store(
    gate: &Gate,
    client: &mut StoreClient,
    followed: Followed,
    revision: Option<StoreRevision>,
) -> Result<(StoreRevision, bool), StoreCallError> {
    let (kind, began) = (followed.kind(), gate.now());
    let Some(known) = revision else {
        let (objects, revision) = client.list(kind).await?;
        note_store_answer(gate, followed, began, revision)?;
        apply_listing(gate, followed, &objects, revision);
        return Ok((revision, false));
    };
    let contact = gate.settings.borrow().contact;
    let wait = contact.saturating_sub(WATCH_MARGIN).max(WATCH_WAIT_MIN);
    let (changes, revision) = client.watch(kind, known, wait).await?;
    note_store_answer(gate, followed, began, revision)?;
    if revision.era != known.era {
        // What the restored copy differs in may have no event after the known revision.
        return Err(StoreCallError::OtherEra { era: revision.era });
    }
    for change in &changes {
        apply_change(gate, followed, change, revision);
    }
    if followed == Followed::Rollouts {
        apply_orders(gate, revision);
    }
    Ok((revision, !changes.is_empty()))
}

fn note_call(
    gate: &Gate,
    followed: Followed,
    began: Moment,
    result: &Result<(StoreRevision, bool), StoreCallError>,
) {
    let calls = &gate.metrics.store_calls;
    let Err(error) = result else {
        calls.with_label_values(&["answered"]).inc();
        return;
    };
    calls.with_label_values(&["failed"]).inc();
    match error {
        StoreCallError::HistoryGone => {
            tracing::info!(event = "store_history_gone", %followed);
            return;
        }
        StoreCallError::OtherEra { era } => {
            tracing::info!(event = "store_answer_skipped", %followed, era);
            return;
        }
        _ => {}
    }
    let directory = &mut gate.state.borrow_mut().directory;
    if !directory.has_answered_since(began) && directory.mark_store_lost(gate.now()) {
        tracing::warn!(event = "store_lost", %followed, %error);
    }
}

/// Records an answer to a call that began at `began`.
///
/// # Errors
///
/// Fails if the answer is from before the store was restored.
fn note_store_answer(
    gate: &Gate,
    followed: Followed,
    began: Moment,
    revision: StoreRevision,
) -> Result<(), StoreCallError> {
    let since = gate.store_since();
    let now = gate.now();
    let directory = &mut gate.state.borrow_mut().directory;
    let StoreRevision { era, number } = revision;
    match directory.note_era(now, began, era) {
        EraNews::Same => {}
        EraNews::Late => return Err(StoreCallError::OtherEra { era }),
        EraNews::Restored(before) => {
            tracing::warn!(event = "store_restored", %followed, era, before, revision = number);
            gate.restore_trigger.notify_waiters();
        }
    }
    directory.note_answer(now);
    if directory.mark_store_available(since) {
        let known_ms = now.since(since).as_millis();
        tracing::info!(event = "store_regained", %followed, known_ms, era);
    }
    Ok(())
}

fn apply_listing(
    gate: &Gate,
    followed: Followed,
    objects: &[StoreObject],
    revision: StoreRevision,
) {
    match followed {
        Followed::Configuration => {
            for object in objects {
                apply_config(gate, object, revision);
            }
        }
        Followed::Endpoints => {
            let records = objects.iter().filter_map(|o| decode_endpoint(gate, o));
            let records = records.collect();
            let mut state = gate.state.borrow_mut();
            let changes = state.directory.list_endpoints(gate.now(), records);
            drop(state);
            gate.apply(changes);
            announce_endpoints(gate, revision);
        }
        Followed::Evacuations => {
            let names = objects.iter().filter(|o| !o.metadata.deleting);
            let centres = names.map(|o| CentreName::from(o.metadata.name.as_str()));
            apply_evacuated(gate, centres.collect(), revision);
        }
        Followed::Rollouts => {
            let orders = objects.iter().filter_map(decode_order);
            let orders: Vec<OrderRecord> = orders.collect();
            let mut state = gate.state.borrow_mut();
            state.directory.set_orders(orders);
            drop(state);
            apply_orders(gate, revision);
        }
    }
}

fn apply_change(gate: &Gate, followed: Followed, change: &Change, revision: StoreRevision) {
    let object = &change.object;
    match followed {
        Followed::Configuration if change.is_deleted => {
            tracing::warn!(
                event = "config_deleted",
                revision = revision.number,
                era = revision.era,
                "the last one stays in force"
            );
        }
        Followed::Configuration => apply_config(gate, object, revision),
        Followed::Endpoints => {
            let record = decode_endpoint(gate, object).filter(|_| !change.is_deleted);
            let mut state = gate.state.borrow_mut();
            let directory = &mut state.directory;
            let change = if let Some(record) = record {
                directory.put_endpoint(record)
            } else {
                let name = EndpointName::from(object.metadata.name.as_str());
                directory.remove_endpoint(gate.now(), &name)
            };
            drop(state);
            gate.apply(change.into_iter().collect());
            announce_endpoints(gate, revision);
        }
        Followed::Evacuations => {
            let centre = CentreName::from(object.metadata.name.as_str());
            let is_out = !change.is_deleted && !object.metadata.deleting;
            let state = gate.state.borrow_mut();
            let mut centres = state.directory.evacuated().clone();
            if is_out {
                centres.insert(centre);
            } else {
                centres.remove(&centre);
            }
            drop(state);
            apply_evacuated(gate, centres, revision);
        }
        Followed::Rollouts => {
            let order = decode_order(object).filter(|_| !change.is_deleted);
            let mut state = gate.state.borrow_mut();
            match order {
                Some(order) => state.directory.put_order(order),
                None => state.directory.remove_order(&object.metadata.name),
            }
        }
    }
}

/// Applies the orders at store `revision`, and notifies the peers if they have changed.
fn apply_orders(gate: &Gate, revision: StoreRevision) {
    let has_changed = gate.state.borrow_mut().directory.mark_orders(revision);
    // Also without a change: peers may have told of an order that is gone by now.
    gate.apply_orders();
    if has_changed {
        gate.heartbeat_trigger.notify_one();
    }
}

/// Decodes an order. Entries of other writers are skipped.
fn decode_order(object: &StoreObject) -> Option<OrderRecord> {
    if object.metadata.deleting {
        return None;
    }
    let order = read_rollout(object);
    let order = order.inspect_err(|error| {
        let name = &object.metadata.name;
        tracing::warn!(event = "rollout_unreadable", name, %error);
    });
    order.ok()
}

fn apply_evacuated(gate: &Gate, centres: BTreeSet<CentreName>, revision: StoreRevision) {
    let mut state = gate.state.borrow_mut();
    if state.directory.set_evacuated(centres) {
        let centres = state.directory.evacuated();
        tracing::info!(
            event = "centres_out",
            ?centres,
            revision = revision.number,
            era = revision.era
        );
    }
    let has_changed = state.directory.mark_evacuations(revision);
    drop(state);
    if has_changed {
        gate.heartbeat_trigger.notify_one();
    }
}

/// Notifies the peers if endpoints have changed.
fn announce_endpoints(gate: &Gate, revision: StoreRevision) {
    if gate.state.borrow_mut().directory.mark_endpoints(revision) {
        gate.heartbeat_trigger.notify_one();
    }
}

fn apply_config(gate: &Gate, object: &StoreObject, revision: StoreRevision) {
    match read_config(&object.spec) {
        Ok(catalog) => apply_catalog(gate, catalog, "store", revision),
        Err(error) => {
            let name = &object.metadata.name;
            tracing::error!(event = "config_unreadable", name, revision = revision.number, era = revision.era, %error);
        }
    }
}

fn apply_catalog(gate: &Gate, catalog: Catalog, source: &str, revision: StoreRevision) {
    let version = catalog.version;
    let (routes, accounts) = (catalog.routes.len(), catalog.keys.len());
    if gate.state.borrow_mut().directory.set_catalog(catalog) {
        tracing::info!(
            event = "config_in_force",
            version,
            routes,
            accounts,
            source,
            revision = revision.number,
            era = revision.era,
        );
        gate.metrics
            .version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}

/// Decodes an entry. Entries of other writers are skipped.
fn decode_endpoint(gate: &Gate, object: &StoreObject) -> Option<EndpointRecord> {
    let settings = gate.settings.borrow();
    match read_endpoint(object) {
        Ok(record) if settings.centres.contains(&record.centre) => Some(record),
        Ok(record) => {
            tracing::warn!(event = "endpoint_unknown_centre", endpoint = %record.name, centre = %record.centre);
            None
        }
        Err(error) => {
            let endpoint = &object.metadata.name;
            tracing::warn!(event = "endpoint_unreadable", endpoint, %error);
            None
        }
    }
}

/// Registers this instance in the store, again if its entry is gone, and lists the others.
pub(crate) async fn follow_instances(gate: Rc<Gate>) {
    let mut client = StoreClient::new(gate.settings.borrow().store);
    let (mut is_registered, mut is_listed) = (false, false);
    let mut is_first = true;
    let mut delay = RETRY_DELAY_MIN;
    loop {
        let restored = gate.restore_trigger.notified();
        tokio::pin!(restored);
        // A stopping instance has removed its entry.
        if !is_registered && !gate.stop.has_begun() {
            let entry = instance_object(&gate.settings.borrow());
            match client.put(INSTANCE_KIND, &entry).await {
                Ok(()) => is_registered = true,
                Err(error) => tracing::info!(event = "registration_failed", %error),
            }
        }
        match client.list(INSTANCE_KIND).await {
            Ok((objects, _)) => {
                is_listed = true;
                is_registered &= list_instances(&gate, &objects);
            }
            Err(error) => tracing::info!(event = "instances_unread", %error),
        }
        if is_first && is_registered && gate.state.borrow().peers.is_large() {
            sleep(LEADER_SETTLE_TIME).await;
        }
        is_first = false;
        gate.discovery_done.set(true);
        if is_registered && is_listed {
            let period = if gate.is_leader() {
                LEADER_LIST_PERIOD
            } else {
                FOLLOWER_LIST_PERIOD
            };
            if timeout(period, restored).await.is_ok() {
                sleep(REGISTRATION_SPREAD.mul_f64(rand::random())).await;
            }
        } else {
            sleep(delay.mul_f64(0.5 + rand::random::<f64>())).await;
            delay = (delay * 2).min(INSTANCE_RETRY_DELAY_MAX);
        }
    }
}

/// Removes this instance's entry before the process ends.
pub(crate) async fn deregister(gate: &Gate) {
    let (address, name) = {
        let settings = gate.settings.borrow();
        (settings.store, settings.instance.clone())
    };
    let mut client = StoreClient::new(address);
    if let Err(error) = client.delete(INSTANCE_KIND, name.as_str()).await {
        tracing::info!(event = "deregistration_failed", %error);
    }
}

fn instance_object(settings: &GatewaySettings) -> StoreObject {
    let spec = InstanceSpec {
        peer: peer_address(settings),
        centre: settings.centre.clone(),
        cores: settings.cores,
    };
    StoreObject {
        metadata: Metadata {
            name: settings.instance.as_str().to_owned(),
            ..Metadata::default()
        },
        spec: serde_json::to_value(spec).unwrap_or_default(),
        status: serde_json::Value::Null,
    }
}

/// Applies a listing of the instances. Returns whether this one is among them.
fn list_instances(gate: &Gate, objects: &[StoreObject]) -> bool {
    let (own, peer) = {
        let settings = gate.settings.borrow();
        (settings.instance.clone(), peer_address(&settings))
    };
    let mut state = gate.state.borrow_mut();
    let mut is_known = false;
    for object in objects {
        let name = InstanceName::from(object.metadata.name.as_str());
        let spec: Result<InstanceSpec, _> = serde_json::from_value(object.spec.clone());
        match spec {
            Ok(spec) if name != own => {
                state.peers.list(name, spec.peer, spec.centre, spec.cores);
            }
            // A restored store may have that of an earlier process.
            Ok(spec) => is_known = spec.peer == peer,
            Err(error) => tracing::warn!(event = "instance_unreadable", %name, %error),
        }
    }
    is_known
}

/// Fetches newer state from peers: the configuration; endpoints, evacuations and roll-outs, unless
/// this instance watches them itself; and everything from a seed, while it has none.
pub(crate) async fn follow_peers(gate: Rc<Gate>) {
    let mut seeds = gate.settings.borrow().seeds.clone().into_iter().cycle();
    let started = Instant::now();
    loop {
        sleep(PEER_CHECK_PERIOD).await;
        note_peer_era(&gate);
        let is_starting = started.elapsed() < PEER_TIMEOUT;
        let Some(peer) = newer_peer(&gate) else {
            let is_empty = !gate.state.borrow().directory.is_complete();
            if let Some(seed) = seeds.next().filter(|_| is_empty && !is_starting) {
                sync_from(&gate, seed).await;
            }
            continue;
        };
        sync_from(&gate, peer).await;
    }
}

/// Records the era that peers know, unless this instance learns it from the store.
fn note_peer_era(gate: &Gate) {
    if !follows_peers(gate) {
        return;
    }
    let now = gate.now();
    let mut state = gate.state.borrow_mut();
    let Some(era) = state.peers.era(now, &gate.settings.borrow().centre) else {
        return;
    };
    if let Some(before) = state.directory.raise_era(now, era) {
        drop(state);
        tracing::warn!(event = "store_restored", followed = "peers", era, before);
        gate.restore_trigger.notify_waiters();
    }
}

/// Peer with newer state.
fn newer_peer(gate: &Gate) -> Option<SocketAddr> {
    let may_adopt = follows_peers(gate);
    let state = gate.state.borrow();
    let centre = &gate.settings.borrow().centre;
    let now = gate.now();
    let newer_snapshot = state
        .peers
        .newer_snapshot(now, centre, state.directory.versions());
    let newer_config = state
        .peers
        .newer_config(now, state.directory.catalog().version);
    let newer_orders = state.newer_orders(now, centre);
    newer_snapshot
        .or(newer_orders)
        .filter(|_| may_adopt)
        .or(newer_config.map(|(_, address)| address))
}

/// Whether endpoints, evacuations and roll-outs come from peers.
fn follows_peers(gate: &Gate) -> bool {
    !gate.watches_store() || !gate.state.borrow().directory.has_store()
}

async fn sync_from(gate: &Gate, address: SocketAddr) {
    let fetched = timeout(PEER_TIMEOUT, fetch_snapshot(address)).await;
    let mut snapshot = match fetched {
        Ok(Ok(snapshot)) => snapshot,
        Ok(Err(error)) => {
            tracing::debug!(event = "beliefs_unread", %address, error);
            return;
        }
        Err(_) => {
            tracing::debug!(event = "beliefs_unread", %address, error = "no answer in time");
            return;
        }
    };
    let catalog = std::mem::take(&mut snapshot.catalog);
    apply_catalog(gate, catalog, "peer", StoreRevision::default());
    let mut state = gate.state.borrow_mut();
    let are_orders_newer = snapshot
        .order_version
        .is_newer(state.directory.order_version());
    let is_newer = snapshot.versions.are_newer(state.directory.versions()) || are_orders_newer;
    drop(state);
    if !is_newer || !follows_peers(gate) {
        return;
    }
    state = gate.state.borrow_mut();
    tracing::info!(
        event = "beliefs_adopted", %address, revision = snapshot.versions.endpoints.revision.number,
        evacuation_revision = snapshot.versions.evacuations.revision.number,
        era = snapshot.versions.endpoints.revision.era,
        evacuation_era = snapshot.versions.evacuations.revision.era,
        endpoints = snapshot.endpoints.len(), evacuated = ?snapshot.evacuated,
        orders = snapshot.orders.len(),
    );
    let changes = state.directory.adopt(gate.now(), snapshot);
    drop(state);
    gate.apply(changes);
    if are_orders_newer {
        gate.apply_orders();
    }
    gate.heartbeat_trigger.notify_one();
}

async fn fetch_snapshot(address: SocketAddr) -> Result<DirectorySnapshot, String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let connection = Upstream::connect(address, PEER_TIMEOUT).await;
    let mut connection = connection.map_err(|e| text(&e))?;
    let request = format!("GET /beliefs HTTP/1.1\r\nhost: {address}\r\n\r\n");
    let limits = (MAX_BELIEFS_BYTES, MAX_BELIEFS_BYTES);
    let answer = connection.exchange("GET", request.as_bytes(), limits).await;
    let (_, body) = answer.map_err(|e| text(&e))?;
    serde_json::from_slice(&body).map_err(|e| text(&e))
}
