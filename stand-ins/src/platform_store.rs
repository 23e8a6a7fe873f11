//! The users' platform's object store: revisions, conditional writes, pages, watches, and the ways
//! in which it fails.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};
use warp::Filter;
use warp::reply::Response;

use crate::host::{Host, StartError, boxed};

/// Objects in one page of a listing.
const PAGE: usize = 500;
/// Header of the era, which rises each time the store is restored from a copy.
const ERA: &str = "store-era";

/// Faults of the store, switchable while it runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Calls are refused with 503.
    pub away: bool,
    /// Calls get no answer.
    pub silent: bool,
    /// Answers to writes are lost after the write.
    pub lost: bool,
    /// Milliseconds after which a write is done whose answer is lost.
    pub late: u64,
    /// Milliseconds that each call takes longer.
    pub slow: u64,
}

/// What the store has seen.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreCounts {
    /// Calls that read.
    pub reads: u64,
    /// Calls that write.
    pub writes: u64,
}

/// Copy of the store's objects.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: u64,
    objects: HashMap<String, BTreeMap<String, Value>>,
}

#[derive(Clone, Debug)]
struct Change {
    kind: String,
    revision: u64,
    event: Value,
}

#[derive(Debug, Default)]
struct Core {
    revision: u64,
    era: u64,
    objects: HashMap<String, BTreeMap<String, Value>>,
    history: VecDeque<Change>,
    /// Kind, name and value of each status that was written.
    statuses: Vec<(String, String, Value)>,
    /// Revision up to which the history is gone.
    compacted: u64,
    faults: StoreFaults,
    counts: StoreCounts,
}

#[derive(Debug, Default)]
struct Inner {
    core: Mutex<Core>,
    changed: Notify,
}

/// Fake of the platform's object store.
#[derive(Debug)]
pub struct PlatformStore {
    host: Host,
    inner: Arc<Inner>,
}

impl PlatformStore {
    /// Starts it on a free port.
    ///
    /// # Errors
    ///
    /// If the listener or its thread cannot be set up.
    pub fn start() -> Result<Self, StartError> {
        let host = Host::bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let inner = Arc::new(Inner::default());
        let served = inner.clone();
        let filter = warp::method()
            .and(warp::path::full())
            .and(warp::query::<HashMap<String, String>>())
            .and(warp::body::bytes())
            .then(
                move |method, path: warp::path::FullPath, query, body: bytes::Bytes| {
                    let inner = served.clone();
                    async move {
                        let mut response =
                            inner.answer(&method, path.as_str(), &query, &body).await;
                        let era = inner.lock().era;
                        response.headers_mut().insert(ERA, era.into());
                        response
                    }
                },
            );
        host.serve(boxed(filter), std::future::pending())?;
        Ok(Self { host, inner })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.inner.lock().faults = faults;
    }

