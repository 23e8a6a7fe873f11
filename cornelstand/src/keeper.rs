//! State machine of one instance for the lease of one cell.
//!
//! Every instance runs one for each cell. Most of them are idle: only the owner writes, and only
//! holders of a half and the best candidate for a cell without an owner read. At most one store
//! call is in flight. A write whose response was lost counts as both applied and not applied until
//! a higher version of the object is known.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::lease::{
    Borrow, BorrowReply, Holder, Lease, LeaseEffect, LeaseInput, LeaseTiming, LeaseView, Part,
    Tenure, Yield,
};
use crate::moment::Moment;
use crate::name::{CellId, Epoch, InstanceName};
use crate::store::Version;

/// End of use of a half held locally.
pub(crate) const FOREVER: Moment = Moment(u64::MAX);

/// Wait for the former owner's last write, which names the next owner.
pub(crate) const TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);

/// Difference of successive owners' epochs; the heir acts under the one between.
pub(crate) const EPOCH_STEP: u64 = 2;

/// Lease state machine.
#[derive(Clone, Debug)]
pub struct LeaseMachine {
    pub(crate) me: Holder,
    pub(crate) cell: CellId,
    pub(crate) timing: LeaseTiming,
    pub(crate) view: LeaseView,
    pub(crate) object: Option<(Version, Lease)>,
    pub(crate) is_absent: bool,
    pub(crate) unchanged_since: Option<Moment>,
    pub(crate) call: Option<Call>,
    pub(crate) uncertain_writes: Vec<Lease>,
    pub(crate) next_call: Moment,
    pub(crate) lease_end: Moment,
    pub(crate) claim: Option<(Epoch, InstanceName)>,
    pub(crate) last_claim: Option<Moment>,
    pub(crate) own_epoch: Option<Epoch>,
    pub(crate) reported: Option<Tenure>,
    pub(crate) lent: Option<Loan>,
    pub(crate) borrowed: BTreeMap<Holder, Moment>,
    pub(crate) released: BTreeMap<Holder, Version>,
    pub(crate) offered: Option<(InstanceName, Version)>,
    pub(crate) gone: BTreeMap<Holder, Moment>,
    pub(crate) last_borrow: Option<Moment>,
    pub(crate) number: u64,
    pub(crate) returned_at: Moment,
    pub(crate) is_disconnected: bool,
    pub(crate) is_stale: bool,
    pub(crate) drain: Drain,
    pub(crate) successor: Option<Holder>,
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
    Requested,
    Moving,
    Moved,
}

impl LeaseMachine {
    /// Creates the machine of `me` for `cell`.
    #[must_use]
    pub fn new(me: Holder, cell: CellId, timing: LeaseTiming) -> Self {
        Self {
            me,
            cell,
            timing,
            view: LeaseView::default(),
            object: None,
            is_absent: false,
            unchanged_since: None,
            call: None,
            uncertain_writes: Vec::new(),
            next_call: Moment::default(),
            lease_end: Moment::default(),
            claim: None,
            last_claim: None,
            own_epoch: None,
            reported: None,
            lent: None,
            borrowed: BTreeMap::new(),
            released: BTreeMap::new(),
            offered: None,
            gone: BTreeMap::new(),
            last_borrow: None,
            number: 0,
            returned_at: Moment::default(),
            is_disconnected: false,
            is_stale: false,
            drain: Drain::No,
            successor: None,
            yielded: None,
        }
    }

    /// The leased cell.
    #[must_use]
    pub fn cell(&self) -> &CellId {
        &self.cell
    }

    /// Current tenure, `None` if this instance does not act as owner.
    #[must_use]
    pub fn tenure(&self) -> Option<Tenure> {
        self.reported
    }

    /// The lease as last read or written.
    #[must_use]
    pub fn lease(&self) -> Option<&Lease> {
        self.object.as_ref().map(|(_, lease)| lease)
    }

    /// Highest known epoch and its owner.
    #[must_use]
    pub fn claim(&self) -> Option<(Epoch, &InstanceName)> {
        self.claim.as_ref().map(|(epoch, owner)| (*epoch, owner))
    }

