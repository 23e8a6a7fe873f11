//! Connections that carry a caller's bytes to a neighbour: offer, answer, and copying both ways.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::coop::consume_budget;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::gateway::directory::ViewVersions;
use crate::gateway::handover::balance::Decline;
use crate::gateway::message::{BodyReader, Head, MessageError};
use crate::gateway::outlet::{ResponseWriter, write_all};
use crate::gateway::stop::Stop;
use crate::gateway::upstream::{close_in_order, read_into, reset_on_close, set_socket_options};
use crate::moment::Moment;
use crate::name::InstanceName;

/// Longest time to connect to a neighbour and get its answer, and to read an offer.
pub(crate) const OFFER_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest offer.
const MAX_OFFER_BYTES: usize = 1024;
/// Answer that a connection is taken; others are reasons to decline.
const ACCEPTED: u8 = 0;
/// Most bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time-out for a write to a side that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time to read and discard a caller's input after its connection was closed: closing with
/// unread bytes would reset it, and the end of the response may be lost.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Period at which a stop that is over looks for further bytes of callers.
const LAST_BYTES_PERIOD: Duration = Duration::from_millis(50);

/// First message on a connection between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Offer {
    pub(crate) instance: InstanceName,
    /// Version of the configuration in force at the sender.
    pub(crate) version: u64,
    /// Versions of the sender's endpoints and evacuations.
    pub(crate) versions: ViewVersions,
    /// Expected load, in cores.
    pub(crate) load: f32,
    /// Whether the connection stays open after a response.
    pub(crate) is_kept: bool,
    pub(crate) caller: SocketAddr,
}

/// Why an offer failed.
#[derive(Debug, Display, From)]
pub(crate) enum OfferError {
    #[display("{_0}")]
    Io(io::Error),
    #[display("{_0}")]
    Declined(Decline),
    #[from(ignore)]
    #[display("the answer is unknown")]
    Unknown,
    #[from(ignore)]
    #[display("no answer in time")]
    TimedOut,
}

/// Connects from `source` to a neighbour and makes an offer. The returned connection carries the
/// caller's bytes.
///
/// # Errors
///
/// Fails if the neighbour declines or does not answer in time.
pub(crate) async fn make_offer(
    source: SocketAddr,
    address: SocketAddr,
    offer: &Offer,
) -> Result<TcpStream, OfferError> {
    let answer = timeout(OFFER_TIMEOUT, exchange_offer(source, address, offer)).await;
    answer.unwrap_or(Err(OfferError::TimedOut))
}

async fn exchange_offer(
    source: SocketAddr,
    address: SocketAddr,
    offer: &Offer,
) -> Result<TcpStream, OfferError> {
    let socket = TcpSocket::new_v4()?;
    // The receiver knows its neighbours by their addresses.
    socket.bind(SocketAddr::new(source.ip(), 0))?;
    let mut stream = socket.connect(address).await?;
    set_socket_options(&stream);
    let contents = postcard::to_stdvec(offer).map_err(io::Error::other)?;
    let length = u16::try_from(contents.len()).map_err(io::Error::other)?;
    let message = [&length.to_be_bytes()[..], &contents].concat();
    write_all(&stream, &message).await?;
    match stream.read_u8().await? {
        ACCEPTED => Ok(stream),
        code => Err(Decline::read(code).map_or(OfferError::Unknown, OfferError::Declined)),
    }
}

/// Reads an offer.
///
/// # Errors
///
/// Fails if no sound offer arrives in time.
pub(crate) async fn read_offer(stream: &mut TcpStream) -> io::Result<Offer> {
    let read = async {
        let length = usize::from(stream.read_u16().await?);
        if length > MAX_OFFER_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut contents = vec![0; length];
        stream.read_exact(&mut contents).await?;
        let offer: Offer = postcard::from_bytes(&contents).map_err(io::Error::other)?;
        if !offer.load.is_finite() || offer.load < 0.0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(offer)
    };
    let offer = timeout(OFFER_TIMEOUT, read).await;
    offer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Answers an offer.
///
/// # Errors
///
/// Fails if the answer cannot be sent.
pub(crate) async fn answer_offer(
    stream: &mut TcpStream,
    answer: Result<(), Decline>,
) -> io::Result<()> {
    stream
        .write_u8(answer.map_or_else(|d| d as u8, |()| ACCEPTED))
        .await
}

/// Connections between this instance and another one.
#[derive(Debug, Default)]
pub(crate) struct Link {
    pub(crate) connections: Cell<usize>,
    /// Wakes the connections when the other instance stops or was not heard for long.
    pub(crate) left: Notify,
    /// Stop of the other instance, as far as it is known here.
    pub(crate) stop: Rc<Stop>,
    /// Chunks read from the other instance.
    chunks: Cell<u64>,
    /// When `chunks` was seen to change, and its value then.
    heard: Cell<(Moment, u64)>,
}

/// One of the connections, until it is dropped.
pub(crate) struct LinkGuard<'a>(&'a Link);

