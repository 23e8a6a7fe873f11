//! Chooses the endpoint for a request from the load that this instance and its peers place on each.
//!
//! An engine reads prompts one after another between the steps that generate tokens, admits
//! requests in order of arrival and cannot return a queued one. The gateway therefore queues in
//! front of the engines: it keeps the time for an engine's unread prompt tokens below the callers'
//! shortest objective, and the memory of running requests below the engine's. A prompt costs only
//! the tokens not in the engine's cache, so requests with a shared prefix go to the same engine
//! until its queue costs more than reading the prefix again. Designed for a fleet under overload
//! with prompts from hundreds to tens of thousands of tokens.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};

use crate::gateway::admission::DecayingSum;
use crate::gateway::directory::EndpointRecord;
use crate::gateway::endpoint_load::{
    MAX_TOLD, NewsRelay, PaceNews, ToldLoad, record_news, record_report, take_news,
};
use crate::gateway::endpoint_state::{EndpointState, Load, Preference, Prompt};
use crate::gateway::notices::{Notice, Notices};
use crate::gateway::number::to_f64;
use crate::gateway::residency::{ResidencyLog, Resident};
use crate::moment::Moment;
use crate::name::{CentreName, EndpointName, ServiceName};

/// Bounds of the measured prefill time, in milliseconds per token.
const PACE_BOUNDS_MS: (f64, f64) = (0.008, 0.25);
/// Weight of a new measurement in the moving average of the prefill time.
const PACE_WEIGHT: f64 = 0.12;
/// Weight of a new measurement of the time between tokens: about the last 20 events.
const TOKEN_TIME_WEIGHT: f64 = 0.05;
/// Fraction of the remaining time that the estimated generation of a response may take.
const OUTPUT_FRACTION: f64 = 0.85;
/// Minimum prompt tokens for measuring the prefill time; below, a step's fixed cost dominates.
const MIN_PACE_TOKENS: f64 = 1_500.0;
/// Fraction of an engine's memory to fill; above it the engine preempts the newest requests.
const MEMORY_FRACTION: f64 = 0.92;
/// Fraction of the shortest objective that an engine's queue may take.
const QUEUE_FRACTION: f64 = 0.7;
/// Longest queue of an engine in milliseconds, whatever the objective.
const MAX_QUEUE_MS: f64 = 450.0;
/// Largest fraction of the queue limit that a request's own prompt takes, to admit long prompts.
const MAX_OWN_FRACTION: f64 = 0.4;
/// Cost of crossing data centres, in milliseconds of engine time: the price of the traffic.
const CROSS_CENTRE_COST_MS: f64 = 12.0;
/// Uncached prefix tokens below which a request does not wait for another engine.
const MIN_PREFIX_TOKENS: f64 = 400.0;
/// Weight of prefix tokens that are read again: they delay all other requests of the engine.
const REREAD_WEIGHT: f64 = 2.0;
/// Cost of each running request, in milliseconds: it slows each step.
const RUNNING_COST_MS: f64 = 0.8;
/// Longest queue of an engine that may read a prefix cached elsewhere, in milliseconds.
const REREAD_MAX_QUEUE_MS: f64 = 30.0;
/// Fraction of the token time limit up to which such an engine counts as idle.
const REREAD_TOKEN_TIME_FRACTION: f64 = 0.7;
/// Time constant of the count of requests refused although an engine caches their prefix.
const REFUSED_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Count of such requests from which the prefix is replicated to another engine.
const REPLICATE_THRESHOLD: f64 = 3.0;
/// Decayed count below which an entry is dropped.
const MIN_REFUSED_COUNT: f64 = 0.1;
/// Initial backoff for an endpoint that refused a connection.
const BACKOFF_INITIAL: Duration = Duration::from_millis(250);
/// Longest backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Excess of an endpoint's failure rate over that of the service's best one above which it gets
/// only probe requests.
const MAX_EXCESS_FAILURES: f64 = 0.3;
/// Interval between two probe requests to such an endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Requests, running and queued, that an endpoint without an engine may hold per slot.
const REQUESTS_PER_SLOT: u32 = 2;
/// Least range of the random part of an engine's cost, in milliseconds.
const MIN_SPREAD_MS: f64 = 10.0;
/// Queue of an engine of which this instance has not heard yet, as a multiple of the mean queue.
const UNHEARD_FRACTION: f64 = 1.0;
/// Part of the usual time by which a request at an endpoint without an engine takes longer when all
/// its slots are in use.
const FULL_SLOWDOWN: f64 = 0.25;
/// Least free capacity that an endpoint counts as, in slots: a slow or full one gets less than the
/// others and never nothing.
const MIN_FREE_SLOTS: f64 = 0.1;
/// Weight of a new result in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;

