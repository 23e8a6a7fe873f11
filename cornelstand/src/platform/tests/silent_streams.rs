//! Streams whose endpoint pauses after an event: given up only for another endpoint.

use std::time::Duration;

use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::gateway::gate::Gate;
use crate::gateway::placement::{Place, PlaceEnd};
use crate::gateway::tests::{MODELS, gate, list, record};
use crate::platform::tests::path::{fetch, listen, request, run_local};
use crate::platform::tests::scripted::{Endpoint, Step, chunk, event, stream_head};

/// One event, and the last one after a pause that callers bear.
fn pausing(id: &str) -> Vec<Step> {
    let last = chunk(&event(2)) + "0\r\n\r\n";
    vec![
        Step::Read,
        Step::Write(stream_head(id) + &chunk(&event(1))),
        Step::Pause(2_500),
        Step::Write(last),
    ]
}

/// What another endpoint sends after the first event.
fn rest(id: &str) -> Vec<Step> {
    let events = chunk(&event(2)) + "0\r\n\r\n";
    vec![Step::Read, Step::Write(stream_head(id) + &events)]
}

/// All places of the service are taken.
fn fill(gate: &Gate) {
    take_places(gate);
}

fn take_places(gate: &Gate) -> Vec<Place> {
    let (now, endpoints) = (gate.now(), &mut gate.state.borrow_mut().endpoints);
    let indices = [0, 1].repeat(200).into_iter();
    indices
        .filter_map(|i| endpoints.take(now, i, None))
        .collect()
}

fn limit_retries(gate: &Gate, slack: f64) {
    let mut settings = gate.settings.borrow_mut();
    (settings.retry.ratio, settings.retry.slack) = (0.0, slack);
}

fn spend_retries(gate: &Gate) {
    limit_retries(gate, 0.0);
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
        let near = Endpoint::start(vec![pausing("a1")]).await;
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
        assert_eq!(gate.metrics.waiting.get(), 0);
    })
    .await;
}

/// One retry is left for the streams.
fn leave_one_retry(gate: &Gate) {
    limit_retries(gate, 1.5);
}

/// A stop has just come to refuse what outlasts it.
fn begin_stop(gate: &Gate) {
    let signalled = Instant::now() - Duration::from_millis(2_400);
    gate.stop.begin_at(signalled, Duration::from_secs(3));
}

/// Guards against streams that are cut because what allowed them to move ended while they waited.
#[rstest]
#[case::one_retry_for_two(leave_one_retry, 1)]
#[case::stop(begin_stop, 0)]
#[tokio::test(start_paused = true)]
async fn silent_streams_that_may_no_longer_move_are_left_to_their_endpoint(
    #[case] prepare: fn(&Gate),
    #[case] moved: usize,
) {
    run_local(async {
        let near = Endpoint::start(vec![pausing("a1"), pausing("a2")]).await;
        let far = Endpoint::start(["a1", "a2"].map(rest).into()).await;
        let mut other = record("m-2", MODELS, far.address);
        other.centre = "south".into();
        let gate = gate("one", vec![record("m-1", MODELS, near.address), other]);
        let address = listen(&gate).await;
        let mut callers = Vec::new();
        for (count, id) in [(1, "a1"), (2, "a2")] {
            let asked = async move { fetch(address, &request("/quote/1", id)).await };
            callers.push(spawn_local(asked));
            while near.count() < count {
                sleep(Duration::from_millis(1)).await;
            }
        }
        let places = take_places(&gate);
        // Both streams wait for a place.
        sleep(Duration::from_millis(2_200)).await;
        assert_eq!(gate.state.borrow().admission.len(), 2);
        prepare(&gate);
        for place in places {
            gate.end(&place, PlaceEnd::Neutral);
        }
        for caller in callers {
            let text = caller.await.expect("a caller");
            assert!(
                text.contains("piece 2") && text.ends_with("0\r\n\r\n"),
                "{text}"
            );
        }
        assert_eq!(far.count(), moved);
    })
    .await;
}

/// Guards against a stream that is given up before its first event although no other endpoint has
/// room.
#[rstest]
#[case::before_the_head(String::new(), stream_head("a1"))]
#[case::before_the_first_event(stream_head("a1"), String::new())]
#[tokio::test(start_paused = true)]
async fn a_stream_without_an_event_is_left_to_its_endpoint_if_no_other_has_room(
    #[case] early: String,
    #[case] late: String,
) {
    run_local(async {
        let events = late + &chunk(&event(1)) + &chunk(&event(2)) + "0\r\n\r\n";
        let pause = Step::Pause(3_500);
        let script = vec![Step::Read, Step::Write(early), pause, Step::Write(events)];
        let near = Endpoint::start(vec![script]).await;
        let far = Endpoint::start(vec![rest("a1")]).await;
        let mut other = record("m-2", MODELS, far.address);
        other.centre = "south".into();
        let gate = gate("one", vec![record("m-1", MODELS, near.address), other]);
        let address = listen(&gate).await;
        let asked = async move { fetch(address, &request("/quote/1", "a1")).await };
        let caller = spawn_local(asked);
        while near.count() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        fill(&gate);
        let text = caller.await.expect("a caller");
        let is_whole = text.contains("piece 1") && text.ends_with("0\r\n\r\n");
        assert!(is_whole && text.contains("piece 2"), "{text}");
        assert_eq!(far.count(), 0);
        assert_eq!(gate.state.borrow().admission.len(), 0);
        assert_eq!(gate.metrics.waiting.get(), 0);
    })
    .await;
}
