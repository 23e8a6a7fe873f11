//! One order that is not over.
//!
//! First a small share of the requests goes to a few endpoints of the target, as many as are loaded
//! like those of the baseline by it. Shortly before the deadline everything moves, if the evidence
//! is good: what the share leaves then lasts until the deadline. The order is completed once
//! nothing runs at the baseline anywhere.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::gateway::exchange::Sender;
use crate::gateway::number::{to_f64, to_u64};
use crate::gateway::rollout::allowance::Allowance;
use crate::gateway::rollout::evidence::{Evidence, GROUPS, Outcome, RouteTally};
use crate::gateway::rollout::judge::{Findings, Hardest, is_clear, judge};
use crate::gateway::rollout::news::{MoveState, OrderNews};
use crate::gateway::rollout::order::{Order, StatusWord};
use crate::gateway::rollout::peers::Reports;
use crate::gateway::rollout::rollouts::{Answer, Fleet, Sent, Side};
use crate::gateway::rollout::versions::Versions;
use crate::gateway::settings::RolloutBounds;
use crate::moment::Moment;
use crate::name::{EndpointName, InstanceName, VersionName};

/// Part of the share that is used; the rest covers attempts that endpoints do not count.
const USED_FRACTION: f64 = 0.95;
/// Fraction of requests that the canary gets before everything moves, as part of the share.
const CANARY_FRACTION: f64 = 0.35;
/// Time before the deadline at which everything moves, as part of the order's duration and of the
/// share: with the canary's fraction it stays within the used part of the share.
const MOVE_FRACTION: f64 = 0.6;
/// Part of the slack that instances may use together while everything moves.
const SLACK_FRACTION: f64 = 0.5;
/// Fewest endpoints of the canary, so that a faulty one is told from a bad version.
const MIN_CHOSEN: usize = 2;
/// Answers of the canary on each route up to which the other routes leave it more.
const ROUTE_ANSWERS: u32 = 12;
/// Chance that a request takes a place in the canary, so that few do at the same time.
const TAKE_CHANCE: f64 = 0.3;
/// The same for a request whose place a route with fewer answers may take.
const LEAVE_CHANCE: f64 = 0.15;

/// Answers of the canary before everything moves.
const MIN_ANSWERS: u32 = 20;
/// Answers of the canary on each route that has [`ROUTE_TRAFFIC`], before everything moves.
const MIN_ROUTE_ANSWERS: u32 = 4;
/// Part of the baseline's answers from which a route counts as used.
const ROUTE_TRAFFIC: f64 = 0.05;
/// Fraction of the expected answers that suffices for a service with few requests.
const MIN_EXPECTED: f64 = 0.5;
/// Endpoints of the target per endpoint of the baseline, before everything moves before the deadline.
const MIN_CAPACITY: f64 = 0.75;
/// Multiple of the duration after which everything moves with less evidence, and a version in doubt
/// is bad.
const PATIENCE: u32 = 2;

/// Statistic up to which everything may move, and the order may be completed.
const MOVE_SUSPICION: f64 = 2.0;
/// Time after the move that a completion needs.
const MOVED_TIME: Duration = Duration::from_millis(250);
/// Time after which a service with few requests is completed without evidence for it.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// Time before the deadline from which few attempts that run do not delay the completion.
const RESIDUE_TIME: Duration = Duration::from_millis(150);
/// Attempts of the whole fleet that may be cut off then.
const RESIDUE: u32 = 2;
/// Time for which sends to the baseline after the move count as leaks.
const LEAK_TIME: Duration = Duration::from_millis(250);
/// Leaks of the whole fleet that do not delay a completion before the deadline.
const MAX_LEAKS: u32 = 8;

/// Time without news of other instances after which nothing goes to the canary: they may have found
/// it bad.
const BLIND_TIME: Duration = Duration::from_millis(1_500);

/// Spans of time that are judged besides the time since the order.
const SPANS: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(8),
];
/// Interval of the states that spans begin at.
const STATE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which they are kept.
const STATE_LIFETIME: Duration = Duration::from_millis(8_250);

