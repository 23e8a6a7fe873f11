//! Admission control: the queue in front of the endpoints and the order in which it is served.
//!
//! Requests are queued only as long as they can still meet their latency objective. The queue is
//! served by least attained service: the next place goes to the account with the lowest recent,
//! fleet-wide usage. Accounts that ask for more than an even share thus get equal shares, and no
//! request waits while there is capacity. A request whose wait would be too long is refused at once
//! with a retry time. Designed for bursts in which a few large accounts ask for several times what
//! the engines can serve.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::catalog::GatewayRoute;
use crate::gateway::endpoint_state::Prompt;
use crate::gateway::number::{to_f32, to_f64};
use crate::moment::Moment;
use crate::name::{AccountName, ServiceName};

/// Time constant of the decay of attained service. Usage without contention counts against an
/// account for about as long, so this is well below the platform's comparison window of 6 s.
pub(super) const ATTAINED_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time constant of the rate at which requests get places.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(800);
/// Fraction of its objective for which a request may be queued.
const MAX_WAIT_FRACTION: f64 = 0.45;
/// Longest wait of an interrupted stream: callers give up after a gap of 2 s or more.
const RESUMED_MAX_WAIT: Duration = Duration::from_millis(900);
/// Fraction of its objective for which a request waits for an endpoint that has its shared prefix
/// cached: its whole wait, since a second prefill takes engine time from several other requests.
/// Prefixes in higher demand are replicated; see
/// [`crate::gateway::placement::Endpoints::should_replicate`].
const CACHED_WAIT_FRACTION: f64 = MAX_WAIT_FRACTION;
/// Shortest retry time for a refused caller: its retry reaches another instance within what is left
/// of its objective.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Longest retry time; beyond it the estimate is unreliable.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(8);
/// Time constant of the decay of refused demand, which signals a lack of capacity.
const REFUSED_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Demand, in seconds of the capacity of all endpoints, above which accounts with more attained
/// service yield: a single request that fits no endpoint must not block the others.
const MIN_DEMAND_SECONDS: f64 = 0.02;
/// Maximum number of demand entries in a message.
const MAX_DEMANDS: usize = 32;
/// Relative and absolute (weighted tokens) difference up to which demands are merged: less than the
/// tolerance of [`YIELD_TOLERANCE`].
const MERGE_TOLERANCE: (f32, f32) = (1.08, 2_000.0);
/// Relative and absolute (weighted tokens) lead over an account waiting elsewhere before yielding.
const YIELD_TOLERANCE: (f64, f64) = (1.15, 10_000.0);
/// Maximum queue length of an instance, which bounds its memory.
const MAX_QUEUE_LEN: usize = 512;
/// Engine time of a generated token relative to a prompt token.
const OUTPUT_COST: f64 = 2.0;

/// Unserved demand of one account, as sent to other instances.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Demand {
    /// Weighted tokens that the account attained.
    #[serde(rename = "attained")]
    pub(crate) attained_service: f32,
    /// Weighted tokens of its queued and recently refused requests.
    pub(crate) tokens: f32,
}

/// Sorts demands by attained service and merges those with nearly equal values.
pub(crate) fn merge_demands(mut demands: Vec<Demand>) -> Vec<Demand> {
    demands.sort_by(|a, b| a.attained_service.total_cmp(&b.attained_service));
    let mut joined: Vec<Demand> = Vec::new();
    for demand in demands {
        match joined.last_mut() {
            Some(last)
                if demand.attained_service
                    <= last.attained_service * MERGE_TOLERANCE.0 + MERGE_TOLERANCE.1 =>
            {
                last.tokens += demand.tokens;
            }
            _ => joined.push(demand),
        }
    }
    joined.truncate(MAX_DEMANDS);
    joined
}

/// Identifier of a queued request, unique within this instance.
pub(crate) type WaitId = u64;

/// Sum with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingSum {
    sum: f64,
    at: Moment,
}

impl DecayingSum {
    pub(crate) fn new(now: Moment, sum: f64) -> Self {
        Self { sum, at: now }
    }

