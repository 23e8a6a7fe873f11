//! Planned stop of an instance: until when it runs and which work it still begins.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::gateway::gate::{Gate, RefusedWork};

/// Shortest time from a stop signal to the exit: the load balancer checks readiness once a second
/// and removes an instance after two failures, so new connections still arrive.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_200);
/// Time after a stop signal from which new streams are refused: by then the load balancer sends
/// retries to another instance.
const STREAM_REFUSAL_DELAY: Duration = Duration::from_millis(2_300);
/// Part of the grace period reserved for the exit itself; responses still open are cut.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Time before the end of the grace period from which all requests are refused; calls take less.
const CALL_REFUSAL_MARGIN: Duration = Duration::from_millis(1_500);
/// Period at which a stop checks whether all requests have ended.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// A planned stop, once it has begun.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    /// End of the time for requests.
    end: Cell<Option<Instant>>,
}

impl Stop {
    pub(crate) fn has_begun(&self) -> bool {
        self.end.get().is_some()
    }

    /// Milliseconds left for requests, if a stop has begun.
    pub(crate) fn left_ms(&self) -> Option<u64> {
        let left = self.end.get()?.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).ok()
    }

    /// Begins a stop that has to be over after `grace`.
    pub(crate) fn begin(&self, grace: Duration) {
        let time = grace.saturating_sub(GRACE_MARGIN);
        self.end.set(Some(Instant::now() + time));
    }
}

/// Waits until open responses have ended, within the grace period.
pub(crate) async fn drain(gate: &Gate) {
    let started = Instant::now();
    let end = gate.stop.end.get().unwrap_or(started);
    while Instant::now() < end {
        let refusing = if Instant::now() + CALL_REFUSAL_MARGIN >= end {
            RefusedWork::Everything
        } else if started.elapsed() >= STREAM_REFUSAL_DELAY {
            RefusedWork::Streams
        } else {
            RefusedWork::Nothing
        };
        gate.refusing.set(refusing);
        let is_done = gate.active.get() == 0 && started.elapsed() >= MIN_STOP_TIME;
        if is_done {
            break;
        }
        sleep(STOP_CHECK_PERIOD).await;
    }
    tracing::info!(
        event = "stopped",
        left_ms = gate.stop.left_ms(),
        cut = gate.active.get()
    );
}
