//! Roll-outs of good and bad versions at simulated fleets of several sizes.

use rstest::rstest;

use crate::gateway::rollout::StatusWord;
use crate::gateway::tests::rollout_fleet::{
    CALLS, DEADLINE_MS, Fault, Outcome, Plan, STREAMS, Simulation, Trouble, Work,
};

fn plan(instances: usize, work: Work, seed: u64) -> Plan {
    Plan {
        instances,
        centres: if instances > 100 { 12 } else { 3 },
        work,
        fault: Fault::default(),
        trouble: Trouble::default(),
        seed,
    }
}

const FAULTS: [(&str, Fault); 2] = [
    (
        "good",
        Fault {
            portion: 0.0,
            slow: None,
            from_ms: 0,
            is_loaded: false,
            is_routed: false,
        },
    ),
    (
        "bad",
        Fault {
            portion: 0.3,
            slow: None,
            from_ms: 0,
            is_loaded: false,
            is_routed: false,
        },
    ),
];

#[test]
fn trial() {
    let forms = [
        ("good", Fault::default()),
        (
            "fail",
            Fault {
                portion: 0.3,
                ..Fault::default()
            },
        ),
        (
            "fail10",
            Fault {
                portion: 0.1,
                ..Fault::default()
            },
        ),
        (
            "slow",
            Fault {
                portion: 0.5,
                slow: Some(4.0),
                ..Fault::default()
            },
        ),
        (
            "late",
            Fault {
                portion: 0.3,
                from_ms: 7000,
                ..Fault::default()
            },
        ),
        (
            "late11",
            Fault {
                portion: 0.3,
                from_ms: 10_500,
                ..Fault::default()
            },
        ),
        (
            "lateslow",
            Fault {
                portion: 1.0,
                slow: Some(4.0),
                from_ms: 7000,
                ..Fault::default()
            },
        ),
        (
            "load",
            Fault {
                portion: 0.3,
                is_loaded: true,
                ..Fault::default()
            },
        ),
        (
            "loadslow",
            Fault {
                portion: 0.7,
                slow: Some(4.0),
                is_loaded: true,
                ..Fault::default()
            },
        ),
        (
            "route",
            Fault {
                portion: 0.3,
                is_routed: true,
                ..Fault::default()
            },
        ),
    ];
    let size: usize = std::env::var("SIZE").map_or(3, |s| s.parse().unwrap());
    let seeds: u64 = std::env::var("SEEDS").map_or(1, |s| s.parse().unwrap());
    for (kind, work) in [("calls", CALLS), ("streams", STREAMS)] {
        for (name, fault) in forms {
            for seed in 1..=seeds {
                let start = std::time::Instant::now();
                let mut plan = plan(size, work, seed);
                plan.fault = fault;
                let o = Simulation::run(plan, 20_000);
                println!(
                    "{kind} {name} {seed}: exp {:.2} keeps {} {:?} 50th {:?} last {} cut {} unplaced {} sends {} in {:?}",
                    o.exposure(),
                    o.keeps_exposure(),
                    o.end,
                    o.fiftieth,
                    o.last_send,
                    o.cut,
                    o.unplaced,
                    o.sends,
                    start.elapsed()
                );
            }
        }
    }
}
