//! Writer of one claim shard: many claims and settlements in one conditional write.
//!
//! Operations queue while a call to the store is under way and all go into the next write, which
//! starts no earlier than a fixed gap after the last one. So the rate of writes is bounded by the
//! number of shards, whatever the rate of requests. The writer keeps the last value and version it
//! has seen and reads only when a write conflicts or its answer is lost.
//!
//! Every operation is idempotent by its token and is answered only from a value that the store
//! is known to hold. An operation whose write had no clear end stays queued and is applied again
//! to what is read back. A `begin` that is given up leaves a release behind, so that a late write
//! does not leave a claim without a holder.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::IsVariant;

use crate::claim::{
    Claim, ClaimAnswer, ClaimCall, ClaimOp, ClaimShard, ClaimState, ClaimWish, Expiry,
};
use crate::claim_segment::{SegmentRef, Segments};
use crate::moment::Moment;
use crate::store::{Condition, VALUE_BYTES, Version};

/// Size of a shard above which it takes no new claims, in bytes. The rest is for settlements.
const CLAIM_BYTES: usize = VALUE_BYTES / 4 * 3;

/// Bytes that the operations of one write may add to a shard.
const BATCH_BYTES: usize = VALUE_BYTES / 8;

/// Bytes of a claim without its answer.
const CLAIM_SIZE: usize = 512;

/// Times that are kept of what was seen, for each expiry span.
const SAMPLES: u32 = 8;

/// Limits of the claim protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// Number of shards. All instances have to agree on it.
    pub shards: u16,
    /// Least time between the starts of two writes of one shard.
    pub gap: Duration,
    /// Time after which a `begin` without an answer from the store is refused.
    pub patience: Duration,
    /// Time for which a settlement is tried, and a released token is remembered.
    pub settle: Duration,
    /// Time from `begin` within which the request has to be sent.
    pub window: Duration,
    /// Time after which an open claim counts as unknown instead of running.
    pub run: Duration,
    /// Least time for which a settled claim is kept.
    pub keep: Duration,
    /// Least time for which a claim that was never settled is kept.
    pub orphan: Duration,
    /// Most operations that wait at one shard, and most in one write.
    pub queue: usize,
    /// Size of a shard's object above which settled claims are moved out of it, in bytes.
    pub spill: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            shards: 16,
            gap: Duration::from_millis(50),
            patience: Duration::from_secs(5),
            settle: Duration::from_mins(10),
            window: Duration::from_mins(10),
            run: Duration::from_mins(20),
            keep: Duration::from_hours(1),
            orphan: Duration::from_hours(24),
            queue: 1024,
            spill: 64 << 10,
        }
    }
}

/// Identity of an operation within its writer.
pub(crate) type OpId = u64;

/// End of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ReadEnd {
    Absent,
    Found(Version, ClaimShard),
    Failed,
}

/// End of a conditional write.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub enum WriteEnd {
    /// The store holds the value under this version.
    Written(Version),
    /// The condition does not hold. Nothing was written.
    Conflict,
    /// Nothing was written.
    NotWritten,
    /// The write may take effect, also later.
    Unknown,
}

/// Input of the writer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Event {
    Asked(OpId, ClaimCall),
    Read(ReadEnd),
    Written(WriteEnd),
    /// The claims of a segment, `None` if they could not be read.
    Segment(SegmentRef, Option<ClaimShard>),
    /// The end of a write of a new segment.
    Stored(SegmentRef, WriteEnd),
    Tick,
}

/// Output of the writer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    Read,
    Write(Condition, String),
    ReadSegment(SegmentRef),
    WriteSegment(SegmentRef, String),
    /// Nothing refers to the segment any more.
    DropSegment(SegmentRef),
    Reply(OpId, ClaimAnswer),
    Wake(Moment),
}

#[derive(Debug)]
struct Pending {
    /// Whom to answer, `None` if that was done.
    op: Option<OpId>,
    call: ClaimCall,
    until: Moment,
    /// The store was read since the operation came.
    confirmed: bool,
    /// The claim of the key, if a segment holds it.
    found: Option<Claim>,
    /// A write that may still take effect contains the operation.
    exposed: bool,
    answer: Option<ClaimAnswer>,
}

