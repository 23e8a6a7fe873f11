//! The decisions of one cell: which request runs next, and at which endpoint.
//!
//! A [`Cell`] takes `(now, input)` and returns outputs; it has no clock and does no I/O. It grants
//! while it holds the lease and some endpoint has room, so that no slot idles while work waits.
//! A repeated input changes nothing: an attempt is queued, charged and freed once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::cell_status::{AccountStatus, CellStatus, Counts, EndpointStatus};
use crate::config::{Class, Config};
use crate::dispatch::{
    Census, Counter, Ending, EndpointState, Grant, Handover, Offer, Phase, Refusal, Report, Running,
};
use crate::endpoint::{EndpointModel, LOAD_LAG, Load, Sight, State};
use crate::fair::{AccountId, FairQueue, Waiting, arrival};
use crate::lease::{Part, Tenure};
use crate::moment::Moment;
use crate::name::{AttemptId, CellId, EndpointName, Epoch, InstanceName};
use crate::tombs::Tombs;

/// Cost of a call of a service that is not configured.
const DEFAULT_ESTIMATE: u64 = 100;

/// Batch work may hold this many quarters of the slots while interactive work waits.
const BATCH_QUARTERS: u32 = 3;

/// Shortest time after which a refused caller is asked to come back.
const RETRY_FIRST: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller is asked to come back.
const RETRY_LAST: Duration = Duration::from_mins(1);

/// Event for a cell.
#[derive(Clone, Debug)]
pub enum CellInput {
    /// An entry offers a request.
    Offer(Offer),
    /// An entry takes an offer back.
    Withdraw(AttemptId),
    /// An entry tells how a granted attempt goes.
    Report(Report),
    /// An endpoint reported its load.
    Load {
        /// The endpoint.
        endpoint: EndpointName,
        /// The report.
        load: Load,
    },
    /// The endpoints that the platform is about to stop, all of them.
    Leaving(BTreeSet<EndpointName>),
    /// A revision of the configuration is in force.
    Configure(Arc<Config>),
    /// What the owner may do has changed.
    Lease(Tenure),
    /// An entry lists what it runs.
    Census(Census),
    /// The cell was taken over without a handover.
    Recover {
        /// Entries that may run requests of the cell and have still to report.
        entries: BTreeSet<InstanceName>,
    },
    /// An entry is gone for good.
    EntryGone(InstanceName),
    /// Time has passed.
    Tick,
}

/// Effect of an input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CellOutput {
    /// A waiting offer is granted.
    Grant(Grant),
    /// An offer is refused. It has not run.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
        refusal: Refusal,
    },
    /// An endpoint has changed state.
    Changed {
        /// The endpoint.
        endpoint: EndpointName,
        /// The new state.
        state: State,
    },
}

/// A granted attempt that has not ended.
#[derive(Debug)]
struct Active {
    account: AccountId,
    class: Class,
    endpoint: EndpointName,
    entry: Option<InstanceName>,
    charged: u64,
    generation: u32,
    granted: Moment,
}

/// Decisions of one cell.
#[derive(Debug)]
pub struct Cell {
    id: CellId,
    epoch: Epoch,
    config: Arc<Config>,
    tenure: Tenure,
    queue: FairQueue,
    endpoints: BTreeMap<EndpointName, EndpointModel>,
    active: HashMap<AttemptId, Active>,
    batch: u32,
    tombs: Tombs,
    unreported: BTreeSet<InstanceName>,
    /// Whether an entry went without reporting what it ran.
    lost: bool,
    recovered: Moment,
    /// Time of the latest input.
    latest: Moment,
    counts: Counts,
}

