//! Status that an instance reports to operators.

use serde::{Deserialize, Serialize};

use crate::cell_status::CellStatus;
use crate::gossip::{CellClaim, Member};
use crate::name::{CellId, CentreName, Epoch, Incarnation, InstanceName, Revision};

/// Whether an instance takes callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, derive_more::Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// It has no configuration yet.
    #[display("starting")]
    Starting,
    /// It takes requests.
    #[display("ready")]
    Ready,
    /// It completes running requests only.
    #[display("draining")]
    Draining,
}

/// State of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Its name.
    pub instance: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Whether it takes requests.
    pub readiness: Readiness,
    /// Revision in force.
    pub revision: Revision,
    /// Client requests in progress.
    pub requests: usize,
    /// Bytes on links between instances.
    pub traffic: TrafficStatus,
    /// Calls to the object API.
    pub calls: u64,
    /// Cells that it owns.
    pub cells: Vec<CellStatus>,
    /// Owners of cells that it knows of.
    pub owners: Vec<OwnerStatus>,
    /// Other instances that it knows of.
    pub members: Vec<MemberStatus>,
}

/// Bytes on links between instances since the process started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrafficStatus {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Owner of a cell, as one instance knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerStatus {
    /// The cell.
    pub cell: CellId,
    /// The owner.
    pub owner: InstanceName,
    /// Epoch of the ownership.
    pub epoch: Epoch,
}

/// Another instance, as one instance knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The instance.
    pub instance: InstanceName,
    /// Its state, such as `live` or `suspect`.
    pub state: String,
    /// Last known revision in force.
    pub revision: Revision,
}

impl From<&Member> for MemberStatus {
    fn from(member: &Member) -> Self {
        Self {
            instance: member.name.clone(),
            state: member.state.to_string(),
            revision: member.revision,
        }
    }
}

impl From<&CellClaim> for OwnerStatus {
    fn from(claim: &CellClaim) -> Self {
        Self {
            cell: claim.cell.clone(),
            owner: claim.owner.clone(),
            epoch: claim.epoch,
        }
    }
}
