//! Request bodies of callers.
//!
//! A body that fits the replay buffer is read completely before an endpoint is requested, so that
//! a slow caller occupies no endpoint slot and the request can be retried. A larger body is
//! streamed and can be sent only once.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use snafu::{OptionExt, Snafu, ensure};
use warp::hyper::body::{Body, Incoming};

/// Error in the body of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum BodyError {
    /// The body exceeds the size limit.
    #[snafu(display("the body has more than {max} bytes"))]
    TooLarge {
        /// Maximum size in bytes.
        max: u64,
    },
    /// The connection broke, or the body is shorter than its content-length.
    #[snafu(display("the body broke off"))]
    Broken,
    /// The next bytes did not arrive in time.
    #[snafu(display("the body did not come in time"))]
    Slow,
}

/// Limits on reading a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Maximum wait for the next bytes.
    pub(crate) idle: Duration,
    /// Maximum wait for the part that is read ahead.
    pub(crate) ahead: Duration,
    /// Maximum number of bytes read ahead.
    pub(crate) replay: usize,
    /// Maximum size of the whole body.
    pub(crate) max: u64,
}

type FrameStream = BoxStream<'static, Result<Bytes, BodyError>>;

/// A request's body.
#[derive(Debug)]
pub(crate) enum CallBody {
    /// Fully buffered; can be sent any number of times.
    Buffered(Bytes),
    /// Larger than the replay buffer.
    Stream(StreamBody),
}

/// A body that is forwarded as it arrives.
pub(crate) struct StreamBody {
    ahead: Bytes,
    rest: Arc<Mutex<Option<FrameStream>>>,
    progress: Arc<Progress>,
}

/// Progress of forwarding a body.
#[derive(Debug, Default)]
struct Progress {
    /// The endpoint is waiting for the caller's next bytes.
    waiting: AtomicBool,
    fault: OnceLock<BodyError>,
}

impl std::fmt::Debug for StreamBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StreamBody").finish_non_exhaustive()
    }
}

impl CallBody {
    /// Reads a body, or its beginning if it is larger than the replay buffer.
    pub(crate) async fn read(
        headers: &HeaderMap,
        incoming: Incoming,
        limits: BodyLimits,
    ) -> Result<Self, BodyError> {
        let max = limits.max;
        let content_length = stated_length(headers);
        ensure!(content_length.unwrap_or(0) <= max, TooLargeSnafu { max });
        let mut rest: FrameStream = Box::pin(frames(incoming, limits));
        let ahead = read_ahead(&mut rest, limits.replay);
        let (ahead, ended) = tokio::time::timeout(limits.ahead, ahead)
            .await
            .ok()
            .context(SlowSnafu)??;
        if ended {
            return Ok(Self::Buffered(ahead));
        }
        Ok(Self::Stream(StreamBody {
            ahead,
            rest: Arc::new(Mutex::new(Some(rest))),
            progress: Arc::default(),
        }))
    }

    /// Returns the part that was read ahead, which may be the whole body.
    pub(crate) fn ahead(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Stream(s) => &s.ahead,
        }
    }

    /// Returns whether the body can still be sent.
    pub(crate) fn is_sendable(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Stream(s) => lock(&s.rest).is_some(),
        }
    }

    /// Returns whether the body is larger than the replay buffer.
    pub(crate) fn is_stream(&self) -> bool {
        matches!(self, Self::Stream(_))
    }

    /// Returns the error in reading from the caller while the body was forwarded.
    pub(crate) fn fault(&self) -> Option<BodyError> {
        match self {
            Self::Buffered(_) => None,
            Self::Stream(s) => s.progress.fault.get().copied(),
        }
    }

    /// Returns whether the endpoint is waiting for the caller's next bytes.
    pub(crate) fn is_waiting_for_caller(&self) -> bool {
        match self {
            Self::Buffered(_) => false,
            Self::Stream(s) => s.progress.waiting.load(Ordering::Relaxed),
        }
    }

    /// Returns the body for an endpoint. The caller's stream is taken only when the first byte is
    /// polled, which happens after a connection is established.
    pub(crate) fn upload(&self) -> reqwest::Body {
        match self {
            Self::Buffered(bytes) => bytes.clone().into(),
            Self::Stream(s) => reqwest::Body::wrap_stream(s.upload()),
        }
    }
}

impl StreamBody {
    fn upload(&self) -> impl Stream<Item = Result<Bytes, BodyError>> + Send + 'static {
        let source = self.rest.clone();
        let progress = self.progress.clone();
        let ahead = Some(self.ahead.clone());
        let state = (ahead, None::<FrameStream>, source, progress);
        futures::stream::unfold(state, |(ahead, rest, source, progress)| async move {
            let mut rest = rest.or_else(|| lock(&source).take())?;
            if let Some(ahead) = ahead {
                return Some((Ok(ahead), (None, Some(rest), source, progress)));
            }
            progress.waiting.store(true, Ordering::Relaxed);
            let next = rest.next().await;
            progress.waiting.store(false, Ordering::Relaxed);
            let next = next?;
            if let Err(e) = &next {
                let _ = progress.fault.set(*e);
            }
            Some((next, (None, Some(rest), source, progress)))
        })
    }
}

/// Returns the body length stated in the content-length header.
pub(crate) fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn lock(rest: &Mutex<Option<FrameStream>>) -> std::sync::MutexGuard<'_, Option<FrameStream>> {
    rest.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads the body of a refused request.
///
/// Closing a connection with unread bytes resets it, and the caller may then miss the refusal.
pub(crate) async fn discard(incoming: Incoming, limits: BodyLimits) {
    let rest = frames(incoming, limits).for_each(|_| std::future::ready(()));
    // The connection is closed where the body does not come in time.
    let _ = tokio::time::timeout(limits.ahead, rest).await;
}

/// Reads until the end or past `max` bytes, and returns whether the end was reached.
async fn read_ahead(rest: &mut FrameStream, max: usize) -> Result<(Bytes, bool), BodyError> {
    let mut ahead = BytesMut::new();
    while ahead.len() <= max {
        match rest.next().await.transpose()? {
            Some(bytes) => ahead.extend_from_slice(&bytes),
            None => return Ok((ahead.freeze(), true)),
        }
    }
    Ok((ahead.freeze(), false))
}

fn frames(
    incoming: Incoming,
    limits: BodyLimits,
) -> impl Stream<Item = Result<Bytes, BodyError>> + Send + 'static {
    futures::stream::try_unfold((incoming, 0), move |(mut incoming, read)| async move {
        let Some(bytes) = next_data(&mut incoming, limits.idle).await? else {
            return Ok(None);
        };
        let read = read + bytes.len() as u64;
        let max = limits.max;
        ensure!(read <= max, TooLargeSnafu { max });
        Ok(Some((bytes, (incoming, read))))
    })
}

async fn next_data(incoming: &mut Incoming, idle: Duration) -> Result<Option<Bytes>, BodyError> {
    loop {
        let frame = std::future::poll_fn(|cx| Pin::new(&mut *incoming).poll_frame(cx));
        let frame = tokio::time::timeout(idle, frame)
            .await
            .ok()
            .context(SlowSnafu)?;
        let Some(frame) = frame else {
            return Ok(None);
        };
        let frame = frame.ok().context(BrokenSnafu)?;
        if let Ok(bytes) = frame.into_data() {
            return Ok(Some(bytes));
        }
    }
}
