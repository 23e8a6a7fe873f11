//! The state of all roll-outs at an instance.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use derive_more::Display;

use crate::gateway::exchange::Sender;
use crate::gateway::rollout::news::{OrderNews, RolloutNews};
use crate::gateway::rollout::order::{Order, OrderId, Status, StatusWord};
use crate::gateway::rollout::running::{Figures, Rollout, Scene};
use crate::gateway::rollout::versions::Versions;
use crate::gateway::settings::RolloutBounds;
use crate::gateway::store_revision::StoreRevision;
use crate::moment::Moment;
use crate::name::{CentreName, EndpointName, InstanceName, ServiceName, VersionName};

/// Delay between the instances that may write a status, longer than a write and its news take.
const WRITER_DELAY: Duration = Duration::from_millis(400);

/// Time for which the end of a roll-out is told, longer than orders take to be read.
const OVER_TIME: Duration = Duration::from_secs(10);

/// Which endpoints a request may go to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    /// Endpoints of other versions than a running order's target; all where there is no order.
    Baseline,
    /// Endpoints of the target.
    Canary,
}

/// An attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent<'a> {
    pub(crate) service: &'a ServiceName,
    /// Name of the route.
    pub(crate) route: &'a str,
    pub(crate) endpoint: &'a EndpointName,
    /// Version of the endpoint, as listed when the attempt was placed.
    pub(crate) software: &'a VersionName,
    /// Whether the endpoint has warmed up; others are not judged by their time.
    pub(crate) is_warm: bool,
}

/// Outcome of an attempt that its endpoint answered for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    /// Began well, `first` after its send: head of a plain answer, first event of a stream.
    Good { first: Duration },
    /// The endpoint failed: a failure status of its own, a broken or wrong answer, no answer in
    /// time. Not for requests that it did not run, nor for those whose caller left.
    Failed,
}

/// Instances that live, as peers and the store tell.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Fleet {
    /// Instances that send heartbeats here: all in a small fleet, else those of the data centre.
    /// Includes this one.
    pub(crate) instances: BTreeSet<InstanceName>,
    /// Other data centres, if their state comes by digests.
    pub(crate) centres: BTreeSet<CentreName>,
    /// Number of instances in all data centres.
    pub(crate) count: usize,
}

/// A status to write, provided that the object is still the order's.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StatusWrite {
    pub(crate) order: OrderId,
    pub(crate) word: StatusWord,
}

/// A change for the log.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum Change {
    /// An order was heard of.
    #[display("rollout_ordered")]
    Ordered,
    /// Everything goes to the target from now on.
    #[display("rollout_moved")]
    Moved,
    /// The version was found bad, here or by another instance.
    #[display("rollout_bad")]
    Bad,
    #[display("rollout_completed")]
    Completed,
    #[display("rollout_rolled_back")]
    RolledBack,
    /// The order was replaced or deleted before its end.
    #[display("rollout_withdrawn")]
    Withdrawn,
}

/// What a service's order allows.
#[derive(Debug)]
enum Phase {
    Running(Box<Rollout>),
    /// Completed, or rolled back, as was heard at the moment.
    Over(Order, Moment),
}

impl Phase {
    fn order(&self) -> &Order {
        match self {
            Self::Running(rollout) => &rollout.order,
            Self::Over(order, _) => order,
        }
    }
}

/// State of one service.
#[derive(Debug, Default)]
struct ServiceState {
    versions: Versions,
    /// Attempts that run, by version.
    running: HashMap<VersionName, u32>,
    phase: Option<Phase>,
}

impl ServiceState {
    fn rollout(&self) -> Option<&Rollout> {
        match self.phase.as_ref()? {
            Phase::Running(rollout) => Some(rollout),
            Phase::Over(..) => None,
        }
    }

    /// Attempts that run at other versions.
    fn running_beside(&self, target: &VersionName) -> u32 {
        let others = self.running.iter().filter(|(v, _)| *v != target);
        others.map(|(_, count)| count).sum()
    }
}

/// Selects endpoints for one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Filter<'a> {
    now: Moment,
    /// None if all endpoints may be used.
    state: Option<&'a ServiceState>,
    side: Side,
    /// Whether the limits let the canary get the request.
    is_open: bool,
}

