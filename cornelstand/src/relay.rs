//! Answers of endpoints, piece by piece, with their ends checked.
//!
//! A [`Source`] gives pieces that can go to the caller and ends only when the answer is whole:
//! server-sent events after their last event, other answers after their stated length or last
//! chunk. A stream that is cut is resumed on a new connection after the last whole event.

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

/// Most resumptions of a stream without a new event between them.
const RESUMES: u32 = 3;
/// Most bytes of a whole answer that are kept to find its usage.
const USAGE_BYTES: usize = 256 * 1024;
/// Pause before a stream is asked for once more, growing with each time.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for an engine to take up a stream again.
const RESUME: Duration = Duration::from_secs(2);
/// Longest wait for the end of a stream after its last event.
const TAIL: Duration = Duration::from_secs(1);

type Bytestream = BoxStream<'static, reqwest::Result<Bytes>>;

/// Where an answer comes from.
#[derive(Clone)]
pub(crate) struct Origin {
    pub(crate) core: Arc<Core>,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) attempt: AttemptId,
}

/// Form of an answer's body.
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

/// Tells whether an answer is a stream of server-sent events that can be read.
pub(crate) fn is_events(headers: &HeaderMap) -> bool {
    let is_typed = headers
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.trim_start().starts_with("text/event-stream"));
    is_typed && !headers.contains_key(CONTENT_ENCODING)
}

/// Tells whether the end of an answer can be told from a cut.
pub(crate) fn has_end(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodyless = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodyless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

impl Source {
    /// The body of `answer`; `model` tells whether it may hold a usage figure.
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

    /// The next piece for the caller, `None` after the end of a whole answer.
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

    /// Cost in tokens so far, as far as the answer tells.
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

    /// The next whole events of the present stream.
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

    /// Takes the stream up again after its last whole event.
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

/// What an engine says about a stream.
pub(crate) enum Resumed {
    /// It gives the rest.
    Stream(Response),
    /// It does not know the stream.
    Unknown,
    /// It refuses connections.
    Down,
    /// It cannot be asked.
    Failed,
}

impl Origin {
    /// Asks on a new connection for the rest of the stream after `chunks` of it.
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

/// Reads the end of a stream, so that its connection can be used again.
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
