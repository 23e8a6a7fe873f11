//! The fault matrix: every fault at every step of a request that may not be repeated.
//!
//! Both instances run the real entry and the real claims, with the real dispatcher between them;
//! store, endpoints and callers are fakes that count.
//!
//! The request goes to instance A, where the fault meets it, and is sent again through instance B
//! until it has an answer or the answer is that nobody knows. Time is paused, and moves in
//! small steps while everything waits.

mod caller;
mod claims;
mod endpoint;
mod fakes;
mod instance;
mod plan;
mod world;

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use caller::{BODY, Heard, KEY, Refused, answer_to};
use cornelstand::{
    Account, AccountName, Centre, CentreName, Class, Config, Endpoint, EndpointName, GetStatus,
    Kind, Repeat, RequestId, Route, Service, ServiceName, key_hash,
};
use plan::{CALLS, Call, FAULTS, Fault, STEPS, Step, gap};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::sleep;
use world::{Node, Seen, World};

/// Longest leap of paused time, so that bytes on their way arrive before a deadline does.
const TICK: Duration = Duration::from_millis(2);
/// Time until the caller sends the request again.
const PAUSE_BETWEEN: Duration = Duration::from_secs(2);
/// Most times that the caller sends the request again.
const RESENDS: usize = 8;

fn config(addresses: [SocketAddr; 2]) -> Config {
    let account = Account {
        share: 1,
        keys: vec![key_hash(KEY)],
        queue: 16,
    };
    let route = |prefix: &str, repeat| Route {
        prefix: prefix.to_owned(),
        class: Class::Interactive,
        repeat,
    };
    let routes = vec![
        route("/orders", Repeat::Once),
        route("/stock", Repeat::Idempotent),
    ];
    let service = Service {
        kind: Kind::Plain,
        cells: 1,
        routes,
        estimate: 10,
    };
    let endpoints = addresses.iter().enumerate().map(|(i, &address)| {
        let endpoint = Endpoint {
            service: "app".into(),
            centre: "dock-a".into(),
            address,
            cold: 1,
            warm: 8,
            ramp: 0,
        };
        (EndpointName::from(format!("e{i}").as_str()), endpoint)
    });
    Config {
        accounts: BTreeMap::from([(AccountName::from("tessel"), account)]),
        services: BTreeMap::from([(ServiceName::from("app"), service)]),
        centres: BTreeMap::from([(CentreName::from("dock-a"), Centre { out: false })]),
        endpoints: endpoints.collect(),
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

async fn run(call: Call, step: Step, fault: Fault) -> Shown {
    let ticks = tokio::spawn(async {
        loop {
            sleep(TICK).await;
        }
    });
    let listeners = [bind().await, bind().await];
    let addresses = listeners.each_ref().map(|l| l.local_addr().unwrap());
    let world = World::new(config(addresses), step, fault);
    for listener in listeners {
        endpoint::start(world.clone(), listener);
    }
    let a = instance::start(&world, Node::A).await;
    let b = instance::start(&world, Node::B).await;
    let heard = calls(&world, call, a, b).await;
    sleep(Duration::from_secs(5)).await;
    let status = world.cell().send(GetStatus).await.unwrap().unwrap();
    ticks.abort();
    let seen = world.seen.lock().unwrap();
    let runs = seen.values().map(|s| s.runs).sum();
    let mut broken: Vec<&str> = heard
        .iter()
        .filter_map(|h| untruth(call, h, runs, &seen))
        .collect();
    if runs > 1 && call != Call::Idempotent {
        broken.push("ran more than once");
    }
    if !heard.last().is_some_and(is_end) {
        broken.push("no end");
    }
    if status.running > 0 || status.waiting > 0 {
        broken.push("the cell counts a request that has ended");
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

/// What is untrue of what a caller heard.
fn untruth(
    call: Call,
    heard: &Heard,
    runs: u32,
    seen: &HashMap<RequestId, Seen>,
) -> Option<&'static str> {
    match heard {
        Heard::Answer(body) if *body != answer_to(BODY, call == Call::Long) => {
            Some("a foreign or short answer")
        }
        Heard::Answer(_) if runs == 0 => Some("an answer without a run"),
        Heard::Refused(Refused { request: None, .. }) => Some("a refusal without identity"),
        Heard::Refused(r) if r.outcome == "not-run" => {
            let touched = |id| seen.get(&id).is_some_and(|s| s.touched > 0);
            r.request
                .is_some_and(touched)
                .then_some("an untrue refusal")
        }
        _ => None,
    }
}

/// Tells whether a caller has no reason to send the request again.
fn is_end(heard: &Heard) -> bool {
    match heard {
        Heard::Answer(_) | Heard::Overloaded => true,
        Heard::Refused(r) => r.outcome != "not-run",
        Heard::Nothing => false,
    }
}

/// Calls through A, at the same time through B if the fault says so, and then through B.
async fn calls(world: &Arc<World>, call: Call, a: SocketAddr, b: SocketAddr) -> Vec<Heard> {
    let beside = tokio::spawn({
        let world = world.clone();
        async move {
            world.resend.notified().await;
            caller::call(&world, call, Node::B, b).await
        }
    });
    let mut heard = vec![caller::call(world, call, Node::A, a).await];
    sleep(PAUSE_BETWEEN).await;
    if beside.is_finished() {
        heard.push(beside.await.unwrap());
    } else {
        beside.abort();
    }
    for _ in 0..RESENDS {
        let again = caller::call(world, call, Node::B, b).await;
        let answered = matches!(again, Heard::Answer(_) | Heard::Overloaded);
        heard.push(again);
        if answered {
            break;
        }
        sleep(PAUSE_BETWEEN).await;
    }
    heard
}

/// A cell as text: what was heard, without repetitions, and the runs.
fn text(shown: &Shown) -> String {
    let mut words: Vec<&str> = shown.heard.iter().map(word).collect();
    words.dedup();
    format!("{} {}", words.join(" "), shown.runs)
}

fn word(heard: &Heard) -> &'static str {
    match heard {
        Heard::Answer(_) => "A",
        Heard::Overloaded => "O",
        Heard::Nothing => "C",
        Heard::Refused(r) => match (r.outcome.as_str(), r.kind.as_str()) {
            ("not-run", _) => "N",
            ("failed", _) => "F",
            (_, "request-still-running") => "R",
            _ => "U",
        },
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap()
}

/// The result of a cell, which runs once.
fn shown(call: Call, step: Step, fault: Fault) -> &'static Shown {
    static CELLS: [OnceLock<Shown>; CALLS.len() * STEPS.len() * FAULTS.len()] =
        [const { OnceLock::new() }; CALLS.len() * STEPS.len() * FAULTS.len()];
    let row = call as usize * STEPS.len() + step as usize;
    let place = row * FAULTS.len() + fault as usize;
    CELLS[place].get_or_init(|| runtime().block_on(run(call, step, fault)))
}

#[rstest]
fn promises_hold(
    #[values(0, 1, 2)] call: usize,
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)] fault: usize,
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13)] step: usize,
) {
    let (call, fault, step) = (CALLS[call], FAULTS[fault], STEPS[step]);
    if gap(call, step, fault).is_some() {
        return;
    }
    let shown = shown(call, step, fault);
    assert!(
        shown.fired > 0,
        "{call}, {step}, {fault} did not happen: {shown:?}"
    );
    assert!(
        shown.broken.is_empty(),
        "{call}, {step}, {fault}: {shown:?}"
    );
}

