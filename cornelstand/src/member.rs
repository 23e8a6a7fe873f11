//! Gossip membership of the fleet.
//!
//! Each second an instance exchanges bounded messages with a few random peers. Changes go first,
//! each sent a number of times that grows with the logarithm of the fleet size; the rest of a
//! message cycles through the full table, which repairs lost updates. A peer that does not answer
//! becomes suspect and, unless it refutes in time, dead. The platform's instance list lags, so it
//! only supplies addresses to try and, after a long absence, the proof that a process has ended.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::{IndexedRandom as _, IteratorRandom as _};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;
use crate::gossip::{
    CellClaim, Extension, GOSSIP_CELLS, GOSSIP_EXTRA, GOSSIP_MEMBERS, Gossip, Member, MemberState,
    Seed,
};
use crate::lease::{Holder, Lease, LeaseView};
use crate::member_message::{MemberInput, MemberOutput};
use crate::moment::{Moment, micros};
use crate::name::{CellId, Epoch, Incarnation, InstanceName, Revision};
use crate::timeline::Stamp;

/// Exchanges that an instance starts in each period.
const FANOUT: usize = 2;

/// Consecutive unanswered exchanges after which a member is suspect.
const MISSES_TO_SUSPECT: u32 = 2;

/// Unresponsive members contacted again in each period.
const RETRIED_MEMBERS: usize = 2;

/// Entries of the full table in each message.
const SYNC_ENTRIES: usize = 3;

/// Times that a change is sent, per binary digit of the number of members.
const RETRANSMIT_FACTOR: u32 = 2;

/// One in this many periods, on average, a seed or a dead member is tried.
const SEED_ODDS: u32 = 5;

/// Membership timing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberTiming {
    /// Time between two rounds of exchanges.
    pub period: Duration,
    /// Time for which a suspect may refute.
    pub suspicion: Duration,
    /// Longest lag of the platform's instance list.
    pub lag: Duration,
    /// Time after which a dead member is removed.
    pub retention: Duration,
}

impl Default for MemberTiming {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            suspicion: Duration::from_secs(4),
            lag: Duration::from_secs(10),
            retention: Duration::from_mins(10),
        }
    }
}

/// The members of the fleet as one instance knows them.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    timing: MemberTiming,
    rng: ChaCha8Rng,
    table: BTreeMap<InstanceName, Record>,
    cells: BTreeMap<CellId, Broadcast<CellClaim>>,
    known: Revision,
    generation: u64,
    seeds: Vec<Seed>,
    listed: Listed,
    extra: Vec<Extension>,
    member_cursor: Option<InstanceName>,
    cell_cursor: Option<CellId>,
}

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    /// Consecutive unanswered exchanges.
    misses: u32,
    since: Moment,
    retransmits: u32,
}

/// When the platform's list was read and last contained each name.
#[derive(Clone, Debug, Default)]
struct Listed {
    first: Option<Moment>,
    last: Moment,
    names: BTreeMap<InstanceName, Moment>,
}

impl Listed {
    fn record(&mut self, now: Moment, seeds: &[Seed]) {
        self.first = self.first.or(Some(now));
        self.last = now;
        let names = seeds.iter().filter_map(|s| s.name.clone());
        self.names.extend(names.map(|name| (name, now)));
    }

    /// Time since the lists that were read last contained `name`.
    fn absence(&self, name: &InstanceName) -> Option<Duration> {
        let first = self.first?;
        let since = self.names.get(name).copied().unwrap_or(first);
        Some(self.last.since(since))
    }

    fn forget(&mut self, before: Moment) {
        if self.first.is_some_and(|first| first < before) {
            self.names.retain(|_, last| *last >= before);
            self.first = Some(before);
        }
    }
}

impl Record {
    /// Whether it is contacted again: it missed a reply or is suspect.
    fn is_silent(&self) -> bool {
        let is_missed = self.misses > 0 && self.member.state.is_live();
        self.member.state.is_suspect() || is_missed
    }
}

#[derive(Clone, Debug)]
struct Broadcast<T> {
    item: T,
    retransmits: u32,
}

