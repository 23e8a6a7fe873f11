//! Routers that decide each for itself, to compare the fleet with.
//!
//! [`Policy::LeastLoaded`] sends to the endpoint with the least known load and keeps one queue in
//! order of arrival. [`Policy::FairSplit`] gives each router a fixed part of every endpoint and
//! serves the accounts in proportion to their shares, as far as this router sees them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cornelstand::{AccountName, Config, ServiceName};
use futures::SinkExt;
use futures::channel::mpsc;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Method, StatusCode};
use stand_ins::LoadReport;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use warp::path::FullPath;
use warp::reply::Response;
use warp::{Filter, Reply};

/// Time between readings of an endpoint's load.
const POLL: Duration = Duration::from_millis(250);
/// Chunks that wait for a slow caller.
const CHUNKS: usize = 64;

/// How a router decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// Least known load first, one queue in order of arrival.
    LeastLoaded,
    /// Fair queues over this part of each endpoint.
    FairSplit {
        /// Requests at once that the router sends to each endpoint.
        slots: u32,
    },
}

/// A router on a listener of its own.
pub(crate) struct Router {
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Router {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// A request that waits for an endpoint.
#[derive(Debug)]
struct Waiter {
    account: usize,
    service: ServiceName,
    grant: oneshot::Sender<usize>,
}

#[derive(Debug)]
struct Target {
    service: ServiceName,
    address: SocketAddr,
    warm: u32,
    /// Requests of this router that run there.
    own: u32,
    /// Requests that it reported last.
    reported: u32,
    /// Whether operators have taken it out.
    out: bool,
}

#[derive(Debug)]
struct Tenant {
    share: f64,
    /// Cost received over share.
    service: f64,
    /// Average cost of a call.
    average: f64,
}

#[derive(Debug)]
struct State {
    policy: Policy,
    targets: Vec<Target>,
    tenants: Vec<Tenant>,
    waiting: VecDeque<Waiter>,
    /// Counter of the account that was served last.
    virtual_time: f64,
}

struct Shared {
    state: Mutex<State>,
    accounts: HashMap<String, usize>,
    http: reqwest::Client,
}

/// A request being run; ends its slot when dropped.
struct Slot {
    shared: Arc<Shared>,
    target: usize,
    account: usize,
    cost: f64,
}

impl Slot {
    fn charge(&mut self, events: u32) {
        self.cost += f64::from(events);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.end(self.target, self.account, self.cost);
        state.grant_all();
    }
}

impl Router {
    /// Starts a router for the endpoints and accounts of `config`; `keys` gives the accounts'.
    pub(crate) async fn start(
        config: &Config,
        keys: &[(AccountName, String)],
        policy: Policy,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(config, keys, policy));
        let serving = shared.clone();
        let filter = warp::method()
            .and(warp::path::full())
            .and(warp::header::headers_cloned())
            .and(warp::body::bytes())
            .then(move |method, path, headers, body| {
                answer(serving.clone(), method, path, headers, body)
            });
        let server = warp::serve(filter).incoming(listener).run();
        let tasks = vec![tokio::spawn(server), tokio::spawn(poll(shared.clone()))];
        Ok(Self {
            address,
            shared,
            tasks,
        })
    }
}

impl Router {
    /// Takes endpoints out or brings them back.
    pub(crate) fn set_out(&self, addresses: &[SocketAddr], out: bool) {
        let mut state = self.shared.lock();
        let targets = state.targets.iter_mut();
        for target in targets.filter(|t| addresses.contains(&t.address)) {
            target.out = out;
        }
        state.grant_all();
    }
}

impl Shared {
    fn new(config: &Config, keys: &[(AccountName, String)], policy: Policy) -> Self {
        let targets = config.endpoints.values().map(|e| Target {
            service: e.service.clone(),
            address: e.address,
            warm: e.warm,
            own: 0,
            reported: 0,
            out: false,
        });
        let share = |name: &AccountName| config.accounts.get(name).map_or(1, |a| a.share);
        let tenants = keys.iter().map(|(name, _)| Tenant {
            share: f64::from(share(name)),
            service: 0.0,
            average: 1.0,
        });
        let accounts = keys.iter().enumerate();
        Self {
            state: Mutex::new(State {
                policy,
                targets: targets.collect(),
                tenants: tenants.collect(),
                waiting: VecDeque::new(),
                virtual_time: 0.0,
            }),
            accounts: accounts.map(|(i, (_, key))| (key.clone(), i)).collect(),
            http: reqwest::Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .build()
                .expect("an HTTP client without TLS needs no system resources"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn send(
        &self,
        slot: &Slot,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<reqwest::Response, reqwest::Error> {
        let address = self.lock().targets[slot.target].address;
        let url = format!("http://{address}{path}");
        let mut request = self.http.request(method.clone(), url);
        for name in ["content-type", "idempotency-key"] {
            if let Some(value) = headers.get(name) {
                request = request.header(name, value);
            }
        }
        request.body(body.clone()).send().await
    }

    /// Waits for an endpoint.
    async fn slot(self: &Arc<Self>, account: usize, service: ServiceName) -> Option<Slot> {
        let (grant, granted) = oneshot::channel();
        {
            let mut state = self.lock();
            state.join(account);
            state.waiting.push_back(Waiter {
                account,
                service,
                grant,
            });
            state.grant_all();
        }
        let target = granted.await.ok()?;
        Some(Slot {
            shared: self.clone(),
            target,
            account,
            cost: 0.0,
        })
    }
}

impl State {
    /// An account that had nothing waiting saves up no credit.
    fn join(&mut self, account: usize) {
        if self.waiting.iter().any(|w| w.account == account) {
            return;
        }
        let tenant = &mut self.tenants[account];
        tenant.service = tenant.service.max(self.virtual_time);
    }

    fn grant_all(&mut self) {
        let services: Vec<ServiceName> = {
            let mut services: Vec<_> = self.targets.iter().map(|t| t.service.clone()).collect();
            services.dedup();
            services
        };
        for service in services {
            while let Some(target) = self.free_target(&service) {
                let Some(place) = self.next_waiter(&service) else {
                    break;
                };
                let Some(waiter) = self.waiting.remove(place) else {
                    break;
                };
                let tenant = &mut self.tenants[waiter.account];
                if waiter.grant.send(target).is_ok() {
                    self.virtual_time = self.virtual_time.max(tenant.service);
                    tenant.service += tenant.average / tenant.share;
                    self.targets[target].own += 1;
                }
            }
        }
    }

    fn free_target(&self, service: &ServiceName) -> Option<usize> {
        let targets = self.targets.iter().enumerate();
        let known = |t: &Target| match self.policy {
            Policy::LeastLoaded => t.own.max(t.reported),
            Policy::FairSplit { .. } => t.own,
        };
        let limit = |t: &Target| match self.policy {
            Policy::LeastLoaded => t.warm,
            Policy::FairSplit { slots } => slots,
        };
        targets
            .filter(|(_, t)| t.service == *service && !t.out && known(t) < limit(t))
            .min_by_key(|(_, t)| known(t))
            .map(|(place, _)| place)
    }

    fn next_waiter(&self, service: &ServiceName) -> Option<usize> {
        let mut waiting = self.waiting.iter().enumerate();
        match self.policy {
            Policy::LeastLoaded => waiting.find(|(_, w)| w.service == *service).map(|(i, _)| i),
            Policy::FairSplit { .. } => waiting
                .filter(|(_, w)| w.service == *service)
                .min_by(|(_, a), (_, b)| {
                    let service = |w: &Waiter| self.tenants[w.account].service;
                    service(a).total_cmp(&service(b))
                })
                .map(|(i, _)| i),
        }
    }

    /// Takes an endpoint for full until its next reading.
    fn fill(&mut self, target: usize) {
        let target = &mut self.targets[target];
        target.reported = target.warm;
    }

    fn end(&mut self, target: usize, account: usize, cost: f64) {
        self.targets[target].own -= 1;
        let tenant = &mut self.tenants[account];
        tenant.service += (cost - tenant.average) / tenant.share;
        tenant.average += (cost - tenant.average) / 8.0;
    }
}

async fn answer(
    shared: Arc<Shared>,
    method: Method,
    path: FullPath,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let key = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let account = key
        .and_then(|k| k.strip_prefix("Bearer "))
        .and_then(|k| shared.accounts.get(k).copied());
    let call = path.as_str().trim_start_matches('/').split_once('/');
    let (Some(account), Some((service, rest))) = (account, call) else {
        return refusal(StatusCode::NOT_FOUND, "not-run");
    };
    let mut rest = rest.to_owned();
    rest.insert(0, '/');
    loop {
        let Some(slot) = shared.slot(account, service.into()).await else {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, "not-run");
        };
        match shared.send(&slot, &method, &rest, &headers, &body).await {
            Ok(answer) if answer.status().is_success() => return relay(answer, slot),
            Ok(_) => shared.lock().fill(slot.target),
            Err(_) => return refusal(StatusCode::BAD_GATEWAY, "unknown"),
        }
    }
}

/// Passes an answer on, counting its cost.
fn relay(mut answer: reqwest::Response, mut slot: Slot) -> Response {
    let (mut sender, receiver) = mpsc::channel(CHUNKS);
    tokio::spawn(async move {
        loop {
            let chunk = match answer.chunk().await {
                Ok(Some(chunk)) => Ok(chunk),
                Ok(None) => return,
                Err(error) => Err(error),
            };
            if let Ok(bytes) = &chunk {
                slot.charge(events(bytes));
            }
            let is_last = chunk.is_err();
            if sender.send(chunk).await.is_err() || is_last {
                return;
            }
        }
    });
    warp::reply::stream(receiver).into_response()
}

/// Events in a chunk, at least 1.
fn events(bytes: &Bytes) -> u32 {
    let count = bytes.windows(5).filter(|w| w == b"data:").count();
    u32::try_from(count.max(1)).unwrap_or(u32::MAX)
}

fn refusal(status: StatusCode, outcome: &str) -> Response {
    let body = serde_json::json!({ "outcome": outcome });
    warp::reply::with_status(warp::reply::json(&body), status).into_response()
}

/// Reads the endpoints' loads.
async fn poll(shared: Arc<Shared>) {
    let addresses: Vec<SocketAddr> = shared.lock().targets.iter().map(|t| t.address).collect();
    loop {
        for (place, address) in addresses.iter().enumerate() {
            let url = format!("http://{address}/load");
            let answer = shared.http.get(url).timeout(POLL).send().await;
            let Ok(answer) = answer else { continue };
            if let Ok(report) = answer.json::<LoadReport>().await {
                let mut state = shared.lock();
                state.targets[place].reported = report.running;
                state.grant_all();
            }
        }
        tokio::time::sleep(POLL).await;
    }
}
