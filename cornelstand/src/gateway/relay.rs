//! Sends a request to one endpoint and forwards the response to the caller.
//!
//! Responses to calls are buffered until complete, so that a truncated one can be retried or turned
//! into an error. Larger ones are passed on as they are read, no faster than the caller reads. Stream
//! events are forwarded as soon as each is complete, so that a stream that breaks off within an event
//! is resumed without a duplicate or partial event.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use derive_more::IsVariant;
use tokio::time::{Instant, timeout_at};

use crate::gateway::call::Call;
use crate::gateway::directory::EndpointRecord;
use crate::gateway::elsewhere::{Onward, other_endpoint};
use crate::gateway::gate::Gate;
use crate::gateway::held_bytes::{SMALL_BYTES, Share};
use crate::gateway::message::{BodyReader, Head, MessageError};
use crate::gateway::metrics::Limit;
use crate::gateway::outlet::{PIECE_BYTES, ResponseWriter, SendError, write_some};
use crate::gateway::placement::{AnswerPhase, EndpointIndex, Place};
use crate::gateway::rollout_link::{RolloutAttempt, elapsed};
use crate::gateway::upstream::{
    Pool, ReadError, UNACKED_TIMEOUT, Upstream, read_into, reset_on_close, set_receive_buffer,
};
use crate::platform::headers::{
    CallerFraming, Forwarding, RequestRef, ResponseFields, read_response, write_request_head,
    write_response_head,
};
use crate::sse::{EVENT_BYTES, Splitter};

/// Time limit to connect; connecting to another data centre takes some milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest body that is copied behind its head, to be written in one piece, in bytes.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;
/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Largest response body that is buffered until complete, in bytes.
const MAX_WHOLE_BYTES: usize = 256 * 1024;
/// Part of the account of held bytes that heads and buffered responses leave to requests.
const REQUESTS_DIVISOR: usize = 2;
/// Receive buffer of the connection to an endpoint whose response is passed on, in bytes.
const RECEIVE_BYTES: usize = 64 * 1024;
/// Most responses to other requests that are skipped on a connection.
const MAX_FOREIGN_RESPONSES: u32 = 4;
/// Time without an answer after which the data centre of an endpoint is checked for silence; below
/// [`UNACKED_TIMEOUT`], after which a reset comes too late to recall what is on its way.
const CUT_CHECK_DELAY: Duration = UNACKED_TIMEOUT.saturating_sub(Duration::from_millis(300));
/// Share of the silence callers tolerate after which a stream is resumed at another endpoint. The
/// other half is left for the first event from there.
const RESUME_SHARE: f64 = 0.5;

/// How an attempt ended.
#[derive(Debug, IsVariant)]
pub(crate) enum Attempt {
    /// The complete response was sent to the caller, with this status.
    Delivered(u16),
    /// The endpoint did not run the request.
    NotRun(NotRun),
    /// The request may have run, but its response is lost or incomplete.
    Lost(&'static str),
    /// The same, because this instance has no memory left for the response.
    NoRoom(&'static str),
    /// A complete error response, not yet sent to the caller.
    Failed(BufferedResponse),
    /// The caller disconnected.
    Gone,
    /// The deadline passed.
    Late,
}

/// Why an endpoint did not run a request.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub(crate) enum NotRun {
    /// The connection could not be opened; nothing was sent.
    Unreachable,
    /// The endpoint is at capacity.
    Busy,
    /// The address now belongs to another endpoint.
    Moved,
    /// Not sent, because the request has become known to crash endpoints.
    Barred,
    /// Not sent, because the endpoint's version may not get it any more.
    Withheld,
}

/// A completely buffered response.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
    /// Memory for the head and the body.
    pub(crate) _shares: [Share; 2],
}

/// Reason why an attempt was interrupted.
#[derive(Debug, IsVariant)]
enum Interruption {
    Gone,
    DeadlinePassed,
    Silent,
    /// Nothing is heard from the data centre of the endpoint.
    CutOff,
    /// The caller has got part of another response.
    OtherBegun,
    Read(ReadError),
}

impl From<ReadError> for Interruption {
    fn from(error: ReadError) -> Self {
        Self::Read(error)
    }
}

impl From<SendError> for Interruption {
    fn from(error: SendError) -> Self {
        match error {
            SendError::CallerGone => Self::Gone,
            SendError::OtherBegun => Self::OtherBegun,
        }
    }
}

