//! Tests of writer selection.

use std::collections::BTreeMap;

use super::writer;
use crate::gossip::{Member, MemberState};
use crate::name::{Incarnation, Revision};

fn members(count: u32) -> Vec<Member> {
    (0..count)
        .map(|i| Member {
            name: format!("i{i}").as_str().into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            centre: "dock".into(),
            incarnation: Incarnation(1),
            count: 0,
            state: MemberState::Live,
            revision: Revision(1),
        })
        .collect()
}

#[test]
fn the_same_live_member_writes_a_shard_for_all() {
    let present = members(8);
    let mut other_order = members(8);
    other_order.reverse();
    for shard in 0..16 {
        let chosen = writer(shard, &present);
        assert_eq!(chosen, writer(shard, &other_order));
    }
}

#[test]
fn only_the_shards_of_a_leaving_member_move() {
    let present = members(8);
    let mut fewer = members(8);
    fewer[3].state = MemberState::Leaving;
    for shard in 0..16 {
        let (before, after) = (writer(shard, &present), writer(shard, &fewer));
        let stays = before.as_ref().is_some_and(|m| m.name.as_str() != "i3");
        assert_eq!(before == after, stays);
    }
}

#[test]
fn shards_spread_over_the_members() {
    let mut counts = BTreeMap::new();
    for shard in 0..16 {
        let name = writer(shard, &members(8)).map(|m| m.name.clone());
        *counts.entry(name).or_insert(0) += 1;
    }
    assert!(counts.values().all(|shards| *shards <= 6), "{counts:?}");
}

#[test]
fn without_members_a_shard_is_written_here() {
    assert_eq!(writer(0, &[]), None);
}
