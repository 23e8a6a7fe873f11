//! What a workload reports of answers that are whole, cut, refused or another call's.

use std::net::SocketAddr;

use cornelstand::{
    AccountLoad, Arrival, CallKind, Check, LoadResult, Outcomes, Source, Through, Workload,
    run_load, run_load_through,
};
use rstest::rstest;
use stand_ins::{
    Bearing, Engine, EngineSettings, Overload, Pace, PlainFaults, PlainService, PlainSettings,
    call_digest, digest, text,
};
use warp::Filter;

/// Bytes of a prompt.
const PROMPT: usize = 40;

const CHECK: Check = Check {
    chat: |prompt, tokens| text(digest(prompt), tokens),
    plain: |method, path, body| call_digest(method, &format!("/orders{path}"), body),
};

fn workload(call: CallKind, arrival: Arrival, instance: SocketAddr) -> Workload {
    let (service, path) = match call {
        CallKind::Chat { .. } => ("v1", "/chat/completions"),
        CallKind::Plain { .. } => ("orders", "/gels"),
    };
    let source = Source {
        label: "all".to_owned(),
        service: service.into(),
        path: path.to_owned(),
        call,
        arrival,
        after: 0,
        until: None,
        seed: None,
        deadline: None,
    };
    Workload {
        seed: 7,
        length: 300,
        settle: 30_000,
        instances: vec![instance],
        accounts: vec![AccountLoad {
            account: "tailor".into(),
            key: "k".to_owned(),
            share: 1,
            through: Through::All,
            sources: vec![source],
        }],
    }
}

fn chat(arrival: Arrival, instance: SocketAddr) -> Workload {
    let call = CallKind::Chat {
        tokens: 10,
        prompt: PROMPT,
        hint: true,
    };
    workload(call, arrival, instance)
}

fn engine(slots: u32, overload: Overload) -> Engine {
    Engine::start(EngineSettings {
        bearing: Bearing {
            cold: slots,
            warm: slots,
            ramp: 0,
        },
        pace: Pace {
            base: 500,
            slope: 0,
            prefill: 0,
        },
        overload,
        ..EngineSettings::default()
    })
    .expect("a free port")
}

fn plain() -> PlainService {
    PlainService::start(PlainSettings {
        call: 0,
        is_warm: true,
        ..PlainSettings::default()
    })
    .expect("a free port")
}

fn outcomes(result: &LoadResult) -> Outcomes {
    result.counts()
}

#[tokio::test]
async fn whole_answers_are_counted_with_their_service() {
    let engine = engine(1_000, Overload::Refuse);
    let result = run_load(&chat(Arrival::Rate(100.0), engine.address()), Some(CHECK)).await;
    let counts = outcomes(&result);
    assert!(counts.arrived > 0);
    assert_eq!(counts.answered, counts.arrived);
    assert_eq!(engine.counts().answers, counts.arrived);
    // The engine counts a token for every four bytes of a prompt.
    let prompts = counts.answered * (PROMPT as u64).div_ceil(4);
    let charged = engine.counts().tokens + prompts;
    assert_eq!(result.accounts[0].service(), charged);
    let source = &result.accounts[0].sources[0];
    assert_eq!(source.wait.count, counts.arrived);
    // An answer has at least five tokens at half a millisecond each.
    assert!(source.whole.p50 >= 2_500, "{:?}", source.whole);
}

#[tokio::test]
async fn arrivals_follow_from_the_seed_alone() {
    let engine = engine(1_000, Overload::Refuse);
    let mut arrived = Vec::new();
    for _ in 0..2 {
        let result = run_load(&chat(Arrival::Rate(200.0), engine.address()), None).await;
        arrived.push((outcomes(&result).arrived, result.accounts[0].service()));
    }
    assert_eq!(arrived[0], arrived[1]);
}

#[tokio::test]
async fn a_backlogged_account_keeps_its_number_of_calls_open() {
    let engine = engine(1_000, Overload::Refuse);
    let result = run_load(&chat(Arrival::Backlog(3), engine.address()), Some(CHECK)).await;
    assert_eq!(engine.counts().most, 3);
    assert_eq!(outcomes(&result).answered, outcomes(&result).arrived);
}

#[rstest]
#[case::another_content(Check { chat: |_, _| String::new(), ..CHECK })]
#[case::a_token_more(Check { chat: |prompt, tokens| text(digest(prompt), tokens + 1), ..CHECK })]
#[tokio::test]
async fn an_answer_that_is_not_the_calls_own_is_wrong(#[case] check: Check) {
    let engine = engine(1_000, Overload::Refuse);
    let result = run_load(&chat(Arrival::Backlog(1), engine.address()), Some(check)).await;
    let counts = outcomes(&result);
    assert!(counts.wrong > 0);
    assert_eq!((counts.wrong, counts.answered), (counts.arrived, 0));
}

