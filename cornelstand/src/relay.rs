//! Streaming of endpoints' answers, with detection of truncated ones.
//!
//! An [`AnswerBody`] yields bytes for the caller and ends only when complete: an event stream after
//! its last event, another answer after its content-length or last chunk. A truncated event stream
//! is resumed on a new connection after the last complete event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};
use reqwest::Response;

use crate::attempt::Loss;
use crate::entry_core::Core;
use crate::name::AttemptId;
use crate::sse::{self, Scanner};

/// Maximum resumptions of a stream without a new event in between.
const MAX_RESUMES: u32 = 3;
/// Maximum bytes of a non-streamed answer kept to find its usage.
const USAGE_BYTES: usize = 256 * 1024;
/// Pause before another resumption, multiplied by the number of tries.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);
/// Timeout for an engine to resume a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the end of a stream after its last event.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

type ByteStream = BoxStream<'static, reqwest::Result<Bytes>>;

/// Endpoint and attempt that an answer comes from.
#[derive(Clone)]
pub(crate) struct Origin {
    pub(crate) core: Arc<Core>,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) attempt: AttemptId,
    /// Whether the connection may have carried another request.
    pub(crate) is_pooled: bool,
}

/// Kind of an answer's body.
enum BodyKind {
    Events {
        scanner: Scanner,
        resumes: u32,
    },
    Whole {
        collected: Vec<u8>,
        is_collecting: bool,
    },
}

/// Body of an answer.
pub(crate) struct AnswerBody {
    origin: Origin,
    stream: ByteStream,
    kind: BodyKind,
}

/// Returns whether an answer is a readable stream of server-sent events.
pub(crate) fn is_events(headers: &HeaderMap) -> bool {
    let is_typed = headers
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.trim_start().starts_with("text/event-stream"));
    is_typed && !headers.contains_key(CONTENT_ENCODING)
}

