//! Stops of other instances, as their reports tell them.

use std::time::Duration;

use tokio::time::advance;

use crate::gateway::stop::Stop;

#[tokio::test(start_paused = true)]
async fn a_late_report_of_a_stop_does_not_postpone_it() {
    let (own, learnt) = (Stop::default(), Stop::default());
    own.begin(Duration::from_secs(8));
    let first = own.report().expect("begun");
    advance(Duration::from_secs(1)).await;
    learnt.learn(first);
    let late = learnt.end();
    learnt.learn(own.report().expect("begun"));
    let end = learnt.end();
    assert!(end < late && end < own.end(), "{learnt:?}");
    learnt.learn(first);
    assert_eq!(learnt.end(), end);
}
