//! What the fleet promises, held against a run.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::figures::{Span, gained};
use crate::load_result::{AccountResult, LoadResult};
use crate::name::CentreName;
use crate::outside::{Fake, Outside, Sample};

/// Time in which a data centre taken out may still receive new work.
pub const OUT_WITHIN: Duration = Duration::from_secs(3);
/// Attempts of one request that are looked for at the endpoints.
const ATTEMPTS: u32 = 8;

/// A promise and whether it was kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Promise {
    /// What is promised.
    pub text: String,
    /// Whether it was kept.
    pub kept: bool,
    /// What was counted.
    pub seen: String,
}

impl Promise {
    /// A promise that something does not happen, and how often it did.
    #[must_use]
    pub fn never(text: &str, count: u64) -> Self {
        Self {
            text: text.to_owned(),
            kept: count == 0,
            seen: count.to_string(),
        }
    }
}

/// The promises about answers, refusals and runs.
#[must_use]
pub fn answer_promises(result: &LoadResult, outside: &Outside) -> Vec<Promise> {
    let counts = result.counts();
    vec![
        Promise::never("answers that are not whole or another call's", counts.wrong),
        Promise::never("answers cut", counts.cut + counts.foreign),
        Promise::never("calls without an end", counts.open),
        Promise::never("accounts without any answer", starved(result)),
        Promise::never("calls refused as not run that ran", untrue(result, outside)),
        Promise::never("calls that ran twice and may not", repeated(outside)),
        Promise::never("requests above what an endpoint bore", above(outside)),
    ]
}

/// The promise that a data centre taken out receives no new work after [`OUT_WITHIN`].
///
/// `out` is the span between the notes that took it out and brought it back.
#[must_use]
pub fn centre_promise(
    samples: &[Sample],
    outside: &Outside,
    centre: &CentreName,
    out: Span,
) -> Promise {
    let quiet = Span {
        from: out.from + OUT_WITHIN,
        to: out.to,
    };
    let is_there = |place: usize| {
        let endpoint = outside.endpoints.get(place);
        endpoint.is_some_and(|e| e.centre == *centre)
    };
    let new = gained(samples, quiet, is_there, |r| r.runs);
    Promise::never("new work at the data centre taken out, after 3 s", new)
}

/// Accounts that sent calls and got no answer.
fn starved(result: &LoadResult) -> u64 {
    let accounts = result.accounts.iter().map(AccountResult::counts);
    let starved = accounts.filter(|c| c.arrived > 0 && c.answered == 0);
    count(starved.count())
}

/// Calls refused as not run of which an endpoint has a run.
fn untrue(result: &LoadResult, outside: &Outside) -> u64 {
    let ran: BTreeSet<String> = outside
        .endpoints
        .iter()
        .flat_map(|e| keys_of(&e.fake))
        .map(|(key, _)| key)
        .collect();
    let refused = result.not_run.iter();
    let untrue = refused.filter(|call| {
        let has_key = call.key.as_ref().is_some_and(|k| ran.contains(k));
        let attempts = (0..ATTEMPTS).map(|n| format!("{}-{n}", call.request));
        has_key || attempts.into_iter().any(|a| outside.runs(&a) > 0)
    });
    count(untrue.count())
}

/// Idempotency keys that ran more than once, at all endpoints together.
fn repeated(outside: &Outside) -> u64 {
    let mut seen = BTreeSet::new();
    let keys = outside.endpoints.iter().flat_map(|e| keys_of(&e.fake));
    count(
        keys.filter(|(key, runs)| *runs > 1 || !seen.insert(key.clone()))
            .count(),
    )
}

fn above(outside: &Outside) -> u64 {
    outside.readings().iter().map(|r| r.above).sum()
}

/// Runs by idempotency key.
fn keys_of(fake: &Fake) -> Vec<(String, u64)> {
    match fake {
        Fake::Engine(_) => Vec::new(),
        Fake::Plain(service) => service.runs().keys.into_iter().collect(),
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
