//! Notices of endpoints in their responses: that they are draining, or request a back-off.

use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::gateway::directory::EndpointRecord;
use crate::gateway::gate::Gate;
use crate::gateway::tests::{MODELS, ORDERS, gate, list, record};
use crate::platform::tests::path::{
    fetch, listen, request, run_local, status, with_engines, with_near_and_far, with_orders,
};
use crate::platform::tests::scripted::{Endpoint, Step, answer, chunk, stream_head};

const LEAVING: &str = "Server-Leaving: 1\r\n";

/// Scripts that respond to the requests `ids`, one per connection, with `extra` headers.
fn answers(ids: &[&str], extra: &str) -> Vec<Vec<Step>> {
    let script = |id: &&str| vec![Step::Read, Step::Write(answer(id, extra, "done"))];
    ids.iter().map(script).collect()
}

/// A script that refuses a request without running it and requests a back-off of `rest` seconds.
fn refusal(id: &str, rest: &str) -> Vec<Step> {
    let text = format!(
        "HTTP/1.1 503 Full\r\nX-Cornelstand-Attempt-Id: {id}\r\nX-Cornelstand-Not-Executed: 1\r\n\
         Retry-After: {rest}\r\nContent-Length: 0\r\n\r\n"
    );
    vec![Step::Read, Step::Write(text)]
}

fn pair(near: &Endpoint, far: &Endpoint, born: u64) -> Vec<EndpointRecord> {
    let mut first = record("o-1", ORDERS, near.address);
    first.started_at = born;
    let mut second = record("o-2", ORDERS, far.address);
    second.centre = "south".into();
    vec![first, second]
}

async fn near_and_far(
    near: Vec<Vec<Step>>,
    far: Vec<Vec<Step>>,
) -> (Rc<Gate>, std::net::SocketAddr, Endpoint, Endpoint) {
    let near = Endpoint::start(near).await;
    let far = Endpoint::start(far).await;
    let (gate, address) = with_near_and_far(near.address, far.address).await;
    (gate, address, near, far)
}

#[rstest]
#[case::answer("200 OK", "X-Cornelstand-Server-Stamp: s\r\n")]
#[case::failure("500 Oops", "X-Cornelstand-Server-Stamp: s\r\n")]
#[case::refusal("503 Full", "X-Cornelstand-Not-Executed: 1\r\n")]
#[tokio::test]
async fn a_draining_endpoint_gets_no_new_requests(#[case] phrase: &str, #[case] extra: &str) {
    run_local(async {
        let text = format!(
            "HTTP/1.1 {phrase}\r\nX-Cornelstand-Attempt-Id: a1\r\n{extra}{LEAVING}Content-Length: 0\r\n\r\n"
        );
        let near = vec![vec![Step::Read, Step::Write(text)]];
        let far = answers(&["a2", "a3"], "");
        let (gate, address, near, far) = near_and_far(near, far).await;
        fetch(address, &request("/book/1", "a1")).await;
        assert_eq!(status(&fetch(address, &request("/book/1", "a2")).await), "200");
        // The store drops the endpoint and then lists it as ready again.
        list(&gate, pair(&near, &far, 1)[1..].to_vec());
        list(&gate, pair(&near, &far, 1));
        assert_eq!(status(&fetch(address, &request("/book/1", "a3")).await), "200");
        assert_eq!((near.count(), far.count()), (1, 2));
    })
    .await;
}

#[tokio::test]
async fn the_head_of_a_stream_can_announce_draining() {
    run_local(async {
        let (gate, address, _engines) = with_engines(vec![vec![vec![
            Step::Read,
            Step::Write(stream_head("a1").replacen(
                "Content-Type",
                "Server-Leaving: 1\r\nContent-Type",
                1,
            )),
            Step::Write(chunk("id: 1\ndata: x\n\n")),
            Step::Pause(400),
            Step::Write("0\r\n\r\n".into()),
        ]]])
        .await;
        let stream =
            tokio::task::spawn_local(
                async move { fetch(address, &request("/quote/1", "a1")).await },
            );
        sleep(Duration::from_millis(200)).await;
        let started = Instant::now();
        let text = fetch(address, &request("/quote/1", "a2")).await;
        assert_eq!(status(&text), "503");
        assert!(
            started.elapsed() < Duration::from_millis(100),
            "refused at once"
        );
        // The running stream is not affected.
        let text = stream.await.expect("a caller");
        assert!(text.ends_with("0\r\n\r\n"), "{text}");
        drop(gate);
    })
    .await;
}

