//! Handles one request of a caller, from its head to the final response.

use std::borrow::Cow;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::acquire::{Acquired, acquire};
use crate::gateway::catalog::{Catalog, GatewayRoute};
use crate::gateway::elsewhere::Onward;
use crate::gateway::endpoint_state::Prompt;
use crate::gateway::gate::Gate;
use crate::gateway::message::Head;
use crate::gateway::metrics::Limit;
use crate::gateway::outlet::{ResponseWriter, SendError};
use crate::gateway::pauses::boot_time;
use crate::gateway::placement::{EndpointIndex, Place, PlaceEnd};
use crate::gateway::relay::{self, Attempt, BufferedResponse, NotRun};
use crate::gateway::resume::ResumePoint;
use crate::gateway::rollout_link::RolloutAttempt;
use crate::gateway::stop::Stops;
use crate::name::{AccountName, Fingerprint, ServiceName};
use crate::platform::headers::{CallFields, read_call, write_own_response};
use crate::sse::Events;

/// Account name of requests to public routes, which need no key.
const ANONYMOUS_ACCOUNT: &str = "-";
/// `Retry-After` while the instance has no configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` while the instance shuts down; short, since a retry reaches another instance.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Reason in responses to requests that this instance cannot serve before it stops.
const STOPPING_REASON: &str = "this instance stops";
/// `Retry-After` while the instance is overloaded; short, since the load balancer sends the retry
/// to another instance.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Reason in refusals of requests that have crashed endpoints.
pub(crate) const CRASH_REASON: &str = "the request crashed endpoints";
/// Reason in refusals of requests with a prompt part that has crashed endpoints.
pub(crate) const PART_CRASH_REASON: &str = "a part of the prompt crashed endpoints";
/// Reason why a stream of a resumable route was not resumed.
const NO_EVENT_ID: &str = "the last event has no usable identifier";

/// A request with its route, account and progress.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
    pub(crate) request_id: Bytes,
    pub(crate) route: Arc<GatewayRoute>,
    pub(crate) service: ServiceName,
    /// Account, unless the route is public.
    pub(crate) account: Option<AccountName>,
    pub(crate) prompt: Option<Prompt>,
    /// Tokens per event of the response.
    pub(crate) stride: u32,
    pub(crate) deadline: Instant,
    arrived: Instant,
    pub(crate) fingerprint: Fingerprint,
    version: u64,
    /// Number of times the request was sent to an endpoint.
    pub(crate) sends: u32,
    pub(crate) tried: Vec<EndpointIndex>,
    /// What the next attempt needs, if it was found during the last one.
    pub(crate) onward: Option<Onward>,
    /// Tokens of the response sent to the caller so far.
    pub(crate) generated: u32,
    pub(crate) first_byte: Option<Instant>,
    /// Where another endpoint would go on with the stream.
    resume_point: ResumePoint,
    pub(crate) queued: Duration,
    /// Error response of an earlier attempt, delivered if no later attempt succeeds.
    failure: Option<BufferedResponse>,
}

impl Call {
    pub(crate) fn id(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.request_id)
    }

    /// Identifier of the last event that the caller received.
    pub(crate) fn last_event(&self) -> Option<&[u8]> {
        self.resume_point.id()
    }

    /// Whether the request may be sent once more although it may have run.
    pub(crate) fn may_retry(&self) -> bool {
        self.route.is_repeatable()
            && self.sends < self.route.attempts
            && self.resume_point.is_exact()
    }

    /// Whether another endpoint may resume the stream.
    pub(crate) fn may_resume(&self) -> bool {
        self.route.kind.is_stream() && self.may_retry()
    }

    /// Time by which what begins at `start` has to end to be of use: the whole response, or the next
    /// event of one that the caller has got in part, which can be resumed from there.
    pub(crate) fn finish(&self, has_begun: bool, start: Instant) -> Instant {
        if has_begun {
            self.deadline.min(start + self.route.objective)
        } else {
            self.deadline
        }
    }

    /// Records events that are sent to the caller. Returns how many of them carry data.
    pub(crate) fn note_events(&mut self, events: &Events) -> u32 {
        let mut count = 0;
        for event in events.iter() {
            count += u32::from(event.data.is_some());
            self.resume_point.advance(&event);
        }
        count
    }

    /// Identifiers of the last shared parts of the prompt, as written in its header.
    pub(crate) fn parts_text(&self) -> String {
        let ids = self.prompt.iter().flat_map(Prompt::shared_ids);
        let ids: Vec<String> = ids.map(|id| format!("{:x}", id.0)).collect();
        ids.join(",")
    }

    pub(crate) fn account_name(&self) -> AccountName {
        self.account.clone().unwrap_or_else(anonymous_account)
    }
}

