//! Hand-over of callers' connections: an instance that is short of processor time passes whole
//! connections to instances of its data centre that have some, at request boundaries.
//!
//! [`balance`] decides, from [`usage`] of the processor and the neighbours' reports; [`link`] makes
//! and answers offers and copies bytes. The neighbour serves the connection like one of its own
//! callers, and never hands it on. All of it rests unless the fleet is large.

pub(crate) mod balance;
pub(crate) mod link;
pub(crate) mod shedding;
pub(crate) mod usage;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Handle, RuntimeMetrics};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::gateway::call::{self, Refused};
use crate::gateway::connection::{self, accept_next, max_connections};
use crate::gateway::exchange::Sender;
use crate::gateway::extensions::{self, Extension, ExtensionKind};
use crate::gateway::gate::Gate;
use crate::gateway::handover::balance::{
    Balance, Candidate, Change, Choice, Decline, OfferResult, ProcessorReport,
};
use crate::gateway::handover::link::{
    End, Link, Offer, OfferError, SharedBuffer, answer_offer, carry, close, make_offer, read_offer,
};
use crate::gateway::handover::usage::Sample;
use crate::gateway::number::{gauge, to_f32, to_f64};
use crate::gateway::outlet::{OnDeath, ResponseWriter};
use crate::gateway::pauses::boot_time;
use crate::gateway::settings::peer_address;
use crate::gateway::stop::{Stop, StopReport};
use crate::moment::Moment;
use crate::name::InstanceName;

/// Period at which processor use is measured and the other instances are checked.
const STEP_PERIOD: Duration = Duration::from_millis(100);
/// Time without heartbeats, and bytes of responses, after which connections with another instance
/// end. Its machine may still acknowledge bytes.
const LOST_AFTER: Duration = Duration::from_millis(2_500);
/// Time for which a connection stays open between requests after its entry has announced its stop.
/// By then the load balancer has long taken the entry out, so that few requests cross the close.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Memory for each connection that is handed over or taken, for the limit of their number.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Shares of the connection limit of the entry: above the first, a neighbour closes what it takes
/// after its response, above the second nothing is handed over.
const KEPT_SHARE: f64 = 0.8;
const GIVEN_SHARE: f64 = 0.9;
/// Reason in the response to a request whose neighbour was lost.
const LOST_REASON: &str = "the instance that served the request was lost";
/// Most offers that are read or made at the same time.
const MAX_OFFERS: usize = 32;

/// Hand-overs of an instance.
#[derive(Debug, Default)]
pub(crate) struct Handover {
    pub(crate) balance: RefCell<Balance>,
    /// Connections handed over, by neighbour.
    given: RefCell<HashMap<InstanceName, Rc<Link>>>,
    /// Connections taken, by entry.
    taken: RefCell<HashMap<InstanceName, Rc<Link>>>,
    buffer: SharedBuffer,
    offers: Cell<usize>,
}

/// Where a connection comes from.
#[derive(Clone, Debug)]
pub(crate) enum Origin {
    Caller,
    /// Handed over by a neighbour, to be kept open or not.
    Neighbour {
        name: InstanceName,
        link: Rc<Link>,
        is_kept: bool,
    },
}

impl Origin {
    /// How a connection ends when this process dies. An entry must not take that for an orderly
    /// close.
    pub(crate) fn on_death(&self) -> OnDeath {
        match self {
            Self::Caller => OnDeath::Close,
            Self::Neighbour { .. } => OnDeath::Reset,
        }
    }

    /// Instance that has the caller's connection, if it is not this one.
    pub(crate) fn entry(&self) -> Option<&InstanceName> {
        match self {
            Self::Caller => None,
            Self::Neighbour { name, .. } => Some(name),
        }
    }

    /// Stop of the instance that has the caller's connection, if it is not this one.
    pub(crate) fn stop(&self) -> Option<Rc<Stop>> {
        match self {
            Self::Caller => None,
            Self::Neighbour { link, .. } => Some(link.stop.clone()),
        }
    }

    /// Whether the connection should close after its response: the neighbour has many, stops or was
    /// not heard for long, or its configuration differs.
    pub(crate) fn has_left(&self, gate: &Gate) -> bool {
        let Self::Neighbour { name, is_kept, .. } = self else {
            return false;
        };
        let state = gate.state.borrow();
        let version = state.directory.catalog().version;
        !is_kept
            || has_stopped(gate, name)
            || state
                .peers
                .last_heartbeat(gate.now(), name)
                .is_none_or(|(heartbeat, _)| heartbeat.version != version)
    }

