//! Small pieces of HTTP that the fakes share.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::Stream;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

/// Header with the boot identity of an endpoint.
pub(crate) const BOOT: &str = "x-endpoint-boot";
/// Header with the attempt identity.
pub(crate) const REQUEST: &str = "x-request-id";

/// One request, read whole.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) peer: Option<SocketAddr>,
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// The text of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// The value of a query parameter.
    pub(crate) fn param<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// The segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// The body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Any request, read whole.
pub(crate) fn calls() -> impl Filter<Extract = (Call,), Error = Rejection> + Clone + Send + Sync {
    let query = warp::query::raw().or_else(|_| async { Ok::<_, Infallible>((String::new(),)) });
    warp::addr::remote()
        .and(warp::method())
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .map(
            |peer, method, path: warp::path::FullPath, query, headers, body| Call {
                peer,
                method,
                path: path.as_str().to_owned(),
                query,
                headers,
                body,
            },
        )
}

/// A JSON answer.
pub(crate) fn json<T: Serialize>(value: &T) -> Response {
    warp::reply::json(value).into_response()
}

/// An answer with a status and no body.
pub(crate) fn status(code: StatusCode) -> Response {
    code.into_response()
}

/// An answer with a status and an error text as JSON.
pub(crate) fn error(code: StatusCode, message: &str) -> Response {
    let body = serde_json::json!({ "error": { "message": message } });
    warp::reply::with_status(warp::reply::json(&body), code).into_response()
}

/// No answer: the connection is closed before any byte of it.
pub(crate) fn dropped() -> Response {
    let end = io::Error::new(io::ErrorKind::ConnectionReset, "dropped on purpose");
    stream(futures::stream::iter([Err::<Bytes, _>(end)]))
}

/// An answer in chunks.
pub(crate) fn stream<S>(chunks: S) -> Response
where
    S: Stream<Item = Result<Bytes, io::Error>> + Send + Sync + 'static,
{
    warp::reply::stream(chunks).into_response()
}

/// Adds the boot identity of an endpoint, and the identity of the request if it has one.
pub(crate) fn identified(answer: Response, boot: u64, request: Option<&str>) -> Response {
    let answer = with(answer, BOOT, &boot.to_string());
    match request {
        Some(request) => with(answer, REQUEST, request),
        None => answer,
    }
}

/// The answer with a header set.
pub(crate) fn with(mut answer: Response, name: &'static str, value: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
    answer
}

/// The answer with its content type set.
pub(crate) fn typed(mut answer: Response, kind: &'static str) -> Response {
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}
