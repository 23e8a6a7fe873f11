//! The actor that owns the membership and the lease machines of one instance.
//!
//! It gives each message to the machines with the time and carries out their effects: calls to
//! peers and to the store run as tasks of their own and come back as messages, so that the actor
//! never waits for a network. Lease machines exist only for the cells for which this instance is
//! among the first candidates or a holder, so that their number does not grow with the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::config::Config;
use crate::gossip::{Gossip, Member, MemberState, Seed};
use crate::holdings::{Holdings, Origin};
use crate::keeper::Keeper;
use crate::lease::{
    Borrow, BorrowReply, Holder, Lease, LeaseEffect, LeaseInput, LeaseTiming, Tenure, Yield,
};
use crate::link::Links;
use crate::member::{MemberInput, MemberOutput, MemberTiming, Members};
use crate::moment::{Clock, Moment};
use crate::name::{CellId, Epoch, Revision};
use crate::store::{Condition, ObjectKind, Store, StoreError};
use crate::timeline::{Timeline, Topic};
use crate::view::FleetView;

/// Time between two ticks of the lease machines.
const TICK: Duration = Duration::from_millis(250);
/// Ticks between two rounds of gossip.
const GOSSIP_TICKS: u32 = 4;
/// Ticks between two looks at who the candidates of each cell are.
const VIEW_TICKS: u32 = 2;
/// Candidates of a cell that run a lease machine for it.
const CANDIDATES: usize = 3;
/// Time for the answer to a message of the gossip or to a request for a loan.
const PEER_WAIT: Duration = Duration::from_secs(1);
/// Tries to move a cell's state to its next owner.
const HAND_OVER_TRIES: u32 = 3;
/// Time between two requests for an entry's census.
const CENSUS_PAUSE: Duration = Duration::from_millis(500);

/// Time has passed.
struct Tick;

/// A peer started an exchange of gossip.
pub(crate) struct Received(pub(crate) Gossip);

/// A peer asks for the use of a half.
pub(crate) struct Lend(pub(crate) Borrow);

/// A former owner has stopped.
pub(crate) struct TakeOver(pub(crate) Yield);

/// The platform's instance list, or the addresses in the settings.
pub(crate) struct Listed {
    pub(crate) seeds: Vec<Seed>,
    pub(crate) is_complete: bool,
}

/// A revision is in force here.
pub(crate) struct InForce(pub(crate) Arc<Config>);

/// A revision is known to be accepted.
pub(crate) struct Accepted(pub(crate) Revision);

/// The instance is about to stop.
pub(crate) struct Leave;

/// All work has stopped; tells peers before the process ends.
pub(crate) struct Farewell;

/// Result of an effect on the membership.
struct Peer(MemberInput);

/// Result of an effect on a lease machine.
struct Settled {
    cell: CellId,
    input: LeaseInput,
}

/// A higher revision that a peer knows of.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct News {
    /// The revision.
    pub(crate) revision: Revision,
    /// Address of the peer.
    pub(crate) peer: Option<SocketAddr>,
}

/// What the agent is built from.
pub(crate) struct AgentParts {
    pub(crate) me: Member,
    pub(crate) seed: u64,
    pub(crate) lease: LeaseTiming,
    pub(crate) clock: Clock,
    pub(crate) timeline: Timeline,
    pub(crate) links: Links,
    pub(crate) store: Store,
    pub(crate) holdings: Holdings,
    pub(crate) view: FleetView,
    pub(crate) news: watch::Sender<News>,
}

/// Owner of the membership and the lease machines.
pub(crate) struct Agent {
    me: Holder,
    members: Members,
    keepers: BTreeMap<CellId, Keeper>,
    config: Arc<Config>,
    lease: LeaseTiming,
    clock: Clock,
    timeline: Timeline,
    links: Links,
    store: Store,
    holdings: Holdings,
    view: FleetView,
    news: watch::Sender<News>,
    ticks: u32,
    is_leaving: bool,
}

