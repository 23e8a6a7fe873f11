//! Processing of one request from its admission to the last byte of its answer.
//!
//! The task claims a request that may not be repeated, requests an endpoint, sends the request, and
//! delivers the answer, for as many attempts as the state machine in `attempt` allows. It stops
//! when the caller disconnects, except for a claimed request that was sent: that one runs to
//! completion, so that its answer is recorded for a repetition. For the same reason the caller's
//! deadline only bounds the wait for an endpoint once a request is claimed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use reqwest::Response;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use crate::admit::answer_deadline;
use crate::attempt::{Loss, NotRun, Ready, Sent, Unsent, Verdict};
use crate::body::{BodyError, CallBody};
use crate::caller::{Caller, Interrupt};
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
use crate::relay::{AnswerBody, Origin, is_decoded, is_delimited, is_events};
use crate::retry::RetryPermit;
use crate::timeline::Topic;
use crate::upstream::{EndpointRequest, boot_of};

/// Delay before the third attempt.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// An admitted request.
pub(crate) struct Call {
    pub(crate) core: Arc<Core>,
    pub(crate) request: RequestId,
    pub(crate) account: AccountName,
    pub(crate) service: ServiceName,
    pub(crate) kind: Kind,
    pub(crate) class: Class,
    pub(crate) repeat: Repeat,
    pub(crate) method: Method,
    /// Path and query sent to the endpoint.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    /// Content length stated by the caller.
    pub(crate) length: Option<u64>,
    pub(crate) body: CallBody,
    /// Buffer space reserved while the body is held.
    pub(crate) _room: OwnedSemaphorePermit,
    /// Idempotency key.
    pub(crate) key: Option<String>,
    /// The claim, from its acquisition until it is settled.
    pub(crate) ticket: Option<Ticket>,
    /// The trial of a request suspected of crashing endpoints.
    pub(crate) trial: Option<TrialGuard>,
    pub(crate) hint: Option<u64>,
    pub(crate) prefix: Option<u64>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Moment,
    pub(crate) deadline: Moment,
    /// Endpoints where earlier attempts failed.
    pub(crate) avoid: Vec<EndpointName>,
}

/// What follows an attempt. The caller is returned if the request is retried.
pub(crate) enum Step {
    Retry(Ready, Caller),
    Done,
}

impl Call {
    /// Processes the request.
    pub(crate) async fn run(mut self, unsent: Unsent, caller: Caller) {
        self.record("accepted", self.service.as_str());
        self.core.budgets().earn(&self.account, &self.service);
        let mut step = self.claim(unsent, caller).await;
        while let Step::Retry(ready, mut caller) = step {
            step = match self.backoff(&ready, &mut caller).await {
                Ok(()) => self.attempt(ready, caller).await,
                Err(why) => self.interrupt(ready, caller, why).await,
            };
            self.trial = None;
        }
    }

