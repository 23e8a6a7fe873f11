//! Actor that runs the lease state machines of all configured cells.
//!
//! It feeds each machine ticks, membership changes and the results of its calls, and notifies the
//! dispatchers of changes in their tenure. A lease view is recomputed only when a member, the
//! lease or the configuration has changed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::config::Config;
use crate::keeper::LeaseMachine;
use crate::lease::{
    Borrow, BorrowReply, Holder, Lease, LeaseEffect, LeaseInput, LeaseTiming, Tenure, Yield,
};
use crate::member::Members;
use crate::membership::{ClaimCell, Membership};
use crate::moment::{Clock, Moment};
use crate::name::{CellId, Epoch, Revision};
use crate::store::{Condition, ObjectKind, Store, StoreError};
use crate::timeline::{Timeline, Topic};

/// Capacity of the actor's mailbox.
const MAILBOX_CAPACITY: usize = 1024;

/// Interval of the machines' ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Ticks between updates of a cell in which this instance has no part.
const IDLE_TICKS: u32 = 8;

/// First candidates of a cell, which update it at every tick.
const CANDIDATES: usize = 3;

/// Interval at which ownership of a cell is announced to the peers.
const CLAIM_INTERVAL: Duration = Duration::from_secs(2);

type BorrowCall = dyn Fn(Holder, Borrow) -> BoxFuture<'static, Option<BorrowReply>> + Send + Sync;
type YieldCall = dyn Fn(Holder, Yield) -> BoxFuture<'static, ()> + Send + Sync;
type TellCall = dyn Fn(CellId, CellChange) + Send + Sync;
type DelayCall = dyn Fn(&CellId) -> u32 + Send + Sync;

/// Ownership change for the dispatcher of a cell. After `HandOver` it transfers the state and
/// sends [`HandOverDone`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CellChange {
    /// This instance acts as owner from now on.
    Gained(Tenure),
    /// The tenure has changed.
    Renewed(Tenure),
    /// This instance no longer acts as owner.
    Lost,
    /// The queue and counters are to be transferred to this instance.
    HandOver(Holder),
}

impl CellChange {
    /// Short name for logs, `None` if the owner stays the same.
    #[must_use]
    pub fn name(&self) -> Option<&'static str> {
        match self {
            Self::Gained(_) => Some("gained"),
            Self::Renewed(_) => None,
            Self::Lost => Some("lost"),
            Self::HandOver(_) => Some("hands over"),
        }
    }
}

/// Dependencies of the [`LeaseActor`].
#[derive(Clone)]
pub struct LeaseActorParts {
    /// The store.
    pub store: Store,
    /// Requests a holder's half; `None` if it does not answer.
    pub borrow: Arc<BorrowCall>,
    /// Notifies the next owner that this instance has stopped.
    pub notify_successor: Arc<YieldCall>,
    /// Notifies the cell's dispatcher.
    pub notify_dispatcher: Arc<TellCall>,
    /// Expected queueing delay of a new request at an owned cell, in milliseconds.
    pub delay: Arc<DelayCall>,
    /// The membership.
    pub members: watch::Receiver<Arc<Members>>,
    /// Receives claims.
    pub fleet: Address<Membership>,
    /// The active configuration.
    pub config: watch::Receiver<Arc<Config>>,
    /// Clock of the process.
    pub clock: Clock,
    /// Records changes of owners.
    pub timeline: Timeline,
}

/// Answers an acting owner's request for this instance's half; `None` for an unknown cell.
#[derive(Debug)]
pub struct LendHalf(pub Borrow);

/// Handles the notice of a former owner.
#[derive(Debug)]
pub struct TakeOverNotice(pub Yield);

/// Reports that the transfer requested by [`CellChange::HandOver`] has completed or failed.
#[derive(Debug)]
pub struct HandOverDone(pub CellId);

/// Hands over all cells because the instance is stopping.
#[derive(Debug)]
pub struct DrainCells;

/// Lists the cells that this instance acts for.
#[derive(Debug)]
pub struct ListCells;

/// Stops the actor.
#[derive(Debug)]
pub struct StopLeaseActor;

struct Tick;

struct CallDone(CellId, LeaseInput);

/// The leases of this instance.
pub struct LeaseActor {
    me: Holder,
    timing: LeaseTiming,
    parts: LeaseActorParts,
    leases: BTreeMap<CellId, CellLease>,
    revision: Revision,
    is_draining: bool,
    ticks: u32,
    address: Option<WeakAddress<Self>>,
}

struct CellLease {
    machine: LeaseMachine,
    /// Membership generation and lease of the machine's last view.
    last_view: Option<(u64, Option<Lease>)>,
    last_claim: Option<(Epoch, u32)>,
    /// Whether this instance is among the first candidates.
    is_candidate: bool,
    claimed_at: Option<Moment>,
}

impl CellLease {
    /// Whether `me` owns the cell, holds one of its halves or is among its first candidates.
    fn has_part(&self, me: &Holder) -> bool {
        let is_holder = self.machine.lease().is_some_and(|l| l.is_holder(me));
        self.is_candidate || is_holder || self.machine.tenure().is_some()
    }
}

