//! Orders and their status, as the store has them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{ServiceName, VersionName};

/// Identity of an order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct OrderId {
    pub(crate) service: ServiceName,
    /// Version to which the traffic moves.
    pub(crate) target: VersionName,
    /// Store revision at which its object was created.
    pub(crate) created: u64,
}

/// How far an order is, as its status says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StatusWord {
    Running,
    Completed,
    RolledBack,
}

/// Status of an order's object. It may be of an earlier target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Status {
    pub(crate) word: StatusWord,
    pub(crate) target: VersionName,
}

/// An operator's order to move a service's traffic to a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Order {
    pub(crate) id: OrderId,
    /// Time from the order to its deadline.
    pub(crate) duration: Duration,
    pub(crate) status: Option<Status>,
}

impl Order {
    /// Status for its own target.
    pub(crate) fn word(&self) -> Option<StatusWord> {
        let status = self.status.as_ref()?;
        (status.target == self.id.target).then_some(status.word)
    }
}
