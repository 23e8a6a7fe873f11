//! The model engine over HTTP.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tracing::info;
use warp::Filter;

use crate::answer;
use crate::batch::{Answer, Batch, Pace, PrefixCache, Progress};
use crate::chat::{self, ChatRequest};
use crate::host::{Host, StartError, boxed};
use crate::lines::Lines;
use crate::load::{Bearing, LoadReport, Meter, Overload, Reports};
use crate::wire::{self, Call};

/// Part of the prefill that a cached prefix leaves.
const CACHED_PART: u32 = 4;
/// Most delay of steps that is made up for.
const CATCH_UP: Duration = Duration::from_millis(200);

/// Settings of an [`Engine`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Requests at once that it bears.
    pub bearing: Bearing,
    /// What it does beyond that.
    pub overload: Overload,
    /// Time between tokens.
    pub pace: Pace,
    /// Mean tokens of an answer when the request states none.
    pub tokens: u32,
    /// Milliseconds by which load reports lag.
    pub lag: u64,
    /// Prompt prefixes that it caches.
    pub prefixes: usize,
    /// Whether it starts warm.
    pub is_warm: bool,
    /// Faults from the start.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            bearing: Bearing::default(),
            overload: Overload::default(),
            pace: Pace::default(),
            tokens: 60,
            lag: 1_000,
            prefixes: 64,
            is_warm: false,
            faults: EngineFaults::default(),
        }
    }
}

/// Faults of an engine, switchable while it runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor on the time between tokens.
    pub slow: f64,
    /// A text that crashes the engine when it stands in a prompt that runs.
    pub poison: Option<String>,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            poison: None,
            fencing: true,
        }
    }
}

/// What an engine has seen.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Boot identity.
    pub boot: u64,
    /// Requests that run now.
    pub running: u32,
    /// Requests at once that it bears now.
    pub bears: u32,
    /// Most requests that ran at once.
    pub most: u32,
    /// Requests that came beyond what it bore.
    pub above: u64,
    /// Requests that ran, repeated ones too.
    pub runs: u64,
    /// Requests that ran under an identity seen before.
    pub repeats: u64,
    /// Requests answered whole.
    pub answers: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Requests refused with 503.
    pub refused: u64,
    /// Requests cut by a crash.
    pub cut: u64,
    /// Crashes, whatever their cause.
    pub crashes: u64,
    /// Tokens made.
    pub tokens: u64,
    /// Slot time used, in microseconds.
    pub busy: u64,
    /// Slot time borne, in microseconds.
    pub borne: u64,
    /// Microseconds from the last start until it was warm, once it is.
    pub ramp: Option<u64>,
    /// Prompts whose prefix was cached.
    pub hits: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders carried out although their fencing number was old.
    pub stale: u64,
}

/// Fake of a model engine.
#[derive(Debug)]
pub struct Engine {
    inner: Arc<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) host: Host,
    pub(crate) settings: EngineSettings,
    pub(crate) core: Mutex<Core>,
    pub(crate) lines: Lines,
    pub(crate) arrived: Notify,
    /// Held while the engine starts again.
    pub(crate) restart: Mutex<()>,
}

#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) faults: EngineFaults,
    pub(crate) batch: Batch,
    pub(crate) cache: PrefixCache,
    pub(crate) reports: Reports,
    pub(crate) meter: Meter,
    pub(crate) counts: EngineCounts,
    /// Answers since the start.
    pub(crate) answers: u64,
    pub(crate) start: Instant,
    pub(crate) seen: HashMap<String, u64>,
    pub(crate) fence: u64,
}

