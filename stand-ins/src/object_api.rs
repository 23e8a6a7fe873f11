//! The object API over HTTP.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tracing::info;
use warp::Filter;
use warp::reply::Response;

use crate::host::{Host, StartError, boxed};
use crate::objects::{Miss, ObjectCounts, ObjectFaults, Objects, Outage, Rule, Window};
use crate::wire::{self, Call};

/// Most bytes of a value.
const VALUE_BYTES: usize = 1 << 20;

/// Settings of an [`ObjectApi`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Faults from the start.
    pub faults: ObjectFaults,
}

impl Default for ObjectSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            faults: ObjectFaults::default(),
        }
    }
}

/// Fake of the platform's object API.
#[derive(Debug)]
pub struct ObjectApi {
    host: Host,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Counts changes that waiting watches have to look at.
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    faults: ObjectFaults,
    counts: ObjectCounts,
    reads: Window,
    writes: Window,
}

#[derive(Serialize)]
struct Listing<'a> {
    version: u64,
    objects: Vec<Item<'a>>,
}

#[derive(Serialize)]
struct Item<'a> {
    name: &'a str,
    version: u64,
    value: Option<&'a str>,
}

impl ObjectApi {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// If the listener or its thread cannot be set up.
    pub fn start(settings: ObjectSettings) -> Result<Self, StartError> {
        let host = Host::bind(settings.listen)?;
        let now = Instant::now();
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                objects: Objects::default(),
                faults: settings.faults,
                counts: ObjectCounts::default(),
                reads: Window::new(now),
                writes: Window::new(now),
            }),
            changes: watch::Sender::new(0),
        });
        let api = Self { host, shared };
        let shared = api.shared.clone();
        let filter = wire::calls().then(move |call: Call| answer(shared.clone(), call));
        api.host.serve(boxed(filter), std::future::ready(()))?;
        info!(address = %api.address(), "object API started");
        Ok(api)
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: ObjectFaults) {
        self.shared.set_faults(faults);
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> ObjectFaults {
        self.shared.lock().faults
    }

    /// The calls so far.
    #[must_use]
    pub fn counts(&self) -> ObjectCounts {
        self.shared.lock().counts.clone()
    }

    /// The value of an object.
    #[must_use]
    pub fn value(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.shared.lock();
        state.objects.get(kind, name).map(|(_, v)| v.to_string())
    }

    /// Stops it for good.
    pub fn stop(&self) {
        self.host.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: ObjectFaults) {
        info!(?faults, "faults of the object API set");
        self.lock().faults = faults;
        self.changes.send_modify(|n| *n += 1);
    }

    fn changed(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}

impl State {
    /// Counts a call of `kind` and tells its refusal, if it is refused.
    fn admit(&mut self, kind: &str, is_write: bool) -> Result<(), StatusCode> {
        *self.counts.kinds.entry(kind.to_owned()).or_default() += 1;
        if self.faults.outage.is_some() {
            self.counts.outages += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (window, limit) = if is_write {
            (&mut self.writes, self.faults.writes)
        } else {
            (&mut self.reads, self.faults.reads)
        };
        if !window.admit(Instant::now(), limit) {
            self.counts.limited += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        Ok(())
    }

    /// Tells whether the answer to a write that took effect gets lost.
    fn loses_answer(&mut self) -> bool {
        let is_lost = self.faults.lost > 0;
        if is_lost {
            self.faults.lost -= 1;
            self.counts.lost += 1;
        }
        is_lost
    }
}

async fn answer(shared: Arc<Shared>, call: Call) -> Response {
    match call.segments().as_slice() {
        ["stand-in", what] => control(&shared, &call, what),
        ["objects", kind] if call.method == Method::GET => {
            object_call(&shared, &call, kind, None).await
        }
        ["objects", kind, name] => object_call(&shared, &call, kind, Some(name)).await,
        _ => wire::error(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn control(shared: &Shared, call: &Call, what: &str) -> Response {
    match (&call.method, what) {
        (&Method::GET, "counts") => wire::json(&shared.lock().counts),
        (&Method::GET, "faults") => wire::json(&shared.lock().faults),
        (&Method::PUT, "faults") => match call.json() {
            Some(faults) => {
                shared.set_faults(faults);
                wire::status(StatusCode::NO_CONTENT)
            }
            None => wire::error(StatusCode::BAD_REQUEST, "not the faults of an object API"),
        },
        _ => wire::error(StatusCode::NOT_FOUND, "no such control"),
    }
}

async fn object_call(shared: &Shared, call: &Call, kind: &str, name: Option<&str>) -> Response {
    let is_write = call.method != Method::GET;
    let admitted = shared.lock().admit(kind, is_write);
    if let Err(code) = admitted {
        return refusal(shared, code).await;
    }
    let half = Duration::from_millis(shared.lock().faults.slow) / 2;
    tokio::time::sleep(half).await;
    let answer = match (&call.method, name) {
        (&Method::GET, None) => list(shared, call, kind).await,
        (&Method::GET, Some(name)) => get(shared, kind, name),
        (&Method::PUT, Some(name)) => put(shared, call, kind, name),
        (&Method::DELETE, Some(name)) => delete(shared, call, kind, name),
        _ => wire::error(StatusCode::METHOD_NOT_ALLOWED, "no such call"),
    };
    tokio::time::sleep(half).await;
    if is_write && answer.status().is_success() && shared.lock().loses_answer() {
        return wire::dropped();
    }
    answer
}

async fn refusal(shared: &Shared, code: StatusCode) -> Response {
    let is_silent = shared.lock().faults.outage == Some(Outage::Hang);
    if code == StatusCode::SERVICE_UNAVAILABLE && is_silent {
        std::future::pending::<()>().await;
    }
    let answer = wire::error(code, "try later");
    if code == StatusCode::TOO_MANY_REQUESTS {
        return wire::with(answer, RETRY_AFTER.as_str(), "1");
    }
    answer
}

fn get(shared: &Shared, kind: &str, name: &str) -> Response {
    let mut state = shared.lock();
    state.counts.gets += 1;
    match state.objects.get(kind, name) {
        Some((version, value)) => tagged(StatusCode::OK, version, value.to_string()),
        None => wire::error(StatusCode::NOT_FOUND, "no such object"),
    }
}

async fn list(shared: &Shared, call: &Call, kind: &str) -> Response {
    let Some(after) = call.param::<u64>("after") else {
        let mut state = shared.lock();
        state.counts.lists += 1;
        return listing(&state.objects, kind, None);
    };
    shared.lock().counts.watches += 1;
    let wait = Duration::from_millis(call.param("wait-ms").unwrap_or(0));
    let mut changes = shared.changes.subscribe();
    let end = tokio::time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        let is_down = {
            let state = shared.lock();
            let is_down = state.faults.outage.is_some();
            if !is_down && !state.objects.list(kind, Some(after)).is_empty() {
                return listing(&state.objects, kind, Some(after));
            }
            is_down
        };
        if is_down {
            return refusal(shared, StatusCode::SERVICE_UNAVAILABLE).await;
        }
        if tokio::time::timeout_at(end, changes.changed())
            .await
            .is_err()
        {
            return listing(&shared.lock().objects, kind, Some(after));
        }
    }
}

fn put(shared: &Shared, call: &Call, kind: &str, name: &str) -> Response {
    let Ok(value) = std::str::from_utf8(&call.body) else {
        return wire::error(StatusCode::BAD_REQUEST, "the value is not UTF-8");
    };
    if value.len() > VALUE_BYTES {
        return wire::error(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large");
    }
    let Some(rule) = rule_of(call) else {
        return wire::error(StatusCode::PRECONDITION_REQUIRED, "a condition is needed");
    };
    let mut state = shared.lock();
    let (code, count) = match rule {
        Rule::Absent => (StatusCode::CREATED, &mut state.counts.creates),
        Rule::Match(_) => (StatusCode::OK, &mut state.counts.replaces),
    };
    *count += 1;
    let result = state.objects.put(kind, name, rule, value);
    if result.is_err() {
        state.counts.conflicts += 1;
    }
    drop(state);
    match result {
        Ok(version) => {
            shared.changed();
            tagged(code, version, String::new())
        }
        Err(miss) => missed(miss),
    }
}

fn delete(shared: &Shared, call: &Call, kind: &str, name: &str) -> Response {
    let Some(Rule::Match(version)) = rule_of(call) else {
        return wire::error(StatusCode::PRECONDITION_REQUIRED, "a version is needed");
    };
    let mut state = shared.lock();
    state.counts.deletes += 1;
    let result = state.objects.delete(kind, name, version);
    if result.is_err() {
        state.counts.conflicts += 1;
    }
    drop(state);
    match result {
        Ok(_) => {
            shared.changed();
            wire::status(StatusCode::NO_CONTENT)
        }
        Err(miss) => missed(miss),
    }
}

fn rule_of(call: &Call) -> Option<Rule> {
    if call.header(IF_NONE_MATCH.as_str()) == Some("*") {
        return Some(Rule::Absent);
    }
    let version = call.header(IF_MATCH.as_str())?.trim_matches('"');
    version.parse().ok().map(Rule::Match)
}

fn missed(miss: Miss) -> Response {
    match miss {
        Miss::Absent => wire::error(StatusCode::NOT_FOUND, "no such object"),
        Miss::Changed(None) => wire::error(StatusCode::PRECONDITION_FAILED, "no such object"),
        Miss::Changed(Some(version)) => tagged(
            StatusCode::PRECONDITION_FAILED,
            version,
            "the object has changed".to_owned(),
        ),
    }
}

fn listing(objects: &Objects, kind: &str, after: Option<u64>) -> Response {
    let items = objects.list(kind, after).into_iter();
    let objects_of = items.map(|(name, entry)| Item {
        name,
        version: entry.version,
        value: entry.value.as_deref(),
    });
    wire::json(&Listing {
        version: objects.version(),
        objects: objects_of.collect(),
    })
}

fn tagged(code: StatusCode, version: u64, body: String) -> Response {
    let mut answer = Response::new(body.into());
    *answer.status_mut() = code;
    wire::with(answer, ETAG.as_str(), &format!("\"{version}\""))
}
