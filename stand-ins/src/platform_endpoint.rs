//! An endpoint on the users' platform: it answers under its identity, counts every run, and streams
//! events that can be resumed.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, StatusCode};
use tokio::time::sleep;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::host::{Host, StartError, boxed};

/// Header that names the request.
const REQUEST: &str = "x-cornelstand-attempt-id";
/// Header that names the endpoint that the sender means.
const EXPECTED: &str = "x-cornelstand-expect-instance";
/// Header with the parts of the prompt, as `ID:TOKENS` separated by commas.
const PROMPT_PARTS: &str = "x-cornelstand-prompt-prefix";
/// Path of streams.
const STREAMS: &str = "/stream/";

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// Identity under which it answers.
    pub name: String,
    /// Time of a call, and before the first event.
    pub work: Duration,
    /// Events of a stream.
    pub events: u32,
    /// Pause between two events.
    pub pause: Duration,
    /// Time until it is back after a [`FATAL`] request.
    pub down: Duration,
}

/// Body of a request that ends the endpoint that begins to run it.
pub const FATAL: &str = "fatal";

/// Prompt part that ends the endpoint that begins to answer a request with it, unless it is the
/// last one.
pub const FATAL_PART: &str = "dead";
/// Time between the head of an answer to a request with [`FATAL_PART`] and the end.
const FATAL_DELAY: Duration = Duration::from_millis(5);

/// Faults of an endpoint, switchable while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointFaults {
    /// Requests are refused as not run.
    pub busy: bool,
    /// Requests run, and their answers break off in the middle.
    pub cut: bool,
    /// Every second request runs and is answered with an error.
    pub failing: bool,
    /// Time by which the answers are later.
    pub delay: Duration,
}

#[derive(Debug)]
struct Inner {
    host: Host,
    settings: EndpointSettings,
    faults: Mutex<EndpointFaults>,
    /// Requests that came while it was failing.
    failing: AtomicU64,
    runs: Mutex<BTreeMap<String, u32>>,
    /// When it was ended by a request.
    ends: Mutex<Vec<Instant>>,
}

/// Fake of an endpoint on the platform.
#[derive(Debug)]
pub struct PlatformEndpoint {
    inner: Arc<Inner>,
}

impl PlatformEndpoint {
    /// Starts it on a free port.
    ///
    /// # Errors
    ///
    /// If the listener or its thread cannot be set up.
    pub fn start(settings: EndpointSettings) -> Result<Self, StartError> {
        let inner = Arc::new(Inner {
            host: Host::bind((Ipv4Addr::LOCALHOST, 0).into())?,
            settings,
            faults: Mutex::default(),
            failing: AtomicU64::default(),
            runs: Mutex::default(),
            ends: Mutex::default(),
        });
        serve(&inner)?;
        Ok(Self { inner })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.host.address()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: EndpointFaults) {
        *lock(&self.inner.faults) = faults;
    }

    /// Cuts all connections at once.
    ///
    /// # Errors
    ///
    /// If it cannot start again.
    pub fn crash(&self) -> Result<(), StartError> {
        serve(&self.inner)
    }

    /// How often each request ran.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.inner.runs).clone()
    }

    /// When requests ended it; each time it starts again.
    #[must_use]
    pub fn ends(&self) -> Vec<Instant> {
        lock(&self.inner.ends).clone()
    }
}

fn serve(inner: &Arc<Inner>) -> Result<(), StartError> {
    // The host owns what runs here, so it does not own the host.
    let weak = Arc::downgrade(inner);
    let filter = warp::path::full()
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(move |path: warp::path::FullPath, headers, body: Bytes| {
            let inner = weak.upgrade();
            async move {
                match inner {
                    Some(inner) => answer(&inner, path.as_str(), &headers, &body).await,
                    None => refusal(StatusCode::SERVICE_UNAVAILABLE),
                }
            }
        });
    inner.host.serve(boxed(filter), std::future::pending())
}

