//! Whether the canary answers worse than the baseline.
//!
//! The rates of failures and of slow answers are compared on each route and over all routes, within
//! the same spans of time, since endpoints of both versions fail and slow down for other reasons as
//! well. The log-likelihood ratio of the canary's rate against a tolerated one is the test
//! statistic: for a rate within the tolerance it exceeds `x` with a probability below `exp(-x)` in
//! one comparison.

use std::collections::BTreeMap;

use crate::gateway::rollout::evidence::{Evidence, GROUPS, RouteTally, Tally};

/// Statistic from which a version is bad. A version at the tolerated rate exceeds it in less than 1 of
/// 20,000 comparisons; a good one is well below that rate.
const BAD_STATISTIC: f64 = 10.0;
/// Statistic that the other groups must reach without the worst group of endpoints.
const REST_STATISTIC: f64 = 2.0;
/// Answers of the other groups from which they are asked.
const MIN_REST: u32 = 6;
/// Rate of the worst group relative to the others' from which it alone is at fault.
const ISOLATED_FACTOR: f64 = 5.0;
/// Answers of the others that this needs.
const MIN_CLEAR: u32 = 20;
/// Baseline answers within a span from which they are compared; else all since the order are.
const MIN_BASELINE: u32 = 30;
/// Baseline answers for each of the canary that this needs as well.
const BASELINE_FACTOR: u32 = 10;
/// Excess of the rate of bad answers over the tolerated one that a completion rules out.
const BAD_EXCESS: f64 = 0.1;
/// Statistic against that rate: a version of that kind passes in less than 1 of 20.
const CLEAR_STATISTIC: f64 = 3.0;
/// Tolerated excess of the canary's rate, relative to the baseline's.
const TOLERATED_FACTOR: f64 = 1.5;
/// Tolerated excess of the failure rate.
const TOLERATED_FAILURES: f64 = 0.015;
/// Tolerated excess of the rate of slow answers.
const TOLERATED_SLOW: f64 = 0.05;
/// Tolerated failure rate if there is no baseline.
const ASSUMED_FAILURES: f64 = 0.05;
/// Highest tolerated rate.
const MAX_TOLERATED: f64 = 0.9;
/// Classes of time above the baseline's median from which an answer is slow: 2 to 2.8 times.
const SLOW_CLASSES: usize = 3;

/// Result of all comparisons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Findings {
    /// Largest statistic, without a group that alone is at fault.
    pub(crate) suspicion: f64,
    /// Whether the version is bad.
    pub(crate) is_bad: bool,
}

/// Answers, and how many of them are bad.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    answers: u32,
    bad: u32,
}

impl Count {
    fn sum(counts: &[Self]) -> Self {
        Self {
            answers: counts.iter().map(|c| c.answers).sum(),
            bad: counts.iter().map(|c| c.bad).sum(),
        }
    }

    fn rate(self) -> f64 {
        (f64::from(self.bad) + 0.5) / (f64::from(self.answers) + 1.0)
    }

    /// Log-likelihood ratio of the observed rate against another one.
    fn ratio(self, other: f64) -> f64 {
        let answers = f64::from(self.answers);
        let rate = f64::from(self.bad) / answers.max(1.0);
        let term = |part: f64, other: f64| {
            if part > 0.0 {
                part * (part / other).ln()
            } else {
                0.0
            }
        };
        answers * (term(rate, other) + term(1.0 - rate, 1.0 - other))
    }

    /// Statistic against a tolerated rate, zero if the observed one is lower.
    fn statistic(self, tolerated: f64) -> f64 {
        let is_above = f64::from(self.bad) > f64::from(self.answers) * tolerated;
        if is_above { self.ratio(tolerated) } else { 0.0 }
    }

    /// Statistic against a bad rate, zero if the observed one is higher.
    fn clearance(self, bad: f64) -> f64 {
        let is_below = f64::from(self.bad) < f64::from(self.answers) * bad;
        if is_below {
            self.ratio(bad.min(MAX_TOLERATED))
        } else {
            0.0
        }
    }
}

/// Counts of the canary's groups, and the tolerated rate.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    groups: [Count; GROUPS],
    tolerated: f64,
}

impl Comparison {
    fn find(&self, endpoints: usize) -> Findings {
        let total = Count::sum(&self.groups);
        let statistic = total.statistic(self.tolerated);
        let worst = self.groups.iter().max_by_key(|g| g.bad);
        let worst = worst.copied().unwrap_or_default();
        let rest = Count {
            answers: total.answers - worst.answers,
            bad: total.bad - worst.bad,
        };
        // One endpoint may be at fault, rather than its version.
        let is_shared = if endpoints <= 1 {
            true
        } else if rest.answers < MIN_REST {
            statistic >= 2.0 * BAD_STATISTIC
        } else {
            rest.statistic(self.tolerated) >= REST_STATISTIC
        };
        let is_isolated = endpoints > 1
            && rest.answers >= MIN_CLEAR
            && worst.rate() >= ISOLATED_FACTOR * rest.rate();
        Findings {
            suspicion: if is_isolated {
                rest.statistic(self.tolerated)
            } else {
                statistic
            },
            is_bad: statistic >= BAD_STATISTIC && is_shared,
        }
    }

