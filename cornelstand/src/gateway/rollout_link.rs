//! Joins the decisions of roll-outs with the gateway: orders of the store, endpoints and peers go in,
//! and what requests get from endpoints; blocks of messages and log lines come out.
//!
//! Nothing here acts in a deployment without roll-outs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::gateway::call::Call;
use crate::gateway::directory::{EndpointRecord, ViewVersion};
use crate::gateway::exchange::Sender;
use crate::gateway::extensions::{Extension, ExtensionKind, find};
use crate::gateway::gate::{Gate, State};
use crate::gateway::placement::Place;
use crate::gateway::relay::{Attempt, NotRun};
use crate::gateway::rollout::evidence::Tally;
use crate::gateway::rollout::rollouts::Change;
use crate::gateway::rollout::{
    Answer, Filter, Fleet, Order, OrderId, RolloutNews, Rollouts, Sent, Side, StatusWrite,
};
use crate::gateway::settings::{GatewaySettings, RolloutBounds};
use crate::moment::Moment;
use crate::name::{CentreName, InstanceName, ServiceName};

/// Interval at which evidence is judged.
const JUDGE_PERIOD: Duration = Duration::from_millis(100);
/// Interval of looking for roll-outs in the settings.
const IDLE_PERIOD: Duration = Duration::from_secs(1);
/// Multiple of the objective after which a request without an answer counts against its endpoint.
const NO_ANSWER_OBJECTIVES: u32 = 4;

/// Block of heartbeats, digests and alarms.
#[derive(Debug, Default, Deserialize, Serialize)]
struct RolloutBlock {
    /// Version of the orders that the sender knows.
    orders: ViewVersion,
    news: RolloutNews,
}

/// Roll-outs at an instance.
#[derive(Debug)]
pub(crate) struct RolloutLink {
    pub(crate) decisions: Rollouts,
    /// Version of the orders that each peer knows.
    peer_orders: HashMap<InstanceName, ViewVersion>,
    /// Whether all peers have to be told at once.
    is_urgent: bool,
}

impl RolloutLink {
    pub(crate) fn new(settings: &GatewaySettings, incarnation: u64) -> Self {
        let instance = settings.instance.clone();
        Self {
            decisions: Rollouts::new(instance, incarnation, settings.rollout),
            peer_orders: HashMap::new(),
            is_urgent: false,
        }
    }

    /// Endpoints that a queued request of a route may go to, for its `draw` in 0..1, and those that
    /// it may go to if these have no room.
    pub(crate) fn filters(
        &self,
        now: Moment,
        service: &ServiceName,
        route: &str,
        draw: f64,
    ) -> impl Iterator<Item = Filter<'_>> {
        let side = |draw| self.decisions.side_for(now, service, route, draw);
        let first = side(draw);
        let second = Some(side(1.0)).filter(|second| *second != first);
        let filter = move |side| self.decisions.filter(now, service, side);
        std::iter::once(filter(first)).chain(second.map(filter))
    }

    /// Whether requests of a service may go to an endpoint at all.
    pub(crate) fn admits(&self, now: Moment, record: &EndpointRecord) -> bool {
        if !self.decisions.is_enabled() {
            return true;
        }
        let admits = |side| {
            let filter = self.decisions.filter(now, &record.service, side);
            filter.admits(&record.software, &record.name)
        };
        admits(Side::Baseline) || admits(Side::Canary)
    }
}

impl State {
    /// Address from which newer orders can be fetched.
    pub(crate) fn newer_orders(&self, now: Moment, centre: &CentreName) -> Option<SocketAddr> {
        let own = self.directory.order_version();
        let neighbours = self.peers.live(now).filter(|b| b.centre == *centre);
        let versions = neighbours
            .filter_map(|b| Some((self.rollouts.peer_orders.get(&b.instance)?, b.beliefs)));
        let newer = versions.filter(|(version, _)| version.is_newer(own));
        let newest = newer.max_by_key(|(version, _)| version.revision);
        newest.map(|(_, address)| address)
    }

    /// Tells the decisions which endpoints some services have.
    pub(crate) fn note_rollout_endpoints(&mut self, now: Moment, services: &BTreeSet<ServiceName>) {
        if !self.rollouts.decisions.is_enabled() {
            return;
        }
        for service in services {
            let records = self.endpoints.of(service).map(|s| &s.record);
            let versions = records.map(|r| (r.name.clone(), r.software.clone()));
            let versions: Vec<_> = versions.collect();
            let decisions = &mut self.rollouts.decisions;
            decisions.note_endpoints(now, service, &versions);
        }
    }

    fn fleet(&self, now: Moment, settings: &GatewaySettings) -> Fleet {
        let (peers, centre) = (&self.peers, &settings.centre);
        let is_large = peers.is_large();
        let live = peers.live(now);
        let near = live.filter(|b| !is_large || b.centre == *centre);
        let mut instances: BTreeSet<InstanceName> = near.map(|b| b.instance.clone()).collect();
        instances.insert(settings.instance.clone());
        let centres = peers.digested(now, centre).filter(|_| is_large);
        Fleet {
            instances,
            centres: centres.cloned().collect(),
            count: peers.count(),
        }
    }
}

