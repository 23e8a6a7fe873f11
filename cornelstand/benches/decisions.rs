//! Time of one offer, and of one outcome with the grant that follows, at three sizes with a tenth
//! of the accounts backlogged.

mod common;

use std::hint::black_box;
use std::time::Duration;

use common::Load;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SIZES: [usize; 3] = [25, 2500, 25_000];

/// Requests that wait for each backlogged account.
const BACKLOG: usize = 8;

fn ready(accounts: usize) -> Load {
    let mut load = Load::new(accounts);
    load.meet_all();
    load.backlog(BACKLOG);
    load
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("outcome_and_grant");
    for accounts in SIZES {
        let mut load = ready(accounts);
        group.bench_function(BenchmarkId::from_parameter(accounts), |b| {
            b.iter_custom(|rounds| {
                let mut total = Duration::ZERO;
                for _ in 0..rounds {
                    let (index, took) = load.end();
                    total += took;
                    load.offer(black_box(index));
                }
                total
            });
        });
    }
    group.finish();
    let mut group = c.benchmark_group("offer");
    for accounts in SIZES {
        let mut load = ready(accounts);
        group.bench_function(BenchmarkId::from_parameter(accounts), |b| {
            b.iter_custom(|rounds| {
                let mut total = Duration::ZERO;
                for _ in 0..rounds {
                    let (index, _) = load.end();
                    total += load.offer(black_box(index));
                }
                total
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
