//! Streams that break off after the caller has got an event, and what follows them.

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::platform::tests::path::{connect, request, run_local, with_two_names};
use crate::platform::tests::scripted::{
    Step, TEST_TIMEOUT, answer, chunk, event, response, stream_head,
};

/// An endpoint's script: one event, then a reset.
fn broken_stream() -> Vec<Step> {
    broken_after(&event(1))
}

fn broken_after(events: &str) -> Vec<Step> {
    vec![
        Step::Read,
        Step::Write(stream_head("a1") + &chunk(events)),
        Step::Pause(30),
        Step::Reset,
    ]
}

/// Sends a request on a connection that may be kept, and reads until the gateway closes it.
async fn read_until_closed(address: std::net::SocketAddr, request: &str) -> String {
    let mut caller = connect(address).await;
    caller.write_all(request.as_bytes()).await.expect("sent");
    let mut text = Vec::new();
    timeout(TEST_TIMEOUT, caller.read_to_end(&mut text))
        .await
        .expect("the connection is closed")
        .expect("read");
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against the response of the next endpoint, or its end, in the middle of a stream.
#[rstest]
#[case::server_error(response("a1", "500 Oops", "Content-Length: 4\r\n", "oops"))]
#[case::server_error_in_chunks(response(
    "a1",
    "500 Oops",
    "Transfer-Encoding: chunked\r\n",
    "4\r\noops\r\n0\r\n\r\n"
))]
#[case::server_error_until_close(response("a1", "504 Late", "", "late"))]
#[case::server_error_without_receipt(
    "HTTP/1.1 500 Oops\r\nX-Cornelstand-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\noops".into()
)]
#[case::client_error(response("a1", "400 Bad Request", "Content-Length: 3\r\n", "bad"))]
#[case::redirect(response("a1", "302 Found", "Location: /b\r\nContent-Length: 0\r\n", ""))]
#[case::no_content(response("a1", "204 No Content", "", ""))]
#[case::not_modified(response("a1", "304 Not Modified", "", ""))]
#[case::other_media(response(
    "a1",
    "200 OK",
    "Content-Type: application/json\r\nContent-Length: 15\r\n",
    "{\"error\":\"no\"}\n"
))]
#[case::other_media_with_an_event(response(
    "a1",
    "200 OK",
    "Content-Type: text/html\r\nContent-Length: 10\r\n",
    "<p>no\n\n</p"
))]
#[case::partial_content(response(
    "a1",
    "206 Partial Content",
    "Content-Type: text/event-stream\r\nContent-Length: 21\r\n",
    "id: 2\ndata: piece 2\n\n"
))]
#[case::moved(response("a1", "421 Misdirected", "Content-Length: 0\r\n", ""))]
#[case::rejection(response(
    "a1",
    "503 Busy",
    "X-Cornelstand-Not-Executed: 1\r\nContent-Length: 4\r\n",
    "busy"
))]
#[case::success_without_receipt(
    "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: a1\r\nContent-Type: text/event-stream\r\n\
     Content-Length: 21\r\n\r\nid: 2\ndata: piece 2\n\n".into()
)]
#[case::encoded(response(
    "a1",
    "200 OK",
    "Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n",
    "\n\n\n\n"
))]
#[case::closed_before_an_event(response(
    "a1",
    "200 OK",
    "Content-Type: text/event-stream\r\n",
    ""
))]
#[case::two_lengths(response(
    "a1",
    "200 OK",
    "Content-Type: text/event-stream\r\nContent-Length: 2\r\nContent-Length: 2\r\n",
    "\n\n"
))]
#[case::no_http("who goes there\r\n\r\n".into())]
#[case::nothing(String::new())]
#[tokio::test]
async fn a_begun_stream_that_no_endpoint_continues_ends_visibly_incomplete(#[case] next: String) {
    run_local(async {
        let scripts = vec![broken_stream(), vec![Step::Read, Step::Write(next)]];
        let (gate, address, endpoint) = with_two_names(scripts).await;
        let text = read_until_closed(address, &request("/quote/1", "a1")).await;
        let (_, body) = text.split_once("\r\n\r\n").expect("a head");
        assert_eq!(body, chunk(&event(1)));
        assert_eq!(endpoint.count(), 2);
        assert_eq!(gate.metrics.outcomes.with_label_values(&["cut"]).get(), 1);
    })
    .await;
}

