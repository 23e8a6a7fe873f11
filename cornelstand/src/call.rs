//! One request from its admission to its last byte.
//!
//! The task claims a request that may not be repeated, asks for an endpoint, sends, and delivers
//! the answer, for as many attempts as the state machine of `attempt` allows. A caller that goes
//! away ends it at every step, but for a claimed request that was sent: that one runs to its end,
//! so that its answer is there when it is sent again. For the same reason the caller's deadline
//! bounds the wait for an endpoint only, once a request is claimed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use reqwest::Response;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use crate::attempt::{Loss, NotRun, Ready, Sent, Unsent, Verdict};
use crate::body::{BodyError, CallBody};
use crate::caller::{Caller, Gone};
use crate::claim::Recorded;
use crate::claims::{BeginOutcome, Ticket};
use crate::config::{Class, Kind, Repeat};
use crate::containment::{Clearance, TrialGuard};
use crate::deliver::{Head, Leg};
use crate::dispatch::{Ending, Grant, Offer, Refusal, Reply};
use crate::entry_core::Core;
use crate::flight::Flight;
use crate::head::HeadError;
use crate::headers::DEADLINE_MS;
use crate::moment::Moment;
use crate::name::{AccountName, EndpointName, Fingerprint, RequestId, ServiceName};
use crate::problem::Problem;
use crate::refusal;
use crate::relay::{Origin, Source, has_end, is_events};
use crate::retry::RetryPermit;
use crate::timeline::Topic;
use crate::upstream::{Upcall, boot_of, is_foreign};

/// Pause before the third attempt.
const PAUSE: Duration = Duration::from_millis(50);
/// Times that the pause is doubled at most.
const MAX_DOUBLINGS: u32 = 5;

/// A request on its way.
pub(crate) struct Call {
    pub(crate) core: Arc<Core>,
    pub(crate) request: RequestId,
    pub(crate) account: AccountName,
    pub(crate) service: ServiceName,
    pub(crate) kind: Kind,
    pub(crate) class: Class,
    pub(crate) repeat: Repeat,
    pub(crate) method: Method,
    /// Path and query at the endpoint.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    /// Length of the body as the caller stated it.
    pub(crate) length: Option<u64>,
    pub(crate) body: CallBody,
    /// Room for the body, held as long as it is.
    pub(crate) _room: OwnedSemaphorePermit,
    /// Idempotency key.
    pub(crate) key: Option<String>,
    /// The claim, from its success until it is settled.
    pub(crate) ticket: Option<Ticket>,
    /// The trial, while the request is suspect.
    pub(crate) trial: Option<TrialGuard>,
    pub(crate) hint: Option<u64>,
    pub(crate) prefix: Option<u64>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Moment,
    pub(crate) deadline: Moment,
    /// Endpoints that earlier attempts failed at.
    pub(crate) avoid: Vec<EndpointName>,
}

/// What follows an attempt. The caller is given back if there is another one.
pub(crate) enum Step {
    Again(Ready, Caller),
    Done,
}

impl Call {
    /// Carries the request out.
    pub(crate) async fn run(mut self, unsent: Unsent, caller: Caller) {
        self.record("accepted", self.service.as_str());
        self.core.budgets().earn(&self.account, &self.service);
        let mut step = self.claim(unsent, caller).await;
        while let Step::Again(ready, mut caller) = step {
            step = match self.pause(&ready, &mut caller).await {
                Ok(()) => self.attempt(ready, caller).await,
                Err(Gone) => self.leave(ready, caller).await,
            };
            self.trial = None;
        }
    }

    /// Claims a request that may not be repeated, before an endpoint is asked for.
    async fn claim(&mut self, unsent: Unsent, mut caller: Caller) -> Step {
        let Some(key) = self.key.as_deref().filter(|_| self.repeat == Repeat::Once) else {
            return Step::Again(Ready::Unsent(unsent), caller);
        };
        let claiming = self
            .core
            .claims
            .begin(&self.account, key, self.fingerprint, self.request);
        let begun = tokio::select! {
            begun = claiming => begun,
            () = caller.gone() => {
                caller.leave();
                return Step::Done;
            }
        };
        let problem = match begun {
            Ok(BeginOutcome::Fresh(ticket)) => {
                self.ticket = Some(ticket);
                return Step::Again(Ready::Unsent(unsent), caller);
            }
            Ok(BeginOutcome::Answered(recorded)) => match recorded.body {
                Some(body) => {
                    caller.replay(recorded.status, &recorded.media, &body);
                    return Step::Done;
                }
                None => refusal::not_kept(recorded.status),
            },
            Ok(BeginOutcome::Running) => refusal::still_running(),
            Ok(BeginOutcome::Unknown) => refusal::outcome_unknown(),
            Ok(BeginOutcome::Mismatch) => refusal::key_reused(unsent.refuse()),
            Err(error) => refusal::unclaimed(unsent.refuse(), error),
        };
        caller.refuse(&problem);
        Step::Done
    }

