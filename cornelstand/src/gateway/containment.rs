//! Detection of requests, and prompt parts, that crash their endpoints.
//!
//! A broken attempt counts as a crash if its endpoint does not accept a connection right
//! afterwards, or is known to have restarted. The request is then suspected, and so are the shared
//! parts of its prompt unless its answer had begun; see [`crate::gateway::prompt_suspects`]. The
//! evidence is sent to the peers with the next messages; see [`crate::gateway::suspicion_news`].

use std::io::ErrorKind;
use std::time::Duration;

use derive_more::IsVariant;

use crate::gateway::call::{CRASH_REASON, Call, PART_CRASH_REASON};
use crate::gateway::directory::EndpointRecord;
use crate::gateway::endpoint_state::Prompt;
use crate::gateway::gate::{Gate, State, release_refused};
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers::endpoint_key;
use crate::gateway::placement::Place;
use crate::gateway::prompt_suspects::{BegunPart, Loss, LossKey, PartChange};
use crate::gateway::suspicion_news::CrashNews;
use crate::gateway::upstream::Upstream;
use crate::moment::Moment;
use crate::name::{BootId, Fingerprint, PartId};
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
    /// Reason for which a request is refused because it, or a part of its prompt, crashed endpoints,
    /// and the time for which it is refused.
    pub(crate) fn crash_refusal(
        &self,
        request: Fingerprint,
        prompt: Option<&Prompt>,
    ) -> Option<(&'static str, Duration)> {
        if let Some(left) = self.refusal_left(request) {
            return Some((CRASH_REASON, left));
        }
        let left = self.prompt_refusal_left(prompt?)?;
        Some((PART_CRASH_REASON, left))
    }

    /// Time for which a request is refused because it crashed endpoints.
    pub(crate) fn refusal_left(&self, request: Fingerprint) -> Option<Duration> {
        let state = self.state.borrow();
        match state.suspects.check(self.now(), request) {
            Standing::Refused(left) => Some(left),
            Standing::Clear | Standing::Suspect => None,
        }
    }

    /// Time for which requests with `prompt` are refused because a part of it crashed endpoints.
    pub(crate) fn prompt_refusal_left(&self, prompt: &Prompt) -> Option<Duration> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.prompt_suspects.has_expired(now) {
            state.decide_parts(now, Source::Own);
        }
        state.prompt_suspects.refusal_left(now, prompt.shared_ids())
    }

    /// Counts a crash against a request if the endpoint that ran it is down or has restarted.
    /// Returns whether it is.
    pub(crate) async fn confirm_crash(
        &self,
        call: &Call,
        ran: &EndpointRecord,
        place: &Place,
    ) -> bool {
        let (request, sent) = (call.fingerprint, place.sent());
        let noticed = self.now();
        let probe = Upstream::connect(ran.address, PROBE_TIMEOUT).await;
        let has_restarted = self.state.borrow().endpoints.is_replaced(ran);
        tracing::info!(
            event = "endpoint_probed", endpoint = %ran.name, request = %call.id(),
            fingerprint = %request, answer = %place.answer, has_restarted,
            error = probe.as_ref().err().map(|e| e.kind().to_string()),
            parts = %call.parts_text(),
        );
        if probe.is_ok() && !has_restarted {
            return false;
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
        // An endpoint that is only out of reach may not have crashed.
        let is_down = probe.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused);
        if let Some(prompt) = &call.prompt
            && (is_down || has_restarted)
            && !place.answer.is_begun()
        {
            self.note_loss(Loss {
                key: LossKey {
                    request,
                    endpoint: endpoint_key(ran),
                },
                parts: prompt.shared_ids().collect(),
                answer: place.answer,
                age: self.now().since(noticed),
            });
        }
        true
    }

    /// Counts a crash against the prompt parts of a request.
    pub(crate) fn note_loss(&self, loss: Loss) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let news = CrashNews {
            losses: vec![loss],
            ..CrashNews::default()
        };
        state.merge_news(&self.metrics, now, Source::Own, &news);
        drop(state);
        self.heartbeat_trigger.notify_one();
        self.alarm_trigger.notify_one();
    }

    /// Records the first event of an answer, which clears the shared parts of the prompt.
    pub(crate) fn note_begun(&self, call: &Call) {
        if let Some(prompt) = &call.prompt {
            self.note_begun_parts(prompt.shared_ids());
        }
    }

    /// Records that the answer to a request with these parts has begun.
    pub(crate) fn note_begun_parts(&self, parts: impl Iterator<Item = PartId>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let age = Duration::ZERO;
        let begun = parts.map(|part| BegunPart { part, age }).collect();
        let news = CrashNews {
            begun,
            ..CrashNews::default()
        };
        state.merge_news(&self.metrics, now, Source::Own, &news);
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

    /// Records a complete answer, which may clear the request and its prompt.
    pub(crate) fn note_answer(&self, call: &Call, status: u16) {
        self.note_request_answer(call.fingerprint, status);
        if (200..300).contains(&status) {
            self.note_begun(call);
        }
    }

    /// Records a complete answer, which may clear the request.
    pub(crate) fn note_request_answer(&self, request: Fingerprint, status: u16) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.update_evidence(&self.metrics, now, Source::Own, request, |suspects| {
            suspects.record_answer(now, request, status);
        });
    }
}

