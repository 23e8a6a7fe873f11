//! The caller's side of a running request: head, body and end of the answer.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures::Stream;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use snafu::Snafu;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::{sleep, timeout};
use warp::Reply;
use warp::reply::Response;

use crate::attempt::{Answering, Verdict};
use crate::entry_core::{Core, OpenRequest};
use crate::headers::REQUEST_ID;
use crate::long_answers::{PRESSED_TIMEOUT, SHORT_BYTES};
use crate::name::RequestId;
use crate::problem::{Problem, ProblemKind, id_value};
use crate::timeline::Topic;

/// Header that marks a recorded answer to an earlier request.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");
/// Capacity of the channel of body chunks to the caller.
const CHANNEL_CHUNKS: usize = 4;
/// Largest chunk in the channel, in bytes. Chunks of longer answers are copied, since each would keep
/// the buffer in memory that it was read into.
const CHUNK_BYTES: usize = 8 * 1024;

/// The answer ended early. It aborts the caller's stream, so that the answer cannot be mistaken
/// for a complete one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the answer was truncated"))]
pub(crate) struct TruncatedError;

/// Why a part of an answer was not written.
enum Unwritten {
    /// The caller disconnected.
    Gone,
    /// The caller reads too slowly for the limit of this name.
    AtLimit(&'static str),
}

/// The caller no longer takes the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Gone;

/// Why a request that waits is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Interrupt {
    /// The caller disconnected.
    Gone,
    /// The instance stops too early for the request to be sent.
    Stopping,
}

/// Answer that a request handler passes to the HTTP library.
pub(crate) enum Answer {
    /// The whole answer is available.
    Complete(http::Response<Vec<u8>>),
    /// The body is streamed.
    Streaming {
        status: StatusCode,
        headers: HeaderMap,
        body: BodyReader,
    },
}

impl Answer {
    /// Counts a refusal and converts it to an answer.
    pub(crate) fn refused(core: &Core, request: RequestId, problem: &Problem) -> Self {
        let outcome = problem.verdict.outcome().to_string();
        let kind = problem.kind.to_string();
        core.count(&outcome);
        core.metrics.refusals.with_label_values(&[&kind]).inc();
        core.closing.log_refusal(request, problem);
        core.timeline
            .record(Topic::Request, "refused", &kind, Some(request));
        Self::Complete(problem.answer(request))
    }

    /// Converts the answer to `request` for the HTTP library.
    pub(crate) fn into_response(self, request: RequestId) -> Response {
        match self {
            Self::Complete(answer) => {
                let (parts, body) = answer.into_parts();
                Response::from_parts(parts, body.into())
            }
            Self::Streaming {
                status,
                headers,
                body,
            } => {
                let mut answer = warp::reply::stream(body).into_response();
                *answer.status_mut() = status;
                *answer.headers_mut() = headers;
                answer.headers_mut().insert(REQUEST_ID, id_value(request));
                answer
            }
        }
    }
}

/// A caller waiting for the head of the answer.
pub(crate) struct Caller {
    core: Arc<Core>,
    request: RequestId,
    head: oneshot::Sender<Answer>,
    open: OpenRequest,
}

/// Creates the two ends of a request: one for its task, one for its handler.
pub(crate) fn caller_channel(
    core: Arc<Core>,
    request: RequestId,
    open: OpenRequest,
) -> (Caller, impl Future<Output = Answer>) {
    let (head, answer) = oneshot::channel();
    let waiting = {
        let core = core.clone();
        async move {
            answer
                .await
                .unwrap_or_else(|_| Answer::refused(&core, request, &lost_task()))
        }
    };
    let caller = Caller {
        core,
        request,
        head,
        open,
    };
    (caller, waiting)
}

fn lost_task() -> Problem {
    let detail = "the instance stopped the request";
    Problem::new(ProblemKind::Unavailable, Verdict::Unknown, detail)
}

impl Caller {
    /// Waits until the caller disconnects.
    pub(crate) async fn gone(&mut self) {
        self.head.closed().await;
    }

    /// Sends a refusal as the final answer.
    pub(crate) fn refuse(self, problem: &Problem) -> OpenRequest {
        let answer = Answer::refused(&self.core, self.request, problem);
        let _ = self.head.send(answer);
        self.open
    }

    /// Sends a previously recorded answer.
    pub(crate) fn replay(self, status: u16, media: &str, body: &Bytes) {
        self.core.count("replayed");
        let mut answer = http::Response::new(body.to_vec());
        *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
        let headers = answer.headers_mut();
        headers.insert(REPLAYED, HeaderValue::from_static("true"));
        headers.insert(REQUEST_ID, id_value(self.request));
        if let Ok(media) = HeaderValue::from_str(media)
            && !media.is_empty()
        {
            headers.insert(CONTENT_TYPE, media);
        }
        let _ = self.head.send(Answer::Complete(answer));
    }

    /// Counts that the caller disconnected.
    pub(crate) fn abandon(self) -> OpenRequest {
        self.core.count("gone");
        self.open
    }

