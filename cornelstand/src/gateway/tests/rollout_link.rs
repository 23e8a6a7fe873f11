//! Orders of roll-outs between the store, the peers and the decisions.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::directory::{DirectorySnapshot, OrderRecord};
use crate::gateway::gate::Gate;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers_link::{Packet, handle_datagram, heartbeat_packet};
use crate::gateway::rollout::{Order, OrderId};
use crate::gateway::settings::RolloutBounds;
use crate::gateway::tests::{MODELS, catalog, settings};
use crate::name::{ServiceName, VersionName};

fn order(target: &str, created: u64, revision: u64) -> OrderRecord {
    OrderRecord {
        name: MODELS.to_owned(),
        revision,
        order: Order {
            id: OrderId {
                service: ServiceName::from(MODELS),
                target: VersionName::from(target),
                created,
            },
            duration: Duration::from_secs(12),
            status: None,
        },
    }
}

fn rollout_gate(name: &str) -> Rc<Gate> {
    let mut settings = settings(name);
    settings.rollout = Some(RolloutBounds {
        share: 0.1,
        slack: 50.0,
        rollback: Duration::from_secs(5),
    });
    let metrics = GatewayMetrics::new().expect("metrics are defined once");
    let gate = Gate::new(settings, metrics, 1);
    gate.state.borrow_mut().directory.set_catalog(catalog(1));
    Rc::new(gate)
}

fn hear(gate: &Gate, record: OrderRecord) {
    let revision = record.revision;
    let mut state = gate.state.borrow_mut();
    state.directory.put_order(record);
    assert!(state.directory.mark_orders(revision));
    drop(state);
    gate.apply_orders();
}

fn deliver(from: &Gate, to: &Gate) -> Packet {
    let packet = heartbeat_packet(from).expect("a heartbeat");
    handle_datagram(to, ([127, 0, 0, 1], 7).into(), &packet.bytes);
    packet
}

#[test]
fn a_peer_that_knows_newer_orders_is_asked_for_them() {
    let (one, two) = (rollout_gate("one"), rollout_gate("two"));
    let newer = |gate: &Gate| {
        let centre = gate.settings.borrow().centre.clone();
        gate.state.borrow().newer_orders(gate.now(), &centre)
    };
    deliver(&one, &two);
    assert_eq!(newer(&two), None);
    hear(&one, order("v2", 4, 4));
    deliver(&one, &two);
    assert!(newer(&two).is_some());
    let snapshot = one.state.borrow().directory.snapshot(one.now());
    two.state.borrow_mut().directory.adopt(two.now(), snapshot);
    assert_eq!(newer(&two), None);
    assert_eq!(two.state.borrow().directory.orders().count(), 1);
}

#[test]
fn an_older_change_of_an_order_does_not_replace_a_newer_one() {
    let gate = rollout_gate("one");
    hear(&gate, order("v3", 4, 9));
    let mut state = gate.state.borrow_mut();
    state.directory.put_order(order("v2", 4, 6));
    assert!(!state.directory.mark_orders(9));
}

#[test]
fn a_view_of_an_older_build_has_no_orders() {
    let gate = rollout_gate("one");
    hear(&gate, order("v2", 4, 4));
    let snapshot = gate.state.borrow().directory.snapshot(gate.now());
    let mut json = serde_json::to_value(snapshot).expect("JSON");
    let fields = json.as_object_mut().expect("an object");
    fields.remove("orders");
    fields.remove("order_version");
    let older: DirectorySnapshot = serde_json::from_value(json).expect("readable");
    gate.state.borrow_mut().directory.adopt(gate.now(), older);
    assert_eq!(gate.state.borrow().directory.orders().count(), 1);
}

#[test]
fn without_roll_outs_in_the_settings_messages_have_no_block() {
    let gate = super::gate("one", Vec::new());
    assert!(gate.heartbeat_extensions().is_empty());
    assert!(gate.digest_extensions().is_empty());
    assert!(gate.alarm_extensions().is_empty());
    // The block of a peer that has them is skipped.
    let peer = rollout_gate("two");
    hear(&peer, order("v2", 4, 4));
    assert!(!peer.heartbeat_extensions().is_empty());
    deliver(&peer, &gate);
    let centre = gate.settings.borrow().centre.clone();
    assert_eq!(gate.state.borrow().newer_orders(gate.now(), &centre), None);
}