fn anonymous_account() -> AccountName {
    AccountName::from(ANONYMOUS_ACCOUNT)
}

/// How a request ended, for logs and metrics.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    name: &'static str,
    /// Zero if the caller received no complete response.
    status: u16,
    reason: &'static str,
}

/// Serves one request; the connection is reused for the next one unless it has to be closed.
pub(crate) async fn serve(
    gate: &Rc<Gate>,
    head: Head,
    body: Bytes,
    writer: &mut ResponseWriter,
    arrived: Instant,
) {
    gate.metrics.requests.inc();
    let fields = match read_call(&head) {
        Ok(fields) => fields,
        Err(reason) => {
            let refused = Refused::new(400, reason, None);
            return send_own_response(gate, writer, &Bytes::new(), &refused).await;
        }
    };
    let request_id = fields.request_id.clone();
    let stops = writer.stops(&gate.stop);
    match open(gate, &stops, head, body, fields, arrived) {
        Ok(mut call) => process(gate, &mut call, writer).await,
        Err(refused) => {
            tracing::info!(
                event = "refused", request = %String::from_utf8_lossy(&request_id),
                status = refused.status, reason = refused.reason,
                version = gate.state.borrow().directory.catalog().version,
                left_ms = stops.left_ms(),
            );
            send_own_response(gate, writer, &request_id, &refused).await;
        }
    }
}

/// An error response generated by the gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) status: u16,
    pub(crate) reason: &'static str,
    /// Value of `Retry-After`.
    pub(crate) retry_after: Option<Duration>,
}

impl Refused {
    pub(crate) fn new(status: u16, reason: &'static str, retry_after: Option<Duration>) -> Self {
        Self {
            status,
            reason,
            retry_after,
        }
    }

    /// Response to a request that cannot be served before this instance stops. A 503 promises that
    /// the request has not run.
    pub(crate) fn stopping(is_unsent: bool) -> Self {
        let status = if is_unsent { 503 } else { 502 };
        Self::new(status, STOPPING_REASON, Some(STOPPING_RETRY_AFTER))
    }
}

