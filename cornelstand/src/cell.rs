//! Scheduling of one cell: which request runs next, and at which endpoint.
//!
//! A [`Cell`] takes `(now, input)` and returns outputs; it has no clock and does no I/O. It grants
//! while it holds the lease and some endpoint has room, so that no slot idles while work waits.
//! Inputs are idempotent: an attempt is queued, charged and freed once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::active::{Active, ActiveSet};
use crate::cell_message::{CellInput, CellOutput};
use crate::cell_status::{AccountStatus, CellStatus, Counts, EndpointStatus};
use crate::config::Config;
use crate::dispatch::{Ending, Grant, Offer, Phase, Refusal, Report};
use crate::endpoint::{EndpointModel, LoadReport, Observation};
use crate::exchange::{Exchange, Totals};
use crate::fair::{FairQueue, Waiting, arrival};
use crate::lease::{Part, Tenure};
use crate::moment::Moment;
use crate::name::{AttemptId, CellId, EndpointName, Epoch, InstanceName};

/// Estimated cost of a call to a service that is not configured.
const DEFAULT_ESTIMATE: u64 = 100;

/// Time after a handover within which entries offer waiting requests again.
const REOFFER_WINDOW: Duration = Duration::from_secs(5);

/// Minimum retry delay suggested to a refused caller.
const RETRY_MIN: Duration = Duration::from_secs(1);

/// Maximum retry delay suggested to a refused caller.
const RETRY_MAX: Duration = Duration::from_mins(1);

/// Scheduling state machine of one cell.
#[derive(Debug)]
pub struct Cell {
    pub(crate) id: CellId,
    pub(crate) epoch: Epoch,
    pub(crate) config: Arc<Config>,
    tenure: Tenure,
    pub(crate) queue: FairQueue,
    pub(crate) endpoints: BTreeMap<EndpointName, EndpointModel>,
    pub(crate) active: ActiveSet,
    pub(crate) unreported: BTreeSet<InstanceName>,
    /// Latest epoch whose running attempts are all known.
    pub(crate) known_epoch: Epoch,
    /// Whether an entry was lost before it reported its running attempts.
    pub(crate) entry_lost: bool,
    pub(crate) recovery_start: Moment,
    /// Time of the latest input.
    pub(crate) last_input: Moment,
    pub(crate) counts: Counts,
    exchange: Exchange,
}

impl Cell {
    /// Creates a cell that grants nothing until it gets [`CellInput::Lease`].
    #[must_use]
    pub fn new(id: CellId, epoch: Epoch, config: Arc<Config>, now: Moment) -> Self {
        let service = config.services.get(&id.service);
        let queue = FairQueue::new(service.map_or(DEFAULT_ESTIMATE, |s| s.estimate));
        let mut cell = Self {
            id,
            epoch,
            config,
            tenure: Tenure {
                epoch,
                part: Part::Full,
                until: Moment::default(),
                after: None,
            },
            queue,
            endpoints: BTreeMap::new(),
            active: ActiveSet::default(),
            unreported: BTreeSet::new(),
            known_epoch: Epoch::default(),
            entry_lost: false,
            recovery_start: now,
            last_input: now,
            counts: Counts::default(),
            exchange: Exchange::default(),
        };
        cell.sync_endpoints();
        cell
    }

    /// Processes one input and appends its effects to `out`.
    pub fn handle(&mut self, now: Moment, input: CellInput, out: &mut Vec<CellOutput>) {
        self.last_input = now;
        if now >= self.recovery_start.after(REOFFER_WINDOW) {
            self.queue.forget_restored();
        }
        match input {
            CellInput::Offer(offer) => self.offer(now, offer, out),
            CellInput::Withdraw(attempt) => self.withdraw(attempt, out),
            CellInput::Undelivered(attempt) => self.drop_undelivered(attempt),
            CellInput::Report(report) => self.report(now, &report),
            CellInput::Load { endpoint, load } => self.load(now, &endpoint, load),
            CellInput::Leaving(names) => self.leaving(&names),
            CellInput::Configure(config) => self.configure(config, out),
            CellInput::Lease(tenure) => {
                self.epoch = self.epoch.max(tenure.epoch);
                self.tenure = tenure;
            }
            CellInput::Census(census) => self.apply_census(census),
            CellInput::Recover { entries } => self.start_recovery(now, entries),
            CellInput::EntryGone(entry) => self.handle_entry_ended(now, &entry, out),
            CellInput::Totals(totals) => self.merge_totals(now, totals),
            CellInput::Tick => {}
        }
        self.expire(now, out);
        self.grant(now, out);
        self.publish_totals(now, out);
        self.report_states(out);
    }

