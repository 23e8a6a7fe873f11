//! Responses that end at any byte, for each kind of route and framing.

use std::net::SocketAddr;

use bytes::BytesMut;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::gateway::message::Head;
use crate::gateway::tests::{MODELS, ORDERS, gate, record};
use crate::platform::tests::path::{connect, listen, request, run_local, with_orders};
use crate::platform::tests::scripted::{
    Endpoint, Step, TEST_TIMEOUT, answer, chunk, event, own_loopback, response, stream_head,
};

const LENGTH: &str = "Content-Length: 6\r\n";
const CHUNKS: &str = "Transfer-Encoding: chunked\r\n";
const UNTIL_CLOSE: &str = "";
/// Interim response before the head.
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
const EVENTS: &str = "Content-Type: text/event-stream\r\n";

/// What a caller got until its connection ended.
pub(crate) struct Received {
    pub(crate) bytes: Vec<u8>,
    is_reset: bool,
}

impl Received {
    /// Status and body of the only response, or nothing if it is visibly incomplete.
    pub(crate) fn whole(&self) -> Option<(u16, String)> {
        let mut input = BytesMut::from(&self.bytes[..]);
        let head = Head::parse_response(&mut input, usize::MAX).expect("a head")?;
        let mut reader = head.answer_body("POST").expect("known framing");
        let mut body = BytesMut::new();
        reader.read(&mut input, &mut body).expect("sound framing");
        assert!(
            input.is_empty() || !reader.is_done(),
            "bytes after the response: {input:?}"
        );
        let is_whole = reader.is_done() || (reader.is_until_close() && !self.is_reset);
        let body = String::from_utf8_lossy(&body).into_owned();
        is_whole.then(|| (head.status(), body))
    }
}

/// Sends bytes and reads until the connection ends.
pub(crate) async fn send(address: SocketAddr, bytes: &str) -> Received {
    let mut caller = connect(address).await;
    caller.write_all(bytes.as_bytes()).await.expect("sent");
    let mut bytes = Vec::new();
    let read = timeout(TEST_TIMEOUT, caller.read_to_end(&mut bytes)).await;
    let is_reset = read.expect("the connection ends").is_err();
    Received { bytes, is_reset }
}

/// Sends a request of a caller that speaks HTTP/1.`minor` to a gateway with one endpoint under two
/// names.
pub(crate) async fn run(path: &str, minor: u8, scripts: Vec<Vec<Step>>) -> (Received, Endpoint) {
    let endpoint = Endpoint::start(scripts).await;
    let service = match path {
        "/book/1" | "/stock/1" => ORDERS,
        _ => MODELS,
    };
    let records = ["e-0", "e-1"].map(|name| record(name, service, endpoint.address));
    let address = listen(&gate("one", records.to_vec())).await;
    let request = request(path, "a1")
        .replacen("HTTP/1.1", &format!("HTTP/1.{minor}"), 1)
        .replacen("Host:", "Connection: close\r\nHost:", 1);
    (send(address, &request).await, endpoint)
}

/// Script of an endpoint that stops after the first `length` bytes of its response.
pub(crate) fn cut(whole: &str, length: usize, is_reset: bool) -> Vec<Step> {
    let mut script = vec![Step::Read, Step::Write(whole[..length].to_owned())];
    if is_reset {
        script.push(Step::Reset);
    }
    script
}

/// Runs `test` for each length of a part of a response, with an orderly close and with a reset.
async fn for_each_cut<F: Future<Output = ()> + 'static>(
    lengths: std::ops::Range<usize>,
    test: impl Fn(usize, bool) -> F,
) {
    run_local(async {
        let mut tests = JoinSet::new();
        for length in lengths {
            for is_reset in [false, true] {
                tests.spawn_local(test(length, is_reset));
            }
        }
        while let Some(ended) = tests.join_next().await {
            ended.expect("each cut is handled");
        }
    })
    .await;
}

/// A response to a call, and its body on the wire.
fn call_response(status: &str, framing: &str) -> (String, String) {
    let body = match framing {
        CHUNKS => "3\r\nans\r\n3;x=y\r\nwer\r\n0\r\nX-Trailer: y\r\n\r\n",
        _ => "answer",
    };
    (response("a1", status, framing, ""), body.to_owned())
}

