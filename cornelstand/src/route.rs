//! Routing from an entry to the dispatchers: finds the owner of a cell and follows its changes.
//!
//! An offer is repeated, with the time it has waited, until the cell's current owner replies or
//! its deadline passes; dispatchers treat a repeated offer as the same one. When a caller
//! disconnects, its offer is withdrawn even if the grant is already on its way. Outcomes stay in an
//! outbox until the owner has accepted them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::config::Config;
use crate::dispatch::{Dispatch, Offer, Phase, Refusal, Reply, Report};
use crate::exchange::Totals;
use crate::holdings::OwnedCells;
use crate::link::{LinkError, Links, Receipt};
use crate::name::{AttemptId, CellId, InstanceName, ServiceName};

/// Initial backoff before an offer or a report is repeated.
const BACKOFF_MIN: Duration = Duration::from_millis(20);
/// Maximum backoff before an offer or a report is repeated.
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Timeout of a call that carries reports, a withdrawal or totals.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an outcome that no owner accepts is dropped. By then a new owner has counted
/// the attempt as ended, since the entry no longer lists it.
const REPORT_EXPIRY: Duration = Duration::from_mins(5);
/// Most reports in one message.
const MAX_BATCH: usize = 64;
/// Number of random cells compared when one is picked.
const CHOICES: usize = 2;

/// The owner of a cell, as known to this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Owner {
    /// The instance.
    pub(crate) instance: InstanceName,
    /// Its fleet address.
    pub(crate) address: SocketAddr,
}

type FindOwner = dyn Fn(&CellId) -> Option<Owner> + Send + Sync;
type FindPeer = dyn Fn(&InstanceName) -> Option<SocketAddr> + Send + Sync;
type CellDelay = dyn Fn(&CellId) -> Duration + Send + Sync;

/// Lookups that the router needs from the rest of the instance.
#[derive(Clone)]
pub(crate) struct Directory {
    /// Name of this instance.
    pub(crate) own: InstanceName,
    /// Current owner of a cell.
    pub(crate) owner: Arc<FindOwner>,
    /// Address of an instance.
    pub(crate) peer: Arc<FindPeer>,
    /// Expected wait of a new request at a cell.
    pub(crate) delay: Arc<CellDelay>,
    /// Configuration in force.
    pub(crate) config: tokio::sync::watch::Receiver<Arc<Config>>,
}

/// Sends offers and reports to the owners of cells. Clones share the outboxes.
#[derive(Clone)]
pub(crate) struct Router {
    directory: Directory,
    links: Links,
    local: OwnedCells,
    outboxes: Arc<Mutex<HashMap<CellId, mpsc::UnboundedSender<Report>>>>,
}

impl Router {
    /// Creates a router that reaches own cells through `local` and others over `links`.
    pub(crate) fn new(directory: Directory, links: Links, local: OwnedCells) -> Self {
        Self {
            directory,
            links,
            local,
            outboxes: Arc::default(),
        }
    }

    /// The dispatch interface of the entry.
    pub(crate) fn dispatch(&self) -> Dispatch {
        let (offers, reports, picks) = (self.clone(), self.clone(), self.clone());
        Dispatch {
            offer: Arc::new(move |offer| {
                let router = offers.clone();
                Box::pin(async move { router.offer(offer).await })
            }),
            report: Arc::new(move |report| reports.report(report)),
            pick: Arc::new(move |service| picks.pick(service)),
        }
    }

    async fn offer(&self, mut offer: Offer) -> Reply {
        let start = Instant::now();
        let (waited, left) = (offer.waited, offer.left);
        let mut withdrawal = Withdrawal::armed(self, &offer);
        let mut backoff = BACKOFF_MIN;
        let mut hint = None;
        while start.elapsed() < left {
            offer.waited = waited + start.elapsed();
            offer.left = left.saturating_sub(start.elapsed());
            match self.ask(&offer, hint.take()).await {
                Some(Err(Refusal::NotOwner(next))) => {
                    hint = next.filter(|_| backoff == BACKOFF_MIN);
                }
                Some(reply) => {
                    withdrawal.disarm();
                    return reply;
                }
                None => {}
            }
            if hint.is_none() {
                sleep(jittered(backoff)).await;
            }
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
        Err(Refusal::Deadline)
    }

    /// Asks the cell's owner once; `None` if there is none or it does not answer.
    async fn ask(&self, offer: &Offer, hint: Option<InstanceName>) -> Option<Reply> {
        let owner = hint
            .and_then(|instance| self.owner_named(instance))
            .or_else(|| (self.directory.owner)(&offer.cell))?;
        if owner.instance == self.directory.own {
            return Some(self.local.offer(offer.clone()).await);
        }
        let sent = offer.clone();
        self.links
            .call(
                owner.address,
                offer.left,
                move |client, context| async move { client.offer(context, sent).await },
            )
            .await
            .ok()
    }

    fn owner_named(&self, instance: InstanceName) -> Option<Owner> {
        let address = (self.directory.peer)(&instance)?;
        Some(Owner { instance, address })
    }

    /// Picks the cell with the shortest wait among a few random ones.
    fn pick(&self, service: &ServiceName) -> Option<CellId> {
        let config = self.directory.config.borrow();
        let cells = config.services.get(service)?.cells.max(1);
        (0..cells)
            .sample(&mut rand::rng(), CHOICES)
            .into_iter()
            .map(|index| CellId {
                service: service.clone(),
                index,
            })
            .min_by_key(|cell| (self.directory.delay)(cell))
    }

    fn report(&self, report: Report) {
        let mut outboxes = self.outboxes.lock().unwrap_or_else(PoisonError::into_inner);
        let outbox = outboxes.entry(report.cell.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            tokio::spawn(self.clone().send_reports(report.cell.clone(), receiver));
            sender
        });
        // The task ends only with the process.
        outbox.send(report).ok();
    }

