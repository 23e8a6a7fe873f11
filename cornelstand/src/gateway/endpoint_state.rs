//! State of one endpoint: its load, the prompt parts in its cache, its speed and its failure rate.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use derive_more::IsVariant;

use crate::gateway::directory::EndpointRecord;
use crate::gateway::endpoint_load::SpeedBelief;
use crate::gateway::notices::NoticeState;
use crate::gateway::peers::endpoint_key;
use crate::gateway::residency::MIN_ADVERTISED_TOKENS;
use crate::moment::Moment;
use crate::name::PartId;

/// Initial prefill time in milliseconds per prompt token; common engines read 20 to 60 tokens per
/// millisecond.
const INITIAL_PACE_MS: f64 = 0.024;
/// Interval at which a part in use is advertised again; below [`CACHE_RETENTION`], after which
/// peers assume that it was evicted.
const ADVERTISE_INTERVAL: Duration = Duration::from_secs(4);
/// Time for which a part is assumed to stay in an engine's cache after its last use.
const CACHE_RETENTION: Duration = Duration::from_secs(12);
/// Window of the rate limit of cold endpoints.
const COLD_LIMIT_WINDOW: Duration = Duration::from_millis(1_100);

/// Largest factor on the token time limit for slow engines; the limit leaves half of a route's
/// timeout.
const MAX_ALLOWED_SLOWNESS: f64 = 2.0;

/// Most shared parts of a prompt that are logged and may be suspected of crashes. Callers choose how
/// many there are; the first ones are common to most requests.
const MAX_SHARED_IDS: usize = 64;

/// A section of a prompt, by which requests with a common prefix are recognised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PromptPart {
    pub(crate) id: u64,
    pub(crate) tokens: u32,
}

/// Size and structure of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Prompt {
    /// Prompt tokens.
    pub(crate) input: u32,
    /// Expected number of generated tokens.
    pub(crate) output: u32,
    /// Parts in order; the last one is unique to the request.
    pub(crate) parts: Vec<PromptPart>,
}

impl Prompt {
    /// Shared prefix: all parts but the last.
    pub(crate) fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Identifiers of the last shared parts, at most [`MAX_SHARED_IDS`], in order.
    pub(crate) fn shared_ids(&self) -> impl Iterator<Item = PartId> {
        let shared = self.shared();
        let last = &shared[shared.len().saturating_sub(MAX_SHARED_IDS)..];
        last.iter().map(|p| PartId(p.id))
    }

    /// Prompt for resuming a response after `tokens` generated tokens: these become input, and at
    /// least `stride` remain to be generated.
    pub(crate) fn advanced(mut self, tokens: u32, stride: u32) -> Self {
        let generated = tokens.min(self.output.saturating_sub(stride));
        self.input += generated;
        self.output -= generated;
        self
    }

    /// Tokens outside the shared prefix.
    pub(crate) fn own(&self) -> f64 {
        let shared: u32 = self.shared().iter().map(|p| p.tokens).sum();
        f64::from(self.input.saturating_sub(shared))
    }

    /// Last part of the shared prefix, on which requests are hashed to endpoints.
    pub(crate) fn anchor(&self) -> Option<u64> {
        self.shared().last().map(|p| p.id)
    }
}

/// Load of one endpoint, as exchanged between instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Load {
    /// Requests in flight.
    pub(crate) running: u32,
    /// Prompt tokens of requests whose response has not begun.
    pub(crate) unread_tokens: f64,
    /// Memory in use, in tokens.
    pub(crate) memory: f64,
    /// Milliseconds between two tokens of a running request; zero if not yet measured.
    pub(crate) token_time: f64,
}

impl std::ops::AddAssign for Load {
    /// Adds another instance's load; averages token times by running requests.
    fn add_assign(&mut self, other: Self) {
        let weight = |l: &Self| {
            if l.token_time > 0.0 {
                f64::from(l.running)
            } else {
                0.0
            }
        };
        let (own, theirs) = (weight(self), weight(&other));
        if own + theirs > 0.0 {
            let sum = self.token_time * own + other.token_time * theirs;
            self.token_time = sum / (own + theirs);
        }
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
        self.memory += other.memory;
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct CachedPart {
    /// Requests of this instance in flight that use it.
    pub(crate) users: u32,
    pub(crate) used: Moment,
    /// Last time it was advertised by this instance or a peer.
    pub(crate) advertised: Option<Moment>,
}

impl CachedPart {
    fn new(now: Moment) -> Self {
        Self {
            users: 0,
            used: now,
            advertised: None,
        }
    }
}

#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) record: Rc<EndpointRecord>,
    /// See [`endpoint_key`].
    pub(crate) key: u32,
    pub(crate) cold_until: Moment,
    pub(crate) own: Load,
    pub(crate) peers: Load,
    /// Prefill milliseconds per token, including queueing and generation steps in between.
    pub(crate) prefill_pace: f64,
    pub(crate) parts: HashMap<u64, CachedPart>,
    pub(crate) backoff_until: Moment,
    pub(crate) connect_failures: u32,
    /// Moving average of the failure rate.
    pub(crate) failure_rate: f64,
    pub(crate) last_sent: Moment,
    pub(crate) cold_sends: VecDeque<Moment>,
    /// Notices from its own responses and from peers.
    pub(crate) noted: NoticeState,
    /// Belief about its speed, if it tells its pace.
    pub(crate) speed: Option<SpeedBelief>,
    /// Whether it told figures that cannot be read.
    pub(crate) told_unreadable: bool,
}

impl EndpointState {
    pub(crate) fn new(now: Moment, record: Rc<EndpointRecord>) -> Self {
        Self {
            cold_until: now.after(record.cold),
            key: endpoint_key(&record),
            record,
            own: Load::default(),
            peers: Load::default(),
            prefill_pace: INITIAL_PACE_MS,
            parts: HashMap::new(),
            backoff_until: Moment::default(),
            connect_failures: 0,
            failure_rate: 0.0,
            last_sent: Moment::default(),
            cold_sends: VecDeque::new(),
            noted: NoticeState::default(),
            speed: None,
            told_unreadable: false,
        }
    }

