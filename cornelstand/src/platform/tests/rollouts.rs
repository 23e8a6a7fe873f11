//! Orders of roll-outs in the store, and the status that is written to them.

use std::cell::RefCell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::gateway::directory::OrderRecord;
use crate::gateway::exchange::Sender;
use crate::gateway::follow::{Followed, follow};
use crate::gateway::gate::Gate;
use crate::gateway::rollout::evidence::Tally;
use crate::gateway::rollout::{StatusWord, StatusWrite};
use crate::gateway::rollout_writer::{Written, write_status};
use crate::gateway::settings::RolloutBounds;
use crate::gateway::tests::{MODELS, ORDERS, gate, list, record};
use crate::platform::objects::{StoreObject, read_rollout};
use crate::platform::store::StoreClient;
use crate::platform::tests::path::{connect, fetch, listen, request, run_local};
use crate::platform::tests::scripted::{
    Endpoint, Step, TEST_TIMEOUT, answer, chunk, event, own_loopback, read_request, response,
    stream_head,
};

const BOUNDS: Option<RolloutBounds> = Some(RolloutBounds {
    share: 0.1,
    slack: 50.0,
    rollback: Duration::from_secs(5),
});

fn object(revision: u64, spec: &Value, status: &Value) -> Value {
    let metadata = json!({
        "name": "models", "revision": revision, "created_rev": 4, "finalizers": [],
        "deleting": false,
    });
    json!({ "metadata": metadata, "spec": spec, "status": status })
}

fn spec() -> Value {
    json!({ "service": "models", "target": "v2", "duration_s": 12.5 })
}

fn status(state: &str, target: &str) -> Value {
    json!({ "state": state, "target": target })
}

fn read(spec: &Value, status: &Value) -> Result<OrderRecord, serde_json::Error> {
    let object: StoreObject = serde_json::from_value(object(7, spec, status)).expect("an object");
    read_rollout(&object)
}

#[test]
fn an_order_is_decoded() {
    let record = read(&spec(), &Value::Null).expect("valid");
    assert_eq!((record.name.as_str(), record.revision), ("models", 7));
    let order = record.order;
    assert_eq!((order.id.target.as_str(), order.id.created), ("v2", 4));
    assert_eq!(order.duration, Duration::from_millis(12_500));
    assert_eq!(order.word(), None);
}

#[rstest]
#[case::running(status("running", "v2"), Some(StatusWord::Running))]
#[case::completed(status("completed", "v2"), Some(StatusWord::Completed))]
#[case::rolled_back(status("rolled_back", "v2"), Some(StatusWord::RolledBack))]
#[case::earlier_target(status("completed", "v1"), None)]
#[case::unknown_state(status("paused", "v2"), None)]
#[case::no_target(json!({ "state": "completed" }), None)]
#[case::other_type(json!([1]), None)]
fn a_status_counts_for_its_own_target(#[case] status: Value, #[case] word: Option<StatusWord>) {
    assert_eq!(read(&spec(), &status).expect("valid").order.word(), word);
}

#[rstest]
#[case::service("service", json!(7))]
#[case::no_service("service", json!(null))]
#[case::target("target", json!(2))]
#[case::no_version("target", json!(""))]
#[case::duration("duration_s", json!("soon"))]
#[case::negative("duration_s", json!(-1))]
#[case::too_long("duration_s", json!(1e300))]
fn a_malformed_order_is_rejected(#[case] field: &str, #[case] value: Value) {
    let mut spec = spec();
    spec[field] = value;
    assert!(read(&spec, &Value::Null).is_err());
}

/// A reply of the store: its status and body, or none at all.
type Reply = Option<(u16, Value)>;

/// A store that answers each call with the next reply, and none after the last.
async fn store(replies: Vec<Reply>) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind((own_loopback(), 0))
        .await
        .expect("loopback");
    let address = listener.local_addr().expect("bound");
    let requests: Rc<RefCell<Vec<String>>> = Rc::default();
    let kept = requests.clone();
    tokio::task::spawn_local(async move {
        let mut replies = replies.into_iter();
        loop {
            let (mut stream, _) = listener.accept().await.expect("accept");
            while let Some(request) = read_request(&mut stream).await {
                kept.borrow_mut().push(request);
                let Some((status, body)) = replies.next().flatten() else {
                    break;
                };
                let body = body.to_string();
                let length = body.len();
                let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
                let answer = head + &body;
                stream.write_all(answer.as_bytes()).await.expect("written");
            }
        }
    });
    (address, requests)
}

