//! A planned stop of an entry, as its requests see it.
//!
//! From the announcement on, an attempt is sent only if its answer is due to begin before the end
//! of the stop. At the end, every open request gets its final answer.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::entry_core::Core;
use crate::moment::Moment;
use crate::name::RequestId;
use crate::problem::{Problem, ProblemKind};

/// Maximum number of log lines on requests that a stop refused or cut.
const MAX_LINES: usize = 1_000;

/// State of a planned stop.
#[derive(Debug)]
pub(crate) struct Closing {
    end: watch::Sender<Option<Moment>>,
    listening: watch::Sender<bool>,
    cut: AtomicUsize,
    lines: AtomicUsize,
}

impl Default for Closing {
    fn default() -> Self {
        Self {
            end: watch::Sender::new(None),
            listening: watch::Sender::new(true),
            cut: AtomicUsize::new(0),
            lines: AtomicUsize::new(0),
        }
    }
}

impl Closing {
    /// Announces a stop that ends at `end`.
    pub(crate) fn announce(&self, end: Moment) {
        self.end.send_replace(Some(end));
    }

    /// Returns whether a stop was announced.
    pub(crate) fn is_announced(&self) -> bool {
        self.end.borrow().is_some()
    }

    /// Stops taking connections.
    pub(crate) fn close_listener(&self) {
        self.listening.send_replace(false);
    }

    /// Waits until no more connections are to be taken.
    pub(crate) async fn listener_closed(&self) {
        let mut listening = self.listening.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = listening.wait_for(|&listening| !listening).await;
    }

    /// Returns the number of requests that were sent and not answered in full at the end.
    pub(crate) fn cut(&self) -> usize {
        self.cut.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that were refused or cut without a log line.
    pub(crate) fn unlogged(&self) -> usize {
        self.lines.load(Ordering::Relaxed).saturating_sub(MAX_LINES)
    }

    /// Counts a request that was sent and not answered in full.
    pub(crate) fn count_cut(&self) {
        self.cut.fetch_add(1, Ordering::Relaxed);
    }

    /// Logs a refusal because of the stop.
    pub(crate) fn log_refusal(&self, request: RequestId, problem: &Problem) {
        let is_due_to_stop = matches!(
            problem.kind,
            ProblemKind::Unavailable | ProblemKind::Stopped
        );
        if self.is_announced() && is_due_to_stop && self.take_line() {
            let outcome = problem.verdict.outcome();
            let reason = problem.detail.as_str();
            tracing::info!(%request, %outcome, reason, "refused while stopping");
        }
    }

    /// Logs that an answer was cut at the end of the stop.
    pub(crate) fn log_cut(&self, request: RequestId, endpoint: &str) {
        if self.take_line() {
            tracing::warn!(%request, endpoint, "answer cut by the stop");
        }
    }

    fn take_line(&self) -> bool {
        self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES
    }
}

impl Core {
    /// Returns the time from which a request may no longer be sent, if a stop was announced.
    ///
    /// `deadline` is the time at which the entry gives up the wait for an answer, if there is one.
    pub(crate) fn send_cutoff(&self, deadline: Option<Moment>) -> Option<Moment> {
        let end = (*self.closing.end.borrow())?;
        Some(self.cutoff(end, deadline))
    }

    /// Waits until a request may no longer be sent because of a stop.
    pub(crate) async fn send_cutoff_reached(&self, deadline: Option<Moment>) {
        let end = self.announced_end().await;
        let cutoff = self.cutoff(end, deadline);
        sleep_until(self.clock.instant(cutoff)).await;
    }

    /// Waits until the end of a stop.
    pub(crate) async fn stop_ended(&self) {
        let end = self.announced_end().await;
        sleep_until(self.clock.instant(end)).await;
    }

    fn cutoff(&self, end: Moment, deadline: Option<Moment>) -> Moment {
        match deadline {
            Some(deadline) if deadline <= end => end,
            _ => end.before(self.limits.first()),
        }
    }

    async fn announced_end(&self) -> Moment {
        let mut end = self.closing.end.subscribe();
        let end = end.wait_for(Option::is_some).await.ok().and_then(|e| *e);
        match end {
            Some(end) => end,
            None => std::future::pending().await,
        }
    }
}
