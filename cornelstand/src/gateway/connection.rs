//! Accepts callers' connections and reads their requests within the configured limits.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use crate::gateway::call::{self, Refused};
use crate::gateway::catalog::RequestLimits;
use crate::gateway::gate::Gate;
use crate::gateway::handover::{self, Origin, Visit};
use crate::gateway::held_bytes::{self, RECEIVE_BYTES, SMALL_BYTES};
use crate::gateway::message::{BodyReader, Head, MessageError};
use crate::gateway::metrics::Limit;
use crate::gateway::number::{gauge, to_f64};
use crate::gateway::outlet::ResponseWriter;
use crate::gateway::upstream::{read_into, set_socket_options};
use crate::platform::headers::read_call;

/// Pause after `accept` fails for a cause other than the connection itself.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Longest time to read and discard input after a request was refused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time to read and discard a body after its request was refused.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Reason in refusals of requests whose body finds no memory.
const NO_ROOM_REASON: &str = "no memory is left for the body";
/// Reason in refusals of requests whose head finds no memory.
const NO_HEAD_ROOM_REASON: &str = "no memory is left for the head";
/// Largest body of unknown length that does not take room for the largest body, in bytes.
const SHORT_BODY_BYTES: usize = 64 * 1024;
/// `Retry-After` when there is no memory for a body; short, since the load balancer sends the retry
/// to another instance.
const BODY_ROOM_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest time for a request body without a caller's deadline; large ones take some seconds.
const BODY_TIMEOUT: Duration = Duration::from_mins(1);
/// File descriptors reserved for connections to endpoints and the store, and for files.
const RESERVED_DESCRIPTORS: usize = 900;
/// Share of the connection limit above which responses carry `Connection: close`.
const CROWDED_SHARE: f64 = 0.5;

/// Accepts callers' connections until the process ends.
pub(crate) async fn accept(gate: Rc<Gate>, listener: TcpListener) {
    let limit = max_connections(&gate);
    // Accepted connections have the buffer of their listener.
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BYTES) {
        tracing::debug!(event = "socket_option_refused", %error);
    }
    loop {
        let stream = accept_next(&listener).await;
        if gate.connections.get() >= limit {
            gate.metrics.note_limit(Limit::Connections);
            if !gate.waiting_callers.close_first() {
                tracing::warn!(event = "connection_refused", connections = limit);
                continue;
            }
        }
        let gate = gate.clone();
        tokio::task::spawn_local(async move {
            gate.connections.set(gate.connections.get() + 1);
            gate.metrics.connections.set(gauge(gate.connections.get()));
            serve(&gate, stream, &Origin::Caller).await;
            gate.connections.set(gate.connections.get() - 1);
            gate.metrics.connections.set(gauge(gate.connections.get()));
        });
    }
}