fn now_at(revision: u64, status: &Value) -> Value {
    object(revision, &spec(), status)
}

fn replaced() -> Value {
    let spec = json!({ "service": "models", "target": "v3", "duration_s": 12 });
    object(9, &spec, &Value::Null)
}

/// What is known after a write of `completed`, and how many calls that took.
#[rstest]
#[case::accepted(vec![Some((200, json!({})))], "done Completed", 1)]
#[case::another_has_written(
    vec![Some((409, now_at(9, &status("completed", "v2"))))], "done Completed", 1
)]
#[case::another_has_rolled_back(
    vec![Some((409, now_at(9, &status("rolled_back", "v2"))))], "done RolledBack", 1
)]
#[case::another_revision(
    vec![Some((409, now_at(9, &status("running", "v2"))))], "undone at 9", 1
)]
#[case::another_order(vec![Some((409, replaced()))], "replaced", 1)]
#[case::conflict_without_object(
    vec![Some((409, json!({}))), Some((200, now_at(9, &Value::Null)))], "undone at 9", 2
)]
#[case::lost_and_done(
    vec![None, Some((200, now_at(8, &status("completed", "v2"))))], "done Completed", 2
)]
#[case::lost_and_not_done(vec![None, Some((200, now_at(7, &Value::Null)))], "undone at 7", 2)]
#[case::lost_and_deleted(vec![None, Some((404, json!({})))], "replaced", 2)]
#[case::lost_twice(vec![None, None], "undone", 2)]
#[case::unavailable(vec![Some((503, json!({})))], "undone", 1)]
#[case::too_many_calls(vec![Some((429, json!({})))], "undone", 1)]
#[tokio::test]
async fn after_a_write_the_entry_is_known(
    #[case] replies: Vec<Reply>,
    #[case] expected: &str,
    #[case] calls: usize,
) {
    run_local(async {
        let (address, requests) = store(replies).await;
        let gate = gate("one", Vec::new());
        let entry = read(&spec(), &status("running", "v2")).expect("valid");
        let write = StatusWrite {
            order: entry.order.id.clone(),
            word: StatusWord::Completed,
        };
        let mut client = StoreClient::new(address);
        let written = write_status(&gate, &mut client, &write, &entry).await;
        let found = match written {
            Written::Done(word) => format!("done {word:?}"),
            Written::Undone(Some(entry)) => format!("undone at {}", entry.revision),
            Written::Undone(None) => "undone".to_owned(),
            Written::Replaced => "replaced".to_owned(),
        };
        assert_eq!(found, expected);
        let requests = requests.borrow();
        assert_eq!(requests.len(), calls);
        let (head, body) = requests[0].split_once("\r\n\r\n").expect("a body");
        assert!(head.starts_with("PUT /-/objects/rollouts/models/status HTTP/1.1\r\n"));
        let body: Value = serde_json::from_str(body).expect("JSON");
        assert_eq!(body["metadata"]["revision"], 7);
        assert_eq!(body["status"], status("completed", "v2"));
    })
    .await;
}

/// A final status is never replaced, whatever this instance concludes.
#[tokio::test]
async fn an_order_that_has_ended_is_not_written_again() {
    run_local(async {
        let (address, requests) = store(Vec::new()).await;
        let gate = gate("one", Vec::new());
        let entry = read(&spec(), &status("rolled_back", "v2")).expect("valid");
        let mut client = StoreClient::new(address);
        for word in [StatusWord::Running, StatusWord::Completed] {
            let order = entry.order.id.clone();
            let write = StatusWrite { order, word };
            let written = write_status(&gate, &mut client, &write, &entry).await;
            assert!(matches!(written, Written::Done(StatusWord::RolledBack)));
        }
        assert!(requests.borrow().is_empty());
    })
    .await;
}

fn rollout_gate(address: SocketAddr) -> Rc<Gate> {
    let gate = gate("one", Vec::new());
    gate.set_rollout_bounds(BOUNDS);
    {
        let mut settings = gate.settings.borrow_mut();
        settings.store = address;
        settings.rollout = BOUNDS;
    }
    gate.discovery_done.set(true);
    gate
}

