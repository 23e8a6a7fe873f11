//! Connections to endpoints.
//!
//! Each endpoint address has an HTTP client with its own connection pool. When a pooled connection
//! goes silent, the whole client is replaced, since whatever dropped the state of one connection
//! has probably dropped that of the others too: later requests open new connections, and running
//! streams keep the old client. A request that may not be repeated uses a new connection: the extra
//! round trip costs less than an unknown outcome from a dead pooled connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use reqwest::{Body, Client, Response};

use crate::config::Repeat;
use crate::headers::{ENDPOINT_BOOT, REQUEST_ID};
use crate::name::{AttemptId, BootId};

/// Timeout for opening a connection.
const CONNECT: Duration = Duration::from_secs(2);
/// Time after which an idle pooled connection is closed.
const POOL_IDLE: Duration = Duration::from_secs(20);
/// Interval of TCP keepalive probes.
const PROBE: Duration = Duration::from_secs(5);
/// Unanswered keepalive probes after which a connection is closed.
const PROBES: u32 = 2;
/// Maximum time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);
/// Timeout for cancelling a stream.
const CANCEL: Duration = Duration::from_secs(5);

/// HTTP clients of all endpoints.
#[derive(Debug)]
pub(crate) struct Upstreams {
    pools: Mutex<HashMap<SocketAddr, Client>>,
    single: Client,
}

/// A request to an endpoint.
#[derive(Debug)]
pub(crate) struct Upcall {
    pub(crate) address: SocketAddr,
    pub(crate) attempt: AttemptId,
    pub(crate) method: Method,
    /// Path and query, beginning with a slash.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    pub(crate) repeat: Repeat,
}

impl Upstreams {
    pub(crate) fn new() -> Self {
        Self {
            pools: Mutex::default(),
            single: client(0),
        }
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(&self, call: Upcall) -> Result<Response, reqwest::Error> {
        let http = match call.repeat {
            Repeat::Idempotent => self.pool(call.address),
            Repeat::Once => self.single.clone(),
        };
        let mut headers = call.headers;
        headers.insert(REQUEST_ID, attempt_value(call.attempt));
        http.request(
            call.method,
            format!("http://{}{}", call.address, call.target),
        )
        .headers(headers)
        .body(call.body)
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
        let request = self.single.get(url);
        request
            .header(REQUEST_ID, attempt_value(attempt))
            .send()
            .await
    }

    /// Cancels a stream at an endpoint; returns whether the endpoint confirmed it.
    pub(crate) async fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> bool {
        let stream = attempt_text(attempt);
        let url = format!("http://{address}/streams/{stream}/cancel");
        let answer = self.single.post(url).timeout(CANCEL).send().await;
        answer.is_ok_and(|a| a.status().is_success())
    }

    /// Queries the boot identity of an endpoint on a new connection.
    pub(crate) async fn boot(&self, address: SocketAddr) -> Result<Option<BootId>, reqwest::Error> {
        let answer = self.single.get(format!("http://{address}/load")).send();
        Ok(boot_of(answer.await?.headers()))
    }

    /// Drops the pool of `address`; the next request creates a new one.
    pub(crate) fn replace(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Drops the pools of addresses for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.lock().retain(|&address, _| keep(address));
    }

    fn pool(&self, address: SocketAddr) -> Client {
        self.lock()
            .entry(address)
            .or_insert_with(|| client(usize::MAX))
            .clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Client>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
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

/// Returns whether an answer belongs to an attempt other than `attempt`.
pub(crate) fn is_foreign(headers: &HeaderMap, attempt: AttemptId) -> bool {
    headers
        .get(REQUEST_ID)
        .is_some_and(|id| id.as_bytes() != attempt_text(attempt).as_bytes())
}

fn attempt_value(attempt: AttemptId) -> HeaderValue {
    HeaderValue::from_str(&attempt_text(attempt)).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn client(idle: usize) -> Client {
    Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT)
        .pool_idle_timeout(POOL_IDLE)
        .pool_max_idle_per_host(idle)
        .tcp_nodelay(true)
        .tcp_keepalive(PROBE)
        .tcp_keepalive_interval(PROBE)
        .tcp_keepalive_retries(PROBES)
        .tcp_user_timeout(UNACKNOWLEDGED)
        .build()
        .expect("an HTTP client without TLS needs no system resources")
}
