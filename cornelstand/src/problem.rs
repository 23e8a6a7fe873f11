//! Refusals as problem documents (RFC 9457).
//!
//! Every document has the member `outcome`. The value `not-run` needs the proof of
//! [`Verdict::NotRun`], so that it can't be claimed for a request that was sent.

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

/// What kind of problem it is.
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
    /// The path cannot be passed on.
    #[display("malformed path")]
    BadPath,
    /// The body is too large.
    #[display("body too large")]
    BodyTooLarge,
    /// The body broke off or came too slowly.
    #[display("incomplete body")]
    BodyIncomplete,
    /// The call may not be repeated and has no idempotency key.
    #[display("idempotency key required")]
    KeyRequired,
    /// The idempotency key was used for another request.
    #[display("idempotency key of another request")]
    KeyReused,
    /// The request with this idempotency key still runs.
    #[display("request still running")]
    StillRunning,
    /// The outcome of the request with this idempotency key is not known.
    #[display("outcome unknown")]
    OutcomeUnknown,
    /// The platform's store cannot be asked.
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
    /// The instance is about to stop, or has no room.
    #[display("instance unavailable")]
    Unavailable,
    /// The endpoint was lost while it ran the request.
    #[display("endpoint lost")]
    EndpointLost,
    /// The endpoint did not answer in time.
    #[display("endpoint silent")]
    EndpointSilent,
    /// Endpoints crashed while they ran this request.
    #[display("request suspected of crashing endpoints")]
    Suspect,
}

impl ProblemKind {
    /// Status of the answer.
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
            Self::DeadlinePassed | Self::EndpointSilent => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name in the problem's type, a URN.
    fn slug(self) -> String {
        self.to_string().replace(' ', "-")
    }
}

/// A refusal.
#[derive(Debug)]
pub struct Problem {
    /// Kind of problem.
    pub kind: ProblemKind,
    /// What the caller may conclude.
    pub verdict: Verdict,
    /// What happened, for people.
    pub detail: String,
    /// Time after which to try again, where waiting helps.
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
    /// A problem that waiting does not help.
    #[must_use]
    pub fn new(kind: ProblemKind, verdict: Verdict, detail: impl Into<String>) -> Self {
        Self {
            kind,
            verdict,
            detail: detail.into(),
            retry: None,
        }
    }

    /// Says when to try again.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry = Some(wait);
        self
    }

    /// The answer to `request`.
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
            headers.insert(RETRY_AFTER, seconds(wait).into());
        }
        answer
    }
}

/// Header value of a request's identity.
pub(crate) fn id_value(request: RequestId) -> HeaderValue {
    HeaderValue::from_str(&request.to_string()).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Whole seconds, rounded up, at least one.
fn seconds(wait: Duration) -> u64 {
    let part = u64::from(wait.subsec_nanos() > 0);
    wait.as_secs().saturating_add(part).max(1)
}