    /// Waits before an attempt that is not the first or second, so that a grant that cannot be
    /// used is not asked for again and again while the dispatcher does not know better.
    async fn pause(&self, ready: &Ready, caller: &mut Caller) -> Result<(), Gone> {
        let Some(doublings) = ready.attempt().number.checked_sub(2) else {
            return Ok(());
        };
        let left = self.deadline.since(self.core.clock.now());
        let pause = PAUSE.saturating_mul(1 << doublings.min(MAX_DOUBLINGS));
        tokio::select! {
            () = sleep(pause.min(left)) => Ok(()),
            () = caller.gone() => Err(Gone),
        }
    }

    async fn attempt(&mut self, ready: Ready, mut caller: Caller) -> Step {
        match self.clearance(&mut caller).await {
            Ok(Clearance::Allowed) => {}
            Ok(Clearance::Refused(left)) => return self.contain(ready, caller, left).await,
            Ok(Clearance::DeadlinePassed) => {
                let problem = refusal::refused(ready, &Refusal::Deadline);
                return self.give_up(caller, problem).await;
            }
            Err(Gone) => return self.leave(ready, caller).await,
        }
        let pauses = self.core.pauses.count();
        let grant = match self.offer(&ready, &mut caller).await {
            Ok(Ok(grant)) => grant,
            Ok(Err(no)) => return self.give_up(caller, refusal::refused(ready, &no)).await,
            Err(Gone) => return self.leave(ready, caller).await,
        };
        self.record("granted", grant.endpoint.as_str());
        let is_crossed = grant.attempt != ready.attempt();
        let attempt = ready.attempt();
        let flight = Flight::begin(self, Grant { attempt, ..grant });
        if is_crossed {
            flight.end(Ending::NotSent);
            self.count_retry("crossed");
            return Step::Again(ready.next(), caller);
        }
        if self.core.pauses.has_paused(pauses, self.core.clock.now()) {
            flight.end(Ending::NotSent);
            self.count_retry("paused");
            return Step::Again(ready.next(), caller);
        }
        if self.is_claim_late() {
            flight.end(Ending::NotSent);
            return self.give_up(caller, refusal::claim_late(ready)).await;
        }
        let usable = self
            .address(flight.grant())
            .filter(|_| self.place_trial(&flight));
        let Some(address) = usable else {
            self.avoid(&flight);
            flight.end(Ending::NotSent);
            self.count_retry("withdrawn");
            return Step::Again(ready.next(), caller);
        };
        self.send(ready, flight, address, caller).await
    }

    /// Asks for an endpoint. Dropping the offer cancels it.
    async fn offer(&self, ready: &Ready, caller: &mut Caller) -> Result<Reply, Gone> {
        let now = self.core.clock.now();
        if now >= self.deadline {
            return Ok(Err(Refusal::Deadline));
        }
        let Some(cell) = (self.core.dispatch.pick)(&self.service) else {
            return Ok(Err(Refusal::NotOwner(None)));
        };
        let left = self.deadline.since(now);
        let offer = Offer {
            attempt: ready.attempt(),
            cell,
            account: self.account.clone(),
            entry: self.core.name.clone(),
            class: self.class,
            hint: self.hint,
            waited: now.since(self.arrived),
            left,
            avoid: self.avoided(),
            prefix: self.prefix,
        };
        let _waiting = Waiting::new(&self.core);
        tokio::select! {
            reply = (self.core.dispatch.offer)(offer) => Ok(reply),
            () = sleep(left) => Ok(Err(Refusal::Deadline)),
            () = caller.gone() => Err(Gone),
        }
    }

    /// Endpoints that another one is to be granted for, if possible.
    fn avoided(&self) -> Vec<EndpointName> {
        let mut avoided = self.avoid.clone();
        if self.trial.is_some() {
            avoided.extend(self.core.trials().iter().cloned());
        }
        avoided
    }

    /// Address of the granted endpoint, unless the entry's own configuration withdraws it.
    fn address(&self, grant: &Grant) -> Option<SocketAddr> {
        let config = self.core.config();
        let endpoint = config.endpoints.get(&grant.endpoint)?;
        let usable = endpoint.service == self.service && config.is_centre_in(&endpoint.centre);
        usable.then_some(endpoint.address)
    }

