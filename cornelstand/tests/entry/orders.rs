//! Requests that may not be repeated.

use std::time::Duration;

use cornelstand::EntryLimits;
use stand_ins::{ObjectFaults, Outage, PlainFaults};

use crate::fleet::{Fleet, OTHER_KEY, echo, order, plain, problem, refusing, store};

#[tokio::test]
async fn an_order_sent_again_through_another_entry_gets_the_recorded_answer() {
    let (store, app) = (store(), plain(PlainFaults::default()));
    let limits = EntryLimits::default();
    let one = Fleet::on_store(&[app.address()], limits, Some(store.address())).await;
    let other = Fleet::on_store(&[app.address()], limits, Some(store.address())).await;
    let first = order(&one, "gel-1", "lee 201").send().await.unwrap();
    let media = first.headers().get("content-type").cloned();
    let (status, body) = (first.status(), first.bytes().await.unwrap());
    one.idle().await;
    let again = order(&other, "gel-1", "lee 201").send().await.unwrap();
    assert_eq!(again.headers()["idempotent-replayed"], "true");
    assert_eq!(again.headers().get("content-type"), media.as_ref());
    assert_eq!(
        (again.status(), again.bytes().await.unwrap()),
        (status, body)
    );
    assert_eq!(app.runs().keys["gel-1"], 1);

    let foreign = order(&other, "gel-1", "lee 202").send().await.unwrap();
    let (status, problem) = problem(foreign).await;
    assert_eq!((status, &problem["outcome"]), (422, &"not-run".into()));
}

#[tokio::test]
async fn an_order_whose_answer_was_lost_is_unknown_and_stays_so() {
    let (store, app) = (store(), plain(PlainFaults { lost: 1, slow: 1.0 }));
    let limits = EntryLimits::default();
    let fleet = Fleet::on_store(&[app.address()], limits, Some(store.address())).await;
    let (status, first) = problem(order(&fleet, "gel-1", "x").send().await.unwrap()).await;
    assert_eq!((status, &first["outcome"]), (502, &"unknown".into()));
    fleet.idle().await;
    let (status, again) = problem(order(&fleet, "gel-1", "x").send().await.unwrap()).await;
    assert_eq!((status, &again["outcome"]), (409, &"unknown".into()));
    assert_eq!(app.runs().keys["gel-1"], 1);
}

#[tokio::test]
async fn an_order_is_refused_as_not_run_while_the_store_is_down() {
    let (store, app) = (store(), plain(PlainFaults::default()));
    let limits = EntryLimits::default();
    let fleet = Fleet::on_store(&[app.address()], limits, Some(store.address())).await;
    store.set_faults(ObjectFaults {
        outage: Some(Outage::Refuse),
        ..ObjectFaults::default()
    });
    let refused = order(&fleet, "gel-1", "x").send().await.unwrap();
    assert!(refused.headers().contains_key("retry-after"));
    let (status, problem) = problem(refused).await;
    assert_eq!((status, &problem["outcome"]), (503, &"not-run".into()));
    store.set_faults(ObjectFaults::default());
    let answer = order(&fleet, "gel-1", "x").send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(app.runs().keys["gel-1"], 1);
}

#[tokio::test]
async fn an_order_without_a_key_is_refused_as_not_run() {
    let fleet = Fleet::start(&[echo().await], EntryLimits::default()).await;
    let refused = fleet.post("/app/orders").send().await.unwrap();
    let (status, problem) = problem(refused).await;
    assert_eq!((status, &problem["outcome"]), (400, &"not-run".into()));
}

#[tokio::test]
async fn an_order_that_was_not_sent_frees_its_key() {
    let (store, app) = (store(), plain(PlainFaults::default()));
    let limits = EntryLimits::default();
    let down = Fleet::on_store(&[refusing()], limits, Some(store.address())).await;
    let order_once = order(&down, "gel-1", "x").header("x-deadline-ms", "200");
    let (status, refused) = problem(order_once.send().await.unwrap()).await;
    assert_eq!((status, &refused["outcome"]), (504, &"not-run".into()));
    down.idle().await;
    let up = Fleet::on_store(&[app.address()], limits, Some(store.address())).await;
    let answer = order(&up, "gel-1", "x").send().await.unwrap();
    assert_eq!(answer.status(), 200);
}

#[tokio::test]
async fn an_order_whose_caller_has_gone_runs_to_its_end() {
    let (store, app) = (
        store(),
        plain(PlainFaults {
            lost: 0,
            slow: 10.0,
        }),
    );
    let limits = EntryLimits::default();
    let fleet = Fleet::on_store(&[app.address()], limits, Some(store.address())).await;
    let gone = order(&fleet, "gel-1", "x").timeout(Duration::from_millis(100));
    gone.send().await.unwrap_err();
    fleet.idle().await;
    let again = order(&fleet, "gel-1", "x").send().await.unwrap();
    assert_eq!(again.status(), 200);
    assert_eq!(again.headers()["idempotent-replayed"], "true");
    assert_eq!(app.runs().keys["gel-1"], 1);
}

#[tokio::test]
async fn an_idempotency_key_of_one_account_finds_no_order_of_another() {
    let (store, app) = (store(), plain(PlainFaults::default()));
    let limits = EntryLimits::default();
    let fleet = Fleet::on_store(&[app.address()], limits, Some(store.address())).await;
    let own = order(&fleet, "gel-1", "lee 201").send().await.unwrap();
    assert_eq!(own.status(), 200);
    fleet.idle().await;
    let other = reqwest::Client::new().post(fleet.url("/app/orders/gel"));
    let other = other
        .bearer_auth(OTHER_KEY)
        .header("idempotency-key", "gel-1");
    let other = other.body("lee 201").send().await.unwrap();
    assert_eq!(other.status(), 200);
    assert!(!other.headers().contains_key("idempotent-replayed"));
    assert_eq!(app.runs().keys["gel-1"], 2);
}
