//! How much of its processor a process uses.

use std::time::Duration;

use crate::moment::Moment;

/// Time over which use and lag are averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(300);
/// Timer lag that counts as a fully used processor.
const FULL_LAG_MS: f64 = 45.0;
/// Largest load that one sample counts as, so that a pause has no long effect.
const MAX_LOAD: f64 = 2.0;

/// Load of a processor from its busy share and the timer lag: 1 if it is fully used.
pub(crate) fn load(share: f64, lag_ms: f64) -> f64 {
    share.max(lag_ms / FULL_LAG_MS).min(MAX_LOAD)
}

/// Share of `then` that is left `elapsed` later in an average over `time`.
pub(crate) fn decay(elapsed: Duration, time: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time.as_secs_f64()).exp()
}

/// Measures of a processor at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    /// Time since the start of the process in which its thread did not wait for events.
    pub(crate) busy: Duration,
    pub(crate) lag_ms: f64,
}

/// Moving averages of processor use and timer lag.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    last: Option<(Moment, Duration)>,
    /// Share of the time in which the process did not wait for events.
    pub(crate) share: f64,
    pub(crate) lag_ms: f64,
}

impl Usage {
    pub(crate) fn record(&mut self, now: Moment, sample: Sample) {
        let last = self.last.replace((now, sample.busy));
        let Some((then, busy)) = last.filter(|(then, _)| *then < now) else {
            return;
        };
        let elapsed = now.since(then);
        let share = sample.busy.saturating_sub(busy).as_secs_f64() / elapsed.as_secs_f64();
        let weight = 1.0 - decay(elapsed, AVERAGING_TIME);
        let lag_ms = sample.lag_ms.min(MAX_LOAD * FULL_LAG_MS);
        self.share += weight * (share.min(1.0) - self.share);
        self.lag_ms += weight * (lag_ms - self.lag_ms);
    }

    pub(crate) fn load(&self) -> f64 {
        load(self.share, self.lag_ms)
    }
}
