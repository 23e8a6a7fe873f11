//! Orders of roll-outs between the store, the peers and the decisions.

use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;

use crate::gateway::directory::{DirectorySnapshot, OrderRecord};
use crate::gateway::exchange::Sender;
use crate::gateway::gate::Gate;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers_link::{Packet, handle_datagram, heartbeat_packet};
use crate::gateway::rollout::{Answer, Order, OrderId, Rollouts, Sent, Side};
use crate::gateway::settings::RolloutBounds;
use crate::gateway::tests::fleet::{CONTACT_TIME, Fleet, Member, Plan};
use crate::gateway::tests::{MODELS, catalog, list, record, settings};
use crate::moment::Moment;
use crate::name::{EndpointName, ServiceName, VersionName};

const BOUNDS: Option<RolloutBounds> = Some(RolloutBounds {
    share: 0.1,
    slack: 50.0,
    rollback: Duration::from_secs(5),
});

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
    settings.rollout = BOUNDS;
    let metrics = GatewayMetrics::new().expect("metrics are defined once");
    let gate = Gate::new(settings, metrics, 1);
    gate.state.borrow_mut().directory.set_catalog(catalog(1));
    Rc::new(gate)
}

fn hear(gate: &Gate, record: OrderRecord) {
    let revision = record.revision;
    let mut state = gate.state.borrow_mut();
    state.directory.put_order(record);
    assert!(state.directory.mark_orders(revision.into()));
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
    assert!(!state.directory.mark_orders(9.into()));
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

fn names(names: &[(&str, &str)]) -> Vec<(EndpointName, VersionName)> {
    let pair = |(name, version): &(&str, &str)| ((*name).into(), (*version).into());
    names.iter().map(pair).collect()
}

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

fn decisions() -> Rollouts {
    Rollouts::new("one".into(), 1, BOUNDS)
}

fn admits(decisions: &Rollouts, now: Moment, version: &str) -> bool {
    let filter = decisions.filter(now, &MODELS.into(), Side::Baseline);
    filter.admits(&version.into(), &"any".into())
}

/// A set of orders as of an earlier revision withdrew an order that a peer had told of meanwhile.
#[test]
fn orders_as_of_an_earlier_revision_do_not_withdraw_a_later_one() {
    let peer = rollout_gate("two");
    hear(&peer, order("v3", 60, 60));
    let news = peer.state.borrow().rollouts.decisions.news(peer.now());
    let sender = Sender::Instance("two".into(), "north".into());
    let older = order("v2", 40, 40).order;
    for known in [vec![], vec![older]] {
        let mut decisions = decisions();
        decisions.set_orders(at(0), 50.into(), &known);
        decisions.merge(at(10), &sender, &news);
        decisions.set_orders(at(20), 55.into(), &known);
        let target = decisions.target(&MODELS.into());
        assert_eq!(target.map(VersionName::as_str), Some("v3"));
        decisions.set_orders(at(30), 65.into(), &[]);
        assert_eq!(decisions.target(&MODELS.into()), None);
    }
}

/// A version that appeared beside another one was held back after the other one had gone.
#[test]
fn a_version_is_not_held_back_for_one_that_is_gone() {
    let mut decisions = decisions();
    let mut list = |now, endpoints: &[(&str, &str)]| {
        decisions.note_endpoints(now, &MODELS.into(), &names(endpoints));
        ["v1", "v2"].map(|version| admits(&decisions, now, version))
    };
    list(at(0), &[("a", "v1")]);
    let both = [("a", "v1"), ("b", "v2")];
    assert_eq!(list(at(5_000), &both), [true, false]);
    assert_eq!(list(at(5_100), &[("b", "v2")]), [true, true]);
}

/// One instance finds a version bad. The others, in other data centres as well, have heard of it
/// within the contact time, also if some messages are lost.
#[rstest]
#[case::small(3, 9, 0.0)]
#[case::large(3, 30, 0.0)]
#[case::lossy(3, 30, 0.2)]
#[tokio::test(start_paused = true)]
async fn a_verdict_reaches_all_instances(
    #[case] centres: usize,
    #[case] count: usize,
    #[case] loss: f64,
) {
    let plan = Plan {
        loss,
        ..Plan::new(centres, count)
    };
    let mut fleet = Fleet::start(plan);
    let endpoints = [("a", "v1"), ("b", "v2"), ("c", "v2")].map(|(name, version)| {
        let mut record = record(name, MODELS, ([10, 1, 0, 1], 80).into());
        record.software = version.into();
        record
    });
    for member in &fleet.members {
        member.gate.settings.borrow_mut().rollout = BOUNDS;
        member.gate.set_rollout_bounds(BOUNDS);
        list(&member.gate, endpoints.to_vec());
    }
    fleet.wait(CONTACT_TIME).await;
    // The others hear of the order from this instance.
    hear(&fleet.members[0].gate, order("v2", 4, 4));
    fleet.wait(Duration::from_secs(1)).await;
    let gate = &fleet.members[0].gate;
    for (endpoint, version) in [("a", "v1"), ("b", "v2"), ("c", "v2")].repeat(50) {
        let decisions = &mut gate.state.borrow_mut().rollouts.decisions;
        let sent = Sent {
            service: &MODELS.into(),
            route: "quote",
            endpoint: &endpoint.into(),
            software: &version.into(),
            is_warm: true,
        };
        let first = Duration::from_millis(50);
        let answer = if version == "v2" {
            Answer::Failed
        } else {
            Answer::Good { first }
        };
        decisions.note_answer(gate.now(), sent, answer);
    }
    gate.advance_rollouts();
    fleet.wait(Duration::from_secs(1)).await;
    let is_bad = |member: &Member| {
        let state = member.gate.state.borrow();
        let news = state.rollouts.decisions.news(member.gate.now());
        news.orders.iter().all(|o| o.is_bad) && !news.orders.is_empty()
    };
    let informed = fleet.members.iter().filter(|m| is_bad(m)).count();
    assert_eq!(informed, count);
}

/// Versions that were listed before the settings had roll-outs are known.
#[test]
fn roll_outs_may_be_turned_on_while_the_process_runs() {
    let gate = super::gate("one", Vec::new());
    let mut new = record("b", MODELS, ([10, 1, 0, 2], 80).into());
    new.software = "v2".into();
    let old = record("a", MODELS, ([10, 1, 0, 1], 80).into());
    list(&gate, vec![old, new]);
    gate.settings.borrow_mut().rollout = BOUNDS;
    gate.set_rollout_bounds(BOUNDS);
    hear(&gate, order("v2", 4, 4));
    let state = gate.state.borrow();
    let figures = state.rollouts.decisions.figures(gate.now(), &MODELS.into());
    let figures = figures.expect("it runs");
    assert_eq!((figures.endpoints, figures.baseline), (1, 1));
}

/// A new process sent to a version that was rolled back, until it had read the orders.
#[tokio::test(start_paused = true)]
async fn an_instance_is_ready_when_it_knows_the_orders() {
    let gate = rollout_gate("one");
    list(&gate, vec![record("a", MODELS, ([10, 1, 0, 1], 80).into())]);
    assert!(!gate.is_ready());
    gate.state.borrow_mut().directory.mark_orders(4.into());
    assert!(gate.is_ready());
    // A store that does not list them holds it up for a while only.
    let other = rollout_gate("two");
    list(&other, Vec::new());
    assert!(!other.is_ready());
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(other.is_ready());
}
