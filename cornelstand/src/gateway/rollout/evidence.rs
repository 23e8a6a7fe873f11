//! Counters of answers by route and side.
//!
//! All counters only grow, so that reports of one process merge by maximum and those of several
//! processes add up.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::number::to_u64;

/// Groups of canary endpoints that are counted apart: a version is bad on more than one.
pub(crate) const GROUPS: usize = 3;
/// Classes of time per doubling.
const CLASSES_PER_OCTAVE: f64 = 2.0;
/// Last class of time, from 16 s on.
const LAST_CLASS: u64 = 28;

/// Class of the time to the first byte.
fn class(first: Duration) -> usize {
    let millis = (first.as_secs_f64() * 1e3).max(1.0);
    let class = to_u64(millis.log2() * CLASSES_PER_OCTAVE).min(LAST_CLASS);
    usize::try_from(class).unwrap_or_default()
}

/// Answers of some endpoints on one route.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Tally {
    pub(crate) failed: u32,
    /// Good answers that are not judged by their time.
    pub(crate) untimed: u32,
    /// Good answers by class of time.
    pub(crate) times: Vec<u32>,
}

impl Tally {
    pub(crate) fn timed(&self) -> u32 {
        self.times.iter().sum()
    }

    pub(crate) fn answers(&self) -> u32 {
        self.failed + self.untimed + self.timed()
    }

    fn count_good(&mut self, first: Option<Duration>) {
        let Some(first) = first else {
            self.untimed += 1;
            return;
        };
        let class = class(first);
        if self.times.len() <= class {
            self.times.resize(class + 1, 0);
        }
        self.times[class] += 1;
    }

    /// Median class of the timed answers.
    pub(crate) fn median(&self) -> usize {
        let half = self.timed().div_ceil(2);
        let mut below = 0;
        let is_median = |count: &u32| {
            below += count;
            below >= half
        };
        self.times.iter().position(is_median).unwrap_or_default()
    }

    /// Timed answers of `class` and above.
    pub(crate) fn count_from(&self, class: usize) -> u32 {
        self.times.iter().skip(class).sum()
    }

    /// Combines the counters with those of `other` one by one.
    fn combine(&mut self, other: &Self, operation: impl Fn(u32, u32) -> u32) {
        self.failed = operation(self.failed, other.failed);
        self.untimed = operation(self.untimed, other.untimed);
        if self.times.len() < other.times.len() {
            self.times.resize(other.times.len(), 0);
        }
        for (time, other) in self.times.iter_mut().zip(&other.times) {
            *time = operation(*time, *other);
        }
    }

    /// Sum of tallies.
    pub(crate) fn sum<'a>(tallies: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut sum = Self::default();
        for tally in tallies {
            sum.combine(tally, u32::saturating_add);
        }
        sum
    }
}

/// Answers on one route.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct RouteTally {
    pub(crate) route: String,
    pub(crate) baseline: Tally,
    /// Answers of the canary, by group of endpoints.
    pub(crate) canary: [Tally; GROUPS],
}

impl RouteTally {
    fn new(route: &str) -> Self {
        Self {
            route: route.to_owned(),
            ..Self::default()
        }
    }

    fn combine(&mut self, other: &Self, operation: impl Fn(u32, u32) -> u32) {
        self.baseline.combine(&other.baseline, &operation);
        for (group, other) in self.canary.iter_mut().zip(&other.canary) {
            group.combine(other, &operation);
        }
    }

    /// Answers of the canary.
    pub(crate) fn canary_answers(&self) -> u32 {
        self.canary.iter().map(Tally::answers).sum()
    }
}

/// Answers on all routes to a service, sorted by route.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub(crate) struct Evidence(Vec<RouteTally>);

impl Evidence {
    pub(crate) fn routes(&self) -> &[RouteTally] {
        &self.0
    }

    pub(crate) fn route(&self, route: &str) -> Option<&RouteTally> {
        let index = self.0.binary_search_by(|r| r.route.as_str().cmp(route));
        self.0.get(index.ok()?)
    }

    fn route_mut(&mut self, route: &str) -> &mut RouteTally {
        let index = self.0.binary_search_by(|r| r.route.as_str().cmp(route));
        let index = index.unwrap_or_else(|index| {
            self.0.insert(index, RouteTally::new(route));
            index
        });
        &mut self.0[index]
    }

    /// Counts an answer of the baseline, or of a group of the canary.
    pub(crate) fn count(&mut self, route: &str, group: Option<usize>, outcome: Outcome) {
        let route = self.route_mut(route);
        let tally = match group {
            Some(group) => &mut route.canary[group % GROUPS],
            None => &mut route.baseline,
        };
        match outcome {
            Outcome::Good(first) => tally.count_good(first),
            Outcome::Failed => tally.failed += 1,
        }
    }

    fn combine(&mut self, other: &Self, operation: impl Fn(u32, u32) -> u32) {
        for route in &other.0 {
            self.route_mut(&route.route).combine(route, &operation);
        }
    }

    /// Adds the counters of another process.
    pub(crate) fn add(&mut self, other: &Self) {
        self.combine(other, u32::saturating_add);
    }

    /// Merges a report of the same process, and adds what it counts more to `sum`.
    pub(crate) fn merge(&mut self, report: &Self, sum: &mut Self) {
        if self == report {
            return;
        }
        let before = self.clone();
        self.combine(report, u32::max);
        sum.add(&self.since(&before));
    }

    /// Counts since an earlier state.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let mut since = self.clone();
        since.combine(earlier, u32::saturating_sub);
        since
    }

    pub(crate) fn canary_answers(&self) -> u32 {
        self.0.iter().map(RouteTally::canary_answers).sum()
    }

    pub(crate) fn baseline_answers(&self) -> u32 {
        self.0.iter().map(|r| r.baseline.answers()).sum()
    }
}

/// What an answer counts as.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// Good, with the time to its first byte if that is to be judged.
    Good(Option<Duration>),
    Failed,
}
