//! Attempts that ended lately, so that a late message about one does not bring it back.

use std::collections::{HashSet, VecDeque};

use crate::name::AttemptId;

/// Most attempts that are remembered.
const ROOM: usize = 4_096;

/// Bounded set of ended attempts; the oldest goes first.
#[derive(Debug, Default)]
pub(crate) struct Tombs {
    order: VecDeque<AttemptId>,
    set: HashSet<AttemptId>,
}

impl Tombs {
    pub(crate) fn insert(&mut self, attempt: AttemptId) {
        if !self.set.insert(attempt) {
            return;
        }
        if self.order.len() == ROOM
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
