//! The request path over loopback connections, between a test caller and scripted endpoints.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use crate::gateway::admission::Waiting;
use crate::gateway::connection;
use crate::gateway::endpoint_state::Prompt;
use crate::gateway::gate::Gate;
use crate::gateway::tests::{MODELS, ORDERS, gate, list, record};
use crate::name::{AccountName, ServiceName};
use crate::platform::tests::scripted::{
    Endpoint, Step, TEST_TIMEOUT, answer, chunk, event, own_loopback, read_request, stream_head,
};

/// Runs a test in a `LocalSet`, since the gateway spawns local tasks.
pub(super) async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Starts a listener for callers and returns its address.
pub(super) async fn listen(gate: &Rc<Gate>) -> SocketAddr {
    let listener = TcpListener::bind((own_loopback(), 0))
        .await
        .expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::task::spawn_local(connection::accept(gate.clone(), listener));
    address
}

pub(super) fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Cornelstand-Attempt-Id: {id}\r\n\
         X-Cornelstand-Deadline-Ms: 5000\r\nX-Cornelstand-Credential: key-a\r\n\
         X-Cornelstand-Token-Count: 100,12\r\nContent-Length: 4\r\n\r\nbody"
    )
}

pub(super) async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address)
        .await
        .expect("the entry listens")
}

/// Sends a request with `Connection: close` and reads the response until the connection ends.
pub(super) async fn fetch(address: SocketAddr, request: &str) -> String {
    let request = request.replacen("Host:", "Connection: close\r\nHost:", 1);
    let mut stream = connect(address).await;
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut text = Vec::new();
    // After a reset, the bytes read so far are the response.
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut text))
        .await
        .expect("the response ends");
    String::from_utf8_lossy(&text).into_owned()
}

pub(super) fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// Starts a gateway with two `orders` endpoints; the one in its own data centre is preferred.
pub(super) async fn with_near_and_far(near: SocketAddr, far: SocketAddr) -> (Rc<Gate>, SocketAddr) {
    let mut record_far = record("o-2", ORDERS, far);
    record_far.centre = "south".into();
    let gate = gate("one", vec![record("o-1", ORDERS, near), record_far]);
    let address = listen(&gate).await;
    (gate, address)
}

pub(super) async fn with_orders(scripts: Vec<Vec<Step>>) -> (Rc<Gate>, SocketAddr, Endpoint) {
    let endpoint = Endpoint::start(scripts).await;
    let gate = gate("one", vec![record("o-1", ORDERS, endpoint.address)]);
    let address = listen(&gate).await;
    (gate, address, endpoint)
}

#[tokio::test]
async fn a_call_gets_the_endpoints_response_unchanged() {
    run_local(async {
        let script = vec![Step::Read, Step::Write(answer("a1", "", "done"))];
        let (_gate, address, endpoint) = with_orders(vec![script]).await;
        let text = fetch(address, &request("/book/1", "a1")).await;
        assert!(text.starts_with("HTTP/1.1 200 OK\r\n") && text.ends_with("\r\n\r\ndone"));
        let sent = endpoint.requests.borrow()[0].clone();
        assert!(sent.contains("x-cornelstand-expect-instance: o-1\r\n"));
        assert!(sent.contains("x-cornelstand-tenant: ada\r\n"));
        assert!(!sent.contains("key-a"));
    })
    .await;
}

