//! One request of a caller, from its head to its final answer.

use std::borrow::Cow;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::acquire::{Acquired, acquire};
use crate::gateway::catalog::{Catalog, GatewayRoute};
use crate::gateway::endpoint_state::Prompt;
use crate::gateway::gate::{Closing, Gate};
use crate::gateway::message::Head;
use crate::gateway::outlet::Outlet;
use crate::gateway::pauses::boot_time;
use crate::gateway::placement::{EndpointIndex, Place, PlaceEnd};
use crate::gateway::relay::{self, Attempt, HeldAnswer, NotRun};
use crate::name::{AccountName, Fingerprint, ServiceName};
use crate::platform::headers::{CallFields, read_call, write_own_answer};

/// Account of requests that need no key.
const ANYONE: &str = "-";
/// When a caller should come back that met an instance without a configuration.
const UNCONFIGURED_RETURN: Duration = Duration::from_millis(500);
/// When a caller should come back that met an instance that stops: at once, elsewhere.
const STOPPING_RETURN: Duration = Duration::from_millis(20);
/// When a caller should come back that met an overloaded instance: at once, since the balancer sends
/// the next try to another one.
const SHED_RETURN: Duration = Duration::from_millis(20);
/// Why a request that crashed endpoints is refused.
pub(crate) const CRASHED: &str = "the request crashed endpoints";
/// Longest identifier of an event that is kept for resuming, in bytes.
const EVENT_ID_BYTES: usize = 128;

/// A request with its route and account.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
    pub(crate) request: Bytes,
    pub(crate) route: Arc<GatewayRoute>,
    pub(crate) service: ServiceName,
    /// Account, unless the route is open to anyone.
    pub(crate) account: Option<AccountName>,
    pub(crate) prompt: Option<Prompt>,
    /// Tokens in an event of its answer.
    pub(crate) stride: u32,
    pub(crate) deadline: Instant,
    arrived: Instant,
    pub(crate) fingerprint: Fingerprint,
    version: u64,
    /// Times that the request was sent to an endpoint.
    pub(crate) sends: u32,
    pub(crate) tried: Vec<EndpointIndex>,
    /// Whether a part of the answer went to the caller.
    pub(crate) has_begun: bool,
    /// Tokens of the answer that the caller has.
    pub(crate) generated: u32,
    pub(crate) first: Option<Instant>,
    /// Last event that the caller has.
    last_event: Option<Vec<u8>>,
    pub(crate) queued: Duration,
    /// Failure of an earlier attempt, which is delivered if no other follows.
    held: Option<HeldAnswer>,
}

impl Call {
    pub(crate) fn id(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.request)
    }

    /// Last event that the caller has of this answer.
    pub(crate) fn resumes(&self) -> Option<&[u8]> {
        self.last_event.as_deref()
    }

    /// Whether one more endpoint may get the request after it may have run.
    pub(crate) fn may_try_again(&self) -> bool {
        self.route.is_repeatable() && self.sends < self.route.attempts
    }

    /// Whether a stream may go on at another endpoint.
    pub(crate) fn may_resume(&self) -> bool {
        self.route.kind.is_stream() && self.may_try_again()
    }

    /// Keeps the identifier of the last whole event.
    pub(crate) fn note_events(&mut self, events: &[u8]) {
        if !self.route.resumable {
            return;
        }
        let Some(at) = memchr::memmem::rfind(events, b"id:") else {
            return;
        };
        if at > 0 && events[at - 1] != b'\n' {
            return;
        }
        let id = events[at + 3..].split(|b| *b == b'\n').next();
        let id = id.unwrap_or_default().trim_ascii();
        if id.len() <= EVENT_ID_BYTES {
            let last = self.last_event.get_or_insert_default();
            last.clear();
            last.extend_from_slice(id);
        }
    }

    pub(crate) fn account_name(&self) -> AccountName {
        let anyone = || AccountName::from(ANYONE);
        self.account.clone().unwrap_or_else(anyone)
    }
}

/// How a request ended, for the log and the counters.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    name: &'static str,
    /// Zero if the caller got no whole answer.
    status: u16,
    reason: &'static str,
}

