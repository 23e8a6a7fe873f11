//! Parsers of input from callers and endpoints, on valid and arbitrary bytes.

use std::time::Duration;

use cornelstand::{
    EVENT_BYTES, HeaderError, PathError, Scanner, SseError, Wishes, bearer_key, split_path,
};
use http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

pub(crate) fn run<S: Strategy>(strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, test)
        .unwrap();
}

fn header(name: &'static str, value: &str) -> HeaderMap {
    let name = HeaderName::from_static(name);
    HeaderMap::from_iter([(name, HeaderValue::from_str(value).unwrap())])
}

#[test]
fn wishes_are_read() {
    let mut headers = header("idempotency-key", "gel-1");
    headers.extend(header("x-cost-hint", "250"));
    headers.extend(header("x-deadline-ms", "1500"));
    let wishes = Wishes {
        key: Some("gel-1".to_owned()),
        hint: Some(250),
        deadline: Some(Duration::from_millis(1_500)),
    };
    assert_eq!(Wishes::parse(&headers), Ok(wishes));
}

#[rstest]
#[case("idempotency-key", "", "idempotency-key has 0 bytes, not 1 to 128")]
#[case(
    "idempotency-key",
    "a b",
    "idempotency-key has characters other than visible ASCII"
)]
#[case(
    "x-cost-hint",
    "-1",
    "x-cost-hint is no whole number from 1 to 10000000"
)]
#[case(
    "x-cost-hint",
    "+1",
    "x-cost-hint is no whole number from 1 to 10000000"
)]
#[case(
    "x-cost-hint",
    "10000001",
    "x-cost-hint is no whole number from 1 to 10000000"
)]
#[case(
    "x-deadline-ms",
    "1e3",
    "x-deadline-ms is no whole number from 1 to 86400000"
)]
fn a_bad_wish_is_named(#[case] name: &'static str, #[case] value: &str, #[case] error: &str) {
    let parsed = Wishes::parse(&header(name, value));
    assert_eq!(parsed.unwrap_err().to_string(), error);
}

#[test]
fn a_header_given_twice_is_refused() {
    let mut headers = header("idempotency-key", "gel-1");
    headers.append("idempotency-key", HeaderValue::from_static("gel-2"));
    let name = HeaderName::from_static("idempotency-key");
    assert_eq!(
        Wishes::parse(&headers),
        Err(HeaderError::Duplicate { name })
    );
}

#[test]
fn arbitrary_headers_never_panic_and_stay_bounded() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..400);
    run((bytes.clone(), bytes), |(key, hint)| {
        let mut headers = HeaderMap::new();
        for (name, bytes) in [("idempotency-key", &key), ("x-cost-hint", &hint)] {
            if let Ok(value) = HeaderValue::from_bytes(bytes) {
                headers.insert(name, value);
            }
        }
        if let Ok(value) = HeaderValue::from_bytes(&key) {
            headers.insert(AUTHORIZATION, value);
        }
        if let Ok(wishes) = Wishes::parse(&headers) {
            let key = wishes.key.unwrap_or_default();
            prop_assert!(key.len() <= 128 && key.is_ascii());
        }
        let _ = bearer_key(&headers);
        Ok(())
    });
}

#[rstest]
#[case("/app/stock/zip", "/stock/zip", "/stock/zip")]
#[case("/app", "/", "/")]
#[case("/app/%6frders", "/%6frders", "/orders")]
#[case("/app//orders///gel", "//orders///gel", "/orders/gel")]
fn a_path_is_split(#[case] path: &str, #[case] raw: &str, #[case] plain: &str) {
    let split = split_path(path).unwrap();
    assert_eq!((split.service, split.raw), ("app", raw));
    assert_eq!(split.plain, plain);
}

#[rstest]
#[case("/app/a/../orders", PathError::DotSegment)]
#[case("/app/%2E%2e/orders", PathError::DotSegment)]
#[case("/app/./orders", PathError::DotSegment)]
#[case("/app/a%2forders", PathError::Ambiguous)]
#[case("/app/a\\orders", PathError::Ambiguous)]
#[case("/app/%00", PathError::Ambiguous)]
#[case("/app/%zz", PathError::Encoding)]
#[case("/app/%2", PathError::Encoding)]
fn a_path_that_may_mean_another_one_is_refused(#[case] path: &str, #[case] error: PathError) {
    assert_eq!(split_path(path), Err(error));
}

#[test]
fn a_plain_path_has_no_dot_segment_whatever_was_sent() {
    run("[/.%a2eEfF5c\\\\]{0,24}", |path| {
        if let Ok(split) = split_path(&path) {
            let dots = split.plain.split('/').any(|s| s == "." || s == "..");
            prop_assert!(!dots && !split.plain.contains("//"), "{split:?}");
        }
        Ok(())
    });
}

