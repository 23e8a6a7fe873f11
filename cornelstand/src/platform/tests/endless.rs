//! Input without end, from endpoints and from callers: in a head, in a body, fast and slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::tests::{MODELS, ORDERS, catalog, gate, record};
use crate::gateway::upstream::{Pool, Upstream};
use crate::platform::tests::path::{
    connect, fetch, listen, request, run_local, status, with_engines,
};
use crate::platform::tests::scripted::{
    Endpoint, Step, TEST_TIMEOUT, answer, chunk, event, own_loopback, stream_head,
};
use crate::platform::tests::truncation::send;

/// Memory bound under a flood, in bytes; twice the largest response that is buffered.
const MAX_MEMORY: usize = 32 * 1024 * 1024;

/// An endpoint on a separate thread that responds to each request with `start`, followed by
/// `filler` repeated without end, as fast as it is read.
fn flood(start: String, filler: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((own_loopback(), 0)).expect("loopback");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let start = start.clone();
            std::thread::spawn(move || serve_flood(stream, &start, filler));
        }
    });
    address
}

fn serve_flood(mut stream: TcpStream, start: &str, filler: &str) {
    let mut head = [0; 4096];
    if !stream.read(&mut head).is_ok_and(|count| count > 0) {
        return;
    }
    let filler = filler.repeat(64 * 1024 / filler.len());
    let mut bytes = 0;
    let mut is_open = stream.write_all(start.as_bytes()).is_ok();
    while is_open && bytes < 64 * MAX_MEMORY {
        is_open = stream.write_all(filler.as_bytes()).is_ok();
        bytes += filler.len();
    }
}

fn head(extra: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: a1\r\nX-Cornelstand-Server-Stamp: s\r\n{extra}"
    )
}

fn resident_memory() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("a process file");
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.expect("a number") * 4096
}

#[rstest]
#[case::head(head(""), "X-More: more\r\n")]
#[case::no_answer(String::new(), "nothing that is an answer")]
#[case::interim(String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::foreign(
    String::new(),
    "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: old\r\nContent-Length: 0\r\n\r\n"
)]
#[case::chunk_size(head("Transfer-Encoding: chunked\r\n\r\n"), "0")]
#[case::trailer(head("Transfer-Encoding: chunked\r\n\r\n0\r\n"), "x: y\r\n")]
#[tokio::test]
async fn an_endless_response_is_cut_and_delays_no_other_request(
    #[case] start: String,
    #[case] filler: &'static str,
) {
    run_local(async {
        let before = resident_memory();
        let bad = flood(start, filler);
        let stream = answer("a2", "", &event(1));
        let good = Endpoint::start(vec![vec![Step::Read, Step::Write(stream)]]).await;
        let good = record("m-1", MODELS, good.address);
        let gate = gate("one", vec![record("o-1", ORDERS, bad), good]);
        let address = listen(&gate).await;
        let flooded =
            tokio::task::spawn_local(
                async move { fetch(address, &request("/book/1", "a1")).await },
            );
        sleep(Duration::from_millis(30)).await;
        let started = Instant::now();
        let text = fetch(address, &request("/digest/1", "a2")).await;
        assert_eq!(status(&text), "200", "{text}");
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "{:?}",
            started.elapsed()
        );
        assert_eq!(status(&flooded.await.expect("a caller")), "502");
        let more = resident_memory().saturating_sub(before);
        assert!(more < MAX_MEMORY * 4, "{more} bytes");
        assert_eq!(gate.active.get(), 0);
    })
    .await;
}

/// Guards against heads beside the account of held bytes; those within the small size take no share.
#[rstest]
#[case::repeatable("/stock/1", 20_000, 0, "200")]
#[case::once("/book/1", 20_000, 0, "502")]
#[case::small("/book/1", 5_000, 0, "200")]
#[case::small_before_a_body("/book/1", 5_000, 8_000, "200")]
#[tokio::test]
async fn a_head_without_room_is_not_kept(
    #[case] path: &str,
    #[case] length: usize,
    #[case] body: usize,
    #[case] expected: &str,
) {
    run_local(async {
        let large = format!("X-More: {}\r\n", "y".repeat(length));
        let body = "z".repeat(body);
        let scripts = vec![
            vec![Step::Read, Step::Write(answer("a1", &large, &body))],
            vec![Step::Read, Step::Write(answer("a1", "", "small"))],
        ];
        let endpoint = Endpoint::start(scripts).await;
        let records = ["o-1", "o-2"].map(|name| record(name, ORDERS, endpoint.address));
        let gate = gate("one", records.to_vec());
        let memory = gate.settings.borrow().memory;
        let mut other = gate.held.share();
        assert!(other.grow(memory, memory));
        let text = fetch(listen(&gate).await, &request(path, "a1")).await;
        assert_eq!(status(&text), expected, "{text}");
        drop(other);
        assert!(gate.held.share().grow(memory, memory));
    })
    .await;
}

