//! Figures of a run: fairness over windows, utilisation, new work at endpoints.
//!
//! They are computed from what callers received and from what the endpoints counted, never from
//! what the fleet says of itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::load_result::{AccountResult, BUCKET, LoadResult};
use crate::name::AccountName;
use crate::outside::{Reading, Sample};

/// Window over which service is compared.
pub const WINDOW: Duration = Duration::from_secs(10);

/// Part of a run, in time since its start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    /// Start.
    pub from: Duration,
    /// End.
    pub to: Duration,
}

impl Span {
    /// The part between two times in seconds.
    #[must_use]
    pub fn seconds(from: u64, to: u64) -> Self {
        Self {
            from: Duration::from_secs(from),
            to: Duration::from_secs(to),
        }
    }

    /// Its length.
    #[must_use]
    pub fn length(&self) -> Duration {
        self.to.saturating_sub(self.from)
    }
}

/// Largest over smallest service per share of `accounts`, in the worst window of `span`.
///
/// `None` if the span is shorter than a window or there are fewer than two accounts. Infinite if
/// an account received nothing in a window.
#[must_use]
pub fn fairness_gap(result: &LoadResult, accounts: &[AccountName], span: Span) -> Option<f64> {
    let lines: Vec<Vec<f64>> = result
        .accounts
        .iter()
        .filter(|a| accounts.contains(&a.account))
        .map(service_per_share)
        .collect();
    let (first, last) = (buckets(span.from), buckets(span.to));
    let width = buckets(WINDOW);
    if lines.len() < 2 || first + width > last {
        return None;
    }
    (first..=last - width)
        .map(|start| window_gap(&lines, start, start + width))
        .max_by(f64::total_cmp)
}

/// Service per share in each bucket.
#[must_use]
pub fn service_per_share(account: &AccountResult) -> Vec<f64> {
    let length = account.sources.iter().map(|s| s.series.len()).max();
    let share = f64::from(account.share.max(1));
    (0..length.unwrap_or_default())
        .map(|bucket| {
            let sources = account.sources.iter();
            let sum: u64 = sources.filter_map(|s| s.series.get(bucket)).sum();
            whole(sum) / share
        })
        .collect()
}

fn window_gap(lines: &[Vec<f64>], from: usize, to: usize) -> f64 {
    let sums = lines.iter().map(|line| {
        let end = to.min(line.len());
        let window = line.get(from.min(end)..end).unwrap_or_default();
        // The sum of no floats is negative zero.
        window.iter().fold(0.0, |sum, service| sum + service)
    });
    let (least, most) = sums.fold((f64::INFINITY, 0.0_f64), |(least, most), sum| {
        (least.min(sum), most.max(sum))
    });
    if most == 0.0 {
        return 1.0;
    }
    most / least
}

fn buckets(time: Duration) -> usize {
    usize::try_from(time.as_micros() / BUCKET.as_micros()).unwrap_or(usize::MAX)
}

/// The sum over endpoints of what `value` gained within `span`.
///
/// `is_counted` tells by its place whether an endpoint counts.
#[must_use]
pub fn gained(
    samples: &[Sample],
    span: Span,
    is_counted: impl Fn(usize) -> bool,
    value: impl Fn(&Reading) -> u64,
) -> u64 {
    let total = |sample: &Sample| -> u64 {
        let readings = sample.readings.iter().enumerate();
        readings
            .filter(|(place, _)| is_counted(*place))
            .map(|(_, r)| value(r))
            .sum()
    };
    ends(samples, span).map_or(0, |(first, last)| total(last) - total(first))
}

/// What `value` gained a second, between the first and the last sample within `span`.
///
/// `None` without two samples.
#[must_use]
pub fn gain_rate(
    samples: &[Sample],
    span: Span,
    is_counted: impl Fn(usize) -> bool,
    value: impl Fn(&Reading) -> u64,
) -> Option<f64> {
    let (first, last) = ends(samples, span)?;
    let time = last.at.saturating_sub(first.at).as_secs_f64();
    let gain = whole(gained(samples, span, is_counted, value));
    (time > 0.0).then(|| gain / time)
}

/// The first and the last sample within `span`.
fn ends(samples: &[Sample], span: Span) -> Option<(&Sample, &Sample)> {
    let within = samples.iter();
    let mut within = within.filter(|s| s.at >= span.from && s.at <= span.to);
    Some((within.next()?, within.next_back()?))
}

/// Slot time used over slot time borne within `span`, `None` without samples.
#[must_use]
pub fn utilisation(
    samples: &[Sample],
    span: Span,
    is_counted: impl Fn(usize) -> bool,
) -> Option<f64> {
    let busy = gained(samples, span, &is_counted, |r| r.busy);
    let borne = gained(samples, span, &is_counted, |r| r.borne);
    (borne > 0).then(|| whole(busy) / whole(borne))
}

/// A count as a float; exact below 2^53.
#[must_use]
pub fn whole(count: u64) -> f64 {
    let high = u32::try_from(count >> 32).unwrap_or(u32::MAX);
    let low = u32::try_from(count & u64::from(u32::MAX)).unwrap_or(u32::MAX);
    f64::from(high) * 4_294_967_296.0 + f64::from(low)
}