/// Position of an endpoint in [`Endpoints`].
pub(crate) type EndpointIndex = usize;

/// An endpoint with the order in which it was drawn and its cost; one that fails costs most.
type Drawn = (f64, (bool, f64), EndpointIndex);

/// The two endpoints with the highest hash weight for an anchor.
#[derive(Clone, Copy, Debug, Default)]
struct PreferredEndpoints {
    first: Option<EndpointIndex>,
    second: Option<EndpointIndex>,
}

impl PreferredEndpoints {
    fn of(self, index: EndpointIndex) -> Preference {
        if self.first == Some(index) {
            Preference::First
        } else if self.second == Some(index) {
            Preference::Second
        } else {
            Preference::None
        }
    }
}

/// Parameters of a placement that depend on the service and the request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlacementRules {
    /// Memory of an engine, in tokens.
    pub(crate) memory: Option<f64>,
    /// Shortest objective of the service's routes.
    pub(crate) objective: Duration,
    /// Requests per second that this instance may send to a cold endpoint, if there is a limit.
    pub(crate) cold_quota: Option<u32>,
    /// Longest time between two tokens, in milliseconds, with which long responses end in time.
    pub(crate) token_time: f64,
    /// Time left for the response.
    pub(crate) left: Duration,
    /// Data centre of this instance.
    pub(crate) centre: CentreName,
    /// Whether only endpoints with the shared prefix cached will do.
    pub(crate) cached_only: bool,
    /// Differs between instances, so that they do not all choose the same endpoint.
    pub(crate) seed: u64,
}

/// A request's reservation at an endpoint.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) index: EndpointIndex,
    /// Lifetime of the endpoint; see [`EndpointState::key`].
    key: u32,
    sent: Moment,
    load: Load,
    /// Weighted tokens that the account was charged.
    pub(crate) charged: f64,
    /// Prompt tokens to read before the response begins.
    ahead: f64,
    parts: Vec<u64>,
    has_begun: bool,
    /// Progress of the response.
    pub(crate) answer: AnswerPhase,
    /// When the last tokens arrived.
    progressed: Moment,
}

impl Place {
    pub(crate) fn sent(&self) -> Moment {
        self.sent
    }

    /// Prompt tokens that the endpoint has to read for the request.
    pub(crate) fn prompt_tokens(&self) -> f64 {
        self.load.unread_tokens
    }

    /// Prompt tokens to read before the response begins, as estimated at reservation.
    pub(crate) fn ahead(&self) -> f64 {
        self.ahead
    }
}

/// Progress of an endpoint's response to a request.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, Ord, PartialEq, PartialOrd, Serialize,
)]
pub(crate) enum AnswerPhase {
    /// Nothing has arrived.
    #[display("pending")]
    Pending,
    /// The head has arrived.
    #[display("head")]
    Head,
    /// The first event has arrived, or all of a response that is not a stream.
    #[display("begun")]
    Begun,
}

/// Why no endpoint can take a request.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub(crate) enum PlacementError {
    /// The service has no usable endpoint.
    NoEndpoint,
    /// All usable endpoints are at capacity.
    Full,
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub(crate) enum PlaceEnd {
    /// A complete response.
    Good,
    /// No connection could be made.
    Unreachable,
    /// A failure, or an interrupted response.
    Failed,
    /// The endpoint rejected it as overloaded.
    Busy,
    /// Not the endpoint's doing, for example because the caller disconnected.
    Neutral,
}

/// Average load of a service's usable endpoints; see [`Load`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    pub(crate) usable: u32,
    pub(crate) running: f64,
    pub(crate) unread_tokens: f64,
    pub(crate) memory: f64,
    pub(crate) token_time: f64,
    pub(crate) prefill_pace: f64,
}

