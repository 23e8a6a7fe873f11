//! What endpoints tell of their load and speed in their answers.
//!
//! A report is already old when it arrives, and the speed in it changes many times a second. So a
//! report counts for [`REPORT_LIFETIME`] at most, less the older it is and the worse earlier reports
//! foretold the next ones. What remains is the endpoint's usual pace, from the mean speed in the
//! reports of all instances. Requests that this instance or
//! its peers sent or ended after the report are counted in. Only endpoints that tell their pace are
//! treated so; the counts of others are not used.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::IsVariant;
use serde::{Deserialize, Serialize};

use crate::gateway::number::to_f32;
use crate::moment::Moment;

/// Age at which a report says nothing more about the present than the usual pace does.
const REPORT_LIFETIME: Duration = Duration::from_millis(600);
/// Reports over which the usual pace is averaged: the present pace of any one is mostly chance.
const USUAL_REPORTS: f64 = 40.0;
/// Least age of a report against which the next one is compared: answers that come together say
/// nothing about change.
const MIN_CHECKED_AGE: Duration = Duration::from_millis(20);
/// Weight of a new report in the moving averages of the errors of the two predictions.
const ERROR_WEIGHT: f64 = 0.1;
/// Accepted paces: one hundredth to a hundred times the usual time for the same work.
const PACE_BOUNDS: (f64, f64) = (0.01, 100.0);
/// Largest accepted count of requests or slots.
const MAX_COUNT: u32 = 100_000;
/// Time after which an unchanged pace is told to peers again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Change of the average of new reports against the usual pace that is told to peers.
const TOLD_CHANGE: f64 = 0.1;
/// Most endpoints in one message, so that it fits a datagram beside the rest.
pub(crate) const MAX_TOLD: usize = 64;

/// Load that an endpoint tells in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadReport {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    /// Time that work takes at this moment, as a multiple of the usual time, if it is told.
    pub(crate) pace: Option<f64>,
}

impl LoadReport {
    /// Whether all figures are in the range of a working endpoint.
    pub(crate) fn is_sound(&self) -> bool {
        let counts = [self.running, self.waiting, self.slots];
        let is_pace = |p: f64| (PACE_BOUNDS.0..=PACE_BOUNDS.1).contains(&p);
        counts.into_iter().all(|c| c <= MAX_COUNT)
            && self.slots > 0
            && self.pace.is_none_or(is_pace)
    }
}

/// What an answer says of its endpoint's load.
#[derive(Clone, Copy, Debug, Default, IsVariant, PartialEq)]
pub(crate) enum ToldLoad {
    #[default]
    Missing,
    /// Figures that cannot be read or are absurd.
    Unreadable,
    Report(LoadReport),
}

/// Belief about the load and speed of one endpoint that tells its pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SpeedBelief {
    /// Mean speed, the inverse of the pace, over the last reports of all instances: a queue is worked
    /// off at this speed.
    speed: f64,
    reports: f64,
    latest: f64,
    at: Moment,
    /// Requests that the endpoint had, and how many of them this instance knew of.
    counted: Option<(u32, u32)>,
    unsent: Unsent,
    /// Mean squared errors of the speed in the latest report and of the mean speed as predictions of
    /// the next report.
    errors: (f64, f64),
}

/// Own reports that peers have not been told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Unsent {
    sum: f64,
    count: f64,
    told: Option<Moment>,
}

impl SpeedBelief {
    /// Starts from a first report or news of a peer.
    fn new(now: Moment, pace: f64) -> Self {
        Self {
            speed: 1.0 / pace,
            errors: (0.0, 0.0),
            reports: 0.0,
            latest: pace,
            at: now,
            counted: None,
            unsent: Unsent::default(),
        }
    }

    fn average(&mut self, speed: f64, count: f64) {
        self.reports = (self.reports + count).min(USUAL_REPORTS);
        self.speed += (speed - self.speed) * (count / self.reports.max(1.0)).min(1.0);
    }

    /// Compares a new report with both predictions, if the latest one was still fresh.
    fn check(&mut self, now: Moment, speed: f64) {
        let age = now.since(self.at);
        if age >= REPORT_LIFETIME || age < MIN_CHECKED_AGE {
            return;
        }
        let latest = speed - 1.0 / self.latest;
        let mean = speed - self.speed;
        self.errors.0 += ERROR_WEIGHT * (latest * latest - self.errors.0);
        self.errors.1 += ERROR_WEIGHT * (mean * mean - self.errors.1);
    }

    /// Share of the latest report that still counts.
    fn freshness(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        (1.0 - age).max(0.0)
    }

