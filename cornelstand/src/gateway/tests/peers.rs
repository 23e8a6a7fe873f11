//! Heartbeats of peers: their order, their absence and their sums.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;

use crate::gateway::admission::Demand;
use crate::gateway::directory::ViewVersions;
use crate::gateway::peers::{Heartbeat, Message, PeerLoad, Peers, Updates};
use crate::gateway::peers_link::handle_datagram;
use crate::gateway::tests::{gate, settings};
use crate::moment::Moment;
use crate::name::{AccountName, CentreName, InstanceName, ServiceName};

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

fn north() -> CentreName {
    CentreName::from("north")
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 7_400).into()
}

fn heartbeat(instance: &str, number: u64, running: u32) -> Heartbeat {
    Heartbeat {
        instance: InstanceName::from(instance),
        centre: CentreName::from("north"),
        cores: 0.25,
        activity: 1.0,
        incarnation: 1,
        number,
        store_time: Some(Duration::from_secs(9)),
        store_lost: false,
        versions: ViewVersions::default(),
        beliefs: address(),
        version: number,
        stopping: false,
        loads: vec![PeerLoad {
            endpoint: 5,
            running,
            waiting: 100.0,
            memory: 1_000.0,
            token_time: 8.0,
        }],
        attained_service: vec![(AccountName::from("ada"), 10.0)],
        demands: vec![(
            ServiceName::from("models"),
            vec![Demand {
                attained_service: 4.0,
                tokens: 100.0,
            }],
        )],
        token_times: vec![(ServiceName::from("models"), 20.0)],
        updates: Updates::default(),
    }
}

#[test]
fn a_late_heartbeat_does_not_replace_a_newer_one() {
    let mut peers = Peers::default();
    peers.record_heartbeat(at(0), address(), heartbeat("p", 2, 7));
    peers.record_heartbeat(at(1), address(), heartbeat("p", 1, 3));
    assert_eq!(peers.loads(at(1), &north())[&5].running, 7);
}

#[test]
fn loads_of_peers_add_up_and_those_of_silent_ones_do_not_count() {
    let mut peers = Peers::default();
    peers.record_heartbeat(at(0), address(), heartbeat("p", 1, 3));
    peers.record_heartbeat(at(1_000), address(), heartbeat("q", 1, 4));
    assert_eq!(peers.loads(at(1_000), &north())[&5].running, 7);
    assert_eq!(peers.loads(at(2_000), &north())[&5].running, 4);
    assert_eq!(
        peers.newly_silent(at(1_400), at(1_600)),
        [&InstanceName::from("p")]
    );
    assert!(peers.loads(at(5_000), &north()).is_empty());
}

#[test]
fn a_silent_peer_still_counts_for_limits() {
    let mut peers = Peers::default();
    peers.record_heartbeat(at(0), address(), heartbeat("p", 1, 3));
    assert_eq!(peers.count(), 2);
    peers.remove_silent(at(30_000));
    assert_eq!(peers.count(), 2);
}

#[test]
fn the_newest_configuration_is_found() {
    let mut peers = Peers::default();
    peers.record_heartbeat(at(0), address(), heartbeat("p", 3, 1));
    peers.record_heartbeat(at(0), address(), heartbeat("q", 5, 1));
    assert_eq!(
        peers.newer_config(at(0), 4).map(|(version, _)| version),
        Some(5)
    );
    assert_eq!(peers.newer_config(at(0), 5), None);
}

#[test]
fn a_restarted_peer_begins_anew() {
    let mut peers = Peers::default();
    peers.record_heartbeat(at(0), address(), heartbeat("p", 900, 7));
    let mut restarted = heartbeat("p", 1, 0);
    restarted.incarnation = 2;
    peers.record_heartbeat(at(1), address(), restarted);
    assert_eq!(peers.loads(at(1), &north())[&5].running, 0);
}

/// A fleet of `count` instances in each of two data centres, all heard at 0 ms.
fn fleet(count: usize) -> Peers {
    let mut peers = Peers::default();
    for centre in ["north", "south"] {
        for i in 0..count {
            let mut heartbeat = heartbeat(&format!("{centre}-{i}"), 1, 1);
            heartbeat.centre = CentreName::from(centre);
            heartbeat.cores = if i == 3 { 0.5 } else { 0.12 };
            peers.record_heartbeat(
                at(0),
                ([10, 0, 0, u8::try_from(i).expect("few")], 7_400).into(),
                heartbeat,
            );
        }
    }
    peers
}