/// All endpoints.
#[derive(Debug, Default)]
pub(crate) struct Endpoints {
    states: Vec<Option<EndpointState>>,
    names: HashMap<EndpointName, EndpointIndex>,
    services: HashMap<ServiceName, Vec<EndpointIndex>>,
    notices: Notices,
    residents: ResidencyLog,
    /// Recently refused requests by anchor, although an engine caches that part.
    refused: HashMap<u64, DecayingSum>,
    keys: HashMap<u32, EndpointIndex>,
    /// News of paces for other data centres, if this instance leads its own.
    pub(crate) pace_relay: NewsRelay,
}

/// Effect of what an answer said of its endpoint's load.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadNoted {
    /// Whether the endpoint tells its pace at other times.
    pub(crate) tells_pace: bool,
    /// Whether its figures could not be read for the first time.
    pub(crate) is_newly_unreadable: bool,
}

impl Endpoints {
    pub(crate) fn get(&self, index: EndpointIndex) -> Option<&EndpointState> {
        self.states.get(index)?.as_ref()
    }

    pub(crate) fn find(&self, name: &EndpointName) -> Option<EndpointIndex> {
        self.names.get(name).copied()
    }

    /// Listed endpoints of a service.
    pub(crate) fn of(&self, service: &ServiceName) -> impl Iterator<Item = &EndpointState> {
        let indices = self.services.get(service).map_or(&[][..], Vec::as_slice);
        indices.iter().filter_map(|i| self.get(*i))
    }

    /// Whether an endpoint was restarted since `record`, with the same name or at the same address.
    pub(crate) fn is_replaced(&self, record: &EndpointRecord) -> bool {
        let mut listed = self.states.iter().flatten().map(|s| &s.record);
        listed.any(|r| {
            let is_same = r.name == record.name && r.started_at == record.started_at;
            !is_same && (r.name == record.name || r.address == record.address)
        })
    }

    /// Average load of the usable endpoints of a service, as far as they are candidates.
    pub(crate) fn summary(
        &self,
        now: Moment,
        service: &ServiceName,
        is_candidate: impl Fn(&EndpointRecord) -> bool,
    ) -> Summary {
        let usable = self.of(service).filter(|s| s.is_usable(now));
        let usable = usable.filter(|s| is_candidate(&s.record));
        let mut summary = Summary::default();
        for state in usable {
            let load = state.total();
            summary.usable += 1;
            summary.running += f64::from(load.running);
            summary.unread_tokens += load.unread_tokens;
            summary.memory += load.memory;
            summary.token_time += load.token_time;
            summary.prefill_pace += state.prefill_pace;
        }
        let count = f64::from(summary.usable.max(1));
        summary.running /= count;
        summary.unread_tokens /= count;
        summary.memory /= count;
        summary.token_time /= count;
        summary.prefill_pace /= count;
        summary
    }

    /// Adds or updates an endpoint. A restart resets its state.
    pub(crate) fn put(&mut self, now: Moment, record: Rc<EndpointRecord>) {
        if let Some(index) = self.find(&record.name)
            && let Some(state) = &mut self.states[index]
        {
            if state.record.started_at == record.started_at
                && state.record.service == record.service
            {
                state.cold_until = now.after(record.cold);
                state.record = record;
                return;
            }
            self.remove(&record.name);
        }
        let index = self.states.len();
        self.names.insert(record.name.clone(), index);
        let indices = self.services.entry(record.service.clone()).or_default();
        indices.push(index);
        let mut state = EndpointState::new(now, record);
        state.noted = self.notices.get(state.key);
        self.keys.insert(state.key, index);
        self.states.push(Some(state));
    }

    /// Applies a notice from the endpoint of `place`. Returns whether it announces a shutdown that
    /// was not known.
    pub(crate) fn note(&mut self, now: Moment, place: &Place, notice: Notice) -> bool {
        let is_new = self.notices.note(now, place.key, notice);
        let noted = self.notices.get(place.key);
        if let Some(state) = self.reserved_state(place) {
            state.noted = noted;
        }
        is_new
    }