/// Orders after some answers of a store that also has an unreadable entry and forgets its history.
#[rstest]
#[case::listed(1, 5, &["v2"])]
#[case::unreadable_change(2, 5, &["v2"])]
#[case::replaced(3, 7, &["v3"])]
#[case::history_gone(5, 9, &["v4"])]
#[case::deleted(6, 10, &[])]
#[tokio::test]
async fn orders_are_followed(
    #[case] replies: usize,
    #[case] revision: u64,
    #[case] targets: &[&str],
) {
    run_local(async {
        let order = |target: &str, revision: u64| {
            let spec = json!({ "service": "models", "target": target, "duration_s": 12 });
            object(revision, &spec, &Value::Null)
        };
        let foreign =
            json!({ "metadata": { "name": "x", "revision": 5 }, "spec": { "target": 1 } });
        let list = |items: Value, as_of: u64| {
            Some((
                200,
                json!({ "items": items, "has_more": false, "as_of": as_of }),
            ))
        };
        let change = |object: Value, is_deleted: bool, as_of: u64| {
            let event = json!({ "object": object, "deleted": is_deleted });
            Some((200, json!({ "events": [event], "as_of": as_of })))
        };
        let mut all = vec![
            list(json!([foreign, order("v2", 4)]), 5),
            change(foreign.clone(), false, 6),
            change(order("v3", 7), false, 7),
            Some((410, json!({}))),
            list(json!([order("v4", 9)]), 9),
            change(order("v4", 9), true, 10),
        ];
        all.truncate(replies);
        let (address, requests) = store(all).await;
        let gate = rollout_gate(address);
        tokio::task::spawn_local(follow(gate.clone(), Followed::Rollouts));
        let version = || {
            gate.state
                .borrow()
                .directory
                .order_version()
                .revision
                .number
        };
        let wait = async {
            while requests.borrow().len() <= replies || version() < revision {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TEST_TIMEOUT, wait)
            .await
            .expect("all answers are read");
        let state = gate.state.borrow();
        let known = state.directory.orders().map(|o| &o.order.id.target);
        let known: Vec<&str> = known.map(crate::name::VersionName::as_str).collect();
        assert_eq!((version(), &known[..]), (revision, targets));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn without_roll_outs_in_the_settings_the_store_is_not_asked_for_orders() {
    run_local(async {
        let (address, requests) = store(Vec::new()).await;
        let gate = rollout_gate(address);
        gate.settings.borrow_mut().rollout = None;
        tokio::task::spawn_local(follow(gate.clone(), Followed::Rollouts));
        sleep(Duration::from_secs(30)).await;
        assert!(requests.borrow().is_empty());
    })
    .await;
}

/// Answers of an endpoint that are counted, and failures among them.
#[rstest]
#[case::good(vec![Step::Read, Step::Write(answer("a1", "", "done"))], (1, 0))]
#[case::failure(
    vec![
        Step::Read,
        Step::Write(response("a1", "500 Oops", "Content-Length: 0\r\n", "")),
    ],
    (1, 1)
)]
#[case::own_refusal_of_the_request(
    vec![
        Step::Read,
        Step::Write(response("a1", "404 No", "Content-Length: 0\r\n", "")),
    ],
    (1, 0)
)]
#[case::time_over_at_once(
    vec![
        Step::Read,
        Step::Write(response("a1", "504 Late", "Content-Length: 0\r\n", "")),
    ],
    (0, 0)
)]
#[case::cut_before_the_answer(vec![Step::Read, Step::Reset], (1, 1))]
#[case::cut_in_the_answer(
    vec![
        Step::Read,
        Step::Write(response("a1", "200 OK", "Content-Length: 9\r\n", "part")),
        Step::Reset,
    ],
    (2, 1)
)]
#[case::busy(
    vec![
        Step::Read,
        Step::Write(response(
            "a1",
            "503 Busy",
            "X-Cornelstand-Not-Executed: 1\r\nContent-Length: 0\r\n",
            "",
        )),
    ],
    (0, 0)
)]
#[case::moved(
    vec![
        Step::Read,
        Step::Write(response("a1", "421 Moved", "Content-Length: 0\r\n", "")),
    ],
    (0, 0)
)]
#[tokio::test]
async fn answers_are_counted(#[case] script: Vec<Step>, #[case] counted: (u32, u32)) {
    run_local(async {
        let endpoint = Endpoint::start(vec![script, vec![Step::AwaitClose]]).await;
        let gate = ordered_gate(endpoint.address);
        let address = listen(&gate).await;
        fetch(address, &request("/book/1", "a1")).await;
        assert_eq!(count(&gate), counted);
        assert_eq!(endpoint.count(), 1);
    })
    .await;
}

