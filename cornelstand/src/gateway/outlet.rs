//! A caller's connection while a request is served.

use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::gateway::message::Head;
use crate::gateway::upstream::{close_in_order, reset_on_close};
use crate::platform::headers::{CallerFraming, write_response_head};

/// Time-out for a write to a caller that does not read its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum read-ahead while a request is served; further bytes stay in the socket.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

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
    on_death: OnDeath,
    progress: Progress,
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
            on_death,
            progress: Progress::Complete,
        }
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

    /// Whether events of a response with this head may follow what the caller has got.
    pub(crate) fn may_continue_with(&self, head: &Head) -> bool {
        match &self.progress {
            Progress::Nothing => true,
            Progress::Begun(begun) => begun.is_continued_by(head),
            Progress::Broken | Progress::Complete => false,
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
        if self.has_begun() {
            return Err(self.refuse());
        }
        self.progress = Progress::Broken;
        self.write(response).await?;
        self.progress = Progress::Complete;
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
        for part in parts {
            self.write_part(&mut out, part);
        }
        if is_end && !self.lacks_chunking {
            out.put_slice(b"0\r\n\r\n");
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

    fn begin_stream(&mut self, out: &mut BytesMut, head: &Head) -> BegunResponse {
        let framing = if self.lacks_chunking {
            self.keep_alive = false;
            // Until the end was sent, the connection must not be closed in order, whatever ends it.
            reset_on_close(&self.stream);
            CallerFraming::UntilClose
        } else {
            CallerFraming::Chunked
        };
        write_response_head(out, head, framing, self.connection_header());
        BegunResponse::new(head)
    }

    /// Appends a part of a stream to the output.
    fn write_part(&self, out: &mut BytesMut, bytes: &[u8]) {
        if self.lacks_chunking {
            out.put_slice(bytes);
        } else if !bytes.is_empty() {
            let size = format!("{:x}\r\n", bytes.len());
            out.put_slice(size.as_bytes());
            out.put_slice(bytes);
            out.put_slice(b"\r\n");
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), SendError> {
        let sent = timeout(WRITE_TIMEOUT, write_all(&self.stream, bytes)).await;
        if let Ok(Ok(())) = sent {
            return Ok(());
        }
        self.keep_alive = false;
        Err(SendError::CallerGone)
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
