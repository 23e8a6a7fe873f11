//! State machine of one instance for the lease of one cell.
//!
//! Every instance runs one for each cell. Most of them are idle: only the owner writes, and only
//! holders of a half and the best candidate for a cell without an owner read. The machine has one
//! store call under way at most, and treats a write whose answer was lost as both done and not
//! done until a higher version of the object is known.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::lease::{
    Borrow, BorrowReply, Holder, Lease, LeaseEffect, LeaseInput, LeaseTiming, LeaseView, Part,
    Tenure, Yield,
};
use crate::moment::Moment;
use crate::name::{CellId, Epoch, InstanceName};
use crate::store::Version;

/// End of the use of an own half.
pub(crate) const FOREVER: Moment = Moment(u64::MAX);

/// Time for an owner's last write, which names the next owner, to be seen.
pub(crate) const TRANSFER: Duration = Duration::from_millis(500);

/// Distance of the epochs of two owners; the one between is the heir's.
pub(crate) const EPOCH_STEP: u64 = 2;

/// The lease machine.
#[derive(Clone, Debug)]
pub struct Keeper {
    pub(crate) me: Holder,
    pub(crate) cell: CellId,
    pub(crate) timing: LeaseTiming,
    pub(crate) view: LeaseView,
    pub(crate) object: Option<(Version, Lease)>,
    pub(crate) is_absent: bool,
    pub(crate) unchanged: Option<Moment>,
    pub(crate) call: Option<Call>,
    pub(crate) doubts: Vec<Lease>,
    pub(crate) due: Moment,
    pub(crate) until: Moment,
    pub(crate) claim: Option<(Epoch, InstanceName)>,
    pub(crate) heard: Option<Moment>,
    pub(crate) acting: Option<Epoch>,
    pub(crate) told: Option<Tenure>,
    pub(crate) lent: Option<Loan>,
    pub(crate) loans: BTreeMap<Holder, Moment>,
    pub(crate) freed: BTreeMap<Holder, Version>,
    pub(crate) offered: Option<(InstanceName, Version)>,
    pub(crate) gone: BTreeMap<Holder, Moment>,
    pub(crate) asked: Option<Moment>,
    pub(crate) number: u64,
    pub(crate) returned: Moment,
    pub(crate) is_blind: bool,
    pub(crate) is_stale: bool,
    pub(crate) drain: Drain,
    pub(crate) target: Option<Holder>,
    pub(crate) yielded: Option<(Epoch, Moment)>,
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) sent: Moment,
    pub(crate) write: Option<Lease>,
}

#[derive(Clone, Debug)]
pub(crate) struct Loan {
    pub(crate) to: Holder,
    pub(crate) number: u64,
    pub(crate) until: Moment,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Drain {
    No,
    Wanted,
    Moving,
    Moved,
}

impl Keeper {
    /// The machine of `me` for `cell`, knowing nothing.
    #[must_use]
    pub fn new(me: Holder, cell: CellId, timing: LeaseTiming) -> Self {
        Self {
            me,
            cell,
            timing,
            view: LeaseView::default(),
            object: None,
            is_absent: false,
            unchanged: None,
            call: None,
            doubts: Vec::new(),
            due: Moment::default(),
            until: Moment::default(),
            claim: None,
            heard: None,
            acting: None,
            told: None,
            lent: None,
            loans: BTreeMap::new(),
            freed: BTreeMap::new(),
            offered: None,
            gone: BTreeMap::new(),
            asked: None,
            number: 0,
            returned: Moment::default(),
            is_blind: false,
            is_stale: false,
            drain: Drain::No,
            target: None,
            yielded: None,
        }
    }

    /// The cell.
    #[must_use]
    pub fn cell(&self) -> &CellId {
        &self.cell
    }

    /// What this instance may do now, `None` if it does not act as owner.
    #[must_use]
    pub fn tenure(&self) -> Option<Tenure> {
        self.told
    }

    /// The lease as last read or written.
    #[must_use]
    pub fn lease(&self) -> Option<&Lease> {
        self.object.as_ref().map(|(_, lease)| lease)
    }

    /// Highest epoch known and who acts with it.
    #[must_use]
    pub fn claim(&self) -> Option<(Epoch, &InstanceName)> {
        self.claim.as_ref().map(|(epoch, owner)| (*epoch, owner))
    }

