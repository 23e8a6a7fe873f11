//! Connections to endpoints.
//!
//! Each endpoint address has an HTTP client with its own connection pool. When a pooled connection
//! goes silent, the whole client is replaced, since whatever dropped the state of one connection
//! has probably dropped that of the others too: later requests open new connections, and running
//! streams keep the old client. A request that may not be repeated uses a new connection: the extra
//! round trip costs less than an unknown outcome from a dead pooled connection. So does a request to
//! an endpoint whose answers name no attempt: a late copy of an earlier answer on a pooled connection
//! could not be told from its own.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use reqwest::{Body, Client, Response};

use crate::config::Repeat;
use crate::headers::{ENDPOINT_BOOT, REQUEST_ID};
use crate::name::{AttemptId, BootId};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections to an endpoint: each keeps the buffer of its longest answer.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Interval of TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum time that sent bytes may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for cancelling a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP clients of all endpoints.
#[derive(Debug)]
pub(crate) struct Upstreams {
    pools: Mutex<HashMap<SocketAddr, Client>>,
    unpooled: Client,
    /// Endpoints whose answers name the attempt since their pool was created.
    naming: Mutex<HashSet<SocketAddr>>,
}

/// A request to an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointRequest {
    pub(crate) address: SocketAddr,
    pub(crate) attempt: AttemptId,
    pub(crate) method: Method,
    /// Path and query, beginning with a slash.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Whether a connection that carried another request may be used.
    pub(crate) is_pooled: bool,
}

impl Upstreams {
    pub(crate) fn new() -> Self {
        Self {
            pools: Mutex::default(),
            unpooled: client(0),
            naming: Mutex::default(),
        }
    }

    /// Returns whether a request to `address` may use a pooled connection.
    pub(crate) fn may_pool(&self, address: SocketAddr, repeat: Repeat) -> bool {
        repeat.is_idempotent() && lock(&self.naming).contains(&address)
    }

    /// Returns whether an answer of `address` belongs to an attempt other than `attempt`: it names
    /// another one, or came on a pooled connection and names none although others of that endpoint
    /// do.
    pub(crate) fn is_foreign(
        &self,
        address: SocketAddr,
        headers: &HeaderMap,
        attempt: AttemptId,
        is_pooled: bool,
    ) -> bool {
        let mut ids = headers.get_all(REQUEST_ID).iter().peekable();
        if ids.peek().is_none() {
            return is_pooled && lock(&self.naming).contains(&address);
        }
        lock(&self.naming).insert(address);
        ids.any(|id| id.as_bytes() != attempt_text(attempt).as_bytes())
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(&self, request: EndpointRequest) -> Result<Response, reqwest::Error> {
        let client = if request.is_pooled {
            self.pool(request.address)
        } else {
            self.unpooled.clone()
        };
        let mut headers = request.headers;
        headers.insert(REQUEST_ID, attempt_value(request.attempt));
        client
            .request(
                request.method,
                format!("http://{}{}", request.address, request.target),
            )
            .headers(headers)
            .body(request.body)
            .send()
            .await
    }

    /// Requests the rest of a stream after `chunks` chunks on a new connection.
    pub(crate) async fn resume(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        chunks: u64,
    ) -> Result<Response, reqwest::Error> {
        let stream = attempt_text(attempt);
        let url = format!("http://{address}/streams/{stream}?after={chunks}");
        let request = self.unpooled.get(url);
        request
            .header(REQUEST_ID, attempt_value(attempt))
            .send()
            .await
    }

    /// Cancels a stream at an endpoint; returns whether the endpoint confirmed it.
    pub(crate) async fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> bool {
        let stream = attempt_text(attempt);
        let url = format!("http://{address}/streams/{stream}/cancel");
        let answer = self.unpooled.post(url).timeout(CANCEL_TIMEOUT).send().await;
        answer.is_ok_and(|a| a.status().is_success())
    }

    /// Queries the boot identity of an endpoint on a new connection.
    pub(crate) async fn boot(&self, address: SocketAddr) -> Result<Option<BootId>, reqwest::Error> {
        let answer = self.unpooled.get(format!("http://{address}/load")).send();
        Ok(boot_of(answer.await?.headers()))
    }

    /// Drops the pool of `address`; the next request creates a new one.
    pub(crate) fn replace(&self, address: SocketAddr) {
        lock(&self.pools).remove(&address);
        lock(&self.naming).remove(&address);
    }

    /// Drops the pools of addresses for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        lock(&self.pools).retain(|&address, _| keep(address));
        lock(&self.naming).retain(|&address| keep(address));
    }

    fn pool(&self, address: SocketAddr) -> Client {
        lock(&self.pools)
            .entry(address)
            .or_insert_with(|| client(MAX_IDLE_CONNECTIONS))
            .clone()
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Formats the identity of an attempt for headers and paths.
pub(crate) fn attempt_text(attempt: AttemptId) -> String {
    format!("{}-{}", attempt.request, attempt.number)
}

/// Returns the boot identity in an endpoint's answer.
pub(crate) fn boot_of(headers: &HeaderMap) -> Option<BootId> {
    let text = headers.get(ENDPOINT_BOOT)?.to_str().ok()?;
    text.parse().ok().map(BootId)
}

fn attempt_value(attempt: AttemptId) -> HeaderValue {
    HeaderValue::from_str(&attempt_text(attempt)).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn client(max_idle: usize) -> Client {
    Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .tcp_nodelay(true)
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_keepalive_retries(KEEPALIVE_PROBES)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .build()
        .expect("an HTTP client without TLS needs no system resources")
}
