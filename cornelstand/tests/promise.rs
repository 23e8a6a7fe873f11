//! Broken promises are noticed.
#![cfg(feature = "demo")]

use std::time::Duration;

use cornelstand::{
    AccountResult, Deployment, Fake, LoadResult, Outcomes, Outside, Promise, Quantiles, Reading,
    Refused, Sample, SourceResult, Span, answer_promises, centre_promise,
};
use rstest::rstest;
use stand_ins::{Overload, PlainFaults};

fn outside() -> Outside {
    Outside::start(&Deployment::small(), true, Overload::Refuse).expect("free ports")
}

fn load(counts: Outcomes, not_run: Vec<Refused>) -> LoadResult {
    LoadResult {
        seed: 1,
        length: 1,
        accounts: vec![AccountResult {
            account: "tailor".into(),
            share: 1,
            sources: vec![SourceResult {
                label: "all".to_owned(),
                counts,
                wait: Quantiles::default(),
                whole: Quantiles::default(),
                series: Vec::new(),
            }],
        }],
        not_run,
    }
}

/// The promises that were broken, as text and count.
fn broken(promises: &[Promise]) -> Vec<(&str, &str)> {
    let broken = promises.iter().filter(|p| !p.kept);
    broken.map(|p| (p.text.as_str(), p.seen.as_str())).collect()
}

/// Calls the plain endpoint with this number among those of its kind.
async fn order(outside: &Outside, number: usize, request: &str, key: &str) {
    let plain = Deployment::small().plain().name.clone();
    let endpoints = outside.endpoints.iter();
    let endpoint = endpoints.filter(|e| e.service == plain).nth(number);
    let address = endpoint.expect("an endpoint").address();
    let call = reqwest::Client::new().post(format!("http://{address}/orders"));
    let call = call.header("x-request-id", request);
    let answer = call.header("idempotency-key", key).send().await;
    assert_eq!(answer.expect("an answer").status(), 200);
}

#[tokio::test]
async fn a_clean_run_keeps_every_promise() {
    let counts = Outcomes {
        arrived: 2,
        answered: 1,
        not_run: 1,
        ..Outcomes::default()
    };
    let refused = Refused {
        request: "r9".to_owned(),
        key: Some("k9".to_owned()),
    };
    let outside = outside();
    order(&outside, 0, "r1-0", "k1").await;
    let promises = answer_promises(&load(counts, vec![refused]), &outside);
    assert_eq!(broken(&promises), []);
}

#[rstest]
#[case::wrong(Outcomes { wrong: 1, ..Outcomes::default() }, "answers that are not whole or another call's")]
#[case::cut(Outcomes { cut: 1, ..Outcomes::default() }, "answers cut")]
#[case::open(Outcomes { open: 1, ..Outcomes::default() }, "calls without an end")]
#[case::starved(Outcomes { arrived: 1, ..Outcomes::default() }, "accounts without any answer")]
#[tokio::test]
async fn a_bad_outcome_breaks_its_promise(#[case] counts: Outcomes, #[case] text: &str) {
    let promises = answer_promises(&load(counts, Vec::new()), &outside());
    assert_eq!(broken(&promises), [(text, "1")]);
}

#[rstest]
#[case::by_request("r1", None)]
#[case::by_key("r2", Some("k1".to_owned()))]
#[tokio::test]
async fn a_refusal_of_a_call_that_ran_is_untrue(
    #[case] request: &str,
    #[case] key: Option<String>,
) {
    let outside = outside();
    order(&outside, 0, "r1-1", "k1").await;
    let refused = Refused {
        request: request.to_owned(),
        key,
    };
    let promises = answer_promises(&load(Outcomes::default(), vec![refused]), &outside);
    let text = "calls refused as not run that ran";
    assert_eq!(broken(&promises), [(text, "1")]);
}

#[rstest]
#[case::at_one_endpoint(0)]
#[case::at_two_endpoints(1)]
#[tokio::test]
async fn a_second_run_of_a_key_is_noticed(#[case] second: usize) {
    let outside = outside();
    order(&outside, 0, "r1-0", "k1").await;
    order(&outside, second, "r2-0", "k1").await;
    let promises = answer_promises(&load(Outcomes::default(), Vec::new()), &outside);
    let text = "calls that ran twice and may not";
    assert_eq!(broken(&promises), [(text, "1")]);
}

#[tokio::test]
async fn a_request_above_what_an_endpoint_bears_is_noticed() {
    let outside = outside();
    let endpoint = outside.endpoints.last().expect("an endpoint");
    let Fake::Plain(service) = &endpoint.fake else {
        panic!("the last endpoint is a plain service");
    };
    service.set_faults(PlainFaults {
        slow: 1e6,
        ..PlainFaults::default()
    });
    let url = format!("http://{}/orders", endpoint.address());
    let bears = service.counts().bears;
    for _ in 0..bears {
        tokio::spawn(reqwest::Client::new().post(&url).send());
    }
    while service.counts().running < bears {
        tokio::task::yield_now().await;
    }
    let more = reqwest::Client::new().post(&url).send().await;
    assert_eq!(more.expect("an answer").status(), 503);
    let promises = answer_promises(&load(Outcomes::default(), Vec::new()), &outside);
    let text = "requests above what an endpoint bore";
    assert_eq!(broken(&promises), [(text, "1")]);
}

#[rstest]
#[case::within_three_seconds(12, true)]
#[case::later(14, false)]
fn new_work_at_a_data_centre_taken_out_is_noticed(#[case] second: u64, #[case] kept: bool) {
    let outside = outside();
    let centre = outside.endpoints[0].centre.clone();
    let place = 0;
    let samples: Vec<Sample> = (0..=30)
        .map(|at| {
            let mut readings = vec![Reading::default(); outside.endpoints.len()];
            readings[place].runs = u64::from(at >= second);
            // Work elsewhere goes on.
            readings[1].runs = at;
            Sample {
                at: Duration::from_secs(at),
                readings,
            }
        })
        .collect();
    let promise = centre_promise(&samples, &outside, &centre, Span::seconds(10, 20));
    assert_eq!(promise.kept, kept);
}
