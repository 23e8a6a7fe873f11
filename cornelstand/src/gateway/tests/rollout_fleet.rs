//! A service, its endpoints of two versions and the instances before them, in simulated time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::gateway::exchange::Sender;
use crate::gateway::rollout::{
    Answer, Fleet, Order, OrderId, RolloutNews, Rollouts, Sent, Side, Status, StatusWord,
};
use crate::gateway::settings::RolloutBounds;
use crate::moment::Moment;
use crate::name::{CentreName, EndpointName, InstanceName, ServiceName, VersionName};

pub(super) const BOUNDS: RolloutBounds = RolloutBounds {
    share: 0.1,
    slack: 50.0,
    rollback: Duration::from_secs(5),
};
/// When the order is given.
pub(super) const ORDERED_MS: u64 = 1_000;
/// Duration of the order.
pub(super) const DURATION_MS: u64 = 12_000;
pub(super) const DEADLINE_MS: u64 = ORDERED_MS + DURATION_MS;
/// Resolution of the simulation.
const STEP_MS: u64 = 5;
/// Time that is simulated after the end.
const AFTERMATH_MS: u64 = 2_000;
/// Interval of the instances' decisions.
const TICK_MS: u64 = 100;
/// Start of the target's endpoints.
const STARTED_MS: u64 = ORDERED_MS + 300;
/// Largest fleet without digests.
const SMALL_FLEET: usize = 12;
/// Failure rate of all endpoints.
const FAILURE_RATE: f64 = 0.005;
/// Failure rate of a flapping data centre or endpoint while it is down.
const FLAP_RATE: f64 = 0.5;

/// Requests to a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    pub(super) endpoints: usize,
    /// Routes: requests a second, time to the first byte and to the end, in milliseconds.
    pub(super) routes: &'static [(&'static str, f64, f64, f64)],
}

pub(super) const CALLS: Work = Work {
    endpoints: 3,
    routes: &[("book", 196.0, 30.0, 31.0), ("stock", 45.0, 30.0, 31.0)],
};
pub(super) const STREAMS: Work = Work {
    endpoints: 60,
    routes: &[
        ("digest", 120.0, 250.0, 4_200.0),
        ("quote", 190.0, 80.0, 2_500.0),
        ("match", 200.0, 90.0, 300.0),
    ],
};

/// What is wrong with the target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fault {
    /// Portion of its answers that are bad.
    pub(super) portion: f64,
    /// Factor on the time of bad answers; they fail without one.
    pub(super) slow: Option<f64>,
    /// Time from the order until answers are bad.
    pub(super) from_ms: u64,
    /// Only at endpoints that have their usual load.
    pub(super) is_loaded: bool,
    /// Only on the first route.
    pub(super) is_routed: bool,
}

/// What else happens.
#[derive(Clone, Debug, Default)]
pub(super) struct Trouble {
    /// Data centre whose endpoints fail half of their answers in every other second.
    pub(super) flapping: Option<usize>,
    /// One endpoint of the canary that always does.
    pub(super) grey: bool,
    /// Instances that freeze, from when, until when.
    pub(super) frozen: Option<(usize, u64, u64)>,
    /// Instances that restart, and when.
    pub(super) restarts: Vec<(usize, u64)>,
    /// Time in which the store answers nobody.
    pub(super) outage: Option<(u64, u64)>,
    /// Time in which even and odd instances do not hear each other.
    pub(super) halved: Option<(u64, u64)>,
    /// The first writer of an end dies, before or after its write.
    pub(super) dead_writer: Option<bool>,
}

/// One run.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) instances: usize,
    pub(super) centres: usize,
    pub(super) work: Work,
    pub(super) fault: Fault,
    pub(super) trouble: Trouble,
    pub(super) seed: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    /// Sends between order and deadline, and those to the target.
    pub(super) sends: u32,
    pub(super) exposed: u32,
    /// Status at the end, and when it was written.
    pub(super) end: Option<(StatusWord, u64)>,
    /// When the target gave its 50th bad answer, and when it got its last request.
    pub(super) fiftieth: Option<u64>,
    pub(super) last_send: u64,
    /// Attempts that were cut off at the baseline by the completion.
    pub(super) cut: u32,
    /// Requests that found no endpoint.
    pub(super) unplaced: u32,
}