    pub(crate) fn get(&self, now: Moment, time_constant: Duration) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * (-age / time_constant.as_secs_f64()).exp()
    }

    pub(crate) fn add(&mut self, now: Moment, amount: f64, time_constant: Duration) {
        self.sum = self.get(now, time_constant) + amount;
        self.at = now;
    }
}

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) account: AccountName,
    pub(crate) service: ServiceName,
    /// Name of its route.
    pub(crate) route: String,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) arrived: Moment,
    /// Latest time at which it may get a place.
    pub(crate) queue_deadline: Moment,
    /// Deadline for the end of the response.
    pub(crate) ends: Moment,
    /// Until then only an endpoint with the shared prefix in its cache is acceptable.
    pub(crate) cached_until: Moment,
    /// Whether the caller has already received part of the response.
    pub(crate) is_resumed: bool,
}

impl Waiting {
    pub(crate) fn new(
        now: Moment,
        account: AccountName,
        service: ServiceName,
        route: &GatewayRoute,
        prompt: Option<Prompt>,
        left: Duration,
    ) -> Self {
        Self {
            account,
            service,
            route: route.name.clone(),
            prompt,
            arrived: now,
            queue_deadline: now.after(route.objective.mul_f64(MAX_WAIT_FRACTION)),
            ends: now.after(left),
            cached_until: now.after(route.objective.mul_f64(CACHED_WAIT_FRACTION)),
            is_resumed: false,
        }
    }

    /// Turns the request into the continuation of an interrupted stream, which is served before all
    /// others, since its generated tokens would be lost, and accepts any endpoint.
    pub(crate) fn resumed(mut self) -> Self {
        self.is_resumed = true;
        self.cached_until = self.arrived;
        self.queue_deadline = self.arrived.after(RESUMED_MAX_WAIT).min(self.ends);
        self
    }

    /// Weighted tokens: prompt tokens count once, generated tokens twice.
    pub(crate) fn cost(&self) -> f64 {
        let tokens = |p: &Prompt| f64::from(p.input) + OUTPUT_COST * f64::from(p.output);
        self.prompt.as_ref().map_or(1.0, tokens)
    }
}

/// Throughput of the endpoints of a service, in weighted tokens per second.
#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    all: f64,
    /// Share of this instance if all instances are equally loaded.
    share: f64,
}

/// The queue in front of the endpoints and the attained service of the accounts.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    waiting: Vec<(WaitId, Waiting)>,
    next_id: WaitId,
    /// Attained service through this instance.
    own: HashMap<AccountName, DecayingSum>,
    peers: HashMap<AccountName, DecayingSum>,
    rates: HashMap<ServiceName, DecayingSum>,
    /// Weighted tokens of recently refused requests.
    refused: HashMap<ServiceName, HashMap<AccountName, DecayingSum>>,
    /// Attained service of the accounts at peers to which others have to yield.
    min_attained: HashMap<ServiceName, f64>,
    /// Moving average of the attained service of the accounts that got places.
    average_attained: f64,
    capacity: HashMap<ServiceName, Capacity>,
}

impl Admission {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Recent fleet-wide usage of an account, in weighted tokens.
    pub(crate) fn attained_service(&self, now: Moment, account: &AccountName) -> f64 {
        let get = |map: &HashMap<AccountName, DecayingSum>| {
            map.get(account)
                .map_or(0.0, |f| f.get(now, ATTAINED_TIME_CONSTANT))
        };
        get(&self.own) + get(&self.peers)
    }

    /// Attained service of all accounts through this instance, for the peers.
    pub(crate) fn own(&self, now: Moment) -> impl Iterator<Item = (&AccountName, f64)> {
        self.own
            .iter()
            .map(move |(name, f)| (name, f.get(now, ATTAINED_TIME_CONSTANT)))
    }

    /// Replaces the attained service through the peers.
    pub(crate) fn set_peers(&mut self, now: Moment, attained_service: HashMap<AccountName, f64>) {
        let sums = attained_service.into_iter();
        self.peers = sums
            .map(|(name, sum)| (name, DecayingSum::new(now, sum)))
            .collect();
    }

