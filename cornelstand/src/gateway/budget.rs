//! Shares of the limits that all instances keep together.
//!
//! Retries and requests to cold endpoints are limited over the whole fleet, at any moment, also for
//! instances that cannot talk to each other. Each instance therefore holds a fixed allotment of the
//! limit, and the allotments of all instances add up to less than it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::gateway::number::{float, whole};
use crate::moment::Moment;
use crate::name::ServiceName;

/// Part of a fleet-wide limit that is dealt out; the rest covers instances not yet known.
const DEALT: f64 = 0.8;

/// Bounds of retries that the platform states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryRule {
    /// Retries for each request.
    pub(crate) ratio: f64,
    /// Retries beyond the ratio, over the fleet.
    pub(crate) slack: f64,
    pub(crate) window: Duration,
}

#[derive(Debug, Default)]
struct Service {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

/// Retries of one instance.
#[derive(Debug, Default)]
pub(crate) struct RetryShare {
    services: HashMap<ServiceName, Service>,
}

impl RetryShare {
    /// Counts a request of a caller.
    pub(crate) fn count(&mut self, now: Moment, service: &ServiceName, rule: &RetryRule) {
        let entry = match self.services.get_mut(service) {
            Some(entry) => entry,
            None => self.services.entry(service.clone()).or_default(),
        };
        entry.requests.push_back(now);
        trim(&mut entry.requests, now, rule.window);
    }

    /// Takes one repeat if the allotment of one of `instances` allows it.
    pub(crate) fn take(
        &mut self,
        now: Moment,
        service: &ServiceName,
        rule: &RetryRule,
        instances: usize,
    ) -> bool {
        let entry = self.services.entry(service.clone()).or_default();
        trim(&mut entry.repeats, now, rule.window);
        trim(&mut entry.requests, now, rule.window);
        let slack = rule.slack / float(instances.max(1));
        let allowed = DEALT * (rule.ratio * float(entry.requests.len()) + slack);
        let has_room = float(entry.repeats.len() + 1) <= allowed;
        if has_room {
            entry.repeats.push_back(now);
        }
        has_room
    }
}

fn trim(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while let Some(first) = times.front()
        && now.since(*first) >= window
    {
        times.pop_front();
    }
}

/// Requests a second that the instance of `rank` among `instances` may send to a cold endpoint,
/// where all together may send `limit`.
pub(crate) fn cold_share(limit: f64, instances: usize, rank: usize) -> u32 {
    let dealt = usize::try_from(whole(limit * DEALT)).unwrap_or(usize::MAX);
    let instances = instances.max(1);
    let extra = usize::from(rank < dealt % instances);
    u32::try_from(dealt / instances + extra).unwrap_or(u32::MAX)
}
