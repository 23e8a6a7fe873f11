//! Messages of the gossip between instances.
//!
//! Every list in a message is bounded, so the traffic of an instance does not grow with the
//! fleet. What does not fit goes with a later message.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};

use crate::name::{CellId, CentreName, Epoch, Incarnation, InstanceName, Revision};
use crate::timeline::Stamp;

/// Most members in one message.
pub const GOSSIP_MEMBERS: usize = 36;

/// Most cells in one message.
pub const GOSSIP_CELLS: usize = 8;

/// Most bytes of extensions in one message.
pub const GOSSIP_EXTRA: usize = 2048;

/// One message of the gossip, request or reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// The sender.
    pub from: Member,
    /// Time at the sender in the order of the fleet.
    pub stamp: Stamp,
    /// Highest accepted revision that the sender knows of.
    pub known: Revision,
    /// Number of members that the sender knows of.
    pub size: u32,
    /// News and a part of what the sender knows of members.
    pub members: Vec<Member>,
    /// Owners of cells.
    pub cells: Vec<CellClaim>,
    /// Items of other modules.
    pub extra: Vec<Extension>,
}

/// What is known of a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address for its peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: CentreName,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Counts what the member has told of itself.
    pub count: u32,
    /// Its state.
    pub state: MemberState,
    /// Revision that it has in force.
    pub revision: Revision,
}

/// State of a member.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers.
    #[display("live")]
    Live,
    /// It answers and is about to stop.
    #[display("leaving")]
    Leaving,
    /// It did not answer, and may still do so.
    #[display("suspect")]
    Suspect,
    /// It did not answer for long.
    #[display("dead")]
    Dead,
    /// It has stopped, as it said itself.
    #[display("left")]
    Left,
}

impl MemberState {
    /// Whether the member takes part no more.
    #[must_use]
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}

impl Member {
    /// Whether this tells more than `other` about the same instance.
    ///
    /// A later process goes first, then what the member said of itself later, then the worse
    /// state.
    #[must_use]
    pub fn is_newer(&self, other: &Self) -> bool {
        let order = |m: &Self| (m.incarnation, m.state.is_left(), m.count, m.state);
        order(self) > order(other)
    }
}

/// Who acts as owner of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CellClaim {
    /// The cell.
    pub cell: CellId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Counts what the owner has told of the cell in this epoch.
    pub count: u32,
    /// The owner.
    pub owner: InstanceName,
    /// Expected wait of a new request, in milliseconds.
    pub delay: u32,
}

/// Item of another module, carried from peer to peer without being passed on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Extension {
    /// The module.
    pub topic: ExtensionTopic,
    /// The item in the module's encoding.
    pub body: Bytes,
}

/// Module of an [`Extension`].
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExtensionTopic {
    /// Service counters of backlogged accounts.
    #[display("counters")]
    Counters,
    /// Fingerprints of suspect requests.
    #[display("suspects")]
    Suspects,
}

/// An instance of the platform's list or the settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Name of the instance, `None` if only its address is known.
    pub name: Option<InstanceName>,
    /// Address for its peers.
    pub address: SocketAddr,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub leaving: bool,
}
