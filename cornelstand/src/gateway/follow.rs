//! Follows the platform's store: the configuration, the endpoints, the data centres taken out and
//! the fleet's own instances.
//!
//! Each kind is listed once and then watched from the listing's revision. A watch that ends with
//! nothing is begun again, so that one that went silent is found within its wait. What the store
//! cannot tell comes from a peer that knows a newer configuration.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use tokio::time::{Instant, sleep};

use crate::gateway::catalog::Catalog;
use crate::gateway::directory::{Beliefs, EndpointRecord};
use crate::gateway::gate::Gate;
use crate::gateway::settings::{GatewaySettings, peer_address};
use crate::gateway::upstream::Upstream;
use crate::name::{CentreName, EndpointName, InstanceName};
use crate::platform::objects::{
    CONFIG_KIND, ENDPOINT_KIND, EVACUATION_KIND, INSTANCE_KIND, InstanceSpec, Metadata,
    StoreObject, read_config, read_endpoint,
};
use crate::platform::store::{Change, StoreCallError, StoreClient};

/// Time by which the wait of a watch stays below the one that the platform grants to notice a lost
/// connection: a watch that went silent is given up when its wait and the store's slack are over.
const WATCH_MARGIN: Duration = Duration::from_millis(800);
/// Shortest wait of a watch.
const WATCH_MIN: Duration = Duration::from_millis(500);
/// Pause after a change of the endpoints, so that those that come close together take one call; far
/// below the time in which an endpoint that leaves has to be known.
const CHANGES_PAUSE: Duration = Duration::from_millis(150);
/// Time after the instances were listed until the first beats have told which one leads.
const FIRST_BEATS: Duration = Duration::from_millis(700);
/// Time between two listings of the instances by one that does not lead.
const SPARSE_PERIOD: Duration = Duration::from_mins(1);
/// Pause after a failed call, doubled each time.
const PAUSE_FIRST: Duration = Duration::from_millis(60);
/// Longest such pause: entries that lapsed are back about 2 s after the store's return.
const PAUSE_MAX: Duration = Duration::from_millis(500);
/// Longest pause after a failed call that concerns the fleet's own entries, which every instance makes.
const INSTANCE_PAUSE_MAX: Duration = Duration::from_secs(4);
/// Time between two listings of the instances. New ones also make themselves known by beats.
const INSTANCE_PERIOD: Duration = Duration::from_secs(10);
/// Pause between two looks at whether a peer knows more.
const PEER_PERIOD: Duration = Duration::from_millis(100);
/// Longest time for a peer to hand over its beliefs.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest beliefs that are taken from a peer, in bytes.
const BELIEFS_BYTES: usize = 16 * 1024 * 1024;

/// What is followed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Followed {
    #[display("configuration")]
    Configuration,
    #[display("endpoints")]
    Endpoints,
    #[display("evacuations")]
    Evacuations,
}

impl Followed {
    fn kind(self) -> &'static str {
        match self {
            Self::Configuration => CONFIG_KIND,
            Self::Endpoints => ENDPOINT_KIND,
            Self::Evacuations => EVACUATION_KIND,
        }
    }
}