/// Resolves a request's route, account, service and deadline, or refuses it.
fn open(
    gate: &Gate,
    stops: &Stops<'_>,
    head: Head,
    body: Bytes,
    fields: CallFields,
    arrived: Instant,
) -> Result<Call, Refused> {
    let catalog: Rc<Catalog> = gate.state.borrow().directory.catalog().clone();
    if catalog.version == 0 {
        let retry_after = Some(UNCONFIGURED_RETRY_AFTER);
        return Err(Refused::new(
            503,
            "no configuration is known yet",
            retry_after,
        ));
    }
    if let Some(retry_after) = gate.pauses.catch_up_left(boot_time()) {
        return Err(Refused::new(
            503,
            "this instance was paused",
            Some(retry_after),
        ));
    }
    let host = head.get("host").unwrap_or_default();
    let path = head.target().split('?').next().unwrap_or_default();
    let route = catalog.route(host, path).cloned();
    let route = route.ok_or(Refused::new(404, "no route", None))?;
    let time = fields.timeout.unwrap_or(route.timeout).min(route.timeout);
    if !stops.admit(Instant::now(), arrived + time) {
        return Err(Refused::stopping(true));
    }
    let account = if catalog.keyed && !route.public {
        let key = fields.key.as_deref().unwrap_or_default();
        let account = catalog.keys.get(key).cloned();
        Some(account.ok_or(Refused::new(401, "unknown key", None))?)
    } else {
        None
    };
    let counted = account.clone().unwrap_or_else(anonymous_account);
    let mut state = gate.state.borrow_mut();
    state.recent_requests.count(gate.now(), &counted);
    drop(state);
    if route.kind.is_stream() && gate.should_shed(&counted) {
        let retry_after = Some(OVERLOAD_RETRY_AFTER);
        return Err(Refused::new(
            503,
            "this instance is overloaded",
            retry_after,
        ));
    }
    let service = route.target(rand::random()).cloned();
    let service = service.ok_or(Refused::new(503, "the route has no service", None))?;
    let fingerprint = fingerprint(account.as_ref(), head.target(), &body);
    let engine = catalog
        .services
        .get(&service)
        .and_then(|s| s.engine.as_ref());
    let stride = engine.map_or(1, |e| e.stride);
    let prompt = engine.and_then(|e| fields.prompt.as_ref().map(|p| p.for_engine(e)));
    if let Some((reason, retry_after)) = gate.crash_refusal(fingerprint, prompt.as_ref()) {
        return Err(Refused::new(503, reason, Some(retry_after)));
    }
    Ok(Call {
        head,
        body,
        request_id: fields.request_id,
        deadline: arrived + time,
        arrived,
        fingerprint,
        version: catalog.version,
        service,
        account,
        prompt,
        stride,
        route,
        sends: 0,
        tried: Vec::new(),
        onward: None,
        generated: 0,
        first_byte: None,
        resume_point: ResumePoint::after(fields.last_event.as_deref()),
        queued: Duration::ZERO,
        failure: None,
    })
}

pub(crate) fn fingerprint(account: Option<&AccountName>, target: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(account.map_or("", AccountName::as_str).as_bytes());
    hash.update(&[0]);
    hash.update(target.as_bytes());
    hash.update(&[0]);
    hash.update(body);
    Fingerprint(hash.digest())
}

/// Next step after an attempt.
enum Next {
    Retry,
    Finish(Outcome),
    /// Send the gateway's own response.
    Respond(Refused),
}

async fn process(gate: &Rc<Gate>, call: &mut Call, writer: &mut ResponseWriter) {
    let rule = gate.settings.borrow().retry;
    {
        let mut state = gate.state.borrow_mut();
        state.retries.count(gate.now(), &call.service, &rule);
        if let Some(prompt) = &call.prompt {
            let route = &call.route;
            let tokens = prompt.output;
            state
                .outputs
                .note(&call.service, &route.name, route.timeout, tokens);
        }
    }
    let active = gate.activate();
    let stops = writer.stops(&gate.stop);
    let mut over = std::pin::pin!(stops.over());
    let outcome = loop {
        let next = tokio::select! {
            biased;
            next = advance(gate, call, writer) => next,
            () = &mut over => {
                writer.keep_alive = false;
                Next::Respond(Refused::stopping(call.sends == 0))
            }
        };
        match next {
            Next::Retry => {}
            Next::Finish(outcome) => break outcome,
            Next::Respond(refused) if writer.has_begun() => break truncated(refused.reason),
            Next::Respond(refused) => break give_up(gate, call, writer, refused).await,
        }
    };
    if let Some(Onward { place, retry }) = call.onward.take() {
        gate.give_back(call, &place, Some(retry));
    }
    drop(active);
    record_outcome(gate, call, writer, outcome);
}

