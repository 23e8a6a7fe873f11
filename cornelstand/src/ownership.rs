//! Applies ownership changes to the dispatchers of the owned cells.
//!
//! Changes of one cell are applied in order. After a takeover without the former owner's state,
//! every entry is asked for the attempts that it still runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use xtra::Address;

use crate::gossip::Member;
use crate::holdings::{Origin, OwnedCells};
use crate::lease::Holder;
use crate::link::Links;
use crate::member::Members;
use crate::name::{CellId, Epoch, Incarnation, InstanceName};
use crate::steward::{CellChange, HandOverDone, LeaseActor};

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before an entry is asked for its census again.
const CENSUS_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Attempts to transfer a cell's state to its next owner.
const HAND_OVER_ATTEMPTS: u32 = 3;

/// Dependencies for applying ownership changes.
#[derive(Clone)]
pub(crate) struct Ownership {
    pub(crate) holdings: OwnedCells,
    pub(crate) links: Links,
    pub(crate) members: watch::Receiver<Arc<Members>>,
}

impl Ownership {
    /// Applies changes until the sender is dropped.
    pub(crate) async fn apply_changes(
        self,
        mut changes: mpsc::UnboundedReceiver<(CellId, CellChange)>,
        steward: Address<LeaseActor>,
    ) {
        while let Some((cell, change)) = changes.recv().await {
            if let Some(name) = change.name() {
                tracing::info!(%cell, change = name, "cell ownership changed");
            }
            match change {
                CellChange::Gained(tenure) => {
                    let entries: Vec<Member> = self.members.borrow().live().cloned().collect();
                    let names = entries.iter().map(|m| m.name.clone()).collect();
                    let origin = self.holdings.acquire(&cell, tenure, names).await;
                    if origin == Origin::TakenOver {
                        self.fetch_censuses(&cell, tenure.epoch, entries);
                    }
                }
                CellChange::Renewed(tenure) => self.holdings.renew(&cell, tenure).await,
                CellChange::Lost => {
                    self.holdings.release(&cell, None).await;
                }
                CellChange::HandOver(next) => self.hand_over(cell, next, steward.clone()).await,
            }
        }
    }

    fn fetch_censuses(&self, cell: &CellId, epoch: Epoch, entries: Vec<Member>) {
        for entry in entries {
            let ownership = self.clone();
            let cell = cell.clone();
            tokio::spawn(async move { ownership.fetch_census(entry, cell, epoch).await });
        }
    }

    /// Requests an entry's census of a cell until it answers or the cell is owned elsewhere.
    async fn fetch_census(&self, entry: Member, cell: CellId, epoch: Epoch) {
        while self.holdings.is_owned(&cell, epoch) {
            let asked = cell.clone();
            let address = entry.address;
            let census = self
                .links
                .call(address, PEER_TIMEOUT, |client, context| async move {
                    client.census(context, asked, epoch).await
                });
            if let Ok(census) = census.await {
                self.holdings.deliver_census(census).await;
                return;
            }
            sleep(CENSUS_RETRY_DELAY).await;
        }
    }

    async fn hand_over(&self, cell: CellId, next: Holder, steward: Address<LeaseActor>) {
        let handover = self.holdings.release(&cell, Some(next.name.clone())).await;
        let links = self.links.clone();
        tokio::spawn(async move {
            if let Some(handover) = handover {
                for _ in 0..HAND_OVER_ATTEMPTS {
                    let sent = handover.clone();
                    let accepted =
                        links.call(next.address, PEER_TIMEOUT, |client, context| async move {
                            client.hand_over(context, sent).await
                        });
                    if accepted.await.is_ok_and(|accepted| accepted) {
                        break;
                    }
                }
            }
            steward.send(HandOverDone(cell)).await.ok();
        });
    }

    /// Notifies the dispatchers of entries that have ended, until the membership stops.
    pub(crate) async fn watch_entries(self) {
        let mut members = self.members.clone();
        let mut seen: BTreeMap<InstanceName, Incarnation> = BTreeMap::new();
        while members.changed().await.is_ok() {
            let present: Vec<Member> = members.borrow_and_update().all().cloned().collect();
            for member in present {
                if is_entry_gone(&mut seen, &member) {
                    self.holdings.forget_entry(&member.name).await;
                }
            }
        }
    }
}

/// Whether the process recorded in `seen` for the member's name has ended.
fn is_entry_gone(seen: &mut BTreeMap<InstanceName, Incarnation>, member: &Member) -> bool {
    if member.state.has_ended() {
        return seen.remove(&member.name).is_some();
    }
    let before = seen.insert(member.name.clone(), member.incarnation);
    before.is_some_and(|before| before < member.incarnation)
}
