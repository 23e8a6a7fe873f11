//! Requests that crash the endpoints that run them.
//!
//! An attempt that broke off counts as a crash if its endpoint does not take a connection right
//! afterwards. What is known of the request goes to the peers with the next beat.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use crate::gateway::gate::{Gate, State};
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::upstream::Upstream;
use crate::moment::Moment;
use crate::name::{BootId, EndpointName, Fingerprint};
use crate::suspect::{Crash, Standing, Suspicion};

/// Longest wait for an endpoint to take a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Where a belief about a request comes from.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Source {
    #[display("own")]
    Own,
    #[display("beat")]
    Beat,
    #[display("digest")]
    Digest,
}

impl Gate {
    /// Time for which a request is refused because it crashed endpoints.
    pub(crate) fn refused_for(&self, request: Fingerprint) -> Option<Duration> {
        let state = self.state.borrow();
        match state.suspects.check(self.now(), request) {
            Standing::Refused(left) => Some(left),
            Standing::Clear | Standing::Suspect => None,
        }
    }

    /// Counts a crash against a request if its endpoint is down.
    pub(crate) async fn examine(
        &self,
        request: Fingerprint,
        endpoint: &EndpointName,
        born: u64,
        address: SocketAddr,
    ) -> bool {
        if Upstream::connect(address, PROBE_TIMEOUT).await.is_ok() {
            tracing::info!(event = "endpoint_survived", %endpoint, fingerprint = %request);
            return false;
        }
        self.note_crash(request, endpoint, born);
        true
    }

    /// Counts a crash against a request.
    pub(crate) fn note_crash(&self, request: Fingerprint, endpoint: &EndpointName, born: u64) {
        let crash = Crash {
            endpoint: endpoint.clone(),
            boot: Some(BootId(born)),
        };
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let change = Change::before(&state, now, request, Source::Own);
        state.suspects.note(now, request, crash);
        tracing::info!(
            event = "endpoint_crashed", %endpoint, fingerprint = %request,
            crashes = state.suspects.crashes(request),
        );
        change.log(&state, &self.metrics, now);
    }

    /// Clears a request that was answered whole.
    pub(crate) fn absolve(&self, request: Fingerprint) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let change = Change::before(&state, now, request, Source::Own);
        state.suspects.clear(now, request);
        change.log(&state, &self.metrics, now);
    }
}

/// Takes in what a peer holds against requests.
pub(crate) fn hear_suspicions(
    state: &mut State,
    metrics: &GatewayMetrics,
    now: Moment,
    source: Source,
    suspicions: &[Suspicion],
) {
    for told in suspicions {
        let change = Change::before(state, now, told.fingerprint, source);
        state.suspects.merge(now, told.clone());
        change.log(state, metrics, now);
    }
}

/// What was held against a request before something was learned of it.
struct Change {
    request: Fingerprint,
    source: Source,
    crashes: usize,
    was_refused: bool,
}

impl Change {
    fn before(state: &State, now: Moment, request: Fingerprint, source: Source) -> Self {
        Self {
            request,
            source,
            crashes: state.suspects.crashes(request),
            was_refused: state.suspects.check(now, request).is_refused(),
        }
    }

    /// Counts a change, and logs one that decides whether the request is refused.
    fn log(self, state: &State, metrics: &GatewayMetrics, now: Moment) {
        let crashes = state.suspects.crashes(self.request);
        if crashes == self.crashes {
            return;
        }
        let source = self.source.to_string();
        metrics.suspicions.with_label_values(&[&source]).inc();
        let is_refused = state.suspects.check(now, self.request).is_refused();
        let (event, fingerprint) = match (self.was_refused, is_refused) {
            (false, true) => ("request_barred", self.request),
            (true, false) => ("request_cleared", self.request),
            _ => {
                tracing::debug!(event = "suspicion", fingerprint = %self.request, source, crashes);
                return;
            }
        };
        tracing::info!(event, %fingerprint, source, crashes, before = self.crashes);
    }
}