impl Agent {
    /// Starts the actor on the current runtime. It ends when the last address is dropped.
    pub(crate) fn spawn(parts: AgentParts) -> Address<Self> {
        parts.view.set_member(parts.me.clone());
        let agent = Self {
            me: parts.me.holder(),
            members: Members::new(parts.me, MemberTiming::default(), parts.seed),
            keepers: BTreeMap::new(),
            config: Arc::default(),
            lease: parts.lease,
            clock: parts.clock,
            timeline: parts.timeline,
            links: parts.links,
            store: parts.store,
            holdings: parts.holdings,
            view: parts.view,
            news: parts.news,
            ticks: 0,
            is_leaving: false,
        };
        let address = xtra::spawn_tokio(agent, Mailbox::unbounded());
        tokio::spawn(keep_time(address.downgrade()));
        address
    }

    async fn tick(&mut self, own: &Address<Self>) {
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(GOSSIP_TICKS) {
            self.claim_cells().await;
            let stamp = self.timeline.stamp();
            self.membership(MemberInput::Tick { stamp }, own).await;
        }
        if self.ticks.is_multiple_of(VIEW_TICKS) {
            self.look(own).await;
        }
        let cells: Vec<CellId> = self.keepers.keys().cloned().collect();
        for cell in cells {
            self.keep(&cell, LeaseInput::Tick, own).await;
        }
    }

    /// Tells the gossip which cells are owned here and how long requests wait at each.
    async fn claim_cells(&mut self) {
        for status in self.holdings.status().await {
            let delay = status.delay();
            let input = MemberInput::Claim {
                cell: status.cell,
                epoch: status.epoch,
                delay,
            };
            let mut out = Vec::new();
            self.members.handle(self.clock.now(), input, &mut out);
            self.note_cells(out);
        }
    }

    fn note_cells(&self, outputs: Vec<MemberOutput>) {
        for output in outputs {
            if let MemberOutput::Cell(claim) = output {
                self.view.set_cell(claim);
            }
        }
    }

    /// Gives the membership an input and carries out what follows.
    async fn membership(&mut self, input: MemberInput, own: &Address<Self>) -> Option<Gossip> {
        let mut out = Vec::new();
        self.members.handle(self.clock.now(), input, &mut out);
        let mut reply = None;
        for output in out {
            match output {
                MemberOutput::Exchange { address, gossip } => {
                    tokio::spawn(exchange(
                        own.downgrade(),
                        self.links.clone(),
                        address,
                        gossip,
                    ));
                }
                MemberOutput::Reply(gossip) => reply = Some(*gossip),
                MemberOutput::Changed(member) => self.changed(member).await,
                MemberOutput::Told(member) => self.view.set_member(member),
                MemberOutput::Cell(claim) => {
                    self.view.set_cell(claim.clone());
                    let input = LeaseInput::Claim {
                        epoch: claim.epoch,
                        owner: claim.owner,
                    };
                    self.keep(&claim.cell, input, own).await;
                }
                MemberOutput::Revision { revision, peer } => {
                    let peer = self.view.address(&peer);
                    self.news.send_replace(News { revision, peer });
                }
                MemberOutput::Extra { .. } => {}
                MemberOutput::Displaced(_) => self.displaced(),
            }
        }
        reply
    }

    async fn changed(&mut self, member: Member) {
        let state = member.state.to_string();
        self.timeline
            .record(Topic::Member, &state, member.name.as_str(), None);
        tracing::info!(instance = %member.name, %state, "member changed");
        let ended = matches!(member.state, MemberState::Dead | MemberState::Left);
        let name = member.name.clone();
        self.view.set_member(member);
        if ended {
            self.holdings.forget_entry(&name).await;
        }
    }

    fn displaced(&self) {
        tracing::error!("another process with this instance's name has started");
        self.timeline
            .record(Topic::Member, "displaced", self.me.name.as_str(), None);
    }

