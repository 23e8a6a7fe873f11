//! One attempt of a request at one endpoint, and the way of the answer back.
//!
//! Answers of calls are held until they are whole, so that a cut one can be tried again or turned
//! into an error. Events of streams go on as soon as they are whole: a stream that breaks off in
//! the middle of an event can be resumed without a doubled or torn one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use derive_more::IsVariant;
use tokio::time::{Instant, timeout_at};

use crate::gateway::call::Call;
use crate::gateway::directory::EndpointRecord;
use crate::gateway::gate::Gate;
use crate::gateway::message::{BodyReader, Head};
use crate::gateway::outlet::{CallerGone, Outlet, write_all};
use crate::gateway::placement::Place;
use crate::gateway::upstream::{Pool, ReadError, Upstream, read_into};
use crate::platform::headers::{
    AnswerFields, CallerFraming, Passing, read_answer, write_answer_head, write_request,
};

/// Longest time to open a connection; it takes some milliseconds between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 * 1024;
/// Largest answer of a call that is held until it is whole, in bytes.
const CALL_BYTES: usize = 16 * 1024 * 1024;
/// Largest event of a stream, in bytes; what is longer is taken for bytes without end.
const EVENT_BYTES: usize = 256 * 1024;
/// Most answers to earlier requests that are passed over on a connection.
const FOREIGN_COUNT: u32 = 4;
/// Part of the silence that callers bear after which a stream goes on elsewhere, which leaves as
/// much for its next event there.
const RESUME_PART: f64 = 0.5;

/// How an attempt ended.
#[derive(Debug, IsVariant)]
pub(crate) enum Attempt {
    /// The answer went to the caller whole, with this status.
    Delivered(u16),
    /// The endpoint did not run the request.
    NotRun(NotRun),
    /// The request may have run, and its answer, or the rest of it, will not come.
    Lost(&'static str),
    /// A whole answer that tells of a failure, not sent to the caller yet.
    Failed(HeldAnswer),
    /// The caller left.
    Gone,
    /// The time for the answer is over.
    Late,
}

/// Why an endpoint did not run a request.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub(crate) enum NotRun {
    /// No connection; nothing was sent.
    Unreachable,
    /// It has no room.
    Busy,
    /// Another endpoint has its address.
    Moved,
    /// It was not sent: meanwhile it is known to crash endpoints.
    Barred,
}

/// An answer that was read whole.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
}

/// Why a wait ended before what was waited for.
#[derive(Debug, IsVariant)]
enum Stop {
    Gone,
    Late,
    Silent,
    Read(ReadError),
}

impl From<ReadError> for Stop {
    fn from(error: ReadError) -> Self {
        Self::Read(error)
    }
}

impl From<CallerGone> for Stop {
    fn from(_: CallerGone) -> Self {
        Self::Gone
    }
}

impl Stop {
    fn attempt(self) -> Attempt {
        match self {
            Self::Gone => Attempt::Gone,
            Self::Late => Attempt::Late,
            Self::Silent => Attempt::Lost("silent"),
            Self::Read(ReadError::Closed) => Attempt::Lost("closed"),
            Self::Read(ReadError::Io(_)) => Attempt::Lost("reset"),
            Self::Read(ReadError::Message(_)) => Attempt::Lost("malformed"),
        }
    }
}

/// Sends the request to the endpoint of `place` and carries its answer back.
pub(crate) async fn attempt(
    gate: &Gate,
    call: &mut Call,
    outlet: &mut Outlet,
    place: &mut Place,
    record: &EndpointRecord,
) -> Attempt {
    let (address, endpoint) = (record.address, record.name.as_str());
    let pooled = gate.state.borrow_mut().pool.take(address);
    let mut upstream = if let Some(upstream) = pooled {
        upstream
    } else {
        let connect = Upstream::connect(address, CONNECT_TIMEOUT);
        match race(connect, outlet, call.deadline).await {
            Ok(Ok(upstream)) => upstream,
            Ok(Err(error)) => {
                tracing::info!(event = "endpoint_unreachable", endpoint, %address, %error);
                return Attempt::NotRun(NotRun::Unreachable);
            }
            Err(stop) => return stop.attempt(),
        }
    };
    // A busy instance may get here long after the caller left.
    if outlet.is_gone() {
        return Attempt::Gone;
    }
    if gate.refused_for(call.fingerprint).is_some() {
        return Attempt::NotRun(NotRun::Barred);
    }
    let mut request = BytesMut::new();
    let passing = Passing {
        endpoint,
        account: call.account.as_ref().map(crate::name::AccountName::as_str),
        left: call.deadline.saturating_duration_since(Instant::now()),
        resumes: call.resumes(),
    };
    write_request(&mut request, &call.head, &call.body, &passing);
    call.sends += 1;
    let mut exchange = Exchange {
        gate,
        address,
        upstream: &mut upstream,
        is_sent: false,
        is_reusable: true,
        idle: None,
    };
    let result = exchange.run(call, outlet, place, &request).await;
    let (is_reusable, idle) = (exchange.is_reusable && exchange.is_sent, exchange.idle);
    let attempt = result.unwrap_or_else(Stop::attempt);
    let is_whole = attempt.is_delivered() || attempt.is_failed() || attempt.is_not_run();
    if is_whole && is_reusable && upstream.input.is_empty() {
        let pool: &mut Pool = &mut gate.state.borrow_mut().pool;
        pool.put(address, upstream, idle);
    }
    attempt
}