/// Evidence against a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RequestEvidence {
    crashes: usize,
    is_refused: bool,
}

impl RequestEvidence {
    fn of(suspects: &Suspects, now: Moment, request: Fingerprint) -> Self {
        Self {
            crashes: suspects.crashes(request),
            is_refused: suspects.check(now, request).is_refused(),
        }
    }
}

impl State {
    /// Merges evidence of this instance or a peer.
    pub(crate) fn merge_news(
        &mut self,
        metrics: &GatewayMetrics,
        now: Moment,
        source: Source,
        news: &CrashNews,
    ) {
        let CrashNews {
            suspicions,
            losses,
            begun,
        } = news;
        self.merge_suspicions(metrics, now, source, suspicions);
        let mut may_change = false;
        for part in begun {
            may_change |= self.prompt_suspects.record_begun(now, source, *part);
        }
        for loss in losses {
            if self.prompt_suspects.record_loss(now, loss) {
                may_change = true;
                metrics.suspicions.with_label_values(&[source.name()]).inc();
                // Two such losses refuse a part, so peers need each of them before the next crash.
                let is_urgent = loss.answer.is_head();
                self.suspicion_updates
                    .push(now, source, loss.key, is_urgent);
            }
        }
        if may_change {
            self.decide_parts(now, source);
        }
    }

    /// Decides anew which prompt parts are refused.
    fn decide_parts(&mut self, now: Moment, source: Source) {
        for change in self.prompt_suspects.decide(now) {
            match change {
                PartChange::Refused(part) => {
                    let losses: Vec<LossKey> = self.prompt_suspects.losses_of(part).collect();
                    for key in &losses {
                        self.suspicion_updates.push(now, source, *key, true);
                    }
                    let id = format!("{:x}", part.0);
                    let (source, losses) = (source.name(), losses.len());
                    tracing::info!(event = "part_barred", part = id, source, losses);
                    release_refused(self, now);
                }
                PartChange::Cleared(part) => {
                    let losses = self.prompt_suspects.count_losses(part);
                    let id = format!("{:x}", part.0);
                    let source = source.name();
                    tracing::info!(event = "part_cleared", part = id, source, losses);
                }
            }
        }
    }

    /// Merges the suspicions of a peer.
    fn merge_suspicions(
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
    ) -> RequestEvidence {
        let before = RequestEvidence::of(&self.suspects, now, request);
        change(&mut self.suspects);
        let after = RequestEvidence::of(&self.suspects, now, request);
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
