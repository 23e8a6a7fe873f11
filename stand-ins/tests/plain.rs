//! Promises of the plain service's protocol.

use reqwest::{Client, Response};
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::{Bearing, Overload, PlainFaults, PlainService, PlainSettings, call_digest};

fn start(slots: u32, call: u64, overload: Overload) -> PlainService {
    let bearing = Bearing {
        cold: slots,
        warm: slots,
        ramp: 0,
    };
    let settings = PlainSettings {
        bearing,
        call,
        overload,
        ..PlainSettings::default()
    };
    PlainService::start(settings).expect("a free port")
}

async fn order(service: &PlainService, id: &str, key: &str) -> reqwest::Result<Response> {
    let url = format!("http://{}/orders/gels", service.address());
    let request = Client::new().post(url).header("x-request-id", id);
    request
        .header("idempotency-key", key)
        .body("two rolls")
        .send()
        .await
}

#[tokio::test]
async fn any_call_is_answered_with_its_digest() {
    let service = start(2, 0, Overload::Refuse);
    let answer = order(&service, "r1/0", "k1").await.expect("an answer");
    assert!(answer.headers().contains_key("x-endpoint-boot"));
    assert!(answer.headers().contains_key("content-length"));
    let body: Value = answer.json().await.expect("JSON");
    let digest = call_digest("POST", "/orders/gels", "two rolls");
    assert_eq!(body, json!({ "path": "/orders/gels", "digest": digest }));
}

#[tokio::test]
async fn every_run_of_an_identity_and_a_key_is_counted() {
    let service = start(2, 0, Overload::Refuse);
    for (id, key) in [("r1/0", "k1"), ("r1/1", "k1"), ("r2/0", "k2")] {
        order(&service, id, key).await.expect("an answer");
    }
    let url = format!("http://{}/runs", service.address());
    let answer = reqwest::get(url).await.expect("an answer");
    let runs: Value = answer.json().await.expect("JSON");
    let expected = json!({
        "requests": { "r1/0": 1, "r1/1": 1, "r2/0": 1 },
        "keys": { "k1": 2, "k2": 1 },
    });
    assert_eq!(runs, expected);
    assert_eq!(service.runs().repeated(), 1);
}

#[tokio::test]
async fn a_lost_answer_leaves_its_run_counted() {
    let service = start(2, 0, Overload::Refuse);
    service.set_faults(PlainFaults {
        lost: 1,
        ..PlainFaults::default()
    });
    assert!(order(&service, "r1/0", "k1").await.is_err());
    assert_eq!(service.runs().keys["k1"], 1);
    assert!(order(&service, "r2/0", "k2").await.is_ok());
}

#[rstest]
#[case::refuses(Overload::Refuse, 1, 0)]
#[case::falls(Overload::Fall, 0, 1)]
#[tokio::test]
async fn a_call_beyond_what_it_bears_does_not_run(
    #[case] overload: Overload,
    #[case] refused: u64,
    #[case] crashes: u64,
) {
    let service = start(1, 3_600_000, overload);
    let first = order(&service, "r1/0", "k1");
    let second = async {
        while service.counts().running == 0 {
            tokio::task::yield_now().await;
        }
        order(&service, "r2/0", "k2").await
    };
    tokio::select! {
        first = first => assert!(first.is_err(), "only a crash ends it"),
        second = second => assert_eq!(second.is_ok(), overload == Overload::Refuse),
    }
    while service.counts().crashes < crashes {
        tokio::task::yield_now().await;
    }
    let counts = service.counts();
    assert_eq!(
        (counts.above, counts.refused, counts.crashes),
        (1, refused, crashes)
    );
    assert!(!service.runs().keys.contains_key("k2"));
}
