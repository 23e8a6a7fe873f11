//! Prompt parts that are suspected of crashing the endpoints that begin to answer them.
//!
//! A [`Loss`] is a request whose endpoint crashed before the first event of its answer. Any shared
//! part of its prompt may be the cause, unless an answer to another request with that part has
//! begun since. The losses of one crash leave its *suspects*: the parts of those requests whose
//! answer had come furthest. The parts that are refused are a small set that explains the crashes:
//! the part that explains most of them is refused, its crashes are set aside, and so on while enough
//! evidence is left. So a part is not refused for crashes that another one explains, and of parts
//! that are always seen together the last one is refused, which fewest requests share.
//!
//! Instances exchange losses and begun answers. Merging them gives the same result in any order, and
//! the refused parts are a function of both.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::containment::Source;
use crate::gateway::placement::AnswerPhase;
use crate::moment::Moment;
use crate::name::{Fingerprint, PartId};

/// Evidence of a crash against a part that all of its furthest requests hold, which had received the
/// head of an answer.
const DIRECT_EVIDENCE: u32 = 4;
/// Evidence of any other crash.
const VAGUE_EVIDENCE: u32 = 2;
/// Evidence of any other crash against a part with which an answer has begun before.
const LEAST_EVIDENCE: u32 = 1;
/// Evidence from which a part is refused.
const REFUSAL_EVIDENCE: u32 = 8;
/// Time for which direct evidence counts.
const DIRECT_LIFETIME: Duration = Duration::from_mins(10);
/// Time for which vague evidence counts: innocent parts collect it when many endpoints crash.
const VAGUE_LIFETIME: Duration = Duration::from_mins(1);
/// Time within which several crashes count once, since they may have a common cause: instances
/// notice the loss of a connection within some milliseconds.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Losses of one endpoint lifetime that follow each other within this time belong to one crash.
const DETECTION_TIME: Duration = Duration::from_secs(1);
/// Time for which a begun answer is sent to peers, each of which hears every instance within it.
const BEGUN_LIFETIME: Duration = Duration::from_secs(5);
/// Most losses that are kept. The oldest is evicted.
const MAX_LOSSES: usize = 1_024;
/// Most parts whose last begun answer is kept. The older half is evicted.
const MAX_BEGUN: usize = 8_192;
/// Most begun answers in a message.
const MAX_BEGUN_SENT: usize = 32;
/// Most requests of a crash that are direct evidence. More have received the head of an answer only
/// where engines send it before they read the prompt.
const MAX_DIRECT: usize = 3;

/// Identity of a loss.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct LossKey {
    pub(crate) request: Fingerprint,
    /// Lifetime of the endpoint; see [`crate::gateway::peers::endpoint_key`].
    pub(crate) endpoint: u32,
}

/// A request whose endpoint crashed before the first event of its answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Loss {
    pub(crate) key: LossKey,
    /// Shared parts of its prompt, in order.
    pub(crate) parts: Vec<PartId>,
    pub(crate) answer: AnswerPhase,
    /// Time since it was noticed.
    pub(crate) age: Duration,
}

/// The latest answer that has begun to a request with a part.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct BegunPart {
    pub(crate) part: PartId,
    pub(crate) age: Duration,
}

/// The moment `age` before `now`. It is shifted, because evidence may be older than the process.
fn shifted(now: Moment, age: Duration) -> Moment {
    now.after(DIRECT_LIFETIME).before(age)
}

#[derive(Clone, Debug)]
struct Entry {
    parts: Vec<PartId>,
    answer: AnswerPhase,
    noticed: Moment,
}

/// When the latest answer to requests with a part began, by where it did.
///
/// Ages learned from another data centre are not sent on: each message adds its delivery time, so an
/// age that instances relay to each other would never increase.
#[derive(Clone, Copy, Debug, Default)]
struct Begun {
    /// At this instance.
    own: Moment,
    /// In this data centre.
    centre: Moment,
    /// Anywhere.
    any: Moment,
}