impl Members {
    /// A membership of `me` alone. `seed` seeds the choice of peers.
    #[must_use]
    pub fn new(me: Member, timing: MemberTiming, seed: u64) -> Self {
        Self {
            me,
            timing,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table: BTreeMap::new(),
            cells: BTreeMap::new(),
            known: Revision::default(),
            generation: 0,
            seeds: Vec::new(),
            listed: Listed::default(),
            extra: Vec::new(),
            member_cursor: None,
            cell_cursor: None,
        }
    }

    /// Handles `input` and appends outputs to `out`.
    pub fn handle(&mut self, now: Moment, input: MemberInput, out: &mut Vec<MemberOutput>) {
        let before = out.len();
        match input {
            MemberInput::Tick { stamp } => self.tick(now, stamp, out),
            MemberInput::Received { gossip, stamp } => {
                let (peer, size) = (gossip.from.address, gossip.size);
                self.merge_gossip(now, *gossip, out);
                let mut reply = self.message(stamp, peer);
                if size < self.size() {
                    self.fill(&mut reply.members);
                }
                out.push(MemberOutput::Reply(Box::new(reply)));
            }
            MemberInput::Answered(gossip) => self.merge_gossip(now, *gossip, out),
            MemberInput::NoReply(address) => self.record_miss(now, address, out),
            MemberInput::Seeds { seeds, is_complete } => self.update_seeds(now, seeds, is_complete),
            MemberInput::Claim { cell, epoch, delay } => self.claim(cell, epoch, delay, out),
            MemberInput::InForce(revision) => {
                self.me.revision = revision;
                self.me.count += 1;
                self.known = self.known.max(revision);
            }
            MemberInput::Known(revision) => self.known = self.known.max(revision),
            MemberInput::Extend(items) => self.extra = bounded(items),
            MemberInput::Leave => self.announce(MemberState::Leaving),
            MemberInput::Left => self.announce(MemberState::Left),
        }
        let is_change = |o: &MemberOutput| matches!(o, MemberOutput::Changed(_));
        self.generation += u64::from(out[before..].iter().any(is_change));
    }

    /// Incremented when a member or a proof of end changes.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The timing.
    #[must_use]
    pub fn timing(&self) -> &MemberTiming {
        &self.timing
    }

