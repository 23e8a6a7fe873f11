//! Randomized soak test: callers send requests while instances are killed, paused and restarted,
//! the store is faulty, endpoints crash, fail and refuse requests and truncate responses, and their
//! connections go silent or bring answers a second time.
//!
//! It checks what callers and endpoints observe: a non-idempotent call runs at most once, a refused
//! one never runs, every successful response is complete and belongs to its request, and one that
//! breaks off has no bytes in it that are no response.
//! `CORNELSTAND_SOAK_SEED` and `CORNELSTAND_SOAK_SECONDS` set the seed and the duration.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use stand_ins::{EndpointFaults, LateCopies, ProxyFaults, StoreFaults};
use tokio::sync::RwLock;
use tokio::time::{Instant, sleep};

use crate::full_stream;
use crate::platform::{World, send};

const INSTANCES: u8 = 3;
const CALLERS: usize = 6;
/// Seeds that always run: one default, and any that has failed, with its cause.
const SEEDS: [u64; 2] = [
    1, // default
    6, // a resumed stream got the error of its next endpoint in its middle
];

/// Result of a request as its caller observed it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Observed {
    Served,
    /// Refused with a status that promises that it did not run.
    Refused,
    /// Failed, or no response: it may have run.
    Unknown,
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() {
    let seconds = variable("CORNELSTAND_SOAK_SECONDS").unwrap_or(6);
    let seeds = variable("CORNELSTAND_SOAK_SEED").map_or(SEEDS.to_vec(), |s| vec![s]);
    for seed in seeds {
        soak(seed, Duration::from_secs(seconds)).await;
    }
}

async fn soak(seed: u64, length: Duration) {
    let mut world = World::start(INSTANCES);
    let proxies = start_proxies(&mut world).await;
    for i in 0..usize::from(INSTANCES) {
        world.await_ready(i, true).await;
    }
    let world = Arc::new(RwLock::new(world));
    let is_done = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            tokio::spawn(run_caller(
                world.clone(),
                is_done.clone(),
                next_id.clone(),
                seed,
                i,
            ))
        })
        .collect();
    inject_faults(&world, &proxies, seed, length).await;
    is_done.store(true, Ordering::Relaxed);
    let mut observed = BTreeMap::new();
    for caller in callers {
        observed.extend(caller.await.expect("the caller's checks hold"));
    }
    check_guarantees(&*world.read().await, &observed, seed);
}

/// Puts a proxy in front of each endpoint.
async fn start_proxies(world: &mut World) -> BTreeMap<String, LateCopies> {
    let mut proxies = BTreeMap::new();
    for (name, endpoint) in &world.endpoints {
        let proxy = LateCopies::start(endpoint.address()).await;
        proxies.insert(name.clone(), proxy.expect("the proxy starts"));
    }
    for (name, proxy) in &proxies {
        world.addresses.insert(name.clone(), proxy.address());
        world.list(name, "ready");
    }
    proxies
}

/// Whether a caller could not read a response although its connection did not end.
fn is_unreadable(error: &reqwest::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(error) = source {
        let is_parse = error.downcast_ref::<warp::hyper::Error>();
        let kind = error
            .downcast_ref::<std::io::Error>()
            .map(std::io::Error::kind);
        let is_framing = matches!(kind, Some(ErrorKind::InvalidData | ErrorKind::InvalidInput));
        if is_framing || is_parse.is_some_and(warp::hyper::Error::is_parse) {
            return true;
        }
        source = error.source();
    }
    false
}

async fn run_caller(
    world: Arc<RwLock<World>>,
    is_done: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
    seed: u64,
    caller: usize,
) -> BTreeMap<String, Observed> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller as u64);
    let mut observed = BTreeMap::new();
    while !is_done.load(Ordering::Relaxed) {
        let path = ["/book/1", "/stock/1", "/stream/1"][rng.random_range(0..3)];
        let instance = rng.random_range(0..usize::from(INSTANCES));
        let id = format!(
            "{}-{}",
            &path[1..3],
            next_id.fetch_add(1, Ordering::Relaxed)
        );
        // The lock is not held while the request runs, since faults need it to go on.
        let request = world.read().await.request(instance, path, &id, "body");
        let result = match send(request).await {
            Ok((200, body)) => {
                let expected = if path == "/stream/1" {
                    full_stream()
                } else {
                    format!("answer to {id}")
                };
                assert_eq!(body, expected, "seed {seed}: {id} got a wrong response");
                Observed::Served
            }
            Ok((408 | 421 | 429 | 503, _)) => Observed::Refused,
            Ok(_) => Observed::Unknown,
            Err(error) => {
                assert!(!is_unreadable(&error), "seed {seed}: {id}: {error:?}");
                Observed::Unknown
            }
        };
        observed.insert(id, result);
        sleep(Duration::from_millis(rng.random_range(1..15))).await;
    }
    observed
}

