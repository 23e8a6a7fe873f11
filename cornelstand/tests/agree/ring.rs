//! Simulation of lease state machines that share one object, with network and store faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelstand::{
    Borrow, BorrowReply, CellId, Condition, Epoch, Holder, Incarnation, Lease, LeaseEffect,
    LeaseInput, LeaseMachine, LeaseTiming, LeaseView, Moment, Part, Tenure, Version, Yield, micros,
};

/// Time between two steps.
pub(crate) const STEP: Duration = Duration::from_millis(100);

/// Endpoint limit in the check, odd so that the halves differ.
const LIMIT: u32 = 7;

/// What happens to a message or call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fate {
    /// Request and reply each arrive after this many steps.
    Arrive(u64),
    /// The request takes this many steps; the reply is lost.
    LoseReply(u64),
    /// Nothing arrives.
    Lose,
}

#[derive(Clone, Debug)]
enum Item {
    Call(LeaseEffect),
    Result(LeaseInput),
    Ask(Holder, Borrow, Moment),
    Answer(Holder, Moment, BorrowReply),
}

#[derive(Clone, Debug)]
struct Delivery {
    at: u64,
    /// Sender of a store call, recipient of any other item.
    node: usize,
    incarnation: u64,
    item: Item,
    reply: Option<u64>,
}

/// One instance.
pub(crate) struct Node {
    pub(crate) machine: LeaseMachine,
    pub(crate) holder: Holder,
    pub(crate) is_up: bool,
    pub(crate) paused_until: u64,
    pub(crate) has_store: bool,
    pub(crate) is_draining: bool,
    /// Clock rate in hundredths.
    pub(crate) rate: u64,
    tenure: Option<Tenure>,
}

/// The instances, the store and the links between them.
pub(crate) struct Ring {
    pub(crate) nodes: Vec<Node>,
    pub(crate) step: u64,
    pub(crate) is_store_up: bool,
    /// Disconnected pairs.
    pub(crate) cut: BTreeSet<(usize, usize)>,
    /// Whether the instance list works, which proves that a process ended.
    pub(crate) is_list_up: bool,
    pub(crate) object: Option<(Version, Lease)>,
    pub(crate) calls: u64,
    pub(crate) gains: Vec<(usize, Epoch)>,
    ended: BTreeSet<Holder>,
    epochs: BTreeMap<Epoch, usize>,
    version: u64,
    deliveries: Vec<Delivery>,
    starts: u64,
}

pub(crate) fn cell() -> CellId {
    CellId {
        service: "quotes".into(),
        index: 0,
    }
}

impl Ring {
    pub(crate) fn new(count: usize) -> Self {
        let mut ring = Self {
            nodes: Vec::new(),
            step: 0,
            is_store_up: true,
            cut: BTreeSet::new(),
            is_list_up: true,
            object: None,
            calls: 0,
            gains: Vec::new(),
            ended: BTreeSet::new(),
            epochs: BTreeMap::new(),
            version: 0,
            deliveries: Vec::new(),
            starts: 0,
        };
        for index in 0..count {
            let node = ring.new_node(index);
            ring.nodes.push(node);
        }
        ring
    }

    fn new_node(&mut self, index: usize) -> Node {
        self.starts += 1;
        let holder = Holder {
            name: format!("i{index}").as_str().into(),
            incarnation: Incarnation(self.starts),
            address: ([127, 0, 0, 1], 7000 + u16::try_from(index).unwrap_or(0)).into(),
        };
        Node {
            machine: LeaseMachine::new(holder.clone(), cell(), LeaseTiming::default()),
            holder,
            is_up: true,
            paused_until: 0,
            has_store: true,
            is_draining: false,
            rate: 100,
            tenure: None,
        }
    }

    /// Time on the clock of an instance.
    fn now(&self, index: usize) -> Moment {
        Moment(micros(STEP) * self.step * self.nodes[index].rate / 100)
    }

