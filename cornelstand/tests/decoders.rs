//! Decoders of network input, against arbitrary, damaged and oversized input.
//!
//! None may panic or keep more than its stated bound; input that cannot be decoded is an error.

use std::time::Duration;

use bytes::Bytes;
use cornelstand::{
    ACCOUNT_KEY_BYTES, ClaimAnswer, ClaimCall, ClaimOp, ClaimShard, ClaimState, Config,
    EVENT_BYTES, Gossip, IDEMPOTENCY_KEY_BYTES, MAX_BODY_BYTES, MAX_DEADLINE, MAX_HINT,
    MAX_MEDIA_BYTES, Note, ObjectKind, Offer, Recorded, Report, SETTINGS_BYTES, Scanner, Settings,
    Store, Token, VALUE_BYTES, Version, Wishes, bearer_key, split_path,
};
use http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use warp::Filter;

const CASES: u32 = 2_000;
const SEED: [u8; 16] = *b"hostile messages";

/// Checks `test` on values of `strategy`, with a fixed seed.
fn check<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let rng = TestRng::from_seed(RngAlgorithm::XorShift, &SEED);
    let cases = Cases {
        cases: CASES,
        failure_persistence: None,
        ..Cases::default()
    };
    let result = TestRunner::new_with_rng(cases, rng).run(strategy, test);
    result.unwrap_or_else(|e| panic!("{e}"));
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        vec(any::<u8>(), 0..600),
        vec(
            prop::sample::select(b"0aZ-._/% :;\"\\\n\r\t\x00\x7f\xc3".to_vec()),
            0..300
        ),
    ]
}

/// Generates `whole` with bytes overwritten or removed, truncated, or with its tail repeated.
fn damaged(whole: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let damage = (any::<prop::sample::Index>(), any::<u8>(), 0..4_u8);
    vec(damage, 0..6).prop_map(move |damages| {
        let mut bytes = whole.as_bytes().to_vec();
        for (place, byte, kind) in damages {
            if bytes.is_empty() {
                break;
            }
            let at = place.index(bytes.len());
            match kind {
                0 => bytes[at] = byte,
                1 => drop(bytes.remove(at)),
                2 => bytes.truncate(at),
                _ => {
                    let tail = bytes[at..].to_vec();
                    bytes.extend(tail);
                }
            }
        }
        bytes
    })
}

const IDEMPOTENCY_KEY: &str = "order-17";

fn headers(name: &HeaderName, values: &[Vec<u8>]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            headers.append(name.clone(), value);
        }
    }
    headers
}

#[rstest]
#[case("idempotency-key")]
#[case("x-cost-hint")]
#[case("x-deadline-ms")]
fn wishes(#[case] name: &'static str) {
    let name = HeaderName::from_static(name);
    let value = prop_oneof![
        bytes(),
        damaged(IDEMPOTENCY_KEY),
        damaged("18446744073709551615")
    ];
    check(&vec(value, 0..3), |values| {
        if let Ok(wishes) = Wishes::parse(&headers(&name, &values)) {
            prop_assert!(wishes.key.is_none_or(|k| k.len() <= IDEMPOTENCY_KEY_BYTES));
            prop_assert!(wishes.hint.is_none_or(|h| h <= MAX_HINT));
            prop_assert!(wishes.deadline.is_none_or(|d| d <= MAX_DEADLINE));
        }
        Ok(())
    });
}

#[test]
fn account_keys() {
    let value = prop_oneof![bytes(), damaged("Bearer counter-key")];
    check(&vec(value, 0..3), |values| {
        let headers = headers(&AUTHORIZATION, &values);
        if let Ok(Some(key)) = bearer_key(&headers) {
            prop_assert!(!key.is_empty() && key.len() <= ACCOUNT_KEY_BYTES);
        }
        Ok(())
    });
}

#[test]
fn paths() {
    let path = prop_oneof![bytes(), damaged("/app/%6frders/../x%2F%2e.;v=1//é")];
    check(&path, |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(path) = split_path(&text) {
            // A path with only a service name becomes a slash.
            prop_assert!(path.plain.len() <= text.len().max(1));
            prop_assert!(path.raw == "/" || text.ends_with(path.raw));
        }
        Ok(())
    });
}