/// A stream whose endpoint broke off between its last event and its end.
#[rstest]
#[case::chunks("Transfer-Encoding: chunked\r\n", "0\r\n\r\n")]
#[case::length("Content-Length: 0\r\n", "")]
#[tokio::test]
async fn a_stream_with_no_event_left_is_completed(#[case] framing: &str, #[case] body: &str) {
    run_local(async {
        let headers = format!("Content-Type: text/event-stream\r\n{framing}");
        let rest = response("a1", "200 OK", &headers, body);
        let scripts = vec![broken_stream(), vec![Step::Read, Step::Write(rest)]];
        let (_gate, address, _endpoint) = with_two_names(scripts).await;
        let request = request("/quote/1", "a1");
        let request = request.replacen("Host:", "Connection: close\r\nHost:", 1);
        let text = read_until_closed(address, &request).await;
        let (_, body) = text.split_once("\r\n\r\n").expect("a head");
        assert_eq!(body, chunk(&event(1)) + "0\r\n\r\n");
    })
    .await;
}

/// An error of the first endpoint is kept for the case that no other one serves the request; it is
/// no answer once a stream has begun.
#[tokio::test]
async fn an_earlier_error_does_not_end_a_begun_stream() {
    run_local(async {
        let failed = response("a1", "500 Oops", "Content-Length: 4\r\n", "oops");
        let scripts = vec![vec![Step::Read, Step::Write(failed)], broken_stream()];
        let (_gate, address, endpoint) = with_two_names(scripts).await;
        let text = read_until_closed(address, &request("/quote/1", "a1")).await;
        let (_, body) = text.split_once("\r\n\r\n").expect("a head");
        assert_eq!(body, chunk(&event(1)));
        assert_eq!(endpoint.count(), 2);
    })
    .await;
}

/// The response to the next request must not be preceded by the end of a body that the response to
/// this one does not have.
#[rstest]
#[case::head("HEAD", stream_head("a1"))]
#[case::no_content("POST", response("a1", "204 No Content", "", ""))]
#[tokio::test]
async fn a_response_without_a_body_on_a_stream_route_has_no_chunks(
    #[case] method: &str,
    #[case] first: String,
) {
    run_local(async {
        let next = answer("a2", "Content-Type: text/event-stream\r\n", "id: 1\n\n");
        let script = |text| vec![Step::Read, Step::Write(text), Step::AwaitClose];
        let (_gate, address, _endpoint) = with_two_names(vec![script(first), script(next)]).await;
        let both = request("/quote/1", "a1").replacen("POST", method, 1)
            + &request("/quote/1", "a2").replacen("Host:", "Connection: close\r\nHost:", 1);
        let text = read_until_closed(address, &both).await;
        let (_, rest) = text.split_once("\r\n\r\n").expect("a head");
        assert!(rest.starts_with("HTTP/1.1 200 "), "{text}");
    })
    .await;
}

/// Guards against events that come twice, since another event than the last one is named.
#[rstest]
#[case::in_data("id: 6\ndata: x\n\nid: 7\ndata: to be paid: 10 EUR\n\n")]
#[case::in_a_comment("id: 7\ndata: x\n\n: id: 8\n\n")]
#[case::in_another_field("id: 7\nevent: id: 8\ndata: x\n\n")]
#[case::in_another_name("id: 7\nx-id: 8\nidx: 8\ndata: x\n\n")]
#[case::identifier_last("id: 6\ndata: x\n\ndata: y\nid: 7\n\n")]
#[case::no_space("id:7\ndata: id: 8\n\n")]
#[case::two_identifiers("id: 6\nid: 7\ndata: x\n\n")]
#[case::carriage_returns("id: 6\rdata: x\r\rid: 7\rdata: id: 8\r\r")]
#[case::both("id: 6\r\ndata: x\r\n\r\nid: 7\r\ndata: id: 8\r\n\r\n")]
#[case::byte_order_mark("\u{feff}id: 7\ndata: x\n\n")]
#[case::incomplete("id: 7\ndata: x\n\nid: 8\ndata: y\n")]
#[case::nul("id: 7\nid: 8\0\ndata: x\n\n")]
#[case::identifier_alone("id: 6\ndata: x\n\nid: 7\n\n")]
#[case::version_line("x-cornelstand-weight-versions: 3\nid: 7\ndata: id: 8\n\n")]
#[tokio::test]
async fn a_stream_is_resumed_after_the_last_event_whatever_its_form(#[case] events: &str) {
    run_local(async {
        let rest = stream_head("a1") + &chunk(&event(8)) + "0\r\n\r\n";
        let scripts = vec![broken_after(events), vec![Step::Read, Step::Write(rest)]];
        let (_gate, address, endpoint) = with_two_names(scripts).await;
        let request = request("/quote/1", "a1");
        let request = request.replacen("Host:", "Connection: close\r\nHost:", 1);
        let text = read_until_closed(address, &request).await;
        let (_, body) = text.split_once("\r\n\r\n").expect("a head");
        assert!(
            body.ends_with(&(chunk(&event(8)) + "0\r\n\r\n")),
            "{body:?}"
        );
        let resumed = endpoint.requests.borrow()[1].clone();
        assert!(resumed.contains("\r\nlast-event-id: 7\r\n"), "{resumed}");
    })
    .await;
}

