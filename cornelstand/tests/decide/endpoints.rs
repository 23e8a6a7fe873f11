//! Tests of the limit that a cell sets for one endpoint.

use std::time::Duration;

use cornelstand::{
    BootId, Cell, CellInput, CellOutput, Ending, Grant, LoadReport, Moment, Phase, Report, State,
};
use rstest::rstest;

use crate::make::{Size, at, cell, config, ended, flat, grants, offer, send};

const SIZE: Size = Size {
    cold: 2,
    warm: 10,
    ramp: 8,
};

/// A cell with one endpoint of [`SIZE`] and more offers than it can run.
struct Fixture {
    cell: Cell,
    now: u64,
    running: Vec<Grant>,
    boot: u64,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            cell: cell(&config(&[1], &[SIZE])),
            now: 1000,
            running: Vec::new(),
            boot: 1,
        };
        for number in 0..200 {
            fixture.send(CellInput::Offer(offer(number, "a0")));
        }
        fixture
    }

    /// A fixture whose endpoint is warm and full.
    fn warm() -> Self {
        let mut fixture = Self::new();
        for _ in 0..SIZE.ramp {
            fixture.end(0, Ending::Answered);
        }
        assert_eq!(fixture.limit(), (State::Warm, SIZE.warm));
        assert_eq!(fixture.running.len(), 10);
        fixture
    }

    fn send(&mut self, input: CellInput) -> Vec<CellOutput> {
        self.now += 1;
        let out = send(&mut self.cell, at(self.now), input);
        self.running.extend(grants(&out));
        out
    }

    fn report(&self, grant: &Grant, ending: Ending) -> Report {
        let report = ended(grant, "a0", 10, ending);
        let boot = report.boot.map(|_| BootId(self.boot));
        Report { boot, ..report }
    }

    /// Ends the running attempt at `index`.
    fn end(&mut self, index: usize, ending: Ending) {
        let grant = self.running.remove(index);
        let report = self.report(&grant, ending);
        self.send(CellInput::Report(report));
    }

    fn load(&mut self, boot: u64, running: u32, answers: u32) {
        let load = LoadReport {
            boot: BootId(boot),
            running,
            waiting: 0,
            answers,
        };
        let endpoint = "e0".into();
        self.send(CellInput::Load { endpoint, load });
    }

    fn limit(&self) -> (State, u32) {
        let status = self.cell.status();
        (status.endpoints[0].state, status.endpoints[0].limit)
    }
}

#[test]
fn the_limit_rises_with_answers_of_the_boot() {
    let mut fixture = Fixture::new();
    let mut seen = vec![(fixture.limit(), fixture.running.len())];
    for _ in 0..SIZE.ramp {
        fixture.end(0, Ending::Answered);
        seen.push((fixture.limit(), fixture.running.len()));
    }
    let lines = seen.iter().map(|((s, l), r)| format!("{s} {l} {r}"));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"), @r"
    cold 2 2
    warming 3 3
    warming 4 4
    warming 5 5
    warming 6 6
    warming 7 7
    warming 8 8
    warming 9 9
    warm 10 10
    ");
}

#[rstest]
#[case::broken(Ending::Broken)]
#[case::overloaded(Ending::Overloaded)]
fn a_failed_attempt_cuts_the_limit_to_cold(#[case] ending: Ending) {
    let mut fixture = Fixture::warm();
    fixture.end(0, ending);
    assert_eq!(fixture.limit(), (State::Cold, SIZE.cold));
    assert_eq!(
        fixture.running.len(),
        9,
        "nothing is granted above the limit"
    );
}

#[test]
fn the_broken_attempts_of_one_restart_cut_the_limit_once() {
    let mut fixture = Fixture::warm();
    for _ in 0..8 {
        fixture.end(0, Ending::Broken);
    }
    fixture.end(0, Ending::Broken);
    fixture.boot = 2;
    let fresh = fixture.running.len() - 1;
    fixture.end(fresh, Ending::Answered);
    assert_eq!(fixture.limit(), (State::Warming, SIZE.cold + 1));
    fixture.end(0, Ending::Broken);
    assert_eq!(fixture.limit(), (State::Warming, SIZE.cold + 1));
}

