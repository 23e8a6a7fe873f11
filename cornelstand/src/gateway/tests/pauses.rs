//! Pauses of the process: they are noticed by the first request as well as by the first tick.

use std::time::Duration;

use crate::gateway::pauses::{CATCH_UP, PauseWatch};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_process_that_starts_or_is_a_little_late_was_not_paused() {
    let watch = PauseWatch::default();
    assert_eq!(watch.catches_up(at(90_000)), None);
    assert_eq!(watch.tick(at(90_000)), None);
    assert_eq!(watch.tick(at(90_600)), None);
    assert_eq!(watch.catches_up(at(91_500)), None);
}

#[test]
fn a_request_that_comes_before_the_first_tick_finds_the_pause() {
    let watch = PauseWatch::default();
    watch.tick(at(1_000));
    assert_eq!(watch.catches_up(at(4_000)), Some(CATCH_UP));
    assert_eq!(watch.tick(at(4_001)), None);
    assert_eq!(watch.catches_up(at(4_100)), Some(at(200)));
    assert_eq!(watch.catches_up(at(4_300)), None);
}

#[test]
fn a_tick_tells_how_long_the_pause_was() {
    let watch = PauseWatch::default();
    watch.tick(at(1_000));
    assert_eq!(watch.tick(at(9_000)), Some(at(8_000)));
}