    /// Records what an answer for `place` said of its endpoint's load.
    pub(crate) fn note_load(&mut self, now: Moment, place: &Place, told: ToldLoad) -> LoadNoted {
        let Some(state) = self.reserved_state(place) else {
            return LoadNoted::default();
        };
        let mut noted = LoadNoted {
            tells_pace: state.speed.is_some(),
            is_newly_unreadable: false,
        };
        match told {
            ToldLoad::Missing => {}
            ToldLoad::Unreadable => {
                noted.is_newly_unreadable = !std::mem::replace(&mut state.told_unreadable, true);
            }
            ToldLoad::Report(report) => {
                let known = state.total().running;
                record_report(&mut state.speed, now, report, known);
            }
        }
        noted
    }

    /// Takes what peers are to be told of the endpoints' paces.
    pub(crate) fn take_pace_news(&mut self, now: Moment) -> Vec<PaceNews> {
        let states = self.states.iter_mut().flatten();
        let news = states.filter_map(|s| take_news(s.key, s.speed.as_mut()?, now));
        news.take(MAX_TOLD).collect()
    }

    /// Records what peers told of the endpoints' paces.
    pub(crate) fn record_pace_news(&mut self, now: Moment, news: &[PaceNews]) {
        for new in news {
            if let Some(state) = self.by_key(new.endpoint) {
                record_news(&mut state.speed, now, new);
            }
        }
    }

    /// Marks endpoints that peers report as leaving. Returns those that were not known to be.
    pub(crate) fn note_leaving(&mut self, now: Moment, endpoints: &[u32]) -> Vec<EndpointName> {
        let notice = Notice {
            leaving: true,
            rest: None,
        };
        let mut names = Vec::new();
        for key in endpoints {
            if self.notices.note(now, *key, notice)
                && let Some(state) = self.by_key(*key)
            {
                state.noted.leaving = true;
                names.push(state.record.name.clone());
            }
        }
        names
    }

    /// The listed endpoint with a key.
    fn by_key(&mut self, key: u32) -> Option<&mut EndpointState> {
        self.states.get_mut(*self.keys.get(&key)?)?.as_mut()
    }

    /// Records a request refused although an engine may have its prefix cached.
    pub(crate) fn note_refused_prefix(&mut self, now: Moment, prompt: &Prompt) {
        if let Some(anchor) = prompt.anchor() {
            self.refused
                .entry(anchor)
                .or_default()
                .add(now, 1.0, REFUSED_TIME_CONSTANT);
        }
    }

    /// Whether refused requests with this prefix are so many that another engine should read it.
    pub(crate) fn should_replicate(&self, now: Moment, prompt: &Prompt) -> bool {
        let refused = prompt.anchor().and_then(|a| self.refused.get(&a));
        refused.is_some_and(|w| w.get(now, REFUSED_TIME_CONSTANT) >= REPLICATE_THRESHOLD)
    }

    /// Cached parts to advertise to peers.
    pub(crate) fn residents(&self, now: Moment) -> Vec<Resident> {
        self.residents.advertised(now)
    }

    /// Records cached parts that peers advertised.
    pub(crate) fn record_peer_residents(&mut self, now: Moment, residents: &[Resident]) {
        for resident in residents {
            if let Some(state) = self.by_key(resident.endpoint) {
                state.record_peer_part(now, resident.part);
            }
        }
    }

    /// Leaving endpoints to report to peers, by [`EndpointState::key`].
    pub(crate) fn leaving(&self, now: Moment) -> Vec<u32> {
        self.notices.announced(now)
    }

    /// Earliest time at which an endpoint of a service takes requests: `now` if one does already,
    /// `None` if none will.
    pub(crate) fn available_from(
        &self,
        now: Moment,
        service: &ServiceName,
        is_allowed: impl Fn(EndpointIndex, &EndpointRecord) -> bool,
    ) -> Option<Moment> {
        let indices = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let states = indices.iter().filter_map(|i| Some((*i, self.get(*i)?)));
        let fit = states.filter(|(i, s)| !s.is_leaving() && is_allowed(*i, &s.record));
        let mut first = None;
        for (_, state) in fit {
            let available_from = state.noted.rests_until.max(now);
            if available_from == now {
                return Some(now);
            }
            first = Some(first.map_or(available_from, |f| available_from.min(f)));
        }
        first
    }