    /// Takes in `input` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Moment, input: LeaseInput, out: &mut Vec<LeaseEffect>) {
        self.heard = self.heard.or(Some(now));
        let is_fresh = matches!(input, LeaseInput::Stored(_) | LeaseInput::Read(_));
        match input {
            LeaseInput::Tick => {}
            LeaseInput::Stored(version) => self.stored(now, version),
            LeaseInput::Conflict => self.conflicted(now),
            LeaseInput::Unreachable => self.unreachable(now),
            LeaseInput::Unknown => self.unknown(now),
            LeaseInput::Read(object) => self.read(now, object),
            LeaseInput::View(view) => self.see(now, view),
            LeaseInput::Claim { epoch, owner } => {
                self.hear(now, epoch, &owner);
                if epoch == self.highest() {
                    self.heard = Some(now);
                }
            }
            LeaseInput::Reply { from, sent, reply } => self.replied(now, from, sent, reply),
            LeaseInput::Drain => self.start_drain(),
            LeaseInput::HandedOver => self.handed_over(now, out),
            LeaseInput::TakeOver(word) => self.take_over(now, &word),
        }
        self.act(now);
        if is_fresh && self.is_urgent(now) {
            self.due = now;
        }
        self.tell(now, out);
        self.hand_over(out);
        self.ask(now, out);
        self.call_store(now, out);
        // A write that gives a half away ends its use before the write is sent.
        self.tell(now, out);
    }

    /// Answers an acting owner that asks for this instance's half.
    pub fn lend(
        &mut self,
        now: Moment,
        borrow: &Borrow,
        out: &mut Vec<LeaseEffect>,
    ) -> BorrowReply {
        if borrow.epoch < self.highest() {
            return self.refusal();
        }
        if borrow.version > self.version() {
            self.learn(now, borrow.version, borrow.lease.clone());
        }
        self.hear(now, borrow.epoch, &borrow.from.name);
        if self.acting.is_some() || !self.may_lend(now, &borrow.from) {
            self.tell(now, out);
            return self.refusal();
        }
        self.lent = Some(Loan {
            to: borrow.from.clone(),
            number: borrow.number,
            until: now.after(borrow.span + self.timing.margin),
        });
        let free = self.gives_up(borrow);
        if free {
            self.offered = Some((borrow.from.name.clone(), borrow.version));
        }
        self.tell(now, out);
        BorrowReply::Lent {
            free: free.then_some(borrow.version),
        }
    }

    pub(crate) fn refusal(&self) -> BorrowReply {
        let (epoch, owner) = self
            .claim
            .clone()
            .unwrap_or((Epoch(0), self.me.name.clone()));
        BorrowReply::Refused { epoch, owner }
    }

    /// Whether no other instance has, or may come to have, the use of this one's halves.
    pub(crate) fn may_lend(&self, now: Moment, to: &Holder) -> bool {
        let is_lent = self
            .lent
            .as_ref()
            .is_some_and(|l| l.to != *to && now < l.until);
        let is_offered = self
            .offered
            .as_ref()
            .is_some_and(|(name, _)| *name != to.name);
        !is_lent && !is_offered
    }

    /// Whether the halves may go to the asker for good: it owns the cell in the store, and this
    /// instance has no use for them.
    pub(crate) fn gives_up(&self, borrow: &Borrow) -> bool {
        let is_owner = borrow.epoch.0.is_multiple_of(EPOCH_STEP);
        let Some((version, lease)) = &self.object else {
            return false;
        };
        let is_former = lease.kept == self.me;
        let is_unfit = self.drain != Drain::No || !self.view.ranked.contains(&self.me);
        is_owner && borrow.version >= *version && (is_former || is_unfit)
    }

    pub(crate) fn highest(&self) -> Epoch {
        self.claim.as_ref().map_or(Epoch(0), |(epoch, _)| *epoch)
    }

    pub(crate) fn see(&mut self, now: Moment, view: LeaseView) {
        self.view = view;
        for holder in &self.view.gone {
            self.gone.entry(holder.clone()).or_insert(now);
        }
        if self.acting.is_some() && !self.view.ranked.is_empty() && !self.is_ranked() {
            self.start_drain();
        } else if self.drain == Drain::Moved && self.is_ranked() && self.acting.is_none() {
            self.drain = Drain::No;
        }
    }

    pub(crate) fn is_ranked(&self) -> bool {
        self.view.ranked.contains(&self.me)
    }

    pub(crate) fn hear(&mut self, now: Moment, epoch: Epoch, owner: &InstanceName) {
        if epoch <= self.highest() {
            return;
        }
        let is_mine = *owner == self.me.name;
        self.claim = Some((epoch, owner.clone()));
        let Some(mine) = self.acting else { return };
        if is_mine || epoch <= mine {
            return;
        }
        // An owner whose lease is valid answers its heir's claim with a higher epoch.
        let is_owner = mine.0.is_multiple_of(EPOCH_STEP) && now < self.until;
        let is_heir = is_owner && epoch.0 == mine.0 + 1;
        if is_heir {
            self.due = now;
        } else {
            self.acting = None;
        }
    }