/// Returns whether the body of an answer is passed on as it was encoded for the connection. Any
/// transfer coding but chunks would have to be decoded, and ends with the connection without them.
pub(crate) fn is_decoded(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    codings.all(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Returns whether the end of an answer can be distinguished from a truncation.
pub(crate) fn is_delimited(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodyless = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodyless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

impl AnswerBody {
    /// Wraps the body of `answer`; `events` tells whether it is a stream that can be resumed, and
    /// `model` whether it may contain token usage.
    pub(crate) fn new(origin: Origin, answer: Response, events: bool, model: bool) -> Self {
        let kind = if events {
            BodyKind::Events {
                scanner: Scanner::default(),
                resumes: 0,
            }
        } else {
            BodyKind::Whole {
                collected: Vec::new(),
                is_collecting: model,
            }
        };
        Self {
            origin,
            stream: answer.bytes_stream().boxed(),
            kind,
        }
    }

    /// Returns the next bytes for the caller, `None` at the end of a complete answer.
    pub(crate) async fn next(&mut self, wait: Duration) -> Result<Option<Bytes>, Loss> {
        match &mut self.kind {
            BodyKind::Whole {
                collected,
                is_collecting,
            } => {
                let bytes = next_bytes(&mut self.stream, wait).await?;
                if let (true, Some(bytes)) = (*is_collecting, &bytes) {
                    collect(collected, is_collecting, bytes);
                }
                Ok(bytes)
            }
            BodyKind::Events { .. } => self.next_events(wait).await,
        }
    }

    /// Returns the cost in tokens so far, if the answer reports it.
    pub(crate) fn tokens(&self) -> Option<u64> {
        match &self.kind {
            BodyKind::Events { scanner, .. } => Some(scanner.tokens().unwrap_or(scanner.chunks())),
            BodyKind::Whole {
                collected,
                is_collecting,
            } => is_collecting.then(|| sse::usage(collected)).flatten(),
        }
    }

    async fn next_events(&mut self, wait: Duration) -> Result<Option<Bytes>, Loss> {
        loop {
            match self.read_events(wait).await {
                Err(loss) => self.resume(loss).await?,
                events => return events,
            }
        }
    }

    /// Returns the next complete events of the current stream.
    async fn read_events(&mut self, wait: Duration) -> Result<Option<Bytes>, Loss> {
        let BodyKind::Events { scanner, resumes } = &mut self.kind else {
            return Ok(None);
        };
        if scanner.is_done() {
            drain(&mut self.stream).await;
            return Ok(None);
        }
        loop {
            let bytes = next_bytes(&mut self.stream, wait)
                .await?
                .ok_or(Loss::Broken)?;
            let events = scanner.push(&bytes).map_err(|_| Loss::Broken)?;
            if !events.is_empty() {
                *resumes = 0;
                return Ok(Some(events));
            }
        }
    }

    /// Resumes the stream after its last complete event.
    async fn resume(&mut self, loss: Loss) -> Result<(), Loss> {
        let BodyKind::Events { scanner, resumes } = &mut self.kind else {
            return Err(loss);
        };
        scanner.rewind();
        if loss.is_silent() {
            self.origin.core.replace_pool(self.origin.address);
        }
        while *resumes < MAX_RESUMES {
            *resumes += 1;
            match self.origin.resume(scanner.chunks()).await {
                Resumed::Stream(answer) => {
                    self.stream = answer.bytes_stream().boxed();
                    return Ok(());
                }
                Resumed::Unknown | Resumed::Down => return Err(loss),
                Resumed::Failed => tokio::time::sleep(RESUME_BACKOFF * *resumes).await,
            }
        }
        Err(loss)
    }
}

/// Result of asking an engine to resume a stream.
pub(crate) enum Resumed {
    /// The engine sends the rest of the stream.
    Stream(Response),
    /// The engine does not know the stream.
    Unknown,
    /// The engine refuses connections.
    Down,
    /// The engine did not give a usable answer.
    Failed,
}

impl Origin {
    /// Requests the rest of the stream after `chunks` chunks on a new connection.
    pub(crate) async fn resume(&self, chunks: u64) -> Resumed {
        let upstreams = &self.core.upstreams;
        let request = upstreams.resume(self.address, self.attempt, chunks);
        let resumed = match tokio::time::timeout(RESUME_TIMEOUT, request).await {
            Ok(Ok(answer)) => self.resumed(answer),
            Ok(Err(error)) if error.is_connect() && !error.is_timeout() => Resumed::Down,
            Ok(Err(_)) | Err(_) => Resumed::Failed,
        };
        let result = match &resumed {
            Resumed::Stream(_) => "resumed",
            Resumed::Unknown => "unknown",
            Resumed::Down => "down",
            Resumed::Failed => "failed",
        };
        let counter = &self.core.metrics.resumes;
        counter.with_label_values(&[result]).inc();
        resumed
    }

    fn resumed(&self, answer: Response) -> Resumed {
        let (headers, upstreams) = (answer.headers(), &self.core.upstreams);
        let is_foreign = upstreams.is_foreign(self.address, headers, self.attempt, false);
        let is_own = is_events(headers) && is_decoded(headers) && !is_foreign;
        match answer.status() {
            StatusCode::OK if is_own => Resumed::Stream(answer),
            StatusCode::NOT_FOUND => Resumed::Unknown,
            _ => Resumed::Failed,
        }
    }
}

async fn next_bytes(stream: &mut ByteStream, wait: Duration) -> Result<Option<Bytes>, Loss> {
    match tokio::time::timeout(wait, stream.next()).await {
        Ok(Some(Ok(bytes))) => Ok(Some(bytes)),
        Ok(Some(Err(_))) => Err(Loss::Broken),
        Ok(None) => Ok(None),
        Err(_) => Err(Loss::Silent),
    }
}

/// Reads a stream to its end, so that its connection can be reused.
async fn drain(stream: &mut ByteStream) {
    let end = async { while let Some(Ok(_)) = stream.next().await {} };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, end).await;
}

fn collect(collected: &mut Vec<u8>, is_collecting: &mut bool, bytes: &[u8]) {
    if collected.len() + bytes.len() > USAGE_BYTES {
        *is_collecting = false;
        *collected = Vec::new();
        return;
    }
    collected.extend_from_slice(bytes);
}