    /// When the next [`CellInput::Tick`] is due, if any.
    #[must_use]
    pub fn timer(&self) -> Option<Moment> {
        let deadline = self.queue.deadline()?;
        let probes = self.endpoints.values().filter_map(EndpointModel::probe_due);
        let untracked = self
            .endpoints
            .values()
            .filter_map(EndpointModel::untracked_until);
        let totals = self.has_siblings().then(|| self.exchange.due());
        let due = probes.chain(untracked).chain(totals);
        let due = due.chain([deadline, self.tenure.until]);
        due.filter(|at| *at > self.last_input).min()
    }

    /// Identity of the cell.
    #[must_use]
    pub fn id(&self) -> &CellId {
        &self.id
    }

    /// Epoch of the ownership.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Endpoints with their addresses, to poll for load.
    pub fn polled(&self) -> impl Iterator<Item = (&EndpointName, SocketAddr)> {
        let all = self.config.cell_endpoints(&self.id);
        all.map(|(name, endpoint)| (name, endpoint.address))
    }

    /// Queues, counters and endpoints.
    #[must_use]
    pub fn status(&self) -> CellStatus {
        let part = self.tenure.part_at(self.last_input);
        let endpoints = self.endpoints.iter().map(|(name, model)| EndpointStatus {
            endpoint: name.clone(),
            state: model.state(),
            limit: part.map_or(0, |p| p.of(model.limit(self.last_input))),
            running: model.running(),
            boot: model.boot(),
        });
        CellStatus {
            cell: self.id.clone(),
            epoch: self.epoch,
            part,
            unreported: self.unreported.iter().cloned().collect(),
            counts: self.counts,
            waiting: self.queue.len(),
            running: self.active.len(),
            accounts: self.queue.views().map(AccountStatus::from).collect(),
            endpoints: endpoints.collect(),
        }
    }

    fn offer(&mut self, now: Moment, offer: Offer, out: &mut Vec<CellOutput>) {
        let attempt = offer.attempt;
        if self.queue.contains(attempt) {
            return;
        }
        if let Some(active) = self.active.get(attempt) {
            out.push(CellOutput::Grant(self.grant_of(attempt, active)));
            return;
        }
        self.counts.offered += 1;
        let refusal = if self.tenure.part_at(now).is_none() {
            Some(Refusal::NotOwner(None))
        } else if self.active.has_ended(attempt) {
            Some(Refusal::Cancelled)
        } else if !self.endpoints.values().any(EndpointModel::accepts_work) {
            let retry = RETRY_MIN;
            Some(Refusal::NoEndpoint { retry })
        } else {
            None
        };
        let refusal = refusal.or_else(|| self.enqueue(now, offer));
        if let Some(refusal) = refusal {
            self.refuse(attempt, refusal, out);
        }
    }

    /// Queues the offer, or returns the reason to refuse it.
    fn enqueue(&mut self, now: Moment, offer: Offer) -> Option<Refusal> {
        let Some(account) = self.config.accounts.get(&offer.account) else {
            return Some(Refusal::UnknownAccount);
        };
        let room = account.queue as usize;
        let id = self.queue.account(&offer.account, account.share);
        if self.queue.waiting_of(id) >= room {
            let retry = self.queue.drain_time(id).clamp(RETRY_MIN, RETRY_MAX);
            return Some(Refusal::QueueFull { retry });
        }
        let waiting = Waiting {
            account: id,
            class: offer.class,
            arrival: arrival(now, offer.waited),
            deadline: now.after(offer.left),
            hint: offer.hint,
            entry: offer.entry,
            avoid: offer.avoid,
        };
        self.queue.push(offer.attempt, waiting);
        None
    }

    pub(crate) fn refuse(
        &mut self,
        attempt: AttemptId,
        refusal: Refusal,
        out: &mut Vec<CellOutput>,
    ) {
        if refusal == Refusal::Cancelled {
            self.counts.cancelled += 1;
        } else {
            self.counts.refused += 1;
        }
        out.push(CellOutput::Refuse { attempt, refusal });
    }

