//! Tests of waits under a flood of batch calls, of the ramp after a restart and of fair shares.

use cornelstand::Class;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::driver::{Driver, Job, Plan};
use crate::make::{Size, flat};

/// Time until the last burst.
const SPAN_MS: u64 = 60_000;

const SEED: u64 = 4;

fn job(at: u64, account: usize, class: Class, cost: u64) -> Job {
    Job {
        at,
        account,
        class,
        cost,
        hint: None,
        cancel: None,
        lost: false,
        twice: false,
    }
}

/// Account `a1` sends six calls of 20 ms each second. With `flood`, `a0` always has batch calls of
/// 300 to 900 ms waiting, and interactive calls of 100 ms too if `mixed`.
fn plan(flood: bool, mixed: bool) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut jobs = Vec::new();
    for at in (1000..SPAN_MS).step_by(1000) {
        let at = at + rng.random_range(0..600);
        jobs.extend((0..6).map(|_| job(at, 1, Class::Interactive, 20)));
    }
    if flood {
        let batch = (0..SPAN_MS).step_by(if mixed { 140 } else { 70 });
        jobs.extend(batch.map(|at| job(at, 0, Class::Batch, rng.random_range(300..900))));
    }
    if mixed {
        let calls = (0..SPAN_MS).step_by(25);
        jobs.extend(calls.map(|at| job(at, 0, Class::Interactive, 100)));
    }
    Plan {
        shares: vec![1, 1],
        sizes: vec![flat(4), flat(4)],
        jobs,
        restarts: Vec::new(),
        lag: 0,
        takeovers: Vec::new(),
    }
}

/// Waits of `a1` at the median, at 95 % and at most, in milliseconds.
fn waits(plan: Plan) -> String {
    let own: Vec<bool> = plan.jobs.iter().map(|j| j.account == 1).collect();
    let outcome = Driver::new(plan).run();
    let waits = outcome.waits.into_iter().filter(|(job, _)| own[*job]);
    let mut waits: Vec<u64> = waits.map(|(_, wait)| wait).collect();
    waits.sort_unstable();
    let at = |percent: usize| waits[(waits.len() - 1) * percent / 100];
    assert_eq!((outcome.idle, outcome.queue_full), (0, 0));
    assert!(outcome.gap_percent <= 100);
    format!("{} {} {}", at(50), at(95), at(100))
}

#[test]
fn interactive_calls_wait_for_the_next_slots_only() {
    let lines = [(false, false), (true, false), (true, true)]
        .map(|(flood, mixed)| format!("{flood} {mixed}: {}", waits(plan(flood, mixed))));
    insta::assert_snapshot!(lines.join("\n"), @r"
    false false: 0 0 0
    true false: 84 229 363
    true true: 63 105 140
    ");
}

/// Time until an engine is full if it gets a request of `cost` whenever it has capacity for one.
fn fastest_ramp(size: Size, cost: u64) -> u64 {
    let mut ends: Vec<u64> = vec![cost; size.cold as usize];
    let mut answers = 0;
    loop {
        ends.sort_unstable();
        let now = ends.remove(0);
        answers += 1;
        let gained = (size.warm - size.cold) * answers.min(size.ramp) / size.ramp;
        ends.resize((size.cold + gained) as usize, now + cost);
        if ends.len() == size.warm as usize {
            return now;
        }
    }
}

#[test]
fn a_restarted_engine_is_full_again_within_a_tenth_of_the_fastest_ramp() {
    const COST: u64 = 100;
    let size = Size {
        cold: 2,
        warm: 10,
        ramp: 40,
    };
    let job = |at| job(at, usize::from(at % 20 == 0), Class::Interactive, COST);
    let plan = Plan {
        shares: vec![1, 1],
        sizes: vec![size],
        jobs: (0..12_000).step_by(10).map(job).collect(),
        restarts: vec![(5000, 0)],
        lag: 1000,
        takeovers: Vec::new(),
    };
    let outcome = Driver::new(plan).run();
    let fastest = fastest_ramp(size, COST);
    assert_eq!(outcome.excess, []);
    assert_eq!(outcome.ramps.len(), 2);
    for ramp in outcome.ramps {
        assert!(ramp * 10 <= fastest * 11, "{ramp} ms, fastest {fastest} ms");
    }
}

/// Worst ratio of the largest to the smallest service per share, in thousandths, over all windows
/// of 10 s in the steady state.
fn worst_ratio(shares: &[u32], spans: &[(usize, u64, u64)], until: u64) -> u64 {
    const WINDOW_MS: u64 = 10_000;
    let service = |account: usize, from: u64| {
        let own = spans.iter().filter(|(a, ..)| *a == account);
        let inside = own.map(|(_, start, end)| {
            let end = (*end).min(from + WINDOW_MS);
            end.saturating_sub((*start).max(from))
        });
        inside.sum::<u64>() * 1_000_000 / u64::from(shares[account])
    };
    let ratio = |from: u64| {
        let services = (0..shares.len()).map(|a| service(a, from));
        let services: Vec<u64> = services.collect();
        let most = services.iter().max().copied().unwrap_or(0);
        let least = services.iter().min().copied().unwrap_or(0);
        most * 1000 / least.max(1)
    };
    let starts = (WINDOW_MS..until - WINDOW_MS).step_by(500);
    starts.map(ratio).max().unwrap_or(0)
}

#[test]
fn service_by_share_is_within_a_twentieth_over_any_ten_seconds() {
    const SHARES: [u32; 4] = [4, 2, 1, 1];
    const COSTS: [u64; 4] = [50, 150, 250, 400];
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut jobs = Vec::new();
    for (account, cost) in COSTS.iter().enumerate() {
        // The load is an eighth more than the account's share of 32 slots.
        let gap = 8 * cost * 8 / (32 * 9 * u64::from(SHARES[account]));
        for at in (0..30_000).step_by(usize::try_from(gap.max(1)).expect("small")) {
            let cost = rng.random_range(cost / 2..cost * 3 / 2);
            jobs.push(job(at, account, Class::Interactive, cost));
        }
    }
    let plan = Plan {
        shares: SHARES.to_vec(),
        sizes: vec![flat(8); 4],
        jobs,
        restarts: Vec::new(),
        lag: 0,
        takeovers: Vec::new(),
    };
    let outcome = Driver::new(plan).run();
    let ratio = worst_ratio(&SHARES, &outcome.spans, 30_000);
    assert!(ratio <= 1050, "{ratio} thousandths");
}
