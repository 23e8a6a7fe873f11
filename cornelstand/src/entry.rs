//! The entry: callers' requests from their connection to the endpoint's.
//!
//! A request is authenticated, classified and read here, and then carried out by a task of its
//! own (see `call`), which notices when the caller goes away. The handler waits for the head of
//! the answer and passes the body on as it comes.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::Request;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::hyper::body::Incoming;
use warp::reply::Response;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::{NotRun, Unsent, Verdict};
use crate::auth::KeyIndex;
use crate::body::{BodyError, BodyLimits, CallBody};
use crate::call::Call;
use crate::caller::{Answer, caller};
use crate::config::{Config, Repeat};
use crate::dispatch::{Census, Dispatch};
use crate::entry_metrics::EntryMetrics;
use crate::headers::{Wishes, bearer_key, for_endpoint};
use crate::ledger::Ledger;
use crate::listener::{self, ConnectionLimits};
use crate::moment::Clock;
use crate::name::{AccountName, AttemptId, CellId, InstanceName, RequestId};
use crate::path::split_path;
use crate::problem::{Problem, ProblemKind};
use crate::retry::RetryBudgets;
use crate::timeline::{Timeline, Topic};
use crate::upstream::Upstreams;

/// Wait that a refusal of a stopping instance suggests.
const DRAINING_RETRY: Duration = Duration::from_secs(1);
/// Bytes of a body that its prompt's prefix is taken from.
const PREFIX_BYTES: usize = 1024;

/// Limits of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Milliseconds until a request's header is complete, also on an unused connection.
    pub header_ms: u64,
    /// Most bytes of a request's header.
    pub header_bytes: usize,
    /// Milliseconds until the part of a body that is read ahead is there.
    pub body_ms: u64,
    /// Most bytes of a body.
    pub body_bytes: u64,
    /// Most bytes of a body that are kept for a further attempt.
    pub replay_bytes: usize,
    /// Milliseconds from sending to the first byte of the answer.
    pub first_ms: u64,
    /// Milliseconds between two pieces of a body or answer, on either side.
    pub idle_ms: u64,
    /// Milliseconds until the answer begins, where the caller states no deadline.
    pub deadline_ms: u64,
    /// Most connections of callers.
    pub connections: usize,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            header_ms: 20_000,
            header_bytes: 32 * 1024,
            body_ms: 30_000,
            body_bytes: 64 << 20,
            replay_bytes: 256 * 1024,
            first_ms: 60_000,
            idle_ms: 20_000,
            deadline_ms: 300_000,
            connections: 2_048,
        }
    }
}

impl EntryLimits {
    pub(crate) fn first(&self) -> Duration {
        Duration::from_millis(self.first_ms)
    }

    pub(crate) fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    fn connection(&self) -> ConnectionLimits {
        ConnectionLimits {
            header: Duration::from_millis(self.header_ms),
            bytes: self.header_bytes,
            count: self.connections,
        }
    }

    fn body(&self) -> BodyLimits {
        BodyLimits {
            idle: self.idle(),
            ahead: Duration::from_millis(self.body_ms),
            replay: self.replay_bytes,
            most: self.body_bytes,
        }
    }
}

/// What an entry is built from.
#[derive(Clone)]
pub struct EntryParts {
    /// The instance.
    pub name: InstanceName,
    /// Way to the dispatchers.
    pub dispatch: Dispatch,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Config>>,
    /// Source of moments.
    pub clock: Clock,
    /// Ring of events.
    pub timeline: Timeline,
    /// Counters.
    pub metrics: EntryMetrics,
    /// Limits.
    pub limits: EntryLimits,
}

/// Everything that the requests of an entry share.
pub(crate) struct Core {
    pub(crate) name: InstanceName,
    pub(crate) dispatch: Dispatch,
    pub(crate) clock: Clock,
    pub(crate) timeline: Timeline,
    pub(crate) metrics: EntryMetrics,
    pub(crate) limits: EntryLimits,
    pub(crate) ledger: Ledger,
    pub(crate) upstreams: Upstreams,
    config: watch::Receiver<Arc<Config>>,
    view: Mutex<View>,
    budgets: Mutex<RetryBudgets>,
    calls: AtomicUsize,
    draining: AtomicBool,
}