const EVENTS: &str = "data: {\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3}}\n\n\
                      : note\r\n\r\ndata: x\r\rdata: [DONE]\n\n";

#[test]
fn events_come_out_as_they_went_in() {
    let pieces = vec(prop_oneof![bytes(), damaged(EVENTS)], 0..6);
    check(&pieces, |pieces| {
        let mut scanner = Scanner::default();
        let (mut given, mut taken) = (Vec::new(), Vec::new());
        for piece in pieces {
            let Ok(events) = scanner.push(&piece) else {
                return Ok(());
            };
            given.extend_from_slice(&piece);
            taken.extend_from_slice(&events);
        }
        prop_assert!(given.starts_with(&taken));
        prop_assert!(given.len() - taken.len() <= EVENT_BYTES);
        Ok(())
    });
}

#[test]
fn an_event_without_end_is_refused() {
    let mut scanner = Scanner::default();
    let piece = [b'x'; 4096];
    let most = EVENT_BYTES / piece.len();
    assert!((0..most).all(|_| scanner.push(&piece).is_ok()));
    assert!(scanner.push(&piece).is_err());
}

const NOTE: &str = r#"{ base: 3, title: "rain", // comment
    add: { accounts: { tessel: { share: 2, keys: [] } } } }"#;

#[test]
fn notes() {
    check(&prop_oneof![bytes(), damaged(NOTE)], |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(note) = Note::parse(&text) {
            prop_assert!(note.rows().len() <= text.len());
            let _ = note.apply(&Config::default());
        }
        Ok(())
    });
}

const SETTINGS: &str = r#"{ "instance": "north-0", "centre": "dock-a", // comment
    "listen": { "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "fleet": "127.0.0.1:0" },
    "platform": { "objects": "127.0.0.1:1", "instances": "127.0.0.1:2" },
    "keys": { "fleet": "a fleet key of some length", "operator":
        "0000000000000000000000000000000000000000000000000000000000000000" } }"#;

#[test]
fn settings() {
    assert!(Settings::parse(SETTINGS).is_ok());
    check(&prop_oneof![bytes(), damaged(SETTINGS)], |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        let _ = Settings::parse(&text);
        Ok(())
    });
    let padded = format!("{SETTINGS}{}", " ".repeat(SETTINGS_BYTES));
    assert!(Settings::parse(&padded).is_err());
}

const SHARD: &str = r#"{"next":3,"claims":{"0000000000000000000000000000000a":{"token":
    "0000000000000000000000000000000b","fingerprint":5,"request":
    "0000000000000000000000000000000c","change":1,"state":{"recorded":{"status":201,"media":
    "text/plain","body":{"hex":"ff00"}}}}},"released":{"0000000000000000000000000000000d":2}}"#;

#[test]
fn claim_objects() {
    assert!(ClaimShard::decode(SHARD).is_ok());
    check(&prop_oneof![bytes(), damaged(SHARD)], |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(shard) = ClaimShard::decode(&text) {
            let again = ClaimShard::decode(&shard.encode());
            prop_assert_eq!(again.ok(), Some(shard));
        }
        Ok(())
    });
}

