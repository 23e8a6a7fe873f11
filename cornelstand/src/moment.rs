//! Time of the state machines.
//!
//! The state machines take a [`Moment`] with every event and read no clock. The actors around
//! them take it from [`Clock`], which follows the paused time of tests.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Monotonic time of one process, in microseconds since its start.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{_0} us")]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// The moment `by` later.
    #[must_use]
    pub fn after(self, by: Duration) -> Self {
        Self(self.0.saturating_add(micros(by)))
    }

    /// The moment `by` earlier, or zero.
    #[must_use]
    pub fn before(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(micros(by)))
    }

    /// Time from `earlier` to this moment, zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Whole microseconds of `duration`, saturating.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Source of moments for one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: tokio::time::Instant,
}

impl Clock {
    /// Starts a clock at moment zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }

    /// The current moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::default().after(self.start.elapsed())
    }

    /// The tokio instant of `moment`, for timers.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        self.start + Duration::from_micros(moment.0)
    }
}
