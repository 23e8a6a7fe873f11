//! Membership: convergence, suspicion, partitions and restarts, with bounded messages.

use cornelstand::{
    CellId, Epoch, Incarnation, InstanceName, MemberInput, MemberState, Moment, Revision, Seed,
    Stamp,
};
use rstest::rstest;

use crate::swarm::{Swarm, name};

fn instance(index: usize) -> InstanceName {
    name(index).as_str().into()
}

fn state(swarm: &Swarm, viewer: usize, index: usize) -> Option<MemberState> {
    let members = swarm.nodes[viewer].as_ref()?;
    members.get(&instance(index)).map(|m| m.state)
}

fn converged(count: usize, seed: u64) -> Swarm {
    let mut swarm = Swarm::new(count, seed);
    let seconds = swarm.until(120, Swarm::is_agreed);
    assert!(seconds.is_some(), "no agreement");
    swarm
}

#[rstest]
fn all_members_learn_of_all_others(
    #[values(1, 2, 8, 80)] count: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    converged(count, seed);
}

#[rstest]
fn a_killed_instance_is_dead_everywhere(#[values(8, 80)] count: usize) {
    let mut swarm = converged(count, 7);
    swarm.nodes[5] = None;
    let seconds = swarm.until(40, |s| {
        let mut viewers = (0..count).filter(|i| *i != 5);
        viewers.all(|v| state(s, v, 5) == Some(MemberState::Dead))
    });
    assert!(seconds.is_some());
}

#[test]
fn a_lossy_network_declares_no_member_dead() {
    let mut swarm = converged(40, 3);
    swarm.loss = 20;
    swarm.changes.clear();
    for _ in 0..300 {
        swarm.second();
    }
    let dead: Vec<_> = swarm
        .changes
        .iter()
        .filter(|(_, m)| m.state.is_dead())
        .collect();
    assert!(dead.is_empty(), "{dead:?}");
}

#[test]
fn a_restarted_instance_without_state_is_known_by_its_new_process() {
    let mut swarm = converged(20, 4);
    swarm.start(9);
    assert!(swarm.until(60, Swarm::is_agreed).is_some());
    let old = Incarnation(1_700_000_000_000_000 + 10);
    let members = swarm.nodes[0].as_ref().expect("running");
    assert!(members.is_gone(&instance(9), old));
}

#[test]
fn the_sides_of_a_healed_partition_agree_again() {
    let mut swarm = converged(30, 5);
    for index in 0..10 {
        swarm.sides[index] = 1;
    }
    for _ in 0..120 {
        swarm.second();
    }
    assert_eq!(state(&swarm, 0, 20), Some(MemberState::Dead));
    assert_eq!(state(&swarm, 20, 0), Some(MemberState::Dead));
    swarm.sides.fill(0);
    let seconds = swarm.until(60, Swarm::is_agreed);
    assert!(seconds.is_some(), "no agreement after the partition");
}

#[test]
fn a_leaving_instance_is_not_live_and_gone_once_it_has_left() {
    let mut swarm = converged(8, 6);
    let process = swarm.nodes[3].as_ref().expect("running").me().incarnation;
    swarm.input(3, MemberInput::Leave);
    for _ in 0..10 {
        swarm.second();
    }
    let members = swarm.nodes[0].as_ref().expect("running");
    assert_eq!(state(&swarm, 0, 3), Some(MemberState::Leaving));
    assert!(members.live().all(|m| m.name != instance(3)));
    assert!(!members.is_gone(&instance(3), process));
    swarm.input(3, MemberInput::Left);
    swarm.second();
    swarm.nodes[3] = None;
    for _ in 0..10 {
        swarm.second();
    }
    let members = swarm.nodes[0].as_ref().expect("running");
    assert!(members.is_gone(&instance(3), process));
}

