//! Connections to endpoints and to the store.
//!
//! A connection carries one request at a time and is reused only if no unread bytes remain.

use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, From};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::held_bytes::SMALL_BYTES;
use crate::gateway::message::{BodyReader, Head, MessageError};
use crate::gateway::outlet::write_all;

/// `TCP_USER_TIMEOUT`: how long sent bytes or probes may stay unacknowledged.
pub(crate) const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first keep-alive probe, and between probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed.
const MAX_PROBES: u32 = 2;
/// Longest time a connection stays pooled: endpoints may close it earlier than they announce.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Margin before an endpoint's announced idle timeout, so that no request is sent as it closes.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Most interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// Most idle connections pooled per endpoint.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Most requests on one connection, which bounds the memory for their identities.
const MAX_REQUESTS: usize = 256;

/// Error while reading a response.
#[derive(Debug, Display, From)]
pub(crate) enum ReadError {
    #[display("the connection failed: {_0}")]
    Io(io::Error),
    #[display("the connection was closed early")]
    Closed,
    #[display("no memory is left for the head")]
    NoHeadRoom,
    #[display("{_0}")]
    Message(MessageError),
}

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) stream: TcpStream,
    /// Bytes read but not yet consumed.
    pub(crate) input: BytesMut,
    /// Hashed identities of the requests that were sent.
    carried: Vec<u64>,
}

