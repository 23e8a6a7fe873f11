//! Events in all forms that the standard allows, whatever the pieces in which they come.

use bytes::Buf;
use rstest::rstest;

use crate::sse::{Events, Splitter};

/// Events of `text`, taken after each `step` bytes, each as its bytes, identifier and data.
fn events(text: &str, step: usize) -> Vec<String> {
    let mut splitter = Splitter::default();
    let mut all = Vec::new();
    for piece in text.as_bytes().chunks(step) {
        splitter.buffer().extend_from_slice(piece);
        all.extend(describe(&splitter.take(false)));
    }
    all.extend(describe(&splitter.take(true)));
    all
}

fn describe(events: &Events) -> Vec<String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    events
        .iter()
        .filter(|e| e.id.is_some() || e.data.is_some())
        .map(|e| {
            format!(
                "id {:?}, data {:?}",
                e.id.map(text),
                e.data.as_deref().map(text)
            )
        })
        .collect()
}

#[rstest]
#[case::plain("id: 7\ndata: x\n\n")]
#[case::identifier_last("data: x\nid: 7\n\n")]
#[case::no_space("id:7\ndata:x\n\n")]
#[case::two_identifiers("id: 6\nid: 7\ndata: x\n\n")]
#[case::carriage_returns("id: 7\rdata: x\r\r")]
#[case::both("id: 7\r\ndata: x\r\n\r\n")]
#[case::mixed("id: 7\rdata: x\r\n\n")]
#[case::bare_blank_line("id: 7\r\ndata: x\r\n\r")]
#[case::byte_order_mark("\u{feff}id: 7\ndata: x\n\n")]
#[case::comments(": id: 8\nid: 7\n:data: y\ndata: x\n\n: id: 9\n\n")]
#[case::other_fields("event: id: 8\nid: 7\ndata: x\nretry: 9\nid8\nID: 8\nidx: 8\nx-id: 8\n\n")]
#[case::nul("id: 7\nid: 8\0\ndata: x\n\n")]
#[case::blank_lines("\n\r\n\rid: 7\ndata: x\n\n\n\n")]
#[case::incomplete("id: 7\ndata: x\n\nid: 8\ndata: y\n")]
fn an_event_is_read_alike_in_all_its_forms(#[case] text: &str) {
    let expected = [r#"id Some("7"), data Some("x")"#];
    for step in [1, 2, 3, usize::MAX] {
        assert_eq!(events(text, step), expected, "in pieces of {step} bytes");
    }
}

#[rstest]
#[case::in_data(
    "data: to be paid: 10 EUR\n\n",
    r#"id None, data Some("to be paid: 10 EUR")"#
)]
#[case::in_a_further_line("data: a\ndata: id: 3\n\n", r#"id None, data Some("a\nid: 3")"#)]
#[case::reset("id\ndata: x\n\n", r#"id Some(""), data Some("x")"#)]
#[case::empty_data("data\n\n", r#"id None, data Some("")"#)]
#[case::two_spaces("data:  x\n\n", r#"id None, data Some(" x")"#)]
#[case::identifier_only("id: 8\n\n", r#"id Some("8"), data None"#)]
#[case::mark_inside("data: x\n\u{feff}id: 8\n\n", r#"id None, data Some("x")"#)]
fn fields_are_whole_lines(#[case] text: &str, #[case] expected: &str) {
    for step in [1, usize::MAX] {
        assert_eq!(events(text, step), [expected], "in pieces of {step} bytes");
    }
}

#[rstest]
#[case::line_feeds("data: x\n\n")]
#[case::carriage_returns("data: x\r\r")]
#[case::both("data: x\r\n\r\n")]
#[case::mixed("data: x\r\n\n")]
fn an_event_is_complete_without_any_byte_of_the_next(#[case] text: &str) {
    let mut splitter = Splitter::default();
    splitter.buffer().extend_from_slice(text.as_bytes());
    assert_eq!(splitter.take(false).bytes, text);
    assert!(splitter.pending().is_empty());
}

#[test]
fn the_byte_order_mark_of_a_resumed_stream_is_dropped() {
    let mut splitter = Splitter::resumed();
    splitter
        .buffer()
        .extend_from_slice("\u{feff}id: 8\n\n\u{feff}x\n\n".as_bytes());
    let mut bytes = splitter.take(false).bytes;
    assert_eq!(bytes.copy_to_bytes(7), "id: 8\n\n");
    assert_eq!(bytes, "\u{feff}x\n\n");
}