/// Follows one kind until the process ends.
pub(crate) async fn follow(gate: Rc<Gate>, followed: Followed) {
    // The first beats tell which instance leads.
    while !gate.introduced.get() {
        sleep(PEER_PERIOD).await;
    }
    let mut client = StoreClient::new(gate.settings.borrow().store);
    let mut pause = PAUSE_FIRST;
    let mut revision = None;
    let mut adoptions = 0;
    loop {
        if !gate.watches() {
            // Others of this data centre watch, and this instance asks them.
            revision = None;
            sleep(PEER_PERIOD).await;
            continue;
        }
        // What a peer handed over is newer than the revision of the last watch.
        let adopted = gate.state.borrow().directory.adoptions();
        if std::mem::replace(&mut adoptions, adopted) != adopted {
            revision = None;
        }
        let result = step(&gate, &mut client, followed, revision).await;
        note_call(&gate, followed, &result);
        match result {
            Ok((next, has_changed)) => {
                revision = Some(next);
                pause = PAUSE_FIRST;
                if has_changed && followed == Followed::Endpoints {
                    sleep(CHANGES_PAUSE).await;
                }
            }
            Err(StoreCallError::HistoryGone) => revision = None,
            Err(_) => {
                let spread = 0.5 + rand::random::<f64>();
                sleep(pause.mul_f64(spread)).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
    }
}

async fn step(
    gate: &Gate,
    client: &mut StoreClient,
    followed: Followed,
    revision: Option<u64>,
) -> Result<(u64, bool), StoreCallError> {
    let kind = followed.kind();
    let Some(revision) = revision else {
        let (objects, revision) = client.list(kind).await?;
        regain(gate, followed);
        take_listing(gate, followed, &objects, revision);
        return Ok((revision, false));
    };
    let contact = gate.settings.borrow().contact;
    let wait = contact.saturating_sub(WATCH_MARGIN).max(WATCH_MIN);
    let (changes, revision) = client.watch(kind, revision, wait).await?;
    regain(gate, followed);
    for change in &changes {
        take_change(gate, followed, change, revision);
    }
    Ok((revision, !changes.is_empty()))
}

fn note_call(gate: &Gate, followed: Followed, result: &Result<(u64, bool), StoreCallError>) {
    let calls = &gate.metrics.store_calls;
    let Err(error) = result else {
        calls.with_label_values(&["answered"]).inc();
        return;
    };
    calls.with_label_values(&["failed"]).inc();
    if matches!(error, StoreCallError::HistoryGone) {
        tracing::info!(event = "store_history_gone", %followed);
        return;
    }
    if gate.state.borrow_mut().directory.lose_store(gate.now()) {
        tracing::warn!(event = "store_lost", %followed, %error);
    }
}

fn regain(gate: &Gate, followed: Followed) {
    let since = gate.store_since();
    if gate.state.borrow_mut().directory.regain_store(since) {
        tracing::info!(event = "store_regained", %followed);
    }
}

fn take_listing(gate: &Gate, followed: Followed, objects: &[StoreObject], revision: u64) {
    match followed {
        Followed::Configuration => {
            for object in objects {
                take_config(gate, object, revision);
            }
        }
        Followed::Endpoints => {
            let records = objects.iter().filter_map(|o| record(gate, o));
            let records = records.collect();
            let mut state = gate.state.borrow_mut();
            let changes = state.directory.list_endpoints(gate.now(), records);
            drop(state);
            gate.apply(changes);
            note_endpoints(gate, revision);
        }
        Followed::Evacuations => {
            let names = objects.iter().filter(|o| !o.metadata.deleting);
            let centres = names.map(|o| CentreName::from(o.metadata.name.as_str()));
            take_evacuated(gate, centres.collect(), revision);
        }
    }
}

fn take_change(gate: &Gate, followed: Followed, change: &Change, revision: u64) {
    let object = &change.object;
    match followed {
        Followed::Configuration if change.is_deleted => {
            tracing::warn!(
                event = "config_deleted",
                revision,
                "the last one stays in force"
            );
        }
        Followed::Configuration => take_config(gate, object, revision),
        Followed::Endpoints => {
            let record = record(gate, object).filter(|_| !change.is_deleted);
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
            note_endpoints(gate, revision);
        }
        Followed::Evacuations => {
            let centre = CentreName::from(object.metadata.name.as_str());
            let out = !change.is_deleted && !object.metadata.deleting;
            let state = gate.state.borrow_mut();
            let mut centres = state.directory.evacuated().clone();
            if out {
                centres.insert(centre);
            } else {
                centres.remove(&centre);
            }
            drop(state);
            take_evacuated(gate, centres, revision);
        }
    }
}

fn take_evacuated(gate: &Gate, centres: BTreeSet<CentreName>, revision: u64) {
    let mut state = gate.state.borrow_mut();
    if state.directory.set_evacuated(centres) {
        let centres = state.directory.evacuated();
        tracing::info!(event = "centres_out", ?centres, revision);
    }
    let has_changed = state.directory.mark_evacuations(revision);
    drop(state);
    if has_changed {
        gate.news.notify_one();
    }
}

/// Lets the peers know if endpoints have changed.
fn note_endpoints(gate: &Gate, revision: u64) {
    if gate.state.borrow_mut().directory.mark_endpoints(revision) {
        gate.news.notify_one();
    }
}

fn take_config(gate: &Gate, object: &StoreObject, revision: u64) {
    match read_config(&object.spec) {
        Ok(catalog) => take_catalog(gate, catalog, "store", revision),
        Err(error) => {
            let name = &object.metadata.name;
            tracing::error!(event = "config_unreadable", name, revision, %error);
        }
    }
}

fn take_catalog(gate: &Gate, catalog: Catalog, source: &str, revision: u64) {
    let version = catalog.version;
    let (routes, accounts) = (catalog.routes.len(), catalog.keys.len());
    if gate.state.borrow_mut().directory.set_catalog(catalog) {
        tracing::info!(
            event = "config_in_force",
            version,
            routes,
            accounts,
            source,
            revision
        );
        gate.metrics
            .version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}

/// Decodes an entry. Entries of other writers are left out.
fn record(gate: &Gate, object: &StoreObject) -> Option<EndpointRecord> {
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

/// Keeps this instance's entry in the store and finds the others.
pub(crate) async fn follow_instances(gate: Rc<Gate>) {
    let mut client = StoreClient::new(gate.settings.borrow().store);
    let (mut is_registered, mut is_listed) = (false, false);
    let mut is_first = true;
    let mut pause = PAUSE_FIRST;
    loop {
        if !is_registered {
            let entry = instance_object(&gate.settings.borrow());
            match client.put(INSTANCE_KIND, &entry).await {
                Ok(()) => is_registered = true,
                Err(error) => tracing::info!(event = "registration_failed", %error),
            }
        }
        match client.list(INSTANCE_KIND).await {
            Ok((objects, _)) => {
                is_listed = true;
                list_instances(&gate, &objects);
            }
            Err(error) => tracing::info!(event = "instances_unread", %error),
        }
        if is_first && is_registered && gate.state.borrow().peers.is_large() {
            sleep(FIRST_BEATS).await;
        }
        is_first = false;
        gate.introduced.set(true);
        if is_registered && is_listed {
            let period = if gate.leads() {
                INSTANCE_PERIOD
            } else {
                SPARSE_PERIOD
            };
            sleep(period).await;
        } else {
            sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
            pause = (pause * 2).min(INSTANCE_PAUSE_MAX);
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
    }
}

fn list_instances(gate: &Gate, objects: &[StoreObject]) {
    let own = gate.settings.borrow().instance.clone();
    let mut state = gate.state.borrow_mut();
    for object in objects {
        let name = InstanceName::from(object.metadata.name.as_str());
        let spec: Result<InstanceSpec, _> = serde_json::from_value(object.spec.clone());
        match spec {
            Ok(spec) if name != own => {
                state.peers.list(name, spec.peer, spec.centre, spec.cores);
            }
            Ok(_) => {}
            Err(error) => tracing::warn!(event = "instance_unreadable", %name, %error),
        }
    }
}

/// Takes what peers know better: a newer configuration; endpoints and evacuations, unless this
/// instance watches them itself; and from a seed everything, while it knows nothing.
pub(crate) async fn follow_peers(gate: Rc<Gate>) {
    let mut seeds = gate.settings.borrow().seeds.clone().into_iter().cycle();
    let started = Instant::now();
    loop {
        sleep(PEER_PERIOD).await;
        let is_new = started.elapsed() < PEER_TIMEOUT;
        let Some(source) = source(&gate) else {
            let is_empty = !gate.state.borrow().directory.is_complete();
            if let Some(seed) = seeds.next().filter(|_| is_empty && !is_new) {
                pull(&gate, seed).await;
            }
            continue;
        };
        pull(&gate, source).await;
    }
}

/// Instance that knows better.
fn source(gate: &Gate) -> Option<SocketAddr> {
    let follows = follows_peers(gate);
    let state = gate.state.borrow();
    let centre = &gate.settings.borrow().centre;
    let now = gate.now();
    let informed = state
        .peers
        .better_informed(now, centre, state.directory.marks());
    let ahead = state.peers.ahead(now, state.directory.catalog().version);
    informed
        .filter(|_| follows)
        .or(ahead.map(|(_, address)| address))
}

/// Whether endpoints and evacuations come from peers.
fn follows_peers(gate: &Gate) -> bool {
    !gate.watches() || !gate.state.borrow().directory.has_store()
}

async fn pull(gate: &Gate, address: SocketAddr) {
    let fetched = tokio::time::timeout(PEER_TIMEOUT, fetch(address)).await;
    let mut beliefs = match fetched {
        Ok(Ok(beliefs)) => beliefs,
        Ok(Err(error)) => {
            tracing::debug!(event = "beliefs_unread", %address, error);
            return;
        }
        Err(_) => {
            tracing::debug!(event = "beliefs_unread", %address, error = "no answer in time");
            return;
        }
    };
    let catalog = std::mem::take(&mut beliefs.catalog);
    take_catalog(gate, catalog, "peer", 0);
    let mut state = gate.state.borrow_mut();
    let is_newer = beliefs.marks.are_newer(state.directory.marks());
    drop(state);
    if !is_newer || !follows_peers(gate) {
        return;
    }
    state = gate.state.borrow_mut();
    tracing::info!(
        event = "beliefs_adopted", %address, revision = beliefs.marks.endpoints.revision,
        evacuation_revision = beliefs.marks.evacuations.revision,
        endpoints = beliefs.endpoints.len(), evacuated = ?beliefs.evacuated,
    );
    let changes = state.directory.adopt(gate.now(), beliefs);
    drop(state);
    gate.apply(changes);
    gate.news.notify_one();
}

async fn fetch(address: SocketAddr) -> Result<Beliefs, String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let connection = Upstream::connect(address, PEER_TIMEOUT).await;
    let mut connection = connection.map_err(|e| text(&e))?;
    let request = format!("GET /beliefs HTTP/1.1\r\nhost: {address}\r\n\r\n");
    let limits = (BELIEFS_BYTES, BELIEFS_BYTES);
    let answer = connection.exchange("GET", request.as_bytes(), limits).await;
    let (_, body) = answer.map_err(|e| text(&e))?;
    serde_json::from_slice(&body).map_err(|e| text(&e))
}
