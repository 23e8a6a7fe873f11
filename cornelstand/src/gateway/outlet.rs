//! A caller's connection while a request is served.

use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::gateway::upstream::reset_on_close;

/// Time-out for a write to a caller that does not read its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum read-ahead while a request is served; further bytes stay in the socket.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// The caller has disconnected or does not read its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerGone;

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    pub(crate) stream: TcpStream,
    /// Bytes read but not yet parsed.
    pub(crate) input: BytesMut,
    /// Whether the connection stays open after the response.
    pub(crate) keep_alive: bool,
    /// Whether the caller does not support chunked encoding.
    pub(crate) lacks_chunking: bool,
}

impl ResponseWriter {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            keep_alive: true,
            lacks_chunking: false,
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

    /// Sends part of a response.
    pub(crate) async fn send(&mut self, bytes: &[u8]) -> Result<(), CallerGone> {
        let sent = timeout(WRITE_TIMEOUT, write_all(&self.stream, bytes)).await;
        if let Ok(Ok(())) = sent {
            return Ok(());
        }
        self.keep_alive = false;
        Err(CallerGone)
    }

    /// Marks a response that broke off. Without chunks its end is that of the connection, which is
    /// therefore reset.
    pub(crate) fn abort(&mut self) {
        self.keep_alive = false;
        if !self.lacks_chunking {
            return;
        }
        reset_on_close(&self.stream);
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