impl Engine {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// If the listener or its thread cannot be set up.
    pub fn start(settings: EngineSettings) -> Result<Self, StartError> {
        let host = Host::bind(settings.listen)?;
        let now = Instant::now();
        let boot = u64::from(host.address().port()) << 16;
        let core = Core {
            faults: settings.faults.clone(),
            batch: Batch::default(),
            cache: PrefixCache::default(),
            reports: Reports::default(),
            meter: Meter::start(now),
            counts: EngineCounts {
                boot,
                ..EngineCounts::default()
            },
            answers: if settings.is_warm {
                u64::from(settings.bearing.ramp)
            } else {
                0
            },
            start: now,
            seen: HashMap::new(),
            fence: 0,
        };
        let inner = Arc::new(Inner {
            host,
            settings,
            core: Mutex::new(core),
            lines: Lines::default(),
            arrived: Notify::new(),
            restart: Mutex::new(()),
        });
        inner.serve(boot)?;
        info!(address = %inner.host.address(), "engine started");
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
    pub fn set_faults(&self, faults: EngineFaults) {
        info!(?faults, "faults of an engine set");
        self.inner.lock().faults = faults;
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.inner.lock().faults.clone()
    }

    /// What it has seen so far.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.inner.counts()
    }

    /// Runs of an attempt identity.
    #[must_use]
    pub fn runs(&self, request: &str) -> u64 {
        let core = self.inner.lock();
        core.seen.get(request).copied().unwrap_or_default()
    }