#[test]
fn a_new_boot_in_an_answer_cuts_the_limit_to_cold() {
    let mut fixture = Fixture::warm();
    fixture.boot = 2;
    fixture.end(0, Ending::Answered);
    assert_eq!(fixture.limit(), (State::Warming, SIZE.cold + 1));
}

#[test]
fn a_late_answer_of_an_earlier_boot_changes_nothing() {
    let mut fixture = Fixture::warm();
    fixture.boot = 2;
    fixture.end(0, Ending::Answered);
    fixture.boot = 1;
    fixture.end(0, Ending::Answered);
    assert_eq!(fixture.limit(), (State::Warming, SIZE.cold + 1));
}

#[test]
fn a_boot_that_outlives_a_broken_connection_is_warm_again() {
    let mut fixture = Fixture::warm();
    for _ in 0..9 {
        fixture.end(0, Ending::Broken);
    }
    let fresh = fixture.running.len() - 1;
    fixture.end(fresh, Ending::Answered);
    assert_eq!(fixture.limit(), (State::Warm, SIZE.warm));
    let running = u32::try_from(fixture.running.len()).expect("few");
    assert_eq!(running, SIZE.warm - 9, "the broken ones may still run");
    fixture.now += 3000;
    fixture.load(1, running, 20);
    assert_eq!(fixture.running.len(), 10);
}

#[test]
fn a_load_report_of_a_new_boot_cuts_the_limit_and_one_of_an_old_boot_does_not_restore_it() {
    let mut fixture = Fixture::warm();
    fixture.load(2, 0, 0);
    assert_eq!(fixture.limit(), (State::Cold, SIZE.cold));
    fixture.load(1, 10, 50);
    assert_eq!(fixture.limit(), (State::Cold, SIZE.cold));
}

#[test]
fn a_load_report_raises_the_limit_only_of_a_boot_seen_in_an_answer() {
    let mut fixture = Fixture::new();
    fixture.load(1, 0, 50);
    assert_eq!(fixture.limit(), (State::Cold, SIZE.cold));
    fixture.end(0, Ending::Answered);
    assert_eq!(fixture.limit(), (State::Warm, SIZE.warm));
}

#[test]
fn a_load_report_and_the_late_outcome_of_the_same_answer_count_once() {
    let mut fixture = Fixture::new();
    fixture.end(0, Ending::Answered);
    fixture.load(1, 1, 2);
    assert_eq!(fixture.limit(), (State::Warming, SIZE.cold + 2));
    fixture.end(0, Ending::Answered);
    assert_eq!(fixture.limit(), (State::Warming, SIZE.cold + 2));
}

#[test]
fn an_overloaded_boot_is_raised_by_its_own_answers_only() {
    let mut fixture = Fixture::warm();
    fixture.end(0, Ending::Overloaded);
    fixture.load(1, 9, 50);
    assert_eq!(fixture.limit(), (State::Cold, SIZE.cold));
    fixture.end(0, Ending::Answered);
    assert_eq!(fixture.limit(), (State::Warming, SIZE.cold + 1));
}

#[test]
fn a_late_first_byte_cuts_the_limit_to_cold() {
    let mut fixture = Fixture::warm();
    let mut answer = |ms| {
        let grant = fixture.running.remove(0);
        let first = Some(Duration::from_millis(ms));
        let report = Report {
            first,
            ..fixture.report(&grant, Ending::Answered)
        };
        fixture.send(CellInput::Report(report));
        fixture.limit()
    };
    for _ in 0..20 {
        assert_eq!(answer(20), (State::Warm, SIZE.warm));
    }
    assert_eq!(answer(100), (State::Warm, SIZE.warm));
    assert_eq!(answer(1000), (State::Cold, SIZE.cold));
}

