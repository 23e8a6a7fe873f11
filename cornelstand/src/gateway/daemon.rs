//! Process lifecycle of a gateway: start, settings reload and graceful shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tracing_subscriber::EnvFilter;

use crate::gateway::admin::{self, Role};
use crate::gateway::follow::{Followed, deregister, follow, follow_instances, follow_peers};
use crate::gateway::gate::Gate;
use crate::gateway::logs::LogBuffer;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::number::to_f64;
use crate::gateway::pauses::boot_time;
use crate::gateway::rollout_link::judge_rollouts;
use crate::gateway::rollout_writer::write_statuses;
use crate::gateway::settings::peer_address;
use crate::gateway::stop::drain;
use crate::gateway::{connection, handover, peers_link};
use crate::platform::settings::{SettingsFileError, read_settings};

/// Port of the metrics listener; the deploy file contains it as well.
const METRICS_PORT: u16 = 9_464;
/// Period at which queued requests are checked against free capacity.
const TICK_PERIOD: Duration = Duration::from_millis(8);
/// Ticks after which the queue is served even without an event: load estimates fall with time.
const QUEUE_TICKS: u32 = 4;
/// Weight of a tick in the moving average of timer lag; averages over about 200 ms.
const LAG_WEIGHT: f64 = 0.06;
/// Weight of a tick in the moving average of the request rate; averages over about 1 s.
const RATE_WEIGHT: f64 = 0.008;
/// Period at which expired state is removed.
const EXPIRY_PERIOD: Duration = Duration::from_millis(500);
/// Period at which the settings file is read again, since it may change without a SIGHUP.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);
/// Time limit to remove this instance's entry from the store at shutdown.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Error while a gateway starts.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    GatewaySettings {
        /// Cause.
        #[snafu(source(from(SettingsFileError, Box::new)))]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// Binding a listener failed.
    #[snafu(display("cannot listen at {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// Setting up the process failed.
    #[snafu(display("cannot set up the process: {source}"))]
    SetUp {
        /// Error of the system.
        source: std::io::Error,
    },
    /// Registering the metrics failed.
    #[snafu(display("cannot define metrics: {source}"))]
    Metrics {
        /// Error of the `prometheus` library.
        source: prometheus::Error,
    },
}

/// Runs one instance with the settings at `path` until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the settings are invalid, an address cannot be bound or the process setup fails.
pub(crate) fn run_gateway(path: &str, level: &str) -> Result<(), GatewayError> {
    let logs = LogBuffer::default();
    start_logs(&logs, level);
    logs.start_writer().context(SetUpSnafu)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SetUpSnafu)?;
    let result = LocalSet::new().block_on(&runtime, serve(path));
    if let Err(error) = &result {
        tracing::error!(event = "start_failed", %error);
    }
    logs.flush(&mut std::io::stdout()).context(SetUpSnafu)?;
    result
}

fn start_logs(logs: &LogBuffer, level: &str) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(logs.clone())
        .try_init();
    if let Err(error) = started {
        eprintln!("cornelstand: logging is already initialised: {error}");
    }
}

async fn serve(path: &str) -> Result<(), GatewayError> {
    let settings = read_settings(path).context(GatewaySettingsSnafu)?;
    let metrics = GatewayMetrics::new().context(MetricsSnafu)?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX);
    tracing::info!(
        event = "started", instance = %settings.instance, centre = %settings.centre,
        callers = %settings.callers, store = %settings.store, incarnation,
        version = env!("CARGO_PKG_VERSION"),
    );
    let mut term = signal(SignalKind::terminate()).context(SetUpSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SetUpSnafu)?;
    let hangup = signal(SignalKind::hangup()).context(SetUpSnafu)?;
    let gate = Rc::new(Gate::new(settings, metrics, incarnation));
    let peers = start(&gate).await?;
    tokio::task::spawn_local(reload(gate.clone(), path.to_owned(), hangup));
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&gate, &peers).await;
    Ok(())
}