/// Three events, and the length on the wire from which each of them is complete.
fn stream_response(framing: &str) -> (String, String, [usize; 3]) {
    let mut body = String::new();
    let ends = [1, 2, 3].map(|number| {
        let event = event(number);
        if framing == CHUNKS {
            body += &chunk(&event);
            body.len() - 2
        } else {
            body += &event;
            body.len()
        }
    });
    let framing = match framing {
        LENGTH => format!("Content-Length: {}\r\n", body.len()),
        other => other.to_owned(),
    };
    if framing == CHUNKS {
        body += "0\r\nX-Trailer: y\r\n\r\n";
    }
    let head = response("a1", "200 OK", &(EVENTS.to_owned() + &framing), "");
    (head, body, ends)
}

fn all_events() -> String {
    event(1) + &event(2) + &event(3)
}

/// Guards against a response made of a part of a head, and against a refusal of what may have run.
#[rstest]
#[tokio::test]
async fn a_call_whose_response_ends_within_its_head_is_lost(
    #[values(LENGTH, CHUNKS, UNTIL_CLOSE)] framing: &'static str,
    #[values(("200 OK", ""), ("200 OK", INTERIM), ("503 Busy", ""))] (status, interim): (
        &'static str,
        &'static str,
    ),
    #[values(0, 1)] minor: u8,
) {
    let not_run = if status == "503 Busy" {
        "X-Cornelstand-Not-Executed: 1\r\nRetry-After: 0\r\n"
    } else {
        ""
    };
    let head = interim.to_owned() + &response("a1", status, &(not_run.to_owned() + framing), "");
    for_each_cut(0..head.len(), |length, is_reset| {
        let head = head.clone();
        async move {
            let once = cut(&head, length, is_reset);
            let (received, endpoint) = run("/book/1", minor, vec![once.clone(), once]).await;
            let (status, _) = received.whole().expect("a response");
            assert_eq!(
                (status, endpoint.count()),
                (502, 1),
                "cut at {length}: {:?}",
                endpoint.requests.borrow()
            );
        }
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn an_idempotent_call_whose_response_ends_within_its_head_is_sent_elsewhere(
    #[values(LENGTH, CHUNKS, UNTIL_CLOSE)] framing: &'static str,
    #[values(0, 1)] minor: u8,
) {
    let (head, _) = call_response("200 OK", framing);
    for_each_cut(0..head.len(), |length, is_reset| {
        let first = cut(&head, length, is_reset);
        async move {
            let next = vec![Step::Read, Step::Write(answer("a1", "", "done"))];
            let (received, _endpoint) = run("/stock/1", minor, vec![first, next]).await;
            let expected = Some((200, "done".to_owned()));
            assert_eq!(received.whole(), expected, "cut at {length}");
        }
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn a_stream_whose_response_ends_within_its_head_is_lost_or_sent_elsewhere(
    #[values(LENGTH, CHUNKS, UNTIL_CLOSE)] framing: &'static str,
    #[values("/digest/1", "/quote/1")] path: &'static str,
    #[values(0, 1)] minor: u8,
) {
    let (head, body, _) = stream_response(framing);
    for_each_cut(0..head.len(), |length, is_reset| {
        let scripts = vec![
            cut(&head, length, is_reset),
            vec![Step::Read, Step::Write(head.clone() + &body)],
        ];
        async move {
            let (received, _endpoint) = run(path, minor, scripts).await;
            let (status, body) = received.whole().expect("a response");
            let expected = if path == "/quote/1" {
                (200, all_events())
            } else {
                (502, "the answer was lost\n".to_owned())
            };
            assert_eq!((status, body), expected, "cut at {length}");
        }
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn a_begun_stream_whose_continuation_ends_within_its_head_is_visibly_incomplete(
    #[values(LENGTH, CHUNKS, UNTIL_CLOSE)] framing: &'static str,
    #[values(("200 OK", ""), ("500 Oops", INTERIM), ("503 Busy", ""))] (status, interim): (
        &'static str,
        &'static str,
    ),
    #[values(0, 1)] minor: u8,
) {
    let not_run = if status == "503 Busy" {
        "X-Cornelstand-Not-Executed: 1\r\n"
    } else {
        ""
    };
    let headers = EVENTS.to_owned() + not_run + framing;
    let head = interim.to_owned() + &response("a1", status, &headers, "");
    for_each_cut(0..head.len(), |length, is_reset| {
        let broken = stream_head("a1") + &chunk(&event(1));
        let scripts = vec![
            cut(&broken, broken.len(), is_reset),
            cut(&head, length, is_reset),
        ];
        async move {
            let (received, endpoint) = run("/quote/1", minor, scripts).await;
            assert_eq!(received.whole(), None, "cut at {length}");
            let text = String::from_utf8_lossy(&received.bytes);
            assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
            assert_eq!(text.matches("piece 1").count(), 1, "{text}");
            assert_eq!(endpoint.count(), 2);
        }
    })
    .await;
}

/// Without length or chunks, an orderly close is the end of the body.
#[rstest]
#[tokio::test]
async fn a_call_whose_response_ends_within_its_body_is_lost(
    #[values(LENGTH, CHUNKS, UNTIL_CLOSE)] framing: &'static str,
    #[values("200 OK", "404 Not Found", "500 Oops", "503 Busy")] status: &'static str,
    #[values(0, 1)] minor: u8,
) {
    let headers = if status == "503 Busy" {
        "X-Cornelstand-Not-Executed: 1\r\n".to_owned() + framing
    } else {
        framing.to_owned()
    };
    let (head, body) = call_response(status, &headers);
    let body = if framing == CHUNKS {
        call_response(status, CHUNKS).1
    } else {
        body
    };
    for_each_cut(0..body.len(), |length, is_reset| {
        let whole = head.clone() + &body;
        let once = cut(&whole, head.len() + length, is_reset);
        async move {
            if framing == UNTIL_CLOSE && !is_reset {
                return;
            }
            let (received, endpoint) = run("/book/1", minor, vec![once.clone(), once]).await;
            let (status, _) = received.whole().expect("a response");
            assert_eq!((status, endpoint.count()), (502, 1), "cut at {length}");
        }
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn a_stream_that_ends_within_its_body_is_visibly_incomplete(
    #[values(LENGTH, CHUNKS, UNTIL_CLOSE)] framing: &'static str,
    #[values(0, 1)] minor: u8,
) {
    let (head, body, ends) = stream_response(framing);
    for_each_cut(0..body.len(), |length, is_reset| {
        let whole = head.clone() + &body;
        let once = cut(&whole, head.len() + length, is_reset);
        async move {
            if framing == UNTIL_CLOSE && !is_reset {
                return;
            }
            let (received, endpoint) = run("/digest/1", minor, vec![once.clone(), once]).await;
            let got = received.whole();
            if length < ends[0] {
                assert_eq!(got.expect("a response").0, 502, "cut at {length}");
            } else {
                assert_eq!(got, None, "cut at {length}");
            }
            assert_eq!(endpoint.count(), 1);
        }
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn a_stream_that_ends_within_its_body_is_continued_without_a_gap(
    #[values(LENGTH, CHUNKS, UNTIL_CLOSE)] framing: &'static str,
    #[values(0, 1)] minor: u8,
) {
    let (head, body, ends) = stream_response(framing);
    for_each_cut(0..body.len(), |length, is_reset| {
        let whole = head.clone() + &body;
        let first = cut(&whole, head.len() + length, is_reset);
        async move {
            if framing == UNTIL_CLOSE && !is_reset {
                return;
            }
            let passed = ends.iter().filter(|end| length >= **end).count();
            let rest: Vec<String> = [1, 2, 3].map(event)[passed..].to_vec();
            let rest = stream_head("a1") + &rest.iter().map(|e| chunk(e)).collect::<String>();
            let next = vec![Step::Read, Step::Write(rest + "0\r\n\r\n")];
            let (received, endpoint) = run("/quote/1", minor, vec![first, next]).await;
            let expected = Some((200, all_events()));
            assert_eq!(received.whole(), expected, "cut at {length}");
            let resumed =
                endpoint.requests.borrow()[1].contains(&format!("last-event-id: {passed}\r\n"));
            assert_eq!(resumed, passed > 0, "cut at {length}");
        }
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn a_continuation_that_ends_within_its_body_is_visibly_incomplete(
    #[values(LENGTH, CHUNKS, UNTIL_CLOSE)] framing: &'static str,
    #[values(0, 1)] minor: u8,
) {
    let (head, body, _) = stream_response(framing);
    for_each_cut(0..body.len(), |length, is_reset| {
        let broken = stream_head("a1") + &chunk("id: 0\ndata: piece 0\n\n");
        let whole = head.clone() + &body;
        let scripts = vec![
            cut(&broken, broken.len(), is_reset),
            cut(&whole, head.len() + length, is_reset),
        ];
        async move {
            if framing == UNTIL_CLOSE && !is_reset {
                return;
            }
            let (received, endpoint) = run("/quote/1", minor, scripts).await;
            assert_eq!(received.whole(), None, "cut at {length}");
            assert_eq!(endpoint.count(), 2);
        }
    })
    .await;
}

/// The endpoint answers before it has read the request, so that writing fails first.
#[rstest]
#[case::call("/book/1", "", "half")]
#[case::stream("/digest/1", EVENTS, "id: 1\ndata: piece 1\n\n")]
#[tokio::test]
async fn a_response_that_is_reset_while_the_request_is_sent_is_not_taken_for_complete(
    #[case] path: &'static str,
    #[case] media: &'static str,
    #[case] part: &'static str,
) {
    run_local(async {
        let listener = TcpListener::bind((own_loopback(), 0))
            .await
            .expect("loopback");
        SockRef::from(&listener)
            .set_recv_buffer_size(16 * 1024)
            .expect("a socket option");
        let endpoint = listener.local_addr().expect("bound");
        let text = response("a1", "200 OK", media, part);
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            tokio::time::sleep(std::time::Duration::from_millis(200)).await;
            stream.write_all(text.as_bytes()).await.expect("written");
            SockRef::from(&stream)
                .set_linger(Some(std::time::Duration::ZERO))
                .expect("a socket option");
        });
        let service = if path == "/book/1" { ORDERS } else { MODELS };
        let address = listen(&gate("one", vec![record("e-0", service, endpoint)])).await;
        let body = "y".repeat(3_900_000);
        let large = request(path, "a1")
            .replacen(
                "Content-Length: 4\r\n\r\nbody",
                &format!("Content-Length: {}\r\n\r\n{body}", body.len()),
                1,
            )
            .replacen("Host:", "Connection: close\r\nHost:", 1);
        let received = send(address, &large).await;
        let whole = received.whole();
        assert!(whole.as_ref().is_none_or(|w| w.0 == 502), "{whole:?}");
    })
    .await;
}

/// A pipelined request is answered after a whole response only.
#[rstest]
#[case::own_response(String::new())]
#[case::error(response("a1", "500 Oops", LENGTH, "answer"))]
#[case::error_cut(response("a1", "500 Oops", LENGTH, "answ"))]
#[case::rejection(response(
    "a1",
    "503 Busy",
    "X-Cornelstand-Not-Executed: 1\r\nContent-Length: 0\r\n",
    ""
))]
#[case::success_cut(response("a1", "200 OK", LENGTH, "answ"))]
#[tokio::test]
async fn a_pipelined_request_gets_its_own_response_after_a_failed_one(#[case] first: String) {
    run_local(async {
        let scripts = vec![
            vec![Step::Read, Step::Write(first)],
            vec![Step::Read, Step::Write(answer("a2", "", "second"))],
        ];
        let (_gate, address, _endpoint) = with_orders(scripts).await;
        let both = request("/book/1", "a1")
            + &request("/book/2", "a2").replacen("Host:", "Connection: close\r\nHost:", 1);
        let received = send(address, &both).await;
        let text = String::from_utf8_lossy(&received.bytes);
        assert_eq!(text.matches("HTTP/1.1").count(), 2, "{text}");
        assert!(text.ends_with("\r\n\r\nsecond"), "{text}");
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn a_pipelined_request_gets_no_response_after_a_broken_stream(
    #[values("/digest/1", "/quote/1")] path: &'static str,
    #[values(0, 1)] minor: u8,
) {
    run_local(async {
        let broken = stream_head("a1") + &chunk(&event(1));
        let failed = response("a1", "500 Oops", LENGTH, "answer");
        let scripts = vec![
            cut(&broken, broken.len(), true),
            vec![Step::Read, Step::Write(failed)],
            vec![Step::Read, Step::Write(stream_head("a2") + "0\r\n\r\n")],
        ];
        let endpoint = Endpoint::start(scripts).await;
        let records = ["e-0", "e-1"].map(|name| record(name, MODELS, endpoint.address));
        let address = listen(&gate("one", records.to_vec())).await;
        let version = format!("HTTP/1.{minor}\r\nConnection: keep-alive");
        let both = request(path, "a1") + &request("/digest/1", "a2");
        let received = send(address, &both.replace("HTTP/1.1", &version)).await;
        assert_eq!(received.whole(), None);
        let text = String::from_utf8_lossy(&received.bytes);
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    })
    .await;
}