    pub(crate) fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_up = false;
        node.tenure = None;
        self.ended.insert(node.holder.clone());
    }

    pub(crate) fn restart(&mut self, index: usize) {
        self.kill(index);
        let rate = self.nodes[index].rate;
        self.nodes[index] = self.new_node(index);
        self.nodes[index].rate = rate;
    }

    pub(crate) fn input(
        &mut self,
        index: usize,
        input: LeaseInput,
        fate: &mut dyn FnMut() -> Fate,
    ) {
        let now = self.now(index);
        let mut out = Vec::new();
        self.nodes[index].machine.handle(now, input, &mut out);
        self.carry_out(index, out, fate);
    }

    fn carry_out(&mut self, index: usize, out: Vec<LeaseEffect>, fate: &mut dyn FnMut() -> Fate) {
        for effect in out {
            match effect {
                LeaseEffect::Gained(tenure) => {
                    let first = *self.epochs.entry(tenure.epoch).or_insert(index);
                    assert_eq!(first, index, "epoch {} gained twice", tenure.epoch);
                    self.gains.push((index, tenure.epoch));
                    self.nodes[index].tenure = Some(tenure);
                }
                LeaseEffect::Renewed(tenure) => {
                    let first = *self.epochs.entry(tenure.epoch).or_insert(index);
                    assert_eq!(first, index, "epoch {} used twice", tenure.epoch);
                    self.nodes[index].tenure = Some(tenure);
                }
                LeaseEffect::Lost => self.nodes[index].tenure = None,
                LeaseEffect::HandOver { .. } => {
                    self.enqueue(index, 2, Item::Result(LeaseInput::HandedOver), None);
                }
                LeaseEffect::Yield { to, notice } => self.enqueue_yield(index, &to, notice, fate()),
                LeaseEffect::Borrow { to, borrow, sent } => {
                    self.enqueue_borrow(index, &to, *borrow, sent, fate());
                }
                call => self.enqueue_call(index, call, fate()),
            }
            self.check();
        }
    }

    fn enqueue(&mut self, node: usize, at: u64, item: Item, reply: Option<u64>) {
        let incarnation = self.nodes[node].holder.incarnation.0;
        self.deliveries.push(Delivery {
            at: self.step + at,
            node,
            incarnation,
            item,
            reply,
        });
    }

    fn enqueue_call(&mut self, index: usize, call: LeaseEffect, fate: Fate) {
        self.calls += 1;
        if !self.is_store_up || !self.nodes[index].has_store || fate == Fate::Lose {
            self.enqueue(index, 1, Item::Result(LeaseInput::Unreachable), None);
            return;
        }
        match fate {
            Fate::Arrive(at) => self.enqueue(index, at, Item::Call(call), Some(at)),
            Fate::LoseReply(at) => {
                // The caller gives up before the call arrives, which is the worst case.
                self.enqueue(index, 1, Item::Result(LeaseInput::Unknown), None);
                self.enqueue(index, 1 + at, Item::Call(call), None);
            }
            Fate::Lose => {}
        }
    }

    fn enqueue_borrow(
        &mut self,
        index: usize,
        to: &Holder,
        borrow: Borrow,
        sent: Moment,
        fate: Fate,
    ) {
        let Some(target) = self.nodes.iter().position(|n| n.holder == *to) else {
            return;
        };
        if self.is_cut(index, target) {
            return;
        }
        let from = self.nodes[index].holder.clone();
        match fate {
            Fate::Arrive(at) => self.enqueue(target, at, Item::Ask(from, borrow, sent), Some(at)),
            Fate::LoseReply(at) => self.enqueue(target, at, Item::Ask(from, borrow, sent), None),
            Fate::Lose => {}
        }
    }

    pub(crate) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.contains(&(a.min(b), a.max(b)))
    }

    fn enqueue_yield(&mut self, index: usize, to: &Holder, notice: Yield, fate: Fate) {
        let target = self.nodes.iter().position(|n| n.holder == *to);
        let target = target.filter(|t| !self.is_cut(index, *t));
        if let (Some(target), Fate::Arrive(at)) = (target, fate) {
            let input = LeaseInput::TakeOver(notice);
            self.enqueue(target, at, Item::Result(input), None);
        }
    }

    /// Delivers what is due and ticks every machine.
    pub(crate) fn step(&mut self, fate: &mut dyn FnMut() -> Fate) {
        self.step += 1;
        self.check();
        let step = self.step;
        let is_due = |p: &Delivery| p.at <= step;
        let (due, later) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(is_due);
        self.deliveries = later;
        for delivery in due {
            self.deliver(delivery, fate);
        }
        for index in 0..self.nodes.len() {
            if self.is_running(index) {
                self.input(index, LeaseInput::Tick, fate);
            }
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.is_up && node.paused_until <= self.step
    }

    fn deliver(&mut self, mut delivery: Delivery, fate: &mut dyn FnMut() -> Fate) {
        if let Item::Call(call) = delivery.item {
            let result = self.store_call(&call);
            if let Some(at) = delivery.reply {
                self.enqueue(delivery.node, at, Item::Result(result), None);
            }
            return;
        }
        let node = &self.nodes[delivery.node];
        if node.holder.incarnation.0 != delivery.incarnation || !node.is_up {
            return;
        }
        if node.paused_until > self.step {
            delivery.at = node.paused_until;
            self.deliveries.push(delivery);
            return;
        }
        match delivery.item {
            Item::Result(input) => self.input(delivery.node, input, fate),
            Item::Answer(from, sent, reply) => {
                self.input(delivery.node, LeaseInput::Reply { from, sent, reply }, fate);
            }
            Item::Ask(from, borrow, sent) => {
                let now = self.now(delivery.node);
                let mut out = Vec::new();
                let reply = self.nodes[delivery.node]
                    .machine
                    .lend(now, &borrow, &mut out);
                self.carry_out(delivery.node, out, fate);
                let me = self.nodes[delivery.node].holder.clone();
                let back = self.nodes.iter().position(|n| n.holder == from);
                if let (Some(back), Some(at)) = (back, delivery.reply) {
                    self.enqueue(back, at, Item::Answer(me, sent, reply), None);
                }
            }
            Item::Call(_) => {}
        }
    }

    fn store_call(&mut self, call: &LeaseEffect) -> LeaseInput {
        match call {
            LeaseEffect::Write { condition, lease } => {
                let present = self.object.as_ref().map(|(version, _)| *version);
                let holds = match condition {
                    Condition::Absent => present.is_none(),
                    Condition::Match(version) => present == Some(*version),
                };
                if !holds {
                    return LeaseInput::Conflict;
                }
                if let Some((_, old)) = &self.object {
                    assert!(lease.epoch >= old.epoch, "the epoch in the store fell");
                }
                self.version += 1;
                self.object = Some((Version(self.version), (**lease).clone()));
                LeaseInput::Stored(Version(self.version))
            }
            _ => LeaseInput::Read(self.object.clone()),
        }
    }

    /// View of the actual state, as a converged membership gives it.
    pub(crate) fn true_view(&self, index: usize) -> LeaseView {
        let reach = |i: &usize| self.nodes[*i].is_up && !self.is_cut(index, *i);
        let ranked = (0..self.nodes.len()).filter(reach);
        let is_available = |n: &Node| !n.is_draining && n.paused_until <= self.step;
        let ranked = ranked.filter(|i| is_available(&self.nodes[*i]));
        let ranked: Vec<Holder> = ranked.map(|i| self.nodes[i].holder.clone()).collect();
        let is_lost = |h: &&Holder| {
            let at = self.nodes.iter().position(|n| n.holder == **h);
            at.is_none_or(|i| !reach(&i) || self.nodes[i].paused_until > self.step)
        };
        let holders = self.holders();
        LeaseView {
            unreachable: holders.iter().filter(is_lost).cloned().collect(),
            ended: self.gone(index),
            ranked,
        }
    }

    /// Delivers the claims of reachable owners to `index`, as the gossip does.
    pub(crate) fn hear_claims(&mut self, index: usize, fate: &mut dyn FnMut() -> Fate) {
        for other in 0..self.nodes.len() {
            let is_heard = other != index && self.is_running(other) && !self.is_cut(index, other);
            let tenure = self.nodes[other].tenure.filter(|_| is_heard);
            if let Some(Tenure { epoch, .. }) = tenure {
                let owner = self.nodes[other].holder.name.clone();
                self.input(index, LeaseInput::Claim { epoch, owner }, fate);
            }
        }
    }

    /// The holders that the lease names.
    pub(crate) fn holders(&self) -> Vec<Holder> {
        let lease = self.object.iter().map(|(_, l)| l);
        let holders = lease.flat_map(|l| [&l.owner, &l.kept, &l.spare]);
        let holders: BTreeSet<Holder> = holders.cloned().collect();
        holders.into_iter().collect()
    }

    /// The ended processes that `index` has proof of.
    pub(crate) fn gone(&self, index: usize) -> Vec<Holder> {
        let is_replaced = |h: &Holder| {
            let mut nodes = self.nodes.iter().enumerate();
            nodes.any(|(i, n)| n.is_up && n.holder.name == h.name && !self.is_cut(index, i))
        };
        let ended = self.ended.iter();
        let proven = ended.filter(|h| self.is_list_up || is_replaced(h));
        proven.cloned().collect()
    }

    pub(crate) fn part(&self, index: usize) -> Option<Part> {
        let tenure = self.nodes[index]
            .tenure
            .filter(|_| self.nodes[index].is_up)?;
        tenure.part_at(self.now(index))
    }

    /// Parts of all instances.
    pub(crate) fn parts(&self) -> Vec<Option<Part>> {
        (0..self.nodes.len()).map(|i| self.part(i)).collect()
    }

    /// Asserts that the parts held by all instances, running or paused, do not exceed the limit
    /// of an endpoint.
    fn check(&self) {
        let parts = self.parts();
        let sum: u32 = parts.iter().flatten().map(|p| p.of(LIMIT)).sum();
        assert!(sum <= LIMIT, "{parts:?} at step {}", self.step);
    }
}
