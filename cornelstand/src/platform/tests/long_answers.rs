//! Responses that are too long to be buffered, for each framing and version.

use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

use crate::gateway::tests::{ORDERS, gate, record};
use crate::platform::tests::path::{connect, fetch, listen, request, run_local, status};
use crate::platform::tests::scripted::{Endpoint, Step, TEST_TIMEOUT, answer, response};
use crate::platform::tests::truncation::{cut, run, send};

/// Length of a long body.
const LONG: usize = 1_000_000;
/// Length of a body that is buffered.
const SHORT: usize = 200_000;
const CHUNKS: &str = "chunks";
const LENGTH: &str = "length";
const UNTIL_CLOSE: &str = "until close";

fn body(length: usize) -> String {
    let letters = ('a'..='z')
        .cycle()
        .flat_map(|c| std::iter::repeat_n(c, 1_000));
    letters.take(length).collect()
}

/// A response with a body of `length` bytes.
fn long(status: &str, framing: &str, length: usize) -> String {
    let body = body(length);
    match framing {
        CHUNKS => {
            let (first, rest) = body.split_at(length / 3);
            let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
            let chunks = chunk(first) + &chunk(rest) + "0\r\n\r\n";
            response("a1", status, "Transfer-Encoding: chunked\r\n", &chunks)
        }
        LENGTH => response(
            "a1",
            status,
            &format!("Content-Length: {length}\r\n"),
            &body,
        ),
        _ => response("a1", status, "", &body),
    }
}

#[rstest]
#[tokio::test]
async fn a_long_response_arrives_whole(
    #[values(CHUNKS, LENGTH, UNTIL_CLOSE)] framing: &str,
    #[values(0, 1)] minor: u8,
    #[values("200 OK", "500 Oops")] status: &'static str,
) {
    let script = vec![Step::Read, Step::Write(long(status, framing, LONG))];
    run_local(async move {
        let (received, endpoint) = run("/stock/1", minor, vec![script]).await;
        let code = status[..3].parse().expect("a status");
        assert!(received.whole() == Some((code, body(LONG))), "not whole");
        assert_eq!(endpoint.count(), 1);
    })
    .await;
}

/// Once its first byte has gone out, a response cannot be replaced, and must not look whole.
#[rstest]
#[tokio::test]
async fn a_long_response_that_breaks_off_is_visibly_cut(
    #[values(CHUNKS, LENGTH, UNTIL_CLOSE)] framing: &str,
    #[values(0, 1)] minor: u8,
    #[values(false, true)] is_reset: bool,
    #[values(LONG / 2, LONG)] length: usize,
) {
    // A response until close is whole after an orderly one.
    if framing == UNTIL_CLOSE && !is_reset {
        return;
    }
    let whole = long("200 OK", framing, LONG);
    let script = cut(&whole, length, is_reset);
    run_local(async move {
        let (received, endpoint) = run("/stock/1", minor, vec![script.clone(), script]).await;
        assert!(received.whole().is_none_or(|(status, _)| status == 502));
        // A reset may discard all that the endpoint sent before the gateway has read any of it.
        let most = if is_reset { 2 } else { 1 };
        assert!((1..=most).contains(&endpoint.count()));
    })
    .await;
}

#[rstest]
#[case::chunks(CHUNKS)]
#[case::length(LENGTH)]
#[tokio::test]
async fn a_response_that_breaks_off_before_its_first_byte_went_out_is_repeated(
    #[case] framing: &str,
) {
    let whole = long("200 OK", framing, SHORT);
    let scripts = vec![
        cut(&whole, SHORT / 2, false),
        vec![Step::Read, Step::Write(whole)],
    ];
    run_local(async move {
        let (received, endpoint) = run("/stock/1", 1, scripts).await;
        assert!(received.whole() == Some((200, body(SHORT))), "not whole");
        assert_eq!(endpoint.count(), 2);
    })
    .await;
}

#[tokio::test]
async fn a_response_whose_length_is_beyond_the_limit_is_lost_at_once() {
    let head = response("a1", "200 OK", "Content-Length: 16777217\r\n", "xx");
    run_local(async move {
        let scripts = vec![vec![Step::Read, Step::Write(head), Step::AwaitClose]];
        let (received, _) = run("/book/1", 1, scripts).await;
        assert!(received.whole().is_some_and(|(status, _)| status == 502));
    })
    .await;
}

