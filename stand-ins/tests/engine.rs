//! Promises of the model engine's protocol.

use std::time::Duration;

use reqwest::{Client, Response};
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::{Bearing, Engine, EngineFaults, EngineSettings, Overload, Pace, digest, text};

const FAST: Pace = Pace {
    base: 1_000,
    slope: 0,
    prefill: 0,
};

fn settings(cold: u32, warm: u32, ramp: u32) -> EngineSettings {
    EngineSettings {
        bearing: Bearing { cold, warm, ramp },
        pace: FAST,
        lag: 0,
        ..EngineSettings::default()
    }
}

fn start(settings: EngineSettings) -> Engine {
    Engine::start(settings).expect("a free port")
}

fn url(engine: &Engine, path: &str) -> String {
    format!("http://{}{path}", engine.address())
}

fn chat(
    engine: &Engine,
    id: &str,
    prompt: &str,
    tokens: u64,
    stream: bool,
) -> reqwest::RequestBuilder {
    let body = json!({
        "model": "m",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    });
    let request = Client::new().post(url(engine, "/v1/chat/completions"));
    request.header("x-request-id", id).json(&body)
}

async fn ask(engine: &Engine, id: &str, prompt: &str, tokens: u64, stream: bool) -> Response {
    let answer = chat(engine, id, prompt, tokens, stream).send().await;
    answer.expect("an answer")
}

/// The events of a stream without their `data: `.
async fn events(answer: Response) -> Vec<String> {
    let body = answer.text().await.expect("a whole stream");
    let events = body.split_terminator("\n\n");
    events
        .map(|e| e.strip_prefix("data: ").expect("an event").to_owned())
        .collect()
}

