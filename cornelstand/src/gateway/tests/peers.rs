//! Beats of peers: their order, their silence and what they add up to.

use std::net::SocketAddr;

use crate::gateway::peers::{Beat, PeerLoad, Peers};
use crate::moment::Moment;
use crate::name::{AccountName, CentreName, InstanceName, ServiceName};

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 7_400).into()
}

fn beat(instance: &str, number: u64, running: u32) -> Beat {
    Beat {
        instance: InstanceName::from(instance),
        centre: CentreName::from("north"),
        incarnation: 1,
        number,
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
        attained: vec![(AccountName::from("ada"), 10.0)],
        wanting: vec![(ServiceName::from("models"), 4.0)],
        suspicions: Vec::new(),
    }
}

#[test]
fn a_late_beat_does_not_replace_a_newer_one() {
    let mut peers = Peers::default();
    peers.hear(at(0), address(), beat("p", 2, 7));
    peers.hear(at(1), address(), beat("p", 1, 3));
    assert_eq!(peers.loads(at(1))[&5].running, 7);
}

#[test]
fn loads_of_peers_add_up_and_those_of_silent_ones_do_not_count() {
    let mut peers = Peers::default();
    peers.hear(at(0), address(), beat("p", 1, 3));
    peers.hear(at(1_000), address(), beat("q", 1, 4));
    assert_eq!(peers.loads(at(1_000))[&5].running, 7);
    assert_eq!(peers.loads(at(2_000))[&5].running, 4);
    assert_eq!(peers.lost(at(1_400), at(1_600)), [&InstanceName::from("p")]);
    assert!(peers.loads(at(5_000)).is_empty());
}

#[test]
fn a_silent_peer_still_counts_for_limits() {
    let mut peers = Peers::default();
    peers.hear(at(0), address(), beat("p", 1, 3));
    assert_eq!(peers.count(), 2);
    peers.forget(at(30_000));
    assert_eq!(peers.count(), 2);
}

#[test]
fn the_newest_configuration_is_found() {
    let mut peers = Peers::default();
    peers.hear(at(0), address(), beat("p", 3, 1));
    peers.hear(at(0), address(), beat("q", 5, 1));
    assert_eq!(peers.ahead(at(0), 4).map(|(version, _)| version), Some(5));
    assert_eq!(peers.ahead(at(0), 5), None);
}

#[test]
fn a_restarted_peer_begins_anew() {
    let mut peers = Peers::default();
    peers.hear(at(0), address(), beat("p", 900, 7));
    let mut again = beat("p", 1, 0);
    again.incarnation = 2;
    peers.hear(at(1), address(), again);
    assert_eq!(peers.loads(at(1))[&5].running, 0);
}
