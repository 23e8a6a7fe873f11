//! What endpoints say of themselves in their answers: that they leave, or that they want a rest.
//!
//! A notice holds for one lifetime of an endpoint, whatever the store says or does not say of it.
//! It outlives the endpoint's entry, which may lapse and come back.

use std::collections::HashMap;
use std::time::Duration;

use crate::moment::Moment;

/// Time for which a notice is kept: endpoints that leave are gone much sooner.
const RETENTION: Duration = Duration::from_mins(15);
/// Time for which peers are told that an endpoint leaves; they all have heard it by then.
const TOLD: Duration = Duration::from_secs(5);
/// Most endpoints that a message names, so that it fits a datagram.
const TOLD_COUNT: usize = 32;

/// What an answer says of its endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Notice {
    /// Whether the endpoint leaves.
    pub(crate) leaving: bool,
    /// Time for which it wants no requests of this instance.
    pub(crate) rest: Option<Duration>,
}

/// What is known of one lifetime of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Noted {
    pub(crate) leaving: bool,
    pub(crate) rests_until: Moment,
    heard: Moment,
}

/// Notices by [`crate::gateway::peers::endpoint_key`].
#[derive(Debug, Default)]
pub(crate) struct Notices {
    noted: HashMap<u32, Noted>,
}

impl Notices {
    /// Takes in a notice. Returns whether the endpoint was not known to leave before.
    pub(crate) fn note(&mut self, now: Moment, endpoint: u32, notice: Notice) -> bool {
        let noted = self.noted.entry(endpoint).or_default();
        let is_news = notice.leaving && !noted.leaving;
        noted.leaving |= notice.leaving;
        if is_news || notice.rest.is_some() {
            noted.heard = now;
        }
        if let Some(rest) = notice.rest {
            noted.rests_until = noted.rests_until.max(now.after(rest));
        }
        is_news
    }

    pub(crate) fn get(&self, endpoint: u32) -> Noted {
        self.noted.get(&endpoint).copied().unwrap_or_default()
    }

    /// Endpoints that peers should know to leave, the latest first.
    pub(crate) fn told(&self, now: Moment) -> Vec<u32> {
        let is_told = |n: &Noted| n.leaving && now.since(n.heard) < TOLD;
        let told = self.noted.iter().filter(|(_, n)| is_told(n));
        let mut told: Vec<(Moment, u32)> = told.map(|(key, n)| (n.heard, *key)).collect();
        told.sort_by_key(|t| std::cmp::Reverse(*t));
        told.truncate(TOLD_COUNT);
        told.into_iter().map(|(_, key)| key).collect()
    }

    /// Drops notices of endpoints that are long gone.
    pub(crate) fn forget(&mut self, now: Moment) {
        let is_kept = |n: &Noted| now < n.rests_until || now.since(n.heard) < RETENTION;
        self.noted.retain(|_, n| is_kept(n));
    }
}
