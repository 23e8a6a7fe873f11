//! Sends a workload to the instances of a fleet and checks what comes back.
//!
//! Arrivals are open loop: they follow from the seed alone, so that slow answers do not slow the
//! arrivals down, and waits count from the arrival. An account can also keep a number of calls
//! outstanding, so that it is always backlogged.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::load_call::{Check, Drawn, End, Outcome, call};
use crate::load_plan::{AccountLoad, Arrival, CallKind, Source, Through, Workload};
use crate::load_result::{AccountResult, LoadResult, Record, Refused};

/// Most calls of one source that are open at a time.
const OPEN: usize = 20_000;
/// Pause of a backlogged account after a refusal that names no time.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(5);

/// Sends `workload` to its instances.
///
/// With `check`, answers are compared with what the endpoints must have answered.
///
/// # Panics
///
/// If the workload names no instance.
pub async fn run_load(workload: &Workload, check: Option<Check>) -> LoadResult {
    let (_sender, instances) = watch::channel(workload.instances.clone());
    run_load_through(workload, &instances, check).await
}

/// Sends `workload` to the instances that `instances` names at each moment, as a balancer does.
///
/// # Panics
///
/// If there is no instance at the start.
pub async fn run_load_through(
    workload: &Workload,
    instances: &watch::Receiver<Vec<SocketAddr>>,
    check: Option<Check>,
) -> LoadResult {
    assert!(
        !instances.borrow().is_empty(),
        "a workload needs an instance to call"
    );
    let start = Instant::now();
    let records: Vec<Vec<Arc<Mutex<Record>>>> = workload.accounts.iter().map(records_of).collect();
    let mut sources = JoinSet::new();
    for (place, (account, records)) in workload.accounts.iter().zip(&records).enumerate() {
        for (index, (source, record)) in account.sources.iter().zip(records).enumerate() {
            let shared = Arc::new(Shared {
                start,
                end: start + end_of(workload, source),
                last: start + workload.span() + Duration::from_millis(workload.settle),
                http: client(),
                account: account.clone(),
                source: source.clone(),
                instances: instances.clone(),
                check,
                record: record.clone(),
                sent: AtomicU64::default(),
                label: format!("{}-{}-{index}", workload.seed, account.account),
            });
            let seed = workload.seed ^ source.seed.unwrap_or(stream_seed(place, index));
            sources.spawn(run_source(shared, ChaCha8Rng::seed_from_u64(seed)));
        }
    }
    sources.join_all().await;
    result(workload, &records)
}

fn records_of(account: &AccountLoad) -> Vec<Arc<Mutex<Record>>> {
    let records = account.sources.iter().map(|s| Record::new(&s.label));
    records.map(|r| Arc::new(Mutex::new(r))).collect()
}

/// Seed that separates the sources of one workload.
fn stream_seed(account: usize, source: usize) -> u64 {
    let account = u64::try_from(account).unwrap_or_default();
    let source = u64::try_from(source).unwrap_or_default();
    (account + 1) << 32 | (source + 1) << 16
}

/// When a source ends, after the start of the workload.
fn end_of(workload: &Workload, source: &Source) -> Duration {
    let until = source.until.map(Duration::from_millis);
    until.unwrap_or(Duration::MAX).min(workload.span())
}

fn client() -> Client {
    Client::builder()
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT)
        .build()
        .expect("an HTTP client without TLS needs no system resources")
}

fn result(workload: &Workload, records: &[Vec<Arc<Mutex<Record>>>]) -> LoadResult {
    let accounts = workload.accounts.iter().zip(records);
    LoadResult {
        seed: workload.seed,
        length: workload.length,
        accounts: accounts
            .map(|(account, records)| AccountResult {
                account: account.account.clone(),
                share: account.share,
                sources: records.iter().map(|r| lock(r).result()).collect(),
            })
            .collect(),
        not_run: records
            .iter()
            .flatten()
            .flat_map(|r| std::mem::take(&mut lock(r).not_run))
            .collect(),
    }
}

fn lock(record: &Mutex<Record>) -> MutexGuard<'_, Record> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What all calls of one source share.
struct Shared {
    start: Instant,
    end: Instant,
    last: Instant,
    http: Client,
    account: AccountLoad,
    source: Source,
    instances: watch::Receiver<Vec<SocketAddr>>,
    check: Option<Check>,
    record: Arc<Mutex<Record>>,
    sent: AtomicU64,
    label: String,
}

