//! Transfer of a cell from one owner to the next.
//!
//! A planned stop hands over the counters, the running attempts and the state of the endpoints.
//! Otherwise the new owner learns the running attempts from the entries. Until every entry has
//! reported, the number of untracked attempts at an endpoint is unknown, and nothing is granted
//! there unless a recent load report bounds it. If an entry ends before it has reported, only
//! load reports bound that number.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::active::Active;
use crate::cell::Cell;
use crate::cell_message::CellOutput;
use crate::config::{Class, Config};
use crate::dispatch::{Census, Counter, EndpointState, Handover, Refusal, Report, Running};
use crate::endpoint::EndpointModel;
use crate::moment::Moment;
use crate::name::{AttemptId, EndpointName, Epoch, InstanceName};

impl Cell {
    /// Creates a cell from the state of its former owner.
    #[must_use]
    pub fn resume(handover: Handover, epoch: Epoch, config: Arc<Config>, now: Moment) -> Self {
        let mut cell = Self::new(handover.cell, epoch, config, now);
        for counter in &handover.counters {
            let share = cell.share(counter.account.as_str());
            let id = cell.queue.account(&counter.account, share);
            cell.queue.restore(id, counter.service, counter.average);
        }
        let floor = handover.counters.iter().map(|c| c.service).min();
        cell.queue.set_floor(floor.unwrap_or(0));
        for state in &handover.endpoints {
            if let Some(model) = cell.endpoints.get_mut(&state.endpoint) {
                model.restore(now, state);
            }
        }
        for census in handover.running {
            for running in census.running {
                cell.adopt(running, Some(census.entry.clone()), false);
            }
        }
        if handover.unreported.is_empty() {
            cell.known_epoch = handover.epoch;
        } else {
            cell.start_recovery(now, handover.unreported.into_iter().collect());
        }
        cell
    }

    /// State for the next owner. Queued offers are not part of it.
    #[must_use]
    pub fn hand_over(self) -> Handover {
        let floor = self.queue.floor();
        let counters = self.queue.views().map(|a| Counter {
            account: a.name.clone(),
            service: a.service.max(floor),
            average: a.average,
        });
        let counters = counters.collect();
        let endpoints = self.endpoints.iter().map(|(name, model)| EndpointState {
            endpoint: name.clone(),
            boot: model.boot(),
            answers: model.answers(),
            unseen: self.untracked(name, model),
        });
        Handover {
            counters,
            running: self.active.censuses(&self.id, &self.queue),
            endpoints: endpoints.collect(),
            unreported: self.unreported.into_iter().collect(),
            cell: self.id,
            epoch: self.epoch,
        }
    }

    /// Requests that may run at an endpoint and that the next owner cannot track.
    fn untracked(&self, name: &EndpointName, model: &EndpointModel) -> u32 {
        let untracked = model.untracked(self.last_input).unwrap_or(u32::MAX);
        untracked.saturating_add(self.active.without_entry(name))
    }

    /// Adopts an attempt granted by an earlier owner. Returns whether it is one.
    pub(crate) fn adopt_reported(&mut self, report: &Report) -> bool {
        let is_earlier = report.epoch > self.known_epoch && report.epoch < self.epoch;
        let is_adopted = is_earlier && !self.active.has_ended(report.attempt);
        if is_adopted {
            let running = Running {
                attempt: report.attempt,
                endpoint: report.endpoint.clone(),
                account: report.account.clone(),
                class: Class::Interactive,
                cost: 0,
            };
            self.adopt(running, None, true);
        }
        is_adopted
    }

    pub(crate) fn start_recovery(&mut self, now: Moment, entries: BTreeSet<InstanceName>) {
        self.recovery_start = now;
        self.unreported = entries;
        if self.unreported.is_empty() {
            return;
        }
        for model in self.endpoints.values_mut() {
            model.mark_uncertain(now);
        }
    }

    pub(crate) fn apply_census(&mut self, census: Census) {
        let listed: BTreeSet<AttemptId> = census.running.iter().map(|r| r.attempt).collect();
        for running in census.running {
            let known = self.active.contains(running.attempt);
            if !known && !self.active.has_ended(running.attempt) {
                self.adopt(running, Some(census.entry.clone()), true);
            }
        }
        for attempt in listed {
            if let Some(active) = self.active.get_mut(attempt) {
                active.entry = Some(census.entry.clone());
            }
        }
        if self.unreported.remove(&census.entry) {
            self.finish_recovery();
        }
    }

    /// Ends the recovery once every entry has reported.
    fn finish_recovery(&mut self) {
        if !self.unreported.is_empty() || self.entry_lost {
            return;
        }
        for model in self.endpoints.values_mut() {
            model.clear_uncertain();
        }
    }

    pub(crate) fn handle_entry_ended(
        &mut self,
        now: Moment,
        entry: &InstanceName,
        out: &mut Vec<CellOutput>,
    ) {
        if self.unreported.remove(entry) {
            self.entry_lost = true;
        }
        let gone = self.active.of_entry(entry);
        for attempt in gone {
            let Some(active) = self.active.close(attempt) else {
                continue;
            };
            self.queue
                .finish(active.account, active.charged, active.charged);
            if let Some(model) = self.endpoints.get_mut(&active.endpoint) {
                model.mark_orphaned(now, active.granted, attempt);
            }
            self.counts.ended += 1;
        }
        let waiting = self
            .queue
            .attempts()
            .filter(|a| self.queue.get(*a).is_some_and(|w| w.entry == *entry));
        for attempt in waiting.collect::<Vec<_>>() {
            self.queue.remove(attempt);
            self.refuse(attempt, Refusal::Cancelled, out);
        }
    }

    /// Counts an attempt that another owner granted, charging it if that owner's charge is lost.
    fn adopt(&mut self, running: Running, entry: Option<InstanceName>, charge: bool) {
        let share = self.share(running.account.as_str());
        let account = self.queue.account(&running.account, share);
        if charge {
            self.queue.start(account, running.cost);
        } else {
            self.queue.add_running(account);
        }
        let granted = self.recovery_start;
        let model = self.endpoints.get_mut(&running.endpoint);
        let generation = model.map_or(0, |m| {
            m.adopt(granted, running.attempt);
            m.generation()
        });
        self.counts.adopted += 1;
        let active = Active {
            account,
            class: running.class,
            endpoint: running.endpoint,
            entry,
            charged: running.cost,
            generation,
            granted,
        };
        self.active.insert(running.attempt, active);
    }
}
