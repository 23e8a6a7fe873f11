//! The state of a gateway instance, and the operations that combine its parts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::gateway::admission::{Admission, WaitId, Waiting};
use crate::gateway::budget::{RetryQuota, cold_quota};
use crate::gateway::call::Call;
use crate::gateway::catalog::GatewayService;
use crate::gateway::containment::Source;
use crate::gateway::directory::{Directory, EndpointChange, EndpointRecord};
use crate::gateway::handover::Handover;
use crate::gateway::handover::shedding::RecentRequests;
use crate::gateway::held_bytes::HeldBytes;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::notices::Notice;
use crate::gateway::number::{gauge, to_f32, to_f64};
use crate::gateway::outputs::Outputs;
use crate::gateway::pauses::PauseWatch;
use crate::gateway::peers::{Digest, Heartbeat, PeerLoad, Peers, Updates};
use crate::gateway::placement::{EndpointIndex, Endpoints, Place, PlaceEnd, PlacementRules};
use crate::gateway::prompt_suspects::PromptSuspects;
use crate::gateway::rollout_link::RolloutLink;
use crate::gateway::settings::{GatewaySettings, peer_address};
use crate::gateway::stop::Stop;
use crate::gateway::suspicion_news::{CrashNews, Evidence, Outbox, SuspicionUpdates};
use crate::gateway::upstream::Pool;
use crate::gateway::waiting_callers::WaitingCallers;
use crate::moment::{Clock, Moment};
use crate::name::{AccountName, CentreName, ServiceName};
use crate::suspect::Suspects;

/// Timer lag up to which no streams are shed.
const LAG_TOLERATED_MS: f64 = 45.0;
/// Further lag at which the most streams are shed: events of running streams may be about 100 ms
/// late.
const LAG_SPAN_MS: f64 = 120.0;
/// Largest share of new streams that is shed.
const MAX_SHED_SHARE: f64 = 0.95;

/// Time after a request was sent within which its endpoint's data centre may still be heard when
/// the links to it are cut: a few intervals of digests.
const LAST_HEARD_MARGIN: Duration = Duration::from_millis(300);

/// Prompt length from which a heartbeat is sent immediately when the prefill is queued or done:
/// about a tenth of the queue that an engine may have.
const URGENT_PROMPT_TOKENS: f64 = 1_000.0;

/// Longest time from the start for which an instance is not ready because it knows no orders.
const ORDERS_WAIT: Duration = Duration::from_secs(3);

/// Mutable gateway state.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) directory: Directory,
    pub(crate) endpoints: Endpoints,
    pub(crate) admission: Admission,
    pub(crate) retries: RetryQuota,
    pub(crate) peers: Peers,
    pub(crate) suspects: Suspects,
    pub(crate) prompt_suspects: PromptSuspects,
    pub(crate) suspicion_updates: SuspicionUpdates,
    pub(crate) pool: Pool,
    pub(crate) outputs: Outputs,
    pub(crate) rollouts: RolloutLink,
    pub(crate) recent_requests: RecentRequests,
    waiters: HashMap<WaitId, Waiter>,
    heartbeat_count: u64,
    digest_count: u64,
}

impl State {
    /// Refuses a queued request for lack of a place. Returns the delay after which its caller
    /// should retry.
    fn refuse(&mut self, now: Moment, id: WaitId) -> Duration {
        self.waiters.remove(&id);
        let Some(waiting) = self.admission.remove(id) else {
            return Duration::ZERO;
        };
        self.admission.note_refusal(now, &waiting);
        if let Some(prompt) = &waiting.prompt {
            self.endpoints.note_refused_prefix(now, prompt);
        }
        self.admission.retry_after(now, &waiting.account)
    }
}

#[derive(Debug)]
struct Waiter {
    tried: Vec<EndpointIndex>,
    /// Random number in 0..1 that decides which version of the service it may go to.
    draw: f64,
    grant: oneshot::Sender<Place>,
}