impl Shared {
    /// Draws the next call.
    fn draw(&self, rng: &mut ChaCha8Rng) -> Drawn {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{number} ", self.label);
        let (text, cost, hint, is_once) = match self.source.call {
            CallKind::Chat {
                tokens,
                prompt,
                hint,
            } => {
                let cost = rng.random_range(tokens.div_ceil(2)..=tokens + tokens / 2);
                let hint = hint.then(|| rng.random_range(cost.div_ceil(2)..=cost * 2));
                // Equal prompts cost the same whatever the account's name is.
                let preamble = format!("account {} ", self.account.account);
                let filler = preamble.chars().cycle();
                let filler: String = filler.take(prompt.saturating_sub(text.len())).collect();
                (filler + &text, cost, hint, false)
            }
            CallKind::Plain { cost, once } => (text, cost, None, once),
        };
        Drawn {
            account_key: self.account.key.clone(),
            target: self.target(number),
            once: is_once.then(|| format!("{}-{number}", self.label)),
            text,
            cost,
            hint,
        }
    }

    fn target(&self, number: u64) -> SocketAddr {
        let index = match self.account.through {
            Through::All => usize::try_from(number).unwrap_or_default(),
            Through::One(index) => index,
        };
        let instances = self.instances.borrow();
        instances[index % instances.len().max(1)]
    }

    /// Makes one call that arrived at `arrival`, and gives the pause that its refusal asks for.
    async fn make(&self, drawn: Drawn, arrival: Instant) -> Option<Duration> {
        lock(&self.record).counts.arrived += 1;
        let is_first = std::sync::atomic::AtomicBool::new(true);
        let served = |service| {
            let now = Instant::now();
            let mut record = lock(&self.record);
            record.serve(now - self.start, service);
            if is_first.swap(false, Ordering::Relaxed) {
                record.wait(now - arrival);
            }
        };
        let ended = call(&self.http, &self.source, &drawn, self.check, &served);
        let Ok(end) = timeout_at(self.last, ended).await else {
            lock(&self.record).counts.open += 1;
            return None;
        };
        self.count(end, drawn, arrival)
    }

    fn count(&self, end: End, drawn: Drawn, arrival: Instant) -> Option<Duration> {
        let mut record = lock(&self.record);
        match end {
            End::Answered => {
                record.counts.answered += 1;
                record.whole(arrival.elapsed());
                return None;
            }
            End::Refused {
                outcome,
                request,
                retry,
            } => {
                match outcome {
                    Outcome::NotRun => {
                        record.counts.not_run += 1;
                        let key = drawn.once;
                        record.not_run.push(Refused { request, key });
                    }
                    Outcome::Unknown => record.counts.unknown += 1,
                    Outcome::Failed => record.counts.failed += 1,
                }
                return Some(retry.unwrap_or(PAUSE));
            }
            End::Cut => record.counts.cut += 1,
            End::Wrong => record.counts.wrong += 1,
            End::Foreign => record.counts.foreign += 1,
        }
        Some(PAUSE)
    }
}

async fn run_source(shared: Arc<Shared>, rng: ChaCha8Rng) {
    let first = shared.start + Duration::from_millis(shared.source.after);
    sleep_until(first).await;
    match shared.source.arrival {
        Arrival::Rate(rate) => run_open(shared, rng, rate, first).await,
        Arrival::Backlog(number) => run_backlog(shared, rng, number).await,
    }
}

/// Calls at exponential intervals.
async fn run_open(shared: Arc<Shared>, mut rng: ChaCha8Rng, rate: f64, first: Instant) {
    let mut open = JoinSet::new();
    let mut next = first;
    loop {
        let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        next += Duration::from_secs_f64(-draw.ln() / rate);
        if next >= shared.end {
            break;
        }
        let drawn = shared.draw(&mut rng);
        sleep_until(next).await;
        while open.try_join_next().is_some() {}
        if open.len() >= OPEN {
            lock(&shared.record).counts.unsent += 1;
            continue;
        }
        let shared = shared.clone();
        open.spawn(async move { shared.make(drawn, next).await });
    }
    open.join_all().await;
}

/// A number of calls at a time.
async fn run_backlog(shared: Arc<Shared>, mut rng: ChaCha8Rng, number: u32) {
    let mut open = JoinSet::new();
    for _ in 0..number {
        let rng = ChaCha8Rng::from_rng(&mut rng);
        open.spawn(run_one_by_one(shared.clone(), rng));
    }
    open.join_all().await;
}

async fn run_one_by_one(shared: Arc<Shared>, mut rng: ChaCha8Rng) {
    while Instant::now() < shared.end {
        let drawn = shared.draw(&mut rng);
        let pause = shared.make(drawn, Instant::now()).await;
        if let Some(pause) = pause {
            sleep_until((Instant::now() + pause).min(shared.end)).await;
        }
    }
}
