//! Continuous batching: the requests that an engine runs together, a token each at every step.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Streams kept for resumption after their end.
const KEPT: usize = 4_096;

/// Time between the tokens of one request, by the number of requests in the batch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pace {
    /// Microseconds of a step.
    pub base: u64,
    /// Microseconds that each request in the batch adds to a step.
    pub slope: u64,
    /// Microseconds before the first token for each byte of a prompt that is not cached.
    pub prefill: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            base: 8_000,
            slope: 500,
            prefill: 5,
        }
    }
}

impl Pace {
    /// Time of a step with `running` requests.
    #[must_use]
    pub fn interval(&self, running: u32) -> Duration {
        Duration::from_micros(self.base + self.slope * u64::from(running))
    }

    /// Tokens a second with `running` requests.
    #[must_use]
    pub fn rate(&self, running: u32) -> f64 {
        f64::from(running) / self.interval(running).as_secs_f64()
    }
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Tokens made.
    pub(crate) made: u64,
    /// Whether no more will come.
    pub(crate) is_ended: bool,
}

/// The answer to one request, as far as it is made.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Digest of the prompt.
    pub(crate) digest: u64,
    /// Tokens of the whole answer.
    pub(crate) tokens: u64,
    /// Bytes of the prompt.
    pub(crate) prompt: u64,
    /// Model as the caller names it.
    pub(crate) model: String,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Answer {
    fn advance(&self) -> Progress {
        self.progress.send_modify(|p| {
            p.made += 1;
            p.is_ended = p.made >= self.tokens;
        });
        *self.progress.borrow()
    }

    fn end(&self) {
        self.progress.send_modify(|p| p.is_ended = true);
    }
}

#[derive(Debug)]
struct Run {
    request: String,
    answer: Arc<Answer>,
    ready: Instant,
    is_poison: bool,
}

/// What a step did.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Step {
    /// Tokens made.
    pub(crate) tokens: u64,
    /// Requests that ended.
    pub(crate) ended: u64,
    /// Whether a request ran that crashes the engine.
    pub(crate) is_fatal: bool,
}

/// The requests that run.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    runs: Vec<Run>,
    answers: HashMap<String, Arc<Answer>>,
    order: VecDeque<String>,
}

impl Batch {
    pub(crate) fn running(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// Requests that have no token yet.
    pub(crate) fn waiting(&self, now: Instant) -> u32 {
        let waiting = self.runs.iter().filter(|r| r.ready > now).count();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    pub(crate) fn answer(&self, request: &str) -> Option<Arc<Answer>> {
        self.answers.get(request).cloned()
    }

    pub(crate) fn start(
        &mut self,
        request: &str,
        answer: Arc<Answer>,
        ready: Instant,
        is_poison: bool,
    ) {
        self.answers.insert(request.to_owned(), answer.clone());
        self.order.push_back(request.to_owned());
        if self.order.len() > KEPT {
            self.forget_oldest();
        }
        self.runs.push(Run {
            request: request.to_owned(),
            answer,
            ready,
            is_poison,
        });
    }

    /// Stops a request and tells whether it was running.
    pub(crate) fn cancel(&mut self, request: &str) -> bool {
        let before = self.runs.len();
        self.runs.retain(|run| {
            let is_other = run.request != request;
            if !is_other {
                run.answer.end();
            }
            is_other
        });
        self.runs.len() < before
    }

    /// Gives each request in the batch its next token.
    pub(crate) fn step(&mut self, now: Instant) -> Step {
        let mut step = Step::default();
        self.runs.retain(|run| {
            if run.ready > now {
                return true;
            }
            step.tokens += 1;
            step.is_fatal |= run.is_poison;
            let is_ended = run.answer.advance().is_ended;
            step.ended += u64::from(is_ended);
            !is_ended
        });
        step
    }

    fn forget_oldest(&mut self) {
        let Some(request) = self.order.pop_front() else {
            return;
        };
        if self.runs.iter().any(|r| r.request == request) {
            self.order.push_back(request);
            return;
        }
        self.answers.remove(&request);
    }
}

/// Prompt prefixes in limited memory, least recently used out first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    digests: VecDeque<u64>,
}

impl PrefixCache {
    /// Tells whether the prefix was cached, and caches it.
    pub(crate) fn touch(&mut self, digest: u64, room: usize) -> bool {
        let place = self.digests.iter().position(|&d| d == digest);
        if let Some(place) = place {
            self.digests.remove(place);
        }
        self.digests.push_back(digest);
        while self.digests.len() > room {
            self.digests.pop_front();
        }
        place.is_some()
    }
}