/// Ends the endpoint, and starts it again later.
fn end(inner: &Arc<Inner>) {
    let mut ends = lock(&inner.ends);
    let is_down = |end: &Instant| end.elapsed() < inner.settings.down;
    if ends.last().is_some_and(is_down) {
        return;
    }
    ends.push(Instant::now());
    drop(ends);
    let inner = inner.clone();
    // Its own runtime ends with it.
    std::thread::spawn(move || {
        inner.host.stop();
        std::thread::sleep(inner.settings.down);
        if let Err(error) = inner.host.listen().and_then(|()| serve(&inner)) {
            tracing::error!(%error, "the endpoint is not back");
        }
    });
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(inner: &Arc<Inner>, path: &str, headers: &HeaderMap, body: &Bytes) -> Response {
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let settings = &inner.settings;
    let request = text(REQUEST).unwrap_or_default().to_owned();
    if text(EXPECTED).is_some_and(|name| name != settings.name) {
        return refusal(StatusCode::MISDIRECTED_REQUEST);
    }
    let faults = *lock(&inner.faults);
    if faults.busy {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    }
    *lock(&inner.runs).entry(request.clone()).or_default() += 1;
    if body.starts_with(FATAL.as_bytes()) {
        end(inner);
        return std::future::pending().await;
    }
    sleep(settings.work + faults.delay).await;
    if faults.failing
        && inner
            .failing
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(2)
    {
        let mut response = Response::new("it failed".into());
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return stamped(response, &request);
    }
    if has_fatal_part(text(PROMPT_PARTS).unwrap_or_default()) {
        let inner = inner.clone();
        let events = futures::stream::once(async move {
            sleep(FATAL_DELAY).await;
            end(&inner);
            std::future::pending::<Result<Bytes, std::io::Error>>().await
        });
        return stamped(warp::reply::stream(events).into_response(), &request);
    }
    let after = text("last-event-id").and_then(|id| id.parse().ok());
    let first = after.map_or(1, |id: u32| id + 1);
    let body = if path.starts_with(STREAMS) {
        events(settings, first, faults.cut)
    } else if faults.cut {
        warp::reply::stream(futures::stream::iter([
            Ok(Bytes::from_static(b"ha")),
            Err(std::io::Error::other("cut")),
        ]))
        .into_response()
    } else {
        Response::new(format!("answer to {request}").into())
    };
    stamped(body, &request)
}

fn has_fatal_part(parts: &str) -> bool {
    let ids = parts.split(',').filter_map(|p| p.split(':').next());
    let ids: Vec<&str> = ids.collect();
    let shared = ids.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.contains(&FATAL_PART)
}

fn events(settings: &EndpointSettings, first: u32, is_cut: bool) -> Response {
    let (last, pause) = (settings.events, settings.pause);
    let end = if is_cut { first + last / 2 } else { last + 1 };
    let events = futures::stream::iter(first..=end.min(last + 1)).then(move |number| async move {
        if number >= end && is_cut {
            return Err(std::io::Error::other("cut"));
        }
        sleep(pause).await;
        if number > last {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from(format!(
            "id: {number}\ndata: {number} of {last}\n\n"
        )))
    });
    let events = events.filter(|e| {
        let is_kept = !matches!(e, Ok(bytes) if bytes.is_empty());
        async move { is_kept }
    });
    let mut response = warp::reply::stream(events).into_response();
    let media = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", media);
    response
}

fn stamped(mut response: Response, request: &str) -> Response {
    let headers = response.headers_mut();
    let receipt = http::HeaderValue::from_static("receipt");
    headers.insert("x-cornelstand-server-stamp", receipt);
    if let Ok(request) = request.parse() {
        headers.insert(REQUEST, request);
    }
    response
}

fn refusal(status: StatusCode) -> Response {
    let mut response = Response::default();
    *response.status_mut() = status;
    let yes = http::HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert("x-cornelstand-not-executed", yes);
    response
}
