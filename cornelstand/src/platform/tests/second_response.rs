//! Responses to one request that different paths send on the caller's connection.

use bytes::{Bytes, BytesMut};
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::call::{Refused, send_own_response};
use crate::gateway::message::Head;
use crate::gateway::outlet::{OnDeath, ResponseWriter, SendError};
use crate::gateway::tests::gate;
use crate::platform::tests::path::connect;
use crate::platform::tests::scripted::{answer, chunk, event, own_loopback, response, stream_head};

const EVENTS: &str = "Content-Type: text/event-stream\r\nContent-Length: 0\r\n";

/// A caller's connection during a request, and the caller's end of it.
async fn pair() -> (ResponseWriter, TcpStream) {
    let listener = TcpListener::bind((own_loopback(), 0))
        .await
        .expect("loopback");
    let caller = connect(listener.local_addr().expect("bound")).await;
    let (stream, _) = listener.accept().await.expect("accepted");
    let mut writer = ResponseWriter::new(stream, OnDeath::Close);
    assert!(writer.next_request());
    (writer, caller)
}

fn parse(text: &str) -> Head {
    let head = Head::parse_response(&mut BytesMut::from(text.as_bytes()), usize::MAX);
    head.expect("a head").expect("a whole head")
}

async fn send_event(writer: &mut ResponseWriter, head: &Head, is_end: bool) {
    let event = event(1);
    let sent = writer.send_stream(head, &[event.as_bytes()], is_end).await;
    sent.expect("sent");
}

/// Ends the connection after its last response. Returns what the caller got, without the heads.
async fn bodies(mut writer: ResponseWriter, mut caller: TcpStream) -> (usize, String) {
    assert!(!writer.next_request(), "the connection is kept");
    drop(writer);
    let mut text = String::new();
    caller.read_to_string(&mut text).await.expect("read");
    let (_, body) = text.split_once("\r\n\r\n").expect("a head");
    (text.matches("HTTP/1.1").count(), body.to_owned())
}

#[rstest]
#[case::own(500, "oops")]
#[case::refusal(503, "busy")]
#[tokio::test]
async fn a_response_of_the_gateway_does_not_follow_another_one(
    #[case] status: u16,
    #[case] reason: &'static str,
) {
    let gate = gate("one", Vec::new());
    let (mut writer, caller) = pair().await;
    for refused in [
        Refused::new(502, "the answer was lost", None),
        Refused::new(status, reason, None),
    ] {
        send_own_response(&gate, &mut writer, &Bytes::new(), &refused).await;
    }
    let expected = (1, "the answer was lost\n".to_owned());
    assert_eq!(bodies(writer, caller).await, expected);
}

#[tokio::test]
async fn a_response_of_the_gateway_does_not_follow_a_begun_stream() {
    let gate = gate("one", Vec::new());
    let (mut writer, caller) = pair().await;
    let head = parse(&stream_head("a1"));
    send_event(&mut writer, &head, false).await;
    let refused = Refused::new(502, "the answer was lost", None);
    send_own_response(&gate, &mut writer, &Bytes::new(), &refused).await;
    assert_eq!(bodies(writer, caller).await, (1, chunk(&event(1))));
}

/// Nothing but events of a response that goes on with the stream may follow.
#[rstest]
#[case::error(response("a1", "500 Oops", "Content-Length: 0\r\n", ""))]
#[case::other_status(response("a1", "206 Partial Content", EVENTS, ""))]
#[case::other_media(answer("a1", "Content-Type: text/html\r\n", ""))]
#[tokio::test]
async fn another_response_does_not_follow_a_begun_stream(#[case] next: String) {
    let (mut writer, caller) = pair().await;
    let head = parse(&stream_head("a1"));
    send_event(&mut writer, &head, false).await;
    let sent = writer.send_whole(next.as_bytes()).await;
    assert_eq!(sent, Err(SendError::OtherBegun));
    let sent = writer.send_stream(&parse(&next), &[b"oops"], true).await;
    assert_eq!(sent, Err(SendError::OtherBegun));
    let sent = writer.send_interim(next.as_bytes()).await;
    assert_eq!(sent, Err(SendError::OtherBegun));
    assert_eq!(bodies(writer, caller).await, (1, chunk(&event(1))));
}

#[tokio::test]
async fn nothing_follows_a_complete_stream_before_the_next_request() {
    let (mut writer, mut caller) = pair().await;
    let head = parse(&stream_head("a1"));
    send_event(&mut writer, &head, true).await;
    assert!(writer.next_request());
    let whole = answer("a2", "", "second");
    assert_eq!(writer.send_whole(whole.as_bytes()).await, Ok(()));
    let more = writer.send_stream(&head, &[b"oops"], true).await;
    assert_eq!(more, Err(SendError::OtherBegun));
    assert!(!writer.next_request());
    drop(writer);
    let mut text = String::new();
    caller.read_to_string(&mut text).await.expect("read");
    assert!(text.ends_with(&("0\r\n\r\n".to_owned() + &whole)), "{text}");
}

/// An orderly close would be the end of such a response.
#[rstest]
#[case::incomplete(false)]
#[case::whole(true)]
#[tokio::test]
async fn a_response_without_chunks_is_reset_unless_its_end_was_sent(#[case] is_end: bool) {
    let (mut writer, mut caller) = pair().await;
    writer.lacks_chunking = true;
    let head = parse(&response("a1", "200 OK", EVENTS, ""));
    send_event(&mut writer, &head, is_end).await;
    drop(writer);
    let mut text = Vec::new();
    assert_eq!(caller.read_to_end(&mut text).await.is_ok(), is_end);
}
