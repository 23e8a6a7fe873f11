//! Choice of the endpoint for a request, from the load that this instance and its peers put there.
//!
//! An engine reads prompts one after another between the steps that generate tokens, and admits
//! requests in order of arrival; what is queued inside it cannot be called back. So the gateway
//! keeps the prompt tokens that wait in an engine under the shortest objective of its callers and
//! the memory of running requests under the engine's, and queues in front. A prompt costs only what
//! the engine does not keep of it, which draws requests that share parts to the same engine until
//! the queue there costs more than reading again. The load this answers: a fleet asked for more
//! than its engines produce, with prompts from hundreds to tens of thousands of tokens.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use derive_more::IsVariant;

use crate::gateway::admission::DecayingSum;
use crate::gateway::directory::EndpointRecord;
use crate::gateway::endpoint_state::{EndpointState, Home, Load, Prompt};
use crate::gateway::notices::{Notice, Notices};
use crate::gateway::residency::{ResidencyLog, Resident};
use crate::moment::Moment;
use crate::name::{CentreName, EndpointName, ServiceName};

/// Bounds of the learned pace, in milliseconds a token.
const PACE_BOUNDS: (f64, f64) = (0.008, 0.25);
/// Weight of a new measurement in a moving average.
const LEARN: f64 = 0.12;
/// Weight of a new measurement of the time between tokens: about the last 20 events.
const LEARN_TIME: f64 = 0.05;
/// Part of the time that is left which the generation of an answer may take as estimated.
const OUTPUT_PART: f64 = 0.85;
/// Fewest tokens from which the pace is learned; below them the fixed part of a step dominates.
const LEARN_TOKENS: f64 = 1_500.0;
/// Part of an engine's memory that is filled; beyond it the newest requests are preempted.
const MEMORY_PART: f64 = 0.92;
/// Part of the shortest objective that an engine's queue may take.
const QUEUE_PART: f64 = 0.7;
/// Longest queue inside an engine, in milliseconds, if no objective is shorter.
const QUEUE_MAX: f64 = 450.0;
/// Most of the queue limit that a request's own prompt uses up, so that long prompts get in.
const OWN_PART: f64 = 0.4;
/// Cost of crossing data centres, in milliseconds of engine time: the price of the bytes.
const CROSS_COST: f64 = 12.0;
/// Shared tokens that are not worth a wait.
const SMALL_PART: f64 = 400.0;
/// Weight of shared tokens that are read again: they take the engine's time from all others.
const AGAIN_WEIGHT: f64 = 2.0;
/// Cost of a request that runs beside, in milliseconds: it slows each step.
const BESIDE_COST: f64 = 0.8;
/// Longest queue of an engine that may read a shared part once more, in milliseconds.
const SPREAD_QUEUE: f64 = 30.0;
/// Part of the longest time between tokens up to which such an engine counts as free.
const SPREAD_PART: f64 = 0.7;
/// Time constant of the requests that found no place where their part is kept.
const WANTED_MEMORY: Duration = Duration::from_secs(2);
/// Such requests from which another engine reads the part.
const WANTED_COUNT: f64 = 3.0;
/// Such requests, faded, that are forgotten.
const WANTED_LEAST: f64 = 0.1;
/// First time for which an endpoint that refused a connection gets nothing.
const OUT_FIRST: Duration = Duration::from_millis(250);
/// Longest such time.
const OUT_MAX: Duration = Duration::from_secs(2);
/// Moving share of failed requests, beyond that of the service's best endpoint, above which an
/// endpoint gets only trials.
const GREY: f64 = 0.3;
/// Time between two trials of such an endpoint.
const TRIAL_PAUSE: Duration = Duration::from_millis(700);
/// Requests that a plain endpoint may hold for each slot, running and waiting.
const PLAIN_DEPTH: u32 = 2;
/// Weight of one more request in the moving share of failures.
const FAIL_WEIGHT: f64 = 0.1;

/// Position of an endpoint in [`Endpoints`].
pub(crate) type EndpointIndex = usize;

