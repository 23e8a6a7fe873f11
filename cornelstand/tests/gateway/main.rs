//! The gateway as real processes beside stand-ins of the platform.

mod platform;
mod soak;

use std::time::Duration;

use platform::{EVENTS, World};
use rustix::process::Signal;
use stand_ins::{EndpointFaults, StoreFaults};
use tokio::time::{Instant, sleep};

fn whole_stream() -> String {
    let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: {n} of {EVENTS}\n\n"));
    events.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_and_streams_are_served_and_the_log_tells_their_way() {
    let world = World::start(2);
    world.await_ready(0, true).await;
    let (status, body) = world.ask(0, "/book/1", "r-1").await.expect("an answer");
    assert_eq!((status, body.as_str()), (200, "answer to r-1"));
    let (status, body) = world.ask(0, "/stream/1", "r-2").await.expect("an answer");
    assert_eq!((status, body), (200, whole_stream()));
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
async fn a_new_configuration_is_in_force_within_its_time_and_a_revoked_key_is_refused() {
    let world = World::start(2);
    for i in 0..2 {
        world.await_ready(i, true).await;
    }
    world.configure(5, true);
    // The platform's bound for a configuration to be in force.
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
    // The history is gone, and an older configuration is written by mistake.
    world.store.compact();
    world.configure(3, true);
    sleep(Duration::from_secs(2)).await;
    let (status, _) = world.ask(0, "/book/1", "k-2").await.expect("an answer");
    assert_eq!(status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_nothing() {
    let mut world = World::start(2);
    world.await_ready(0, true).await;
    let until = Instant::now() + Duration::from_secs(2);
    let mut number = 0;
    let mut is_told = false;
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
        assert!(number % 2 == 0 || body == whole_stream());
        if !is_told && number > 3 {
            is_told = true;
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

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_without_the_store_takes_its_beliefs_from_a_peer() {
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
async fn without_store_and_peers_callers_are_told_to_come_back_until_the_store_answers() {
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
async fn an_endpoint_that_leaves_gets_nothing_more() {
    let world = World::start(1);
    world.await_ready(0, true).await;
    world.list("o-1", "draining");
    // The platform's bound for an endpoint that leaves.
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
async fn a_stream_that_breaks_off_goes_on_at_another_endpoint() {
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
        assert_eq!((status, body), (200, whole_stream()));
    }
}
