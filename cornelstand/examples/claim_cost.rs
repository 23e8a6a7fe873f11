//! Measures what claims cost in calls to the store and in latency, against a fake of the object
//! API in this process.
//!
//! `cargo run --release -p cornelstand --example claim_cost`

use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use comfy_table::Table;
use cornelstand::{
    AccountName, Begun, ClaimBook, ClaimLimits, ClaimRoute, Clock, Condition, Fingerprint,
    ObjectKind, Recorded, RequestId, Store,
};
use futures::FutureExt;
use hdrhistogram::Histogram;
use stand_ins::{ObjectApi, ObjectFaults, ObjectSettings};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval};

/// Time that the store takes to answer.
const STORE_TIME: Duration = Duration::from_millis(5);
/// Time that a message between instances takes, one way.
const LINK_TIME: Duration = Duration::from_micros(1_500);
/// Instances that claim.
const INSTANCES: usize = 40;
/// Shards of the claims.
const SHARDS: u16 = 16;
/// Length of each run.
const RUN: Duration = Duration::from_secs(10);
/// Time that a request runs between its claim and its record.
const CALL_TIME: Duration = Duration::from_millis(50);

type Failure = Box<dyn Error + Send + Sync>;

/// How instances reach the claims of a shard.
#[derive(Clone, Copy, derive_more::Display, PartialEq)]
enum Way {
    #[display("one object a claim, no grouping")]
    Single,
    #[display("shards, each instance writes")]
    Each,
    #[display("shards, one writer each")]
    Routed,
}

struct Outcome {
    calls: u64,
    shard: usize,
    requests: u64,
    refused: u64,
    begin: Histogram<u64>,
    record: Histogram<u64>,
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let mut table = Table::new();
    table.set_header([
        "way",
        "claims/s",
        "requests",
        "refused",
        "store calls",
        "calls/s",
        "calls/request",
        "largest shard KB",
        "begin p50 ms",
        "begin p95 ms",
        "record p50 ms",
    ]);
    for rate in [20, 135, 540] {
        for way in [Way::Single, Way::Each, Way::Routed] {
            let outcome = measure(way, rate).await?;
            table.add_row(row(way, rate, &outcome));
        }
    }
    println!("store answers in {STORE_TIME:?}, {INSTANCES} instances, {RUN:?} each");
    println!("{table}");
    idle_latency().await
}

fn row(way: Way, rate: u64, outcome: &Outcome) -> Vec<String> {
    let millis = |h: &Histogram<u64>, q| format!("{:.1}", ratio(h.value_at_quantile(q), 1_000));
    vec![
        way.to_string(),
        rate.to_string(),
        outcome.requests.to_string(),
        outcome.refused.to_string(),
        outcome.calls.to_string(),
        format!("{:.0}", ratio(outcome.calls, RUN.as_secs())),
        format!("{:.2}", ratio(outcome.calls, outcome.requests)),
        outcome.shard.div_ceil(1_024).to_string(),
        millis(&outcome.begin, 0.5),
        millis(&outcome.begin, 0.95),
        millis(&outcome.record, 0.5),
    ]
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn ratio(a: u64, b: u64) -> f64 {
    a as f64 / b as f64
}

fn api() -> Result<ObjectApi, Failure> {
    let faults = ObjectFaults {
        slow: cornelstand::micros(STORE_TIME) / 1_000,
        ..ObjectFaults::default()
    };
    let settings = ObjectSettings {
        faults,
        ..ObjectSettings::default()
    };
    Ok(ObjectApi::start(settings)?)
}

async fn measure(way: Way, rate: u64) -> Result<Outcome, Failure> {
    let api = api()?;
    let store = Store::new(api.address(), Duration::from_secs(1));
    let books = books(way, &store);
    let mut outcome = Outcome {
        calls: 0,
        shard: 0,
        requests: 0,
        refused: 0,
        begin: Histogram::new(3)?,
        record: Histogram::new(3)?,
    };
    let mut running = JoinSet::new();
    let mut ticks = interval(Duration::from_secs(1) / u32::try_from(rate)?);
    let end = Instant::now() + RUN;
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let instance = usize::try_from(number)? % INSTANCES;
        match way {
            Way::Single => running.spawn(single(store.clone(), number)),
            Way::Each | Way::Routed => running.spawn(grouped(books[instance].clone(), number)),
        };
    }
    while let Some(done) = running.join_next().await {
        outcome.requests += 1;
        match done?? {
            Some((begin, record)) => {
                outcome.begin.record(micros(begin))?;
                outcome.record.record(micros(record))?;
            }
            None => outcome.refused += 1,
        }
    }
    outcome.calls = store.calls();
    let names = (0..SHARDS).map(|i| format!("{SHARDS}-{i}"));
    let values = names.filter_map(|name| api.value("claim", &name));
    outcome.shard = values.map(|v| v.len()).max().unwrap_or(0);
    api.stop();
    Ok(outcome)
}