    /// Waits until an idle connection should be closed: the neighbour stops, or was not heard for
    /// long. The next request of a caller that knows of neither usually still gets its response.
    pub(crate) async fn left(&self, gate: &Gate) {
        let Self::Neighbour { name, link, .. } = self else {
            return std::future::pending().await;
        };
        loop {
            let left = link.left.notified();
            if has_stopped(gate, name) {
                let until = Instant::now() + IDLE_TIME;
                let end = link.stop.end().unwrap_or(until);
                return sleep_until(until.min(end)).await;
            }
            left.await;
        }
    }
}

/// Whether another instance stops or was not heard for long.
fn has_stopped(gate: &Gate, name: &InstanceName) -> bool {
    let state = gate.state.borrow();
    let last = state.peers.last_heartbeat(gate.now(), name);
    last.is_none_or(|(heartbeat, age)| heartbeat.stopping || age > LOST_AFTER)
}

/// Requests on a connection so far.
#[derive(Debug)]
pub(crate) struct Visit {
    since: Instant,
    requests: usize,
}

impl Visit {
    pub(crate) fn begin() -> Self {
        Self {
            since: Instant::now(),
            requests: 0,
        }
    }

    /// Request rate against that of the average connection; 1 before the second request.
    fn weight(&self, gate: &Gate) -> f64 {
        let average = gate.activity.get() / to_f64(gate.connections.get().max(1));
        if self.requests < 2 || average <= 0.0 {
            return 1.0;
        }
        to_f64(self.requests) / self.since.elapsed().as_secs_f64().max(0.1) / average
    }
}

/// Hands a connection over at a request boundary if this instance is short of processor time and a
/// neighbour takes it. Returns the connection otherwise.
pub(crate) async fn hand_over(
    gate: &Rc<Gate>,
    writer: ResponseWriter,
    origin: &Origin,
    visit: &mut Visit,
) -> Option<ResponseWriter> {
    visit.requests += 1;
    let is_due = {
        let balance = gate.handover.balance.borrow();
        let is_pressed = balance.is_pressed && matches!(origin, Origin::Caller);
        is_pressed && balance.is_due(visit.weight(gate), rand::random())
    };
    if !is_due || !may_give(gate) {
        return Some(writer);
    }
    let _active = gate.activate();
    let Some((choice, neighbour)) = offer(gate, &writer).await else {
        return Some(writer);
    };
    if gate.stop.has_begun() {
        return Some(writer);
    }
    spawn_local(give(gate.clone(), writer, choice, neighbour));
    None
}

/// Most connections that are handed over, or taken.
fn limit(gate: &Gate) -> usize {
    // Each of them has two descriptors at the entry.
    let by_descriptors = max_connections(gate) / 2;
    by_descriptors.min(gate.settings.borrow().memory / CONNECTION_BYTES)
}

/// Used share of the connection limit.
fn used_share(gate: &Gate) -> f64 {
    to_f64(gate.connections.get()) / to_f64(max_connections(gate))
}

fn count(links: &RefCell<HashMap<InstanceName, Rc<Link>>>) -> usize {
    links.borrow().values().map(|l| l.connections.get()).sum()
}

/// Connections that are handed over.
pub(crate) fn given(gate: &Gate) -> usize {
    count(&gate.handover.given)
}

/// Whether this instance may hand a connection over, which takes one more descriptor.
fn may_give(gate: &Gate) -> bool {
    gate.state.borrow().peers.is_large()
        && gate.is_ready()
        && gate.handover.offers.get() < MAX_OFFERS
        && count(&gate.handover.given) < limit(gate)
        && used_share(gate) < GIVEN_SHARE
}

/// Neighbours that may be asked, with their addresses: those that know what this instance knows.
fn candidates(gate: &Gate, now: Moment) -> Vec<(Candidate, SocketAddr)> {
    let state = gate.state.borrow();
    let centre = &gate.settings.borrow().centre;
    let (version, versions) = view(gate);
    let fit = state.peers.neighbours(now, centre).filter(|(b, _, _)| {
        let knows_view = b.version == version && !versions.are_newer(b.versions);
        knows_view && !b.stopping && !b.store_lost
    });
    fit.map(|(heartbeat, address, _)| {
        let candidate = Candidate {
            name: heartbeat.instance.clone(),
            cores: f64::from(heartbeat.cores),
        };
        (candidate, address)
    })
    .collect()
}

/// Versions of the configuration and of the view of the store.
fn view(gate: &Gate) -> (u64, crate::gateway::directory::ViewVersions) {
    let directory = &gate.state.borrow().directory;
    (directory.catalog().version, directory.versions())
}