    /// This instance.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All members by name, this instance first.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.table.values().map(|k| &k.member))
    }

    /// Live and suspect members, this instance included if live.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.all()
            .filter(|m| matches!(m.state, MemberState::Live | MemberState::Suspect))
    }

    /// The member `name`.
    #[must_use]
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        if *name == self.me.name {
            return Some(&self.me);
        }
        self.table.get(name).map(|k| &k.member)
    }

    /// Claimed owner of `cell`.
    #[must_use]
    pub fn owner(&self, cell: &CellId) -> Option<&CellClaim> {
        self.cells.get(cell).map(|t| &t.item)
    }

    /// All known owners of cells.
    pub fn owners(&self) -> impl Iterator<Item = &CellClaim> {
        self.cells.values().map(|t| &t.item)
    }

    /// Highest accepted revision known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.known
    }

    /// Running members that have neither `revision` nor a later one in force.
    pub fn behind(&self, revision: Revision) -> impl Iterator<Item = &Member> {
        let is_running = |m: &&Member| !matches!(m.state, MemberState::Dead | MemberState::Left);
        self.all()
            .filter(is_running)
            .filter(move |m| m.revision < revision)
    }

    /// The first `count` live members in the order of a rendezvous hash for `key`.
    #[must_use]
    pub fn ranked(&self, key: &str, count: usize) -> Vec<&Member> {
        let mut ranked: Vec<(u64, &Member)> =
            self.live().map(|m| (weight(key, &m.name), m)).collect();
        ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        ranked.into_iter().take(count).map(|(_, m)| m).collect()
    }

    /// Input of the lease state machine of `cell`.
    #[must_use]
    pub fn lease_view(&self, cell: &CellId, config: &Config, lease: Option<&Lease>) -> LeaseView {
        let key = cell.to_string();
        let ranked = self.ranked(&key, usize::MAX).into_iter();
        let ranked = ranked.filter(|m| !config.centres.get(&m.centre).is_some_and(|c| c.out));
        let holders: BTreeSet<&Holder> = lease
            .into_iter()
            .flat_map(|l| [&l.owner, &l.kept, &l.spare])
            .collect();
        let is_lost = |h: &&&Holder| !self.is_running(h);
        let is_gone = |h: &&&Holder| self.is_gone(&h.name, h.incarnation);
        LeaseView {
            ranked: ranked.map(Member::holder).collect(),
            unreachable: holders.iter().filter(is_lost).copied().cloned().collect(),
            ended: holders.iter().filter(is_gone).copied().cloned().collect(),
        }
    }

    fn is_running(&self, holder: &Holder) -> bool {
        self.get(&holder.name).is_some_and(|m| {
            m.incarnation == holder.incarnation
                && !matches!(m.state, MemberState::Dead | MemberState::Left)
        })
    }

    /// Whether the process is proved to have ended: a later one has its name, it announced its
    /// end, or the platform has not listed it for longer than its list may lag.
    #[must_use]
    pub fn is_gone(&self, name: &InstanceName, incarnation: Incarnation) -> bool {
        let known = self.get(name);
        let is_replaced = known.is_some_and(|m| m.incarnation > incarnation);
        let has_left = known.is_some_and(|m| m.incarnation == incarnation && m.state.is_left());
        let absence = self.listed.absence(name).unwrap_or_default();
        let is_live = known.is_some_and(|m| m.incarnation == incarnation && m.state.is_live());
        is_replaced || has_left || (absence >= self.timing.lag && !is_live)
    }

    fn announce(&mut self, state: MemberState) {
        self.me.state = self.me.state.max(state);
        self.generation += 1;
        self.me.count += 1;
    }

    fn tick(&mut self, now: Moment, stamp: Stamp, out: &mut Vec<MemberOutput>) {
        self.expire(now, out);
        for address in self.peers() {
            out.push(MemberOutput::Exchange {
                address,
                gossip: Box::new(self.message(stamp, address)),
            });
        }
    }

    /// Peers for this round: random members and, at times, a seed or a dead member.
    fn peers(&mut self) -> Vec<SocketAddr> {
        let running = self.table.values().filter(|k| {
            let state = k.member.state;
            !matches!(state, MemberState::Dead | MemberState::Left)
        });
        let running: Vec<SocketAddr> = running.map(|k| k.member.address).collect();
        let mut peers: Vec<SocketAddr> = running.sample(&mut self.rng, FANOUT).copied().collect();
        let silent = self.table.values().filter(|k| k.is_silent());
        let silent = silent.map(|k| k.member.address);
        peers.extend(silent.sample(&mut self.rng, RETRIED_MEMBERS));
        peers.sort_unstable();
        peers.dedup();
        let is_own = |a: &SocketAddr| *a == self.me.address;
        let dead = self.table.values().filter(|k| k.member.state.is_dead());
        let dead = dead.map(|k| k.member.address);
        let seeds = self.seeds.iter().map(|s| s.address);
        let candidate = seeds
            .chain(dead)
            .filter(|a| !is_own(a) && !running.contains(a))
            .choose(&mut self.rng);
        let is_due = running.is_empty() || self.rng.random_ratio(1, SEED_ODDS);
        peers.extend(candidate.filter(|_| is_due));
        peers
    }

    /// Marks suspects dead that did not refute in time and removes old dead members.
    fn expire(&mut self, now: Moment, out: &mut Vec<MemberOutput>) {
        let (suspicion, retention) = (self.timing.suspicion, self.timing.retention);
        let retransmits = self.retransmit_limit();
        for known in self.table.values_mut() {
            if known.member.state.is_suspect() && now >= known.since.after(suspicion) {
                known.member.state = MemberState::Dead;
                known.since = now;
                known.retransmits = retransmits;
                out.push(MemberOutput::Changed(known.member.clone()));
            }
        }
        if let Some(before) = now.0.checked_sub(micros(retention)) {
            self.listed.forget(Moment(before));
        }
        self.table.retain(|_, known| {
            let has_ended = matches!(known.member.state, MemberState::Dead | MemberState::Left);
            !has_ended || now < known.since.after(retention)
        });
    }

    fn retransmit_limit(&self) -> u32 {
        RETRANSMIT_FACTOR * (usize::BITS - self.table.len().leading_zeros()).max(2)
    }

    fn record_miss(&mut self, now: Moment, address: SocketAddr, out: &mut Vec<MemberOutput>) {
        let retransmits = self.retransmit_limit();
        let known = self
            .table
            .values_mut()
            .find(|k| k.member.address == address);
        let Some(known) = known else { return };
        known.misses += 1;
        let is_healthy = matches!(known.member.state, MemberState::Live | MemberState::Leaving);
        if is_healthy && known.misses >= MISSES_TO_SUSPECT {
            known.member.state = MemberState::Suspect;
            known.since = now;
            known.retransmits = retransmits;
            out.push(MemberOutput::Changed(known.member.clone()));
        }
    }

    fn merge_gossip(&mut self, now: Moment, gossip: Gossip, out: &mut Vec<MemberOutput>) {
        let peer = gossip.from.name.clone();
        self.reset_misses(&gossip.from);
        self.merge(now, gossip.from, out);
        for member in gossip.members.into_iter().take(GOSSIP_MEMBERS) {
            self.merge(now, member, out);
        }
        for claim in gossip.cells.into_iter().take(GOSSIP_CELLS) {
            self.merge_claim(claim, out);
        }
        if gossip.known > self.known {
            self.known = gossip.known;
            let revision = gossip.known;
            let peer = peer.clone();
            out.push(MemberOutput::Revision { revision, peer });
        }
        if !gossip.extra.is_empty() {
            let items = bounded(gossip.extra);
            out.push(MemberOutput::Extra { from: peer, items });
        }
    }

    fn reset_misses(&mut self, peer: &Member) {
        if let Some(known) = self.table.get_mut(&peer.name) {
            known.misses = 0;
        }
    }

    fn merge(&mut self, now: Moment, member: Member, out: &mut Vec<MemberOutput>) {
        if member.name == self.me.name {
            self.refute(&member, out);
            return;
        }
        let retransmits = self.retransmit_limit();
        let old = self.table.get(&member.name).map(|k| &k.member);
        if old.is_some_and(|o| !member.is_newer(o)) {
            return;
        }
        let is_change = old.is_none_or(|o| {
            (o.state, o.incarnation) != (member.state, member.incarnation)
                || o.address != member.address
        });
        out.push(if is_change {
            MemberOutput::Changed(member.clone())
        } else {
            MemberOutput::Updated(member.clone())
        });
        let old = self
            .table
            .get(&member.name)
            .map(|k| (k.since, k.retransmits));
        let (since, retransmits) = old.filter(|_| !is_change).unwrap_or((now, retransmits));
        let name = member.name.clone();
        let known = Record {
            member,
            misses: 0,
            since,
            retransmits,
        };
        self.table.insert(name, known);
    }

    /// Refutes wrong records of this instance.
    fn refute(&mut self, received: &Member, out: &mut Vec<MemberOutput>) {
        if received.incarnation > self.me.incarnation {
            out.push(MemberOutput::Displaced(received.incarnation));
        } else if received.is_newer(&self.me) {
            self.me.count = received.count + 1;
        }
    }

    fn merge_claim(&mut self, claim: CellClaim, out: &mut Vec<MemberOutput>) {
        let order = |c: &CellClaim| (c.epoch, c.owner.clone(), c.count);
        let old = self.cells.get(&claim.cell);
        if old.is_some_and(|o| order(&o.item) >= order(&claim)) {
            return;
        }
        let retransmits = self.retransmit_limit();
        out.push(MemberOutput::Cell(claim.clone()));
        let cell = claim.cell.clone();
        self.cells.insert(
            cell,
            Broadcast {
                item: claim,
                retransmits,
            },
        );
    }

    fn claim(&mut self, cell: CellId, epoch: Epoch, delay: u32, out: &mut Vec<MemberOutput>) {
        let old = self.cells.get(&cell).map(|t| &t.item);
        let old = old.filter(|c| c.epoch == epoch && c.owner == self.me.name);
        let count = old.map_or(0, |c| c.count + 1);
        let claim = CellClaim {
            cell,
            epoch,
            count,
            owner: self.me.name.clone(),
            delay,
        };
        self.merge_claim(claim, out);
    }

    fn update_seeds(&mut self, now: Moment, seeds: Vec<Seed>, is_complete: bool) {
        if is_complete {
            self.listed.record(now, &seeds);
            self.generation += 1;
        }
        if !seeds.is_empty() {
            self.seeds = seeds;
        }
    }

    fn message(&mut self, stamp: Stamp, to: SocketAddr) -> Gossip {
        Gossip {
            from: self.me.clone(),
            stamp,
            known: self.known,
            size: self.size(),
            members: self.member_updates(to),
            cells: self.cell_updates(),
            extra: self.extra.clone(),
        }
    }

    /// Changed members, and the next few of the full table.
    ///
    /// A non-live record of the receiver goes first, so that its reply can refute it.
    fn member_updates(&mut self, to: SocketAddr) -> Vec<Member> {
        let is_not_live = |m: &&Member| m.address == to && !m.state.is_live();
        let all = self.table.values().map(|k| &k.member);
        let mut members: Vec<Member> = all.filter(is_not_live).take(1).cloned().collect();
        let mut changed: Vec<&mut Record> = self
            .table
            .values_mut()
            .filter(|k| k.retransmits > 0)
            .collect();
        changed.sort_by_key(|k| std::cmp::Reverse(k.retransmits));
        for known in changed.into_iter().take(GOSSIP_MEMBERS - SYNC_ENTRIES - 1) {
            known.retransmits -= 1;
            members.push(known.member.clone());
        }
        self.add_next(&mut members, SYNC_ENTRIES);
        members
    }

    /// Fills a reply to a peer that knows fewer members with more of the table.
    fn fill(&mut self, members: &mut Vec<Member>) {
        let room = GOSSIP_MEMBERS.saturating_sub(members.len());
        self.add_next(members, room);
    }

    /// Adds the next members of the table, restarting after the last.
    fn add_next(&mut self, members: &mut Vec<Member>, count: usize) {
        let after = self.member_cursor.take();
        let later = self.table.iter();
        let later = later.filter(|(name, _)| after.as_ref().is_none_or(|a| *name > a));
        for (name, known) in later.take(count) {
            self.member_cursor = Some(name.clone());
            members.push(known.member.clone());
        }
    }

    fn size(&self) -> u32 {
        u32::try_from(self.table.len()).unwrap_or(u32::MAX)
    }

    fn cell_updates(&mut self) -> Vec<CellClaim> {
        let mut changed: Vec<&mut Broadcast<CellClaim>> = self
            .cells
            .values_mut()
            .filter(|t| t.retransmits > 0)
            .collect();
        changed.sort_by_key(|t| std::cmp::Reverse(t.retransmits));
        let mut claims = Vec::new();
        for broadcast in changed.into_iter().take(GOSSIP_CELLS - SYNC_ENTRIES) {
            broadcast.retransmits -= 1;
            claims.push(broadcast.item.clone());
        }
        let after = self.cell_cursor.take();
        let later = self.cells.iter();
        let later = later.filter(|(cell, _)| after.as_ref().is_none_or(|a| *cell > a));
        for (cell, broadcast) in later.take(SYNC_ENTRIES) {
            self.cell_cursor = Some(cell.clone());
            claims.push(broadcast.item.clone());
        }
        claims
    }
}

impl Member {
    /// The member as holder of a lease.
    #[must_use]
    pub fn holder(&self) -> Holder {
        Holder {
            name: self.name.clone(),
            incarnation: self.incarnation,
            address: self.address,
        }
    }
}

/// Rendezvous weight of an instance for `key`; the highest ranks first.
pub(crate) fn weight(key: &str, name: &InstanceName) -> u64 {
    xxh3_64(format!("{key}\n{name}").as_bytes())
}

fn bounded(items: Vec<Extension>) -> Vec<Extension> {
    let mut room = GOSSIP_EXTRA;
    let fits = |e: &Extension| {
        let is_fit = e.body.len() <= room;
        room -= if is_fit { e.body.len() } else { 0 };
        is_fit
    };
    items.into_iter().filter(fits).collect()
}