/// The endpoints that requests with one anchor are drawn to.
#[derive(Clone, Copy, Debug, Default)]
struct Homes {
    first: Option<EndpointIndex>,
    second: Option<EndpointIndex>,
}

impl Homes {
    fn of(self, index: EndpointIndex) -> Home {
        if self.first == Some(index) {
            Home::First
        } else if self.second == Some(index) {
            Home::Second
        } else {
            Home::None
        }
    }
}

/// What placement has to know of a service and its callers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlacementRules {
    /// Tokens of memory, for an engine.
    pub(crate) memory: Option<f64>,
    /// Shortest objective of the service's routes.
    pub(crate) objective: Duration,
    /// Requests a second that this instance may send to a cold endpoint, if there is a limit.
    pub(crate) cold_share: Option<u32>,
    /// Longest time between two tokens, in milliseconds, with which long answers end in time.
    pub(crate) token_time: f64,
    /// Time that is left for the answer.
    pub(crate) left: Duration,
    /// Data centre of this instance.
    pub(crate) centre: CentreName,
    /// Whether only an endpoint that keeps the shared part of the prompt will do.
    pub(crate) kept_only: bool,
}

/// A place that was taken for a request.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) index: EndpointIndex,
    /// Lifetime of the endpoint; see [`EndpointState::key`].
    key: u32,
    sent: Moment,
    load: Load,
    /// Counted tokens that the account was charged for it.
    pub(crate) charged: f64,
    /// Tokens to read before the answer begins.
    ahead: f64,
    parts: Vec<u64>,
    has_begun: bool,
    /// When the last tokens came.
    progressed: Moment,
}

impl Place {
    /// When the place was taken.
    pub(crate) fn sent(&self) -> Moment {
        self.sent
    }

    /// Prompt tokens that the endpoint has to read for the request.
    pub(crate) fn prompt_tokens(&self) -> f64 {
        self.load.waiting
    }

    /// Tokens to read before the answer begins, as estimated when the place was taken.
    pub(crate) fn ahead(&self) -> f64 {
        self.ahead
    }
}

/// Why no endpoint takes a request now.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub(crate) enum NoPlace {
    /// No endpoint of the service can be used at all.
    NoEndpoint,
    /// All are full.
    Full,
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub(crate) enum PlaceEnd {
    /// A whole answer.
    Good,
    /// No connection.
    Unreachable,
    /// A failure, or an answer that broke off.
    Failed,
    /// The endpoint was too busy to take it.
    Busy,
    /// Nothing is learned, for example because the caller left.
    Neutral,
}

/// Average load of an endpoint of a service; see [`Load`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    pub(crate) usable: u32,
    pub(crate) running: f64,
    pub(crate) waiting: f64,
    pub(crate) memory: f64,
    pub(crate) token_time: f64,
    pub(crate) pace: f64,
}

/// All endpoints.
#[derive(Debug, Default)]
pub(crate) struct Endpoints {
    states: Vec<Option<EndpointState>>,
    names: HashMap<EndpointName, EndpointIndex>,
    services: HashMap<ServiceName, Vec<EndpointIndex>>,
    notices: Notices,
    residents: ResidencyLog,
    /// Requests for each part, by its identity, that were refused lately though an engine keeps it.
    wanted: HashMap<u64, DecayingSum>,
    keys: HashMap<u32, EndpointIndex>,
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

    /// Whether an endpoint has started again since `record`, under its name or at its address.
    pub(crate) fn is_replaced(&self, record: &EndpointRecord) -> bool {
        let mut listed = self.states.iter().flatten().map(|s| &s.record);
        listed.any(|r| {
            let is_same = r.name == record.name && r.born == record.born;
            !is_same && (r.name == record.name || r.address == record.address)
        })
    }

    /// Load of the usable endpoints of a service, on average.
    pub(crate) fn summary(&self, now: Moment, service: &ServiceName) -> Summary {
        let usable = self.of(service).filter(|s| s.is_usable(now));
        let mut summary = Summary::default();
        for state in usable {
            let load = state.total();
            summary.usable += 1;
            summary.running += f64::from(load.running);
            summary.waiting += load.waiting;
            summary.memory += load.memory;
            summary.token_time += load.token_time;
            summary.pace += state.pace;
        }
        let count = f64::from(summary.usable.max(1));
        summary.running /= count;
        summary.waiting /= count;
        summary.memory /= count;
        summary.token_time /= count;
        summary.pace /= count;
        summary
    }