impl Outcome {
    /// Part of what the rule allows that was used.
    pub(super) fn exposure(&self) -> f64 {
        f64::from(self.exposed) / (BOUNDS.share * f64::from(self.sends) + BOUNDS.slack)
    }

    /// Whether the rule was kept, for a bad version.
    pub(super) fn keeps_exposure(&self) -> bool {
        let limit = self
            .fiftieth
            .map(|at| at + u64::try_from(BOUNDS.rollback.as_millis()).expect("short"));
        self.exposure() <= 1.0 && limit.is_none_or(|limit| self.last_send <= limit)
    }

    pub(super) fn is(&self, word: StatusWord) -> bool {
        self.end.is_some_and(|(end, _)| end == word)
    }
}

#[derive(Debug)]
struct Backend {
    name: EndpointName,
    version: VersionName,
    centre: usize,
    running: u32,
}

#[derive(Debug)]
struct Node {
    name: InstanceName,
    centre: usize,
    rollouts: Rollouts,
    incarnation: u64,
    is_dead: bool,
    beats_at: u64,
    ticks_at: u64,
    /// Start of its clock.
    booted: u64,
}

/// An attempt that runs.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    node: usize,
    incarnation: u64,
    backend: usize,
    route: &'static str,
    answer: Answer,
}

#[derive(Debug)]
enum Event {
    Answer(Attempt),
    End(Attempt),
    Message(usize, Rc<(Sender, RolloutNews)>),
    /// The store's order, with the status that it had.
    Order(usize, u64, Option<StatusWord>),
}

pub(super) struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    backends: Vec<Backend>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    count: u64,
    status: Option<StatusWord>,
    revision: u64,
    bad: u32,
    outcome: Outcome,
}

fn service() -> ServiceName {
    ServiceName::from("shop")
}

impl Simulation {
    /// Runs `plan` until `until_ms`.
    pub(super) fn run(plan: Plan, until_ms: u64) -> Outcome {
        let mut simulation = Self::new(plan);
        let is_over = |s: &Self| {
            s.outcome
                .end
                .is_some_and(|(_, end)| s.now > end + AFTERMATH_MS)
        };
        while simulation.now < until_ms && !is_over(&simulation) {
            simulation.step();
        }
        simulation.outcome
    }

