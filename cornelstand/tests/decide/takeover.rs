//! Tests of the transfer of a cell from one owner to the next.

use std::sync::Arc;

use cornelstand::{
    BootId, Cell, CellInput, CellOutput, Census, Class, Config, Ending, Epoch, Grant, LoadReport,
    Offer, Part, Report, Running,
};

use crate::make::{at, attempt, cell, cell_id, config, ended, flat, grants, lease, offer, send};

/// A new owner of a cell with one endpoint of four slots, whose entries `i0` and `i1` have yet
/// to report, and six queued offers.
fn taken_over() -> (Cell, Arc<Config>) {
    let config = config(&[1, 1], &[flat(4)]);
    let mut cell = cell(&config);
    let entries = ["i0".into(), "i1".into()].into();
    send(&mut cell, at(0), CellInput::Recover { entries });
    for number in 100..106 {
        let out = send(&mut cell, at(1), CellInput::Offer(offer(number, "a0")));
        assert_eq!(out, []);
    }
    (cell, config)
}

fn census(entry: &str, attempts: &[u128]) -> CellInput {
    let running = attempts.iter().map(|number| Running {
        attempt: attempt(*number),
        endpoint: "e0".into(),
        account: "a1".into(),
        class: Class::Interactive,
        cost: 30,
    });
    CellInput::Census(Census {
        entry: entry.into(),
        cell: cell_id(),
        running: running.collect(),
    })
}

/// The final report on an attempt granted by the owner of epoch 1.
fn old_end(number: u128) -> CellInput {
    let grant = Grant {
        attempt: attempt(number),
        cell: cell_id(),
        epoch: Epoch(1),
        endpoint: "e0".into(),
        charged: 30,
    };
    CellInput::Report(ended(&grant, "a1", 50, Ending::Answered))
}

fn load(running: u32) -> CellInput {
    let load = LoadReport {
        boot: BootId(1),
        running,
        waiting: 0,
        answers: 9,
    };
    let endpoint = "e0".into();
    CellInput::Load { endpoint, load }
}

fn granted(out: &[CellOutput]) -> usize {
    grants(out).len()
}

#[test]
fn grants_wait_for_the_census_of_every_entry_and_are_then_exact() {
    let (mut cell, _) = taken_over();
    let out = send(&mut cell, at(2), census("i0", &[1]));
    assert_eq!(granted(&out), 0);
    let out = send(&mut cell, at(3), census("i1", &[2]));
    assert_eq!(granted(&out), 2);
    let out = send(&mut cell, at(4), census("i1", &[2]));
    assert_eq!(granted(&out), 0, "a repeated census");
    let out = send(&mut cell, at(5), old_end(1));
    assert_eq!(granted(&out), 1);
    let out = send(&mut cell, at(6), old_end(1));
    assert_eq!(granted(&out), 0, "a repeated outcome");
}

#[test]
fn an_outcome_before_the_census_that_lists_it_counts_once() {
    let (mut cell, _) = taken_over();
    send(&mut cell, at(2), old_end(1));
    assert_eq!(cell.status().accounts[1].service, 50 << 16);
    send(&mut cell, at(3), census("i0", &[1, 2]));
    let out = send(&mut cell, at(4), census("i1", &[]));
    assert_eq!(granted(&out), 3);
    assert_eq!(cell.status().accounts[1].running, 1);
}

#[test]
fn a_recent_load_report_bounds_the_attempts_of_a_lost_entry() {
    let (mut cell, _) = taken_over();
    send(&mut cell, at(2), census("i0", &[1]));
    let out = send(&mut cell, at(3), CellInput::EntryGone("i1".into()));
    assert_eq!(granted(&out), 0);
    let out = send(&mut cell, at(2500), load(2));
    assert_eq!(granted(&out), 0, "it may be older than the takeover");
    let out = send(&mut cell, at(3100), load(2));
    assert_eq!(
        granted(&out),
        2,
        "one slot is of the census, one of the entry that is gone"
    );
    let out = send(&mut cell, at(4000), load(3));
    assert_eq!(granted(&out), 0, "grants of this owner may be in it");
}

#[test]
fn without_load_reports_untracked_requests_expire_after_a_minute() {
    let (mut cell, _) = taken_over();
    send(&mut cell, at(2), census("i0", &[1]));
    send(&mut cell, at(3), CellInput::EntryGone("i1".into()));
    assert_eq!(cell.timer(), Some(at(60_000)));
    let out = send(&mut cell, at(60_000), CellInput::Tick);
    assert_eq!(granted(&out), 3);
}

#[test]
fn attempts_of_a_lost_entry_hold_their_slots_until_a_recent_load_report() {
    let mut cell = cell(&config(&[1], &[flat(2)]));
    let other = Offer {
        entry: "i1".into(),
        ..offer(1, "a0")
    };
    send(&mut cell, at(0), CellInput::Offer(other));
    for number in 2..5 {
        send(&mut cell, at(0), CellInput::Offer(offer(number, "a0")));
    }
    let out = send(&mut cell, at(10), CellInput::EntryGone("i1".into()));
    assert_eq!(granted(&out), 0);
    let out = send(&mut cell, at(2000), load(1));
    assert_eq!(granted(&out), 0);
    let out = send(&mut cell, at(4000), load(1));
    assert_eq!(granted(&out), 1);
    let counts = cell.status().counts;
    assert_eq!((counts.granted, counts.ended), (3, 1));
}

#[test]
fn a_handover_keeps_attempts_counters_and_endpoints() {
    let config = config(&[1, 2], &[flat(2)]);
    let mut first = cell(&config);
    for (number, account) in [(1, "a0"), (2, "a1"), (3, "a1")] {
        send(&mut first, at(0), CellInput::Offer(offer(number, account)));
    }
    send(&mut first, at(1), CellInput::Offer(offer(4, "a0")));
    let handover = first.hand_over();
    insta::assert_json_snapshot!(handover);

    let mut next = Cell::resume(handover, Epoch(3), config, at(7000));
    send(&mut next, at(7000), lease(Part::Full));
    for (number, account) in [(4, "a0"), (3, "a1")] {
        let out = send(
            &mut next,
            at(7001),
            CellInput::Offer(offer(number, account)),
        );
        assert_eq!(granted(&out), 0, "both slots are taken");
    }
    let grant = Grant {
        attempt: attempt(1),
        cell: cell_id(),
        epoch: Epoch(2),
        endpoint: "e0".into(),
        charged: 100,
    };
    let end = ended(&grant, "a0", 100, Ending::Answered);
    let out = send(&mut next, at(7002), CellInput::Report(end.clone()));
    assert_eq!(
        grants(&out)[0].attempt,
        attempt(3),
        "`a1` has the lower counter"
    );
    let again = send(&mut next, at(7003), CellInput::Report(end));
    assert_eq!(again, []);
}

#[test]
fn a_report_of_a_later_epoch_changes_nothing() {
    let mut cell = cell(&config(&[1], &[flat(1)]));
    let out = send(&mut cell, at(0), CellInput::Offer(offer(1, "a0")));
    let grant = grants(&out).remove(0);
    let later = Report {
        epoch: Epoch(3),
        attempt: attempt(9),
        ..ended(&grant, "a0", 5, Ending::Answered)
    };
    send(&mut cell, at(1), CellInput::Report(later));
    assert_eq!(cell.status().running, 1);
    assert_eq!(cell.status().counts.adopted, 0);
}
