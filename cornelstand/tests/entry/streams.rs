//! Streamed answers of model engines.

use std::time::Duration;

use cornelstand::{Ending, EntryLimits};
use rstest::rstest;
use stand_ins::Engine;

use crate::fleet::{Fleet, chat, engine, has_usage, problem, script};

#[tokio::test]
async fn a_stream_comes_whole_and_costs_its_usage() {
    let engine = engine();
    let fleet = Fleet::start(&[engine.address()], EntryLimits::default()).await;
    let answer = chat(&fleet, "five zips", 12).send().await.unwrap();
    assert_eq!(answer.headers()["content-type"], "text/event-stream");
    let text = answer.text().await.unwrap();
    assert_eq!(text.matches("data: ").count(), 14);
    assert!(text.ends_with("data: [DONE]\n\n"));
    assert_eq!(fleet.endings(), [Ending::Answered]);
    let cost = fleet.reports.lock().unwrap().last().unwrap().cost;
    let usage: serde_json::Value = text
        .lines()
        .filter_map(|l| l.strip_prefix("data: {"))
        .find_map(|l| {
            serde_json::from_str(&format!("{{{l}"))
                .ok()
                .filter(has_usage)
        })
        .unwrap();
    assert_eq!(usage["usage"]["total_tokens"], cost);
}

#[tokio::test]
async fn a_stream_on_a_silent_connection_is_resumed_without_gap_or_repetition() {
    let engine = engine();
    let limits = EntryLimits {
        idle_ms: 200,
        ..EntryLimits::default()
    };
    let fleet = Fleet::start(&[engine.address()], limits).await;
    let whole = chat(&fleet, "five zips", 60).send().await.unwrap();
    let whole = whole.text().await.unwrap();
    let mut answer = chat(&fleet, "five zips", 60).send().await.unwrap();
    let mut text = Vec::from(answer.chunk().await.unwrap().unwrap());
    engine.silence();
    while let Some(piece) = answer.chunk().await.unwrap() {
        text.extend(piece);
    }
    assert_eq!(String::from_utf8(text).unwrap(), whole);
    assert_eq!(engine.counts().resumed, 1);
    assert_eq!(engine.counts().runs, 2);
}

#[tokio::test]
async fn a_request_that_crashes_engines_takes_down_two_and_is_then_refused() {
    let engines = [engine(), engine(), engine()];
    let addresses = engines.each_ref().map(Engine::address);
    let fleet = Fleet::start(&addresses, EntryLimits::default()).await;
    let mut cut = 0;
    for _ in 0..2 {
        let answer = chat(&fleet, "a torn tent", 12).send().await.unwrap();
        cut += u32::from(answer.text().await.is_err());
    }
    let refused = chat(&fleet, "a torn tent", 12).send().await.unwrap();
    let (status, problem) = problem(refused).await;
    assert_eq!((status, &problem["outcome"]), (422, &"failed".into()));
    assert_eq!(cut, 2);
    let crashes: u64 = engines.iter().map(|e| e.counts().crashes).sum();
    assert_eq!(crashes, 2);
    let other = chat(&fleet, "five zips", 12).send().await.unwrap();
    assert_eq!(other.status(), 200);
}