#[rstest]
#[case::unknown_key(
    "/book/1",
    "X-Cornelstand-Credential: key-a",
    "X-Cornelstand-Credential: no",
    "401"
)]
#[case::no_key("/book/1", "X-Cornelstand-Credential: key-a\r\n", "", "401")]
#[case::no_route("/nothing/1", "", "", "404")]
#[case::other_host("/book/1", "shop.example", "else.example", "404")]
#[case::two_lengths(
    "/book/1",
    "Content-Length: 4",
    "Content-Length: 4\r\nContent-Length: 4",
    "400"
)]
#[case::length_and_chunks(
    "/book/1",
    "Content-Length: 4",
    "Content-Length: 4\r\nTransfer-Encoding: chunked",
    "400"
)]
#[case::too_large("/book/1", "Content-Length: 4", "Content-Length: 99999999", "413")]
#[case::flood("/book/1", "Host:", &format!("X-Flood: {}\r\nHost:", "y".repeat(20_000)), "431")]
#[case::no_identity("/book/1", "X-Cornelstand-Attempt-Id: a1\r\n", "", "400")]
#[tokio::test]
async fn bad_requests_are_refused_without_an_endpoint(
    #[case] path: &str,
    #[case] part: &str,
    #[case] instead: &str,
    #[case] expected: &str,
) {
    run_local(async {
        let (_gate, address, endpoint) = with_orders(Vec::new()).await;
        let text = request(path, "a1").replacen(part, instead, usize::from(!part.is_empty()));
        assert_eq!(status(&fetch(address, &text).await), expected);
        assert_eq!(endpoint.count(), 0);
    })
    .await;
}

#[rstest]
#[case::cut(
    "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: a1\r\nX-Cornelstand-Server-Stamp: s\r\nContent-Length: 40\r\n\r\nhalf"
)]
#[case::no_receipt(
    "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\ndone"
)]
#[case::encoded(
    "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: a1\r\nX-Cornelstand-Server-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\ndone"
)]
#[case::no_http("who goes there\r\n\r\n")]
#[case::nothing("")]
#[tokio::test]
async fn a_call_that_may_have_run_is_never_sent_again(#[case] wire: &str) {
    run_local(async {
        let script = vec![Step::Read, Step::Write(wire.to_owned())];
        let (_gate, address, endpoint) = with_orders(vec![script.clone(), script]).await;
        assert_eq!(
            status(&fetch(address, &request("/book/1", "a1")).await),
            "502"
        );
        assert_eq!(endpoint.count(), 1);
    })
    .await;
}

#[tokio::test]
async fn a_reset_response_without_length_is_not_taken_for_complete() {
    run_local(async {
            let head = "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: a1\r\nX-Cornelstand-Server-Stamp: s\r\n\r\nhalf";
            let script = vec![Step::Read, Step::Write(head.into()), Step::Pause(50), Step::Reset];
            let (_gate, address, _endpoint) = with_orders(vec![script]).await;
            assert_eq!(status(&fetch(address, &request("/book/1", "a1")).await), "502");
    })
    .await;
}

#[tokio::test]
async fn a_response_without_length_ends_with_its_connection() {
    run_local(async {
            let head = "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: a1\r\nX-Cornelstand-Server-Stamp: s\r\n\r\nwhole";
            let (_gate, address, _endpoint) = with_orders(vec![vec![Step::Read, Step::Write(head.into())]]).await;
            let text = fetch(address, &request("/book/1", "a1")).await;
            assert!(text.ends_with("\r\n\r\nwhole") && status(&text) == "200");
    })
    .await;
}

#[tokio::test]
async fn an_idempotent_call_is_tried_again_after_a_failure() {
    run_local(async {
            let failed = "HTTP/1.1 500 Oops\r\nX-Cornelstand-Attempt-Id: a1\r\nX-Cornelstand-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n";
            let bad = Endpoint::start(vec![vec![Step::Read, Step::Write(failed.into())]]).await;
            let good = Endpoint::start(vec![vec![Step::Read, Step::Write(answer("a1", "", "ok"))]]).await;
            let (_gate, address) = with_near_and_far(bad.address, good.address).await;
            assert_eq!(status(&fetch(address, &request("/stock/1", "a1")).await), "200");
            assert_eq!((bad.count(), good.count()), (1, 1));
    })
    .await;
}

