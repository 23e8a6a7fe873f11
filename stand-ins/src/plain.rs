//! A plain service over HTTP, which counts every run of every request.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tracing::info;
use warp::Filter;
use warp::reply::Response;

use crate::answer;
use crate::host::{Host, StartError, boxed};
use crate::lines::Lines;
use crate::load::{Bearing, LoadReport, Meter, Overload, Reports};
use crate::wire::{self, Call};

/// Header of calls that may not be repeated.
const KEY: &str = "idempotency-key";

/// Settings of a [`PlainService`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Calls at once that it bears.
    pub bearing: Bearing,
    /// What it does beyond that.
    pub overload: Overload,
    /// Milliseconds that a call takes.
    pub call: u64,
    /// Milliseconds by which load reports lag.
    pub lag: u64,
    /// Whether it starts warm.
    pub is_warm: bool,
    /// Faults from the start.
    pub faults: PlainFaults,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            bearing: Bearing {
                cold: 4,
                warm: 16,
                ramp: 40,
            },
            overload: Overload::Refuse,
            call: 20,
            lag: 1_000,
            is_warm: false,
            faults: PlainFaults::default(),
        }
    }
}

/// Faults of a plain service, switchable while it runs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Factor on the time of a call.
    pub slow: f64,
    /// Number of coming calls that run and lose their answer.
    pub lost: u32,
}

impl Default for PlainFaults {
    fn default() -> Self {
        Self { slow: 1.0, lost: 0 }
    }
}

/// What a plain service has seen.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainCounts {
    /// Boot identity.
    pub boot: u64,
    /// Calls that run now.
    pub running: u32,
    /// Calls at once that it bears now.
    pub bears: u32,
    /// Most calls that ran at once.
    pub most: u32,
    /// Calls that came beyond what it bore.
    pub above: u64,
    /// Calls that ran.
    pub runs: u64,
    /// Calls answered.
    pub answers: u64,
    /// Calls refused with 503.
    pub refused: u64,
    /// Calls cut by a crash.
    pub cut: u64,
    /// Crashes, whatever their cause.
    pub crashes: u64,
    /// Slot time used, in microseconds.
    pub busy: u64,
    /// Slot time borne, in microseconds.
    pub borne: u64,
}

/// Body of `GET /runs`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// Runs by attempt identity.
    pub requests: BTreeMap<String, u64>,
    /// Runs by idempotency key.
    pub keys: BTreeMap<String, u64>,
}

impl Runs {
    /// Idempotency keys that ran more than once.
    #[must_use]
    pub fn repeated(&self) -> usize {
        self.keys.values().filter(|&&n| n > 1).count()
    }
}

/// Fake of a plain service.
#[derive(Debug)]
pub struct PlainService {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    host: Host,
    settings: PlainSettings,
    core: Mutex<Core>,
    lines: Lines,
    /// Held while the service starts again.
    restart: Mutex<()>,
}

#[derive(Debug)]
struct Core {
    faults: PlainFaults,
    counts: PlainCounts,
    runs: Runs,
    reports: Reports,
    meter: Meter,
    /// Answers since the start.
    answers: u64,
}

/// Answer to a call: what the caller can check it against.
#[derive(Serialize)]
struct Done<'a> {
    path: &'a str,
    digest: String,
}

impl PlainService {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// If the listener or its thread cannot be set up.
    pub fn start(settings: PlainSettings) -> Result<Self, StartError> {
        let host = Host::bind(settings.listen)?;
        let boot = u64::from(host.address().port()) << 16;
        let core = Core {
            faults: settings.faults,
            counts: PlainCounts {
                boot,
                ..PlainCounts::default()
            },
            runs: Runs::default(),
            reports: Reports::default(),
            meter: Meter::start(Instant::now()),
            answers: if settings.is_warm {
                u64::from(settings.bearing.ramp)
            } else {
                0
            },
        };
        let inner = Arc::new(Inner {
            host,
            settings,
            core: Mutex::new(core),
            lines: Lines::default(),
            restart: Mutex::new(()),
        });
        inner.serve(boot)?;
        info!(address = %inner.host.address(), "plain service started");
        Ok(Self { inner })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.host.address()
    }