async fn start(gate: &Rc<Gate>) -> Result<Rc<UdpSocket>, GatewayError> {
    let settings = gate.settings.borrow().clone();
    let peer = peer_address(&settings);
    let peers = UdpSocket::bind(peer).await;
    let peers = Rc::new(peers.context(BindSnafu { address: peer })?);
    let readiness = bind(settings.readiness).await?;
    let callers = bind(settings.callers).await?;
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    spawn(Box::pin(admin::accept(
        gate.clone(),
        readiness,
        Role::Readiness,
    )));
    spawn(Box::pin(connection::accept(gate.clone(), callers)));
    let metrics = SocketAddr::new(settings.callers.ip(), METRICS_PORT);
    for address in settings.control.into_iter().chain([metrics]) {
        match bind(address).await {
            Ok(listener) => {
                spawn(Box::pin(admin::accept(
                    gate.clone(),
                    listener,
                    Role::Control,
                )));
            }
            // Callers can be served without the control listener.
            Err(error) => tracing::warn!(event = "control_unavailable", %error),
        }
    }
    match bind(peer).await {
        Ok(listener) => {
            spawn(Box::pin(handover::accept(gate.clone(), listener)));
        }
        // Callers can be served without the neighbours' connections.
        Err(error) => tracing::warn!(event = "handover_unavailable", %error),
    }
    spawn(Box::pin(handover::watch(gate.clone())));
    for followed in [
        Followed::Configuration,
        Followed::Endpoints,
        Followed::Evacuations,
        Followed::Rollouts,
    ] {
        spawn(Box::pin(follow(gate.clone(), followed)));
    }
    spawn(Box::pin(follow_instances(gate.clone())));
    spawn(Box::pin(follow_peers(gate.clone())));
    spawn(Box::pin(peers_link::send_heartbeats(
        gate.clone(),
        peers.clone(),
    )));
    spawn(Box::pin(peers_link::send_digests(
        gate.clone(),
        peers.clone(),
    )));
    spawn(Box::pin(peers_link::send_alarms(
        gate.clone(),
        peers.clone(),
    )));
    spawn(Box::pin(peers_link::receive_messages(
        gate.clone(),
        peers.clone(),
    )));
    spawn(Box::pin(tick(gate.clone())));
    spawn(Box::pin(expire_state(gate.clone())));
    spawn(Box::pin(judge_rollouts(gate.clone())));
    spawn(Box::pin(write_statuses(gate.clone())));
    Ok(peers)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(address).await;
    listener.context(BindSnafu { address })
}

/// Serves the queue as load estimates fall with time, and measures timer lag and the request rate.
async fn tick(gate: Rc<Gate>) {
    let mut before = gate.metrics.requests.get();
    let mut ticks = 0_u32;
    loop {
        let due = Instant::now() + TICK_PERIOD;
        sleep(TICK_PERIOD).await;
        gate.last_tick.set(Some(due));
        let lag = due.elapsed().as_secs_f64();
        gate.metrics.lag.observe(lag);
        gate.pauses.tick(boot_time());
        gate.lag
            .set(gate.lag.get() + LAG_WEIGHT * (lag * 1e3 - gate.lag.get()));
        let requests = gate.metrics.requests.get();
        let count = usize::try_from(requests - before).unwrap_or(usize::MAX);
        let rate = to_f64(count) / (TICK_PERIOD.as_secs_f64() + lag);
        gate.activity
            .set(gate.activity.get() + RATE_WEIGHT * (rate - gate.activity.get()));
        before = requests;
        ticks += 1;
        if gate.queue_pass_due.get() || ticks.is_multiple_of(QUEUE_TICKS) {
            gate.serve_queue();
        }
    }
}

async fn expire_state(gate: Rc<Gate>) {
    let mut ticks = interval(EXPIRY_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut before = gate.now();
    loop {
        ticks.tick().await;
        let now = gate.now();
        let mut state = gate.state.borrow_mut();
        let expired = state.directory.expire(now);
        state.endpoints.remove_expired(now);
        state.pool.expire();
        state.suspects.remove_expired(now);
        state.recent_requests.remove_expired(now);
        for peer in state.peers.newly_silent(before, now) {
            tracing::warn!(event = "peer_lost", %peer);
        }
        state.peers.remove_silent(now);
        drop(state);
        gate.apply_peer_state();
        gate.apply(expired);
        gate.update_load();
        before = now;
    }
}

/// Applies changes of the settings file, after a SIGHUP at once.
async fn reload(gate: Rc<Gate>, path: String, mut hangup: Signal) {
    loop {
        let is_asked = timeout(RELOAD_PERIOD, hangup.recv()).await.is_ok();
        match read_settings(&path) {
            Ok(settings) => {
                let has_changed = *gate.settings.borrow() != settings;
                if is_asked || has_changed {
                    tracing::info!(event = "reloaded", is_asked, has_changed);
                }
                gate.set_rollout_bounds(settings.rollout);
                gate.settings.replace(settings);
            }
            Err(error) => tracing::error!(event = "reload_failed", %error, "settings unchanged"),
        }
    }
}

/// Shuts down; open responses may complete within the grace period.
async fn stop(gate: &Rc<Gate>, peers: &UdpSocket) {
    let now = Instant::now();
    let signalled = gate.last_tick.get().unwrap_or(now).min(now);
    gate.stop.begin_at(signalled, gate.settings.borrow().grace);
    tracing::info!(
        event = "stopping",
        active = gate.active.get(),
        late_ms = now.duration_since(signalled).as_millis(),
        grace_ms = gate.stop.left_ms()
    );
    peers_link::send_heartbeat(gate, peers);
    let gate_clone = gate.clone();
    tokio::task::spawn_local(async move {
        if timeout(DEREGISTER_TIMEOUT, deregister(&gate_clone))
            .await
            .is_err()
        {
            tracing::info!(event = "deregistration_late");
        }
    });
    drain(gate).await;
}
