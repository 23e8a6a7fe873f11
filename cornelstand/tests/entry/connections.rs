//! Caller connections: half-open, too many, and with malformed or oversized requests.

use std::net::SocketAddr;
use std::time::Duration;

use cornelstand::EntryLimits;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::fleet::{Fleet, KEY, echo, problem};

/// Far longer than any timeout set by the tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn limits() -> EntryLimits {
    EntryLimits {
        header_ms: 100,
        body_ms: 100,
        idle_ms: 100,
        replay_bytes: 1_000,
        body_bytes: 10_000,
        connections: 2,
        ..EntryLimits::default()
    }
}

/// Sends `request` and returns everything received until the connection is closed.
async fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
    let _ = end.expect("the connection is closed in time");
    String::from_utf8(answer).unwrap()
}

#[rstest]
#[case::nothing("")]
#[case::half_a_request_line("GET /app/st")]
#[case::half_a_header("GET /app/stock HTTP/1.1\r\nhost: x\r\nauthoriz")]
#[tokio::test]
async fn a_half_open_caller_is_closed(#[case] sent: &str) {
    let fleet = Fleet::start(&[echo().await], limits()).await;
    let answer = exchange(fleet.address, sent.as_bytes()).await;
    assert!(!answer.contains("200 OK"), "{answer}");
    assert_eq!(fleet.endings(), []);
}

#[tokio::test]
async fn half_open_callers_give_way_to_others() {
    let fleet = Fleet::start(&[echo().await], limits()).await;
    let mut silent = Vec::new();
    for _ in 0..6 {
        silent.push(TcpStream::connect(fleet.address).await.unwrap());
    }
    let answer = timeout(TEST_TIMEOUT, fleet.get("/app/stock").send()).await;
    assert_eq!(answer.unwrap().unwrap().status(), 200);
}

#[tokio::test]
async fn an_unused_connection_is_closed() {
    let fleet = Fleet::start(&[echo().await], limits()).await;
    let request =
        format!("GET /app/stock HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\r\n");
    let answer = exchange(fleet.address, request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
}

#[rstest]
#[case::garbage("\u{1}\u{2}\u{3}\r\n\r\n", "HTTP/1.1 400")]
#[case::no_version("GET /app/stock\r\n\r\n", "HTTP/1.1 400")]
#[case::broken_header("GET /app/stock HTTP/1.1\r\nno colon\r\n\r\n", "HTTP/1.1 400")]
#[case::two_lengths(
    "POST /app/x HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1 400"
)]
#[tokio::test]
async fn a_broken_request_is_refused(#[case] sent: &str, #[case] status: &str) {
    let fleet = Fleet::start(&[echo().await], limits()).await;
    let answer = exchange(fleet.address, sent.as_bytes()).await;
    assert!(answer.starts_with(status), "{answer}");
    assert_eq!(fleet.endings(), []);
}