/// Injects random faults, which may overlap.
async fn inject_faults(
    world: &RwLock<World>,
    proxies: &BTreeMap<String, LateCopies>,
    seed: u64,
    length: Duration,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let until = Instant::now() + length;
    let mut version = 1;
    while Instant::now() < until {
        let instance = rng.random_range(0..usize::from(INSTANCES));
        let endpoint = ["m-1", "m-2", "o-1", "o-2"][rng.random_range(0..4)];
        start_ended(world).await;
        match rng.random_range(0..14) {
            0 => {
                let mut world = world.write().await;
                world.instances[instance].kill();
                world.instances[instance].start();
            }
            1 => world.read().await.instances[instance].signal(Signal::STOP),
            2 => {
                let world = world.read().await;
                world.instances.iter().for_each(|i| i.signal(Signal::CONT));
            }
            3 => {
                let faults = StoreFaults {
                    away: rng.random_bool(0.3),
                    silent: rng.random_bool(0.3),
                    lost: rng.random_bool(0.3),
                    slow: rng.random_range(0..100),
                    late: 0,
                };
                world.read().await.store.set_faults(faults);
            }
            4 => world.read().await.store.set_faults(StoreFaults::default()),
            5 => world.read().await.store.compact(),
            6 => world.read().await.endpoints[endpoint]
                .crash()
                .expect("it starts again"),
            7 => {
                let faults = EndpointFaults {
                    busy: rng.random_bool(0.3),
                    cut: rng.random_bool(0.3),
                    failing: rng.random_bool(0.5),
                    delay: Duration::ZERO,
                };
                world.read().await.endpoints[endpoint].set_faults(faults);
            }
            8 => world.read().await.endpoints[endpoint].set_faults(EndpointFaults::default()),
            9 | 10 => {
                let faults = ProxyFaults {
                    before_next: rng.random_bool(0.4),
                    within_next: rng.random_bool(0.4),
                    silent: rng.random_bool(0.4),
                };
                proxies[endpoint].set_faults(faults);
            }
            11 => proxies[endpoint].set_faults(ProxyFaults::default()),
            12 => world.read().await.instances[instance].signal(Signal::TERM),
            _ => {
                version += 1;
                world.read().await.configure(version, true);
            }
        }
        sleep(Duration::from_millis(rng.random_range(20..250))).await;
    }
    let world = world.read().await;
    world.instances.iter().for_each(|i| i.signal(Signal::CONT));
}

/// Starts the instances that a signal has ended.
async fn start_ended(world: &RwLock<World>) {
    for instance in &mut world.write().await.instances {
        if instance.has_ended() {
            instance.start();
        }
    }
}

fn check_guarantees(world: &World, observed: &BTreeMap<String, Observed>, seed: u64) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for endpoint in world.endpoints.values() {
        for (id, count) in endpoint.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    for (id, count) in &runs {
        assert!(
            observed.contains_key(id),
            "seed {seed}: {id} ran and no caller sent it"
        );
        assert!(
            !id.starts_with("bo") || *count == 1,
            "seed {seed}: {id} ran {count} times"
        );
    }
    for (id, observed) in observed.iter().filter(|(id, _)| id.starts_with("bo")) {
        let ran = runs.contains_key(id);
        assert!(
            *observed != Observed::Refused || !ran,
            "seed {seed}: {id} was refused and ran"
        );
        assert!(
            *observed != Observed::Served || ran,
            "seed {seed}: {id} was served and never ran"
        );
    }
    let served = observed
        .values()
        .filter(|h| **h == Observed::Served)
        .count();
    assert!(served > 0, "seed {seed}: nothing was served");
}