impl Gate {
    /// Whether the deployment has roll-outs.
    pub(crate) fn has_rollouts(&self) -> bool {
        self.settings.borrow().rollout.is_some()
    }

    /// Applies changed settings.
    pub(crate) fn set_rollout_bounds(&self, bounds: Option<RolloutBounds>) {
        let mut state = self.state.borrow_mut();
        let decisions = &mut state.rollouts.decisions;
        let was_enabled = decisions.is_enabled();
        decisions.set_bounds(bounds);
        if !was_enabled {
            let services = state.directory.catalog().services.keys().cloned().collect();
            state.note_rollout_endpoints(self.now(), &services);
        }
    }

    /// Applies the orders in the directory.
    pub(crate) fn apply_orders(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut orders: BTreeMap<ServiceName, Order> = BTreeMap::new();
        // One order a service: the entry that is named like it, else the newest.
        let rank =
            |name: &str, order: &Order| (name == order.id.service.as_str(), order.id.created);
        let mut ranks = HashMap::new();
        for record in state.directory.orders() {
            let order = &record.order;
            let rank = rank(&record.name, order);
            if ranks.get(&order.id.service).is_none_or(|r| *r < rank) {
                ranks.insert(order.id.service.clone(), rank);
                orders.insert(order.id.service.clone(), order.clone());
            }
        }
        let orders: Vec<Order> = orders.into_values().collect();
        let fleet = state.fleet(now, &self.settings.borrow());
        let decisions = &mut state.rollouts.decisions;
        decisions.set_fleet(now, fleet);
        decisions.set_orders(now, state.directory.orders_as_of(), &orders);
        self.log_rollouts(&mut state.rollouts);
    }

    /// Advances the roll-outs.
    pub(crate) fn advance_rollouts(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let fleet = state.fleet(now, &self.settings.borrow());
        let link = &mut state.rollouts;
        link.decisions.set_fleet(now, fleet);
        link.decisions.tick(now);
        if link.decisions.take_alarm() {
            link.is_urgent = true;
        }
        self.log_rollouts(link);
    }

    /// Records that the entry of an order has a status.
    pub(crate) fn note_rollout_status(&self, write: &StatusWrite) {
        let link = &mut self.state.borrow_mut().rollouts;
        link.decisions.note_status_written(self.now(), write);
        self.log_rollouts(link);
    }

