//! Recently ended attempts, so that a late message cannot make one active again.

use std::collections::{HashSet, VecDeque};

use crate::name::AttemptId;

/// Maximum number of recorded attempts.
const CAPACITY: usize = 4_096;

/// Bounded set of ended attempts that evicts the oldest.
#[derive(Debug, Default)]
pub(crate) struct EndedAttempts {
    order: VecDeque<AttemptId>,
    set: HashSet<AttemptId>,
}

impl EndedAttempts {
    pub(crate) fn insert(&mut self, attempt: AttemptId) {
        if !self.set.insert(attempt) {
            return;
        }
        if self.order.len() == CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
        self.order.push_back(attempt);
    }

    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.set.contains(&attempt)
    }
}