    /// Replaces the unserved demand at the peers.
    pub(crate) fn set_peer_demands(&mut self, demands: HashMap<ServiceName, Vec<Demand>>) {
        let min_attained = |(service, demands): (ServiceName, Vec<Demand>)| {
            let all = self.capacity.get(&service).map_or(0.0, |c| c.all);
            let mut left = all * MIN_DEMAND_SECONDS;
            for demand in merge_demands(demands) {
                left -= f64::from(demand.tokens);
                if left <= 0.0 {
                    return Some((service, f64::from(demand.attained_service)));
                }
            }
            None
        };
        self.min_attained = demands.into_iter().filter_map(min_attained).collect();
    }

    /// Unserved demand at this instance by service, for the peers.
    pub(crate) fn demands(&self, now: Moment) -> HashMap<ServiceName, Vec<Demand>> {
        let mut tokens: HashMap<&ServiceName, HashMap<&AccountName, f64>> = HashMap::new();
        for (service, refused) in &self.refused {
            let accounts = tokens.entry(service).or_default();
            for (account, sum) in refused {
                *accounts.entry(account).or_default() += sum.get(now, REFUSED_TIME_CONSTANT);
            }
        }
        // A request that still waits for an engine with its prefix cached tells nothing about the
        // capacity of the others.
        let waiting = self.waiting.iter().map(|(_, w)| w);
        for w in waiting.filter(|w| w.prompt.is_some() && now >= w.cached_until) {
            let accounts = tokens.entry(&w.service).or_default();
            *accounts.entry(&w.account).or_default() += w.cost();
        }
        let demand = |(account, tokens): (&AccountName, f64)| Demand {
            attained_service: to_f32(self.attained_service(now, account)),
            tokens: to_f32(tokens),
        };
        let demands = tokens.into_iter().map(|(service, accounts)| {
            let demands = accounts.into_iter().map(demand);
            let demands = demands.filter(|d| d.tokens >= 1.0).collect();
            (service.clone(), merge_demands(demands))
        });
        demands.filter(|(_, demands)| !demands.is_empty()).collect()
    }

    /// Whether a request has to yield to an account with less attained service at another instance.
    pub(crate) fn must_yield(&self, now: Moment, waiting: &Waiting) -> bool {
        let min_attained = self.min_attained(&waiting.service);
        let Some(min_attained) =
            min_attained.filter(|_| waiting.prompt.is_some() && !waiting.is_resumed)
        else {
            return false;
        };
        self.attained_service(now, &waiting.account)
            > min_attained * YIELD_TOLERANCE.0 + YIELD_TOLERANCE.1
    }

    /// Records a request that was refused for lack of capacity.
    pub(crate) fn note_refusal(&mut self, now: Moment, waiting: &Waiting) {
        if waiting.prompt.is_none() {
            return;
        }
        let refused = self.refused.entry(waiting.service.clone()).or_default();
        let sum = refused.entry(waiting.account.clone()).or_default();
        sum.add(now, waiting.cost(), REFUSED_TIME_CONSTANT);
    }

    pub(crate) fn push(&mut self, waiting: Waiting) -> WaitId {
        self.next_id += 1;
        self.waiting.push((self.next_id, waiting));
        self.next_id
    }

    pub(crate) fn remove(&mut self, id: WaitId) -> Option<Waiting> {
        let index = self.waiting.iter().position(|(i, _)| *i == id)?;
        Some(self.waiting.swap_remove(index).1)
    }

    /// Queued requests in the order in which they are served.
    pub(crate) fn order(&self, now: Moment) -> Vec<WaitId> {
        let attained_service = |w: &Waiting| {
            if w.is_resumed {
                -1.0
            } else {
                self.attained_service(now, &w.account)
            }
        };
        let keys = self.waiting.iter();
        let mut keys: Vec<(f64, Moment, WaitId)> = keys
            .map(|(id, w)| (attained_service(w), w.arrived, *id))
            .collect();
        keys.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        keys.into_iter().map(|(_, _, id)| id).collect()
    }

    pub(crate) fn get(&self, id: WaitId) -> Option<&Waiting> {
        self.waiting.iter().find(|(i, _)| *i == id).map(|(_, w)| w)
    }