    /// Tokens a second that it gives when warm and full.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let settings = &self.inner.settings;
        settings.pace.rate(settings.bearing.warm)
    }

    /// Stops it for good, cutting what runs.
    pub fn stop(&self) {
        self.inner.host.stop();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Core {
    pub(crate) fn bears(&self, bearing: &Bearing) -> u32 {
        bearing.after(self.answers)
    }

    /// Brings the meter and the load report up to date; call before and after each change.
    pub(crate) fn record(&mut self, settings: &EngineSettings) {
        let now = Instant::now();
        let bears = self.bears(&settings.bearing);
        let running = self.batch.running();
        self.meter.advance(now, running, bears);
        self.counts.most = self.counts.most.max(running);
        let report = LoadReport {
            boot: self.counts.boot,
            running,
            waiting: self.batch.waiting(now),
            answers: self.answers,
        };
        let lag = Duration::from_millis(settings.lag);
        self.reports.record(now, lag, report);
    }

    pub(crate) fn count_answers(&mut self, ended: u64, settings: &EngineSettings) {
        let ramp = u64::from(settings.bearing.ramp);
        let was_cold = self.answers < ramp;
        self.answers += ended;
        self.counts.answers += ended;
        if was_cold && self.answers >= ramp {
            let span = self.start.elapsed();
            self.counts.ramp = u64::try_from(span.as_micros()).ok();
        }
    }
}

/// What becomes of a request on arrival.
pub(crate) enum Admission {
    Started(Arc<Answer>),
    Refused,
    /// The engine falls over.
    Fallen,
    /// It came on a connection of an earlier start.
    Gone,
}

impl Inner {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn serve(self: &Arc<Self>, boot: u64) -> Result<(), StartError> {
        let inner = self.clone();
        let filter = wire::calls().then(move |call: Call| {
            let inner = inner.clone();
            async move {
                let request = call.header(wire::REQUEST).map(str::to_owned);
                wire::identified(inner.answer(boot, call).await, boot, request.as_deref())
            }
        });
        let inner = self.clone();
        self.host
            .serve(boxed(filter), async move { inner.run(boot).await })
    }

    pub(crate) fn crash(self: &Arc<Self>, boot: u64) {
        let _guard = self.restart.lock().unwrap_or_else(PoisonError::into_inner);
        let next = {
            let mut core = self.lock();
            if core.counts.boot != boot {
                return;
            }
            core.record(&self.settings);
            core.counts.cut += u64::from(core.batch.running());
            core.counts.crashes += 1;
            core.counts.boot += 1;
            core.counts.ramp = None;
            core.answers = 0;
            core.start = Instant::now();
            core.batch = Batch::default();
            core.cache = PrefixCache::default();
            core.record(&self.settings);
            core.counts.boot
        };
        self.lines.clear();
        info!(address = %self.host.address(), boot = next, "engine crashed and starts cold");
        if let Err(error) = self.serve(next) {
            tracing::error!(%error, "engine cannot start again");
        }
    }

    /// Crashes from a task of the runtime that the crash takes away.
    pub(crate) fn fall(self: &Arc<Self>, boot: u64) {
        let inner = self.clone();
        std::thread::spawn(move || inner.crash(boot));
    }

    pub(crate) fn counts(&self) -> EngineCounts {
        let mut core = self.lock();
        core.record(&self.settings);
        EngineCounts {
            running: core.batch.running(),
            bears: core.bears(&self.settings.bearing),
            busy: core.meter.busy,
            borne: core.meter.borne,
            ..core.counts.clone()
        }
    }

    /// Makes tokens until the engine starts again.
    async fn run(self: Arc<Self>, boot: u64) {
        let mut next = tokio::time::Instant::now();
        loop {
            let (running, slow) = {
                let core = self.lock();
                if core.counts.boot != boot {
                    return;
                }
                (core.batch.running(), core.faults.slow)
            };
            let now = tokio::time::Instant::now();
            if running == 0 {
                self.arrived.notified().await;
                next = tokio::time::Instant::now();
                continue;
            }
            next = next.max(now - CATCH_UP) + self.settings.pace.interval(running).mul_f64(slow);
            tokio::time::sleep_until(next).await;
            if self.step(boot) {
                self.fall(boot);
                return;
            }
        }
    }

    /// Makes one step and tells whether it is the last one before a crash.
    pub(crate) fn step(&self, boot: u64) -> bool {
        let mut core = self.lock();
        if core.counts.boot != boot {
            return false;
        }
        core.record(&self.settings);
        let step = core.batch.step(Instant::now());
        core.counts.tokens += step.tokens;
        core.count_answers(step.ended, &self.settings);
        core.record(&self.settings);
        step.is_fatal
    }

    pub(crate) fn admit(&self, boot: u64, id: &str, request: &ChatRequest) -> Admission {
        let prompt = request.prompt();
        let mut core = self.lock();
        if core.counts.boot != boot {
            return Admission::Gone;
        }
        core.record(&self.settings);
        if core.batch.running() >= core.bears(&self.settings.bearing) {
            core.counts.above += 1;
            return match self.settings.overload {
                Overload::Fall => Admission::Fallen,
                Overload::Refuse => {
                    core.counts.refused += 1;
                    Admission::Refused
                }
            };
        }
        core.counts.runs += 1;
        let seen = core.seen.entry(id.to_owned()).or_default();
        *seen += 1;
        if *seen > 1 {
            core.counts.repeats += 1;
        }
        let answer = Arc::new(self.plan(request, &prompt));
        let ready = Instant::now() + self.prefill(&mut core, &prompt);
        let poison = core.faults.poison.as_deref();
        let is_poison = poison.is_some_and(|p| prompt.contains(p));
        core.batch.start(id, answer.clone(), ready, is_poison);
        core.record(&self.settings);
        Admission::Started(answer)
    }

    pub(crate) fn plan(&self, request: &ChatRequest, prompt: &str) -> Answer {
        let digest = answer::digest(prompt);
        let drawn = || answer::length(digest, self.settings.tokens);
        Answer {
            digest,
            tokens: request.max_tokens.map_or_else(drawn, |n| n.max(1)),
            prompt: u64::try_from(prompt.len()).unwrap_or(u64::MAX),
            model: request.model.clone(),
            progress: watch::Sender::new(Progress::default()),
        }
    }

    pub(crate) fn prefill(&self, core: &mut Core, prompt: &str) -> Duration {
        let bytes = u64::try_from(prompt.len()).unwrap_or(u64::MAX);
        let whole = Duration::from_micros(self.settings.pace.prefill.saturating_mul(bytes));
        if core
            .cache
            .touch(chat::prefix(prompt), self.settings.prefixes)
        {
            core.counts.hits += 1;
            return whole / CACHED_PART;
        }
        whole
    }
}