    pub(crate) fn remove(&mut self, name: &EndpointName) {
        let Some(index) = self.names.remove(name) else {
            return;
        };
        let Some(state) = self.states[index].take() else {
            return;
        };
        self.keys.remove(&state.key);
        if let Some(indices) = self.services.get_mut(&state.record.service) {
            indices.retain(|i| *i != index);
        }
    }

    /// Replaces the peers' load of the endpoints, by [`EndpointState::key`].
    pub(crate) fn set_peers(&mut self, load: impl Fn(u32) -> Load) {
        for state in self.states.iter_mut().flatten() {
            state.peers = load(state.key);
        }
    }

    /// Non-zero load of this instance at the endpoints, by [`EndpointState::key`].
    pub(crate) fn own_loads(&self) -> impl Iterator<Item = (u32, Load)> {
        let states = self.states.iter().flatten();
        let busy = states.filter(|s| s.own.running > 0);
        busy.map(|s| (s.key, s.own))
    }

    /// Returns the endpoint with the lowest cost for a request, without reserving it. Only
    /// candidates share out prompt parts; those that are not allowed take no request.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint has room.
    pub(crate) fn choose(
        &self,
        now: Moment,
        service: &ServiceName,
        prompt: Option<&Prompt>,
        rules: &PlacementRules,
        is_candidate: impl Fn(&EndpointRecord) -> bool,
        is_allowed: impl Fn(EndpointIndex, &EndpointRecord) -> bool,
    ) -> Result<EndpointIndex, PlacementError> {
        let indices = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let tells_pace = self.of(service).any(|s| s.speed.is_some());
        if tells_pace && prompt.is_none() {
            return self.choose_by_pace(now, service, rules, is_allowed);
        }
        let anchor = prompt.and_then(Prompt::anchor);
        let preferred = anchor.map_or(PreferredEndpoints::default(), |a| {
            self.preferred(now, indices, a, &is_candidate)
        });
        let is_usable = |(index, state): &(EndpointIndex, &EndpointState)| {
            let record = &state.record;
            state.is_usable(now) && is_candidate(record) && is_allowed(*index, record)
        };
        let listed = indices.iter().filter_map(|i| Some((*i, self.get(*i)?)));
        let usable = listed.filter(is_usable);
        let uncached = |s: &EndpointState| prompt.map_or(0.0, |p| s.uncached_tokens(now, p));
        let usable: Vec<_> = usable.map(|(i, s)| (i, s, uncached(s))).collect();
        if usable.is_empty() {
            return Err(PlacementError::NoEndpoint);
        }
        // Requests wait for an engine with their prefix cached; an uncached one is read at a
        // preferred endpoint.
        let is_cached = usable
            .iter()
            .any(|(_, _, uncached)| *uncached < MIN_PREFIX_TOKENS);
        let least = usable
            .iter()
            .map(|(_, s, _)| s.failure_rate)
            .fold(1.0, f64::min);
        let is_uneven = self
            .of(service)
            .any(|s| s.speed.is_some_and(|b| b.is_unusual()));
        let spread = if is_uneven {
            let queue_times = usable.iter().map(|(_, s, _)| s.queue_time(now));
            unheard_time(queue_times.sum::<f64>() / to_f64(usable.len()))
        } else {
            0.0
        };
        // Endpoints with a high failure rate are used only if no other has room.
        let mut best: Option<(bool, f64, EndpointIndex)> = None;
        for (index, state, uncached) in usable {
            let preference = preferred.of(index);
            let needs_prefill = uncached >= MIN_PREFIX_TOKENS;
            let cost = match prompt {
                Some(_) if !has_capacity(state, rules) => None,
                Some(_)
                    if needs_prefill && !may_prefill(now, state, rules, preference, is_cached) =>
                {
                    None
                }
                Some(prompt) => engine_cost(now, state, prompt, uncached, rules),
                None => plain_cost(state),
            };
            let Some(mut cost) = cost.filter(|_| state.allows_send(now, rules.cold_quota)) else {
                continue;
            };
            if state.record.centre != rules.centre {
                cost += CROSS_CENTRE_COST_MS;
            }
            if is_uneven {
                cost += spread * draw(now, rules.seed, state.key);
            }
            let excess = state.failure_rate - least;
            cost += cost * 4.0 * excess;
            let is_failing =
                excess > MAX_EXCESS_FAILURES && now.since(state.last_sent) < PROBE_INTERVAL;
            if best.is_none_or(|(failing, least, _)| (is_failing, cost) < (failing, least)) {
                best = Some((is_failing, cost, index));
            }
        }
        best.map(|(_, _, index)| index).ok_or(PlacementError::Full)
    }

