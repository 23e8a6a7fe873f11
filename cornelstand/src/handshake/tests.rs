//! Handshake with a peer that sends random bytes.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncWriteExt, duplex};

use super::{HELLO_BYTES, accept};

const CASES: u32 = 1_000;
const SEED: [u8; 16] = *b"a peer unnamed!!";

/// Whether a peer that sends `bytes` and then closes its side is accepted.
fn is_accepted(bytes: &[u8]) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let (mut own, mut peer) = duplex(64 * 1024);
        peer.write_all(bytes).await.expect("room in the pipe");
        peer.shutdown().await.expect("an open pipe");
        accept(&mut own, "fleet key", &"north-0".into())
            .await
            .is_ok()
    })
}

#[test]
fn a_peer_without_the_key_is_refused_whatever_it_sends() {
    let framed = vec(any::<u8>(), 0..HELLO_BYTES).prop_map(|body| {
        let length = u32::try_from(body.len()).expect("a short frame");
        [length.to_be_bytes().to_vec(), body].concat()
    });
    let sent = prop_oneof![vec(any::<u8>(), 0..600), framed];
    let rng = TestRng::from_seed(RngAlgorithm::XorShift, &SEED);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new_with_rng(config, rng).run(&sent, |bytes| {
        prop_assert!(!is_accepted(&bytes));
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn a_frame_longer_than_a_hello_is_refused_before_it_comes() {
    let length = u32::try_from(HELLO_BYTES + 1).expect("a short frame");
    assert!(!is_accepted(&length.to_be_bytes()));
    assert!(!is_accepted(&u32::MAX.to_be_bytes()));
}