    /// Starts and ends lease machines and tells them who the candidates are.
    async fn look(&mut self, own: &Address<Self>) {
        let cells: BTreeSet<CellId> = self.config.cells().collect();
        for cell in &cells {
            let lease = self.keepers.get(cell).and_then(Keeper::lease);
            let view = self.members.lease_view(cell, &self.config, lease);
            let is_candidate = view.ranked.iter().take(CANDIDATES).any(|h| *h == self.me);
            if !is_candidate && !self.keepers.contains_key(cell) {
                continue;
            }
            let is_kept = is_candidate || self.is_bound(cell);
            if !is_kept {
                self.keepers.remove(cell);
                continue;
            }
            let fresh = || Keeper::new(self.me.clone(), cell.clone(), self.lease);
            let known = self.members.owner(cell).cloned();
            if !self.keepers.contains_key(cell) {
                self.keepers.insert(cell.clone(), fresh());
                if let Some(claim) = known {
                    let input = LeaseInput::Claim {
                        epoch: claim.epoch,
                        owner: claim.owner,
                    };
                    self.keep(cell, input, own).await;
                }
                if self.is_leaving {
                    self.keep(cell, LeaseInput::Drain, own).await;
                }
            }
            self.keep(cell, LeaseInput::View(view), own).await;
        }
        self.drop_withdrawn(&cells).await;
    }

    /// Whether this instance owns the cell or holds one of its halves.
    fn is_bound(&self, cell: &CellId) -> bool {
        self.keepers.get(cell).is_some_and(|keeper| {
            let is_holder = keeper.lease().is_some_and(|l| l.is_holder(&self.me));
            is_holder || keeper.tenure().is_some()
        })
    }

    /// Ends the lease machines of cells that are not configured any more.
    async fn drop_withdrawn(&mut self, cells: &BTreeSet<CellId>) {
        let gone = self.keepers.keys().filter(|c| !cells.contains(*c));
        for cell in gone.cloned().collect::<Vec<_>>() {
            self.keepers.remove(&cell);
            self.holdings.release(&cell, None).await;
        }
    }

    /// Gives a lease machine an input and carries out its effects.
    async fn keep(&mut self, cell: &CellId, input: LeaseInput, own: &Address<Self>) {
        let Some(keeper) = self.keepers.get_mut(cell) else {
            return;
        };
        let mut out = Vec::new();
        keeper.handle(self.clock.now(), input, &mut out);
        self.carry_out(cell, out, own).await;
    }

    async fn carry_out(&mut self, cell: &CellId, out: Vec<LeaseEffect>, own: &Address<Self>) {
        let own = own.downgrade();
        for effect in out {
            match effect {
                LeaseEffect::Read => {
                    tokio::spawn(read(own.clone(), self.store.clone(), cell.clone()));
                }
                LeaseEffect::Write { condition, lease } => {
                    let store = self.store.clone();
                    tokio::spawn(write(own.clone(), store, cell.clone(), condition, *lease));
                }
                LeaseEffect::Borrow { to, borrow, sent } => {
                    tokio::spawn(ask(own.clone(), self.links.clone(), to, *borrow, sent));
                }
                LeaseEffect::Gained(tenure) => self.gained(cell, tenure).await,
                LeaseEffect::Renewed(tenure) => self.holdings.renew(cell, tenure).await,
                LeaseEffect::Lost => {
                    self.log(cell, "lost");
                    self.holdings.release(cell, None).await;
                }
                LeaseEffect::HandOver { to } => self.hand_over(cell, to, own.clone()).await,
                LeaseEffect::Yield { to, word } => {
                    tokio::spawn(give_way(self.links.clone(), to, word));
                }
            }
        }
    }

    fn log(&self, cell: &CellId, what: &str) {
        tracing::info!(%cell, what, "cell ownership changed");
        self.timeline
            .record(Topic::Cell, what, &cell.to_string(), None);
    }

    async fn gained(&mut self, cell: &CellId, tenure: Tenure) {
        self.log(cell, "gained");
        let entries: Vec<Member> = self.members.live().cloned().collect();
        let names = entries.iter().map(|m| m.name.clone()).collect();
        let origin = self.holdings.gain(cell, tenure, names).await;
        if origin == Origin::TakenOver {
            for entry in entries {
                tokio::spawn(take_census(
                    self.holdings.clone(),
                    self.links.clone(),
                    entry,
                    cell.clone(),
                    tenure.epoch,
                ));
            }
        }
        let input = MemberInput::Claim {
            cell: cell.clone(),
            epoch: tenure.epoch,
            delay: 0,
        };
        let mut out = Vec::new();
        self.members.handle(self.clock.now(), input, &mut out);
        self.note_cells(out);
    }