    /// Returns an endpoint without an engine, of two drawn by their free capacity the one where the
    /// request is expected to end first: all instances see the same reports, and would else run to
    /// the same endpoint.
    fn choose_by_pace(
        &self,
        now: Moment,
        service: &ServiceName,
        rules: &PlacementRules,
        is_allowed: impl Fn(EndpointIndex, &EndpointRecord) -> bool,
    ) -> Result<EndpointIndex, PlacementError> {
        let indices = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let listed = indices.iter().filter_map(|i| Some((*i, self.get(*i)?)));
        let usable = listed.filter(|(i, s)| s.is_usable(now) && is_allowed(*i, &s.record));
        let usable: Vec<_> = usable.collect();
        if usable.is_empty() {
            return Err(PlacementError::NoEndpoint);
        }
        let failure_rates = usable.iter().map(|(_, s)| s.failure_rate);
        let least = failure_rates.fold(1.0, f64::min);
        // The two endpoints with the lowest draws: order of the draw, cost, index.
        let mut drawn: [Option<Drawn>; 2] = [None; 2];
        for (index, state) in usable {
            let has_room = plain_cost(state).is_some();
            if !has_room || !state.allows_send(now, rules.cold_quota) {
                continue;
            }
            let (time, free) = plain_expectation(now, state);
            let excess = state.failure_rate - least;
            let is_failing =
                excess > MAX_EXCESS_FAILURES && now.since(state.last_sent) < PROBE_INTERVAL;
            let cost = (is_failing, time * (1.0 + 4.0 * excess));
            // The lowest of these is an endpoint drawn with a chance in proportion to `free`.
            let order = -draw(now, rules.seed, state.key).max(f64::MIN_POSITIVE).ln() / free;
            let order = if is_failing { f64::INFINITY } else { order };
            let entry = Some((order, cost, index));
            match drawn {
                [None, _] => drawn[0] = entry,
                [Some((first, ..)), _] if order < first => drawn = [entry, drawn[0]],
                [_, None] => drawn[1] = entry,
                [_, Some((second, ..))] if order < second => drawn[1] = entry,
                _ => {}
            }
        }
        let chosen = drawn
            .into_iter()
            .flatten()
            .reduce(|a, b| if b.1 < a.1 { b } else { a });
        chosen
            .map(|(_, _, index)| index)
            .ok_or(PlacementError::Full)
    }

    /// Reserves a place for a request.
    pub(crate) fn take(
        &mut self,
        now: Moment,
        index: EndpointIndex,
        prompt: Option<&Prompt>,
    ) -> Option<Place> {
        let state = self.states.get_mut(index)?.as_mut()?;
        let mut load = Load {
            running: 1,
            ..Load::default()
        };
        let mut parts = Vec::new();
        if let Some(prompt) = prompt {
            load.unread_tokens = prompt.own() + state.uncached_tokens(now, prompt);
            load.memory = state.memory(prompt);
            for part in prompt.shared() {
                if state.use_part(now, *part) {
                    let resident = Resident {
                        endpoint: state.key,
                        part: part.id,
                    };
                    self.residents.push(now, resident);
                }
                parts.push(part.id);
            }
        }
        let ahead = state.total().unread_tokens + load.unread_tokens;
        state.own += load;
        state.last_sent = now;
        if state.is_cold(now) {
            state.cold_sends.push_back(now);
        }
        Some(Place {
            index,
            key: state.key,
            sent: now,
            load,
            charged: 0.0,
            ahead,
            parts,
            has_begun: false,
            answer: AnswerPhase::Pending,
            progressed: now,
        })
    }

