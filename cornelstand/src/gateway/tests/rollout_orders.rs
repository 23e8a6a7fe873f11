//! What one instance allows before, during and after orders.

use std::fmt::Write as _;
use std::time::Duration;

use crate::gateway::exchange::Sender;
use crate::gateway::rollout::{
    Answer, Fleet, Order, OrderId, Rollouts, Sent, Side, Status, StatusWord,
};
use crate::gateway::store_revision::StoreRevision;
use crate::gateway::tests::rollout_fleet::BOUNDS;
use crate::moment::Moment;
use crate::name::{CentreName, EndpointName, InstanceName, ServiceName, VersionName};

fn at(seconds: f64) -> Moment {
    Moment::default().after(Duration::from_secs_f64(seconds))
}

fn shop() -> ServiceName {
    ServiceName::from("shop")
}

/// An order for `target`, with a status for it.
fn order(target: &str, created: u64, word: Option<StatusWord>) -> Order {
    let target = VersionName::from(target);
    Order {
        id: OrderId {
            service: shop(),
            target: target.clone(),
            created,
        },
        duration: Duration::from_secs(12),
        status: word.map(|word| Status { word, target }),
    }
}

fn instance(name: &str) -> Rollouts {
    Rollouts::new(InstanceName::from(name), 1, Some(BOUNDS))
}

/// Lists two endpoints of each version.
fn list(rollouts: &mut Rollouts, now: f64, versions: &[&str]) {
    let named = |v: &&str| {
        let (one, other) = (format!("{v}-0"), format!("{v}-1"));
        [one, other].map(|n| (EndpointName::from(n.as_str()), VersionName::from(*v)))
    };
    let listed: Vec<_> = versions.iter().flat_map(named).collect();
    rollouts.note_endpoints(at(now), &shop(), &listed);
}

/// Sends to an endpoint of a version, with its answer.
fn send(rollouts: &mut Rollouts, now: f64, version: &str, answer: Answer) -> bool {
    let (endpoint, software) = (format!("{version}-0"), VersionName::from(version));
    let sent = Sent {
        service: &shop(),
        route: "book",
        endpoint: &EndpointName::from(endpoint.as_str()),
        software: &software,
        is_warm: true,
    };
    let is_sent = rollouts.note_send(at(now), sent);
    if is_sent {
        rollouts.note_answer(at(now), sent, answer);
        rollouts.note_end(at(now), sent);
    }
    is_sent
}

const GOOD: Answer = Answer::Good {
    first: Duration::from_millis(30),
};

/// Sides on which each version gets requests.
fn allowed(rollouts: &Rollouts, now: f64) -> String {
    let mut text = String::new();
    for version in ["v1", "v2", "v3"] {
        let endpoint = EndpointName::from(format!("{version}-0").as_str());
        let is_on = |side| {
            let filter = rollouts.filter(at(now), &shop(), side);
            filter.admits(&VersionName::from(version), &endpoint)
        };
        let sides = match (is_on(Side::Baseline), is_on(Side::Canary)) {
            (true, true) => "all",
            (true, false) => "baseline",
            (false, true) => "canary",
            (false, false) => "none",
        };
        let _ = write!(text, "  {version} {sides:9}");
    }
    text.trim_end().to_owned()
}

