//! Detects pauses of the process, so that it does not act on outdated state.
//!
//! A process that was stopped, or whose machine was suspended, resumes with both requests and the
//! missed changes pending in its sockets, in arbitrary order. New requests are therefore refused
//! for a short time after a pause, until the changes are applied.

use std::cell::Cell;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time without a tick that counts as a pause; far above the timer lag of a busy instance.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Time after a pause to apply missed changes: those pending in sockets are read at once, and the
/// state of peers within two pulls, which are 100 ms apart.
pub(crate) const CATCH_UP: Duration = Duration::from_millis(300);

/// Last time at which the process ran, and the end of its catch-up time.
#[derive(Debug, Default)]
pub(crate) struct PauseWatch {
    last_run: Cell<Option<Duration>>,
    catch_up_end: Cell<Duration>,
}

impl PauseWatch {
    /// Records that the process runs. Logs and returns the length of a pause that has just ended.
    pub(crate) fn tick(&self, now: Duration) -> Option<Duration> {
        let last_run = self.last_run.replace(Some(now))?;
        let pause = now.saturating_sub(last_run);
        if pause < PAUSE_MIN {
            return None;
        }
        tracing::warn!(event = "paused", pause_ms = pause.as_millis());
        self.catch_up_end.set(now + CATCH_UP);
        Some(pause)
    }

    /// Remaining catch-up time after a pause, including one that no tick has detected yet.
    pub(crate) fn catch_up_left(&self, now: Duration) -> Option<Duration> {
        // Before the first tick, the time between two requests does not indicate a pause.
        if self.last_run.get().is_some() {
            self.tick(now);
        }
        let left = self.catch_up_end.get().saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }
}

/// Time since boot, including suspension, which the runtime's clock excludes.
pub(crate) fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).unwrap_or_default()
}
