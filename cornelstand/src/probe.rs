//! Consecutive failures of one endpoint, and the backoff between probes once it is suspect.

use std::time::Duration;

use crate::moment::Moment;
use crate::name::InstanceName;

/// Consecutive failures that make an endpoint suspect.
const MAX_FAILURES: u32 = 3;

/// Minimum time between two counted failures reported by the same entry.
const FAILURE_GAP: Duration = Duration::from_millis(250);

/// Initial backoff between probes of a suspect endpoint.
const BACKOFF_MIN: Duration = Duration::from_millis(500);

/// Maximum backoff between probes of a suspect endpoint.
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Failures since the latest answer, and the time of the next probe.
#[derive(Debug)]
pub(crate) struct Probe {
    failures: u32,
    reporter: Option<InstanceName>,
    last_failure: Moment,
    backoff: Duration,
    due: Moment,
}

impl Probe {
    pub(crate) fn new() -> Self {
        Self {
            failures: 0,
            reporter: None,
            last_failure: Moment::default(),
            backoff: BACKOFF_MIN,
            due: Moment::default(),
        }
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// When the next probe may start.
    pub(crate) fn due(&self) -> Moment {
        self.due
    }

    /// Resets the failures and the backoff after an answer.
    pub(crate) fn clear(&mut self) {
        self.failures = 0;
        self.backoff = BACKOFF_MIN;
    }

    /// Lets the next probe start now, because the endpoint has restarted.
    pub(crate) fn hasten(&mut self, now: Moment) {
        self.due = self.due.min(now);
    }

    /// Counts a failure. Another of the same entry within [`FAILURE_GAP`] is ignored, as that
    /// entry's own network may be the cause.
    pub(crate) fn record_failure(&mut self, now: Moment, entry: Option<&InstanceName>) {
        let same_entry = entry.is_some() && self.reporter.as_ref() == entry;
        if same_entry && now < self.last_failure.after(FAILURE_GAP) {
            return;
        }
        self.reporter = entry.cloned();
        self.last_failure = now;
        self.failures = self.failures.saturating_add(1);
        if self.failures == MAX_FAILURES {
            self.schedule(now);
        }
    }

    /// Counts a grant, which is a probe if the endpoint is suspect.
    pub(crate) fn start(&mut self, now: Moment) {
        if self.is_suspect() {
            self.schedule(now);
        }
    }

    fn schedule(&mut self, now: Moment) {
        self.due = now.after(self.backoff);
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }
}