impl Cell {
    /// A cell that grants nothing until it gets [`CellInput::Lease`].
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
            active: HashMap::new(),
            batch: 0,
            tombs: Tombs::default(),
            unreported: BTreeSet::new(),
            lost: false,
            recovered: now,
            latest: now,
            counts: Counts::default(),
        };
        cell.place_endpoints();
        cell
    }

    /// A cell that goes on where its earlier owner stopped.
    #[must_use]
    pub fn resume(handover: Handover, epoch: Epoch, config: Arc<Config>, now: Moment) -> Self {
        let mut cell = Self::new(handover.cell, epoch, config, now);
        for counter in &handover.counters {
            let share = cell.share(counter.account.as_str());
            let id = cell.queue.account(&counter.account, share);
            cell.queue.restore(id, counter.service, counter.average);
        }
        let floor = handover.counters.iter().map(|c| c.service).max();
        cell.queue.set_floor(floor.unwrap_or(0));
        for known in &handover.endpoints {
            if let Some(model) = cell.endpoints.get_mut(&known.endpoint) {
                model.restore(known.boot, known.answers);
            }
        }
        for census in handover.running {
            for running in census.running {
                cell.adopt(running, Some(census.entry.clone()), false);
            }
        }
        cell
    }

    /// What the next owner needs to go on. Offers that wait are not part of it.
    #[must_use]
    pub fn hand_over(self) -> Handover {
        let counters = self.queue.views().map(|a| Counter {
            account: a.name.clone(),
            service: a.service,
            average: a.average,
        });
        let counters = counters.collect();
        let endpoints = self.endpoints.iter().map(|(name, model)| EndpointState {
            endpoint: name.clone(),
            boot: model.boot(),
            answers: model.answers(),
        });
        Handover {
            counters,
            running: self.censuses(),
            endpoints: endpoints.collect(),
            cell: self.id,
            epoch: self.epoch,
        }
    }

    /// Takes in one input and appends its effects to `out`.
    pub fn handle(&mut self, now: Moment, input: CellInput, out: &mut Vec<CellOutput>) {
        self.latest = now;
        match input {
            CellInput::Offer(offer) => self.offer(now, offer, out),
            CellInput::Withdraw(attempt) => self.withdraw(attempt, out),
            CellInput::Report(report) => self.report(now, &report),
            CellInput::Load { endpoint, load } => self.load(now, &endpoint, load),
            CellInput::Leaving(names) => self.leaving(&names),
            CellInput::Configure(config) => self.configure(config, out),
            CellInput::Lease(tenure) => self.tenure = tenure,
            CellInput::Census(census) => self.census(census),
            CellInput::Recover { entries } => self.recover(now, entries),
            CellInput::EntryGone(entry) => self.entry_gone(now, &entry, out),
            CellInput::Tick => {}
        }
        self.expire(now, out);
        self.grant(now, out);
        self.show(out);
    }

    /// When [`CellInput::Tick`] is due, if ever.
    #[must_use]
    pub fn timer(&self) -> Option<Moment> {
        let deadline = self.queue.deadline()?;
        let probes = self.endpoints.values().filter_map(EndpointModel::probe);
        let doubts = self
            .endpoints
            .values()
            .filter_map(EndpointModel::doubt_ends);
        let due = probes.chain(doubts).chain([deadline, self.tenure.until]);
        due.filter(|at| *at > self.latest).min()
    }

    /// The cell.
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
    pub fn polled(&self) -> impl Iterator<Item = (&EndpointName, std::net::SocketAddr)> {
        let all = self.config.cell_endpoints(&self.id);
        all.map(|(name, endpoint)| (name, endpoint.address))
    }

    /// Queues, counters and endpoints.
    #[must_use]
    pub fn status(&self) -> CellStatus {
        let part = self.tenure.part_at(self.latest);
        let endpoints = self.endpoints.iter().map(|(name, model)| EndpointStatus {
            endpoint: name.clone(),
            state: model.state(),
            limit: part.map_or(0, |p| p.of(model.bears())),
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
        if let Some(active) = self.active.get(&attempt) {
            out.push(CellOutput::Grant(self.granted(attempt, active)));
            return;
        }
        self.counts.offered += 1;
        let refusal = if self.tenure.part_at(now).is_none() {
            Some(Refusal::NotOwner(None))
        } else if self.tombs.contains(attempt) {
            Some(Refusal::Cancelled)
        } else if !self.endpoints.values().any(EndpointModel::is_in) {
            let retry = RETRY_FIRST;
            Some(Refusal::NoEndpoint { retry })
        } else {
            None
        };
        let refusal = refusal.or_else(|| self.enqueue(now, offer));
        if let Some(refusal) = refusal {
            self.refuse(attempt, refusal, out);
        }
    }

    /// Queues the offer, or tells why not.
    fn enqueue(&mut self, now: Moment, offer: Offer) -> Option<Refusal> {
        let Some(account) = self.config.accounts.get(&offer.account) else {
            return Some(Refusal::UnknownAccount);
        };
        let room = account.queue as usize;
        let id = self.queue.account(&offer.account, account.share);
        if self.queue.waiting_of(id) >= room {
            let retry = self.queue.drain(id).clamp(RETRY_FIRST, RETRY_LAST);
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

    fn refuse(&mut self, attempt: AttemptId, refusal: Refusal, out: &mut Vec<CellOutput>) {
        if refusal == Refusal::Cancelled {
            self.counts.cancelled += 1;
        } else {
            self.counts.refused += 1;
        }
        out.push(CellOutput::Refuse { attempt, refusal });
    }

    fn withdraw(&mut self, attempt: AttemptId, out: &mut Vec<CellOutput>) {
        self.tombs.insert(attempt);
        if self.queue.remove(attempt).is_some() {
            self.refuse(attempt, Refusal::Cancelled, out);
            return;
        }
        // The grant crossed the withdrawal, so the entry never runs the attempt.
        let Some(active) = self.close(attempt) else {
            return;
        };
        self.queue.finish(active.account, active.charged, 0);
        if let Some(model) = self.endpoints.get_mut(&active.endpoint) {
            model.stop();
        }
        self.counts.ended += 1;
    }

    fn report(&mut self, now: Moment, report: &Report) {
        if !self.active.contains_key(&report.attempt) && !self.learn(report) {
            return;
        }
        match report.phase {
            Phase::Running => self.progress(report),
            Phase::Ended(ending) => self.end(now, report, ending),
        }
    }

    /// Takes in an attempt that an earlier owner granted, and tells whether it is one.
    fn learn(&mut self, report: &Report) -> bool {
        let foreign = report.epoch < self.epoch && !self.tombs.contains(report.attempt);
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

    fn progress(&mut self, report: &Report) {
        let Some(active) = self.active.get_mut(&report.attempt) else {
            return;
        };
        if report.cost > active.charged {
            self.queue
                .correct(active.account, active.charged, report.cost);
            active.charged = report.cost;
        }
        let sight = sight(active, report);
        if let Some(model) = self.endpoints.get_mut(&active.endpoint) {
            model.sight(sight);
        }
    }

    fn end(&mut self, now: Moment, report: &Report, ending: Ending) {
        let Some(active) = self.close(report.attempt) else {
            return;
        };
        let cost = if ending.is_not_sent() { 0 } else { report.cost };
        self.queue.finish(active.account, active.charged, cost);
        if ending.is_answered() {
            self.queue.learn(active.account, cost);
        }
        if let Some(model) = self.endpoints.get_mut(&active.endpoint) {
            model.stop();
            model.ended(now, sight(&active, report), ending);
        }
        self.counts.ended += 1;
    }

    /// Takes an attempt out of those that run.
    fn close(&mut self, attempt: AttemptId) -> Option<Active> {
        let active = self.active.remove(&attempt)?;
        self.tombs.insert(attempt);
        if active.class.is_batch() {
            self.batch = self.batch.saturating_sub(1);
        }
        Some(active)
    }

    fn load(&mut self, now: Moment, endpoint: &EndpointName, load: Load) {
        let settled = self
            .active
            .values()
            .filter(|a| a.endpoint == *endpoint && a.granted.after(LOAD_LAG) <= now);
        let settled = u32::try_from(settled.count()).unwrap_or(u32::MAX);
        if let Some(model) = self.endpoints.get_mut(endpoint) {
            model.load(now, load, settled);
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
        self.place_endpoints();
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

    /// Brings the endpoints in line with the configuration. Those without a place in it stay, out
    /// of use, until nothing runs there.
    fn place_endpoints(&mut self) {
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

    fn share(&self, account: &str) -> u32 {
        self.config.accounts.get(account).map_or(1, |a| a.share)
    }

    fn recover(&mut self, now: Moment, entries: BTreeSet<InstanceName>) {
        self.recovered = now;
        self.unreported = entries;
        if self.unreported.is_empty() {
            return;
        }
        for model in self.endpoints.values_mut() {
            model.doubt(now);
        }
    }

    fn census(&mut self, census: Census) {
        let listed: BTreeSet<AttemptId> = census.running.iter().map(|r| r.attempt).collect();
        for running in census.running {
            let known = self.active.contains_key(&running.attempt);
            if !known && !self.tombs.contains(running.attempt) {
                self.adopt(running, Some(census.entry.clone()), true);
            }
        }
        for attempt in listed {
            if let Some(active) = self.active.get_mut(&attempt) {
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

    fn entry_gone(&mut self, now: Moment, entry: &InstanceName, out: &mut Vec<CellOutput>) {
        if self.unreported.remove(entry) {
            self.lost = true;
        }
        let gone = self
            .active
            .iter()
            .filter(|(_, a)| a.entry.as_ref() == Some(entry));
        let gone: Vec<AttemptId> = gone.map(|(attempt, _)| *attempt).collect();
        for attempt in gone {
            let Some(active) = self.close(attempt) else {
                continue;
            };
            self.queue
                .finish(active.account, active.charged, active.charged);
            if let Some(model) = self.endpoints.get_mut(&active.endpoint) {
                model.orphan(now);
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
        let model = self.endpoints.get_mut(&running.endpoint);
        let generation = model.map_or(0, |m| {
            m.adopt();
            m.generation()
        });
        self.batch += u32::from(running.class.is_batch());
        self.counts.adopted += 1;
        let active = Active {
            account,
            class: running.class,
            endpoint: running.endpoint,
            entry,
            charged: running.cost,
            generation,
            granted: self.recovered,
        };
        self.active.insert(running.attempt, active);
    }

    fn expire(&mut self, now: Moment, out: &mut Vec<CellOutput>) {
        for attempt in self.queue.expired(now) {
            self.queue.remove(attempt);
            self.refuse(attempt, Refusal::Deadline, out);
        }
        let refusal = if self.tenure.part_at(now).is_none() {
            Refusal::NotOwner(None)
        } else if self.endpoints.values().any(EndpointModel::is_in) {
            return;
        } else {
            let retry = RETRY_FIRST;
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
        let slots: u32 = self.endpoints.values().map(|m| part.of(m.bears())).sum();
        let batch_limit = (slots * BATCH_QUARTERS).div_ceil(4);
        while let Some(attempt) = self.queue.next(self.batch >= batch_limit) {
            let Some(endpoint) = self.pick(now, part, attempt) else {
                return;
            };
            let Some(grant) = self.start(now, attempt, endpoint) else {
                return;
            };
            out.push(CellOutput::Grant(grant));
        }
    }

    /// The endpoint with the largest free part of its limit; one to avoid only if no other is
    /// free.
    fn pick(&self, now: Moment, part: Part, attempt: AttemptId) -> Option<EndpointName> {
        let avoid = self.queue.get(attempt).map_or(&[][..], |w| &w.avoid);
        let free = self.endpoints.iter().filter_map(|(name, model)| {
            let room = model.room(now, |limit| part.of(limit));
            let score = u64::from(room) * 1000 / u64::from(model.bears().max(1));
            (room > 0).then(|| (!avoid.contains(name), score, name))
        });
        free.max_by_key(|(fresh, score, _)| (*fresh, *score))
            .map(|(_, _, name)| name.clone())
    }

    fn start(&mut self, now: Moment, attempt: AttemptId, endpoint: EndpointName) -> Option<Grant> {
        let (waiting, charged) = self.queue.serve(now, attempt)?;
        let model = self.endpoints.get_mut(&endpoint)?;
        model.start(now);
        let active = Active {
            account: waiting.account,
            class: waiting.class,
            endpoint,
            entry: Some(waiting.entry),
            charged,
            generation: model.generation(),
            granted: now,
        };
        self.batch += u32::from(waiting.class.is_batch());
        let grant = self.granted(attempt, &active);
        self.active.insert(attempt, active);
        self.counts.granted += 1;
        Some(grant)
    }

    fn granted(&self, attempt: AttemptId, active: &Active) -> Grant {
        Grant {
            attempt,
            cell: self.id.clone(),
            epoch: self.epoch,
            endpoint: active.endpoint.clone(),
            charged: active.charged,
        }
    }

    fn show(&mut self, out: &mut Vec<CellOutput>) {
        for (name, model) in &mut self.endpoints {
            if let Some(state) = model.changed() {
                let endpoint = name.clone();
                out.push(CellOutput::Changed { endpoint, state });
            }
        }
    }

    fn censuses(&self) -> Vec<Census> {
        let mut entries: BTreeMap<InstanceName, Vec<Running>> = BTreeMap::new();
        for (attempt, active) in &self.active {
            let Some(entry) = &active.entry else { continue };
            let running = Running {
                attempt: *attempt,
                endpoint: active.endpoint.clone(),
                account: self.queue.name(active.account).clone(),
                class: active.class,
                cost: active.charged,
            };
            entries.entry(entry.clone()).or_default().push(running);
        }
        let censuses = entries.into_iter().map(|(entry, running)| Census {
            entry,
            cell: self.id.clone(),
            running,
        });
        censuses.collect()
    }
}

fn sight(active: &Active, report: &Report) -> Sight {
    Sight {
        generation: active.generation,
        boot: report.boot,
        first: report.first,
    }
}