#[tokio::test]
async fn a_caller_that_goes_away_cancels_its_stream() {
    let engine = engine();
    let fleet = Fleet::start(&[engine.address()], EntryLimits::default()).await;
    let mut answer = chat(&fleet, "five zips", 2_000).send().await.unwrap();
    answer.chunk().await.unwrap().unwrap();
    drop(answer);
    fleet.idle().await;
    assert_eq!(fleet.endings(), [Ending::Cancelled]);
    while engine.counts().cancelled == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_draining_entry_refuses_new_requests_and_ends_the_running_ones() {
    let engine = engine();
    let fleet = Fleet::start(&[engine.address()], EntryLimits::default()).await;
    let running = chat(&fleet, "five zips", 60).send().await.unwrap();
    fleet.entry.drain();
    assert_eq!(fleet.entry.running(), 1);
    let refused = fleet.get("/app/stock").send().await.unwrap();
    assert_eq!(refused.headers()["retry-after"], "1");
    let (status, problem) = problem(refused).await;
    assert_eq!((status, &problem["outcome"]), (503, &"not-run".into()));
    assert!(running.text().await.unwrap().ends_with("data: [DONE]\n\n"));
    fleet.idle().await;
}

#[tokio::test]
async fn a_connection_that_went_silent_is_not_used_again() {
    let engine = engine();
    let limits = EntryLimits {
        probe_ms: 300,
        ..EntryLimits::default()
    };
    let fleet = Fleet::start(&[engine.address()], limits).await;
    // Connections are kept once an answer has named its attempt.
    let mut whole = String::new();
    for _ in 0..2 {
        let first = chat(&fleet, "five zips", 12).send().await.unwrap();
        whole = first.text().await.unwrap();
    }
    engine.silence();
    for _ in 0..2 {
        let next = chat(&fleet, "five zips", 12).send().await.unwrap();
        assert_eq!(next.text().await.unwrap(), whole);
    }
    assert_eq!(engine.counts().runs, 4);
    let endings = [
        Ending::Answered,
        Ending::Answered,
        Ending::Silent,
        Ending::Answered,
        Ending::Answered,
    ];
    assert_eq!(fleet.endings(), endings);
}

#[tokio::test]
async fn a_poisonous_request_sent_through_other_entries_takes_down_no_more() {
    let engines: Vec<Engine> = (0..6).map(|_| engine()).collect();
    let addresses: Vec<_> = engines.iter().map(Engine::address).collect();
    let mut fleets = Vec::new();
    for _ in 0..4 {
        fleets.push(Fleet::start(&addresses, EntryLimits::default()).await);
    }
    for fleet in &fleets {
        let others = fleets.iter().filter(|f| f.address != fleet.address);
        let others = others.map(|f| f.entry.clone()).collect();
        *fleet.peers.lock().unwrap() = others;
    }
    for fleet in fleets.iter().cycle().take(12) {
        let answer = chat(fleet, "a torn tent", 12).send().await.unwrap();
        let cut = answer.status() == 200 && answer.text().await.is_err();
        assert!(cut || fleet.entry.suspicions(1)[0].crashes.len() == 2);
    }
    let crashes: u64 = engines.iter().map(|e| e.counts().crashes).sum();
    assert_eq!(crashes, 2);
    for fleet in &fleets {
        let other = chat(fleet, "five zips", 12).send().await.unwrap();
        assert_eq!(other.status(), 200);
    }
}

#[tokio::test]
async fn requests_beside_a_poisonous_one_get_their_answers_in_the_end() {
    let engines: Vec<Engine> = (0..4).map(|_| engine()).collect();
    let addresses: Vec<_> = engines.iter().map(Engine::address).collect();
    let fleet = Fleet::start(&addresses, EntryLimits::default()).await;
    let others = (0..8).map(|i| {
        let (fleet, prompt) = (&fleet, format!("zip {i}"));
        async move {
            loop {
                let answer = chat(fleet, &prompt, 40).send().await.unwrap();
                assert_eq!(answer.status(), 200);
                if answer.text().await.is_ok() {
                    return;
                }
            }
        }
    });
    let poison = async {
        while fleet.entry.granted() < 8 {
            tokio::task::yield_now().await;
        }
        for _ in 0..6 {
            let answer = chat(&fleet, "a torn tent", 12).send().await.unwrap();
            let _ = answer.text().await;
        }
    };
    futures::join!(futures::future::join_all(others), poison);
    let crashes: u64 = engines.iter().map(|e| e.counts().crashes).sum();
    assert_eq!(crashes, 2);
}

#[tokio::test]
async fn a_long_answer_in_one_piece_is_waited_for() {
    let engine = engine();
    let limits = EntryLimits {
        probe_ms: 50,
        ..EntryLimits::default()
    };
    let fleet = Fleet::start(&[engine.address()], limits).await;
    let body = serde_json::json!({
        "model": "stitch",
        "max_tokens": 250,
        "messages": [{ "role": "user", "content": "five zips" }],
    });
    let answer = fleet.post("/model/v1/chat/completions").json(&body).send();
    let answer: serde_json::Value = answer.await.unwrap().json().await.unwrap();
    assert_eq!(answer["usage"]["completion_tokens"], 250);
    assert_eq!((engine.counts().runs, engine.counts().resumed), (1, 1));
    let cost = fleet.reports.lock().unwrap().last().unwrap().cost;
    assert_eq!(answer["usage"]["total_tokens"], cost);
}

#[rstest]
#[case::cut_between_events("", true)]
#[case::cut_inside_an_event("data: {\"tok", true)]
#[case::never_resumed("", false)]
#[tokio::test]
async fn a_cut_stream_is_resumed_even_if_not_at_once(#[case] half: &str, #[case] resumes: bool) {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        connection: close\r\n\r\n";
    let first = format!("{HEAD}data: 1\n\ndata: 2\n\n{half}").leak();
    let rest = format!("{HEAD}data: 3\n\ndata: [DONE]\n\n").leak();
    let answers = if resumes {
        vec![first, "", "HTTP/1.1 200", rest]
    } else {
        vec![first, ""]
    };
    let fleet = Fleet::start(&[script(answers).await], EntryLimits::default()).await;
    let answer = chat(&fleet, "five zips", 3).send().await.unwrap();
    let text = answer.text().await.ok();
    let whole = "data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n".to_owned();
    assert_eq!(text, resumes.then_some(whole));
    let ending = if resumes {
        Ending::Answered
    } else {
        Ending::Broken
    };
    assert_eq!(fleet.endings(), [ending]);
}

/// Guards against the answer to a resumption, or its end, in the middle of a stream.
#[rstest]
#[case::server_error("HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops")]
#[case::unknown("HTTP/1.1 404 Not Found\r\ncontent-length: 2\r\n\r\nno")]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n")]
#[case::other_media(
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}"
)]
#[case::another_stream(
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: 1-0\r\n\
     content-length: 14\r\n\r\ndata: [DONE]\n\n"
)]
#[case::nothing("")]
#[tokio::test]
async fn a_begun_stream_that_is_not_continued_ends_visibly_incomplete(#[case] next: &'static str) {
    const BROKEN: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        connection: close\r\n\r\ndata: 1\n\n";
    let answers = vec![BROKEN, next, next, next, next];
    let fleet = Fleet::start(&[script(answers).await], EntryLimits::default()).await;
    let mut answer = chat(&fleet, "five zips", 3).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let mut text = Vec::new();
    let end = loop {
        match answer.chunk().await {
            Ok(Some(piece)) => text.extend(piece),
            end => break end,
        }
    };
    assert!(end.is_err(), "the stream looks complete");
    assert_eq!(text, b"data: 1\n\n");
}

/// Guards against a stream that ends as complete without the events that came with its end.
#[tokio::test]
async fn bytes_after_the_end_of_a_stream_cost_no_event() {
    const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        connection: close\r\n\r\ndata: 1\n\ndata: 2\n\ndata: [DONE]\n\nand more";
    let fleet = Fleet::start(&[script(vec![STREAM]).await], EntryLimits::default()).await;
    let answer = chat(&fleet, "five zips", 3).send().await.unwrap();
    let text = answer.text().await.unwrap();
    assert_eq!(text, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n");
    assert_eq!(fleet.endings(), [Ending::Answered]);
}
