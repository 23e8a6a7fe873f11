//! Runs the demo from start to end over real connections.
#![cfg(feature = "demo")]

use cornelstand::{DemoOptions, run_demo};

#[tokio::test(flavor = "multi_thread")]
async fn a_short_demo_keeps_every_promise() {
    let options = DemoOptions {
        seconds: 6,
        seed: 1,
        json: None,
        timeline: None,
        hold: false,
    };
    assert!(run_demo(&options).await.expect("the demo completes"));
}