#[test]
fn in_a_small_fleet_every_instance_watches_and_hears_all() {
    let peers = fleet(3);
    assert!(peers.is_leader(at(0), &settings("north-9"), false));
    assert_eq!(peers.heartbeat_targets(&north()).len(), 6);
}

#[test]
fn the_largest_instance_of_a_data_centre_leads_until_it_is_silent_stops_or_loses_the_store() {
    let mut peers = fleet(8);
    let mut small = settings("north-9");
    small.cores = 0.12;
    let mut large = settings("north-9");
    large.cores = 2.0;
    assert!(!peers.is_leader(at(0), &small, false));
    assert!(peers.is_leader(at(0), &large, false));
    assert!(peers.is_leader(at(5_000), &small, false));
    for i in 0..8 {
        let mut heartbeat = heartbeat(&format!("north-{i}"), 2, 1);
        heartbeat.store_lost = i % 2 != 0;
        heartbeat.stopping = i % 2 == 0;
        heartbeat.cores = 0.5;
        peers.record_heartbeat(at(10), address(), heartbeat);
    }
    assert!(peers.is_leader(at(10), &small, false));
}

#[test]
fn a_digest_replaces_the_heartbeats_of_its_data_centre() {
    let peers = fleet(8);
    let mut own = heartbeat("south-9", 7, 5);
    own.centre = CentreName::from("south");
    let digest = peers.digest(at(0), &own, 1, address());
    assert_eq!((digest.members, digest.loads[0].running), (9, 8 + 5));
    let mut elsewhere = fleet(8);
    assert!(elsewhere.record_digest(at(0), digest.clone()));
    assert!(!elsewhere.record_digest(at(0), digest));
    assert_eq!(elsewhere.loads(at(0), &north())[&5].running, 8 + 13);
}

#[test]
fn messages_of_a_large_fleet_stay_in_their_data_centre_but_for_the_digests() {
    let peers = fleet(8);
    assert_eq!(peers.heartbeat_targets(&north()).len(), 8);
    let leaders: Vec<_> = (0..2)
        .map(|turn| peers.digest_targets(at(0), &north(), turn))
        .collect();
    assert_eq!((leaders[0].len(), leaders[1].len()), (1, 1));
    assert_ne!(leaders[0], leaders[1]);
    // The largest one comes first.
    assert_eq!(leaders[0], ["10.0.0.3:7400".parse().expect("an address")]);
}

#[test]
fn digests_take_turns_however_many_heartbeats_come_between() {
    for heartbeats in 0..3 {
        let gate = gate("north-9", Vec::new());
        let mut peers = fleet(8);
        let mut south = heartbeat("south-9", 7, 5);
        south.centre = CentreName::from("south");
        let heard = peers.digest(at(0), &south, 1, address());
        peers.record_digest(at(0), heard);
        gate.state.borrow_mut().peers = peers;
        let mut leaders = BTreeSet::new();
        for _ in 0..4 {
            (0..heartbeats).for_each(|_| drop(gate.heartbeat()));
            let digest = gate.digest();
            let state = gate.state.borrow();
            leaders.extend(state.peers.digest_targets(at(0), &north(), digest.order.1));
        }
        assert!(leaders.len() > 1, "{heartbeats} beats between: {leaders:?}");
    }
}

#[test]
fn a_newer_configuration_of_another_data_centre_is_known_by_its_digest() {
    let mut peers = fleet(8);
    let mut own = heartbeat("south-9", 7, 5);
    own.centre = CentreName::from("south");
    own.version = 9;
    let digest = peers.digest(at(0), &own, 1, address());
    assert_eq!(peers.newer_config(at(0), 4), None);
    peers.record_digest(at(0), digest);
    assert_eq!(
        peers.newer_config(at(0), 4).map(|(version, _)| version),
        Some(9)
    );
    assert_eq!(peers.newer_config(at(2_000), 4), None);
}

#[test]
fn two_instances_of_a_data_centre_watch_the_store_in_a_large_fleet() {
    let mut peers = fleet(8);
    let mut second = settings("north-9");
    second.cores = 0.3;
    assert!(!peers.is_leader(at(0), &second, false) && peers.watches_store(at(0), &second, false));
    let mut third = settings("north-8");
    third.cores = 0.25;
    let mut heartbeat = heartbeat("north-9", 1, 1);
    heartbeat.cores = 0.3;
    peers.record_heartbeat(at(0), address(), heartbeat);
    assert!(!peers.watches_store(at(0), &third, false));
}

