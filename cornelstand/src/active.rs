//! Granted attempts of one cell that have not ended.

use std::collections::{BTreeMap, HashMap};

use crate::config::Class;
use crate::dispatch::{Census, Running};
use crate::endpoint::LOAD_LAG;
use crate::fair::{AccountId, FairQueue};
use crate::moment::Moment;
use crate::name::{AttemptId, CellId, EndpointName, InstanceName};
use crate::tombs::EndedAttempts;

/// A granted attempt that has not ended.
#[derive(Debug)]
pub(crate) struct Active {
    pub(crate) account: AccountId,
    pub(crate) class: Class,
    pub(crate) endpoint: EndpointName,
    /// `None` if it is known only from a report on an earlier owner's grant.
    pub(crate) entry: Option<InstanceName>,
    pub(crate) charged: u64,
    /// Generation of the endpoint at the grant.
    pub(crate) generation: u32,
    pub(crate) granted: Moment,
}

/// Running attempts, and a bounded set of recently ended ones.
#[derive(Debug, Default)]
pub(crate) struct ActiveSet {
    all: HashMap<AttemptId, Active>,
    ended: EndedAttempts,
}

impl ActiveSet {
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn get(&self, attempt: AttemptId) -> Option<&Active> {
        self.all.get(&attempt)
    }

    pub(crate) fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut Active> {
        self.all.get_mut(&attempt)
    }

    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.all.contains_key(&attempt)
    }

    /// Whether the attempt ended or was withdrawn recently.
    pub(crate) fn has_ended(&self, attempt: AttemptId) -> bool {
        self.ended.contains(attempt)
    }

    pub(crate) fn insert(&mut self, attempt: AttemptId, active: Active) {
        self.all.insert(attempt, active);
    }

    /// Marks an attempt as ended and removes it if it is running.
    pub(crate) fn close(&mut self, attempt: AttemptId) -> Option<Active> {
        self.ended.insert(attempt);
        self.all.remove(&attempt)
    }

    /// Removes an attempt that never started, so that it may be granted again.
    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Active> {
        self.all.remove(&attempt)
    }

    /// The attempts that `entry` runs.
    pub(crate) fn of_entry(&self, entry: &InstanceName) -> Vec<AttemptId> {
        let all = self.all.iter();
        let own = all.filter(|(_, a)| a.entry.as_ref() == Some(entry));
        own.map(|(attempt, _)| *attempt).collect()
    }

    /// Counts the attempts at `endpoint` that any load report received at `now` includes.
    pub(crate) fn counted_in_load(&self, endpoint: &EndpointName, now: Moment) -> u32 {
        let attempts = self.all.values().filter(|a| a.endpoint == *endpoint);
        let counted = attempts.filter(|a| a.granted.after(LOAD_LAG) <= now);
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }

    /// Counts the attempts at `endpoint` whose entry is unknown.
    pub(crate) fn without_entry(&self, endpoint: &EndpointName) -> u32 {
        let attempts = self.all.values().filter(|a| a.endpoint == *endpoint);
        let count = attempts.filter(|a| a.entry.is_none()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Running attempts grouped by entry.
    pub(crate) fn censuses(&self, cell: &CellId, queue: &FairQueue) -> Vec<Census> {
        let mut entries: BTreeMap<InstanceName, Vec<Running>> = BTreeMap::new();
        for (attempt, active) in &self.all {
            let Some(entry) = &active.entry else { continue };
            let running = Running {
                attempt: *attempt,
                endpoint: active.endpoint.clone(),
                account: queue.name(active.account).clone(),
                class: active.class,
                cost: active.charged,
            };
            entries.entry(entry.clone()).or_default().push(running);
        }
        let censuses = entries.into_iter().map(|(entry, mut running)| {
            running.sort_by_key(|r| r.attempt);
            let cell = cell.clone();
            Census {
                entry,
                cell,
                running,
            }
        });
        censuses.collect()
    }
}