/// Accepts the next connection and retries after errors.
pub(crate) async fn accept_next(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

pub(crate) fn max_connections(gate: &Gate) -> usize {
    let memory = gate.settings.borrow().memory;
    max_descriptors(gate).min(held_bytes::max_connections(memory))
}

/// Descriptors for connections of callers.
fn max_descriptors(gate: &Gate) -> usize {
    let limit = gate.settings.borrow().descriptors;
    limit.saturating_sub(RESERVED_DESCRIPTORS).max(256)
}

/// Whether connections are closed after their response to free descriptors.
fn is_crowded(gate: &Gate) -> bool {
    to_f64(gate.connections.get()) >= to_f64(max_descriptors(gate)) * CROWDED_SHARE
}

/// Reason why no request was read.
enum ReadFailure {
    /// The connection was closed or exceeded its idle time.
    Closed,
    /// The request did not arrive in time.
    TimedOut,
    /// Large bodies take all the memory that is set aside for them; with the request's identity
    /// and the rest of its body.
    NoRoom(Bytes, BodyReader),
    /// The request may outlast the stop of this instance; with the same.
    Stopping(Bytes, BodyReader),
    /// The same is so of heads.
    NoHeadRoom,
    Malformed(MessageError),
}

impl From<MessageError> for ReadFailure {
    fn from(error: MessageError) -> Self {
        Self::Malformed(error)
    }
}

/// Serves the requests on a connection from `origin` until it ends or is handed over.
pub(crate) async fn serve(gate: &Rc<Gate>, stream: TcpStream, origin: &Origin) {
    set_socket_options(&stream);
    let mut writer = ResponseWriter::new(stream, origin.on_death());
    writer.entry = origin.entry().cloned();
    writer.entry_stop = origin.stop();
    serve_on(gate, writer, origin).await;
}

/// Serves further requests on a connection.
pub(crate) async fn serve_on(gate: &Rc<Gate>, mut writer: ResponseWriter, origin: &Origin) {
    let mut visit = Visit::begin();
    let close = Rc::new(Notify::new());
    while writer.next_request() {
        if writer.input.is_empty() && writer.input.capacity() > SMALL_BYTES {
            writer.input = BytesMut::new();
        }
        let waiting = gate.waiting_callers.add(&close);
        let limits = gate.state.borrow().directory.catalog().limits;
        tokio::select! {
            biased;
            begun = await_request(&mut writer, &limits) => if begun.is_err() { return },
            () = origin.left(gate) => return,
            () = close.notified() => return log_closed(),
        }
        let arrived = Instant::now();
        writer = match handover::hand_over(gate, writer, origin, &mut visit).await {
            Some(writer) => writer,
            None => return,
        };
        let mut share = gate.held.share();
        let memory = gate.settings.borrow().memory;
        let room = |bytes| share.grow(bytes, memory);
        let read = tokio::select! {
            biased;
            read = read_request(gate, &mut writer, &limits, arrived, room) => read,
            () = close.notified() => return log_closed(),
        };
        drop(waiting);
        let refusal = match read {
            Ok((head, body)) => {
                let stops = writer.stops(&gate.stop);
                writer.keep_alive = head.keeps_alive() && !stops.have_begun() && !is_crowded(gate);
                writer.keep_alive &= !origin.has_left(gate);
                call::serve(gate, head, body, &mut writer, arrived).await;
                continue;
            }
            Err(ReadFailure::Closed) => return,
            Err(ReadFailure::TimedOut) => (408, "the request was not sent in time"),
            Err(ReadFailure::NoRoom(id, body)) => {
                gate.metrics.note_limit(Limit::HeldBytes);
                let refused = Refused::new(503, NO_ROOM_REASON, Some(BODY_ROOM_RETRY_AFTER));
                return refuse_body(gate, &mut writer, &id, body, &refused).await;
            }
            Err(ReadFailure::Stopping(id, body)) => {
                let refused = Refused::stopping(true);
                return refuse_body(gate, &mut writer, &id, body, &refused).await;
            }
            Err(ReadFailure::NoHeadRoom) => {
                gate.metrics.note_limit(Limit::HeldBytes);
                (503, NO_HEAD_ROOM_REASON)
            }
            Err(ReadFailure::Malformed(MessageError::HeadTooLarge)) => {
                (431, "the head is too large")
            }
            Err(ReadFailure::Malformed(MessageError::BodyTooLarge)) => {
                (413, "the body is too large")
            }
            Err(ReadFailure::Malformed(_)) => (400, "the request is malformed"),
        };
        let (status, reason) = refusal;
        tracing::info!(event = "request_unreadable", status, reason);
        writer.keep_alive = false;
        let retry_after = (status == 503).then_some(BODY_ROOM_RETRY_AFTER);
        let refused = Refused::new(status, reason, retry_after);
        let _active = gate.activate();
        call::send_own_response(gate, &mut writer, &Bytes::new(), &refused).await;
        drain(&mut writer).await;
    }
}

/// Logs that a connection without a whole request was closed for another one.
fn log_closed() {
    tracing::info!(event = "connection_closed", limit = %Limit::Connections);
}

/// Refuses a request whose body is not read, and discards what is still sent of it.
async fn refuse_body(
    gate: &Gate,
    writer: &mut ResponseWriter,
    id: &Bytes,
    mut body: BodyReader,
    refused: &Refused,
) {
    tracing::info!(
        event = "refused", request = %String::from_utf8_lossy(id), status = refused.status,
        reason = refused.reason, left_ms = writer.stops(&gate.stop).left_ms(),
    );
    // The end of the process would reset a connection with unread bytes.
    let _active = gate.activate();
    writer.keep_alive = false;
    call::send_own_response(gate, writer, id, refused).await;
    let until = Instant::now() + DISCARD_TIMEOUT;
    let mut discarded = BytesMut::new();
    while body.read(&mut writer.input, &mut discarded).is_ok() && !body.is_done() {
        discarded.clear();
        if read_more(writer, until).await.is_err() {
            return;
        }
    }
}

/// Discards input for a short time: closing a socket with unread bytes resets the connection, and
/// the caller may lose the response.
async fn drain(writer: &mut ResponseWriter) {
    let until = Instant::now() + DRAIN_TIMEOUT;
    let mut left = 64;
    while left > 0 {
        writer.input.clear();
        let read = read_into(&writer.stream, &mut writer.input);
        match timeout_at(until, read).await {
            Ok(Ok(count)) if count > 0 => left -= 1,
            _ => return,
        }
    }
}

/// Waits for the first bytes of a request.
async fn await_request(
    writer: &mut ResponseWriter,
    limits: &RequestLimits,
) -> Result<(), ReadFailure> {
    if writer.input.is_empty() {
        let until = Instant::now() + limits.idle_time;
        read_more(writer, until)
            .await
            .map_err(|_| ReadFailure::Closed)?;
    }
    Ok(())
}

/// Reads a request whose first bytes arrived at `arrived`, and whose body has to get `room` for its
/// bytes.
async fn read_request(
    gate: &Gate,
    writer: &mut ResponseWriter,
    limits: &RequestLimits,
    arrived: Instant,
    mut room: impl FnMut(usize) -> bool,
) -> Result<(Head, Bytes), ReadFailure> {
    let until = arrived + limits.head_time;
    let mut head_room = 0;
    let head = loop {
        if let Some(head) = Head::parse_request(&mut writer.input, limits.head_bytes)? {
            break head;
        }
        if writer.input.len() > SMALL_BYTES {
            // Buffers grow to twice what they hold.
            head_room = 2 * writer.input.len();
            if !room(head_room) {
                return Err(ReadFailure::NoHeadRoom);
            }
        }
        read_more(writer, until).await?;
    };
    let mut room = |bytes| room(head_room + bytes);
    writer.note_request(&head);
    let mut reader = head.request_body()?;
    let is_too_large = |length: u64| length > limits.body_bytes as u64;
    if reader.length().is_some_and(is_too_large) {
        return Err(MessageError::BodyTooLarge.into());
    }
    let length = reader.length().and_then(|l| usize::try_from(l).ok());
    if !room(length.unwrap_or_default()) {
        return Err(ReadFailure::NoRoom(identity(&head), reader));
    }
    let is_awaited = head.has_token("expect", "100-continue") && !head.is_http_1_0();
    if is_awaited && !reader.is_done() {
        let sent = writer.send_interim(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|_| ReadFailure::Closed)?;
    }
    let mut body = BytesMut::with_capacity(length.unwrap_or_default());
    let mut times = None;
    let stops = writer.stops(&gate.stop);
    loop {
        reader.read(&mut writer.input, &mut body)?;
        if body.len() > limits.body_bytes {
            return Err(MessageError::BodyTooLarge.into());
        }
        if length.is_none() && body.len() > SMALL_BYTES {
            // A long body of unknown length gets all that it may need, or several would run out of
            // room together.
            let is_short = body.len() <= SHORT_BODY_BYTES;
            let bytes = if is_short {
                2 * body.len()
            } else {
                limits.body_bytes
            };
            if !room(bytes) {
                return Err(ReadFailure::NoRoom(identity(&head), reader));
            }
            if !is_short {
                body.reserve(limits.body_bytes - body.len());
            }
        }
        if reader.is_done() {
            return Ok((head, body.freeze()));
        }
        let (body_deadline, _active) =
            times.get_or_insert_with(|| (arrived + body_timeout(&head), gate.activate()));
        let until = Instant::now() + limits.idle_time;
        tokio::select! {
            biased;
            read = read_more(writer, until.min(*body_deadline)) => read?,
            () = stops.refused(*body_deadline) => {
                return Err(ReadFailure::Stopping(identity(&head), reader));
            }
        }
    }
}

/// Identity of a request, empty if it has none.
fn identity(head: &Head) -> Bytes {
    read_call(head).map_or_else(|_| Bytes::new(), |fields| fields.request_id)
}

/// Time limit of the body, counted from the first byte of the request.
fn body_timeout(head: &Head) -> Duration {
    let timeout = read_call(head).ok().and_then(|fields| fields.timeout);
    timeout.unwrap_or(BODY_TIMEOUT)
}

async fn read_more(writer: &mut ResponseWriter, until: Instant) -> Result<(), ReadFailure> {
    // `timeout_at` polls the read first, so a read that is always ready would never time out.
    if Instant::now() >= until {
        return Err(ReadFailure::TimedOut);
    }
    let read = read_into(&writer.stream, &mut writer.input);
    match timeout_at(until, read).await {
        Ok(Ok(0) | Err(_)) => Err(ReadFailure::Closed),
        Ok(Ok(_)) => Ok(()),
        Err(_) => Err(ReadFailure::TimedOut),
    }
}