/// A change of the refused parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PartChange {
    Refused(PartId),
    Cleared(PartId),
}

/// What is known of the prompt parts that crash endpoints. Its moments are [`shifted`].
#[derive(Debug, Default)]
pub(crate) struct PromptSuspects {
    losses: BTreeMap<LossKey, Entry>,
    begun: HashMap<PartId, Begun>,
    /// Parts of losses that no begun answer has cleared.
    suspected: HashSet<PartId>,
    /// Refused parts, with the time until which their evidence counts.
    refused: BTreeMap<PartId, Moment>,
}

/// Evidence against one part in one crash.
#[derive(Clone, Copy, Debug)]
struct PartEvidence {
    weight: u32,
    /// Position of the part in the prompt.
    position: usize,
}

impl PartEvidence {
    /// Time for which the evidence counts.
    fn lifetime(self) -> Duration {
        if self.weight == DIRECT_EVIDENCE {
            DIRECT_LIFETIME
        } else {
            VAGUE_LIFETIME
        }
    }
}

/// The suspects of one crash.
#[derive(Debug)]
struct CrashEvidence {
    noticed: Moment,
    parts: BTreeMap<PartId, PartEvidence>,
}

impl PromptSuspects {
    /// Time for which a request with these parts is refused.
    pub(crate) fn refusal_left(
        &self,
        now: Moment,
        parts: impl IntoIterator<Item = PartId>,
    ) -> Option<Duration> {
        if self.refused.is_empty() {
            return None;
        }
        let until = parts.into_iter().filter_map(|p| self.refused.get(&p));
        let left = until.max()?.since(shifted(now, Duration::ZERO));
        (!left.is_zero()).then_some(left)
    }

    /// Whether parts are refused until a time that has passed.
    pub(crate) fn has_expired(&self, now: Moment) -> bool {
        let now = shifted(now, Duration::ZERO);
        self.refused.values().any(|until| *until <= now)
    }

    /// Number of losses, and of parts whose last begun answer is kept.
    #[cfg(test)]
    pub(crate) fn sizes(&self) -> (usize, usize) {
        (self.losses.len(), self.begun.len())
    }

    /// Number of losses with `part`.
    pub(crate) fn count_losses(&self, part: PartId) -> usize {
        self.losses_of(part).count()
    }

    /// The loss, for other instances.
    pub(crate) fn loss(&self, now: Moment, key: LossKey) -> Option<Loss> {
        let entry = self.losses.get(&key)?;
        Some(Loss {
            key,
            parts: entry.parts.clone(),
            answer: entry.answer,
            age: shifted(now, Duration::ZERO).since(entry.noticed),
        })
    }

    /// Losses that are evidence against refused parts.
    pub(crate) fn refusing_losses(&self) -> BTreeSet<LossKey> {
        let parts = self.refused.keys();
        parts.flat_map(|p| self.losses_of(*p)).collect()
    }

    /// Losses that are evidence against `part`.
    pub(crate) fn losses_of(&self, part: PartId) -> impl Iterator<Item = LossKey> {
        let entries = self.losses.iter();
        entries
            .filter(move |(_, e)| e.parts.contains(&part) && self.is_open(e, part))
            .map(|(key, _)| *key)
    }

    /// Recently begun answers to requests with parts of losses, for other instances: those at this
    /// instance or in its data centre, and those of the latest losses if there are many.
    pub(crate) fn begun_parts(&self, now: Moment, is_for_centre: bool) -> Vec<BegunPart> {
        let now = shifted(now, Duration::ZERO);
        let mut latest: HashMap<PartId, Moment> = HashMap::new();
        for entry in self.losses.values() {
            for part in &entry.parts {
                let last = latest.entry(*part).or_default();
                *last = entry.noticed.max(*last);
            }
        }
        let mut parts: Vec<(Moment, BegunPart)> = Vec::new();
        for (part, noticed) in latest {
            let begun = self.begun.get(&part);
            let age = begun.map(|b| now.since(if is_for_centre { b.own } else { b.centre }));
            if let Some(age) = age.filter(|a| *a < BEGUN_LIFETIME) {
                parts.push((noticed, BegunPart { part, age }));
            }
        }
        parts.sort_by_key(|(noticed, begun)| (std::cmp::Reverse(*noticed), begun.part));
        parts.truncate(MAX_BEGUN_SENT);
        parts.into_iter().map(|(_, begun)| begun).collect()
    }