/// Offers a connection to a neighbour; none if there is none or it does not take it.
async fn offer(gate: &Gate, writer: &ResponseWriter) -> Option<(Choice, TcpStream)> {
    let now = gate.now();
    let caller = writer.stream.peer_addr().ok()?;
    let result = |name| gate.metrics.handovers.with_label_values(&[name]).inc();
    let (choice, address) = {
        let (candidates, addresses): (Vec<_>, Vec<_>) = candidates(gate, now).into_iter().unzip();
        let mut balance = gate.handover.balance.borrow_mut();
        let lots = [rand::random(), rand::random()];
        let Some(choice) = balance.choose(now, &candidates, lots) else {
            result("no_neighbour");
            return None;
        };
        let at = candidates.iter().position(|c| c.name == choice.name)?;
        (choice, addresses[at])
    };
    let (version, versions) = view(gate);
    let source = peer_address(&gate.settings.borrow());
    let message = Offer {
        instance: gate.settings.borrow().instance.clone(),
        version,
        versions,
        load: to_f32(choice.load),
        is_kept: used_share(gate) < KEPT_SHARE,
        caller,
    };
    gate.handover.offers.set(gate.handover.offers.get() + 1);
    let answer = make_offer(source, address, &message).await;
    gate.handover.offers.set(gate.handover.offers.get() - 1);
    let mut balance = gate.handover.balance.borrow_mut();
    let now = gate.now();
    let neighbour = &choice.name;
    match answer {
        Ok(stream) => {
            balance.note_result(now, &choice, OfferResult::Accepted);
            result("handed_over");
            tracing::info!(
                event = "handed_over", %caller, %neighbour, share = balance.share(),
                processor = balance.usage.share, lag_ms = balance.usage.lag_ms,
                headroom = choice.headroom, load = choice.load,
            );
            return Some((choice, stream));
        }
        Err(OfferError::Declined(reason)) => {
            balance.note_result(now, &choice, OfferResult::Declined);
            result("declined");
            tracing::debug!(event = "handover_declined", %caller, %neighbour, %reason);
        }
        Err(error) => {
            balance.note_result(now, &choice, OfferResult::Unanswered);
            result("unanswered");
            tracing::info!(event = "handover_failed", %caller, %neighbour, %error);
        }
    }
    None
}

/// Counts a connection between instances until it is dropped.
struct Counted<'a>(&'a Gate);

