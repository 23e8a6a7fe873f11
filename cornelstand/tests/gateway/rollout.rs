//! Roll-outs of versions: a good one, bad ones, and some without the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use stand_ins::{EndpointFaults, StoreFaults};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::full_stream;
use crate::platform::{CENTRES, Instance, World, send};

const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
/// Time from an order to its deadline.
const DURATION: Duration = Duration::from_secs(4);
/// Time of an endpoint for a call. Versions are compared by it, so it is well above the delays that
/// other processes of a test machine cause.
const WORK: Duration = Duration::from_millis(40);
/// Time by which a slow version's answers are later.
const DELAY: Duration = Duration::from_millis(300);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// Requests that show that a state lasts.
const MORE: usize = 200;
/// Two instances.
const INSTANCES: u8 = 2;

async fn start() -> World {
    start_all(INSTANCES).await
}

async fn start_all(count: u8) -> World {
    let lines = format!(
        "contracts=core,rollout\nbounds.canary_share={SHARE}\nbounds.canary_slack={SLACK}\n\
         bounds.rollback_ms=5000\n"
    );
    let world = World::start_for(&CENTRES[..1], count, 2, WORK, &lines);
    for i in 0..usize::from(count) {
        world.await_ready(i, true).await;
        world.await_peers(i, usize::from(count) - 1).await;
    }
    world
}

/// A whole answer, or none.
type Answer = Option<(u16, String)>;

/// Callers that send one request after another.
struct Traffic {
    is_over: Arc<AtomicBool>,
    /// Requests that were answered, or not.
    count: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<Answer>>>,
}

impl Traffic {
    fn start(world: &World, path: &'static str, callers: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let count = Arc::new(AtomicUsize::new(0));
        let callers = (0..callers).map(|caller| {
            let first = world.request(caller % usize::from(INSTANCES), path, "", "body");
            let (is_over, count) = (is_over.clone(), count.clone());
            tokio::spawn(async move {
                let mut answers = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("{caller}-{}", answers.len());
                    let request = first.try_clone().expect("a plain body");
                    let mut request = request.build().expect("a request");
                    let id = id.parse().expect("a header");
                    request.headers_mut().insert("x-cornelstand-attempt-id", id);
                    let client = reqwest::Client::clone(&CLIENT);
                    let request = reqwest::RequestBuilder::from_parts(client, request);
                    answers.push(send(request).await.ok());
                    count.fetch_add(1, Ordering::Relaxed);
                    sleep(PAUSE).await;
                }
                answers
            })
        });
        Self {
            callers: callers.collect(),
            is_over,
            count,
        }
    }

    fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Waits for some more requests.
    async fn more(&self, world: &World) {
        let before = self.count();
        let has_more = async || self.count() >= before + MORE;
        world.until("more requests", has_more).await;
    }

    async fn end(self) -> Vec<Answer> {
        self.is_over.store(true, Ordering::Relaxed);
        let mut answers = Vec::new();
        for caller in self.callers {
            answers.extend(caller.await.expect("a caller"));
        }
        answers
    }
}

static CLIENT: std::sync::LazyLock<reqwest::Client> = std::sync::LazyLock::new(|| {
    let client = reqwest::Client::builder().no_proxy();
    client.build().expect("a client")
});

/// Requests that endpoints ran.
fn runs(world: &World, names: &[&str]) -> usize {
    let count = |name: &&str| world.endpoints[*name].runs().values().sum::<u32>();
    let sum: u32 = names.iter().map(count).sum();
    usize::try_from(sum).expect("few")
}

async fn until_state(world: &World, service: &str, state: &str) {
    world
        .until(state, async || {
            let order = world.store.object("rollouts", service);
            order.is_some_and(|o| o["status"]["state"] == state)
        })
        .await;
}

/// Progress that was written, in order.
fn states(world: &World, service: &str) -> Vec<String> {
    let statuses = world.store.statuses("rollouts", service);
    let state = |status: &Value| {
        assert_eq!(status["target"], "v2");
        status["state"].as_str().expect("a state").to_owned()
    };
    statuses.iter().map(state).collect()
}

async fn until_logged(world: &World, event: &str) {
    let line = format!("\"event\":\"{event}\"");
    world
        .until(event, async || {
            let mut instances = world.instances.iter();
            instances.all(|i| i.log().contains(&line))
        })
        .await;
}

/// The old endpoints stop as soon as the order is completed.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_gets_everything_and_no_stream_is_cut() {
    let mut world = start().await;
    let traffic = Traffic::start(&world, "/stream/1", 24);
    traffic.more(&world).await;
    world.add("m-3", "v2", WORK);
    world.add("m-4", "v2", WORK);
    world.order("models", "v2", DURATION);
    until_state(&world, "models", "completed").await;
    let before = runs(&world, &["m-1", "m-2"]);
    traffic.more(&world).await;
    assert_eq!(runs(&world, &["m-1", "m-2"]), before);
    for name in ["m-1", "m-2"] {
        world.endpoints.remove(name);
        world.store.delete("servers", name);
    }
    traffic.more(&world).await;
    for answer in traffic.end().await {
        assert_eq!(answer, Some((200, full_stream())));
    }
    assert_eq!(states(&world, "models"), ["running", "completed"]);
    for instance in &world.instances {
        let log = instance.log();
        let events = ["rollout_ordered", "rollout_moved", "rollout_completed"];
        assert!(events.iter().all(|event| log.contains(event)));
    }
}