    /// Comparison over several routes.
    fn joined(routes: &[Self]) -> Self {
        let mut groups = [Count::default(); GROUPS];
        let mut expected = 0.0;
        for route in routes {
            for (group, count) in groups.iter_mut().zip(&route.groups) {
                *group = Count::sum(&[*group, *count]);
            }
            expected += f64::from(Count::sum(&route.groups).answers) * route.tolerated;
        }
        let answers = f64::from(Count::sum(&groups).answers);
        Self {
            groups,
            tolerated: expected / answers.max(1.0),
        }
    }
}

fn tolerated(baseline: Count, excess: f64) -> f64 {
    (baseline.rate() * TOLERATED_FACTOR + excess).min(MAX_TOLERATED)
}

fn failed(tally: &Tally) -> Count {
    Count {
        answers: tally.answers(),
        bad: tally.failed,
    }
}

/// Compares failures on a route.
fn failures(route: &RouteTally, baseline: &Tally) -> Comparison {
    let base = failed(baseline);
    let tolerated = if base.answers < MIN_BASELINE {
        ASSUMED_FAILURES
    } else {
        tolerated(base, TOLERATED_FAILURES)
    };
    Comparison {
        groups: route.canary.each_ref().map(failed),
        tolerated,
    }
}

/// Compares slow answers on a route, if the baseline has enough.
fn slowness(route: &RouteTally, baseline: &Tally) -> Option<Comparison> {
    if baseline.timed() < MIN_BASELINE {
        return None;
    }
    let slow = baseline.median() + SLOW_CLASSES;
    let count = |tally: &Tally| Count {
        answers: tally.timed(),
        bad: tally.count_from(slow),
    };
    Some(Comparison {
        groups: route.canary.each_ref().map(count),
        tolerated: tolerated(count(baseline), TOLERATED_SLOW),
    })
}

/// The hardest seconds of the baseline so far: what the canary is compared with while the baseline
/// gets nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hardest(BTreeMap<String, HardestRoute>);

#[derive(Clone, Debug, Default)]
struct HardestRoute {
    /// With the highest failure rate.
    failing: Tally,
    /// With the highest median time.
    slow: Tally,
}

impl Hardest {
    /// Takes a second into account.
    pub(crate) fn note(&mut self, second: &Evidence) {
        for route in second.routes() {
            let tally = &route.baseline;
            if tally.timed() < MIN_BASELINE {
                continue;
            }
            let hardest = self.0.entry(route.route.clone()).or_default();
            if failed(tally).rate() > failed(&hardest.failing).rate()
                || hardest.failing.answers() == 0
            {
                hardest.failing = tally.clone();
            }
            if tally.median() > hardest.slow.median() {
                hardest.slow = tally.clone();
            }
        }
    }
}

/// Judges a version by its answers since the order, and since some `earlier` states. `endpoints` is
/// the number of its endpoints.
pub(crate) fn judge(
    whole: &Evidence,
    earlier: &[&Evidence],
    hardest: &Hardest,
    endpoints: usize,
) -> Findings {
    let mut findings = judge_span(whole, whole, hardest, endpoints);
    for state in earlier {
        let found = judge_span(whole, &whole.since(state), hardest, endpoints);
        findings.suspicion = findings.suspicion.max(found.suspicion);
        findings.is_bad |= found.is_bad;
    }
    findings
}

fn judge_span(whole: &Evidence, span: &Evidence, hardest: &Hardest, endpoints: usize) -> Findings {
    let (failing, slow) = compare(whole, span, hardest);
    let mut findings = Findings::default();
    let joined = [Comparison::joined(&failing), Comparison::joined(&slow)];
    for comparison in failing.iter().chain(&slow).chain(&joined) {
        let found = comparison.find(endpoints);
        findings.suspicion = findings.suspicion.max(found.suspicion);
        findings.is_bad |= found.is_bad;
    }
    findings
}

/// Whether the answers of `span` rule out that the version is bad by [`BAD_EXCESS`] or more.
pub(crate) fn is_clear(whole: &Evidence, span: &Evidence, hardest: &Hardest) -> bool {
    let (failing, slow) = compare(whole, span, hardest);
    let is_clear = |comparisons: &[Comparison]| {
        let joined = Comparison::joined(comparisons);
        let total = Count::sum(&joined.groups);
        total.clearance(joined.tolerated + BAD_EXCESS) >= CLEAR_STATISTIC
    };
    is_clear(&failing) && (slow.is_empty() || is_clear(&slow))
}

/// Comparisons of failures, and of slow answers, on each route.
fn compare(
    whole: &Evidence,
    span: &Evidence,
    hardest: &Hardest,
) -> (Vec<Comparison>, Vec<Comparison>) {
    let mut failing = Vec::new();
    let mut slow = Vec::new();
    for route in span.routes() {
        let all = whole.route(&route.route).map(|r| &r.baseline);
        let all = all.unwrap_or(&route.baseline);
        let hardest = hardest.0.get(&route.route);
        // Without enough answers at the same time, the baseline's worst ones count.
        let enough = MIN_BASELINE.max(BASELINE_FACTOR * route.canary_answers());
        if route.baseline.answers() >= enough {
            failing.push(failures(route, &route.baseline));
            slow.extend(slowness(route, &route.baseline));
            continue;
        }
        let failed_most = hardest.map_or(all, |h| &h.failing);
        let is_harder = failed(failed_most).rate() > failed(all).rate();
        failing.push(failures(route, if is_harder { failed_most } else { all }));
        let slowest = hardest.map_or(all, |h| &h.slow);
        let is_harder = slowest.median() > all.median();
        slow.extend(slowness(route, if is_harder { slowest } else { all }));
    }
    (failing, slow)
}