/// Serves one request and leaves the connection ready for the next, unless it has to be closed.
pub(crate) async fn serve(
    gate: &Rc<Gate>,
    head: Head,
    body: Bytes,
    outlet: &mut Outlet,
    arrived: Instant,
) {
    gate.metrics.requests.inc();
    let fields = match read_call(&head) {
        Ok(fields) => fields,
        Err(reason) => {
            let refused = Refused::new(400, reason, None);
            return answer_own(gate, outlet, &Bytes::new(), &refused).await;
        }
    };
    let request = fields.request.clone();
    match open(gate, head, body, fields, arrived) {
        Ok(mut call) => carry(gate, &mut call, outlet).await,
        Err(refused) => {
            tracing::info!(
                event = "refused", request = %String::from_utf8_lossy(&request),
                status = refused.status, reason = refused.reason,
                version = gate.state.borrow().directory.catalog().version,
            );
            answer_own(gate, outlet, &request, &refused).await;
        }
    }
}

/// An answer of the gateway itself, before anything was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) status: u16,
    pub(crate) reason: &'static str,
    /// When the caller should come back.
    pub(crate) after: Option<Duration>,
}

impl Refused {
    pub(crate) fn new(status: u16, reason: &'static str, after: Option<Duration>) -> Self {
        Self {
            status,
            reason,
            after,
        }
    }
}

