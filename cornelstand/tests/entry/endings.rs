//! Answers that break off at any byte, as callers read them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cornelstand::EntryLimits;
use futures::StreamExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::fleet::{Fleet, KEY, store};

/// Far longer than any exchange takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Exchanges at a time.
const CONCURRENCY: usize = 16;

/// How an endpoint closes its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Close {
    Orderly,
    Reset,
}

const CLOSES: [Close; 2] = [Close::Orderly, Close::Reset];

/// Starts an endpoint that answers each connection as told by the request's head, and closes it.
async fn scripted<F>(answer: F) -> SocketAddr
where
    F: Fn(&str) -> (Vec<u8>, Close) + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut request = vec![0; 4096];
                let count = stream.read(&mut request).await.unwrap_or(0);
                let text = String::from_utf8_lossy(&request[..count]).into_owned();
                let (bytes, close) = if text.starts_with("GET /load ") {
                    (LOAD.to_vec(), Close::Orderly)
                } else {
                    answer(&text)
                };
                let _ = stream.write_all(&bytes).await;
                if close == Close::Reset {
                    stream.set_zero_linger().unwrap();
                    return;
                }
                let _ = stream.shutdown().await;
                while stream.read(&mut request).await.is_ok_and(|n| n > 0) {}
            });
        }
    });
    address
}

const LOAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-endpoint-boot: 7\r\ncontent-length: 2\r\n\r\n{}";

/// Starts an endpoint whose answers all differ from those under test.
async fn other() -> SocketAddr {
    scripted(|_| (OTHER.as_bytes().to_vec(), Close::Orderly)).await
}

const OTHER: &str = "HTTP/1.1 203 Other\r\ncontent-length: 5\r\n\r\nother";

/// Returns the last number in the path of a request.
fn number(request: &str) -> usize {
    let path = request.split(' ').nth(1).unwrap();
    path.rsplit('/').next().unwrap().parse().unwrap()
}

/// What a caller has read until its connection ended.
#[derive(Debug)]
struct Reply {
    status: u16,
    head: String,
    body: Vec<u8>,
    /// Whether the framing and the end of the connection make the answer look complete.
    is_complete: bool,
}

/// Sends a request on a connection of its own and reads to the end of the connection.
async fn exchange(address: SocketAddr, request: &str) -> Reply {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let is_orderly = end.expect("the connection ends in time").is_ok();
    parse(request, &bytes, is_orderly)
}

fn parse(request: &str, bytes: &[u8], is_orderly: bool) -> Reply {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Reply {
            status: 0,
            head: String::new(),
            body: bytes.to_vec(),
            is_complete: false,
        };
    };
    let head = String::from_utf8(bytes[..end].to_vec())
        .unwrap()
        .to_lowercase();
    let rest = &bytes[end + 4..];
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let header = |name: &str| {
        let lines = head.lines().skip(1).filter_map(|l| l.split_once(": "));
        let values: Vec<_> = lines.filter(|(n, _)| *n == name).map(|(_, v)| v).collect();
        assert!(values.len() < 2, "{head}");
        values.first().copied()
    };
    let is_framed_once =
        header("transfer-encoding").is_none() || header("content-length").is_none();
    assert!(is_framed_once, "{head}");
    let has_no_body = request.starts_with("HEAD ") || matches!(status, 204 | 304);
    let (body, is_complete) = if has_no_body {
        (rest.to_vec(), rest.is_empty())
    } else if header("transfer-encoding") == Some("chunked") {
        assert!(head.starts_with("http/1.1"), "{head}");
        unchunk(rest)
    } else if let Some(length) = header("content-length") {
        (
            rest.to_vec(),
            rest.len() == length.parse::<usize>().unwrap(),
        )
    } else {
        (rest.to_vec(), is_orderly)
    };
    Reply {
        status,
        head,
        body,
        is_complete,
    }
}

