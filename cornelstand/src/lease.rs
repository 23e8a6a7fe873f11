//! Ownership of a cell: the lease object and the messages about it.
//!
//! Each endpoint's limit is divided into two halves, `kept` and `spare`. The lease object names
//! one holder for each half, and a half moves to another holder only by a conditional update that
//! its present holder agreed to or that follows proof that its process has ended. The owner
//! normally holds `kept`, another instance, the heir, holds `spare` and lends it to the owner for a
//! few seconds at a time. So nobody needs the store to keep serving, and two instances that both
//! act as the owner use different halves. `docs/design/leases.md` gives the argument.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};

use crate::moment::Moment;
use crate::name::{CellId, Epoch, Incarnation, InstanceName};
use crate::store::{Condition, Version};

/// Part of every endpoint's limit that an owner may use.
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
    /// The part of `limit`.
    #[must_use]
    pub fn of(self, limit: u32) -> u32 {
        match self {
            Self::Full => limit,
            Self::Kept => limit.div_ceil(2),
            Self::Provisional => limit / 2,
        }
    }

    /// The part that consists of the given halves.
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
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Address of the process for its peers.
    pub address: SocketAddr,
}

/// Value of a lease object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The cell.
    pub cell: CellId,
    /// Epoch of the owner, an even number. The heir acts with the next odd one.
    pub epoch: Epoch,
    /// The owner.
    pub owner: Holder,
    /// Who may use the half that is rounded up.
    pub kept: Holder,
    /// Who may use the half that is rounded down: the heir, or the owner if there is none.
    pub spare: Holder,
    /// Counts the owner's renewals, so that every write differs.
    pub renewals: u64,
}

impl Lease {
    /// Tells whether `holder` is named for any half.
    #[must_use]
    pub fn is_holder(&self, holder: &Holder) -> bool {
        self.kept == *holder || self.spare == *holder
    }

    /// Name of the lease object of `cell`.
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
    /// Time between renewals, and between reads of others that watch the lease.
    pub renew: Duration,
    /// Time for which a holder lends its half.
    pub loan: Duration,
    /// Time between requests for a loan.
    pub borrow: Duration,
    /// Added by whoever waits for another's clock.
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

/// What an instance may do as acting owner of a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tenure {
    /// Epoch for all messages about the cell.
    pub epoch: Epoch,
    /// Part of the limits until `until`.
    pub part: Part,
    /// End of `part` on the own monotonic clock, to be checked at each grant.
    pub until: Moment,
    /// Part of the limits afterwards, `None` for nothing.
    pub after: Option<Part>,
}

impl Tenure {
    /// The part at `now`.
    #[must_use]
    pub fn part_at(&self, now: Moment) -> Option<Part> {
        if now < self.until {
            Some(self.part)
        } else {
            self.after
        }
    }
}

/// Request of an acting owner to use the receiver's half for a while.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Borrow {
    /// The cell.
    pub cell: CellId,
    /// The acting owner.
    pub from: Holder,
    /// Its epoch.
    pub epoch: Epoch,
    /// The lease as the asker knows it, so that the holder needs not read it.
    pub lease: Lease,
    /// Version of `lease`.
    pub version: Version,
    /// Time for which it asks.
    pub span: Duration,
    /// Counts the asker's requests.
    pub number: u64,
}

/// Reply to a [`Borrow`].
#[derive(Clone, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BorrowReply {
    /// The half is lent for the time asked, counted from when the request was sent.
    Lent {
        /// Version of the lease object in whose update the asker may name itself as holder.
        free: Option<Version>,
    },
    /// The half is not lent.
    Refused {
        /// Highest epoch that the holder knows.
        epoch: Epoch,
        /// Who acts with it.
        owner: InstanceName,
    },
}

/// Word of a former owner that it has stopped and returns what it borrowed.
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

/// What the membership tells about the candidates of a cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseView {
    /// Live members that may own the cell, best first.
    pub ranked: Vec<Holder>,
    /// Processes among the lease's holders that the membership has lost.
    pub lost: Vec<Holder>,
    /// Processes among the lease's holders that have certainly ended.
    pub gone: Vec<Holder>,
}

/// Input of the lease machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseInput {
    /// Time passed. Expected a few times a second.
    Tick,
    /// The write took effect.
    Stored(Version),
    /// The write's condition does not hold; nothing was written.
    Conflict,
    /// The write was not taken, or the read failed; nothing was written.
    Unreachable,
    /// No answer; a write may have taken effect or may do so later.
    Unknown,
    /// Result of a read.
    Read(Option<(Version, Lease)>),
    /// The membership has changed.
    View(LeaseView),
    /// Someone acts for the cell with this epoch.
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
        /// Moment given with the effect that sent the request.
        sent: Moment,
        /// The reply.
        reply: BorrowReply,
    },
    /// The instance is about to stop, or its data centre was taken out.
    Drain,
    /// The cell's state has moved to the instance named in [`LeaseEffect::HandOver`], or cannot.
    HandedOver,
    /// The former owner has moved the cell's state here and stopped.
    TakeOver(Yield),
}

/// Effect that the shell around the lease machine carries out.
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
    /// Ask a holder for its half.
    Borrow {
        /// The holder.
        to: Holder,
        /// The request.
        borrow: Box<Borrow>,
        /// Moment to return with the reply.
        sent: Moment,
    },
    /// The instance acts as owner from now on.
    Gained(Tenure),
    /// The tenure has changed.
    Renewed(Tenure),
    /// The instance has stopped to act as owner.
    Lost,
    /// The cell's state is to be moved to this instance; answered by [`LeaseInput::HandedOver`].
    HandOver {
        /// The next owner.
        to: Holder,
    },
    /// Tell the next owner that this instance has stopped.
    Yield {
        /// The next owner.
        to: Holder,
        /// The message.
        word: Yield,
    },
}
