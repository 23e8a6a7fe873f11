//! What an endpoint bears, and what it reports of its load.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Requests at once that an endpoint bears.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bearing {
    /// Right after a start.
    pub cold: u32,
    /// Once warm.
    pub warm: u32,
    /// Answers until it is warm.
    pub ramp: u32,
}

impl Default for Bearing {
    fn default() -> Self {
        Self {
            cold: 2,
            warm: 8,
            ramp: 40,
        }
    }
}

impl Bearing {
    /// Requests at once that it bears after `answers` answers since the start.
    #[must_use]
    pub fn after(&self, answers: u64) -> u32 {
        let more = u64::from(self.warm.saturating_sub(self.cold));
        let ramp = u64::from(self.ramp);
        if answers >= ramp {
            return self.warm.max(self.cold);
        }
        let gained = u32::try_from(more * answers / ramp).unwrap_or(u32::MAX);
        self.cold.saturating_add(gained)
    }
}

/// What an endpoint does with a request beyond what it bears.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Overload {
    /// It falls over: connections are reset and it starts again cold.
    #[default]
    Fall,
    /// It answers 503.
    Refuse,
}

/// Body of `GET /load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Boot identity.
    pub boot: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests admitted but not yet in the batch.
    pub waiting: u32,
    /// Answers since the start.
    pub answers: u64,
}

/// Reports of the recent past, for reports that lag.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    past: VecDeque<(Instant, LoadReport)>,
}

impl Reports {
    /// Records a change, forgetting what a lag of `lag` no longer shows.
    pub(crate) fn record(&mut self, now: Instant, lag: Duration, report: LoadReport) {
        self.past.push_back((now, report));
        while self.past.get(1).is_some_and(|(t, _)| *t + lag <= now) {
            self.past.pop_front();
        }
    }

    /// The report of `lag` ago.
    pub(crate) fn at(&self, now: Instant, lag: Duration) -> LoadReport {
        self.past
            .iter()
            .rev()
            .find(|(t, _)| *t + lag <= now)
            .or(self.past.front())
            .map_or_else(LoadReport::default, |(_, report)| *report)
    }
}

/// Work done and work borne, as integrals over time.
#[derive(Debug)]
pub(crate) struct Meter {
    since: Instant,
    /// Slot time used, in microseconds.
    pub(crate) busy: u64,
    /// Slot time borne, in microseconds.
    pub(crate) borne: u64,
}

impl Meter {
    pub(crate) fn start(now: Instant) -> Self {
        Self {
            since: now,
            busy: 0,
            borne: 0,
        }
    }

    /// Adds the time since the last call, with these numbers in force until `now`.
    pub(crate) fn advance(&mut self, now: Instant, running: u32, bears: u32) {
        let span = now.saturating_duration_since(self.since);
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.busy += u64::from(running) * micros;
        self.borne += u64::from(bears) * micros;
        self.since = now;
    }
}
