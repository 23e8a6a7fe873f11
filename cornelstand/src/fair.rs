//! Fair queueing: a queue per client account, ordered by weighted service counters.
//!
//! Each account has a counter of the service it received, as cost over share. The next request is
//! of the backlogged account with the lowest counter; inside an account interactive requests go
//! before batch ones, each in order of arrival. The cost of a request is known only at its end:
//! an estimate is charged on the grant and corrected by reports. An account that becomes backlogged
//! starts at the highest minimum counter of the backlogged so far, so that idle time earns no
//! credit. `docs/design/fairness.md` states the bound on the service gap.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use crate::config::Class;
use crate::moment::{Moment, micros};
use crate::name::{AccountName, AttemptId, EndpointName, InstanceName};

/// Fixed-point units of a counter for one unit of cost at share 1.
const COUNTER_SCALE: u64 = 1 << 16;

/// Largest cost that is charged for one request.
const COST_LIMIT: u64 = 1 << 32;

/// Inverse weight of the latest outcome in the average cost of an account.
const AVERAGE_WEIGHT: u64 = 8;

/// How far batch work may fall behind queued interactive work, in average calls of its account.
const BATCH_SLACK: u64 = 4;

/// Index of an account in the queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct AccountId(u32);

/// Sort key of a backlogged account in the service order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    service: u64,
    /// Sequence number of the account's latest grant. Ties go to the least recently served.
    last_grant: u64,
    id: AccountId,
}

#[derive(Debug)]
struct Account {
    name: AccountName,
    share: u32,
    service: u64,
    /// Service given by this cell, modulo 2^64.
    given: u64,
    last_grant: u64,
    average: u64,
    running: u32,
    /// Moving average of the time between grants.
    grant_interval: Duration,
    granted: Moment,
    interactive: BTreeSet<QueueKey>,
    batch: BTreeSet<QueueKey>,
}

/// Sort key of a request in its account's queue: arrival in microseconds, then the attempt.
type QueueKey = (i64, AttemptId);

/// A request that waits for a grant.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) account: AccountId,
    pub(crate) class: Class,
    /// When the request reached the fleet; negative if before this process started.
    pub(crate) arrival: i64,
    pub(crate) deadline: Moment,
    pub(crate) hint: Option<u64>,
    pub(crate) entry: InstanceName,
    pub(crate) avoid: Vec<EndpointName>,
}

/// Snapshot of one account for the status.
#[derive(Debug)]
pub(crate) struct AccountView<'a> {
    pub(crate) name: &'a AccountName,
    pub(crate) share: u32,
    pub(crate) service: u64,
    pub(crate) average: u64,
    pub(crate) interactive: usize,
    pub(crate) batch: usize,
    pub(crate) running: u32,
}

/// The queues of one cell.
#[derive(Debug)]
pub(crate) struct FairQueue {
    ids: HashMap<AccountName, AccountId>,
    accounts: Vec<Account>,
    backlogged: BTreeSet<Rank>,
    /// The backlogged accounts with interactive requests.
    urgent: BTreeSet<Rank>,
    waiting: HashMap<AttemptId, Waiting>,
    deadlines: BTreeSet<(Moment, AttemptId)>,
    /// Highest minimum counter of the backlogged accounts so far, at which an account that becomes
    /// backlogged starts. Refunds lower counters, but not this.
    floor: u64,
    /// Accounts with counters restored from an earlier owner, until they become backlogged here.
    restored: HashSet<AccountId>,
    grants: u64,
    estimate: u64,
}

impl FairQueue {
    pub(crate) fn new(estimate: u64) -> Self {
        Self {
            ids: HashMap::new(),
            accounts: Vec::new(),
            backlogged: BTreeSet::new(),
            urgent: BTreeSet::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            floor: 0,
            restored: HashSet::new(),
            grants: 0,
            estimate: estimate.clamp(1, COST_LIMIT),
        }
    }

