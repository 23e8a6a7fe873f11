//! Inputs and outputs of a cell.

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::IsVariant;
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::dispatch::{Census, Grant, Offer, Refusal, Report};
use crate::endpoint::{Load, State};
use crate::moment::Moment;
use crate::name::{AttemptId, EndpointName, InstanceName};

/// Part of each endpoint's limit that the owner of a cell may use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// All of it: the lease is held and can be renewed.
    Full,
    /// Half, rounded up: the lease cannot be renewed.
    Kept,
    /// Half, rounded down: owner for as long as nobody can take the lease.
    Provisional,
}

impl Part {
    /// This part of `limit`.
    #[must_use]
    pub fn of(self, limit: u32) -> u32 {
        match self {
            Self::Full => limit,
            Self::Kept => limit.div_ceil(2),
            Self::Provisional => limit / 2,
        }
    }
}

/// Event for a cell.
#[derive(Clone, Debug)]
pub enum CellInput {
    /// An entry offers a request.
    Offer(Offer),
    /// An entry takes an offer back.
    Withdraw(AttemptId),
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
    /// The cell is owned until a moment.
    Lease {
        /// Nothing is granted from then on.
        until: Moment,
        /// Part of each limit that may be used.
        part: Part,
    },
    /// An entry lists what it runs.
    Census(Census),
    /// The cell was taken over without a handover.
    Recover {
        /// Entries that may run requests of the cell and have still to report.
        entries: BTreeSet<InstanceName>,
    },
    /// An entry is gone for good.
    EntryGone(InstanceName),
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
    /// An endpoint has changed state.
    Changed {
        /// The endpoint.
        endpoint: EndpointName,
        /// The new state.
        state: State,
    },
}
