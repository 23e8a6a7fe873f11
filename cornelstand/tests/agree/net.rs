//! Runs the actors of several instances in one process, connected by direct calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cornelstand::{
    AnswerGossip, Borrow, CellChange, CellId, Clock, Gossip, Holder, InForce, Incarnation,
    LeaseActor, LeaseActorParts, LeaseTiming, LendHalf, Member, MemberState, MemberTiming, Members,
    Membership, MembershipParts, Revision, RevisionParts, Seed, Store, TakeOverNotice, Timeline,
    Yield, keep_revisions,
};
use tokio::sync::watch;
use xtra::prelude::*;

/// Actor addresses of the instances.
#[derive(Clone, Default)]
pub(crate) struct Net(Arc<Mutex<BTreeMap<SocketAddr, Peer>>>);

#[derive(Clone)]
pub(crate) struct Peer {
    pub(crate) fleet: Address<Membership>,
    pub(crate) steward: Address<LeaseActor>,
    pub(crate) in_force: InForce,
}

impl Net {
    fn peer(&self, address: SocketAddr) -> Option<Peer> {
        self.0
            .lock()
            .expect("an unpoisoned lock")
            .get(&address)
            .cloned()
    }
}

pub(crate) struct Instance {
    pub(crate) peer: Peer,
    pub(crate) members: watch::Receiver<Arc<Members>>,
}

fn member(index: u16) -> Member {
    Member {
        name: format!("i{index}").as_str().into(),
        address: address(index),
        centre: "a".into(),
        incarnation: Incarnation(u64::from(index) + 1),
        count: 0,
        state: MemberState::Live,
        revision: Revision(0),
    }
}

fn address(index: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9000 + index).into()
}

pub(crate) fn start(
    index: u16,
    count: u16,
    period: Duration,
    net: &Net,
    store: &Store,
) -> Instance {
    let me = member(index);
    let holder = me.holder();
    let clock = Clock::start();
    let timeline = Timeline::new(me.name.clone(), 100);
    let timing = MemberTiming {
        period,
        ..MemberTiming::default()
    };
    let exchange = net.clone();
    let seeds: Vec<Seed> = (0..count)
        .map(|i| Seed {
            name: Some(member(i).name),
            address: address(i),
            leaving: false,
        })
        .collect();
    let parts = MembershipParts {
        exchange: Arc::new(move |to: SocketAddr, gossip: Gossip| {
            let peer = exchange.peer(to);
            Box::pin(async move { peer?.fleet.send(AnswerGossip(gossip)).await.ok()? })
        }),
        list: Arc::new(move || {
            let seeds = seeds.clone();
            Box::pin(async move { Some(seeds) })
        }),
        extra: Arc::new(|_, _| ()),
        clock,
        timeline: timeline.clone(),
    };
    let (fleet, members) = Membership::spawn(Members::new(me, timing, u64::from(index)), parts);
    let pull = net.clone();
    let in_force = keep_revisions(RevisionParts {
        store: store.clone(),
        pull: Arc::new(move |peer: Member, after| {
            let peer = pull.peer(peer.address);
            Box::pin(async move { peer?.in_force.update(after) })
        }),
        members: members.clone(),
        fleet: fleet.clone(),
        timeline: timeline.clone(),
    });
    let (borrow, notify) = (net.clone(), net.clone());
    let steward = LeaseActor::spawn(
        holder,
        LeaseTiming::default(),
        LeaseActorParts {
            store: store.clone(),
            borrow: Arc::new(move |to: Holder, request: Borrow| {
                let peer = borrow.peer(to.address);
                Box::pin(async move { peer?.steward.send(LendHalf(request)).await.ok()? })
            }),
            notify_successor: Arc::new(move |to: Holder, message: Yield| {
                let peer = notify.peer(to.address);
                Box::pin(async move {
                    if let Some(peer) = peer {
                        let _ = peer.steward.send(TakeOverNotice(message)).await;
                    }
                })
            }),
            notify_dispatcher: Arc::new(|_: CellId, _: CellChange| ()),
            delay: Arc::new(|_| 0),
            members: members.clone(),
            fleet: fleet.clone(),
            config: in_force.config(),
            clock,
            timeline,
        },
    );
    let peer = Peer {
        fleet,
        steward,
        in_force,
    };
    net.0
        .lock()
        .expect("an unpoisoned lock")
        .insert(address(index), peer.clone());
    Instance { peer, members }
}