/// Until when a request waits for the next event after one at `progressed`.
fn silence_end(call: &Call, progressed: Instant) -> Instant {
    if call.may_resume() {
        let silence = call.route.silence().mul_f64(RESUME_PART);
        call.deadline.min(progressed + silence)
    } else {
        call.deadline
    }
}

/// Waits for `work`, the caller's leave or the deadline.
async fn race<T>(
    work: impl Future<Output = T>,
    outlet: &mut Outlet,
    deadline: Instant,
) -> Result<T, Stop> {
    let either = async {
        tokio::select! {
            biased;
            result = work => Ok(result),
            () = outlet.gone() => Err(Stop::Gone),
        }
    };
    // Work that is always ready would pass by the timeout.
    if Instant::now() >= deadline {
        return Err(Stop::Late);
    }
    timeout_at(deadline, either)
        .await
        .unwrap_or(Err(Stop::Late))
}

/// A request on its connection.
struct Exchange<'a> {
    gate: &'a Gate,
    address: SocketAddr,
    upstream: &'a mut Upstream,
    is_sent: bool,
    is_reusable: bool,
    idle: Option<Duration>,
}

impl Exchange<'_> {
    async fn run(
        &mut self,
        call: &mut Call,
        outlet: &mut Outlet,
        place: &mut Place,
        request: &[u8],
    ) -> Result<Attempt, Stop> {
        self.send(request, call, outlet).await?;
        let mut foreign = 0;
        loop {
            let head = self.head(call, outlet).await?;
            let answer = read_answer(&head);
            self.gate.note(place, answer.notice);
            let is_foreign = answer.request.is_some_and(|id| id != call.request);
            let mut body = head
                .answer_body(call.head.method())
                .map_err(ReadError::from)?;
            if is_foreign {
                // A late answer to an earlier request on this connection.
                tracing::info!(event = "foreign_answer", request = %call.id(), address = %self.address);
                self.is_reusable = false;
                foreign += 1;
                if foreign > FOREIGN_COUNT {
                    return Ok(Attempt::Lost("foreign answers"));
                }
                self.whole(&mut body, call, outlet).await?;
                continue;
            }
            self.idle = answer.idle;
            self.is_reusable &= head.keeps_alive() && !body.is_until_close();
            if answer.not_run {
                let moved = head.status() == 421;
                let _body = self.whole(&mut body, call, outlet).await?;
                let reason = if moved { NotRun::Moved } else { NotRun::Busy };
                return Ok(Attempt::NotRun(reason));
            }
            if !is_genuine(&head, &answer) {
                return Ok(Attempt::Lost("no receipt"));
            }
            let is_good = (200..300).contains(&head.status());
            if call.route.kind.is_stream() && is_good {
                return self.stream(&head, body, call, outlet, place).await;
            }
            self.gate.begin(place);
            let body = self.whole(&mut body, call, outlet).await?;
            let answer = HeldAnswer { head, body };
            if !is_good && call.may_try_again() {
                return Ok(Attempt::Failed(answer));
            }
            return deliver(call, outlet, answer).await.map_err(Stop::from);
        }
    }

    /// Sends the request, and stops sending when an answer comes before all of it is read.
    async fn send(&mut self, request: &[u8], call: &Call, outlet: &mut Outlet) -> Result<(), Stop> {
        let (stream, input) = (&self.upstream.stream, &mut self.upstream.input);
        let work = async {
            tokio::select! {
                biased;
                written = write_all(stream, request) => written.map(|()| true),
                read = read_into(stream, input) => read.map(|_| false),
            }
        };
        let sent = race(work, outlet, call.deadline).await?;
        // After an error there may still be an answer to read.
        self.is_sent = sent.unwrap_or(false);
        Ok(())
    }

    async fn head(&mut self, call: &Call, outlet: &mut Outlet) -> Result<Head, Stop> {
        let until = silence_end(call, Instant::now());
        let head = self.upstream.answer_head(HEAD_BYTES);
        match race(head, outlet, until).await {
            Ok(head) => Ok(head?),
            Err(Stop::Late) if until < call.deadline => Err(Stop::Silent),
            Err(stop) => Err(stop),
        }
    }

    async fn whole(
        &mut self,
        body: &mut BodyReader,
        call: &Call,
        outlet: &mut Outlet,
    ) -> Result<Bytes, Stop> {
        let read = self.upstream.whole_body(body, CALL_BYTES);
        Ok(race(read, outlet, call.deadline).await??)
    }

    /// Passes events on as they become whole.
    async fn stream(
        &mut self,
        head: &Head,
        mut body: BodyReader,
        call: &mut Call,
        outlet: &mut Outlet,
        place: &mut Place,
    ) -> Result<Attempt, Stop> {
        let mut pending = BytesMut::new();
        let mut out = BytesMut::new();
        let mut is_closed = false;
        let mut is_first = true;
        let mut progressed = Instant::now();
        loop {
            body.read(&mut self.upstream.input, &mut pending)
                .map_err(ReadError::from)?;
            let is_end = body.is_done() || is_closed;
            // A body that ends with its connection may have been cut off there.
            if is_closed && !pending.is_empty() && !pending.ends_with(b"\n\n") {
                return Ok(Attempt::Lost("closed in an event"));
            }
            let whole = if is_end {
                pending.len()
            } else {
                memchr::memmem::rfind(&pending, b"\n\n").map_or(0, |at| at + 2)
            };
            if whole > 0 || is_end {
                let events = pending.split_to(whole);
                progressed = Instant::now();
                let count = memchr::memmem::find_iter(&events, b"\n\n").count();
                let count = u32::try_from(count).unwrap_or(u32::MAX);
                let tokens = count.saturating_mul(call.stride);
                call.generated = call.generated.saturating_add(tokens);
                if std::mem::replace(&mut is_first, false) {
                    self.gate.begin(place);
                } else {
                    self.gate.progress(place, tokens);
                }
                write_events(&mut out, head, &events, is_end, call, outlet);
                outlet.send(&out).await?;
                out.clear();
            }
            if is_end {
                return Ok(Attempt::Delivered(head.status()));
            }
            if pending.len() > EVENT_BYTES {
                return Ok(Attempt::Lost("endless event"));
            }
            is_closed = self.more(&body, call, outlet, progressed).await?;
        }
    }

    /// Reads more of a stream whose last event came at `progressed`: single bytes are no progress.
    /// Returns whether the body ended with its connection.
    async fn more(
        &mut self,
        body: &BodyReader,
        call: &Call,
        outlet: &mut Outlet,
        progressed: Instant,
    ) -> Result<bool, Stop> {
        let until = silence_end(call, progressed);
        match race(self.upstream.read_more(), outlet, until).await {
            Ok(Ok(())) => Ok(false),
            Ok(Err(ReadError::Closed)) if body.is_until_close() => Ok(true),
            Ok(Err(error)) => Err(error.into()),
            Err(Stop::Late) if until < call.deadline => Err(Stop::Silent),
            Err(stop) => Err(stop),
        }
    }
}

