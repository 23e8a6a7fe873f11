//! Ownership of a cell: the lease object and the messages about it.
//!
//! Each endpoint's limit is divided into two halves, `kept` and `spare`. The lease object names
//! one holder for each half. A half moves to another holder only by a conditional update, either
//! with the consent of its present holder or after proof that the holder's process has ended. The
//! owner normally holds `kept`; another instance, the heir, holds `spare` and lends it to the owner
//! for a few seconds at a time. Serving thus continues without the store, and two instances that
//! both act as owner use different halves. `docs/design/leases.md` gives the argument.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};

use crate::moment::Moment;
use crate::name::{CellId, Epoch, Incarnation, InstanceName};
use crate::store::{Condition, Version};

/// Share of every endpoint's limit that an owner may use.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// The whole limit.
    Full,
    /// Half of the limit, rounded up.
    Kept,
    /// Half of the limit, rounded down.
    Provisional,
}

impl Part {
    /// Returns this part of `limit`.
    #[must_use]
    pub fn of(self, limit: u32) -> u32 {
        match self {
            Self::Full => limit,
            Self::Kept => limit.div_ceil(2),
            Self::Provisional => limit / 2,
        }
    }

    /// Combines the halves that may be used.
    #[must_use]
    pub fn from_halves(kept: bool, spare: bool) -> Option<Self> {
        match (kept, spare) {
            (true, true) => Some(Self::Full),
            (true, false) => Some(Self::Kept),
            (false, true) => Some(Self::Provisional),
            (false, false) => None,
        }
    }
}

/// One process of an instance.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
#[display("{name}")]
pub struct Holder {
    /// Name of the instance.
    pub name: InstanceName,
    /// Start time of the process.
    pub incarnation: Incarnation,
    /// Address that peers connect to.
    pub address: SocketAddr,
}

/// Stored value of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The cell.
    pub cell: CellId,
    /// Epoch of the owner, always even. The heir acts under the next odd number.
    pub epoch: Epoch,
    /// The owner.
    pub owner: Holder,
    /// Holder of the half that is rounded up.
    pub kept: Holder,
    /// Holder of the half that is rounded down: the heir, or the owner if there is none.
    pub spare: Holder,
    /// Number of renewals; makes every written value distinct.
    pub renewals: u64,
}

impl Lease {
    /// Returns whether `holder` holds either half.
    #[must_use]
    pub fn is_holder(&self, holder: &Holder) -> bool {
        self.kept == *holder || self.spare == *holder
    }

    /// Object name of the lease of `cell`.
    #[must_use]
    pub fn name(cell: &CellId) -> String {
        format!("{}~{}", cell.service, cell.index)
    }
}

/// Durations of a lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseTiming {
    /// Time without a renewal after which another instance may take the lease.
    pub length: Duration,
    /// Interval of renewals, and of reads by other instances that watch the lease.
    pub renew: Duration,
    /// Duration of a loan of a half.
    pub loan: Duration,
    /// Interval of loan requests.
    pub borrow: Duration,
    /// Added to waits on another instance's clock.
    pub margin: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(10),
            renew: Duration::from_secs(3),
            loan: Duration::from_secs(4),
            borrow: Duration::from_secs(1),
            margin: Duration::from_secs(1),
        }
    }
}

/// Rights of an instance as acting owner of a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tenure {
    /// Epoch for all messages about the cell.
    pub epoch: Epoch,
    /// Part of the limits until `until`.
    pub part: Part,
    /// End of `part` on the local monotonic clock, checked at each grant.
    pub until: Moment,
    /// Part of the limits from `until` on, if any.
    pub after: Option<Part>,
}

impl Tenure {
    /// Part usable at `now`.
    #[must_use]
    pub fn part_at(&self, now: Moment) -> Option<Part> {
        if now < self.until {
            Some(self.part)
        } else {
            self.after
        }
    }
}

/// Request of an acting owner to borrow the receiver's half.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Borrow {
    /// The cell.
    pub cell: CellId,
    /// The acting owner.
    pub from: Holder,
    /// Its epoch.
    pub epoch: Epoch,
    /// The lease as the sender knows it, which saves the holder a read.
    pub lease: Lease,
    /// Version of `lease`.
    pub version: Version,
    /// Requested duration.
    pub span: Duration,
    /// Sequence number of the request.
    pub number: u64,
}

/// Reply to a [`Borrow`].
#[derive(Clone, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BorrowReply {
    /// The half is lent for the requested time, counted from when the request was sent.
    Lent {
        /// Version of the lease in whose update the borrower may make itself the holder.
        free: Option<Version>,
    },
    /// The half is not lent.
    Refused {
        /// Highest epoch known to the holder.
        epoch: Epoch,
        /// Owner of that epoch.
        owner: InstanceName,
    },
}

/// Notice of a former owner that it has stopped and returns its loans.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Yield {
    /// The cell.
    pub cell: CellId,
    /// The former owner.
    pub from: Holder,
    /// Its last epoch.
    pub epoch: Epoch,
    /// Number of its last [`Borrow`].
    pub number: u64,
}

/// Membership information about the candidates of a cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseView {
    /// Live members eligible to own the cell, best first.
    pub ranked: Vec<Holder>,
    /// Holders of the lease that the membership considers dead or left.
    pub unreachable: Vec<Holder>,
    /// Holders of the lease whose processes are known to have ended.
    pub ended: Vec<Holder>,
}

/// Input of the lease state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseInput {
    /// Periodic tick, a few times a second.
    Tick,
    /// The write took effect.
    Stored(Version),
    /// The write's condition failed; nothing was written.
    Conflict,
    /// The write was rejected or the read failed; nothing was written.
    Unreachable,
    /// No response; a write may have taken effect or may do so later.
    Unknown,
    /// Result of a read.
    Read(Option<(Version, Lease)>),
    /// The membership changed.
    View(LeaseView),
    /// An instance acts as owner with this epoch.
    Claim {
        /// Its epoch.
        epoch: Epoch,
        /// The acting owner.
        owner: InstanceName,
    },
    /// A holder's reply to a [`Borrow`] that was sent at `sent`.
    Reply {
        /// The holder.
        from: Holder,
        /// Time of the effect that sent the request.
        sent: Moment,
        /// The reply.
        reply: BorrowReply,
    },
    /// The instance is stopping, or its data centre was taken out.
    Drain,
    /// The transfer requested by [`LeaseEffect::HandOver`] has completed or failed.
    HandedOver,
    /// The former owner has transferred the cell's state here and stopped.
    TakeOver(Yield),
}

/// Effect that the caller of the lease state machine carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseEffect {
    /// Read the lease object.
    Read,
    /// Write the lease object.
    Write {
        /// Condition of the write.
        condition: Condition,
        /// The new value.
        lease: Box<Lease>,
    },
    /// Request a holder's half.
    Borrow {
        /// The holder.
        to: Holder,
        /// The request.
        borrow: Box<Borrow>,
        /// Time to pass back with the reply.
        sent: Moment,
    },
    /// The instance acts as owner from now on.
    Gained(Tenure),
    /// The tenure has changed.
    Renewed(Tenure),
    /// The instance no longer acts as owner.
    Lost,
    /// Transfer the cell's state to `to`; answered by [`LeaseInput::HandedOver`].
    HandOver {
        /// The next owner.
        to: Holder,
    },
    /// Notify the next owner that this instance has stopped.
    Yield {
        /// The next owner.
        to: Holder,
        /// The message.
        notice: Yield,
    },
}
