//! Which evidence of crashes the next message carries.
//!
//! A crash makes suspects of all requests that ran at the endpoint, and a message has room for some
//! of them. So each change of the evidence is queued and sent a few times, because messages get
//! lost; evidence that refuses requests comes first. All of that is also sent again in rotation, for
//! instances that started later or were cut off meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::From;
use serde::{Deserialize, Serialize};

use crate::gateway::containment::Source;
use crate::gateway::prompt_suspects::{BegunPart, Loss, LossKey, PromptSuspects};
use crate::moment::Moment;
use crate::name::Fingerprint;
use crate::suspect::{Suspects, Suspicion};

/// Times that a change is sent: with one message in ten lost, one change in a thousand is lost.
const SENDS_PER_CHANGE: u32 = 3;
/// Time after which a change is no longer sent, beyond the 3 to 4 s within which the platform
/// requires it to be known.
const CHANGE_LIFETIME: Duration = Duration::from_secs(5);
/// Most queued changes: at two heartbeats a second, the lowest rate, each is sent once within
/// [`CHANGE_LIFETIME`].
const MAX_QUEUED: usize = 10 * HEARTBEAT_CAPACITY;
/// Most suspicions in a heartbeat: some 50 bytes each, and a crash makes up to 64 suspects.
const HEARTBEAT_CAPACITY: usize = 32;
/// Most suspicions in a digest, which carries those of a whole data centre.
const DIGEST_CAPACITY: usize = 64;

/// Refused subjects that a message repeats, besides its changes. A starting instance receives some
/// 150 heartbeats a second in a large fleet, and 25 of each peer in a small one: a few hundred
/// requests within the 3 s that the platform allows it.
const REFRESH_COUNT: usize = 4;

/// What evidence is about.
#[derive(Clone, Copy, Debug, Eq, From, Ord, PartialEq, PartialOrd)]
pub(crate) enum Subject {
    /// The [`Suspicion`] of a request.
    Request(Fingerprint),
    Loss(LossKey),
}

/// All that an instance knows of crashes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence<'a> {
    pub(crate) requests: &'a Suspects,
    pub(crate) prompts: &'a PromptSuspects,
}

impl Evidence<'_> {
    /// Subjects for which requests are refused.
    fn refusing(self, now: Moment) -> impl Iterator<Item = Subject> {
        let requests = self.requests.refused(now).map(Subject::from);
        requests.chain(
            self.prompts
                .refusing_losses()
                .into_iter()
                .map(Subject::from),
        )
    }

    /// Evidence on `subjects`, for other instances.
    fn collect(self, now: Moment, subjects: &[Subject]) -> CrashNews {
        let mut news = CrashNews::default();
        for subject in subjects {
            match subject {
                Subject::Request(request) => {
                    news.suspicions
                        .extend(self.requests.suspicion(now, *request));
                }
                Subject::Loss(key) => news.losses.extend(self.prompts.loss(now, *key)),
            }
        }
        news
    }
}

/// Evidence of crashes in a message.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct CrashNews {
    /// Requests suspected of crashes.
    pub(crate) suspicions: Vec<Suspicion>,
    /// Requests whose prompts may hold a part that crashes endpoints.
    pub(crate) losses: Vec<Loss>,
    /// Prompt parts of losses that have been answered since.
    pub(crate) begun: Vec<BegunPart>,
}

impl CrashNews {
    pub(crate) fn is_empty(&self) -> bool {
        let Self {
            suspicions,
            losses,
            begun,
        } = self;
        suspicions.is_empty() && losses.is_empty() && begun.is_empty()
    }
}

/// Changes queued for one kind of message.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// Whether its messages go to the own data centre, or all instances of a small fleet.
    is_for_centre: bool,
    capacity: usize,
    sends: u32,
    urgent: VecDeque<Change>,
    others: VecDeque<Change>,
    /// Refused subject that was repeated last.
    last_refreshed: Option<Subject>,
    /// Changes that were dropped before they were sent once.
    unsent: u64,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    subject: Subject,
    queued_at: Moment,
    /// Number of sends left.
    sends_left: u32,
    /// Whether it was sent once.
    is_sent: bool,
}

impl Outbox {
    fn new(is_for_centre: bool, capacity: usize, sends: u32) -> Self {
        Self {
            is_for_centre,
            capacity,
            sends,
            urgent: VecDeque::new(),
            others: VecDeque::new(),
            last_refreshed: None,
            unsent: 0,
        }
    }

