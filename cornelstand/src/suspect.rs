//! Requests that are suspected of crashing the endpoints that run them.
//!
//! A request is known by its fingerprint. Once an endpoint crashed while it ran the request, the
//! request may run at one more endpoint, as a *trial*, one at a time over the fleet. If the trial
//! loses its endpoint, too, the request is refused until it is forgiven; a whole answer of success
//! clears it, because most requests that were running when an endpoint crashed did not cause it.
//!
//! Instances exchange what they know as [`Suspicion`]s, whose merge gives the same result in any
//! order. A trial is wanted, made known to the peers with their view taken in return, and then
//! begins unless another one runs or an instance with a lower name wants one. Two instances that
//! want a trial at the same time have each seen the other's wish by then.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use derive_more::IsVariant;
use serde::{Deserialize, Serialize};

use crate::moment::Moment;
use crate::name::{BootId, EndpointName, Fingerprint, InstanceName};

/// Endpoints that a request may take down before it is refused.
pub const MAX_CRASHES: usize = 2;
/// Time after the last crash for which a request is refused.
const FORGIVEN: Duration = Duration::from_mins(10);
/// Time after which a trial that was not ended does not count any more.
const TRIAL: Duration = Duration::from_mins(2);
/// Most suspicions that are kept. The oldest gives way.
const MAX_SUSPICIONS: usize = 4_096;
/// Most crashes, and most trials, of one suspicion.
const MAX_PARTS: usize = 64;

/// An endpoint that was lost.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its boot identity before, if known.
    pub boot: Option<BootId>,
}

/// How far a trial is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, IsVariant, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TrialPhase {
    /// An instance asks for it.
    Wanted,
    /// It runs.
    Running,
    /// It ended.
    Ended,
}

/// The latest trial of one instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Trial {
    /// Counts the trials of the instance.
    pub number: u32,
    /// How far it is.
    pub phase: TrialPhase,
}

/// What instances tell one another about one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Counts how often the request was cleared. A higher round replaces a lower one.
    pub round: u32,
    /// Endpoints lost in this round.
    pub crashes: BTreeSet<Crash>,
    /// Latest trial of each instance in this round.
    pub trials: BTreeMap<InstanceName, Trial>,
    /// Time since the last crash or clearance.
    pub age: Duration,
    /// Time since a trial changed.
    pub tried: Duration,
}

/// What is held against a request.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub enum Standing {
    /// Nothing.
    Clear,
    /// An endpoint was lost to it; it may run as a trial.
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

    fn merge(&mut self, other: Self) {
        if other.round < self.round {
            return;
        }
        if other.round > self.round {
            *self = other;
            return;
        }
        self.crashes.extend(other.crashes);
        while self.crashes.len() > MAX_PARTS {
            self.crashes.pop_last();
        }
        for (entry, theirs) in other.trials {
            let trial = self.trials.entry(entry).or_insert(theirs);
            *trial = (*trial).max(theirs);
        }
        while self.trials.len() > MAX_PARTS {
            self.trials.pop_last();
        }
        self.changed = self.changed.max(other.changed);
        self.tried = self.tried.max(other.tried);
    }
}

/// All that one instance knows about suspect requests.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: HashMap<Fingerprint, Entry>,
}

impl Suspects {
    /// What is held against `request` at `now`.
    #[must_use]
    pub fn check(&self, now: Moment, request: Fingerprint) -> Standing {
        let Some(entry) = self.entries.get(&request) else {
            return Standing::Clear;
        };
        let left = entry.changed.after(FORGIVEN).since(now);
        if left.is_zero() || entry.crashes.is_empty() {
            return Standing::Clear;
        }
        if entry.crashes.len() < MAX_CRASHES {
            return Standing::Suspect;
        }
        Standing::Refused(left)
    }

    /// Number of endpoints lost to `request` in its present round.
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

    /// Requests that are refused at `now`, in no order.
    pub fn refused(&self, now: Moment) -> impl Iterator<Item = Fingerprint> {
        let requests = self.entries.keys().copied();
        requests.filter(move |r| self.check(now, *r).is_refused())
    }

