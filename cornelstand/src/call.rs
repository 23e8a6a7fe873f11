//! One request from its admission to its last byte.
//!
//! The task asks for an endpoint, sends, and passes the answer on, for as many attempts as the
//! state machine of `attempt` allows. A caller that goes away ends it at every step.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use reqwest::Response;

use crate::attempt::{ConnectError, Loss, Ready, Sent, Unsent};
use crate::body::{CallBody, stated_length};
use crate::caller::{Caller, Gone, Reader};
use crate::config::{Class, Kind, Repeat};
use crate::dispatch::{Ending, Grant, Offer, Refusal};
use crate::entry::Core;
use crate::flight::Flight;
use crate::headers::{REQUEST_ID, forwarded};
use crate::moment::Moment;
use crate::name::{AccountName, EndpointName, RequestId, ServiceName};
use crate::problem::{Problem, ProblemKind};
use crate::relay::{Origin, Source, has_end, is_events};
use crate::retry::RetryPermit;
use crate::timeline::Topic;
use crate::upstream::{Upcall, boot_of, is_foreign};

/// Most attempts of a request, those that were not sent included.
const ATTEMPTS: u32 = 8;
/// Wait that a refusal suggests when another attempt may go better.
const RETRY: Duration = Duration::from_secs(1);
/// Largest answer that is held until it is whole, so that a cut one can be asked for again.
const HELD_BYTES: u64 = 64 * 1024;

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
    pub(crate) hint: Option<u64>,
    pub(crate) prefix: Option<u64>,
    pub(crate) arrived: Moment,
    pub(crate) deadline: Moment,
    /// Endpoints that earlier attempts failed at.
    pub(crate) avoid: Vec<EndpointName>,
}

/// What follows an attempt. The caller is given back if there is another one.
enum Step {
    Again(Ready, Caller),
    Done,
}

impl Call {
    /// Carries the request out.
    pub(crate) async fn run(mut self, caller: Caller) {
        self.core.budgets().earn(&self.account, &self.service);
        let mut ready = Ready::Unsent(Unsent::new(self.request));
        let mut caller = caller;
        while let Step::Again(next, back) = self.attempt(ready, caller).await {
            ready = next;
            caller = back;
        }
    }

    async fn attempt(&mut self, ready: Ready, mut caller: Caller) -> Step {
        if ready.attempt().number >= ATTEMPTS {
            let detail = "no endpoint could be reached";
            let problem = Problem::new(ProblemKind::NoEndpoint, ready.refuse(), detail);
            caller.refuse(problem.retry_after(RETRY));
            return Step::Done;
        }
        let reply = self.offer(&ready, &mut caller).await;
        let grant = match reply {
            Ok(Ok(grant)) => grant,
            Ok(Err(refusal)) => {
                caller.refuse(refused(ready, &refusal));
                return Step::Done;
            }
            Err(Gone) => {
                caller.leave();
                return Step::Done;
            }
        };
        self.record("granted", grant.endpoint.as_str());
        let flight = Flight::begin(self, grant);
        let Some(address) = self.address(flight.grant()) else {
            self.avoid(&flight);
            flight.end(Ending::NotSent);
            self.count_retry("withdrawn");
            return Step::Again(ready.next(), caller);
        };
        self.send(ready, flight, address, caller).await
    }