    /// Logs what has changed. The ends of roll-outs are told to all peers at once.
    fn log_rollouts(&self, link: &mut RolloutLink) {
        for (id, change) in link.decisions.take_changes() {
            let OrderId {
                service,
                target,
                created,
            } = &id;
            link.is_urgent |= matches!(change, Change::Completed | Change::RolledBack);
            let Some(figures) = link.decisions.figures(self.now(), service) else {
                tracing::info!(event = %change, %service, %target, order = created);
                continue;
            };
            tracing::info!(
                event = %change, %service, %target, order = created,
                age_ms = figures.age.as_millis(), sends = figures.sends, to_target = figures.canary,
                suspicion = figures.suspicion, endpoints = figures.endpoints,
                others = figures.baseline,
            );
            if change == Change::Ordered {
                continue;
            }
            for route in figures.routes {
                let (old, new) = (&route.baseline, Tally::sum(&route.canary));
                tracing::info!(
                    event = "rollout_evidence", %service, %target, order = created,
                    route = route.route, answers = new.answers(), failed = new.failed,
                    median_class = new.median(), other_answers = old.answers(),
                    other_failed = old.failed, other_median_class = old.median(),
                );
            }
        }
        if link.is_urgent {
            self.alarm_trigger.notify_one();
        }
        if link.decisions.take_urgent() {
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Counts a request that is about to be sent. Returns false if it may no longer go to this
    /// endpoint's version.
    pub(crate) fn note_rollout_send(&self, attempt: RolloutAttempt<'_>) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let sent = attempt.sent(&state);
        let link = &mut state.rollouts;
        if !link.decisions.is_enabled() {
            return true;
        }
        let is_allowed = link.decisions.note_send(now, sent);
        if let Some(target) = link.decisions.target(sent.service) {
            let side = match (is_allowed, sent.software == target) {
                (false, _) => "withheld",
                (true, true) => "target",
                (true, false) => "other",
            };
            let sends = &self.metrics.rollout_sends;
            sends.with_label_values(&[side]).inc();
        }
        is_allowed
    }

    /// Records an answer.
    pub(crate) fn note_rollout_answer(&self, attempt: RolloutAttempt<'_>, answer: Answer) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let sent = attempt.sent(&state);
        let decisions = &mut state.rollouts.decisions;
        if decisions.is_enabled() {
            decisions.note_answer(now, sent, answer);
        }
    }

    /// Records the end of an attempt that was sent.
    pub(crate) fn note_rollout_end(&self, attempt: RolloutAttempt<'_>, is_failed: bool) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let sent = attempt.sent(&state);
        let decisions = &mut state.rollouts.decisions;
        if decisions.is_enabled() {
            if is_failed {
                decisions.note_answer(now, sent, Answer::Failed);
            }
            decisions.note_end(now, sent);
            if decisions.take_urgent() {
                self.heartbeat_trigger.notify_one();
            }
        }
    }

    /// Block for a heartbeat.
    pub(crate) fn rollout_heartbeat_block(&self) -> Option<Extension> {
        self.rollout_block(Rollouts::news)
    }

    /// Block for a digest.
    pub(crate) fn rollout_digest_block(&self) -> Option<Extension> {
        self.rollout_block(Rollouts::centre_news)
    }

    /// Block for an alarm, if all peers have to be told at once.
    pub(crate) fn rollout_alarm_block(&self) -> Option<Extension> {
        let mut state = self.state.borrow_mut();
        let is_urgent = std::mem::take(&mut state.rollouts.is_urgent);
        drop(state);
        is_urgent.then(|| self.rollout_block(Rollouts::news))?
    }

    fn rollout_block(&self, news: impl Fn(&Rollouts, Moment) -> RolloutNews) -> Option<Extension> {
        let state = self.state.borrow();
        let decisions = &state.rollouts.decisions;
        if !decisions.is_enabled() {
            return None;
        }
        let block = RolloutBlock {
            orders: state.directory.order_version(),
            news: news(decisions, self.now()),
        };
        if block.news.is_empty() && block.orders == ViewVersion::default() {
            return None;
        }
        Extension::new(ExtensionKind::ROLLOUTS, &block)
    }

    /// Applies the block of a message.
    pub(crate) fn receive_rollouts(&self, sender: &Sender, extensions: &[Extension]) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let link = &mut state.rollouts;
        if !link.decisions.is_enabled() {
            return;
        }
        let Some(block) = find::<RolloutBlock>(extensions, ExtensionKind::ROLLOUTS) else {
            return;
        };
        if let Sender::Instance(instance, _) = sender {
            link.peer_orders.insert(instance.clone(), block.orders);
        }
        link.decisions.merge(now, sender, &block.news);
        self.log_rollouts(link);
    }
}

/// An attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutAttempt<'a> {
    pub(crate) call: &'a Call,
    pub(crate) record: &'a EndpointRecord,
    pub(crate) place: &'a Place,
}

impl<'a> RolloutAttempt<'a> {
    fn sent(self, state: &State) -> Sent<'a> {
        let now = self.place.sent();
        let endpoint = state.endpoints.get(self.place.index);
        Sent {
            service: &self.call.service,
            route: &self.call.route.name,
            endpoint: &self.record.name,
            software: &self.record.software,
            is_warm: endpoint.is_some_and(|e| !e.is_cold(now)),
        }
    }

    /// Whether the way in which the attempt ended speaks against the endpoint. `has_crashed` if the
    /// endpoint went down, which ends all its requests whatever their version.
    pub(crate) fn is_failed(self, attempt: &Attempt, waited: Duration, has_crashed: bool) -> bool {
        let route = &self.call.route;
        let is_late = waited >= route.objective * NO_ANSWER_OBJECTIVES;
        let answer = self.place.answer;
        // The head of a stream may come long before its first event.
        let has_begun = answer.is_begun() || (answer.is_head() && !route.kind.is_stream());
        match attempt {
            // The endpoint's own end of the time that it was given, which may have been short.
            Attempt::Delivered(504) => is_late,
            Attempt::Delivered(status) => *status >= 500,
            Attempt::Failed(response) if response.head.status() == 504 => is_late,
            Attempt::Failed(response) => response.head.status() >= 500,
            Attempt::Lost(_) => !has_crashed,
            Attempt::Gone | Attempt::Late => is_late && !has_begun,
            Attempt::NoRoom(_)
            | Attempt::NotRun(
                NotRun::Unreachable
                | NotRun::Busy
                | NotRun::Moved
                | NotRun::Barred
                | NotRun::Withheld,
            ) => false,
        }
    }
}

/// Time since a request was sent, for the time to the first bytes of its answer.
pub(crate) fn elapsed(sent: Instant) -> Answer {
    Answer::Good {
        first: sent.elapsed(),
    }
}

/// Advances the roll-outs until the process ends.
pub(crate) async fn judge_rollouts(gate: Rc<Gate>) {
    loop {
        if gate.has_rollouts() {
            gate.advance_rollouts();
            sleep(JUDGE_PERIOD).await;
        } else {
            sleep(IDLE_PERIOD).await;
        }
    }
}