fn micros(time: Duration) -> u64 {
    cornelstand::micros(time).max(1)
}

fn books(way: Way, store: &Store) -> Vec<ClaimBook> {
    let limits = ClaimLimits {
        shards: SHARDS,
        ..ClaimLimits::default()
    };
    let objects = store.clone().into();
    let books: Vec<ClaimBook> = (0..INSTANCES)
        .map(|_| ClaimBook::start(&objects, Clock::start(), limits))
        .collect();
    if way != Way::Routed {
        return books;
    }
    let owners: Arc<[ClaimBook]> = books.clone().into();
    let route = |here: usize| -> ClaimRoute {
        let owners = owners.clone();
        Arc::new(move |shard, call| {
            let place = usize::from(shard) % INSTANCES;
            if place == here {
                return None;
            }
            let (owner, call) = (owners[place].clone(), call.clone());
            let carried = async move {
                tokio::time::sleep(LINK_TIME).await;
                let answer = owner.serve(call).await.ok();
                tokio::time::sleep(LINK_TIME).await;
                answer
            };
            Some(carried.boxed())
        })
    };
    let routed = books.iter().enumerate();
    routed.map(|(i, b)| b.with_route(route(i))).collect()
}

type Times = Option<(Duration, Duration)>;

/// A claim and its record in an object of their own.
async fn single(store: Store, number: u64) -> Result<Times, Failure> {
    let name = format!("single-{number}");
    let claim = "x".repeat(200);
    let start = Instant::now();
    let version = store
        .put(ObjectKind::Claim, &name, Condition::Absent, claim.clone())
        .await?;
    let begun = start.elapsed();
    tokio::time::sleep(CALL_TIME).await;
    let start = Instant::now();
    store
        .put(ObjectKind::Claim, &name, Condition::Match(version), claim)
        .await?;
    Ok(Some((begun, start.elapsed())))
}

async fn grouped(book: ClaimBook, number: u64) -> Result<Times, Failure> {
    let account = AccountName::from("tailors");
    let start = Instant::now();
    let key = format!("order-{number}");
    let request = RequestId(number.into());
    let begun = book
        .begin(&account, &key, Fingerprint(number), request)
        .await;
    let Ok(Begun::Fresh(ticket)) = begun else {
        return Ok(None);
    };
    let begun = start.elapsed();
    tokio::time::sleep(CALL_TIME).await;
    let start = Instant::now();
    let answer = Bytes::from_static(&[b'x'; 200]);
    let recorded = Recorded::new(200, "application/json", &answer);
    book.record(ticket, recorded).await?;
    Ok(Some((begun, start.elapsed())))
}

/// A claim on a quiet shard against one write to the store.
async fn idle_latency() -> Result<(), Failure> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let api = api()?;
    let store = Store::new(api.address(), Duration::from_secs(1));
    let limits = ClaimLimits {
        shards: 1,
        ..ClaimLimits::default()
    };
    let book = ClaimBook::start(&store.clone().into(), Clock::start(), limits);
    grouped(book.clone(), 1_000_000).await?;
    let (mut claims, mut writes) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    for _ in 0..100 {
        tokio::time::sleep(limits.gap).await;
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        if let Some((begun, _)) = grouped(book.clone(), number).await? {
            claims.record(micros(begun))?;
        }
        if let Some((begun, _)) = single(store.clone(), number).await? {
            writes.record(micros(begun))?;
        }
    }
    let (claim, write) = (claims.value_at_quantile(0.5), writes.value_at_quantile(0.5));
    println!(
        "quiet shard, 100 claims: {claim} us a claim, {write} us a write, ratio {:.2}",
        ratio(claim, write)
    );
    Ok(())
}