    /// Crashes it: all connections are cut and it starts again cold with a new boot identity.
    pub fn crash(&self) {
        let boot = self.inner.lock().counts.boot;
        self.inner.crash(boot);
    }

    /// Makes all connections opened so far go silent for good. What runs on them runs on.
    pub fn silence(&self) {
        self.inner.lines.silence();
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlainFaults) {
        info!(?faults, "faults of a plain service set");
        self.inner.lock().faults = faults;
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> PlainFaults {
        self.inner.lock().faults
    }

    /// What it has seen so far.
    #[must_use]
    pub fn counts(&self) -> PlainCounts {
        self.inner.counts()
    }

    /// Runs of every identity and key.
    #[must_use]
    pub fn runs(&self) -> Runs {
        self.inner.lock().runs.clone()
    }

    /// Runs of an attempt identity.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> u64 {
        let core = self.inner.lock();
        core.runs.requests.get(request).copied().unwrap_or_default()
    }

    /// Stops it for good, cutting what runs.
    pub fn stop(&self) {
        self.inner.host.stop();
    }
}

impl Drop for PlainService {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Digest in the answer to a call with this method, path and body.
#[must_use]
pub fn call_digest(method: &str, path: &str, body: &str) -> String {
    format!(
        "{:016x}",
        answer::digest(&format!("{method} {path}\n{body}"))
    )
}

impl Core {
    fn record(&mut self, settings: &PlainSettings) {
        let now = Instant::now();
        let bears = settings.bearing.after(self.answers);
        let running = self.counts.running;
        self.meter.advance(now, running, bears);
        self.counts.most = self.counts.most.max(running);
        self.counts.bears = bears;
        let report = LoadReport {
            boot: self.counts.boot,
            running,
            waiting: 0,
            answers: self.answers,
        };
        let lag = Duration::from_millis(settings.lag);
        self.reports.record(now, lag, report);
    }

    fn count_run(&mut self, call: &Call) {
        self.counts.runs += 1;
        self.counts.running += 1;
        if let Some(id) = call.header(wire::REQUEST) {
            *self.runs.requests.entry(id.to_owned()).or_default() += 1;
        }
        if let Some(key) = call.header(KEY) {
            *self.runs.keys.entry(key.to_owned()).or_default() += 1;
        }
    }
}

/// What becomes of a call on arrival.
enum Admission {
    Started(f64),
    Refused,
    /// The service falls over.
    Fallen,
    /// It came on a connection of an earlier start.
    Gone,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(self: &Arc<Self>, boot: u64) -> Result<(), StartError> {
        let inner = self.clone();
        let filter = wire::calls().then(move |call: Call| {
            let inner = inner.clone();
            async move {
                let request = call.header(wire::REQUEST).map(str::to_owned);
                wire::identified(inner.answer(boot, call).await, boot, request.as_deref())
            }
        });
        self.host.serve(boxed(filter), std::future::ready(()))
    }

    fn crash(self: &Arc<Self>, boot: u64) {
        let _guard = self.restart.lock().unwrap_or_else(PoisonError::into_inner);
        let next = {
            let mut core = self.lock();
            if core.counts.boot != boot {
                return;
            }
            core.record(&self.settings);
            core.counts.cut += u64::from(core.counts.running);
            core.counts.crashes += 1;
            core.counts.boot += 1;
            core.counts.running = 0;
            core.answers = 0;
            core.record(&self.settings);
            core.counts.boot
        };
        self.lines.clear();
        info!(address = %self.host.address(), boot = next, "plain service crashed and starts cold");
        if let Err(error) = self.serve(next) {
            tracing::error!(%error, "plain service cannot start again");
        }
    }

