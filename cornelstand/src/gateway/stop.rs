//! Planned stop of an instance: until when it runs and which work it still begins.
//!
//! Every decision to begin work asks the same question: a new request, one that leaves the queue,
//! and one that is sent again. While the load balancer still routes callers here, all is begun;
//! afterwards only what ends before the instance does. A refused caller still has time elsewhere.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::{Instant, sleep, sleep_until};

use crate::gateway::gate::Gate;

/// Shortest time from a stop signal to the exit: the load balancer checks readiness once a second
/// and removes an instance after two failures, so new connections still arrive.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_200);
/// Time after a stop signal from which work is refused that may outlast the stop: by then the load
/// balancer sends retries to another instance.
const REFUSAL_DELAY: Duration = Duration::from_millis(2_300);
/// Part of the grace period reserved for the final responses and the exit itself.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Longest time for the final responses.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Period at which a stop checks whether all requests have ended.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Times of a stop.
#[derive(Clone, Copy, Debug)]
struct Plan {
    /// From then on work is refused that may last beyond `end`.
    refusing_from: Instant,
    /// Requests still open then get their final response.
    end: Instant,
}

/// A planned stop, once it has begun.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    plan: Cell<Option<Plan>>,
    begun: Notify,
    over: Notify,
}

impl Stop {
    pub(crate) fn has_begun(&self) -> bool {
        self.plan.get().is_some()
    }

    /// Milliseconds left for requests, if a stop has begun.
    pub(crate) fn left_ms(&self) -> Option<u64> {
        let end = self.plan.get()?.end;
        let left = end.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).ok()
    }

    /// Begins a stop that has to be over after `grace` from now.
    #[cfg(test)]
    pub(crate) fn begin(&self, grace: Duration) {
        self.begin_at(Instant::now(), grace);
    }

    /// Begins a stop whose signal was sent at `signalled` at the earliest, and which has to be over
    /// `grace` later.
    pub(crate) fn begin_at(&self, signalled: Instant, grace: Duration) {
        let end = signalled + grace.saturating_sub(GRACE_MARGIN);
        let refusing_from = end.min(signalled + REFUSAL_DELAY);
        self.plan.set(Some(Plan { refusing_from, end }));
        self.begun.notify_waiters();
    }

    /// Whether work that may last until `finish` may begin at `start`.
    pub(crate) fn admits(&self, start: Instant, finish: Instant) -> bool {
        let plan = self.plan.get();
        plan.is_none_or(|p| finish <= p.end || start < p.refusing_from)
    }

    /// Waits until work that may last until `finish` is refused.
    pub(crate) async fn refused(&self, finish: Instant) {
        loop {
            let begun = self.begun.notified();
            match self.plan.get() {
                None => begun.await,
                Some(plan) if finish > plan.end => return sleep_until(plan.refusing_from).await,
                Some(_) => return std::future::pending().await,
            }
        }
    }

    /// Ends when requests that are still open have to get their final response.
    pub(crate) fn over(&self) -> Notified<'_> {
        self.over.notified()
    }
}

/// Waits until open requests have ended. Those that have not by the end of the stop get their final
/// responses.
pub(crate) async fn drain(gate: &Gate) {
    let started = Instant::now();
    let end = gate.stop.plan.get().map_or(started, |p| p.end);
    let is_done = || gate.active.get() == 0 && started.elapsed() >= MIN_STOP_TIME;
    while Instant::now() < end && !is_done() {
        sleep(STOP_CHECK_PERIOD).await;
    }
    let open = gate.active.get();
    gate.stop.over.notify_waiters();
    let until = Instant::now() + FINAL_RESPONSE_TIMEOUT;
    while gate.active.get() > 0 && Instant::now() < until {
        sleep(STOP_CHECK_PERIOD).await;
    }
    let (left_ms, cut) = (gate.stop.left_ms(), gate.active.get());
    tracing::info!(event = "stopped", left_ms, open, cut);
}
