//! A request that crashes every endpoint that runs it, in a fleet of real processes: several data
//! centres, leaders and digests.
//!
//! `CORNELSTAND_FLEET` sets another number of instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use stand_ins::FATAL;
use tokio::sync::RwLock;
use tokio::time::sleep;

use crate::platform::{CENTRES, World};

/// Instances of a fleet that is large enough for digests.
const INSTANCES: u8 = 15;
/// Bound within which instances that are in touch know what others do, as the platform states it.
const CONTACT: Duration = Duration::from_secs(3);
/// Time within which the leaders have listed instances that registered after they did.
const LISTING: Duration = Duration::from_secs(11);
/// Endpoints that may end before the request is refused everywhere.
const MAX_ENDED: usize = 3;
/// Requests that run beside it at any time.
const BESIDE: usize = 24;

fn instances() -> u8 {
    let count = std::env::var("CORNELSTAND_FLEET").ok();
    count.and_then(|c| c.parse().ok()).unwrap_or(INSTANCES)
}

/// Keeps an innocent stream running until the test is over, each time with another body.
async fn stream(world: Arc<RwLock<World>>, is_over: Arc<AtomicBool>, caller: usize) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::try_from(caller).expect("few"));
    let mut served = 0;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let at = rng.random_range(0..usize::from(instances()));
        let id = format!("i-{caller}-{number}");
        let answer = world.read().await.ask_with(at, "/stream/1", &id, &id).await;
        served += usize::from(answer.is_ok_and(|(status, _)| status == 200));
    }
    served
}

/// Renews the entries of endpoints that have started again, as they do themselves.
async fn renew(world: Arc<RwLock<World>>, is_over: Arc<AtomicBool>) {
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
    // Whatever comes back, the endpoints tell what ran.
    let _ = world
        .read()
        .await
        .ask_with(at, "/stream/1", &id, FATAL)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_ends_at_most_three_in_a_fleet_of_data_centres() {
    let count = usize::from(instances());
    let world = World::start_in(&CENTRES, instances(), 8);
    for i in 0..count {
        world.await_ready(i, true).await;
        world
            .await_peers(i, (count / CENTRES.len()).saturating_sub(1))
            .await;
    }
    sleep(LISTING).await;
    let world = Arc::new(RwLock::new(world));
    let is_over = Arc::new(AtomicBool::new(false));
    let renewing = tokio::spawn(renew(world.clone(), is_over.clone()));
    let beside = (0..BESIDE).map(|i| tokio::spawn(stream(world.clone(), is_over.clone(), i)));
    let beside: Vec<_> = beside.collect();

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
    // One instance is killed and starts again, another one stands still for a while.
    world.write().await.instances[0].kill();
    world.write().await.instances[0].start();
    world.read().await.instances[1].signal(Signal::STOP);
    sleep(Duration::from_secs(1)).await;
    world.read().await.instances[1].signal(Signal::CONT);
    world.read().await.await_ready(0, true).await;
    sleep(CONTACT).await;
    for at in [0, 1] {
        attack(&world, at, number).await;
        number += 1;
    }

    is_over.store(true, Ordering::Relaxed);
    renewing.await.expect("entries are renewed");
    let mut served = 0;
    for caller in beside {
        served += caller.await.expect("a caller");
    }
    let ended = world.read().await.ends().len();
    assert!(ended > 0 && ended <= MAX_ENDED, "{ended} endpoints ended");
    assert!(
        served > BESIDE * 4,
        "{served} requests beside it were served"
    );
}