impl Link {
    /// Counts a connection until the guard is dropped.
    pub(crate) fn connect(&self) -> LinkGuard<'_> {
        self.connections.set(self.connections.get() + 1);
        LinkGuard(self)
    }
}

impl Link {
    /// Time since chunks were read, as far as earlier calls show.
    pub(crate) fn silence(&self, now: Moment) -> Duration {
        let (at, before) = self.heard.get();
        if self.chunks.get() != before {
            self.heard.set((now, self.chunks.get()));
            return Duration::ZERO;
        }
        now.since(at)
    }
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// How a handed-over connection ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum End {
    /// The neighbour has closed it in order.
    #[display("closed")]
    Closed,
    /// The caller has reset it, or does not read.
    #[display("caller gone")]
    CallerGone,
    /// The neighbour has reset it or cannot be reached.
    #[display("neighbour reset")]
    NeighbourReset,
    /// The neighbour was not heard for long.
    #[display("neighbour lost")]
    NeighbourLost,
    /// The neighbour has ended before a response to the last bytes began.
    #[display("unanswered")]
    Unanswered,
    /// This instance stops, and no response to the last bytes has begun.
    #[display("stopped")]
    Stopped,
}

/// Buffer that all handed-over connections share. A connection keeps bytes of its own only while
/// their receiver does not take them.
#[derive(Debug)]
pub(crate) struct SharedBuffer(RefCell<Box<[u8]>>);

impl Default for SharedBuffer {
    fn default() -> Self {
        Self(RefCell::new(vec![0; CHUNK_BYTES].into_boxed_slice()))
    }
}

/// Whose turn it is on a connection, which is all that a copying instance knows of requests.
#[derive(Debug, Default)]
struct Turn {
    /// Whether the caller has sent bytes since the last final response began.
    is_callers: Cell<bool>,
    /// Whether these began like a request for a head only.
    is_head_only: Cell<bool>,
    /// Whether the caller has sent bytes during a response.
    is_pipelined: Cell<bool>,
    response: RefCell<Response>,
}

/// How far the neighbour's response has got.
#[derive(Debug, Default)]
struct Response {
    /// Bytes of a head that is not complete.
    pending: BytesMut,
    /// Rest of the body.
    body: Option<BodyReader>,
    /// Whether its head has told the caller that the connection closes after it.
    is_last: bool,
    /// Whether its end can no longer be told.
    is_unclear: bool,
}

impl Turn {
    /// What the caller sends during a response is pipelined.
    fn note_caller(&self, bytes: &[u8]) {
        let is_between = self.response.borrow().is_whole();
        // Blank lines may follow a request.
        let has_begun = bytes.iter().any(|b| !b"\r\n".contains(b));
        if has_begun && is_between && !self.is_callers.replace(true) {
            self.is_head_only.set(bytes.starts_with(b"HEAD "));
        }
        self.is_pipelined
            .set(self.is_pipelined.get() || !is_between);
    }

    /// Whether the caller waits for a response of which nothing was copied. After the last one it
    /// waits for none.
    fn is_unanswered(&self) -> bool {
        let response = self.response.borrow();
        self.is_callers.get() && response.is_whole() && !response.is_last
    }

    /// Whether a new request may follow what was copied.
    fn is_between(&self) -> bool {
        let response = self.response.borrow();
        let is_open = self.is_callers.get() || self.is_pipelined.get() || response.is_last;
        !is_open && response.is_whole()
    }

    /// An interim response leaves the turn to the caller, who may send the body after it.
    fn note_neighbour(&self, bytes: &[u8]) {
        let mut response = self.response.borrow_mut();
        let is_final = response.note(bytes, self.is_head_only.get());
        if is_final.is_err() {
            *response = Response {
                is_unclear: true,
                ..Response::default()
            };
        }
        if is_final.unwrap_or(true) {
            self.is_callers.set(false);
        }
    }
}

impl Response {
    fn is_whole(&self) -> bool {
        self.body.is_none() && self.pending.is_empty() && !self.is_unclear
    }

    /// Follows further bytes. Returns whether the head of a final response was among them.
    fn note(&mut self, bytes: &[u8], is_head_only: bool) -> Result<bool, MessageError> {
        let mut is_final = false;
        if self.is_unclear {
            return Ok(is_final);
        }
        let mut input = std::mem::take(&mut self.pending);
        input.extend_from_slice(bytes);
        let mut discarded = BytesMut::new();
        while !input.is_empty() {
            if let Some(body) = &mut self.body {
                body.read(&mut input, &mut discarded)?;
                discarded.clear();
                if !body.is_done() {
                    break;
                }
                self.body = None;
            } else {
                let Some(head) = Head::parse_response(&mut input, CHUNK_BYTES)? else {
                    break;
                };
                // An interim response precedes the final one.
                if head.status() >= 200 {
                    is_final = true;
                    self.is_last = !head.keeps_alive();
                    let method = if is_head_only { "HEAD" } else { "" };
                    let body = head.answer_body(method)?;
                    self.body = (!body.is_done()).then_some(body);
                }
            }
        }
        if !input.is_empty() {
            self.pending = input;
        }
        Ok(is_final)
    }
}

