//! Requests and prompt parts that crash every endpoint that runs them, in a fleet of real processes:
//! several data centres, leaders and digests.
//!
//! `CORNELSTAND_FLEET` sets another number of instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use stand_ins::{FATAL, FATAL_PART};
use tokio::sync::RwLock;
use tokio::time::sleep;

use crate::platform::{CENTRES, World};

/// Instances of a fleet that is large enough for digests.
const INSTANCES: u8 = 15;
/// Time within which connected instances know what others do, as the platform states it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which the leaders have listed instances that registered after they did.
const LISTING_TIME: Duration = Duration::from_secs(11);
/// Endpoints that may crash before the request is refused everywhere.
const MAX_CRASHED: usize = 3;
/// Endpoints that may crash before a prompt part is refused everywhere.
const MAX_CRASHED_BY_PART: usize = 5;
/// Shared prompt parts of the innocent requests.
const SOUND_PARTS: &str = "a:20,b:20";
/// Innocent requests that run at any time.
const INNOCENT_STREAMS: usize = 24;

fn instances() -> u8 {
    let count = std::env::var("CORNELSTAND_FLEET").ok();
    count.and_then(|c| c.parse().ok()).unwrap_or(INSTANCES)
}

/// Runs innocent streams one by one until the test is over, each with another body.
async fn run_streams(world: Arc<RwLock<World>>, is_over: Arc<AtomicBool>, caller: usize) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::try_from(caller).expect("few"));
    let mut served = 0;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let at = rng.random_range(0..usize::from(instances()));
        let id = format!("i-{caller}-{number}");
        let parts = format!("{SOUND_PARTS},{caller:x}:60");
        let world = world.read().await;
        let answer = world.ask_prompt(at, "/stream/1", &id, &id, &parts).await;
        served += usize::from(answer.is_ok_and(|(status, _)| status == 200));
    }
    served
}

/// Renews the entries of restarted endpoints, as they do themselves.
async fn renew_entries(world: Arc<RwLock<World>>, is_over: Arc<AtomicBool>) {
    let mut listed = 0;
    while !is_over.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(200)).await;
        let world = world.read().await;
        if world.ends().len() != listed {
            listed = world.ends().len();
            world
                .endpoints
                .keys()
                .for_each(|name| world.list(name, "ready"));
        }
    }
}

async fn attack(world: &RwLock<World>, at: usize, number: usize) {
    let id = format!("f-{number}");
    // The answer is ignored: the endpoints record what ran.
    let _ = world
        .read()
        .await
        .ask_with(at, "/stream/1", &id, FATAL)
        .await;
}

/// Starts a fleet whose instances know each other.
async fn start_fleet(count: usize) -> World {
    let world = World::start_in(&CENTRES, instances(), 8);
    for i in 0..count {
        world.await_ready(i, true).await;
        world
            .await_peers(i, (count / CENTRES.len()).saturating_sub(1))
            .await;
    }
    sleep(LISTING_TIME).await;
    world
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_ends_at_most_three_in_a_fleet_of_data_centres() {
    let count = usize::from(instances());
    let world = start_fleet(count).await;
    let world = Arc::new(RwLock::new(world));
    let is_over = Arc::new(AtomicBool::new(false));
    let renewal = tokio::spawn(renew_entries(world.clone(), is_over.clone()));
    let innocents =
        (0..INNOCENT_STREAMS).map(|i| tokio::spawn(run_streams(world.clone(), is_over.clone(), i)));
    let innocents: Vec<_> = innocents.collect();

    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut number = 0;
    for _ in 0..12 {
        let at = rng.random_range(0..count);
        attack(&world, at, number).await;
        number += 1;
        sleep(Duration::from_millis(100)).await;
    }
    // At all instances at once.
    let at_once = (0..count).map(|at| attack(&world, at, number + at));
    futures::future::join_all(at_once).await;
    number += count;
    // One instance is killed and restarted, another one is paused for a while.
    world.write().await.instances[0].kill();
    world.write().await.instances[0].start();
    world.read().await.instances[1].signal(Signal::STOP);
    sleep(Duration::from_secs(1)).await;
    world.read().await.instances[1].signal(Signal::CONT);
    world.read().await.await_ready(0, true).await;
    sleep(CONTACT_TIME).await;
    for at in [0, 1] {
        attack(&world, at, number).await;
        number += 1;
    }

    is_over.store(true, Ordering::Relaxed);
    renewal.await.expect("entries are renewed");
    let mut served = 0;
    for caller in innocents {
        served += caller.await.expect("a caller");
    }
    let ended = world.read().await.ends().len();
    assert!(ended > 0 && ended <= MAX_CRASHED, "{ended} endpoints ended");
    assert!(
        served > INNOCENT_STREAMS * 4,
        "{served} requests beside it were served"
    );
}

/// Sends a request of its own with the part that crashes endpoints.
async fn send_fatal_part(world: &RwLock<World>, at: usize, number: usize) {
    let id = format!("p-{number}");
    let parts = format!("{SOUND_PARTS},{FATAL_PART}:20,{number:x}:40");
    // The answer is ignored: the endpoints record what ran.
    let _ = world
        .read()
        .await
        .ask_prompt(at, "/stream/1", &id, &id, &parts)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_part_that_crashes_endpoints_ends_at_most_five_in_a_fleet_of_data_centres() {
    let count = usize::from(instances());
    let world = Arc::new(RwLock::new(start_fleet(count).await));
    let is_over = Arc::new(AtomicBool::new(false));
    let renewal = tokio::spawn(renew_entries(world.clone(), is_over.clone()));
    let innocents =
        (0..INNOCENT_STREAMS).map(|i| tokio::spawn(run_streams(world.clone(), is_over.clone(), i)));
    let innocents: Vec<_> = innocents.collect();

    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for number in 0..12 {
        let at = rng.random_range(0..count);
        send_fatal_part(&world, at, number).await;
        sleep(Duration::from_millis(100)).await;
    }
    let at_once = (0..count).map(|at| send_fatal_part(&world, at, 12 + at));
    futures::future::join_all(at_once).await;
    world.write().await.instances[0].kill();
    world.write().await.instances[0].start();
    world.read().await.await_ready(0, true).await;
    sleep(CONTACT_TIME).await;
    send_fatal_part(&world, 0, 12 + count).await;

    let ended = world.read().await.ends().len();
    assert!(
        ended > 0 && ended <= MAX_CRASHED_BY_PART,
        "{ended} endpoints ended"
    );
    is_over.store(true, Ordering::Relaxed);
    renewal.await.expect("entries are renewed");
    for caller in innocents {
        caller.await.expect("a caller");
    }
    let world = world.read().await;
    for at in 0..count {
        let id = format!("s-{at}");
        let parts = format!("{SOUND_PARTS},{at:x}:60");
        let answer = world.ask_prompt(at, "/stream/1", &id, &id, &parts).await;
        let status = answer.expect("an answer").0;
        assert_eq!(status, 200, "a sound request through instance {at}");
    }
}