    /// Records the beginning of a response.
    pub(crate) fn begin(&mut self, now: Moment, place: &mut Place) {
        if std::mem::replace(&mut place.has_begun, true) {
            return;
        }
        place.progressed = now;
        let Some(state) = self.reserved_state(place) else {
            return;
        };
        state.own.unread_tokens = (state.own.unread_tokens - place.load.unread_tokens).max(0.0);
        if place.ahead >= MIN_PACE_TOKENS {
            let measured = now.since(place.sent).as_secs_f64() * 1e3 / place.ahead;
            let measured = measured / state.speed.map_or(1.0, |s| s.pace(now));
            let measured = measured.clamp(PACE_BOUNDS_MS.0, PACE_BOUNDS_MS.1);
            state.prefill_pace += PACE_WEIGHT * (measured - state.prefill_pace);
        }
    }

    /// Records `tokens` more of a response.
    pub(crate) fn progress(&mut self, now: Moment, place: &mut Place, tokens: u32) {
        let since = now.since(place.progressed).as_secs_f64() * 1e3;
        place.progressed = now;
        let Some(state) = self.reserved_state(place).filter(|_| tokens > 0) else {
            return;
        };
        let time = since / f64::from(tokens);
        if state.own.token_time == 0.0 {
            state.own.token_time = time;
        } else {
            state.own.token_time += TOKEN_TIME_WEIGHT * (time - state.own.token_time);
        }
    }

    /// Releases a place.
    pub(crate) fn end(&mut self, now: Moment, place: &Place, end: PlaceEnd) {
        let Some(state) = self.reserved_state(place) else {
            return;
        };
        state.own.running = state.own.running.saturating_sub(1);
        if state.own.running == 0 {
            state.own.token_time = 0.0;
        }
        state.own.memory = (state.own.memory - place.load.memory).max(0.0);
        if !place.has_begun {
            state.own.unread_tokens = (state.own.unread_tokens - place.load.unread_tokens).max(0.0);
        }
        for part in &place.parts {
            if let Some(cached) = state.parts.get_mut(part) {
                cached.users = cached.users.saturating_sub(1);
                cached.used = now;
            }
        }
        match end {
            PlaceEnd::Good => {
                state.connect_failures = 0;
                state.failure_rate -= FAILURE_WEIGHT * state.failure_rate;
            }
            PlaceEnd::Unreachable => {
                let backoff = BACKOFF_INITIAL * 2_u32.saturating_pow(state.connect_failures.min(8));
                state.connect_failures += 1;
                state.backoff_until = now.after(backoff.min(BACKOFF_MAX));
            }
            PlaceEnd::Failed => state.failure_rate += FAILURE_WEIGHT * (1.0 - state.failure_rate),
            PlaceEnd::Busy | PlaceEnd::Neutral => {}
        }
    }

    /// Drops expired parts, notices and counts.
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        self.notices.forget(now);
        self.refused
            .retain(|_, w| w.get(now, REFUSED_TIME_CONSTANT) >= MIN_REFUSED_COUNT);
        for state in self.states.iter_mut().flatten() {
            state.forget(now);
        }
    }

    fn reserved_state(&mut self, place: &Place) -> Option<&mut EndpointState> {
        let state = self.states.get_mut(place.index)?.as_mut()?;
        (state.key == place.key).then_some(state)
    }

    /// Preferred endpoints for `anchor` by rendezvous hashing, the same at all instances.
    fn preferred(
        &self,
        now: Moment,
        indices: &[EndpointIndex],
        anchor: u64,
        is_candidate: impl Fn(&EndpointRecord) -> bool,
    ) -> PreferredEndpoints {
        let states = indices.iter().filter_map(|i| Some((*i, self.get(*i)?)));
        let usable = states.filter(|(_, s)| s.is_usable(now) && is_candidate(&s.record));
        let mut first = (0, None);
        let mut second = (0, None);
        for (index, state) in usable {
            let name = state.record.name.as_str().as_bytes();
            let weight = xxhash_rust::xxh3::xxh3_64_with_seed(name, anchor);
            if weight >= first.0 {
                second = first;
                first = (weight, Some(index));
            } else if weight >= second.0 {
                second = (weight, Some(index));
            }
        }
        PreferredEndpoints {
            first: first.1,
            second: second.1,
        }
    }
}

/// Whether an engine has a free slot and generates tokens fast enough for another request.
///
/// The time between tokens grows with the prompts read in between. Limiting admission keeps it
/// short enough for the longest responses to end before their callers give up.
fn has_capacity(state: &EndpointState, rules: &PlacementRules) -> bool {
    let load = state.total();
    let limit = rules.token_time * state.allowed_slowness();
    load.token_time <= limit && load.running < state.record.slots
}