/// Copies bytes between the caller of `writer` and a neighbour until either side ends, and ends the
/// neighbour's side likewise. If no response to the last bytes has begun by then, or by the end of a
/// stop, which `over` tells, a failure can be sent to the caller.
pub(crate) async fn carry(
    buffer: &SharedBuffer,
    writer: &mut ResponseWriter,
    neighbour: &TcpStream,
    link: &Link,
    over: impl Future<Output = ()>,
) -> End {
    let lost = link.left.notified();
    let caller = &writer.stream;
    // This instance does not know where responses end, so its own end resets the connection.
    reset_on_close(caller);
    let turn = Turn::default();
    turn.note_caller(&writer.input);
    let up = async {
        if write_all(neighbour, &writer.input).await.is_err() {
            return std::future::pending().await;
        }
        match copy(buffer, caller, neighbour, |bytes| turn.note_caller(bytes)).await {
            Ok(()) => {
                // Fails only if the connection has ended, which the other direction finds.
                let _ = SockRef::from(neighbour).shutdown(Shutdown::Write);
                std::future::pending().await
            }
            Err(Side::From) => End::CallerGone,
            // What the neighbour sent before it closed is still to be read.
            Err(Side::To) => std::future::pending().await,
        }
    };
    let down = async {
        let note = |bytes: &[u8]| {
            turn.note_neighbour(bytes);
            link.chunks.set(link.chunks.get() + 1);
        };
        match copy(buffer, neighbour, caller, note).await {
            Ok(()) => End::Closed,
            Err(Side::From) => End::NeighbourReset,
            Err(Side::To) => End::CallerGone,
        }
    };
    let stopped = async {
        over.await;
        while !turn.is_unanswered() {
            sleep(LAST_BYTES_PERIOD).await;
        }
    };
    let end = tokio::select! {
        biased;
        end = down => end,
        end = up => end,
        () = lost => End::NeighbourLost,
        () = stopped => End::Stopped,
    };
    if end != End::Closed {
        reset_on_close(neighbour);
    }
    writer.input.clear();
    writer.keep_alive = end == End::Closed && turn.is_between();
    writer.is_head_only = turn.is_head_only.get();
    match end {
        End::Closed | End::NeighbourReset | End::NeighbourLost if turn.is_unanswered() => {
            End::Unanswered
        }
        _ => end,
    }
}

/// Closes a caller's connection in order.
pub(crate) async fn close(caller: &TcpStream) {
    close_in_order(caller);
    if SockRef::from(caller).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let until = Instant::now() + DRAIN_TIMEOUT;
    let mut discarded = BytesMut::new();
    while let Ok(Ok(1..)) = timeout_at(until, read_into(caller, &mut discarded)).await {
        discarded.clear();
    }
}

/// The side at which copying failed.
enum Side {
    From,
    To,
}

/// Copies bytes until `from` ends in order, and notes what was read.
async fn copy(
    buffer: &SharedBuffer,
    from: &TcpStream,
    to: &TcpStream,
    note: impl Fn(&[u8]),
) -> Result<(), Side> {
    loop {
        consume_budget().await;
        from.readable().await.map_err(|_| Side::From)?;
        let Some(rest) = copy_chunk(buffer, from, to, &note)? else {
            return Ok(());
        };
        if !rest.is_empty() {
            let written = timeout(WRITE_TIMEOUT, write_all(to, &rest)).await;
            written.map_err(|_| Side::To)?.map_err(|_| Side::To)?;
        }
    }
}

/// Copies what can be read and written without waiting. Returns what was read but not written, or
/// none at the end.
fn copy_chunk(
    buffer: &SharedBuffer,
    from: &TcpStream,
    to: &TcpStream,
    note: impl Fn(&[u8]),
) -> Result<Option<Vec<u8>>, Side> {
    let mut buffer = buffer.0.borrow_mut();
    let count = match from.try_read(&mut buffer) {
        Ok(0) => return Ok(None),
        Ok(count) => count,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Some(Vec::new())),
        Err(_) => return Err(Side::From),
    };
    note(&buffer[..count]);
    let written = match to.try_write(&buffer[..count]) {
        Ok(written) => written,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
        Err(_) => return Err(Side::To),
    };
    Ok(Some(buffer[written..count].to_vec()))
}
