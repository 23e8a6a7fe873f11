//! Accounting of one granted attempt at its entry.
//!
//! A [`Flight`] is listed in the entry's ledger from the grant to the end, reports cost above the
//! charge while it runs, and reports its ending exactly once, also when its task is dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::call::Call;
use crate::config::Kind;
use crate::dispatch::{Ending, Grant, Phase, Report, Running};
use crate::entry_core::Core;
use crate::moment::Moment;
use crate::name::{AccountName, BootId};

/// Minimum added cost between two progress reports, in the unit of the service's kind.
const MIN_PROGRESS_COST: u64 = 64;

/// A granted attempt that has not ended.
pub(crate) struct Flight {
    core: Arc<Core>,
    account: AccountName,
    kind: Kind,
    grant: Grant,
    start: Moment,
    reported: u64,
    cost: u64,
    known_boot: Option<BootId>,
    boot: Option<BootId>,
    first: Option<Duration>,
    ended: bool,
}

impl Flight {
    /// Starts tracking `grant` in the ledger.
    pub(crate) fn begin(call: &Call, grant: Grant) -> Self {
        let core = call.core.clone();
        let known_boot = core.boot(&grant.endpoint);
        let running = Running {
            attempt: grant.attempt,
            endpoint: grant.endpoint.clone(),
            account: call.account.clone(),
            class: call.class,
            cost: 0,
        };
        core.ledger.begin(grant.cell.clone(), running);
        Self {
            start: core.clock.now(),
            core,
            account: call.account.clone(),
            kind: call.kind,
            reported: grant.charged,
            grant,
            cost: 0,
            known_boot,
            boot: None,
            first: None,
            ended: false,
        }
    }

    /// The grant.
    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Records when sending began.
    pub(crate) fn record_sent(&mut self, now: Moment) {
        self.start = now;
    }

    /// Time since sending began.
    pub(crate) fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.start)
    }

    /// Milliseconds since sending began, at least one.
    pub(crate) fn elapsed_millis(&self, now: Moment) -> u64 {
        let millis = self.elapsed(now).as_millis();
        u64::try_from(millis).unwrap_or(u64::MAX).max(1)
    }

    /// Boot identity from this answer, or else the latest known at the grant.
    pub(crate) fn last_boot(&self) -> Option<BootId> {
        self.boot.or(self.known_boot)
    }

    /// Records the boot identity from the head of the answer.
    pub(crate) fn record_head(&mut self, boot: Option<BootId>) {
        self.boot = boot;
        if let Some(boot) = boot {
            self.core.note_boot(&self.grant.endpoint, boot);
        }
    }

    /// Records the time to the first byte of the answer.
    pub(crate) fn first_byte(&mut self, now: Moment) {
        let elapsed = now.since(self.start);
        self.first.get_or_insert(elapsed);
    }

    /// Raises the cost, and reports it once it is well above the last report.
    pub(crate) fn progress(&mut self, cost: u64) {
        self.cost = self.cost.max(cost);
        self.core.ledger.progress(self.grant.attempt, self.cost);
        if self.cost >= self.reported + MIN_PROGRESS_COST.max(self.reported / 4) {
            self.reported = self.cost;
            self.report(Phase::Running);
        }
    }

    /// Reports the ending.
    pub(crate) fn end(mut self, ending: Ending) {
        self.finish(ending);
    }

    /// Ends the attempt because the caller is gone, and sends a cancellation to a model endpoint.
    pub(crate) fn cancel(self, address: SocketAddr) {
        if self.kind == Kind::Model {
            self.core.cancel(address, self.grant.attempt);
        }
        self.end(Ending::Cancelled);
    }

    fn finish(&mut self, ending: Ending) {
        self.ended = true;
        let label = ending.to_string();
        self.core.metrics.attempts.with_label_values(&[label]).inc();
        self.report(Phase::Ended(ending));
        self.core.ledger.end(self.grant.attempt);
    }

    fn report(&self, phase: Phase) {
        (self.core.dispatch.report)(Report {
            attempt: self.grant.attempt,
            cell: self.grant.cell.clone(),
            epoch: self.grant.epoch,
            endpoint: self.grant.endpoint.clone(),
            account: self.account.clone(),
            cost: self.cost,
            boot: self.boot,
            first: self.first,
            phase,
        });
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(Ending::Cancelled);
        }
    }
}