#[test]
fn only_an_absence_longer_than_the_lists_lag_proves_an_end() {
    let mut swarm = converged(4, 8);
    let process = swarm.nodes[3].as_ref().expect("running").me().incarnation;
    let listed = |indices: &[usize]| MemberInput::Seeds {
        seeds: indices
            .iter()
            .map(|i| Seed {
                name: Some(instance(*i)),
                address: ([10, 0, 0, 1], 1000 + u16::try_from(*i).expect("few")).into(),
                leaving: false,
            })
            .collect(),
        is_complete: true,
    };
    swarm.input(0, listed(&[0, 1, 2, 3]));
    swarm.nodes[3] = None;
    let mut gone_at = Vec::new();
    for second in 0..30 {
        swarm.second();
        swarm.input(0, listed(&[0, 1, 2]));
        let members = swarm.nodes[0].as_ref().expect("running");
        if members.is_gone(&instance(3), process) {
            gone_at.push(second);
        }
    }
    // Last listed at the start, so the tenth second is the first after the lag.
    assert_eq!(gone_at.first(), Some(&9));
    // Without further lists, a long absence proves nothing.
    let mut other = converged(4, 9);
    other.input(0, listed(&[0, 1, 2, 3]));
    other.nodes[3] = None;
    for _ in 0..60 {
        other.second();
    }
    let members = other.nodes[0].as_ref().expect("running");
    assert!(!members.is_gone(&instance(3), process));
}

#[test]
fn the_highest_epoch_of_a_cell_wins_whatever_the_order() {
    let mut swarm = converged(8, 10);
    let cell = CellId {
        service: "quotes".into(),
        index: 0,
    };
    let claim = |epoch| MemberInput::Claim {
        cell: CellId {
            service: "quotes".into(),
            index: 0,
        },
        epoch: Epoch(epoch),
        delay: 3,
    };
    swarm.input(2, claim(4));
    swarm.input(5, claim(2));
    for _ in 0..20 {
        swarm.second();
        swarm.input(5, claim(2));
    }
    for members in swarm.running() {
        let owner = members.owner(&cell).expect("an owner");
        assert_eq!((owner.epoch, &owner.owner), (Epoch(4), &instance(2)));
    }
}

#[test]
fn a_known_revision_reaches_all_and_never_falls() {
    let mut swarm = converged(80, 11);
    swarm.input(17, MemberInput::Known(Revision(9)));
    let is_known = |s: &Swarm| s.running().all(|m| m.revision() == Revision(9));
    assert!(swarm.until(11, is_known).is_some());
    swarm.input(17, MemberInput::Known(Revision(3)));
    swarm.start(20);
    assert!(swarm.until(11, is_known).is_some());
}

#[test]
fn a_message_that_comes_twice_or_late_changes_nothing() {
    let mut swarm = converged(3, 12);
    let gossip = swarm.input(
        1,
        MemberInput::Received {
            gossip: Box::new(empty_gossip(&swarm, 0)),
            stamp: Stamp::default(),
        },
    );
    let gossip = Box::new(gossip.expect("a reply"));
    swarm.input(1, MemberInput::Leave);
    for _ in 0..5 {
        swarm.second();
    }
    swarm.changes.clear();
    for _ in 0..3 {
        swarm.input(0, MemberInput::Answered(gossip.clone()));
    }
    assert_eq!(swarm.changes, []);
    assert_eq!(state(&swarm, 0, 1), Some(MemberState::Leaving));
}

fn empty_gossip(swarm: &Swarm, index: usize) -> cornelstand::Gossip {
    let members = swarm.nodes[index].as_ref().expect("running");
    cornelstand::Gossip {
        from: members.me().clone(),
        stamp: Stamp::default(),
        known: Revision(0),
        size: 0,
        members: Vec::new(),
        cells: Vec::new(),
        extra: Vec::new(),
    }
}

#[test]
fn suspects_are_asked_and_refute() {
    let mut swarm = converged(8, 13);
    let address = swarm.nodes[4].as_ref().expect("running").me().address;
    swarm.input(0, MemberInput::NoReply(address));
    assert_eq!(state(&swarm, 0, 4), Some(MemberState::Live));
    swarm.input(0, MemberInput::NoReply(address));
    assert_eq!(state(&swarm, 0, 4), Some(MemberState::Suspect));
    for _ in 0..5 {
        swarm.second();
    }
    assert_eq!(state(&swarm, 0, 4), Some(MemberState::Live));
    assert!(swarm.now() > Moment(0));
}