    /// Records a loss. Returns whether it is new, or says more than what was known of it.
    pub(crate) fn record_loss(&mut self, now: Moment, loss: &Loss) -> bool {
        if loss.parts.is_empty() || loss.age >= DIRECT_LIFETIME {
            return false;
        }
        let noticed = shifted(now, loss.age);
        if let Some(known) = self.losses.get_mut(&loss.key) {
            let is_news = loss.answer > known.answer;
            known.answer = known.answer.max(loss.answer);
            known.noticed = known.noticed.min(noticed);
            return is_news;
        }
        if self.losses.len() >= MAX_LOSSES {
            let oldest = self.losses.iter().min_by_key(|(key, e)| (e.noticed, **key));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.losses.remove(&key);
            }
        }
        let entry = Entry {
            parts: loss.parts.clone(),
            answer: loss.answer,
            noticed,
        };
        self.losses.insert(loss.key, entry);
        true
    }

    /// Records that the answer to a request with a part began. Returns whether this may change the
    /// refused parts.
    pub(crate) fn record_begun(&mut self, now: Moment, source: Source, begun: BegunPart) -> bool {
        let BegunPart { part, age } = begun;
        let at = shifted(now, age);
        if self.begun.len() >= MAX_BEGUN && !self.begun.contains_key(&part) {
            let mut times: Vec<Moment> = self.begun.values().map(|b| b.any).collect();
            let median = *times.select_nth_unstable(MAX_BEGUN / 2).1;
            self.begun.retain(|_, b| b.any > median);
        }
        let last = self.begun.entry(part).or_default();
        last.any = at.max(last.any);
        if matches!(source, Source::Own | Source::Heartbeat) {
            last.centre = at.max(last.centre);
        }
        if source.is_own() {
            last.own = at.max(last.own);
        }
        self.suspected.contains(&part)
    }

    /// Decides anew which parts are refused.
    pub(crate) fn decide(&mut self, now: Moment) -> Vec<PartChange> {
        let now = shifted(now, Duration::ZERO);
        self.losses
            .retain(|_, e| now.since(e.noticed) < DIRECT_LIFETIME);
        let mut crashes = self.crashes(now);
        let parts = crashes.iter().flat_map(|c| c.parts.keys().copied());
        self.suspected = parts.collect();
        let mut refused = BTreeMap::new();
        while let Some((part, until)) = strongest(&crashes) {
            refused.insert(part, until);
            crashes.retain(|c| !c.parts.contains_key(&part));
        }
        let before = std::mem::replace(&mut self.refused, refused);
        let added = self.refused.keys().filter(|p| !before.contains_key(p));
        let removed = before.keys().filter(|p| !self.refused.contains_key(p));
        let added = added.map(|p| PartChange::Refused(*p));
        added
            .chain(removed.map(|p| PartChange::Cleared(*p)))
            .collect()
    }

    /// Whether no answer with `part` has begun since the loss.
    fn is_open(&self, entry: &Entry, part: PartId) -> bool {
        self.begun.get(&part).is_none_or(|b| b.any <= entry.noticed)
    }

    /// The crashes whose evidence counts, oldest first.
    fn crashes(&self, now: Moment) -> Vec<CrashEvidence> {
        let mut by_endpoint: BTreeMap<u32, Vec<&Entry>> = BTreeMap::new();
        for (key, entry) in &self.losses {
            by_endpoint.entry(key.endpoint).or_default().push(entry);
        }
        let mut crashes = Vec::new();
        for mut entries in by_endpoint.into_values() {
            entries.sort_by_key(|e| e.noticed);
            let groups = entries.chunk_by(|a, b| b.noticed.since(a.noticed) < DETECTION_TIME);
            crashes.extend(groups.map(|losses| self.crash(now, losses)));
        }
        crashes.retain(|c| !c.parts.is_empty());
        crashes.sort_by_key(|c| c.noticed);
        crashes
    }

    /// The suspects that the losses of one crash leave.
    fn crash(&self, now: Moment, losses: &[&Entry]) -> CrashEvidence {
        let noticed = losses[0].noticed;
        let open = |e: &Entry| -> Vec<(usize, PartId)> {
            let parts = e.parts.iter().copied().enumerate();
            parts.filter(|(_, p)| self.is_open(e, *p)).collect()
        };
        let losses = losses.iter().map(|e| (e.answer, open(e)));
        let losses: Vec<_> = losses.filter(|(_, parts)| !parts.is_empty()).collect();
        let furthest = losses.iter().map(|(answer, _)| *answer).max();
        let furthest: Vec<_> = losses
            .iter()
            .filter(|(answer, _)| Some(*answer) == furthest)
            .collect();
        let mut parts: BTreeMap<PartId, PartEvidence> = BTreeMap::new();
        for (position, part) in furthest.iter().flat_map(|(_, parts)| parts) {
            let holds = |parts: &[(usize, PartId)]| parts.iter().any(|(_, p)| p == part);
            let is_direct = furthest.len() <= MAX_DIRECT
                && furthest
                    .iter()
                    .all(|(answer, parts)| answer.is_head() && holds(parts));
            let weight = if is_direct {
                DIRECT_EVIDENCE
            } else if self.begun.contains_key(part) {
                LEAST_EVIDENCE
            } else {
                VAGUE_EVIDENCE
            };
            let evidence = PartEvidence {
                weight,
                position: *position,
            };
            if now.since(noticed) < evidence.lifetime() {
                let known = parts.entry(*part).or_insert(evidence);
                known.position = known.position.max(*position);
            }
        }
        CrashEvidence { noticed, parts }
    }
}