/// Decodes chunks; tells whether the last one is there and nothing follows it.
fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(line) = rest.windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).unwrap();
        let size = usize::from_str_radix(size, 16).expect("the size of a chunk");
        rest = &rest[line + 2..];
        if size == 0 {
            return (body, rest == b"\r\n");
        }
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        if rest.len() < size + 2 {
            break;
        }
        assert_eq!(&rest[size..size + 2], b"\r\n");
        rest = &rest[size + 2..];
    }
    (body, false)
}

/// A caller's request. Each path is requested once.
fn request(method: &str, path: &str, version: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/{version}\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\nidempotency-key: k{path}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// An endpoint's answer and the body it has.
#[derive(Clone, Copy, Debug)]
struct Whole {
    answer: &'static str,
    status: u16,
    body: &'static str,
    /// Whether the answer tells where it ends.
    is_framed: bool,
}

impl Whole {
    /// What is wrong with a caller's reply to an answer of which `cut` bytes came.
    fn fault(&self, reply: &Reply, cut: usize) -> Option<&'static str> {
        let is_whole = cut == self.answer.len();
        let body = reply.body.as_slice();
        if reply.head.contains("application/problem+json") {
            let text = String::from_utf8_lossy(body);
            let is_unknown = text.is_empty() || text.contains("\"outcome\":\"unknown\"");
            let is_honest = reply.status == 502 && is_unknown;
            return match (is_honest, is_whole && self.is_framed) {
                (false, _) => Some("is no refusal with unknown outcome"),
                (true, true) => Some("refuses a whole answer"),
                (true, false) => None,
            };
        }
        if (reply.status, reply.is_complete) == (203, true) {
            return (is_whole && self.is_framed).then_some("is another endpoint's");
        }
        if reply.status != self.status {
            return Some("has another status");
        }
        if !reply.is_complete {
            let is_prefix = self.body.as_bytes().starts_with(body);
            return match (is_prefix, is_whole && self.is_framed) {
                (false, _) => Some("has foreign bytes"),
                (true, true) => Some("breaks off a whole answer"),
                (true, false) => None,
            };
        }
        if body != self.body.as_bytes() {
            return Some("looks complete without the whole body");
        }
        (!is_whole).then_some("looks complete before its end")
    }
}

const LENGTH: Whole = Whole {
    answer: "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nfirst",
    status: 200,
    body: "first",
    is_framed: true,
};
const CHUNKED: Whole = Whole {
    answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
        2;a=b\r\nfi\r\n3\r\nrst\r\n0\r\nx-sum: 1\r\n\r\n",
    ..LENGTH
};
const UNTIL_CLOSE: Whole = Whole {
    answer: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nfirst",
    is_framed: false,
    ..LENGTH
};
const OTHER_CODING: Whole = Whole {
    answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nfirst",
    is_framed: false,
    ..LENGTH
};
const CODED_CHUNKS: Whole = Whole {
    answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
    body: "",
    is_framed: false,
    ..LENGTH
};
const OLD: Whole = Whole {
    answer: "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
    ..LENGTH
};
const OLD_UNTIL_CLOSE: Whole = Whole {
    answer: "HTTP/1.0 200 OK\r\n\r\nfirst",
    is_framed: false,
    ..LENGTH
};
const INTERIM: Whole = Whole {
    answer: "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
        HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
    ..LENGTH
};
const CHUNKS_AND_SHORT_LENGTH: Whole = Whole {
    answer: "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n\
        5\r\nfirst\r\n0\r\n\r\n",
    ..LENGTH
};
const CHUNKS_AND_LONG_LENGTH: Whole = Whole {
    answer: "HTTP/1.1 200 OK\r\ncontent-length: 7\r\ntransfer-encoding: chunked\r\n\r\n\
        5\r\nfirst\r\n0\r\n\r\n",
    ..LENGTH
};
const LENGTH_TWICE: Whole = Whole {
    answer: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nfirst",
    ..LENGTH
};
const NO_CONTENT: Whole = Whole {
    answer: "HTTP/1.1 204 No Content\r\nx-shop: zip\r\n\r\n",
    status: 204,
    body: "",
    is_framed: true,
};
const NOT_MODIFIED: Whole = Whole {
    answer: "HTTP/1.1 304 Not Modified\r\netag: \"1\"\r\ncontent-length: 5\r\n\r\n",
    status: 304,
    ..NO_CONTENT
};
const FAILURE: Whole = Whole {
    answer: "HTTP/1.1 500 Oops\r\ncontent-length: 5\r\n\r\nfirst",
    status: 500,
    ..LENGTH
};
const HEAD_ONLY: Whole = Whole {
    answer: "HTTP/1.1 200 OK\r\ncontent-length: 700\r\n\r\n",
    status: 200,
    ..NO_CONTENT
};