#[derive(Debug)]
enum Step {
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
    step: Step,
    ready: Moment,
    ages: Ages,
    segments: Segments,
}

impl Writer {
    pub(crate) fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            cached: None,
            queue: VecDeque::new(),
            step: Step::Idle,
            ready: Moment::default(),
            ages: Ages::default(),
            segments: Segments::default(),
        }
    }

    /// Takes one event and returns what is to be done.
    pub(crate) fn on(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Asked(op, call) => self.asked(now, op, call, &mut effects),
            Event::Read(end) => self.read(now, end, &mut effects),
            Event::Written(end) => self.written(now, end, &mut effects),
            Event::Segment(segment, found) => self.segment(now, segment, found),
            Event::Stored(segment, end) => self.segments.stored(segment, end.is_written()),
            Event::Tick => {}
        }
        self.give_up(now, &mut effects);
        self.advance(now, &mut effects);
        self.wake(&mut effects);
        effects
    }

    fn asked(&mut self, now: Moment, op: OpId, call: ClaimCall, out: &mut Vec<Effect>) {
        let begin = call.op.is_begin();
        if begin && self.queue.len() >= self.limits.queue {
            out.push(Effect::Reply(op, ClaimAnswer::Busy));
            return;
        }
        let patience = if begin {
            self.limits.patience
        } else {
            self.limits.settle
        };
        self.queue.push_back(Pending {
            op: Some(op),
            call,
            until: now.after(patience),
            confirmed: false,
            found: None,
            exposed: false,
            answer: None,
        });
    }

    fn read(&mut self, now: Moment, end: ReadEnd, out: &mut Vec<Effect>) {
        self.step = Step::Idle;
        let (condition, shard) = match end {
            ReadEnd::Absent => (Condition::Absent, ClaimShard::default()),
            ReadEnd::Found(version, shard) => (Condition::Match(version), shard),
            ReadEnd::Failed => {
                self.pause(now);
                return;
            }
        };
        self.hold(now, condition, shard, out);
    }

    /// Takes `shard` as what the store holds.
    fn hold(
        &mut self,
        now: Moment,
        condition: Condition,
        shard: ClaimShard,
        out: &mut Vec<Effect>,
    ) {
        self.ages.see(now, shard.next, &self.limits);
        let useless = self.segments.follow(&shard);
        out.extend(useless.map(Effect::DropSegment));
        self.cached = Some(Cached { condition, shard });
    }

    fn segment(&mut self, now: Moment, segment: SegmentRef, found: Option<ClaimShard>) {
        self.step = Step::Idle;
        let Some(found) = found else {
            // Another writer may have dropped the segment.
            self.cached = None;
            self.pause(now);
            return;
        };
        self.segments.load(segment, &found.claims);
        for pending in &mut self.queue {
            if let Some(claim) = found.claims.get(&pending.call.claim) {
                pending.found = Some(claim.clone());
            }
        }
    }

    fn written(&mut self, now: Moment, end: WriteEnd, out: &mut Vec<Effect>) {
        let Step::Writing(shard) = std::mem::replace(&mut self.step, Step::Idle) else {
            return;
        };
        match end {
            WriteEnd::Written(version) => {
                let before = self.cached.take().map(|c| c.shard.segments);
                let gone = before.into_iter().flatten();
                out.extend(
                    gone.filter(|s| !shard.segments.contains(s))
                        .map(Effect::DropSegment),
                );
                self.hold(now, Condition::Match(version), shard, out);
                self.reply(out);
            }
            WriteEnd::Conflict => self.cached = None,
            WriteEnd::NotWritten => self.pause(now),
            WriteEnd::Unknown => {
                for pending in self.queue.iter_mut().filter(|p| p.answer.is_some()) {
                    pending.exposed = true;
                }
                self.cached = None;
                self.pause(now);
            }
        }
        for pending in &mut self.queue {
            pending.answer = None;
        }
    }

    /// Delays the next call after a failed one.
    fn pause(&mut self, now: Moment) {
        self.ready = self.ready.max(now.after(self.limits.gap));
    }

    /// Sends the answers that the present value bears out.
    fn reply(&mut self, out: &mut Vec<Effect>) {
        self.queue.retain_mut(|pending| {
            let Some(answer) = pending.answer.take() else {
                return true;
            };
            out.extend(pending.op.map(|op| Effect::Reply(op, answer)));
            false
        });
    }

    /// Refuses what has waited too long.
    fn give_up(&mut self, now: Moment, out: &mut Vec<Effect>) {
        let writing = matches!(self.step, Step::Writing(_));
        let settle = self.limits.settle;
        self.queue.retain_mut(|pending| {
            if now < pending.until {
                return true;
            }
            let op = pending.op.take();
            out.extend(op.map(|op| Effect::Reply(op, ClaimAnswer::Unavailable)));
            let exposed = pending.exposed || writing && pending.answer.is_some();
            let ClaimOp::Begin(wish) = pending.call.op else {
                return false;
            };
            pending.call.op = ClaimOp::Release(wish.token);
            pending.until = now.after(settle);
            pending.answer = None;
            exposed
        });
    }

    /// Starts the next call if one is needed and none is under way.
    fn advance(&mut self, now: Moment, out: &mut Vec<Effect>) {
        if !matches!(self.step, Step::Idle) || self.queue.is_empty() || now < self.ready {
            return;
        }
        let Some(cached) = &self.cached else {
            self.start_read(out);
            return;
        };
        let condition = cached.condition;
        let mut shard = cached.shard.clone();
        shard.expire(Expiry {
            settled: self.ages.before(now, self.limits.keep),
            open: self.ages.before(now, self.limits.orphan),
            released: self.ages.before(now, self.limits.settle),
        });
        self.segments.apply(&mut shard);
        if let Some(segment) = self.segments.missing(&shard) {
            self.step = Step::Reading;
            out.push(Effect::ReadSegment(segment));
            return;
        }
        let dated = self.ages.before(now, self.limits.run);
        match self.apply(&mut shard, dated, false) {
            Applied::Whole => {}
            Applied::Stale => {
                self.start_read(out);
                return;
            }
            Applied::Elsewhere(segment) => {
                self.step = Step::Reading;
                out.push(Effect::ReadSegment(segment));
                return;
            }
        }
        if self.is_unchanged(&shard) {
            self.reply(out);
            return;
        }
        let value = self.encode(&mut shard, dated);
        self.spill(value.len(), out);
        self.step = Step::Writing(shard);
        self.ready = now.after(self.limits.gap);
        out.push(Effect::Write(condition, value));
    }

    /// Begins to move settled claims out of a shard that has grown to `bytes`.
    fn spill(&mut self, bytes: usize, out: &mut Vec<Effect>) {
        let (Some(cached), Some(first)) = (&self.cached, self.queue.front()) else {
            return;
        };
        if bytes <= self.limits.spill {
            return;
        }
        let begun = self.segments.begin(&cached.shard, first.call.op.token());
        out.extend(begun.map(|(segment, value)| Effect::WriteSegment(segment, value)));
    }

    fn start_read(&mut self, out: &mut Vec<Effect>) {
        self.cached = None;
        for pending in &mut self.queue {
            pending.confirmed = true;
            pending.answer = None;
        }
        self.step = Step::Reading;
        out.push(Effect::Read);
    }

    fn is_unchanged(&self, shard: &ClaimShard) -> bool {
        self.cached
            .as_ref()
            .is_some_and(|c| c.shard.next == shard.next)
    }

    /// Applies the queued operations, as many as go into one write.
    fn apply(&mut self, shard: &mut ClaimShard, dated: u64, full: bool) -> Applied {
        let mut bytes = 0;
        for pending in self.queue.iter_mut().take(self.limits.queue) {
            bytes += size(&pending.call.op);
            if bytes > BATCH_BYTES {
                break;
            }
            let id = pending.call.claim;
            let segment = self.segments.find(id, shard);
            let answer = match &pending.call.op {
                ClaimOp::Begin(wish) if shard.released.contains_key(&wish.token) => {
                    ClaimAnswer::Lost
                }
                ClaimOp::Begin(wish) => match (segment, &pending.found) {
                    (Some(_), Some(held)) => verdict(held, *wish, dated),
                    (Some(segment), None) => return Applied::Elsewhere(segment),
                    (None, _) if full && !shard.claims.contains_key(&id) => ClaimAnswer::Full,
                    (None, _) => {
                        let held = shard.claim(id, *wish);
                        let foreign = held.token != wish.token;
                        if foreign && held.state.is_open() && !pending.confirmed {
                            return Applied::Stale;
                        }
                        verdict(held, *wish, dated)
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
        Applied::Whole
    }

    /// The value of `shard`, without its new claims if it has grown too large for them.
    fn encode(&mut self, shard: &mut ClaimShard, dated: u64) -> String {
        let value = shard.encode();
        if value.len() <= CLAIM_BYTES {
            return value;
        }
        let Some(cached) = &self.cached else {
            return value;
        };
        *shard = cached.shard.clone();
        self.apply(shard, dated, true);
        shard.encode()
    }

    fn wake(&self, out: &mut Vec<Effect>) {
        let deadline = self.queue.iter().map(|p| p.until).min();
        let Some(deadline) = deadline else { return };
        let idle = matches!(self.step, Step::Idle);
        let next = if idle {
            self.ready.min(deadline)
        } else {
            deadline
        };
        out.push(Effect::Wake(next));
    }
}

/// How far the queued operations could be applied.
enum Applied {
    Whole,
    /// An answer needs a newer value.
    Stale,
    /// An answer needs a claim of this segment.
    Elsewhere(SegmentRef),
}

/// Bytes that an operation may add to a shard, roughly.
fn size(op: &ClaimOp) -> usize {
    match op {
        ClaimOp::Settle(_, ClaimState::Recorded(recorded)) => {
            // A body that is not text takes two digits a byte, a control character six.
            CLAIM_SIZE + 6 * recorded.body.as_ref().map_or(0, bytes::Bytes::len)
        }
        _ => CLAIM_SIZE,
    }
}

fn verdict(held: &Claim, wish: ClaimWish, dated: u64) -> ClaimAnswer {
    if held.token == wish.token {
        return ClaimAnswer::Fresh;
    }
    if held.fingerprint != wish.fingerprint {
        return ClaimAnswer::Mismatch;
    }
    match &held.state {
        ClaimState::Open if held.change >= dated => ClaimAnswer::Running,
        ClaimState::Open | ClaimState::Unknown => ClaimAnswer::Unknown,
        ClaimState::Recorded(recorded) => ClaimAnswer::Answered(recorded.clone()),
    }
}

/// When which changes of the shard were seen first, on this process's monotonic clock.
#[derive(Debug, Default)]
struct Ages {
    samples: VecDeque<(Moment, u64)>,
}

impl Ages {
    /// Notes that all changes below `next` exist at `now`.
    ///
    /// The last sample holds all changes; the others are a step apart or more.
    fn see(&mut self, now: Moment, next: u64, limits: &ClaimLimits) {
        let spans = [limits.run, limits.keep, limits.orphan];
        let step = spans.into_iter().min().unwrap_or_default() / SAMPLES;
        let before = self.samples.len().checked_sub(2);
        let dense = before.is_some_and(|i| now.since(self.samples[i].0) < step);
        if dense {
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

    /// The change before which all are known to be at least `span` old.
    fn before(&self, now: Moment, span: Duration) -> u64 {
        self.samples
            .iter()
            .take_while(|(at, _)| now.since(*at) >= span)
            .last()
            .map_or(0, |(_, next)| *next)
    }
}

#[cfg(test)]
mod tests;