#[test]
fn an_idle_endpoint_has_its_cold_limit_until_its_boot_is_seen() {
    let mut fixture = Fixture::warm();
    let mut cell = std::mem::replace(&mut fixture.cell, cell(&config(&[1], &[SIZE])));
    let waiting = (0..200).map(crate::make::attempt);
    for attempt in waiting {
        send(&mut cell, at(2000), CellInput::Withdraw(attempt));
    }
    let offers = (300..320).map(|n| send(&mut cell, at(3000), CellInput::Offer(offer(n, "a0"))));
    let granted: Vec<Grant> = offers.flat_map(|out| grants(&out)).collect();
    assert_eq!(granted.len(), 2);
    let report = Report {
        boot: Some(BootId(1)),
        phase: Phase::Running,
        ..ended(&granted[0], "a0", 1, Ending::Answered)
    };
    let out = send(&mut cell, at(3001), CellInput::Report(report));
    assert_eq!(grants(&out).len(), 8);
}

#[test]
fn a_silent_attempt_holds_its_slot_until_a_recent_load_report() {
    let mut fixture = Fixture::warm();
    fixture.end(0, Ending::Silent);
    assert_eq!(fixture.running.len(), 9);
    fixture.load(1, 9, 50);
    assert_eq!(
        fixture.running.len(),
        9,
        "the report may be older than the end"
    );
    fixture.now += 3000;
    fixture.load(1, 9, 50);
    assert_eq!(fixture.running.len(), 10);
}

#[test]
fn an_endpoint_that_cannot_be_reached_is_probed_with_backoff() {
    let mut fixture = Fixture::new();
    let mut probes = Vec::new();
    loop {
        while !fixture.running.is_empty() {
            let start = fixture.now;
            fixture.end(0, Ending::NotSent);
            if fixture.limit().0 == State::Suspect {
                probes.push(start - 1000);
            }
            fixture.now += 100;
        }
        if fixture.now > 17_000 {
            break;
        }
        let due = fixture.cell.timer().expect("a probe is due");
        fixture.now = due.0 / 1000;
        fixture.send(CellInput::Tick);
    }
    insta::assert_snapshot!(format!("{probes:?}"), @"[806, 907, 1308, 2309, 4310, 8311, 16312]");
    fixture.load(2, 0, 0);
    assert_eq!(fixture.running.len(), 1, "the endpoint has restarted");
    fixture.end(0, Ending::Answered);
    assert_eq!(fixture.limit().0, State::Warming);
}

#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    let mut fixture = Fixture::warm();
    let names = ["e0".into()].into();
    let out = fixture.send(CellInput::Leaving(names));
    let changed = CellOutput::Changed {
        endpoint: "e0".into(),
        state: State::Leaving,
    };
    assert!(out.contains(&changed));
    fixture.end(0, Ending::Answered);
    assert_eq!(fixture.running.len(), 9);
    assert_eq!(fixture.cell.status().running, 9);
}

#[test]
fn a_data_centre_taken_out_gets_no_new_work_until_it_is_back() {
    let base = config(&[1], &[flat(2)]);
    let mut cell = cell(&base);
    send(&mut cell, at(1), CellInput::Offer(offer(0, "a0")));
    let revised = |revision, out| {
        let mut config = (*base).clone();
        config.revision = cornelstand::Revision(revision);
        let centre = config.centres.values_mut().next().expect("a centre");
        centre.out = out;
        CellInput::Configure(config.into())
    };
    send(&mut cell, at(2), revised(1, true));
    assert_eq!(cell.status().endpoints[0].state, State::Out);
    let out = send(&mut cell, at(3), CellInput::Offer(offer(1, "a0")));
    assert!(grants(&out).is_empty());
    assert_eq!(cell.status().running, 1);
    send(&mut cell, at(4), revised(2, false));
    let out = send(&mut cell, at(5), CellInput::Offer(offer(2, "a0")));
    assert_eq!(grants(&out).len(), 1);
    send(&mut cell, at(6), revised(1, true));
    assert_eq!(
        cell.status().endpoints[0].state,
        State::Warm,
        "an old revision"
    );
    assert_eq!(cell.timer(), None::<Moment>);
}