/// The part with most evidence, if it is enough to refuse it, and the time until which it counts.
fn strongest(crashes: &[CrashEvidence]) -> Option<(PartId, Moment)> {
    let parts: BTreeSet<PartId> = crashes
        .iter()
        .flat_map(|c| c.parts.keys().copied())
        .collect();
    let (part, sum) = parts
        .into_iter()
        .map(|part| (part, Sum::of(crashes, part)))
        .max_by_key(|(part, sum)| (sum.weight, sum.position, *part))?;
    (sum.weight >= REFUSAL_EVIDENCE).then_some((part, sum.until?))
}

/// All evidence against one part.
#[derive(Debug, Default)]
struct Sum {
    weight: u32,
    /// Last position of the part in a prompt.
    position: usize,
    /// Time until which all of the evidence counts.
    until: Option<Moment>,
}

impl Sum {
    /// Adds the evidence of crashes in order of time; in each [`COMMON_CAUSE_WINDOW`] only the strongest.
    fn of(crashes: &[CrashEvidence], part: PartId) -> Self {
        let mut sum = Self::default();
        let mut window = Moment::default();
        let mut counted = 0;
        for crash in crashes {
            let Some(evidence) = crash.parts.get(&part) else {
                continue;
            };
            sum.position = sum.position.max(evidence.position);
            if sum.until.is_none() || crash.noticed.since(window) >= COMMON_CAUSE_WINDOW {
                (window, counted) = (crash.noticed, 0);
            }
            if evidence.weight <= counted {
                continue;
            }
            sum.weight += evidence.weight - counted;
            counted = evidence.weight;
            let until = crash.noticed.after(evidence.lifetime());
            sum.until = Some(sum.until.map_or(until, |u| u.min(until)));
        }
        sum
    }
}
