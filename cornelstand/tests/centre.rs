//! Taking out a data centre whose instance owns the cells while work is queued.
#![cfg(feature = "demo")]

use std::sync::Arc;
use std::time::Duration;

use cornelstand::{
    AccountLoad, Arrival, CHAT, CallKind, CentreName, Check, Deployment, Fleet, ORDER, Outside,
    PLAIN_CALL, ServiceName, Source, Through, Workload, run_load,
};
use stand_ins::{Overload, call_digest, digest, text};

const CHECK: Check = Check {
    chat: |prompt, tokens| text(digest(prompt), tokens),
    plain: call_digest,
};

/// Concurrent calls of each account, several times the engines' capacity.
const BACKLOG: u32 = 30;

fn source(service: &ServiceName, path: &str, call: CallKind, arrival: Arrival) -> Source {
    Source {
        label: path.to_owned(),
        service: service.clone(),
        path: path.to_owned(),
        call,
        arrival,
        after: 0,
        until: None,
        seed: None,
        deadline: None,
    }
}

fn backlog(deployment: &Deployment) -> Source {
    let call = CallKind::Chat {
        tokens: 10,
        prompt: 100,
        hint: false,
    };
    let service = &deployment.models().name;
    source(service, CHAT, call, Arrival::Backlog(BACKLOG))
}

fn orders(deployment: &Deployment) -> Source {
    let call = CallKind::Plain {
        cost: PLAIN_CALL,
        once: true,
    };
    let service = &deployment.plain().name;
    source(service, ORDER, call, Arrival::Rate(5.0))
}

fn workload(deployment: &Deployment, fleet: &Fleet) -> Workload {
    let accounts = deployment.accounts.iter().map(|size| AccountLoad {
        account: size.name.clone(),
        key: size.key.clone(),
        share: size.share,
        through: Through::All,
        sources: vec![backlog(deployment), orders(deployment)],
    });
    Workload {
        seed: 1,
        length: 8_000,
        settle: 60_000,
        instances: fleet.callers(),
        accounts: accounts.collect(),
    }
}

/// Data centre of the instance that owns the cell of the model service.
async fn centre_of_owner(deployment: &Deployment, fleet: &Fleet) -> CentreName {
    let status = fleet.status().await;
    let models = &deployment.models().name;
    let owners = status.iter().flat_map(|s| &s.owners);
    let owner = owners
        .filter(|o| o.cell.service == *models)
        .max_by_key(|o| o.epoch)
        .expect("the cell has an owner");
    let instance = status.iter().find(|s| s.instance == owner.owner);
    instance.expect("the owner runs").centre.clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_work_is_served_when_the_owners_data_centre_is_taken_out() {
    let deployment = Deployment::small();
    let outside = Outside::start(&deployment, false, Overload::Fall).expect("free ports");
    let outside = Arc::new(outside);
    let started = Fleet::start(&deployment, outside.clone()).await;
    let mut fleet = started.expect("a fleet");
    let load = workload(&deployment, &fleet);
    let running = tokio::spawn(async move { run_load(&load, Some(CHECK)).await });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let centre = centre_of_owner(&deployment, &fleet).await;
    fleet.set_centre(&centre, true).await.expect("a note");
    let counts = running.await.expect("no panic").counts();
    let above: u64 = outside.readings().iter().map(|r| r.above).sum();
    println!("{counts:?}");
    assert_eq!((counts.cut, counts.wrong, counts.open, above), (0, 0, 0, 0));
    assert_eq!(counts.answered + counts.refused(), counts.arrived);
    fleet.stop().await.expect("a clean stop");
}