/// Waits for a place and runs one attempt.
async fn advance(gate: &Rc<Gate>, call: &mut Call, writer: &mut ResponseWriter) -> Next {
    if let Some(onward) = call.onward.take() {
        gate.metrics.retries.inc();
        return run_attempt(gate, call, writer, onward.place).await;
    }
    match acquire(gate, call, writer).await {
        Acquired::Place(place) => run_attempt(gate, call, writer, place).await,
        Acquired::Refused(refused) => Next::Respond(refused),
        Acquired::CallerGone => Next::Finish(caller_gone(gate, writer)),
    }
}

/// Sends the final response when no attempt is left: the error response of an endpoint if there is
/// one, else the gateway's own.
async fn give_up(
    gate: &Gate,
    call: &mut Call,
    writer: &mut ResponseWriter,
    refused: Refused,
) -> Outcome {
    if let Some(response) = call.failure.take() {
        let status = response.head.status();
        return match relay::deliver(call, writer, response).await {
            Ok(_) => Outcome {
                name: "failed",
                status,
                reason: "the endpoint failed",
            },
            Err(SendError::CallerGone) => caller_gone(gate, writer),
            Err(SendError::OtherBegun) => truncated("the endpoint failed"),
        };
    }
    send_own_response(gate, writer, &call.request_id, &refused).await;
    let Refused { status, reason, .. } = refused;
    let name = if matches!(status, 429 | 503) {
        "refused"
    } else {
        "failed"
    };
    Outcome {
        name,
        status,
        reason,
    }
}

fn caller_gone(gate: &Gate, writer: &ResponseWriter) -> Outcome {
    let mut reason = "the caller left";
    if writer.is_too_slow() {
        gate.metrics.note_limit(Limit::ReadingPace);
        reason = "the caller reads too slowly";
    }
    Outcome {
        name: "left",
        status: 0,
        reason,
    }
}

fn truncated(reason: &'static str) -> Outcome {
    Outcome {
        name: "cut",
        status: 0,
        reason,
    }
}

fn record_outcome(gate: &Gate, call: &Call, writer: &ResponseWriter, outcome: Outcome) {
    let total = call.arrived.elapsed();
    let first = call.first_byte.map(|f| f - call.arrived);
    let metrics = &gate.metrics;
    metrics.outcomes.with_label_values(&[outcome.name]).inc();
    metrics.total_time.observe(total.as_secs_f64());
    if let Some(first) = first {
        metrics.first_time.observe(first.as_secs_f64());
    }
    let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    tracing::info!(
        event = "ended", request = %call.id(), outcome = outcome.name, status = outcome.status,
        reason = outcome.reason, route = %call.route.name, account = %call.account_name(),
        service = %call.service, version = call.version, sends = call.sends,
        queued_ms = millis(call.queued), first_ms = first.map(millis), whole_ms = millis(total),
        fingerprint = %call.fingerprint, left_ms = writer.stops(&gate.stop).left_ms(),
        entry = writer.entry.as_ref().map(display),
    );
}

/// A place while an attempt has it; an attempt that is abandoned by the end of a stop releases it.
struct TakenPlace<'a> {
    gate: &'a Gate,
    place: Place,
    has_ended: bool,
}

impl<'a> TakenPlace<'a> {
    fn new(gate: &'a Gate, place: Place) -> Self {
        Self {
            gate,
            place,
            has_ended: false,
        }
    }

    fn end(&mut self, end: PlaceEnd) {
        self.has_ended = true;
        self.gate.end(&self.place, end);
    }
}

impl Drop for TakenPlace<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(PlaceEnd::Neutral);
        }
    }
}