/// Requests every position of `whole` from an endpoint that ends there, and lists the faults.
async fn faults(
    whole: Whole,
    close: Close,
    version: &str,
    method: &str,
    prefix: &str,
) -> Vec<String> {
    let endpoint = scripted(move |request| {
        let cut = number(request);
        (whole.answer.as_bytes()[..cut].to_vec(), close)
    });
    let endpoints = [endpoint.await, other().await];
    let fleet = Fleet::start(&endpoints, EntryLimits::default()).await;
    let cuts = futures::stream::iter(0..=whole.answer.len());
    let exchanges = cuts.map(|cut| {
        let request = request(method, &format!("{prefix}/{cut}"), version, "zip");
        let address = fleet.address;
        async move { (cut, exchange(address, &request).await) }
    });
    let faults = exchanges
        .buffer_unordered(CONCURRENCY)
        .filter_map(|(cut, reply)| async move {
            let fault = whole.fault(&reply, cut)?;
            Some(format!("{close:?} at {cut}: {fault}: {reply:?}"))
        });
    faults.collect().await
}

/// Guards against an answer that broke off and looks complete.
#[rstest]
#[case::length("POST", LENGTH)]
#[case::chunked("POST", CHUNKED)]
#[case::until_close("POST", UNTIL_CLOSE)]
#[case::other_coding("POST", OTHER_CODING)]
#[case::old("POST", OLD)]
#[case::old_until_close("POST", OLD_UNTIL_CLOSE)]
#[case::interim("POST", INTERIM)]
#[case::chunks_and_short_length("POST", CHUNKS_AND_SHORT_LENGTH)]
#[case::chunks_and_long_length("POST", CHUNKS_AND_LONG_LENGTH)]
#[case::length_twice("POST", LENGTH_TWICE)]
#[case::no_content("POST", NO_CONTENT)]
#[case::not_modified("GET", NOT_MODIFIED)]
#[case::failure("POST", FAILURE)]
#[case::head_only("HEAD", HEAD_ONLY)]
#[case::coded_chunks("POST", CODED_CHUNKS)]
#[tokio::test]
async fn an_answer_cut_at_any_byte_does_not_look_complete(
    #[case] method: &str,
    #[case] whole: Whole,
    #[values("1.0", "1.1")] version: &str,
    #[values("/app/stock", "/model/stock")] prefix: &str,
) {
    for close in CLOSES {
        let faults = faults(whole, close, version, method, prefix).await;
        assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
    }
}

