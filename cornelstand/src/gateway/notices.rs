//! Notices that endpoints put into their answers: that they leave, or want no requests for a while.
//!
//! A notice holds for one lifetime of an endpoint, regardless of what the store lists.
//! It outlives the endpoint's entry, which may lapse and come back.

use std::collections::HashMap;
use std::time::Duration;

use crate::moment::Moment;

/// Time for which a notice is kept; leaving endpoints stop much sooner.
const NOTICE_RETENTION: Duration = Duration::from_mins(15);
/// Time for which a leaving endpoint is announced to peers; all have received it by then.
const ANNOUNCE_TIME: Duration = Duration::from_secs(5);
/// Most endpoints announced by a message, so that it fits a datagram.
const MAX_ANNOUNCED: usize = 32;

/// Notice of an endpoint in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Notice {
    /// Whether the endpoint leaves.
    pub(crate) leaving: bool,
    /// Time for which it asks for no requests of this instance.
    pub(crate) rest: Option<Duration>,
}

/// Notices about one lifetime of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct NoticeState {
    pub(crate) leaving: bool,
    pub(crate) rests_until: Moment,
    updated: Moment,
}

/// Notices by [`crate::gateway::peers::endpoint_key`].
#[derive(Debug, Default)]
pub(crate) struct Notices {
    noted: HashMap<u32, NoticeState>,
}

impl Notices {
    /// Records a notice. Returns whether the endpoint was not known to leave before.
    pub(crate) fn note(&mut self, now: Moment, endpoint: u32, notice: Notice) -> bool {
        let noted = self.noted.entry(endpoint).or_default();
        let starts_leaving = notice.leaving && !noted.leaving;
        noted.leaving |= notice.leaving;
        if starts_leaving || notice.rest.is_some() {
            noted.updated = now;
        }
        if let Some(rest) = notice.rest {
            noted.rests_until = noted.rests_until.max(now.after(rest));
        }
        starts_leaving
    }

    pub(crate) fn get(&self, endpoint: u32) -> NoticeState {
        self.noted.get(&endpoint).copied().unwrap_or_default()
    }

    /// Leaving endpoints to announce to peers, the latest first.
    pub(crate) fn announced(&self, now: Moment) -> Vec<u32> {
        let is_recent = |n: &NoticeState| n.leaving && now.since(n.updated) < ANNOUNCE_TIME;
        let recent = self.noted.iter().filter(|(_, n)| is_recent(n));
        let mut recent: Vec<(Moment, u32)> = recent.map(|(key, n)| (n.updated, *key)).collect();
        recent.sort_by_key(|t| std::cmp::Reverse(*t));
        recent.truncate(MAX_ANNOUNCED);
        recent.into_iter().map(|(_, key)| key).collect()
    }

    /// Removes notices that are older than [`NOTICE_RETENTION`] and ask for no further rest.
    pub(crate) fn forget(&mut self, now: Moment) {
        let is_kept =
            |n: &NoticeState| now < n.rests_until || now.since(n.updated) < NOTICE_RETENTION;
        self.noted.retain(|_, n| is_kept(n));
    }
}