    /// Processes `input` and appends the effects to `out`.
    pub fn handle(&mut self, now: Moment, input: LeaseInput, out: &mut Vec<LeaseEffect>) {
        self.last_claim = self.last_claim.or(Some(now));
        let is_fresh = matches!(input, LeaseInput::Stored(_) | LeaseInput::Read(_));
        match input {
            LeaseInput::Tick => {}
            LeaseInput::Stored(version) => self.handle_stored(now, version),
            LeaseInput::Conflict => self.handle_conflict(now),
            LeaseInput::Unreachable => self.handle_unreachable(now),
            LeaseInput::Unknown => self.handle_unknown(now),
            LeaseInput::Read(object) => self.handle_read(now, object),
            LeaseInput::View(view) => self.update_view(now, view),
            LeaseInput::Claim { epoch, owner } => {
                self.observe_epoch(now, epoch, &owner);
                if epoch == self.highest_epoch() {
                    self.last_claim = Some(now);
                }
            }
            LeaseInput::Reply { from, sent, reply } => self.handle_reply(now, from, sent, reply),
            LeaseInput::Drain => self.start_drain(),
            LeaseInput::HandedOver => self.finish_hand_over(now, out),
            LeaseInput::TakeOver(notice) => self.take_over(now, &notice),
        }
        self.start_acting(now);
        if is_fresh && self.is_urgent(now) {
            self.next_call = now;
        }
        self.report_tenure(now, out);
        self.choose_successor(out);
        self.request_loans(now, out);
        self.call_store(now, out);
        // Use of a half ends before a write that gives it away is sent.
        self.report_tenure(now, out);
    }

    /// Answers an acting owner's request for this instance's half.
    pub fn lend(
        &mut self,
        now: Moment,
        borrow: &Borrow,
        out: &mut Vec<LeaseEffect>,
    ) -> BorrowReply {
        if borrow.epoch < self.highest_epoch() {
            return self.refusal();
        }
        if borrow.version > self.version() {
            self.update_lease(now, borrow.version, borrow.lease.clone());
        }
        self.observe_epoch(now, borrow.epoch, &borrow.from.name);
        if self.own_epoch.is_some() || !self.may_lend(now, &borrow.from) {
            self.report_tenure(now, out);
            return self.refusal();
        }
        self.lent = Some(Loan {
            to: borrow.from.clone(),
            number: borrow.number,
            until: now.after(borrow.span + self.timing.margin),
        });
        let free = self.releases_half(borrow);
        if free {
            self.offered = Some((borrow.from.name.clone(), borrow.version));
        }
        self.report_tenure(now, out);
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

    /// Whether this instance's halves are neither lent nor released to another instance.
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

    /// Whether the halves may pass to the borrower permanently: it owns the cell in the store, and
    /// this instance has no use for them.
    pub(crate) fn releases_half(&self, borrow: &Borrow) -> bool {
        let is_owner = borrow.epoch.0.is_multiple_of(EPOCH_STEP);
        let Some((version, lease)) = &self.object else {
            return false;
        };
        let is_former = lease.kept == self.me;
        let is_unfit = self.drain != Drain::No || !self.view.ranked.contains(&self.me);
        is_owner && borrow.version >= *version && (is_former || is_unfit)
    }

    pub(crate) fn highest_epoch(&self) -> Epoch {
        self.claim.as_ref().map_or(Epoch(0), |(epoch, _)| *epoch)
    }

    pub(crate) fn update_view(&mut self, now: Moment, view: LeaseView) {
        self.view = view;
        for holder in &self.view.ended {
            self.gone.entry(holder.clone()).or_insert(now);
        }
        if self.own_epoch.is_some() && !self.view.ranked.is_empty() && !self.is_ranked() {
            self.start_drain();
        } else if self.drain == Drain::Moved && self.is_ranked() && self.own_epoch.is_none() {
            self.drain = Drain::No;
        }
    }

    pub(crate) fn is_ranked(&self) -> bool {
        self.view.ranked.contains(&self.me)
    }

    pub(crate) fn observe_epoch(&mut self, now: Moment, epoch: Epoch, owner: &InstanceName) {
        if epoch <= self.highest_epoch() {
            return;
        }
        let is_mine = *owner == self.me.name;
        self.claim = Some((epoch, owner.clone()));
        let Some(mine) = self.own_epoch else { return };
        if is_mine || epoch <= mine {
            return;
        }
        // An owner with a valid lease answers its heir's claim with a higher epoch.
        let is_owner = mine.0.is_multiple_of(EPOCH_STEP) && now < self.lease_end;
        let is_heir = is_owner && epoch.0 == mine.0 + 1;
        if is_heir {
            self.next_call = now;
        } else {
            self.own_epoch = None;
        }
    }

    pub(crate) fn handle_reply(
        &mut self,
        now: Moment,
        from: Holder,
        sent: Moment,
        reply: BorrowReply,
    ) {
        match reply {
            BorrowReply::Lent { .. } if sent <= self.returned_at => {}
            BorrowReply::Lent { free } => {
                let until = sent.after(self.timing.loan);
                let known = self.borrowed.entry(from.clone()).or_default();
                *known = until.max(*known);
                let Some(version) = free else { return };
                if self.released.insert(from, version) != Some(version) {
                    self.next_call = now;
                }
            }
            BorrowReply::Refused { epoch, owner } => self.observe_epoch(now, epoch, &owner),
        }
    }

    pub(crate) fn start_drain(&mut self) {
        if self.drain == Drain::No {
            self.drain = Drain::Requested;
        }
    }

    /// Stops acting as owner, returns loans and notifies the next owner.
    pub(crate) fn finish_hand_over(&mut self, now: Moment, out: &mut Vec<LeaseEffect>) {
        if self.drain != Drain::Moving {
            return;
        }
        let epoch = self.own_epoch.take();
        self.drain = Drain::Moved;
        self.next_call = now;
        self.borrowed.clear();
        self.returned_at = now;
        if let (Some(epoch), Some(to)) = (epoch, self.successor.clone()) {
            let notice = Yield {
                cell: self.cell.clone(),
                from: self.me.clone(),
                epoch,
                number: self.number,
            };
            out.push(LeaseEffect::Yield { to, notice });
        }
    }

    pub(crate) fn take_over(&mut self, now: Moment, notice: &Yield) {
        let is_returned = |l: &Loan| l.to == notice.from && l.number <= notice.number;
        if self.lent.as_ref().is_some_and(is_returned) {
            self.lent = None;
        }
        if notice.epoch >= self.highest_epoch() {
            self.yielded = Some((notice.epoch, now));
            self.is_stale = true;
            self.next_call = now;
        }
    }

    pub(crate) fn handle_stored(&mut self, now: Moment, version: Version) {
        let Some(Call {
            sent,
            write: Some(lease),
        }) = self.call.take()
        else {
            return;
        };
        if lease.owner == self.me {
            self.lease_end = sent.after(self.timing.length);
        }
        self.is_disconnected = false;
        self.last_borrow = None;
        if version > self.version() {
            self.update_lease(now, version, lease);
        }
    }

    pub(crate) fn handle_read(&mut self, now: Moment, object: Option<(Version, Lease)>) {
        self.call = None;
        self.is_disconnected = false;
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
            self.unchanged_since = self.unchanged_since.or(Some(now));
            return;
        }
        self.update_lease(now, version, lease);
        self.unchanged_since = Some(now);
    }

