//! Store calls of a lease state machine: when they are made and what they write.
//!
//! At most one call is in flight. Normally only the owner writes. Another instance writes if the
//! lease is absent, free or assigned to it.

use crate::keeper::{Call, Drain, EPOCH_STEP, LeaseMachine};
use crate::lease::{Holder, Lease, LeaseEffect};
use crate::moment::Moment;
use crate::name::Epoch;
use crate::store::Condition;

impl LeaseMachine {
    /// Starts the next store call, if one is due.
    pub(crate) fn call_store(&mut self, now: Moment, out: &mut Vec<LeaseEffect>) {
        if self.call.is_some() || now < self.next_call {
            return;
        }
        let write = if self.is_stale {
            None
        } else {
            self.next_write(now)
        };
        if write.is_none() && !self.needs_read(now) {
            return;
        }
        self.next_call = now.after(self.timing.renew);
        self.call = Some(Call {
            sent: now,
            write: write.clone(),
        });
        out.push(match write {
            Some(lease) => LeaseEffect::Write {
                condition: self.condition(),
                lease: Box::new(lease),
            },
            None => LeaseEffect::Read,
        });
    }

    /// Whether the next write changes more than the renewal count.
    pub(crate) fn is_urgent(&self, now: Moment) -> bool {
        let Some(next) = self.next_write(now) else {
            return false;
        };
        self.lease().is_none_or(|lease| {
            let order = |l: &Lease| (l.epoch, l.owner.clone(), l.kept.clone(), l.spare.clone());
            order(lease) != order(&next)
        })
    }

    pub(crate) fn condition(&self) -> Condition {
        let version = self.object.as_ref().map(|(version, _)| *version);
        version.map_or(Condition::Absent, Condition::Match)
    }

    /// The lease to write now, if any.
    pub(crate) fn next_write(&self, now: Moment) -> Option<Lease> {
        let Some((_, lease)) = &self.object else {
            return self.may_create(now).then(|| self.initial_lease());
        };
        let is_owner = lease.owner == self.me;
        if is_owner && self.drain == Drain::Moved {
            return self
                .successor
                .as_ref()
                .map(|to| self.transferred_lease(now, lease, to));
        }
        if is_owner && (self.own_epoch.is_some() || self.may_resume(now)) {
            return Some(self.renewed_lease(now, lease));
        }
        if !is_owner && self.may_take(now, lease) {
            let mut taken = lease.clone();
            taken.owner = self.me.clone();
            taken.epoch = self.next_epoch(lease);
            return Some(self.renewed_lease(now, &taken));
        }
        None
    }

    pub(crate) fn may_create(&self, now: Moment) -> bool {
        self.is_absent && self.is_candidate(now, None) && self.drain == Drain::No
    }

    pub(crate) fn initial_lease(&self) -> Lease {
        Lease {
            cell: self.cell.clone(),
            epoch: Epoch((self.highest_epoch().0 / EPOCH_STEP + 1) * EPOCH_STEP),
            owner: self.me.clone(),
            kept: self.me.clone(),
            spare: self.me.clone(),
            renewals: 0,
        }
    }

    pub(crate) fn next_epoch(&self, lease: &Lease) -> Epoch {
        let highest = self.highest_epoch().max(lease.epoch);
        Epoch((highest.0 / EPOCH_STEP + 1) * EPOCH_STEP)
    }

    /// Whether an owner that yielded to its heir may resume: the heir no longer borrows.
    pub(crate) fn may_resume(&self, now: Moment) -> bool {
        let is_idle = !self.is_lent(now) && self.offered.is_none();
        is_idle && self.drain == Drain::No && !self.is_disconnected
    }