fn content(events: &[String]) -> String {
    let parsed = events.iter().filter_map(|e| serde_json::from_str(e).ok());
    parsed
        .filter_map(|e: Value| {
            e["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn a_stream_has_a_chunk_per_token_then_usage_then_the_end() {
    let engine = start(settings(2, 2, 0));
    let events = events(ask(&engine, "r1", "a jacket", 5, true).await).await;
    assert_eq!(events.len(), 7);
    assert_eq!(content(&events), text(digest("a jacket"), 5));
    let last: Value = serde_json::from_str(&events[4]).expect("JSON");
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    let usage: Value = serde_json::from_str(&events[5]).expect("JSON");
    assert_eq!(usage["usage"]["completion_tokens"], 5);
    assert_eq!(events[6], "[DONE]");
}

#[tokio::test]
async fn an_answer_that_is_not_streamed_comes_whole() {
    let engine = start(settings(2, 2, 0));
    let answer = ask(&engine, "r1", "a bag", 3, false).await;
    let boot = answer.headers()["x-endpoint-boot"].to_str().expect("text");
    assert_eq!(boot, engine.counts().boot.to_string());
    let body: Value = answer.json().await.expect("JSON");
    let message = &body["choices"][0]["message"]["content"];
    assert_eq!(message, &json!(text(digest("a bag"), 3)));
    assert_eq!(body["usage"]["completion_tokens"], 3);
}

#[tokio::test]
async fn every_run_of_an_attempt_is_counted() {
    let engine = start(settings(2, 2, 0));
    for id in ["r/0", "r/1", "r/0"] {
        ask(&engine, id, "a tent", 1, false).await;
    }
    assert_eq!((engine.runs("r/0"), engine.runs("r/1")), (2, 1));
    assert_eq!(engine.counts().repeats, 1);
}

#[tokio::test]
async fn an_engine_bears_more_with_each_answer_up_to_warm() {
    let engine = start(settings(1, 4, 6));
    let mut bears = vec![engine.counts().bears];
    for index in 0..7 {
        ask(&engine, &format!("r{index}"), "a zip", 1, false).await;
        bears.push(engine.counts().bears);
    }
    assert_eq!(bears, [1, 1, 2, 2, 3, 3, 4, 4]);
    assert!(engine.counts().ramp.is_some());
}

#[rstest]
#[case::falls(Overload::Fall)]
#[case::refuses(Overload::Refuse)]
#[tokio::test]
async fn a_request_beyond_what_it_bears_is_counted(#[case] overload: Overload) {
    let engine = start(EngineSettings {
        overload,
        ..settings(1, 1, 0)
    });
    let boot = engine.counts().boot;
    let mut first = ask(&engine, "r1", "long", 100_000, true).await;
    assert!(first.chunk().await.expect("a chunk").is_some());
    let second = chat(&engine, "r2", "one more", 1, true).send().await;
    match overload {
        Overload::Refuse => {
            assert_eq!(second.expect("an answer").status(), 503);
            assert_eq!(engine.counts().boot, boot);
        }
        Overload::Fall => {
            assert!(second.is_err());
            while let Ok(chunk) = first.chunk().await {
                assert!(chunk.is_some(), "a cut stream must not look whole");
            }
            assert_eq!((engine.counts().boot, engine.counts().cut), (boot + 1, 1));
        }
    }
    assert_eq!((engine.counts().above, engine.runs("r2")), (1, 0));
}

#[tokio::test]
async fn a_crash_cuts_streams_and_starts_cold() {
    let engine = start(settings(1, 2, 1));
    ask(&engine, "r0", "warm up", 1, false).await;
    assert_eq!(engine.counts().bears, 2);
    let mut cut = ask(&engine, "r1", "long", 100_000, true).await;
    engine.crash();
    while let Ok(chunk) = cut.chunk().await {
        assert!(chunk.is_some(), "a cut stream must not look whole");
    }
    assert_eq!((engine.counts().bears, engine.counts().cut), (1, 1));
    assert_eq!(ask(&engine, "r2", "again", 1, false).await.status(), 200);
}

#[tokio::test]
async fn a_poison_prompt_crashes_each_engine_that_runs_it() {
    let engine = start(settings(2, 2, 0));
    engine.set_faults(EngineFaults {
        poison: Some("torn seam".to_owned()),
        ..EngineFaults::default()
    });
    let answer = chat(&engine, "r1", "a torn seam here", 50, false)
        .send()
        .await;
    assert!(answer.is_err());
    until(|| engine.counts().crashes == 1).await;
    assert_eq!(
        ask(&engine, "r2", "a whole seam", 1, false).await.status(),
        200
    );
}

#[tokio::test]
async fn a_stream_is_resumed_after_the_chunks_seen() {
    let engine = start(settings(2, 2, 0));
    let mut first = ask(&engine, "r1/0", "a tape", 40, true).await;
    first.chunk().await.expect("a chunk");
    drop(first);
    for path in ["/streams/r1/0?after=30", "/streams/r1%2F0?after=30"] {
        let answer = reqwest::get(url(&engine, path)).await.expect("an answer");
        let events = events(answer).await;
        let whole = text(digest("a tape"), 40);
        assert_eq!(content(&events), whole[30 * 9..]);
        assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    }
    let unknown = reqwest::get(url(&engine, "/streams/r9?after=0")).await;
    assert_eq!(unknown.expect("an answer").status(), 404);
    assert_eq!((engine.counts().resumed, engine.counts().runs), (2, 1));
}

#[tokio::test]
async fn a_cancelled_stream_ends_as_an_error_and_frees_its_slot() {
    let engine = start(settings(1, 1, 0));
    let mut stream = ask(&engine, "r1/0", "long", 100_000, true).await;
    let cancel = url(&engine, "/streams/r1/0/cancel");
    let answer = Client::new().post(&cancel).send().await.expect("an answer");
    assert_eq!(answer.status(), 204);
    while let Ok(chunk) = stream.chunk().await {
        assert!(chunk.is_some(), "a cancelled stream must not look whole");
    }
    let again = Client::new().post(&cancel).send().await.expect("an answer");
    assert_eq!(again.status(), 404);
    assert_eq!(ask(&engine, "r2", "short", 1, false).await.status(), 200);
}

#[tokio::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let engine = start(settings(4, 4, 0));
    let pooled = Client::new();
    let get = |client: &Client| {
        let request = client.get(url(&engine, "/load"));
        request.timeout(Duration::from_millis(200)).send()
    };
    let answer = get(&pooled).await.expect("an answer");
    answer.bytes().await.expect("a body");
    let mut stream = ask(&engine, "r1", "long", 400, true).await;
    engine.silence();
    assert!(get(&pooled).await.expect_err("no answer").is_timeout());
    assert!(get(&Client::new()).await.is_ok());
    until(|| engine.counts().answers == 1).await;
    let rest = async {
        let mut bytes = 0;
        while let Some(chunk) = stream.chunk().await.expect("no end") {
            bytes += chunk.len();
        }
        bytes
    };
    let ended = tokio::time::timeout(Duration::from_millis(50), rest).await;
    assert!(ended.is_err(), "the stream must neither go on nor end");
}

#[rstest]
#[case::checked(true, 409, 0)]
#[case::ignored(false, 200, 1)]
#[tokio::test]
async fn old_orders_are_refused_where_the_engine_checks(
    #[case] fencing: bool,
    #[case] status: u16,
    #[case] stale: u64,
) {
    let engine = start(EngineSettings {
        faults: EngineFaults {
            fencing,
            ..EngineFaults::default()
        },
        ..settings(1, 1, 0)
    });
    let order = |fence: u64| {
        let body = json!({ "fence": fence, "order": "load", "model": "m" });
        Client::new()
            .post(url(&engine, "/orders"))
            .json(&body)
            .send()
    };
    assert_eq!(order(7).await.expect("an answer").status(), 200);
    assert_eq!(order(6).await.expect("an answer").status(), status);
    assert_eq!(order(7).await.expect("an answer").status(), 200);
    assert_eq!(engine.counts().stale, stale);
}

#[tokio::test]
async fn load_reports_lag() {
    let engine = start(EngineSettings {
        lag: 3_600_000,
        ..settings(2, 2, 0)
    });
    ask(&engine, "r1", "a hem", 1, false).await;
    let answer = reqwest::get(url(&engine, "/load"))
        .await
        .expect("an answer");
    let report: Value = answer.json().await.expect("JSON");
    let boot = engine.counts().boot;
    let old = json!({ "boot": boot, "running": 0, "waiting": 0, "answers": 0 });
    assert_eq!(report, old);
}

#[test]
fn a_larger_batch_gives_more_tokens_at_longer_intervals() {
    let pace = Pace::default();
    let curve: Vec<u64> = [1, 2, 4, 8]
        .iter()
        .map(|&n| u64::try_from(pace.interval(n).as_micros()).expect("short"))
        .collect();
    assert_eq!(curve, [8_500, 9_000, 10_000, 12_000]);
    assert!(pace.rate(8) > pace.rate(4));
    assert!(pace.rate(8) < 2.0 * pace.rate(4));
}