    fn new(plan: Plan) -> Self {
        let centre = |index: usize| index % plan.centres;
        let backend = |version: &str, index: usize| Backend {
            name: EndpointName::from(format!("{version}-{index}").as_str()),
            version: VersionName::from(version),
            centre: centre(index),
            running: 0,
        };
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: 0,
            nodes: Vec::new(),
            backends: (0..plan.work.endpoints)
                .map(|i| backend("v1", i))
                .chain((0..plan.work.endpoints).map(|i| backend("v2", i)))
                .collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            count: 0,
            status: None,
            revision: 10,
            bad: 0,
            outcome: Outcome::default(),
            plan,
        };
        for index in 0..simulation.plan.instances {
            let name = InstanceName::from(format!("i{index}").as_str());
            simulation.nodes.push(Node {
                rollouts: Rollouts::new(name.clone(), 1, Some(BOUNDS)),
                name,
                centre: index % simulation.plan.centres,
                incarnation: 1,
                is_dead: false,
                beats_at: simulation.rng.random_range(0..200),
                ticks_at: 0,
                booted: 0,
            });
            simulation.list(index);
        }
        simulation
    }

    fn is_small(&self) -> bool {
        self.plan.instances <= SMALL_FLEET
    }

    /// Tells an instance the endpoints and the fleet.
    fn list(&mut self, index: usize) {
        let is_completed = self.status == Some(StatusWord::Completed);
        let is_listed = |b: &&Backend| match b.version.as_str() {
            "v1" => !is_completed,
            _ => self.now >= STARTED_MS,
        };
        let listed = self.backends.iter().filter(is_listed);
        let listed: Vec<_> = listed
            .map(|b| (b.name.clone(), b.version.clone()))
            .collect();
        let centre = self.nodes[index].centre;
        let living = self.nodes.iter().filter(|n| !n.is_dead);
        let near = living
            .clone()
            .filter(|n| self.is_small() || n.centre == centre);
        let far = living
            .clone()
            .filter(|n| !self.is_small() && n.centre != centre);
        let fleet = Fleet {
            instances: near.map(|n| n.name.clone()).collect(),
            centres: far.map(|n| centre_name(n.centre)).collect(),
            count: living.count(),
        };
        let now = self.time(index);
        let rollouts = &mut self.nodes[index].rollouts;
        rollouts.note_endpoints(now, &service(), &listed);
        rollouts.set_fleet(now, fleet);
    }

    /// An instance's time.
    fn time(&self, index: usize) -> Moment {
        let uptime = self.now - self.nodes[index].booted;
        Moment::default().after(Duration::from_millis(uptime))
    }

    fn push(&mut self, due: u64, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((due, self.count)));
    }

    fn is_during(&self, span: Option<(u64, u64)>) -> bool {
        span.is_some_and(|(from, until)| (from..until).contains(&self.now))
    }

    fn is_frozen(&self, index: usize) -> bool {
        let frozen = self.plan.trouble.frozen;
        frozen
            .is_some_and(|(node, from, until)| node == index && self.is_during(Some((from, until))))
    }

    /// Tells all instances what the store has.
    fn publish(&mut self) {
        for index in 0..self.nodes.len() {
            let delay = self.rng.random_range(5..80);
            self.push(
                self.now + delay,
                Event::Order(index, self.revision, self.status),
            );
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if [ORDERED_MS, STARTED_MS].contains(&self.now) {
            if self.now == ORDERED_MS {
                self.publish();
            }
            (0..self.nodes.len()).for_each(|index| self.list(index));
        }
        for (index, moment) in self.plan.trouble.restarts.clone() {
            if moment == self.now {
                self.restart(index);
            }
        }
        while let Some(Reverse((due, key))) = self.queue.peek().copied()
            && due <= self.now
        {
            self.queue.pop();
            let event = self.events.remove(&key).expect("queued once");
            self.apply(event);
        }
        self.arrive();
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_dead || self.is_frozen(index) {
                continue;
            }
            let now = self.time(index);
            let node = &mut self.nodes[index];
            if node.ticks_at <= self.now {
                node.ticks_at = self.now + TICK_MS;
                node.rollouts.tick(now);
                self.write(index);
            }
            let node = &mut self.nodes[index];
            let is_alarm = node.rollouts.take_alarm();
            let is_urgent = node.rollouts.take_urgent();
            if is_alarm || is_urgent || node.beats_at <= self.now {
                self.beat(index, is_alarm);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.booted = self.now;
        node.rollouts = Rollouts::new(node.name.clone(), node.incarnation, Some(BOUNDS));
        self.list(index);
        if self.now >= ORDERED_MS {
            self.push(self.now, Event::Order(index, self.revision, self.status));
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Answer(attempt) => self.answer(attempt),
            Event::End(attempt) => self.end(attempt),
            Event::Message(to, message) => {
                let now = self.time(to);
                let rollouts = &mut self.nodes[to].rollouts;
                rollouts.merge(now, &message.0, &message.1);
            }
            Event::Order(to, revision, status) => {
                if self.is_during(self.plan.trouble.outage) || self.is_frozen(to) {
                    self.push(self.now + 100, Event::Order(to, revision, status));
                    return;
                }
                let target = VersionName::from("v2");
                let order = Order {
                    id: OrderId {
                        service: service(),
                        target: target.clone(),
                        created: 10,
                    },
                    duration: Duration::from_millis(DURATION_MS),
                    status: status.map(|word| Status { word, target }),
                };
                let now = self.time(to);
                let rollouts = &mut self.nodes[to].rollouts;
                rollouts.set_orders(now, revision.into(), &[order]);
            }
        }
    }

    /// Requests of one step.
    fn arrive(&mut self) {
        for (route, rate, first, whole) in self.plan.work.routes {
            let mut expected = rate * f64::from(u32::try_from(STEP_MS).expect("small")) / 1e3;
            while expected > 0.0 {
                if self.rng.random::<f64>() < expected {
                    self.place(route, *first, *whole);
                }
                expected -= 1.0;
            }
        }
    }

    fn place(&mut self, route: &'static str, first: f64, whole: f64) {
        let index = self.rng.random_range(0..self.nodes.len());
        if self.nodes[index].is_dead || self.is_frozen(index) {
            // Its callers try another one.
            return self.place(route, first, whole);
        }
        let now = self.time(index);
        let draw = self.rng.random();
        let rollouts = &self.nodes[index].rollouts;
        let side = rollouts.side_for(now, &service(), route, draw);
        let mut found = self.choose(index, side);
        if found.is_none() && side == Side::Canary {
            let side = self.nodes[index]
                .rollouts
                .side_for(now, &service(), route, 1.0);
            found = self.choose(index, side);
        }
        let Some(backend) = found else {
            self.outcome.unplaced += 1;
            return;
        };
        let mut attempt = Attempt {
            node: index,
            incarnation: self.nodes[index].incarnation,
            backend,
            route,
            answer: Answer::Failed,
        };
        let is_sent = self.note(attempt, Rollouts::note_send);
        assert_eq!(is_sent, Some(true), "the filter has admitted it");
        let is_target = self.backends[backend].version.as_str() == "v2";
        if is_target {
            self.outcome.last_send = self.now;
        }
        if (ORDERED_MS..DEADLINE_MS).contains(&self.now) {
            self.outcome.sends += 1;
            self.outcome.exposed += u32::from(is_target);
        }
        self.backends[backend].running += 1;
        let factor = self.serve(&mut attempt, is_target);
        let spread = self.rng.random_range(0.7..1.6) * factor;
        let answered = self.now + millis(first * spread).max(STEP_MS);
        if let Answer::Good { first } = &mut attempt.answer {
            *first = Duration::from_millis(answered - self.now);
        }
        let ended = answered.max(self.now + millis(whole * self.rng.random_range(0.8..1.2)));
        self.push(answered, Event::Answer(attempt));
        self.push(ended, Event::End(attempt));
    }

    /// Decides on the answer of an attempt. Returns the factor on its time.
    fn serve(&mut self, attempt: &mut Attempt, is_target: bool) -> f64 {
        let Plan {
            fault,
            trouble,
            work,
            ..
        } = &self.plan;
        let backend = &self.backends[attempt.backend];
        let usual: f64 = work
            .routes
            .iter()
            .map(|(_, rate, _, whole)| rate * whole / 1e3)
            .sum();
        let usual = usual / f64::from(u32::try_from(work.endpoints).expect("few"));
        let is_flapping =
            trouble.flapping == Some(backend.centre) && (self.now / 1_000).is_multiple_of(2);
        let is_grey = trouble.grey && is_target && attempt.backend == work.endpoints;
        let is_bad = is_target
            && self.now >= ORDERED_MS + fault.from_ms
            && (!fault.is_loaded || f64::from(backend.running) >= usual / 2.0)
            && (!fault.is_routed || attempt.route == work.routes[0].0)
            && self.rng.random::<f64>() < fault.portion;
        let rate = if is_flapping || is_grey {
            FLAP_RATE
        } else {
            FAILURE_RATE
        };
        let is_failed = self.rng.random::<f64>() < rate;
        self.bad += u32::from(is_bad);
        if self.bad == 50 && is_bad {
            self.outcome.fiftieth = Some(self.now);
        }
        let first = Duration::ZERO;
        attempt.answer = match fault.slow {
            _ if is_failed => Answer::Failed,
            None if is_bad => Answer::Failed,
            _ => Answer::Good { first },
        };
        fault.slow.filter(|_| is_bad).unwrap_or(1.0)
    }

    /// Selects the less loaded of two random endpoints.
    fn choose(&mut self, index: usize, side: Side) -> Option<usize> {
        let now = self.time(index);
        let filter = self.nodes[index].rollouts.filter(now, &service(), side);
        let is_alive = |b: &Backend| match b.version.as_str() {
            "v1" => self.status != Some(StatusWord::Completed),
            _ => self.now >= STARTED_MS,
        };
        let fit = |b: &Backend| is_alive(b) && filter.admits(&b.version, &b.name);
        let fit: Vec<usize> = (0..self.backends.len())
            .filter(|i| fit(&self.backends[*i]))
            .collect();
        if fit.is_empty() {
            return None;
        }
        let mut draw = || fit[self.rng.random_range(0..fit.len())];
        let (one, other) = (draw(), draw());
        Some(
            if self.backends[one].running <= self.backends[other].running {
                one
            } else {
                other
            },
        )
    }

    /// Calls an instance about an attempt, if it has not restarted since.
    fn note<T>(
        &mut self,
        attempt: Attempt,
        note: impl FnOnce(&mut Rollouts, Moment, Sent<'_>) -> T,
    ) -> Option<T> {
        let now = self.time(attempt.node);
        let backend = &self.backends[attempt.backend];
        let sender = &mut self.nodes[attempt.node];
        let sent = Sent {
            service: &service(),
            route: attempt.route,
            endpoint: &backend.name,
            software: &backend.version,
            is_warm: true,
        };
        (sender.incarnation == attempt.incarnation).then(|| note(&mut sender.rollouts, now, sent))
    }

    fn answer(&mut self, attempt: Attempt) {
        let answer = attempt.answer;
        self.note(attempt, |rollouts, now, sent| {
            rollouts.note_answer(now, sent, answer);
        });
    }

    fn end(&mut self, attempt: Attempt) {
        self.backends[attempt.backend].running -= 1;
        self.note(attempt, Rollouts::note_end);
    }

    /// A heartbeat of an instance, with all that goes with it.
    fn beat(&mut self, index: usize, is_alarm: bool) {
        let centre = self.nodes[index].centre;
        let leader = (0..self.nodes.len()).find(|i| {
            self.nodes[*i].centre == centre && !self.nodes[*i].is_dead && !self.is_frozen(*i)
        });
        let interval = match self.plan.instances {
            0..=SMALL_FLEET => 80,
            _ if leader == Some(index) => 160,
            _ => 400,
        };
        self.nodes[index].beats_at = self.now + interval;
        let now = self.time(index);
        let node = &mut self.nodes[index];
        let sender = Sender::Instance(node.name.clone(), centre_name(centre));
        let beat = Rc::new((sender, node.rollouts.news(now)));
        let is_small = self.is_small();
        let near = |n: &Node| is_small || is_alarm || n.centre == centre;
        self.send(index, &beat, near);
        if !is_small && leader == Some(index) {
            let news = self.nodes[index].rollouts.centre_news(now);
            let digest = Rc::new((Sender::Centre(centre_name(centre)), news));
            self.send(index, &digest, |n| n.centre != centre);
        }
    }

    fn send(
        &mut self,
        from: usize,
        message: &Rc<(Sender, RolloutNews)>,
        is_receiver: impl Fn(&Node) -> bool,
    ) {
        if message.1.is_empty() {
            return;
        }
        for to in 0..self.nodes.len() {
            let is_cut = self.is_during(self.plan.trouble.halved) && (from + to) % 2 == 1;
            if to == from || is_cut || self.is_frozen(to) || !is_receiver(&self.nodes[to]) {
                continue;
            }
            let delay = self.rng.random_range(1..20);
            self.push(self.now + delay, Event::Message(to, message.clone()));
        }
    }

    /// Writes the status if it is this instance's turn.
    fn write(&mut self, index: usize) {
        if self.is_during(self.plan.trouble.outage) {
            return;
        }
        let living = self.nodes[..index].iter().filter(|n| !n.is_dead);
        let rank = living.count();
        let now = self.time(index);
        let rollouts = &self.nodes[index].rollouts;
        let Some(write) = rollouts.status_to_write(now, rank) else {
            return;
        };
        let is_end = write.word != StatusWord::Running;
        let dies = self.plan.trouble.dead_writer.filter(|_| is_end);
        if dies.is_some() {
            self.plan.trouble.dead_writer = None;
            self.nodes[index].is_dead = true;
            (0..self.nodes.len()).for_each(|i| self.list(i));
        }
        let is_over = self.outcome.end.is_some();
        if dies == Some(false) || is_over || self.status == Some(write.word) {
            return;
        }
        self.status = Some(write.word);
        self.revision += 1;
        if is_end {
            self.outcome.end = Some((write.word, self.now));
        }
        if write.word == StatusWord::Completed {
            let old = self.backends.iter().filter(|b| b.version.as_str() == "v1");
            self.outcome.cut = old.map(|b| b.running).sum();
        }
        if dies.is_none() {
            let rollouts = &mut self.nodes[index].rollouts;
            rollouts.note_status_written(now, &write);
        }
        self.publish();
    }
}

fn centre_name(centre: usize) -> CentreName {
    CentreName::from(format!("c{centre}").as_str())
}

fn millis(estimate: f64) -> u64 {
    crate::gateway::number::to_u64(estimate)
}
