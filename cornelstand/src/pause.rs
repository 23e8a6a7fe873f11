//! Detection of pauses of the whole process.
//!
//! A process may be suspended and resume with a grant that was withdrawn meanwhile, or with a
//! configuration that is no longer in force. A ticker detects this: an operation spans a pause if
//! there was a long gap between two ticks since it began, or if the latest tick is long ago.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::moment::Moment;

/// Time between two ticks.
pub(crate) const TICK: Duration = Duration::from_millis(200);
/// Minimum gap between two ticks that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Detector of process pauses.
#[derive(Debug)]
pub(crate) struct PauseWatch {
    last_tick: AtomicU64,
    pauses: AtomicU64,
}

/// Number of pauses detected up to some time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PauseCount(u64);

impl PauseWatch {
    /// Creates a detector whose first tick is at `now`.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            last_tick: AtomicU64::new(now.0),
            pauses: AtomicU64::new(0),
        }
    }

    /// Number of pauses detected so far.
    pub(crate) fn count(&self) -> PauseCount {
        PauseCount(self.pauses.load(Ordering::Relaxed))
    }

    /// Whether there was a pause since `count` was taken.
    pub(crate) fn has_paused(&self, count: PauseCount, now: Moment) -> bool {
        self.count() != count || self.gap(now) >= MIN_PAUSE
    }

    /// Records a tick, and returns whether the process was paused before it.
    pub(crate) fn tick(&self, now: Moment) -> bool {
        let is_pause = self.gap(now) >= MIN_PAUSE;
        if is_pause {
            self.pauses.fetch_add(1, Ordering::Relaxed);
        }
        self.last_tick.store(now.0, Ordering::Relaxed);
        is_pause
    }

    fn gap(&self, now: Moment) -> Duration {
        now.since(Moment(self.last_tick.load(Ordering::Relaxed)))
    }
}