    pub(crate) fn replied(&mut self, now: Moment, from: Holder, sent: Moment, reply: BorrowReply) {
        match reply {
            BorrowReply::Lent { .. } if sent <= self.returned => {}
            BorrowReply::Lent { free } => {
                let until = sent.after(self.timing.loan);
                let known = self.loans.entry(from.clone()).or_default();
                *known = until.max(*known);
                let Some(version) = free else { return };
                if self.freed.insert(from, version) != Some(version) {
                    self.due = now;
                }
            }
            BorrowReply::Refused { epoch, owner } => self.hear(now, epoch, &owner),
        }
    }

    pub(crate) fn start_drain(&mut self) {
        if self.drain == Drain::No {
            self.drain = Drain::Wanted;
        }
    }

    /// Stops to act, returns what was borrowed and says so to the next owner.
    pub(crate) fn handed_over(&mut self, now: Moment, out: &mut Vec<LeaseEffect>) {
        if self.drain != Drain::Moving {
            return;
        }
        let epoch = self.acting.take();
        self.drain = Drain::Moved;
        self.due = now;
        self.loans.clear();
        self.returned = now;
        if let (Some(epoch), Some(to)) = (epoch, self.target.clone()) {
            let word = Yield {
                cell: self.cell.clone(),
                from: self.me.clone(),
                epoch,
                number: self.number,
            };
            out.push(LeaseEffect::Yield { to, word });
        }
    }

    pub(crate) fn take_over(&mut self, now: Moment, word: &Yield) {
        let is_returned = |l: &Loan| l.to == word.from && l.number <= word.number;
        if self.lent.as_ref().is_some_and(is_returned) {
            self.lent = None;
        }
        if word.epoch >= self.highest() {
            self.yielded = Some((word.epoch, now));
            self.is_stale = true;
            self.due = now;
        }
    }

    pub(crate) fn stored(&mut self, now: Moment, version: Version) {
        let Some(Call {
            sent,
            write: Some(lease),
        }) = self.call.take()
        else {
            return;
        };
        if lease.owner == self.me {
            self.until = sent.after(self.timing.length);
        }
        self.is_blind = false;
        self.asked = None;
        if version > self.version() {
            self.learn(now, version, lease);
        }
    }

    pub(crate) fn read(&mut self, now: Moment, object: Option<(Version, Lease)>) {
        self.call = None;
        self.is_blind = false;
        self.is_stale = false;
        self.is_absent = object.is_none();
        let Some((version, lease)) = object else {
            return;
        };
        let known = self.version();
        if version < known {
            return;
        }
        if version == known {
            self.unchanged = self.unchanged.or(Some(now));
            return;
        }
        self.learn(now, version, lease);
        self.unchanged = Some(now);
    }

    /// Takes in a version of the object that is higher than the one known.
    pub(crate) fn learn(&mut self, now: Moment, version: Version, lease: Lease) {
        self.is_absent = false;
        self.unchanged = None;
        self.doubts.clear();
        self.hear(now, lease.epoch, &lease.owner.name);
        if self.offered.as_ref().is_some_and(|(_, v)| version > *v) {
            self.offered = None;
        }
        if lease.owner != self.me || self.highest() != lease.epoch {
            self.due = self.due.max(now.after(self.timing.renew));
        } else if self.acting.is_some() && self.acting != Some(lease.epoch) {
            self.acting = Some(lease.epoch);
        }
        self.object = Some((version, lease));
    }

    pub(crate) fn conflicted(&mut self, now: Moment) {
        self.call = None;
        self.is_blind = false;
        self.is_stale = true;
        self.due = now;
    }

    pub(crate) fn unreachable(&mut self, now: Moment) {
        self.call = None;
        self.blind(now);
    }

    pub(crate) fn unknown(&mut self, now: Moment) {
        if let Some(Call {
            write: Some(lease), ..
        }) = self.call.take()
        {
            self.doubts.push(lease);
        }
        self.blind(now);
    }

    /// A gap in the view of the store starts the wait for the lease's end anew.
    pub(crate) fn blind(&mut self, now: Moment) {
        self.is_blind = true;
        self.unchanged = None;
        self.due = now.after(self.timing.borrow);
    }

    pub(crate) fn version(&self) -> Version {
        self.object
            .as_ref()
            .map_or_else(Version::default, |(v, _)| *v)
    }

    pub(crate) fn is_lost(&self, holder: &Holder) -> bool {
        self.view.lost.contains(holder) || self.gone.contains_key(holder)
    }

