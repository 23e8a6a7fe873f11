//! Injects every fault at every step of a cell's ownership, once and twice.

use std::fmt::Write as _;

use cornelstand::{LeaseInput, Part};

use crate::lease::{end_faults, no_delay, run, update_views};
use crate::ring::{Fate, Ring};

/// Duration of a fault in simulation steps: 30 s.
const FAULT_STEPS: u64 = 300;

/// Time allowed for recovery, in simulation steps: 60 s.
const RECOVERY_STEPS: u64 = 600;

/// Phase of a cell's ownership.
#[derive(Clone, Copy, Debug)]
enum Step {
    Acquire,
    Hold,
    Renew,
    HandOver,
    TakeOver,
    Recover,
    CentreOut,
    CentreBack,
}

const STEPS: [(Step, &str); 8] = [
    (Step::Acquire, "acquire"),
    (Step::Hold, "hold"),
    (Step::Renew, "renew"),
    (Step::HandOver, "hand over (planned stop)"),
    (Step::TakeOver, "take over"),
    (Step::Recover, "recover"),
    (Step::CentreOut, "data centre out"),
    (Step::CentreBack, "data centre back"),
];

/// Injected fault. Its subject is the acting owner, or else the first candidate.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    StoreDown,
    AnswersLost,
    NoStore,
    CutFromHeir,
    CutFromAll,
    Paused,
    Killed,
    Restarted,
    HeirKilled,
    AllRestarted,
    KilledInOutage,
}

const FAULTS: [(Fault, &str); 12] = [
    (Fault::None, "none"),
    (Fault::StoreDown, "store down"),
    (Fault::AnswersLost, "answers lost after the write"),
    (Fault::NoStore, "cut off from the store alone"),
    (Fault::CutFromHeir, "cut off from the heir"),
    (Fault::CutFromAll, "cut off from all peers"),
    (Fault::Paused, "paused"),
    (Fault::Killed, "killed"),
    (Fault::Restarted, "restarted with nothing"),
    (Fault::HeirKilled, "heir killed"),
    (Fault::AllRestarted, "all restarted with nothing"),
    (Fault::KilledInOutage, "killed, store and list down"),
];

fn ring_at(step: Step) -> Ring {
    let mut ring = Ring::new(4);
    if matches!(step, Step::Acquire) {
        update_views(&mut ring);
        return ring;
    }
    run(&mut ring, 60);
    match step {
        Step::Acquire | Step::Hold => {}
        Step::Renew => {
            let calls = ring.calls;
            while ring.calls == calls {
                run(&mut ring, 1);
            }
        }
        Step::HandOver => {
            ring.nodes[0].is_draining = true;
            ring.input(0, LeaseInput::Drain, &mut no_delay);
        }
        Step::TakeOver | Step::Recover => {
            ring.kill(0);
            let steps = if matches!(step, Step::TakeOver) {
                70
            } else {
                140
            };
            run(&mut ring, steps);
        }
        Step::CentreOut => {
            ring.nodes[0].is_draining = true;
            update_views(&mut ring);
        }
        Step::CentreBack => {
            ring.nodes[0].is_draining = true;
            run(&mut ring, 100);
            ring.nodes[0].is_draining = false;
            update_views(&mut ring);
        }
    }
    ring
}

fn subject(ring: &Ring) -> usize {
    let acting = ring.parts().iter().position(Option::is_some);
    let running = ring.nodes.iter().position(|n| n.is_up);
    acting.or(running).unwrap_or(0)
}

/// First other instance named by the lease.
fn heir(ring: &Ring, subject: usize) -> usize {
    let holders = ring.holders();
    let is_heir = |i: &usize| *i != subject && holders.contains(&ring.nodes[*i].holder);
    let indices = 0..ring.nodes.len();
    indices.clone().find(is_heir).unwrap_or((subject + 1) % 4)
}

fn inject(ring: &mut Ring, fault: Fault) {
    let subject = subject(ring);
    let heir = heir(ring, subject);
    let pair = |other: usize| (subject.min(other), subject.max(other));
    match fault {
        Fault::None | Fault::AnswersLost => {}
        Fault::StoreDown => ring.is_store_up = false,
        Fault::NoStore => ring.nodes[subject].has_store = false,
        Fault::CutFromHeir => {
            ring.cut.insert(pair(heir));
        }
        Fault::CutFromAll => ring.cut.extend((0..4).filter(|i| *i != subject).map(pair)),
        Fault::Paused => ring.nodes[subject].paused_until = ring.step + FAULT_STEPS,
        Fault::Killed => ring.kill(subject),
        Fault::Restarted => ring.restart(subject),
        Fault::HeirKilled => ring.kill(heir),
        Fault::AllRestarted => (0..4).for_each(|i| ring.restart(i)),
        Fault::KilledInOutage => {
            ring.is_store_up = false;
            ring.is_list_up = false;
            ring.kill(subject);
        }
    }
}

/// Steps without any part, and with less than the full limit.
#[derive(Default)]
struct Cost {
    unserved: u64,
    reduced: u64,
}

fn advance(ring: &mut Ring, steps: u64, cost: &mut Cost, fate: &mut dyn FnMut() -> Fate) {
    for step in 0..steps {
        if step % 10 == 0 {
            update_views(ring);
        }
        ring.step(fate);
        let parts: Vec<Part> = ring.parts().into_iter().flatten().collect();
        let halves: u32 = parts.iter().map(|p| p.of(2)).sum();
        cost.unserved += u64::from(halves == 0);
        cost.reduced += u64::from(halves < 2);
    }
}

/// Cost of a fault at a step; panics if a limit is exceeded or the cell does not recover.
fn cost(step: Step, fault: Fault, times: u32) -> Cost {
    let mut ring = ring_at(step);
    let mut cost = Cost::default();
    let mut lose_reply = || Fate::LoseReply(20);
    for _ in 0..times {
        inject(&mut ring, fault);
        let fate: &mut dyn FnMut() -> Fate = match fault {
            Fault::AnswersLost => &mut lose_reply,
            _ => &mut no_delay,
        };
        advance(&mut ring, FAULT_STEPS, &mut cost, fate);
        end_faults(&mut ring);
        advance(&mut ring, RECOVERY_STEPS, &mut cost, &mut no_delay);
        let parts: Vec<Part> = ring.parts().into_iter().flatten().collect();
        assert_eq!(parts, [Part::Full], "{step:?}, {fault:?}");
    }
    cost
}

fn table(times: u32) -> String {
    let mut table = "| fault |".to_owned();
    for (_, name) in STEPS {
        let _ = write!(table, " {name} |");
    }
    table += "\n| --- |";
    table += &" --- |".repeat(STEPS.len());
    for (fault, name) in FAULTS {
        let _ = write!(table, "\n| {name} |");
        for (step, _) in STEPS {
            let Cost { unserved, reduced } = cost(step, fault, times);
            let tenths = |n: u64| format!("{}.{}", n / 10, n % 10);
            let _ = write!(table, " {} / {} |", tenths(unserved), tenths(reduced));
        }
    }
    table
}

#[rstest::rstest]
#[case::once(1)]
#[case::twice(2)]
fn every_fault_at_every_step(#[case] times: u32) {
    let table = table(times);
    insta::assert_snapshot!(format!("matrix_{times}"), table);
    let page = include_str!("../../../docs/FAULTS-FLEET.md");
    assert!(page.contains(&table), "docs/FAULTS-FLEET.md differs");
}
