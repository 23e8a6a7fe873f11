//! State machine of a request's attempts.
//!
//! A request starts as [`Unsent`]. Only that state can give a [`NotRun`], the proof that a refusal
//! "not run" needs, and it is consumed by [`Unsent::send`], after which bytes may reach an
//! endpoint. The way back leads through a [`ConnectError`], which exists only for errors made
//! before there was a connection. Once bytes were written, a further attempt needs a
//! [`RetryPermit`], which is given to idempotent requests within their budget. Once a byte of the
//! answer went to the caller there is no further attempt at all.

use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};

use crate::name::{AttemptId, RequestId};
use crate::retry::RetryPermit;

/// Proof that no byte of a request was written to an endpoint.
#[derive(Debug, Eq, PartialEq)]
pub struct NotRun(());

/// What a caller may conclude from a refusal.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte was written to an endpoint.
    #[display("not-run")]
    NotRun,
    /// An endpoint may have run the request, wholly or in part.
    #[display("unknown")]
    Unknown,
    /// The request failed.
    #[display("failed")]
    Failed,
}

/// Outcome of a request that gets no answer, with its proof.
#[derive(Debug, Eq, IsVariant, PartialEq)]
pub enum Verdict {
    /// No byte was written to an endpoint.
    NotRun(NotRun),
    /// An endpoint may have run the request.
    Unknown,
    /// The endpoint said that the request failed.
    Failed,
}

impl Verdict {
    /// The outcome as the caller sees it.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown => Outcome::Unknown,
            Self::Failed => Outcome::Failed,
        }
    }
}

/// Why a sent attempt has no answer.
#[derive(Clone, Copy, Debug, Display, Eq, IsVariant, PartialEq)]
pub enum Loss {
    /// The connection broke, or the answer was cut or not its own.
    #[display("the connection to the endpoint broke")]
    Broken,
    /// A deadline passed without a byte.
    #[display("the endpoint did not answer in time")]
    Silent,
    /// The endpoint answered that it did not carry out the request.
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

    /// The weaker claim of two: once an attempt's fate is unknown, the request's is.
    fn and(self, earlier: Option<Self>) -> Self {
        match earlier {
            Some(e) if self == Self::Failed => e,
            _ => self,
        }
    }
}

/// Error of the HTTP client made before there was a connection.
#[derive(Debug, Display)]
#[display("no connection to the endpoint: {_0}")]
pub struct ConnectError(reqwest::Error);

impl ConnectError {
    /// Takes `error` if it proves that nothing was written.
    ///
    /// # Errors
    ///
    /// Gives `error` back if a connection may have existed.
    pub fn prove(error: reqwest::Error) -> Result<Self, reqwest::Error> {
        if error.is_connect() {
            Ok(Self(error))
        } else {
            Err(error)
        }
    }
}

/// A request of which no byte was written to an endpoint.
#[derive(Debug, Eq, PartialEq)]
pub struct Unsent {
    id: AttemptId,
}

impl Unsent {
    /// The first attempt of `request`.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        let number = 0;
        Self {
            id: AttemptId { request, number },
        }
    }

    /// Gives the request up.
    #[must_use]
    pub fn refuse(self) -> NotRun {
        NotRun(())
    }

    /// Starts to write.
    #[must_use]
    pub fn send(self) -> Sending {
        Sending {
            id: self.id,
            earlier: None,
        }
    }

    /// The next attempt after a grant that was not used.
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

/// A request that is not at an endpoint now.
#[derive(Debug, Eq, IsVariant, PartialEq)]
pub enum Ready {
    /// Nothing was written yet.
    Unsent(Unsent),
    /// An earlier attempt was lost.
    Resend(Resend),
}

impl Ready {
    /// The attempt that comes next.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Unsent(u) => u.id,
            Self::Resend(r) => r.id,
        }
    }

    /// Gives the request up.
    #[must_use]
    pub fn refuse(self) -> Verdict {
        match self {
            Self::Unsent(u) => Verdict::NotRun(u.refuse()),
            Self::Resend(r) => r.earlier.verdict(),
        }
    }

    /// Starts to write.
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

    /// The next attempt after a grant that was not used.
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

/// An attempt whose bytes may be on their way.
#[derive(Debug, Eq, PartialEq)]
pub struct Sending {
    id: AttemptId,
    earlier: Option<Loss>,
}

impl Sending {
    /// No connection was made, so that nothing was written by this attempt.
    #[must_use]
    pub fn unconnected(self, _proof: &ConnectError) -> Ready {
        let id = next(self.id);
        match self.earlier {
            None => Ready::Unsent(Unsent { id }),
            Some(earlier) => Ready::Resend(Resend { id, earlier }),
        }
    }

    /// Everything else counts as written.
    #[must_use]
    pub fn sent(self) -> Sent {
        Sent {
            id: self.id,
            earlier: self.earlier,
        }
    }
}

/// An attempt that an endpoint may run.
#[derive(Debug, Eq, PartialEq)]
pub struct Sent {
    id: AttemptId,
    earlier: Option<Loss>,
}

impl Sent {
    /// The first byte of the answer goes to the caller.
    #[must_use]
    pub fn answering(self) -> Answering {
        Answering { id: self.id }
    }

    /// The attempt is lost.
    #[must_use]
    pub fn lost(self, loss: Loss) -> Lost {
        let earlier = loss.and(self.earlier);
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
    /// Gives the request up.
    #[must_use]
    pub fn refuse(self) -> Verdict {
        self.earlier.verdict()
    }

    /// Tries again.
    #[must_use]
    pub fn retry(self, _permit: RetryPermit) -> Ready {
        Ready::Resend(Resend {
            id: next(self.id),
            earlier: self.earlier,
        })
    }
}

/// An attempt whose answer goes to the caller. It ends whole or is cut, and is never repeated.
#[derive(Debug, Eq, PartialEq)]
pub struct Answering {
    id: AttemptId,
}

impl Answering {
    /// The attempt.
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