    fn withdraw(&mut self, attempt: AttemptId, out: &mut Vec<CellOutput>) {
        let closed = self.active.close(attempt);
        if self.queue.remove(attempt).is_some() {
            self.refuse(attempt, Refusal::Cancelled, out);
        }
        // The grant crossed the withdrawal, so the entry never runs the attempt.
        self.free_unused(attempt, closed);
    }

    /// Drops an attempt whose reply nobody awaits. It may be offered again.
    fn drop_undelivered(&mut self, attempt: AttemptId) {
        if self.queue.remove(attempt).is_some() {
            self.counts.cancelled += 1;
        }
        let active = self.active.remove(attempt);
        self.free_unused(attempt, active);
    }

    /// Frees the slot of a granted attempt that no entry runs, and refunds its charge.
    fn free_unused(&mut self, attempt: AttemptId, active: Option<Active>) {
        let Some(active) = active else { return };
        self.queue.finish(active.account, active.charged, 0);
        if let Some(model) = self.endpoints.get_mut(&active.endpoint) {
            model.stop(active.granted, attempt);
        }
        self.counts.ended += 1;
    }

    fn report(&mut self, now: Moment, report: &Report) {
        if !self.active.contains(report.attempt) && !self.adopt_reported(report) {
            return;
        }
        match report.phase {
            Phase::Running => self.progress(now, report),
            Phase::Ended(ending) => self.end(now, report, ending),
        }
    }

    fn progress(&mut self, now: Moment, report: &Report) {
        let Some(active) = self.active.get_mut(report.attempt) else {
            return;
        };
        if report.cost > active.charged {
            self.queue
                .correct(active.account, active.charged, report.cost);
            active.charged = report.cost;
        }
        let observation = observation(active, report);
        if let Some(model) = self.endpoints.get_mut(&active.endpoint) {
            model.progress(now, observation);
        }
    }

    fn end(&mut self, now: Moment, report: &Report, ending: Ending) {
        let Some(active) = self.active.close(report.attempt) else {
            return;
        };
        let cost = if ending.is_not_sent() { 0 } else { report.cost };
        self.queue.finish(active.account, active.charged, cost);
        if ending.is_answered() {
            self.queue.update_average(active.account, cost);
        }
        if let Some(model) = self.endpoints.get_mut(&active.endpoint) {
            model.ended(now, observation(&active, report), ending);
        }
        self.counts.ended += 1;
    }

    fn load(&mut self, now: Moment, endpoint: &EndpointName, load: LoadReport) {
        let counted = self.active.counted_in_load(endpoint, now);
        if let Some(model) = self.endpoints.get_mut(endpoint) {
            model.load(now, load, counted);
        }
    }

    fn leaving(&mut self, names: &BTreeSet<EndpointName>) {
        for (name, model) in &mut self.endpoints {
            model.set_leaving(names.contains(name));
        }
    }

    fn configure(&mut self, config: Arc<Config>, out: &mut Vec<CellOutput>) {
        if config.revision < self.config.revision {
            return;
        }
        self.config = config;
        self.sync_endpoints();
        for id in self.queue.ids() {
            let share = self.share(self.queue.name(id).as_str());
            self.queue.set_share(id, share);
        }
        let unknown = self.queue.attempts().filter(|a| {
            let id = self.queue.get(*a).map(|w| w.account);
            id.is_some_and(|id| !self.config.accounts.contains_key(self.queue.name(id)))
        });
        for attempt in unknown.collect::<Vec<_>>() {
            self.queue.remove(attempt);
            self.refuse(attempt, Refusal::UnknownAccount, out);
        }
    }

    /// Applies the configuration to the endpoints. Removed ones get no new work, and are dropped
    /// once nothing runs there.
    fn sync_endpoints(&mut self) {
        for model in self.endpoints.values_mut() {
            model.set_out();
        }
        for (name, endpoint) in self.config.cell_endpoints(&self.id) {
            let out = !self.config.is_centre_in(&endpoint.centre);
            self.endpoints
                .entry(name.clone())
                .and_modify(|m| m.configure(endpoint, out))
                .or_insert_with(|| EndpointModel::new(endpoint, out));
        }
        let config = &self.config;
        self.endpoints
            .retain(|name, m| m.running() > 0 || config.endpoints.contains_key(name));
    }

