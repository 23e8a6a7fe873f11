//! State shared by all requests of one entry.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{sleep, timeout};

use crate::auth::KeyIndex;
use crate::claims::ClaimStore;
use crate::closing::Closing;
use crate::config::Config;
use crate::containment::SpreadCall;
use crate::dispatch::Dispatch;
use crate::entry::{EntryLimits, EntryParts};
use crate::entry_metrics::EntryMetrics;
use crate::ledger::Ledger;
use crate::long_answers::LongAnswers;
use crate::moment::Clock;
use crate::name::{AttemptId, BootId, EndpointName, InstanceName};
use crate::pause::{PauseWatch, TICK};
use crate::retry::RetryBudgets;
use crate::suspect::Suspects;
use crate::timeline::{Timeline, Topic};
use crate::upstream::Upstreams;

/// Granularity of buffer accounting, in bytes.
const BUFFER_UNIT: usize = 1024;

/// State shared by all requests of an entry.
pub(crate) struct Core {
    pub(crate) name: InstanceName,
    pub(crate) dispatch: Dispatch,
    pub(crate) claims: ClaimStore,
    pub(crate) spread: SpreadCall,
    pub(crate) clock: Clock,
    pub(crate) timeline: Timeline,
    pub(crate) metrics: EntryMetrics,
    pub(crate) limits: EntryLimits,
    pub(crate) ledger: Ledger,
    pub(crate) upstreams: Upstreams,
    pub(crate) pauses: PauseWatch,
    pub(crate) closing: Closing,
    pub(crate) long_answers: LongAnswers,
    config: watch::Receiver<Arc<Config>>,
    view: Mutex<View>,
    budgets: Mutex<RetryBudgets>,
    suspects: Mutex<Suspects>,
    trials: Mutex<HashSet<EndpointName>>,
    boots: Mutex<HashMap<EndpointName, BootId>>,
    buffers: Arc<Semaphore>,
    calls: watch::Sender<usize>,
    draining: AtomicBool,
}

/// The configuration and the key index derived from it.
#[derive(Clone, Default)]
pub(crate) struct View {
    pub(crate) config: Arc<Config>,
    pub(crate) keys: Arc<KeyIndex>,
}

impl Core {
    pub(crate) fn new(parts: EntryParts) -> Self {
        let permits = parts.limits.buffer_bytes / BUFFER_UNIT;
        Self {
            name: parts.name,
            dispatch: parts.dispatch,
            claims: parts.claims,
            spread: parts.spread,
            clock: parts.clock,
            timeline: parts.timeline,
            metrics: parts.metrics,
            limits: parts.limits,
            ledger: Ledger::default(),
            upstreams: Upstreams::new(),
            pauses: PauseWatch::new(parts.clock.now()),
            closing: Closing::default(),
            long_answers: LongAnswers::new(parts.limits.connections),
            config: parts.config,
            view: Mutex::default(),
            budgets: Mutex::default(),
            suspects: Mutex::default(),
            trials: Mutex::default(),
            boots: Mutex::default(),
            buffers: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
            calls: watch::Sender::new(0),
            draining: AtomicBool::new(false),
        }
    }

    /// Detects pauses of the process; never returns.
    pub(crate) async fn watch_pauses(&self) {
        self.pauses.tick(self.clock.now());
        loop {
            sleep(TICK).await;
            if self.pauses.tick(self.clock.now()) {
                let name = self.name.as_str();
                self.metrics.pauses.inc();
                self.timeline.record(Topic::Process, "paused", name, None);
            }
        }
    }

    /// Refuses new requests from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let name = self.name.as_str();
        self.timeline.record(Topic::Process, "draining", name, None);
    }

    /// Returns whether new requests are refused.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the number of open requests.
    pub(crate) fn open_calls(&self) -> usize {
        *self.calls.borrow()
    }

    /// Waits until no request is open.
    pub(crate) async fn idle(&self) {
        let mut calls = self.calls.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = calls.wait_for(|&open| open == 0).await;
    }

    /// Reserves buffer space for a body of `bytes`, or returns `None` after `wait`.
    pub(crate) async fn room(&self, bytes: usize, wait: Duration) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes.div_ceil(BUFFER_UNIT)).ok()?;
        let permit = self.buffers.clone().acquire_many_owned(permits);
        timeout(wait, permit).await.ok()?.ok()
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.config.borrow().clone()
    }

    /// Counts a request by its result.
    pub(crate) fn count(&self, result: &str) {
        let requests = &self.metrics.requests;
        requests.with_label_values(&[result]).inc();
    }

    /// Locks the retry budgets.
    pub(crate) fn budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.budgets)
    }

    /// Locks the suspect requests.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    /// Locks the set of endpoints that run a suspect request of this entry.
    pub(crate) fn trials(&self) -> MutexGuard<'_, HashSet<EndpointName>> {
        lock(&self.trials)
    }

    /// Returns the last boot identity reported by an endpoint.
    pub(crate) fn boot(&self, endpoint: &EndpointName) -> Option<BootId> {
        lock(&self.boots).get(endpoint).copied()
    }

    /// Stores the boot identity reported by an endpoint.
    pub(crate) fn note_boot(&self, endpoint: &EndpointName, boot: BootId) {
        let mut boots = lock(&self.boots);
        if boots.get(endpoint) != Some(&boot) {
            boots.insert(endpoint.clone(), boot);
        }
    }

    /// Replaces the connection pool of `address`.
    pub(crate) fn replace_pool(&self, address: SocketAddr) {
        self.metrics.pools_replaced.inc();
        self.upstreams.replace(address);
    }

    /// Cancels an attempt at a model engine in the background.
    pub(crate) fn cancel(self: &Arc<Self>, address: SocketAddr, attempt: AttemptId) {
        let core = self.clone();
        tokio::spawn(async move { core.upstreams.cancel(address, attempt).await });
    }

    /// Returns the configuration in force with its key index.
    pub(crate) fn view(&self) -> View {
        let config = self.config();
        let mut view = lock(&self.view);
        if !Arc::ptr_eq(&view.config, &config) {
            self.prune(&config);
            view.keys = Arc::new(KeyIndex::new(&config));
            view.config = config;
        }
        view.clone()
    }

    /// Drops state of endpoints, accounts and services that `config` does not have.
    fn prune(&self, config: &Config) {
        let known = |address| config.endpoints.values().any(|e| e.address == address);
        self.upstreams.retain(known);
        lock(&self.boots).retain(|name, _| config.endpoints.contains_key(name));
        self.budgets().retain(|account, service| {
            config.accounts.contains_key(account) && config.services.contains_key(service)
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request as open until dropped.
pub(crate) struct OpenRequest(Arc<Core>);

impl OpenRequest {
    pub(crate) fn new(core: Arc<Core>) -> Self {
        core.calls.send_modify(|n| *n += 1);
        core.metrics.open.inc();
        Self(core)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.calls.send_modify(|n| *n -= 1);
        self.0.metrics.open.dec();
    }
}
