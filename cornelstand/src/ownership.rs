//! Carries changes of ownership over to the dispatchers of the owned cells.
//!
//! Changes of one cell are applied in their order. A cell that was taken over without its former
//! owner's state asks every entry what it still runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use xtra::Address;

use crate::gossip::Member;
use crate::holdings::{Holdings, Origin};
use crate::lease::Holder;
use crate::link::Links;
use crate::member::Members;
use crate::name::{CellId, Epoch, Incarnation, InstanceName};
use crate::steward::{CellChange, MovedCell, Steward};

/// Time for the answer of a peer.
const PEER_WAIT: Duration = Duration::from_secs(1);
/// Time between two requests for an entry's census.
const CENSUS_PAUSE: Duration = Duration::from_millis(500);
/// Tries to move a cell's state to its next owner.
const HAND_OVER_TRIES: u32 = 3;

/// What is needed to carry changes of ownership over.
#[derive(Clone)]
pub(crate) struct Ownership {
    pub(crate) holdings: Holdings,
    pub(crate) links: Links,
    pub(crate) members: watch::Receiver<Arc<Members>>,
}

impl Ownership {
    /// Applies changes until their sender is gone.
    pub(crate) async fn follow(
        self,
        mut changes: mpsc::UnboundedReceiver<(CellId, CellChange)>,
        steward: Address<Steward>,
    ) {
        while let Some((cell, change)) = changes.recv().await {
            tracing::info!(%cell, change = %change.name(), "cell ownership changed");
            match change {
                CellChange::Gained(tenure) => {
                    let entries: Vec<Member> = self.members.borrow().live().cloned().collect();
                    let names = entries.iter().map(|m| m.name.clone()).collect();
                    let origin = self.holdings.gain(&cell, tenure, names).await;
                    if origin == Origin::TakenOver {
                        self.ask_entries(&cell, tenure.epoch, entries);
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

    fn ask_entries(&self, cell: &CellId, epoch: Epoch, entries: Vec<Member>) {
        for entry in entries {
            let ownership = self.clone();
            let cell = cell.clone();
            tokio::spawn(async move { ownership.take_census(entry, cell, epoch).await });
        }
    }

    /// Asks an entry what it runs of a cell until it answers or the cell is owned elsewhere.
    async fn take_census(&self, entry: Member, cell: CellId, epoch: Epoch) {
        while self.holdings.is_owned(&cell, epoch) {
            let asked = cell.clone();
            let address = entry.address;
            let census = self
                .links
                .call(address, PEER_WAIT, |client, context| async move {
                    client.census(context, asked, epoch).await
                });
            if let Ok(census) = census.await {
                self.holdings.learn(census).await;
                return;
            }
            sleep(CENSUS_PAUSE).await;
        }
    }

    async fn hand_over(&self, cell: CellId, next: Holder, steward: Address<Steward>) {
        let handover = self.holdings.release(&cell, Some(next.name.clone())).await;
        let links = self.links.clone();
        tokio::spawn(async move {
            if let Some(handover) = handover {
                for _ in 0..HAND_OVER_TRIES {
                    let sent = handover.clone();
                    let taken = links.call(next.address, PEER_WAIT, |client, context| async move {
                        client.hand_over(context, sent).await
                    });
                    if taken.await.is_ok_and(|taken| taken) {
                        break;
                    }
                }
            }
            steward.send(MovedCell(cell)).await.ok();
        });
    }

    /// Tells the dispatchers of entries that have ended, until the membership ends.
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

/// Whether the process that `seen` has for the member's name has ended.
fn is_entry_gone(seen: &mut BTreeMap<InstanceName, Incarnation>, member: &Member) -> bool {
    if member.state.has_ended() {
        return seen.remove(&member.name).is_some();
    }
    let before = seen.insert(member.name.clone(), member.incarnation);
    before.is_some_and(|before| before < member.incarnation)
}
