//! The way from an entry to the dispatchers: finding a cell's owner and following its changes.
//!
//! An offer is repeated, with the time it has waited, until the cell's present owner replies or
//! its deadline passes; dispatchers treat a repeated offer as the same one. A caller that goes
//! away withdraws its offer, also where the grant is already on its way. Outcomes are kept in an
//! outbox until the owner has taken them.

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
use crate::holdings::Holdings;
use crate::link::{LinkError, Links, Receipt};
use crate::name::{AttemptId, CellId, InstanceName, ServiceName};

/// Wait before an offer is repeated after a failed call.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest wait before an offer or a report is repeated.
const PAUSE_MOST: Duration = Duration::from_millis(500);
/// Time for the answer to a report.
const REPORT_WAIT: Duration = Duration::from_secs(5);
/// Time after which an outcome that no owner takes is given up. By then a new owner has counted
/// the attempt as ended, since the entry no longer lists it.
const REPORT_MOST: Duration = Duration::from_mins(5);
/// Most reports in one message.
const BATCH: usize = 64;
/// Cells compared when one is picked.
const CHOICES: usize = 2;

/// The owner of a cell, as far as this instance knows.
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

/// What the router asks the rest of the instance.
#[derive(Clone)]
pub(crate) struct Directory {
    /// Own name.
    pub(crate) own: InstanceName,
    /// Present owner of a cell.
    pub(crate) owner: Arc<FindOwner>,
    /// Address of an instance.
    pub(crate) peer: Arc<FindPeer>,
    /// Time that requests wait at a cell.
    pub(crate) delay: Arc<CellDelay>,
    /// Configuration in force.
    pub(crate) config: tokio::sync::watch::Receiver<Arc<Config>>,
}

/// Carries offers and reports to the owners of cells. Clones share the outboxes.
#[derive(Clone)]
pub(crate) struct Router {
    directory: Directory,
    links: Links,
    local: Holdings,
    outboxes: Arc<Mutex<HashMap<CellId, mpsc::UnboundedSender<Report>>>>,
}

impl Router {
    /// A router that serves own cells through `local` and others over `links`.
    pub(crate) fn new(directory: Directory, links: Links, local: Holdings) -> Self {
        Self {
            directory,
            links,
            local,
            outboxes: Arc::default(),
        }
    }

    /// The entry's way to the dispatchers.
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
        let mut pause = PAUSE;
        let mut hint = None;
        while start.elapsed() < left {
            offer.waited = waited + start.elapsed();
            offer.left = left.saturating_sub(start.elapsed());
            match self.ask(&offer, hint.take()).await {
                Some(Err(Refusal::NotOwner(next))) => {
                    hint = next.filter(|_| pause == PAUSE);
                }
                Some(reply) => {
                    withdrawal.disarm();
                    return reply;
                }
                None => {}
            }
            if hint.is_none() {
                sleep(jittered(pause)).await;
            }
            pause = (pause * 2).min(PAUSE_MOST);
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

    /// Sends the reports of one cell in order, as many at once as have come meanwhile.
    async fn send_reports(self, cell: CellId, mut inbox: mpsc::UnboundedReceiver<Report>) {
        let mut batch = Vec::new();
        while inbox.recv_many(&mut batch, BATCH).await > 0 {
            self.deliver(&cell, std::mem::take(&mut batch)).await;
        }
    }

    async fn deliver(&self, cell: &CellId, mut batch: Vec<Report>) {
        let start = Instant::now();
        let mut pause = PAUSE;
        while !batch.is_empty() && start.elapsed() < REPORT_MOST {
            match self.tell(cell, batch.clone()).await {
                Ok(Some(receipts)) => {
                    let mut taken = receipts.iter().map(|r| *r == Receipt::Taken);
                    batch.retain(|_| !taken.next().unwrap_or(false));
                }
                // Progress is of no use to a later owner.
                Ok(None) | Err(_) => batch.retain(|r| r.phase != Phase::Running),
            }
            if !batch.is_empty() {
                sleep(jittered(pause)).await;
                pause = (pause * 2).min(PAUSE_MOST);
            }
        }
    }

    async fn tell(
        &self,
        cell: &CellId,
        reports: Vec<Report>,
    ) -> Result<Option<Vec<Receipt>>, LinkError> {
        let Some(owner) = (self.directory.owner)(cell) else {
            return Ok(None);
        };
        if owner.instance == self.directory.own {
            return Ok(Some(self.local.tell(reports).await));
        }
        self.links
            .call(owner.address, REPORT_WAIT, |client, context| async move {
                client.tell(context, reports).await
            })
            .await
            .map(Some)
    }

    /// Takes back an offer whose reply nobody waits for any more.
    async fn withdraw(&self, cell: CellId, attempt: AttemptId) {
        let start = Instant::now();
        let mut pause = PAUSE;
        while start.elapsed() < REPORT_MOST {
            if let Some(owner) = (self.directory.owner)(&cell) {
                if owner.instance == self.directory.own {
                    self.local.withdraw(&cell, attempt).await;
                    return;
                }
                let cell = cell.clone();
                let taken =
                    self.links.call(
                        owner.address,
                        REPORT_WAIT,
                        move |client, context| async move {
                            client.withdraw(context, cell, attempt).await
                        },
                    );
                if taken.await.is_ok() {
                    return;
                }
            }
            sleep(jittered(pause)).await;
            pause = (pause * 2).min(PAUSE_MOST);
        }
    }
}

/// Carries what each owned cell has given to the other cells of its service, until the owned cells
/// are gone.
pub(crate) async fn carry_totals(
    directory: Directory,
    links: Links,
    local: Holdings,
    mut totals: mpsc::Receiver<Totals>,
) {
    while let Some(told) = totals.recv().await {
        for cell in sister_cells(&directory.config.borrow(), &told.cell) {
            let Some(owner) = (directory.owner)(&cell) else {
                continue;
            };
            let (links, local, told) = (links.clone(), local.clone(), told.clone());
            let is_own = owner.instance == directory.own;
            tokio::spawn(async move {
                if is_own {
                    local.hear(&cell, told).await;
                    return;
                }
                let sent = links.call(owner.address, REPORT_WAIT, |client, context| async move {
                    client.hear(context, cell, told).await
                });
                // What is lost is part of a later message.
                sent.await.ok();
            });
        }
    }
}

/// The other cells of the cell's service.
fn sister_cells(config: &Config, cell: &CellId) -> Vec<CellId> {
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

/// `pause` with up to half of it taken off, so that many waiters do not return at once.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.0))
}