/// Guards against events that come twice, since the last one cannot be named.
#[rstest]
#[case::no_identifier("data: x\n\n")]
#[case::an_earlier_identifier("id: 7\ndata: x\n\ndata: y\n\n")]
#[case::empty_data("id: 7\ndata: x\n\ndata\n\n")]
#[case::reset("id: 7\ndata: x\n\nid\ndata: y\n\n")]
#[case::long(&format!("id: 7\ndata: x\n\nid: {}\ndata: y\n\n", "9".repeat(200)))]
#[case::control_character("id: 7\ndata: x\n\nid: 8\u{1}\ndata: y\n\n")]
#[case::nul("id: 7\ndata: x\n\nid: 8\0\ndata: y\n\n")]
#[tokio::test]
async fn a_stream_whose_last_event_cannot_be_named_is_cut(#[case] events: &str) {
    run_local(async {
        let rest = stream_head("a1") + &chunk(events) + "0\r\n\r\n";
        let scripts = vec![broken_after(events), vec![Step::Read, Step::Write(rest)]];
        let (_gate, address, endpoint) = with_two_names(scripts).await;
        let text = read_until_closed(address, &request("/quote/1", "a1")).await;
        let (_, body) = text.split_once("\r\n\r\n").expect("a head");
        assert_eq!(body, chunk(events));
        assert_eq!(endpoint.count(), 1);
    })
    .await;
}

/// Comments carry nothing that a second copy of the stream would repeat.
#[tokio::test]
async fn a_stream_that_broke_off_before_its_first_data_is_sent_elsewhere() {
    run_local(async {
        let whole = stream_head("a1") + &chunk(&event(1)) + "0\r\n\r\n";
        let scripts = vec![
            broken_after(": hello\n\nretry: 100\n\n"),
            vec![Step::Read, Step::Write(whole)],
        ];
        let (_gate, address, endpoint) = with_two_names(scripts).await;
        let request = request("/quote/1", "a1");
        let request = request.replacen("Host:", "Connection: close\r\nHost:", 1);
        let text = read_until_closed(address, &request).await;
        assert!(text.ends_with(&(chunk(&event(1)) + "0\r\n\r\n")), "{text}");
        assert!(!endpoint.requests.borrow()[1].contains("last-event-id"));
    })
    .await;
}

/// Guards against events that are held back until the stream ends, and a second run for silence.
#[rstest]
#[case::line_feeds("id: 1\ndata: x\n\n")]
#[case::both("id: 1\r\ndata: x\r\n\r\n")]
#[case::carriage_returns("id: 1\rdata: x\r\r")]
#[tokio::test]
async fn an_event_is_passed_on_at_once_whatever_ends_its_lines(#[case] event: &str) {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(stream_head("a1") + &chunk(event)),
            Step::AwaitClose,
        ];
        let (_gate, address, endpoint) = with_two_names(vec![script]).await;
        let mut caller = connect(address).await;
        let request = request("/quote/1", "a1");
        caller.write_all(request.as_bytes()).await.expect("sent");
        let mut text = Vec::new();
        let read = async {
            while !text.ends_with(chunk(event).as_bytes()) {
                caller.read_buf(&mut text).await.expect("read");
            }
        };
        timeout(std::time::Duration::from_secs(1), read)
            .await
            .expect("the event arrives");
        assert_eq!(endpoint.count(), 1);
    })
    .await;
}
