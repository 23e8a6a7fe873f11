//! Which account's streams an instance refuses when it is short of processor time and no neighbour
//! takes its connections.
//!
//! Each account keeps at most the same number of recent requests (max-min), so that those with the
//! fewest are refused last.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::handover::usage::decay;
use crate::gateway::number::to_f64;
use crate::moment::Moment;
use crate::name::AccountName;

/// Time over which requests are counted: half of the span over which shares are judged.
const COUNTING_TIME: Duration = Duration::from_secs(3);
/// Count below which an account is forgotten.
const MIN_COUNT: f64 = 0.05;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    at: Moment,
    requests: f64,
}

impl Count {
    fn get(&self, now: Moment) -> f64 {
        self.requests * decay(now.since(self.at), COUNTING_TIME)
    }
}

/// Recent requests of accounts at this instance, refused ones included.
#[derive(Debug, Default)]
pub(crate) struct RecentRequests {
    counts: HashMap<AccountName, Count>,
}

impl RecentRequests {
    pub(crate) fn count(&mut self, now: Moment, account: &AccountName) {
        let count = self.counts.entry(account.clone()).or_default();
        *count = Count {
            at: now,
            requests: count.get(now) + 1.0,
        };
    }

    pub(crate) fn remove_expired(&mut self, now: Moment) {
        self.counts.retain(|_, count| count.get(now) >= MIN_COUNT);
    }

    /// Share of an account's requests to refuse, so that `excess` of all are.
    pub(crate) fn shed_share(&self, now: Moment, account: &AccountName, excess: f64) -> f64 {
        let Some(own) = self.counts.get(account).map(|c| c.get(now)) else {
            return 0.0;
        };
        let mut counts: Vec<f64> = self.counts.values().map(|c| c.get(now)).collect();
        counts.sort_by(f64::total_cmp);
        let mut kept = (1.0 - excess) * counts.iter().sum::<f64>();
        for (at, count) in counts.iter().enumerate() {
            let level = kept / to_f64(counts.len() - at);
            if *count >= level {
                return (1.0 - level / own).max(0.0);
            }
            kept -= count;
        }
        0.0
    }
}
