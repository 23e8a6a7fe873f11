//! A caller's connection while a request is served.

use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use derive_more::IsVariant;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::gateway::held_bytes::SMALL_BYTES;
use crate::gateway::message::Head;
use crate::gateway::stop::{Stop, Stops};
use crate::gateway::upstream::{close_in_order, reset_on_close};
use crate::name::InstanceName;
use crate::platform::headers::{CallerFraming, write_response_head};

/// Largest piece of a response that is written at once, in bytes.
pub(crate) const PIECE_BYTES: usize = 16 * 1024;
/// Time limit for one piece: a caller has to read 3 kB a second.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait in a write from which a loss is put down to the caller: endpoints cut responses that stay
/// unread.
const SLOW_WRITE: Duration = Duration::from_secs(1);
/// Maximum read-ahead while a request is served; further bytes stay in the socket.
const MAX_READ_AHEAD_BYTES: usize = SMALL_BYTES;

/// End of a body in chunks.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Why a response was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendError {
    /// The caller has disconnected or does not read its response.
    CallerGone,
    /// The caller has got part of another response to the same request.
    OtherBegun,
}

/// How far the response to the current request has got.
#[derive(Debug)]
enum Progress {
    Nothing,
    /// The head of a stream was sent, and maybe events.
    Begun(BegunResponse),
    /// Part of a response was sent that only its endpoint can complete.
    Partly(CallerFraming),
    /// A write was not finished.
    Broken,
    /// Also the state before the first request.
    Complete,
}

/// A stream's response that was sent in part.
#[derive(Debug)]
struct BegunResponse {
    status: u16,
    media: String,
}

impl BegunResponse {
    fn new(head: &Head) -> Self {
        Self {
            status: head.status(),
            media: head.media_type().to_owned(),
        }
    }

    /// Whether the body of another endpoint's response may follow.
    fn is_continued_by(&self, head: &Head) -> bool {
        let is_same_media = head.media_type().eq_ignore_ascii_case(&self.media);
        head.status() == self.status && is_same_media
    }
}

/// How a caller reads.
#[derive(Clone, Copy, Debug, IsVariant)]
enum Pace {
    Fair,
    /// A response was given up for it.
    TooSlow,
}

/// How a connection ends when the process dies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OnDeath {
    /// As the system closes it.
    Close,
    /// By a reset; it is closed in order only between responses.
    Reset,
}

/// A caller's connection, which carries one response to each request.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    pub(crate) stream: TcpStream,
    /// Bytes read but not yet parsed.
    pub(crate) input: BytesMut,
    /// Whether the connection stays open after the response.
    pub(crate) keep_alive: bool,
    /// Whether the caller does not support chunked encoding.
    pub(crate) lacks_chunking: bool,
    /// Whether the caller asked for the head of a response only.
    pub(crate) is_head_only: bool,
    /// Instance that handed the connection over.
    pub(crate) entry: Option<InstanceName>,
    /// Stop of that instance.
    pub(crate) entry_stop: Option<Rc<Stop>>,
    pace: Pace,
    on_death: OnDeath,
    progress: Progress,
    /// How long the last write waited for the caller.
    waited: Duration,
}

impl Drop for ResponseWriter {
    fn drop(&mut self) {
        if self.on_death == OnDeath::Reset
            && matches!(self.progress, Progress::Nothing | Progress::Complete)
        {
            close_in_order(&self.stream);
        }
    }
}

impl ResponseWriter {
    pub(crate) fn new(stream: TcpStream, on_death: OnDeath) -> Self {
        if on_death == OnDeath::Reset {
            reset_on_close(&stream);
        }
        Self {
            stream,
            input: BytesMut::new(),
            keep_alive: true,
            lacks_chunking: false,
            is_head_only: false,
            entry: None,
            entry_stop: None,
            pace: Pace::Fair,
            on_death,
            progress: Progress::Complete,
            waited: Duration::ZERO,
        }
    }

