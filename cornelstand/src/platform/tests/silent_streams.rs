//! Streams whose endpoint pauses after an event: given up only for another endpoint.

use std::time::Duration;

use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::gateway::gate::Gate;
use crate::gateway::tests::{MODELS, gate, list, record};
use crate::platform::tests::path::{fetch, listen, request, run_local};
use crate::platform::tests::scripted::{Endpoint, Step, chunk, event, stream_head};

/// One event, and the last one after a pause that callers bear.
fn pausing() -> Vec<Step> {
    let last = chunk(&event(2)) + "0\r\n\r\n";
    vec![
        Step::Read,
        Step::Write(stream_head("a1") + &chunk(&event(1))),
        Step::Pause(2_500),
        Step::Write(last),
    ]
}

/// All places of the service are taken.
fn fill(gate: &Gate) {
    for index in [0, 1].repeat(200) {
        let now = gate.now();
        let _place = gate.state.borrow_mut().endpoints.take(now, index, None);
    }
}

fn spend_retries(gate: &Gate) {
    let mut settings = gate.settings.borrow_mut();
    (settings.retry.ratio, settings.retry.slack) = (0.0, 0.0);
}

fn unlist_other(gate: &Gate) {
    let (mut others, name) = (Vec::new(), "m-2");
    for state in gate.state.borrow().endpoints.of(&MODELS.into()) {
        let mut record = (*state.record).clone();
        record.leaving = record.name == name.into();
        others.push(record);
    }
    list(gate, others);
}

/// Guards against a stream that is cut although its endpoint was at work and no other went on.
#[rstest]
#[case::no_other_endpoint(unlist_other)]
#[case::no_retry_left(spend_retries)]
#[case::no_room(fill)]
#[tokio::test(start_paused = true)]
async fn a_silent_stream_is_left_to_its_endpoint_if_no_other_can_go_on(#[case] prepare: fn(&Gate)) {
    run_local(async {
        let near = Endpoint::start(vec![pausing()]).await;
        let far = Endpoint::start(vec![vec![Step::Read, Step::AwaitClose]]).await;
        let mut other = record("m-2", MODELS, far.address);
        other.centre = "south".into();
        let gate = gate("one", vec![record("m-1", MODELS, near.address), other]);
        let address = listen(&gate).await;
        let asked = async move { fetch(address, &request("/quote/1", "a1")).await };
        let caller = spawn_local(asked);
        while near.count() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        prepare(&gate);
        let text = caller.await.expect("a caller");
        assert!(
            text.contains("piece 2") && text.ends_with("0\r\n\r\n"),
            "{text}"
        );
        assert_eq!(far.count(), 0);
        assert_eq!(gate.state.borrow().admission.len(), 0);
    })
    .await;
}
