//! Messages between an entry, which holds a caller's request, and the dispatcher of a cell.
//!
//! An entry offers a request and waits for the reply. A granted request runs at the named
//! endpoint, and the entry reports progress and, once, the outcome with the actual cost. Grants and
//! reports carry the ownership epoch, which tells a new owner the attempts of earlier ones.

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
    /// The cell that gets the offer.
    pub cell: CellId,
    /// The client account that is charged.
    pub account: AccountName,
    /// The instance that holds the caller's connection.
    pub entry: InstanceName,
    /// Scheduling class inside the account.
    pub class: Class,
    /// Expected cost as the caller states it, in the unit of the service's kind.
    pub hint: Option<u64>,
    /// Time that the request has already waited, at this or other cells.
    pub waited: Duration,
    /// Time left until the caller's deadline.
    pub left: Duration,
    /// Endpoints where earlier attempts of this request failed.
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
    /// Endpoint to run at.
    pub endpoint: EndpointName,
    /// Cost charged so far, in the unit of the service's kind. Actual cost above it is reported.
    pub charged: u64,
}

/// Why a dispatcher refuses an offer. In each case the request has not run.
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
    /// The entry withdrew the offer.
    #[display("cancelled by the caller")]
    Cancelled,
}

/// Progress or outcome of a granted attempt.
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
    /// The client account that is charged.
    pub account: AccountName,
    /// Cost so far, in the unit of the service's kind.
    pub cost: u64,
    /// Boot identity that the endpoint showed, if any answer came.
    pub boot: Option<BootId>,
    /// Time from sending to the first byte of the answer, if one came.
    pub first: Option<Duration>,
    /// Whether the attempt is running or has ended.
    pub phase: Phase,
}

/// Whether a granted attempt is running or has ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It is still running; the report corrects the charge.
    Running,
    /// It ended.
    Ended(Ending),
}

/// How an attempt ended at the endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The complete answer was received.
    Answered,
    /// No byte was written to the endpoint.
    NotSent,
    /// The caller disconnected, or the entry stopped the attempt.
    Cancelled,
    /// The endpoint answered that it is overloaded.
    Overloaded,
    /// The connection was reset or the stream ended early.
    Broken,
    /// First-byte or idle deadline passed.
    Silent,
    /// The endpoint answered with a server error.
    Failed,
}

/// An attempt that an entry is running, listed for a new owner of the cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it runs.
    pub endpoint: EndpointName,
    /// The client account that is charged.
    pub account: AccountName,
    /// Scheduling class inside the account.
    pub class: Class,
    /// Cost so far, in the unit of the service's kind.
    pub cost: u64,
}

/// List of all attempts of one cell that an entry is running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Census {
    /// The entry.
    pub entry: InstanceName,
    /// The cell.
    pub cell: CellId,
    /// Granted attempts that have not ended.
    pub running: Vec<Running>,
}

/// State of a cell that its owner passes to the next one on a planned stop.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The cell.
    pub cell: CellId,
    /// Epoch of the owner that hands over.
    pub epoch: Epoch,
    /// Service counters of the accounts, as charged cost over share.
    pub counters: Vec<Counter>,
    /// Granted attempts that have not ended, by entry.
    pub running: Vec<Census>,
    /// What is known of each endpoint.
    pub endpoints: Vec<EndpointState>,
    /// Entries that have not yet reported what they run for an earlier owner.
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

/// State of one endpoint as its dispatcher knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointState {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Boot identity last seen.
    pub boot: Option<BootId>,
    /// Answers since that boot.
    pub answers: u32,
    /// Requests that may run there although no entry tracks them.
    pub unseen: u32,
}

/// Reply to an offer.
pub type Reply = Result<Grant, Refusal>;

type OfferCall = dyn Fn(Offer) -> BoxFuture<'static, Reply> + Send + Sync;
type ReportCall = dyn Fn(Report) + Send + Sync;
type PickCall = dyn Fn(&ServiceName) -> Option<CellId> + Send + Sync;

/// Interface of an entry to the dispatchers of all cells, local or remote.
///
/// An offer is retried across changes of owner until it is granted or refused, or cancelled by
/// dropping the future.
#[derive(Clone)]
pub struct Dispatch {
    /// Offers a request and waits for the reply.
    pub offer: Arc<OfferCall>,
    /// Sends progress or outcome of a granted attempt. Outcomes are repeated until received.
    pub report: Arc<ReportCall>,
    /// Picks the cell of a service for a new request; `None` if the service has no cell.
    pub pick: Arc<PickCall>,
}
