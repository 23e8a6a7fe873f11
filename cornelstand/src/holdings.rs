//! The cells that this instance owns, each with its dispatcher.
//!
//! Ownership comes and goes by the lease machine; calls of entries come over links. A cell that
//! was handed over starts from the former owner's state, one that was taken over after a loss
//! asks every entry what it still runs.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use xtra::Address;

use crate::cell::Cell;
use crate::cell_status::CellStatus;
use crate::config::Config;
use crate::dispatch::{Census, Handover, Offer, Refusal, Reply, Report};
use crate::dispatcher::{
    Ask, Configure, Dispatcher, EntryGone, HandOver, Hear, Inspect, Learn, Publish, Recover,
    SetLease, SetLeaving, Tell, Withdraw,
};
use crate::exchange::Totals;
use crate::keeper::EPOCH_STEP;
use crate::lease::Tenure;
use crate::link::Receipt;
use crate::moment::Clock;
use crate::name::{AttemptId, CellId, EndpointName, Epoch, InstanceName};
use crate::timeline::{Timeline, Topic};

/// Time between two measurements of the waits at the owned cells.
const MEASURE: Duration = Duration::from_secs(1);

/// Dispatchers of the owned cells. Clones share them.
#[derive(Clone)]
pub(crate) struct Holdings {
    clock: Clock,
    timeline: Timeline,
    config: watch::Receiver<Arc<Config>>,
    totals: mpsc::Sender<Totals>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    held: HashMap<CellId, Held>,
    /// State of cells whose former owner has handed over, until the lease is taken.
    incoming: HashMap<CellId, Handover>,
    leaving: BTreeSet<EndpointName>,
    /// Expected wait of a new request, in milliseconds.
    delays: HashMap<CellId, u32>,
}

#[derive(Clone)]
struct Held {
    epoch: Epoch,
    dispatcher: Address<Dispatcher>,
}

/// How a cell came to this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// With the former owner's state.
    HandedOver,
    /// Without it; entries have to report what they run.
    TakenOver,
}

impl Holdings {
    pub(crate) fn new(
        clock: Clock,
        timeline: Timeline,
        config: watch::Receiver<Arc<Config>>,
        totals: mpsc::Sender<Totals>,
    ) -> Self {
        Self {
            clock,
            timeline,
            config,
            totals,
            state: Arc::default(),
        }
    }

    /// Starts the dispatcher of a gained cell and tells how it came here.
    ///
    /// `entries` are the instances that may run requests of the cell.
    pub(crate) async fn gain(
        &self,
        cell: &CellId,
        tenure: Tenure,
        entries: BTreeSet<InstanceName>,
    ) -> Origin {
        let config = self.config.borrow().clone();
        let now = self.clock.now();
        let incoming = self.lock().incoming.remove(cell);
        let incoming = incoming.filter(|h| is_next(h.epoch, tenure.epoch));
        let origin = if incoming.is_some() {
            Origin::HandedOver
        } else {
            Origin::TakenOver
        };
        let made = match incoming {
            Some(handover) => Cell::resume(handover, tenure.epoch, config, now),
            None => Cell::new(cell.clone(), tenure.epoch, config, now),
        };
        let dispatcher = Dispatcher::spawn(made, self.clock, self.timeline.clone());
        if origin == Origin::TakenOver {
            dispatcher.send(Recover(entries)).await.ok();
        }
        let leaving = self.lock().leaving.clone();
        dispatcher.send(SetLeaving(leaving)).await.ok();
        dispatcher.send(SetLease(tenure)).await.ok();
        dispatcher.send(Publish(self.totals.clone())).await.ok();
        let held = Held {
            epoch: tenure.epoch,
            dispatcher,
        };
        self.lock().held.insert(cell.clone(), held);
        self.timeline
            .record(Topic::Cell, "gained", &cell.to_string(), None);
        origin
    }

    /// Extends or reduces the ownership of a cell.
    pub(crate) async fn renew(&self, cell: &CellId, tenure: Tenure) {
        let held = self.lock().held.get_mut(cell).map(|held| {
            // The owner takes a higher epoch when its heir has acted meanwhile.
            held.epoch = tenure.epoch;
            held.clone()
        });
        if let Some(held) = held {
            held.dispatcher.send(SetLease(tenure)).await.ok();
        }
    }

    /// Ends the ownership of a cell and gives its state, if it was owned.
    pub(crate) async fn release(
        &self,
        cell: &CellId,
        next: Option<InstanceName>,
    ) -> Option<Handover> {
        let held = self.lock().held.remove(cell)?;
        let handover = held.dispatcher.send(HandOver { next }).await.ok()?;
        self.timeline
            .record(Topic::Cell, "released", &cell.to_string(), None);
        handover
    }