    /// Adopts a version of the object that is newer than the known one.
    pub(crate) fn update_lease(&mut self, now: Moment, version: Version, lease: Lease) {
        self.is_absent = false;
        self.unchanged_since = None;
        self.uncertain_writes.clear();
        self.observe_epoch(now, lease.epoch, &lease.owner.name);
        if self.offered.as_ref().is_some_and(|(_, v)| version > *v) {
            self.offered = None;
        }
        if lease.owner != self.me || self.highest_epoch() != lease.epoch {
            self.next_call = self.next_call.max(now.after(self.timing.renew));
        } else if self.own_epoch.is_some() && self.own_epoch != Some(lease.epoch) {
            self.own_epoch = Some(lease.epoch);
        }
        self.object = Some((version, lease));
    }

    pub(crate) fn handle_conflict(&mut self, now: Moment) {
        self.call = None;
        self.is_disconnected = false;
        self.is_stale = true;
        self.next_call = now;
    }

    pub(crate) fn handle_unreachable(&mut self, now: Moment) {
        self.call = None;
        self.lose_store(now);
    }

    pub(crate) fn handle_unknown(&mut self, now: Moment) {
        if let Some(Call {
            write: Some(lease), ..
        }) = self.call.take()
        {
            self.uncertain_writes.push(lease);
        }
        self.lose_store(now);
    }

    /// Restarts the wait for the lease's expiry after a failed store call.
    pub(crate) fn lose_store(&mut self, now: Moment) {
        self.is_disconnected = true;
        self.unchanged_since = None;
        self.next_call = now.after(self.timing.borrow);
    }

    pub(crate) fn version(&self) -> Version {
        self.object
            .as_ref()
            .map_or_else(Version::default, |(v, _)| *v)
    }

    pub(crate) fn is_lost(&self, holder: &Holder) -> bool {
        self.view.unreachable.contains(holder) || self.gone.contains_key(holder)
    }

