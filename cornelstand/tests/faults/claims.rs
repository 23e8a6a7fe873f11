//! Claims of requests that may not be repeated, over a store that fails.

use std::time::Duration;

use bytes::Bytes;
use std::sync::Arc;

use crate::fakes::{FakeStore, StoreFault};
use cornelstand::{
    AccountName, BeginOutcome, ClaimError, ClaimLimits, ClaimRoute, ClaimStore, Clock, Fingerprint,
    MAX_BODY_BYTES, Recorded, RequestId, Ticket, VALUE_BYTES,
};
use futures::FutureExt;
use rstest::rstest;

/// A claim store with one shard that moves settled claims out early.
fn small_book(store: &FakeStore) -> ClaimStore {
    let limits = ClaimLimits {
        shards: 1,
        spill_bytes: 4096,
        ..ClaimLimits::default()
    };
    ClaimStore::start(&store.objects(), Clock::start(), limits)
}

const PRINT: Fingerprint = Fingerprint(7);

fn book(store: &FakeStore) -> ClaimStore {
    ClaimStore::start(&store.objects(), Clock::start(), ClaimLimits::default())
}

async fn begin(book: &ClaimStore, key: &str) -> Result<BeginOutcome, ClaimError> {
    let account = AccountName::from("tailors");
    book.begin(&account, key, PRINT, RequestId(1)).await
}

async fn fresh(book: &ClaimStore, key: &str) -> Ticket {
    match begin(book, key).await {
        Ok(BeginOutcome::Fresh(ticket)) => ticket,
        other => panic!("not fresh: {other:?}"),
    }
}

fn answer() -> Recorded {
    Recorded::new(
        201,
        "application/json",
        &Bytes::from_static(b"{\"ticket\":4}"),
    )
}

#[tokio::test(start_paused = true)]
async fn a_recorded_answer_is_found_through_another_instance() {
    let store = FakeStore::default();
    let (one, two) = (book(&store), book(&store));
    let ticket = fresh(&one, "k").await;
    assert!(begin(&two, "k").await.unwrap().is_running());
    one.record(ticket, answer()).await.unwrap();
    let BeginOutcome::Answered(found) = begin(&two, "k").await.unwrap() else {
        panic!("the answer was not found");
    };
    assert_eq!(found, answer());
}

#[tokio::test(start_paused = true)]
async fn another_fingerprint_or_account_does_not_find_the_claim() {
    let store = FakeStore::default();
    let book = book(&store);
    let _ticket = fresh(&book, "k").await;
    let account = AccountName::from("tailors");
    let other = book
        .begin(&account, "k", Fingerprint(8), RequestId(2))
        .await;
    assert!(other.unwrap().is_mismatch());
    let account = AccountName::from("kiosks");
    let other = book.begin(&account, "k", PRINT, RequestId(3)).await;
    assert!(other.unwrap().is_fresh());
}

#[rstest]
#[case::answer_lost(StoreFault::AnswerLost)]
#[case::call_lost(StoreFault::CallLost)]
#[case::late(StoreFault::Late(Duration::from_millis(230)))]
#[case::down(StoreFault::Down)]
#[case::slow(StoreFault::Slow(Duration::from_secs(1)))]
#[tokio::test(start_paused = true)]
async fn one_failed_write_is_settled(#[case] fault: StoreFault) {
    let store = FakeStore::default();
    let (one, two) = (book(&store), book(&store));
    store.script([None, Some(fault)]);
    let ticket = fresh(&one, "k").await;
    assert!(begin(&two, "k").await.unwrap().is_running());
    one.settle_unknown(ticket).await.unwrap();
    assert!(begin(&two, "k").await.unwrap().is_unknown());
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_down_refuses_and_leaves_no_claim() {
    let store = FakeStore::default();
    let book = book(&store);
    store.set(Some(StoreFault::Late(Duration::from_secs(4))));
    assert_eq!(
        begin(&book, "k").await.unwrap_err(),
        ClaimError::Unavailable
    );
    store.set(None);
    tokio::time::sleep(Duration::from_secs(10)).await;
    drop(fresh(&book, "k").await);
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_begin_leaves_no_claim() {
    let store = FakeStore::default();
    let book = book(&store);
    let cancelled = tokio::time::timeout(Duration::from_millis(5), begin(&book, "k")).await;
    assert!(cancelled.is_err());
    drop(fresh(&book, "k").await);
}

#[tokio::test(start_paused = true)]
async fn a_dropped_ticket_is_unknown() {
    let store = FakeStore::default();
    let book = book(&store);
    drop(fresh(&book, "k").await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(begin(&book, "k").await.unwrap().is_unknown());
}

#[tokio::test(start_paused = true)]
async fn a_released_claim_may_be_taken_again() {
    let store = FakeStore::default();
    let (one, two) = (book(&store), book(&store));
    one.release(fresh(&one, "k").await).await.unwrap();
    drop(fresh(&two, "k").await);
}

#[tokio::test(start_paused = true)]
async fn a_ticket_is_not_sendable_after_its_window() {
    let store = FakeStore::default();
    let book = book(&store);
    let ticket = fresh(&book, "k").await;
    assert!(book.is_sendable(&ticket));
    tokio::time::sleep(ClaimLimits::default().send_window).await;
    assert!(!book.is_sendable(&ticket));
}

#[tokio::test(start_paused = true)]
async fn a_claim_and_its_record_are_two_calls() {
    let store = FakeStore::default();
    let limits = ClaimLimits {
        shards: 1,
        ..ClaimLimits::default()
    };
    let book = ClaimStore::start(&store.objects(), Clock::start(), limits);
    drop(fresh(&book, "k").await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (reads, writes) = store.calls();
    let ticket = fresh(&book, "l").await;
    book.record(ticket, answer()).await.unwrap();
    assert_eq!(store.calls(), (reads, writes + 2));
}

/// How a message to the writer of a shard goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Link {
    Whole,
    AnswerLost,
    Cut,
    Silent,
    /// The message arrives after the sender has given it up.
    Late,
}

fn route(writer: &ClaimStore, link: Link) -> ClaimRoute {
    let writer = writer.clone();
    Arc::new(move |_, call| {
        let (writer, call) = (writer.clone(), call.clone());
        let carried = async move {
            match link {
                Link::Cut => None,
                Link::Silent => std::future::pending().await,
                Link::Late => {
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_secs(20)).await;
                        writer.serve(call).await
                    });
                    None
                }
                Link::Whole => writer.serve(call).await.ok(),
                Link::AnswerLost => {
                    drop(writer.serve(call).await);
                    None
                }
            }
        };
        Some(carried.boxed())
    })
}

