//! Bytes that an endpoint sends once more, or too late, on a connection that is kept.

use std::time::Duration;

use rstest::rstest;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::gateway::tests::{ORDERS, gate, record};
use crate::platform::tests::path::{fetch, listen, request, run_local, status, with_orders};
use crate::platform::tests::scripted::{
    Endpoint, Step, TEST_TIMEOUT, answer, own_loopback, read_request, response,
};

const REJECTED: &str = "X-Cornelstand-Not-Executed: 1\r\nContent-Length: 0\r\n";

/// A response without any identity.
fn unnamed(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 4\r\n\r\nlate")
}

/// Guards against a refusal of a call that runs, and against another call's answer.
#[rstest]
#[case::rejection(unnamed("503 Busy", "X-Cornelstand-Not-Executed: 1\r\n"))]
#[case::limit(unnamed("429 Too Many Requests", "X-Cornelstand-Not-Executed: 1\r\n"))]
#[case::moved(unnamed("421 Misdirected", ""))]
#[case::bad_request(unnamed("400 Bad Request", "X-Cornelstand-Not-Executed: 1\r\n"))]
#[case::error(unnamed("500 Oops", ""))]
#[case::stamped_error(unnamed("500 Oops", "X-Cornelstand-Server-Stamp: s\r\n"))]
#[case::success(unnamed("200 OK", "X-Cornelstand-Server-Stamp: s\r\n"))]
#[case::rejection_again(response("a1", "503 Busy", REJECTED, ""))]
#[case::two_identities(response(
    "a1",
    "503 Busy",
    &format!("X-Cornelstand-Attempt-Id: a2\r\n{REJECTED}"),
    ""
))]
#[case::two_identities_reversed(response(
    "a2",
    "503 Busy",
    &format!("X-Cornelstand-Attempt-Id: a1\r\n{REJECTED}"),
    ""
))]
#[tokio::test]
async fn late_bytes_are_no_answer_to_the_call_that_runs(#[case] late: String) {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(answer("a1", "", "first")),
            Step::Read,
            Step::Write(late + &answer("a2", "", "second")),
        ];
        let (gate, address, endpoint) = with_orders(vec![script]).await;
        fetch(address, &request("/book/1", "a1")).await;
        let text = fetch(address, &request("/book/1", "a2")).await;
        assert!(text.ends_with("\r\n\r\nsecond"), "{text}");
        assert_eq!((endpoint.count(), gate.metrics.retries.get()), (2, 0));
    })
    .await;
}

/// A rejection that is written twice must not end the second attempt of the same call.
#[tokio::test]
async fn a_call_is_not_sent_twice_on_one_connection() {
    run_local(async {
        let rejection = response("a1", "503 Busy", REJECTED, "");
        let kept = vec![
            Step::Read,
            Step::Write(rejection.clone()),
            Step::Read,
            Step::Write(rejection + &answer("a1", "", "done")),
        ];
        let other = vec![Step::Read, Step::Write(answer("a1", "", "done"))];
        let endpoint = Endpoint::start(vec![kept, other]).await;
        let records = ["o-1", "o-2"].map(|name| record(name, ORDERS, endpoint.address));
        let gate = gate("one", records.to_vec());
        let address = listen(&gate).await;
        let text = fetch(address, &request("/stock/1", "a1")).await;
        assert!(text.ends_with("\r\n\r\ndone"), "{text}");
        assert_eq!(endpoint.count(), 2);
    })
    .await;
}

/// The identity alone cannot tell a late answer from that of a call with the same identity.
#[tokio::test]
async fn calls_with_the_same_identity_do_not_share_a_connection() {
    run_local(async {
        let kept = vec![
            Step::Read,
            Step::Write(answer("a1", "", "first")),
            Step::Read,
            Step::Write(answer("a1", "", "first") + &answer("a1", "", "second")),
        ];
        let other = vec![Step::Read, Step::Write(answer("a1", "", "second"))];
        let (_gate, address, _endpoint) = with_orders(vec![kept, other]).await;
        fetch(address, &request("/book/1", "a1")).await;
        let text = fetch(address, &request("/book/2", "a1")).await;
        assert!(text.ends_with("\r\n\r\nsecond"), "{text}");
    })
    .await;
}

/// An endpoint that names no request in any answer is still served, on a connection for each.
#[tokio::test]
async fn answers_without_identity_are_taken_on_connections_of_their_own() {
    run_local(async {
        let error = unnamed("500 Oops", "X-Cornelstand-Server-Stamp: s\r\n");
        let script = vec![Step::Read, Step::Write(error), Step::AwaitClose];
        let (_gate, address, endpoint) = with_orders(vec![script.clone(), script]).await;
        for id in ["a1", "a2"] {
            let text = fetch(address, &request("/book/1", id)).await;
            assert_eq!(status(&text), "500", "{text}");
        }
        assert_eq!(endpoint.count(), 2);
    })
    .await;
}

/// A late answer is skipped while a large request is being written, and the rest is sent.
#[tokio::test]
async fn a_late_answer_does_not_stop_the_request_that_is_being_sent() {
    run_local(async {
        let listener = TcpListener::bind((own_loopback(), 0))
            .await
            .expect("loopback");
        SockRef::from(&listener)
            .set_recv_buffer_size(16 * 1024)
            .expect("a socket option");
        let endpoint = listener.local_addr().expect("bound");
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            read_request(&mut stream).await.expect("the first request");
            let first = answer("a1", "", "first");
            stream.write_all(first.as_bytes()).await.expect("written");
            let begun = stream.peek(&mut [0]).await;
            assert_eq!(begun.expect("the second request begins"), 1);
            stream.write_all(first.as_bytes()).await.expect("written");
            sleep(Duration::from_millis(100)).await;
            read_request(&mut stream).await.expect("the whole request");
            let second = answer("a2", "", "second");
            stream.write_all(second.as_bytes()).await.expect("written");
        });
        let gate = gate("one", vec![record("o-1", ORDERS, endpoint)]);
        let address = listen(&gate).await;
        fetch(address, &request("/book/1", "a1")).await;
        let body = "y".repeat(3_900_000);
        let large = request("/book/1", "a2").replacen(
            "Content-Length: 4\r\n\r\nbody",
            &format!("Content-Length: {}\r\n\r\n{body}", body.len()),
            1,
        );
        let started = Instant::now();
        let text = fetch(address, &large).await;
        assert!(text.ends_with("\r\n\r\nsecond"), "{text}");
        assert!(started.elapsed() < TEST_TIMEOUT);
    })
    .await;
}
