//! Streaming of endpoints' answers, with detection of truncated ones.
//!
//! A [`Source`] yields bytes for the caller and ends only when complete: an event stream after its
//! last event, another answer after its content-length or last chunk. A truncated event stream is
//! resumed on a new connection after the last complete event.

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
use crate::upstream::is_foreign;

/// Maximum resumptions of a stream without a new event in between.
const RESUMES: u32 = 3;
/// Maximum bytes of a non-streamed answer kept to find its usage.
const USAGE_BYTES: usize = 256 * 1024;
/// Pause before another resumption, multiplied by the number of tries.
const PAUSE: Duration = Duration::from_millis(100);
/// Timeout for an engine to resume a stream.
const RESUME: Duration = Duration::from_secs(2);
/// Timeout for the end of a stream after its last event.
const TAIL: Duration = Duration::from_secs(1);

type Bytestream = BoxStream<'static, reqwest::Result<Bytes>>;

/// Endpoint and attempt that an answer comes from.
#[derive(Clone)]
pub(crate) struct Origin {
    pub(crate) core: Arc<Core>,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) attempt: AttemptId,
}

/// Kind of an answer's body.
enum Form {
    Events { scanner: Scanner, resumes: u32 },
    Whole { seen: Vec<u8>, watched: bool },
}

/// Body of an answer.
pub(crate) struct Source {
    origin: Origin,
    stream: Bytestream,
    form: Form,
}

/// Returns whether an answer is a readable stream of server-sent events.
pub(crate) fn is_events(headers: &HeaderMap) -> bool {
    let is_typed = headers
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.trim_start().starts_with("text/event-stream"));
    is_typed && !headers.contains_key(CONTENT_ENCODING)
}

/// Returns whether the end of an answer can be distinguished from a truncation.
pub(crate) fn has_end(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodyless = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodyless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

impl Source {
    /// Wraps the body of `answer`; `model` tells whether it may contain token usage.
    pub(crate) fn new(origin: Origin, answer: Response, model: bool) -> Self {
        let form = if model && is_events(answer.headers()) {
            Form::Events {
                scanner: Scanner::default(),
                resumes: 0,
            }
        } else {
            Form::Whole {
                seen: Vec::new(),
                watched: model,
            }
        };
        Self {
            origin,
            stream: answer.bytes_stream().boxed(),
            form,
        }
    }

    /// Returns the next bytes for the caller, `None` at the end of a complete answer.
    pub(crate) async fn next(&mut self, wait: Duration) -> Result<Option<Bytes>, Loss> {
        match &mut self.form {
            Form::Whole { seen, watched } => {
                let piece = pull(&mut self.stream, wait).await?;
                if let (true, Some(bytes)) = (*watched, &piece) {
                    watch(seen, watched, bytes);
                }
                Ok(piece)
            }
            Form::Events { .. } => self.next_events(wait).await,
        }
    }

    /// Returns the cost in tokens so far, if the answer reports it.
    pub(crate) fn tokens(&self) -> Option<u64> {
        match &self.form {
            Form::Events { scanner, .. } => Some(scanner.tokens().unwrap_or(scanner.chunks())),
            Form::Whole { seen, watched } => watched.then(|| sse::usage(seen)).flatten(),
        }
    }

    async fn next_events(&mut self, wait: Duration) -> Result<Option<Bytes>, Loss> {
        loop {
            match self.pull_events(wait).await {
                Err(loss) => self.resume(loss).await?,
                events => return events,
            }
        }
    }

    /// Returns the next complete events of the current stream.
    async fn pull_events(&mut self, wait: Duration) -> Result<Option<Bytes>, Loss> {
        let Form::Events { scanner, resumes } = &mut self.form else {
            return Ok(None);
        };
        if scanner.is_done() {
            drain(&mut self.stream).await;
            return Ok(None);
        }
        loop {
            let bytes = pull(&mut self.stream, wait).await?.ok_or(Loss::Broken)?;
            let events = scanner.push(&bytes).map_err(|_| Loss::Broken)?;
            if !events.is_empty() {
                *resumes = 0;
                return Ok(Some(events));
            }
        }
    }

    /// Resumes the stream after its last complete event.
    async fn resume(&mut self, loss: Loss) -> Result<(), Loss> {
        let Form::Events { scanner, resumes } = &mut self.form else {
            return Err(loss);
        };
        scanner.rewind();
        if loss.is_silent() {
            self.origin.core.replace_pool(self.origin.address);
        }
        while *resumes < RESUMES {
            *resumes += 1;
            match self.origin.resume(scanner.chunks()).await {
                Resumed::Stream(answer) => {
                    self.stream = answer.bytes_stream().boxed();
                    return Ok(());
                }
                Resumed::Unknown | Resumed::Down => return Err(loss),
                Resumed::Failed => tokio::time::sleep(PAUSE * *resumes).await,
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
        let resumed = match tokio::time::timeout(RESUME, request).await {
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
        let is_own = is_events(answer.headers()) && !is_foreign(answer.headers(), self.attempt);
        match answer.status() {
            StatusCode::OK if is_own => Resumed::Stream(answer),
            StatusCode::NOT_FOUND => Resumed::Unknown,
            _ => Resumed::Failed,
        }
    }
}

async fn pull(stream: &mut Bytestream, wait: Duration) -> Result<Option<Bytes>, Loss> {
    match tokio::time::timeout(wait, stream.next()).await {
        Ok(Some(Ok(bytes))) => Ok(Some(bytes)),
        Ok(Some(Err(_))) => Err(Loss::Broken),
        Ok(None) => Ok(None),
        Err(_) => Err(Loss::Silent),
    }
}

/// Reads a stream to its end, so that its connection can be reused.
async fn drain(stream: &mut Bytestream) {
    let end = async { while let Some(Ok(_)) = stream.next().await {} };
    let _ = tokio::time::timeout(TAIL, end).await;
}

fn watch(seen: &mut Vec<u8>, watched: &mut bool, bytes: &[u8]) {
    if seen.len() + bytes.len() > USAGE_BYTES {
        *watched = false;
        *seen = Vec::new();
        return;
    }
    seen.extend_from_slice(bytes);
}
