//! Calls to peers and the platform on behalf of an instance's state machines.

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

/// Timeout of a gossip exchange or of a request to borrow limits.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a configuration pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a report of a suspect request.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(500);

/// Membership dependencies.
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
                let reply = links.call(address, PEER_TIMEOUT, |client, context| async move {
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

/// Inputs of [`steward_parts`].
pub(crate) struct StewardDeps<'a> {
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

/// Dependencies of the lease actor. Ownership changes go to `changes`.
pub(crate) fn steward_parts(deps: StewardDeps<'_>) -> LeaseActorParts {
    let changes = deps.changes;
    let (borrow_links, yield_links, holdings) = (
        deps.links.clone(),
        deps.links.clone(),
        deps.holdings.clone(),
    );
    LeaseActorParts {
        store: deps.store.clone(),
        borrow: Arc::new(move |to, borrow| {
            let links = borrow_links.clone();
            async move {
                let reply = links.call(to.address, PEER_TIMEOUT, |client, context| async move {
                    client.borrow(context, borrow).await
                });
                reply.await.ok().flatten()
            }
            .boxed()
        }),
        notify_successor: Arc::new(move |to, word| {
            let links = yield_links.clone();
            async move {
                let reply = links.call(to.address, PEER_TIMEOUT, |client, context| async move {
                    client.yield_cell(context, word).await
                });
                reply.await.ok();
            }
            .boxed()
        }),
        notify_dispatcher: Arc::new(move |cell, change| {
            // The receiver ends only with the process.
            changes.send((cell, change)).ok();
        }),
        delay: Arc::new(move |cell| holdings.delay(cell)),
        members: deps.members,
        fleet: deps.membership,
        config: deps.config,
        clock: deps.clock,
        timeline: deps.timeline.clone(),
    }
}

/// Revision dependencies.
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
                let update = links.call(peer.address, PULL_TIMEOUT, |client, context| async move {
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

/// The router's view of the fleet.
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

/// Owner of a cell, if it is known and not known to have ended.
fn owner(members: &Members, cell: &CellId) -> Option<Owner> {
    let claim = members.owner(cell)?;
    let member = members.get(&claim.owner)?;
    (!member.state.has_ended()).then(|| Owner {
        instance: claim.owner.clone(),
        address: member.address,
    })
}

/// Call that reports a suspect request to all peers.
pub(crate) fn spread_suspicion(
    links: &Links,
    members: &watch::Receiver<Arc<Members>>,
) -> SpreadCall {
    let (links, members) = (links.clone(), members.clone());
    Arc::new(move |suspicion| {
        let calls = peer_addresses(&members.borrow())
            .into_iter()
            .map(|address| {
                let (links, suspicion) = (links.clone(), suspicion.clone());
                async move {
                    let answer =
                        links.call(address, SUSPICION_TIMEOUT, |client, context| async move {
                            client.suspect(context, suspicion).await
                        });
                    answer.await.ok().flatten()
                }
            });
        join_all(calls.collect::<Vec<_>>())
            .map(|answers| answers.into_iter().flatten().collect())
            .boxed()
    })
}

/// Addresses of other instances that have not ended.
pub(crate) fn peer_addresses(members: &Members) -> Vec<SocketAddr> {
    let own = &members.me().name;
    let others = members
        .all()
        .filter(|m| m.name != *own && !m.state.has_ended());
    others.map(|m| m.address).collect()
}
