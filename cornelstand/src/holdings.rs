//! The cells that this instance owns, each with its dispatcher.
//!
//! The lease state machine starts and ends ownership; calls from entries arrive over links. A cell
//! that was handed over starts from the former owner's state. One that was taken over after the
//! loss of its owner recovers its running attempts from the entries.

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
    AddCensus, Configure, Dispatcher, EntryGone, GetStatus, HandOver, MergeTotals, Recover,
    SendReports, SetLease, SetLeaving, SetTotalsChannel, SubmitOffer, Withdraw,
};
use crate::exchange::Totals;
use crate::keeper::EPOCH_STEP;
use crate::lease::Tenure;
use crate::link::Receipt;
use crate::moment::Clock;
use crate::name::{AttemptId, CellId, EndpointName, Epoch, InstanceName};
use crate::timeline::{Timeline, Topic};

/// Interval at which the waits at the owned cells are measured.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// Dispatchers of the owned cells. Clones share them.
#[derive(Clone)]
pub(crate) struct OwnedCells {
    clock: Clock,
    timeline: Timeline,
    config: watch::Receiver<Arc<Config>>,
    totals: mpsc::Sender<Totals>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    cells: HashMap<CellId, OwnedCell>,
    /// State of cells handed over to this instance, until it takes the lease.
    incoming: HashMap<CellId, Handover>,
    leaving: BTreeSet<EndpointName>,
    /// Expected wait of a new request, in milliseconds.
    delays: HashMap<CellId, u32>,
}

#[derive(Clone)]
struct OwnedCell {
    epoch: Epoch,
    dispatcher: Address<Dispatcher>,
}

/// How this instance acquired a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// With the former owner's state.
    HandedOver,
    /// Without it; entries have to list their running attempts.
    TakenOver,
}

impl OwnedCells {
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

    /// Starts the dispatcher of an acquired cell and returns how it was acquired.
    ///
    /// `entries` are the instances that may run requests of the cell.
    pub(crate) async fn acquire(
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
        let machine = match incoming {
            Some(handover) => Cell::resume(handover, tenure.epoch, config, now),
            None => Cell::new(cell.clone(), tenure.epoch, config, now),
        };
        let dispatcher = Dispatcher::spawn(machine, self.clock, self.timeline.clone());
        if origin == Origin::TakenOver {
            dispatcher.send(Recover(entries)).await.ok();
        }
        let leaving = self.lock().leaving.clone();
        dispatcher.send(SetLeaving(leaving)).await.ok();
        dispatcher.send(SetLease(tenure)).await.ok();
        dispatcher
            .send(SetTotalsChannel(self.totals.clone()))
            .await
            .ok();
        let owned = OwnedCell {
            epoch: tenure.epoch,
            dispatcher,
        };
        self.lock().cells.insert(cell.clone(), owned);
        self.timeline
            .record(Topic::Cell, "gained", &cell.to_string(), None);
        origin
    }

    /// Extends or reduces the lease of a cell.
    pub(crate) async fn renew(&self, cell: &CellId, tenure: Tenure) {
        let owned = self.lock().cells.get_mut(cell).map(|owned| {
            // The owner takes a higher epoch after its heir has acted for it.
            owned.epoch = tenure.epoch;
            owned.clone()
        });
        if let Some(owned) = owned {
            owned.dispatcher.send(SetLease(tenure)).await.ok();
        }
    }

    /// Ends the ownership of a cell and returns its state, if it was owned.
    pub(crate) async fn release(
        &self,
        cell: &CellId,
        next: Option<InstanceName>,
    ) -> Option<Handover> {
        let owned = self.lock().cells.remove(cell)?;
        let handover = owned.dispatcher.send(HandOver { next }).await.ok()?;
        self.timeline
            .record(Topic::Cell, "released", &cell.to_string(), None);
        handover
    }

    /// Stores the state of a cell that this instance is about to acquire.
    pub(crate) fn receive(&self, handover: Handover) {
        let mut state = self.lock();
        state.incoming.insert(handover.cell.clone(), handover);
    }