/// A gateway instance.
#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) settings: RefCell<GatewaySettings>,
    pub(crate) clock: Clock,
    /// Start of this process, Unix time in microseconds.
    pub(crate) incarnation: u64,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) state: RefCell<State>,
    pub(crate) stop: Stop,
    pub(crate) active: Cell<usize>,
    /// Whether capacity may have been freed since the queue was last served.
    pub(crate) queue_pass_due: Cell<bool>,
    /// When the last tick was due: signals sent before were handled by its end.
    pub(crate) last_tick: Cell<Option<Instant>>,
    /// Moving average of the process's timer lag, in milliseconds.
    pub(crate) lag: Cell<f64>,
    /// Moving average of requests per second.
    pub(crate) activity: Cell<f64>,
    /// Whether the first attempt to discover peers is over.
    pub(crate) discovery_done: Cell<bool>,
    /// Wakes the heartbeat sender when peers should learn of a change at once.
    pub(crate) heartbeat_trigger: Notify,
    /// Wakes all that follow the store when it was restored from an older copy.
    pub(crate) restore_trigger: Notify,
    /// Wakes the alarm sender.
    pub(crate) alarm_trigger: Notify,
    pub(crate) connections: Cell<usize>,
    /// Memory for what is held for callers and endpoints.
    pub(crate) held: HeldBytes,
    pub(crate) waiting_callers: WaitingCallers,
    /// Detects pauses of the process.
    pub(crate) pauses: PauseWatch,
    /// Connections handed over to neighbours and taken from them.
    pub(crate) handover: Handover,
}

/// A queued request.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) id: WaitId,
    pub(crate) grant: oneshot::Receiver<Place>,
}

