//! Settled claims of a shard, moved into objects that never change.
//!
//! A shard's object is rewritten with every batch, so it has to stay small. When it has grown, its
//! writer copies the settled claims into a new object, a *segment*, and the next write of the shard
//! replaces them by a reference to it. That write is conditional like any other: if another writer
//! came first, nothing has changed and the segment is of no use. A settled claim never changes, so
//! the copy holds for as long as the shard refers to it.

use std::collections::{BTreeMap, HashMap};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimId, ClaimShard, Token};

/// A segment of a shard. Its object is named after it.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{token}-{next}")]
#[serde(deny_unknown_fields)]
pub struct SegmentRef {
    /// An operation of the writer that made it.
    pub token: Token,
    /// Number of the change that comes after all of its claims.
    pub next: u64,
}

/// A segment that is being made.
#[derive(Debug)]
struct Spill {
    segment: SegmentRef,
    claims: BTreeMap<ClaimId, Claim>,
    stored: bool,
}

/// What a writer knows of the segments of its shard.
#[derive(Debug, Default)]
pub(crate) struct Segments {
    /// Segment of each claim.
    index: HashMap<ClaimId, SegmentRef>,
    loaded: Vec<SegmentRef>,
    spill: Option<Spill>,
}

impl Segments {
    /// The first segment of `shard` whose claims are not known.
    pub(crate) fn missing(&self, shard: &ClaimShard) -> Option<SegmentRef> {
        let own = self.spill.as_ref().map(|s| s.segment);
        let unknown = |s: &&SegmentRef| !self.loaded.contains(s) && Some(**s) != own;
        shard.segments.iter().find(unknown).copied()
    }

    /// The segment of `shard` that holds the claim `id`.
    pub(crate) fn find(&self, id: ClaimId, shard: &ClaimShard) -> Option<SegmentRef> {
        if shard.claims.contains_key(&id) {
            return None;
        }
        let moved = self.spill.as_ref().filter(|s| s.claims.contains_key(&id));
        let moved = moved.map(|s| s.segment);
        let known = self.index.get(&id).copied();
        let referred = |s: &SegmentRef| shard.segments.contains(s);
        moved.filter(referred).or(known.filter(referred))
    }

    /// Notes the claims of a segment.
    pub(crate) fn load(&mut self, segment: SegmentRef, claims: &BTreeMap<ClaimId, Claim>) {
        if !self.loaded.contains(&segment) {
            self.loaded.push(segment);
        }
        self.index.extend(claims.keys().map(|id| (*id, segment)));
    }

    /// Follows the shard as the store holds it. Gives back a segment that turned out useless.
    pub(crate) fn follow(&mut self, shard: &ClaimShard) -> Option<SegmentRef> {
        if let Some(spill) = self.spill.take_if(|s| shard.segments.contains(&s.segment)) {
            self.load(spill.segment, &spill.claims);
        }
        if self.loaded.iter().any(|s| !shard.segments.contains(s)) {
            self.loaded.retain(|s| shard.segments.contains(s));
            self.index.retain(|_, s| shard.segments.contains(s));
        }
        let useless =
            |s: &mut Spill| s.stored && !s.claims.keys().any(|c| shard.claims.contains_key(c));
        self.spill.take_if(useless).map(|s| s.segment)
    }

    /// Begins to move the settled claims of `shard`, and gives the new segment with its value.
    pub(crate) fn begin(
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
            stored: false,
        });
        Some((segment, value.encode()))
    }

    /// Takes in whether the new segment is stored. If that is not certain it is given up.
    pub(crate) fn stored(&mut self, segment: SegmentRef, certain: bool) {
        self.spill.take_if(|s| s.segment == segment && !certain);
        if let Some(spill) = self.spill.as_mut().filter(|s| s.segment == segment) {
            spill.stored = true;
        }
    }

    /// Replaces claims of `shard` by the new segment, if that is stored.
    pub(crate) fn apply(&self, shard: &mut ClaimShard) {
        if let Some(spill) = self.spill.as_ref().filter(|s| s.stored) {
            shard.replace(&spill.claims, spill.segment);
        }
    }
}