impl Interruption {
    fn into_attempt(self) -> Attempt {
        match self {
            Self::Gone => Attempt::Gone,
            Self::DeadlinePassed => Attempt::Late,
            Self::Silent => Attempt::Lost("silent"),
            Self::CutOff => Attempt::Lost("data centre cut off"),
            Self::OtherBegun => Attempt::Lost("another response has begun"),
            Self::Read(ReadError::Closed) => Attempt::Lost("closed"),
            Self::Read(ReadError::Io(_)) => Attempt::Lost("reset"),
            Self::Read(ReadError::NoHeadRoom) => Attempt::NoRoom("no memory is left for the head"),
            Self::Read(ReadError::Message(error)) => Attempt::Lost(match error {
                MessageError::HeadTooLarge => "endless head",
                MessageError::BadHead => "malformed head",
                MessageError::BadFraming => "malformed framing",
                MessageError::BodyTooLarge => "endless body",
            }),
        }
    }
}

/// Sends the request to the endpoint of `place` and forwards the response.
pub(crate) async fn attempt(
    gate: &Gate,
    call: &mut Call,
    writer: &mut ResponseWriter,
    place: &mut Place,
    record: &EndpointRecord,
) -> Attempt {
    let (address, endpoint) = (record.address, record.name.as_str());
    let pooled = gate.state.borrow_mut().pool.take(address, &call.request_id);
    let mut upstream = if let Some(upstream) = pooled {
        upstream
    } else {
        let connect = Upstream::connect(address, CONNECT_TIMEOUT);
        match with_deadline(connect, writer, call.deadline).await {
            Ok(Ok(upstream)) => upstream,
            Ok(Err(error)) => {
                tracing::info!(event = "endpoint_unreachable", endpoint, %address, %error);
                return Attempt::NotRun(NotRun::Unreachable);
            }
            Err(interruption) => return interruption.into_attempt(),
        }
    };
    // An overloaded instance may get here long after the caller disconnected.
    if writer.is_gone() {
        return Attempt::Gone;
    }
    if gate
        .crash_refusal(call.fingerprint, call.prompt.as_ref())
        .is_some()
    {
        return Attempt::NotRun(NotRun::Barred);
    }
    let sent = RolloutAttempt {
        call,
        record,
        place,
    };
    if !gate.note_rollout_send(sent) {
        let pool: &mut Pool = &mut gate.state.borrow_mut().pool;
        pool.put(address, upstream, None);
        return Attempt::NotRun(NotRun::Withheld);
    }
    let mut request = BytesMut::new();
    let forwarding = Forwarding {
        endpoint,
        account: call.account.as_ref().map(crate::name::AccountName::as_str),
        remaining: call.deadline.saturating_duration_since(Instant::now()),
        last_event: call.last_event(),
    };
    let body = call.body.clone();
    write_request_head(&mut request, &call.head, body.len(), &forwarding);
    let mut rest: &[u8] = &body;
    if body.len() <= MAX_COPIED_BODY_BYTES {
        request.extend_from_slice(&body);
        rest = &[];
    }
    call.sends += 1;
    let is_first = upstream.note_request(&call.request_id);
    let mut exchange = Exchange {
        gate,
        record,
        index: place.index,
        sent: Instant::now(),
        upstream: &mut upstream,
        unsent: &request,
        rest,
        is_first,
        written: Written::Partly,
        is_reusable: true,
        idle: None,
        onward: None,
        head_share: gate.held.share(),
    };
    let result = exchange.run(call, writer, place).await;
    let (is_reusable, idle) = (
        exchange.is_reusable && exchange.written.is_wholly(),
        exchange.idle,
    );
    call.onward = exchange.onward;
    let attempt = result.unwrap_or_else(Interruption::into_attempt);
    let is_whole = attempt.is_delivered() || attempt.is_failed() || attempt.is_not_run();
    if !is_whole {
        // A request that is held up on its way would still arrive after an orderly close.
        reset_on_close(&upstream.stream);
    }
    if is_whole && is_reusable && upstream.input.is_empty() {
        let pool: &mut Pool = &mut gate.state.borrow_mut().pool;
        pool.put(address, upstream, idle);
    }
    attempt
}

/// Deadline for the next event after one that came at `progressed`. A stream that a stop would keep
/// from being sent elsewhere then is left to its endpoint.
fn event_deadline(
    gate: &Gate,
    call: &Call,
    writer: &ResponseWriter,
    progressed: Instant,
) -> Instant {
    let until = progressed + call.route.silence().mul_f64(RESUME_SHARE);
    let stops = writer.stops(&gate.stop);
    let is_kept = !stops.admit(until, call.finish(writer.has_begun(), until));
    if call.may_resume() && !is_kept {
        call.deadline.min(until)
    } else {
        call.deadline
    }
}

