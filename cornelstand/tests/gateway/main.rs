//! Integration tests: gateway processes against stand-ins for the platform's store and endpoints.

mod crashes;
mod handover;
mod platform;
mod rollout;
mod soak;

use std::net::SocketAddr;
use std::time::Duration;

use platform::{EVENTS, World, raw_call};
use rustix::process::Signal;
use stand_ins::{EndpointFaults, StoreFaults};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

fn full_stream() -> String {
    let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: {n} of {EVENTS}\n\n"));
    events.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_and_streams_are_served_and_logged() {
    let world = World::start(2);
    world.await_ready(0, true).await;
    let (status, body) = world.ask(0, "/book/1", "r-1").await.expect("an answer");
    assert_eq!((status, body.as_str()), (200, "answer to r-1"));
    let (status, body) = world.ask(0, "/stream/1", "r-2").await.expect("an answer");
    assert_eq!((status, body), (200, full_stream()));
    world
        .until("log lines", async || {
            let log = world.instances[0].log();
            let of = |event: &str| {
                let mut lines = log.lines();
                lines
                    .any(|l| l.contains("\"r-1\"") && l.contains(&format!("\"event\":\"{event}\"")))
            };
            of("placed") && of("ended") && log.contains("\"event\":\"config_in_force\"")
        })
        .await;
    let ip = world.instances[0].ip;
    let metrics = world.http.get(format!("http://{ip}:9464/metrics")).send();
    let metrics = metrics.await.expect("metrics").text().await.expect("text");
    assert!(metrics.contains("cornelstand_outcomes_total{outcome=\"served\"} 2"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_is_active_in_time_and_a_revoked_key_is_refused() {
    let world = World::start(2);
    for i in 0..2 {
        world.await_ready(i, true).await;
    }
    world.configure(5, true);
    // Time within which the platform requires a new configuration to be active.
    sleep(Duration::from_secs(2)).await;
    for i in 0..2 {
        let (status, _) = world
            .ask(i, "/v5/1", &format!("v-{i}"))
            .await
            .expect("an answer");
        assert_eq!(status, 200);
        let (status, _) = world
            .ask(i, "/v1/1", &format!("w-{i}"))
            .await
            .expect("an answer");
        assert_eq!(status, 404);
    }
    world.configure(9, false);
    sleep(Duration::from_secs(2)).await;
    let (status, _) = world.ask(0, "/book/1", "k-1").await.expect("an answer");
    assert_eq!(status, 401);
    // The store compacts its history, and an older configuration is written by mistake.
    world.store.compact();
    world.configure(3, true);
    sleep(Duration::from_secs(2)).await;
    let (status, _) = world.ask(0, "/book/1", "k-2").await.expect("an answer");
    assert_eq!(status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_cuts_no_response() {
    let mut world = World::start(2);
    world.await_ready(0, true).await;
    let until = Instant::now() + Duration::from_secs(2);
    let mut number = 0;
    let mut is_signalled = false;
    while Instant::now() < until {
        number += 1;
        let path = if number % 2 == 0 {
            "/book/1"
        } else {
            "/stream/1"
        };
        let (status, body) = world
            .ask(0, path, &format!("s-{number}"))
            .await
            .expect("a whole answer");
        assert_eq!(status, 200);
        assert!(number % 2 == 0 || body == full_stream());
        if !is_signalled && number > 3 {
            is_signalled = true;
            world.instances[0].signal(Signal::TERM);
            world.await_ready(0, false).await;
        }
    }
    let ended = Instant::now() + Duration::from_secs(8);
    while !world.instances[0].has_ended() {
        assert!(
            Instant::now() < ended,
            "the process ends within its grace time"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Outcome of one request on a caller's connection.
enum Outcome {
    /// A complete response was read; `closes` if it has `Connection: close`.
    Answered { closes: bool },
    /// The connection ended before a complete response.
    Unanswered,
}

async fn exchange(stream: &mut TcpStream, id: &str) -> Outcome {
    if stream.write_all(raw_call(id).as_bytes()).await.is_err() {
        return Outcome::Unanswered;
    }
    let mut text = Vec::new();
    loop {
        match stream.read_buf(&mut text).await {
            Ok(count) if count > 0 => {}
            _ => return Outcome::Unanswered,
        }
        let answer = String::from_utf8_lossy(&text).to_ascii_lowercase();
        let Some((head, body)) = answer.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.split("content-length: ").nth(1);
        let length = length.and_then(|l| l.split("\r\n").next()?.parse().ok());
        if body.len() >= length.expect("a length") {
            let closes = head.contains("connection: close");
            return Outcome::Answered { closes };
        }
    }
}

/// Callers reuse their connections and send requests until the process refuses new connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_under_load_answers_every_request_that_ran() {
    let mut world = World::start(1);
    world.await_ready(0, true).await;
    let front = world.instances[0].front();
    let callers = (0..16).map(|caller| {
        tokio::spawn(async move {
            let (mut answered, mut unanswered) = (0, Vec::new());
            // A refused connection means that the process has ended.
            while let Ok(mut stream) = TcpStream::connect(front).await {
                loop {
                    let id = format!("{caller}-{}", answered + unanswered.len());
                    match exchange(&mut stream, &id).await {
                        Outcome::Answered { closes } => {
                            answered += 1;
                            if closes {
                                break;
                            }
                        }
                        Outcome::Unanswered => {
                            unanswered.push(id);
                            break;
                        }
                    }
                }
            }
            (answered, unanswered)
        })
    });
    let callers: Vec<_> = callers.collect();
    sleep(Duration::from_millis(300)).await;
    world.instances[0].signal(Signal::TERM);
    let ended = Instant::now() + Duration::from_secs(8);
    while !world.instances[0].has_ended() {
        assert!(Instant::now() < ended, "it ends within its grace time");
        sleep(Duration::from_millis(20)).await;
    }
    let ran = |id: &String| world.endpoints.values().any(|e| e.runs().contains_key(id));
    for caller in callers {
        let (answered, unanswered) = caller.await.expect("a caller");
        assert!(answered > 20, "{answered}");
        let cut: Vec<_> = unanswered.iter().filter(|id| ran(id)).collect();
        assert!(cut.is_empty(), "ran and were not answered: {cut:?}");
    }
}

/// Sends a call with a time limit and returns the status, or none if there is no answer.
async fn status_of(front: SocketAddr, id: &str, limit_ms: u64) -> Option<u16> {
    let limit = format!("deadline-ms: {limit_ms}");
    let call = raw_call(id).replacen("deadline-ms: 8000", &limit, 1);
    let mut stream = TcpStream::connect(front).await.ok()?;
    stream.write_all(call.as_bytes()).await.ok()?;
    let mut text = [0; 12];
    stream.read_exact(&mut text).await.ok()?;
    String::from_utf8_lossy(&text[9..]).parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_leaves_no_call_that_outlasts_it_without_an_answer() {
    let work = Duration::from_secs(20);
    let mut world = World::start_with(&platform::CENTRES[..1], 1, 2, work);
    world.await_ready(0, true).await;
    let front = world.instances[0].front();
    let before = tokio::spawn(status_of(front, "before", 8_000));
    world
        .until("run", async || {
            world
                .endpoints
                .values()
                .any(|e| e.runs().contains_key("before"))
        })
        .await;
    world.instances[0].signal(Signal::TERM);
    sleep(Duration::from_millis(500)).await;
    let early = tokio::spawn(status_of(front, "early", 8_000));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(status_of(front, "late", 8_000).await, Some(503));
    assert_eq!(status_of(front, "short", 500).await, Some(504));
    assert_eq!(before.await.expect("a caller"), Some(502));
    assert_eq!(early.await.expect("a caller"), Some(502));
    let ran = |id| world.endpoints.values().any(|e| e.runs().contains_key(id));
    assert!(ran("early") && ran("short") && !ran("late"));
    let ended = Instant::now() + Duration::from_secs(1);
    while !world.instances[0].has_ended() {
        assert!(Instant::now() < ended, "it ends within its grace time");
        sleep(Duration::from_millis(20)).await;
    }
    let log = world.instances[0].log();
    for (id, event) in [("before", "ended"), ("early", "ended"), ("late", "refused")] {
        let is_told = |line: &str| {
            let parts = [id, event, "this instance stops", "\"left_ms\":"];
            parts.iter().all(|part| line.contains(part))
        };
        assert!(log.lines().any(is_told), "{id}");
    }
    assert!(
        log.lines()
            .any(|l| l.contains("\"stopped\"") && l.contains("\"cut\":0"))
    );
}

/// The grace period runs from the signal, also if the process could not handle it at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_signal_that_is_handled_late_leaves_no_call_without_an_answer() {
    let work = Duration::from_secs(20);
    let world = World::start_with(&platform::CENTRES[..1], 1, 2, work);
    world.await_ready(0, true).await;
    let front = world.instances[0].front();
    world.instances[0].signal(Signal::STOP);
    let signalled = Instant::now();
    world.instances[0].signal(Signal::TERM);
    sleep(Duration::from_millis(800)).await;
    world.instances[0].signal(Signal::CONT);
    sleep(Duration::from_millis(400)).await;
    assert_eq!(status_of(front, "open", 8_000).await, Some(502));
    let answered = signalled.elapsed();
    assert!(answered < Duration::from_secs(8), "{answered:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_revoked_during_a_pause_is_refused_after_it() {
    let world = World::start(1);
    world.await_ready(0, true).await;
    for round in 0..6 {
        let version = 9 + 2 * round;
        let front = world.instances[0].front();
        let mut stream = TcpStream::connect(front).await.expect("accepted");
        let before = exchange(&mut stream, &format!("o-{round}")).await;
        assert!(matches!(before, Outcome::Answered { closes: false }));
        world.instances[0].signal(Signal::STOP);
        sleep(Duration::from_millis(1_300)).await;
        // When the instance resumes, it finds the request and the configuration change together.
        let id = format!("p-{round}");
        stream
            .write_all(raw_call(&id).as_bytes())
            .await
            .expect("sent");
        world.configure(version, false);
        sleep(Duration::from_millis(100)).await;
        world.instances[0].signal(Signal::CONT);
        let mut text = [0; 12];
        stream.read_exact(&mut text).await.expect("an answer");
        assert_ne!(&text, b"HTTP/1.1 200");
        assert!(!world.endpoints.values().any(|e| e.runs().contains_key(&id)));
        world.configure(version + 1, true);
        sleep(Duration::from_millis(600)).await;
        let (status, _) = world
            .ask(0, "/book/1", &format!("q-{round}"))
            .await
            .expect("an answer");
        assert_eq!(status, 200, "it serves again");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_instance_runs_no_request_of_a_disconnected_caller() {
    let world = World::start(1);
    world.await_ready(0, true).await;
    world.instances[0].signal(Signal::STOP);
    sleep(Duration::from_millis(100)).await;
    let mut stream = TcpStream::connect(world.instances[0].front())
        .await
        .expect("accepted");
    stream
        .write_all(raw_call("gone").as_bytes())
        .await
        .expect("sent");
    drop(stream);
    sleep(Duration::from_millis(100)).await;
    world.instances[0].signal(Signal::CONT);
    sleep(Duration::from_millis(500)).await;
    assert!(
        !world
            .endpoints
            .values()
            .any(|e| e.runs().contains_key("gone"))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_without_the_store_gets_its_state_from_a_peer() {
    let mut world = World::start(2);
    for i in 0..2 {
        world.await_ready(i, true).await;
    }
    world.store.set_faults(StoreFaults {
        away: true,
        ..StoreFaults::default()
    });
    world.instances[1].kill();
    world.instances[1].start();
    world.await_ready(1, true).await;
    let (status, _) = world.ask(1, "/book/1", "r-1").await.expect("an answer");
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_store_and_peers_requests_are_refused_until_the_store_responds() {
    let mut world = World::start(1);
    world.store.set_faults(StoreFaults {
        silent: true,
        ..StoreFaults::default()
    });
    world.instances[0].kill();
    world.instances[0].start();
    sleep(Duration::from_millis(600)).await;
    let (status, _) = world.ask(0, "/book/1", "r-1").await.expect("an answer");
    assert_eq!(status, 503);
    world.store.set_faults(StoreFaults::default());
    world.await_ready(0, true).await;
    let (status, _) = world.ask(0, "/book/1", "r-2").await.expect("an answer");
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_gets_no_new_requests() {
    let world = World::start(1);
    world.await_ready(0, true).await;
    world.list("o-1", "draining");
    // Time within which the platform requires instances to stop using a draining endpoint.
    sleep(Duration::from_secs(2)).await;
    let before = world.endpoints["o-1"].runs().len();
    for i in 0..20 {
        let (status, _) = world
            .ask(0, "/book/1", &format!("r-{i}"))
            .await
            .expect("an answer");
        assert_eq!(status, 200);
    }
    assert_eq!(world.endpoints["o-1"].runs().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_at_another_endpoint() {
    let world = World::start(1);
    world.await_ready(0, true).await;
    world.endpoints["m-1"].set_faults(EndpointFaults {
        cut: true,
        ..EndpointFaults::default()
    });
    for i in 0..6 {
        let (status, body) = world
            .ask(0, "/stream/1", &format!("r-{i}"))
            .await
            .expect("an answer");
        assert_eq!((status, body), (200, full_stream()));
    }
}