impl LeaseActor {
    /// Starts the actor on the current runtime. It stops when the last address is dropped.
    #[must_use]
    pub fn spawn(me: Holder, timing: LeaseTiming, parts: LeaseActorParts) -> Address<Self> {
        let steward = Self {
            me,
            timing,
            parts,
            leases: BTreeMap::new(),
            revision: Revision::default(),
            is_draining: false,
            ticks: 0,
            address: None,
        };
        let address = xtra::spawn_tokio(steward, Mailbox::bounded(MAILBOX_CAPACITY));
        tokio::spawn(tick(address.downgrade()));
        address
    }

    /// Adds machines for new cells and drops those of cells that are no longer configured.
    fn configure(&mut self, config: &Config) {
        if config.revision == self.revision {
            return;
        }
        self.revision = config.revision;
        let cells: Vec<CellId> = config.cells().collect();
        let gone = self.leases.extract_if(.., |cell, _| !cells.contains(cell));
        for (cell, cell_lease) in gone {
            if cell_lease.machine.tenure().is_some() {
                (self.parts.notify_dispatcher)(cell, CellChange::Lost);
            }
        }
        for cell in cells {
            let machine = || LeaseMachine::new(self.me.clone(), cell.clone(), self.timing);
            let cell_lease = self
                .leases
                .entry(cell.clone())
                .or_insert_with(|| CellLease {
                    machine: machine(),
                    last_view: None,
                    last_claim: None,
                    is_candidate: true,
                    claimed_at: None,
                });
            cell_lease.last_view = None;
        }
    }

    fn tick(&mut self) {
        let config = self.parts.config.borrow().clone();
        self.configure(&config);
        let members = self.parts.members.borrow().clone();
        self.ticks = self.ticks.wrapping_add(1);
        let is_full = self.ticks.is_multiple_of(IDLE_TICKS);
        let watched = self.leases.iter();
        let watched = watched.filter(|(_, cell_lease)| is_full || cell_lease.has_part(&self.me));
        let cells: Vec<CellId> = watched.map(|(cell, _)| cell.clone()).collect();
        for cell in cells {
            self.update_membership(&cell, &members, &config);
            self.claim(&cell);
            self.input(&cell, LeaseInput::Tick);
        }
    }

    /// Passes membership changes to a machine.
    fn update_membership(&mut self, cell: &CellId, members: &Members, config: &Config) {
        let Some(cell_lease) = self.leases.get_mut(cell) else {
            return;
        };
        let lease = cell_lease.machine.lease();
        let is_current = cell_lease
            .last_view
            .as_ref()
            .is_some_and(|(g, l)| *g == members.generation() && l.as_ref() == lease);
        let mut inputs = Vec::new();
        if !is_current {
            let view = members.lease_view(cell, config, lease);
            let mut first = view.ranked.iter().take(CANDIDATES);
            cell_lease.is_candidate = first.any(|h| *h == self.me);
            cell_lease.last_view = Some((members.generation(), lease.cloned()));
            inputs.push(LeaseInput::View(view));
        }
        let claim = members.owner(cell).filter(|c| c.owner != self.me.name);
        if let Some(claim) = claim.filter(|c| cell_lease.last_claim != Some((c.epoch, c.count))) {
            cell_lease.last_claim = Some((claim.epoch, claim.count));
            inputs.push(LeaseInput::Claim {
                epoch: claim.epoch,
                owner: claim.owner.clone(),
            });
        }
        if self.is_draining {
            inputs.push(LeaseInput::Drain);
        }
        for input in inputs {
            self.input(cell, input);
        }
    }

    /// Announces ownership of a cell at its interval.
    fn claim(&mut self, cell: &CellId) {
        let now = self.parts.clock.now();
        let Some(cell_lease) = self.leases.get_mut(cell) else {
            return;
        };
        let Some(tenure) = cell_lease.machine.tenure() else {
            cell_lease.claimed_at = None;
            return;
        };
        if cell_lease
            .claimed_at
            .is_some_and(|c| now < c.after(CLAIM_INTERVAL))
        {
            return;
        }
        cell_lease.claimed_at = Some(now);
        let claim = ClaimCell {
            cell: cell.clone(),
            epoch: tenure.epoch,
            delay: (self.parts.delay)(cell),
        };
        let fleet = self.parts.fleet.clone();
        tokio::spawn(async move { fleet.send(claim).await });
    }

    fn input(&mut self, cell: &CellId, input: LeaseInput) {
        let mut out = Vec::new();
        if let Some(cell_lease) = self.leases.get_mut(cell) {
            cell_lease
                .machine
                .handle(self.parts.clock.now(), input, &mut out);
        }
        self.carry_out(cell, out);
    }