/// The configuration with what is derived from it.
#[derive(Clone, Default)]
struct View {
    config: Arc<Config>,
    keys: Arc<KeyIndex>,
}

/// The entry of one instance. Clones share their state.
#[derive(Clone)]
pub struct Entry {
    core: Arc<Core>,
}

impl Entry {
    /// An entry that serves nothing yet.
    #[must_use]
    pub fn new(parts: EntryParts) -> Self {
        let core = Core {
            name: parts.name,
            dispatch: parts.dispatch,
            clock: parts.clock,
            timeline: parts.timeline,
            metrics: parts.metrics,
            limits: parts.limits,
            ledger: Ledger::default(),
            upstreams: Upstreams::new(),
            config: parts.config,
            view: Mutex::default(),
            budgets: Mutex::default(),
            calls: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
        };
        Self {
            core: Arc::new(core),
        }
    }

    /// Serves callers at `listener` until `shutdown`, then ends the open exchanges.
    pub async fn serve(&self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        let core = self.core.clone();
        let handle = move |request| handle(core.clone(), request);
        let limits = self.core.limits.connection();
        let open = self.core.metrics.connections.clone();
        listener::serve(listener, limits, open, handle, shutdown).await;
    }

    /// Refuses new requests from now on. Those accepted go on.
    pub fn drain(&self) {
        self.core.draining.store(true, Ordering::Relaxed);
        let name = self.core.name.as_str();
        self.core
            .timeline
            .record(Topic::Process, "draining", name, None);
    }

    /// Number of requests accepted and not ended, waiting ones included.
    #[must_use]
    pub fn running(&self) -> usize {
        self.core.calls.load(Ordering::Relaxed)
    }

    /// Number of attempts granted and not ended.
    #[must_use]
    pub fn granted(&self) -> usize {
        self.core.ledger.len()
    }

    /// What the entry runs of `cell`.
    #[must_use]
    pub fn census(&self, cell: &CellId) -> Census {
        self.core.ledger.census(&self.core.name, cell)
    }
}

impl Core {
    /// The configuration in force.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.config.borrow().clone()
    }

    /// The retry budgets.
    pub(crate) fn budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the pool of connections to `address`.
    pub(crate) fn replace_pool(&self, address: SocketAddr) {
        self.metrics.pools.inc();
        self.upstreams.replace(address);
    }

    /// Tells a model engine that nobody waits for an attempt any more.
    pub(crate) fn cancel(self: &Arc<Self>, address: SocketAddr, attempt: AttemptId) {
        let core = self.clone();
        tokio::spawn(async move { core.upstreams.cancel(address, attempt).await });
    }

    /// The configuration in force with its keys.
    fn view(&self) -> View {
        let config = self.config();
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&view.config, &config) {
            self.forget(&config);
            view.keys = Arc::new(KeyIndex::new(&config));
            view.config = config;
        }
        view.clone()
    }

    /// Drops what belongs to endpoints and accounts that `config` does not have.
    fn forget(&self, config: &Config) {
        let known = |address| config.endpoints.values().any(|e| e.address == address);
        self.upstreams.retain(known);
        self.budgets().retain(|account, service| {
            config.accounts.contains_key(account) && config.services.contains_key(service)
        });
    }
}

/// Counts a request until it ends.
pub(crate) struct Open(Arc<Core>);

impl Open {
    fn new(core: Arc<Core>) -> Self {
        core.calls.fetch_add(1, Ordering::Relaxed);
        core.metrics.open.inc();
        Self(core)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::Relaxed);
        self.0.metrics.open.dec();
    }
}

/// Answers one request.
async fn handle(core: Arc<Core>, request: Request<Incoming>) -> Response {
    let id = RequestId(rand::random());
    let open = Open::new(core.clone());
    let answer = match admit(&core, id, request).await {
        Ok(call) => {
            let (caller, answer) = caller(core.clone(), id, open);
            tokio::spawn(call.run(caller));
            answer.await
        }
        Err(problem) => Answer::refused(&core, id, problem),
    };
    answer.into_response(id)
}

