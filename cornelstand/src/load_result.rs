//! What a workload met: outcomes, waits and service over time.

use std::time::Duration;

use derive_more::{Add, AddAssign, Sum};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::moment::micros;
use crate::name::AccountName;

/// Length of one entry of a service series.
pub const BUCKET: Duration = Duration::from_millis(250);
/// Significant digits of a histogram.
const DIGITS: u8 = 3;
/// Longest time that a histogram tells apart, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// Result of a workload.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadResult {
    /// Seed of the workload.
    pub seed: u64,
    /// Milliseconds for which calls arrived.
    pub length: u64,
    /// Results by account, in the order of the workload.
    pub accounts: Vec<AccountResult>,
    /// Calls that were refused as not run.
    #[serde(skip)]
    pub not_run: Vec<Refused>,
}

/// A call that was refused as not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Request identity in the answer.
    pub request: String,
    /// Idempotency key of the call.
    pub key: Option<String>,
}

/// Result of one account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountResult {
    /// The account.
    pub account: AccountName,
    /// Its share.
    pub share: u32,
    /// Results by source.
    pub sources: Vec<SourceResult>,
}

/// Result of one source.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SourceResult {
    /// Name of the source.
    pub label: String,
    /// Outcomes of its calls.
    pub counts: Outcomes,
    /// Microseconds from a call's arrival to the first byte of its answer's body.
    pub wait: Quantiles,
    /// Microseconds from a call's arrival to the end of its answer.
    pub whole: Quantiles,
    /// Service received in each [`BUCKET`] since the start, in tokens or milliseconds.
    pub series: Vec<u64>,
}

/// Outcomes of calls.
#[derive(
    Add, AddAssign, Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize, Sum,
)]
pub struct Outcomes {
    /// Calls that arrived.
    pub arrived: u64,
    /// Answers that were whole and the call's own.
    pub answered: u64,
    /// Refusals with the outcome `not-run`.
    pub not_run: u64,
    /// Refusals with the outcome `unknown`.
    pub unknown: u64,
    /// Refusals with the outcome `failed`.
    pub failed: u64,
    /// Answers that ended with an error after they began, or connections that were lost.
    pub cut: u64,
    /// Answers that ended cleanly but were short or another call's.
    pub wrong: u64,
    /// Answers without a status that the protocol knows.
    pub foreign: u64,
    /// Calls without an end when the workload ended.
    pub open: u64,
    /// Calls that were not sent, because too many were open.
    pub unsent: u64,
}

impl Outcomes {
    /// All refusals.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.not_run + self.unknown + self.failed
    }
}

/// Quantiles of a time, in microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95 of 100 are below.
    pub p95: u64,
    /// 99 of 100 are below.
    pub p99: u64,
    /// Largest value.
    pub max: u64,
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.50),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}

impl AccountResult {
    /// Outcomes over all sources.
    #[must_use]
    pub fn counts(&self) -> Outcomes {
        self.sources.iter().map(|s| s.counts).sum()
    }

    /// The source with this label.
    #[must_use]
    pub fn source(&self, label: &str) -> Option<&SourceResult> {
        self.sources.iter().find(|s| s.label == label)
    }

    /// Service received over all sources.
    #[must_use]
    pub fn service(&self) -> u64 {
        self.sources.iter().map(SourceResult::service).sum()
    }
}

impl SourceResult {
    /// Service received over the whole time.
    #[must_use]
    pub fn service(&self) -> u64 {
        self.series.iter().sum()
    }
}

impl LoadResult {
    /// Outcomes over all accounts.
    #[must_use]
    pub fn counts(&self) -> Outcomes {
        self.accounts.iter().map(AccountResult::counts).sum()
    }
}

/// Running record of one source.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) label: String,
    pub(crate) counts: Outcomes,
    pub(crate) wait: Histogram<u64>,
    pub(crate) whole: Histogram<u64>,
    pub(crate) series: Vec<u64>,
    pub(crate) not_run: Vec<Refused>,
}

impl Record {
    pub(crate) fn new(label: &str) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("the bounds are in range");
        Self {
            label: label.to_owned(),
            counts: Outcomes::default(),
            wait: histogram(),
            whole: histogram(),
            series: Vec::new(),
            not_run: Vec::new(),
        }
    }

    /// Adds service received at a time since the start.
    pub(crate) fn serve(&mut self, since: Duration, service: u64) {
        let bucket = usize::try_from(since.as_micros() / BUCKET.as_micros()).unwrap_or(usize::MAX);
        if self.series.len() <= bucket {
            self.series.resize(bucket + 1, 0);
        }
        self.series[bucket] += service;
    }

    pub(crate) fn wait(&mut self, time: Duration) {
        self.wait.saturating_record(micros(time));
    }

    pub(crate) fn whole(&mut self, time: Duration) {
        self.whole.saturating_record(micros(time));
    }

    pub(crate) fn result(&self) -> SourceResult {
        SourceResult {
            label: self.label.clone(),
            counts: self.counts,
            wait: Quantiles::of(&self.wait),
            whole: Quantiles::of(&self.whole),
            series: self.series.clone(),
        }
    }
}