/// Runs `work` until it completes, the caller disconnects or the deadline passes.
async fn with_deadline<T>(
    work: impl Future<Output = T>,
    writer: &mut ResponseWriter,
    deadline: Instant,
) -> Result<T, Interruption> {
    let either = async {
        tokio::select! {
            biased;
            result = work => Ok(result),
            () = writer.gone() => Err(Interruption::Gone),
        }
    };
    // `timeout_at` polls the work first, so work that is always ready would never time out.
    if Instant::now() >= deadline {
        return Err(Interruption::DeadlinePassed);
    }
    timeout_at(deadline, either)
        .await
        .unwrap_or(Err(Interruption::DeadlinePassed))
}

/// Runs `work` until it completes, or `other` does.
async fn either<T, U>(
    work: impl Future<Output = T>,
    other: impl Future<Output = U>,
) -> Result<T, U> {
    tokio::select! {
        biased;
        result = work => Ok(result),
        result = other => Err(result),
    }
}

/// How much of a request was written.
#[derive(Clone, Copy, Debug, IsVariant)]
enum Written {
    Partly,
    Wholly,
    /// Writing failed. The socket reports a reset once, so that reading then ends as after an
    /// orderly close.
    Failed,
}

/// A request and its response on one upstream connection.
struct Exchange<'a> {
    gate: &'a Gate,
    record: &'a EndpointRecord,
    index: EndpointIndex,
    sent: Instant,
    upstream: &'a mut Upstream,
    /// The part of the request that is written next.
    unsent: &'a [u8],
    /// The part of the request after it.
    rest: &'a [u8],
    /// Whether the connection carried no request before.
    is_first: bool,
    written: Written,
    is_reusable: bool,
    idle: Option<Duration>,
    /// What was found elsewhere while the endpoint was silent.
    onward: Option<Onward>,
    /// Memory for the head of the response.
    head_share: Share,
}

impl<'a> Exchange<'a> {
    async fn run(
        &mut self,
        call: &mut Call,
        writer: &mut ResponseWriter,
        place: &mut Place,
    ) -> Result<Attempt, Interruption> {
        let mut skipped = 0;
        loop {
            self.send(call, writer).await?;
            let head = self.read_head(call, writer).await?;
            let response = read_response(&head);
            self.gate.apply_notice(place, response.notice);
            let is_own = match response.request_id {
                Some(id) => id == RequestRef::One(&call.request_id),
                // Bytes after an earlier response may come without an identity.
                None => self.is_first,
            };
            let mut body = head
                .answer_body(call.head.method())
                .map_err(ReadError::from)?;
            if body.is_until_close() && self.written.is_failed() {
                return Ok(Attempt::Lost("reset"));
            }
            if !is_own {
                // A late response to an earlier request on this connection.
                tracing::info!(event = "foreign_answer", request = %call.id(), address = %self.record.address);
                self.is_reusable = false;
                skipped += 1;
                if skipped > MAX_FOREIGN_RESPONSES {
                    return Ok(Attempt::Lost("foreign answers"));
                }
                self.discard_body(&mut body, call, writer).await?;
                continue;
            }
            // An endpoint that moved away does not answer for the one of this place.
            if head.status() != 421 {
                self.gate.note_load(place, response.load);
            }
            self.idle = response.idle;
            let is_named = response.request_id.is_some();
            self.is_reusable &= is_named && head.keeps_alive() && !body.is_until_close();
            if response.not_run {
                let moved = head.status() == 421;
                self.discard_body(&mut body, call, writer).await?;
                let reason = if moved { NotRun::Moved } else { NotRun::Busy };
                return Ok(Attempt::NotRun(reason));
            }
            if !is_authentic(&head, &response) {
                return Ok(Attempt::Lost("no receipt"));
            }
            place.answer = AnswerPhase::Head;
            let is_good = is_success(&head);
            let has_body = !head.is_bodiless(call.head.method());
            let is_stream = call.route.kind.is_stream() && is_good && has_body;
            let may_continue = is_stream && writer.may_continue_with(&head);
            if is_good && writer.has_begun() && !may_continue {
                return Ok(Attempt::Lost("no continuation of the stream"));
            }
            if is_stream {
                return self.forward_events(&head, body, call, writer, place).await;
            }
            self.gate.begin(place);
            if head.status() < 500 {
                self.note_good(call, place);
            }
            let length = body.length();
            let (bytes, share) = match self.read_held(&mut body, call, writer).await? {
                Held::Whole(bytes, share) => (bytes, share),
                Held::Partly(..) if writer.has_begun() => {
                    return Ok(Attempt::Lost("no continuation of the stream"));
                }
                Held::Partly(bytes, share) => {
                    let part = Part {
                        bytes,
                        share,
                        reader: body,
                        length,
                    };
                    return self.pass_on(&head, part, call, writer).await;
                }
            };
            let response = BufferedResponse {
                head,
                body: bytes,
                _shares: [self.take_head_share(), share],
            };
            if !is_good && (writer.has_begun() || call.may_retry()) {
                return Ok(Attempt::Failed(response));
            }
            return deliver(call, writer, response)
                .await
                .map_err(Interruption::from);
        }
    }

