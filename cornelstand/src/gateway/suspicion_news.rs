//! Which suspicions the next message tells.
//!
//! A crash makes suspects of all requests that ran at the endpoint, and a message has room for some of
//! them. So each change of what is held against a request waits for its turn and is told a few times,
//! because messages get lost; requests that are refused come first. All that are refused are told
//! again in turn, to instances that started later or were cut off meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::containment::Source;
use crate::moment::Moment;
use crate::name::Fingerprint;
use crate::suspect::{Suspects, Suspicion};

/// Times that a change is told: with one message in ten lost, one change in a thousand is lost.
const REPEATS: u32 = 3;
/// Time after which a change is no news any more, beyond the 3 to 4 s within which the platform wants
/// it known.
const NEWS_TIME: Duration = Duration::from_secs(5);
/// Most changes that wait: at two beats a second, the fewest, each is told once within [`NEWS_TIME`].
const MAX_WAITING: usize = 10 * BEAT_ROOM;
/// Suspicions for which a beat has room: some 50 bytes each, and a crash makes up to 64 suspects.
const BEAT_ROOM: usize = 32;
/// Suspicions for which a digest has room; it tells those of a whole data centre.
const DIGEST_ROOM: usize = 64;

/// Refused requests that a message tells again, besides its news. An instance that starts hears some
/// 150 beats a second in a large fleet, and 25 of each peer in a small one: a few hundred requests
/// within the 3 s that the platform grants it.
const REFRESHED: usize = 4;

/// Changes that wait to be told in one kind of message.
#[derive(Debug)]
pub(crate) struct Outbox {
    room: usize,
    repeats: u32,
    refused: VecDeque<Change>,
    others: VecDeque<Change>,
    /// Refused request that was told again last.
    refreshed: Option<Fingerprint>,
    /// Changes that were dropped before they were told once.
    untold: u64,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    request: Fingerprint,
    since: Moment,
    /// Times that it still has to be told.
    left: u32,
    /// Whether it was told once.
    is_told: bool,
}

impl Outbox {
    fn new(room: usize, repeats: u32) -> Self {
        Self {
            room,
            repeats,
            refused: VecDeque::new(),
            others: VecDeque::new(),
            refreshed: None,
            untold: 0,
        }
    }

    /// Notes that what is held against `request` has changed.
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
            since: now,
            left: self.repeats,
            is_told: false,
        });
        if queue.len() > MAX_WAITING {
            let dropped = queue.pop_front();
            self.untold += u64::from(dropped.is_some_and(|c| !c.is_told));
        }
    }

    /// Suspicions for the message to send at `now`: changes, and refused requests whose turn it is.
    pub(crate) fn take(&mut self, now: Moment, suspects: &Suspects) -> Vec<Suspicion> {
        let mut requests = self.take_changes(now);
        requests.extend(self.refresh(now, suspects));
        told(now, &requests, suspects)
    }

    /// Suspicions for a message of changes alone.
    pub(crate) fn take_news(&mut self, now: Moment, suspects: &Suspects) -> Vec<Suspicion> {
        told(now, &self.take_changes(now), suspects)
    }

    /// Requests whose changes are told at `now`.
    fn take_changes(&mut self, now: Moment) -> Vec<Fingerprint> {
        let mut requests = Vec::new();
        for queue in [&mut self.refused, &mut self.others] {
            for _ in 0..queue.len() {
                if requests.len() >= self.room {
                    break;
                }
                let Some(mut change) = queue.pop_front() else {
                    break;
                };
                if now.since(change.since) >= NEWS_TIME {
                    self.untold += u64::from(!change.is_told);
                    continue;
                }
                requests.push(change.request);
                change.left -= 1;
                change.is_told = true;
                if change.left > 0 {
                    queue.push_back(change);
                }
            }
        }
        requests
    }

    /// The refused requests whose turn it is to be told again.
    fn refresh(&mut self, now: Moment, suspects: &Suspects) -> Vec<Fingerprint> {
        let mut refused: Vec<Fingerprint> = suspects.refused(now).collect();
        refused.sort_unstable();
        let next = refused.partition_point(|r| self.refreshed.is_some_and(|last| *r <= last));
        refused.rotate_left(next);
        refused.truncate(REFRESHED);
        self.refreshed = refused.last().copied().or(self.refreshed);
        refused
    }

    /// Drops changes that are no news any more, at an instance that does not send these messages.
    pub(crate) fn forget(&mut self, now: Moment) {
        for queue in [&mut self.refused, &mut self.others] {
            queue.retain(|c| now.since(c.since) < NEWS_TIME);
        }
    }

    /// Changes that were never told, since the last call.
    pub(crate) fn take_untold(&mut self) -> u64 {
        std::mem::take(&mut self.untold)
    }
}

fn told(now: Moment, requests: &[Fingerprint], suspects: &Suspects) -> Vec<Suspicion> {
    let told = requests.iter();
    told.filter_map(|r| suspects.suspicion(now, *r)).collect()
}

/// What waits to be told, by kind of message.
#[derive(Debug)]
pub(crate) struct SuspicionNews {
    /// To the instances that get beats.
    pub(crate) beats: Outbox,
    /// To other data centres, if this instance sends digests.
    pub(crate) digests: Outbox,
    /// To all instances at once: requests that are refused from now on.
    pub(crate) alarms: Outbox,
}

impl SuspicionNews {
    /// Lets those know of a change whom its source did not reach.
    pub(crate) fn push(
        &mut self,
        now: Moment,
        source: Source,
        request: Fingerprint,
        is_refused: bool,
    ) {
        if source.is_own() {
            self.beats.push(now, request, is_refused);
            if is_refused {
                self.alarms.push(now, request, true);
            }
        }
        // A digest or an alarm came to the other data centres, too.
        if matches!(source, Source::Own | Source::Beat) {
            self.digests.push(now, request, is_refused);
        }
    }

    /// Tells those again from whom `source` came that a request is refused.
    pub(crate) fn reply(&mut self, now: Moment, source: Source, request: Fingerprint) {
        let outbox = if source.is_digest() {
            &mut self.digests
        } else {
            &mut self.beats
        };
        outbox.push(now, request, true);
    }
}

impl Default for SuspicionNews {
    fn default() -> Self {
        Self {
            beats: Outbox::new(BEAT_ROOM, REPEATS),
            digests: Outbox::new(DIGEST_ROOM, REPEATS),
            alarms: Outbox::new(BEAT_ROOM, 1),
        }
    }
}