#[tokio::test]
async fn a_cut_stream_is_not_an_answer() {
    let engine = engine(1, Overload::Fall);
    let result = run_load(&chat(Arrival::Backlog(2), engine.address()), Some(CHECK)).await;
    let counts = outcomes(&result);
    assert!(counts.cut > 0);
    assert_eq!(counts.wrong, 0);
    assert_eq!(counts.answered + counts.cut, counts.arrived);
}

#[tokio::test]
async fn a_refusal_that_is_no_problem_document_is_foreign() {
    let engine = engine(0, Overload::Refuse);
    let result = run_load(&chat(Arrival::Backlog(1), engine.address()), Some(CHECK)).await;
    let counts = outcomes(&result);
    assert!(counts.foreign > 0);
    assert_eq!(counts.foreign, counts.arrived);
}

#[tokio::test]
async fn calls_that_run_once_carry_a_key_each() {
    let service = plain();
    service.set_faults(PlainFaults {
        lost: 1,
        ..PlainFaults::default()
    });
    let call = CallKind::Plain {
        cost: 20,
        once: true,
    };
    let load = workload(call, Arrival::Backlog(2), service.address());
    let result = run_load(&load, Some(CHECK)).await;
    let counts = outcomes(&result);
    assert_eq!(counts.cut, 1);
    assert_eq!(counts.answered + 1, counts.arrived);
    let runs = service.runs();
    assert_eq!(runs.repeated(), 0);
    assert_eq!(u64::try_from(runs.keys.len()).ok(), Some(counts.arrived));
}

#[rstest]
#[case::not_run("not-run")]
#[case::unknown("unknown")]
#[case::failed("failed")]
#[tokio::test]
async fn refusals_are_counted_by_outcome(#[case] outcome: &'static str) {
    let refusal = warp::any().map(move || {
        http::Response::builder()
            .status(503)
            .header("x-request-id", "r1")
            .body(format!(r#"{{ "outcome": "{outcome}" }}"#))
    });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(warp::serve(refusal).incoming(listener).run());
    let result = run_load(&chat(Arrival::Backlog(1), address), Some(CHECK)).await;
    let counts = outcomes(&result);
    assert!(counts.arrived > 0);
    assert_eq!(counts.refused(), counts.arrived);
    let counted = [
        ("not-run", counts.not_run),
        ("unknown", counts.unknown),
        ("failed", counts.failed),
    ];
    let kinds: Vec<&str> = counted.iter().filter(|c| c.1 > 0).map(|c| c.0).collect();
    assert_eq!(kinds, [outcome]);
    let is_listed = result.not_run.iter().any(|r| r.request == "r1");
    assert_eq!(is_listed, outcome == "not-run");
}

#[tokio::test]
async fn a_source_keeps_to_its_part_of_the_workload() {
    let engine = engine(1_000, Overload::Refuse);
    let mut load = chat(Arrival::Rate(400.0), engine.address());
    let source = &mut load.accounts[0].sources[0];
    source.until = Some(100);
    let mut second = source.clone();
    (second.after, second.until) = (200, Some(300));
    load.accounts[0].sources.push(second);
    for source in &mut load.accounts[0].sources {
        source.seed = Some(3);
    }
    let result = run_load(&load, Some(CHECK)).await;
    let sources = &result.accounts[0].sources;
    let arrived: Vec<u64> = sources.iter().map(|s| s.counts.arrived).collect();
    assert!(arrived[0] > 0);
    assert_eq!(
        arrived[0], arrived[1],
        "the same seed gives the same arrivals"
    );
    assert_eq!(outcomes(&result).answered, outcomes(&result).arrived);
}

#[tokio::test]
async fn calls_go_to_the_instances_that_are_live() {
    let (first, second) = (
        engine(1_000, Overload::Refuse),
        engine(1_000, Overload::Refuse),
    );
    let load = chat(Arrival::Backlog(1), first.address());
    let (sender, live) = tokio::sync::watch::channel(vec![first.address()]);
    let switch = async {
        while first.counts().answers == 0 {
            tokio::task::yield_now().await;
        }
        sender.send_replace(vec![second.address()]);
    };
    let (result, ()) = tokio::join!(run_load_through(&load, &live, Some(CHECK)), switch);
    let answers = [first.counts().answers, second.counts().answers];
    assert!(answers.iter().all(|&n| n > 0), "{answers:?}");
    assert_eq!(outcomes(&result).answered, answers.iter().sum::<u64>());
}
