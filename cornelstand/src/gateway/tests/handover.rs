//! Plays of many instances that hand connections over, with modelled processors.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::gateway::handover::balance::{
    Balance, Candidate, Change, Choice, Decline, OfferResult, ProcessorReport,
};
use crate::gateway::handover::shedding::RecentRequests;
use crate::gateway::handover::usage::Sample;
use crate::gateway::number::to_f64;
use crate::gateway::tests::fleet::{STEP, steps};
use crate::moment::Moment;
use crate::name::{AccountName, InstanceName};

/// Instances of the data centre.
const COUNT: usize = 25;
/// Period of reports of idle instances, and of measures.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
const MEASURE_PERIOD: Duration = Duration::from_millis(100);
/// Processor time of a copied connection against a served one.
const COPY_SHARE: f64 = 0.2;
/// Time until loads have settled.
const RAMP: Duration = Duration::from_secs(10);
/// Most that an instance may use while others are idle, and its timer lag then.
const MAX_SHARE: f64 = 0.95;
const MAX_LAG_MS: f64 = 45.0;

/// A connection at its entry and where it is served.
struct Connection {
    entry: usize,
    server: usize,
    load: f64,
    ends: u64,
    taken: Option<Choice>,
}

struct Node {
    name: InstanceName,
    balance: Balance,
    cores: f64,
    /// New connections in a second.
    rate: f64,
    /// Load that cannot be handed over, in cores.
    base: f64,
    busy: Duration,
    /// Work that waits for the processor, in core seconds.
    backlog: f64,
    peak_share: f64,
    peak_lag: f64,
    changes: Vec<Change>,
    taken: usize,
}

struct Play {
    nodes: Vec<Node>,
    connections: Vec<Connection>,
    lifetime: Duration,
    load: f64,
    step: u64,
    reports: bool,
    rng: ChaCha8Rng,
}