impl Upstream {
    /// Opens a connection within `time`.
    ///
    /// # Errors
    ///
    /// Fails if the server does not accept it in time.
    pub(crate) async fn connect(address: SocketAddr, time: Duration) -> io::Result<Self> {
        let stream = timeout(time, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        set_socket_options(&stream);
        Ok(Self {
            stream,
            input: BytesMut::new(),
            carried: Vec::new(),
        })
    }

    /// Records that the request `id` is sent. Returns whether it is the first one, so that a
    /// response cannot be for another request.
    pub(crate) fn note_request(&mut self, id: &[u8]) -> bool {
        self.carried.push(xxh3_64(id));
        self.carried.len() == 1
    }

    /// Whether a request `id` was sent before: a late response to it would pass for one to a
    /// request that has the same identity.
    fn has_carried(&self, id: &[u8]) -> bool {
        self.carried.contains(&xxh3_64(id))
    }

    /// Whether the connection is open and has no unread input.
    pub(crate) fn is_clean(&self) -> bool {
        // Peeks at the socket itself: the runtime's readiness dates from its last poll, which is
        // long ago in a process that was paused.
        let read = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        let is_silent = matches!(&read, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        self.input.is_empty() && is_silent
    }

    /// Reads more bytes.
    ///
    /// # Errors
    ///
    /// Fails on an I/O error or if the connection is closed.
    pub(crate) async fn read_more(&mut self) -> Result<(), ReadError> {
        match read_into(&self.stream, &mut self.input).await? {
            0 => Err(ReadError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads the head of the final response, for which it has to get `room`, and skips interim
    /// (1xx) ones.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, the response is malformed or there is no room for it.
    pub(crate) async fn response_head(
        &mut self,
        limit: usize,
        mut room: impl FnMut(usize) -> bool,
    ) -> Result<Head, ReadError> {
        let mut interim = 0;
        loop {
            let before = self.input.len();
            let head = Head::parse_response(&mut self.input, limit)?;
            // Bytes behind the head belong to the body.
            let after = if head.is_some() { self.input.len() } else { 0 };
            let length = before - after;
            // Buffers grow to twice what they hold.
            if length > SMALL_BYTES && !room(2 * length) {
                return Err(ReadError::NoHeadRoom);
            }
            if before > SMALL_BYTES && head.is_some() {
                // The memory of the head is not to stay with the connection.
                self.input = BytesMut::from(&self.input[..]);
            }
            match head {
                Some(head) if head.status() < 200 => {
                    interim += 1;
                    if interim > MAX_INTERIM_RESPONSES {
                        return Err(MessageError::BadHead.into());
                    }
                }
                Some(head) => return Ok(head),
                None => self.read_more().await?,
            }
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or the response is malformed or exceeds the limits.
    pub(crate) async fn exchange(
        &mut self,
        method: &str,
        request: &[u8],
        (head_limit, body_limit): (usize, usize),
    ) -> Result<(Head, Bytes), ReadError> {
        write_all(&self.stream, request).await?;
        let head = self.response_head(head_limit, |_| true).await?;
        let mut reader = head.answer_body(method)?;
        let body = self.read_body(&mut reader, body_limit).await?;
        Ok((head, body))
    }

    /// Reads a complete body and discards it.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated, badly framed or longer than `limit`.
    pub(crate) async fn discard_body(
        &mut self,
        reader: &mut BodyReader,
        limit: usize,
    ) -> Result<(), ReadError> {
        let mut discarded = BytesMut::new();
        let mut total = 0;
        loop {
            reader.read(&mut self.input, &mut discarded)?;
            total += discarded.len();
            discarded.clear();
            if total > limit {
                return Err(MessageError::BodyTooLarge.into());
            }
            if reader.is_done() {
                return Ok(());
            }
            match self.read_more().await {
                Err(ReadError::Closed) if reader.is_until_close() => return Ok(()),
                other => other?,
            }
        }
    }

    /// Reads a complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated, badly framed or longer than `limit`.
    pub(crate) async fn read_body(
        &mut self,
        reader: &mut BodyReader,
        limit: usize,
    ) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        loop {
            reader.read(&mut self.input, &mut body)?;
            if body.len() > limit {
                return Err(MessageError::BodyTooLarge.into());
            }
            if reader.is_done() {
                return Ok(body.freeze());
            }
            match self.read_more().await {
                Err(ReadError::Closed) if reader.is_until_close() => return Ok(body.freeze()),
                other => other?,
            }
        }
    }
}

/// Sets the receive buffer of a connection, for which its bytes that are not read count as held.
pub(crate) fn set_receive_buffer(stream: &TcpStream, bytes: usize) {
    if let Err(error) = SockRef::from(stream).set_recv_buffer_size(bytes) {
        tracing::debug!(event = "socket_option_refused", %error);
    }
}

/// Makes the close of a connection reset it, which also discards what was not received yet.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    set_linger(stream, Some(Duration::ZERO));
}

/// Makes the close of a connection deliver what was sent.
pub(crate) fn close_in_order(stream: &TcpStream) {
    set_linger(stream, None);
}

/// Errors are only logged, since the connection is closed either way.
fn set_linger(stream: &TcpStream, time: Option<Duration>) {
    if let Err(error) = SockRef::from(stream).set_linger(time) {
        tracing::debug!(event = "socket_option_refused", %error);
    }
}

/// Waits for input and appends it to `input`; returns zero if the peer closed the connection.
pub(crate) async fn read_into(stream: &TcpStream, input: &mut BytesMut) -> io::Result<usize> {
    loop {
        // A peer that always has bytes ready would otherwise starve all other tasks.
        consume_budget().await;
        input.reserve(4096);
        match stream.try_read_buf(input) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.readable().await?,
            other => return other,
        }
    }
}

/// Enables `TCP_NODELAY` and dead-peer detection. Errors are only logged: both are optional.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(MAX_PROBES);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)),
    ];
    if let Some(error) = results.into_iter().find_map(Result::err) {
        tracing::debug!(event = "socket_option_refused", %error);
    }
}

#[derive(Debug)]
struct Idle {
    upstream: Upstream,
    until: Instant,
}

/// Idle connections to endpoints.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: HashMap<SocketAddr, Vec<Idle>>,
}

impl Pool {
    /// Takes a connection that can be reused for the request `id`, and drops stale ones.
    pub(crate) fn take(&mut self, address: SocketAddr, id: &[u8]) -> Option<Upstream> {
        let now = Instant::now();
        let idle = self.idle.get_mut(&address)?;
        for at in (0..idle.len()).rev() {
            if idle[at].upstream.has_carried(id) {
                continue;
            }
            let taken = idle.remove(at);
            if now < taken.until && taken.upstream.is_clean() {
                return Some(taken.upstream);
            }
        }
        None
    }

    /// Pools a connection that the endpoint keeps open for `idle`, if it announced a time.
    pub(crate) fn put(
        &mut self,
        address: SocketAddr,
        mut upstream: Upstream,
        idle: Option<Duration>,
    ) {
        if upstream.input.capacity() > SMALL_BYTES {
            upstream.input = BytesMut::new();
        }
        let time = idle.map_or(MAX_IDLE, |i| i.saturating_sub(IDLE_MARGIN));
        let until = Instant::now() + time.min(MAX_IDLE);
        let pooled = self.idle.entry(address).or_default();
        if pooled.len() < MAX_IDLE_CONNECTIONS && upstream.carried.len() < MAX_REQUESTS {
            pooled.push(Idle { upstream, until });
        }
    }

    /// Closes connections whose idle time has expired.
    pub(crate) fn expire(&mut self) {
        let now = Instant::now();
        self.idle.retain(|_, pooled| {
            pooled.retain(|i| now < i.until);
            !pooled.is_empty()
        });
    }
}
