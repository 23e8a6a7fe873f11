//! Randomized soak test: callers send requests while instances are killed, paused and restarted,
//! the store is faulty, and endpoints crash, refuse requests and truncate responses.
//!
//! It checks what callers and endpoints observe: a non-idempotent call runs at most once, a refused
//! one never runs, and every successful response is complete and belongs to its request.
//! `CORNELSTAND_SOAK_SEED` and `CORNELSTAND_SOAK_SECONDS` set the seed and the duration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use stand_ins::{EndpointFaults, StoreFaults};
use tokio::sync::RwLock;
use tokio::time::{Instant, sleep};

use crate::full_stream;
use crate::platform::World;

const INSTANCES: u8 = 3;
const CALLERS: usize = 6;
/// Seeds that always run: one default, and any that has failed, with its cause.
const SEEDS: [u64; 1] = [1];

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
    let world = World::start(INSTANCES);
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
    inject_faults(&world, seed, length).await;
    is_done.store(true, Ordering::Relaxed);
    let mut observed = BTreeMap::new();
    for caller in callers {
        observed.extend(caller.await.expect("the caller's checks hold"));
    }
    check_guarantees(&*world.read().await, &observed, seed);
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
        let answer = world.read().await.ask(instance, path, &id).await;
        let result = match answer {
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
            Ok(_) | Err(_) => Observed::Unknown,
        };
        observed.insert(id, result);
        sleep(Duration::from_millis(rng.random_range(1..15))).await;
    }
    observed
}

/// Injects random faults, which may overlap.
async fn inject_faults(world: &RwLock<World>, seed: u64, length: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let until = Instant::now() + length;
    let mut version = 1;
    while Instant::now() < until {
        let instance = rng.random_range(0..usize::from(INSTANCES));
        let endpoint = ["m-1", "m-2", "o-1", "o-2"][rng.random_range(0..4)];
        match rng.random_range(0..10) {
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
                    busy: rng.random_bool(0.5),
                    cut: rng.random_bool(0.5),
                };
                world.read().await.endpoints[endpoint].set_faults(faults);
            }
            8 => world.read().await.endpoints[endpoint].set_faults(EndpointFaults::default()),
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