    /// Asks the dispatcher of an owned cell for an endpoint and waits for the reply.
    ///
    /// If the future is dropped, the dispatcher drops the offer, unless the router offers the same
    /// attempt again.
    pub(crate) async fn offer(&self, offer: Offer) -> Reply {
        let Some(owned) = self.get(&offer.cell) else {
            return Err(Refusal::NotOwner(None));
        };
        let reply = match owned.dispatcher.send(SubmitOffer(offer)).await {
            Ok(receiver) => receiver.await.ok(),
            Err(_) => None,
        };
        reply.unwrap_or(Err(Refusal::NotOwner(None)))
    }

    /// Withdraws an offer.
    pub(crate) async fn withdraw(&self, cell: &CellId, attempt: AttemptId) {
        if let Some(owned) = self.get(cell) {
            owned.dispatcher.send(Withdraw(attempt)).await.ok();
        }
    }

    /// Passes reports to the dispatchers of their cells.
    pub(crate) async fn deliver_reports(&self, reports: Vec<Report>) -> Vec<Receipt> {
        let mut receipts = Vec::with_capacity(reports.len());
        for report in reports {
            let taken = match self.get(&report.cell) {
                Some(owned) => owned.dispatcher.send(SendReports(vec![report])).await,
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

    /// Passes the totals of another cell of the service to an owned cell.
    pub(crate) async fn deliver_totals(&self, cell: &CellId, totals: Totals) {
        if let Some(owned) = self.get(cell) {
            owned.dispatcher.send(MergeTotals(totals)).await.ok();
        }
    }

    /// Passes the running attempts of an entry to an owned cell.
    pub(crate) async fn deliver_census(&self, census: Census) {
        if let Some(owned) = self.get(&census.cell) {
            owned.dispatcher.send(AddCensus(census)).await.ok();
        }
    }

    /// Notifies all owned cells that an entry is gone, which frees its attempts.
    pub(crate) async fn forget_entry(&self, entry: &InstanceName) {
        for owned in self.all() {
            owned.dispatcher.send(EntryGone(entry.clone())).await.ok();
        }
    }

    /// Applies a revision of the configuration to all owned cells.
    pub(crate) async fn configure(&self, config: &Arc<Config>) {
        for owned in self.all() {
            owned.dispatcher.send(Configure(config.clone())).await.ok();
        }
    }

    /// Sets the complete list of endpoints that the platform is about to stop.
    pub(crate) async fn set_leaving(&self, leaving: BTreeSet<EndpointName>) {
        self.lock().leaving.clone_from(&leaving);
        for owned in self.all() {
            owned
                .dispatcher
                .send(SetLeaving(leaving.clone()))
                .await
                .ok();
        }
    }

    /// Owned cells with their epochs.
    pub(crate) fn owned(&self) -> Vec<(CellId, Epoch)> {
        let state = self.lock();
        let owned = state.cells.iter();
        owned.map(|(cell, h)| (cell.clone(), h.epoch)).collect()
    }

    /// Whether this instance owns a cell with this epoch.
    pub(crate) fn is_owned(&self, cell: &CellId, epoch: Epoch) -> bool {
        self.get(cell).is_some_and(|h| h.epoch == epoch)
    }

    /// Expected wait of a new request at an owned cell, in milliseconds, as last measured.
    pub(crate) fn delay(&self, cell: &CellId) -> u32 {
        self.lock().delays.get(cell).copied().unwrap_or_default()
    }

    /// Measures the waits at the owned cells periodically.
    pub(crate) async fn measure_delays(self) {
        loop {
            let status = self.status().await;
            let delays = status.iter().map(|c| (c.cell.clone(), c.delay()));
            self.lock().delays = delays.collect();
            sleep(MEASURE_INTERVAL).await;
        }
    }

    /// Status of the owned cells.
    pub(crate) async fn status(&self) -> Vec<CellStatus> {
        let mut cells = Vec::new();
        for owned in self.all() {
            cells.extend(owned.dispatcher.send(GetStatus).await.ok().flatten());
        }
        cells.sort_by(|a, b| a.cell.cmp(&b.cell));
        cells
    }

    fn get(&self, cell: &CellId) -> Option<OwnedCell> {
        self.lock().cells.get(cell).cloned()
    }

    fn all(&self) -> Vec<OwnedCell> {
        self.lock().cells.values().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether no other instance can have owned the cell between two epochs.
///
/// State that predates another owner lacks that owner's grants.
fn is_next(before: Epoch, after: Epoch) -> bool {
    before < after && after.0 - before.0 <= EPOCH_STEP
}

#[cfg(test)]
mod tests;