    pub(crate) fn total(&self) -> Load {
        let mut total = self.own;
        total += self.peers;
        total
    }

    /// Records a request that uses a part. Returns whether to advertise the part to peers.
    pub(crate) fn use_part(&mut self, now: Moment, part: PromptPart) -> bool {
        let cached = self.parts.entry(part.id).or_insert(CachedPart::new(now));
        cached.users += 1;
        cached.used = now;
        let is_due = cached
            .advertised
            .is_none_or(|t| now.since(t) >= ADVERTISE_INTERVAL);
        if is_due && part.tokens >= MIN_ADVERTISED_TOKENS {
            cached.advertised = Some(now);
            return true;
        }
        false
    }

    /// Records a part that a peer advertised.
    pub(crate) fn record_peer_part(&mut self, now: Moment, part: u64) {
        let cached = self.parts.entry(part).or_insert(CachedPart::new(now));
        cached.used = now;
        cached.advertised = Some(now);
    }

    /// Drops expired parts, and sends that are outside the window of the cold limit.
    pub(crate) fn forget(&mut self, now: Moment) {
        let is_cached = |k: &CachedPart| k.users > 0 || now.since(k.used) < CACHE_RETENTION;
        self.parts.retain(|_, k| is_cached(k));
        self.cold_sends
            .retain(|s| now.since(*s) < COLD_LIMIT_WINDOW);
    }

    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    pub(crate) fn is_usable(&self, now: Moment) -> bool {
        !self.is_leaving() && now >= self.backoff_until.max(self.noted.rests_until)
    }

    /// Whether the store or the endpoint itself announces its shutdown.
    pub(crate) fn is_leaving(&self) -> bool {
        self.record.leaving || self.noted.leaving
    }

    /// Whether the cold limit allows one more request from this instance.
    pub(crate) fn allows_send(&self, now: Moment, cold_quota: Option<u32>) -> bool {
        let Some(quota) = cold_quota.filter(|_| self.is_cold(now)) else {
            return true;
        };
        let recent = self.cold_sends.iter();
        let recent = recent
            .filter(|s| now.since(**s) < COLD_LIMIT_WINDOW)
            .count();
        recent < quota as usize
    }

    /// Shared prefix tokens of `prompt` that are not known to be cached here.
    pub(crate) fn uncached_tokens(&self, now: Moment, prompt: &Prompt) -> f64 {
        let is_cached = |p: &&PromptPart| {
            let cached = self.parts.get(&p.id);
            cached.is_some_and(|k| k.users > 0 || now.since(k.used) < CACHE_RETENTION)
        };
        let shared = prompt.shared();
        let cached = shared.iter().take_while(is_cached).count();
        shared[cached..].iter().map(|p| f64::from(p.tokens)).sum()
    }

    /// Expected milliseconds for a prompt token now.
    pub(crate) fn read_time(&self, now: Moment) -> f64 {
        self.prefill_pace * self.speed.map_or(1.0, |s| s.pace(now))
    }

    /// Expected milliseconds for reading what is queued now.
    pub(crate) fn queue_time(&self, now: Moment) -> f64 {
        self.total().unread_tokens * self.read_time(now)
    }

    /// Expected milliseconds between two tokens now.
    pub(crate) fn token_time(&self, now: Moment, load: Load) -> f64 {
        load.token_time * self.speed.map_or(1.0, |s| s.pace(now) / s.usual())
    }

    /// Factor on the token time limit: an engine that is always slower than usual serves what ends
    /// in time there.
    pub(crate) fn allowed_slowness(&self) -> f64 {
        self.speed
            .map_or(1.0, |s| s.usual().clamp(1.0, MAX_ALLOWED_SLOWNESS))
    }

    /// Memory that `prompt` adds to the running requests, in tokens.
    pub(crate) fn memory(&self, prompt: &Prompt) -> f64 {
        let is_used = |p: &&PromptPart| self.parts.get(&p.id).is_some_and(|k| k.users > 0);
        let shared: u32 = prompt
            .shared()
            .iter()
            .filter(is_used)
            .map(|p| p.tokens)
            .sum();
        f64::from(prompt.input.saturating_sub(shared) + prompt.output)
    }
}

/// Rank of an endpoint in the rendezvous hashing of a shared prefix.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub(crate) enum Preference {
    First,
    Second,
    None,
}
