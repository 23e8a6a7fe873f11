//! Detection of requests that crash their endpoints.
//!
//! A broken attempt counts as a crash if its endpoint does not accept a connection right
//! afterwards, or is known to have restarted. The suspicion is sent to the peers with the next
//! messages; see [`crate::gateway::suspicion_news`].

use std::time::Duration;

use derive_more::IsVariant;

use crate::gateway::call::Call;
use crate::gateway::directory::EndpointRecord;
use crate::gateway::gate::{Gate, State};
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::placement::Place;
use crate::gateway::upstream::Upstream;
use crate::moment::Moment;
use crate::name::{BootId, Fingerprint};
use crate::suspect::{Crash, MAX_CRASHES, Standing, Suspects, Suspicion};

/// Timeout of the connection probe to an endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Where a suspicion comes from.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub(crate) enum Source {
    /// Observed by this instance.
    Own,
    Heartbeat,
    Digest,
    Alarm,
}

impl Source {
    /// Label in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Heartbeat => "beat",
            Self::Digest => "digest",
            Self::Alarm => "alarm",
        }
    }
}

impl Gate {
    /// Time for which a request is refused because it crashed endpoints.
    pub(crate) fn refusal_left(&self, request: Fingerprint) -> Option<Duration> {
        let state = self.state.borrow();
        match state.suspects.check(self.now(), request) {
            Standing::Refused(left) => Some(left),
            Standing::Clear | Standing::Suspect => None,
        }
    }

    /// Counts a crash against a request if the endpoint that ran it is down or has restarted.
    pub(crate) async fn confirm_crash(&self, call: &Call, ran: &EndpointRecord, place: &Place) {
        let (request, sent) = (call.fingerprint, place.sent());
        let probe = Upstream::connect(ran.address, PROBE_TIMEOUT).await;
        let has_restarted = self.state.borrow().endpoints.is_replaced(ran);
        tracing::info!(
            event = "endpoint_probed", endpoint = %ran.name, request = %call.id(),
            fingerprint = %request, answer = %place.answer(), has_restarted,
            error = probe.as_ref().err().map(|e| e.kind().to_string()),
            parts = %call.parts_text(),
        );
        if probe.is_ok() && !has_restarted {
            let endpoint = &ran.name;
            tracing::info!(event = "endpoint_survived", %endpoint, fingerprint = %request);
            return;
        }
        let mut crash = Crash {
            endpoint: ran.name.clone(),
            boot: Some(BootId(ran.started_at)),
        };
        let was_known = self
            .state
            .borrow()
            .suspects
            .was_known(sent, request, &crash);
        // It got the request after that crash, so its later lifetime crashed and is not listed yet.
        if was_known {
            crash.boot = None;
        }
        self.note_crash(request, crash);
    }

    /// Counts a crash against a request.
    pub(crate) fn note_crash(&self, request: Fingerprint, crash: Crash) {
        let now = self.now();
        let endpoint = crash.endpoint.clone();
        let mut state = self.state.borrow_mut();
        let evidence =
            state.update_evidence(&self.metrics, now, Source::Own, request, |suspects| {
                suspects.record_crash(now, request, crash);
            });
        tracing::info!(
            event = "endpoint_crashed", %endpoint, fingerprint = %request,
            crashes = evidence.crashes,
        );
        drop(state);
        self.heartbeat_trigger.notify_one();
        if evidence.is_refused {
            self.alarm_trigger.notify_one();
        }
    }

    /// Records a complete answer, which may clear the request.
    pub(crate) fn note_answer(&self, request: Fingerprint, status: u16) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.update_evidence(&self.metrics, now, Source::Own, request, |suspects| {
            suspects.record_answer(now, request, status);
        });
    }
}

/// Evidence against a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Evidence {
    crashes: usize,
    is_refused: bool,
}

impl Evidence {
    fn of(suspects: &Suspects, now: Moment, request: Fingerprint) -> Self {
        Self {
            crashes: suspects.crashes(request),
            is_refused: suspects.check(now, request).is_refused(),
        }
    }
}

impl State {
    /// Merges the suspicions of a peer.
    pub(crate) fn merge_suspicions(
        &mut self,
        metrics: &GatewayMetrics,
        now: Moment,
        source: Source,
        suspicions: &[Suspicion],
    ) {
        for received in suspicions {
            let request = received.fingerprint;
            let evidence = self.update_evidence(metrics, now, source, request, |suspects| {
                suspects.merge(now, received.clone());
            });
            // The peer knows too few crashes to refuse it, and is sent them again.
            if evidence.is_refused && received.crashes.len() < MAX_CRASHES {
                self.suspicion_updates.resend(now, source, request);
            }
        }
    }

    /// Changes the evidence against a request, and queues the change for peers that do not know it.
    fn update_evidence(
        &mut self,
        metrics: &GatewayMetrics,
        now: Moment,
        source: Source,
        request: Fingerprint,
        change: impl FnOnce(&mut Suspects),
    ) -> Evidence {
        let before = Evidence::of(&self.suspects, now, request);
        change(&mut self.suspects);
        let after = Evidence::of(&self.suspects, now, request);
        if after == before {
            return after;
        }
        metrics.suspicions.with_label_values(&[source.name()]).inc();
        self.suspicion_updates
            .push(now, source, request, after.is_refused);
        let (crashes, fingerprint) = (after.crashes, request);
        let event = match (before.is_refused, after.is_refused) {
            (false, true) => "request_barred",
            (true, false) => "request_cleared",
            _ => {
                tracing::debug!(event = "suspicion", %fingerprint, source = source.name(), crashes);
                return after;
            }
        };
        let before = before.crashes;
        tracing::info!(event, %fingerprint, source = source.name(), crashes, before);
        after
    }
}