#[rstest]
#[case::failing(EndpointFaults { failing: true, ..EndpointFaults::default() })]
#[case::cut(EndpointFaults { cut: true, ..EndpointFaults::default() })]
#[case::slow(EndpointFaults {
    delay: DELAY,
    ..EndpointFaults::default()
})]
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_gets_a_share_and_then_nothing(#[case] faults: EndpointFaults) {
    let mut world = start().await;
    let traffic = Traffic::start(&world, "/stock/1", 16);
    traffic.more(&world).await;
    let before = traffic.count();
    for name in ["o-3", "o-4"] {
        world.add(name, "v2", WORK);
        world.endpoints[name].set_faults(faults);
    }
    world.order("orders", "v2", DURATION);
    until_state(&world, "orders", "rolled_back").await;
    until_logged(&world, "rollout_rolled_back").await;
    let exposed = runs(&world, &["o-3", "o-4"]);
    let requests = u32::try_from(traffic.count() - before).expect("few");
    let exposure = f64::from(u32::try_from(exposed).expect("few"));
    assert!(
        exposure <= SHARE * f64::from(requests) + SLACK,
        "{exposure} of {requests}"
    );
    traffic.more(&world).await;
    assert_eq!(runs(&world, &["o-3", "o-4"]), exposed);
    let answers = traffic.end().await;
    assert!(answers.iter().all(Option::is_some));
    assert_eq!(
        states(&world, "orders").last().map(String::as_str),
        Some("rolled_back")
    );
    assert!(
        world
            .instances
            .iter()
            .any(|i| i.log().contains("rollout_evidence"))
    );
}

/// Writes fail, their answers are lost, or they are done later; each status is written once.
#[rstest]
#[case::away(StoreFaults { away: true, ..StoreFaults::default() })]
#[case::lost(StoreFaults { lost: true, ..StoreFaults::default() })]
#[case::late(StoreFaults { late: 1_500, ..StoreFaults::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_completed_although_the_store_fails_meanwhile(#[case] faults: StoreFaults) {
    let mut world = start().await;
    let traffic = Traffic::start(&world, "/stock/1", 16);
    traffic.more(&world).await;
    for name in ["o-3", "o-4"] {
        world.add(name, "v2", WORK);
    }
    world.order("orders", "v2", DURATION);
    until_state(&world, "orders", "running").await;
    world.store.set_faults(faults);
    until_logged(&world, "rollout_moved").await;
    traffic.more(&world).await;
    if faults.away {
        world.store.set_faults(StoreFaults::default());
    }
    until_state(&world, "orders", "completed").await;
    until_logged(&world, "rollout_completed").await;
    let before = runs(&world, &["o-1", "o-2"]);
    traffic.more(&world).await;
    assert_eq!(runs(&world, &["o-1", "o-2"]), before);
    for answer in traffic.end().await {
        assert_eq!(answer.map(|(status, _)| status), Some(200));
    }
    assert_eq!(states(&world, "orders"), ["running", "completed"]);
}

/// The instance that wrote the last status is killed, and starts again without state.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_completed_although_the_writer_is_killed() {
    let mut world = start_all(3).await;
    let traffic = Traffic::start(&world, "/stock/1", 16);
    traffic.more(&world).await;
    for name in ["o-3", "o-4"] {
        world.add(name, "v2", WORK);
    }
    world.order("orders", "v2", DURATION);
    until_state(&world, "orders", "running").await;
    let wrote = |i: &Instance| i.log().contains("rollout_status_written");
    world
        .until("the writer's log", async || {
            world.instances.iter().any(wrote)
        })
        .await;
    let writer = world.instances.iter().position(wrote);
    let writer = &mut world.instances[writer.expect("a writer")];
    writer.kill();
    writer.start();
    until_state(&world, "orders", "completed").await;
    until_logged(&world, "rollout_completed").await;
    let before = runs(&world, &["o-1", "o-2"]);
    traffic.more(&world).await;
    assert_eq!(runs(&world, &["o-1", "o-2"]), before);
    for answer in traffic.end().await {
        // 503 is the answer of the new process until it knows a configuration.
        assert!(answer.is_none_or(|(status, _)| matches!(status, 200 | 503)));
    }
    assert_eq!(states(&world, "orders"), ["running", "completed"]);
}

/// Without roll-outs in the settings, all versions are used alike and the store is not written to.
#[tokio::test(flavor = "multi_thread")]
async fn without_roll_outs_an_order_has_no_effect() {
    let mut world = World::start(INSTANCES);
    for i in 0..usize::from(INSTANCES) {
        world.await_ready(i, true).await;
    }
    let traffic = Traffic::start(&world, "/stock/1", 16);
    world.add("o-3", "v2", WORK);
    world.order("orders", "v2", DURATION);
    world
        .until("requests at all endpoints", async || {
            let names = ["o-1", "o-2", "o-3"];
            names.iter().all(|name| runs(&world, &[name]) >= MORE)
        })
        .await;
    for answer in traffic.end().await {
        assert_eq!(answer.map(|(status, _)| status), Some(200));
    }
    assert!(states(&world, "orders").is_empty());
}
