//! Notices that the process was paused, so that it does not act on beliefs from before.
//!
//! A process that is stopped, or whose machine is suspended, wakes with requests waiting in its
//! sockets next to the changes that it missed. What comes first is chance. For a moment after it
//! woke it therefore refuses new requests, until the changes are taken in.

use std::cell::Cell;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time without a tick that counts as a pause; far above the lateness of timers of a busy instance.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Time after a pause in which the changes are taken in: what waits in sockets at once, beliefs of peers
/// within two of the pulls that come every 100 ms.
pub(crate) const CATCH_UP: Duration = Duration::from_millis(300);

/// When the process ran last, and until when it catches up.
#[derive(Debug, Default)]
pub(crate) struct PauseWatch {
    ran: Cell<Option<Duration>>,
    catches_up: Cell<Duration>,
}

impl PauseWatch {
    /// Notes that the process runs. Logs and returns the length of a pause that has just ended.
    pub(crate) fn tick(&self, now: Duration) -> Option<Duration> {
        let ran = self.ran.replace(Some(now))?;
        let pause = now.saturating_sub(ran);
        if pause < PAUSE_MIN {
            return None;
        }
        tracing::warn!(event = "paused", pause_ms = pause.as_millis());
        self.catches_up.set(now + CATCH_UP);
        Some(pause)
    }

    /// Time for which changes are still taken in after a pause, also one that no tick has noticed.
    pub(crate) fn catches_up(&self, now: Duration) -> Option<Duration> {
        // Until the process ticks, the time between two requests is no pause.
        if self.ran.get().is_some() {
            self.tick(now);
        }
        let left = self.catches_up.get().saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }
}

/// Time since the machine started, its suspensions included, which the runtime's clock leaves out.
pub(crate) fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).unwrap_or_default()
}