#[tokio::test]
async fn an_error_response_is_forwarded_if_no_other_endpoint_is_left() {
    run_local(async {
            let failed = "HTTP/1.1 500 Oops\r\nX-Cornelstand-Attempt-Id: a1\r\nX-Cornelstand-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nhelp";
            let (_gate, address, _endpoint) = with_orders(vec![vec![Step::Read, Step::Write(failed.into())]]).await;
            let text = fetch(address, &request("/stock/1", "a1")).await;
            assert!(text.starts_with("HTTP/1.1 500 ") && text.ends_with("help"));
            assert!(text.contains("X-Cornelstand-Server-Stamp: s"));
    })
    .await;
}

#[tokio::test]
async fn a_refusal_of_an_endpoint_becomes_a_503_with_retry_after() {
    run_local(async {
        let full =
            "HTTP/1.1 503 Busy\r\nX-Cornelstand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        let (_gate, address, endpoint) =
            with_orders(vec![vec![Step::Read, Step::Write(full.into())]]).await;
        let text = fetch(address, &request("/book/1", "a1")).await;
        assert_eq!(status(&text), "503");
        assert!(text.contains("retry-after: "));
        assert_eq!(endpoint.count(), 1);
    })
    .await;
}

#[rstest]
#[case::mostly_the_callers("ada", "eve", "429")]
#[case::mostly_another("bob", "ada", "503")]
#[case::the_callers_alone("ada", "ada", "503")]
#[tokio::test]
async fn a_full_service_refuses_with_429_only_an_account_that_had_more_than_the_others(
    #[case] first: &str,
    #[case] second: &str,
    #[case] expected: &str,
) {
    run_local(async {
        let (gate, address, engines) = with_engines(vec![vec![]]).await;
        for number in 0..64 {
            let charged = if number % 4 == 3 { second } else { first };
            let now = gate.now();
            let mut state = gate.state.borrow_mut();
            let Some(_place) = state.endpoints.take(now, 0, None) else {
                break;
            };
            let route = state.directory.catalog().routes[0].clone();
            let prompt = Some(Prompt {
                input: 1_000,
                output: 100,
                parts: Vec::new(),
            });
            let service = ServiceName::from(MODELS);
            let (account, time) = (AccountName::from(charged), Duration::from_secs(1));
            let waiting = Waiting::new(now, account, service, &route, prompt, time);
            state.admission.charge(now, &waiting);
        }
        let text = fetch(address, &request("/digest/1", "a1")).await;
        assert_eq!(status(&text), expected, "{text}");
        assert!(text.contains("retry-after: "), "{text}");
        assert_eq!(engines[0].count(), 0);
    })
    .await;
}

#[tokio::test]
async fn a_late_response_to_an_earlier_request_is_skipped() {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(answer("a1", "", "first")),
            Step::Read,
            Step::Write(answer("a1", "", "first, again")),
            Step::Write(answer("a2", "", "second")),
        ];
        let (_gate, address, endpoint) = with_orders(vec![script]).await;
        let first = fetch(address, &request("/book/1", "a1")).await;
        let second = fetch(address, &request("/book/2", "a2")).await;
        assert!(first.ends_with("\r\n\r\nfirst") && second.ends_with("\r\n\r\nsecond"));
        assert_eq!(endpoint.count(), 2);
    })
    .await;
}

#[tokio::test]
async fn a_connection_with_unread_bytes_is_not_reused() {
    run_local(async {
        let doubled = answer("a1", "", "first") + &answer("a1", "", "extra");
        let scripts = vec![
            vec![Step::Read, Step::Write(doubled), Step::AwaitClose],
            vec![Step::Read, Step::Write(answer("a2", "", "second"))],
        ];
        let (_gate, address, endpoint) = with_orders(scripts).await;
        assert!(
            fetch(address, &request("/book/1", "a1"))
                .await
                .ends_with("\r\n\r\nfirst")
        );
        assert!(
            fetch(address, &request("/book/2", "a2"))
                .await
                .ends_with("\r\n\r\nsecond")
        );
        assert_eq!(endpoint.count(), 2);
    })
    .await;
}

