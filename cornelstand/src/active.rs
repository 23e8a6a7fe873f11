//! Attempts of one cell that are granted and have not ended.

use std::collections::{BTreeMap, HashMap};

use crate::config::Class;
use crate::dispatch::{Census, Running};
use crate::endpoint::LOAD_LAG;
use crate::fair::{AccountId, FairQueue};
use crate::moment::Moment;
use crate::name::{AttemptId, CellId, EndpointName, InstanceName};
use crate::tombs::Tombs;

/// A granted attempt that has not ended.
#[derive(Debug)]
pub(crate) struct Active {
    pub(crate) account: AccountId,
    pub(crate) class: Class,
    pub(crate) endpoint: EndpointName,
    /// Who runs it, unless only a report of an earlier owner's attempt told of it.
    pub(crate) entry: Option<InstanceName>,
    pub(crate) charged: u64,
    /// Generation of the endpoint at the grant.
    pub(crate) generation: u32,
    pub(crate) granted: Moment,
}

/// The attempts that run, and those that ended lately.
#[derive(Debug, Default)]
pub(crate) struct ActiveSet {
    all: HashMap<AttemptId, Active>,
    tombs: Tombs,
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

    /// Tells whether the attempt ended or was withdrawn lately.
    pub(crate) fn has_ended(&self, attempt: AttemptId) -> bool {
        self.tombs.contains(attempt)
    }

    pub(crate) fn insert(&mut self, attempt: AttemptId, active: Active) {
        self.all.insert(attempt, active);
    }

    /// Marks an attempt as ended and takes it out, if it runs.
    pub(crate) fn close(&mut self, attempt: AttemptId) -> Option<Active> {
        self.tombs.insert(attempt);
        self.all.remove(&attempt)
    }

    /// Takes out an attempt that never started, so that it may be granted again.
    pub(crate) fn take_back(&mut self, attempt: AttemptId) -> Option<Active> {
        self.all.remove(&attempt)
    }

    /// The attempts that `entry` runs.
    pub(crate) fn of_entry(&self, entry: &InstanceName) -> Vec<AttemptId> {
        let all = self.all.iter();
        let own = all.filter(|(_, a)| a.entry.as_ref() == Some(entry));
        own.map(|(attempt, _)| *attempt).collect()
    }

    /// Counts the attempts at `endpoint` that were running [`LOAD_LAG`] before `now`.
    pub(crate) fn settled(&self, endpoint: &EndpointName, now: Moment) -> u32 {
        let at = self.all.values().filter(|a| a.endpoint == *endpoint);
        let settled = at.filter(|a| a.granted.after(LOAD_LAG) <= now);
        u32::try_from(settled.count()).unwrap_or(u32::MAX)
    }

    /// Counts the attempts at `endpoint` of which no entry is known.
    pub(crate) fn without_entry(&self, endpoint: &EndpointName) -> u32 {
        let at = self.all.values().filter(|a| a.endpoint == *endpoint);
        let count = at.filter(|a| a.entry.is_none()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// The attempts by the entry that runs them.
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
