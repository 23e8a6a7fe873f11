//! The entry: callers' requests from their connection to the endpoint's.
//!
//! A request is authenticated, classified and read here, and then carried out by a task of its
//! own (see `call`), which notices when the caller goes away. The handler waits for the head of
//! the answer and passes the body on as it comes.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::hyper::body::Incoming;
use warp::reply::Response;

use crate::admit::admit;
use crate::attempt::Unsent;
use crate::body::BodyLimits;
use crate::caller::{Answer, caller};
use crate::claims::ClaimStore;
use crate::config::Config;
use crate::containment::SpreadCall;
use crate::dispatch::{Census, Dispatch};
use crate::entry_core::{Core, Open};
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
    /// Milliseconds until a request's header is complete, also on an unused connection.
    pub header_ms: u64,
    /// Most bytes of a request's header.
    pub header_bytes: usize,
    /// Milliseconds until the part of a body that is read ahead is there.
    pub body_ms: u64,
    /// Most bytes of a body.
    pub body_bytes: u64,
    /// Most bytes of a body that are kept for a further attempt.
    pub replay_bytes: usize,
    /// Most bytes of all bodies together that are kept at once.
    pub buffer_bytes: usize,
    /// Milliseconds from sending to the first byte of the answer.
    pub first_ms: u64,
    /// Milliseconds without a head after which a model engine is asked whether it has the request.
    pub probe_ms: u64,
    /// Milliseconds between two pieces of a body or answer, on either side.
    pub idle_ms: u64,
    /// Milliseconds until the answer begins, where the caller states no deadline.
    pub deadline_ms: u64,
    /// Most connections of callers.
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
            most: self.body_bytes,
        }
    }
}

/// What an entry is built from.
#[derive(Clone)]
pub struct EntryParts {
    /// The instance.
    pub name: InstanceName,
    /// Way to the dispatchers.
    pub dispatch: Dispatch,
    /// Claims of requests that may not be repeated.
    pub claims: ClaimStore,
    /// Way to tell the peers of suspect requests.
    pub spread: SpreadCall,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Config>>,
    /// Source of moments.
    pub clock: Clock,
    /// Ring of events.
    pub timeline: Timeline,
    /// Counters.
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
    /// An entry that serves nothing yet.
    #[must_use]
    pub fn new(parts: EntryParts) -> Self {
        Self {
            core: Arc::new(Core::new(parts)),
        }
    }

    /// Serves callers at `listener` until `shutdown`, then ends the open exchanges and what runs
    /// on for callers that have gone.
    pub async fn serve(&self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        let core = self.core.clone();
        let handle = move |request| handle(core.clone(), request);
        let limits = self.core.limits.connection();
        let open = self.core.metrics.connections.clone();
        let serve = async {
            listener::serve(listener, limits, open, handle, shutdown).await;
            self.core.idle().await;
        };
        tokio::select! {
            () = serve => {}
            () = self.core.watch_pauses() => {}
        }
    }

    /// Refuses new requests from now on. Those accepted go on.
    pub fn drain(&self) {
        self.core.drain();
    }

    /// Number of requests accepted and not ended, waiting ones included.
    #[must_use]
    pub fn running(&self) -> usize {
        self.core.open_calls()
    }

    /// Number of attempts granted and not ended.
    #[must_use]
    pub fn granted(&self) -> usize {
        self.core.ledger.len()
    }

    /// What is known about suspect requests, the latest `most` of them, for the peers.
    #[must_use]
    pub fn suspicions(&self, most: usize) -> Vec<Suspicion> {
        let now = self.core.clock.now();
        self.core.suspects().suspicions(now, most)
    }

    /// Takes in what peers know about suspect requests.
    pub fn learn(&self, told: Vec<Suspicion>) {
        self.core.merge_suspicions(told);
    }

    /// Takes in what a peer tells of one request and returns what is known of it here.
    #[must_use]
    pub fn exchange(&self, told: Suspicion) -> Option<Suspicion> {
        let now = self.core.clock.now();
        let request = told.fingerprint;
        let mut suspects = self.core.suspects();
        suspects.merge(now, told);
        suspects.suspicion(now, request)
    }

    /// What the entry runs of `cell`.
    #[must_use]
    pub fn census(&self, cell: &CellId) -> Census {
        self.core.ledger.census(&self.core.name, cell)
    }
}

/// Answers one request.
async fn handle(core: Arc<Core>, request: Request<Incoming>) -> Response {
    let id = RequestId(rand::random());
    let open = Open::new(core.clone());
    let unsent = Unsent::new(id);
    let answer = match admit(&core, id, request).await {
        Ok(call) => {
            let (caller, answer) = caller(core.clone(), id, open);
            tokio::spawn(call.run(unsent, caller));
            answer.await
        }
        Err(flaw) => Answer::refused(&core, id, &flaw.problem(unsent.refuse())),
    };
    answer.into_response(id)
}