/// The matrix as a table, with the reasons of the cells that are not run.
fn table(call: Call) -> String {
    let mut reasons: Vec<&str> = Vec::new();
    let mut table = "| step |".to_owned();
    table.extend(FAULTS.iter().map(|f| format!(" {f} |")));
    table.push_str("\n| --- |");
    table.extend(FAULTS.iter().map(|_| " --- |"));
    table.push('\n');
    for step in STEPS {
        write!(table, "| {step} |").unwrap();
        for fault in FAULTS {
            let shown = match gap(call, step, fault) {
                Some(reason) => mark(&mut reasons, reason),
                None => result(call, step, fault),
            };
            write!(table, " {shown} |").unwrap();
        }
        table.push('\n');
    }
    for (i, reason) in reasons.iter().enumerate() {
        writeln!(table, "\n({}) Not run: {reason}.", i + 1).unwrap();
    }
    table
}

fn result(call: Call, step: Step, fault: Fault) -> String {
    let shown = shown(call, step, fault);
    if shown.fired == 0 {
        return "not run".to_owned();
    }
    if shown.broken.is_empty() {
        return text(shown);
    }
    format!("BROKEN {}: {}", text(shown), shown.broken.join(", "))
}

fn mark<'a>(reasons: &mut Vec<&'a str>, reason: &'a str) -> String {
    let known = reasons.iter().position(|r| *r == reason);
    let place = known.unwrap_or_else(|| {
        reasons.push(reason);
        reasons.len() - 1
    });
    format!("({})", place + 1)
}

#[rstest]
#[case::once(Call::Once)]
#[case::long(Call::Long)]
#[case::idempotent(Call::Idempotent)]
fn results(#[case] call: Call) {
    let name = call.to_string().replace(", ", "_").replace(' ', "_");
    let table = table(call);
    insta::assert_snapshot!(name, table);
    let page = include_str!("../../../docs/FAULTS.md");
    assert!(
        page.contains(table.trim_end()),
        "docs/FAULTS.md has another table for {call}"
    );
}
