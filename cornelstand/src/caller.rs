//! The caller's side of a running request: the head of the answer, its body and its end.

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
use crate::entry_core::{Core, Open};
use crate::headers::REQUEST_ID;
use crate::name::RequestId;
use crate::problem::{Problem, ProblemKind, id_value};
use crate::timeline::Topic;

/// Header that tells that an answer was recorded earlier.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");
/// Pieces of an answer on their way to the caller.
const PIECES: usize = 4;

/// The answer ended before it was whole. It aborts the caller's stream, so that the answer cannot
/// be taken for a complete one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the answer was cut"))]
pub(crate) struct CutError;

/// The caller does not take the answer any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Gone;

type Piece = Result<Bytes, CutError>;

/// What the handler of a request gives to the HTTP library.
pub(crate) enum Answer {
    /// It is here.
    Short(http::Response<Vec<u8>>),
    /// Its body comes.
    Begun {
        status: StatusCode,
        headers: HeaderMap,
        body: mpsc::Receiver<Piece>,
    },
}

impl Answer {
    /// Counts a refusal and makes the answer of it.
    pub(crate) fn refused(core: &Core, request: RequestId, problem: &Problem) -> Self {
        let outcome = problem.verdict.outcome().to_string();
        let kind = problem.kind.to_string();
        core.count(&outcome);
        core.metrics.refusals.with_label_values(&[&kind]).inc();
        core.timeline
            .record(Topic::Request, "refused", &kind, Some(request));
        Self::Short(problem.answer(request))
    }

    /// The answer to `request` for the HTTP library.
    pub(crate) fn into_response(self, request: RequestId) -> Response {
        match self {
            Self::Short(answer) => {
                let (parts, body) = answer.into_parts();
                Response::from_parts(parts, body.into())
            }
            Self::Begun {
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

/// A caller that waits for the head of the answer.
pub(crate) struct Caller {
    core: Arc<Core>,
    request: RequestId,
    head: oneshot::Sender<Answer>,
    open: Open,
}

/// The two ends of a request: for the task that carries it out, and for its handler.
pub(crate) fn caller(
    core: Arc<Core>,
    request: RequestId,
    open: Open,
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
    /// Waits until the caller has gone away.
    pub(crate) async fn gone(&mut self) {
        self.head.closed().await;
    }

    /// Gives the final answer: none.
    pub(crate) fn refuse(self, problem: &Problem) -> Open {
        let answer = Answer::refused(&self.core, self.request, problem);
        let _ = self.head.send(answer);
        self.open
    }

    /// Gives an answer that was recorded earlier.
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
        let _ = self.head.send(Answer::Short(answer));
    }

    /// Counts that the caller went away.
    pub(crate) fn leave(self) -> Open {
        self.core.count("gone");
        self.open
    }

    /// Gives the head of the answer of the attempt that is `answering`.
    pub(crate) fn begin(
        self,
        answering: Answering,
        status: StatusCode,
        headers: HeaderMap,
    ) -> Reader {
        let (pieces, body) = mpsc::channel(PIECES);
        let answer = Answer::Begun {
            status,
            headers,
            body,
        };
        let _ = self.head.send(answer);
        Reader {
            core: self.core,
            _answering: answering,
            pieces,
            open: self.open,
        }
    }
}

/// A caller that reads the body of the answer.
pub(crate) struct Reader {
    core: Arc<Core>,
    _answering: Answering,
    pieces: mpsc::Sender<Piece>,
    open: Open,
}

impl Reader {
    /// Waits until the caller has gone away.
    pub(crate) async fn gone(&self) {
        self.pieces.closed().await;
    }

    /// Passes a piece on, when the caller has taken enough of the earlier ones.
    pub(crate) async fn write(&self, piece: Bytes, idle: Duration) -> Result<(), Gone> {
        if piece.is_empty() {
            return Ok(());
        }
        let sent = self.pieces.send_timeout(Ok(piece), idle).await;
        sent.map_err(|_| Gone)
    }

    /// Ends a whole answer.
    pub(crate) fn finish(self) -> Open {
        self.core.count("answered");
        self.open
    }

    /// Ends an answer that is not whole, so that the caller sees it.
    pub(crate) async fn cut(self, idle: Duration) -> Open {
        self.core.count("cut");
        let _ = self.pieces.send_timeout(Err(CutError), idle).await;
        self.open
    }

    /// Ends an answer that the caller does not take.
    pub(crate) async fn leave(self, idle: Duration) {
        self.core.count("gone");
        let _ = self.pieces.send_timeout(Err(CutError), idle).await;
    }
}