    /// Queues a change of the evidence on `subject`.
    pub(crate) fn push(&mut self, now: Moment, subject: impl Into<Subject>, is_urgent: bool) {
        let subject = subject.into();
        self.urgent.retain(|c| c.subject != subject);
        self.others.retain(|c| c.subject != subject);
        let queue = if is_urgent {
            &mut self.urgent
        } else {
            &mut self.others
        };
        queue.push_back(Change {
            subject,
            queued_at: now,
            sends_left: self.sends,
            is_sent: false,
        });
        if queue.len() > MAX_QUEUED {
            let dropped = queue.pop_front();
            self.unsent += u64::from(dropped.is_some_and(|c| !c.is_sent));
        }
    }

    /// Evidence for the message to send at `now`: changes, and refused subjects to repeat.
    pub(crate) fn take(&mut self, now: Moment, evidence: Evidence<'_>) -> CrashNews {
        let mut subjects = self.take_changes(now);
        subjects.extend(self.refresh(now, evidence));
        CrashNews {
            begun: evidence.prompts.begun_parts(now, self.is_for_centre),
            ..evidence.collect(now, &subjects)
        }
    }

    /// Evidence for a message of changes only.
    pub(crate) fn take_updates(&mut self, now: Moment, evidence: Evidence<'_>) -> CrashNews {
        evidence.collect(now, &self.take_changes(now))
    }

    /// Subjects whose changes are sent at `now`.
    fn take_changes(&mut self, now: Moment) -> Vec<Subject> {
        let mut subjects = Vec::new();
        for queue in [&mut self.urgent, &mut self.others] {
            for _ in 0..queue.len() {
                if subjects.len() >= self.capacity {
                    break;
                }
                let Some(mut change) = queue.pop_front() else {
                    break;
                };
                if now.since(change.queued_at) >= CHANGE_LIFETIME {
                    self.unsent += u64::from(!change.is_sent);
                    continue;
                }
                subjects.push(change.subject);
                change.sends_left -= 1;
                change.is_sent = true;
                if change.sends_left > 0 {
                    queue.push_back(change);
                }
            }
        }
        subjects
    }

    /// The refused subjects to repeat next.
    fn refresh(&mut self, now: Moment, evidence: Evidence<'_>) -> Vec<Subject> {
        let mut refused: Vec<Subject> = evidence.refusing(now).collect();
        refused.sort_unstable();
        let next = refused.partition_point(|r| self.last_refreshed.is_some_and(|last| *r <= last));
        refused.rotate_left(next);
        refused.truncate(REFRESH_COUNT);
        self.last_refreshed = refused.last().copied().or(self.last_refreshed);
        refused
    }

    /// Drops expired changes, at an instance that does not send these messages.
    pub(crate) fn drop_expired(&mut self, now: Moment) {
        for queue in [&mut self.urgent, &mut self.others] {
            queue.retain(|c| now.since(c.queued_at) < CHANGE_LIFETIME);
        }
    }

    /// Changes dropped unsent since the last call.
    pub(crate) fn take_unsent(&mut self) -> u64 {
        std::mem::take(&mut self.unsent)
    }
}

/// Queued changes by kind of message.
#[derive(Debug)]
pub(crate) struct SuspicionUpdates {
    /// For the receivers of heartbeats.
    pub(crate) heartbeats: Outbox,
    /// For other data centres, if this instance sends digests.
    pub(crate) digests: Outbox,
    /// For all instances at once: evidence for which requests are refused from now on.
    pub(crate) alarms: Outbox,
}

impl SuspicionUpdates {
    /// Queues a change for the peers that its source did not reach.
    pub(crate) fn push(
        &mut self,
        now: Moment,
        source: Source,
        subject: impl Into<Subject>,
        is_urgent: bool,
    ) {
        let subject = subject.into();
        if source.is_own() {
            self.heartbeats.push(now, subject, is_urgent);
            if is_urgent {
                self.alarms.push(now, subject, true);
            }
        }
        // Digests and alarms reach the other data centres, too.
        if matches!(source, Source::Own | Source::Heartbeat) {
            self.digests.push(now, subject, is_urgent);
        }
    }

    /// Queues a refused request again for the peers behind `source`.
    pub(crate) fn resend(&mut self, now: Moment, source: Source, request: Fingerprint) {
        let outbox = if source.is_digest() {
            &mut self.digests
        } else {
            &mut self.heartbeats
        };
        outbox.push(now, request, true);
    }
}

impl Default for SuspicionUpdates {
    fn default() -> Self {
        Self {
            heartbeats: Outbox::new(true, HEARTBEAT_CAPACITY, SENDS_PER_CHANGE),
            digests: Outbox::new(false, DIGEST_CAPACITY, SENDS_PER_CHANGE),
            alarms: Outbox::new(true, HEARTBEAT_CAPACITY, 1),
        }
    }
}
