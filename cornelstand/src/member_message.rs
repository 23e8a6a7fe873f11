//! Inputs and outputs of the membership.

use std::net::SocketAddr;

use crate::gossip::{CellClaim, Extension, Gossip, Member, Seed};
use crate::name::{CellId, Epoch, Incarnation, InstanceName, Revision};
use crate::timeline::Stamp;

/// Input of the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberInput {
    /// Timer tick, once per period.
    Tick {
        /// Stamp for the messages.
        stamp: Stamp,
    },
    /// A peer started an exchange; answered by [`MemberOutput::Reply`].
    Received {
        /// The peer's message.
        gossip: Box<Gossip>,
        /// Stamp for the reply.
        stamp: Stamp,
    },
    /// A peer replied in an exchange.
    Answered(Box<Gossip>),
    /// A peer did not reply.
    NoReply(SocketAddr),
    /// The platform's instance list, or the addresses in the settings.
    Seeds {
        /// The instances.
        seeds: Vec<Seed>,
        /// Whether the list is the platform's, where a long absence proves an end.
        is_complete: bool,
    },
    /// This instance claims a cell.
    Claim {
        /// The cell.
        cell: CellId,
        /// Its epoch.
        epoch: Epoch,
        /// Expected wait of a new request, in milliseconds.
        delay: u32,
    },
    /// This instance has a revision in force.
    InForce(Revision),
    /// A revision was accepted.
    Known(Revision),
    /// Items of another module for the next messages, replacing earlier ones.
    Extend(Vec<Extension>),
    /// This instance is about to stop.
    Leave,
    /// This instance has stopped all work and ends after the next exchanges.
    Left,
}

/// Output of the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberOutput {
    /// Send a message and return the reply, if any.
    Exchange {
        /// The peer.
        address: SocketAddr,
        /// The message.
        gossip: Box<Gossip>,
    },
    /// Reply to the exchange that a peer started.
    Reply(Box<Gossip>),
    /// A member has changed its state or process.
    Changed(Member),
    /// A member's record changed otherwise, such as its revision in force.
    Updated(Member),
    /// A cell has another owner, epoch or delay.
    Cell(CellClaim),
    /// A peer knows of a higher revision than this instance did.
    Revision {
        /// The revision.
        revision: Revision,
        /// The peer.
        peer: InstanceName,
    },
    /// Items of other modules from a peer.
    Extra {
        /// The peer.
        from: InstanceName,
        /// The items.
        items: Vec<Extension>,
    },
    /// Another process has this instance's name and a later start.
    Displaced(Incarnation),
}
