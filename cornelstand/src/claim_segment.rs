//! Immutable segments that hold settled claims of a shard.
//!
//! A shard's object is rewritten with every batch, so it must stay small. When it grows too large,
//! its writer copies the settled claims into a new object, a *segment*, and the next write of the
//! shard replaces them with a reference. That write is conditional like any other: if another
//! writer came first, nothing changes and the segment is unused. Settled claims never change, so
//! the copy stays valid as long as the shard refers to it.

use std::collections::{BTreeMap, HashMap};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimId, ClaimShard, Token};

/// Reference to a segment; its text form names the object.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{token}-{next}")]
#[serde(deny_unknown_fields)]
pub struct SegmentRef {
    /// Token of an operation of its writer.
    pub token: Token,
    /// Change number above those of all its claims.
    pub next: u64,
}

/// A segment under construction.
#[derive(Debug)]
struct Spill {
    segment: SegmentRef,
    claims: BTreeMap<ClaimId, Claim>,
    is_stored: bool,
}

/// A writer's view of the segments of its shard.
#[derive(Debug, Default)]
pub(crate) struct Segments {
    /// Segment of each claim.
    index: HashMap<ClaimId, SegmentRef>,
    loaded: Vec<SegmentRef>,
    spill: Option<Spill>,
}

impl Segments {
    /// First segment of `shard` that is not loaded.
    pub(crate) fn missing(&self, shard: &ClaimShard) -> Option<SegmentRef> {
        let own = self.spill.as_ref().map(|s| s.segment);
        let is_missing = |s: &&SegmentRef| !self.loaded.contains(s) && Some(**s) != own;
        shard.segments.iter().find(is_missing).copied()
    }

    /// Segment of `shard` that holds the claim `id`.
    pub(crate) fn find(&self, id: ClaimId, shard: &ClaimShard) -> Option<SegmentRef> {
        if shard.claims.contains_key(&id) {
            return None;
        }
        let moved = self.spill.as_ref().filter(|s| s.claims.contains_key(&id));
        let moved = moved.map(|s| s.segment);
        let known = self.index.get(&id).copied();
        let is_referenced = |s: &SegmentRef| shard.segments.contains(s);
        moved.filter(is_referenced).or(known.filter(is_referenced))
    }

    /// Indexes the claims of a segment.
    pub(crate) fn load(&mut self, segment: SegmentRef, claims: &BTreeMap<ClaimId, Claim>) {
        if !self.loaded.contains(&segment) {
            self.loaded.push(segment);
        }
        self.index.extend(claims.keys().map(|id| (*id, segment)));
    }

    /// Adopts the stored state of the shard. Returns a segment that became obsolete.
    pub(crate) fn update(&mut self, shard: &ClaimShard) -> Option<SegmentRef> {
        if let Some(spill) = self.spill.take_if(|s| shard.segments.contains(&s.segment)) {
            self.load(spill.segment, &spill.claims);
        }
        if self.loaded.iter().any(|s| !shard.segments.contains(s)) {
            self.loaded.retain(|s| shard.segments.contains(s));
            self.index.retain(|_, s| shard.segments.contains(s));
        }
        let is_obsolete =
            |s: &mut Spill| s.is_stored && !s.claims.keys().any(|c| shard.claims.contains_key(c));
        self.spill.take_if(is_obsolete).map(|s| s.segment)
    }

    /// Starts moving the settled claims of `shard`. Returns the new segment and its value.
    pub(crate) fn begin_spill(
        &mut self,
        shard: &ClaimShard,
        token: Token,
    ) -> Option<(SegmentRef, String)> {
        if self.spill.is_some() {
            return None;
        }
        let settled = shard.claims.iter().filter(|(_, c)| !c.state.is_open());
        let claims: BTreeMap<ClaimId, Claim> = settled.map(|(id, c)| (*id, c.clone())).collect();
        if claims.is_empty() {
            return None;
        }
        let next = shard.next;
        let segment = SegmentRef { token, next };
        let value = ClaimShard {
            next,
            claims: claims.clone(),
            ..ClaimShard::default()
        };
        self.spill = Some(Spill {
            segment,
            claims,
            is_stored: false,
        });
        Some((segment, value.encode()))
    }

    /// Handles the result of storing the new segment, which is dropped unless it succeeded.
    pub(crate) fn handle_stored(&mut self, segment: SegmentRef, is_written: bool) {
        self.spill.take_if(|s| s.segment == segment && !is_written);
        if let Some(spill) = self.spill.as_mut().filter(|s| s.segment == segment) {
            spill.is_stored = true;
        }
    }

    /// Replaces claims of `shard` with the new segment, once stored.
    pub(crate) fn apply(&self, shard: &mut ClaimShard) {
        if let Some(spill) = self.spill.as_ref().filter(|s| s.is_stored) {
            shard.replace(&spill.claims, spill.segment);
        }
    }
}
