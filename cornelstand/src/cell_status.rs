//! Status of a cell for operators.

use serde::{Deserialize, Serialize};

use crate::endpoint::State;
use crate::fair::AccountView;
use crate::lease::Part;
use crate::name::{AccountName, BootId, CellId, EndpointName, Epoch, InstanceName};

/// Queues, counters and endpoints of one cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CellStatus {
    /// The cell.
    pub cell: CellId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Part of each limit that the owner may use, `None` once the lease has expired.
    pub part: Option<Part>,
    /// Entries that have not reported since the takeover.
    pub unreported: Vec<InstanceName>,
    /// Counts since the owner started.
    pub counts: Counts,
    /// Queued offers.
    pub waiting: usize,
    /// Granted attempts that have not ended.
    pub running: usize,
    /// Accounts seen by this owner.
    pub accounts: Vec<AccountStatus>,
    /// Endpoints of the cell.
    pub endpoints: Vec<EndpointStatus>,
}

impl CellStatus {
    /// Expected wait of a new request in milliseconds, assuming that each slot completes one
    /// request a second. Zero while a slot is free, as no offer is queued then.
    #[must_use]
    pub fn delay(&self) -> u32 {
        let slots: u32 = self.endpoints.iter().map(|e| e.limit).sum();
        let waiting = u32::try_from(self.waiting).unwrap_or(u32::MAX);
        waiting.saturating_mul(1000) / slots.max(1)
    }
}

/// Counters of one owner. `offered` is the sum of `granted`, `refused`, `cancelled` and the queued
/// offers; `granted` plus `adopted` is the sum of `ended` and the running attempts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Offers received, not counting repeats.
    pub offered: u64,
    /// Offers granted.
    pub granted: u64,
    /// Offers refused.
    pub refused: u64,
    /// Offers withdrawn.
    pub cancelled: u64,
    /// Running attempts adopted from earlier owners.
    pub adopted: u64,
    /// Attempts ended.
    pub ended: u64,
}

/// One account at a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountStatus {
    /// The account.
    pub account: AccountName,
    /// Its share.
    pub share: u32,
    /// Fairness counter: charged cost over share, in units of 1/65,536.
    pub service: u64,
    /// Average cost of its calls, in the unit of the service's kind.
    pub average: u64,
    /// Queued interactive offers.
    pub interactive: usize,
    /// Queued batch offers.
    pub batch: usize,
    /// Granted attempts that have not ended.
    pub running: u32,
}

impl From<AccountView<'_>> for AccountStatus {
    fn from(view: AccountView<'_>) -> Self {
        Self {
            account: view.name.clone(),
            share: view.share,
            service: view.service,
            average: view.average,
            interactive: view.interactive,
            batch: view.batch,
            running: view.running,
        }
    }
}

/// One endpoint of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its state.
    pub state: State,
    /// Concurrent requests that the owner permits.
    pub limit: u32,
    /// Granted attempts that have not ended.
    pub running: u32,
    /// Boot identity seen in an answer.
    pub boot: Option<BootId>,
}
