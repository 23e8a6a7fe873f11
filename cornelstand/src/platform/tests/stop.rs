//! Requests during a planned stop, on paused time: what callers get and endpoints see.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::connection;
use crate::gateway::directory::EndpointRecord;
use crate::gateway::gate::Gate;
use crate::gateway::placement::PlaceEnd;
use crate::gateway::stop::drain;
use crate::gateway::tests::{MODELS, ORDERS, catalog, gate, record};
use crate::platform::tests::path::{connect, fetch, request, run_local, status};
use crate::platform::tests::scripted::{
    Endpoint, Step, TEST_TIMEOUT, answer, chunk, event, own_loopback, response, stream_head,
};

/// Step of the paused time, so that it does not run ahead of the connections.
const TIME_STEP: Duration = Duration::from_millis(1);
/// Time limit of the requests that may outlast the stop.
const LONG_MS: u64 = 20_000;

/// An instance that begins a planned stop with its first request.
struct Stopping {
    gate: Rc<Gate>,
    address: SocketAddr,
    begun: Instant,
}

impl Stopping {
    async fn start(records: Vec<EndpointRecord>) -> Self {
        spawn_local(async {
            loop {
                sleep(TIME_STEP).await;
            }
        });
        let gate = gate("one", records);
        let mut catalog = catalog(2);
        for route in &mut catalog.routes {
            let route = Arc::make_mut(route);
            (route.timeout, route.attempts) = (Duration::from_secs(30), 2);
        }
        gate.state.borrow_mut().directory.set_catalog(catalog);
        let listener = TcpListener::bind((own_loopback(), 0))
            .await
            .expect("loopback");
        let address = listener.local_addr().expect("bound");
        gate.stop.begin(gate.settings.borrow().grace);
        let instance = LocalSet::new();
        instance.spawn_local(connection::accept(gate.clone(), listener));
        let draining = gate.clone();
        // All connections end with the instance, as with its process.
        spawn_local(async move { instance.run_until(drain(&draining)).await });
        Self {
            gate,
            address,
            begun: Instant::now(),
        }
    }

    /// Waits until `ms` milliseconds after the begin of the stop.
    async fn reach(&self, ms: u64) {
        tokio::time::sleep_until(self.begun + Duration::from_millis(ms)).await;
    }

    /// Milliseconds since the begin of the stop.
    fn elapsed(&self) -> u128 {
        self.begun.elapsed().as_millis()
    }

    /// Sends a request and reads the response until the connection ends.
    fn ask(&self, path: &str, limit_ms: u64) -> JoinHandle<String> {
        let (address, request) = (self.address, timed(path, limit_ms));
        spawn_local(async move { fetch(address, &request).await })
    }
}

fn timed(path: &str, limit_ms: u64) -> String {
    request(path, "a1").replacen("Ms: 5000", &format!("Ms: {limit_ms}"), 1)
}

fn failed() -> String {
    response("a1", "500 Oops", "Content-Length: 4\r\n", "oops")
}

/// An endpoint that reads a request and answers nothing.
fn silent() -> Vec<Step> {
    vec![Step::Read, Step::AwaitClose]
}

async fn orders(scripts: Vec<Vec<Step>>) -> (Stopping, Endpoint) {
    let endpoint = Endpoint::start(scripts).await;
    let stopping = Stopping::start(vec![record("o-1", ORDERS, endpoint.address)]).await;
    (stopping, endpoint)
}

/// Two endpoints with scripts of their own; the first is preferred.
async fn near_and_far(service: &str, near: Vec<Step>, far: Vec<Step>) -> (Stopping, [Endpoint; 2]) {
    let near = Endpoint::start(vec![near]).await;
    let far = Endpoint::start(vec![far]).await;
    let mut far_record = record("e-2", service, far.address);
    far_record.centre = "south".into();
    let near_record = record("e-1", service, near.address);
    let stopping = Stopping::start(vec![near_record, far_record]).await;
    (stopping, [near, far])
}

fn is_whole(stream: &str) -> bool {
    stream.ends_with("0\r\n\r\n")
}

