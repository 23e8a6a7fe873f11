//! Requests that are suspected of crashing the endpoints that run them.
//!
//! A request is identified by its fingerprint. Once an endpoint crashed while it ran the request,
//! the request may run at one more endpoint, as a *trial*, one at a time over the fleet. If that
//! endpoint crashes, too, the request is refused until the suspicion expires; a complete successful
//! answer clears it, because most requests that run when an endpoint crashes did not cause it.
//!
//! Instances exchange [`Suspicion`]s, whose merge gives the same result in any order. An instance
//! sends its trial request to its peers, merges their replies, and begins the trial unless another
//! one runs or an instance with a lower name has requested one. Two instances that request a trial
//! at the same time have each received the other's request by then.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use derive_more::IsVariant;
use serde::{Deserialize, Serialize};

use crate::moment::Moment;
use crate::name::{BootId, EndpointName, Fingerprint, InstanceName};

/// Endpoint crashes after which a request is refused.
pub const MAX_CRASHES: usize = 2;
/// Time after the last crash for which a request is refused.
const REFUSAL_TIME: Duration = Duration::from_mins(10);
/// Time after which a trial that has not ended no longer counts.
const TRIAL_TIMEOUT: Duration = Duration::from_mins(2);
/// Most suspicions that are kept. The oldest is evicted.
const MAX_SUSPICIONS: usize = 4_096;
/// Most crashes, and most trials, of one suspicion.
const MAX_PER_SUSPICION: usize = 64;

/// Crash of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The boot that crashed, if known.
    pub boot: Option<BootId>,
}

/// Phase of a trial.
#[derive(Clone, Copy, Debug, Deserialize, Eq, IsVariant, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TrialPhase {
    /// Requested, but not begun.
    Wanted,
    /// It runs.
    Running,
    /// It ended.
    Ended,
}

/// The latest trial of one instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Trial {
    /// Number of the trial at the instance.
    pub number: u32,
    /// Its phase.
    pub phase: TrialPhase,
}

/// What instances exchange about one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of times the request was cleared. A higher round replaces a lower one.
    pub round: u32,
    /// Crashes in this round.
    pub crashes: BTreeSet<Crash>,
    /// Latest trial of each instance in this round.
    pub trials: BTreeMap<InstanceName, Trial>,
    /// Time since the last crash or clearance.
    pub age: Duration,
    /// Time since a trial changed.
    pub tried: Duration,
}

/// Verdict on a request.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub enum Standing {
    /// Not suspect.
    Clear,
    /// An endpoint that ran it crashed; it may run as a trial.
    Suspect,
    /// It is refused for this time.
    Refused(Duration),
}

#[derive(Clone, Debug)]
struct Entry {
    round: u32,
    crashes: BTreeSet<Crash>,
    trials: BTreeMap<InstanceName, Trial>,
    changed: Moment,
    tried: Moment,
}

impl Entry {
    fn new(now: Moment) -> Self {
        Self {
            round: 0,
            crashes: BTreeSet::new(),
            trials: BTreeMap::new(),
            changed: now,
            tried: now,
        }
    }

    /// Merges what another instance knows. Its times are late by the delivery of the message, so the
    /// earlier time of the same events is kept: relayed ages would never increase otherwise.
    fn merge(&mut self, other: Self) {
        if other.round < self.round {
            return;
        }
        if other.round > self.round {
            *self = other;
            return;
        }
        self.changed = match (
            other.crashes.is_subset(&self.crashes),
            self.crashes.is_subset(&other.crashes),
        ) {
            (true, true) => self.changed.min(other.changed),
            (true, false) => self.changed,
            (false, true) => other.changed,
            (false, false) => self.changed.max(other.changed),
        };
        self.tried = if self.trials == other.trials {
            self.tried.min(other.tried)
        } else {
            self.tried.max(other.tried)
        };
        self.crashes.extend(other.crashes);
        while self.crashes.len() > MAX_PER_SUSPICION {
            self.crashes.pop_last();
        }
        for (instance, theirs) in other.trials {
            let trial = self.trials.entry(instance).or_insert(theirs);
            *trial = (*trial).max(theirs);
        }
        while self.trials.len() > MAX_PER_SUSPICION {
            self.trials.pop_last();
        }
    }
}

/// Suspect requests that an instance knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: HashMap<Fingerprint, Entry>,
}

impl Suspects {
    /// Verdict on `request` at `now`.
    #[must_use]
    pub fn check(&self, now: Moment, request: Fingerprint) -> Standing {
        let Some(entry) = self.entries.get(&request) else {
            return Standing::Clear;
        };
        let left = entry.changed.after(REFUSAL_TIME).since(now);
        if left.is_zero() || entry.crashes.is_empty() {
            return Standing::Clear;
        }
        if entry.crashes.len() < MAX_CRASHES {
            return Standing::Suspect;
        }
        Standing::Refused(left)
    }

    /// Number of crashes held against `request` in its present round.
    #[must_use]
    pub fn crashes(&self, request: Fingerprint) -> usize {
        self.entries.get(&request).map_or(0, |e| e.crashes.len())
    }

