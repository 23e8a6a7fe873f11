//! How a cell passes from one owner to the next.
//!
//! A planned stop hands over counters, running attempts and what is known of the endpoints.
//! Otherwise the new owner learns the running attempts from the entries. Until each entry has
//! reported, what may run unseen at an endpoint is unknown and nothing is granted there, unless a
//! load report that is young enough bounds it. An entry that is gone before it reported leaves
//! that bound, and load reports, as the only knowledge.

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
    /// A cell that goes on where its earlier owner stopped.
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
        for known in &handover.endpoints {
            if let Some(model) = cell.endpoints.get_mut(&known.endpoint) {
                model.restore(now, known);
            }
        }
        for census in handover.running {
            for running in census.running {
                cell.adopt(running, Some(census.entry.clone()), false);
            }
        }
        if handover.unreported.is_empty() {
            cell.complete = handover.epoch;
        } else {
            cell.recover(now, handover.unreported.into_iter().collect());
        }
        cell
    }

    /// What the next owner needs to go on. Offers that wait are not part of it.
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
            unseen: self.unseen(name, model),
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

    /// Requests that may run at an endpoint and that the next owner cannot follow.
    fn unseen(&self, name: &EndpointName, model: &EndpointModel) -> u32 {
        let foreign = model.foreign(self.latest).unwrap_or(u32::MAX);
        foreign.saturating_add(self.active.without_entry(name))
    }

    /// Takes in an attempt that an earlier owner granted, and tells whether it is one.
    pub(crate) fn learn(&mut self, report: &Report) -> bool {
        let earlier = report.epoch > self.complete && report.epoch < self.epoch;
        let foreign = earlier && !self.active.has_ended(report.attempt);
        if foreign {
            let running = Running {
                attempt: report.attempt,
                endpoint: report.endpoint.clone(),
                account: report.account.clone(),
                class: Class::Interactive,
                cost: 0,
            };
            self.adopt(running, None, true);
        }
        foreign
    }

    pub(crate) fn recover(&mut self, now: Moment, entries: BTreeSet<InstanceName>) {
        self.recovered = now;
        self.unreported = entries;
        if self.unreported.is_empty() {
            return;
        }
        for model in self.endpoints.values_mut() {
            model.doubt(now);
        }
    }

    pub(crate) fn census(&mut self, census: Census) {
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
            self.settle();
        }
    }

    /// Ends the recovery once nobody has still to report.
    fn settle(&mut self) {
        if !self.unreported.is_empty() || self.lost {
            return;
        }
        for model in self.endpoints.values_mut() {
            model.settle();
        }
    }

    pub(crate) fn entry_gone(
        &mut self,
        now: Moment,
        entry: &InstanceName,
        out: &mut Vec<CellOutput>,
    ) {
        if self.unreported.remove(entry) {
            self.lost = true;
        }
        let gone = self.active.of_entry(entry);
        for attempt in gone {
            let Some(active) = self.active.close(attempt) else {
                continue;
            };
            self.queue
                .finish(active.account, active.charged, active.charged);
            if let Some(model) = self.endpoints.get_mut(&active.endpoint) {
                model.orphan(now, active.granted, attempt);
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
            self.queue.count(account);
        }
        let granted = self.recovered;
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