/// A request that a stop has to wait for.
#[derive(Debug)]
pub(crate) struct ActiveGuard<'a>(&'a Cell<usize>);

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Gate {
    pub(crate) fn new(
        settings: GatewaySettings,
        metrics: GatewayMetrics,
        incarnation: u64,
    ) -> Self {
        let rollouts = RolloutLink::new(&settings, incarnation);
        Self {
            settings: RefCell::new(settings),
            clock: Clock::start(),
            incarnation,
            metrics,
            state: RefCell::new(State {
                directory: Directory::new(),
                endpoints: Endpoints::default(),
                admission: Admission::default(),
                retries: RetryQuota::default(),
                peers: Peers::default(),
                suspects: Suspects::default(),
                prompt_suspects: PromptSuspects::default(),
                suspicion_updates: SuspicionUpdates::default(),
                pool: Pool::default(),
                outputs: Outputs::default(),
                rollouts,
                recent_requests: RecentRequests::default(),
                waiters: HashMap::new(),
                heartbeat_count: 0,
                digest_count: 0,
            }),
            stop: Stop::default(),
            active: Cell::new(0),
            queue_pass_due: Cell::new(false),
            last_tick: Cell::new(None),
            lag: Cell::new(0.0),
            activity: Cell::new(0.0),
            discovery_done: Cell::new(false),
            heartbeat_trigger: Notify::new(),
            restore_trigger: Notify::new(),
            alarm_trigger: Notify::new(),
            connections: Cell::new(0),
            held: HeldBytes::default(),
            waiting_callers: WaitingCallers::default(),
            pauses: PauseWatch::default(),
            handover: Handover::default(),
        }
    }

    /// Counts a request that a stop has to wait for, until the guard is dropped.
    pub(crate) fn activate(&self) -> ActiveGuard<'_> {
        self.active.set(self.active.get() + 1);
        ActiveGuard(&self.active)
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Whether callers should be routed here.
    pub(crate) fn is_ready(&self) -> bool {
        let directory = &self.state.borrow().directory;
        let knows_orders = directory.knows_orders() || !self.has_rollouts();
        // The orders are listed last; a store that does not list them holds nobody up for long.
        let is_known = knows_orders || self.now().since(Moment::default()) >= ORDERS_WAIT;
        !self.stop.has_begun() && directory.is_complete() && is_known
    }

    /// Whether to shed a new stream of an account because this instance lacks CPU time. Accounts with
    /// fewer recent requests than others are shed last.
    pub(crate) fn should_shed(&self, account: &AccountName) -> bool {
        let excess = (self.lag.get() - LAG_TOLERATED_MS) / LAG_SPAN_MS;
        if excess <= 0.0 {
            return false;
        }
        let recent = &self.state.borrow().recent_requests;
        let share = recent.shed_share(self.now(), account, excess.min(MAX_SHED_SHARE));
        rand::random::<f64>() < share
    }

    /// Queues a request and grants it a place if there is one. Fails with the delay after which
    /// the caller should retry if the request would wait too long.
    pub(crate) fn enqueue(
        &self,
        waiting: Waiting,
        tried: &[EndpointIndex],
    ) -> Result<Ticket, Duration> {
        let ticket = self.join_queue(waiting, tried);
        if self.exceeds_wait(ticket.id) {
            return Err(self.withdraw(ticket.id));
        }
        Ok(ticket)
    }

    /// Queues a request and grants it a place if there is one.
    pub(crate) fn join_queue(&self, waiting: Waiting, tried: &[EndpointIndex]) -> Ticket {
        let now = self.now();
        let service = waiting.service.clone();
        let (grant, granted) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        let id = state.admission.push(waiting);
        let tried = tried.to_vec();
        let draw = rand::random();
        state.waiters.insert(id, Waiter { tried, draw, grant });
        if let Some(rules) = self.rules(&state, &service) {
            self.grant_place(&mut state, now, id, &rules);
        }
        self.metrics.waiting.set(gauge(state.admission.len()));
        Ticket { id, grant: granted }
    }

    /// Whether a queued request would wait too long.
    pub(crate) fn exceeds_wait(&self, id: WaitId) -> bool {
        let state = self.state.borrow();
        state.waiters.contains_key(&id) && state.admission.exceeds_wait(self.now(), id)
    }

    /// Removes from the queue what waits no longer, without a refusal.
    pub(crate) fn forget(&self, id: WaitId) {
        let mut state = self.state.borrow_mut();
        state.waiters.remove(&id);
        state.admission.remove(id);
        self.metrics.waiting.set(gauge(state.admission.len()));
    }

    /// Whether a request may be sent once more by now.
    pub(crate) fn may_repeat(&self, call: &Call) -> bool {
        let rule = self.settings.borrow().retry;
        let is_refused = self
            .crash_refusal(call.fingerprint, call.prompt.as_ref())
            .is_some();
        let (now, mut state) = (self.now(), self.state.borrow_mut());
        let instances = state.peers.count();
        !is_refused && state.retries.allows(now, &call.service, &rule, instances)
    }

    /// Takes a retry from this instance's share of the budget. Returns when it was taken.
    pub(crate) fn take_retry(&self, call: &Call) -> Option<Moment> {
        let rule = self.settings.borrow().retry;
        let (now, mut state) = (self.now(), self.state.borrow_mut());
        let instances = state.peers.count();
        let is_taken = state.retries.take(now, &call.service, &rule, instances);
        is_taken.then_some(now)
    }

    /// Returns a place and, if one was taken for it, a retry that are not used.
    pub(crate) fn give_back(&self, call: &Call, place: &Place, retry: Option<Moment>) {
        self.end(place, PlaceEnd::Neutral);
        self.refund(&call.account_name(), place);
        if let Some(taken) = retry {
            let retries = &mut self.state.borrow_mut().retries;
            retries.give_back(&call.service, taken);
        }
    }

    /// Removes a request from the queue. Returns the delay after which its caller should retry.
    pub(crate) fn withdraw(&self, id: WaitId) -> Duration {
        let mut state = self.state.borrow_mut();
        let retry_after = state.refuse(self.now(), id);
        self.metrics.waiting.set(gauge(state.admission.len()));
        retry_after
    }

    /// Grants places to queued requests while there is room.
    pub(crate) fn serve_queue(&self) {
        self.queue_pass_due.set(false);
        let mut state = self.state.borrow_mut();
        if !state.admission.is_empty() {
            self.grant_places(&mut state, self.now());
            self.metrics.waiting.set(gauge(state.admission.len()));
        }
    }

    /// Requests a pass over the queue at the next tick. Many events free capacity at about the
    /// same time, and a pass for each would take most of a small processor's time.
    fn request_queue_pass(&self) {
        self.queue_pass_due.set(true);
    }

    fn grant_places(&self, state: &mut State, now: Moment) {
        let mut services: HashMap<ServiceName, Option<PlacementRules>> = HashMap::new();
        for id in state.admission.order(now) {
            let Some(waiting) = state.admission.get(id) else {
                continue;
            };
            let service = waiting.service.clone();
            let rules = services.entry(service);
            let rules = rules.or_insert_with_key(|service| self.rules(state, service));
            if let Some(rules) = rules {
                self.grant_place(state, now, id, rules);
            }
        }
    }

    /// Grants a place to a request if there is one.
    fn grant_place(&self, state: &mut State, now: Moment, id: WaitId, rules: &PlacementRules) {
        let Some((index, waiting)) = find_place(state, now, id, rules) else {
            return;
        };
        let prompt = waiting.prompt.as_ref();
        let Some(mut place) = state.endpoints.take(now, index, prompt) else {
            return;
        };
        place.charged = waiting.cost();
        if place.prompt_tokens() >= URGENT_PROMPT_TOKENS {
            self.heartbeat_trigger.notify_one();
        }
        state.admission.remove(id);
        state.admission.charge(now, &waiting);
        if let Some(waiter) = state.waiters.remove(&id)
            && let Err(place) = waiter.grant.send(place)
        {
            state.endpoints.end(now, &place, PlaceEnd::Neutral);
        }
    }

    /// Earliest time at which an endpoint of `service` that is not in `tried` accepts requests,
    /// or `None` if none will.
    pub(crate) fn available_from(
        &self,
        now: Moment,
        service: &ServiceName,
        tried: &[EndpointIndex],
    ) -> Option<Moment> {
        available_from(&self.state.borrow(), now, service, tried)
    }

    /// Applies the notice that the endpoint of `place` sent.
    pub(crate) fn apply_notice(&self, place: &Place, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let starts_leaving = state.endpoints.note(now, place, notice);
        if let Some(endpoint) = state.endpoints.get(place.index) {
            let endpoint = &endpoint.record.name;
            if starts_leaving {
                tracing::info!(event = "endpoint_leaves", %endpoint, source = "answer");
            }
            if let Some(rest) = notice.rest {
                tracing::info!(event = "endpoint_rests", %endpoint, rest_ms = rest.as_millis());
            }
        }
        if starts_leaving || notice.rest.is_some() {
            release_unservable(&mut state, now);
        }
        drop(state);
        if starts_leaving {
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Placement rules that all requests of a service share.
    fn rules(&self, state: &State, service: &ServiceName) -> Option<PlacementRules> {
        let catalog = state.directory.catalog();
        let spec: &GatewayService = catalog.services.get(service)?;
        let settings = self.settings.borrow();
        let limit = spec.cold_rate * settings.cold_over + settings.cold_slack;
        let rank = state.peers.rank(&settings.instance);
        Some(PlacementRules {
            memory: spec.engine.as_ref().map(|e| e.memory),
            objective: catalog.objective(service),
            cold_quota: (spec.cold_rate > 0.0)
                .then(|| cold_quota(limit, state.peers.count(), rank)),
            centre: settings.centre.clone(),
            cached_only: false,
            seed: xxhash_rust::xxh3::xxh3_64(settings.instance.as_str().as_bytes()),
            left: Duration::MAX,
            token_time: state.outputs.token_time(service),
        })
    }

    /// Records that the answer for a place has begun, which may free capacity.
    pub(crate) fn begin(&self, place: &mut Place) {
        self.state.borrow_mut().endpoints.begin(self.now(), place);
        if place.prompt_tokens() >= URGENT_PROMPT_TOKENS {
            self.heartbeat_trigger.notify_one();
        }
        self.request_queue_pass();
    }

    /// Records `tokens` more tokens of an answer.
    pub(crate) fn progress(&self, place: &mut Place, tokens: u32) {
        let mut state = self.state.borrow_mut();
        state.endpoints.progress(self.now(), place, tokens);
    }

    /// Releases a place and serves the queue.
    pub(crate) fn end(&self, place: &Place, end: PlaceEnd) {
        self.state
            .borrow_mut()
            .endpoints
            .end(self.now(), place, end);
        self.serve_queue();
    }

    /// Whether another data centre has been silent since `sent`: links to it are probably cut.
    pub(crate) fn is_cut_off(&self, centre: &CentreName, sent: Moment) -> bool {
        if *centre == self.settings.borrow().centre {
            return false;
        }
        let heard = self.state.borrow().peers.centre_heard(centre);
        heard.is_some_and(|h| h < sent.after(LAST_HEARD_MARGIN))
    }

    /// Record of the endpoint of `place`.
    pub(crate) fn record(&self, place: &Place) -> Option<Rc<EndpointRecord>> {
        let state = self.state.borrow();
        let endpoint = state.endpoints.get(place.index)?;
        Some(endpoint.record.clone())
    }

    /// Refunds the charge for a place at an endpoint that did not run the request.
    pub(crate) fn refund(&self, account: &AccountName, place: &Place) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.admission.refund(now, account, place.charged);
    }

    /// Applies changes to the set of endpoints.
    pub(crate) fn apply(&self, changes: Vec<EndpointChange>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let mut services = BTreeSet::new();
        for change in changes {
            match change {
                EndpointChange::Listed(record) => {
                    services.insert(record.service.clone());
                    tracing::info!(
                        event = "endpoint_listed", endpoint = %record.name, service = %record.service,
                        address = %record.address, centre = %record.centre, leaving = record.leaving,
                        cold_ms = record.cold.as_millis(), born = record.started_at,
                    );
                    state.endpoints.put(now, record);
                }
                EndpointChange::Removed(name) => {
                    tracing::info!(event = "endpoint_removed", endpoint = %name);
                    let index = state.endpoints.find(&name);
                    let removed = index.and_then(|i| state.endpoints.get(i));
                    services.extend(removed.map(|s| s.record.service.clone()));
                    state.endpoints.remove(&name);
                }
                EndpointChange::Lapsed(name) => {
                    tracing::info!(event = "endpoint_lapsed", endpoint = %name);
                }
            }
        }
        state.note_rollout_endpoints(now, &services);
        release_unservable(&mut state, now);
        drop(state);
        self.serve_queue();
    }

    /// Updates the admission capacity from the endpoints' load, and logs what recent
    /// decisions were based on.
    pub(crate) fn update_load(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for (service, spec) in &state.directory.catalog().services {
            if spec.engine.is_none() {
                continue;
            }
            // Endpoints that get no requests because of their version are no capacity.
            let rollouts = &state.rollouts;
            let is_candidate = |record: &EndpointRecord| rollouts.admits(now, record);
            let summary = state.endpoints.summary(now, service, is_candidate);
            let rate = f64::from(summary.usable) * 1e3 / summary.prefill_pace.max(1e-3);
            let instances = to_f64(state.peers.count());
            state.admission.set_capacity(service, rate, instances);
            tracing::info!(
                event = "load", %service, endpoints = summary.usable, running = summary.running,
                prompt_tokens = summary.unread_tokens, memory = summary.memory,
                token_ms = summary.token_time, token_ms_limit = state.outputs.token_time(service),
                pace = summary.prefill_pace, waiting = state.admission.len(),
                level = state.admission.average_attained(),
                peers = state.peers.live(now).count(),
            );
        }
    }

    /// Whether this instance watches the store; in a large fleet two of each data centre do, so
    /// that a hanging watch delays nobody.
    pub(crate) fn watches_store(&self) -> bool {
        let (state, now) = (self.state.borrow(), self.now());
        let is_lost = state.directory.is_store_lost(now);
        state
            .peers
            .watches_store(now, &self.settings.borrow(), is_lost)
    }

    /// Time since which the store has answered a peer, or now.
    pub(crate) fn store_since(&self) -> Moment {
        let now = self.now();
        let centre = &self.settings.borrow().centre;
        let reported = self.state.borrow().peers.store_time(now, centre);
        now.before(reported.unwrap_or_default())
    }

    /// Whether this instance is the leader of its data centre.
    pub(crate) fn is_leader(&self) -> bool {
        let (state, now) = (self.state.borrow(), self.now());
        let is_lost = state.directory.is_store_lost(now);
        state.peers.is_leader(now, &self.settings.borrow(), is_lost)
    }

    /// Position among the instances that write to the store on behalf of the fleet; none if the
    /// store does not answer this one, or if others of its data centre call it.
    pub(crate) fn writer_rank(&self) -> Option<usize> {
        let (state, now) = (self.state.borrow(), self.now());
        let settings = self.settings.borrow();
        let directory = &state.directory;
        let is_lost = directory.is_store_lost(now);
        if !directory.has_store() || !state.peers.watches_store(now, &settings, is_lost) {
            return None;
        }
        let near = state.peers.store_rank(now, &settings, is_lost);
        let centre = settings
            .centres
            .range::<CentreName, _>(..&settings.centre)
            .count();
        Some(near * settings.centres.len().max(1) + centre)
    }

    /// Applies a digest of another data centre. Returns whether it is new.
    pub(crate) fn receive_digest(&self, digest: Digest) -> bool {
        let now = self.now();
        self.metrics.heartbeats.inc();
        let mut state = self.state.borrow_mut();
        self.apply_updates(&mut state, now, Source::Digest, &digest.updates);
        state.peers.record_digest(now, digest)
    }

    /// Builds the digest of this data centre.
    pub(crate) fn digest(&self) -> Digest {
        let now = self.now();
        let own = self.build_heartbeat(now, |updates| &mut updates.digests);
        let sender = peer_address(&self.settings.borrow());
        let mut state = self.state.borrow_mut();
        state.digest_count += 1;
        state.peers.digest(now, &own, state.digest_count, sender)
    }

    /// Takes the evidence due to all peers at once.
    pub(crate) fn take_alarms(&self) -> CrashNews {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let evidence = Evidence {
            requests: &state.suspects,
            prompts: &state.prompt_suspects,
        };
        let outbox = &mut state.suspicion_updates.alarms;
        let news = outbox.take_updates(now, evidence);
        self.metrics.unsent.inc_by(outbox.take_unsent());
        news
    }

    /// Applies an alarm of a peer.
    pub(crate) fn receive_alarm(&self, news: &CrashNews) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.merge_news(&self.metrics, now, Source::Alarm, news);
    }

    /// Applies a heartbeat of a peer.
    pub(crate) fn receive_heartbeat(&self, address: std::net::SocketAddr, heartbeat: Heartbeat) {
        let now = self.now();
        self.metrics.heartbeats.inc();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        self.apply_updates(state, now, Source::Heartbeat, &heartbeat.updates);
        let name = heartbeat.instance.clone();
        let is_same_centre = heartbeat.centre == self.settings.borrow().centre;
        if state.peers.record_heartbeat(now, address, heartbeat) && is_same_centre {
            tracing::info!(event = "peer_heard", peer = %name, %address);
        }
    }

    /// Applies the updates of a heartbeat or a digest.
    fn apply_updates(&self, state: &mut State, now: Moment, source: Source, updates: &Updates) {
        let Updates {
            crashes,
            leaving,
            residents,
        } = updates;
        state.merge_news(&self.metrics, now, source, crashes);
        note_leaving(state, now, leaving);
        state.endpoints.record_peer_residents(now, residents);
    }

    /// Applies the peers' load to decisions.
    pub(crate) fn apply_peer_state(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        self.metrics.peers.set(gauge(state.peers.addresses().len()));
        let centre = &self.settings.borrow().centre;
        let loads = state.peers.loads(now, centre);
        let load = |key| loads.get(&key).copied().unwrap_or_default();
        state.endpoints.set_peers(load);
        state.outputs.set_peers(state.peers.token_times(now));
        state
            .admission
            .set_peers(now, state.peers.attained_service(now, centre));
        state
            .admission
            .set_peer_demands(state.peers.demands(now, centre));
    }

    /// Builds the next heartbeat.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        self.build_heartbeat(self.now(), |updates| &mut updates.heartbeats)
    }

    /// Builds a heartbeat with this instance's state and the evidence of crashes due in `outbox`.
    fn build_heartbeat(
        &self,
        now: Moment,
        outbox: impl Fn(&mut SuspicionUpdates) -> &mut Outbox,
    ) -> Heartbeat {
        let settings = self.settings.borrow();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.heartbeat_count += 1;
        let evidence = Evidence {
            requests: &state.suspects,
            prompts: &state.prompt_suspects,
        };
        let outbox = outbox(&mut state.suspicion_updates);
        let crashes = outbox.take(now, evidence);
        self.metrics.unsent.inc_by(outbox.take_unsent());
        let loads = state.endpoints.own_loads();
        let loads = loads.map(|(key, load)| PeerLoad::new(key, load));
        let demands = state.admission.demands(now);
        let attained_service = state.admission.own(now);
        let attained_service = attained_service.filter(|(_, sum)| *sum >= 1.0);
        Heartbeat {
            instance: settings.instance.clone(),
            centre: settings.centre.clone(),
            cores: settings.cores,
            activity: to_f32(self.activity.get()),
            incarnation: self.incarnation,
            number: state.heartbeat_count,
            store_time: state.directory.store_time(now),
            store_lost: state.directory.is_store_lost(now),
            versions: state.directory.versions(),
            beliefs: settings.control.unwrap_or(settings.readiness),
            version: state.directory.catalog().version,
            stopping: self.stop.has_begun(),
            loads: loads.collect(),
            attained_service: attained_service
                .map(|(name, sum)| (name.clone(), to_f32(sum)))
                .collect(),
            demands: demands.into_iter().collect(),
            token_times: state
                .outputs
                .own_times()
                .map(|(s, time)| (s.clone(), to_f32(time)))
                .collect(),
            updates: Updates {
                crashes,
                leaving: state.endpoints.leaving(now),
                residents: state.endpoints.residents(now),
            },
        }
    }
}