    async fn hand_over(&mut self, cell: &CellId, to: Holder, own: WeakAddress<Self>) {
        self.log(cell, "handed over");
        let handover = self.holdings.release(cell, Some(to.name.clone())).await;
        let (links, cell) = (self.links.clone(), cell.clone());
        tokio::spawn(async move {
            if let Some(handover) = handover {
                for _ in 0..HAND_OVER_TRIES {
                    let sent = handover.clone();
                    let taken = links.call(to.address, PEER_WAIT, |client, context| async move {
                        client.hand_over(context, sent).await
                    });
                    if taken.await.is_ok_and(|taken| taken) {
                        break;
                    }
                }
            }
            let input = LeaseInput::HandedOver;
            own.send(Settled { cell, input }).await.ok();
        });
    }
}

impl Actor for Agent {
    type Stop = ();

    async fn stopped(self) {}
}

/// The address of the actor that handles a message.
fn own(context: &Context<Agent>) -> Option<Address<Agent>> {
    context.mailbox().address().try_upgrade()
}

impl Handler<Tick> for Agent {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        if let Some(own) = own(context) {
            self.tick(&own).await;
        }
    }
}

impl Handler<Received> for Agent {
    type Return = Option<Gossip>;

    async fn handle(&mut self, message: Received, context: &mut Context<Self>) -> Option<Gossip> {
        let own = own(context)?;
        self.timeline.observe(message.0.stamp);
        let input = MemberInput::Received {
            gossip: Box::new(message.0),
            stamp: self.timeline.stamp(),
        };
        self.membership(input, &own).await
    }
}

impl Handler<Peer> for Agent {
    type Return = ();

    async fn handle(&mut self, message: Peer, context: &mut Context<Self>) {
        if let MemberInput::Answered(gossip) = &message.0 {
            self.timeline.observe(gossip.stamp);
        }
        if let Some(own) = own(context) {
            self.membership(message.0, &own).await;
        }
    }
}

impl Handler<Listed> for Agent {
    type Return = ();

    async fn handle(&mut self, message: Listed, context: &mut Context<Self>) {
        let input = MemberInput::Seeds {
            seeds: message.seeds,
            is_complete: message.is_complete,
        };
        if let Some(own) = own(context) {
            self.membership(input, &own).await;
        }
    }
}

impl Handler<Lend> for Agent {
    type Return = Option<BorrowReply>;

    async fn handle(&mut self, message: Lend, context: &mut Context<Self>) -> Self::Return {
        let own = own(context)?;
        let borrow = message.0;
        let fresh = || Keeper::new(self.me.clone(), borrow.cell.clone(), self.lease);
        let keeper = self
            .keepers
            .entry(borrow.cell.clone())
            .or_insert_with(fresh);
        let mut out = Vec::new();
        let reply = keeper.lend(self.clock.now(), &borrow, &mut out);
        self.carry_out(&borrow.cell, out, &own).await;
        Some(reply)
    }
}

impl Handler<TakeOver> for Agent {
    type Return = ();

    async fn handle(&mut self, message: TakeOver, context: &mut Context<Self>) {
        if let Some(own) = own(context) {
            let cell = message.0.cell.clone();
            let fresh = || Keeper::new(self.me.clone(), cell.clone(), self.lease);
            self.keepers.entry(cell.clone()).or_insert_with(fresh);
            self.keep(&cell, LeaseInput::TakeOver(message.0), &own)
                .await;
        }
    }
}

impl Handler<Settled> for Agent {
    type Return = ();

    async fn handle(&mut self, message: Settled, context: &mut Context<Self>) {
        if let Some(own) = own(context) {
            self.keep(&message.cell, message.input, &own).await;
        }
    }
}

impl Handler<InForce> for Agent {
    type Return = ();

    async fn handle(&mut self, InForce(config): InForce, context: &mut Context<Self>) {
        let Some(own) = own(context) else {
            return;
        };
        self.holdings.configure(&config).await;
        let input = MemberInput::InForce(config.revision);
        self.config = config;
        self.membership(input, &own).await;
        self.look(&own).await;
    }
}

impl Handler<Accepted> for Agent {
    type Return = ();

    async fn handle(&mut self, Accepted(revision): Accepted, context: &mut Context<Self>) {
        if let Some(own) = own(context) {
            self.membership(MemberInput::Known(revision), &own).await;
        }
    }
}