/// Without room to buffer it, a response is passed on, and a small one served as ever.
#[tokio::test]
async fn responses_are_served_while_the_account_is_full() {
    run_local(async {
        let large = answer("a1", "", &body(SHORT));
        let scripts = vec![vec![
            Step::Read,
            Step::Write(large),
            Step::Read,
            Step::Write(answer("a2", "", "small")),
        ]];
        let endpoint = Endpoint::start(scripts).await;
        let gate = gate("one", vec![record("o-1", ORDERS, endpoint.address)]);
        let memory = gate.settings.borrow().memory;
        let mut share = gate.held.share();
        assert!(share.grow(memory / 4, memory));
        let address = listen(&gate).await;
        let text = fetch(address, &request("/stock/1", "a1")).await;
        assert!(text.ends_with(&body(SHORT)), "not whole");
        let text = fetch(address, &request("/stock/1", "a2")).await;
        assert!(text.ends_with("small"), "{text}");
    })
    .await;
}

/// A connection carries the next response after a long one.
#[tokio::test]
async fn a_kept_connection_is_clean_after_a_long_response() {
    run_local(async {
        let scripts = vec![vec![
            Step::Read,
            Step::Write(long("200 OK", CHUNKS, LONG)),
            Step::Read,
            Step::Write(answer("a2", "", "second")),
        ]];
        let endpoint = Endpoint::start(scripts).await;
        let gate = gate("one", vec![record("o-1", ORDERS, endpoint.address)]);
        let address = listen(&gate).await;
        let second = request("/stock/1", "a2").replacen("Host:", "Connection: close\r\nHost:", 1);
        let received = send(address, &(request("/stock/1", "a1") + &second)).await;
        let text = String::from_utf8_lossy(&received.bytes);
        assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2);
        assert!(text.ends_with("second"), "the second response is whole");
        assert_eq!(endpoint.count(), 2);
    })
    .await;
}

/// An endpoint that cuts a response for a caller that does not read is not held to have failed.
#[tokio::test]
async fn a_cut_for_a_slow_caller_is_put_down_to_the_caller() {
    run_local(async {
        let whole = long("200 OK", LENGTH, 8 * LONG);
        let script = vec![Step::Read, Step::Write(whole)];
        let endpoint = Endpoint::start(vec![script]).await;
        let gate = gate("one", vec![record("o-1", ORDERS, endpoint.address)]);
        let address = listen(&gate).await;
        let mut caller = connect(address).await;
        let sent = caller.write_all(request("/stock/1", "a1").as_bytes()).await;
        sent.expect("sent");
        let ended = async {
            while gate.active.get() == 0 || gate.metrics.requests.get() == 0 {
                sleep(Duration::from_millis(5)).await;
            }
            while gate.active.get() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TEST_TIMEOUT, ended).await.expect("it ends");
        assert_eq!(gate.metrics.lost_responses.get(), 0);
        let metrics = String::from_utf8(gate.metrics.text().expect("metrics"));
        let metrics = metrics.expect("text");
        assert!(metrics.contains("cornelstand_limits_total{limit=\"reading_pace\"} 1"));
        let mut bytes = Vec::new();
        let _ = caller.read_to_end(&mut bytes).await;
        assert!(bytes.len() < 8 * LONG);
    })
    .await;
}

/// At the most connections, a new caller is served in place of the one that waits longest.
#[tokio::test]
async fn a_caller_that_sends_no_request_makes_room_for_a_new_one() {
    run_local(async {
        let scripts = vec![vec![Step::Read, Step::Write(answer("a1", "", "served"))]];
        let endpoint = Endpoint::start(scripts).await;
        let gate = gate("one", vec![record("o-1", ORDERS, endpoint.address)]);
        gate.settings.borrow_mut().memory = 1024 * 1024;
        let address = listen(&gate).await;
        let mut callers = Vec::new();
        for _ in 0..20 {
            let mut caller = connect(address).await;
            caller.write_all(b"POST ").await.expect("sent");
            callers.push(caller);
        }
        let text = fetch(address, &request("/stock/1", "a1")).await;
        assert_eq!(status(&text), "200", "{text}");
        let closed = callers[0].read(&mut [0]).await;
        assert!(closed.is_err() || closed.is_ok_and(|count| count == 0));
    })
    .await;
}