async fn run_attempt(
    gate: &Rc<Gate>,
    call: &mut Call,
    writer: &mut ResponseWriter,
    place: Place,
) -> Next {
    let before = call.sends;
    let begun = Instant::now();
    let mut taken = TakenPlace::new(gate, place);
    log_place(gate, call, &taken.place, writer.stops(&gate.stop).left_ms());
    // The endpoint may be unlisted by the time the attempt ends.
    let Some(endpoint) = gate.record(&taken.place) else {
        taken.end(PlaceEnd::Unreachable);
        gate.refund(&call.account_name(), &taken.place);
        call.tried.push(taken.place.index);
        return Next::Retry;
    };
    let attempt = relay::attempt(gate, call, writer, &mut taken.place, &endpoint).await;
    let is_sent = call.sends > before;
    taken.end(place_end(&attempt));
    let place = &taken.place;
    let waited = begun.elapsed();
    let note_end = |call: &Call, attempt: &Attempt, has_crashed: bool| {
        let sent = RolloutAttempt {
            call,
            record: &endpoint,
            place,
        };
        if is_sent {
            gate.note_rollout_end(sent, sent.is_failed(attempt, waited, has_crashed));
        }
    };
    // Of a lost answer it is not known yet whether its endpoint has crashed.
    if !attempt.is_lost() {
        note_end(call, &attempt, false);
    }
    if !attempt.is_delivered() {
        tracing::info!(
            event = "attempt_ended", request = %call.id(), sends = call.sends, begun = writer.has_begun(),
            answer = %place.answer, result = ?LoggedAttempt(&attempt),
        );
    }
    match attempt {
        Attempt::Delivered(status) => {
            gate.note_answer(call, status);
            Next::Finish(Outcome {
                name: if status < 400 { "served" } else { "failed" },
                status,
                reason: "",
            })
        }
        Attempt::Gone => Next::Finish(caller_gone(gate, writer)),
        Attempt::Late if writer.has_begun() => {
            Next::Finish(truncated("the time for the answer is over"))
        }
        Attempt::Late => Next::Respond(Refused::new(504, "no answer in time", None)),
        Attempt::NotRun(reason) => {
            call.tried.push(place.index);
            gate.refund(&call.account_name(), place);
            after_not_run(gate, call, writer, reason, is_sent)
        }
        Attempt::Failed(response) => {
            call.tried.push(place.index);
            call.failure = Some(response);
            if call.may_retry() && take_retry(gate, call, writer) {
                return Next::Retry;
            }
            Next::Respond(Refused::new(502, "the endpoint failed", None))
        }
        Attempt::NoRoom(reason) => {
            gate.metrics.lost_responses.inc();
            call.tried.push(place.index);
            after_loss(gate, call, writer, reason)
        }
        Attempt::Lost(reason) => {
            gate.metrics.lost_responses.inc();
            call.tried.push(place.index);
            let has_crashed = gate.confirm_crash(call, &endpoint, place).await;
            note_end(call, &attempt, has_crashed);
            after_loss(gate, call, writer, reason)
        }
    }
}

fn place_end(attempt: &Attempt) -> PlaceEnd {
    match attempt {
        Attempt::Delivered(status) if *status < 500 => PlaceEnd::Good,
        Attempt::Delivered(_) | Attempt::Failed(_) | Attempt::Lost(_) => PlaceEnd::Failed,
        Attempt::NotRun(NotRun::Unreachable | NotRun::Moved) => PlaceEnd::Unreachable,
        Attempt::NotRun(NotRun::Busy) => PlaceEnd::Busy,
        Attempt::Gone
        | Attempt::Late
        | Attempt::NoRoom(_)
        | Attempt::NotRun(NotRun::Barred | NotRun::Withheld) => PlaceEnd::Neutral,
    }
}

