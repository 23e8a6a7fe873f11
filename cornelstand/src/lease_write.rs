//! When a lease machine calls the store, and what it writes.
//!
//! One call is under way at most. Only the owner writes in the ordinary case; another instance does
//! when the lease is absent, free or named for it.

use crate::keeper::{Call, Drain, EPOCH_STEP, Keeper};
use crate::lease::{Holder, Lease, LeaseEffect};
use crate::moment::Moment;
use crate::name::Epoch;
use crate::store::Condition;

impl Keeper {
    /// Makes the next call to the store, if one is due.
    pub(crate) fn call_store(&mut self, now: Moment, out: &mut Vec<LeaseEffect>) {
        if self.call.is_some() || now < self.due {
            return;
        }
        let write = if self.is_stale {
            None
        } else {
            self.next_write(now)
        };
        if write.is_none() && !self.is_watching(now) {
            return;
        }
        self.due = now.after(self.timing.renew);
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

    /// Whether the next write does more than to renew the lease.
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
            return self.may_create(now).then(|| self.first());
        };
        let is_owner = lease.owner == self.me;
        if is_owner && self.drain == Drain::Moved {
            return self
                .target
                .as_ref()
                .map(|to| self.passed_on(now, lease, to));
        }
        if is_owner && (self.acting.is_some() || self.may_resume(now)) {
            return Some(self.renewed(now, lease));
        }
        if !is_owner && self.may_take(now, lease) {
            let mut taken = lease.clone();
            taken.owner = self.me.clone();
            taken.epoch = self.next_epoch(lease);
            return Some(self.renewed(now, &taken));
        }
        None
    }

    pub(crate) fn may_create(&self, now: Moment) -> bool {
        self.is_absent && self.is_first(now, None) && self.drain == Drain::No
    }

    pub(crate) fn first(&self) -> Lease {
        Lease {
            cell: self.cell.clone(),
            epoch: Epoch((self.highest().0 / EPOCH_STEP + 1) * EPOCH_STEP),
            owner: self.me.clone(),
            kept: self.me.clone(),
            spare: self.me.clone(),
            renewals: 0,
        }
    }

    pub(crate) fn next_epoch(&self, lease: &Lease) -> Epoch {
        let highest = self.highest().max(lease.epoch);
        Epoch((highest.0 / EPOCH_STEP + 1) * EPOCH_STEP)
    }

    /// Whether an owner that yielded to its heir may act again: the heir no longer borrows.
    pub(crate) fn may_resume(&self, now: Moment) -> bool {
        let is_idle = !self.is_lent(now) && self.offered.is_none();
        is_idle && self.drain == Drain::No && !self.is_blind
    }

    /// Whether this instance may take the lease from a lost owner.
    pub(crate) fn may_take(&self, now: Moment, lease: &Lease) -> bool {
        if !self.is_ranked() || self.drain != Drain::No {
            return false;
        }
        let wait = self.timing.length + self.timing.margin;
        let is_silent = self.unchanged.is_some_and(|since| now >= since.after(wait));
        let is_over =
            is_silent || self.gone.contains_key(&lease.owner) || self.is_yielded(now, lease);
        if self.acting.is_some() {
            return is_over;
        }
        let is_heir = lease.spare == self.me;
        let is_lost = |holder| self.is_lost(holder) || self.is_quiet(now);
        let is_next = is_heir || (is_lost(&lease.spare) && self.is_first(now, Some(lease)));
        is_over && is_next && is_lost(&lease.owner)
    }

    /// Whether nobody has acted for the cell for long, as far as this instance hears.
    pub(crate) fn is_quiet(&self, now: Moment) -> bool {
        let wait = 2 * self.timing.length;
        self.heard.is_some_and(|heard| now >= heard.after(wait))
    }

    /// Whether this instance is the best candidate besides the holders, or the second best of a
    /// cell that the best has left alone for long.
    pub(crate) fn is_first(&self, now: Moment, lease: Option<&Lease>) -> bool {
        let is_holder = |h: &&Holder| lease.is_some_and(|l| **h == l.owner || **h == l.spare);
        let others = self.view.ranked.iter().filter(|h| !is_holder(h));
        let count = 1 + usize::from(self.is_quiet(now));
        others.take(count).any(|h| *h == self.me)
    }

    /// The lease of this instance as owner, with the halves that it may name itself or an heir
    /// for.
    pub(crate) fn renewed(&self, now: Moment, lease: &Lease) -> Lease {
        let mut next = lease.clone();
        next.renewals += 1;
        if self.highest() > next.epoch {
            next.epoch = self.next_epoch(&next);
        }
        if self.is_free(now, &lease.kept) {
            next.kept = self.me.clone();
        }
        if self.is_free(now, &lease.spare) {
            next.spare = self.me.clone();
        }
        // A half that becomes this instance's with this write may be in use here by a loan, so it
        // goes to an heir with a later write only.
        let is_whole = lease.kept == self.me && lease.spare == self.me;
        if is_whole && !self.is_lent(now) {
            next.spare = self.heir();
        }
        next
    }

    /// Whether the half of `holder` may go to this instance.
    pub(crate) fn is_free(&self, now: Moment, holder: &Holder) -> bool {
        let is_freed = self.freed.get(holder) == Some(&self.version());
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

    pub(crate) fn passed_on(&self, now: Moment, lease: &Lease, to: &Holder) -> Lease {
        let mut next = lease.clone();
        next.owner = to.clone();
        next.epoch = self.next_epoch(lease);
        next.renewals += 1;
        // A half that is lent stays until the next owner asks for it after the loan.
        let is_lent = self.is_lent(now);
        for half in [&mut next.kept, &mut next.spare] {
            if *half == self.me && !is_lent {
                *half = to.clone();
            }
        }
        next
    }

    /// Whether the lease object has to be read now.
    pub(crate) fn is_watching(&self, now: Moment) -> bool {
        if self.is_stale || self.offered.is_some() || !self.doubts.is_empty() {
            return true;
        }
        let Some((_, lease)) = &self.object else {
            return self.is_first(now, None) && self.drain == Drain::No;
        };
        if lease.is_holder(&self.me) || lease.owner == self.me {
            return self.acting != Some(lease.epoch) && !self.is_lent(now);
        }
        let is_leaving = !self.view.ranked.contains(&lease.owner);
        let is_open = is_leaving || self.is_lost(&lease.owner) || self.is_quiet(now);
        is_open && self.is_first(now, Some(lease))
    }
}