#[tokio::test]
async fn a_refused_connection_does_not_count_as_an_attempt() {
    run_local(async {
        let closed = TcpListener::bind((own_loopback(), 0))
            .await
            .expect("loopback");
        let refusing = closed.local_addr().expect("bound");
        drop(closed);
        let good =
            Endpoint::start(vec![vec![Step::Read, Step::Write(answer("a1", "", "ok"))]]).await;
        let (_gate, address) = with_near_and_far(refusing, good.address).await;
        assert_eq!(
            status(&fetch(address, &request("/book/1", "a1")).await),
            "200"
        );
    })
    .await;
}

/// Starts a gateway with one engine under two names, whose connections run the scripts in order.
pub(super) async fn with_two_names(scripts: Vec<Vec<Step>>) -> (Rc<Gate>, SocketAddr, Endpoint) {
    let engine = Endpoint::start(scripts).await;
    let records = ["m-0", "m-1"].map(|name| record(name, MODELS, engine.address));
    let gate = gate("one", records.to_vec());
    let address = listen(&gate).await;
    (gate, address, engine)
}

pub(super) async fn with_engines(
    scripts: Vec<Vec<Vec<Step>>>,
) -> (Rc<Gate>, SocketAddr, Vec<Endpoint>) {
    let mut engines = Vec::new();
    for script in scripts {
        engines.push(Endpoint::start(script).await);
    }
    let records = engines.iter().enumerate();
    let records = records.map(|(i, e)| record(&format!("m-{i}"), MODELS, e.address));
    let gate = gate("one", records.collect());
    let address = listen(&gate).await;
    (gate, address, engines)
}

#[tokio::test]
async fn events_of_a_stream_arrive_complete_and_in_order() {
    run_local(async {
        let (first, second) = (event(1), event(2));
        let script = vec![
            Step::Read,
            Step::Write(stream_head("a1")),
            Step::Write(chunk(&first[..9])),
            Step::Pause(20),
            Step::Write(chunk(&(first[9..].to_owned() + &second))),
            Step::Write("0\r\n\r\n".into()),
        ];
        let (_gate, address, _engines) = with_engines(vec![vec![script]]).await;
        let text = fetch(address, &request("/digest/1", "a1")).await;
        let body = text.split_once("\r\n\r\n").expect("a head").1;
        let both = first + &second;
        assert_eq!(body, format!("{}0\r\n\r\n", chunk(&both)));
    })
    .await;
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_is_visibly_cut_and_runs_once() {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(stream_head("a1") + &chunk(&event(1))),
            Step::Pause(30),
            Step::Reset,
        ];
        let (_gate, address, engines) =
            with_engines(vec![vec![script.clone()], vec![script]]).await;
        let text = fetch(address, &request("/digest/1", "a1")).await;
        assert!(text.contains("piece 1") && !text.contains("0\r\n\r\n"));
        assert_eq!(engines.iter().map(Endpoint::count).sum::<usize>(), 1);
    })
    .await;
}

#[tokio::test]
async fn the_connection_of_a_stream_that_no_endpoint_resumes_is_closed() {
    run_local(async {
        let broken = vec![
            Step::Read,
            Step::Write(stream_head("a1") + &chunk(&event(1))),
            Step::Pause(30),
            Step::Reset,
        ];
        let full =
            "HTTP/1.1 503 Busy\r\nX-Cornelstand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        let scripts = vec![broken, vec![Step::Read, Step::Write(full.into())]];
        let (_gate, address, endpoint) = with_two_names(scripts).await;
        let mut caller = connect(address).await;
        let request = request("/quote/1", "a1");
        caller.write_all(request.as_bytes()).await.expect("sent");
        let mut text = String::new();
        timeout(Duration::from_secs(3), caller.read_to_string(&mut text))
            .await
            .expect("the connection is closed")
            .expect("read");
        assert!(text.contains("piece 1") && !text.contains("0\r\n\r\n"));
        assert_eq!(endpoint.count(), 2);
    })
    .await;
}