    async fn send(
        &mut self,
        ready: Ready,
        mut flight: Flight,
        address: SocketAddr,
        mut caller: Caller,
    ) -> Step {
        let upcall = self.upcall(&ready, address);
        flight.record_sent(self.core.clock.now());
        let wait = self.first_wait(&flight);
        let origin = Origin {
            core: self.core.clone(),
            address,
            attempt: ready.attempt(),
        };
        let sending = ready.send();
        let reply = tokio::select! {
            reply = self.head(upcall, &origin, wait) => reply,
            () = caller.gone(), if !self.is_claimed() => {
                flight.cancel(address);
                caller.leave();
                return Step::Done;
            }
        };
        match reply {
            Ok(answer) => {
                flight.record_head(boot_of(answer.headers()));
                let leg = Leg { flight, address };
                self.answer(sending.sent(), leg, origin, answer, caller)
                    .await
            }
            Err(HeadError::Unconnected(proof)) => {
                self.avoid(&flight);
                flight.end(Ending::Broken);
                self.count_retry("unconnected");
                Step::Again(sending.unconnected(&proof), caller)
            }
            Err(HeadError::Lost(loss)) => {
                let leg = Leg { flight, address };
                self.lost(sending.sent(), loss, leg, caller).await
            }
        }
    }

    async fn answer(
        &mut self,
        sent: Sent,
        leg: Leg,
        origin: Origin,
        answer: Response,
        caller: Caller,
    ) -> Step {
        let status = answer.status();
        let headers = answer.headers().clone();
        if is_foreign(&headers, origin.attempt) {
            self.core.metrics.foreign.inc();
            self.core.replace_pool(leg.address);
            return self.lost(sent, Loss::Broken, leg, caller).await;
        }
        if self.is_overload(status) && self.repeat.is_idempotent() {
            match self.permit() {
                Some(permit) => {
                    self.avoid(&leg.flight);
                    leg.flight.end(Ending::Overloaded);
                    self.count_retry("overloaded");
                    return Step::Again(sent.lost(Loss::Failed).retry(permit), caller);
                }
                None if self.kind == Kind::Model => {
                    leg.flight.end(Ending::Overloaded);
                    let problem = refusal::overloaded(sent.lost(Loss::Failed));
                    return self.give_up(caller, problem).await;
                }
                // The answer of a plain service passes as it is.
                None => {}
            }
        }
        let model = self.kind == Kind::Model;
        let events = model && is_events(&headers);
        if !events && !has_end(&self.method, status, &headers) {
            return self.lost(sent, Loss::Broken, leg, caller).await;
        }
        let source = Source::new(origin, answer, model);
        let head = Head {
            status,
            headers,
            events,
        };
        self.deliver(sent, leg, head, source, caller).await
    }

    /// A sent attempt has no answer: tries again if that is allowed.
    pub(crate) async fn lost(&mut self, sent: Sent, loss: Loss, leg: Leg, caller: Caller) -> Step {
        let attempt = sent.lost(loss);
        if let Some(fault) = self.upload_fault(loss) {
            leg.flight.cancel(leg.address);
            let problem = refusal::body_broke(attempt, fault);
            return self.give_up(caller, problem).await;
        }
        self.note_loss(loss, &leg);
        self.avoid(&leg.flight);
        if loss.is_broken() {
            self.check_crash(&leg).await;
        }
        let Leg { flight, address } = leg;
        if !self.is_claimed() && self.core.clock.now() >= self.deadline {
            flight.cancel(address);
            return self.give_up(caller, refusal::late(attempt)).await;
        }
        flight.end(ending_of(loss));
        if let Some(permit) = self.permit() {
            self.count_retry("lost");
            return Step::Again(attempt.retry(permit), caller);
        }
        self.give_up(caller, refusal::lost(attempt, loss)).await
    }

    /// What the caller's body has to do with a loss.
    fn upload_fault(&self, loss: Loss) -> Option<BodyError> {
        let is_slow = loss.is_silent() && self.body.is_awaited();
        let slow = is_slow.then_some(BodyError::Slow);
        self.body.fault().or(slow)
    }

    /// The caller has gone while nothing runs.
    async fn leave(&mut self, ready: Ready, caller: Caller) -> Step {
        let open = caller.leave();
        self.settle(&ready.refuse()).await;
        drop(open);
        Step::Done
    }

    /// Refuses a request that endpoints crashed on.
    async fn contain(&mut self, ready: Ready, caller: Caller, left: Duration) -> Step {
        let open = caller.refuse(&refusal::suspect(left));
        self.settle(&ready.refuse()).await;
        drop(open);
        Step::Done
    }

    /// Gives the caller its final answer at once, and settles the claim after it.
    async fn give_up(&mut self, caller: Caller, problem: Problem) -> Step {
        let open = caller.refuse(&problem);
        self.settle(&problem.verdict).await;
        drop(open);
        Step::Done
    }

