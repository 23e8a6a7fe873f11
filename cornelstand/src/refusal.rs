//! Refusals of admitted requests, each with the proof of its outcome.

use std::time::Duration;

use crate::attempt::{Loss, Lost, NotRun, Ready, Verdict};
use crate::body::BodyError;
use crate::claims::ClaimError;
use crate::dispatch::Refusal;
use crate::problem::{Problem, ProblemKind};

/// Suggested delay when a retry may succeed.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Detail of refusals of requests that were not sent because of a stop.
pub(crate) const STOPPING: &str = "the instance stops before the request could be answered";

/// The dispatcher did not grant the request.
pub(crate) fn refused(ready: Ready, refusal: &Refusal) -> Problem {
    let (kind, retry) = match refusal {
        Refusal::QueueFull { retry } => (ProblemKind::QueueFull, Some(*retry)),
        Refusal::NoEndpoint { retry } => (ProblemKind::NoEndpoint, Some(*retry)),
        Refusal::Deadline => (ProblemKind::DeadlinePassed, None),
        Refusal::NotOwner(_) | Refusal::UnknownAccount | Refusal::Cancelled => {
            (ProblemKind::Unavailable, Some(RETRY_DELAY))
        }
    };
    let mut problem = Problem::new(kind, ready.refuse(), refusal.to_string());
    problem.retry = retry;
    problem
}

/// The instance stops before an attempt could be answered.
pub(crate) fn stopping(ready: Ready) -> Problem {
    match ready {
        Ready::Unsent(unsent) => {
            let verdict = Verdict::NotRun(unsent.refuse());
            Problem::new(ProblemKind::Unavailable, verdict, STOPPING).retry_after(RETRY_DELAY)
        }
        Ready::Resend(_) => stopped(ready.refuse()),
    }
}

/// The instance stopped before a sent request was answered.
pub(crate) fn stopped(verdict: Verdict) -> Problem {
    let detail = "the instance stopped before the request was answered";
    Problem::new(ProblemKind::Stopped, verdict, detail)
}

/// The request waited longer for an endpoint than its claim allows.
pub(crate) fn claim_late(ready: Ready) -> Problem {
    let detail = "no endpoint was free while the claim allowed sending";
    Problem::new(ProblemKind::DeadlinePassed, ready.refuse(), detail).retry_after(RETRY_DELAY)
}

/// A sent request was lost and is not retried.
pub(crate) fn lost(attempt: Lost, loss: Loss) -> Problem {
    let kind = match loss {
        Loss::Silent => ProblemKind::EndpointSilent,
        Loss::Broken | Loss::Failed => ProblemKind::EndpointLost,
    };
    Problem::new(kind, attempt.refuse(), loss.to_string())
}

/// Engines refused the request because they are overloaded.
pub(crate) fn overloaded(attempt: Lost) -> Problem {
    let detail = "the endpoints are overloaded";
    Problem::new(ProblemKind::NoEndpoint, attempt.refuse(), detail).retry_after(RETRY_DELAY)
}

/// The caller's deadline passed after the request was sent.
pub(crate) fn deadline_passed(attempt: Lost) -> Problem {
    let detail = "the deadline passed before the answer began";
    Problem::new(ProblemKind::DeadlinePassed, attempt.refuse(), detail)
}

/// The caller's body failed while it was forwarded.
pub(crate) fn body_failed(attempt: Lost, fault: BodyError) -> Problem {
    let kind = match fault {
        BodyError::TooLarge { .. } => ProblemKind::BodyTooLarge,
        BodyError::Broken | BodyError::Slow => ProblemKind::BodyIncomplete,
    };
    Problem::new(kind, attempt.refuse(), fault.to_string())
}

/// Endpoints crashed while running this request.
pub(crate) fn suspect(left: Duration) -> Problem {
    let detail = "endpoints crashed while they ran this request; it is not run again for now";
    Problem::new(ProblemKind::Suspect, Verdict::Failed, detail).retry_after(left)
}

/// The request could not be claimed.
pub(crate) fn unclaimed(proof: NotRun, error: ClaimError) -> Problem {
    let kind = ProblemKind::StoreUnavailable;
    let verdict = Verdict::NotRun(proof);
    Problem::new(kind, verdict, error.to_string()).retry_after(RETRY_DELAY)
}

/// The idempotency key belongs to another request.
pub(crate) fn key_reused(proof: NotRun) -> Problem {
    let detail = "the idempotency key was used for a request with another route or body";
    Problem::new(ProblemKind::KeyReused, Verdict::NotRun(proof), detail)
}

/// The request with this key is still running.
pub(crate) fn still_running() -> Problem {
    let detail = "a request with this idempotency key is running";
    Problem::new(ProblemKind::StillRunning, Verdict::Unknown, detail).retry_after(RETRY_DELAY)
}

/// The request with this key was sent before, with unknown outcome.
pub(crate) fn outcome_unknown() -> Problem {
    let detail = "a request with this idempotency key was sent and its outcome is not known";
    Problem::new(ProblemKind::OutcomeUnknown, Verdict::Unknown, detail)
}

/// The request with this key was answered, but its answer was too long to record.
pub(crate) fn not_kept(status: u16) -> Problem {
    let detail = format!("the request ran and was answered with {status}; the answer is not kept");
    Problem::new(ProblemKind::OutcomeUnknown, Verdict::Unknown, detail)
}