#[rstest]
#[case::reset(Step::Reset)]
#[case::silence(Step::AwaitClose)]
#[tokio::test]
async fn a_stream_is_resumed_elsewhere_without_a_partial_or_duplicate_event(#[case] fault: Step) {
    run_local(async {
        let torn = event(2)[..7].to_owned();
        let broken = vec![
            Step::Read,
            Step::Write(stream_head("a1") + &chunk(&(event(1) + &torn))),
            Step::Pause(30),
            fault,
        ];
        let rest = stream_head("a1") + &chunk(&event(2)) + &chunk(&event(3)) + "0\r\n\r\n";
        // Either name may be selected first; the second connection resumes the stream.
        let scripts = vec![broken, vec![Step::Read, Step::Write(rest)]];
        let (_gate, address, listener) = with_two_names(scripts).await;
        let text = fetch(address, &request("/quote/1", "a1")).await;
        let body = text.split_once("\r\n\r\n").expect("a head").1;
        let events: Vec<&str> = body.lines().filter(|l| l.starts_with("data")).collect();
        assert_eq!(events, ["data: piece 1", "data: piece 2", "data: piece 3"]);
        assert!(body.ends_with("0\r\n\r\n"));
        assert!(listener.requests.borrow()[1].contains("last-event-id: 1\r\n"));
    })
    .await;
}

#[tokio::test]
async fn the_connection_to_the_endpoint_is_closed_when_the_caller_leaves() {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(stream_head("a1") + &chunk(&event(1))),
            Step::AwaitClose,
        ];
        let (gate, address, engines) = with_engines(vec![vec![script]]).await;
        let mut caller = connect(address).await;
        caller
            .write_all(request("/digest/1", "a1").as_bytes())
            .await
            .expect("sent");
        let mut some = [0; 64];
        caller
            .read_exact(&mut some)
            .await
            .expect("the answer begins");
        drop(caller);
        timeout(TEST_TIMEOUT, async {
            while engines[0].closes.get() == 0 || gate.active.get() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await
        .expect("the endpoint sees the close");
    })
    .await;
}

#[tokio::test]
async fn two_requests_on_one_connection_get_their_own_answers() {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(answer("a1", "", "first")),
            Step::Read,
            Step::Write(answer("a2", "", "second")),
        ];
        let (_gate, address, _endpoint) = with_orders(vec![script]).await;
        let both = request("/book/1", "a1")
            + &request("/book/2", "a2").replacen("Host:", "Connection: close\r\nHost:", 1);
        let mut caller = connect(address).await;
        caller.write_all(both.as_bytes()).await.expect("sent");
        let mut text = String::new();
        timeout(TEST_TIMEOUT, caller.read_to_string(&mut text))
            .await
            .expect("the response ends")
            .expect("read");
        let (first, second) = (text.find("first"), text.find("second"));
        assert!(first.is_some() && first < second);
    })
    .await;
}

#[tokio::test]
async fn a_request_that_crashed_two_endpoints_is_refused() {
    run_local(async {
        let mut records = Vec::new();
        for name in ["m-0", "m-1", "m-2"] {
            let listener = TcpListener::bind((own_loopback(), 0))
                .await
                .expect("loopback");
            records.push(record(name, MODELS, listener.local_addr().expect("bound")));
            tokio::task::spawn_local(async move {
                let (mut stream, _) = listener.accept().await.expect("accept");
                drop(listener);
                read_request(&mut stream).await;
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("a socket option");
            });
        }
        let gate = gate("one", records);
        let address = listen(&gate).await;
        let mut statuses = Vec::new();
        for id in ["a1", "a2", "a3"] {
            statuses.push(status(&fetch(address, &request("/digest/1", id)).await).to_owned());
        }
        assert_eq!(statuses, ["502", "502", "503"]);
    })
    .await;
}