#[rstest]
#[case::call("/book/1")]
#[case::idempotent_call("/stock/1")]
#[tokio::test(start_paused = true)]
async fn a_call_that_may_outlast_the_stop_is_refused_and_not_run(#[case] path: &str) {
    run_local(async {
        let (stopping, endpoint) = orders(vec![silent()]).await;
        let _other = stopping.gate.activate();
        stopping.reach(3_500).await;
        let text = stopping.ask(path, 5_000).await.expect("a caller");
        assert_eq!((status(&text), endpoint.count()), ("503", 0), "{text}");
        assert!(text.contains("retry-after: "), "{text}");
    })
    .await;
}

#[rstest]
#[case::after_the_load_balancer(3_000)]
#[case::at_the_end(7_000)]
#[tokio::test(start_paused = true)]
async fn a_call_that_ends_before_the_stop_is_served(#[case] sent_ms: u64) {
    run_local(async {
        let script = vec![Step::Read, Step::Write(answer("a1", "", "done"))];
        let (stopping, endpoint) = orders(vec![script]).await;
        let _other = stopping.gate.activate();
        stopping.reach(sent_ms).await;
        let text = stopping.ask("/book/1", 400).await.expect("a caller");
        assert_eq!((status(&text), endpoint.count()), ("200", 1), "{text}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_queued_call_is_refused_once_it_may_outlast_the_stop() {
    run_local(async {
        let (stopping, endpoint) = orders(vec![silent()]).await;
        let gate = &stopping.gate;
        let place = || {
            let now = gate.now();
            gate.state.borrow_mut().endpoints.take(now, 0, None)
        };
        let places: Vec<_> = std::iter::from_fn(place).take(64).collect();
        assert!(!places.is_empty());
        stopping.reach(2_200).await;
        let answer = stopping.ask("/book/1", LONG_MS);
        stopping.reach(2_350).await;
        for place in &places {
            gate.end(place, PlaceEnd::Neutral);
        }
        let text = answer.await.expect("a caller");
        assert_eq!((status(&text), endpoint.count()), ("503", 0), "{text}");
        assert!(stopping.elapsed() < 2_400, "{}", stopping.elapsed());
    })
    .await;
}

#[rstest]
#[case::failure(Step::Write(failed()), "500")]
#[case::loss(Step::Reset, "502")]
#[tokio::test(start_paused = true)]
async fn a_call_that_may_outlast_the_stop_is_not_sent_again(
    #[case] end: Step,
    #[case] expected: &str,
) {
    run_local(async {
        let near = vec![Step::Read, Step::Pause(4_000), end];
        let (stopping, [_near, far]) = near_and_far(ORDERS, near, silent()).await;
        let text = stopping.ask("/stock/1", LONG_MS).await.expect("a caller");
        assert_eq!((status(&text), far.count()), (expected, 0), "{text}");
        assert!(stopping.elapsed() < 4_500, "{}", stopping.elapsed());
    })
    .await;
}

/// An event every 1.5 s, the last one 6 s after the request.
fn events_until_6s() -> Vec<Step> {
    let mut script = vec![Step::Read, Step::Write(stream_head("a1"))];
    for number in 1..=4 {
        script.extend([Step::Pause(1_500), Step::Write(chunk(&event(number)))]);
    }
    script
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_resumed_while_there_is_time_for_its_next_event() {
    run_local(async {
        let mut near = events_until_6s();
        near.extend([Step::Pause(500), Step::Reset]);
        let rest = stream_head("a1") + &chunk(&event(5)) + "0\r\n\r\n";
        let far = vec![Step::Read, Step::Write(rest)];
        let (stopping, [_near, far]) = near_and_far(MODELS, near, far).await;
        let text = stopping.ask("/quote/1", LONG_MS).await.expect("a caller");
        assert!(is_whole(&text) && text.contains("piece 5"), "{text}");
        assert_eq!(far.count(), 1);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_cut_rather_than_resumed_without_time_for_its_next_event() {
    run_local(async {
        let mut near = events_until_6s();
        near.extend([Step::Pause(1_250), Step::Reset]);
        let (stopping, [_near, far]) = near_and_far(MODELS, near, silent()).await;
        let text = stopping.ask("/quote/1", LONG_MS).await.expect("a caller");
        assert!(text.contains("piece 4") && !is_whole(&text), "{text}");
        assert_eq!(far.count(), 0);
        assert!(stopping.elapsed() < 7_400, "{}", stopping.elapsed());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_silent_stream_goes_on_if_it_would_not_be_resumed() {
    run_local(async {
        let mut near = events_until_6s();
        near[2] = Step::Pause(1_200);
        near.extend([
            Step::Pause(1_700),
            Step::Write(chunk(&event(5)) + "0\r\n\r\n"),
        ]);
        let (stopping, [_near, far]) = near_and_far(MODELS, near, silent()).await;
        let text = stopping.ask("/quote/1", LONG_MS).await.expect("a caller");
        assert!(is_whole(&text) && text.contains("piece 5"), "{text}");
        assert_eq!(far.count(), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_silent_stream_without_an_event_goes_on_if_it_would_not_be_sent_elsewhere() {
    run_local(async {
        let whole = stream_head("a1") + &chunk(&event(1)) + "0\r\n\r\n";
        let near = vec![Step::Read, Step::Pause(4_000), Step::Write(whole)];
        let (stopping, [_near, far]) = near_and_far(MODELS, near, silent()).await;
        stopping.reach(1_000).await;
        let text = stopping.ask("/quote/1", LONG_MS).await.expect("a caller");
        assert!(is_whole(&text) && text.contains("piece 1"), "{text}");
        assert_eq!(far.count(), 0);
    })
    .await;
}

#[rstest]
#[case::call("/book/1")]
#[case::idempotent_call("/stock/1")]
#[tokio::test(start_paused = true)]
async fn a_call_that_is_open_at_the_end_of_the_stop_is_answered(#[case] path: &str) {
    run_local(async {
        let (stopping, endpoint) = orders(vec![silent()]).await;
        let text = stopping.ask(path, LONG_MS).await.expect("a caller");
        assert_eq!((status(&text), endpoint.count()), ("502", 1), "{text}");
        assert!(stopping.elapsed() >= 7_000, "{}", stopping.elapsed());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_stream_without_an_event_at_the_end_of_the_stop_is_answered() {
    run_local(async {
        let engine = Endpoint::start(vec![silent()]).await;
        let stopping = Stopping::start(vec![record("m-1", MODELS, engine.address)]).await;
        let text = stopping.ask("/digest/1", LONG_MS).await.expect("a caller");
        assert_eq!((status(&text), engine.count()), ("502", 1), "{text}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_call_that_failed_before_gets_that_answer_at_the_end_of_the_stop() {
    run_local(async {
        let near = vec![Step::Read, Step::Write(failed())];
        let (stopping, [_near, far]) = near_and_far(ORDERS, near, silent()).await;
        let text = stopping.ask("/stock/1", LONG_MS).await.expect("a caller");
        assert_eq!((status(&text), far.count()), ("500", 1), "{text}");
        assert!(text.ends_with("oops"), "{text}");
        assert!(stopping.elapsed() >= 7_000, "{}", stopping.elapsed());
    })
    .await;
}

/// Nothing was sent, which the caller of a call that may not be repeated has to know.
#[tokio::test(start_paused = true)]
async fn a_call_that_is_queued_at_the_end_of_the_stop_is_refused() {
    run_local(async {
        let (stopping, endpoint) = orders(vec![silent()]).await;
        let gate = &stopping.gate;
        gate.stop.begin(Duration::from_millis(600));
        let place = || {
            let now = gate.now();
            gate.state.borrow_mut().endpoints.take(now, 0, None)
        };
        let places: Vec<_> = std::iter::from_fn(place).take(64).collect();
        assert!(!places.is_empty());
        let text = stopping.ask("/book/1", LONG_MS).await.expect("a caller");
        assert_eq!((status(&text), endpoint.count()), ("503", 0), "{text}");
    })
    .await;
}

#[rstest]
#[case::in_chunks("HTTP/1.1")]
#[case::until_close("HTTP/1.0")]
#[tokio::test(start_paused = true)]
async fn a_begun_stream_is_cut_visibly_at_the_end_of_the_stop(#[case] version: &str) {
    run_local(async {
        let engine = Endpoint::start(vec![events_until_6s()]).await;
        let stopping = Stopping::start(vec![record("m-1", MODELS, engine.address)]).await;
        let request = timed("/digest/1", LONG_MS).replacen("HTTP/1.1", version, 1);
        let mut caller = connect(stopping.address).await;
        caller.write_all(request.as_bytes()).await.expect("sent");
        let mut text = Vec::new();
        let end = timeout(TEST_TIMEOUT, caller.read_to_end(&mut text)).await;
        let end = end.expect("the connection ends");
        let text = String::from_utf8_lossy(&text);
        assert!(text.contains("piece 4") && !is_whole(&text), "{text}");
        assert_eq!(end.is_err(), version == "HTTP/1.0");
        assert_eq!(text.matches("HTTP/1.").count(), 1, "{text}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_call_on_a_kept_connection_in_the_last_moments_is_refused() {
    run_local(async {
        for sent_ms in [7_400, 7_480, 7_490, 7_495, 7_499, 7_500] {
            let (stopping, endpoint) = orders(vec![silent()]).await;
            let _other = stopping.gate.activate();
            let mut caller = connect(stopping.address).await;
            stopping.reach(sent_ms).await;
            let request = timed("/book/1", 5_000);
            caller.write_all(request.as_bytes()).await.expect("sent");
            let mut text = Vec::new();
            let end = timeout(TEST_TIMEOUT, caller.read_to_end(&mut text)).await;
            end.expect("the connection ends").expect("read");
            let text = String::from_utf8_lossy(&text);
            assert_eq!((status(&text), endpoint.count()), ("503", 0), "{text}");
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_request_is_refused_while_its_body_is_read_if_it_may_outlast_the_stop() {
    run_local(async {
        let (stopping, endpoint) = orders(vec![silent()]).await;
        let request = timed("/book/1", LONG_MS);
        let mut caller = connect(stopping.address).await;
        let part = &request.as_bytes()[..request.len() - 2];
        caller.write_all(part).await.expect("sent");
        let mut text = Vec::new();
        let end = timeout(TEST_TIMEOUT, caller.read_to_end(&mut text)).await;
        end.expect("the connection ends").expect("read");
        let text = String::from_utf8_lossy(&text);
        assert_eq!((status(&text), endpoint.count()), ("503", 0), "{text}");
        assert!(
            text.contains("a1") && text.contains("retry-after: "),
            "{text}"
        );
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_stop_waits_for_the_body_of_a_request_that_ends_before_it() {
    run_local(async {
        let script = vec![Step::Read, Step::Write(answer("a1", "", "done"))];
        let (stopping, _endpoint) = orders(vec![script]).await;
        stopping.reach(3_000).await;
        let request = timed("/book/1", 2_000);
        let mut caller = connect(stopping.address).await;
        let (part, rest) = request.as_bytes().split_at(request.len() - 2);
        caller.write_all(part).await.expect("sent");
        stopping.reach(3_800).await;
        caller.write_all(rest).await.expect("sent");
        let mut text = Vec::new();
        let end = timeout(TEST_TIMEOUT, caller.read_to_end(&mut text)).await;
        end.expect("the connection ends").expect("read");
        assert_eq!(status(&String::from_utf8_lossy(&text)), "200");
    })
    .await;
}

/// Guards against a reset that meets the caller while it sends, before it has read its refusal.
#[tokio::test(start_paused = true)]
async fn a_stop_waits_until_a_refused_body_was_sent() {
    run_local(async {
        let (stopping, endpoint) = orders(vec![silent()]).await;
        stopping.reach(2_500).await;
        let body = "Content-Length: 12\r\n\r\n";
        let request = timed("/book/1", LONG_MS).replacen("Content-Length: 4\r\n\r\nbody", body, 1);
        let mut caller = connect(stopping.address).await;
        caller.write_all(request.as_bytes()).await.expect("sent");
        for _ in 0..12 {
            sleep(Duration::from_millis(100)).await;
            caller.write_all(b"x").await.expect("sent");
        }
        let mut text = Vec::new();
        let end = timeout(TEST_TIMEOUT, caller.read_to_end(&mut text)).await;
        end.expect("the connection ends").expect("no reset");
        let text = String::from_utf8_lossy(&text);
        assert_eq!((status(&text), endpoint.count()), ("503", 0), "{text}");
    })
    .await;
}
