//! Which suspicions the next message carries.
//!
//! A crash makes suspects of all requests that ran at the endpoint, and a message has room for some
//! of them. So each change of a suspicion is queued and sent a few times, because messages get
//! lost; refused requests come first. All refused requests are also sent again in rotation, for
//! instances that started later or were cut off meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::containment::Source;
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

/// Refused requests that a message repeats, besides its changes. A starting instance receives some
/// 150 heartbeats a second in a large fleet, and 25 of each peer in a small one: a few hundred
/// requests within the 3 s that the platform allows it.
const REFRESH_COUNT: usize = 4;

/// Changes queued for one kind of message.
#[derive(Debug)]
pub(crate) struct Outbox {
    capacity: usize,
    sends: u32,
    refused: VecDeque<Change>,
    others: VecDeque<Change>,
    /// Refused request that was repeated last.
    last_refreshed: Option<Fingerprint>,
    /// Changes that were dropped before they were sent once.
    unsent: u64,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    request: Fingerprint,
    queued_at: Moment,
    /// Number of sends left.
    sends_left: u32,
    /// Whether it was sent once.
    is_sent: bool,
}

impl Outbox {
    fn new(capacity: usize, sends: u32) -> Self {
        Self {
            capacity,
            sends,
            refused: VecDeque::new(),
            others: VecDeque::new(),
            last_refreshed: None,
            unsent: 0,
        }
    }

    /// Queues a change of the suspicion of `request`.
    pub(crate) fn push(&mut self, now: Moment, request: Fingerprint, is_refused: bool) {
        self.refused.retain(|c| c.request != request);
        self.others.retain(|c| c.request != request);
        let queue = if is_refused {
            &mut self.refused
        } else {
            &mut self.others
        };
        queue.push_back(Change {
            request,
            queued_at: now,
            sends_left: self.sends,
            is_sent: false,
        });
        if queue.len() > MAX_QUEUED {
            let dropped = queue.pop_front();
            self.unsent += u64::from(dropped.is_some_and(|c| !c.is_sent));
        }
    }

    /// Suspicions for the message to send at `now`: changes, and refused requests to repeat.
    pub(crate) fn take(&mut self, now: Moment, suspects: &Suspects) -> Vec<Suspicion> {
        let mut requests = self.take_changes(now);
        requests.extend(self.refresh(now, suspects));
        collect(now, &requests, suspects)
    }

    /// Suspicions for a message of changes only.
    pub(crate) fn take_updates(&mut self, now: Moment, suspects: &Suspects) -> Vec<Suspicion> {
        collect(now, &self.take_changes(now), suspects)
    }

    /// Requests whose changes are sent at `now`.
    fn take_changes(&mut self, now: Moment) -> Vec<Fingerprint> {
        let mut requests = Vec::new();
        for queue in [&mut self.refused, &mut self.others] {
            for _ in 0..queue.len() {
                if requests.len() >= self.capacity {
                    break;
                }
                let Some(mut change) = queue.pop_front() else {
                    break;
                };
                if now.since(change.queued_at) >= CHANGE_LIFETIME {
                    self.unsent += u64::from(!change.is_sent);
                    continue;
                }
                requests.push(change.request);
                change.sends_left -= 1;
                change.is_sent = true;
                if change.sends_left > 0 {
                    queue.push_back(change);
                }
            }
        }
        requests
    }

    /// The refused requests to repeat next.
    fn refresh(&mut self, now: Moment, suspects: &Suspects) -> Vec<Fingerprint> {
        let mut refused: Vec<Fingerprint> = suspects.refused(now).collect();
        refused.sort_unstable();
        let next = refused.partition_point(|r| self.last_refreshed.is_some_and(|last| *r <= last));
        refused.rotate_left(next);
        refused.truncate(REFRESH_COUNT);
        self.last_refreshed = refused.last().copied().or(self.last_refreshed);
        refused
    }

    /// Drops expired changes, at an instance that does not send these messages.
    pub(crate) fn drop_expired(&mut self, now: Moment) {
        for queue in [&mut self.refused, &mut self.others] {
            queue.retain(|c| now.since(c.queued_at) < CHANGE_LIFETIME);
        }
    }

    /// Changes dropped unsent since the last call.
    pub(crate) fn take_unsent(&mut self) -> u64 {
        std::mem::take(&mut self.unsent)
    }
}

fn collect(now: Moment, requests: &[Fingerprint], suspects: &Suspects) -> Vec<Suspicion> {
    let requests = requests.iter();
    requests
        .filter_map(|r| suspects.suspicion(now, *r))
        .collect()
}

/// Queued changes by kind of message.
#[derive(Debug)]
pub(crate) struct SuspicionUpdates {
    /// For the receivers of heartbeats.
    pub(crate) heartbeats: Outbox,
    /// For other data centres, if this instance sends digests.
    pub(crate) digests: Outbox,
    /// For all instances at once: requests that are refused from now on.
    pub(crate) alarms: Outbox,
}

impl SuspicionUpdates {
    /// Queues a change for the peers that its source did not reach.
    pub(crate) fn push(
        &mut self,
        now: Moment,
        source: Source,
        request: Fingerprint,
        is_refused: bool,
    ) {
        if source.is_own() {
            self.heartbeats.push(now, request, is_refused);
            if is_refused {
                self.alarms.push(now, request, true);
            }
        }
        // Digests and alarms reach the other data centres, too.
        if matches!(source, Source::Own | Source::Heartbeat) {
            self.digests.push(now, request, is_refused);
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
            heartbeats: Outbox::new(HEARTBEAT_CAPACITY, SENDS_PER_CHANGE),
            digests: Outbox::new(DIGEST_CAPACITY, SENDS_PER_CHANGE),
            alarms: Outbox::new(HEARTBEAT_CAPACITY, 1),
        }
    }
}
