//! Inputs and outputs of a cell.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::Config;
use crate::dispatch::{Census, Grant, Offer, Refusal, Report};
use crate::endpoint::{Load, State};
use crate::exchange::Totals;
use crate::lease::Tenure;
use crate::name::{AttemptId, EndpointName, InstanceName};

/// Event for a cell.
#[derive(Clone, Debug)]
pub enum CellInput {
    /// An entry offers a request.
    Offer(Offer),
    /// An entry takes an offer back.
    Withdraw(AttemptId),
    /// Nobody waits for a grant, given or still to come. The attempt may be offered again.
    Undelivered(AttemptId),
    /// An entry tells how a granted attempt goes.
    Report(Report),
    /// An endpoint reported its load.
    Load {
        /// The endpoint.
        endpoint: EndpointName,
        /// The report.
        load: Load,
    },
    /// The endpoints that the platform is about to stop, all of them.
    Leaving(BTreeSet<EndpointName>),
    /// A revision of the configuration is in force.
    Configure(Arc<Config>),
    /// What the owner may do has changed.
    Lease(Tenure),
    /// An entry lists what it runs.
    Census(Census),
    /// The cell was taken over without a handover.
    Recover {
        /// Entries that may run requests of the cell and have still to report.
        entries: BTreeSet<InstanceName>,
    },
    /// An entry is gone for good.
    EntryGone(InstanceName),
    /// Another cell of the service tells what service it has given.
    Totals(Totals),
    /// Time has passed.
    Tick,
}

/// Effect of an input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CellOutput {
    /// A waiting offer is granted.
    Grant(Grant),
    /// An offer is refused. It has not run.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
        refusal: Refusal,
    },
    /// To be told to the other cells of the service. It may be lost.
    Tell(Totals),
    /// An endpoint has changed state.
    Changed {
        /// The endpoint.
        endpoint: EndpointName,
        /// The new state.
        state: State,
    },
}
