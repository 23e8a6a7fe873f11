//! Calls to peers and to the platform that the machines of an instance ask for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::join_all;
use tokio::sync::{mpsc, watch};
use xtra::Address;

use crate::config::Config;
use crate::containment::SpreadCall;
use crate::holdings::OwnedCells;
use crate::instance_list::InstanceList;
use crate::link::Links;
use crate::member::Members;
use crate::membership::{Membership, MembershipParts};
use crate::moment::Clock;
use crate::name::CellId;
use crate::revisions::RevisionParts;
use crate::route::{Directory, Owner};
use crate::steward::{CellChange, LeaseActorParts};
use crate::store::Store;
use crate::timeline::Timeline;

/// Time for the answer to a message of the gossip or to a request for a loan.
const PEER_WAIT: Duration = Duration::from_secs(1);
/// Time for a configuration from a peer.
const PULL_WAIT: Duration = Duration::from_secs(2);
/// Time for a peer's answer about a suspect request.
const SPREAD_WAIT: Duration = Duration::from_millis(500);

/// What the membership needs.
pub(crate) fn membership_parts(
    links: &Links,
    list: watch::Receiver<Option<InstanceList>>,
    config: watch::Receiver<Arc<Config>>,
    clock: Clock,
    timeline: &Timeline,
) -> MembershipParts {
    let links = links.clone();
    MembershipParts {
        exchange: Arc::new(move |address, gossip| {
            let links = links.clone();
            async move {
                let reply = links.call(address, PEER_WAIT, |client, context| async move {
                    client.gossip(context, gossip).await
                });
                reply.await.ok().flatten()
            }
            .boxed()
        }),
        list: Arc::new(move || {
            let seeds = list.borrow().as_ref().map(|l| l.seeds(&config.borrow()));
            std::future::ready(seeds).boxed()
        }),
        extra: Arc::new(|_, _| {}),
        clock,
        timeline: timeline.clone(),
    }
}

/// What the calls of the leases are made from.
pub(crate) struct StewardNeeds<'a> {
    pub(crate) links: &'a Links,
    pub(crate) store: &'a Store,
    pub(crate) holdings: &'a OwnedCells,
    pub(crate) changes: mpsc::UnboundedSender<(CellId, CellChange)>,
    pub(crate) members: watch::Receiver<Arc<Members>>,
    pub(crate) membership: Address<Membership>,
    pub(crate) config: watch::Receiver<Arc<Config>>,
    pub(crate) clock: Clock,
    pub(crate) timeline: &'a Timeline,
}

/// What the leases need. Changes of ownership go to `changes`.
pub(crate) fn steward_parts(needs: StewardNeeds<'_>) -> LeaseActorParts {
    let changes = needs.changes;
    let (lenders, nexts, holdings) = (
        needs.links.clone(),
        needs.links.clone(),
        needs.holdings.clone(),
    );
    LeaseActorParts {
        store: needs.store.clone(),
        borrow: Arc::new(move |to, borrow| {
            let links = lenders.clone();
            async move {
                let reply = links.call(to.address, PEER_WAIT, |client, context| async move {
                    client.borrow(context, borrow).await
                });
                reply.await.ok().flatten()
            }
            .boxed()
        }),
        notify_successor: Arc::new(move |to, word| {
            let links = nexts.clone();
            async move {
                let told = links.call(to.address, PEER_WAIT, |client, context| async move {
                    client.yield_cell(context, word).await
                });
                told.await.ok();
            }
            .boxed()
        }),
        notify_dispatcher: Arc::new(move |cell, change| {
            // The receiver ends only with the process.
            changes.send((cell, change)).ok();
        }),
        delay: Arc::new(move |cell| holdings.delay(cell)),
        members: needs.members,
        fleet: needs.membership,
        config: needs.config,
        clock: needs.clock,
        timeline: needs.timeline.clone(),
    }
}

/// What the revisions need.
pub(crate) fn revision_parts(
    links: &Links,
    store: &Store,
    members: watch::Receiver<Arc<Members>>,
    membership: Address<Membership>,
    timeline: &Timeline,
) -> RevisionParts {
    let links = links.clone();
    RevisionParts {
        store: store.clone(),
        pull: Arc::new(move |peer, known| {
            let links = links.clone();
            async move {
                let update = links.call(peer.address, PULL_WAIT, |client, context| async move {
                    client.config(context, known).await
                });
                update.await.ok().flatten()
            }
            .boxed()
        }),
        members,
        fleet: membership,
        timeline: timeline.clone(),
    }
}

/// What the router asks about the fleet.
pub(crate) fn directory(
    members: &watch::Receiver<Arc<Members>>,
    config: watch::Receiver<Arc<Config>>,
) -> Directory {
    let (owners, peers, delays) = (members.clone(), members.clone(), members.clone());
    let own = members.borrow().me().name.clone();
    Directory {
        own,
        owner: Arc::new(move |cell| owner(&owners.borrow(), cell)),
        peer: Arc::new(move |instance| peers.borrow().get(instance).map(|m| m.address)),
        delay: Arc::new(move |cell| {
            let millis = delays.borrow().owner(cell).map_or(0, |c| c.delay);
            Duration::from_millis(millis.into())
        }),
        config,
    }
}

/// Present owner of a cell, if it is known and not known to have ended.
fn owner(members: &Members, cell: &CellId) -> Option<Owner> {
    let claim = members.owner(cell)?;
    let member = members.get(&claim.owner)?;
    (!member.state.has_ended()).then(|| Owner {
        instance: claim.owner.clone(),
        address: member.address,
    })
}

/// The call that tells all peers of a suspect request.
pub(crate) fn spread(links: &Links, members: &watch::Receiver<Arc<Members>>) -> SpreadCall {
    let (links, members) = (links.clone(), members.clone());
    Arc::new(move |suspicion| {
        let asked = addresses(&members.borrow()).into_iter().map(|address| {
            let (links, suspicion) = (links.clone(), suspicion.clone());
            async move {
                let answer = links.call(address, SPREAD_WAIT, |client, context| async move {
                    client.suspect(context, suspicion).await
                });
                answer.await.ok().flatten()
            }
        });
        join_all(asked.collect::<Vec<_>>())
            .map(|answers| answers.into_iter().flatten().collect())
            .boxed()
    })
}

/// Addresses of the other instances that may answer.
pub(crate) fn addresses(members: &Members) -> Vec<SocketAddr> {
    let own = &members.me().name;
    let others = members
        .all()
        .filter(|m| m.name != *own && !m.state.has_ended());
    others.map(|m| m.address).collect()
}
