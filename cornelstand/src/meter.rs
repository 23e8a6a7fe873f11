//! Byte counts and idle timeouts of the links between instances.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// Bytes sent and received by one process over all its links. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Traffic {
    /// Bytes sent.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes received.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// A stream that counts its bytes and times out a read that stays idle.
#[derive(Debug)]
pub(crate) struct Metered<S> {
    inner: S,
    traffic: Traffic,
    idle_timeout: Duration,
    timer: Pin<Box<Sleep>>,
}

impl<S> Metered<S> {
    /// Wraps `inner`; a read that waits longer than `idle_timeout` fails.
    pub(crate) fn new(inner: S, traffic: Traffic, idle_timeout: Duration) -> Self {
        Self {
            inner,
            traffic,
            idle_timeout,
            timer: Box::pin(sleep(idle_timeout)),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if let Poll::Ready(result) = Pin::new(&mut self.inner).poll_read(cx, buf) {
            let bytes = (buf.filled().len() - before) as u64;
            self.traffic.received.fetch_add(bytes, Ordering::Relaxed);
            let deadline = Instant::now() + self.idle_timeout;
            self.timer.as_mut().reset(deadline);
            return Poll::Ready(result);
        }
        match self.timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = result {
            self.traffic.sent.fetch_add(count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