/// A long body is passed on as it is read, until it is found to be endless.
#[tokio::test]
async fn an_endless_body_is_cut_and_delays_no_other_request() {
    run_local(async {
        let before = resident_memory();
        let bad = flood(head("\r\n"), "more and more and more");
        let stream = answer("a2", "", &event(1));
        let good = Endpoint::start(vec![vec![Step::Read, Step::Write(stream)]]).await;
        let good = record("m-1", MODELS, good.address);
        let gate = gate("one", vec![record("o-1", ORDERS, bad), good]);
        let address = listen(&gate).await;
        let flooded =
            tokio::task::spawn_local(async move { send(address, &request("/book/1", "a1")).await });
        sleep(Duration::from_millis(30)).await;
        let started = Instant::now();
        let text = fetch(address, &request("/digest/1", "a2")).await;
        assert_eq!(status(&text), "200", "{text}");
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "{:?}",
            started.elapsed()
        );
        let received = flooded.await.expect("a caller");
        assert_eq!(received.whole(), None);
        assert!(received.bytes.len() < MAX_MEMORY, "the flood was limited");
        drop(received);
        let more = resident_memory().saturating_sub(before);
        assert!(more < MAX_MEMORY * 4, "{more} bytes");
        assert_eq!(gate.active.get(), 0);
    })
    .await;
}

#[tokio::test]
async fn bytes_after_a_complete_response_only_cost_their_connection() {
    run_local(async {
        let whole = head("Content-Length: 4\r\n\r\ndone");
        let bad = flood(whole + "and more", "and more");
        let gate = gate("one", vec![record("o-1", ORDERS, bad)]);
        let address = listen(&gate).await;
        for _ in 0..3 {
            let text = fetch(address, &request("/book/1", "a1")).await;
            assert!(text.ends_with("\r\n\r\ndone"), "{text}");
        }
    })
    .await;
}

#[rstest]
#[case::second_copy(&head("Content-Length: 4\r\n\r\ndone"))]
#[case::no_answer("and more")]
#[tokio::test]
async fn a_pooled_connection_with_input_from_a_pause_is_not_reused(#[case] late: &str) {
    let listener = TcpListener::bind((own_loopback(), 0)).expect("loopback");
    let address = listener.local_addr().expect("bound");
    let upstream = Upstream::connect(address, TEST_TIMEOUT)
        .await
        .expect("accepted");
    let (mut server, _) = listener.accept().expect("a connection");
    // The runtime caches that the connection is not readable, as before a pause of the process.
    assert!(upstream.stream.try_read(&mut [0]).is_err());
    let mut pool = Pool::default();
    pool.put(address, upstream, None);
    server.write_all(late.as_bytes()).expect("sent");
    std::thread::sleep(Duration::from_millis(30));
    assert!(pool.take(address, b"a1").is_none());
}

#[rstest]
#[case::event("data: no end of the line ")]
#[case::lines("data: no end of the event\n")]
#[tokio::test]
async fn an_endless_event_aborts_its_stream(#[case] filler: &'static str) {
    run_local(async {
        let before = resident_memory();
        let bad = flood(head("Content-Type: text/event-stream\r\n\r\n"), filler);
        let gate = gate("one", vec![record("m-1", MODELS, bad)]);
        let address = listen(&gate).await;
        let started = Instant::now();
        let text = fetch(address, &request("/digest/1", "a1")).await;
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "{:?}",
            started.elapsed()
        );
        assert!(!text.ends_with("0\r\n\r\n"), "the stream looks complete");
        let more = resident_memory().saturating_sub(before);
        assert!(more < MAX_MEMORY, "{more} bytes");
    })
    .await;
}

