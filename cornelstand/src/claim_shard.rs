//! Writer of one claim shard, which batches claims and settlements into conditional writes.
//!
//! Operations are queued while a store call is in flight and all go into the next write, which
//! starts no earlier than a fixed gap after the last one. The write rate is thus bounded by the
//! number of shards, whatever the request rate. The writer caches the last value and version and
//! reads only after a write conflicts or its response is lost.
//!
//! Every operation is idempotent by its token and is answered only from a value that the store is
//! known to hold. An operation whose write had an unknown outcome stays queued and is applied again
//! to the value read next. A `begin` that times out after such a write is replaced by a release, so
//! that a late write leaves no claim without a holder.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::IsVariant;

use crate::claim::{
    Claim, ClaimAnswer, ClaimCall, ClaimOp, ClaimRequest, ClaimShard, ClaimState, Expiry,
};
use crate::claim_segment::{SegmentRef, Segments};
use crate::moment::Moment;
use crate::store::{Condition, VALUE_BYTES, Version};

/// Size of a shard above which new claims are refused. The rest is for settlements.
const NEW_CLAIM_LIMIT_BYTES: usize = VALUE_BYTES / 4 * 3;

/// Maximum estimated size of the operations in one write.
const MAX_BATCH_BYTES: usize = VALUE_BYTES / 8;

/// Estimated claim size without answer.
const CLAIM_BYTES: usize = 512;

/// Age samples kept per expiry span.
const SAMPLES_PER_SPAN: u32 = 8;

/// Limits of the claim protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// Number of shards. Must be the same on all instances.
    pub shards: u16,
    /// Minimum time between the starts of two writes of a shard.
    pub gap: Duration,
    /// Timeout of a `begin` that gets no answer from the store.
    pub begin_timeout: Duration,
    /// Timeout of a settlement, and retention of a released token.
    pub settle_timeout: Duration,
    /// Time from `begin` within which the request must be sent.
    pub send_window: Duration,
    /// Age at which an open claim counts as unknown instead of running.
    pub running_age: Duration,
    /// Minimum retention of a settled claim.
    pub settled_retention: Duration,
    /// Minimum retention of a claim that was never settled.
    pub open_retention: Duration,
    /// Maximum operations queued at one shard, and in one write.
    pub queue: usize,
    /// Size of a shard's object, in bytes, above which settled claims move to a segment.
    pub spill_bytes: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            shards: 16,
            gap: Duration::from_millis(50),
            begin_timeout: Duration::from_secs(5),
            settle_timeout: Duration::from_mins(10),
            send_window: Duration::from_mins(10),
            running_age: Duration::from_mins(20),
            settled_retention: Duration::from_hours(1),
            open_retention: Duration::from_hours(24),
            queue: 1024,
            spill_bytes: 64 << 10,
        }
    }
}

/// Identifier of an operation within its writer.
pub(crate) type OpId = u64;

/// Result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ReadResult {
    Absent,
    Found(Version, ClaimShard),
    Failed,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub enum WriteResult {
    /// The store holds the value under this version.
    Written(Version),
    /// The condition failed. Nothing was written.
    Conflict,
    /// Nothing was written.
    NotWritten,
    /// The write may take effect, now or later.
    Unknown,
}

/// Input of the writer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Event {
    Requested(OpId, ClaimCall),
    Read(ReadResult),
    Written(WriteResult),
    /// The claims of a segment, `None` if the read failed.
    Segment(SegmentRef, Option<ClaimShard>),
    /// Result of writing a new segment.
    Stored(SegmentRef, WriteResult),
    Tick,
}

/// Output of the writer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    Read,
    Write(Condition, String),
    ReadSegment(SegmentRef),
    WriteSegment(SegmentRef, String),
    /// Delete a segment that is no longer referenced.
    DropSegment(SegmentRef),
    Reply(OpId, ClaimAnswer),
    Wake(Moment),
}

#[derive(Debug)]
struct Pending {
    /// Operation to answer, `None` once answered.
    op: Option<OpId>,
    call: ClaimCall,
    until: Moment,
    /// The store was read after the operation arrived.
    is_confirmed: bool,
    /// The existing claim, if a segment holds it.
    segment_claim: Option<Claim>,
    /// A write with unknown outcome contains the operation.
    may_be_written: bool,
    answer: Option<ClaimAnswer>,
}

#[derive(Debug)]
enum CallState {
    Idle,
    Reading,
    Writing(ClaimShard),
}

