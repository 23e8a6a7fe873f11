//! Weighs a kept prompt against its wait: one estimate for each engine that may run a request.
//!
//! The estimate is the time to the first event, with the prompts that wait at the engine, the tokens
//! of the request that it does not keep, and its speed at this moment; and the delay that reading
//! shared tokens once more causes for everybody else. The smallest sum wins, also against an engine
//! that has no room now: a request waits for it in the gateway while that is cheaper than reading
//! elsewhere and time is left.

use std::time::Duration;

use derive_more::IsVariant;

/// Requests that an engine at capacity could have served in the time for which it reads a shared
/// part again: a part takes about as long as six other requests wait for their turn.
const DISPLACED_REQUESTS: f64 = 6.0;
/// Time between two looks at the queue in front of the engines, in milliseconds: the least that a
/// request waits for an engine without room.
const QUEUE_LOOK_MS: f64 = 8.0;
/// Range around the expected lifetime of an unused part within which it may be gone.
const LIFETIME_RANGE: (f64, f64) = (0.6, 1.4);
/// Longest time for which an unused part is expected to be kept, whatever the memory.
pub(crate) const MAX_LIFETIME: Duration = Duration::from_secs(30);

/// What is known of one engine as a place for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// Prompt tokens that the engine has to read before those of the request.
    pub(crate) queued: f64,
    /// Tokens outside the shared prefix.
    pub(crate) own: f64,
    /// Expected shared tokens that the engine no longer keeps.
    pub(crate) unread: f64,
    /// Milliseconds for a prompt token now.
    pub(crate) read_time: f64,
    /// Milliseconds for a generated token now.
    pub(crate) token_time: f64,
    /// Share of the engine's capacity in use, from 0 to 1.
    pub(crate) occupancy: f64,
    /// Whether the engine has room, and if not, milliseconds until it may.
    pub(crate) room: Room,
}

/// Whether an engine can take a request.
#[derive(Clone, Copy, Debug, IsVariant, PartialEq)]
pub(crate) enum Room {
    Free,
    /// A running request has to end first, which takes this time in milliseconds.
    After(f64),
    /// Its queue has to become shorter first, which takes this time in milliseconds. The estimate
    /// contains the whole queue already.
    Drains(f64),
    /// The request cannot run there.
    Never,
}

/// Times of one engine for a request, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Until the first event.
    pub(crate) first: f64,
    /// Delay of the other requests.
    pub(crate) burden: f64,
}

impl Estimate {
    pub(crate) fn total(self) -> f64 {
        self.first + self.burden
    }
}

/// Estimates the times for a request whose first event holds `stride` tokens, where `in_use` is the
/// mean share of all engines' capacity in use: an engine that is idle for a moment would soon serve
/// others. A preferred engine is
/// one where a part that no engine keeps is to be read: its first reading burdens nobody more than
/// elsewhere.
pub(crate) fn estimate(
    candidate: &Candidate,
    stride: f64,
    in_use: f64,
    is_preferred: bool,
) -> Estimate {
    let c = candidate;
    let reads = (c.queued + c.own + c.unread) * c.read_time;
    let wait = match c.room {
        Room::Free | Room::Drains(_) => 0.0,
        Room::After(wait) => wait,
        Room::Never => f64::INFINITY,
    };
    let displaced = if is_preferred {
        0.0
    } else {
        1.0 + DISPLACED_REQUESTS * c.occupancy.max(in_use)
    };
    Estimate {
        first: wait + reads + stride * c.token_time,
        burden: c.unread * c.read_time * displaced,
    }
}

/// Whether to wait for an engine without room rather than use the one with the total `free`. A wait
/// that takes longer than `left`, the time for which the request may be queued, is not worth it.
pub(crate) fn is_worth_waiting(room: Room, total: f64, free: Option<f64>, left: f64) -> bool {
    let wait = match room {
        Room::Free | Room::Never => return false,
        Room::After(wait) | Room::Drains(wait) => wait + QUEUE_LOOK_MS,
    };
    wait <= left && free.is_none_or(|free| total + QUEUE_LOOK_MS < free)
}

/// Whether an engine with room may read shared tokens that it does not keep: not if that costs
/// all callers together more than one of them may wait.
pub(crate) fn may_read(estimate: Estimate, objective: Duration) -> bool {
    estimate.total() <= objective.as_secs_f64() * 1e3
}

/// Milliseconds until one of an engine's running requests ends.
pub(crate) fn until_end(running: u32, request_time: f64) -> f64 {
    request_time / f64::from(running.max(1))
}

/// Milliseconds for which an engine keeps an unused part: until the requests that it runs have
/// filled the memory that they leave free. What they used stays behind, so that in the time of one
/// request the running ones fill as much again.
pub(crate) fn lifetime(memory: f64, used: f64, request_time: f64) -> f64 {
    let free = (memory - used).max(0.0);
    let longest = MAX_LIFETIME.as_secs_f64() * 1e3;
    if used * longest <= free * request_time {
        return longest;
    }
    free * request_time / used
}

/// Chance that a part is still kept at `age` milliseconds after its last use.
pub(crate) fn kept_chance(age: f64, lifetime: f64) -> f64 {
    let (sure, gone) = (lifetime * LIFETIME_RANGE.0, lifetime * LIFETIME_RANGE.1);
    if gone <= sure {
        return 0.0;
    }
    ((gone - age) / (gone - sure)).clamp(0.0, 1.0)
}