    pub(crate) fn share(&self, account: &str) -> u32 {
        self.config.accounts.get(account).map_or(1, |a| a.share)
    }

    fn expire(&mut self, now: Moment, out: &mut Vec<CellOutput>) {
        for attempt in self.queue.expired(now) {
            self.queue.remove(attempt);
            self.refuse(attempt, Refusal::Deadline, out);
        }
        let refusal = if self.tenure.part_at(now).is_none() {
            Refusal::NotOwner(None)
        } else if self.endpoints.values().any(EndpointModel::accepts_work) {
            return;
        } else {
            let retry = RETRY_MIN;
            Refusal::NoEndpoint { retry }
        };
        for attempt in self.queue.attempts().collect::<Vec<_>>() {
            self.queue.remove(attempt);
            self.refuse(attempt, refusal.clone(), out);
        }
    }

    fn grant(&mut self, now: Moment, out: &mut Vec<CellOutput>) {
        let Some(part) = self.tenure.part_at(now) else {
            return;
        };
        if self.queue.is_empty() {
            return;
        }
        while let Some(attempt) = self.queue.next() {
            let Some(endpoint) = self.pick(now, part, attempt) else {
                return;
            };
            let Some(grant) = self.start(now, attempt, endpoint) else {
                return;
            };
            out.push(CellOutput::Grant(grant));
        }
    }

    /// Selects the endpoint with the largest free part of its capacity. One of `avoid` is used
    /// only if no other is free.
    fn pick(&self, now: Moment, part: Part, attempt: AttemptId) -> Option<EndpointName> {
        let avoid = self.queue.get(attempt).map_or(&[][..], |w| &w.avoid);
        let free = self.endpoints.iter().filter_map(|(name, model)| {
            let room = model.room(now, |limit| part.of(limit));
            let score = u64::from(room) * 1000 / u64::from(model.capacity().max(1));
            (room > 0).then(|| (!avoid.contains(name), score, name))
        });
        free.max_by_key(|(preferred, score, _)| (*preferred, *score))
            .map(|(_, _, name)| name.clone())
    }

    fn start(&mut self, now: Moment, attempt: AttemptId, endpoint: EndpointName) -> Option<Grant> {
        let (waiting, charged) = self.queue.serve(now, attempt)?;
        let model = self.endpoints.get_mut(&endpoint)?;
        model.start(now, attempt);
        let active = Active {
            account: waiting.account,
            class: waiting.class,
            endpoint,
            entry: Some(waiting.entry),
            charged,
            generation: model.generation(),
            granted: now,
        };
        let grant = self.grant_of(attempt, &active);
        self.active.insert(attempt, active);
        self.counts.granted += 1;
        Some(grant)
    }

    fn grant_of(&self, attempt: AttemptId, active: &Active) -> Grant {
        Grant {
            attempt,
            cell: self.id.clone(),
            epoch: self.epoch,
            endpoint: active.endpoint.clone(),
            charged: active.charged,
        }
    }

    fn has_siblings(&self) -> bool {
        let service = self.config.services.get(&self.id.service);
        service.is_some_and(|s| s.cells > 1)
    }

    fn publish_totals(&mut self, now: Moment, out: &mut Vec<CellOutput>) {
        if !self.has_siblings() {
            return;
        }
        let accounts = self.exchange.take_totals(now, &self.queue);
        if !accounts.is_empty() {
            out.push(CellOutput::Totals(Totals {
                cell: self.id.clone(),
                epoch: self.epoch,
                accounts,
            }));
        }
    }

    fn merge_totals(&mut self, now: Moment, totals: Totals) {
        if totals.cell.service == self.id.service && totals.cell != self.id {
            self.exchange.merge(now, totals, &mut self.queue);
        }
    }

    fn report_states(&mut self, out: &mut Vec<CellOutput>) {
        for (name, model) in &mut self.endpoints {
            if let Some(state) = model.take_change() {
                let endpoint = name.clone();
                out.push(CellOutput::Changed { endpoint, state });
            }
        }
    }
}

fn observation<'a>(active: &'a Active, report: &Report) -> Observation<'a> {
    Observation {
        attempt: report.attempt,
        granted: active.granted,
        generation: active.generation,
        entry: active.entry.as_ref(),
        boot: report.boot,
        first: report.first,
    }
}
