//! Parsing of heads and bodies, and rejection of ambiguous framing.

use bytes::BytesMut;
use rstest::rstest;

use crate::gateway::message::{Head, MessageError};

const LIMIT: usize = 1_024;

fn request(text: &str) -> Result<Option<Head>, MessageError> {
    Head::parse_request(&mut BytesMut::from(text), LIMIT)
}

#[rstest]
#[case::two_lengths("content-length: 3\r\ncontent-length: 3\r\n")]
#[case::length_with_chunks("content-length: 3\r\ntransfer-encoding: chunked\r\n")]
#[case::unknown_coding("transfer-encoding: gzip, chunked\r\n")]
#[case::two_codings("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n")]
#[case::signed_length("content-length: +3\r\n")]
#[case::list_of_lengths("content-length: 3, 3\r\n")]
#[case::empty_length("content-length:\r\n")]
fn ambiguous_framing_is_refused(#[case] headers: &str) {
    let head = request(&format!("POST /a/ HTTP/1.1\r\nhost: h\r\n{headers}\r\n"));
    let head = head
        .expect("the head is well formed")
        .expect("and complete");
    assert_eq!(head.request_body().err(), Some(MessageError::BadFraming));
}

#[rstest]
#[case::folded("GET / HTTP/1.1\r\nhost: h\r\n folded\r\n\r\n")]
#[case::space_before_colon("GET / HTTP/1.1\r\nhost : h\r\n\r\n")]
#[case::no_http("\u{1}\u{2}\u{3}\r\n\r\n")]
#[case::version("GET / HTTP/3.7\r\n\r\n")]
fn malformed_heads_are_refused(#[case] text: &str) {
    assert_eq!(request(text).err(), Some(MessageError::BadHead));
}

#[test]
fn a_flood_of_headers_is_refused_before_it_is_complete() {
    let text = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(LIMIT));
    assert_eq!(request(&text).err(), Some(MessageError::HeadTooLarge));
}

#[test]
fn an_incomplete_head_waits_for_more() {
    assert!(request("GET / HTTP/1.1\r\nhost:").is_ok_and(|h| h.is_none()));
}

#[rstest]
#[case::at_once(usize::MAX)]
#[case::byte_by_byte(1)]
#[case::by_threes(3)]
fn a_chunked_body_is_read_whatever_its_pieces(#[case] step: usize) {
    let head = request("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n");
    let head = head.expect("valid").expect("complete");
    let mut body = head.request_body().expect("framed");
    let wire = b"4;x=y\r\nab\r\n\r\n1\r\nc\r\n0\r\ntrailer: t\r\n\r\nNEXT";
    let (mut input, mut output) = (BytesMut::new(), BytesMut::new());
    for piece in wire.chunks(step.min(wire.len())) {
        input.extend_from_slice(piece);
        body.read(&mut input, &mut output).expect("well framed");
    }
    assert!(body.is_done());
    assert_eq!(&output[..], b"ab\r\nc");
    assert_eq!(&input[..], b"NEXT");
}

#[rstest]
#[case::no_size("\r\nab")]
#[case::bare_newline("2\nab\r\n")]
#[case::long_size("ffffffffffffffff\r\n")]
#[case::too_many_bytes("2\r\nabc\r\n")]
#[case::negative("-2\r\nab\r\n")]
fn badly_framed_chunks_are_refused(#[case] wire: &str) {
    let head = request("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n");
    let mut body = head
        .expect("valid")
        .expect("complete")
        .request_body()
        .expect("framed");
    let (mut input, mut output) = (BytesMut::from(wire), BytesMut::new());
    assert_eq!(
        body.read(&mut input, &mut output),
        Err(MessageError::BadFraming)
    );
}

#[test]
fn a_body_without_length_ends_with_its_connection() {
    let mut input = BytesMut::from("HTTP/1.1 200 OK\r\nx: y\r\n\r\nabc");
    let head = Head::parse_response(&mut input, LIMIT)
        .expect("valid")
        .expect("complete");
    let mut body = head.answer_body("GET").expect("framed");
    let mut output = BytesMut::new();
    body.read(&mut input, &mut output).expect("read");
    assert!(body.is_until_close() && !body.is_done());
    assert_eq!(&output[..], b"abc");
}

#[test]
fn an_answer_to_head_has_no_body() {
    let mut input = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n");
    let head = Head::parse_response(&mut input, LIMIT)
        .expect("valid")
        .expect("complete");
    assert!(head.answer_body("HEAD").expect("framed").is_done());
}
