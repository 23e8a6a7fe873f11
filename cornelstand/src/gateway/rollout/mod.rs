//! Decisions of roll-outs: which versions of a service get requests, and when a roll-out ends.
//!
//! An operator orders that a service's traffic moves to a target version. Requests have a
//! [`Side`]: the target's endpoints are the canary, all others the baseline. Every instance bounds
//! its own sends to the canary by its own sends to the service, so that the sums hold for the fleet.
//! Instances exchange counters of answers, judge them on their own, and stop sending to a bad
//! version at once. See `docs/design/rollouts.md`.

pub(crate) mod allowance;
pub(crate) mod evidence;
pub(crate) mod judge;
pub(crate) mod news;
pub(crate) mod order;
pub(crate) mod peers;
pub(crate) mod rollouts;
pub(crate) mod running;
pub(crate) mod versions;

pub(crate) use news::RolloutNews;
pub(crate) use order::{Order, OrderId, Status, StatusWord};
pub(crate) use rollouts::{Answer, Filter, Fleet, Rollouts, Sent, Side, StatusWrite};