    /// Starts acting as owner if entitled to.
    pub(crate) fn start_acting(&mut self, now: Moment) {
        let Some((_, lease)) = &self.object else {
            return;
        };
        if self.own_epoch.is_some() || self.offered.is_some() || self.drain == Drain::Moved {
            return;
        }
        let highest = self.highest_epoch();
        if lease.owner == self.me {
            if highest <= lease.epoch {
                self.own_epoch = Some(lease.epoch);
                self.last_borrow = None;
            }
            return;
        }
        let epoch = Epoch(lease.epoch.0 + 1);
        let is_heir = lease.spare == self.me && highest <= epoch;
        let is_alone = self.is_lost(&lease.owner) || self.is_yielded(now, lease);
        if is_heir && is_alone && !self.is_lent(now) && self.drain == Drain::No {
            self.own_epoch = Some(epoch);
            self.last_borrow = None;
            self.claim = Some((epoch, self.me.name.clone()));
        }
    }

    /// Whether the owner has stopped and its last write is overdue or cannot be read.
    pub(crate) fn is_yielded(&self, now: Moment, lease: &Lease) -> bool {
        self.yielded.is_some_and(|(epoch, since)| {
            let is_late = now >= since.after(TRANSFER_TIMEOUT);
            epoch == lease.epoch && (is_late || self.is_disconnected)
        })
    }

    pub(crate) fn is_lent(&self, now: Moment) -> bool {
        self.lent.as_ref().is_some_and(|l| now < l.until)
    }

    /// Emits the tenure if it has changed.
    pub(crate) fn report_tenure(&mut self, now: Moment, out: &mut Vec<LeaseEffect>) {
        let tenure = self
            .own_epoch
            .and_then(|epoch| self.usable_halves(now, epoch));
        match (&self.reported, &tenure) {
            (None, Some(t)) => out.push(LeaseEffect::Gained(*t)),
            (Some(old), Some(t)) if old != t => out.push(LeaseEffect::Renewed(*t)),
            (Some(_), None) => out.push(LeaseEffect::Lost),
            _ => {}
        }
        self.reported = tenure;
    }

    /// Tenure that follows from the usable halves.
    pub(crate) fn usable_halves(&self, now: Moment, epoch: Epoch) -> Option<Tenure> {
        let (_, lease) = self.object.as_ref()?;
        let kept = self.usable_until(now, &lease.kept, |l| &l.kept);
        let spare = self.usable_until(now, &lease.spare, |l| &l.spare);
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

    /// End of this instance's use of the half of `holder`, `None` if not usable.
    pub(crate) fn usable_until(
        &self,
        now: Moment,
        holder: &Holder,
        half: impl Fn(&Lease) -> &Holder,
    ) -> Option<Moment> {
        if *holder != self.me {
            let until = self.borrowed.get(holder)?;
            return (now < *until).then_some(*until);
        }
        let pending = self.call.iter().filter_map(|c| c.write.as_ref());
        let is_sure = self
            .uncertain_writes
            .iter()
            .chain(pending)
            .all(|l| *half(l) == self.me);
        let is_free = self.offered.is_none() && !self.is_lent(now);
        (is_sure && is_free).then_some(FOREVER)
    }

    /// Chooses the next owner when this instance drains.
    pub(crate) fn choose_successor(&mut self, out: &mut Vec<LeaseEffect>) {
        if self.drain != Drain::Requested {
            return;
        }
        let Some((_, lease)) = self.object.as_ref().filter(|_| self.own_epoch.is_some()) else {
            self.drain = Drain::Moved;
            return;
        };
        let others = || self.view.ranked.iter().filter(|h| **h != self.me);
        let heir = others().find(|h| **h == lease.spare);
        let Some(to) = heir.or_else(|| others().next()).cloned() else {
            return;
        };
        self.drain = Drain::Moving;
        self.successor = Some(to.clone());
        out.push(LeaseEffect::HandOver { to });
    }

    /// Requests loans from the holders of the other halves.
    pub(crate) fn request_loans(&mut self, now: Moment, out: &mut Vec<LeaseEffect>) {
        let Some((version, lease)) = &self.object else {
            return;
        };
        let Some(epoch) = self.own_epoch else { return };
        let is_due = self
            .last_borrow
            .is_none_or(|a| now >= a.after(self.timing.borrow));
        if !is_due {
            return;
        }
        self.last_borrow = Some(now);
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