/// Attempts that were never sent are not counted; a refusal by an endpoint is.
fn after_not_run(
    gate: &Gate,
    call: &mut Call,
    writer: &ResponseWriter,
    reason: NotRun,
    is_sent: bool,
) -> Next {
    if !is_sent {
        return Next::Retry;
    }
    if call.sends < call.route.attempts && take_retry(gate, call, writer) {
        return Next::Retry;
    }
    if writer.has_begun() {
        return Next::Finish(truncated("the stream cannot go on"));
    }
    let reason = match reason {
        NotRun::Busy => "the endpoint has no room",
        NotRun::Moved | NotRun::Unreachable => "the endpoint is gone",
        NotRun::Barred => CRASH_REASON,
        NotRun::Withheld => "its version gets no requests",
    };
    // A 503 promises that the request has not run, but an earlier attempt may have run it.
    let status = if call.sends == 1 { 503 } else { 502 };
    let account = call.account_name();
    let retry_after = gate
        .state
        .borrow()
        .admission
        .retry_after(gate.now(), &account);
    Next::Respond(Refused::new(status, reason, Some(retry_after)))
}

fn after_loss(gate: &Gate, call: &Call, writer: &ResponseWriter, reason: &'static str) -> Next {
    let is_refused = gate
        .crash_refusal(call.fingerprint, call.prompt.as_ref())
        .is_some();
    let has_retry = || call.onward.is_some() || take_retry(gate, call, writer);
    if writer.may_continue() && call.may_retry() && !is_refused && has_retry() {
        return Next::Retry;
    }
    if writer.has_begun() {
        let is_unmarked = call.route.resumable && !call.resume_point.is_exact();
        let reason = if is_unmarked { NO_EVENT_ID } else { reason };
        return Next::Finish(truncated(reason));
    }
    Next::Respond(Refused::new(502, "the answer was lost", None))
}

/// Takes one retry from this instance's share of the retry budget, unless a stop leaves no time.
fn take_retry(gate: &Gate, call: &Call, writer: &ResponseWriter) -> bool {
    let start = Instant::now();
    let stops = writer.stops(&gate.stop);
    if !stops.admit(start, call.finish(writer.has_begun(), start)) {
        let (reason, left_ms) = (STOPPING_REASON, stops.left_ms());
        tracing::info!(event = "repeat_denied", request = %call.id(), service = %call.service, reason, left_ms);
        return false;
    }
    let is_allowed = gate.take_retry(call).is_some();
    if is_allowed {
        gate.metrics.retries.inc();
    } else {
        let reason = "the retry budget is used up";
        tracing::info!(event = "repeat_denied", request = %call.id(), service = %call.service, reason);
    }
    is_allowed
}

fn log_place(gate: &Gate, call: &Call, place: &Place, left_ms: Option<u64>) {
    let state = gate.state.borrow();
    let Some(endpoint) = state.endpoints.get(place.index) else {
        return;
    };
    let account = call.account_name();
    tracing::info!(
        event = "placed", request = %call.id(), endpoint = %endpoint.record.name, %account,
        ahead = place.ahead(), cost = place.charged,
        attained = state.admission.attained_service(gate.now(), &account),
        least = state.admission.min_attained(&call.service),
        waiting = state.admission.len(), version = call.version,
        fingerprint = %call.fingerprint, crashes = state.suspects.crashes(call.fingerprint),
        parts = %call.parts_text(), left_ms,
    );
}

/// Formats the result of an attempt for the log, without the response body.
struct LoggedAttempt<'a>(&'a Attempt);

impl std::fmt::Debug for LoggedAttempt<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Attempt::Failed(response) => write!(f, "Failed({})", response.head.status()),
            other => write!(f, "{other:?}"),
        }
    }
}

/// Sends a response generated by the gateway.
pub(crate) async fn send_own_response(
    gate: &Gate,
    writer: &mut ResponseWriter,
    request_id: &Bytes,
    refused: &Refused,
) {
    if writer.stops(&gate.stop).have_begun() {
        writer.keep_alive = false;
    }
    let mut out = BytesMut::new();
    write_own_response(
        &mut out,
        request_id,
        refused,
        writer.connection_header(),
        writer.is_head_only,
    );
    if writer.send_whole(&out).await.is_err() {
        tracing::debug!(event = "answer_not_taken", status = refused.status);
    }
}