#[tokio::test]
async fn a_restarted_endpoint_is_not_draining() {
    run_local(async {
        let near = [answers(&["a1"], LEAVING), answers(&["a2"], "")].concat();
        let (gate, address, near, far) = near_and_far(near, Vec::new()).await;
        fetch(address, &request("/book/1", "a1")).await;
        list(&gate, pair(&near, &far, 2));
        assert_eq!(
            status(&fetch(address, &request("/book/1", "a2")).await),
            "200"
        );
        assert_eq!((near.count(), far.count()), (2, 0));
    })
    .await;
}

#[tokio::test]
async fn an_endpoint_gets_no_requests_during_its_back_off() {
    run_local(async {
        let near = [vec![refusal("a1", "1.2")], answers(&["a3"], "")].concat();
        let far = answers(&["a1", "a2"], "");
        let (gate, address, near, far) = near_and_far(near, far).await;
        // The refused call is retried at the other endpoint at once.
        let started = Instant::now();
        assert_eq!(
            status(&fetch(address, &request("/stock/1", "a1")).await),
            "200"
        );
        assert!(started.elapsed() < Duration::from_millis(300));
        list(&gate, pair(&near, &far, 1)[1..].to_vec());
        list(&gate, pair(&near, &far, 1));
        assert_eq!(
            status(&fetch(address, &request("/stock/1", "a2")).await),
            "200"
        );
        assert_eq!((near.count(), far.count()), (1, 2));
        sleep(Duration::from_millis(1_300)).await;
        assert_eq!(
            status(&fetch(address, &request("/stock/1", "a3")).await),
            "200"
        );
        assert_eq!((near.count(), far.count()), (2, 2));
    })
    .await;
}

#[tokio::test]
async fn retry_after_is_the_earliest_end_of_the_back_offs() {
    run_local(async {
        let near = vec![refusal("a1", "3")];
        let far = vec![refusal("a2", "2")];
        let (_gate, address, near, far) = near_and_far(near, far).await;
        fetch(address, &request("/book/1", "a1")).await;
        fetch(address, &request("/book/1", "a2")).await;
        let started = Instant::now();
        let text = fetch(address, &request("/book/1", "a3")).await;
        assert_eq!(status(&text), "503");
        assert!(
            started.elapsed() < Duration::from_millis(100),
            "refused without waiting"
        );
        let after = text
            .split("retry-after: ")
            .nth(1)
            .and_then(|t| t.split("\r\n").next());
        let after: f64 = after.and_then(|a| a.parse().ok()).expect("a time");
        assert!((1.5..=2.0).contains(&after), "{after}");
        assert_eq!((near.count(), far.count()), (1, 1));
    })
    .await;
}

#[rstest]
#[case::none("0")]
#[case::negative("-4")]
#[case::date("Fri, 04 Dec 2026 09:00:00 GMT")]
#[case::infinite("inf")]
#[tokio::test]
async fn an_invalid_back_off_is_ignored(#[case] rest: &str) {
    run_local(async {
        let scripts = [vec![refusal("a1", rest)], answers(&["a2"], "")].concat();
        let (_gate, address, endpoint) = with_orders(scripts).await;
        assert_eq!(
            status(&fetch(address, &request("/book/1", "a1")).await),
            "503"
        );
        assert_eq!(
            status(&fetch(address, &request("/book/1", "a2")).await),
            "200"
        );
        assert_eq!(endpoint.count(), 2);
    })
    .await;
}

/// The engine is busy and requested no back-off, so `Retry-After` follows from the account's load.
#[tokio::test]
async fn a_request_that_timed_out_in_the_queue_is_not_retried_at_once() {
    run_local(async {
        let busy = vec![
            Step::Read,
            Step::Write(stream_head("a1")),
            Step::Write(chunk("id: 1\ndata: x\n\n")),
            Step::AwaitClose,
        ];
        let engine = Endpoint::start(vec![busy]).await;
        let mut engine = record("m-1", MODELS, engine.address);
        engine.slots = 1;
        let gate = gate("one", vec![engine]);
        let address = listen(&gate).await;
        let _running =
            tokio::task::spawn_local(
                async move { fetch(address, &request("/quote/1", "a1")).await },
            );
        sleep(Duration::from_millis(100)).await;
        let text = fetch(address, &request("/quote/1", "a2")).await;
        assert_eq!(status(&text), "503");
        assert!(text.ends_with("no endpoint had room in time\n"), "{text}");
        let after = text
            .split("retry-after: ")
            .nth(1)
            .and_then(|t| t.split("\r\n").next());
        let after: f64 = after.and_then(|a| a.parse().ok()).expect("a time");
        // The shortest `Retry-After` of a full queue is 50 ms; that of a back-off would be 20 ms.
        assert!(after >= 0.05, "{after}");
    })
    .await;
}
