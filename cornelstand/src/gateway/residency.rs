//! Which parts of prompts were sent to which engines lately, told among instances.
//!
//! An engine keeps what it has read until it needs the memory. An instance knows only what it sent
//! itself; without its peers' knowledge it takes parts for missing that are kept, sends requests to
//! engines that have to read them again, and misjudges what engines have to read. Only news is
//! told: a part that an engine did not keep before, and now and then one that is still in use.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::moment::Moment;

/// Time for which a message repeats an entry, beyond the longest time between two messages, so that a
/// lost one costs nothing.
const REPEATED: Duration = Duration::from_millis(700);
/// Most entries of a message, so that it fits a datagram; the latest are told.
const TOLD_COUNT: usize = 192;
/// Fewest tokens of a part that is told; less costs no more to read than to tell.
pub(crate) const TOLD_TOKENS: u32 = 100;

/// A part that an engine keeps.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct Resident {
    /// See [`crate::gateway::peers::endpoint_key`].
    pub(crate) endpoint: u32,
    pub(crate) part: u64,
}

/// What peers should know.
#[derive(Debug, Default)]
pub(crate) struct ResidencyNews {
    news: VecDeque<(Moment, Resident)>,
}

impl ResidencyNews {
    pub(crate) fn push(&mut self, now: Moment, resident: Resident) {
        self.news.push_back((now, resident));
        if self.news.len() > TOLD_COUNT {
            self.news.pop_front();
        }
    }

    /// Entries for a message at `now`.
    pub(crate) fn told(&self, now: Moment) -> Vec<Resident> {
        let recent = self.news.iter().filter(|(at, _)| now.since(*at) < REPEATED);
        recent.map(|(_, resident)| *resident).collect()
    }
}

/// Entries of several instances together, without doubles.
pub(crate) fn join_residents<'a>(residents: impl Iterator<Item = &'a Resident>) -> Vec<Resident> {
    let mut seen = std::collections::HashSet::new();
    residents
        .filter(|r| seen.insert(**r))
        .take(TOLD_COUNT * 4)
        .copied()
        .collect()
}