/// Guards against a truncated answer that is recorded and replayed.
#[rstest]
#[case::length("POST", LENGTH)]
#[case::chunked("POST", CHUNKED)]
#[case::until_close("POST", UNTIL_CLOSE)]
#[case::other_coding("POST", OTHER_CODING)]
#[case::old("POST", OLD)]
#[case::interim("POST", INTERIM)]
#[case::chunks_and_short_length("POST", CHUNKS_AND_SHORT_LENGTH)]
#[case::no_content("POST", NO_CONTENT)]
#[case::failure("POST", FAILURE)]
#[tokio::test]
async fn a_claimed_answer_cut_at_any_byte_is_not_replayed(
    #[case] method: &str,
    #[case] whole: Whole,
    #[values("1.0", "1.1")] version: &str,
) {
    for close in CLOSES {
        let endpoint = scripted(move |request| {
            let cut = number(request);
            (whole.answer.as_bytes()[..cut].to_vec(), close)
        });
        let store = store();
        let endpoints = [endpoint.await, other().await];
        let limits = EntryLimits::default();
        let fleet = Fleet::on_store(&endpoints, limits, Some(store.address())).await;
        for cut in 0..=whole.answer.len() {
            let request = request(method, &format!("/app/orders/{cut}"), version, "zip");
            let first = exchange(fleet.address, &request).await;
            assert_eq!(
                whole.fault(&first, cut),
                None,
                "{close:?} at {cut}: {first:?}"
            );
            assert_ne!(first.status, 203, "{close:?} at {cut} ran twice");
            fleet.idle().await;
            let again = exchange(fleet.address, &request).await;
            let text = String::from_utf8_lossy(&again.body);
            let is_replay = again.is_complete
                && (again.status, text.as_ref()) == (whole.status, whole.body)
                && again.head.contains("idempotent-replayed: true");
            let is_unknown = again.status == 409 && text.contains("\"outcome\":\"unknown\"");
            let is_recorded = cut == whole.answer.len() && whole.is_framed;
            let is_right = if is_recorded { is_replay } else { is_unknown };
            assert!(is_right, "{close:?} at {cut}: {again:?}");
        }
    }
}

/// Heads of event streams, by how the body is framed.
const EVENT_HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\ncontent-type: text/event-stream\r\n\r\n",
];
const EVENTS: [&str; 4] = [
    "data: 1\n\n",
    "data: 2\n\n",
    "data: 3\n\n",
    "data: [DONE]\n\n",
];

/// A stream of the events after the first `after`.
fn events(head: &str, after: usize) -> String {
    let events = EVENTS[after..].iter();
    if !head.contains("chunked") {
        return format!("{head}{}", events.copied().collect::<String>());
    }
    let chunks = events.map(|e| format!("{:x}\r\n{e}\r\n", e.len()));
    format!("{head}{}0\r\n\r\n", chunks.collect::<String>())
}

/// What is wrong with a caller's reply to a stream. A complete stream has all events.
fn stream_fault(reply: &Reply) -> Option<&'static str> {
    let whole = EVENTS.concat();
    let text = String::from_utf8_lossy(&reply.body);
    match reply.status {
        502 if text.contains("\"outcome\":\"unknown\"") => None,
        203 if text == "other" && reply.is_complete => None,
        200 if !whole.starts_with(text.as_ref()) => Some("has foreign bytes"),
        200 if reply.is_complete != (text == whole) => Some("ends wrongly"),
        200 => None,
        _ => Some("has another status"),
    }
}

/// What an engine does after the first break of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Resumption {
    /// It does not know the stream.
    Unknown,
    /// It sends the whole rest.
    Whole,
    /// It sends a rest that is cut, too.
    Cut,
}