    /// Settles the claim of a request that gets no answer. Only the proof that it was not sent
    /// releases the claim.
    async fn settle(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::NotRun(proof) => self.release(proof).await,
            Verdict::Unknown | Verdict::Failed => self.settle_unknown().await,
        }
    }

    async fn release(&mut self, _proof: &NotRun) {
        if let Some(ticket) = self.ticket.take() {
            let done = self.core.claims.release(ticket).await;
            self.count_claim("released", done.is_ok());
        }
    }

    /// Notes that a claimed request has no answer.
    pub(crate) async fn settle_unknown(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let done = self.core.claims.settle_unknown(ticket).await;
            self.count_claim("unknown", done.is_ok());
        }
    }

    /// Records the answer to a claimed request.
    pub(crate) async fn record_answer(&mut self, recorded: Option<Recorded>) {
        if let (Some(ticket), Some(recorded)) = (self.ticket.take(), recorded) {
            let done = self.core.claims.record(ticket, recorded).await;
            self.count_claim("recorded", done.is_ok());
        }
    }

    /// Tells whether the request holds a claim.
    pub(crate) fn is_claimed(&self) -> bool {
        self.ticket.is_some()
    }

    /// Tells whether the claim is too old for the request to be sent.
    fn is_claim_late(&self) -> bool {
        let claims = &self.core.claims;
        self.ticket.as_ref().is_some_and(|t| !claims.is_sendable(t))
    }

    /// Permission to send the request once more, if it can be.
    fn permit(&self) -> Option<RetryPermit> {
        if !self.repeat.is_idempotent() || !self.body.is_sendable() {
            return None;
        }
        let mut budgets = self.core.budgets();
        let permit = budgets.spend(self.repeat, &self.account, &self.service);
        if permit.is_none() {
            self.core.metrics.unbudgeted.inc();
        }
        permit
    }

    /// A silent connection says that its neighbours may be dead, too.
    pub(crate) fn note_loss(&self, loss: Loss, leg: &Leg) {
        if loss.is_silent() {
            self.core.replace_pool(leg.address);
            if self.kind == Kind::Model {
                self.core.cancel(leg.address, leg.flight.grant().attempt);
            }
        }
        self.record(loss_event(loss), leg.flight.grant().endpoint.as_str());
    }

    fn upcall(&self, ready: &Ready, address: SocketAddr) -> Upcall {
        let mut headers = self.headers.clone();
        if let (true, Some(length)) = (self.body.is_stream(), self.length) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        let left = self.deadline.since(self.core.clock.now());
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_MS, HeaderValue::from(millis));
        Upcall {
            address,
            attempt: ready.attempt(),
            method: self.method.clone(),
            target: self.target.clone(),
            headers,
            body: self.body.upload(),
            repeat: self.repeat,
        }
    }

    fn is_overload(&self, status: StatusCode) -> bool {
        status == StatusCode::SERVICE_UNAVAILABLE
            || (self.kind == Kind::Model && status == StatusCode::TOO_MANY_REQUESTS)
    }

    /// How an attempt with a whole answer ended.
    pub(crate) fn ending(&self, status: StatusCode) -> Ending {
        if self.is_overload(status) {
            Ending::Overloaded
        } else if status.is_server_error() {
            Ending::Failed
        } else {
            Ending::Answered
        }
    }

    fn avoid(&mut self, flight: &Flight) {
        let endpoint = &flight.grant().endpoint;
        if !self.avoid.contains(endpoint) {
            self.avoid.push(endpoint.clone());
        }
    }

    fn count_retry(&self, reason: &str) {
        let retries = &self.core.metrics.retries;
        retries.with_label_values(&[reason]).inc();
    }

    fn count_claim(&self, end: &str, done: bool) {
        let result = if done { end } else { "unsettled" };
        let claims = &self.core.metrics.claims;
        claims.with_label_values(&[result]).inc();
    }

    pub(crate) fn record(&self, what: &str, subject: &str) {
        self.core
            .timeline
            .record(Topic::Request, what, subject, Some(self.request));
    }
}

/// Counts a request that waits for an endpoint.
struct Waiting<'a>(&'a Core);

impl<'a> Waiting<'a> {
    fn new(core: &'a Core) -> Self {
        core.metrics.waiting.inc();
        Self(core)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.metrics.waiting.dec();
    }
}

/// How an attempt that is lost ended.
pub(crate) fn ending_of(loss: Loss) -> Ending {
    match loss {
        Loss::Broken => Ending::Broken,
        Loss::Silent => Ending::Silent,
        Loss::Failed => Ending::Failed,
    }
}

fn loss_event(loss: Loss) -> &'static str {
    match loss {
        Loss::Broken => "broken",
        Loss::Silent => "silent",
        Loss::Failed => "failed",
    }
}
