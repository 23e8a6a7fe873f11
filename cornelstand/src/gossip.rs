//! Gossip messages between instances.
//!
//! Every list in a message is bounded, so the traffic of an instance does not grow with the
//! fleet. Entries that do not fit go into a later message.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};

use crate::name::{CellId, CentreName, Epoch, Incarnation, InstanceName, Revision};
use crate::timeline::Stamp;

/// Maximum members per message.
pub const GOSSIP_MEMBERS: usize = 36;

/// Maximum cells per message.
pub const GOSSIP_CELLS: usize = 8;

/// Maximum bytes of extensions per message.
pub const GOSSIP_EXTRA: usize = 2048;

/// A gossip message, request or reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// The sender.
    pub from: Member,
    /// Hybrid logical time at the sender.
    pub stamp: Stamp,
    /// Highest accepted revision that the sender knows of.
    pub known: Revision,
    /// Number of members that the sender knows of.
    pub size: u32,
    /// Recent changes and a slice of the member table.
    pub members: Vec<Member>,
    /// Owners of cells.
    pub cells: Vec<CellClaim>,
    /// Items of other modules.
    pub extra: Vec<Extension>,
}

/// Membership record.
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
    /// Version, raised by the member itself.
    pub count: u32,
    /// Its state.
    pub state: MemberState,
    /// Revision in force there.
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
    /// It missed replies and may still refute.
    #[display("suspect")]
    Suspect,
    /// It did not refute in time.
    #[display("dead")]
    Dead,
    /// It has stopped and announced it.
    #[display("left")]
    Left,
}

impl MemberState {
    /// Whether the member is dead or left.
    #[must_use]
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}

impl Member {
    /// Whether this supersedes `other` for the same instance.
    ///
    /// Orders by incarnation, then `Left`, then the member's own count, then the worse state.
    #[must_use]
    pub fn is_newer(&self, other: &Self) -> bool {
        let order = |m: &Self| (m.incarnation, m.state.is_left(), m.count, m.state);
        order(self) > order(other)
    }
}

/// Claimed owner of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CellClaim {
    /// The cell.
    pub cell: CellId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Version of the claim within the epoch.
    pub count: u32,
    /// The owner.
    pub owner: InstanceName,
    /// Expected wait of a new request, in milliseconds.
    pub delay: u32,
}

/// Item of another module, sent to direct peers and not forwarded.
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

/// A peer from the platform's list or the settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Name of the instance, `None` if only its address is known.
    pub name: Option<InstanceName>,
    /// Address for its peers.
    pub address: SocketAddr,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}
