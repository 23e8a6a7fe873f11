//! Figures that follow from the machines alone, as snapshots: traffic of the gossip and calls to
//! the store for the leases.

use cornelstand::{CellId, Epoch, MemberInput, MemberState, Revision};
use rstest::rstest;
use serde::Serialize;

use crate::lease::run;
use crate::ring::Ring;
use crate::swarm::{Swarm, name};

/// Bytes a second that an instance may spend on control, by the target.
const BUDGET: u64 = 24_000;

/// Seconds in which a note has to be in force everywhere.
const NOTE_SECONDS: u64 = 11;

/// Seconds over which rates are taken.
const SECONDS: u64 = 20;

#[derive(Debug, Serialize)]
struct Traffic {
    members: usize,
    cells: usize,
    /// Seconds until all know all after all started at once.
    joined: u64,
    /// Bytes a second and instance, sent and received, when nothing happens but claims.
    quiet: u64,
    /// The same while one member in ten is restarted each minute and a note comes every 10 s.
    busy: u64,
    /// Messages a second and instance, sent and received.
    messages: u64,
    /// Most seconds from a revision's acceptance until all know of it, of three.
    revision: u64,
    /// Seconds until a killed member is dead everywhere.
    dead: u64,
}

fn claims(swarm: &mut Swarm, cells: usize, round: u64) {
    for index in 0..cells {
        let claim = MemberInput::Claim {
            cell: CellId {
                service: "quotes".into(),
                index: u16::try_from(index).unwrap_or(0),
            },
            epoch: Epoch(2),
            delay: u32::try_from(round).unwrap_or(0),
        };
        let owner = index % swarm.nodes.len();
        swarm.input(owner, claim);
    }
}

/// Bytes and messages a second and instance over `seconds`, with what `each` does.
fn rates(swarm: &mut Swarm, seconds: u64, mut each: impl FnMut(&mut Swarm, u64)) -> (u64, u64) {
    (swarm.bytes, swarm.messages) = (0, 0);
    for second in 0..seconds {
        each(swarm, second);
        swarm.second();
    }
    // A message is sent by one instance and received by another.
    let share = swarm.nodes.len() as u64 * seconds;
    (2 * swarm.bytes / share, 2 * swarm.messages / share)
}

fn traffic(count: usize, cells: usize) -> Traffic {
    let mut swarm = Swarm::new(count, 42);
    let joined = swarm.until(300, Swarm::is_agreed).expect("agreement");
    let (quiet, messages) = rates(&mut swarm, SECONDS, |s, second| {
        if second % 2 == 0 {
            claims(s, cells, second);
        }
    });
    let mut revision = 0;
    for number in 1..=3 {
        let value = Revision(number);
        swarm.input(1, MemberInput::Known(value));
        let seconds = swarm.until(60, |s| s.running().all(|m| m.revision() == value));
        revision = revision.max(seconds.expect("known everywhere"));
    }
    let (busy, _) = rates(&mut swarm, SECONDS, |s, second| {
        if second % 2 == 0 {
            claims(s, cells, second);
        }
        if second.is_multiple_of((600 / count as u64).max(1)) {
            s.start(usize::try_from(second).unwrap_or(0) * 7 % count);
        }
        if second.is_multiple_of(10) {
            for index in 0..count {
                s.input(index, MemberInput::InForce(Revision(100 + second)));
            }
        }
    });
    swarm.until(300, Swarm::is_agreed).expect("agreement");
    let victim = count - 1;
    swarm.nodes[victim] = None;
    let victim = name(victim).as_str().into();
    let is_dead = |s: &Swarm| {
        let mut states = s.running().map(|m| m.get(&victim).map(|m| m.state));
        states.all(|state| state == Some(MemberState::Dead))
    };
    let dead = swarm.until(60, is_dead).expect("dead everywhere");
    Traffic {
        members: count,
        cells,
        joined,
        quiet,
        busy,
        messages,
        revision,
        dead,
    }
}

#[rstest]
#[case::at_8(8, 2)]
#[case::at_80(80, 16)]
#[case::at_400(400, 64)]
fn gossip_stays_within_the_budget(#[case] count: usize, #[case] cells: usize) {
    let figures = traffic(count, cells);
    assert!(
        figures.quiet < BUDGET && figures.busy < BUDGET,
        "{figures:?}"
    );
    assert!(figures.revision < NOTE_SECONDS, "{figures:?}");
    insta::assert_json_snapshot!(format!("gossip_{count}"), figures);
}

#[rstest]
fn a_lease_costs_the_same_calls_whatever_the_number_of_members(#[values(8, 80, 400)] count: usize) {
    let mut ring = Ring::new(count);
    run(&mut ring, 300);
    let before = ring.calls;
    run(&mut ring, 3_000);
    // Five minutes: a renewal every three seconds and nothing else.
    assert_eq!(ring.calls - before, 100);
}