#[test]
fn the_store_was_there_as_long_as_for_the_peer_that_had_it_longest() {
    let mut peers = fleet(3);
    let mut disconnected = heartbeat("north-7", 1, 1);
    disconnected.store_time = None;
    peers.record_heartbeat(at(0), address(), disconnected);
    let elsewhere = CentreName::from("elsewhere");
    assert_eq!(
        peers.store_time(at(0), &north()),
        Some(Duration::from_secs(9))
    );
    assert_eq!(peers.store_time(at(0), &elsewhere), None);
}

/// An instance that is alone in its data centre took a cut from the store for an outage, and kept
/// using endpoints whose entries had gone.
#[test]
fn a_peer_elsewhere_shows_for_how_long_the_store_was_there_while_it_was_heard() {
    let elsewhere = CentreName::from("elsewhere");
    let mut peers = Peers::default();
    let mut number = 0;
    let mut hear = |peers: &mut Peers, from: u64, until: u64| {
        for ms in (from..=until).step_by(500) {
            number += 1;
            peers.record_heartbeat(at(ms), address(), heartbeat("north-1", number, 1));
        }
    };
    hear(&mut peers, 1_000, 5_000);
    let store_time = |peers: &Peers, ms| peers.store_time(at(ms), &elsewhere);
    assert_eq!(store_time(&peers, 5_000), Some(Duration::from_secs(4)));
    // After a silence its evidence begins anew, as after a cut between the data centres.
    assert_eq!(store_time(&peers, 8_000), None);
    hear(&mut peers, 8_000, 8_000);
    assert_eq!(store_time(&peers, 8_000), None);
    hear(&mut peers, 8_500, 9_000);
    assert_eq!(store_time(&peers, 9_000), Some(Duration::from_secs(1)));
    // No more than the peer itself knows.
    hear(&mut peers, 9_500, 60_000);
    assert_eq!(store_time(&peers, 60_000), Some(Duration::from_secs(9)));
}

/// Guards against all instances of a data centre calling the store, and leading, after its two
/// watchers lost the store: up to 14,803 calls on a day.
#[test]
fn while_the_store_is_away_two_instances_at_a_time_ask_it() {
    let names: Vec<String> = (0..30).map(|i| format!("north-{i}")).collect();
    let mut lost = vec![false; names.len()];
    let (mut asked, mut number) = (BTreeSet::new(), 0);
    for round in 0..20 {
        let mut peers = Peers::default();
        for (name, is_lost) in names.iter().zip(&lost) {
            number += 1;
            let mut heartbeat = heartbeat(name, number, 1);
            (heartbeat.store_time, heartbeat.store_lost) = (None, *is_lost);
            peers.record_heartbeat(at(round), address(), heartbeat);
        }
        let watching = (0..names.len()).filter(|i| {
            let mut own = settings(&names[*i]);
            own.cores = 0.25;
            peers.watches_store(at(round), &own, lost[*i])
        });
        let watching: Vec<usize> = watching.collect();
        assert_eq!(watching.len(), 2, "round {round}");
        for i in watching {
            lost[i] = true;
            asked.insert(i);
        }
    }
    assert_eq!(asked.len(), names.len(), "each tries in its turn");
}

/// Guards against a process that ends by the arithmetic on a damaged message.
#[rstest]
#[case::attained(|h: &mut Heartbeat, value| h.attained_service[0].1 = value)]
#[case::demand(|h: &mut Heartbeat, value| h.demands[0].1[0].tokens = value)]
#[case::attained_demand(|h: &mut Heartbeat, value| h.demands[0].1[0].attained_service = value)]
#[case::token_time(|h: &mut Heartbeat, value| h.token_times[0].1 = value)]
#[case::load(|h: &mut Heartbeat, value| h.loads[0].memory = value)]
#[case::activity(|h: &mut Heartbeat, value| h.activity = value)]
#[case::negative_activity(|h: &mut Heartbeat, value: f32| h.activity = -value.abs().min(1_000.0))]
#[case::cores(|h: &mut Heartbeat, value| h.cores = value)]
fn a_message_with_an_estimate_out_of_range_is_dropped(#[case] set: fn(&mut Heartbeat, f32)) {
    for value in [f32::INFINITY, f32::NEG_INFINITY, f32::NAN] {
        let gate = gate("one", Vec::new());
        let mut sent = heartbeat("two", 1, 3);
        set(&mut sent, value);
        let bytes = postcard::to_stdvec(&Message::Heartbeat(sent)).expect("encoded");
        handle_datagram(&gate, address(), &bytes);
        gate.apply_peer_state();
        let state = gate.state.borrow();
        let retry_after = state.admission.retry_after(gate.now(), &"ada".into());
        assert!(retry_after < Duration::from_mins(1));
        assert_eq!(state.peers.live(gate.now()).count(), 0, "{value}");
    }
}
