//! Versions of a service's endpoints, and which of them are closed.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::moment::Moment;
use crate::name::{EndpointName, VersionName};

/// Time for which a version that appears beside another gets nothing: its order may be on its way.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time after which a version that has no endpoints is forgotten, longer than restarts take.
const FORGET_TIME: Duration = Duration::from_mins(1);
/// Time for which a version stays closed without an order that says so, longer than endpoints are
/// still listed after their end.
const CLOSED_TIME: Duration = Duration::from_secs(30);

/// A version.
#[derive(Clone, Copy, Debug)]
struct Known {
    held_until: Moment,
    /// When it was last listed.
    listed: Moment,
    closed_until: Option<Moment>,
}

/// Versions of one service.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    known: HashMap<VersionName, Known>,
    endpoints: Vec<(EndpointName, VersionName)>,
}

impl Versions {
    /// Replaces the listed endpoints.
    pub(crate) fn list(&mut self, now: Moment, endpoints: &[(EndpointName, VersionName)]) {
        let listed: BTreeSet<&VersionName> = endpoints.iter().map(|(_, v)| v).collect();
        let is_first = self.known.is_empty();
        let has_other = listed.iter().any(|v| self.known.contains_key(*v));
        for version in &listed {
            let held_until = if is_first || !has_other {
                now
            } else {
                now.after(HOLD_TIME)
            };
            let known = self.known.entry((*version).clone()).or_insert(Known {
                held_until,
                listed: now,
                closed_until: None,
            });
            known.listed = now;
        }
        // Nothing is held back for versions that are gone.
        if !listed.iter().any(|v| self.admits(now, v)) {
            let known = self.known.iter_mut();
            for (_, known) in known.filter(|(version, _)| listed.contains(version)) {
                known.held_until = known.held_until.min(now);
            }
        }
        self.known.retain(|version, known| {
            listed.contains(version)
                || now.since(known.listed) < FORGET_TIME
                || known.closed_until.is_some_and(|until| now < until)
        });
        self.endpoints = endpoints.to_vec();
    }

    /// Listed endpoints of `version`.
    pub(crate) fn endpoints(&self, version: &VersionName) -> impl Iterator<Item = &EndpointName> {
        let listed = self.endpoints.iter().filter(move |(_, v)| v == version);
        listed.map(|(name, _)| name)
    }

    /// Number of endpoints that the baseline of a roll-out to `target` has.
    pub(crate) fn baseline(&self, now: Moment, target: &VersionName) -> usize {
        let others = self.endpoints.iter().filter(|(_, v)| v != target);
        others.filter(|(_, v)| self.admits(now, v)).count()
    }

    /// Whether a version has been in use without an order, and is the only one listed.
    pub(crate) fn is_only(&self, now: Moment, version: &VersionName) -> bool {
        let is_used = |k: &Known| now.since(k.held_until) >= HOLD_TIME;
        self.known.get(version).is_some_and(is_used)
            && !self.endpoints.is_empty()
            && self.endpoints.iter().all(|(_, v)| v == version)
    }

    /// Whether a version may be used as far as no running order says otherwise.
    pub(crate) fn admits(&self, now: Moment, version: &VersionName) -> bool {
        // Without a version in use there is nothing to hold others back for.
        let Some(known) = self.known.get(version) else {
            return self.known.is_empty();
        };
        let is_closed = known.closed_until.is_some_and(|until| now < until);
        now >= known.held_until && !is_closed
    }

    /// Closes a version for a while.
    pub(crate) fn close(&mut self, now: Moment, version: &VersionName) {
        if let Some(known) = self.known.get_mut(version) {
            known.closed_until = Some(now.after(CLOSED_TIME));
        }
    }

    /// Closes all listed versions but `kept`.
    pub(crate) fn close_others(&mut self, now: Moment, kept: &VersionName) {
        let others: BTreeSet<VersionName> = self.endpoints.iter().map(|(_, v)| v.clone()).collect();
        for version in others.iter().filter(|v| *v != kept) {
            self.close(now, version);
        }
    }

    /// Lets a version be used again.
    pub(crate) fn open(&mut self, version: &VersionName) {
        if let Some(known) = self.known.get_mut(version) {
            known.closed_until = None;
        }
    }

    /// Whether any version is held back or closed.
    pub(crate) fn is_limited(&self, now: Moment) -> bool {
        self.known
            .values()
            .any(|k| now < k.held_until || k.closed_until.is_some_and(|until| now < until))
    }
}