    /// Share of a report that foretells the next ones, from 0 to 1.
    fn trust(&self) -> f64 {
        let (latest, mean) = self.errors;
        if latest <= 0.0 {
            return 1.0;
        }
        // Two unrelated reports differ by twice the variance.
        (1.0 - 0.5 * latest / mean.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }

    /// Expected time for work, as a multiple of the usual time.
    pub(crate) fn pace(&self, now: Moment) -> f64 {
        let usual = self.usual();
        usual + (self.latest - usual) * self.freshness(now) * self.trust()
    }

    /// Pace of the mean speed.
    pub(crate) fn usual(&self) -> f64 {
        1.0 / self.speed
    }

    /// Whether work does not take the usual time in the long run.
    pub(crate) fn is_unusual(&self) -> bool {
        (self.speed - 1.0).abs() > TOLD_CHANGE
    }

    /// Expected requests at the endpoint if `known` of them are known to this instance now. The
    /// report counts the less, the older it is.
    pub(crate) fn requests(&self, now: Moment, known: u32) -> f64 {
        let known = f64::from(known);
        let Some((told, known_then)) = self.counted else {
            return known;
        };
        let others = f64::from(told) - f64::from(known_then);
        (known + others * self.freshness(now)).max(0.0)
    }
}

/// Records a report. `known` is the number of requests that this instance knows to be there.
pub(crate) fn record_report(
    belief: &mut Option<SpeedBelief>,
    now: Moment,
    report: LoadReport,
    known: u32,
) {
    let Some(pace) = report.pace else {
        return;
    };
    let belief = belief.get_or_insert(SpeedBelief::new(now, pace));
    belief.check(now, 1.0 / pace);
    belief.average(1.0 / pace, 1.0);
    belief.latest = pace;
    belief.at = now;
    belief.counted = Some((report.running.saturating_add(report.waiting), known));
    belief.unsent.sum += 1.0 / pace;
    belief.unsent.count += 1.0;
}

/// News of an endpoint's pace, as sent to other instances.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PaceNews {
    /// See [`crate::gateway::peers::endpoint_key`].
    pub(crate) endpoint: u32,
    /// Mean speed over the sender's new reports.
    speed: f32,
    /// Number of these reports.
    count: u8,
    /// Pace in the latest of them, and its age in milliseconds.
    latest: f32,
    age: u16,
}

impl PaceNews {
    fn is_sound(&self) -> bool {
        let is_pace = |p: f32| (PACE_BOUNDS.0..=PACE_BOUNDS.1).contains(&f64::from(p));
        is_pace(self.speed) && is_pace(self.latest) && self.count > 0
    }
}

/// Applies news of a peer. They are not told on.
pub(crate) fn record_news(belief: &mut Option<SpeedBelief>, now: Moment, news: &PaceNews) {
    if !news.is_sound() {
        return;
    }
    let (speed, latest) = (f64::from(news.speed), f64::from(news.latest));
    let at = now.before(Duration::from_millis(u64::from(news.age)));
    let belief = belief.get_or_insert(SpeedBelief::new(at, 1.0 / speed));
    belief.average(speed, f64::from(news.count));
    if at > belief.at {
        belief.latest = latest;
        belief.at = at;
        // The count of requests in it stays with the instance that got the answer.
        belief.counted = None;
    }
}

/// Takes what is to be told to peers of one endpoint: its new reports, if they differ from what is
/// believed or nothing was told for a while.
pub(crate) fn take_news(endpoint: u32, belief: &mut SpeedBelief, now: Moment) -> Option<PaceNews> {
    let unsent = &mut belief.unsent;
    if unsent.count < 1.0 {
        return None;
    }
    let speed = unsent.sum / unsent.count;
    let is_due = unsent.told.is_none_or(|t| now.since(t) >= REPEAT_INTERVAL);
    if !is_due && (speed / belief.speed - 1.0).abs() < TOLD_CHANGE {
        return None;
    }
    let count = unsent.count;
    *unsent = Unsent {
        told: Some(now),
        ..Unsent::default()
    };
    let age = now.since(belief.at).as_millis();
    Some(PaceNews {
        endpoint,
        speed: to_f32(speed),
        count: bounded_count(count),
        latest: to_f32(belief.latest),
        age: u16::try_from(age).unwrap_or(u16::MAX),
    })
}

/// News of the instances of a data centre that its leader has not yet sent to the others.
#[derive(Debug, Default)]
pub(crate) struct NewsRelay {
    collected: HashMap<u32, (Moment, PaceNews)>,
}

impl NewsRelay {
    /// Collects news of this instance or of one of its data centre.
    pub(crate) fn collect(&mut self, now: Moment, news: &[PaceNews]) {
        for new in news.iter().filter(|n| n.is_sound()) {
            let at = now.before(Duration::from_millis(u64::from(new.age)));
            let Some((latest_at, known)) = self.collected.get_mut(&new.endpoint) else {
                if self.collected.len() < MAX_TOLD * 4 {
                    self.collected.insert(new.endpoint, (at, *new));
                }
                continue;
            };
            let (a, b) = (f32::from(known.count), f32::from(new.count));
            known.speed = (known.speed * a + new.speed * b) / (a + b);
            known.count = known.count.saturating_add(new.count);
            if at > *latest_at {
                *latest_at = at;
                known.latest = new.latest;
            }
        }
    }

    /// Takes the news for a digest, those of the oldest reports first.
    pub(crate) fn take(&mut self, now: Moment) -> Vec<PaceNews> {
        let mut due: Vec<(Moment, PaceNews)> = self.collected.values().copied().collect();
        due.sort_by_key(|(at, news)| (*at, news.endpoint));
        due.truncate(MAX_TOLD);
        let with_age = due.into_iter().map(|(at, mut news)| {
            news.age = u16::try_from(now.since(at).as_millis()).unwrap_or(u16::MAX);
            news
        });
        let taken: Vec<PaceNews> = with_age.collect();
        for news in &taken {
            self.collected.remove(&news.endpoint);
        }
        taken
    }

    /// Drops what is collected, for an instance that leads no data centre.
    pub(crate) fn clear(&mut self) {
        self.collected.clear();
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn bounded_count(count: f64) -> u8 {
    count as u8
}
