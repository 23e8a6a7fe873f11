//! The fault matrix: every fault at every step of a request that may not be repeated.
//!
//! The request goes to instance A, where the fault meets it, and is sent again through instance B
//! until it has an answer or the answer is that nobody knows. Both run the real entry and the real
//! claims; dispatcher, store, endpoint and callers are fakes that count. Time is paused, and moves
//! by a millisecond at a time while everything waits.

#[path = "../fakes/mod.rs"]
mod fakes;

mod caller;
mod endpoint;
mod instance;
mod plan;
mod world;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caller::{BODY, Heard, KEY};
use cornelstand::{
    Account, AccountName, Centre, CentreName, Class, Config, Endpoint, Kind, Repeat, Route,
    Service, ServiceName, key_hash,
};
use instance::endpoint_name;
use plan::{FAULTS, Fault, STEPS, Step, gap};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::sleep;
use world::{Node, World};

/// Most times that the caller sends the request again.
const RESENDS: usize = 8;

fn config(addresses: [(Node, SocketAddr); 2]) -> Config {
    let account = Account {
        share: 1,
        keys: vec![key_hash(KEY)],
        queue: 16,
    };
    let route = Route {
        prefix: "/orders".to_owned(),
        class: Class::Interactive,
        repeat: Repeat::Once,
    };
    let service = Service {
        kind: Kind::Plain,
        cells: 1,
        routes: vec![route],
        estimate: 10,
    };
    let endpoints = addresses.map(|(node, address)| {
        let endpoint = Endpoint {
            service: "app".into(),
            centre: "dock-a".into(),
            address,
            cold: 1,
            warm: 8,
            ramp: 0,
        };
        (endpoint_name(node).into(), endpoint)
    });
    Config {
        accounts: BTreeMap::from([(AccountName::from("tessel"), account)]),
        services: BTreeMap::from([(ServiceName::from("app"), service)]),
        centres: BTreeMap::from([(CentreName::from("dock-a"), Centre { out: false })]),
        endpoints: BTreeMap::from(endpoints),
        ..Config::default()
    }
}

/// What one cell of the matrix has shown.
#[derive(Debug)]
struct Shown {
    /// What the caller heard, from the first call on.
    heard: Vec<Heard>,
    runs: u32,
    fired: u32,
    broken: Vec<&'static str>,
}

async fn run(step: Step, fault: Fault) -> Shown {
    let ticks = tokio::spawn(async {
        loop {
            sleep(Duration::from_millis(1)).await;
        }
    });
    let listeners = [bind().await, bind().await];
    let address = |i: usize| listeners[i].local_addr().unwrap();
    let config = config([(Node::A, address(0)), (Node::B, address(1))]);
    let world = World::new(config, step, fault);
    let [for_a, for_b] = listeners;
    endpoint::start(world.clone(), Node::A, for_a);
    endpoint::start(world.clone(), Node::B, for_b);
    let a = instance::start(&world, Node::A).await;
    let b = instance::start(&world, Node::B).await;
    let heard = calls(&world, a, b).await;
    ticks.abort();
    let seen = world.seen.lock().unwrap();
    let runs = seen.values().map(|s| s.runs).sum();
    let mut broken = Vec::new();
    if runs > 1 {
        broken.push("ran more than once");
    }
    for h in &heard {
        match h {
            Heard::Answer(body) if *body != format!("done: {BODY}") => {
                broken.push("foreign or short answer");
            }
            Heard::Answer(_) if runs != 1 => broken.push("an answer without a run"),
            Heard::Refused(outcome, Some(id)) if outcome == "not-run" => {
                let touched = seen.get(id).is_some_and(|s| s.touched > 0);
                broken.extend(touched.then_some("untrue not-run"));
            }
            Heard::Refused(_, None) => broken.push("a refusal without identity"),
            _ => {}
        }
    }
    let last = heard.last();
    let settled = match last {
        Some(Heard::Answer(_) | Heard::Overloaded) => true,
        Some(Heard::Refused(outcome, _)) => outcome == "unknown",
        _ => false,
    };
    if !settled {
        broken.push("no end");
    }
    let fired = *world.fired.lock().unwrap();
    Shown {
        heard,
        runs,
        fired,
        broken,
    }
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Calls through A, at the same time through B if the fault says so, and then through B.
async fn calls(world: &Arc<World>, a: SocketAddr, b: SocketAddr) -> Vec<Heard> {
    let beside = tokio::spawn({
        let world = world.clone();
        async move {
            world.resend.notified().await;
            caller::call(&world, Node::B, b).await
        }
    });
    let first = caller::call(world, Node::A, a).await;
    let mut heard = vec![first];
    sleep(Duration::from_secs(2)).await;
    if beside.is_finished() {
        heard.push(beside.await.unwrap());
    } else {
        beside.abort();
    }
    for _ in 0..RESENDS {
        let again = caller::call(world, Node::B, b).await;
        heard.push(again.clone());
        if matches!(again, Heard::Answer(_) | Heard::Overloaded) {
            break;
        }
        sleep(Duration::from_secs(2)).await;
    }
    heard
}

/// A cell as text: what was heard, without repetitions, and the runs.
fn text(shown: &Shown) -> String {
    let mut words: Vec<&str> = shown
        .heard
        .iter()
        .map(|h| match h {
            Heard::Answer(_) => "answer",
            Heard::Overloaded => "overloaded",
            Heard::Refused(outcome, _) => outcome,
            Heard::Nothing => "cut",
        })
        .collect();
    words.dedup();
    format!("{}; {} run", words.join(", "), shown.runs)
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap()
}

#[rstest]
fn promises_hold(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] fault: usize,
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13)] step: usize,
) {
    let (fault, step) = (FAULTS[fault], STEPS[step]);
    if gap(step, fault).is_some() {
        return;
    }
    let shown = runtime().block_on(run(step, fault));
    assert!(shown.fired > 0, "the fault did not happen: {shown:?}");
    assert!(shown.broken.is_empty(), "{step}, {fault}: {shown:?}");
}

#[test]
fn table() {
    let mut table = String::new();
    for fault in FAULTS {
        writeln!(table, "## {fault}").unwrap();
        for step in STEPS {
            let cell = match gap(step, fault) {
                Some(reason) => format!("not run: {reason}"),
                None => text(&runtime().block_on(run(step, fault))),
            };
            writeln!(table, "{step}: {cell}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}