    /// Crashes from a task of the runtime that the crash takes away.
    fn fall(self: &Arc<Self>, boot: u64) {
        let inner = self.clone();
        std::thread::spawn(move || inner.crash(boot));
    }

    fn counts(&self) -> PlainCounts {
        let mut core = self.lock();
        core.record(&self.settings);
        PlainCounts {
            busy: core.meter.busy,
            borne: core.meter.borne,
            ..core.counts.clone()
        }
    }

    async fn answer(self: &Arc<Self>, boot: u64, call: Call) -> Response {
        self.lines.pass(call.peer).await;
        match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["load"]) => self.load(),
            (&Method::GET, ["runs"]) => wire::json(&self.lock().runs),
            (_, ["stand-in", what]) => self.control(&call, what),
            _ => self.run(boot, call).await,
        }
    }

    async fn run(self: &Arc<Self>, boot: u64, call: Call) -> Response {
        let slow = match self.admit(boot, &call) {
            Admission::Started(slow) => slow,
            Admission::Refused => {
                return wire::error(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
            }
            Admission::Fallen => {
                self.fall(boot);
                return std::future::pending().await;
            }
            Admission::Gone => return std::future::pending().await,
        };
        let inner = self.clone();
        // The work goes on when the caller's connection ends.
        let work = tokio::spawn(async move {
            let span = Duration::from_millis(inner.settings.call).mul_f64(slow);
            tokio::time::sleep(span).await;
            inner.finish(boot)
        });
        let is_lost = work.await.unwrap_or(true);
        self.lines.hold(call.peer).await;
        if is_lost {
            return wire::dropped();
        }
        let body = String::from_utf8_lossy(&call.body);
        let digest = call_digest(call.method.as_str(), &call.path, &body);
        wire::json(&Done {
            path: &call.path,
            digest,
        })
    }

    fn admit(&self, boot: u64, call: &Call) -> Admission {
        let mut core = self.lock();
        if core.counts.boot != boot {
            return Admission::Gone;
        }
        core.record(&self.settings);
        if core.counts.running >= core.counts.bears {
            core.counts.above += 1;
            return match self.settings.overload {
                Overload::Fall => Admission::Fallen,
                Overload::Refuse => {
                    core.counts.refused += 1;
                    Admission::Refused
                }
            };
        }
        core.count_run(call);
        core.record(&self.settings);
        Admission::Started(core.faults.slow)
    }

    /// Ends a call and tells whether its answer gets lost.
    fn finish(&self, boot: u64) -> bool {
        let mut core = self.lock();
        if core.counts.boot != boot {
            return true;
        }
        core.record(&self.settings);
        core.counts.running -= 1;
        core.counts.answers += 1;
        core.answers += 1;
        core.record(&self.settings);
        let is_lost = core.faults.lost > 0;
        core.faults.lost = core.faults.lost.saturating_sub(1);
        is_lost
    }

    fn load(&self) -> Response {
        let mut core = self.lock();
        core.record(&self.settings);
        let lag = Duration::from_millis(self.settings.lag);
        wire::json(&core.reports.at(Instant::now(), lag))
    }

    fn control(self: &Arc<Self>, call: &Call, what: &str) -> Response {
        match (&call.method, what) {
            (&Method::GET, "counts") => return wire::json(&self.counts()),
            (&Method::GET, "faults") => return wire::json(&self.lock().faults),
            (&Method::POST, "silence") => self.lines.silence(),
            (&Method::POST, "crash") => {
                let boot = self.lock().counts.boot;
                self.fall(boot);
            }
            (&Method::PUT, "faults") => match call.json() {
                Some(faults) => self.lock().faults = faults,
                None => return wire::error(StatusCode::BAD_REQUEST, "not a service's faults"),
            },
            _ => return wire::error(StatusCode::NOT_FOUND, "no such control"),
        }
        wire::status(StatusCode::NO_CONTENT)
    }
}