    /// Takes in an endpoint or a change of it. A new start forgets what was known.
    pub(crate) fn put(&mut self, now: Moment, record: Rc<EndpointRecord>) {
        if let Some(index) = self.find(&record.name)
            && let Some(state) = &mut self.states[index]
        {
            if state.record.born == record.born && state.record.service == record.service {
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

    /// Takes in what the endpoint of `place` said of itself. Returns whether it is news that it
    /// leaves.
    pub(crate) fn note(&mut self, now: Moment, place: &Place, notice: Notice) -> bool {
        let is_news = self.notices.note(now, place.key, notice);
        let noted = self.notices.get(place.key);
        if let Some(state) = self.state_of(place) {
            state.noted = noted;
        }
        is_news
    }

    /// Takes in endpoints that peers know to leave. Returns those that were not known to.
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

    /// Notes that a request found no place where its shared part is kept.
    pub(crate) fn note_wanted(&mut self, now: Moment, prompt: &Prompt) {
        if let Some(anchor) = prompt.anchor() {
            self.wanted
                .entry(anchor)
                .or_default()
                .add(now, 1.0, WANTED_MEMORY);
        }
    }

    /// Whether so many requests found no place where their shared part is kept that another engine
    /// should read it.
    pub(crate) fn is_wanted(&self, now: Moment, prompt: &Prompt) -> bool {
        let wanted = prompt.anchor().and_then(|a| self.wanted.get(&a));
        wanted.is_some_and(|w| w.get(now, WANTED_MEMORY) >= WANTED_COUNT)
    }

    /// Parts that peers should know to be kept.
    pub(crate) fn residents(&self, now: Moment) -> Vec<Resident> {
        self.residents.advertised(now)
    }

    /// Takes in parts that requests of peers brought to engines.
    pub(crate) fn hear_residents(&mut self, now: Moment, residents: &[Resident]) {
        for resident in residents {
            if let Some(state) = self.by_key(resident.endpoint) {
                state.note_peer_part(now, resident.part);
            }
        }
    }

    /// Endpoints that peers should know to leave, by [`EndpointState::key`].
    pub(crate) fn leaving(&self, now: Moment) -> Vec<u32> {
        self.notices.told(now)
    }

    /// When the first endpoint of a service takes requests again, `now` if one does, or nothing if
    /// none will.
    pub(crate) fn opens(
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
            let opens = state.noted.rests_until.max(now);
            if opens == now {
                return Some(now);
            }
            first = Some(first.map_or(opens, |f| opens.min(f)));
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

    /// Replaces what peers hold at the endpoints, by [`EndpointState::key`].
    pub(crate) fn set_peers(&mut self, load: impl Fn(u32) -> Load) {
        for state in self.states.iter_mut().flatten() {
            state.peers = load(state.key);
        }
    }

    /// Own load at the endpoints that hold any, by [`EndpointState::key`].
    pub(crate) fn own_loads(&self) -> impl Iterator<Item = (u32, Load)> {
        let states = self.states.iter().flatten();
        let busy = states.filter(|s| s.own.running > 0);
        busy.map(|s| (s.key, s.own))
    }

    /// Endpoint with the least cost for a request, without taking it.
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
        is_allowed: impl Fn(EndpointIndex, &EndpointRecord) -> bool,
    ) -> Result<EndpointIndex, NoPlace> {
        let indices = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let anchor = prompt.and_then(Prompt::anchor);
        let homes = anchor.map_or(Homes::default(), |a| self.homes(now, indices, a));
        let is_usable = |(index, state): &(EndpointIndex, &EndpointState)| {
            state.is_usable(now) && is_allowed(*index, &state.record)
        };
        let listed = indices.iter().filter_map(|i| Some((*i, self.get(*i)?)));
        let usable = listed.filter(is_usable);
        let lacking = |s: &EndpointState| prompt.map_or(0.0, |p| s.uncached_tokens(now, p));
        let usable: Vec<_> = usable.map(|(i, s)| (i, s, lacking(s))).collect();
        if usable.is_empty() {
            return Err(NoPlace::NoEndpoint);
        }
        // A part that an engine keeps is worth a wait; one that none keeps is read at a home.
        let is_kept = usable.iter().any(|(_, _, lacking)| *lacking < SMALL_PART);
        let least = usable
            .iter()
            .map(|(_, s, _)| s.failure_rate)
            .fold(1.0, f64::min);
        // Endpoints that fail more than others are taken if nothing else has room.
        let mut best: Option<(bool, f64, EndpointIndex)> = None;
        for (index, state, lacking) in usable {
            let home = homes.of(index);
            let must_read = lacking >= SMALL_PART;
            let cost = match prompt {
                Some(_) if !has_time(state, rules) => None,
                Some(_) if must_read && !may_read(state, rules, home, is_kept) => None,
                Some(prompt) => engine_cost(state, prompt, lacking, rules),
                None => plain_cost(state),
            };
            let Some(mut cost) = cost.filter(|_| state.allows_send(now, rules.cold_share)) else {
                continue;
            };
            if state.record.centre != rules.centre {
                cost += CROSS_COST;
            }
            let excess = state.failure_rate - least;
            cost += cost * 4.0 * excess;
            let is_grey = excess > GREY && now.since(state.last_sent) < TRIAL_PAUSE;
            if best.is_none_or(|(grey, least, _)| (is_grey, cost) < (grey, least)) {
                best = Some((is_grey, cost, index));
            }
        }
        best.map(|(_, _, index)| index).ok_or(NoPlace::Full)
    }

    /// Takes a place for a request.
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
            load.waiting = prompt.own() + state.uncached_tokens(now, prompt);
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
        let ahead = state.total().waiting + load.waiting;
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
            progressed: now,
        })
    }