    fn carry_out(&mut self, cell: &CellId, out: Vec<LeaseEffect>) {
        for effect in out {
            match effect {
                LeaseEffect::Gained(tenure) => {
                    if let Some(cell_lease) = self.leases.get_mut(cell) {
                        cell_lease.claimed_at = None;
                    }
                    self.change(cell, "gained", CellChange::Gained(tenure));
                    self.claim(cell);
                }
                LeaseEffect::Renewed(tenure) => {
                    (self.parts.notify_dispatcher)(cell.clone(), CellChange::Renewed(tenure));
                }
                LeaseEffect::Lost => self.change(cell, "lost", CellChange::Lost),
                LeaseEffect::HandOver { to } => {
                    self.change(cell, "hands over", CellChange::HandOver(to));
                }
                LeaseEffect::Read => self.run(cell, read(self.parts.store.clone(), cell.clone())),
                LeaseEffect::Write { condition, lease } => {
                    self.run(cell, write(self.parts.store.clone(), condition, *lease));
                }
                LeaseEffect::Borrow { to, borrow, sent } => {
                    let asked = (self.parts.borrow)(to.clone(), *borrow);
                    self.run(cell, async move {
                        let reply = asked.await?;
                        Some(LeaseInput::Reply {
                            from: to,
                            sent,
                            reply,
                        })
                    });
                }
                LeaseEffect::Yield { to, notice } => {
                    tokio::spawn((self.parts.notify_successor)(to, notice));
                }
            }
        }
    }

    fn change(&self, cell: &CellId, what: &str, change: CellChange) {
        let subject = cell.to_string();
        self.parts
            .timeline
            .record(Topic::Cell, what, &subject, None);
        (self.parts.notify_dispatcher)(cell.clone(), change);
    }

    /// Runs a call and passes its result to the machine.
    fn run(&self, cell: &CellId, work: impl Future<Output = Option<LeaseInput>> + Send + 'static) {
        let Some(steward) = self.address.as_ref().and_then(WeakAddress::try_upgrade) else {
            return;
        };
        let cell = cell.clone();
        tokio::spawn(async move {
            if let Some(input) = work.await {
                let _ = steward.send(CallDone(cell, input)).await;
            }
        });
    }
}

async fn read(store: Store, cell: CellId) -> Option<LeaseInput> {
    let object = store.get(ObjectKind::Lease, &Lease::name(&cell)).await;
    Some(match object {
        Ok(None) => LeaseInput::Read(None),
        Ok(Some(object)) => {
            let text = object.value.unwrap_or_default();
            match serde_json::from_str(&text) {
                Ok(lease) => LeaseInput::Read(Some((object.version, lease))),
                Err(error) => {
                    tracing::error!(%cell, %error, "cannot parse lease object");
                    LeaseInput::Unreachable
                }
            }
        }
        Err(_) => LeaseInput::Unreachable,
    })
}

async fn write(store: Store, condition: Condition, lease: Lease) -> Option<LeaseInput> {
    let name = Lease::name(&lease.cell);
    let text = serde_json::to_string(&lease).ok()?;
    let result = store.put(ObjectKind::Lease, &name, condition, text).await;
    Some(match result {
        Ok(version) => LeaseInput::Stored(version),
        Err(StoreError::Conflict { .. }) => LeaseInput::Conflict,
        Err(StoreError::Unknown { .. } | StoreError::Malformed { .. }) => LeaseInput::Unknown,
        Err(_) => LeaseInput::Unreachable,
    })
}

async fn tick(steward: WeakAddress<LeaseActor>) {
    let mut timer = interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        if steward.send(Tick).await.is_err() {
            return;
        }
    }
}

impl Actor for LeaseActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        self.address = Some(mailbox.address());
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<Tick> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.tick();
    }
}

impl Handler<StopLeaseActor> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, _: StopLeaseActor, context: &mut Context<Self>) {
        context.stop_all();
    }
}

impl Handler<CallDone> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, CallDone(cell, input): CallDone, _: &mut Context<Self>) {
        self.input(&cell, input);
    }
}

impl Handler<LendHalf> for LeaseActor {
    type Return = Option<BorrowReply>;

    async fn handle(
        &mut self,
        LendHalf(borrow): LendHalf,
        _: &mut Context<Self>,
    ) -> Option<BorrowReply> {
        let mut out = Vec::new();
        let cell_lease = self.leases.get_mut(&borrow.cell)?;
        let reply = cell_lease
            .machine
            .lend(self.parts.clock.now(), &borrow, &mut out);
        self.carry_out(&borrow.cell, out);
        Some(reply)
    }
}

impl Handler<TakeOverNotice> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, TakeOverNotice(notice): TakeOverNotice, _: &mut Context<Self>) {
        let cell = notice.cell.clone();
        self.input(&cell, LeaseInput::TakeOver(notice));
    }
}

impl Handler<HandOverDone> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, HandOverDone(cell): HandOverDone, _: &mut Context<Self>) {
        self.input(&cell, LeaseInput::HandedOver);
    }
}

impl Handler<DrainCells> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, _: DrainCells, _: &mut Context<Self>) {
        self.is_draining = true;
        self.tick();
    }
}

impl Handler<ListCells> for LeaseActor {
    type Return = Vec<(CellId, Tenure)>;

    async fn handle(&mut self, _: ListCells, _: &mut Context<Self>) -> Vec<(CellId, Tenure)> {
        let held = self.leases.iter();
        held.filter_map(|(cell, cell_lease)| Some((cell.clone(), cell_lease.machine.tenure()?)))
            .collect()
    }
}
