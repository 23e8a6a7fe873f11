//! Bad outcomes of one endpoint, and the backoff between its probes once it is suspect.

use std::time::Duration;

use crate::moment::Moment;
use crate::name::InstanceName;

/// Bad outcomes without an answer between them that make an endpoint suspect.
const STRIKES: u32 = 3;

/// Shortest time between counted bad outcomes that one entry reports.
const STRIKE_GAP: Duration = Duration::from_millis(250);

/// Shortest time between probes of a suspect endpoint.
const PROBE_FIRST: Duration = Duration::from_millis(500);

/// Longest time between probes of a suspect endpoint.
const PROBE_LAST: Duration = Duration::from_secs(10);

/// Bad outcomes since the latest answer.
#[derive(Debug)]
pub(crate) struct Probe {
    strikes: u32,
    striker: Option<InstanceName>,
    struck: Moment,
    backoff: Duration,
    due: Moment,
}

impl Probe {
    pub(crate) fn new() -> Self {
        Self {
            strikes: 0,
            striker: None,
            struck: Moment::default(),
            backoff: PROBE_FIRST,
            due: Moment::default(),
        }
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.strikes >= STRIKES
    }

    /// When the next probe may start.
    pub(crate) fn due(&self) -> Moment {
        self.due
    }

    /// Takes in a sign that the endpoint works.
    pub(crate) fn clear(&mut self) {
        self.strikes = 0;
        self.backoff = PROBE_FIRST;
    }

    /// Lets the next probe start now, because the endpoint has restarted.
    pub(crate) fn hasten(&mut self, now: Moment) {
        self.due = self.due.min(now);
    }

    /// Counts a bad outcome, but not at once another of the same entry, whose own network may be
    /// the cause.
    pub(crate) fn strike(&mut self, now: Moment, entry: Option<&InstanceName>) {
        let again = entry.is_some() && self.striker.as_ref() == entry;
        if again && now < self.struck.after(STRIKE_GAP) {
            return;
        }
        self.striker = entry.cloned();
        self.struck = now;
        self.strikes = self.strikes.saturating_add(1);
        if self.strikes == STRIKES {
            self.delay(now);
        }
    }

    /// Counts a grant, which is a probe if the endpoint is suspect.
    pub(crate) fn start(&mut self, now: Moment) {
        if self.is_suspect() {
            self.delay(now);
        }
    }

    fn delay(&mut self, now: Moment) {
        self.due = now.after(self.backoff);
        self.backoff = (self.backoff * 2).min(PROBE_LAST);
    }
}
