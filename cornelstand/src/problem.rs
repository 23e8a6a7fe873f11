//! Refusals as problem documents (RFC 9457).
//!
//! Every document has the member `outcome`. The value `not-run` requires the proof in
//! [`Verdict::NotRun`], so that it cannot be reported for a request that was sent.

use std::time::Duration;

use derive_more::Display;
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use serde::Serialize;

use crate::attempt::{Outcome, Verdict};
use crate::headers::REQUEST_ID;
use crate::name::RequestId;

/// Media type of a problem document.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Kind of a problem.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// A header is malformed.
    #[display("malformed header")]
    BadHeader,
    /// The account's key is missing or belongs to no account.
    #[display("no valid account key")]
    BadKey,
    /// The path names no service.
    #[display("unknown service")]
    UnknownService,
    /// The path cannot be forwarded.
    #[display("malformed path")]
    BadPath,
    /// The body is too large.
    #[display("body too large")]
    BodyTooLarge,
    /// The body ended early or arrived too slowly.
    #[display("incomplete body")]
    BodyIncomplete,
    /// The call may not be repeated and has no idempotency key.
    #[display("idempotency key required")]
    KeyRequired,
    /// The idempotency key was used for another request.
    #[display("idempotency key of another request")]
    KeyReused,
    /// The request with this idempotency key is still running.
    #[display("request still running")]
    StillRunning,
    /// The outcome of the request with this idempotency key is not known.
    #[display("outcome unknown")]
    OutcomeUnknown,
    /// The platform's store is unavailable.
    #[display("store unavailable")]
    StoreUnavailable,
    /// The account's queue is full.
    #[display("queue full")]
    QueueFull,
    /// The deadline passed before an endpoint was free.
    #[display("deadline passed")]
    DeadlinePassed,
    /// No endpoint takes new work.
    #[display("no endpoint available")]
    NoEndpoint,
    /// The instance is stopping or out of buffer space.
    #[display("instance unavailable")]
    Unavailable,
    /// The instance stopped before the endpoint answered.
    #[display("instance stopped")]
    Stopped,
    /// The endpoint was lost while running the request.
    #[display("endpoint lost")]
    EndpointLost,
    /// The endpoint did not answer in time.
    #[display("endpoint silent")]
    EndpointSilent,
    /// Endpoints crashed while running this request.
    #[display("request suspected of crashing endpoints")]
    Suspect,
}

impl ProblemKind {
    /// Returns the HTTP status.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHeader | Self::BadPath | Self::BodyIncomplete | Self::KeyRequired => {
                StatusCode::BAD_REQUEST
            }
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused | Self::Suspect => StatusCode::UNPROCESSABLE_ENTITY,
            Self::StillRunning | Self::OutcomeUnknown => StatusCode::CONFLICT,
            Self::QueueFull => StatusCode::TOO_MANY_REQUESTS,
            Self::StoreUnavailable | Self::NoEndpoint | Self::Unavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::EndpointLost => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed | Self::EndpointSilent | Self::Stopped => {
                StatusCode::GATEWAY_TIMEOUT
            }
        }
    }

    /// Returns the last part of the problem type URN.
    fn slug(self) -> String {
        self.to_string().replace(' ', "-")
    }
}

/// A refusal.
#[derive(Debug)]
pub struct Problem {
    /// Kind of problem.
    pub kind: ProblemKind,
    /// Execution status reported to the caller.
    pub verdict: Verdict,
    /// Human-readable explanation.
    pub detail: String,
    /// Delay after which a retry may succeed.
    pub retry: Option<Duration>,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    request: String,
}

impl Problem {
    /// Creates a problem without a retry delay.
    #[must_use]
    pub fn new(kind: ProblemKind, verdict: Verdict, detail: impl Into<String>) -> Self {
        Self {
            kind,
            verdict,
            detail: detail.into(),
            retry: None,
        }
    }

    /// Sets the retry delay.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry = Some(wait);
        self
    }

    /// Builds the answer to `request`.
    #[must_use]
    pub fn answer(&self, request: RequestId) -> http::Response<Vec<u8>> {
        let document = Document {
            r#type: format!("urn:cornelstand:problem:{}", self.kind.slug()),
            title: self.kind.to_string(),
            status: self.kind.status().as_u16(),
            detail: &self.detail,
            outcome: self.verdict.outcome(),
            request: request.to_string(),
        };
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let mut answer = http::Response::new(body);
        *answer.status_mut() = self.kind.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        headers.insert(REQUEST_ID, id_value(request));
        if let Some(wait) = self.retry {
            headers.insert(RETRY_AFTER, whole_seconds(wait).into());
        }
        answer
    }
}

/// Returns the header value of a request's identity.
pub(crate) fn id_value(request: RequestId) -> HeaderValue {
    HeaderValue::from_str(&request.to_string()).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Rounds up to whole seconds, at least one.
fn whole_seconds(wait: Duration) -> u64 {
    let fraction = u64::from(wait.subsec_nanos() > 0);
    wait.as_secs().saturating_add(fraction).max(1)
}