/// How much goes to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// A share, to few of its endpoints.
    Canary,
    /// Everything, as far as the limits allow.
    Moved { since: Moment },
}

/// Circumstances of a decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scene<'a> {
    pub(crate) bounds: RolloutBounds,
    pub(crate) versions: &'a Versions,
    pub(crate) instance: &'a InstanceName,
    pub(crate) fleet: &'a Fleet,
    /// Attempts of this instance that run at other versions than the target.
    pub(crate) running: u32,
}

/// Figures behind the decisions.
#[derive(Debug)]
pub(crate) struct Figures<'a> {
    pub(crate) age: Duration,
    /// Sends of this instance to the service.
    pub(crate) sends: u32,
    /// Sends to the canary among them.
    pub(crate) canary: u32,
    /// Largest statistic.
    pub(crate) suspicion: f64,
    /// Endpoints of the target.
    pub(crate) endpoints: usize,
    /// Endpoints of the baseline.
    pub(crate) baseline: usize,
    /// Answers of all known instances.
    pub(crate) routes: &'a [RouteTally],
}

/// An order that is not over.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub(crate) order: Order,
    /// When this instance heard of it.
    heard: Moment,
    /// Time from the order to a moment, at least.
    age: (Duration, Moment),
    allowance: Allowance,
    /// The target's endpoints by their rank, which is the same at all instances.
    ranks: HashMap<EndpointName, usize>,
    /// Endpoints that get the canary's share: those of lower ranks.
    chosen: usize,
    /// Endpoints of the baseline.
    baseline: usize,
    /// Whether the target was the only version in use before the order.
    is_only: bool,
    own: Evidence,
    reports: Reports,
    /// All known evidence, as of the last tick.
    whole: Evidence,
    states: VecDeque<(Moment, Evidence)>,
    hardest: Hardest,
    findings: Findings,
    /// Whether any instance found the version bad.
    pub(crate) is_bad: bool,
    pub(crate) stage: Stage,
    /// Evidence when everything moved.
    moved_from: Evidence,
    /// Sends to the baseline since everything moved, as the limits required.
    leaks: VecDeque<Moment>,
    last_news: Moment,
    /// Status that the order should get, and since when.
    pub(crate) due: Option<(StatusWord, Moment)>,
}

impl Rollout {
    pub(crate) fn new(now: Moment, order: Order, age: Duration, seed: u64) -> Self {
        let key = (&order.id.target, order.id.created);
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(key.0.as_str().as_bytes(), seed ^ key.1);
        // The upper 32 bits, as a fraction.
        let rounding = f64::from(u32::try_from(hash >> 32).unwrap_or_default()) / 2.0_f64.powi(32);
        Self {
            order,
            heard: now,
            age: (age, now),
            allowance: Allowance::new(rounding),
            ranks: HashMap::new(),
            chosen: 0,
            baseline: 0,
            is_only: false,
            own: Evidence::default(),
            reports: Reports::default(),
            whole: Evidence::default(),
            states: VecDeque::new(),
            hardest: Hardest::default(),
            findings: Findings::default(),
            is_bad: false,
            stage: Stage::Canary,
            moved_from: Evidence::default(),
            leaks: VecDeque::new(),
            last_news: now,
            due: None,
        }
    }

    pub(crate) fn target(&self) -> &VersionName {
        &self.order.id.target
    }

    /// Whether everything goes to the target.
    pub(crate) fn is_moved(&self) -> bool {
        self.stage != Stage::Canary
    }

    fn age(&self, now: Moment) -> Duration {
        let (age, at) = self.age;
        age + now.since(at)
    }

