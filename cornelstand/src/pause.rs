//! Pauses of the whole process.
//!
//! A process may be stopped for a time and then go on as if nothing had happened, with a grant in
//! its hands that was taken back meanwhile and a configuration that is no longer in force. A
//! ticker shows it: what began before a gap between two ticks, or finds the last tick long past,
//! spans a pause.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::moment::Moment;

/// Time between two ticks.
pub(crate) const TICK: Duration = Duration::from_millis(200);
/// Least gap between two ticks that counts as a pause.
const GAP: Duration = Duration::from_secs(1);

/// Watch over the pauses of a process.
#[derive(Debug)]
pub(crate) struct PauseWatch {
    last: AtomicU64,
    pauses: AtomicU64,
}

/// Number of pauses seen at some time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PauseCount(u64);

impl PauseWatch {
    /// A watch whose first tick is at `now`.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            last: AtomicU64::new(now.0),
            pauses: AtomicU64::new(0),
        }
    }

    /// Number of pauses seen so far.
    pub(crate) fn count(&self) -> PauseCount {
        PauseCount(self.pauses.load(Ordering::Relaxed))
    }

    /// Tells whether there was a pause since `count` was taken.
    pub(crate) fn has_paused(&self, count: PauseCount, now: Moment) -> bool {
        self.count() != count || self.gap(now) >= GAP
    }

    /// Notes that the process runs, and tells whether it was paused.
    pub(crate) fn tick(&self, now: Moment) -> bool {
        let is_pause = self.gap(now) >= GAP;
        if is_pause {
            self.pauses.fetch_add(1, Ordering::Relaxed);
        }
        self.last.store(now.0, Ordering::Relaxed);
        is_pause
    }

    fn gap(&self, now: Moment) -> Duration {
        now.since(Moment(self.last.load(Ordering::Relaxed)))
    }
}
