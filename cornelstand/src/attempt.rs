//! State machine of a request's attempts.
//!
//! A request starts as [`Unsent`]. Only that state can produce a [`NotRun`], the proof that a
//! "not run" refusal requires, and it is consumed by [`Unsent::send`], after which bytes may reach
//! an endpoint. Only a [`ConnectError`], which exists only for errors raised before a connection
//! was established, leads back to it. Once bytes were written, a further attempt needs a
//! [`RetryPermit`], granted to idempotent requests within their retry budget. Once a byte of the
//! answer was sent to the caller, the request is never retried.

use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};

use crate::name::{AttemptId, RequestId};
use crate::retry::RetryPermit;

/// Proof that no byte of a request was written to an endpoint.
#[derive(Debug, Eq, PartialEq)]
pub struct NotRun(());

/// Execution status that a refusal reports to the caller.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte was written to an endpoint.
    #[display("not-run")]
    NotRun,
    /// An endpoint may have executed the request, in full or in part.
    #[display("unknown")]
    Unknown,
    /// The request failed.
    #[display("failed")]
    Failed,
}

/// Outcome of an unanswered request, with the proof it requires.
#[derive(Debug, Eq, IsVariant, PartialEq)]
pub enum Verdict {
    /// No byte was written to an endpoint.
    NotRun(NotRun),
    /// An endpoint may have executed the request.
    Unknown,
    /// The endpoint reported that the request failed.
    Failed,
}

impl Verdict {
    /// Returns the outcome reported to the caller.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown => Outcome::Unknown,
            Self::Failed => Outcome::Failed,
        }
    }
}

/// Why a sent attempt received no answer.
#[derive(Clone, Copy, Debug, Display, Eq, IsVariant, PartialEq)]
pub enum Loss {
    /// The connection broke, or the answer was truncated or for another attempt.
    #[display("the connection to the endpoint broke")]
    Broken,
    /// No byte arrived before the deadline.
    #[display("the endpoint did not answer in time")]
    Silent,
    /// The endpoint answered that it did not execute the request.
    #[display("the endpoint failed")]
    Failed,
}

impl Loss {
    fn verdict(self) -> Verdict {
        match self {
            Self::Broken | Self::Silent => Verdict::Unknown,
            Self::Failed => Verdict::Failed,
        }
    }

    /// Combines two losses: once one attempt's outcome is unknown, the request's is.
    fn combine(self, earlier: Option<Self>) -> Self {
        match earlier {
            Some(e) if self == Self::Failed => e,
            _ => self,
        }
    }
}

/// HTTP client error raised before a connection was established.
#[derive(Debug, Display)]
#[display("no connection to the endpoint: {_0}")]
pub struct ConnectError(reqwest::Error);

impl ConnectError {
    /// Wraps `error` if it proves that nothing was written.
    ///
    /// # Errors
    ///
    /// Returns `error` unchanged if a connection may have been established.
    pub fn prove(error: reqwest::Error) -> Result<Self, reqwest::Error> {
        if error.is_connect() {
            Ok(Self(error))
        } else {
            Err(error)
        }
    }
}

/// A request with no byte written to an endpoint yet.
#[derive(Debug, Eq, PartialEq)]
pub struct Unsent {
    id: AttemptId,
}

impl Unsent {
    /// Creates the first attempt of `request`.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        let number = 0;
        Self {
            id: AttemptId { request, number },
        }
    }

    /// Abandons the request.
    #[must_use]
    pub fn refuse(self) -> NotRun {
        NotRun(())
    }

    /// Starts sending.
    #[must_use]
    pub fn send(self) -> Sending {
        Sending {
            id: self.id,
            earlier: None,
        }
    }

    /// Returns the next attempt after an unused grant.
    #[must_use]
    pub fn next(self) -> Self {
        Self { id: next(self.id) }
    }
}

/// An idempotent request whose earlier attempt was sent and lost.
#[derive(Debug, Eq, PartialEq)]
pub struct Resend {
    id: AttemptId,
    earlier: Loss,
}

/// A request that is ready for its next attempt.
#[derive(Debug, Eq, IsVariant, PartialEq)]
pub enum Ready {
    /// Nothing has been written yet.
    Unsent(Unsent),
    /// An earlier attempt was lost.
    Resend(Resend),
}

impl Ready {
    /// Returns the identity of the next attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Unsent(u) => u.id,
            Self::Resend(r) => r.id,
        }
    }

    /// Abandons the request.
    #[must_use]
    pub fn refuse(self) -> Verdict {
        match self {
            Self::Unsent(u) => Verdict::NotRun(u.refuse()),
            Self::Resend(r) => r.earlier.verdict(),
        }
    }

    /// Starts sending.
    #[must_use]
    pub fn send(self) -> Sending {
        match self {
            Self::Unsent(u) => u.send(),
            Self::Resend(r) => Sending {
                id: r.id,
                earlier: Some(r.earlier),
            },
        }
    }

    /// Returns the next attempt after an unused grant.
    #[must_use]
    pub fn next(self) -> Self {
        match self {
            Self::Unsent(u) => Self::Unsent(u.next()),
            Self::Resend(r) => Self::Resend(Resend {
                id: next(r.id),
                ..r
            }),
        }
    }
}

/// An attempt that is being sent.
#[derive(Debug, Eq, PartialEq)]
pub struct Sending {
    id: AttemptId,
    earlier: Option<Loss>,
}

impl Sending {
    /// No connection was established, so this attempt wrote nothing.
    #[must_use]
    pub fn unconnected(self, _proof: &ConnectError) -> Ready {
        let id = next(self.id);
        match self.earlier {
            None => Ready::Unsent(Unsent { id }),
            Some(earlier) => Ready::Resend(Resend { id, earlier }),
        }
    }

    /// Any other result of sending counts as written.
    #[must_use]
    pub fn sent(self) -> Sent {
        Sent {
            id: self.id,
            earlier: self.earlier,
        }
    }
}

/// An attempt that an endpoint may be executing.
#[derive(Debug, Eq, PartialEq)]
pub struct Sent {
    id: AttemptId,
    earlier: Option<Loss>,
}

impl Sent {
    /// Starts passing the answer on to the caller.
    #[must_use]
    pub fn answering(self) -> Answering {
        Answering { id: self.id }
    }

    /// Records that the attempt was lost.
    #[must_use]
    pub fn lost(self, loss: Loss) -> Lost {
        let earlier = loss.combine(self.earlier);
        Lost {
            id: self.id,
            earlier,
        }
    }
}

/// A sent attempt without an answer.
#[derive(Debug, Eq, PartialEq)]
pub struct Lost {
    id: AttemptId,
    earlier: Loss,
}

impl Lost {
    /// Abandons the request.
    #[must_use]
    pub fn refuse(self) -> Verdict {
        self.earlier.verdict()
    }

    /// Starts another attempt.
    #[must_use]
    pub fn retry(self, _permit: RetryPermit) -> Ready {
        Ready::Resend(Resend {
            id: next(self.id),
            earlier: self.earlier,
        })
    }
}

/// An attempt whose answer is being sent to the caller. It completes or is truncated, and is
/// never retried.
#[derive(Debug, Eq, PartialEq)]
pub struct Answering {
    id: AttemptId,
}

impl Answering {
    /// Returns the identity of the attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.id
    }
}

fn next(id: AttemptId) -> AttemptId {
    AttemptId {
        number: id.number.saturating_add(1),
        ..id
    }
}