    pub(crate) fn figures(&self, now: Moment) -> Figures<'_> {
        Figures {
            age: self.age(now),
            sends: self.allowance.sends,
            canary: self.allowance.canary,
            suspicion: self.findings.suspicion,
            endpoints: self.ranks.len(),
            baseline: self.baseline,
            routes: self.whole.routes(),
        }
    }

    /// Takes over the age that another instance tells.
    pub(crate) fn note_age(&mut self, now: Moment, age: Duration) {
        if age > self.age(now) {
            self.age = (age, now);
        }
    }

    /// Sets whether the target was in use before the order, without another version.
    pub(crate) fn set_only(&mut self, is_only: bool) {
        self.is_only = is_only;
    }

    pub(crate) fn is_only(&self) -> bool {
        self.is_only
    }

    /// Takes over the listed endpoints.
    pub(crate) fn note_endpoints(&mut self, now: Moment, scene: Scene<'_>) {
        let seed = self.order.id.created;
        let target = self.order.id.target.clone();
        let mut names: Vec<&EndpointName> = scene.versions.endpoints(&target).collect();
        names.sort_by_cached_key(|name| {
            xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed)
        });
        self.ranks = names.into_iter().cloned().zip(0..).collect();
        self.baseline = scene.versions.baseline(now, &target);
        let share = scene.bounds.share * CANARY_FRACTION;
        let wanted = to_u64((share * to_f64(self.baseline)).round());
        let wanted = usize::try_from(wanted).unwrap_or(MIN_CHOSEN);
        self.chosen = wanted.max(MIN_CHOSEN).min(self.ranks.len());
    }

    /// Whether other instances may know what this one has not heard.
    fn is_blind(&self, now: Moment, fleet: &Fleet) -> bool {
        fleet.count > 1 && now.since(self.last_news.max(self.heard)) >= BLIND_TIME
    }

    /// Whether the share binds no more. Orders are heard of late, so this is never early.
    fn is_past(&self, now: Moment) -> bool {
        self.age(now) >= self.order.duration
    }

    /// Whether the limits leave room for one more send to the canary.
    fn has_room(&self, now: Moment, bounds: RolloutBounds, fleet: &Fleet) -> bool {
        if self.is_only {
            return true;
        }
        let used = bounds.share * USED_FRACTION;
        match self.stage {
            Stage::Canary => self.allowance.allows(bounds.share * CANARY_FRACTION),
            Stage::Moved { .. } => {
                let extra = bounds.slack * SLACK_FRACTION / to_f64(fleet.count.max(1));
                self.is_past(now) || self.allowance.allows_beyond(used, extra)
            }
        }
    }

    /// Whether one more request may be sent to the canary.
    pub(crate) fn is_open(&self, now: Moment, bounds: RolloutBounds, fleet: &Fleet) -> bool {
        !self.is_bad && !self.is_blind(now, fleet) && self.has_room(now, bounds, fleet)
    }

    /// Whether an endpoint of the target may get requests of the canary.
    pub(crate) fn is_chosen(&self, endpoint: &EndpointName) -> bool {
        if self.is_moved() || self.baseline == 0 || self.is_only {
            return true;
        }
        self.ranks.get(endpoint).is_some_and(|r| *r < self.chosen)
    }

    /// Side of a request on `route`, for a uniform `draw`.
    pub(crate) fn side(
        &self,
        now: Moment,
        scene: (RolloutBounds, &Fleet),
        route: &str,
        draw: f64,
    ) -> Side {
        let (bounds, fleet) = scene;
        if self.is_only {
            return Side::Canary;
        }
        if self.ranks.is_empty() || !self.is_open(now, bounds, fleet) {
            return Side::Baseline;
        }
        if self.is_moved() || self.baseline == 0 {
            return Side::Canary;
        }
        let has_enough = |r: &RouteTally| r.canary_answers() >= ROUTE_ANSWERS;
        let leaves = self.whole.route(route).is_some_and(has_enough)
            && !self.whole.routes().iter().all(has_enough);
        let chance = if leaves { LEAVE_CHANCE } else { TAKE_CHANCE };
        if draw < chance {
            Side::Canary
        } else {
            Side::Baseline
        }
    }

    pub(crate) fn count_send(&mut self, now: Moment, is_canary: bool) {
        self.allowance.count(is_canary);
        if self.is_moved() && !is_canary {
            self.leaks.push_back(now);
            self.trim_leaks(now);
        }
    }

    fn trim_leaks(&mut self, now: Moment) {
        let is_old = |at: &Moment| now.since(*at) >= LEAK_TIME;
        while self.leaks.front().is_some_and(is_old) {
            self.leaks.pop_front();
        }
    }

    pub(crate) fn count_answer(&mut self, sent: Sent<'_>, answer: Answer) {
        let is_canary = sent.software == self.target();
        let group = self
            .ranks
            .get(sent.endpoint)
            .map_or(0, |rank| rank % GROUPS);
        let outcome = match answer {
            Answer::Good { first } => Outcome::Good(sent.is_warm.then_some(first)),
            Answer::Failed => Outcome::Failed,
        };
        self.own
            .count(sent.route, is_canary.then_some(group), outcome);
    }

    /// Records what another instance, or a data centre, knows.
    pub(crate) fn record(
        &mut self,
        now: Moment,
        sender: &Sender,
        incarnation: u64,
        news: &OrderNews,
    ) {
        self.last_news = now;
        self.reports.record(sender, incarnation, news);
    }

    /// What this instance tells.
    pub(crate) fn news(&self, now: Moment, scene: Scene<'_>) -> OrderNews {
        OrderNews {
            id: self.order.id.clone(),
            duration: self.order.duration,
            word: self.order.word(),
            age: self.age(now),
            is_bad: self.is_bad,
            state: self.state(now, scene),
            evidence: self.own.clone(),
        }
    }

    /// What this instance tells about its data centre.
    pub(crate) fn centre_news(&self, now: Moment, scene: Scene<'_>) -> OrderNews {
        let mut news = self.news(now, scene);
        news.evidence.add(&self.reports.near);
        let others = self.reports.instances_state(scene.instance, scene.fleet);
        news.state = news.state.join(others.unwrap_or_default());
        news
    }

    fn state(&self, now: Moment, scene: Scene<'_>) -> MoveState {
        let leaks = self.leaks.iter().filter(|at| now.since(**at) < LEAK_TIME);
        MoveState {
            is_moved: self.is_moved(),
            running: scene.running,
            leaks: u32::try_from(leaks.count()).unwrap_or(u32::MAX),
        }
    }

    /// State of the whole fleet, if all of it told.
    fn fleet_state(&self, now: Moment, scene: Scene<'_>) -> Option<MoveState> {
        let instances = self.reports.instances_state(scene.instance, scene.fleet)?;
        let centres = self.reports.centres_state(scene.fleet)?;
        Some(self.state(now, scene).join(instances).join(centres))
    }

    /// Whether nothing, or next to nothing shortly before the deadline, is left at the baseline.
    fn is_vacated(&self, now: Moment, scene: Scene<'_>) -> bool {
        let Some(state) = self.fleet_state(now, scene) else {
            return false;
        };
        let is_past = self.is_past(now);
        let is_urgent = !is_past && self.age(now) + RESIDUE_TIME >= self.order.duration;
        let residue = if is_urgent { RESIDUE } else { 0 };
        let leaks = if is_past { 0 } else { MAX_LEAKS };
        state.is_moved && state.running <= residue && state.leaks <= leaks
    }

    /// Judges the evidence and advances. Returns whether this instance now found the version bad.
    pub(crate) fn tick(&mut self, now: Moment, scene: Scene<'_>) -> bool {
        self.collect(now);
        self.baseline = scene.versions.baseline(now, self.target());
        let was_bad = self.is_bad;
        self.judge(now);
        if !self.is_bad {
            self.advance(now, scene);
        }
        self.set_due(now, scene);
        self.is_bad && !was_bad
    }

    fn collect(&mut self, now: Moment) {
        let mut whole = self.own.clone();
        whole.add(&self.reports.near);
        whole.add(&self.reports.far);
        self.whole = whole;
        let last = self.states.back().map(|(at, _)| *at);
        if last.is_none_or(|last| now.since(last) >= STATE_INTERVAL) {
            self.states.push_back((now, self.whole.clone()));
        }
        while self
            .states
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= STATE_LIFETIME)
        {
            self.states.pop_front();
        }
    }

    fn judge(&mut self, now: Moment) {
        let starts = SPANS.iter().filter_map(|span| {
            let mut states = self.states.iter().rev();
            let start = states.find(|(at, _)| now.since(*at) >= *span);
            start.map(|(_, state)| state)
        });
        let starts: Vec<&Evidence> = starts.collect();
        if let Some(second) = starts.first() {
            self.hardest.note(&self.whole.since(second));
        }
        self.findings = judge(&self.whole, &starts, &self.hardest, self.ranks.len());
        let is_late = self.age(now) >= self.order.duration * PATIENCE;
        self.is_bad |= self.findings.is_bad || is_late && self.is_doubtful();
    }

    /// Whether there is enough evidence, and room, to move everything.
    fn is_ready(&self, now: Moment, bounds: RolloutBounds) -> bool {
        let age = self.age(now);
        let lead = self.order.duration.mul_f64(bounds.share * MOVE_FRACTION);
        if self.is_doubtful() || age + lead < self.order.duration {
            return false;
        }
        if age >= self.order.duration * PATIENCE {
            return !self.ranks.is_empty();
        }
        let has_room =
            self.is_past(now) || to_f64(self.ranks.len()) >= to_f64(self.baseline) * MIN_CAPACITY;
        let expected = bounds.share * CANARY_FRACTION * MIN_EXPECTED;
        let is_enough = |canary: u32, baseline: u32, enough: u32| {
            f64::from(canary) >= f64::from(enough).min(f64::from(baseline) * expected)
        };
        let baseline = self.whole.baseline_answers();
        let used = f64::from(baseline) * ROUTE_TRAFFIC;
        let has_routes = self.whole.routes().iter().all(|route| {
            let answers = route.baseline.answers();
            f64::from(answers) < used
                || is_enough(route.canary_answers(), answers, MIN_ROUTE_ANSWERS)
        });
        let canary = self.whole.canary_answers();
        has_room && has_routes && canary > 0 && is_enough(canary, baseline, MIN_ANSWERS)
    }

    /// Whether the evidence speaks against a move or a completion.
    fn is_doubtful(&self) -> bool {
        self.findings.suspicion >= MOVE_SUSPICION
    }

    fn advance(&mut self, now: Moment, scene: Scene<'_>) {
        if self.stage == Stage::Canary && self.is_ready(now, scene.bounds) {
            self.stage = Stage::Moved { since: now };
            self.moved_from = self.whole.clone();
        }
    }

    /// Whether everything has moved, well, and nothing is left.
    fn is_complete(&self, now: Moment, scene: Scene<'_>) -> bool {
        if self.is_only {
            return true;
        }
        let Stage::Moved { since } = self.stage else {
            return false;
        };
        let moved = now.since(since);
        let span = self.whole.since(&self.moved_from);
        let is_clear = || is_clear(&self.whole, &span, &self.hardest);
        let is_proven = moved >= QUIET_TIME || moved >= MOVED_TIME && is_clear();
        is_proven
            && !self.is_doubtful()
            && !self.is_blind(now, scene.fleet)
            && self.is_vacated(now, scene)
    }

    fn set_due(&mut self, now: Moment, scene: Scene<'_>) {
        let word = if self.is_bad {
            Some(StatusWord::RolledBack)
        } else if self.is_complete(now, scene) {
            Some(StatusWord::Completed)
        } else if self.order.word().is_none() {
            Some(StatusWord::Running)
        } else {
            None
        };
        if word != self.due.map(|(word, _)| word) {
            self.due = word.map(|word| (word, now));
        }
    }
}