    /// Keeps the state of a cell that is to be gained next.
    pub(crate) fn receive(&self, handover: Handover) {
        let mut state = self.lock();
        state.incoming.insert(handover.cell.clone(), handover);
    }

    /// Asks the dispatcher of an owned cell for an endpoint and waits for the reply.
    ///
    /// The dispatcher takes an offer back whose asker has dropped the future, unless the router asks
    /// again for the same attempt.
    pub(crate) async fn offer(&self, offer: Offer) -> Reply {
        let Some(held) = self.held(&offer.cell) else {
            return Err(Refusal::NotOwner(None));
        };
        let reply = match held.dispatcher.send(Ask(offer)).await {
            Ok(receiver) => receiver.await.ok(),
            Err(_) => None,
        };
        reply.unwrap_or(Err(Refusal::NotOwner(None)))
    }

    /// Takes an offer back.
    pub(crate) async fn withdraw(&self, cell: &CellId, attempt: AttemptId) {
        if let Some(held) = self.held(cell) {
            held.dispatcher.send(Withdraw(attempt)).await.ok();
        }
    }

    /// Passes reports to the dispatchers of their cells.
    pub(crate) async fn tell(&self, reports: Vec<Report>) -> Vec<Receipt> {
        let mut receipts = Vec::with_capacity(reports.len());
        for report in reports {
            let taken = match self.held(&report.cell) {
                Some(held) => held.dispatcher.send(Tell(vec![report])).await,
                None => Ok(false),
            };
            receipts.push(if taken == Ok(true) {
                Receipt::Taken
            } else {
                Receipt::NotOwner
            });
        }
        receipts
    }

    /// Takes in what another cell of the service has given to accounts.
    pub(crate) async fn hear(&self, cell: &CellId, totals: Totals) {
        if let Some(held) = self.held(cell) {
            held.dispatcher.send(Hear(totals)).await.ok();
        }
    }

    /// Takes in what an entry runs of an owned cell.
    pub(crate) async fn learn(&self, census: Census) {
        if let Some(held) = self.held(&census.cell) {
            held.dispatcher.send(Learn(census)).await.ok();
        }
    }

    /// Frees all that a lost entry ran.
    pub(crate) async fn forget_entry(&self, entry: &InstanceName) {
        for held in self.all() {
            held.dispatcher.send(EntryGone(entry.clone())).await.ok();
        }
    }

    /// Puts a revision of the configuration in force in all owned cells.
    pub(crate) async fn configure(&self, config: &Arc<Config>) {
        for held in self.all() {
            held.dispatcher.send(Configure(config.clone())).await.ok();
        }
    }

    /// Names all endpoints that the platform is about to stop.
    pub(crate) async fn set_leaving(&self, leaving: BTreeSet<EndpointName>) {
        self.lock().leaving.clone_from(&leaving);
        for held in self.all() {
            held.dispatcher.send(SetLeaving(leaving.clone())).await.ok();
        }
    }

    /// Owned cells with the epoch of each.
    pub(crate) fn owned(&self) -> Vec<(CellId, Epoch)> {
        let state = self.lock();
        let held = state.held.iter();
        held.map(|(cell, h)| (cell.clone(), h.epoch)).collect()
    }

    /// Whether this instance owns a cell with this epoch.
    pub(crate) fn is_owned(&self, cell: &CellId, epoch: Epoch) -> bool {
        self.held(cell).is_some_and(|h| h.epoch == epoch)
    }

    /// Expected wait of a new request at an owned cell, in milliseconds, as last measured.
    pub(crate) fn delay(&self, cell: &CellId) -> u32 {
        self.lock().delays.get(cell).copied().unwrap_or_default()
    }

    /// Measures the waits at the owned cells again and again.
    pub(crate) async fn measure_delays(self) {
        loop {
            let status = self.status().await;
            let delays = status.iter().map(|c| (c.cell.clone(), c.delay()));
            self.lock().delays = delays.collect();
            sleep(MEASURE).await;
        }
    }

    /// State of the owned cells.
    pub(crate) async fn status(&self) -> Vec<CellStatus> {
        let mut cells = Vec::new();
        for held in self.all() {
            cells.extend(held.dispatcher.send(Inspect).await.ok().flatten());
        }
        cells.sort_by(|a, b| a.cell.cmp(&b.cell));
        cells
    }

    fn held(&self, cell: &CellId) -> Option<Held> {
        self.lock().held.get(cell).cloned()
    }

    fn all(&self) -> Vec<Held> {
        self.lock().held.values().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether nobody can have owned the cell between two epochs.
///
/// The state of an earlier owner does not tell what a later one has granted.
fn is_next(before: Epoch, after: Epoch) -> bool {
    before < after && after.0 - before.0 <= EPOCH_STEP
}

#[cfg(test)]
mod tests;