impl<'a> Counted<'a> {
    fn new(gate: &'a Gate) -> Self {
        gate.connections.set(gate.connections.get() + 1);
        Self(gate)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Carries a connection until it ends.
async fn give(gate: Rc<Gate>, mut writer: ResponseWriter, choice: Choice, neighbour: TcpStream) {
    let name = &choice.name;
    let active = gate.activate();
    let (_descriptor, other) = (Counted::new(&gate), Counted::new(&gate));
    let link = gate
        .handover
        .given
        .borrow_mut()
        .entry(name.clone())
        .or_default()
        .clone();
    let connection = link.connect();
    let started = Instant::now();
    let caller = writer.stream.peer_addr().ok();
    let (buffer, over) = (&gate.handover.buffer, gate.stop.over());
    let end = carry(buffer, &mut writer, &neighbour, &link, over).await;
    drop((connection, neighbour, other));
    {
        let mut balance = gate.handover.balance.borrow_mut();
        balance.note_given_end(gate.now(), &choice);
    }
    let lasted_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    match end {
        End::Closed | End::CallerGone => {
            tracing::debug!(event = "handover_ended", ?caller, neighbour = %name, %end, lasted_ms);
        }
        End::NeighbourReset | End::NeighbourLost | End::Unanswered | End::Stopped => {
            tracing::info!(event = "handover_ended", ?caller, neighbour = %name, %end, lasted_ms);
        }
    }
    // The neighbour has closed an idle connection while requests came.
    if writer.keep_alive && writer.has_unread() {
        tracing::info!(event = "handover_taken_back", ?caller, neighbour = %name, lasted_ms);
        writer.take_back();
        drop(active);
        return connection::serve_on(&gate, writer, &Origin::Caller).await;
    }
    writer.keep_alive = false;
    let failed = match end {
        End::Unanswered => Some(Refused::new(502, LOST_REASON, None)),
        End::Stopped => Some(Refused::stopping(false)),
        End::Closed | End::CallerGone | End::NeighbourReset | End::NeighbourLost => None,
    };
    if let Some(failed) = failed {
        call::send_own_response(&gate, &mut writer, &Bytes::new(), &failed).await;
    }
    if end == End::Closed || failed.is_some() {
        close(&writer.stream).await;
    }
}

/// Accepts connections that neighbours hand over, until the process ends.
pub(crate) async fn accept(gate: Rc<Gate>, listener: TcpListener) {
    loop {
        let stream = accept_next(&listener).await;
        let Ok(address) = stream.peer_addr() else {
            continue;
        };
        if !knows(&gate, address.ip()) || gate.handover.offers.get() >= MAX_OFFERS {
            gate.metrics.handovers.with_label_values(&["closed"]).inc();
            tracing::debug!(event = "handover_closed", %address);
            continue;
        }
        spawn_local(take(gate.clone(), stream, address.ip()));
    }
}

/// Whether an address is that of an instance of this data centre in a large fleet.
fn knows(gate: &Gate, ip: IpAddr) -> bool {
    let peers = &gate.state.borrow().peers;
    peers.is_large() && peers.has_neighbour_at(&gate.settings.borrow().centre, ip)
}

/// Answers an offer and serves the connection.
async fn take(gate: Rc<Gate>, mut stream: TcpStream, ip: IpAddr) {
    gate.handover.offers.set(gate.handover.offers.get() + 1);
    let offer = read_offer(&mut stream).await;
    gate.handover.offers.set(gate.handover.offers.get() - 1);
    let offer = match offer {
        Ok(offer) => offer,
        Err(error) => {
            tracing::debug!(event = "offer_unreadable", %ip, %error);
            return;
        }
    };
    let answer = accepts(&gate, &offer, ip);
    if answer_offer(&mut stream, answer).await.is_err() || answer.is_err() {
        let label = if answer.is_err() { "refused" } else { "left" };
        gate.metrics.handovers.with_label_values(&[label]).inc();
        return;
    }
    let name = offer.instance;
    gate.metrics.handovers.with_label_values(&["taken"]).inc();
    tracing::info!(event = "connection_taken", entry = %name, caller = %offer.caller);
    let link = gate
        .handover
        .taken
        .borrow_mut()
        .entry(name.clone())
        .or_default()
        .clone();
    let _connection = link.connect();
    let _descriptor = Counted::new(&gate);
    let (since, load) = (gate.now(), f64::from(offer.load));
    let origin = Origin::Neighbour {
        name,
        link: link.clone(),
        is_kept: offer.is_kept,
    };
    connection::serve(&gate, stream, &origin).await;
    let mut balance = gate.handover.balance.borrow_mut();
    balance.note_taken_end(gate.now(), since, load);
}

/// Whether a connection is taken.
fn accepts(gate: &Gate, offer: &Offer, ip: IpAddr) -> Result<(), Decline> {
    let now = gate.now();
    let (version, versions) = view(gate);
    let settings = gate.settings.borrow();
    {
        let peers = &gate.state.borrow().peers;
        if !peers.is_neighbour(&offer.instance, &settings.centre, ip) {
            return Err(Decline::NotReady);
        }
    }
    let is_paused = gate.pauses.catch_up_left(boot_time()).is_some();
    if !gate.is_ready() || is_paused || has_stopped(gate, &offer.instance) {
        return Err(Decline::NotReady);
    }
    if offer.version != version || offer.versions.are_newer(versions) {
        return Err(Decline::OtherView);
    }
    if room(gate) == 0 {
        return Err(Decline::Full);
    }
    let (load, cores) = (f64::from(offer.load), f64::from(settings.cores));
    gate.handover.balance.borrow_mut().accept(now, load, cores)
}

/// Connections that this instance can still take.
fn room(gate: &Gate) -> usize {
    let by_limit = limit(gate).saturating_sub(count(&gate.handover.taken));
    // Its own callers keep half of the descriptors.
    let half = max_connections(gate) / 2;
    by_limit.min(half.saturating_sub(gate.connections.get()))
}

/// Processor block of a heartbeat, in a large fleet.
pub(crate) fn report_block(gate: &Gate) -> Option<Extension> {
    if !gate.state.borrow().peers.is_large() {
        return None;
    }
    let room = if gate.is_ready() { room(gate) } else { 0 };
    let room = u32::try_from(room).unwrap_or(u32::MAX);
    let report = gate.handover.balance.borrow().report(room);
    Extension::new(ExtensionKind::PROCESSOR, &report)
}

/// Records the processor block of an instance of this data centre.
pub(crate) fn receive_report(gate: &Gate, sender: &Sender, blocks: &[Extension]) {
    let Sender::Instance(name, centre) = sender else {
        return;
    };
    if *centre != gate.settings.borrow().centre {
        return;
    }
    let report = extensions::find::<ProcessorReport>(blocks, ExtensionKind::PROCESSOR);
    if let Some(report) = report.filter(ProcessorReport::is_sound) {
        let mut balance = gate.handover.balance.borrow_mut();
        balance.record_report(gate.now(), name.clone(), report);
    }
}

/// Block of a heartbeat that tells neighbours the times of this instance's stop.
pub(crate) fn stop_block(gate: &Gate) -> Option<Extension> {
    let report = gate.stop.report()?;
    let is_large = gate.state.borrow().peers.is_large();
    is_large.then(|| Extension::new(ExtensionKind::STOP, &report))?
}

/// Records the stop of an instance that has handed connections over. Builds that do not tell its
/// times are taken to have the grace period of this one.
pub(crate) fn receive_stop(gate: &Gate, sender: &Sender, blocks: &[Extension]) {
    let Sender::Instance(name, _) = sender else {
        return;
    };
    let Some(link) = gate.handover.taken.borrow().get(name).cloned() else {
        return;
    };
    let is_stopping = {
        let peers = &gate.state.borrow().peers;
        let last = peers.last_heartbeat(gate.now(), name);
        last.is_some_and(|(heartbeat, _)| heartbeat.stopping)
    };
    let has_begun = link.stop.has_begun();
    if !is_stopping {
        if has_begun {
            // Another process has started under the same name.
            gate.handover.taken.borrow_mut().remove(name);
        }
    } else if let Some(report) = extensions::find::<StopReport>(blocks, ExtensionKind::STOP) {
        link.stop.learn(report);
    } else if !has_begun {
        link.stop.begin(gate.settings.borrow().grace);
    }
    if is_stopping && !has_begun {
        let (left_ms, connections) = (link.stop.left_ms(), link.connections.get());
        tracing::info!(event = "entry_stops", entry = %name, left_ms, connections);
    }
}

/// Measures the processor's use and ends connections with instances that stop or are lost, until
/// the process ends.
pub(crate) async fn watch(gate: Rc<Gate>) {
    let runtime = Handle::current().metrics();
    loop {
        sleep(STEP_PERIOD).await;
        if gate.state.borrow().peers.is_large() {
            step(&gate, &runtime);
            check_links(&gate);
        }
    }
}

/// Records the processor's use. The time in which the only thread does not wait stands for it: unlike
/// the processor time that the system counts, it tells a part of a core from a whole one.
fn step(gate: &Gate, runtime: &RuntimeMetrics) {
    let sample = Sample {
        busy: runtime.worker_total_busy_duration(0),
        lag_ms: gate.lag.get(),
    };
    let cores = f64::from(gate.settings.borrow().cores);
    let mut balance = gate.handover.balance.borrow_mut();
    let given = count(&gate.handover.given);
    // A connection that is handed over has two descriptors.
    let served = gate.connections.get().saturating_sub(2 * given);
    let change = balance.step(gate.now(), sample, cores, (to_f64(served), to_f64(given)));
    balance.remove_silent(gate.now());
    gate.metrics.processor.set(balance.usage.share);
    let Some(change) = change else {
        return;
    };
    let event = match change {
        Change::Begins => "handover_begins",
        Change::Ends => "handover_ends",
    };
    tracing::info!(
        event,
        processor = balance.usage.share,
        lag_ms = balance.usage.lag_ms,
        connections = gate.connections.get(),
        given = count(&gate.handover.given),
    );
}

/// Wakes the connections with instances that stop or were not heard for long. A neighbour that stops
/// ends those that were handed over itself.
pub(crate) fn check_links(gate: &Gate) {
    let Handover { given, taken, .. } = &gate.handover;
    let now = gate.now();
    let is_lost = |name: &InstanceName, link: &Link| {
        let state = gate.state.borrow();
        let last = state.peers.last_heartbeat(now, name);
        let silence = link.silence(now);
        last.is_none_or(|(_, age)| age.min(silence) > LOST_AFTER)
    };
    for (name, link) in given.borrow().iter().filter(|(n, l)| is_lost(n, l)) {
        tracing::debug!(event = "neighbour_lost", %name, connections = link.connections.get());
        link.left.notify_waiters();
    }
    for (_, link) in taken.borrow().iter().filter(|(n, _)| has_stopped(gate, n)) {
        link.left.notify_waiters();
    }
    for links in [given, taken] {
        links.borrow_mut().retain(|_, l| l.connections.get() > 0);
    }
    gate.metrics.handed_over.set(gauge(count(given)));
    gate.metrics.taken.set(gauge(count(taken)));
}