    fn take_head_share(&mut self) -> Share {
        std::mem::replace(&mut self.head_share, self.gate.held.share())
    }

    /// Records that the answer has begun well.
    fn note_good(&self, call: &Call, place: &Place) {
        let attempt = RolloutAttempt {
            call,
            record: self.record,
            place,
        };
        self.gate.note_rollout_answer(attempt, elapsed(self.sent));
    }

    /// Sends the rest of the request; stops early if the endpoint responds before it has read all
    /// of it.
    async fn send(&mut self, call: &Call, writer: &mut ResponseWriter) -> Result<(), Interruption> {
        let Upstream { stream, input, .. } = &mut *self.upstream;
        let (stream, unsent, rest) = (&*stream, &mut self.unsent, &mut self.rest);
        let work = async {
            while !unsent.is_empty() {
                tokio::select! {
                    biased;
                    written = write_some(stream, unsent) => *unsent = &unsent[written?..],
                    read = read_into(stream, input) => return read.map(drop),
                }
                if unsent.is_empty() {
                    std::mem::swap(unsent, rest);
                }
            }
            Ok(())
        };
        let result = with_deadline(work, writer, call.deadline).await?;
        if result.is_err() {
            // There may still be a response to read.
            self.written = Written::Failed;
            self.is_reusable = false;
            (self.unsent, self.rest) = (&[], &[]);
        } else if self.unsent.is_empty() && !self.written.is_failed() {
            self.written = Written::Wholly;
        }
        Ok(())
    }

    async fn read_head(
        &mut self,
        call: &Call,
        writer: &mut ResponseWriter,
    ) -> Result<Head, Interruption> {
        let (started, sent) = (Instant::now(), self.gate.now());
        let mut cut_check = Some(started + CUT_CHECK_DELAY);
        let mut is_silent = false;
        let memory = self.gate.settings.borrow().memory / REQUESTS_DIVISOR;
        loop {
            let silent_from = if is_silent {
                call.deadline
            } else {
                event_deadline(self.gate, call, writer, started)
            };
            let until = cut_check.map_or(silent_from, |c| c.min(silent_from));
            let other = self.other_endpoint(is_silent, call, writer);
            let share = &mut self.head_share;
            let room = |bytes| share.grow(bytes, memory);
            let head = self.upstream.response_head(MAX_HEAD_BYTES, room);
            match with_deadline(either(head, other), writer, until).await {
                Ok(Ok(Err(ReadError::NoHeadRoom))) => {
                    self.gate.metrics.note_limit(Limit::HeldBytes);
                    return Err(ReadError::NoHeadRoom.into());
                }
                Ok(Ok(head)) => return Ok(head?),
                Ok(Err(onward)) => {
                    self.onward = Some(onward);
                    return Err(Interruption::Silent);
                }
                Err(Interruption::DeadlinePassed) if until < silent_from => {
                    cut_check = None;
                    if self.gate.is_cut_off(&self.record.centre, sent) {
                        return Err(Interruption::CutOff);
                    }
                }
                Err(Interruption::DeadlinePassed) if until < call.deadline => is_silent = true,
                Err(interruption) => return Err(interruption),
            }
        }
    }