    /// Asks for an endpoint. Dropping the offer cancels it.
    async fn offer(
        &self,
        ready: &Ready,
        caller: &mut Caller,
    ) -> Result<Result<Grant, Refusal>, Gone> {
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
            avoid: self.avoid.clone(),
            prefix: self.prefix,
        };
        let _waiting = Waiting::new(&self.core);
        tokio::select! {
            reply = (self.core.dispatch.offer)(offer) => Ok(reply),
            () = tokio::time::sleep(left) => Ok(Err(Refusal::Deadline)),
            () = caller.gone() => Err(Gone),
        }
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
        flight.sent(self.core.clock.now());
        let wait = self.first_wait();
        let sending = ready.send();
        let reply = tokio::select! {
            reply = tokio::time::timeout(wait, self.core.upstreams.send(upcall)) => reply,
            () = caller.gone() => {
                flight.cancel(address);
                caller.leave();
                return Step::Done;
            }
        };
        match reply.map(|r| r.map_err(ConnectError::prove)) {
            Ok(Ok(answer)) => {
                flight.head(boot_of(answer.headers()));
                let leg = Leg { flight, address };
                self.answer(sending.sent(), leg, answer, caller).await
            }
            Ok(Err(Ok(proof))) => {
                self.avoid(&flight);
                flight.end(Ending::Broken);
                self.count_retry("unconnected");
                Step::Again(sending.unconnected(&proof), caller)
            }
            Ok(Err(Err(_))) => {
                let leg = Leg { flight, address };
                self.lost(sending.sent(), Loss::Broken, leg, caller)
            }
            Err(_) => {
                let leg = Leg { flight, address };
                self.lost(sending.sent(), Loss::Silent, leg, caller)
            }
        }
    }

    async fn answer(&mut self, sent: Sent, leg: Leg, answer: Response, caller: Caller) -> Step {
        let status = answer.status();
        let headers = answer.headers().clone();
        if is_foreign(&headers, leg.flight.grant().attempt) {
            self.core.metrics.foreign.inc();
            self.core.replace_pool(leg.address);
            return self.lost(sent, Loss::Broken, leg, caller);
        }
        if self.is_overload(status) && self.body.is_sendable() {
            let permit = self.permit();
            if let Some(permit) = permit {
                self.avoid(&leg.flight);
                leg.flight.end(Ending::Overloaded);
                self.count_retry("overloaded");
                return Step::Again(sent.lost(Loss::Failed).retry(permit), caller);
            }
        }
        let model = self.kind == Kind::Model;
        let events = model && is_events(&headers);
        if !events && !has_end(&self.method, status, &headers) {
            return self.lost(sent, Loss::Broken, leg, caller);
        }
        let origin = Origin {
            core: self.core.clone(),
            address: leg.address,
            attempt: leg.flight.grant().attempt,
        };
        let source = Source::new(origin, answer, model);
        let head = Head {
            status,
            headers,
            events,
        };
        self.relay(sent, leg, head, source, caller).await
    }

    /// Passes an answer on, beginning with its first piece, or with all of it if it is short.
    async fn relay(
        &mut self,
        sent: Sent,
        mut leg: Leg,
        head: Head,
        mut source: Source,
        mut caller: Caller,
    ) -> Step {
        let ahead = tokio::select! {
            ahead = self.read_ahead(&head, &mut source, &mut leg.flight) => ahead,
            () = caller.gone() => {
                leg.flight.cancel(leg.address);
                caller.leave();
                return Step::Done;
            }
        };
        let (pieces, ended) = match ahead {
            Ok(ahead) => ahead,
            Err(loss) => return self.lost(sent, loss, leg, caller),
        };
        let ending = self.ending(head.status);
        let reader = caller.begin(sent.answering(), head.status, head.for_caller());
        self.pass(leg, source, reader, pieces, ended, ending).await;
        Step::Done
    }

    /// Reads what is held before the head of the answer goes out, and tells whether it is all.
    async fn read_ahead(
        &self,
        head: &Head,
        source: &mut Source,
        flight: &mut Flight,
    ) -> Result<(Vec<Bytes>, bool), Loss> {
        let hold = !head.events && stated_length(&head.headers).is_some_and(|l| l <= HELD_BYTES);
        let mut pieces = Vec::new();
        let mut wait = self.first_wait();
        while pieces.is_empty() || hold {
            let Some(piece) = source.next(wait).await? else {
                return Ok((pieces, true));
            };
            flight.first_byte(self.core.clock.now());
            pieces.push(piece);
            wait = self.core.limits.idle();
        }
        Ok((pieces, false))
    }

    async fn pass(
        &self,
        mut leg: Leg,
        mut source: Source,
        reader: Reader,
        ahead: Vec<Bytes>,
        ended: bool,
        ending: Ending,
    ) {
        let idle = self.core.limits.idle();
        let mut ahead = ahead.into_iter();
        loop {
            let next = match ahead.next() {
                Some(piece) => Ok(Some(piece)),
                None if ended => Ok(None),
                None => tokio::select! {
                    next = source.next(idle) => next,
                    () = reader.gone() => {
                        leg.flight.cancel(leg.address);
                        reader.leave(idle).await;
                        return;
                    }
                },
            };
            self.charge(&source, &mut leg.flight);
            match next {
                Ok(Some(piece)) => {
                    if reader.write(piece, idle).await == Err(Gone) {
                        leg.flight.cancel(leg.address);
                        reader.leave(idle).await;
                        return;
                    }
                }
                Ok(None) => {
                    leg.flight.end(ending);
                    reader.finish();
                    return;
                }
                Err(loss) => {
                    self.note_loss(loss, &leg);
                    leg.flight.end(ending_of(loss));
                    reader.cut(idle).await;
                    return;
                }
            }
        }
    }

    /// A sent attempt has no answer: tries again if that is allowed.
    fn lost(&mut self, sent: Sent, loss: Loss, leg: Leg, caller: Caller) -> Step {
        self.note_loss(loss, &leg);
        self.avoid(&leg.flight);
        let Leg { flight, address } = leg;
        let fault = self.body.fault();
        let late = self.core.clock.now() >= self.deadline;
        let attempt = sent.lost(loss);
        if let Some(fault) = fault {
            flight.cancel(address);
            let problem = Problem::new(
                ProblemKind::BodyIncomplete,
                attempt.refuse(),
                fault.to_string(),
            );
            caller.refuse(problem);
            return Step::Done;
        }
        if late {
            flight.cancel(address);
            let detail = "the deadline passed before the answer began";
            caller.refuse(Problem::new(
                ProblemKind::DeadlinePassed,
                attempt.refuse(),
                detail,
            ));
            return Step::Done;
        }
        flight.end(ending_of(loss));
        if self.body.is_sendable()
            && let Some(permit) = self.permit()
        {
            self.count_retry("lost");
            return Step::Again(attempt.retry(permit), caller);
        }
        let kind = match loss {
            Loss::Silent => ProblemKind::EndpointSilent,
            Loss::Broken | Loss::Failed => ProblemKind::EndpointLost,
        };
        caller.refuse(Problem::new(kind, attempt.refuse(), loss.to_string()));
        Step::Done
    }

    fn permit(&self) -> Option<RetryPermit> {
        if !self.repeat.is_idempotent() {
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
    fn note_loss(&self, loss: Loss, leg: &Leg) {
        let attempt = leg.flight.grant().attempt;
        if loss.is_silent() {
            self.core.replace_pool(leg.address);
            if self.kind == Kind::Model {
                self.core.cancel(leg.address, attempt);
            }
        }
        self.record(loss_event(loss), leg.flight.grant().endpoint.as_str());
    }

    /// Corrects the cost of a running attempt.
    fn charge(&self, source: &Source, flight: &mut Flight) {
        let cost = match self.kind {
            Kind::Model => source.tokens().unwrap_or_else(|| flight.grant().charged),
            Kind::Plain => flight.slot_millis(self.core.clock.now()),
        };
        flight.progress(cost);
    }

    fn first_wait(&self) -> Duration {
        let left = self.deadline.since(self.core.clock.now());
        self.core.limits.first().min(left)
    }

    fn upcall(&self, ready: &Ready, address: SocketAddr) -> Upcall {
        let mut headers = self.headers.clone();
        if let (true, Some(length)) = (self.body.is_stream(), self.length) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
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

    fn ending(&self, status: StatusCode) -> Ending {
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
        self.core.metrics.retries.with_label_values(&[reason]).inc();
    }

    fn record(&self, what: &str, subject: &str) {
        self.core
            .timeline
            .record(Topic::Request, what, subject, Some(self.request));
    }
}

/// An attempt that was sent, and where to.
struct Leg {
    flight: Flight,
    address: SocketAddr,
}

/// Head of an endpoint's answer.
struct Head {
    status: StatusCode,
    headers: HeaderMap,
    events: bool,
}

impl Head {
    /// The headers for the caller.
    fn for_caller(&self) -> HeaderMap {
        let mut headers = forwarded(&self.headers);
        headers.remove(REQUEST_ID);
        if self.events {
            headers.remove(CONTENT_LENGTH);
        }
        headers
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

fn loss_event(loss: Loss) -> &'static str {
    match loss {
        Loss::Broken => "broken",
        Loss::Silent => "silent",
        Loss::Failed => "failed",
    }
}

fn ending_of(loss: Loss) -> Ending {
    match loss {
        Loss::Broken => Ending::Broken,
        Loss::Silent => Ending::Silent,
        Loss::Failed => Ending::Failed,
    }
}

/// The problem for an offer that was not granted.
fn refused(ready: Ready, refusal: &Refusal) -> Problem {
    let (kind, retry) = match refusal {
        Refusal::QueueFull { retry } => (ProblemKind::QueueFull, Some(*retry)),
        Refusal::NoEndpoint { retry } => (ProblemKind::NoEndpoint, Some(*retry)),
        Refusal::Deadline => (ProblemKind::DeadlinePassed, None),
        Refusal::NotOwner(_) | Refusal::UnknownAccount | Refusal::Cancelled => {
            (ProblemKind::Unavailable, Some(RETRY))
        }
    };
    let mut problem = Problem::new(kind, ready.refuse(), refusal.to_string());
    problem.retry = retry;
    problem
}