    /// Notes that the answer of a request has begun.
    pub(crate) fn begin(&mut self, now: Moment, place: &mut Place) {
        if std::mem::replace(&mut place.has_begun, true) {
            return;
        }
        place.progressed = now;
        let Some(state) = self.state_of(place) else {
            return;
        };
        state.own.waiting = (state.own.waiting - place.load.waiting).max(0.0);
        if place.ahead >= LEARN_TOKENS {
            let seen = now.since(place.sent).as_secs_f64() * 1e3 / place.ahead;
            let seen = seen.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
            state.pace += LEARN * (seen - state.pace);
        }
    }

    /// Notes that an answer went on by `tokens`.
    pub(crate) fn progress(&mut self, now: Moment, place: &mut Place, tokens: u32) {
        let since = now.since(place.progressed).as_secs_f64() * 1e3;
        place.progressed = now;
        let Some(state) = self.state_of(place).filter(|_| tokens > 0) else {
            return;
        };
        let time = since / f64::from(tokens);
        if state.own.token_time == 0.0 {
            state.own.token_time = time;
        } else {
            state.own.token_time += LEARN_TIME * (time - state.own.token_time);
        }
    }

    /// Gives a place back.
    pub(crate) fn end(&mut self, now: Moment, place: &Place, end: PlaceEnd) {
        let Some(state) = self.state_of(place) else {
            return;
        };
        state.own.running = state.own.running.saturating_sub(1);
        if state.own.running == 0 {
            state.own.token_time = 0.0;
        }
        state.own.memory = (state.own.memory - place.load.memory).max(0.0);
        if !place.has_begun {
            state.own.waiting = (state.own.waiting - place.load.waiting).max(0.0);
        }
        for part in &place.parts {
            if let Some(kept) = state.parts.get_mut(part) {
                kept.users = kept.users.saturating_sub(1);
                kept.used = now;
            }
        }
        match end {
            PlaceEnd::Good => {
                state.connect_failures = 0;
                state.failure_rate -= FAIL_WEIGHT * state.failure_rate;
            }
            PlaceEnd::Unreachable => {
                let out = OUT_FIRST * 2_u32.saturating_pow(state.connect_failures.min(8));
                state.connect_failures += 1;
                state.backoff_until = now.after(out.min(OUT_MAX));
            }
            PlaceEnd::Failed => state.failure_rate += FAIL_WEIGHT * (1.0 - state.failure_rate),
            PlaceEnd::Busy | PlaceEnd::Neutral => {}
        }
    }

