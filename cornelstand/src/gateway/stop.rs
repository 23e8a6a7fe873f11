//! Planned stop of an instance: until when it runs and which work it still begins.
//!
//! Every decision to begin work asks the same question: a new request, one that leaves the queue,
//! and one that is sent again. While the load balancer still routes callers here, all is begun;
//! afterwards only what ends before the instance does. A refused caller still has time elsewhere.
//!
//! A connection that a neighbour handed over ends with either instance, so that it has two stops.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::{Instant, sleep, timeout_at};

use crate::gateway::gate::Gate;
use crate::gateway::handover;

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
/// Part of the time left to an entry in which what its neighbours answer last passes through it.
const PASSING_TIME: Duration = Duration::from_millis(200);
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

/// Times of a stop that other instances learn, in milliseconds from the sending.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StopReport {
    refusing_ms: u32,
    left_ms: u32,
}

/// A planned stop, once it has begun.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    plan: Cell<Option<Plan>>,
    changed: Notify,
    over: Notify,
}

impl Stop {
    pub(crate) fn has_begun(&self) -> bool {
        self.plan.get().is_some()
    }

    /// When requests that are still open get their final response, if a stop has begun.
    pub(crate) fn end(&self) -> Option<Instant> {
        self.plan.get().map(|p| p.end)
    }

    /// Begins a stop that has to be over after `grace` from now.
    pub(crate) fn begin(&self, grace: Duration) {
        self.begin_at(Instant::now(), grace);
    }

    /// Begins a stop whose signal was sent at `signalled` at the earliest, and which has to be over
    /// `grace` later.
    pub(crate) fn begin_at(&self, signalled: Instant, grace: Duration) {
        let end = signalled + grace.saturating_sub(GRACE_MARGIN);
        self.set(signalled + REFUSAL_DELAY, end);
    }

    fn set(&self, refusing_from: Instant, end: Instant) {
        let refusing_from = refusing_from.min(end);
        self.plan.set(Some(Plan { refusing_from, end }));
        self.changed.notify_waiters();
    }

    /// Milliseconds left for requests, if a stop has begun.
    pub(crate) fn left_ms(&self) -> Option<u64> {
        let left = self.end()?.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).ok()
    }

    /// What this instance tells others of its stop, once that has begun.
    pub(crate) fn report(&self) -> Option<StopReport> {
        let plan = self.plan.get()?;
        let ms = |until: Instant| to_ms(until.saturating_duration_since(Instant::now()));
        Some(StopReport {
            refusing_ms: ms(plan.refusing_from),
            left_ms: ms(plan.end),
        })
    }

    /// Records a report of another instance. Reports may be late, so that the earliest times are
    /// the nearest.
    pub(crate) fn learn(&self, report: StopReport) {
        let after = |ms| Instant::now() + Duration::from_millis(u64::from(ms));
        let refusing_from = after(report.refusing_ms);
        let end = after(report.left_ms.saturating_sub(to_ms(PASSING_TIME)));
        match self.plan.get() {
            Some(plan) if plan.end <= end && plan.refusing_from <= refusing_from => {}
            Some(plan) => self.set(plan.refusing_from.min(refusing_from), plan.end.min(end)),
            None => self.set(refusing_from, end),
        }
    }

    /// Whether work that may last until `finish` may begin at `start`.
    fn admits(&self, start: Instant, finish: Instant) -> bool {
        let plan = self.plan.get();
        plan.is_none_or(|p| finish <= p.end || start < p.refusing_from)
    }

    /// Waits until work that may last until `finish` is refused.
    async fn refused(&self, finish: Instant) {
        self.reached(|p| (finish > p.end).then_some(p.refusing_from))
            .await;
    }

    /// Waits until a time of the plan, if it has that.
    async fn reached(&self, time: impl Fn(&Plan) -> Option<Instant>) {
        loop {
            let changed = self.changed.notified();
            match self.plan.get().as_ref().and_then(&time) {
                None => changed.await,
                Some(at) => {
                    if timeout_at(at, changed).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Ends when this instance gives requests that are still open their final response.
    pub(crate) fn over(&self) -> Notified<'_> {
        self.over.notified()
    }
}

/// The stops that bind a connection: that of this instance, and that of the entry whose process has
/// the caller's connection.
#[derive(Clone, Debug)]
pub(crate) struct Stops<'a> {
    own: &'a Stop,
    entry: Option<Rc<Stop>>,
}

impl<'a> Stops<'a> {
    pub(crate) fn new(own: &'a Stop, entry: Option<Rc<Stop>>) -> Self {
        Self { own, entry }
    }

    fn all(&self) -> impl Iterator<Item = &Stop> {
        [Some(self.own), self.entry.as_deref()]
            .into_iter()
            .flatten()
    }

    pub(crate) fn have_begun(&self) -> bool {
        self.all().any(Stop::has_begun)
    }

    /// Milliseconds left for requests, if a stop has begun.
    pub(crate) fn left_ms(&self) -> Option<u64> {
        self.all().filter_map(Stop::left_ms).min()
    }

    /// Whether work that may last until `finish` may begin at `start`.
    pub(crate) fn admit(&self, start: Instant, finish: Instant) -> bool {
        self.all().all(|s| s.admits(start, finish))
    }

    /// Waits until work that may last until `finish` is refused.
    pub(crate) async fn refused(&self, finish: Instant) {
        let Some(entry) = &self.entry else {
            return self.own.refused(finish).await;
        };
        tokio::select! {
            () = self.own.refused(finish) => {}
            () = entry.refused(finish) => {}
        }
    }

    /// Ends when requests that are still open have to get their final response.
    pub(crate) async fn over(&self) {
        let Some(entry) = &self.entry else {
            return self.own.over().await;
        };
        tokio::select! {
            () = self.own.over() => {}
            () = entry.reached(|p| Some(p.end)) => {}
        }
    }
}

fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
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
    let handed_over = handover::given(gate);
    tracing::info!(event = "stopped", left_ms, open, cut, handed_over);
}