#[tokio::test]
async fn the_crash_of_an_endpoint_is_no_failure_of_its_version() {
    run_local(async {
        let listener = TcpListener::bind((own_loopback(), 0))
            .await
            .expect("loopback");
        let gate = ordered_gate(listener.local_addr().expect("bound"));
        let address = listen(&gate).await;
        let crash = tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            read_request(&mut stream).await.expect("a request");
            drop(listener);
        });
        fetch(address, &request("/book/1", "a1")).await;
        crash.await.expect("it crashed");
        assert_eq!(count(&gate), (0, 0));
    })
    .await;
}

#[tokio::test]
async fn a_caller_that_leaves_early_is_no_failure_of_the_endpoint() {
    run_local(async {
        let endpoint = Endpoint::start(vec![vec![Step::Read, Step::AwaitClose]]).await;
        let gate = ordered_gate(endpoint.address);
        let address = listen(&gate).await;
        let mut caller = connect(address).await;
        let request = request("/book/1", "a1");
        caller.write_all(request.as_bytes()).await.expect("sent");
        let running = async |expected: u32| {
            while running(&gate) != expected {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TEST_TIMEOUT, running(1)).await.expect("it runs");
        drop(caller);
        timeout(TEST_TIMEOUT, running(0)).await.expect("it ends");
        assert_eq!(count(&gate), (0, 0));
    })
    .await;
}

/// A gateway with one endpoint, and an order to move its service to another version.
fn ordered_gate(endpoint: SocketAddr) -> Rc<Gate> {
    let gate = gate("one", Vec::new());
    gate.set_rollout_bounds(BOUNDS);
    gate.settings.borrow_mut().rollout = BOUNDS;
    list(&gate, vec![record("o-1", ORDERS, endpoint)]);
    let mut record = read(&spec(), &Value::Null).expect("valid");
    record.order.id.service = ORDERS.into();
    let mut state = gate.state.borrow_mut();
    state.directory.put_order(record);
    state.directory.mark_orders(7.into());
    drop(state);
    gate.apply_orders();
    gate
}

/// Counted answers of the service's old version, and failures among them.
fn count(gate: &Gate) -> (u32, u32) {
    gate.advance_rollouts();
    assert_eq!(running(gate), 0);
    let state = gate.state.borrow();
    let decisions = &state.rollouts.decisions;
    let figures = decisions
        .figures(gate.now(), &ORDERS.into())
        .expect("it runs");
    let baseline = figures.routes.iter().map(|r| &r.baseline);
    let sum = Tally::sum(baseline);
    (sum.answers(), sum.failed)
}

/// Requests that run at the service's old version.
fn running(gate: &Gate) -> u32 {
    let state = gate.state.borrow();
    let news = state.rollouts.decisions.news(gate.now());
    news.orders[0].state.running
}

/// Requests after which one has had a place at the new version: all but 1 in a million times.
const MANY: u32 = 40;

/// A gateway with an endpoint of each version, whose limits leave room for all requests at the new
/// one.
fn open_gate(service: &str, old: SocketAddr, new: SocketAddr) -> Rc<Gate> {
    let gate = gate("one", Vec::new());
    let bounds = BOUNDS.map(|b| RolloutBounds { share: 30.0, ..b });
    gate.set_rollout_bounds(bounds);
    let mut records = [("e-1", old), ("e-2", new)].map(|(name, at)| record(name, service, at));
    records[1].software = "v2".into();
    list(&gate, records.to_vec());
    let mut record = read(&spec(), &Value::Null).expect("valid");
    record.order.id.service = service.into();
    let mut state = gate.state.borrow_mut();
    state.directory.put_order(record);
    state.directory.mark_orders(7.into());
    drop(state);
    gate.apply_orders();
    gate
}

/// Sends to the new version of a service.
fn sends(gate: &Gate, service: &str) -> u32 {
    let state = gate.state.borrow();
    let decisions = &state.rollouts.decisions;
    let figures = decisions
        .figures(gate.now(), &service.into())
        .expect("it runs");
    figures.canary
}

/// An endpoint that answers calls, and streams of two events from the one that is asked for.
async fn whole_endpoint() -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind((own_loopback(), 0))
        .await
        .expect("loopback");
    let address = listener.local_addr().expect("bound");
    let requests: Rc<RefCell<Vec<String>>> = Rc::default();
    let kept = requests.clone();
    tokio::task::spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("accept");
            let kept = kept.clone();
            tokio::task::spawn_local(async move {
                while let Some(request) = read_request(&mut stream).await {
                    let text = request.to_lowercase();
                    let id = text.split("attempt-id: ").nth(1).unwrap_or_default();
                    let id = id.split("\r\n").next().unwrap_or_default();
                    let first = if text.contains("last-event-id: 1") {
                        2
                    } else {
                        1
                    };
                    let events: String = (first..=2).map(|n| chunk(&event(n))).collect();
                    let answer = if text.contains("/quote/") {
                        stream_head(id) + &events + "0\r\n\r\n"
                    } else {
                        answer(id, "", "done")
                    };
                    kept.borrow_mut().push(text);
                    stream.write_all(answer.as_bytes()).await.expect("written");
                }
            });
        }
    });
    (address, requests)
}