    /// Waits for another endpoint once this one `is_silent`.
    fn other_endpoint<'b>(
        &self,
        is_silent: bool,
        call: &'b Call,
        writer: &ResponseWriter,
    ) -> impl Future<Output = Onward> + use<'a, 'b> {
        let (gate, index, has_begun) = (self.gate, self.index, writer.has_begun());
        let stops = writer.stops(&gate.stop);
        async move {
            if is_silent {
                other_endpoint(gate, &stops, call, has_begun, index).await
            } else {
                std::future::pending().await
            }
        }
    }

    async fn discard_body(
        &mut self,
        body: &mut BodyReader,
        call: &Call,
        writer: &mut ResponseWriter,
    ) -> Result<(), Interruption> {
        let discarded = self.upstream.discard_body(body, MAX_BODY_BYTES);
        Ok(with_deadline(discarded, writer, call.deadline).await??)
    }

    /// Reads a body as far as it may be buffered.
    async fn read_held(
        &mut self,
        body: &mut BodyReader,
        call: &Call,
        writer: &mut ResponseWriter,
    ) -> Result<Held, Interruption> {
        let length = body
            .length()
            .map_or(0, |l| usize::try_from(l).unwrap_or(usize::MAX));
        if length > MAX_BODY_BYTES {
            return Err(ReadError::from(MessageError::BodyTooLarge).into());
        }
        let mut share = self.gate.held.share();
        let memory = self.gate.settings.borrow().memory / REQUESTS_DIVISOR;
        let is_short = length <= MAX_WHOLE_BYTES && share.grow(length, memory);
        let mut room = if is_short {
            length.max(SMALL_BYTES)
        } else {
            SMALL_BYTES
        };
        let mut bytes = BytesMut::with_capacity(if is_short { length } else { 0 });
        let upstream = &mut *self.upstream;
        let read = async {
            loop {
                body.read(&mut upstream.input, &mut bytes)?;
                if body.is_done() {
                    return Ok(true);
                }
                while bytes.len() >= room {
                    room *= 2;
                    if room > MAX_WHOLE_BYTES || !share.grow(room, memory) {
                        return Ok(false);
                    }
                    bytes.reserve(room - bytes.len());
                }
                match upstream.read_more().await {
                    Err(ReadError::Closed) if body.is_until_close() => return Ok(true),
                    other => other?,
                }
            }
        };
        let is_whole: Result<bool, ReadError> = with_deadline(read, writer, call.deadline).await?;
        let is_whole = is_whole?;
        Ok(if is_whole {
            Held::Whole(bytes.freeze(), share)
        } else {
            Held::Partly(bytes, share)
        })
    }

    /// Passes a long response on as it is read.
    async fn pass_on(
        &mut self,
        head: &Head,
        mut part: Part,
        call: &mut Call,
        writer: &mut ResponseWriter,
    ) -> Result<Attempt, Interruption> {
        set_receive_buffer(&self.upstream.stream, RECEIVE_BYTES);
        let length = part.length.and_then(|l| usize::try_from(l).ok());
        call.first_byte.get_or_insert_with(Instant::now);
        writer.begin_body(head, length).await?;
        let mut total = 0;
        let mut is_closed = false;
        loop {
            let is_end = part.reader.is_done() || is_closed;
            total += part.bytes.len();
            if total > MAX_BODY_BYTES {
                return Ok(Attempt::Lost("endless body"));
            }
            writer.send_body(&part.bytes, is_end).await?;
            if is_end {
                return Ok(Attempt::Delivered(head.status()));
            }
            if part.bytes.capacity() > 2 * PIECE_BYTES {
                part.bytes = BytesMut::with_capacity(PIECE_BYTES);
                part.share.clear();
            }
            part.bytes.clear();
            self.upstream.input.reserve(PIECE_BYTES);
            let more = self.read_more(&part.reader, call, writer, Instant::now());
            is_closed = match more.await {
                Err(Interruption::Read(_)) if writer.has_waited() => {
                    writer.note_slow_caller();
                    return Err(Interruption::Gone);
                }
                other => other?,
            };
            part.reader
                .read(&mut self.upstream.input, &mut part.bytes)
                .map_err(ReadError::from)?;
        }
    }

    /// Forwards each event of a stream once it is complete.
    async fn forward_events(
        &mut self,
        head: &Head,
        mut body: BodyReader,
        call: &mut Call,
        writer: &mut ResponseWriter,
        place: &mut Place,
    ) -> Result<Attempt, Interruption> {
        let mut splitter = if writer.has_begun() {
            Splitter::resumed()
        } else {
            Splitter::default()
        };
        let mut is_closed = false;
        let mut is_first = true;
        let mut progressed = Instant::now();
        let mut share = self.gate.held.share();
        loop {
            body.read(&mut self.upstream.input, splitter.buffer())
                .map_err(ReadError::from)?;
            let is_end = body.is_done() || is_closed;
            let events = splitter.take(is_end);
            // A body delimited by connection close may be truncated: it has to end with an event.
            if is_closed && is_first && events.bytes.is_empty() {
                return Ok(Attempt::Lost("closed before an event"));
            }
            if is_closed && !splitter.pending().is_empty() {
                return Ok(Attempt::Lost("closed in an event"));
            }
            if !events.bytes.is_empty() || is_end {
                progressed = Instant::now();
                let count = call.note_events(&events);
                if count > 0 && !place.answer.is_begun() {
                    place.answer = AnswerPhase::Begun;
                    self.gate.note_begun(call);
                }
                let tokens = count.saturating_mul(call.stride);
                call.generated = call.generated.saturating_add(tokens);
                if std::mem::replace(&mut is_first, false) {
                    self.gate.begin(place);
                    self.note_good(call, place);
                } else {
                    self.gate.progress(place, tokens);
                }
                call.first_byte.get_or_insert_with(Instant::now);
                let last = if is_end { splitter.pending() } else { &[] };
                let parts = [&events.bytes[..], last];
                writer.send_stream(head, &parts, is_end).await?;
            }
            if is_end {
                return Ok(Attempt::Delivered(head.status()));
            }
            let pending = splitter.pending().len();
            if pending > EVENT_BYTES {
                return Ok(Attempt::Lost("endless event"));
            }
            // Buffers grow to twice what they hold.
            if pending > SMALL_BYTES && !share.grow(2 * pending, self.gate.settings.borrow().memory)
            {
                self.gate.metrics.note_limit(Limit::HeldBytes);
                return Ok(Attempt::NoRoom("no memory is left for the event"));
            }
            is_closed = self.read_more(&body, call, writer, progressed).await?;
        }
    }

    /// Reads more of a stream whose last complete event came at `progressed`; partial events do not
    /// extend the deadline. Returns whether the body ended because the connection was closed.
    async fn read_more(
        &mut self,
        body: &BodyReader,
        call: &Call,
        writer: &mut ResponseWriter,
        progressed: Instant,
    ) -> Result<bool, Interruption> {
        let mut is_silent = false;
        loop {
            let until = if is_silent {
                call.deadline
            } else {
                event_deadline(self.gate, call, writer, progressed)
            };
            let other = self.other_endpoint(is_silent, call, writer);
            let read = either(self.upstream.read_more(), other);
            match with_deadline(read, writer, until).await {
                Ok(Ok(Ok(()))) => return Ok(false),
                Ok(Ok(Err(ReadError::Closed))) if body.is_until_close() => return Ok(true),
                Ok(Ok(Err(error))) => return Err(error.into()),
                Ok(Err(onward)) => {
                    self.onward = Some(onward);
                    return Err(Interruption::Silent);
                }
                Err(Interruption::DeadlinePassed) if until < call.deadline => is_silent = true,
                Err(interruption) => return Err(interruption),
            }
        }
    }
}

