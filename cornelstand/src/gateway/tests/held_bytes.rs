//! The account of held bytes, and the order in which waiting callers are closed.

use std::rc::Rc;

use futures::FutureExt;
use proptest::prelude::*;
use tokio::sync::Notify;

use crate::gateway::held_bytes::{HeldBytes, SMALL_BYTES, max_connections};
use crate::gateway::waiting_callers::WaitingCallers;

const MEMORY: usize = 64 * SMALL_BYTES;

proptest! {
    /// Shares beyond a single one add up to no more than a quarter of the memory, and are free
    /// again once they are dropped.
    #[test]
    fn shares_stay_within_the_account(sizes in prop::collection::vec(0..MEMORY, 1..40)) {
        let account = HeldBytes::default();
        let mut held = Vec::new();
        for size in sizes {
            let mut share = account.share();
            let has_room = share.grow(size, MEMORY);
            prop_assert!(has_room || size > SMALL_BYTES);
            if has_room && size > SMALL_BYTES {
                held.push((share, size));
            }
            let sum: usize = held.iter().map(|(_, size)| size).sum();
            prop_assert!(held.len() <= 1 || sum <= MEMORY / 4);
        }
        drop(held);
        prop_assert!(account.share().grow(MEMORY, MEMORY));
    }
}

#[test]
fn a_share_that_was_cleared_leaves_its_room_to_others() {
    let account = HeldBytes::default();
    let (mut first, mut second) = (account.share(), account.share());
    assert!(first.grow(MEMORY / 4, MEMORY));
    assert!(!second.grow(MEMORY / 4, MEMORY));
    first.clear();
    assert!(second.grow(MEMORY / 4, MEMORY));
}

/// Machines of the platform: memory in megabytes, and the connections that their descriptors allow.
#[test]
fn the_memory_of_the_platforms_machines_bears_many_connections() {
    for (memory_mb, least) in [(120, 1_500), (160, 2_000), (260, 3_200), (512, 6_500)] {
        let connections = max_connections(memory_mb * 1024 * 1024);
        assert!(connections >= least, "{memory_mb} MB: {connections}");
    }
}

#[test]
fn the_caller_that_waits_longest_is_closed_first() {
    let callers = WaitingCallers::default();
    let [first, second, third] = [(); 3].map(|()| Rc::new(Notify::new()));
    let served = callers.add(&first);
    let _second = callers.add(&second);
    let _third = callers.add(&third);
    drop(served);
    assert!(callers.close_first());
    assert!(second.notified().now_or_never().is_some());
    assert!(first.notified().now_or_never().is_none());
    assert!(callers.close_first());
    assert!(third.notified().now_or_never().is_some());
    assert!(!callers.close_first());
}