/// The version is found bad after a request got a place and before it is sent.
#[tokio::test]
async fn a_verdict_holds_for_a_request_that_has_a_place() {
    run_local(async {
        let (old, _) = whole_endpoint().await;
        let new = Endpoint::start(vec![vec![Step::Read]]).await;
        let gate = open_gate(ORDERS, old, new.address);
        let address = listen(&gate).await;
        let judged = gate.clone();
        let verdict = tokio::task::spawn_local(async move {
            // Unlike `yield_now`, this looks again before the connection is known to be open.
            poll_fn(|context| {
                context.waker().wake_by_ref();
                let endpoints = &judged.state.borrow().endpoints;
                let index = endpoints.find(&"e-2".into()).expect("listed");
                let endpoint = endpoints.get(index).expect("listed");
                if endpoint.own.running > 0 {
                    Poll::Ready(())
                } else {
                    Poll::Pending
                }
            })
            .await;
            let sender = Sender::Instance("two".into(), "north".into());
            let mut state = judged.state.borrow_mut();
            let decisions = &mut state.rollouts.decisions;
            let mut news = decisions.news(judged.now());
            news.orders[0].is_bad = true;
            decisions.merge(judged.now(), &sender, &news);
        });
        for number in 0..MANY {
            let text = fetch(address, &request("/stock/1", &format!("a{number}"))).await;
            assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
        }
        assert!(verdict.is_finished());
        assert_eq!((new.count(), sends(&gate, ORDERS)), (0, 0));
    })
    .await;
}

/// The rest of a stream is a request to the version at which it goes on.
#[tokio::test]
async fn a_resumed_stream_is_a_send_to_each_version() {
    run_local(async {
        let (old, requests) = whole_endpoint().await;
        let scripts = (0..MANY).map(|number| {
            let head = stream_head(&format!("a{number}"));
            vec![
                Step::Read,
                Step::Write(head + &chunk(&event(1))),
                Step::Pause(30),
                Step::Reset,
            ]
        });
        let new = Endpoint::start(scripts.collect()).await;
        let gate = open_gate(MODELS, old, new.address);
        let address = listen(&gate).await;
        for number in 0..MANY {
            let id = format!("a{}", new.count());
            let before = requests.borrow().len();
            let text = fetch(address, &request("/quote/1", &id)).await;
            assert!(
                text.contains("piece 1") && text.contains("piece 2"),
                "{number}: {text}"
            );
            assert_eq!(requests.borrow().len(), before + 1);
        }
        let is_rest = |r: &&String| r.contains("last-event-id: 1\r\n");
        let rests = requests.borrow().iter().filter(is_rest).count();
        assert!(rests > 0);
        assert_eq!(rests, new.count());
        assert_eq!(usize::try_from(sends(&gate, MODELS)), Ok(rests));
    })
    .await;
}
