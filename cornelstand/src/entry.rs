//! The entry: serves callers' requests and forwards them to endpoints.
//!
//! A request is authenticated, classified and read by its handler, and then processed by a task of
//! its own (see `call`), which notices when the caller disconnects. The handler waits for the head
//! of the answer and streams the body as it arrives.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::header::{CONNECTION, EXPECT, HeaderValue};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::hyper::body::Incoming;
use warp::reply::Response;

use crate::admit::{Rejection, admit};
use crate::attempt::Unsent;
use crate::body::{BodyLimits, discard};
use crate::caller::{Answer, caller_channel};
use crate::claims::ClaimStore;
use crate::config::Config;
use crate::containment::SpreadCall;
use crate::dispatch::{Census, Dispatch};
use crate::entry_core::{Core, OpenRequest};
use crate::entry_metrics::EntryMetrics;
use crate::listener::{self, ConnectionLimits};
use crate::moment::Clock;
use crate::name::{CellId, InstanceName, RequestId};
use crate::suspect::Suspicion;
use crate::timeline::Timeline;

/// Limits of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct EntryLimits {
    /// Maximum milliseconds until a request's header is complete, also on an idle connection.
    pub header_ms: u64,
    /// Maximum size of a request's header in bytes.
    pub header_bytes: usize,
    /// Maximum milliseconds to receive the part of a body that is read ahead.
    pub body_ms: u64,
    /// Maximum size of a body in bytes.
    pub body_bytes: u64,
    /// Maximum bytes of a body kept for a retry.
    pub replay_bytes: usize,
    /// Maximum bytes of all bodies buffered at once.
    pub buffer_bytes: usize,
    /// Maximum milliseconds from sending to the first byte of the answer.
    pub first_ms: u64,
    /// Milliseconds without a head after which a model engine is queried for the stream.
    pub probe_ms: u64,
    /// Maximum milliseconds between two chunks of a body or answer, on either side.
    pub idle_ms: u64,
    /// Default deadline in milliseconds for the answer to begin.
    pub deadline_ms: u64,
    /// Maximum number of caller connections.
    pub connections: usize,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            header_ms: 20_000,
            header_bytes: 32 * 1024,
            body_ms: 30_000,
            body_bytes: 64 << 20,
            replay_bytes: 256 * 1024,
            buffer_bytes: 64 << 20,
            first_ms: 60_000,
            probe_ms: 3_000,
            idle_ms: 20_000,
            deadline_ms: 300_000,
            connections: 2_048,
        }
    }
}

impl EntryLimits {
    pub(crate) fn first(&self) -> Duration {
        Duration::from_millis(self.first_ms)
    }

    pub(crate) fn probe(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    pub(crate) fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    fn connection(&self) -> ConnectionLimits {
        ConnectionLimits {
            header: Duration::from_millis(self.header_ms),
            bytes: self.header_bytes,
            idle: self.idle(),
            count: self.connections,
        }
    }

    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    pub(crate) fn body(&self) -> BodyLimits {
        BodyLimits {
            idle: self.idle(),
            ahead: Duration::from_millis(self.body_ms),
            replay: self.replay_bytes,
            max: self.body_bytes,
        }
    }
}

/// Components of an entry.
#[derive(Clone)]
pub struct EntryParts {
    /// Name of the instance.
    pub name: InstanceName,
    /// Access to the dispatchers.
    pub dispatch: Dispatch,
    /// Claims of requests that may not be repeated.
    pub claims: ClaimStore,
    /// Notifies the peers of suspect requests.
    pub spread: SpreadCall,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Config>>,
    /// Clock of the instance.
    pub clock: Clock,
    /// Ring buffer of events.
    pub timeline: Timeline,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Limits.
    pub limits: EntryLimits,
}

/// The entry of one instance. Clones share their state.
#[derive(Clone)]
pub struct Entry {
    core: Arc<Core>,
}

impl Entry {
    /// Creates an entry that does not serve yet.
    #[must_use]
    pub fn new(parts: EntryParts) -> Self {
        Self {
            core: Arc::new(Core::new(parts)),
        }
    }