/// Earliest time at which an endpoint of `service` that is not in `tried` accepts requests, or
/// `None` if none will.
fn available_from(
    state: &State,
    now: Moment,
    service: &ServiceName,
    tried: &[EndpointIndex],
) -> Option<Moment> {
    let directory = &state.directory;
    state
        .endpoints
        .available_from(now, service, |index, record| {
            !tried.contains(&index)
                && !directory.is_evacuated(&record.centre)
                && state.rollouts.admits(now, record)
        })
}

/// Marks endpoints that a peer reports as leaving.
fn note_leaving(state: &mut State, now: Moment, endpoints: &[u32]) {
    let newly_leaving = state.endpoints.note_leaving(now, endpoints);
    for endpoint in &newly_leaving {
        tracing::info!(event = "endpoint_leaves", %endpoint, source = "peer");
    }
    if !newly_leaving.is_empty() {
        release_unservable(state, now);
    }
}

/// Ends the wait of requests that hold a refused prompt part.
pub(crate) fn release_refused(state: &mut State, now: Moment) {
    let (admission, suspects) = (&state.admission, &state.prompt_suspects);
    state.waiters.retain(|id, _| {
        let prompt = admission.get(*id).and_then(|w| w.prompt.as_ref());
        prompt.is_none_or(|p| suspects.refusal_left(now, p.shared_ids()).is_none())
    });
}