    /// Sends the head of the answer to the attempt `answering`.
    pub(crate) fn begin(
        self,
        answering: Answering,
        status: StatusCode,
        headers: HeaderMap,
        is_stream: bool,
    ) -> BodyWriter {
        let (chunks, receiver) = mpsc::channel(CHANNEL_CHUNKS);
        let is_complete = Arc::new(AtomicBool::new(false));
        let body = BodyReader {
            chunks: receiver,
            is_complete: is_complete.clone(),
        };
        let answer = Answer::Streaming {
            status,
            headers,
            body,
        };
        let _ = self.head.send(answer);
        BodyWriter {
            core: self.core,
            _answering: answering,
            chunks,
            is_complete,
            is_gone: false,
            is_stream,
            passed: 0,
            room: None,
            open: self.open,
        }
    }
}

/// Body of the answer, as the HTTP library reads it. Without an explicit end it is truncated,
/// whatever became of its writer.
pub(crate) struct BodyReader {
    chunks: mpsc::Receiver<Bytes>,
    is_complete: Arc<AtomicBool>,
}

impl Stream for BodyReader {
    type Item = Result<Bytes, TruncatedError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = ready!(self.chunks.poll_recv(cx));
        let is_complete = self.is_complete.load(Ordering::Acquire);
        Poll::Ready(match chunk {
            Some(chunk) => Some(Ok(chunk)),
            None if is_complete => None,
            None => Some(Err(TruncatedError)),
        })
    }
}

/// Writes the body of the answer to the caller. Dropping it truncates the answer.
pub(crate) struct BodyWriter {
    core: Arc<Core>,
    _answering: Answering,
    chunks: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
    /// Whether a chunk could not be written.
    is_gone: bool,
    /// Whether the answer is a stream of events.
    is_stream: bool,
    /// Bytes written.
    passed: usize,
    /// Room for a long answer.
    room: Option<OwnedSemaphorePermit>,
    open: OpenRequest,
}

impl BodyWriter {
    /// Waits until the caller disconnects.
    pub(crate) async fn gone(&self) {
        self.chunks.closed().await;
    }

    /// Writes a chunk once the caller has taken enough of the earlier ones. After a chunk that the
    /// caller did not take in time, no other is written.
    pub(crate) async fn write(&mut self, chunk: Bytes, idle: Duration) -> Result<(), Gone> {
        if !self.is_gone && !chunk.is_empty() {
            self.passed = self.passed.saturating_add(chunk.len());
            let written = self.write_parts(chunk, idle).await;
            self.is_gone = written.is_err();
            if let Err(Unwritten::AtLimit(limit)) = written {
                self.core.metrics.limits.with_label_values(&[limit]).inc();
                tracing::info!(limit, "answer cut");
            }
        }
        if self.is_gone { Err(Gone) } else { Ok(()) }
    }

    async fn write_parts(&mut self, mut chunk: Bytes, idle: Duration) -> Result<(), Unwritten> {
        let is_long = !self.is_stream && self.passed > SHORT_BYTES;
        if is_long && self.room.is_none() {
            self.room = tokio::select! {
                room = self.core.long_answers.take(idle) => room,
                () = self.chunks.closed() => return Err(Unwritten::Gone),
            };
            if self.room.is_none() {
                return Err(Unwritten::AtLimit("long_answers"));
            }
        }
        if self.is_stream || self.passed > CHUNK_BYTES {
            while !chunk.is_empty() {
                let part = Bytes::copy_from_slice(&chunk[..chunk.len().min(CHUNK_BYTES)]);
                chunk.advance(part.len());
                self.write_part(part, idle).await?;
            }
            return Ok(());
        }
        self.write_part(chunk, idle).await
    }

    async fn write_part(&mut self, part: Bytes, idle: Duration) -> Result<(), Unwritten> {
        let Err(full) = self.chunks.try_send(part) else {
            return Ok(());
        };
        let mut sent = std::pin::pin!(self.chunks.send(full.into_inner()));
        if self.room.is_none() {
            if let Ok(sent) = timeout(PRESSED_TIMEOUT.min(idle), &mut sent).await {
                return sent.map_err(|_| Unwritten::Gone);
            }
            self.room = self.core.long_answers.try_take();
            if self.room.is_none() {
                return Err(Unwritten::AtLimit("long_answers"));
            }
        }
        tokio::select! {
            biased;
            sent = &mut sent => sent.map_err(|_| Unwritten::Gone),
            () = self.core.long_answers.pressed() => Err(Unwritten::AtLimit("long_answers")),
            () = sleep(idle) => Err(Unwritten::AtLimit("idle")),
        }
    }

    /// Ends a complete answer, unless the caller missed a part of it.
    pub(crate) fn finish(self) -> OpenRequest {
        if self.is_gone {
            return self.abandon();
        }
        self.is_complete.store(true, Ordering::Release);
        self.core.count("answered");
        self.open
    }

    /// Aborts an incomplete answer, so that the caller sees an error.
    pub(crate) fn abort(self) -> OpenRequest {
        self.core.count("cut");
        self.open
    }

    /// Ends an answer that the caller no longer takes.
    pub(crate) fn abandon(self) -> OpenRequest {
        self.core.count("gone");
        self.open
    }
}