    /// Claims a request that may not be repeated, before an endpoint is requested.
    async fn claim(&mut self, unsent: Unsent, mut caller: Caller) -> Step {
        let Some(key) = self.key.as_deref().filter(|_| self.repeat == Repeat::Once) else {
            return Step::Retry(Ready::Unsent(unsent), caller);
        };
        if self.is_stopping() {
            caller.refuse(&refusal::stopping(Ready::Unsent(unsent)));
            return Step::Done;
        }
        let claiming = self
            .core
            .claims
            .begin(&self.account, key, self.fingerprint, self.request);
        let begun = tokio::select! {
            begun = claiming => begun,
            () = caller.gone() => {
                caller.abandon();
                return Step::Done;
            }
            () = self.stopping() => {
                caller.refuse(&refusal::stopping(Ready::Unsent(unsent)));
                return Step::Done;
            }
        };
        let problem = match begun {
            Ok(BeginOutcome::Fresh(ticket)) => {
                self.ticket = Some(ticket);
                return Step::Retry(Ready::Unsent(unsent), caller);
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

    /// Delays every attempt after the second, so that a grant that cannot be used is not requested
    /// in a tight loop until the dispatcher learns why.
    async fn backoff(&self, ready: &Ready, caller: &mut Caller) -> Result<(), Interrupt> {
        let Some(doublings) = ready.attempt().number.checked_sub(2) else {
            return Ok(());
        };
        let left = self.deadline.since(self.core.clock.now());
        let delay = BASE_BACKOFF.saturating_mul(1 << doublings.min(MAX_DOUBLINGS));
        tokio::select! {
            () = sleep(delay.min(left)) => Ok(()),
            why = self.interrupted(caller) => Err(why),
        }
    }

    async fn attempt(&mut self, ready: Ready, mut caller: Caller) -> Step {
        if self.is_stopping() {
            return self.interrupt(ready, caller, Interrupt::Stopping).await;
        }
        match self.clearance(&mut caller).await {
            Ok(Clearance::Allowed) => {}
            Ok(Clearance::Refused(left)) => return self.refuse_suspect(ready, caller, left).await,
            Ok(Clearance::DeadlinePassed) => {
                let problem = refusal::refused(ready, &Refusal::Deadline);
                return self.give_up(caller, problem).await;
            }
            Err(why) => return self.interrupt(ready, caller, why).await,
        }
        let pauses = self.core.pauses.count();
        let grant = match self.offer(&ready, &mut caller).await {
            Ok(Ok(grant)) => grant,
            Ok(Err(reason)) => return self.give_up(caller, refusal::refused(ready, &reason)).await,
            Err(why) => return self.interrupt(ready, caller, why).await,
        };
        self.record("granted", grant.endpoint.as_str());
        let is_mismatched = grant.attempt != ready.attempt();
        let attempt = ready.attempt();
        let flight = Flight::begin(self, Grant { attempt, ..grant });
        if is_mismatched {
            flight.end(Ending::NotSent);
            self.count_retry("crossed");
            return Step::Retry(ready.next(), caller);
        }
        if self.core.pauses.has_paused(pauses, self.core.clock.now()) {
            flight.end(Ending::NotSent);
            self.count_retry("paused");
            return Step::Retry(ready.next(), caller);
        }
        if self.is_claim_late() {
            flight.end(Ending::NotSent);
            return self.give_up(caller, refusal::claim_late(ready)).await;
        }
        if self.is_stopping() {
            flight.end(Ending::NotSent);
            return self.interrupt(ready, caller, Interrupt::Stopping).await;
        }
        let usable = self
            .address(flight.grant())
            .filter(|_| self.place_trial(&flight));
        let Some(address) = usable else {
            self.avoid(&flight);
            flight.end(Ending::NotSent);
            self.count_retry("withdrawn");
            return Step::Retry(ready.next(), caller);
        };
        self.send(ready, flight, address, caller).await
    }

    /// Requests an endpoint. Dropping the offer cancels it.
    async fn offer(&self, ready: &Ready, caller: &mut Caller) -> Result<Reply, Interrupt> {
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
            why = self.interrupted(caller) => Err(why),
        }
    }

    /// Returns the endpoints to be granted only if there is no other.
    fn avoided(&self) -> Vec<EndpointName> {
        let mut avoided = self.avoid.clone();
        if self.trial.is_some() {
            avoided.extend(self.core.trials().iter().cloned());
        }
        avoided
    }

    /// Returns the address of the granted endpoint if this entry's configuration allows its use.
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
        let endpoint_request = self.endpoint_request(&ready, address);
        flight.record_sent(self.core.clock.now());
        let wait = self.first_wait(&flight);
        let origin = Origin {
            core: self.core.clone(),
            address,
            attempt: ready.attempt(),
            is_pooled: endpoint_request.is_pooled,
        };
        let sending = ready.send();
        let reply = tokio::select! {
            reply = self.head(endpoint_request, &origin, wait) => reply,
            () = caller.gone(), if !self.is_claimed() => {
                flight.cancel(address);
                caller.abandon();
                return Step::Done;
            }
            () = self.core.stop_ended() => {
                let leg = Leg { flight, address };
                return self.cut(sending.sent(), leg, caller).await;
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
                Step::Retry(sending.unconnected(&proof), caller)
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
        let upstreams = &self.core.upstreams;
        if upstreams.is_foreign(leg.address, &headers, origin.attempt, origin.is_pooled) {
            self.core.metrics.foreign_answers.inc();
            self.core.replace_pool(leg.address);
            return self.lost(sent, Loss::Broken, leg, caller).await;
        }
        if self.is_overload(status) && self.repeat.is_idempotent() {
            match self.permit() {
                Some(permit) => {
                    self.avoid(&leg.flight);
                    leg.flight.end(Ending::Overloaded);
                    self.count_retry("overloaded");
                    return Step::Retry(sent.lost(Loss::Failed).retry(permit), caller);
                }
                None if self.kind == Kind::Model => {
                    leg.flight.end(Ending::Overloaded);
                    let problem = refusal::overloaded(sent.lost(Loss::Failed));
                    return self.give_up(caller, problem).await;
                }
                // The answer of a plain service is forwarded unchanged.
                None => {}
            }
        }
        let model = self.kind == Kind::Model;
        // An engine resumes a stream by a 200, which must not follow the head of another answer.
        let events = model && status == StatusCode::OK && is_events(&headers);
        let is_delimited = events || is_delimited(&self.method, status, &headers);
        if !is_delimited || !is_decoded(&headers) {
            return self.lost(sent, Loss::Broken, leg, caller).await;
        }
        let body = AnswerBody::new(origin, answer, events, model);
        let head = Head {
            status,
            headers,
            events,
        };
        self.deliver(sent, leg, head, body, caller).await
    }

    /// Handles a lost attempt: retries the request if that is allowed.
    pub(crate) async fn lost(&mut self, sent: Sent, loss: Loss, leg: Leg, caller: Caller) -> Step {
        let attempt = sent.lost(loss);
        if let Some(fault) = self.upload_fault(loss) {
            leg.flight.cancel(leg.address);
            let problem = refusal::body_failed(attempt, fault);
            return self.give_up(caller, problem).await;
        }
        self.record_loss(loss, &leg);
        self.avoid(&leg.flight);
        if loss.is_broken() {
            self.check_crash(&leg).await;
        }
        let Leg { flight, address } = leg;
        if !self.is_claimed() && self.core.clock.now() >= self.deadline {
            flight.cancel(address);
            return self
                .give_up(caller, refusal::deadline_passed(attempt))
                .await;
        }
        flight.end(ending_of(loss));
        if let Some(permit) = self.permit() {
            self.count_retry("lost");
            return Step::Retry(attempt.retry(permit), caller);
        }
        self.give_up(caller, refusal::lost(attempt, loss)).await
    }

    /// Returns the error in the caller's body that caused a loss.
    fn upload_fault(&self, loss: Loss) -> Option<BodyError> {
        let is_upload_slow = loss.is_silent() && self.body.is_waiting_for_caller();
        let timeout = is_upload_slow.then_some(BodyError::Slow);
        self.body.fault().or(timeout)
    }

    /// Returns whether the instance stops too early for the request to be sent.
    fn is_stopping(&self) -> bool {
        let cutoff = self.core.send_cutoff(self.answer_deadline());
        cutoff.is_some_and(|cutoff| self.core.clock.now() >= cutoff)
    }

    /// Waits until the instance stops too early for the request to be sent.
    async fn stopping(&self) {
        let deadline = self.answer_deadline();
        self.core.send_cutoff_reached(deadline).await;
    }

    fn answer_deadline(&self) -> Option<Moment> {
        answer_deadline(self.repeat, self.key.as_deref(), self.deadline)
    }

    /// Waits for a reason to give up a request that is not sent.
    pub(crate) async fn interrupted(&self, caller: &mut Caller) -> Interrupt {
        tokio::select! {
            () = caller.gone() => Interrupt::Gone,
            () = self.stopping() => Interrupt::Stopping,
        }
    }

    /// Gives up a request while no attempt is running.
    async fn interrupt(&mut self, ready: Ready, caller: Caller, why: Interrupt) -> Step {
        match why {
            Interrupt::Gone => self.abandon(ready, caller).await,
            Interrupt::Stopping => self.give_up(caller, refusal::stopping(ready)).await,
        }
    }

    /// Ends a sent request of whose answer nothing was passed on at the end of a stop.
    pub(crate) async fn cut(&mut self, sent: Sent, leg: Leg, caller: Caller) -> Step {
        self.core.closing.count_cut();
        leg.flight.cancel(leg.address);
        let verdict = sent.lost(Loss::Silent).refuse();
        self.give_up(caller, refusal::stopped(verdict)).await
    }

    /// Ends a request whose caller disconnected while no attempt was running.
    async fn abandon(&mut self, ready: Ready, caller: Caller) -> Step {
        let open = caller.abandon();
        self.settle(&ready.refuse()).await;
        drop(open);
        Step::Done
    }

    /// Refuses a request suspected of crashing endpoints.
    async fn refuse_suspect(&mut self, ready: Ready, caller: Caller, left: Duration) -> Step {
        let open = caller.refuse(&refusal::suspect(left));
        self.settle(&ready.refuse()).await;
        drop(open);
        Step::Done
    }

    /// Sends the caller the refusal first, then settles the claim.
    async fn give_up(&mut self, caller: Caller, problem: Problem) -> Step {
        let open = caller.refuse(&problem);
        self.settle(&problem.verdict).await;
        drop(open);
        Step::Done
    }

    /// Settles the claim of an unanswered request. Only the proof that it was not sent releases
    /// the claim.
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

    /// Records that the outcome of a claimed request is unknown.
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

    /// Returns whether the request holds a claim.
    pub(crate) fn is_claimed(&self) -> bool {
        self.ticket.is_some()
    }

    /// Returns whether the claim is too old for the request to be sent.
    fn is_claim_late(&self) -> bool {
        let claims = &self.core.claims;
        self.ticket.as_ref().is_some_and(|t| !claims.is_sendable(t))
    }

    /// Spends retry budget for another attempt, if the request can be retried.
    fn permit(&self) -> Option<RetryPermit> {
        if !self.repeat.is_idempotent() || !self.body.is_sendable() {
            return None;
        }
        let mut budgets = self.core.budgets();
        let permit = budgets.spend(self.repeat, &self.account, &self.service);
        if permit.is_none() {
            self.core.metrics.retries_denied.inc();
        }
        permit
    }

    /// Records a loss. A silent one replaces the pool, whose other connections may be dead, too.
    pub(crate) fn record_loss(&self, loss: Loss, leg: &Leg) {
        if loss.is_silent() {
            self.core.replace_pool(leg.address);
            if self.kind == Kind::Model {
                self.core.cancel(leg.address, leg.flight.grant().attempt);
            }
        }
        self.record(loss_event(loss), leg.flight.grant().endpoint.as_str());
    }

    fn endpoint_request(&self, ready: &Ready, address: SocketAddr) -> EndpointRequest {
        let mut headers = self.headers.clone();
        if let (true, Some(length)) = (self.body.is_stream(), self.length) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        let left = self.deadline.since(self.core.clock.now());
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_MS, HeaderValue::from(millis));
        EndpointRequest {
            address,
            attempt: ready.attempt(),
            method: self.method.clone(),
            target: self.target.clone(),
            headers,
            body: self.body.upload(),
            is_pooled: self.core.upstreams.may_pool(address, self.repeat),
        }
    }

    fn is_overload(&self, status: StatusCode) -> bool {
        status == StatusCode::SERVICE_UNAVAILABLE
            || (self.kind == Kind::Model && status == StatusCode::TOO_MANY_REQUESTS)
    }

    /// Returns how an attempt with a complete answer ended.
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

/// Counts a request as waiting for an endpoint until dropped.
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

/// Returns how a lost attempt ended.
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
