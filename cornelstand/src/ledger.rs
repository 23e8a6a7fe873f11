//! Running attempts of an entry.
//!
//! A new owner of a cell requests the list, and a planned stop waits until it is empty.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::dispatch::{Census, Running};
use crate::name::{AttemptId, CellId, InstanceName};

/// Granted attempts that have not ended.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    running: Mutex<HashMap<AttemptId, (CellId, Running)>>,
}

impl Ledger {
    /// Adds a running attempt of `cell`.
    pub(crate) fn begin(&self, cell: CellId, running: Running) {
        self.lock().insert(running.attempt, (cell, running));
    }

    /// Corrects the cost of an attempt.
    pub(crate) fn progress(&self, attempt: AttemptId, cost: u64) {
        if let Some((_, running)) = self.lock().get_mut(&attempt) {
            running.cost = cost;
        }
    }

    /// Removes an attempt.
    pub(crate) fn end(&self, attempt: AttemptId) {
        self.lock().remove(&attempt);
    }

    /// Number of attempts.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// The attempts of `cell`, ordered by identity.
    pub(crate) fn census(&self, entry: &InstanceName, cell: &CellId) -> Census {
        let mut running: Vec<Running> = self
            .lock()
            .values()
            .filter(|(c, _)| c == cell)
            .map(|(_, r)| r.clone())
            .collect();
        running.sort_by_key(|r| r.attempt);
        Census {
            entry: entry.clone(),
            cell: cell.clone(),
            running,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, (CellId, Running)>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
