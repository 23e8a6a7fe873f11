//! Exchange of fair-queue totals between the cells of one service.
//!
//! At most once per [`PERIOD`], each cell sends the others the totals of the service that it has
//! given to its backlogged accounts. A receiver adds the increase to the counters of accounts that
//! are backlogged there too, so that an account with work at several cells is ordered by its total.
//! The messages carry running totals, so a later one makes up for one that was lost, repeated or
//! cut to the size limit.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fair::{AccountId, FairQueue};
use crate::moment::Moment;
use crate::name::{AccountName, CellId, Epoch};

/// Shortest interval between messages of a cell.
pub(crate) const PERIOD: Duration = Duration::from_secs(1);

/// Maximum accounts per message. Those whose totals changed most go first.
const MESSAGE_ACCOUNTS: usize = 500;

/// Age at which the totals received for an account are dropped.
const TOTALS_LIFETIME: Duration = Duration::from_secs(5);

/// Service that one cell has given since its owner started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Totals {
    /// The cell.
    pub cell: CellId,
    /// Epoch of its owner.
    pub epoch: Epoch,
    /// Totals that changed since the last message.
    pub accounts: Vec<Total>,
}

/// Service that one cell has given to one account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// The account.
    pub account: AccountName,
    /// Charged cost over share, in units of 1/65,536, modulo 2^64.
    pub service: u64,
}

/// Last total received for an account at another cell.
#[derive(Debug)]
struct Received {
    epoch: Epoch,
    service: u64,
    at: Moment,
}

/// Totals one cell sent and received.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    due: Moment,
    sent: HashMap<AccountId, u64>,
    received: HashMap<(CellId, AccountName), Received>,
}

impl Exchange {
    /// When the next message is due.
    pub(crate) fn due(&self) -> Moment {
        self.due
    }

    /// Returns the totals that changed if a message is due, and records them as sent.
    pub(crate) fn take_totals(&mut self, now: Moment, queue: &FairQueue) -> Vec<Total> {
        if now < self.due || queue.is_empty() {
            return Vec::new();
        }
        self.due = now.after(PERIOD);
        let backlogged = queue.backlogged().map(|id| (id, queue.given(id)));
        let last_sent = |id| self.sent.get(&id).copied().unwrap_or(0);
        let changes = backlogged.map(|(id, given)| (given.wrapping_sub(last_sent(id)), id, given));
        let mut changes: Vec<_> = changes.filter(|(change, ..)| *change != 0).collect();
        changes.sort_unstable_by_key(|(change, id, _)| {
            (std::cmp::Reverse(change.cast_signed().unsigned_abs()), *id)
        });
        changes.truncate(MESSAGE_ACCOUNTS);
        self.sent.retain(|id, _| queue.waiting_of(*id) > 0);
        self.sent
            .extend(changes.iter().map(|(_, id, given)| (*id, *given)));
        let totals = changes.into_iter().map(|(_, id, service)| Total {
            account: queue.name(id).clone(),
            service,
        });
        totals.collect()
    }

    /// Adds the service that another cell has given since its last message.
    pub(crate) fn merge(&mut self, now: Moment, totals: Totals, queue: &mut FairQueue) {
        self.received
            .retain(|_, received| now.since(received.at) < TOTALS_LIFETIME);
        for total in totals.accounts {
            let received = Received {
                epoch: totals.epoch,
                service: total.service,
                at: now,
            };
            let id = queue.find(&total.account);
            let key = (totals.cell.clone(), total.account);
            let Some(last) = self.received.get_mut(&key) else {
                self.received.insert(key, received);
                continue;
            };
            let change = total.service.wrapping_sub(last.service).cast_signed();
            let is_same_epoch = last.epoch == totals.epoch;
            if totals.epoch >= last.epoch {
                *last = received;
            }
            if let Some(id) = id.filter(|id| is_same_epoch && queue.waiting_of(*id) > 0) {
                queue.add_remote_service(id, change);
            }
        }
    }
}
