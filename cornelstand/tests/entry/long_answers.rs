//! Answers that are too long for all to be on their way at once.

use std::time::Duration;

use cornelstand::EntryLimits;
use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use warp::Filter;

use crate::fleet::{Fleet, KEY, endpoint};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A body whose parts differ from each other.
fn body(length: usize) -> String {
    let letters = ('a'..='z')
        .cycle()
        .flat_map(|c| std::iter::repeat_n(c, 1_000));
    letters.take(length).collect()
}

/// An entry before an endpoint whose answers have `length` bytes.
async fn start(length: usize, limits: EntryLimits) -> Fleet {
    let answers = warp::body::bytes().map(move |_: bytes::Bytes| Response::new(body(length)));
    Fleet::start(&[endpoint(answers).await], limits).await
}

/// More answers than there is room for arrive whole, one after the other.
#[tokio::test]
async fn answers_without_room_wait_and_arrive_whole() {
    let limits = EntryLimits {
        connections: 64,
        ..EntryLimits::default()
    };
    let length = 1_000_000;
    let fleet = start(length, limits).await;
    let callers = (0..12).map(|_| {
        let request = fleet.get("/app/long");
        tokio::spawn(async move { request.send().await.unwrap().text().await.unwrap() })
    });
    for caller in callers.collect::<Vec<_>>() {
        let text = timeout(TEST_TIMEOUT, caller).await.unwrap().unwrap();
        assert!(text == body(length), "not whole");
    }
}

/// A caller that reads nothing has its connection closed, and its answer does not look whole.
#[tokio::test]
async fn a_caller_that_reads_nothing_is_cut() {
    let limits = EntryLimits {
        idle_ms: 300,
        ..EntryLimits::default()
    };
    let length = 32_000_000;
    let fleet = start(length, limits).await;
    let mut caller = TcpStream::connect(fleet.address).await.unwrap();
    let request =
        format!("GET /app/long HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
    caller.write_all(request.as_bytes()).await.unwrap();
    caller.readable().await.unwrap();
    timeout(TEST_TIMEOUT, fleet.idle()).await.expect("it ends");
    let mut bytes = Vec::new();
    let read = timeout(TEST_TIMEOUT, caller.read_to_end(&mut bytes)).await;
    let _ = read.expect("the connection ends");
    assert!(bytes.len() < length);
}