/// Checks a request and reads its body.
async fn admit(
    core: &Arc<Core>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Call, Problem> {
    let unsent = Unsent::new(id);
    check(core, id, request)
        .await
        .map_err(|flaw| flaw.problem(unsent.refuse()))
}

/// Why a request is refused before an endpoint is asked for.
struct Flaw {
    kind: ProblemKind,
    detail: String,
    retry: Option<Duration>,
}

impl Flaw {
    fn new(kind: ProblemKind, detail: &impl ToString) -> Self {
        Self {
            kind,
            detail: detail.to_string(),
            retry: None,
        }
    }

    fn problem(self, proof: NotRun) -> Problem {
        let mut problem = Problem::new(self.kind, Verdict::NotRun(proof), self.detail);
        problem.retry = self.retry;
        problem
    }
}

async fn check(core: &Arc<Core>, id: RequestId, request: Request<Incoming>) -> Result<Call, Flaw> {
    if core.draining.load(Ordering::Relaxed) {
        let flaw = Flaw::new(ProblemKind::Unavailable, &"the instance is about to stop");
        let retry = Some(DRAINING_RETRY);
        return Err(Flaw { retry, ..flaw });
    }
    let (parts, incoming) = request.into_parts();
    let view = core.view();
    let bad_header = |e| Flaw::new(ProblemKind::BadHeader, &e);
    let account = authenticate(&view, &parts.headers)?;
    let wishes = Wishes::parse(&parts.headers).map_err(bad_header)?;
    let path = split_path(parts.uri.path()).map_err(|e| Flaw::new(ProblemKind::BadPath, &e))?;
    let (name, service) = view
        .config
        .services
        .get_key_value(path.service)
        .ok_or_else(|| Flaw::new(ProblemKind::UnknownService, &"the path names no service"))?;
    let (class, repeat) = view.config.rule(service, &path.plain);
    if needs_key(&parts.method, repeat) && wishes.key.is_none() {
        let detail = "the call may not be repeated and needs an Idempotency-Key";
        return Err(Flaw::new(ProblemKind::KeyRequired, &detail));
    }
    let target = match parts.uri.query() {
        Some(query) => format!("{}?{query}", path.raw),
        None => path.raw.to_owned(),
    };
    let body = CallBody::read(&parts.headers, incoming, core.limits.body())
        .await
        .map_err(|e| Flaw::new(body_problem(e), &e))?;
    let arrived = core.clock.now();
    let wait = wishes
        .deadline
        .unwrap_or(Duration::from_millis(core.limits.deadline_ms));
    let is_model = service.kind == crate::config::Kind::Model;
    let prefix = is_model.then(|| xxh3_64(&body.ahead()[..body.ahead().len().min(PREFIX_BYTES)]));
    Ok(Call {
        core: core.clone(),
        request: id,
        account,
        service: name.clone(),
        kind: service.kind,
        class,
        repeat,
        method: parts.method,
        target,
        headers: for_endpoint(&parts.headers),
        length: crate::body::stated_length(&parts.headers),
        body,
        hint: wishes.hint,
        prefix,
        arrived,
        deadline: arrived.after(wait),
        avoid: Vec::new(),
    })
}

fn authenticate(view: &View, headers: &http::HeaderMap) -> Result<AccountName, Flaw> {
    let key = bearer_key(headers).map_err(|e| Flaw::new(ProblemKind::BadKey, &e))?;
    let key = key.ok_or_else(|| Flaw::new(ProblemKind::BadKey, &"no account key is given"))?;
    view.keys
        .account(key)
        .cloned()
        .ok_or_else(|| Flaw::new(ProblemKind::BadKey, &"the key belongs to no account"))
}

/// Tells whether a call needs an idempotency key. Safe methods ask for nothing that could run
/// twice; they are still sent at most once where the rule says so.
fn needs_key(method: &http::Method, repeat: Repeat) -> bool {
    !repeat.is_idempotent() && !method.is_safe()
}

fn body_problem(error: BodyError) -> ProblemKind {
    match error {
        BodyError::TooLarge { .. } => ProblemKind::BodyTooLarge,
        BodyError::Broken | BodyError::Slow => ProblemKind::BodyIncomplete,
    }
}
