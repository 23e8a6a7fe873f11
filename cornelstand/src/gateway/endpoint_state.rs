//! One endpoint with what is known of it: its load, the parts that it keeps, how fast and how well it
//! answers.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use derive_more::IsVariant;

use crate::gateway::directory::EndpointRecord;
use crate::gateway::notices::Noted;
use crate::gateway::peers::endpoint_key;
use crate::gateway::residency::MIN_ADVERTISED_TOKENS;
use crate::moment::Moment;

/// Milliseconds to read one prompt token before anything was measured; common engines read 20 to
/// 60 tokens in a millisecond.
const FIRST_PACE: f64 = 0.024;
/// Time after which peers are told again that a part is in use, below the one for which they take it
/// for kept.
const TELL_AGAIN: Duration = Duration::from_secs(4);
/// Time for which an engine is taken to keep a part after its last use.
const KEPT: Duration = Duration::from_secs(12);
/// Window of the limit of cold endpoints.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// A piece of a prompt that requests share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PromptPart {
    pub(crate) id: u64,
    pub(crate) tokens: u32,
}

/// What a request asks of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Prompt {
    /// Tokens to read.
    pub(crate) input: u32,
    /// Tokens expected to be generated.
    pub(crate) output: u32,
    /// Parts in order; the last one is the request's own.
    pub(crate) parts: Vec<PromptPart>,
}

impl Prompt {
    /// Longest run of parts that others may share: all but the last.
    pub(crate) fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The same for the rest of an answer of which `tokens` were generated: they are read with the
    /// prompt, and the rest is at least `stride`.
    pub(crate) fn advanced(mut self, tokens: u32, stride: u32) -> Self {
        let generated = tokens.min(self.output.saturating_sub(stride));
        self.input += generated;
        self.output -= generated;
        self
    }

    /// Tokens that no other request shares.
    pub(crate) fn own(&self) -> f64 {
        let shared: u32 = self.shared().iter().map(|p| p.tokens).sum();
        f64::from(self.input.saturating_sub(shared))
    }

    /// Deepest shared part, by which requests are drawn together.
    pub(crate) fn anchor(&self) -> Option<u64> {
        self.shared().last().map(|p| p.id)
    }
}

/// Load at one endpoint as an instance tells its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Load {
    /// Requests sent and not ended.
    pub(crate) running: u32,
    /// Prompt tokens of requests that have not begun to answer.
    pub(crate) waiting: f64,
    /// Tokens of memory taken.
    pub(crate) memory: f64,
    /// Milliseconds between two tokens of each running request; zero if none was seen.
    pub(crate) token_time: f64,
}

impl std::ops::AddAssign for Load {
    /// Adds the load of another instance at the same endpoint.
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
        self.waiting += other.waiting;
        self.memory += other.memory;
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct KeptPart {
    /// Requests of this instance that use it now.
    pub(crate) users: u32,
    pub(crate) used: Moment,
    /// When peers were told last.
    pub(crate) told: Option<Moment>,
}

impl KeptPart {
    fn new(now: Moment) -> Self {
        Self {
            users: 0,
            used: now,
            told: None,
        }
    }
}

/// One endpoint with what is known of it.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) record: Rc<EndpointRecord>,
    /// See [`endpoint_key`].
    pub(crate) key: u32,
    pub(crate) cold_until: Moment,
    pub(crate) own: Load,
    pub(crate) peers: Load,
    /// Milliseconds to read a token, queueing and generation included.
    pub(crate) pace: f64,
    pub(crate) parts: HashMap<u64, KeptPart>,
    pub(crate) out_until: Moment,
    pub(crate) refusals: u32,
    /// Moving share of requests that failed.
    pub(crate) failing: f64,
    pub(crate) tried: Moment,
    pub(crate) cold_sends: VecDeque<Moment>,
    /// What its answers, or peers, said of it.
    pub(crate) noted: Noted,
}

impl EndpointState {
    pub(crate) fn new(now: Moment, record: Rc<EndpointRecord>) -> Self {
        Self {
            cold_until: now.after(record.cold),
            key: endpoint_key(&record),
            record,
            own: Load::default(),
            peers: Load::default(),
            pace: FIRST_PACE,
            parts: HashMap::new(),
            out_until: Moment::default(),
            refusals: 0,
            failing: 0.0,
            tried: Moment::default(),
            cold_sends: VecDeque::new(),
            noted: Noted::default(),
        }
    }

    pub(crate) fn total(&self) -> Load {
        let mut total = self.own;
        total += self.peers;
        total
    }

    /// Notes that a request uses a part. Returns whether peers should be told.
    pub(crate) fn use_part(&mut self, now: Moment, part: PromptPart) -> bool {
        let kept = self.parts.entry(part.id).or_insert(KeptPart::new(now));
        kept.users += 1;
        kept.used = now;
        let is_due = kept.told.is_none_or(|t| now.since(t) >= TELL_AGAIN);
        if is_due && part.tokens >= MIN_ADVERTISED_TOKENS {
            kept.told = Some(now);
            return true;
        }
        false
    }

    /// Notes that a peer's request used a part.
    pub(crate) fn hear_part(&mut self, now: Moment, part: u64) {
        let kept = self.parts.entry(part).or_insert(KeptPart::new(now));
        kept.used = now;
        kept.told = Some(now);
    }

    /// Drops parts that the engine does not keep any more, and sends that no limit counts.
    pub(crate) fn forget(&mut self, now: Moment) {
        let is_kept = |k: &KeptPart| k.users > 0 || now.since(k.used) < KEPT;
        self.parts.retain(|_, k| is_kept(k));
        self.cold_sends.retain(|s| now.since(*s) < COLD_WINDOW);
    }

    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    pub(crate) fn is_usable(&self, now: Moment) -> bool {
        !self.is_leaving() && now >= self.out_until.max(self.noted.rests_until)
    }

    /// Whether the store or the endpoint itself says that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.record.leaving || self.noted.leaving
    }

    /// Whether the limit of a cold endpoint allows one more request of this instance.
    pub(crate) fn bears(&self, now: Moment, cold_share: Option<u32>) -> bool {
        let Some(share) = cold_share.filter(|_| self.is_cold(now)) else {
            return true;
        };
        let recent = self.cold_sends.iter();
        let recent = recent.filter(|s| now.since(**s) < COLD_WINDOW).count();
        recent < share as usize
    }

    /// Shared tokens of `prompt` that are not kept here, as far as this instance knows.
    pub(crate) fn lacking(&self, now: Moment, prompt: &Prompt) -> f64 {
        let is_kept = |p: &&PromptPart| {
            let kept = self.parts.get(&p.id);
            kept.is_some_and(|k| k.users > 0 || now.since(k.used) < KEPT)
        };
        let shared = prompt.shared();
        let kept = shared.iter().take_while(is_kept).count();
        shared[kept..].iter().map(|p| f64::from(p.tokens)).sum()
    }

    /// Memory that `prompt` adds to what runs here.
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

/// Whether an endpoint is one to which requests that share a part are drawn.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub(crate) enum Home {
    First,
    Second,
    None,
}