    /// Tells whether the trial that `instance` wants may begin.
    #[must_use]
    pub fn may_begin(&self, now: Moment, request: Fingerprint, instance: &InstanceName) -> bool {
        let Some(entry) = self.entries.get(&request) else {
            return true;
        };
        let is_current = now.since(entry.tried) < TRIAL;
        let blocks = |(other, trial): (&InstanceName, &Trial)| match trial.phase {
            TrialPhase::Wanted => other < instance,
            TrialPhase::Running => true,
            TrialPhase::Ended => false,
        };
        !(is_current && entry.trials.iter().any(blocks))
    }

    /// What to tell other instances about `request`.
    #[must_use]
    pub fn suspicion(&self, now: Moment, request: Fingerprint) -> Option<Suspicion> {
        let entry = self.entries.get(&request)?;
        Some(wire(now, request, entry))
    }

    /// What to tell other instances about all requests, the latest `most` of them.
    #[must_use]
    pub fn suspicions(&self, now: Moment, most: usize) -> Vec<Suspicion> {
        let mut all: Vec<Suspicion> = self
            .entries
            .iter()
            .map(|(request, entry)| wire(now, *request, entry))
            .collect();
        all.sort_by_key(|s| (s.age, s.fingerprint));
        all.truncate(most);
        all
    }

    /// Number of requests with something against them, cleared ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there is no such request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notes that an endpoint crashed while it ran `request`.
    pub fn note(&mut self, now: Moment, request: Fingerprint, crash: Crash) {
        self.forgive(now);
        let entry = self.entry(now, request);
        entry.crashes.insert(crash);
        entry.changed = now;
    }

    /// Takes in a whole answer to `request`. A success clears it; an endpoint may fail a request
    /// without beginning to run it.
    pub fn answer(&mut self, now: Moment, request: Fingerprint, status: u16) {
        if (200..300).contains(&status) {
            self.clear(now, request);
        }
    }

    /// Clears `request`, which was answered whole.
    pub fn clear(&mut self, now: Moment, request: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&request)
            && !entry.crashes.is_empty()
        {
            let round = entry.round.saturating_add(1);
            *entry = Entry::new(now);
            entry.round = round;
        }
    }

    /// Notes that `instance` wants a trial, unless it has one already.
    pub fn want(&mut self, now: Moment, request: Fingerprint, instance: &InstanceName) -> bool {
        let entry = self.entry(now, request);
        let is_current = now.since(entry.tried) < TRIAL;
        let last = entry.trials.get(instance);
        if is_current && last.is_some_and(|t| !t.phase.is_ended()) {
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

    /// Notes how far the trial of `instance` is.
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

    /// Takes in what another instance tells.
    pub fn merge(&mut self, now: Moment, told: Suspicion) {
        let ago = |age: Duration| Moment(now.0.saturating_sub(crate::moment::micros(age)));
        let theirs = Entry {
            round: told.round,
            crashes: told.crashes,
            trials: told.trials,
            changed: ago(told.age),
            tried: ago(told.tried),
        };
        if now.since(theirs.changed) >= FORGIVEN {
            return;
        }
        let request = told.fingerprint;
        if !self.entries.contains_key(&request) {
            self.make_room();
        }
        let entry = self.entries.entry(request);
        entry
            .or_insert_with(|| Entry::new(Moment::default()))
            .merge(theirs);
    }

    /// Forgets requests that are forgiven.
    pub fn forgive(&mut self, now: Moment) {
        self.entries.retain(|_, e| now.since(e.changed) < FORGIVEN);
    }

    fn entry(&mut self, now: Moment, request: Fingerprint) -> &mut Entry {
        if !self.entries.contains_key(&request) {
            self.make_room();
        }
        self.entries
            .entry(request)
            .or_insert_with(|| Entry::new(now))
    }

    fn make_room(&mut self) {
        if self.entries.len() < MAX_SUSPICIONS {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(f, e)| (e.changed, **f));
        if let Some(request) = oldest.map(|(f, _)| *f) {
            self.entries.remove(&request);
        }
    }
}

fn wire(now: Moment, fingerprint: Fingerprint, entry: &Entry) -> Suspicion {
    Suspicion {
        fingerprint,
        round: entry.round,
        crashes: entry.crashes.clone(),
        trials: entry.trials.clone(),
        age: now.since(entry.changed),
        tried: now.since(entry.tried),
    }
}