#[test]
fn versions_get_requests_only_as_orders_allow() {
    let mut table = String::new();
    let mut note = |rollouts: &Rollouts, now: f64, text: &str| {
        let _ = writeln!(table, "{now:5.1} {text:34}{}", allowed(rollouts, now));
    };
    let mut one = instance("one");
    list(&mut one, 0.0, &["v1"]);
    note(&one, 0.0, "start");
    list(&mut one, 1.0, &["v1", "v2"]);
    note(&one, 1.0, "a version appears");
    note(&one, 3.0, "no order within 2 s");
    one.set_orders(at(3.0), 10.into(), &[order("v2", 10, None)]);
    note(&one, 3.0, "ordered, nothing sent yet");
    for _ in 0..40 {
        assert!(send(&mut one, 4.0, "v1", GOOD));
    }
    note(&one, 4.0, "ordered, 40 requests sent");
    one.set_orders(at(5.0), 9.into(), &[]);
    note(&one, 5.0, "an older listing");
    list(&mut one, 5.0, &["v1", "v2", "v3"]);
    one.set_orders(at(5.0), 11.into(), &[order("v3", 11, None)]);
    note(&one, 5.0, "replaced");
    let word = Some(StatusWord::RolledBack);
    one.set_orders(at(6.0), 12.into(), &[order("v3", 11, word)]);
    note(&one, 6.0, "rolled back");
    one.set_orders(at(7.0), 13.into(), &[order("v3", 13, None)]);
    note(&one, 7.0, "repeated");
    one.set_orders(at(8.0), 14.into(), &[]);
    note(&one, 8.0, "deleted");
    let word = Some(StatusWord::Completed);
    one.set_orders(at(9.0), 15.into(), &[order("v3", 15, None)]);
    one.set_orders(at(9.5), 16.into(), &[order("v3", 15, word)]);
    note(&one, 9.5, "completed");
    let mut late = instance("late");
    list(&mut late, 0.0, &["v1", "v2"]);
    late.set_orders(at(0.0), 17.into(), &[order("v1", 15, word)]);
    note(&late, 0.0, "start after a completion");
    let mut bare = Rollouts::new(InstanceName::from("bare"), 1, None);
    list(&mut bare, 0.0, &["v1"]);
    list(&mut bare, 1.0, &["v1", "v2"]);
    bare.set_orders(at(1.0), 10.into(), &[order("v2", 10, None)]);
    note(&bare, 1.0, "deployment without roll-outs");
    insta::assert_snapshot!("rollout_versions", table);
}

#[test]
fn news_of_a_peer_bring_the_order_its_age_and_the_verdict() {
    let fleet = Fleet {
        instances: ["one", "two"].map(InstanceName::from).into(),
        count: 2,
        ..Fleet::default()
    };
    let mut one = instance("one");
    let mut two = instance("two");
    for rollouts in [&mut one, &mut two] {
        rollouts.set_fleet(at(0.0), fleet.clone());
        list(rollouts, 0.0, &["v1"]);
        list(rollouts, 1.0, &["v1", "v2"]);
    }
    one.set_orders(at(1.0), 10.into(), &[order("v2", 10, None)]);
    for number in 0..1_500 {
        let now = 1.0 + f64::from(number) / 1_000.0;
        send(&mut one, now, "v1", GOOD);
        send(&mut one, now, "v2", Answer::Failed);
    }
    one.tick(at(2.5));
    assert!(one.take_alarm() && !one.take_alarm());
    let write = one
        .status_to_write(at(2.5), 0)
        .expect("it is this one's turn");
    assert_eq!(write.word, StatusWord::RolledBack);
    assert!(one.status_to_write(at(2.5), 1).is_none());
    assert!(one.status_to_write(at(3.0), 1).is_some());
    let sender = Sender::Instance(InstanceName::from("one"), CentreName::from("north"));
    two.merge(at(2.5), &sender, &one.news(at(2.5)));
    let news = two.news(at(2.5));
    assert!(news.orders[0].is_bad && news.orders[0].age == Duration::from_millis(1_500));
    assert!(!send(&mut two, 2.5, "v2", GOOD) && send(&mut two, 2.5, "v1", GOOD));
    assert!(!two.take_alarm());
    two.tick(at(2.6));
    assert!(two.status_to_write(at(2.6), 0).is_some());
}

#[test]
fn orders_of_a_restored_store_replace_those_of_a_higher_revision() {
    let mut one = instance("one");
    list(&mut one, 0.0, &["v1"]);
    list(&mut one, 1.0, &["v1", "v2", "v3"]);
    let mut target = |now, era, number, orders: &[Order]| {
        one.set_orders(at(now), StoreRevision { era, number }, orders);
        one.target(&shop()).map(|v| v.as_str().to_owned())
    };
    let before = target(2.0, 1, 149, &[order("v2", 149, None)]);
    assert_eq!(before.as_deref(), Some("v2"));
    let after = target(3.0, 2, 142, &[order("v3", 142, None)]);
    assert_eq!(after.as_deref(), Some("v3"));
    let late = target(4.0, 1, 150, &[order("v2", 149, None)]);
    assert_eq!(late.as_deref(), Some("v3"));
}