fn routed(store: &FakeStore, writer: &ClaimStore, link: Link) -> ClaimStore {
    book(store).with_route(route(writer, link))
}

#[rstest]
#[case::whole(Link::Whole)]
#[case::answer_lost(Link::AnswerLost)]
#[case::cut(Link::Cut)]
#[case::silent(Link::Silent)]
#[case::late(Link::Late)]
#[tokio::test(start_paused = true)]
async fn a_claim_holds_whatever_happens_to_the_link_to_its_writer(#[case] link: Link) {
    let store = FakeStore::default();
    let writer = book(&store);
    let entry = routed(&store, &writer, link);
    let ticket = fresh(&entry, "k").await;
    assert!(begin(&writer, "k").await.unwrap().is_running());
    assert!(begin(&entry, "k").await.unwrap().is_running());
    entry.record(ticket, answer()).await.unwrap();
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert!(begin(&writer, "k").await.unwrap().is_answered());
    assert!(begin(&book(&store), "k").await.unwrap().is_answered());
}

#[rstest]
#[case::answer_lost(Link::AnswerLost)]
#[case::late(Link::Late)]
#[tokio::test(start_paused = true)]
async fn a_refused_begin_with_late_copies_leaves_no_claim(#[case] link: Link) {
    let store = FakeStore::default();
    let writer = book(&store);
    let entry = routed(&store, &writer, link);
    let holder = book(&store);
    let ticket = fresh(&holder, "k").await;
    assert!(begin(&entry, "k").await.unwrap().is_running());
    holder.release(ticket).await.unwrap();
    tokio::time::sleep(Duration::from_mins(1)).await;
    drop(fresh(&holder, "k").await);
}

#[tokio::test(start_paused = true)]
async fn answers_in_segments_are_found_and_the_shard_stays_small() {
    let store = FakeStore::default();
    let book = small_book(&store);
    for number in 0..100 {
        let ticket = fresh(&book, &format!("k{number}")).await;
        book.record(ticket, answer()).await.unwrap();
    }
    let sizes = store.sizes();
    assert!(sizes.len() > 3, "{sizes:?}");
    assert!(sizes["1-0"] < 3 * 4096, "{sizes:?}");
    let other = small_book(&store);
    for number in 0..100 {
        let key = format!("k{number}");
        for book in [&book, &other] {
            assert!(begin(book, &key).await.unwrap().is_answered());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn segments_are_dropped_when_their_claims_have_expired() {
    let store = FakeStore::default();
    let book = small_book(&store);
    for round in 0..3 {
        for number in 0..50 {
            let ticket = fresh(&book, &format!("k{number}")).await;
            book.record(ticket, answer()).await.unwrap();
        }
        assert!(
            store.sizes().len() < 12,
            "round {round}: {:?}",
            store.sizes()
        );
        tokio::time::sleep(ClaimLimits::default().settled_retention * 2).await;
    }
}

#[tokio::test(start_paused = true)]
async fn long_answers_that_come_at_once_are_all_kept() {
    let store = FakeStore::default();
    let book = small_book(&store);
    let mut tickets = Vec::new();
    for number in 0..200 {
        tickets.push(fresh(&book, &format!("k{number}")).await);
    }
    // A control character takes six bytes in JSON.
    let long = Recorded::new(200, "text/plain", &Bytes::from(vec![1; MAX_BODY_BYTES]));
    let records = tickets.into_iter().map(|t| book.record(t, long.clone()));
    for done in futures::future::join_all(records).await {
        done.unwrap();
    }
    let largest = store.sizes().into_values().max();
    assert!(largest <= Some(VALUE_BYTES), "{largest:?}");
}