    /// Sends the reports of one cell in order, batching those that have accumulated.
    async fn send_reports(self, cell: CellId, mut inbox: mpsc::UnboundedReceiver<Report>) {
        let mut batch = Vec::new();
        while inbox.recv_many(&mut batch, MAX_BATCH).await > 0 {
            self.deliver(&cell, std::mem::take(&mut batch)).await;
        }
    }

    async fn deliver(&self, cell: &CellId, mut batch: Vec<Report>) {
        let start = Instant::now();
        let mut backoff = BACKOFF_MIN;
        while !batch.is_empty() && start.elapsed() < REPORT_EXPIRY {
            match self.send_batch(cell, batch.clone()).await {
                Ok(Some(receipts)) => {
                    let mut accepted = receipts.iter().map(|r| *r == Receipt::Taken);
                    batch.retain(|_| !accepted.next().unwrap_or(false));
                }
                // A later owner has no use for progress reports.
                Ok(None) | Err(_) => batch.retain(|r| r.phase != Phase::Running),
            }
            if !batch.is_empty() {
                sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }

    async fn send_batch(
        &self,
        cell: &CellId,
        reports: Vec<Report>,
    ) -> Result<Option<Vec<Receipt>>, LinkError> {
        let Some(owner) = (self.directory.owner)(cell) else {
            return Ok(None);
        };
        if owner.instance == self.directory.own {
            return Ok(Some(self.local.deliver_reports(reports).await));
        }
        self.links
            .call(
                owner.address,
                REPORT_TIMEOUT,
                |client, context| async move { client.tell(context, reports).await },
            )
            .await
            .map(Some)
    }

    /// Withdraws an offer whose reply nobody awaits any more.
    async fn withdraw(&self, cell: CellId, attempt: AttemptId) {
        let start = Instant::now();
        let mut backoff = BACKOFF_MIN;
        while start.elapsed() < REPORT_EXPIRY {
            if let Some(owner) = (self.directory.owner)(&cell) {
                if owner.instance == self.directory.own {
                    self.local.withdraw(&cell, attempt).await;
                    return;
                }
                let cell = cell.clone();
                let request =
                    self.links.call(
                        owner.address,
                        REPORT_TIMEOUT,
                        move |client, context| async move {
                            client.withdraw(context, cell, attempt).await
                        },
                    );
                if request.await.is_ok() {
                    return;
                }
            }
            sleep(jittered(backoff)).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }
}

/// Sends the service totals of each owned cell to the other cells of its service, until the
/// channel closes.
pub(crate) async fn carry_totals(
    directory: Directory,
    links: Links,
    local: OwnedCells,
    mut totals: mpsc::Receiver<Totals>,
) {
    while let Some(message) = totals.recv().await {
        for cell in sibling_cells(&directory.config.borrow(), &message.cell) {
            let Some(owner) = (directory.owner)(&cell) else {
                continue;
            };
            let (links, local, message) = (links.clone(), local.clone(), message.clone());
            let is_own = owner.instance == directory.own;
            tokio::spawn(async move {
                if is_own {
                    local.deliver_totals(&cell, message).await;
                    return;
                }
                let sent = links.call(
                    owner.address,
                    REPORT_TIMEOUT,
                    |client, context| async move { client.hear(context, cell, message).await },
                );
                // Totals are cumulative, so a later message includes what is lost.
                sent.await.ok();
            });
        }
    }
}

/// The other cells of the cell's service.
fn sibling_cells(config: &Config, cell: &CellId) -> Vec<CellId> {
    let cells = config.services.get(&cell.service).map_or(1, |s| s.cells);
    let others = (0..cells).filter(|index| *index != cell.index);
    others
        .map(|index| CellId {
            service: cell.service.clone(),
            index,
        })
        .collect()
}

/// Withdraws an offer when dropped before a reply came.
struct Withdrawal<'a> {
    router: &'a Router,
    offer: Option<(CellId, AttemptId)>,
}

impl<'a> Withdrawal<'a> {
    fn armed(router: &'a Router, offer: &Offer) -> Self {
        Self {
            router,
            offer: Some((offer.cell.clone(), offer.attempt)),
        }
    }

    fn disarm(&mut self) {
        self.offer = None;
    }
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if let Some((cell, attempt)) = self.offer.take() {
            let router = self.router.clone();
            tokio::spawn(async move { router.withdraw(cell, attempt).await });
        }
    }
}

/// `backoff` with up to half of it taken off, so that many waiters do not return at once.
fn jittered(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::random_range(0.5..1.0))
}
