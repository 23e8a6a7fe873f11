//! HTTP interface for operators: probes, metrics, status, timeline and notes.
//!
//! Probes and metrics need no key. All other calls need the operators' key, of which the
//! instance stores only the hash.

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use futures::future::BoxFuture;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use warp::Filter;
use warp::path::FullPath;
use warp::reply::Response;

use crate::auth::key_hash;
use crate::headers::bearer_key;

/// Maximum bytes of a note or a declared state.
pub const NOTE_BYTES: u64 = 8 << 20;

/// Call of an operator.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum Query {
    /// Whether the process runs.
    #[display("livez")]
    Live,
    /// Whether the instance accepts requests.
    #[display("readyz")]
    Ready,
    /// Metrics in the Prometheus text format.
    #[display("metrics")]
    Metrics,
    /// Status of this instance.
    #[display("status")]
    Status,
    /// Status of all live instances.
    #[display("fleet")]
    Fleet,
    /// Events of all live instances.
    #[display("timeline")]
    Timeline,
    /// Configuration in force.
    #[display("config")]
    Config,
    /// Which instance has which revision in force.
    #[display("revisions")]
    Revisions,
    /// Apply the note in the body.
    #[display("apply")]
    Apply(Bytes),
    /// Turn the declared state in the body into a note.
    #[display("plan")]
    Plan(Bytes),
}

impl Query {
    fn needs_key(&self) -> bool {
        !matches!(self, Self::Live | Self::Ready | Self::Metrics)
    }

    fn parse(method: &Method, path: &str, body: Bytes) -> Option<Self> {
        Some(match (method.as_str(), path) {
            ("GET", "/livez") => Self::Live,
            ("GET", "/readyz") => Self::Ready,
            ("GET", "/metrics") => Self::Metrics,
            ("GET", "/status") => Self::Status,
            ("GET", "/fleet") => Self::Fleet,
            ("GET", "/timeline") => Self::Timeline,
            ("GET", "/config") => Self::Config,
            ("GET", "/revisions") => Self::Revisions,
            ("POST", "/notes") => Self::Apply(body),
            ("POST", "/plan") => Self::Plan(body),
            _ => return None,
        })
    }
}

/// Answer to an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) media: &'static str,
    pub(crate) body: Vec<u8>,
}

/// Body of an error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperatorError {
    /// What went wrong, with the position in a note if any.
    pub error: String,
}

impl Answer {
    pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self {
            status,
            media: "text/plain; charset=utf-8",
            body: text.into().into_bytes(),
        }
    }

    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self {
                status: StatusCode::OK,
                media: "application/json",
                body,
            },
            Err(error) => Self::error(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    pub(crate) fn error(status: StatusCode, error: impl Into<String>) -> Self {
        let error = OperatorError {
            error: error.into(),
        };
        Self {
            status,
            ..Self::json(&error)
        }
    }

    fn into_response(self) -> Response {
        let mut response = Response::new(self.body.into());
        *response.status_mut() = self.status;
        let media = http::HeaderValue::from_static(self.media);
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, media);
        response
    }
}

/// Answers one query.
pub(crate) type Responder = Arc<dyn Fn(Query) -> BoxFuture<'static, Answer> + Send + Sync>;

/// Serves operators at `listener` until `shutdown`, with the `hash` of their key.
pub(crate) async fn serve(
    listener: TcpListener,
    hash: String,
    responder: Responder,
    shutdown: impl Future<Output = ()> + Send + 'static,
) {
    let service = OperatorService {
        hash: hash.to_ascii_lowercase().into(),
        responder,
    };
    let body = warp::body::content_length_limit(NOTE_BYTES)
        .or(no_body())
        .unify()
        .and(warp::body::bytes());
    let route = warp::method()
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(body)
        .then(move |method, path: FullPath, headers, body| {
            let service = service.clone();
            async move {
                service
                    .respond(&method, path.as_str(), &headers, body)
                    .await
            }
        });
    warp::serve(route)
        .incoming(listener)
        .graceful(shutdown)
        .run()
        .await;
}

/// Shared state of the operator interface.
#[derive(Clone)]
struct OperatorService {
    hash: Arc<str>,
    responder: Responder,
}

impl OperatorService {
    async fn respond(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Response {
        let Some(query) = Query::parse(method, path, body) else {
            return Answer::error(StatusCode::NOT_FOUND, "no such call").into_response();
        };
        if query.needs_key() && !is_operator(headers, &self.hash) {
            let error = "the operators' key is missing or wrong";
            return Answer::error(StatusCode::UNAUTHORIZED, error).into_response();
        }
        (self.responder)(query).await.into_response()
    }
}

/// Passes GET requests, which carry no `Content-Length`.
fn no_body() -> impl Filter<Extract = (), Error = warp::Rejection> + Clone {
    warp::get()
}

fn is_operator(headers: &HeaderMap, hash: &str) -> bool {
    let Ok(Some(key)) = bearer_key(headers) else {
        return false;
    };
    let key_hash = key_hash(key);
    key_hash.as_bytes().ct_eq(hash.as_bytes()).into()
}