#[rstest]
#[case::one(1, 100_000)]
#[case::many(101, 10)]
#[tokio::test]
async fn oversized_headers_are_refused(#[case] count: usize, #[case] bytes: usize) {
    let fleet = Fleet::start(&[echo().await], limits()).await;
    let header = |i| format!("x-{i}: {}\r\n", "a".repeat(bytes));
    let headers: String = (0..count).map(header).collect();
    let request = format!("GET /app/stock HTTP/1.1\r\n{headers}\r\n");
    let answer = exchange(fleet.address, request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[rstest]
#[case::idempotency_key("idempotency-key", "k".repeat(129))]
#[case::cost_hint("x-cost-hint", "many".to_owned())]
#[case::deadline("x-deadline-ms", "0".to_owned())]
#[tokio::test]
async fn a_bad_header_is_named(#[case] name: &str, #[case] value: String) {
    let fleet = Fleet::start(&[echo().await], limits()).await;
    let refused = fleet.get("/app/stock").header(name, value).send();
    let (status, problem) = problem(refused.await.unwrap()).await;
    assert_eq!((status, &problem["outcome"]), (400, &"not-run".into()));
    assert!(problem["detail"].as_str().unwrap().starts_with(name));
}

#[tokio::test]
async fn an_oversized_body_is_refused_before_it_is_sent() {
    let fleet = Fleet::start(&[echo().await], limits()).await;
    let refused = fleet.post("/app/stock").body("z".repeat(10_001)).send();
    let (status, problem) = problem(refused.await.unwrap()).await;
    assert_eq!((status, &problem["outcome"]), (413, &"not-run".into()));
    assert_eq!(fleet.endings(), []);
}

#[rstest]
#[case::read_ahead("12")]
#[case::beyond_the_replay_buffer("9000")]
#[tokio::test]
async fn a_body_that_does_not_come_holds_no_endpoint(#[case] length: &str) {
    let fleet = Fleet::start(&[echo().await], limits()).await;
    let request = format!(
        "POST /app/stock HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n\r\nhalf"
    );
    let answer = exchange(fleet.address, request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not-run\""), "{answer}");
    assert_eq!(fleet.endings(), []);
}

#[rstest]
#[case::fits_the_replay_buffer(1_000)]
#[case::larger_than_the_replay_buffer(10_000)]
#[tokio::test]
async fn a_body_arrives_whole(#[case] bytes: usize) {
    let fleet = Fleet::start(&[echo().await], limits()).await;
    let body = "z".repeat(bytes);
    let answer = fleet.post("/app/stock").body(body.clone()).send();
    let text = answer.await.unwrap().text().await.unwrap();
    assert_eq!(text, format!("POST /stock None b\"{body}\""));
}

#[tokio::test]
async fn a_caller_that_stops_reading_frees_the_endpoint() {
    let big = long_answer(64 << 20).await;
    let fleet = Fleet::start(&[big], limits()).await;
    let request =
        format!("GET /app/stock HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\r\n");
    let mut stream = TcpStream::connect(fleet.address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut first = [0; 16];
    stream.read_exact(&mut first).await.unwrap();
    timeout(TEST_TIMEOUT, fleet.idle()).await.unwrap();
    assert_eq!(fleet.endings(), [cornelstand::Ending::Cancelled]);
}

/// Starts an endpoint whose answer has `bytes` bytes.
async fn long_answer(bytes: usize) -> SocketAddr {
    use warp::Filter;
    crate::fleet::endpoint(warp::body::bytes().map(move |_| vec![b'z'; bytes])).await
}

#[tokio::test]
async fn bodies_beyond_the_room_for_them_are_refused_as_not_run() {
    let limits = EntryLimits {
        buffer_bytes: 1_024,
        connections: 8,
        body_ms: 300,
        ..limits()
    };
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let fleet = Fleet::start(&[silent.local_addr().unwrap()], limits).await;
    let held = fleet.post("/app/stock").body("z".repeat(900)).send();
    let held = tokio::spawn(held);
    while fleet.entry.granted() == 0 {
        tokio::task::yield_now().await;
    }
    let refused = fleet.post("/app/stock").body("z".repeat(900)).send();
    let (status, problem) = problem(refused.await.unwrap()).await;
    assert_eq!((status, &problem["outcome"]), (503, &"not-run".into()));
    held.abort();
    fleet.idle().await;
    let next = tokio::spawn(fleet.post("/app/stock").body("z".repeat(900)).send());
    while fleet.entry.granted() == 0 {
        tokio::task::yield_now().await;
    }
    next.abort();
}

#[rstest]
#[case::slower_than_the_idle_deadline(100, 30_000)]
#[case::slower_than_the_first_byte(30_000, 100)]
#[tokio::test]
async fn a_slow_upload_is_not_held_against_the_endpoint(#[case] idle: u64, #[case] first: u64) {
    let limits = EntryLimits {
        idle_ms: idle,
        first_ms: first,
        body_ms: 30_000,
        ..limits()
    };
    let fleet = Fleet::start(&[echo().await], limits).await;
    let head = format!(
        "POST /app/stock HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 9000\r\n\r\n{}",
        "z".repeat(1_500)
    );
    let answer = exchange(fleet.address, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("\"outcome\":\"unknown\""), "{answer}");
    assert_eq!(fleet.endings(), [cornelstand::Ending::Cancelled]);
}

#[tokio::test]
async fn a_stopping_entry_ends_the_open_exchanges() {
    let fleet = Fleet::start(&[long_answer(1 << 20).await], EntryLimits::default()).await;
    let mut running = fleet.get("/app/stock").send().await.unwrap();
    let idle = TcpStream::connect(fleet.address).await.unwrap();
    let address = fleet.address;
    let served = fleet.stop();
    let mut bytes = 0;
    while let Some(piece) = running.chunk().await.unwrap() {
        bytes += piece.len();
    }
    assert_eq!(bytes, 1 << 20);
    timeout(TEST_TIMEOUT, served).await.unwrap().unwrap();
    TcpStream::connect(address).await.unwrap_err();
    drop(idle);
}

#[tokio::test]
async fn long_bodies_pass_both_ways_as_they_are() {
    use warp::Filter;
    let mirror = warp::body::bytes().map(|body: bytes::Bytes| body.to_vec());
    let mirror = crate::fleet::endpoint(mirror).await;
    let fleet = Fleet::start(&[mirror], EntryLimits::default()).await;
    let body: Vec<u8> = (0..8_u32 << 20).map(|i| (i % 251) as u8).collect();
    let answer = fleet.post("/app/stock").body(body.clone()).send();
    let answer = answer.await.unwrap().bytes().await.unwrap();
    assert!(answer == body);
}
