//! Tests of the actors of several instances in one process, with a stand-in store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cornelstand::{
    CellId, ClaimCell, Config, Known, ListCells, Members, Note, Part, Revision, accept, plan,
};
use tokio::time::sleep;

use crate::net::{Instance, Net, start};
use crate::publish::api;

/// Interval of gossip rounds.
const PERIOD: Duration = Duration::from_millis(100);

fn first_note() -> Note {
    let declared: Config = json5::from_str(
        r#"{ services: { quotes: { kind: "model", cells: 3, estimate: 1 },
                         stock: { kind: "plain", estimate: 1 } } }"#,
    )
    .expect("a configuration");
    plan("start", &declared, &Config::default())
}

async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    while !holds().await {
        sleep(Duration::from_millis(20)).await;
    }
}

async fn owned_parts(instances: &[Instance]) -> BTreeMap<CellId, Vec<Part>> {
    let mut owned: BTreeMap<CellId, Vec<Part>> = BTreeMap::new();
    for instance in instances {
        let cells = instance
            .peer
            .steward
            .send(ListCells)
            .await
            .expect("a running actor");
        for (cell, tenure) in cells {
            owned.entry(cell).or_default().push(tenure.part);
        }
    }
    owned
}

#[tokio::test]
async fn a_note_comes_into_force_everywhere_and_every_cell_gets_one_owner() {
    let (api, store) = api();
    let net = Net::default();
    let instances: Vec<Instance> = (0..6).map(|i| start(i, 6, PERIOD, &net, &store)).collect();
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
    wait_until(async || {
        let owned = owned_parts(&instances).await;
        owned.len() == 4 && owned.values().all(|parts| *parts == [Part::Full])
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
    let first = start(0, 2, PERIOD, &net, &store);
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
    let second = start(1, 2, PERIOD, &net, &store);
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
        .expect("a running actor");
    let mut members = first.members.clone();
    let heard = members
        .wait_for(|m| m.owner(&claim.cell).is_some_and(|c| c.delay == 5))
        .await;
    assert!(heard.is_ok());
}