    /// Serves callers on `listener` until `shutdown`, then completes the open exchanges and the
    /// requests that outlive their callers.
    pub async fn serve(&self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        let core = self.core.clone();
        let handle = move |request| handle(core.clone(), request);
        let limits = self.core.limits.connection();
        let open = self.core.metrics.connections.clone();
        let serve = async {
            let closed = self.core.closing.listener_closed();
            listener::serve(listener, limits, open, handle, closed, shutdown).await;
            self.core.idle().await;
        };
        tokio::select! {
            () = serve => {}
            () = self.core.watch_pauses() => {}
        }
    }

    /// Announces a stop that ends after `left`.
    ///
    /// Requests that cannot be answered by then are refused. At the end, every open request gets
    /// its final answer.
    pub fn announce_stop(&self, left: Duration) {
        let end = self.core.clock.now().after(left);
        self.core.closing.announce(end);
    }

    /// Takes no new connections from now on.
    pub fn close_listener(&self) {
        self.core.closing.close_listener();
    }

    /// Returns the number of requests that a stop left without a complete answer after they were
    /// sent.
    #[must_use]
    pub fn cut(&self) -> usize {
        self.core.closing.cut()
    }

    /// Returns the number of requests that a stop refused or cut without a log line.
    #[must_use]
    pub fn unlogged(&self) -> usize {
        self.core.closing.unlogged()
    }

    /// Refuses new requests from now on. Accepted requests continue.
    pub fn drain(&self) {
        self.core.drain();
    }

    /// Returns the number of open requests, including waiting ones.
    #[must_use]
    pub fn running(&self) -> usize {
        self.core.open_calls()
    }

    /// Returns the number of open granted attempts.
    #[must_use]
    pub fn granted(&self) -> usize {
        self.core.ledger.len()
    }

    /// Returns the latest `max` suspicions, to be sent to the peers.
    #[must_use]
    pub fn suspicions(&self, max: usize) -> Vec<Suspicion> {
        let now = self.core.clock.now();
        self.core.suspects().suspicions(now, max)
    }

    /// Merges suspicions received from peers.
    pub fn learn(&self, received: Vec<Suspicion>) {
        self.core.merge_suspicions(received);
    }

    /// Merges a peer's suspicion of one request and returns the merged state.
    #[must_use]
    pub fn exchange(&self, received: Suspicion) -> Option<Suspicion> {
        let now = self.core.clock.now();
        let request = received.fingerprint;
        let mut suspects = self.core.suspects();
        suspects.merge(now, received);
        suspects.suspicion(now, request)
    }

    /// Returns the attempts that the entry runs in `cell`.
    #[must_use]
    pub fn census(&self, cell: &CellId) -> Census {
        self.core.ledger.census(&self.core.name, cell)
    }
}

/// Handles one request.
async fn handle(core: Arc<Core>, request: Request<Incoming>) -> Response {
    let id = RequestId(rand::random());
    let open = OpenRequest::new(core.clone());
    let unsent = Unsent::new(id);
    let (parts, body) = request.into_parts();
    // Reading the body would ask a caller that waits for `100 Continue` to send it.
    let is_withheld = parts.headers.contains_key(EXPECT);
    let mut body = Some(body);
    let admitted = tokio::select! {
        admitted = admit(&core, id, parts, &mut body) => admitted,
        () = core.stop_ended() => Err(Rejection::stopping()),
    };
    let answer = match admitted {
        Ok(call) => {
            let (caller, answer) = caller_channel(core.clone(), id, open);
            tokio::spawn(call.run(unsent, caller));
            answer.await
        }
        Err(flaw) => {
            if let Some(body) = body.filter(|_| !is_withheld) {
                tokio::spawn(discard(body, core.limits.body()));
            }
            Answer::refused(&core, id, &flaw.problem(unsent.refuse()))
        }
    };
    let mut response = answer.into_response(id);
    if core.closing.is_announced() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