#[derive(Debug)]
struct Cached {
    condition: Condition,
    shard: ClaimShard,
}

/// The writer of one shard.
#[derive(Debug)]
pub(crate) struct Writer {
    limits: ClaimLimits,
    cached: Option<Cached>,
    queue: VecDeque<Pending>,
    call: CallState,
    next_call: Moment,
    ages: Ages,
    segments: Segments,
}

impl Writer {
    pub(crate) fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            cached: None,
            queue: VecDeque::new(),
            call: CallState::Idle,
            next_call: Moment::default(),
            ages: Ages::default(),
            segments: Segments::default(),
        }
    }

    /// Processes an event and returns the effects.
    pub(crate) fn handle(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Requested(op, call) => self.enqueue(now, op, call, &mut effects),
            Event::Read(end) => self.handle_read(now, end, &mut effects),
            Event::Written(end) => self.handle_written(now, end, &mut effects),
            Event::Segment(segment, found) => self.handle_segment(now, segment, found),
            Event::Stored(segment, end) => self.segments.handle_stored(segment, end.is_written()),
            Event::Tick => {}
        }
        self.expire_pending(now, &mut effects);
        self.start_call(now, &mut effects);
        self.schedule_wake(&mut effects);
        effects
    }

    fn enqueue(&mut self, now: Moment, op: OpId, call: ClaimCall, out: &mut Vec<Effect>) {
        let is_begin = call.op.is_begin();
        if is_begin && self.queue.len() >= self.limits.queue {
            out.push(Effect::Reply(op, ClaimAnswer::Busy));
            return;
        }
        let timeout = if is_begin {
            self.limits.begin_timeout
        } else {
            self.limits.settle_timeout
        };
        self.queue.push_back(Pending {
            op: Some(op),
            call,
            until: now.after(timeout),
            is_confirmed: false,
            segment_claim: None,
            may_be_written: false,
            answer: None,
        });
    }

    fn handle_read(&mut self, now: Moment, end: ReadResult, out: &mut Vec<Effect>) {
        self.call = CallState::Idle;
        let (condition, shard) = match end {
            ReadResult::Absent => (Condition::Absent, ClaimShard::default()),
            ReadResult::Found(version, shard) => (Condition::Match(version), shard),
            ReadResult::Failed => {
                self.back_off(now);
                return;
            }
        };
        self.cache(now, condition, shard, out);
    }

    /// Caches `shard` as the stored value.
    fn cache(
        &mut self,
        now: Moment,
        condition: Condition,
        shard: ClaimShard,
        out: &mut Vec<Effect>,
    ) {
        self.ages.record(now, shard.next, &self.limits);
        let obsolete = self.segments.update(&shard);
        out.extend(obsolete.map(Effect::DropSegment));
        self.cached = Some(Cached { condition, shard });
    }

    fn handle_segment(&mut self, now: Moment, segment: SegmentRef, found: Option<ClaimShard>) {
        self.call = CallState::Idle;
        let Some(found) = found else {
            // Another writer may have deleted the segment.
            self.cached = None;
            self.back_off(now);
            return;
        };
        self.segments.load(segment, &found.claims);
        for pending in &mut self.queue {
            if let Some(claim) = found.claims.get(&pending.call.claim) {
                pending.segment_claim = Some(claim.clone());
            }
        }
    }

    fn handle_written(&mut self, now: Moment, end: WriteResult, out: &mut Vec<Effect>) {
        let CallState::Writing(shard) = std::mem::replace(&mut self.call, CallState::Idle) else {
            return;
        };
        match end {
            WriteResult::Written(version) => {
                let before = self.cached.take().map(|c| c.shard.segments);
                let gone = before.into_iter().flatten();
                out.extend(
                    gone.filter(|s| !shard.segments.contains(s))
                        .map(Effect::DropSegment),
                );
                self.cache(now, Condition::Match(version), shard, out);
                self.send_replies(out);
            }
            WriteResult::Conflict => self.cached = None,
            WriteResult::NotWritten => self.back_off(now),
            WriteResult::Unknown => {
                for pending in self.queue.iter_mut().filter(|p| p.answer.is_some()) {
                    pending.may_be_written = true;
                }
                self.cached = None;
                self.back_off(now);
            }
        }
        for pending in &mut self.queue {
            pending.answer = None;
        }
    }

    /// Delays the next call after a failure.
    fn back_off(&mut self, now: Moment) {
        self.next_call = self.next_call.max(now.after(self.limits.gap));
    }

    /// Sends the answers confirmed by the stored value.
    fn send_replies(&mut self, out: &mut Vec<Effect>) {
        self.queue.retain_mut(|pending| {
            let Some(answer) = pending.answer.take() else {
                return true;
            };
            out.extend(pending.op.map(|op| Effect::Reply(op, answer)));
            false
        });
    }

    /// Refuses expired operations.
    fn expire_pending(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let is_writing = matches!(self.call, CallState::Writing(_));
        let settle = self.limits.settle_timeout;
        self.queue.retain_mut(|pending| {
            if now < pending.until {
                return true;
            }
            let op = pending.op.take();
            out.extend(op.map(|op| Effect::Reply(op, ClaimAnswer::Unavailable)));
            let may_be_written = pending.may_be_written || is_writing && pending.answer.is_some();
            let ClaimOp::Begin(wish) = pending.call.op else {
                return false;
            };
            pending.call.op = ClaimOp::Release(wish.token);
            pending.until = now.after(settle);
            pending.answer = None;
            may_be_written
        });
    }

    /// Starts the next store call if one is needed and none is in flight.
    fn start_call(&mut self, now: Moment, out: &mut Vec<Effect>) {
        if !matches!(self.call, CallState::Idle) || self.queue.is_empty() || now < self.next_call {
            return;
        }
        let Some(cached) = &self.cached else {
            self.start_read(out);
            return;
        };
        let condition = cached.condition;
        let mut shard = cached.shard.clone();
        shard.expire(Expiry {
            settled: self.ages.first_younger(now, self.limits.settled_retention),
            open: self.ages.first_younger(now, self.limits.open_retention),
            released: self.ages.first_younger(now, self.limits.settle_timeout),
        });
        self.segments.apply(&mut shard);
        if let Some(segment) = self.segments.missing(&shard) {
            self.call = CallState::Reading;
            out.push(Effect::ReadSegment(segment));
            return;
        }
        let run_cutoff = self.ages.first_younger(now, self.limits.running_age);
        match self.apply(&mut shard, run_cutoff, false) {
            Applied::Complete => {}
            Applied::NeedsRead => {
                self.start_read(out);
                return;
            }
            Applied::NeedsSegment(segment) => {
                self.call = CallState::Reading;
                out.push(Effect::ReadSegment(segment));
                return;
            }
        }
        if self.is_unchanged(&shard) {
            self.send_replies(out);
            return;
        }
        let value = self.encode(&mut shard, run_cutoff);
        self.spill(value.len(), out);
        self.call = CallState::Writing(shard);
        self.next_call = now.after(self.limits.gap);
        out.push(Effect::Write(condition, value));
    }

    /// Starts moving settled claims out of a shard of `bytes`, if too large.
    fn spill(&mut self, bytes: usize, out: &mut Vec<Effect>) {
        let (Some(cached), Some(first)) = (&self.cached, self.queue.front()) else {
            return;
        };
        if bytes <= self.limits.spill_bytes {
            return;
        }
        let begun = self
            .segments
            .begin_spill(&cached.shard, first.call.op.token());
        out.extend(begun.map(|(segment, value)| Effect::WriteSegment(segment, value)));
    }

    fn start_read(&mut self, out: &mut Vec<Effect>) {
        self.cached = None;
        for pending in &mut self.queue {
            pending.is_confirmed = true;
            pending.answer = None;
        }
        self.call = CallState::Reading;
        out.push(Effect::Read);
    }

    fn is_unchanged(&self, shard: &ClaimShard) -> bool {
        self.cached
            .as_ref()
            .is_some_and(|c| c.shard.next == shard.next)
    }

    /// Applies as many queued operations as fit into one write.
    fn apply(&mut self, shard: &mut ClaimShard, run_cutoff: u64, full: bool) -> Applied {
        let mut bytes = 0;
        for pending in self.queue.iter_mut().take(self.limits.queue) {
            bytes += estimated_bytes(&pending.call.op);
            if bytes > MAX_BATCH_BYTES {
                break;
            }
            let id = pending.call.claim;
            let segment = self.segments.find(id, shard);
            let answer = match &pending.call.op {
                ClaimOp::Begin(wish) if shard.released.contains_key(&wish.token) => {
                    ClaimAnswer::Lost
                }
                ClaimOp::Begin(wish) => match (segment, &pending.segment_claim) {
                    (Some(_), Some(held)) => claim_answer(held, *wish, run_cutoff),
                    (Some(segment), None) => return Applied::NeedsSegment(segment),
                    (None, _) if full && !shard.claims.contains_key(&id) => ClaimAnswer::Full,
                    (None, _) => {
                        let held = shard.claim(id, *wish);
                        let is_foreign = held.token != wish.token;
                        if is_foreign && held.state.is_open() && !pending.is_confirmed {
                            return Applied::NeedsRead;
                        }
                        claim_answer(held, *wish, run_cutoff)
                    }
                },
                ClaimOp::Settle(token, state) => {
                    if shard.settle(id, *token, state) || segment.is_some() {
                        ClaimAnswer::Done
                    } else {
                        ClaimAnswer::Lost
                    }
                }
                ClaimOp::Release(token) => {
                    shard.release(id, *token);
                    ClaimAnswer::Done
                }
            };
            pending.answer = Some(answer);
        }
        Applied::Complete
    }

    /// Encodes `shard`, without its new claims if it is too large for them.
    fn encode(&mut self, shard: &mut ClaimShard, run_cutoff: u64) -> String {
        let value = shard.encode();
        if value.len() <= NEW_CLAIM_LIMIT_BYTES {
            return value;
        }
        let Some(cached) = &self.cached else {
            return value;
        };
        *shard = cached.shard.clone();
        self.apply(shard, run_cutoff, true);
        shard.encode()
    }

    fn schedule_wake(&self, out: &mut Vec<Effect>) {
        let deadline = self.queue.iter().map(|p| p.until).min();
        let Some(deadline) = deadline else { return };
        let is_idle = matches!(self.call, CallState::Idle);
        let next = if is_idle {
            self.next_call.min(deadline)
        } else {
            deadline
        };
        out.push(Effect::Wake(next));
    }
}