/// Guards against a stream that broke off and looks complete.
#[rstest]
#[tokio::test]
async fn a_stream_cut_at_any_byte_does_not_look_complete(
    #[values(0, 1, 2)] head: usize,
    #[values(Resumption::Unknown, Resumption::Whole, Resumption::Cut)] resumption: Resumption,
    #[values("1.0", "1.1")] version: &str,
    #[values(Close::Orderly, Close::Reset)] close: Close,
) {
    let head = EVENT_HEADS[head];
    let cuts: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let endpoint = scripted(move |request| {
        let id = request.lines().find(|l| l.starts_with("x-request-id: "));
        let id = id.unwrap().to_owned();
        let Some((_, after)) = request.split_once("?after=") else {
            let cut = number(request);
            cuts.lock().unwrap().insert(id, cut);
            let is_first_cut = resumption != Resumption::Cut;
            let stream = events(head, 0);
            let first = if is_first_cut {
                &stream[..cut]
            } else {
                &stream[..stream.len() - 8]
            };
            return (first.as_bytes().to_vec(), close);
        };
        let after = after.split(' ').next().unwrap().parse().unwrap();
        let stream = events(head, after);
        let cut = cuts.lock().unwrap()[&id].min(stream.len());
        let answer = match resumption {
            Resumption::Unknown => "HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n",
            Resumption::Whole => &stream,
            Resumption::Cut => &stream[..cut],
        };
        (answer.as_bytes().to_vec(), close)
    });
    let endpoints = [endpoint.await, other().await];
    let fleet = Fleet::start(&endpoints, EntryLimits::default()).await;
    let positions = futures::stream::iter(0..=events(head, 0).len());
    let exchanges = positions.map(|cut| {
        let path = format!("/model/chat/{cut}");
        let request = request("POST", &path, version, r#"{"stream":true}"#);
        let address = fleet.address;
        async move { (cut, exchange(address, &request).await) }
    });
    let exchanges = exchanges.buffer_unordered(4 * CONCURRENCY);
    let faults = exchanges.filter_map(|(cut, reply)| async move {
        let fault = stream_fault(&reply)?;
        Some(format!("at {cut}: {fault}: {reply:?}"))
    });
    let faults: Vec<String> = faults.collect().await;
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
}

/// Guards against events of a resumed stream below the head of another answer.
#[rstest]
#[case::failure(
    "HTTP/1.1 500 Oops\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
)]
#[case::not_found(
    "HTTP/1.1 404 No\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
)]
#[case::no_content("HTTP/1.1 204 Empty\r\ncontent-type: text/event-stream\r\n\r\n")]
#[tokio::test]
async fn only_a_success_is_continued_by_resumed_events(#[case] first: &'static str) {
    let endpoint = scripted(move |request| {
        let is_resume = request.contains("?after=");
        let answer = if is_resume {
            events(EVENT_HEADS[0], 0)
        } else {
            first.to_owned()
        };
        (answer.into_bytes(), Close::Orderly)
    });
    let fleet = Fleet::start(&[endpoint.await], EntryLimits::default()).await;
    let request = request("POST", "/model/chat/1", "1.1", r#"{"stream":true}"#);
    let reply = exchange(fleet.address, &request).await;
    let text = String::from_utf8_lossy(&reply.body);
    assert!(reply.status == 502 || !text.contains("data: "), "{reply:?}");
}

/// Body larger than what sockets and channels hold.
const LONG_BYTES: usize = 16 << 20;

/// Sends `request`, reads the answer only once the entry has stopped writing for `pause`.
async fn slow_exchange(address: SocketAddr, request: &str, pause: Duration) -> Reply {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    tokio::time::sleep(pause).await;
    let mut bytes = Vec::new();
    let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let is_orderly = end.expect("the connection ends in time").is_ok();
    parse(request, &bytes, is_orderly)
}

/// Guards against a missing part of an answer whose caller paused.
#[rstest]
#[case::idempotent("/app/stock/1")]
#[case::claimed("/app/orders/1")]
#[tokio::test]
async fn an_answer_that_a_caller_did_not_take_does_not_look_complete(
    #[case] path: &str,
    #[values("1.0", "1.1")] version: &str,
    #[values(true, false)] is_whole: bool,
) {
    let endpoint = scripted(move |_| {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let end = if is_whole { "\r\n0\r\n\r\n" } else { "" };
        let body = "z".repeat(LONG_BYTES);
        let answer = format!("{head}{LONG_BYTES:x}\r\n{body}{end}");
        (answer.into_bytes(), Close::Orderly)
    });
    let store = store();
    let limits = EntryLimits {
        idle_ms: 100,
        ..EntryLimits::default()
    };
    let fleet = Fleet::on_store(&[endpoint.await], limits, Some(store.address())).await;
    let request = request("POST", path, version, "zip");
    let reply = slow_exchange(fleet.address, &request, Duration::from_secs(1)).await;
    assert_eq!(reply.status, 200);
    let is_all = reply.body.len() == LONG_BYTES && is_whole;
    assert_eq!(reply.is_complete, is_all, "{} bytes", reply.body.len());
}

/// An answer to the request of `text` with its path as the body.
fn echoed(text: &str, id: &str) -> Option<String> {
    let path = text.split(' ').nth(1)?;
    let length = path.len();
    Some(format!(
        "HTTP/1.1 200 OK\r\n{id}content-length: {length}\r\n\r\n{path}"
    ))
}

/// Starts an endpoint that answers each request twice: at once and once more `delay` later,
/// whatever runs on the connection by then. Its answers name the attempt if `names` is set.
async fn stutters(names: bool, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut reader, writer) = stream.into_split();
                let writer = Arc::new(tokio::sync::Mutex::new(writer));
                let mut request = vec![0; 4096];
                while let Ok(count @ 1..) = reader.read(&mut request).await {
                    let text = String::from_utf8_lossy(&request[..count]).into_owned();
                    let id = text.lines().find(|l| l.starts_with("x-request-id: "));
                    let id = id.filter(|_| names).map(|id| format!("{id}\r\n"));
                    let Some(answer) = echoed(&text, &id.unwrap_or_default()) else {
                        return;
                    };
                    // The next answer takes longer than the second copy of this one.
                    tokio::time::sleep(delay * 2).await;
                    let sent = writer.lock().await.write_all(answer.as_bytes()).await;
                    if sent.is_err() {
                        return;
                    }
                    let writer = writer.clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(delay).await;
                        let _ = writer.lock().await.write_all(answer.as_bytes()).await;
                    });
                }
            });
        }
    });
    address
}

