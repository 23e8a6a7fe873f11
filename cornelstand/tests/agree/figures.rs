//! Snapshots of costs that follow from the state machines alone: gossip traffic, and store calls
//! for leases.

use cornelstand::{CellId, Epoch, MemberInput, MemberState, Revision};
use rstest::rstest;
use serde::Serialize;

use crate::lease::run;
use crate::ring::Ring;
use crate::swarm::{Swarm, name};

/// Target for the control traffic of an instance, in bytes per second.
const MAX_BYTES_PER_SECOND: u64 = 24_000;

/// Time limit for a note to take effect on all instances.
const MAX_NOTE_SECONDS: u64 = 11;

/// Averaging period of rates.
const SAMPLE_SECONDS: u64 = 20;

#[derive(Debug, Serialize)]
struct Traffic {
    members: usize,
    cells: usize,
    /// Seconds until full membership after a simultaneous start.
    joined: u64,
    /// Bytes per second and instance, sent and received, with claims as the only events.
    quiet: u64,
    /// The same with one member in ten restarted per minute and a note every 10 s.
    busy: u64,
    /// Messages per second and instance, sent and received.
    messages: u64,
    /// Maximum seconds, over three revisions, from acceptance until all know the revision.
    revision: u64,
    /// Seconds until all members consider a killed member dead.
    dead: u64,
}

fn send_claims(swarm: &mut Swarm, cells: usize, round: u64) {
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

/// Bytes and messages per second and instance over `seconds`, running `each` every second.
fn rates(swarm: &mut Swarm, seconds: u64, mut each: impl FnMut(&mut Swarm, u64)) -> (u64, u64) {
    (swarm.bytes, swarm.messages) = (0, 0);
    for second in 0..seconds {
        each(swarm, second);
        swarm.second();
    }
    // Each message counts twice, at its sender and its receiver.
    let share = swarm.nodes.len() as u64 * seconds;
    (2 * swarm.bytes / share, 2 * swarm.messages / share)
}

fn traffic(count: usize, cells: usize) -> Traffic {
    let mut swarm = Swarm::new(count, 42);
    let joined = swarm.until(300, Swarm::is_agreed).expect("agreement");
    let (quiet, messages) = rates(&mut swarm, SAMPLE_SECONDS, |s, second| {
        if second % 2 == 0 {
            send_claims(s, cells, second);
        }
    });
    let mut revision = 0;
    for number in 1..=3 {
        let value = Revision(number);
        swarm.input(1, MemberInput::Known(value));
        let seconds = swarm.until(60, |s| s.running().all(|m| m.revision() == value));
        revision = revision.max(seconds.expect("known everywhere"));
    }
    let (busy, _) = rates(&mut swarm, SAMPLE_SECONDS, |s, second| {
        if second % 2 == 0 {
            send_claims(s, cells, second);
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
        figures.quiet < MAX_BYTES_PER_SECOND && figures.busy < MAX_BYTES_PER_SECOND,
        "{figures:?}"
    );
    assert!(figures.revision < MAX_NOTE_SECONDS, "{figures:?}");
    insta::assert_json_snapshot!(format!("gossip_{count}"), figures);
}

#[rstest]
fn a_lease_costs_the_same_calls_whatever_the_number_of_members(#[values(8, 80, 400)] count: usize) {
    let mut ring = Ring::new(count);
    run(&mut ring, 300);
    let before = ring.calls;
    run(&mut ring, 3_000);
    // Five minutes with only a renewal every three seconds.
    assert_eq!(ring.calls - before, 100);
}