/// Finds a request's route, account and limits.
fn open(
    gate: &Gate,
    head: Head,
    body: Bytes,
    fields: CallFields,
    arrived: Instant,
) -> Result<Call, Refused> {
    let catalog: Rc<Catalog> = gate.state.borrow().directory.catalog().clone();
    if catalog.version == 0 {
        let after = Some(UNCONFIGURED_RETURN);
        return Err(Refused::new(503, "no configuration is known yet", after));
    }
    if let Some(left) = gate.pauses.catches_up(boot_time()) {
        return Err(Refused::new(503, "this instance was paused", Some(left)));
    }
    let host = head.get("host").unwrap_or_default();
    let path = head.target().split('?').next().unwrap_or_default();
    let route = catalog.route(host, path).cloned();
    let route = route.ok_or(Refused::new(404, "no route", None))?;
    let is_refused = match gate.closing.get() {
        Closing::Nothing => false,
        Closing::Streams => route.kind.is_stream(),
        Closing::Everything => true,
    };
    if is_refused {
        let after = Some(STOPPING_RETURN);
        return Err(Refused::new(503, "this instance stops", after));
    }
    if route.kind.is_stream() && gate.sheds() {
        let after = Some(SHED_RETURN);
        return Err(Refused::new(503, "this instance is overloaded", after));
    }
    let account = if catalog.keyed && !route.public {
        let key = fields.key.as_deref().unwrap_or_default();
        let account = catalog.keys.get(key).cloned();
        Some(account.ok_or(Refused::new(401, "unknown key", None))?)
    } else {
        None
    };
    let service = route.target(rand::random()).cloned();
    let service = service.ok_or(Refused::new(503, "the route has no service", None))?;
    let fingerprint = fingerprint(account.as_ref(), head.target(), &body);
    if let Some(left) = gate.refused_for(fingerprint) {
        return Err(Refused::new(503, CRASHED, Some(left)));
    }
    let engine = catalog
        .services
        .get(&service)
        .and_then(|s| s.engine.as_ref());
    let stride = engine.map_or(1, |e| e.stride);
    let prompt = engine.and_then(|e| fields.prompt.as_ref().map(|p| p.at_engine(e)));
    let time = fields.patience.unwrap_or(route.timeout).min(route.timeout);
    Ok(Call {
        head,
        body,
        request: fields.request,
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
        has_begun: false,
        generated: 0,
        first: None,
        last_event: fields.resumes.map(|id| id.to_vec()),
        queued: Duration::ZERO,
        held: None,
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

/// What follows an attempt.
enum Next {
    Again,
    End(Outcome),
    /// The gateway's own final answer.
    Answer(Refused),
}

async fn carry(gate: &Rc<Gate>, call: &mut Call, outlet: &mut Outlet) {
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
    gate.active.set(gate.active.get() + 1);
    let outcome = loop {
        let next = match acquire(gate, call, outlet).await {
            Acquired::Place(place) => try_place(gate, call, outlet, place).await,
            Acquired::Refused(refused) => Next::Answer(refused),
            Acquired::Gone => Next::End(gone()),
        };
        match next {
            Next::Again => {}
            Next::End(outcome) => break outcome,
            Next::Answer(refused) if call.has_begun => break cut(refused.reason),
            Next::Answer(refused) => break give_up(gate, call, outlet, refused).await,
        }
    };
    gate.active.set(gate.active.get() - 1);
    // Whatever ended without a whole answer ends with its connection.
    if outcome.status == 0 {
        outlet.keep = false;
    }
    finish(gate, call, outcome);
}

/// Sends the final answer of a request that is given up: the failure that an endpoint answered with,
/// if there is one, or the gateway's own.
async fn give_up(gate: &Gate, call: &mut Call, outlet: &mut Outlet, refused: Refused) -> Outcome {
    if let Some(held) = call.held.take() {
        let status = held.head.status();
        let sent = relay::deliver(call, outlet, held).await;
        return sent.map_or(gone(), |_| Outcome {
            name: "failed",
            status,
            reason: "the endpoint failed",
        });
    }
    answer_own(gate, outlet, &call.request, &refused).await;
    let Refused { status, reason, .. } = refused;
    let name = if status == 503 { "refused" } else { "failed" };
    Outcome {
        name,
        status,
        reason,
    }
}

fn gone() -> Outcome {
    Outcome {
        name: "left",
        status: 0,
        reason: "the caller left",
    }
}

fn cut(reason: &'static str) -> Outcome {
    Outcome {
        name: "cut",
        status: 0,
        reason,
    }
}

fn finish(gate: &Gate, call: &Call, outcome: Outcome) {
    let whole = call.arrived.elapsed();
    let first = call.first.map(|f| f - call.arrived);
    let metrics = &gate.metrics;
    metrics.outcomes.with_label_values(&[outcome.name]).inc();
    metrics.whole_time.observe(whole.as_secs_f64());
    if let Some(first) = first {
        metrics.first_time.observe(first.as_secs_f64());
    }
    let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    tracing::info!(
        event = "ended", request = %call.id(), outcome = outcome.name, status = outcome.status,
        reason = outcome.reason, route = %call.route.name, account = %call.account_name(),
        service = %call.service, version = call.version, sends = call.sends,
        queued_ms = millis(call.queued), first_ms = first.map(millis), whole_ms = millis(whole),
        fingerprint = %call.fingerprint,
    );
}

async fn try_place(
    gate: &Rc<Gate>,
    call: &mut Call,
    outlet: &mut Outlet,
    mut place: Place,
) -> Next {
    let before = call.sends;
    log_place(gate, call, &place);
    // The entry may be gone when the attempt ends.
    let Some(endpoint) = gate.record(&place) else {
        gate.end(&place, PlaceEnd::Unreachable);
        gate.refund(&call.account_name(), &place);
        call.tried.push(place.index);
        return Next::Again;
    };
    let attempt = relay::attempt(gate, call, outlet, &mut place, &endpoint).await;
    let is_sent = call.sends > before;
    gate.end(&place, place_end(&attempt));
    if !attempt.is_delivered() {
        tracing::info!(
            event = "attempt_ended", request = %call.id(), sends = call.sends, begun = call.has_begun,
            result = ?AttemptName(&attempt),
        );
    }
    match attempt {
        Attempt::Delivered(status) => {
            gate.note_answer(call.fingerprint, status);
            Next::End(Outcome {
                name: if status < 400 { "served" } else { "failed" },
                status,
                reason: "",
            })
        }
        Attempt::Gone => Next::End(gone()),
        Attempt::Late if call.has_begun => Next::End(cut("the time for the answer is over")),
        Attempt::Late => Next::Answer(Refused::new(504, "no answer in time", None)),
        Attempt::NotRun(reason) => {
            call.tried.push(place.index);
            gate.refund(&call.account_name(), &place);
            after_not_run(gate, call, reason, is_sent)
        }
        Attempt::Failed(held) => {
            call.tried.push(place.index);
            call.held = Some(held);
            if repeat(gate, call) {
                return Next::Again;
            }
            Next::Answer(Refused::new(502, "the endpoint failed", None))
        }
        Attempt::Lost(reason) => {
            gate.metrics.losses.inc();
            call.tried.push(place.index);
            gate.examine(call.fingerprint, &endpoint, place.sent())
                .await;
            after_loss(gate, call, reason)
        }
    }
}

fn place_end(attempt: &Attempt) -> PlaceEnd {
    match attempt {
        Attempt::Delivered(status) if *status < 500 => PlaceEnd::Good,
        Attempt::Delivered(_) | Attempt::Failed(_) | Attempt::Lost(_) => PlaceEnd::Failed,
        Attempt::NotRun(NotRun::Unreachable | NotRun::Moved) => PlaceEnd::Unreachable,
        Attempt::NotRun(NotRun::Busy) => PlaceEnd::Busy,
        Attempt::Gone | Attempt::Late | Attempt::NotRun(NotRun::Barred) => PlaceEnd::Neutral,
    }
}

/// What was not sent costs nothing; an endpoint that refused the request counts.
fn after_not_run(gate: &Gate, call: &mut Call, reason: NotRun, is_sent: bool) -> Next {
    if !is_sent {
        return Next::Again;
    }
    if call.sends < call.route.attempts && repeat(gate, call) {
        return Next::Again;
    }
    if call.has_begun {
        return Next::End(cut("the stream cannot go on"));
    }
    let reason = match reason {
        NotRun::Busy => "the endpoint has no room",
        NotRun::Moved | NotRun::Unreachable => "the endpoint is gone",
        NotRun::Barred => CRASHED,
    };
    // An earlier attempt may have run.
    let status = if call.sends == 1 { 503 } else { 502 };
    let account = call.account_name();
    let after = gate
        .state
        .borrow()
        .admission
        .return_after(gate.now(), &account);
    Next::Answer(Refused::new(status, reason, Some(after)))
}

fn after_loss(gate: &Gate, call: &Call, reason: &'static str) -> Next {
    if call.may_try_again() && gate.refused_for(call.fingerprint).is_none() && repeat(gate, call) {
        return Next::Again;
    }
    if call.has_begun {
        return Next::End(cut(reason));
    }
    Next::Answer(Refused::new(502, "the answer was lost", None))
}

/// Takes a repeat out of the instance's share of the retry budget.
fn repeat(gate: &Gate, call: &Call) -> bool {
    let rule = gate.settings.borrow().retry;
    let now = gate.now();
    let mut state = gate.state.borrow_mut();
    let instances = state.peers.count();
    let is_allowed = state.retries.take(now, &call.service, &rule, instances);
    drop(state);
    if is_allowed {
        gate.metrics.repeats.inc();
    } else {
        tracing::info!(event = "repeat_denied", request = %call.id(), service = %call.service);
    }
    is_allowed
}

fn log_place(gate: &Gate, call: &Call, place: &Place) {
    let state = gate.state.borrow();
    let Some(endpoint) = state.endpoints.get(place.index) else {
        return;
    };
    let account = call.account_name();
    tracing::info!(
        event = "placed", request = %call.id(), endpoint = %endpoint.record.name, %account,
        ahead = place.ahead(), cost = place.charged,
        attained = state.admission.attained(gate.now(), &account),
        least = state.admission.least(&call.service),
        waiting = state.admission.len(), version = call.version,
        fingerprint = %call.fingerprint, crashes = state.suspects.crashes(call.fingerprint),
    );
}

/// Result of an attempt for the log, without its bytes.
struct AttemptName<'a>(&'a Attempt);

impl std::fmt::Debug for AttemptName<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Attempt::Failed(held) => write!(f, "Failed({})", held.head.status()),
            other => write!(f, "{other:?}"),
        }
    }
}

/// Sends an answer of the gateway itself.
pub(crate) async fn answer_own(
    gate: &Gate,
    outlet: &mut Outlet,
    request: &Bytes,
    refused: &Refused,
) {
    if gate.stopping.get() {
        outlet.keep = false;
    }
    let mut out = BytesMut::new();
    write_own_answer(&mut out, request, refused, outlet.connection_header());
    if outlet.send(&out).await.is_err() {
        tracing::debug!(event = "answer_not_taken", status = refused.status);
    }
}