    /// What it has seen.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.inner.lock().counts
    }

    /// Writes an object as the operator or an endpoint does, whatever the faults.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.inner.put(kind, name, spec);
    }

    /// Removes an object as the operator or an endpoint does, whatever the faults.
    pub fn delete(&self, kind: &str, name: &str) -> bool {
        self.inner.delete(kind, name)
    }

    /// An object as it is stored.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<Value> {
        self.inner.lock().objects.get(kind)?.get(name).cloned()
    }

    /// All values that the status of an object has had, in order.
    #[must_use]
    pub fn statuses(&self, kind: &str, name: &str) -> Vec<Value> {
        let core = self.inner.lock();
        let of = core
            .statuses
            .iter()
            .filter(|(k, n, _)| k == kind && n == name);
        of.map(|(_, _, status)| status.clone()).collect()
    }

    /// A copy as of now.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let core = self.inner.lock();
        StoreCopy {
            revision: core.revision,
            objects: core.objects.clone(),
        }
    }

    /// Comes back from a copy: later changes are gone, and their revisions are given out again.
    /// Waiting watches are cut off.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut core = self.inner.lock();
        core.era += 1;
        core.revision = copy.revision;
        core.objects.clone_from(&copy.objects);
        core.history.retain(|c| c.revision <= copy.revision);
        drop(core);
        self.inner.changed.notify_waiters();
    }

    /// Drops the history.
    pub fn compact(&self) {
        let mut core = self.inner.lock();
        core.compacted = core.revision;
        core.history.clear();
        drop(core);
        self.inner.changed.notify_waiters();
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn put(&self, kind: &str, name: &str, spec: &Value) -> Value {
        let mut core = self.lock();
        let object = core.write(kind, name, |object| object["spec"] = spec.clone());
        drop(core);
        self.changed.notify_waiters();
        object
    }

    fn delete(&self, kind: &str, name: &str) -> bool {
        let mut core = self.lock();
        let objects = core.objects.entry(kind.to_owned()).or_default();
        let Some(object) = objects.remove(name) else {
            return false;
        };
        core.revision += 1;
        core.record(kind, json!({ "object": object, "deleted": true }));
        drop(core);
        self.changed.notify_waiters();
        true
    }

    async fn answer(
        self: &Arc<Self>,
        method: &Method,
        path: &str,
        query: &HashMap<String, String>,
        body: &[u8],
    ) -> Response {
        let faults = {
            let mut core = self.lock();
            if method == Method::GET {
                core.counts.reads += 1;
            } else {
                core.counts.writes += 1;
            }
            core.faults
        };
        sleep(Duration::from_millis(faults.slow)).await;
        if faults.silent {
            return std::future::pending().await;
        }
        if faults.away {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let is_write = method != Method::GET;
        if is_write && faults.late > 0 {
            let (inner, method, path) = (self.clone(), method.clone(), path.to_owned());
            let (query, body) = (query.clone(), body.to_vec());
            // The caller may have closed its connection by then.
            tokio::spawn(async move {
                sleep(Duration::from_millis(faults.late)).await;
                inner.execute(&method, &path, &query, &body).await;
            });
            return std::future::pending().await;
        }
        let response = self.execute(method, path, query, body).await;
        if faults.lost && is_write {
            return std::future::pending().await;
        }
        response
    }

    async fn execute(
        &self,
        method: &Method,
        path: &str,
        query: &HashMap<String, String>,
        body: &[u8],
    ) -> Response {
        let mut parts = path.trim_start_matches("/-/objects/").splitn(3, '/');
        let kind = parts.next().unwrap_or_default();
        match (method, parts.next(), parts.next()) {
            (&Method::GET, None, None) => match query.get("watch").and_then(|w| w.parse().ok()) {
                Some(from) => self.watch(kind, from, query).await,
                None => self.list(kind, query.get("after").map_or("", String::as_str)),
            },
            (&Method::GET, Some(name), None) => self.get(kind, name),
            (&Method::POST, None, None) => self.create(kind, body),
            (&Method::PUT, Some(name), None) => self.replace(kind, name, body),
            (&Method::PUT, Some(name), Some("status")) => self.replace_status(kind, name, body),
            (&Method::DELETE, Some(name), None) if self.delete(kind, name) => {
                status(StatusCode::OK)
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, kind: &str, after: &str) -> Response {
        let core = self.lock();
        let objects = core.objects.get(kind).into_iter().flatten();
        let mut rest = objects.filter(|(name, _)| name.as_str() > after);
        let items: Vec<&Value> = rest.by_ref().take(PAGE).map(|(_, o)| o).collect();
        let has_more = rest.next().is_some();
        reply(&json!({ "items": items, "has_more": has_more, "as_of": core.revision }))
    }

    async fn watch(&self, kind: &str, from: u64, query: &HashMap<String, String>) -> Response {
        let wait = query.get("wait_ms").and_then(|w| w.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let era = self.lock().era;
        loop {
            let changed = self.changed.notified();
            {
                let core = self.lock();
                if core.era != era {
                    return status(StatusCode::SERVICE_UNAVAILABLE);
                }
                if from < core.compacted || from > core.revision {
                    return status(StatusCode::GONE);
                }
                let new = core
                    .history
                    .iter()
                    .filter(|c| c.kind == kind && c.revision > from);
                let events: Vec<&Value> = new.map(|c| &c.event).collect();
                if !events.is_empty() || Instant::now() >= until {
                    return reply(&json!({ "events": events, "as_of": core.revision }));
                }
            }
            // At the end of the wait the loop answers with no events.
            let _ = timeout_at(until, changed).await;
        }
    }

    fn get(&self, kind: &str, name: &str) -> Response {
        let core = self.lock();
        let object = core.objects.get(kind).and_then(|objects| objects.get(name));
        object.map_or_else(|| status(StatusCode::NOT_FOUND), reply)
    }

    fn create(&self, kind: &str, body: &[u8]) -> Response {
        let Some((name, spec)) = object(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let exists = {
            let core = self.lock();
            let objects = core.objects.get(kind);
            objects.is_some_and(|objects| objects.contains_key(&name))
        };
        if exists {
            return status(StatusCode::CONFLICT);
        }
        reply(&self.put(kind, &name, &spec))
    }

    fn replace(&self, kind: &str, name: &str, body: &[u8]) -> Response {
        match object(body) {
            Some((_, spec)) => reply(&self.put(kind, name, &spec)),
            None => status(StatusCode::BAD_REQUEST),
        }
    }

    /// Replaces the status of an object if the call carries its revision, or none.
    fn replace_status(&self, kind: &str, name: &str, body: &[u8]) -> Response {
        let Ok(value) = serde_json::from_slice::<Value>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut core = self.lock();
        let known = core.objects.get(kind).and_then(|o| o.get(name)).cloned();
        let Some(known) = known else {
            return status(StatusCode::NOT_FOUND);
        };
        let condition = value.pointer("/metadata/revision").and_then(Value::as_u64);
        if condition.is_some_and(|c| Some(c) != known["metadata"]["revision"].as_u64()) {
            let mut response = reply(&known);
            *response.status_mut() = StatusCode::CONFLICT;
            return response;
        }
        let new = value.get("status").cloned().unwrap_or_default();
        if known["status"] != new {
            let entry = (kind.to_owned(), name.to_owned(), new.clone());
            core.statuses.push(entry);
        }
        let object = core.write(kind, name, |object| object["status"] = new);
        drop(core);
        self.changed.notify_waiters();
        reply(&object)
    }
}

impl Core {
    /// Changes an object, or creates it. A write that changes nothing has no revision.
    fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Value)) -> Value {
        let revision = self.revision + 1;
        let known = self.objects.get(kind).and_then(|o| o.get(name)).cloned();
        let mut object = known.clone().unwrap_or_else(|| {
            let metadata = json!({
                "name": name, "created_rev": revision, "finalizers": [], "deleting": false,
            });
            json!({ "metadata": metadata, "spec": null, "status": null })
        });
        change(&mut object);
        if known.as_ref() == Some(&object) {
            return object;
        }
        self.revision = revision;
        object["metadata"]["revision"] = json!(revision);
        let objects = self.objects.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), object.clone());
        self.record(kind, json!({ "object": object, "deleted": false }));
        object
    }

    fn record(&mut self, kind: &str, event: Value) {
        self.history.push_back(Change {
            kind: kind.to_owned(),
            revision: self.revision,
            event,
        });
    }
}

fn object(body: &[u8]) -> Option<(String, Value)> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let name = value.pointer("/metadata/name")?.as_str()?.to_owned();
    Some((name, value.get("spec").cloned().unwrap_or_default()))
}

fn reply(value: &Value) -> Response {
    let mut response = Response::new(value.to_string().into());
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}

fn status(status: StatusCode) -> Response {
    let mut response = Response::default();
    *response.status_mut() = status;
    response
}