impl Play {
    fn new(lifetime_ms: u64) -> Self {
        let node = |index: usize| Node {
            name: InstanceName::from(format!("i-{index:02}").as_str()),
            balance: Balance::default(),
            cores: if index.is_multiple_of(5) { 0.5 } else { 0.12 },
            rate: 0.0,
            base: 0.0,
            busy: Duration::ZERO,
            backlog: 0.0,
            peak_share: 0.0,
            peak_lag: 0.0,
            changes: Vec::new(),
            taken: 0,
        };
        Self {
            nodes: (0..COUNT).map(node).collect(),
            connections: Vec::new(),
            lifetime: Duration::from_millis(lifetime_ms),
            load: 0.002,
            step: 0,
            reports: true,
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// Gives an instance new connections that need `times` its processor.
    fn heat(&mut self, index: usize, times: f64) {
        let wanted = times * self.nodes[index].cores / self.load;
        self.nodes[index].rate = wanted / self.lifetime.as_secs_f64();
    }

    fn now(&self) -> Moment {
        Moment::default().after(STEP * u32::try_from(self.step).expect("short"))
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..steps(time) {
            self.step += 1;
            self.work();
            self.open();
            for index in 0..COUNT {
                let offset = u64::try_from(index).expect("few");
                if (self.step + offset).is_multiple_of(steps(MEASURE_PERIOD)) {
                    self.measure(index);
                }
                if self.reports && (self.step + offset * 2).is_multiple_of(steps(REPORT_PERIOD)) {
                    self.report(index);
                }
            }
        }
    }

    /// Uses each processor for a step.
    fn work(&mut self) {
        let step = self.step;
        let now = self.now();
        for connection in self.connections.extract_if(.., |c| c.ends <= step) {
            if let Some(choice) = connection.taken {
                let server = &mut self.nodes[connection.server].balance;
                server.note_taken_end(now, choice.at, choice.load);
                let entry = &mut self.nodes[connection.entry].balance;
                entry.note_given_end(now, &choice);
            }
        }
        let mut demand: Vec<f64> = self.nodes.iter().map(|n| n.base).collect();
        for connection in &self.connections {
            demand[connection.server] += connection.load;
            if connection.entry != connection.server {
                demand[connection.entry] += COPY_SHARE * connection.load;
            }
        }
        for (node, demand) in self.nodes.iter_mut().zip(demand) {
            let wanted = node.backlog + demand * STEP.as_secs_f64();
            let done = wanted.min(node.cores * STEP.as_secs_f64());
            // Callers that wait too long leave.
            node.backlog = (wanted - done).min(node.cores * 0.3);
            node.busy += Duration::from_secs_f64(done / node.cores);
        }
    }

    fn measure(&mut self, index: usize) {
        let now = self.now();
        let count = |is_counted: &dyn Fn(&Connection) -> bool| {
            to_f64(self.connections.iter().filter(|c| is_counted(c)).count())
        };
        let served = count(&|c| c.server == index);
        let given = count(&|c| c.entry == index && c.server != index);
        let node = &mut self.nodes[index];
        let lag_ms = node.backlog / node.cores * 1e3;
        let sample = Sample {
            busy: node.busy,
            lag_ms,
        };
        let change = node.balance.step(now, sample, node.cores, (served, given));
        node.changes.extend(change);
        node.peak_share = node.peak_share.max(node.balance.usage.share);
        node.peak_lag = node.peak_lag.max(lag_ms);
    }

    fn report(&mut self, index: usize) {
        let now = self.now();
        let (name, report) = (
            self.nodes[index].name.clone(),
            self.nodes[index].balance.report(100),
        );
        for other in (0..COUNT).filter(|i| *i != index) {
            let balance = &mut self.nodes[other].balance;
            balance.record_report(now, name.clone(), report);
        }
    }

    fn open(&mut self) {
        for entry in 0..COUNT {
            let expected = self.nodes[entry].rate * STEP.as_secs_f64();
            let mut count = expected.floor();
            count += f64::from(self.rng.random_bool(expected.fract()));
            while count >= 1.0 {
                count -= 1.0;
                let (server, taken) = match self.offer(entry) {
                    Some((server, choice)) => (server, Some(choice)),
                    None => (entry, None),
                };
                let lasting = self.lifetime.mul_f64(self.rng.random_range(0.5..1.5));
                self.connections.push(Connection {
                    entry,
                    server,
                    load: self.load,
                    ends: self.step + steps(lasting).max(1),
                    taken,
                });
            }
        }
    }

    /// Offers a connection as its entry decides. Returns who takes it.
    fn offer(&mut self, entry: usize) -> Option<(usize, Choice)> {
        let now = self.now();
        let lots = [self.rng.random(), self.rng.random()];
        if !self.nodes[entry].balance.is_due(1.0, self.rng.random()) {
            return None;
        }
        let others = self.nodes.iter().enumerate().filter(|(i, _)| *i != entry);
        let candidates: Vec<Candidate> = others
            .map(|(_, n)| Candidate {
                name: n.name.clone(),
                cores: n.cores,
            })
            .collect();
        let choice = self.nodes[entry].balance.choose(now, &candidates, lots)?;
        let server = self.nodes.iter().position(|n| n.name == choice.name)?;
        let node = &mut self.nodes[server];
        let answer = node.balance.accept(now, choice.load, node.cores);
        let result = if answer.is_ok() {
            node.taken += 1;
            OfferResult::Accepted
        } else {
            OfferResult::Declined
        };
        self.nodes[entry].balance.note_result(now, &choice, result);
        answer.is_ok().then_some((server, choice))
    }

    /// Forgets peaks, after a ramp.
    fn settle(&mut self) {
        self.run(RAMP);
        for node in &mut self.nodes {
            (node.peak_share, node.peak_lag) = (0.0, 0.0);
        }
    }

    fn assert_none_over(&self) {
        for node in &self.nodes {
            let (share, lag) = (node.peak_share, node.peak_lag);
            let changes = &node.changes;
            assert!(share <= MAX_SHARE, "{}: {share} {changes:?}", node.name);
            assert!(lag <= MAX_LAG_MS, "{}: {lag} ms", node.name);
        }
    }
}

#[rstest]
#[case::kept(8_000, 1, 2.5)]
#[case::short(200, 1, 2.5)]
#[case::larger_instance(2_000, 5, 1.5)]
#[case::slightly_over(2_000, 1, 1.1)]
fn a_hot_entry_uses_its_idle_neighbours(
    #[case] lifetime_ms: u64,
    #[case] entry: usize,
    #[case] times: f64,
) {
    let mut play = Play::new(lifetime_ms);
    play.run(Duration::from_secs(2));
    play.heat(entry, times);
    play.settle();
    play.run(Duration::from_mins(1));
    play.assert_none_over();
    let changes = &play.nodes[entry].changes;
    assert!(changes.len() <= 3, "flapping: {changes:?}");
    let takers = play.nodes.iter().filter(|n| n.taken > 0).count();
    assert!(takers >= COUNT / 2, "{takers}");
}

#[test]
fn an_entry_serves_its_connections_again_when_the_load_is_over() {
    let mut play = Play::new(1_000);
    play.run(Duration::from_secs(2));
    play.heat(1, 2.0);
    play.run(RAMP);
    play.heat(1, 0.3);
    play.run(RAMP);
    assert_eq!(play.nodes[1].changes, [Change::Begins, Change::Ends]);
    assert!(play.connections.iter().all(|c| c.entry == c.server));
}

#[test]
fn a_hot_neighbour_takes_nothing() {
    let mut play = Play::new(2_000);
    play.nodes[2].base = 0.9 * play.nodes[2].cores;
    play.run(Duration::from_secs(2));
    play.heat(1, 2.5);
    play.run(Duration::from_secs(30));
    assert_eq!(play.nodes[2].taken, 0);
}

#[test]
fn nobody_takes_connections_while_all_are_hot() {
    let mut play = Play::new(2_000);
    for node in &mut play.nodes {
        node.base = 0.8 * node.cores;
    }
    play.run(Duration::from_secs(2));
    play.heat(1, 2.5);
    play.run(Duration::from_secs(30));
    assert!(play.nodes.iter().all(|n| n.taken == 0));
}

#[test]
fn many_hot_entries_do_not_fill_the_one_idle_neighbour() {
    let mut play = Play::new(2_000);
    play.run(Duration::from_secs(2));
    for entry in 1..COUNT {
        play.heat(entry, 1.3);
    }
    play.run(Duration::from_secs(30));
    let idle = &play.nodes[0];
    assert!(idle.taken > 0);
    assert!(idle.peak_share <= MAX_SHARE, "{}", idle.peak_share);
}

#[test]
fn a_neighbour_with_an_old_report_is_not_asked() {
    let mut play = Play::new(2_000);
    play.run(Duration::from_secs(2));
    play.heat(1, 2.5);
    play.run(RAMP);
    play.reports = false;
    play.run(Duration::from_secs(1));
    let before: usize = play.nodes.iter().map(|n| n.taken).sum();
    play.run(Duration::from_secs(2));
    assert!(before > 0);
    assert_eq!(play.nodes.iter().map(|n| n.taken).sum::<usize>(), before);
}

#[test]
fn a_neighbour_that_declines_is_not_asked_at_once() {
    let (now, name) = (Moment::default(), InstanceName::from("two"));
    let mut balance = Balance::default();
    let report = ProcessorReport {
        share: 0.1,
        lag_ms: 0.0,
        room: 1,
    };
    balance.record_report(now, name.clone(), report);
    let candidates = [Candidate { name, cores: 0.2 }];
    let choice = balance.choose(now, &candidates, [0.5, 0.5]);
    let choice = choice.expect("a neighbour with headroom");
    balance.note_result(now, &choice, OfferResult::Declined);
    assert_eq!(balance.choose(now, &candidates, [0.5, 0.5]), None);
    let later = now.after(Duration::from_millis(600));
    assert!(balance.choose(later, &candidates, [0.5, 0.5]).is_some());
}

#[test]
fn an_instance_takes_no_more_than_it_has_left() {
    let (now, mut balance) = (Moment::default(), Balance::default());
    let taken = (0..100).filter(|_| balance.accept(now, 0.01, 0.25).is_ok());
    assert_eq!(taken.count(), 15);
    assert_eq!(balance.accept(now, 0.01, 0.25), Err(Decline::Busy));
}

#[test]
fn accounts_with_the_fewest_requests_are_shed_last() {
    let mut recent = RecentRequests::default();
    let now = Moment::default();
    let counts = [("large", 80), ("middle", 15), ("small", 5)];
    for (name, count) in counts {
        (0..count).for_each(|_| recent.count(now, &AccountName::from(name)));
    }
    let mut shares = BTreeMap::new();
    for excess in [0.0, 0.4, 0.7, 0.9] {
        let share = |name| recent.shed_share(now, &AccountName::from(name), excess);
        let text = counts.map(|(name, _)| format!("{name} {:.2}", share(name)));
        shares.insert(format!("{excess:.1}"), text.join(", "));
    }
    insta::assert_debug_snapshot!(shares, @r#"
    {
        "0.0": "large 0.00, middle 0.00, small 0.00",
        "0.4": "large 0.50, middle 0.00, small 0.00",
        "0.7": "large 0.84, middle 0.17, small 0.00",
        "0.9": "large 0.96, middle 0.78, small 0.33",
    }
    "#);
}

#[test]
fn an_old_request_does_not_count_against_its_account() {
    let mut recent = RecentRequests::default();
    let (now, old) = (Moment::default(), AccountName::from("old"));
    (0..50).for_each(|_| recent.count(now, &old));
    let later = now.after(Duration::from_secs(30));
    recent.remove_expired(later);
    assert!(recent.shed_share(later, &old, 0.9) < f64::EPSILON);
}