    /// Starts to act where this instance is entitled to.
    pub(crate) fn act(&mut self, now: Moment) {
        let Some((_, lease)) = &self.object else {
            return;
        };
        if self.acting.is_some() || self.offered.is_some() || self.drain == Drain::Moved {
            return;
        }
        let highest = self.highest();
        if lease.owner == self.me {
            if highest <= lease.epoch {
                self.acting = Some(lease.epoch);
                self.asked = None;
            }
            return;
        }
        let epoch = Epoch(lease.epoch.0 + 1);
        let is_heir = lease.spare == self.me && highest <= epoch;
        let is_alone = self.is_lost(&lease.owner) || self.is_yielded(now, lease);
        if is_heir && is_alone && !self.is_lent(now) && self.drain == Drain::No {
            self.acting = Some(epoch);
            self.asked = None;
            self.claim = Some((epoch, self.me.name.clone()));
        }
    }

    /// Whether the owner has stopped and its last write of the lease cannot be waited for.
    pub(crate) fn is_yielded(&self, now: Moment, lease: &Lease) -> bool {
        self.yielded.is_some_and(|(epoch, since)| {
            let is_late = now >= since.after(TRANSFER);
            epoch == lease.epoch && (is_late || self.is_blind)
        })
    }

    pub(crate) fn is_lent(&self, now: Moment) -> bool {
        self.lent.as_ref().is_some_and(|l| now < l.until)
    }

    /// Tells the tenure if it has changed.
    pub(crate) fn tell(&mut self, now: Moment, out: &mut Vec<LeaseEffect>) {
        let tenure = self.acting.and_then(|epoch| self.halves(now, epoch));
        match (&self.told, &tenure) {
            (None, Some(t)) => out.push(LeaseEffect::Gained(*t)),
            (Some(old), Some(t)) if old != t => out.push(LeaseEffect::Renewed(*t)),
            (Some(_), None) => out.push(LeaseEffect::Lost),
            _ => {}
        }
        self.told = tenure;
    }

    /// What the halves that may be used now amount to.
    pub(crate) fn halves(&self, now: Moment, epoch: Epoch) -> Option<Tenure> {
        let (_, lease) = self.object.as_ref()?;
        let kept = self.use_of(now, &lease.kept, |l| &l.kept);
        let spare = self.use_of(now, &lease.spare, |l| &l.spare);
        let part = Part::from_halves(kept.is_some(), spare.is_some())?;
        let ends = [kept, spare].into_iter().flatten();
        let until = ends.min().unwrap_or_default();
        let is_own = |end: Option<Moment>| end == Some(FOREVER);
        Some(Tenure {
            epoch,
            part,
            until,
            after: Part::from_halves(is_own(kept), is_own(spare)),
        })
    }

    /// Until when this instance may use the half of `holder`, `None` if not at all.
    pub(crate) fn use_of(
        &self,
        now: Moment,
        holder: &Holder,
        half: impl Fn(&Lease) -> &Holder,
    ) -> Option<Moment> {
        if *holder != self.me {
            let until = self.loans.get(holder)?;
            return (now < *until).then_some(*until);
        }
        let pending = self.call.iter().filter_map(|c| c.write.as_ref());
        let is_sure = self
            .doubts
            .iter()
            .chain(pending)
            .all(|l| *half(l) == self.me);
        let is_free = self.offered.is_none() && !self.is_lent(now);
        (is_sure && is_free).then_some(FOREVER)
    }

    /// Chooses the next owner of a cell that this instance has to leave.
    pub(crate) fn hand_over(&mut self, out: &mut Vec<LeaseEffect>) {
        if self.drain != Drain::Wanted {
            return;
        }
        let Some((_, lease)) = self.object.as_ref().filter(|_| self.acting.is_some()) else {
            self.drain = Drain::Moved;
            return;
        };
        let others = || self.view.ranked.iter().filter(|h| **h != self.me);
        let heir = others().find(|h| **h == lease.spare);
        let Some(to) = heir.or_else(|| others().next()).cloned() else {
            return;
        };
        self.drain = Drain::Moving;
        self.target = Some(to.clone());
        out.push(LeaseEffect::HandOver { to });
    }

    /// Asks the holders of the other halves for a loan.
    pub(crate) fn ask(&mut self, now: Moment, out: &mut Vec<LeaseEffect>) {
        let Some((version, lease)) = &self.object else {
            return;
        };
        let Some(epoch) = self.acting else { return };
        let is_due = self
            .asked
            .is_none_or(|a| now >= a.after(self.timing.borrow));
        if !is_due {
            return;
        }
        self.asked = Some(now);
        self.number += 1;
        let spare = Some(&lease.spare).filter(|s| **s != lease.kept);
        for to in std::iter::once(&lease.kept).chain(spare) {
            if *to == self.me || self.gone.contains_key(to) {
                continue;
            }
            let borrow = Borrow {
                cell: self.cell.clone(),
                from: self.me.clone(),
                epoch,
                lease: lease.clone(),
                version: *version,
                span: self.timing.loan,
                number: self.number,
            };
            out.push(LeaseEffect::Borrow {
                to: to.clone(),
                borrow: Box::new(borrow),
                sent: now,
            });
        }
    }
}
