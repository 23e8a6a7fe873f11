//! Advertisements of the prompt parts that engines have cached, exchanged between instances.
//!
//! An engine caches what it has read until it needs the memory. An instance knows only its own
//! requests. Without advertisements from its peers it would treat cached parts as missing, send
//! requests to engines that have to read the parts again, and misjudge the engines' prefill work.
//! Only changes are sent: newly cached parts, and at intervals those still in use.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::moment::Moment;

/// Time for which messages repeat an entry; longer than the interval between messages, so that an
/// entry of a lost message is sent again.
const REPEAT_TIME: Duration = Duration::from_millis(700);
/// Maximum number of entries in a message, so that it fits a datagram; the latest are sent.
const MAX_ENTRIES: usize = 192;
/// Minimum size of an advertised part; smaller ones are as cheap to read as to advertise.
pub(crate) const MIN_ADVERTISED_TOKENS: u32 = 100;

/// A prompt part in the cache of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct Resident {
    /// See [`crate::gateway::peers::endpoint_key`].
    pub(crate) endpoint: u32,
    pub(crate) part: u64,
}

/// Recently cached parts.
#[derive(Debug, Default)]
pub(crate) struct ResidencyLog {
    recent: VecDeque<(Moment, Resident)>,
}

impl ResidencyLog {
    pub(crate) fn push(&mut self, now: Moment, resident: Resident) {
        self.recent.push_back((now, resident));
        if self.recent.len() > MAX_ENTRIES {
            self.recent.pop_front();
        }
    }

    /// Entries for a message at `now`.
    pub(crate) fn advertised(&self, now: Moment) -> Vec<Resident> {
        let repeated = self
            .recent
            .iter()
            .filter(|(at, _)| now.since(*at) < REPEAT_TIME);
        repeated.map(|(_, resident)| *resident).collect()
    }
}

/// Merges the entries of several instances without duplicates.
pub(crate) fn join_residents<'a>(residents: impl Iterator<Item = &'a Resident>) -> Vec<Resident> {
    let mut seen = std::collections::HashSet::new();
    residents
        .filter(|r| seen.insert(**r))
        .take(MAX_ENTRIES * 4)
        .copied()
        .collect()
}
