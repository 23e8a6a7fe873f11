//! Service that the cells of one service have given, told among them.
//!
//! Each cell tells the others, at most once per [`PERIOD`], how much service it has given to its
//! backlogged accounts. A receiver adds what has come since to the counters of accounts that are
//! backlogged at itself too, so that an account with work at several cells has one place in the
//! order. The messages carry running totals: what one message lacks, be it lost, repeated or over
//! the size limit, is in a later one.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fair::{AccountId, FairQueue};
use crate::moment::Moment;
use crate::name::{AccountName, CellId, Epoch};

/// Shortest time between two messages of a cell.
pub(crate) const PERIOD: Duration = Duration::from_secs(1);

/// Most accounts in one message. Those whose totals changed most go first.
const MESSAGE_ACCOUNTS: usize = 500;

/// Time without a message after which the totals of an account are forgotten.
const STALE: Duration = Duration::from_secs(5);

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

/// Total of an account at another cell when it last came.
#[derive(Debug)]
struct Seen {
    epoch: Epoch,
    service: u64,
    at: Moment,
}

/// What one cell has sent and received.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    due: Moment,
    sent: HashMap<AccountId, u64>,
    seen: HashMap<(CellId, AccountName), Seen>,
}

impl Exchange {
    /// When the next message may go.
    pub(crate) fn due(&self) -> Moment {
        self.due
    }

    /// The totals that changed, if a message may go and there are any.
    pub(crate) fn take_totals(&mut self, now: Moment, queue: &FairQueue) -> Vec<Total> {
        if now < self.due || queue.is_empty() {
            return Vec::new();
        }
        self.due = now.after(PERIOD);
        let backlogged = queue.backlogged().map(|id| (id, queue.given(id)));
        let known = |id| self.sent.get(&id).copied().unwrap_or(0);
        let changes = backlogged.map(|(id, given)| (given.wrapping_sub(known(id)), id, given));
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
        self.seen.retain(|_, seen| now.since(seen.at) < STALE);
        for total in totals.accounts {
            let seen = Seen {
                epoch: totals.epoch,
                service: total.service,
                at: now,
            };
            let id = queue.find(&total.account);
            let key = (totals.cell.clone(), total.account);
            let Some(last) = self.seen.get_mut(&key) else {
                self.seen.insert(key, seen);
                continue;
            };
            let change = total.service.wrapping_sub(last.service).cast_signed();
            let follows = last.epoch == totals.epoch;
            if totals.epoch >= last.epoch {
                *last = seen;
            }
            if let Some(id) = id.filter(|id| follows && queue.waiting_of(*id) > 0) {
                queue.add_remote_service(id, change);
            }
        }
    }
}
