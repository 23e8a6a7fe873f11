//! Pauses of the process are detected by the first request as well as by the first tick.

use std::time::Duration;

use crate::gateway::pauses::{CATCH_UP, PauseWatch};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_start_or_a_late_tick_is_not_a_pause() {
    let watch = PauseWatch::default();
    assert_eq!(watch.catch_up_left(at(90_000)), None);
    assert_eq!(watch.tick(at(90_000)), None);
    assert_eq!(watch.tick(at(90_600)), None);
    assert_eq!(watch.catch_up_left(at(91_500)), None);
}

#[test]
fn a_request_before_the_first_tick_detects_the_pause() {
    let watch = PauseWatch::default();
    watch.tick(at(1_000));
    assert_eq!(watch.catch_up_left(at(4_000)), Some(CATCH_UP));
    assert_eq!(watch.tick(at(4_001)), None);
    assert_eq!(watch.catch_up_left(at(4_100)), Some(at(200)));
    assert_eq!(watch.catch_up_left(at(4_300)), None);
}

#[test]
fn a_tick_returns_the_length_of_the_pause() {
    let watch = PauseWatch::default();
    watch.tick(at(1_000));
    assert_eq!(watch.tick(at(9_000)), Some(at(8_000)));
}