    /// Drops parts that no engine keeps any more.
    pub(crate) fn forget_parts(&mut self, now: Moment) {
        self.notices.forget(now);
        self.wanted
            .retain(|_, w| w.get(now, WANTED_MEMORY) >= WANTED_LEAST);
        for state in self.states.iter_mut().flatten() {
            state.forget(now);
        }
    }

    fn state_of(&mut self, place: &Place) -> Option<&mut EndpointState> {
        let state = self.states.get_mut(place.index)?.as_mut()?;
        (state.key == place.key).then_some(state)
    }

    /// Endpoints that requests with `anchor` are drawn to, the same at all instances.
    fn homes(&self, now: Moment, indices: &[EndpointIndex], anchor: u64) -> Homes {
        let states = indices.iter().filter_map(|i| Some((*i, self.get(*i)?)));
        let usable = states.filter(|(_, s)| s.is_usable(now));
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
        Homes {
            first: first.1,
            second: second.1,
        }
    }
}

/// Whether an engine has a slot and steps fast enough for more.
///
/// The time between tokens grows with the prompts that are read in between. Admitting less keeps it
/// short enough for the longest answers to end before their callers give up.
fn has_time(state: &EndpointState, rules: &PlacementRules) -> bool {
    let load = state.total();
    load.token_time <= rules.token_time && load.running < state.record.slots
}

/// Whether a request may go to an engine that has to read its shared part. One that no engine keeps is
/// read at its first home, or at its second home if that has time to spare; one that is kept
/// somewhere is waited for there, and read again by an engine with time to spare if it is wanted more
/// than that, or for a stream that broke off. Under load the time serves more requests whose parts are
/// kept.
fn may_read(state: &EndpointState, rules: &PlacementRules, home: Home, is_kept: bool) -> bool {
    let load = state.total();
    let is_home = !is_kept && !home.is_none();
    if is_home && home.is_first() {
        return true;
    }
    (!rules.kept_only || is_home)
        && load.waiting * state.pace < SPREAD_QUEUE
        && load.token_time < rules.token_time * SPREAD_PART
}

/// Milliseconds of engine time and waiting that a request costs at an engine that has room, and
/// lacks so many tokens of its shared part.
fn engine_cost(
    state: &EndpointState,
    prompt: &Prompt,
    lacking: f64,
    rules: &PlacementRules,
) -> Option<f64> {
    let load = state.total();
    let memory = rules.memory? * MEMORY_PART;
    let is_idle = load.running == 0;
    if !is_idle && load.memory + state.memory(prompt) > memory {
        return None;
    }
    let output_time = f64::from(prompt.output) * load.token_time;
    if output_time > rules.left.as_secs_f64() * 1e3 * OUTPUT_PART {
        return None;
    }
    let own = (prompt.own() + lacking) * state.pace;
    let wait = load.waiting * state.pace;
    let limit = (rules.objective.as_secs_f64() * 1e3 * QUEUE_PART).min(QUEUE_MAX);
    if load.waiting > 0.0 && wait > limit - own.min(limit * OWN_PART) {
        return None;
    }
    let again = lacking * state.pace * (AGAIN_WEIGHT - 1.0);
    Some(wait + own + again + f64::from(load.running) * BESIDE_COST)
}

/// Requests for each slot at a plain endpoint that has room.
fn plain_cost(state: &EndpointState) -> Option<f64> {
    let load = state.total();
    let slots = state.record.slots.max(1);
    let has_room = load.running < slots * PLAIN_DEPTH;
    has_room.then(|| 10.0 * f64::from(load.running) / f64::from(slots))
}