/// Whether an answer is the endpoint's own and may be used.
fn is_genuine(head: &Head, answer: &AnswerFields<'_>) -> bool {
    let is_good = (200..300).contains(&head.status());
    !is_good || (answer.has_stamp && answer.request.is_some() && !answer.is_encoded)
}

/// Adds events to what goes to the caller, with the head before the first ones.
fn write_events(
    out: &mut BytesMut,
    head: &Head,
    events: &[u8],
    is_end: bool,
    call: &mut Call,
    outlet: &mut Outlet,
) {
    if !std::mem::replace(&mut call.has_begun, true) {
        call.first = Some(Instant::now());
        if outlet.is_old {
            outlet.keep = false;
        }
        let framing = if outlet.is_old {
            CallerFraming::UntilClose
        } else {
            CallerFraming::Chunked
        };
        write_answer_head(out, head, framing, outlet.connection_header());
    }
    call.note_events(events);
    if outlet.is_old {
        out.put_slice(events);
        return;
    }
    if !events.is_empty() {
        let size = format!("{:x}\r\n", events.len());
        out.put_slice(size.as_bytes());
        out.put_slice(events);
        out.put_slice(b"\r\n");
    }
    if is_end {
        out.put_slice(b"0\r\n\r\n");
    }
}

/// Sends an answer that was read whole.
pub(crate) async fn deliver(
    call: &mut Call,
    outlet: &mut Outlet,
    held: HeldAnswer,
) -> Result<Attempt, CallerGone> {
    let status = held.head.status();
    let has_no_body = call.head.method() == "HEAD" || status == 204 || status == 304;
    let framing = if has_no_body {
        CallerFraming::AsIs
    } else {
        CallerFraming::Length(held.body.len())
    };
    let mut out = BytesMut::new();
    write_answer_head(&mut out, &held.head, framing, outlet.connection_header());
    out.put_slice(&held.body);
    call.has_begun = true;
    call.first.get_or_insert_with(Instant::now);
    outlet.send(&out).await?;
    Ok(Attempt::Delivered(status))
}