/// Whether a request may go to an engine that does not have its shared prefix cached. An uncached
/// prefix is read at its first preferred endpoint, or at its second if that is nearly idle. A
/// prefix that is cached elsewhere is read again only by a nearly idle engine, and only if that
/// cache cannot meet demand or for an interrupted stream: under load, engine time serves more
/// requests with a cached prefix.
fn may_prefill(
    now: Moment,
    state: &EndpointState,
    rules: &PlacementRules,
    preference: Preference,
    is_cached: bool,
) -> bool {
    let load = state.total();
    let is_preferred = !is_cached && !preference.is_none();
    if is_preferred && preference.is_first() {
        return true;
    }
    (!rules.cached_only || is_preferred)
        && state.queue_time(now) < REREAD_MAX_QUEUE_MS
        && load.token_time < rules.token_time * REREAD_TOKEN_TIME_FRACTION
}

/// Cost in milliseconds of engine time and waiting at an engine that has room, where `uncached`
/// tokens of the shared prefix have to be read.
fn engine_cost(
    now: Moment,
    state: &EndpointState,
    prompt: &Prompt,
    uncached: f64,
    rules: &PlacementRules,
) -> Option<f64> {
    let load = state.total();
    let memory = rules.memory? * MEMORY_FRACTION;
    let is_idle = load.running == 0;
    if !is_idle && load.memory + state.memory(prompt) > memory {
        return None;
    }
    let output_time = f64::from(prompt.output) * state.token_time(now, load);
    if output_time > rules.left.as_secs_f64() * 1e3 * OUTPUT_FRACTION {
        return None;
    }
    let read_time = state.read_time(now);
    let own = (prompt.own() + uncached) * read_time;
    let wait = load.unread_tokens * read_time;
    let limit = (rules.objective.as_secs_f64() * 1e3 * QUEUE_FRACTION).min(MAX_QUEUE_MS);
    if load.unread_tokens > 0.0 && wait > limit - own.min(limit * MAX_OWN_FRACTION) {
        return None;
    }
    let reread = uncached * read_time * (REREAD_WEIGHT - 1.0);
    Some(wait + own + reread + f64::from(load.running) * RUNNING_COST_MS)
}

/// Cost at an endpoint without an engine that has room: its requests per slot.
fn plain_cost(state: &EndpointState) -> Option<f64> {
    let load = state.total();
    let slots = state.record.slots.max(1);
    let has_room = load.running < slots.saturating_mul(REQUESTS_PER_SLOT);
    has_room.then(|| 10.0 * f64::from(load.running) / f64::from(slots))
}

/// Expected time for a request at an endpoint without an engine, as a multiple of the usual time,
/// and its free capacity in slots of usual speed.
fn plain_expectation(now: Moment, state: &EndpointState) -> (f64, f64) {
    let known = state.total().running;
    let (pace, requests) = match &state.speed {
        Some(speed) => (speed.pace(now), speed.requests(now, known)),
        None => (1.0, f64::from(known)),
    };
    let slots = f64::from(state.record.slots.max(1));
    let queued = (requests + 1.0 - slots).max(0.0);
    let slowdown = FULL_SLOWDOWN * (requests / slots).min(1.0);
    let time = pace * (1.0 + slowdown + queued / slots);
    (time, ((slots - requests) / pace).max(MIN_FREE_SLOTS))
}

/// Range of the random part of an engine's cost, in milliseconds, for a mean queue of all engines:
/// what other instances place on an engine before this one hears of it.
fn unheard_time(queue_time: f64) -> f64 {
    MIN_SPREAD_MS + UNHEARD_FRACTION * queue_time
}

/// Number between 0 and 1 that differs between instances, endpoints and times.
fn draw(now: Moment, seed: u64, endpoint: u32) -> f64 {
    // The finalizer of SplitMix64.
    let mut z = seed ^ now.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(endpoint) << 32);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let high = u32::try_from((z ^ (z >> 31)) >> 32).unwrap_or_default();
    f64::from(high) / f64::from(u32::MAX)
}
