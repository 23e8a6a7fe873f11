//! The actors of several instances in one process, over a stand-in of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cornelstand::{
    AnswerGossip, Borrow, CellChange, CellId, ClaimCell, Clock, Config, Fleet, FleetParts, Gossip,
    Holder, InForce, Incarnation, Known, LeaseTiming, LendCell, ListCells, Member, MemberState,
    MemberTiming, Members, Note, Part, Revision, RevisionParts, Seed, Steward, StewardParts, Store,
    TakeOverCell, Timeline, Yield, accept, keep_revisions, plan,
};
use tokio::sync::watch;
use tokio::time::sleep;
use xtra::prelude::*;

use crate::publish::api;

/// Where the actors of the instances can be reached.
#[derive(Clone, Default)]
struct Net(Arc<Mutex<BTreeMap<SocketAddr, Peer>>>);

#[derive(Clone)]
struct Peer {
    fleet: Address<Fleet>,
    steward: Address<Steward>,
    in_force: InForce,
}

impl Net {
    fn peer(&self, address: SocketAddr) -> Option<Peer> {
        self.0.lock().expect("a lock").get(&address).cloned()
    }
}

struct Instance {
    peer: Peer,
    members: watch::Receiver<Arc<Members>>,
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

fn start(index: u16, count: u16, net: &Net, store: &Store) -> Instance {
    let me = member(index);
    let holder = me.holder();
    let clock = Clock::start();
    let timeline = Timeline::new(me.name.clone(), 100);
    let timing = MemberTiming {
        period: Duration::from_millis(100),
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
    let parts = FleetParts {
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
    let (fleet, members) = Fleet::spawn(Members::new(me, timing, u64::from(index)), parts);
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
    let (borrow, word) = (net.clone(), net.clone());
    let steward = Steward::spawn(
        holder,
        LeaseTiming::default(),
        StewardParts {
            store: store.clone(),
            borrow: Arc::new(move |to: Holder, request: Borrow| {
                let peer = borrow.peer(to.address);
                Box::pin(async move { peer?.steward.send(LendCell(request)).await.ok()? })
            }),
            word: Arc::new(move |to: Holder, message: Yield| {
                let peer = word.peer(to.address);
                Box::pin(async move {
                    if let Some(peer) = peer {
                        let _ = peer.steward.send(TakeOverCell(message)).await;
                    }
                })
            }),
            tell: Arc::new(|_: CellId, _: CellChange| ()),
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
        .expect("a lock")
        .insert(address(index), peer.clone());
    Instance { peer, members }
}

fn first_note() -> Note {
    let declared: Config = json5::from_str(
        r#"{ services: { quotes: { kind: "model", cells: 3, estimate: 1 },
                         stock: { kind: "plain", estimate: 1 } } }"#,
    )
    .expect("a configuration");
    plan("start", &declared, &Config::default())
}

async fn until(mut holds: impl AsyncFnMut() -> bool) {
    while !holds().await {
        sleep(Duration::from_millis(20)).await;
    }
}

async fn held(instances: &[Instance]) -> BTreeMap<CellId, Vec<Part>> {
    let mut held: BTreeMap<CellId, Vec<Part>> = BTreeMap::new();
    for instance in instances {
        let cells = instance
            .peer
            .steward
            .send(ListCells)
            .await
            .expect("an actor");
        for (cell, tenure) in cells {
            held.entry(cell).or_default().push(tenure.part);
        }
    }
    held
}

#[tokio::test]
async fn a_note_comes_into_force_everywhere_and_every_cell_gets_one_owner() {
    let (api, store) = api();
    let net = Net::default();
    let instances: Vec<Instance> = (0..6).map(|i| start(i, 6, &net, &store)).collect();
    for instance in &instances {
        instance.peer.in_force.clone().until_ready().await;
    }
    let mut known = Known::default();
    accept(&store, &first_note(), &mut known)
        .await
        .expect("accepted");
    for instance in &instances {
        let mut config = instance.peer.in_force.config();
        let last = config.wait_for(|c| c.revision == Revision(1)).await;
        assert_eq!(**last.expect("a configuration"), known.config());
    }
    until(async || {
        let held = held(&instances).await;
        held.len() == 4 && held.values().all(|parts| *parts == [Part::Full])
    })
    .await;
    for instance in &instances {
        let mut members = instance.members.clone();
        let is_all = |m: &Arc<Members>| m.live().count() == 6 && m.behind(Revision(1)).count() == 0;
        members.wait_for(is_all).await.expect("all members");
    }
    let cell = CellId {
        service: "stock".into(),
        index: 0,
    };
    let mut members = instances[0].members.clone();
    members
        .wait_for(|m| m.owner(&cell).is_some())
        .await
        .expect("an owner");
    assert!(api.counts().watches > 0);
}

#[tokio::test]
async fn an_instance_started_in_an_outage_takes_the_revision_of_its_peers() {
    let (api, store) = api();
    let net = Net::default();
    let first = start(0, 2, &net, &store);
    accept(&store, &first_note(), &mut Known::default())
        .await
        .expect("accepted");
    let mut config = first.peer.in_force.config();
    config
        .wait_for(|c| c.revision == Revision(1))
        .await
        .expect("in force");
    api.set_faults(stand_ins::ObjectFaults {
        outage: Some(stand_ins::Outage::Refuse),
        ..stand_ins::ObjectFaults::default()
    });
    let second = start(1, 2, &net, &store);
    let mut in_force = second.peer.in_force.clone();
    assert!(!in_force.is_ready());
    in_force.until_ready().await;
    assert_eq!(in_force.config().borrow().revision, Revision(1));
    let claim = ClaimCell {
        cell: CellId {
            service: "stock".into(),
            index: 0,
        },
        epoch: cornelstand::Epoch(99),
        delay: 5,
    };
    second
        .peer
        .fleet
        .send(claim.clone())
        .await
        .expect("an actor");
    let mut members = first.members.clone();
    let heard = members
        .wait_for(|m| m.owner(&claim.cell).is_some_and(|c| c.delay == 5))
        .await;
    assert!(heard.is_ok());
}