    /// Charges the account of a request that got a place.
    pub(crate) fn charge(&mut self, now: Moment, waiting: &Waiting) {
        let cost = waiting.cost();
        let attained_service = self.attained_service(now, &waiting.account);
        self.average_attained += 0.05 * (attained_service - self.average_attained);
        let own = match self.own.get_mut(&waiting.account) {
            Some(own) => own,
            None => self.own.entry(waiting.account.clone()).or_default(),
        };
        own.add(now, cost, ATTAINED_TIME_CONSTANT);
        let rate = self.rates.entry(waiting.service.clone()).or_default();
        rate.add(now, cost, RATE_TIME_CONSTANT);
    }

    pub(crate) fn refund(&mut self, now: Moment, account: &AccountName, cost: f64) {
        if let Some(own) = self.own.get_mut(account) {
            let left = (own.get(now, ATTAINED_TIME_CONSTANT) - cost).max(0.0);
            *own = DecayingSum::new(now, left);
        }
    }

    /// Whether a queued request is expected to miss its wait limit.
    pub(crate) fn exceeds_wait(&self, now: Moment, id: WaitId) -> bool {
        if self.waiting.len() > MAX_QUEUE_LEN {
            return true;
        }
        // Calls without a prompt are short: slots are freed within their wait.
        let may_refuse = |w: &&Waiting| w.prompt.is_some() && !w.is_resumed;
        let Some(waiting) = self.get(id).filter(may_refuse) else {
            return false;
        };
        let attained_service = self.attained_service(now, &waiting.account);
        let is_ahead = |(other, w): &&(WaitId, Waiting)| {
            *other != id
                && w.service == waiting.service
                && self.attained_service(now, &w.account) <= attained_service
        };
        let ahead = self.waiting.iter().filter(is_ahead);
        let ahead: f64 = ahead.map(|(_, w)| w.cost()).sum();
        let rate = self.rate(now, &waiting.service);
        ahead > rate * waiting.queue_deadline.since(now).as_secs_f64()
    }

    /// Retry time for a refused request of `account`.
    pub(crate) fn retry_after(&self, now: Moment, account: &AccountName) -> Duration {
        let attained_service = self.attained_service(now, account);
        let ratio = (attained_service / self.average_attained.max(1.0)).max(1.0);
        let time = ATTAINED_TIME_CONSTANT.mul_f64(ratio.ln());
        time.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Whether an account has attained more than the other active ones on average, so that the fair
    /// share and not a full service is why its request gets no place.
    pub(crate) fn is_over_share(&self, now: Moment, account: &AccountName) -> bool {
        let others: HashSet<&AccountName> = self.own.keys().chain(self.peers.keys()).collect();
        let others = others.into_iter().filter(|other| *other != account);
        let attained: Vec<f64> = others
            .map(|other| self.attained_service(now, other))
            .filter(|sum| *sum >= 1.0)
            .collect();
        let average = attained.iter().sum::<f64>() / to_f64(attained.len()).max(1.0);
        !attained.is_empty() && self.attained_service(now, account) > average
    }

    /// Moving average of the attained service of the accounts that got places.
    pub(crate) fn average_attained(&self) -> f64 {
        self.average_attained
    }

    /// Sets the throughput of a service over all `instances`, in weighted tokens per second.
    pub(crate) fn set_capacity(&mut self, service: &ServiceName, all: f64, instances: f64) {
        let share = all / instances;
        self.capacity
            .insert(service.clone(), Capacity { all, share });
    }

    /// Attained service of the account at a peer to which others yield, if there is one.
    pub(crate) fn min_attained(&self, service: &ServiceName) -> Option<f64> {
        self.min_attained.get(service).copied()
    }

    /// Weighted tokens of all requests to a service that are queued here.
    pub(crate) fn queued(&self, service: &ServiceName) -> f64 {
        let waiting = self.waiting.iter().map(|(_, w)| w);
        let waiting = waiting.filter(|w| w.service == *service);
        waiting.map(Waiting::cost).sum()
    }

    /// Expected service rate of this instance, in weighted tokens per second: the recent rate, or
    /// its share of the endpoints' throughput if that is higher.
    pub(crate) fn rate(&self, now: Moment, service: &ServiceName) -> f64 {
        let rate = self.rates.get(service);
        let sum = rate.map_or(0.0, |r| r.get(now, RATE_TIME_CONSTANT));
        let share = self.capacity.get(service).map_or(0.0, |c| c.share);
        (sum / RATE_TIME_CONSTANT.as_secs_f64()).max(share)
    }
}
