//! HTTP server for callers' connections.
//!
//! `warp::serve` has no timeout for request headers and no connection limit, and its acceptor
//! cannot be replaced. Connections are therefore served with hyper, which warp is built on and
//! re-exports. It closes a connection that does not send a complete header in time, be it half-open
//! or idle between two requests, which frees its slot for another connection.
//!
//! An answer to an HTTP/1.0 caller may end with its connection. Such a connection is closed in
//! order only after a whole answer; otherwise it is reset, even if the process ends.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use http::Version;
use prometheus::IntGauge;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::task::TaskTracker;
use warp::hyper::body::Incoming;
use warp::hyper::rt::{Read, ReadBufCursor, Sleep, Timer, Write};
use warp::hyper::server::conn::http1;
use warp::hyper::service::service_fn;
use warp::reply::Response;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum bytes per read from a connection.
const READ_BYTES: usize = 16 * 1024;
/// Smallest limit of the buffers of a connection, in bytes.
const MIN_BUFFER_BYTES: usize = 32 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Limits on caller connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Maximum time until a request's header is complete.
    pub(crate) header: Duration,
    /// Maximum size of a request's header in bytes.
    pub(crate) bytes: usize,
    /// Maximum time for a caller that does not read its answer.
    pub(crate) idle: Duration,
    /// Maximum number of connections.
    pub(crate) count: usize,
}

/// Serves requests with `handle` until `shutdown`, then completes the open exchanges. Takes no
/// connections after `closed`.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    limits: ConnectionLimits,
    open: IntGauge,
    handle: H,
    closed: impl Future<Output = ()>,
    shutdown: impl Future<Output = ()>,
) where
    H: Fn(http::Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(limits.count));
    let (stop, stopped) = watch::channel(false);
    let tasks = TaskTracker::new();
    let mut shutdown = std::pin::pin!(shutdown);
    let mut closed = std::pin::pin!(closed);
    let is_shutdown = loop {
        let next = async {
            let permit = slots.clone().acquire_owned().await;
            (accept(&listener).await, permit)
        };
        let (stream, permit) = tokio::select! {
            next = next => next,
            () = &mut shutdown => break true,
            () = &mut closed => break false,
        };
        let connection = connection(stream, limits, handle.clone(), stopped.clone());
        let open = open.clone();
        tasks.spawn(async move {
            open.inc();
            connection.await;
            open.dec();
            drop(permit);
        });
    };
    drop(listener);
    if !is_shutdown {
        shutdown.await;
    }
    stop.send_replace(true);
    tasks.close();
    tasks.wait().await;
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn connection<H, F>(
    stream: TcpStream,
    limits: ConnectionLimits,
    handle: H,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(http::Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let lacks_chunking = Arc::new(AtomicBool::new(false));
    let io = TokioIo {
        stream,
        lacks_chunking: lacks_chunking.clone(),
        idle: limits.idle,
        stall: None,
    };
    let service = service_fn(move |request: http::Request<Incoming>| {
        if request.version() < Version::HTTP_11 {
            lacks_chunking.store(true, Ordering::Relaxed);
        }
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer)
            .header_read_timeout(limits.header)
            .max_headers(MAX_HEADERS)
            .max_header_size(limits.bytes)
            .max_buf_size(limits.bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service)
    );
    let stopping = stopped.wait_for(|&stop| stop);
    tokio::select! {
        _ = &mut connection => return,
        _ = stopping => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Adapts Tokio's TCP stream to hyper's I/O traits.
#[derive(Debug)]
struct TokioIo {
    stream: TcpStream,
    /// Set by a request of a caller that does not know chunks, until the next write.
    lacks_chunking: Arc<AtomicBool>,
    /// Maximum wait for a caller that does not read.
    idle: Duration,
    /// End of that wait.
    stall: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl TokioIo {
    /// Fails a write that waits too long.
    fn check_stall(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let idle = self.idle;
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(idle)));
        ready!(stall.as_mut().poll(cx));
        Poll::Ready(Err(std::io::ErrorKind::TimedOut.into()))
    }

    /// Has the connection reset if it ends before its shutdown.
    fn prepare_write(&self) -> std::io::Result<()> {
        if self.lacks_chunking.swap(false, Ordering::Relaxed) {
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(())
    }
}

impl Read for TokioIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let max = cursor.remaining().min(READ_BYTES);
        let mut buffer = ReadBuf::new(&mut bytes[..max]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
        cursor.put_slice(buffer.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for TokioIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_stall(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        SockRef::from(&self.stream).set_linger(None)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.check_stall(cx, written)
    }
}

/// Adapts Tokio's timers to hyper's timer trait.
#[derive(Clone, Copy, Debug)]
struct TokioTimer;

impl Timer for TokioTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        let inner = Box::pin(tokio::time::sleep(duration));
        Box::pin(Delay { inner })
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let inner = Box::pin(tokio::time::sleep_until(deadline.into()));
        Box::pin(Delay { inner })
    }

    fn now(&self) -> Instant {
        tokio::time::Instant::now().into()
    }
}

struct Delay {
    inner: Pin<Box<tokio::time::Sleep>>,
}

impl Future for Delay {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.inner.as_mut().poll(cx)
    }
}

impl Sleep for Delay {}