/// Result of applying the queued operations.
enum Applied {
    Complete,
    /// The store must be read again first.
    NeedsRead,
    /// This segment must be read first.
    NeedsSegment(SegmentRef),
}

/// Estimated bytes that an operation adds to a shard.
fn estimated_bytes(op: &ClaimOp) -> usize {
    match op {
        ClaimOp::Settle(_, ClaimState::Recorded(recorded)) => {
            // Non-text bodies take two digits per byte, control characters six.
            CLAIM_BYTES + 6 * recorded.body.as_ref().map_or(0, bytes::Bytes::len)
        }
        _ => CLAIM_BYTES,
    }
}

fn claim_answer(held: &Claim, wish: ClaimRequest, run_cutoff: u64) -> ClaimAnswer {
    if held.token == wish.token {
        return ClaimAnswer::Fresh;
    }
    if held.fingerprint != wish.fingerprint {
        return ClaimAnswer::Mismatch;
    }
    match &held.state {
        ClaimState::Open if held.change >= run_cutoff => ClaimAnswer::Running,
        ClaimState::Open | ClaimState::Unknown => ClaimAnswer::Unknown,
        ClaimState::Recorded(recorded) => ClaimAnswer::Answered(recorded.clone()),
    }
}

/// Samples of when changes of the shard were first seen, on the local monotonic clock.
#[derive(Debug, Default)]
struct Ages {
    samples: VecDeque<(Moment, u64)>,
}

impl Ages {
    /// Records that all changes below `next` exist at `now`.
    ///
    /// The last sample covers all changes; the others are at least one step apart.
    fn record(&mut self, now: Moment, next: u64, limits: &ClaimLimits) {
        let spans = [
            limits.running_age,
            limits.settled_retention,
            limits.open_retention,
        ];
        let step = spans.into_iter().min().unwrap_or_default() / SAMPLES_PER_SPAN;
        let before = self.samples.len().checked_sub(2);
        let is_too_close = before.is_some_and(|i| now.since(self.samples[i].0) < step);
        if is_too_close {
            self.samples.pop_back();
        }
        self.samples.push_back((now, next));
        let longest = spans.into_iter().max().unwrap_or_default();
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= longest)
        {
            self.samples.pop_front();
        }
    }

    /// Change number below which all changes are at least `span` old.
    fn first_younger(&self, now: Moment, span: Duration) -> u64 {
        self.samples
            .iter()
            .take_while(|(at, _)| now.since(*at) >= span)
            .last()
            .map_or(0, |(_, next)| *next)
    }
}

#[cfg(test)]
mod tests;