/// A response's body, as far as it was buffered.
enum Held {
    Whole(Bytes, Share),
    Partly(BytesMut, Share),
}

/// The part of a body that was read, and what the rest needs.
struct Part {
    bytes: BytesMut,
    share: Share,
    reader: BodyReader,
    /// Length of the whole body, if the head states it.
    length: Option<u64>,
}

fn is_success(head: &Head) -> bool {
    (200..300).contains(&head.status())
}

/// Whether a response is authentic: a success needs a stamp and request ID, and no encoding.
fn is_authentic(head: &Head, response: &ResponseFields<'_>) -> bool {
    !is_success(head)
        || (response.has_stamp && response.request_id.is_some() && !response.is_encoded)
}

/// Sends a buffered response to the caller.
pub(crate) async fn deliver(
    call: &mut Call,
    writer: &mut ResponseWriter,
    response: BufferedResponse,
) -> Result<Attempt, SendError> {
    let status = response.head.status();
    let framing = if response.head.is_bodiless(call.head.method()) {
        CallerFraming::AsIs
    } else {
        CallerFraming::Length(response.body.len())
    };
    let mut out = BytesMut::new();
    write_response_head(
        &mut out,
        &response.head,
        framing,
        writer.connection_header(),
    );
    call.first_byte.get_or_insert_with(Instant::now);
    if response.body.len() <= MAX_COPIED_BODY_BYTES {
        out.put_slice(&response.body);
        writer.send_whole(&out).await?;
    } else {
        writer.send_parts([&out, &response.body]).await?;
    }
    Ok(Attempt::Delivered(status))
}