    /// Whether this instance may take over the lease of a lost owner.
    pub(crate) fn may_take(&self, now: Moment, lease: &Lease) -> bool {
        if !self.is_ranked() || self.drain != Drain::No {
            return false;
        }
        let wait = self.timing.length + self.timing.margin;
        let is_silent = self
            .unchanged_since
            .is_some_and(|since| now >= since.after(wait));
        let is_over =
            is_silent || self.gone.contains_key(&lease.owner) || self.is_yielded(now, lease);
        if self.own_epoch.is_some() {
            return is_over;
        }
        let is_heir = lease.spare == self.me;
        let is_lost = |holder| self.is_lost(holder) || self.is_unclaimed(now);
        let is_next = is_heir || (is_lost(&lease.spare) && self.is_candidate(now, Some(lease)));
        is_over && is_next && is_lost(&lease.owner)
    }

    /// Whether no claim of the cell was received for two lease lengths.
    pub(crate) fn is_unclaimed(&self, now: Moment) -> bool {
        let wait = 2 * self.timing.length;
        self.last_claim
            .is_some_and(|heard| now >= heard.after(wait))
    }

    /// Whether this instance is the best candidate besides the holders, or the second best if the
    /// cell has been unclaimed for long.
    pub(crate) fn is_candidate(&self, now: Moment, lease: Option<&Lease>) -> bool {
        let is_holder = |h: &&Holder| lease.is_some_and(|l| **h == l.owner || **h == l.spare);
        let others = self.view.ranked.iter().filter(|h| !is_holder(h));
        let count = 1 + usize::from(self.is_unclaimed(now));
        others.take(count).any(|h| *h == self.me)
    }

    /// The lease renewed by this instance as owner, with the halves that it may take or give to an
    /// heir.
    pub(crate) fn renewed_lease(&self, now: Moment, lease: &Lease) -> Lease {
        let mut next = lease.clone();
        next.renewals += 1;
        if self.highest_epoch() > next.epoch {
            next.epoch = self.next_epoch(&next);
        }
        if self.may_reassign(now, &lease.kept) {
            next.kept = self.me.clone();
        }
        if self.may_reassign(now, &lease.spare) {
            next.spare = self.me.clone();
        }
        // A half taken by this write may already be in use here on loan, so only a later write may
        // give it to an heir.
        let is_whole = lease.kept == self.me && lease.spare == self.me;
        if is_whole && !self.is_lent(now) {
            next.spare = self.heir();
        }
        next
    }

    /// Whether this instance may take the half of `holder`.
    pub(crate) fn may_reassign(&self, now: Moment, holder: &Holder) -> bool {
        let is_freed = self.released.get(holder) == Some(&self.version());
        let wait = self.timing.loan + self.timing.margin;
        let is_gone = self
            .gone
            .get(holder)
            .is_some_and(|since| now >= since.after(wait));
        is_freed || is_gone
    }

    pub(crate) fn heir(&self) -> Holder {
        let mut others = self.view.ranked.iter().filter(|h| **h != self.me);
        others.next().unwrap_or(&self.me).clone()
    }

    pub(crate) fn transferred_lease(&self, now: Moment, lease: &Lease, to: &Holder) -> Lease {
        let mut next = lease.clone();
        next.owner = to.clone();
        next.epoch = self.next_epoch(lease);
        next.renewals += 1;
        // A lent half stays until the next owner requests it after the loan.
        let is_lent = self.is_lent(now);
        for half in [&mut next.kept, &mut next.spare] {
            if *half == self.me && !is_lent {
                *half = to.clone();
            }
        }
        next
    }

    /// Whether the lease object must be read now.
    pub(crate) fn needs_read(&self, now: Moment) -> bool {
        if self.is_stale || self.offered.is_some() || !self.uncertain_writes.is_empty() {
            return true;
        }
        let Some((_, lease)) = &self.object else {
            return self.is_candidate(now, None) && self.drain == Drain::No;
        };
        if lease.is_holder(&self.me) || lease.owner == self.me {
            return self.own_epoch != Some(lease.epoch) && !self.is_lent(now);
        }
        let is_leaving = !self.view.ranked.contains(&lease.owner);
        let is_open = is_leaving || self.is_lost(&lease.owner) || self.is_unclaimed(now);
        is_open && self.is_candidate(now, Some(lease))
    }
}
