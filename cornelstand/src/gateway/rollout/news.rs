//! What instances tell each other about roll-outs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::rollout::evidence::Evidence;
use crate::gateway::rollout::order::{Order, OrderId, StatusWord};

/// Block of a heartbeat, a digest or an alarm.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct RolloutNews {
    /// Start of the sender's process.
    pub(crate) incarnation: u64,
    pub(crate) orders: Vec<OrderNews>,
}

impl RolloutNews {
    /// Whether there is nothing to tell.
    pub(crate) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}

/// An order, as an instance or the instances of a data centre know it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OrderNews {
    pub(crate) id: OrderId,
    pub(crate) duration: Duration,
    /// Status that the store has.
    pub(crate) word: Option<StatusWord>,
    /// Time since the order, at least.
    pub(crate) age: Duration,
    /// Whether the version was found bad.
    pub(crate) is_bad: bool,
    pub(crate) state: MoveState,
    pub(crate) evidence: Evidence,
}

/// How far the traffic has moved at an instance, or at all instances of a data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct MoveState {
    /// Whether everything goes to the target.
    pub(crate) is_moved: bool,
    /// Attempts that run at the baseline.
    pub(crate) running: u32,
    /// Attempts that went to the baseline a moment ago although everything has moved.
    pub(crate) leaks: u32,
}

impl MoveState {
    /// State of no instance.
    pub(crate) const NONE: Self = Self {
        is_moved: true,
        running: 0,
        leaks: 0,
    };

    /// State of both.
    pub(crate) fn join(self, other: Self) -> Self {
        Self {
            is_moved: self.is_moved && other.is_moved,
            running: self.running.saturating_add(other.running),
            leaks: self.leaks.saturating_add(other.leaks),
        }
    }
}

impl OrderNews {
    /// News of an order that is over.
    pub(crate) fn over(order: &Order) -> Self {
        Self {
            id: order.id.clone(),
            duration: order.duration,
            word: order.word(),
            age: Duration::ZERO,
            is_bad: false,
            state: MoveState::default(),
            evidence: Evidence::default(),
        }
    }
}