#[rstest]
#[case::body("body", MAX_BODY_BYTES)]
#[case::media("media", MAX_MEDIA_BYTES)]
fn a_claim_object_with_a_longer_answer_than_is_kept_is_refused(
    #[case] part: &str,
    #[case] bound: usize,
) {
    let claim = |length: usize| {
        let long = "x".repeat(length);
        match part {
            "body" => SHARD.replace(r#"{"hex":"ff00"}"#, &format!(r#"{{"text":"{long}"}}"#)),
            _ => SHARD.replace("text/plain", &long),
        }
    };
    assert!(ClaimShard::decode(&claim(bound)).is_ok());
    assert!(ClaimShard::decode(&claim(bound + 1)).is_err());
}

#[test]
fn a_claim_object_larger_than_the_store_holds_is_refused() {
    let padded = format!("{SHARD}{}", " ".repeat(VALUE_BYTES));
    assert!(ClaimShard::decode(&padded).is_err());
}

#[test]
fn recorded_answers_keep_every_byte() {
    check(
        &(any::<u16>(), vec(any::<u8>(), 0..300)),
        |(status, body)| {
            let recorded = Recorded::new(status, "text/plain", &Bytes::from(body.clone()));
            let text = serde_json::to_string(&recorded).unwrap();
            let again: Recorded = serde_json::from_str(&text).unwrap();
            prop_assert_eq!(again.body.as_deref(), Some(body.as_slice()));
            Ok(())
        },
    );
}

/// Checks that decoding arbitrary frames of `T` does not panic or trust a stated length.
fn frames<T: DeserializeOwned>() {
    check(&bytes(), |bytes| {
        let _ = postcard::from_bytes::<T>(&bytes);
        Ok(())
    });
    // A list with a stated length of four billion items in five bytes.
    assert!(postcard::from_bytes::<Vec<T>>(&[0xff, 0xff, 0xff, 0xff, 0x0f]).is_err());
}

#[test]
fn frames_of_offers() {
    frames::<Offer>();
}

#[test]
fn frames_of_reports() {
    frames::<Report>();
}

#[test]
fn frames_of_claims() {
    frames::<ClaimCall>();
}

#[test]
fn claims_survive_the_link() {
    let (claim, _) = ClaimShard::decode(SHARD)
        .unwrap()
        .claims
        .pop_first()
        .unwrap();
    let recorded = Recorded::new(201, "text/plain", &Bytes::from_static(b"\xff\x00"));
    let op = ClaimOp::Settle(Token(7), ClaimState::Recorded(recorded.clone()));
    let call = ClaimCall { claim, op };
    let frame = postcard::to_stdvec(&call).unwrap();
    assert_eq!(postcard::from_bytes::<ClaimCall>(&frame).unwrap(), call);
    let answer = ClaimAnswer::Answered(recorded);
    let frame = postcard::to_stdvec(&answer).unwrap();
    assert_eq!(postcard::from_bytes::<ClaimAnswer>(&frame).unwrap(), answer);
}

#[test]
fn frames_of_gossip() {
    frames::<Gossip>();
}

#[rstest]
#[case::note(|text: &str| Note::parse(text).is_err())]
#[case::claims(|text: &str| ClaimShard::decode(text).is_err())]
#[case::settings(|text: &str| Settings::parse(text).is_err())]
#[case::config(|text: &str| serde_json::from_str::<Config>(text).is_err())]
fn deep_nesting_is_refused(#[case] is_refused: fn(&str) -> bool) {
    for open in ["[", "{\"a\":", "{a:[", "/*"] {
        assert!(is_refused(&open.repeat(20_000)));
    }
}

/// Guards against an object that hides the others of its kind.
#[rstest]
#[case::lone_surrogate(r#"{"name":"b","version":2,"value":"\ud83d"}"#)]
#[case::large_number(r#"{"name":"b","version":1e999,"value":"{}"}"#)]
#[case::deeply_nested(&format!("{}0{}", "[".repeat(100_000), "]".repeat(100_000)))]
#[tokio::test]
async fn an_unreadable_object_of_the_store_hides_no_other(#[case] odd: &str) {
    let object = |name: &str| format!(r#"{{"name":"{name}","version":1,"value":"{{}}"}}"#);
    let body = format!(
        r#"{{"version":9,"objects":[{},{odd},{}]}}"#,
        object("a"),
        object("c")
    );
    let filter = warp::any().map(move || body.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(warp::serve(filter).incoming(listener).run());
    let store = Store::new(address, Duration::from_secs(20));
    let listed = store.list(ObjectKind::ConfigHead).await.unwrap();
    let watched = store
        .watch(ObjectKind::ConfigHead, Version(1), Duration::ZERO)
        .await
        .unwrap();
    for listing in [listed, watched] {
        let names = listing.objects.iter().map(|o| o.name.as_str());
        assert_eq!(names.collect::<Vec<_>>(), ["a", "c"]);
        assert_eq!((listing.version, listing.unreadable), (Version(9), 1));
    }
}
