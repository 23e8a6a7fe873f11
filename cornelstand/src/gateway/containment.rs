//! Requests that crash the endpoints that run them.
//!
//! An attempt that broke off counts as a crash if its endpoint does not take a connection right
//! afterwards. What is known of the request goes to the peers with the next beat.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::gate::Gate;
use crate::gateway::upstream::Upstream;
use crate::name::{BootId, EndpointName, Fingerprint};
use crate::suspect::{Crash, Standing};

/// Longest wait for an endpoint to take a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

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
            return false;
        }
        let crash = Crash {
            endpoint: endpoint.clone(),
            boot: Some(BootId(born)),
        };
        let now = self.now();
        self.state.borrow_mut().suspects.note(now, request, crash);
        tracing::info!(event = "endpoint_crashed", %endpoint, fingerprint = %request);
        true
    }

    /// Clears a request that was answered whole.
    pub(crate) fn absolve(&self, request: Fingerprint) {
        let now = self.now();
        self.state.borrow_mut().suspects.clear(now, request);
    }
}