#[tokio::test]
async fn a_service_without_endpoints_is_refused_at_once() {
    run_local(async {
        let gate = gate("one", Vec::new());
        let address = listen(&gate).await;
        let text = fetch(address, &request("/digest/1", "a1")).await;
        assert_eq!(status(&text), "503");
        assert!(text.contains("retry-after: "));
    })
    .await;
}

#[tokio::test]
async fn an_endpoint_in_an_evacuated_data_centre_gets_no_requests() {
    run_local(async {
        let (gate, address, endpoint) = with_orders(Vec::new()).await;
        gate.state
            .borrow_mut()
            .directory
            .set_evacuated(["north".into()].into());
        assert_eq!(
            status(&fetch(address, &request("/book/1", "a1")).await),
            "503"
        );
        assert_eq!(endpoint.count(), 0);
    })
    .await;
}

#[tokio::test]
async fn a_stream_closed_within_an_event_is_not_shown_as_complete() {
    run_local(async {
        let head = stream_head("a1").replacen("Transfer-Encoding: chunked\r\n", "", 1);
        let cut = vec![
            Step::Read,
            Step::Write(head + &event(1) + "id: 2\ndata: pi"),
        ];
        let (_gate, address, _engines) = with_engines(vec![vec![cut]]).await;
        let text = fetch(address, &request("/digest/1", "a1")).await;
        assert!(
            text.contains("piece 1") && !text.ends_with("0\r\n\r\n"),
            "{text}"
        );
    })
    .await;
}

/// Head of a stream without length or chunks, which ends with its connection.
fn unframed_head(id: &str) -> String {
    stream_head(id).replacen("Transfer-Encoding: chunked\r\n", "", 1)
}

#[tokio::test]
async fn a_stream_without_length_or_chunks_ends_with_its_connection() {
    run_local(async {
        let text = unframed_head("a1") + &event(1) + &event(2);
        let script = vec![Step::Read, Step::Write(text)];
        let (_gate, address, _engines) = with_engines(vec![vec![script]]).await;
        let text = fetch(address, &request("/digest/1", "a1")).await;
        assert!(
            text.contains("piece 2") && text.ends_with("0\r\n\r\n"),
            "{text}"
        );
    })
    .await;
}

#[tokio::test]
async fn a_stream_closed_within_an_event_is_resumed_after_the_last_complete_one() {
    run_local(async {
        let cut = unframed_head("a1") + &event(1) + "id: 2\ndata: pi";
        let cut = vec![Step::Read, Step::Write(cut)];
        let rest = unframed_head("a1") + &event(2);
        let rest = vec![Step::Read, Step::Write(rest)];
        let (_gate, address, engines) = with_engines(vec![vec![cut], vec![rest]]).await;
        let text = fetch(address, &request("/quote/1", "a1")).await;
        assert_eq!(text.matches("piece 1").count(), 1, "{text}");
        assert_eq!(text.matches("data: pi").count(), 2, "{text}");
        assert!(text.ends_with("0\r\n\r\n"), "{text}");
        let requests = engines.iter().flat_map(|e| e.requests.borrow().clone());
        let resumed = requests.filter(|r| r.to_lowercase().contains("last-event-id: 1"));
        assert_eq!(resumed.count(), 1);
    })
    .await;
}

#[tokio::test]
async fn a_stream_closed_before_its_first_event_is_not_shown_as_complete() {
    run_local(async {
        let script = vec![Step::Read, Step::Write(unframed_head("a1"))];
        let (_gate, address, _engines) = with_engines(vec![vec![script]]).await;
        let text = fetch(address, &request("/digest/1", "a1")).await;
        assert_eq!(status(&text), "502", "{text}");
    })
    .await;
}

