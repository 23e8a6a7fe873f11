//! Tests of single decisions of a cell.

use cornelstand::{CellInput, CellOutput, Ending, Moment, Offer, Part, Refusal};
use std::time::Duration;

use crate::make::{
    at, attempt, batch, cell, config, ended, flat, grants, lease, lease_until, offer, send,
};

#[test]
fn free_slots_are_granted_at_once_and_others_when_an_attempt_ends() {
    let mut cell = cell(&config(&[1], &[flat(2)]));
    let mut granted = Vec::new();
    for number in 0..3 {
        let out = send(&mut cell, at(1), CellInput::Offer(offer(number, "a0")));
        granted.extend(grants(&out));
    }
    assert_eq!(granted.len(), 2);
    let end = ended(&granted[0], "a0", 10, Ending::Answered);
    let out = send(&mut cell, at(2), CellInput::Report(end.clone()));
    assert_eq!(grants(&out)[0].attempt, attempt(2));
    let out = send(&mut cell, at(3), CellInput::Report(end));
    assert_eq!(out, []);
    assert_eq!(cell.status().running, 2);
}

#[test]
fn an_expired_lease_grants_nothing_and_refuses_queued_offers() {
    let mut cell = cell(&config(&[1], &[flat(1)]));
    let until = at(100);
    send(&mut cell, at(0), lease_until(until, Part::Full));
    send(&mut cell, at(1), CellInput::Offer(offer(0, "a0")));
    send(&mut cell, at(1), CellInput::Offer(offer(1, "a0")));
    assert_eq!(cell.timer(), Some(until));
    let refused = |number| CellOutput::Refuse {
        attempt: attempt(number),
        refusal: Refusal::NotOwner(None),
    };
    let out = send(&mut cell, at(100), CellInput::Offer(offer(2, "a0")));
    assert_eq!(out, [refused(2), refused(1)]);
    assert_eq!(cell.timer(), None);
}

#[test]
fn an_offer_is_refused_at_its_deadline() {
    let mut cell = cell(&config(&[1], &[flat(1)]));
    send(&mut cell, at(0), CellInput::Offer(offer(0, "a0")));
    let late = Offer {
        left: Duration::from_millis(50),
        ..offer(1, "a0")
    };
    send(&mut cell, at(0), CellInput::Offer(late));
    assert_eq!(cell.timer(), Some(at(50)));
    let out = send(&mut cell, at(50), CellInput::Tick);
    let refused = CellOutput::Refuse {
        attempt: attempt(1),
        refusal: Refusal::Deadline,
    };
    assert_eq!(out, [refused]);
}

#[test]
fn interactive_offers_precede_batch_ones_of_the_same_account() {
    let mut cell = cell(&config(&[1], &[flat(1)]));
    let out = send(&mut cell, at(0), CellInput::Offer(offer(0, "a0")));
    let first = grants(&out).remove(0);
    send(&mut cell, at(1), CellInput::Offer(batch(1, "a0")));
    send(&mut cell, at(2), CellInput::Offer(offer(2, "a0")));
    let end = ended(&first, "a0", 10, Ending::Answered);
    let out = send(&mut cell, at(3), CellInput::Report(end));
    assert_eq!(grants(&out)[0].attempt, attempt(2));
}

#[test]
fn a_request_offered_again_keeps_its_order_of_arrival() {
    let mut cell = cell(&config(&[1], &[flat(1)]));
    let out = send(&mut cell, at(0), CellInput::Offer(offer(0, "a0")));
    let first = grants(&out).remove(0);
    send(&mut cell, at(1000), CellInput::Offer(offer(1, "a0")));
    let waited = Offer {
        waited: Duration::from_secs(5),
        ..offer(2, "a0")
    };
    send(&mut cell, at(1001), CellInput::Offer(waited));
    let end = ended(&first, "a0", 10, Ending::Answered);
    let out = send(&mut cell, at(1002), CellInput::Report(end));
    assert_eq!(grants(&out)[0].attempt, attempt(2));
}

#[test]
fn a_repeated_offer_gets_its_grant_again() {
    let mut cell = cell(&config(&[1], &[flat(2)]));
    let first = send(&mut cell, at(0), CellInput::Offer(offer(0, "a0")));
    let again = send(&mut cell, at(1), CellInput::Offer(offer(0, "a0")));
    assert_eq!(first, again);
    assert_eq!(cell.status().running, 1);
}

#[test]
fn a_withdrawal_that_crosses_the_grant_frees_the_slot() {
    let mut cell = cell(&config(&[1], &[flat(1)]));
    send(&mut cell, at(0), CellInput::Offer(offer(0, "a0")));
    send(&mut cell, at(0), CellInput::Offer(offer(1, "a0")));
    let out = send(&mut cell, at(1), CellInput::Withdraw(attempt(0)));
    assert_eq!(grants(&out)[0].attempt, attempt(1));
}

#[test]
fn a_withdrawal_before_its_offer_cancels_it() {
    let mut cell = cell(&config(&[1], &[flat(1)]));
    send(&mut cell, at(0), CellInput::Withdraw(attempt(0)));
    let out = send(&mut cell, at(1), CellInput::Offer(offer(0, "a0")));
    let refused = CellOutput::Refuse {
        attempt: attempt(0),
        refusal: Refusal::Cancelled,
    };
    assert_eq!(out, [refused]);
}

#[rstest::rstest]
#[case(1, 1, 0)]
#[case(2, 1, 1)]
#[case(5, 3, 2)]
fn parts_of_two_owners_stay_within_a_limit(
    #[case] slots: u32,
    #[case] kept: usize,
    #[case] provisional: usize,
) {
    let granted = |part| {
        let mut cell = cell(&config(&[1], &[flat(slots)]));
        send(&mut cell, Moment(0), lease(part));
        let outs = (0..9).map(|n| send(&mut cell, at(1), CellInput::Offer(offer(n, "a0"))));
        outs.map(|out| grants(&out).len()).sum::<usize>()
    };
    assert_eq!(granted(Part::Kept), kept);
    assert_eq!(granted(Part::Provisional), provisional);
}

#[test]
fn a_full_queue_suggests_a_retry_delay() {
    let mut cell = cell(&config(&[1], &[flat(1)]));
    let outs = (0..258).map(|n| send(&mut cell, at(1), CellInput::Offer(offer(n, "a0"))));
    let last = outs.last().expect("258 offers");
    let refused = CellOutput::Refuse {
        attempt: attempt(257),
        refusal: Refusal::QueueFull {
            retry: Duration::from_secs(1),
        },
    };
    assert_eq!(last, [refused]);
}
