//! Tests of the dispatcher actor, with the clock of tokio paused.

use std::sync::Arc;
use std::time::Duration;

use cornelstand::{
    BootId, Clock, Config, Dispatcher, Ending, Epoch, GetStatus, HandOver, Offer, Part, Phase,
    Refusal, Reply, Report, SendReports, SetLease, SubmitOffer, Tenure, Timeline, Withdraw,
};
use tokio::sync::oneshot::Receiver;
use xtra::Address;

use crate::make::{Size, attempt, config, ended, flat, offer};
use warp::Filter;

/// Starts a dispatcher with one slot and a lease of ten seconds.
async fn start() -> Address<Dispatcher> {
    start_with(config(&[1], &[flat(1)])).await
}

async fn start_with(config: Arc<Config>) -> Address<Dispatcher> {
    let clock = Clock::start();
    let cell = cornelstand::Cell::new(crate::make::cell_id(), Epoch(2), config, clock.now());
    let timeline = Timeline::new("i0".into(), 10);
    let dispatcher = Dispatcher::spawn(cell, clock, timeline);
    let tenure = Tenure {
        epoch: Epoch(2),
        part: Part::Full,
        until: clock.now().after(Duration::from_secs(10)),
        after: None,
    };
    dispatcher.send(SetLease(tenure)).await.expect("it runs");
    dispatcher
}

async fn ask(dispatcher: &Address<Dispatcher>, number: u128, left: u64) -> Receiver<Reply> {
    let left = Duration::from_secs(left);
    let offer = Offer {
        left,
        ..offer(number, "a0")
    };
    dispatcher.send(SubmitOffer(offer)).await.expect("it runs")
}

#[tokio::test(start_paused = true)]
async fn an_outcome_frees_the_slot_for_the_next_offer() {
    let dispatcher = start().await;
    let first = ask(&dispatcher, 1, 60).await;
    let second = ask(&dispatcher, 2, 60).await;
    let grant = first.await.expect("a reply").expect("a grant");
    let reports = vec![ended(&grant, "a0", 10, Ending::Answered)];
    assert!(
        dispatcher
            .send(SendReports(reports))
            .await
            .expect("it runs")
    );
    let grant = second.await.expect("a reply").expect("a grant");
    assert_eq!(grant.attempt, attempt(2));
}

#[tokio::test(start_paused = true)]
async fn the_timer_enforces_deadlines_and_the_end_of_the_lease() {
    let dispatcher = start().await;
    let first = ask(&dispatcher, 1, 60).await;
    assert!(first.await.expect("a reply").is_ok());
    let late = ask(&dispatcher, 2, 3).await;
    let lapsed = ask(&dispatcher, 3, 60).await;
    assert_eq!(late.await.expect("a reply"), Err(Refusal::Deadline));
    assert_eq!(lapsed.await.expect("a reply"), Err(Refusal::NotOwner(None)));
}

#[tokio::test(start_paused = true)]
async fn a_withdrawn_offer_is_cancelled() {
    let dispatcher = start().await;
    let first = ask(&dispatcher, 1, 60).await;
    let second = ask(&dispatcher, 2, 60).await;
    dispatcher
        .send(Withdraw(attempt(1)))
        .await
        .expect("it runs");
    assert!(first.await.expect("a reply").is_ok());
    assert!(
        second.await.expect("a reply").is_ok(),
        "the slot is free again"
    );
}

#[tokio::test(start_paused = true)]
async fn an_undelivered_grant_goes_to_the_next_offer_and_may_be_offered_again() {
    let dispatcher = start().await;
    let first = ask(&dispatcher, 1, 60).await;
    let grant = first.await.expect("a reply").expect("a grant");
    drop(ask(&dispatcher, 2, 60).await);
    let third = ask(&dispatcher, 3, 60).await;
    let reports = vec![ended(&grant, "a0", 10, Ending::Answered)];
    dispatcher
        .send(SendReports(reports))
        .await
        .expect("it runs");
    let grant = third.await.expect("a reply").expect("a grant");
    let second = ask(&dispatcher, 2, 60).await;
    let reports = vec![ended(&grant, "a0", 10, Ending::Answered)];
    dispatcher
        .send(SendReports(reports))
        .await
        .expect("it runs");
    assert!(second.await.expect("a reply").is_ok());
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_offer_leaves_the_queue() {
    let dispatcher = start().await;
    let first = ask(&dispatcher, 1, 60).await;
    assert!(first.await.expect("a reply").is_ok());
    drop(ask(&dispatcher, 2, 60).await);
    let again = ask(&dispatcher, 3, 60).await;
    drop(again);
    let kept = ask(&dispatcher, 3, 60).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let status = dispatcher.send(GetStatus).await.expect("it runs");
    assert_eq!(status.expect("a status").waiting, 1);
    drop(kept);
}

#[tokio::test]
async fn load_reports_are_polled() {
    let load = r#"{ "boot": 7, "running": 1, "waiting": 0, "answers": 100 }"#;
    let filter = warp::path!("load").map(move || load);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(warp::serve(filter).incoming(listener).run());

    let size = Size {
        cold: 1,
        warm: 8,
        ramp: 50,
    };
    let mut config = (*config(&[1], &[size])).clone();
    for endpoint in config.endpoints.values_mut() {
        endpoint.address = address;
    }
    let dispatcher = start_with(config.into()).await;
    let first = ask(&dispatcher, 1, 60).await;
    let grant = first.await.expect("a reply").expect("a grant");
    let report = Report {
        boot: Some(BootId(7)),
        phase: Phase::Running,
        ..ended(&grant, "a0", 1, Ending::Answered)
    };
    dispatcher
        .send(SendReports(vec![report]))
        .await
        .expect("it runs");
    let second = ask(&dispatcher, 2, 60).await;
    assert!(
        second.await.expect("a reply").is_ok(),
        "the report counts 100 answers"
    );
}

#[tokio::test(start_paused = true)]
async fn after_a_handover_the_next_owner_is_named() {
    let dispatcher = start().await;
    let first = ask(&dispatcher, 1, 60).await;
    let grant = first.await.expect("a reply").expect("a grant");
    let waiting = ask(&dispatcher, 2, 60).await;
    let next = Some("i1".into());
    let handed = dispatcher.send(HandOver { next: next.clone() }).await;
    let handover = handed.expect("it runs").expect("a handover");
    assert_eq!(handover.running[0].running[0].attempt, attempt(1));
    let refused = Err(Refusal::NotOwner(next));
    assert_eq!(waiting.await.expect("a reply"), refused);
    let later = ask(&dispatcher, 3, 60).await;
    assert_eq!(later.await.expect("a reply"), refused);
    let reports = vec![ended(&grant, "a0", 10, Ending::Answered)];
    assert!(
        !dispatcher
            .send(SendReports(reports))
            .await
            .expect("it runs")
    );
    assert_eq!(dispatcher.send(GetStatus).await.expect("it runs"), None);
}