const STREAM: &str = "data: {\"choices\":[]}\n\n: a comment\n\ndata: {\"choices\":[]}\r\n\r\n\
    data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";

#[test]
fn a_stream_is_read_alike_however_it_is_cut() {
    let cuts = proptest::collection::vec(0..STREAM.len(), 0..12);
    run(cuts, |mut cuts| {
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut scanner = Scanner::default();
        let mut given = Vec::new();
        for pair in cuts.windows(2) {
            let events = scanner.push(&STREAM.as_bytes()[pair[0]..pair[1]]).unwrap();
            prop_assert!(events.is_empty() || ends_an_event(&events));
            given.extend(events);
        }
        prop_assert_eq!(given, STREAM.as_bytes());
        prop_assert_eq!((scanner.chunks(), scanner.tokens()), (3, Some(5)));
        prop_assert!(scanner.is_done());
        Ok(())
    });
}

fn ends_an_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

#[test]
fn a_stream_of_arbitrary_bytes_is_passed_on_as_it_came_or_refused() {
    let piece = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..64),
        Just(b"\n\n".to_vec()),
        Just(b"data: ".to_vec()),
        Just(b"data: [DONE]\n\n".to_vec()),
    ];
    run(proptest::collection::vec(piece, 0..24), |pieces| {
        let mut scanner = Scanner::default();
        let (mut sent, mut given) = (Vec::new(), Vec::new());
        for piece in pieces {
            let was_done = scanner.is_done();
            sent.extend(&piece);
            match scanner.push(&piece) {
                Ok(events) => given.extend(events),
                Err(error) => {
                    prop_assert_eq!(error, SseError::AfterEnd);
                    prop_assert!(was_done || scanner.is_done());
                    break;
                }
            }
        }
        prop_assert!(sent.starts_with(&given));
        Ok(())
    });
}

/// Guards against a count that differs from the engine's, by which streams are resumed.
#[rstest]
#[case::byte_order_mark("\u{feff}data: 1\n\ndata: 2\n\n")]
#[case::carriage_returns("data: 1\r\rdata: 2\r\r")]
#[case::mixed("data: 1\r\n\rdata: 2\n\r\n")]
#[case::empty_data("data\n\ndata: 2\n\n")]
#[case::further_lines("data: 1\ndata: 1\n\ndata: [DONE\ndata: 2\n\n")]
fn chunks_are_counted_in_all_their_forms(#[case] text: &str) {
    let mut scanner = Scanner::default();
    for piece in text.as_bytes().chunks(2) {
        scanner.push(piece).unwrap();
    }
    scanner.push(b"data: [DONE]\n\n").unwrap();
    assert_eq!((scanner.chunks(), scanner.is_done()), (2, true));
}

#[test]
fn usage_in_several_data_lines_is_read() {
    let mut scanner = Scanner::default();
    let text = "data: {\"usage\":{\ndata: \"prompt_tokens\":3,\"completion_tokens\":2}}\n\n";
    scanner.push(text.as_bytes()).unwrap();
    assert_eq!(scanner.tokens(), Some(5));
}

/// Guards against counted events that no caller gets: the stream is resumed after them.
#[rstest]
#[case::after_the_end("data: [DONE]\n\n", "more".to_owned(), SseError::AfterEnd)]
#[case::too_large("", "a".repeat(EVENT_BYTES + 1), SseError::EventTooLarge)]
fn events_before_a_violation_are_returned(
    #[case] last: &str,
    #[case] bad: String,
    #[case] error: SseError,
) {
    let mut scanner = Scanner::default();
    let good = format!("data: 1\n\n{last}");
    let events = scanner.push(format!("{good}{bad}").as_bytes()).unwrap();
    assert_eq!((events, scanner.chunks()), (good.into(), 1));
    assert_eq!(scanner.push(b"x"), Err(error));
}

#[test]
fn an_event_without_end_is_refused_at_its_bound() {
    let mut scanner = Scanner::default();
    let piece = [b'a'; 1024];
    let pushed = (0..1_000).position(|_| scanner.push(&piece).is_err());
    assert_eq!(pushed, Some(EVENT_BYTES / piece.len()));
}

#[test]
fn an_endpoint_sees_the_path_that_the_rule_was_looked_up_for() {
    run("/app/[!-~]{0,24}", |path| {
        let Ok(uri) = path.parse::<http::Uri>() else {
            return Ok(());
        };
        if let Ok(split) = split_path(uri.path()) {
            let url = format!("http://127.0.0.1:1{}", split.raw);
            let url = reqwest::Url::parse(&url).unwrap();
            let seen = format!("/app{}", url.path());
            prop_assert_eq!(split_path(&seen).unwrap().plain, split.plain);
        }
        Ok(())
    });
}