#[tokio::test]
async fn a_caller_without_chunks_is_reset_when_its_stream_breaks_off() {
    run_local(async {
        let cut = vec![
            Step::Read,
            Step::Write(stream_head("a1") + &chunk(&event(1))),
        ];
        let (_gate, address, _engines) = with_engines(vec![vec![cut]]).await;
        let mut caller = TcpStream::connect(address).await.expect("loopback");
        let request = request("/digest/1", "a1").replacen("HTTP/1.1", "HTTP/1.0", 1);
        caller.write_all(request.as_bytes()).await.expect("sent");
        let mut text = Vec::new();
        let read = caller.read_to_end(&mut text).await;
        let text = String::from_utf8_lossy(&text);
        assert!(
            text.contains("piece 1") && read.is_err(),
            "{read:?}: {text}"
        );
    })
    .await;
}

#[tokio::test]
async fn an_open_response_continues_after_its_endpoint_is_unlisted() {
    run_local(async {
        let slow = vec![
            Step::Read,
            Step::Write(stream_head("a1")),
            Step::Write(chunk(&event(1))),
            Step::Pause(300),
            Step::Write(chunk(&event(2))),
            Step::Write("0\r\n\r\n".into()),
        ];
        let (gate, address, engines) = with_engines(vec![vec![slow], vec![]]).await;
        let asked =
            tokio::task::spawn_local(
                async move { fetch(address, &request("/quote/1", "a1")).await },
            );
        sleep(Duration::from_millis(150)).await;
        // The store lists no endpoint any more, as after late heartbeats.
        list(&gate, Vec::new());
        let text = asked.await.expect("a caller");
        assert!(
            text.contains("piece 2") && text.ends_with("0\r\n\r\n"),
            "{text}"
        );
        assert_eq!((engines[0].count(), engines[1].count()), (1, 0));
    })
    .await;
}

/// The body of a refusal would be read as the beginning of the next response.
#[rstest]
#[case::no_route("/nothing/1", "404")]
#[case::lost("/book/1", "502")]
#[tokio::test]
async fn a_refused_request_for_a_head_gets_no_body(#[case] path: &str, #[case] expected: &str) {
    run_local(async {
        let scripts = vec![vec![Step::Read], vec![Step::Read]];
        let (_gate, address, _endpoint) = with_orders(scripts).await;
        let both = request(path, "a1").replacen("POST", "HEAD", 1)
            + &request("/nothing/1", "a2").replacen("Host:", "Connection: close\r\nHost:", 1);
        let mut caller = connect(address).await;
        caller.write_all(both.as_bytes()).await.expect("sent");
        let mut text = String::new();
        let read = timeout(TEST_TIMEOUT, caller.read_to_string(&mut text)).await;
        read.expect("the connection ends").expect("read");
        let (first, next) = text.split_once("\r\n\r\n").expect("a head");
        assert_eq!(status(first), expected);
        assert!(next.starts_with("HTTP/1.1 404 "), "{text}");
    })
    .await;
}

/// A caller of HTTP/1.0 would take an interim response for the final one.
#[tokio::test]
async fn a_caller_without_interim_responses_gets_none() {
    run_local(async {
        let script = vec![Step::Read, Step::Write(answer("a1", "", "done"))];
        let (_gate, address, _endpoint) = with_orders(vec![script]).await;
        let request = request("/book/1", "a1")
            .replacen("HTTP/1.1", "HTTP/1.0", 1)
            .replacen("Host:", "Expect: 100-continue\r\nHost:", 1);
        let (head, body) = request.split_at(request.len() - 4);
        let mut caller = connect(address).await;
        caller.write_all(head.as_bytes()).await.expect("sent");
        sleep(Duration::from_millis(50)).await;
        caller.write_all(body.as_bytes()).await.expect("sent");
        let mut text = String::new();
        let read = timeout(TEST_TIMEOUT, caller.read_to_string(&mut text)).await;
        read.expect("the connection ends").expect("read");
        assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
    })
    .await;
}
