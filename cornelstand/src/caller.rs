//! The caller's side of a running request: head, body and end of the answer.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use warp::Reply;
use warp::reply::Response;

use crate::attempt::{Answering, Verdict};
use crate::entry_core::{Core, OpenRequest};
use crate::headers::REQUEST_ID;
use crate::name::RequestId;
use crate::problem::{Problem, ProblemKind, id_value};
use crate::timeline::Topic;

/// Header that marks a recorded answer to an earlier request.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");
/// Capacity of the channel of body chunks to the caller.
const CHANNEL_CHUNKS: usize = 4;

/// The answer ended early. It aborts the caller's stream, so that the answer cannot be mistaken
/// for a complete one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the answer was truncated"))]
pub(crate) struct TruncatedError;

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

type Chunk = Result<Bytes, TruncatedError>;

/// Answer that a request handler passes to the HTTP library.
pub(crate) enum Answer {
    /// The whole answer is available.
    Complete(http::Response<Vec<u8>>),
    /// The body is streamed.
    Streaming {
        status: StatusCode,
        headers: HeaderMap,
        body: mpsc::Receiver<Chunk>,
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
                let mut answer = warp::reply::stream(ReceiverStream::new(body)).into_response();
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
    ) -> BodyWriter {
        let (chunks, body) = mpsc::channel(CHANNEL_CHUNKS);
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
            open: self.open,
        }
    }
}

/// Writes the body of the answer to the caller.
pub(crate) struct BodyWriter {
    core: Arc<Core>,
    _answering: Answering,
    chunks: mpsc::Sender<Chunk>,
    open: OpenRequest,
}

impl BodyWriter {
    /// Waits until the caller disconnects.
    pub(crate) async fn gone(&self) {
        self.chunks.closed().await;
    }

    /// Writes a chunk once the caller has taken enough of the earlier ones.
    pub(crate) async fn write(&self, chunk: Bytes, idle: Duration) -> Result<(), Gone> {
        if chunk.is_empty() {
            return Ok(());
        }
        let sent = self.chunks.send_timeout(Ok(chunk), idle).await;
        sent.map_err(|_| Gone)
    }

    /// Ends a complete answer.
    pub(crate) fn finish(self) -> OpenRequest {
        self.core.count("answered");
        self.open
    }

    /// Aborts an incomplete answer, so that the caller sees an error.
    pub(crate) async fn abort(self, idle: Duration) -> OpenRequest {
        self.core.count("cut");
        let _ = self.chunks.send_timeout(Err(TruncatedError), idle).await;
        self.open
    }

    /// Ends an answer that the caller no longer takes.
    pub(crate) async fn abandon(self, idle: Duration) {
        self.core.count("gone");
        let _ = self.chunks.send_timeout(Err(TruncatedError), idle).await;
    }
}
