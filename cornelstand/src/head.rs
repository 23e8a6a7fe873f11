//! Waiting for the head of an endpoint's answer.
//!
//! A model engine can be asked for a stream on a new connection. That distinguishes a dead
//! connection from a slow engine long before the deadline, and resumes the stream without running
//! the request twice.

use std::time::Duration;

use reqwest::Response;
use serde::Deserialize;
use tokio::time::{Instant, sleep, timeout_at};

use crate::attempt::{ConnectError, Loss};
use crate::body::CallBody;
use crate::call::Call;
use crate::config::Kind;
use crate::relay::{Origin, Resumed};
use crate::upstream::EndpointRequest;

/// Why no head was received.
pub(crate) enum HeadError {
    /// No connection was established.
    Unconnected(ConnectError),
    /// The request may have been sent.
    Lost(Loss),
}

/// The part of a chat completion request that selects streaming.
#[derive(Deserialize)]
struct ChatRequest {
    #[serde(default)]
    stream: bool,
}

impl Call {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn head(
        &self,
        request: EndpointRequest,
        origin: &Origin,
        wait: Duration,
    ) -> Result<Response, HeadError> {
        let deadline = Instant::now() + wait;
        let loss = match self.initial_head(request, origin, deadline).await {
            Err(HeadError::Lost(loss)) if self.is_resumable() => loss,
            other => return other,
        };
        match origin.resume(0).await {
            Resumed::Stream(answer) => Ok(self.resumed(answer, origin)),
            Resumed::Unknown | Resumed::Down | Resumed::Failed => Err(HeadError::Lost(loss)),
        }
    }

    async fn initial_head(
        &self,
        request: EndpointRequest,
        origin: &Origin,
        deadline: Instant,
    ) -> Result<Response, HeadError> {
        let send = timeout_at(deadline, self.core.upstreams.send(request));
        let mut send = std::pin::pin!(send);
        if self.kind == Kind::Model {
            tokio::select! {
                reply = &mut send => return head_of(reply),
                () = sleep(self.core.limits.probe()) => {}
            }
            match origin.resume(0).await {
                Resumed::Stream(answer) if self.is_resumable() => {
                    return Ok(self.resumed(answer, origin));
                }
                Resumed::Unknown => return Err(HeadError::Lost(Loss::Silent)),
                Resumed::Stream(_) | Resumed::Down | Resumed::Failed => {}
            }
        }
        head_of(send.await)
    }

    /// Replaces the pool, since the engine has the stream but its connection did not deliver it.
    fn resumed(&self, answer: Response, origin: &Origin) -> Response {
        self.core.replace_pool(origin.address);
        answer
    }

    /// Returns whether the answer is a stream that the engine can resume.
    fn is_resumable(&self) -> bool {
        let CallBody::Buffered(body) = &self.body else {
            return false;
        };
        let request = serde_json::from_slice::<ChatRequest>(body);
        self.kind == Kind::Model && request.is_ok_and(|f| f.stream)
    }
}

fn head_of(
    reply: Result<Result<Response, reqwest::Error>, tokio::time::error::Elapsed>,
) -> Result<Response, HeadError> {
    let reply = reply.map_err(|_| HeadError::Lost(Loss::Silent))?;
    reply.map_err(|error| match ConnectError::prove(error) {
        Ok(proof) => HeadError::Unconnected(proof),
        Err(_) => HeadError::Lost(Loss::Broken),
    })
}
