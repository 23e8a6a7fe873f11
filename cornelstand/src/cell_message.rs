//! Inputs and outputs of a cell.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::Config;
use crate::dispatch::{Census, Grant, Offer, Refusal, Report};
use crate::endpoint::{LoadReport, State};
use crate::exchange::Totals;
use crate::lease::Tenure;
use crate::name::{AttemptId, EndpointName, InstanceName};

/// Input event of a cell.
#[derive(Clone, Debug)]
pub enum CellInput {
    /// An entry offers a request.
    Offer(Offer),
    /// An entry withdraws an offer.
    Withdraw(AttemptId),
    /// Nobody awaits the reply to an offer, granted or queued. It may be offered again.
    Undelivered(AttemptId),
    /// Progress or outcome of a granted attempt.
    Report(Report),
    /// An endpoint reported its load.
    Load {
        /// The endpoint.
        endpoint: EndpointName,
        /// The report.
        load: LoadReport,
    },
    /// Complete set of the endpoints that the platform is about to stop.
    Leaving(BTreeSet<EndpointName>),
    /// A revision of the configuration is in force.
    Configure(Arc<Config>),
    /// The owner's lease was extended or reduced.
    Lease(Tenure),
    /// An entry lists its running attempts.
    Census(Census),
    /// The cell was taken over without a handover.
    Recover {
        /// Entries that may run requests of the cell and have not reported yet.
        entries: BTreeSet<InstanceName>,
    },
    /// An entry is permanently gone.
    EntryGone(InstanceName),
    /// Service counters of another cell of the same service.
    Totals(Totals),
    /// The timer is due.
    Tick,
}

/// Effect of an input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CellOutput {
    /// A waiting offer is granted.
    Grant(Grant),
    /// An offer is refused without having run.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
        refusal: Refusal,
    },
    /// Service counters for the other cells of the service. They may be lost.
    Totals(Totals),
    /// An endpoint has changed state.
    Changed {
        /// The endpoint.
        endpoint: EndpointName,
        /// The new state.
        state: State,
    },
}