impl Filter<'_> {
    /// Whether an endpoint may get the request.
    pub(crate) fn admits(&self, software: &VersionName, endpoint: &EndpointName) -> bool {
        let Some(state) = self.state else {
            return true;
        };
        match &state.phase {
            Some(Phase::Running(rollout)) if software == rollout.target() => {
                self.side == Side::Canary && self.is_open && rollout.is_chosen(endpoint)
            }
            Some(Phase::Running(_)) => {
                self.side == Side::Baseline && state.versions.admits(self.now, software)
            }
            Some(Phase::Over(order, _)) if *software == order.id.target => {
                order.word() == Some(StatusWord::Completed)
            }
            _ => state.versions.admits(self.now, software),
        }
    }
}

/// All roll-outs, as one instance knows them.
#[derive(Debug)]
pub(crate) struct Rollouts {
    instance: InstanceName,
    incarnation: u64,
    bounds: Option<RolloutBounds>,
    /// Store revision of the known orders.
    as_of: StoreRevision,
    fleet: Fleet,
    services: HashMap<ServiceName, ServiceState>,
    alarm_due: bool,
    heartbeat_due: bool,
    changes: Vec<(OrderId, Change)>,
}

impl Rollouts {
    /// No orders yet. Without `bounds` nothing is ever limited.
    pub(crate) fn new(
        instance: InstanceName,
        incarnation: u64,
        bounds: Option<RolloutBounds>,
    ) -> Self {
        Self {
            instance,
            incarnation,
            bounds,
            as_of: StoreRevision::default(),
            fleet: Fleet::default(),
            services: HashMap::new(),
            alarm_due: false,
            heartbeat_due: false,
            changes: Vec::new(),
        }
    }

    /// Applies changed settings.
    pub(crate) fn set_bounds(&mut self, bounds: Option<RolloutBounds>) {
        self.bounds = bounds;
    }

    /// Whether the deployment has roll-outs.
    pub(crate) fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Replaces the orders by a complete set, as of a store revision. An older set is ignored.
    pub(crate) fn set_orders(&mut self, now: Moment, as_of: StoreRevision, orders: &[Order]) {
        if self.bounds.is_none() || as_of < self.as_of {
            return;
        }
        let is_restored = as_of.era > self.as_of.era;
        self.as_of = as_of;
        // What peers told of was created in the earlier era.
        let as_of = if is_restored { u64::MAX } else { as_of.number };
        for order in orders {
            if !self.is_later(&order.id.service, as_of) {
                self.set_order(now, order, Duration::ZERO);
            }
        }
        let gone: Vec<ServiceName> = self
            .services
            .iter()
            .filter(|(_, s)| s.phase.is_some())
            .map(|(name, _)| name.clone())
            .filter(|name| orders.iter().all(|o| o.id.service != *name))
            .filter(|name| !self.is_later(name, as_of))
            .collect();
        for service in gone {
            self.withdraw(now, &service);
        }
    }

    /// Whether the order of a service was created after `as_of`: peers have told of it.
    fn is_later(&self, service: &ServiceName, as_of: u64) -> bool {
        let phase = self.services.get(service).and_then(|s| s.phase.as_ref());
        phase.is_some_and(|phase| phase.order().id.created > as_of)
    }

    /// Takes over an order, and its status.
    fn set_order(&mut self, now: Moment, order: &Order, age: Duration) {
        let known = self
            .services
            .get(&order.id.service)
            .and_then(|s| s.phase.as_ref());
        let is_known = known.is_some_and(|phase| phase.order().id == order.id);
        if !is_known {
            self.withdraw(now, &order.id.service);
            self.begin(now, order, age);
        }
        let Some(state) = self.services.get_mut(&order.id.service) else {
            return;
        };
        if let Some(Phase::Running(rollout)) = &mut state.phase {
            rollout.note_age(now, age);
            rollout.order.duration = order.duration;
            if order.word().is_some() {
                rollout.order.status.clone_from(&order.status);
            }
        }
        self.end_by_status(now, &order.id.service, is_known);
    }