    /// Whether `crash` was held against `request` before `sent`.
    #[must_use]
    pub fn was_known(&self, sent: Moment, request: Fingerprint, crash: &Crash) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|e| e.changed < sent && e.crashes.contains(crash))
    }

    /// Requests that are refused at `now`, in any order.
    pub fn refused(&self, now: Moment) -> impl Iterator<Item = Fingerprint> {
        let requests = self.entries.keys().copied();
        requests.filter(move |r| self.check(now, *r).is_refused())
    }

    /// Whether the trial that `instance` requested may begin.
    #[must_use]
    pub fn may_begin(&self, now: Moment, request: Fingerprint, instance: &InstanceName) -> bool {
        let Some(entry) = self.entries.get(&request) else {
            return true;
        };
        let is_recent = now.since(entry.tried) < TRIAL_TIMEOUT;
        let blocks = |(other, trial): (&InstanceName, &Trial)| match trial.phase {
            TrialPhase::Wanted => other < instance,
            TrialPhase::Running => true,
            TrialPhase::Ended => false,
        };
        !(is_recent && entry.trials.iter().any(blocks))
    }

    /// Suspicion of `request` for other instances.
    #[must_use]
    pub fn suspicion(&self, now: Moment, request: Fingerprint) -> Option<Suspicion> {
        let entry = self.entries.get(&request)?;
        Some(to_suspicion(now, request, entry))
    }

    /// Suspicions of the latest `most` requests, for other instances.
    #[must_use]
    pub fn suspicions(&self, now: Moment, most: usize) -> Vec<Suspicion> {
        let mut all: Vec<Suspicion> = self
            .entries
            .iter()
            .map(|(request, entry)| to_suspicion(now, *request, entry))
            .collect();
        all.sort_by_key(|s| (s.age, s.fingerprint));
        all.truncate(most);
        all
    }

    /// Number of suspect requests, cleared ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no such request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that an endpoint crashed while it ran `request`.
    pub fn record_crash(&mut self, now: Moment, request: Fingerprint, crash: Crash) {
        self.remove_expired(now);
        let entry = self.entry(now, request);
        entry.crashes.insert(crash);
        entry.changed = now;
    }

    /// Records a complete answer to `request`. Only a success clears it, because an endpoint may
    /// fail a request without beginning to run it.
    pub fn record_answer(&mut self, now: Moment, request: Fingerprint, status: u16) {
        if (200..300).contains(&status) {
            self.clear(now, request);
        }
    }

    /// Clears `request` after a complete answer.
    pub fn clear(&mut self, now: Moment, request: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&request)
            && !entry.crashes.is_empty()
        {
            let round = entry.round.saturating_add(1);
            *entry = Entry::new(now);
            entry.round = round;
        }
    }

    /// Records the trial request of `instance`, unless it has a trial that has neither ended nor
    /// timed out. Returns whether the request was recorded.
    pub fn request_trial(
        &mut self,
        now: Moment,
        request: Fingerprint,
        instance: &InstanceName,
    ) -> bool {
        let entry = self.entry(now, request);
        let is_recent = now.since(entry.tried) < TRIAL_TIMEOUT;
        let last = entry.trials.get(instance);
        if is_recent && last.is_some_and(|t| !t.phase.is_ended()) {
            return false;
        }
        let trial = Trial {
            number: last.map_or(0, |t| t.number.saturating_add(1)),
            phase: TrialPhase::Wanted,
        };
        entry.trials.insert(instance.clone(), trial);
        entry.tried = now;
        true
    }

    /// Advances the trial of `instance` to `phase`.
    pub fn set_phase(
        &mut self,
        now: Moment,
        request: Fingerprint,
        instance: &InstanceName,
        phase: TrialPhase,
    ) {
        if let Some(entry) = self.entries.get_mut(&request)
            && let Some(trial) = entry.trials.get_mut(instance)
        {
            trial.phase = trial.phase.max(phase);
            entry.tried = now;
        }
    }

    /// Merges a suspicion of another instance.
    pub fn merge(&mut self, now: Moment, received: Suspicion) {
        let ago = |age: Duration| Moment(now.0.saturating_sub(crate::moment::micros(age)));
        let theirs = Entry {
            round: received.round,
            crashes: received.crashes,
            trials: received.trials,
            changed: ago(received.age),
            tried: ago(received.tried),
        };
        if now.since(theirs.changed) >= REFUSAL_TIME {
            return;
        }
        let request = received.fingerprint;
        if !self.entries.contains_key(&request) {
            self.evict_if_full();
        }
        let entry = self.entries.entry(request);
        let unknown = || Entry {
            tried: theirs.tried,
            ..Entry::new(theirs.changed)
        };
        entry.or_insert_with(unknown).merge(theirs);
    }

    /// Removes expired suspicions.
    pub fn remove_expired(&mut self, now: Moment) {
        self.entries
            .retain(|_, e| now.since(e.changed) < REFUSAL_TIME);
    }

    fn entry(&mut self, now: Moment, request: Fingerprint) -> &mut Entry {
        if !self.entries.contains_key(&request) {
            self.evict_if_full();
        }
        self.entries
            .entry(request)
            .or_insert_with(|| Entry::new(now))
    }

    fn evict_if_full(&mut self) {
        if self.entries.len() < MAX_SUSPICIONS {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(f, e)| (e.changed, **f));
        if let Some(request) = oldest.map(|(f, _)| *f) {
            self.entries.remove(&request);
        }
    }
}

fn to_suspicion(now: Moment, fingerprint: Fingerprint, entry: &Entry) -> Suspicion {
    Suspicion {
        fingerprint,
        round: entry.round,
        crashes: entry.crashes.clone(),
        trials: entry.trials.clone(),
        age: now.since(entry.changed),
        tried: now.since(entry.tried),
    }
}