/// Guards against the second copy of an answer, given to the next request of its connection.
#[rstest]
#[tokio::test]
async fn a_late_copy_of_an_answer_is_not_given_to_the_next_request(
    #[values("/app/stock", "/model/stock", "/app/orders")] prefix: &str,
    #[values(true, false)] names: bool,
) {
    let endpoint = stutters(names, Duration::from_millis(10)).await;
    let store = store();
    let limits = EntryLimits::default();
    let fleet = Fleet::on_store(&[endpoint], limits, Some(store.address())).await;
    for i in 0..12 {
        let path = format!("{prefix}/{i}");
        let request = request("POST", &path, "1.1", "zip");
        let reply = exchange(fleet.address, &request).await;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(reply.is_complete && reply.status == 200, "{reply:?}");
        assert!(path.ends_with(&text), "{path} got the answer to {text}");
    }
}

/// Guards against bytes behind a whole answer that are taken for a part of it or the next.
#[rstest]
#[case::length(LENGTH)]
#[case::chunked(CHUNKED)]
#[case::no_content(NO_CONTENT)]
#[tokio::test]
async fn a_copy_behind_an_answer_is_no_part_of_it(
    #[case] whole: Whole,
    #[values("/app/stock", "/model/stock", "/app/orders")] prefix: &str,
    #[values("1.0", "1.1")] version: &str,
) {
    let copies = whole.answer.repeat(2);
    let endpoint = scripted(move |_| (copies.clone().into_bytes(), Close::Orderly));
    let store = store();
    let limits = EntryLimits::default();
    let fleet = Fleet::on_store(&[endpoint.await], limits, Some(store.address())).await;
    for i in 0..4 {
        let request = request("POST", &format!("{prefix}/{i}"), version, "zip");
        let reply = exchange(fleet.address, &request).await;
        assert!(reply.is_complete, "{reply:?}");
        assert_eq!(
            (reply.status, reply.body.as_slice()),
            (whole.status, whole.body.as_bytes())
        );
    }
}