    /// The stops that bind this connection, of which `own` is that of this instance.
    pub(crate) fn stops<'a>(&self, own: &'a Stop) -> Stops<'a> {
        Stops::new(own, self.entry_stop.clone())
    }

    /// Whether bytes of the caller can be read.
    pub(crate) fn has_unread(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_ok_and(|count| count > 0)
    }

    /// Takes the connection back after another instance has sent the responses so far.
    pub(crate) fn take_back(&mut self) {
        self.progress = Progress::Complete;
        close_in_order(&self.stream);
    }

    /// Prepares for the next request. Returns whether the connection can carry one; an incomplete
    /// response is visibly cut instead.
    pub(crate) fn next_request(&mut self) -> bool {
        if !matches!(self.progress, Progress::Complete) {
            self.abort();
        }
        if self.keep_alive {
            self.progress = Progress::Nothing;
            self.is_head_only = false;
        }
        self.keep_alive
    }

    /// Notes what the response to a request depends on.
    pub(crate) fn note_request(&mut self, head: &Head) {
        self.lacks_chunking = head.is_http_1_0();
        self.is_head_only = head.method() == "HEAD";
    }

    /// Whether the caller has got any part of a response to the current request.
    pub(crate) fn has_begun(&self) -> bool {
        !matches!(self.progress, Progress::Nothing)
    }

    /// Whether another attempt could go on with the response.
    pub(crate) fn may_continue(&self) -> bool {
        matches!(self.progress, Progress::Nothing | Progress::Begun(_))
    }

    /// Whether the response was given up because the caller reads too slowly.
    pub(crate) fn is_too_slow(&self) -> bool {
        self.pace.is_too_slow()
    }

    /// Whether the caller kept the last write waiting for so long that its endpoint may have cut
    /// the response for it.
    pub(crate) fn has_waited(&self) -> bool {
        self.waited >= SLOW_WRITE
    }

    /// Records that the response is given up because the caller reads too slowly.
    pub(crate) fn note_slow_caller(&mut self) {
        self.pace = Pace::TooSlow;
    }

    /// Whether events of a response with this head may follow what the caller has got.
    pub(crate) fn may_continue_with(&self, head: &Head) -> bool {
        match &self.progress {
            Progress::Nothing => true,
            Progress::Begun(begun) => begun.is_continued_by(head),
            Progress::Partly(_) | Progress::Broken | Progress::Complete => false,
        }
    }

    /// Waits until the caller closes its connection. Bytes of a pipelined request are buffered.
    pub(crate) async fn gone(&mut self) {
        loop {
            if self.input.len() >= MAX_READ_AHEAD_BYTES {
                return std::future::pending().await;
            }
            if self.stream.readable().await.is_err() {
                return;
            }
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Whether the caller has closed its connection by now.
    pub(crate) fn is_gone(&self) -> bool {
        // Peeks at the socket, since the runtime's readiness is from its last poll.
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sends a whole response.
    ///
    /// # Errors
    ///
    /// Sends nothing if the caller has got part of another one.
    pub(crate) async fn send_whole(&mut self, response: &[u8]) -> Result<(), SendError> {
        self.send_parts([response, &[]]).await
    }

    /// Sends a whole response that is in two parts.
    ///
    /// # Errors
    ///
    /// Sends nothing if the caller has got part of another one.
    pub(crate) async fn send_parts(&mut self, response: [&[u8]; 2]) -> Result<(), SendError> {
        if self.has_begun() {
            return Err(self.refuse());
        }
        self.progress = Progress::Broken;
        for part in response {
            self.write(part).await?;
        }
        self.progress = Progress::Complete;
        Ok(())
    }

    /// Begins a response whose body is passed on as it is read. Its length is `length`, if known.
    ///
    /// # Errors
    ///
    /// Sends nothing if the caller has got part of another one.
    pub(crate) async fn begin_body(
        &mut self,
        head: &Head,
        length: Option<usize>,
    ) -> Result<(), SendError> {
        if self.has_begun() {
            return Err(self.refuse());
        }
        self.progress = Progress::Broken;
        let framing = match length {
            Some(length) => CallerFraming::Length(length),
            None => self.endless_framing(),
        };
        let mut out = BytesMut::new();
        write_response_head(&mut out, head, framing, self.connection_header());
        self.write(&out).await?;
        self.progress = Progress::Partly(framing);
        Ok(())
    }

    /// Sends more of the body of a response that [`begin_body`](Self::begin_body) began.
    ///
    /// # Errors
    ///
    /// Sends nothing if the caller has got part of another one.
    pub(crate) async fn send_body(&mut self, bytes: &[u8], is_end: bool) -> Result<(), SendError> {
        let Progress::Partly(framing) = self.progress else {
            return Err(self.refuse());
        };
        self.progress = Progress::Broken;
        let mut out = BytesMut::new();
        for piece in bytes.chunks(PIECE_BYTES) {
            out.clear();
            write_part(&mut out, piece, framing);
            self.write(&out).await?;
        }
        if is_end {
            if matches!(framing, CallerFraming::Chunked) {
                self.write(LAST_CHUNK).await?;
            }
            close_in_order(&self.stream);
        }
        self.progress = if is_end {
            Progress::Complete
        } else {
            Progress::Partly(framing)
        };
        Ok(())
    }

    /// Sends parts of a stream, after its head if the caller has got none.
    ///
    /// # Errors
    ///
    /// Sends nothing if the caller has got part of a response that they do not continue.
    pub(crate) async fn send_stream(
        &mut self,
        head: &Head,
        parts: &[&[u8]],
        is_end: bool,
    ) -> Result<(), SendError> {
        if !self.may_continue_with(head) {
            return Err(self.refuse());
        }
        let mut out = BytesMut::new();
        let begun = match std::mem::replace(&mut self.progress, Progress::Broken) {
            Progress::Begun(begun) => begun,
            _ => self.begin_stream(&mut out, head),
        };
        let framing = if self.lacks_chunking {
            CallerFraming::UntilClose
        } else {
            CallerFraming::Chunked
        };
        for part in parts {
            write_part(&mut out, part, framing);
        }
        if is_end && !self.lacks_chunking {
            out.put_slice(LAST_CHUNK);
        }
        self.write(&out).await?;
        self.progress = if is_end {
            close_in_order(&self.stream);
            Progress::Complete
        } else {
            Progress::Begun(begun)
        };
        Ok(())
    }

    /// Sends an interim response.
    ///
    /// # Errors
    ///
    /// Sends nothing if the caller has got part of a response.
    pub(crate) async fn send_interim(&mut self, response: &[u8]) -> Result<(), SendError> {
        if self.has_begun() {
            return Err(self.refuse());
        }
        self.write(response).await
    }

    /// Framing of a response whose length is not known.
    fn endless_framing(&mut self) -> CallerFraming {
        if !self.lacks_chunking {
            return CallerFraming::Chunked;
        }
        self.keep_alive = false;
        // Until the end was sent, the connection must not be closed in order, whatever ends it.
        reset_on_close(&self.stream);
        CallerFraming::UntilClose
    }

    fn begin_stream(&mut self, out: &mut BytesMut, head: &Head) -> BegunResponse {
        let framing = self.endless_framing();
        write_response_head(out, head, framing, self.connection_header());
        BegunResponse::new(head)
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), SendError> {
        self.waited = Duration::ZERO;
        for piece in bytes.chunks(PIECE_BYTES) {
            let written = match self.stream.try_write(piece) {
                Ok(count) if count == piece.len() => continue,
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
                Err(_) => return Err(self.lose()),
            };
            let started = Instant::now();
            let rest = write_all(&self.stream, &piece[written..]);
            let sent = timeout(WRITE_TIMEOUT, rest).await;
            self.waited += started.elapsed();
            if !matches!(sent, Ok(Ok(()))) {
                // The system resets a connection whose peer stays silent or reads nothing.
                if self.has_waited() {
                    self.note_slow_caller();
                }
                return Err(self.lose());
            }
        }
        Ok(())
    }

    fn lose(&mut self) -> SendError {
        self.keep_alive = false;
        SendError::CallerGone
    }

    fn refuse(&mut self) -> SendError {
        tracing::warn!(event = "second_response", progress = ?self.progress);
        self.keep_alive = false;
        SendError::OtherBegun
    }

    /// Marks a response that broke off. Without chunks its end is that of the connection, which is
    /// therefore reset.
    fn abort(&mut self) {
        self.keep_alive = false;
        if self.lacks_chunking {
            reset_on_close(&self.stream);
        }
    }

    /// Connection header line for the response, if one is needed.
    pub(crate) fn connection_header(&self) -> &'static str {
        match (self.keep_alive, self.lacks_chunking) {
            (false, _) => "Connection: close\r\n",
            (true, true) => "Connection: keep-alive\r\n",
            (true, false) => "",
        }
    }
}

/// Appends a part of a body to the output.
fn write_part(out: &mut BytesMut, bytes: &[u8], framing: CallerFraming) {
    if !matches!(framing, CallerFraming::Chunked) {
        out.put_slice(bytes);
    } else if !bytes.is_empty() {
        let size = format!("{:x}\r\n", bytes.len());
        out.put_slice(size.as_bytes());
        out.put_slice(bytes);
        out.put_slice(b"\r\n");
    }
}

pub(crate) async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        bytes = &bytes[write_some(stream, bytes).await?..];
    }
    Ok(())
}

/// Writes a part of `bytes` and returns its length. Nothing is written if the call is cancelled.
pub(crate) async fn write_some(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            other => return other,
        }
    }
}