impl Handler<Leave> for Agent {
    type Return = ();

    async fn handle(&mut self, _: Leave, context: &mut Context<Self>) {
        let Some(own) = own(context) else {
            return;
        };
        self.is_leaving = true;
        self.membership(MemberInput::Leave, &own).await;
        let cells: Vec<CellId> = self.keepers.keys().cloned().collect();
        for cell in cells {
            self.keep(&cell, LeaseInput::Drain, &own).await;
        }
    }
}

impl Handler<Farewell> for Agent {
    type Return = ();

    async fn handle(&mut self, _: Farewell, context: &mut Context<Self>) {
        let Some(own) = own(context) else {
            return;
        };
        self.membership(MemberInput::Left, &own).await;
        let stamp = self.timeline.stamp();
        self.membership(MemberInput::Tick { stamp }, &own).await;
    }
}

async fn keep_time(agent: WeakAddress<Agent>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if agent.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn exchange(
    agent: WeakAddress<Agent>,
    links: Links,
    address: SocketAddr,
    gossip: Box<Gossip>,
) {
    let call = links.call(address, PEER_WAIT, |client, context| async move {
        client.gossip(context, *gossip).await
    });
    let input = match call.await {
        Ok(Some(reply)) => MemberInput::Answered(Box::new(reply)),
        Ok(None) | Err(_) => MemberInput::Silent(address),
    };
    agent.send(Peer(input)).await.ok();
}

async fn ask(agent: WeakAddress<Agent>, links: Links, to: Holder, borrow: Borrow, sent: Moment) {
    let cell = borrow.cell.clone();
    let reply = links.call(to.address, PEER_WAIT, |client, context| async move {
        client.borrow(context, borrow).await
    });
    if let Ok(Some(reply)) = reply.await {
        let input = LeaseInput::Reply {
            from: to,
            sent,
            reply,
        };
        agent.send(Settled { cell, input }).await.ok();
    }
}

/// Tells the next owner that this instance has stopped.
async fn give_way(links: Links, to: Holder, word: Yield) {
    for _ in 0..HAND_OVER_TRIES {
        let sent = word.clone();
        let call = links.call(to.address, PEER_WAIT, |client, context| async move {
            client.give_way(context, sent).await
        });
        if call.await.is_ok_and(|taken| taken) {
            return;
        }
    }
}

async fn read(agent: WeakAddress<Agent>, store: Store, cell: CellId) {
    let input = match store.get(ObjectKind::Lease, &Lease::name(&cell)).await {
        Ok(object) => LeaseInput::Read(object.and_then(|object| {
            let lease = serde_json::from_str(&object.value?).ok()?;
            Some((object.version, lease))
        })),
        Err(_) => LeaseInput::Unreachable,
    };
    agent.send(Settled { cell, input }).await.ok();
}

async fn write(
    agent: WeakAddress<Agent>,
    store: Store,
    cell: CellId,
    condition: Condition,
    lease: Lease,
) {
    let Ok(value) = serde_json::to_string(&lease) else {
        return;
    };
    let name = Lease::name(&cell);
    let input = match store.put(ObjectKind::Lease, &name, condition, value).await {
        Ok(version) => LeaseInput::Stored(version),
        Err(StoreError::Conflict { .. }) => LeaseInput::Conflict,
        Err(StoreError::Unreachable { .. } | StoreError::TooLarge { .. }) => {
            LeaseInput::Unreachable
        }
        Err(StoreError::Refused { status }) if matches!(status.as_u16(), 428 | 429 | 503) => {
            LeaseInput::Unreachable
        }
        Err(_) => LeaseInput::Unknown,
    };
    agent.send(Settled { cell, input }).await.ok();
}

/// Asks an entry what it runs of a cell until it answers or the cell is owned elsewhere.
async fn take_census(holdings: Holdings, links: Links, entry: Member, cell: CellId, epoch: Epoch) {
    while holdings.is_owned(&cell, epoch) {
        let asked = cell.clone();
        let census = links.call(entry.address, PEER_WAIT, |client, context| async move {
            client.census(context, asked, epoch).await
        });
        if let Ok(census) = census.await {
            holdings.learn(census).await;
            return;
        }
        tokio::time::sleep(CENSUS_PAUSE).await;
    }
}