    /// Begins a roll-out.
    fn begin(&mut self, now: Moment, order: &Order, age: Duration) {
        let seed = xxhash_rust::xxh3::xxh3_64_with_seed(
            self.instance.as_str().as_bytes(),
            self.incarnation,
        );
        let state = self.services.entry(order.id.service.clone()).or_default();
        let mut rollout = Rollout::new(now, order.clone(), age, seed);
        rollout.set_only(state.versions.is_only(now, &order.id.target));
        state.versions.open(&order.id.target);
        state.phase = Some(Phase::Running(Box::new(rollout)));
        self.changes.push((order.id.clone(), Change::Ordered));
        self.refresh(now, &order.id.service);
    }

    /// Forgets the order of a service. A target that was not completed stays closed for a while.
    fn withdraw(&mut self, now: Moment, service: &ServiceName) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let Some(phase) = state.phase.take() else {
            return;
        };
        let order = phase.order();
        let is_only = matches!(&phase, Phase::Running(r) if r.is_only());
        if order.word() != Some(StatusWord::Completed) && !is_only {
            state.versions.close(now, &order.id.target);
        }
        if matches!(phase, Phase::Running(_)) {
            self.changes.push((order.id.clone(), Change::Withdrawn));
        }
    }

    /// Ends the roll-out of a service if its status says so.
    fn end_by_status(&mut self, now: Moment, service: &ServiceName, was_known: bool) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let Some(rollout) = state.rollout() else {
            return;
        };
        let order = rollout.order.clone();
        let change = match order.word() {
            Some(StatusWord::Completed) => Change::Completed,
            Some(StatusWord::RolledBack) => Change::RolledBack,
            _ => return,
        };
        if was_known && change == Change::Completed {
            // They stop at once, and are listed for a while.
            state.versions.close_others(now, &order.id.target);
        }
        self.changes.push((order.id.clone(), change));
        state.phase = Some(Phase::Over(order, now));
    }

    /// Replaces the listed endpoints of a service; leaving and cold ones are listed, too.
    pub(crate) fn note_endpoints(
        &mut self,
        now: Moment,
        service: &ServiceName,
        endpoints: &[(EndpointName, VersionName)],
    ) {
        if self.bounds.is_none() {
            return;
        }
        let state = self.services.entry(service.clone()).or_default();
        state.versions.list(now, endpoints);
        self.refresh(now, service);
    }

    /// Replaces the living instances.
    pub(crate) fn set_fleet(&mut self, _now: Moment, fleet: Fleet) {
        self.fleet = fleet;
    }

    /// Calls `act` with the running roll-out of a service and its circumstances.
    fn with<T>(
        &mut self,
        service: &ServiceName,
        act: impl FnOnce(&mut Rollout, Scene<'_>) -> T,
    ) -> Option<T> {
        let bounds = self.bounds?;
        let state = self.services.get_mut(service)?;
        let target = &state.phase.as_ref()?.order().id.target;
        let running = state.running_beside(target);
        let Some(Phase::Running(rollout)) = &mut state.phase else {
            return None;
        };
        let scene = Scene {
            bounds,
            versions: &state.versions,
            instance: &self.instance,
            fleet: &self.fleet,
            running,
        };
        Some(act(rollout, scene))
    }

    /// Applies the listed endpoints to the roll-out of a service.
    fn refresh(&mut self, now: Moment, service: &ServiceName) {
        self.with(service, |rollout, scene| rollout.note_endpoints(now, scene));
    }

    /// Services with a running order.
    fn running(&self) -> Vec<ServiceName> {
        let running = self.services.iter().filter(|(_, s)| s.rollout().is_some());
        running.map(|(name, _)| name.clone()).collect()
    }

    /// Advances stages and judges evidence; to be called with each heartbeat, or every 100 ms.
    pub(crate) fn tick(&mut self, now: Moment) {
        for service in self.running() {
            let ticked = self.with(&service, |rollout, scene| {
                let before = rollout.stage;
                let is_news = rollout.tick(now, scene);
                (rollout.order.id.clone(), before, rollout.stage, is_news)
            });
            let Some((id, before, after, is_news)) = ticked else {
                continue;
            };
            if before != after {
                self.heartbeat_due = true;
                self.changes.push((id.clone(), Change::Moved));
            }
            if is_news {
                self.alarm_due = true;
                self.changes.push((id, Change::Bad));
            }
        }
    }

    /// Side of a request that is queued, or placed again, for a uniform `draw` in 0..1. A request
    /// for which the canary has no place now may be asked again with a draw of 1.
    pub(crate) fn side_for(
        &self,
        now: Moment,
        service: &ServiceName,
        route: &str,
        draw: f64,
    ) -> Side {
        let Some(bounds) = self.bounds else {
            return Side::Baseline;
        };
        let rollout = self.services.get(service).and_then(ServiceState::rollout);
        rollout.map_or(Side::Baseline, |rollout| {
            rollout.side(now, (bounds, &self.fleet), route, draw)
        })
    }

    /// Endpoints that a request may go to; to be built once for a pass over all of them.
    pub(crate) fn filter(&self, now: Moment, service: &ServiceName, side: Side) -> Filter<'_> {
        let state = self.bounds.and_then(|_| self.services.get(service));
        let state = state.filter(|s| s.phase.is_some() || s.versions.is_limited(now));
        let is_open = self.bounds.is_some_and(|bounds| {
            let rollout = state.and_then(ServiceState::rollout);
            rollout.is_some_and(|r| r.is_open(now, bounds, &self.fleet))
        });
        Filter {
            now,
            state,
            side,
            is_open,
        }
    }

    /// Counts an attempt right before its first byte is sent. Returns false, and counts nothing,
    /// if it may not be sent any more; the request then needs another place.
    pub(crate) fn note_send(&mut self, now: Moment, sent: Sent<'_>) -> bool {
        if self.bounds.is_none() {
            return true;
        }
        let rollout = self
            .services
            .get(sent.service)
            .and_then(ServiceState::rollout);
        let is_canary = rollout.is_some_and(|r| r.target() == sent.software);
        let side = if is_canary {
            Side::Canary
        } else {
            Side::Baseline
        };
        let filter = self.filter(now, sent.service, side);
        if !filter.admits(sent.software, sent.endpoint) {
            return false;
        }
        let state = self.services.entry(sent.service.clone()).or_default();
        *state.running.entry(sent.software.clone()).or_default() += 1;
        if let Some(Phase::Running(rollout)) = &mut state.phase {
            rollout.count_send(now, is_canary);
        }
        true
    }

    /// Records an answer, at most one for each attempt that was sent, but for one that breaks after
    /// it began well, which is also `Failed`.
    pub(crate) fn note_answer(&mut self, _now: Moment, sent: Sent<'_>, answer: Answer) {
        if let Some(state) = self.services.get_mut(sent.service)
            && let Some(Phase::Running(rollout)) = &mut state.phase
        {
            rollout.count_answer(sent, answer);
        }
    }

    /// Records that an attempt that was sent runs no longer.
    pub(crate) fn note_end(&mut self, _now: Moment, sent: Sent<'_>) {
        let Some(state) = self.services.get_mut(sent.service) else {
            return;
        };
        if let Some(running) = state.running.get_mut(sent.software) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                state.running.remove(sent.software);
            }
        }
        if let Some(rollout) = state.rollout()
            && rollout.is_moved()
            && rollout.target() != sent.software
        {
            self.heartbeat_due |= state.running_beside(rollout.target()) == 0;
        }
    }

    /// Block for a heartbeat or an alarm, about this instance.
    pub(crate) fn news(&self, now: Moment) -> RolloutNews {
        self.collect(now, |rollout, scene| rollout.news(now, scene))
    }

    /// Block for a digest, about the instances of this data centre.
    pub(crate) fn centre_news(&self, now: Moment) -> RolloutNews {
        self.collect(now, |rollout, scene| rollout.centre_news(now, scene))
    }

    fn collect(&self, now: Moment, tell: impl Fn(&Rollout, Scene<'_>) -> OrderNews) -> RolloutNews {
        let mut orders = Vec::new();
        let bounds = self.bounds;
        for (state, bounds) in self.services.values().filter_map(|s| Some((s, bounds?))) {
            match &state.phase {
                Some(Phase::Running(rollout)) => {
                    let scene = Scene {
                        bounds,
                        versions: &state.versions,
                        instance: &self.instance,
                        fleet: &self.fleet,
                        running: state.running_beside(rollout.target()),
                    };
                    orders.push(tell(rollout, scene));
                }
                Some(Phase::Over(order, since)) if now.since(*since) < OVER_TIME => {
                    orders.push(OrderNews::over(order));
                }
                _ => {}
            }
        }
        RolloutNews {
            incarnation: self.incarnation,
            orders,
        }
    }

    /// Applies a block.
    pub(crate) fn merge(&mut self, now: Moment, sender: &Sender, news: &RolloutNews) {
        if self.bounds.is_none() {
            return;
        }
        for order in &news.orders {
            self.merge_order(now, sender, news.incarnation, order);
        }
    }

    fn merge_order(&mut self, now: Moment, sender: &Sender, incarnation: u64, news: &OrderNews) {
        let known = self
            .services
            .get(&news.id.service)
            .and_then(|s| s.phase.as_ref());
        let is_known = known.is_some_and(|phase| phase.order().id == news.id);
        // An order that the store had at `as_of` would be known.
        let is_newer = known.is_none_or(|phase| phase.order().id.created < news.id.created);
        if is_known || is_newer && news.id.created > self.as_of.number {
            let order = Order {
                id: news.id.clone(),
                duration: news.duration,
                status: news.word.map(|word| Status {
                    word,
                    target: news.id.target.clone(),
                }),
            };
            self.set_order(now, &order, news.age);
        }
        // Heartbeats of other data centres are in their digests.
        let is_counted = match sender {
            Sender::Instance(name, centre) => {
                *name != self.instance && !self.fleet.centres.contains(centre)
            }
            Sender::Centre(centre) => self.fleet.centres.contains(centre),
        };
        let was_bad = self.with(&news.id.service, |rollout, _| {
            if rollout.order.id != news.id {
                return true;
            }
            if is_counted {
                rollout.record(now, sender, incarnation, news);
            }
            let was_bad = rollout.is_bad;
            rollout.is_bad |= news.is_bad;
            was_bad
        });
        if news.is_bad && was_bad == Some(false) {
            self.changes.push((news.id.clone(), Change::Bad));
        }
    }

    /// Whether all instances must hear [`Self::news`] now. True once for each new verdict.
    pub(crate) fn take_alarm(&mut self) -> bool {
        std::mem::take(&mut self.alarm_due)
    }

    /// Whether the receivers of heartbeats should hear [`Self::news`] now: nothing runs at the
    /// baseline here any more.
    pub(crate) fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.heartbeat_due)
    }

    /// Changes since the last call, for the log.
    pub(crate) fn take_changes(&mut self) -> Vec<(OrderId, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Target of a service's running order.
    pub(crate) fn target(&self, service: &ServiceName) -> Option<&VersionName> {
        let rollout = self.services.get(service)?.rollout()?;
        Some(rollout.target())
    }

    /// Figures of a service's running order, for the log.
    pub(crate) fn figures(&self, now: Moment, service: &ServiceName) -> Option<Figures<'_>> {
        Some(self.services.get(service)?.rollout()?.figures(now))
    }

    /// Status that this instance should write, one at a time. `rank` is its position among the
    /// instances that reach the store; each one waits longer than the one before it. It is asked
    /// for until the status is known to be written.
    pub(crate) fn status_to_write(&self, now: Moment, rank: usize) -> Option<StatusWrite> {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let delay = WRITER_DELAY.saturating_mul(rank);
        let mut rollouts = self.services.values().filter_map(ServiceState::rollout);
        rollouts.find_map(|rollout| {
            let (word, since) = rollout.due?;
            (now.since(since) >= delay).then(|| StatusWrite {
                order: rollout.order.id.clone(),
                word,
            })
        })
    }

    /// Records that the store has accepted a status.
    pub(crate) fn note_status_written(&mut self, now: Moment, write: &StatusWrite) {
        self.with(&write.order.service, |rollout, _| {
            if rollout.order.id == write.order {
                rollout.due = None;
                rollout.order.status = Some(Status {
                    word: write.word,
                    target: write.order.target.clone(),
                });
            }
        });
        self.end_by_status(now, &write.order.service, true);
    }
}