/// Ends the wait of requests that no endpoint will accept before they give up.
fn release_unservable(state: &mut State, now: Moment) {
    let is_unservable = |id: &WaitId| {
        let (Some(waiting), Some(waiter)) = (state.admission.get(*id), state.waiters.get(id))
        else {
            return false;
        };
        let available_from = available_from(state, now, &waiting.service, &waiter.tried);
        available_from.is_none_or(|o| o > waiting.queue_deadline)
    };
    let unservable: Vec<WaitId> = state
        .waiters
        .keys()
        .copied()
        .filter(is_unservable)
        .collect();
    for id in unservable {
        state.waiters.remove(&id);
    }
}

/// Endpoint for a queued request, if one has room and no other request has priority.
fn find_place(
    state: &State,
    now: Moment,
    id: WaitId,
    rules: &PlacementRules,
) -> Option<(EndpointIndex, Waiting)> {
    let waiting = state.admission.get(id)?;
    if state.admission.must_yield(now, waiting) {
        return None;
    }
    let mut rules = rules.clone();
    let prompt = waiting.prompt.as_ref();
    let should_replicate = prompt.is_some_and(|p| state.endpoints.should_replicate(now, p));
    rules.cached_only = now < waiting.cached_until && !should_replicate;
    rules.left = waiting.ends.since(now);
    let waiter = state.waiters.get(&id)?;
    let (directory, tried) = (&state.directory, &waiter.tried);
    let mut versions = state
        .rollouts
        .filters(now, &waiting.service, &waiting.route, waiter.draw);
    let index = versions.find_map(|versions| {
        let chosen = state.endpoints.choose(
            now,
            &waiting.service,
            waiting.prompt.as_ref(),
            &rules,
            |record| versions.admits(&record.software, &record.name),
            |index, record| !tried.contains(&index) && !directory.is_evacuated(&record.centre),
        );
        chosen.ok()
    });
    Some((index?, waiting.clone()))
}
