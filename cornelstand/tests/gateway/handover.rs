//! A large fleet of processes, one of which is short of processor time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use stand_ins::EndpointFaults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::platform::{TEST_TIMEOUT, World, raw_call};

/// Instances of the smallest large fleet.
const COUNT: u8 = 13;
/// Callers that load the first instance, and connections that it hands over before a test goes on.
const CALLERS: usize = 64;
const LEAST: usize = 4;

/// What callers got so far.
#[derive(Default)]
struct Tally {
    whole: AtomicUsize,
    refused: AtomicUsize,
    broken: AtomicUsize,
    mixed: AtomicUsize,
    is_over: AtomicBool,
}

/// Sends calls on kept connections until told to end.
async fn call_on(front: SocketAddr, caller: usize, tally: Arc<Tally>) {
    let mut number = 0;
    while !tally.is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(front).await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        loop {
            number += 1;
            let id = format!("h-{caller}-{number}");
            let kept = exchange(&mut stream, &id, &tally).await;
            if !kept || tally.is_over.load(Ordering::Relaxed) {
                break;
            }
        }
        // Closed connections occupy ports for a minute.
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends one call. Returns whether the connection is kept.
async fn exchange(stream: &mut TcpStream, id: &str, tally: &Tally) -> bool {
    let mut read = Vec::new();
    let text = loop {
        if read.is_empty() && stream.write_all(raw_call(id).as_bytes()).await.is_err() {
            tally.broken.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let count = timeout(TEST_TIMEOUT, stream.read_buf(&mut read)).await;
        let text = String::from_utf8_lossy(&read).to_lowercase();
        let length = text.split("content-length: ").nth(1);
        let length = length.and_then(|l| l.split("\r\n").next()?.parse::<usize>().ok());
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body.len());
        if body.is_some() && body >= length {
            break text;
        }
        if !matches!(count, Ok(Ok(1..))) {
            tally.broken.fetch_add(1, Ordering::Relaxed);
            return false;
        }
    };
    let is_whole = text.starts_with("http/1.1 200") && text.ends_with(&format!("answer to {id}"));
    let of = if is_whole {
        &tally.whole
    } else if text.starts_with("http/1.1 503") || text.starts_with("http/1.1 502") {
        &tally.refused
    } else {
        &tally.mixed
    };
    of.fetch_add(1, Ordering::Relaxed);
    !text.contains("connection: close")
}

/// A metric of an instance, zero if it is not there.
async fn metric(world: &World, instance: usize, name: &str) -> usize {
    let ip = world.instances[instance].ip;
    let answer = world.http.get(format!("http://{ip}:9464/metrics")).send();
    let text = async { answer.await.ok()?.text().await.ok() };
    let text = text.await.unwrap_or_default();
    let value = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

const HANDED_OVER: &str = "cornelstand_handovers_total{result=\"handed_over\"}";

/// A fleet whose first instance is under load until it hands over.
async fn hot_fleet() -> (World, Arc<Tally>, Vec<JoinHandle<()>>) {
    let world = World::start(COUNT);
    for instance in 0..usize::from(COUNT) {
        world.await_ready(instance, true).await;
    }
    world.await_peers(0, usize::from(COUNT) - 1).await;
    let tally = Arc::new(Tally::default());
    let front = world.instances[0].front();
    let callers = (0..CALLERS).map(|c| tokio::spawn(call_on(front, c, tally.clone())));
    let callers = callers.collect();
    world
        .until("connections handed over", async || {
            metric(&world, 0, HANDED_OVER).await >= LEAST
        })
        .await;
    (world, tally, callers)
}

async fn finish(tally: &Tally, callers: Vec<JoinHandle<()>>) {
    tally.is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller");
    }
    assert_eq!(tally.mixed.load(Ordering::Relaxed), 0);
}

/// Requests that endpoints ran more than once.
fn repeated(world: &World) -> Vec<String> {
    let mut runs = std::collections::BTreeMap::<String, usize>::new();
    for endpoint in world.endpoints.values() {
        for (id, count) in endpoint.runs() {
            *runs.entry(id).or_default() += usize::try_from(count).expect("few");
        }
    }
    let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|(id, _)| id).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hot_instance_hands_over_and_stops_without_a_loss() {
    let (mut world, tally, callers) = hot_fleet().await;
    world
        .until("log lines", async || {
            let has = |i: usize, event| world.instances[i].log().contains(event);
            let is_taken = (1..usize::from(COUNT)).any(|i| has(i, "connection_taken"));
            has(0, "handover_begins") && has(0, "handed_over") && is_taken
        })
        .await;
    assert_eq!(tally.broken.load(Ordering::Relaxed), 0);
    world.instances[0].signal(Signal::TERM);
    let ended = Instant::now() + Duration::from_secs(10);
    while !world.instances[0].has_ended() {
        assert!(Instant::now() < ended, "it ends within its grace time");
        sleep(Duration::from_millis(20)).await;
    }
    finish(&tally, callers).await;
    let log = world.instances[0].log();
    let is_stopped = |l: &str| l.contains("\"stopped\"") && l.contains("\"cut\":0");
    assert!(log.lines().any(is_stopped));
    assert_eq!(repeated(&world), Vec::<String>::new());
}

/// Calls that outlast the entry, most of them on connections that neighbours serve.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_leaves_no_long_call_at_a_neighbour_without_an_answer() {
    let (mut world, tally, callers) = hot_fleet().await;
    for endpoint in world.endpoints.values() {
        endpoint.set_faults(EndpointFaults {
            delay: Duration::from_secs(20),
            ..EndpointFaults::default()
        });
    }
    sleep(Duration::from_millis(200)).await;
    assert!(metric(&world, 0, "cornelstand_handed_over").await > 0);
    assert_eq!(tally.broken.load(Ordering::Relaxed), 0);
    world.instances[0].signal(Signal::TERM);
    finish(&tally, callers).await;
    assert_eq!(tally.broken.load(Ordering::Relaxed), 0);
    let ended = Instant::now() + Duration::from_secs(10);
    while !world.instances[0].has_ended() {
        assert!(Instant::now() < ended, "it ends within its grace time");
        sleep(Duration::from_millis(20)).await;
    }
    let log = world.instances[0].log();
    let is_stopped = |l: &str| l.contains("\"stopped\"") && l.contains("\"cut\":0");
    assert!(log.lines().any(is_stopped));
    let is_named = |l: &str| l.contains("\"ended\"") && l.contains("\"entry\":");
    let mut neighbours = world.instances.iter().skip(1);
    assert!(neighbours.any(|i| i.log().lines().any(is_named)));
}

#[tokio::test(flavor = "multi_thread")]
async fn neighbours_that_die_mix_and_repeat_nothing() {
    let (mut world, tally, callers) = hot_fleet().await;
    for _ in 0..4 {
        let count = async |i: &usize| metric(&world, *i, "cornelstand_taken").await;
        let mut carrier = None;
        for instance in 1..usize::from(COUNT) {
            if world.instances[instance].log().contains("connection_taken")
                && count(&instance).await > 0
            {
                carrier = Some(instance);
            }
        }
        if let Some(instance) = carrier {
            world.instances[instance].kill();
        }
        let before = tally.whole.load(Ordering::Relaxed);
        world
            .until("answers", async || {
                tally.whole.load(Ordering::Relaxed) > before + 10
            })
            .await;
    }
    finish(&tally, callers).await;
    assert_eq!(repeated(&world), Vec::<String>::new());
}
