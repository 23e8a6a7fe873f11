//! Late copies of an earlier answer within a running stream, on a connection that was kept.

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::platform::tests::path::{connect, fetch, request, run_local, with_two_names};
use crate::platform::tests::scripted::{Step, TEST_TIMEOUT, chunk, event, response, stream_head};

const EVENTS: &str = "Content-Type: text/event-stream\r\n";

fn whole_stream(id: &str) -> String {
    stream_head(id) + &chunk(&event(1)) + "0\r\n\r\n"
}

/// Late answer to the request before.
fn late(kind: &str) -> String {
    match kind {
        "stream" => whole_stream("a1"),
        "error" => response("a1", "500 Oops", "Content-Length: 4\r\n", "oops"),
        _ => response("a1", "200 OK", "Content-Length: 4\r\n", "done"),
    }
}

/// What the caller got after the head of the only response, decoded, and whether it is complete.
fn decode(text: &str) -> (String, bool) {
    let (head, mut rest) = text.split_once("\r\n\r\n").expect("a head");
    assert!(
        head.starts_with("HTTP/1.1 200 ") && head.contains("chunked"),
        "{text}"
    );
    let mut data = String::new();
    while !rest.is_empty() {
        let Some((size, next)) = rest.split_once("\r\n") else {
            break;
        };
        let size = usize::from_str_radix(size, 16).expect("the size of a chunk");
        if size == 0 {
            assert_eq!(next, "\r\n", "bytes after the end: {text}");
            return (data, true);
        }
        if next.len() < size + 2 {
            break;
        }
        data += &next[..size];
        assert!(next[size..].starts_with("\r\n"), "{text}");
        rest = &next[size + 2..];
    }
    (data, false)
}

/// Runs a request whose answer is kept, and then a stream that comes in `parts` on the same
/// connection; the next connection answers `next`. Returns what the second caller got.
async fn run(parts: Vec<String>, next: String) -> String {
    let mut kept = vec![Step::Read, Step::Write(whole_stream("a1")), Step::Read];
    for part in parts {
        kept.extend([Step::Write(part), Step::Pause(30)]);
    }
    let scripts = vec![kept, vec![Step::Read, Step::Write(next)]];
    let (_gate, address, endpoint) = with_two_names(scripts).await;
    let first = fetch(address, &request("/quote/1", "a1")).await;
    assert!(first.ends_with("0\r\n\r\n"), "{first}");
    let mut caller = connect(address).await;
    let request = request("/quote/1", "a2").replacen("Host:", "Connection: close\r\nHost:", 1);
    caller.write_all(request.as_bytes()).await.expect("sent");
    let mut text = Vec::new();
    timeout(TEST_TIMEOUT, caller.read_to_end(&mut text))
        .await
        .expect("the connection ends")
        .expect("read");
    // Either name may be selected for the second request.
    assert!(endpoint.requests.borrow()[1].contains("a2"));
    String::from_utf8_lossy(&text).into_owned()
}

fn is_prefix_of_events(data: &str) -> bool {
    let all: String = [1, 2, 3, 4].map(event).concat();
    all.starts_with(data)
}

/// Guards against a head, or any other foreign bytes, within a stream.
#[rstest]
#[tokio::test]
async fn a_late_copy_between_the_chunks_of_a_stream_does_not_reach_the_caller(
    #[values("stream", "error", "call")] kind: &str,
    #[values(0, 1, 2)] events: u32,
    #[values(true, false)] is_continued: bool,
) {
    run_local(async {
        let pieces = |range: std::ops::RangeInclusive<u32>| {
            range.map(|n| chunk(&event(n))).collect::<String>()
        };
        let begun = stream_head("a2") + &pieces(1..=events);
        let second = vec![begun, late(kind) + "0\r\n\r\n"];
        let next = if is_continued {
            stream_head("a2") + &pieces(events + 1..=3) + "0\r\n\r\n"
        } else {
            response("a2", "500 Oops", "Content-Length: 4\r\n", "oops")
        };
        let text = run(second, next).await;
        if events == 0 && !is_continued {
            assert!(
                text.starts_with("HTTP/1.1 500 ") && text.ends_with("oops"),
                "{text}"
            );
            return;
        }
        let (data, is_whole) = decode(&text);
        assert!(is_prefix_of_events(&data), "{text}");
        assert_eq!(is_whole, is_continued, "{text}");
    })
    .await;
}

/// The copy displaces the end of the chunk, which is therefore malformed.
#[rstest]
#[tokio::test]
async fn a_late_copy_within_a_chunk_of_a_stream_does_not_reach_the_caller(
    #[values("stream", "error", "call")] kind: &str,
    #[values(0, 1, 12, 20)] offset: usize,
    #[values(true, false)] is_slow: bool,
    #[values(true, false)] is_continued: bool,
) {
    run_local(async {
        let torn = chunk(&event(2));
        let at = "15\r\n".len() + offset;
        let first = stream_head("a2") + &chunk(&event(1));
        let rest = torn[at..].to_owned() + "0\r\n\r\n";
        let second = if is_slow {
            vec![first, torn[..at].to_owned(), late(kind), rest]
        } else {
            vec![first, torn[..at].to_owned() + &late(kind) + &rest]
        };
        let next = if is_continued {
            stream_head("a2") + &chunk(&event(2)) + &chunk(&event(3)) + "0\r\n\r\n"
        } else {
            response("a2", "500 Oops", "Content-Length: 4\r\n", "oops")
        };
        let (data, is_whole) = decode(&run(second, next).await);
        assert!(is_prefix_of_events(&data), "{data}");
        assert_eq!(is_whole, is_continued, "{data}");
    })
    .await;
}

/// Bytes that fit in the declared length, or in that of a chunk, cannot be told from the endpoint's
/// own; nothing else may reach the caller.
#[rstest]
#[tokio::test]
async fn a_late_copy_that_fits_in_a_stream_leaves_its_framing_sound(
    #[values("stream", "error", "call")] kind: &str,
    #[values("length", "until close", "one chunk")] framing: &str,
    #[values(0, 12, 20, 21)] offset: usize,
    #[values(true, false)] is_slow: bool,
) {
    run_local(async {
        let body = event(1) + &event(2) + &event(3);
        let length = body.len() + 200;
        let (headers, size) = match framing {
            "length" => (format!("Content-Length: {length}\r\n"), String::new()),
            "one chunk" => (
                "Transfer-Encoding: chunked\r\n".to_owned(),
                format!("{length:x}\r\n"),
            ),
            _ => (String::new(), String::new()),
        };
        let at = event(1).len() + offset;
        let part = size + &body[..at];
        let begun = response("a2", "200 OK", &(EVENTS.to_owned() + &headers), &part);
        let second = if is_slow {
            vec![begun, late(kind)]
        } else {
            vec![begun + &late(kind)]
        };
        let next = response("a2", "500 Oops", "Content-Length: 4\r\n", "oops");
        let (data, is_whole) = decode(&run(second, next).await);
        let sent = body[..at].to_owned() + &late(kind);
        assert!(
            data.starts_with(&event(1)) && sent.starts_with(&data),
            "{data}"
        );
        assert!(!is_whole || framing == "until close", "{data}");
    })
    .await;
}
