//! Per-instance quotas of fleet-wide limits.
//!
//! Retries and requests to cold endpoints are limited over the whole fleet, even while instances
//! cannot reach each other. Each instance therefore has a fixed quota, and the quotas of all
//! instances add up to less than the limit.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::gateway::number::{to_f64, to_u64};
use crate::moment::Moment;
use crate::name::ServiceName;

/// Fraction of a fleet-wide limit that is allotted; the rest covers instances not yet known.
const ALLOTTED_FRACTION: f64 = 0.8;

/// Retry limits set by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryRule {
    /// Retries per request.
    pub(crate) ratio: f64,
    /// Retries beyond the ratio, over the fleet.
    pub(crate) slack: f64,
    pub(crate) window: Duration,
}

#[derive(Debug, Default)]
struct RetryWindow {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// Retry quotas of one instance by service.
#[derive(Debug, Default)]
pub(crate) struct RetryQuota {
    services: HashMap<ServiceName, RetryWindow>,
}

impl RetryQuota {
    /// Counts an original request.
    pub(crate) fn count(&mut self, now: Moment, service: &ServiceName, rule: &RetryRule) {
        let entry = match self.services.get_mut(service) {
            Some(entry) => entry,
            None => self.services.entry(service.clone()).or_default(),
        };
        entry.requests.push_back(now);
        evict_expired(&mut entry.requests, now, rule.window);
    }

    /// Takes one retry if this instance's quota, one of `instances`, allows it.
    pub(crate) fn take(
        &mut self,
        now: Moment,
        service: &ServiceName,
        rule: &RetryRule,
        instances: usize,
    ) -> bool {
        let has_room = self.allows(now, service, rule, instances);
        if has_room && let Some(entry) = self.services.get_mut(service) {
            entry.retries.push_back(now);
        }
        has_room
    }

    /// Returns a retry that was taken at `taken` and not used.
    pub(crate) fn give_back(&mut self, service: &ServiceName, taken: Moment) {
        let Some(entry) = self.services.get_mut(service) else {
            return;
        };
        if let Some(index) = entry.retries.iter().rposition(|at| *at == taken) {
            entry.retries.remove(index);
        }
    }

    /// Whether this instance's quota, one of `instances`, allows one more retry.
    pub(crate) fn allows(
        &mut self,
        now: Moment,
        service: &ServiceName,
        rule: &RetryRule,
        instances: usize,
    ) -> bool {
        let entry = self.services.entry(service.clone()).or_default();
        evict_expired(&mut entry.retries, now, rule.window);
        evict_expired(&mut entry.requests, now, rule.window);
        let slack = rule.slack / to_f64(instances.max(1));
        let allowed = ALLOTTED_FRACTION * (rule.ratio * to_f64(entry.requests.len()) + slack);
        to_f64(entry.retries.len() + 1) <= allowed
    }
}

fn evict_expired(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while let Some(first) = times.front()
        && now.since(*first) >= window
    {
        times.pop_front();
    }
}

/// Requests per second that the instance of `rank` among `instances` may send to a cold endpoint
/// under the fleet-wide `limit`.
pub(crate) fn cold_quota(limit: f64, instances: usize, rank: usize) -> u32 {
    let allotted = usize::try_from(to_u64(limit * ALLOTTED_FRACTION)).unwrap_or(usize::MAX);
    let instances = instances.max(1);
    let extra = usize::from(rank < allotted % instances);
    u32::try_from(allotted / instances + extra).unwrap_or(u32::MAX)
}