    /// Returns the account of that name, creating it idle if it is new.
    pub(crate) fn account(&mut self, name: &AccountName, share: u32) -> AccountId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = AccountId(u32::try_from(self.accounts.len()).unwrap_or(u32::MAX));
        self.ids.insert(name.clone(), id);
        self.accounts.push(Account {
            name: name.clone(),
            share: share.max(1),
            service: 0,
            given: 0,
            last_grant: 0,
            average: self.estimate,
            running: 0,
            grant_interval: Duration::ZERO,
            granted: Moment::default(),
            interactive: BTreeSet::new(),
            batch: BTreeSet::new(),
        });
        id
    }

    pub(crate) fn set_share(&mut self, id: AccountId, share: u32) {
        self.unrank(id);
        self.at_mut(id).share = share.max(1);
        self.rank(id);
    }

    /// Restores the counter and the average of an account from an earlier owner. The counter is not
    /// raised to the floor when its requests are offered again.
    pub(crate) fn restore(&mut self, id: AccountId, service: u64, average: u64) {
        self.unrank(id);
        let account = self.at_mut(id);
        account.service = service;
        account.average = average.clamp(1, COST_LIMIT);
        self.restored.insert(id);
        self.rank(id);
    }

    /// Treats accounts without a request since [`Self::restore`] as idle.
    pub(crate) fn forget_restored(&mut self) {
        self.restored.clear();
    }

    pub(crate) fn set_floor(&mut self, floor: u64) {
        self.floor = floor;
    }

    pub(crate) fn name(&self, id: AccountId) -> &AccountName {
        &self.at(id).name
    }

    pub(crate) fn waiting_of(&self, id: AccountId) -> usize {
        let account = self.at(id);
        account.interactive.len() + account.batch.len()
    }

    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.waiting.contains_key(&attempt)
    }

    pub(crate) fn get(&self, attempt: AttemptId) -> Option<&Waiting> {
        self.waiting.get(&attempt)
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.waiting.keys().copied()
    }

    /// Earliest deadline of a waiting request.
    pub(crate) fn deadline(&self) -> Option<Moment> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Adds a request that is not in the queue.
    pub(crate) fn push(&mut self, attempt: AttemptId, waiting: Waiting) {
        let id = waiting.account;
        self.unrank(id);
        if self.waiting_of(id) == 0 && !self.restored.remove(&id) {
            let floor = self.floor;
            let account = self.at_mut(id);
            account.service = account.service.max(floor);
        }
        let key = (waiting.arrival, attempt);
        self.class_queue(id, waiting.class).insert(key);
        self.deadlines.insert((waiting.deadline, attempt));
        self.waiting.insert(attempt, waiting);
        self.rank(id);
    }

    /// Removes a request without serving it.
    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&attempt)?;
        let id = waiting.account;
        self.deadlines.remove(&(waiting.deadline, attempt));
        self.unrank(id);
        let requests = self.class_queue(id, waiting.class);
        requests.remove(&(waiting.arrival, attempt));
        if requests.is_empty() {
            // An emptied set keeps its root node, which would cost memory for each idle account.
            *requests = BTreeSet::new();
        }
        self.rank(id);
        Some(waiting)
    }

    /// The request to serve next.
    ///
    /// Interactive requests go before batch work of an account whose counter is lower by at most
    /// [`BATCH_SLACK`] of its average calls.
    pub(crate) fn next(&self) -> Option<AttemptId> {
        let first = self.backlogged.first()?;
        let account = self.at(first.id);
        if let Some((_, attempt)) = account.interactive.first() {
            return Some(*attempt);
        }
        let slack = units(BATCH_SLACK * account.average, account.share);
        let urgent = self.urgent.first();
        let account = urgent
            .filter(|u| u.service <= first.service.saturating_add(slack))
            .map_or(account, |u| self.at(u.id));
        let mut requests = account.interactive.iter().chain(&account.batch);
        requests.next().map(|(_, attempt)| *attempt)
    }

    /// Removes a request and charges its estimated cost, which is returned.
    pub(crate) fn serve(&mut self, now: Moment, attempt: AttemptId) -> Option<(Waiting, u64)> {
        let id = self.waiting.get(&attempt)?.account;
        self.grants += 1;
        let last_grant = self.grants;
        let waiting = self.remove(attempt)?;
        self.unrank(id);
        let account = self.at_mut(id);
        account.last_grant = last_grant;
        let gap = now.since(account.granted);
        account.grant_interval = if account.granted == Moment::default() {
            gap
        } else {
            (account.grant_interval * 7 + gap) / 8
        };
        account.granted = now;
        let charge = waiting.hint.unwrap_or(0).max(account.average);
        let charge = charge.min(COST_LIMIT);
        self.rank(id);
        self.start(id, charge);
        Some((waiting, charge))
    }

    /// Counts a request as running and charges `cost`.
    pub(crate) fn start(&mut self, id: AccountId, cost: u64) {
        self.at_mut(id).running += 1;
        self.correct(id, 0, cost);
    }

    /// Counts a request as running whose cost is already charged.
    pub(crate) fn add_running(&mut self, id: AccountId) {
        self.at_mut(id).running += 1;
    }

    /// Replaces a charge of `from` by `to`.
    pub(crate) fn correct(&mut self, id: AccountId, from: u64, to: u64) {
        self.unrank(id);
        let account = self.at_mut(id);
        let paid = units(from, account.share);
        let due = units(to, account.share);
        account.service = account.service.saturating_add(due).saturating_sub(paid);
        account.given = account.given.wrapping_add(due).wrapping_sub(paid);
        self.rank(id);
    }

    /// Adds service that another cell gave to the account.
    pub(crate) fn add_remote_service(&mut self, id: AccountId, service: i64) {
        self.unrank(id);
        let account = self.at_mut(id);
        account.service = account.service.saturating_add_signed(service);
        self.rank(id);
    }

    /// Service given to the account by this cell, modulo 2^64.
    pub(crate) fn given(&self, id: AccountId) -> u64 {
        self.at(id).given
    }

    pub(crate) fn find(&self, name: &AccountName) -> Option<AccountId> {
        self.ids.get(name).copied()
    }

    pub(crate) fn backlogged(&self) -> impl Iterator<Item = AccountId> + '_ {
        self.backlogged.iter().map(|rank| rank.id)
    }

    /// Counts a request as ended, and replaces the charge by its actual cost.
    pub(crate) fn finish(&mut self, id: AccountId, charged: u64, cost: u64) {
        let account = self.at_mut(id);
        account.running = account.running.saturating_sub(1);
        self.correct(id, charged, cost);
    }

    /// Updates the account's average with the cost of a complete answer.
    pub(crate) fn update_average(&mut self, id: AccountId, cost: u64) {
        let account = self.at_mut(id);
        let sum = account.average * (AVERAGE_WEIGHT - 1) + cost.min(COST_LIMIT);
        account.average = (sum / AVERAGE_WEIGHT).max(1);
    }

    /// Requests whose deadline is at or before `now`.
    pub(crate) fn expired(&self, now: Moment) -> Vec<AttemptId> {
        self.deadlines
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, attempt)| *attempt)
            .collect()
    }

    /// Estimated time to serve a quarter of the account's queue.
    pub(crate) fn drain_time(&self, id: AccountId) -> Duration {
        let quarter = u32::try_from(self.waiting_of(id).div_ceil(4)).unwrap_or(u32::MAX);
        self.at(id).grant_interval.saturating_mul(quarter)
    }

    pub(crate) fn views(&self) -> impl Iterator<Item = AccountView<'_>> {
        self.accounts.iter().map(|a| AccountView {
            name: &a.name,
            share: a.share,
            service: a.service,
            average: a.average,
            interactive: a.interactive.len(),
            batch: a.batch.len(),
            running: a.running,
        })
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = AccountId> + use<> {
        (0..u32::try_from(self.accounts.len()).unwrap_or(u32::MAX)).map(AccountId)
    }

    /// Lowest counter of an account that becomes backlogged.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    fn at(&self, id: AccountId) -> &Account {
        &self.accounts[id.0 as usize]
    }

    fn at_mut(&mut self, id: AccountId) -> &mut Account {
        &mut self.accounts[id.0 as usize]
    }

    fn class_queue(&mut self, id: AccountId, class: Class) -> &mut BTreeSet<QueueKey> {
        let account = self.at_mut(id);
        match class {
            Class::Interactive => &mut account.interactive,
            Class::Batch => &mut account.batch,
        }
    }

    fn rank_of(&self, id: AccountId) -> Rank {
        let account = self.at(id);
        Rank {
            service: account.service,
            last_grant: account.last_grant,
            id,
        }
    }

    /// Removes the account from the service order, before part of its sort key changes.
    fn unrank(&mut self, id: AccountId) {
        let rank = self.rank_of(id);
        self.backlogged.remove(&rank);
        self.urgent.remove(&rank);
    }

    /// Puts the account back into the service order if it is backlogged.
    fn rank(&mut self, id: AccountId) {
        let rank = self.rank_of(id);
        if self.waiting_of(id) > 0 {
            self.backlogged.insert(rank);
        }
        if !self.at(id).interactive.is_empty() {
            self.urgent.insert(rank);
        }
        let least = self.backlogged.first().map_or(0, |r| r.service);
        self.floor = self.floor.max(least);
    }
}

/// Arrival time, in microseconds, of a request that has waited for `waited` at `now`.
pub(crate) fn arrival(now: Moment, waited: Duration) -> i64 {
    let now = i64::try_from(now.0).unwrap_or(i64::MAX);
    now.saturating_sub(i64::try_from(micros(waited)).unwrap_or(i64::MAX))
}

/// Counter units of `cost` at `share`.
pub(crate) fn units(cost: u64, share: u32) -> u64 {
    cost.saturating_mul(COUNTER_SCALE) / u64::from(share.max(1))
}
