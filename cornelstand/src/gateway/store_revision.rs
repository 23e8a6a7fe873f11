//! Revisions of the store, which are given out again after it was restored from an older copy.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bits of the number of a revision when it is sent; the era has those above.
const NUMBER_BITS: u32 = 48;

/// Revision of the store, ordered by era first.
///
/// It is sent as one number, which builds that know no era order in the same way.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{era}.{number}")]
#[serde(from = "u64", into = "u64")]
pub(crate) struct StoreRevision {
    /// Rises by one each time the store is restored from a copy.
    pub(crate) era: u16,
    pub(crate) number: u64,
}

impl From<u64> for StoreRevision {
    fn from(packed: u64) -> Self {
        Self {
            era: u16::try_from(packed >> NUMBER_BITS).unwrap_or(u16::MAX),
            number: packed & ((1 << NUMBER_BITS) - 1),
        }
    }
}

impl From<StoreRevision> for u64 {
    fn from(revision: StoreRevision) -> Self {
        let number = revision.number.min((1 << NUMBER_BITS) - 1);
        u64::from(revision.era) << NUMBER_BITS | number
    }
}
