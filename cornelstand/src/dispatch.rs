//! Messages between an entry, which holds a caller's request, and the dispatcher of a cell.
//!
//! An entry offers a request and waits for the reply. A granted request runs at the named
//! endpoint, and the entry reports progress and, once, the outcome with the real cost. All
//! messages name the epoch of the cell's ownership; a lower one is refused as stale.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, IsVariant};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::config::Class;
use crate::name::{
    AccountName, AttemptId, BootId, CellId, EndpointName, Epoch, InstanceName, ServiceName,
};

/// A request that asks for an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// The attempt.
    pub attempt: AttemptId,
    /// The cell that is asked.
    pub cell: CellId,
    /// The client account that pays.
    pub account: AccountName,
    /// The instance that holds the caller's connection.
    pub entry: InstanceName,
    /// Order inside the account.
    pub class: Class,
    /// Expected cost as the caller states it, in the unit of the service's kind.
    pub hint: Option<u64>,
    /// Time that the request has waited already, at this or other cells.
    pub waited: Duration,
    /// Time left until the caller's deadline.
    pub left: Duration,
    /// Endpoints that earlier attempts of this request failed at.
    pub avoid: Vec<EndpointName>,
    /// Hash of the prompt's prefix, if the service has a prefix cache.
    pub prefix: Option<u64>,
}

/// Permission to run one attempt at one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The attempt.
    pub attempt: AttemptId,
    /// The cell.
    pub cell: CellId,
    /// Epoch of the cell's owner.
    pub epoch: Epoch,
    /// Where to run.
    pub endpoint: EndpointName,
    /// Cost charged so far, in the unit of the service's kind. Real cost above it is reported.
    pub charged: u64,
}

/// Why a dispatcher does not grant an offer. None of these runs anything.
#[derive(Clone, Debug, Deserialize, Display, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The instance does not own the cell; the owner it knows of, if any.
    #[display("the cell is owned elsewhere")]
    NotOwner(Option<InstanceName>),
    /// The account's queue is full.
    #[display("the account's queue is full")]
    QueueFull {
        /// Expected time until there is room.
        retry: Duration,
    },
    /// The deadline passed, or cannot be met.
    #[display("the deadline passed while waiting")]
    Deadline,
    /// No endpoint of the cell takes new work.
    #[display("no endpoint takes new work")]
    NoEndpoint {
        /// Time after which to ask again.
        retry: Duration,
    },
    /// The account is not in the dispatcher's configuration.
    #[display("unknown account")]
    UnknownAccount,
    /// The entry took the offer back.
    #[display("cancelled by the caller")]
    Cancelled,
}

/// What an entry tells about a granted attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The attempt.
    pub attempt: AttemptId,
    /// The cell.
    pub cell: CellId,
    /// Epoch of the grant.
    pub epoch: Epoch,
    /// Where it runs or ran.
    pub endpoint: EndpointName,
    /// The client account that pays.
    pub account: AccountName,
    /// Cost so far, in the unit of the service's kind.
    pub cost: u64,
    /// Boot identity that the endpoint showed, if any answer came.
    pub boot: Option<BootId>,
    /// Time from sending to the first byte of the answer, if one came.
    pub first: Option<Duration>,
    /// How far the attempt is.
    pub phase: Phase,
}

/// How far a granted attempt is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It still runs; the report corrects the charge.
    Running,
    /// It ended.
    Ended(Ending),
}

/// How an attempt ended at the endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The whole answer came.
    Answered,
    /// No byte was written to the endpoint.
    NotSent,
    /// The caller went away and the endpoint was told to cancel.
    Cancelled,
    /// The endpoint answered that it is overloaded.
    Overloaded,
    /// The connection was reset or the stream was cut.
    Broken,
    /// First-byte or idle deadline passed.
    Silent,
    /// The endpoint answered with a server error.
    Failed,
}

/// What an entry still runs of a cell, for a new owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it runs.
    pub endpoint: EndpointName,
    /// The client account that pays.
    pub account: AccountName,
    /// Order inside the account.
    pub class: Class,
    /// Cost so far, in the unit of the service's kind.
    pub cost: u64,
}

/// An entry's account of all it runs of one cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Census {
    /// The entry.
    pub entry: InstanceName,
    /// The cell.
    pub cell: CellId,
    /// Everything granted and not ended.
    pub running: Vec<Running>,
}

/// What is left of a cell for its next owner after a planned stop.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The cell.
    pub cell: CellId,
    /// Epoch of the owner that hands over.
    pub epoch: Epoch,
    /// Service counters of the accounts, in charged cost over share.
    pub counters: Vec<Counter>,
    /// Everything granted and not ended, with its entry.
    pub running: Vec<Census>,
    /// What is known of each endpoint.
    pub endpoints: Vec<EndpointState>,
    /// Entries that have still to report what they run for an earlier owner.
    pub unreported: Vec<InstanceName>,
}

/// Service counter of one account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counter {
    /// The account.
    pub account: AccountName,
    /// Cost over share, in fixed-point units of the fairness queue.
    pub service: u64,
    /// Average cost of the account's calls, in the unit of the service's kind.
    pub average: u64,
}

/// What a dispatcher has learned of one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointState {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Boot identity last seen.
    pub boot: Option<BootId>,
    /// Answers since that boot.
    pub answers: u32,
    /// Requests that may run there though no entry follows them.
    pub unseen: u32,
}

/// Reply to an offer.
pub type Reply = Result<Grant, Refusal>;

type OfferCall = dyn Fn(Offer) -> BoxFuture<'static, Reply> + Send + Sync;
type ReportCall = dyn Fn(Report) + Send + Sync;
type PickCall = dyn Fn(&ServiceName) -> Option<CellId> + Send + Sync;

/// The entry's way to the dispatchers of all cells, wherever they are.
///
/// Offers follow a cell through changes of owner until they are granted, refused or cancelled by
/// dropping the future.
#[derive(Clone)]
pub struct Dispatch {
    /// Offers a request and waits for the reply.
    pub offer: Arc<OfferCall>,
    /// Tells the dispatcher how a granted attempt goes. Outcomes are repeated until received.
    pub report: Arc<ReportCall>,
    /// Picks the cell of a service for a new request; `None` if the service has no cell.
    pub pick: Arc<PickCall>,
}