#[tokio::test]
async fn a_stalled_stream_that_trickles_bytes_is_resumed_elsewhere() {
    run_local(async {
        let mut stalled = vec![
            Step::Read,
            Step::Write(stream_head("a1")),
            Step::Write(chunk(&event(1))),
        ];
        for _ in 0..40 {
            stalled.push(Step::Pause(100));
            stalled.push(Step::Write(chunk("d")));
        }
        let good = vec![
            Step::Read,
            Step::Write(stream_head("a1")),
            Step::Write(chunk(&event(2))),
            Step::Write("0\r\n\r\n".into()),
        ];
        let (_gate, address, _engines) = with_engines(vec![vec![stalled], vec![good]]).await;
        let started = Instant::now();
        let text = fetch(address, &request("/quote/1", "a1")).await;
        assert!(
            text.contains("piece 2") && text.ends_with("0\r\n\r\n"),
            "{text}"
        );
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "{:?}",
            started.elapsed()
        );
    })
    .await;
}

/// The pause between the events exceeds the shortest silence limit, but the route's pause objective
/// allows for it.
#[tokio::test]
async fn a_slow_stream_of_a_route_with_long_pauses_is_not_cut() {
    run_local(async {
        let slow = vec![
            Step::Read,
            Step::Write(stream_head("a1")),
            Step::Write(chunk(&event(1))),
            Step::Pause(2_300),
            Step::Write(chunk(&event(2))),
            Step::Write("0\r\n\r\n".into()),
        ];
        let (gate, address, engines) = with_engines(vec![vec![slow], vec![]]).await;
        let mut catalog = catalog(2);
        for route in &mut catalog.routes {
            Arc::make_mut(route).pause = Duration::from_millis(800);
        }
        assert!(gate.state.borrow_mut().directory.set_catalog(catalog));
        let text = fetch(address, &request("/quote/1", "a1")).await;
        assert!(
            text.contains("piece 2") && text.ends_with("0\r\n\r\n"),
            "{text}"
        );
        assert_eq!(engines[1].count(), 0);
    })
    .await;
}

#[rstest]
#[case::empty_lines("", "\r\n")]
#[case::header("POST /book/1 HTTP/1.1\r\n", "x: y\r\n")]
#[case::header_line("POST /book/1 HTTP/1.1\r\nx: ", "y")]
#[case::chunk_size(
    "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n",
    "0"
)]
#[tokio::test]
async fn an_endless_request_is_cut_and_delays_no_other_request(
    #[case] start: &'static str,
    #[case] filler: &'static str,
) {
    run_local(async {
        let good =
            Endpoint::start(vec![vec![Step::Read, Step::Write(answer("a1", "", "ok"))]]).await;
        let gate = gate("one", vec![record("o-1", ORDERS, good.address)]);
        let address = listen(&gate).await;
        let flooding = std::thread::spawn(move || {
            let stream = TcpStream::connect(address).expect("the entry listens");
            stream.set_nodelay(true).expect("a socket option");
            send_flood(stream, start, filler);
        });
        sleep(Duration::from_millis(50)).await;
        let text = timeout(TEST_TIMEOUT, fetch(address, &request("/book/1", "a1"))).await;
        assert_eq!(status(&text.expect("served during the flood")), "200");
        let wait = async {
            while !flooding.is_finished() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(Duration::from_secs(6), wait)
            .await
            .expect("the flood is cut");
    })
    .await;
}

/// Sends until the gateway closes the connection.
fn send_flood(mut stream: TcpStream, start: &str, filler: &str) {
    let filler = filler.repeat(16 * 1024 / filler.len());
    let mut is_open = stream.write_all(start.as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(filler.as_bytes()).is_ok();
    }
}

#[tokio::test]
async fn a_body_sent_byte_by_byte_is_cut_at_the_callers_deadline() {
    run_local(async {
        let gate = gate(
            "one",
            vec![record("o-1", ORDERS, ([127, 0, 0, 1], 1).into())],
        );
        let address = listen(&gate).await;
        let text = request("/book/1", "a1").replacen("Length: 4", "Length: 400", 1);
        let text = text.replacen("5000", "600", 1);
        let mut stream = connect(address).await;
        stream.write_all(text.as_bytes()).await.expect("sent");
        let started = Instant::now();
        let mut answer = [0; 64];
        loop {
            tokio::select! {
                read = stream.read(&mut answer) => {
                    assert!(read.is_ok());
                    break;
                }
                () = sleep(Duration::from_millis(50)) => {
                    // The gateway may have closed the connection by then.
                    let _ = stream.write_all(b"x").await;
                }
            }
        }
        assert!(
            started.elapsed() < Duration::from_millis(1_500),
            "{:?}",
            started.elapsed()
        );
    })
    .await;
}
