//! Test fixture: one entry with in-process endpoints and a dispatcher that grants immediately.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cornelstand::{
    Account, AccountName, Centre, CentreName, ClaimLimits, ClaimStore, Class, Clock, Config,
    Dispatch, Ending, Endpoint, EndpointName, Entry, EntryLimits, EntryMetrics, EntryParts, Epoch,
    Grant, InstanceName, Kind, Offer, Phase, Refusal, Repeat, Reply, Report, Route, Service,
    ServiceName, SpreadCall, Store, Timeline, key_hash,
};
use futures::future::BoxFuture;
use http::Response;
use reqwest::Client;
use stand_ins::{
    Engine, EngineFaults, EngineSettings, ObjectApi, ObjectSettings, PlainFaults, PlainService,
    PlainSettings,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use warp::Filter;

/// An address without a listener.
pub(crate) const UNREACHABLE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
pub(crate) const OTHER_KEY: &str = "ndege-desk-key";
pub(crate) const KEY: &str = "tessel-counter-key";

pub(crate) fn route(prefix: &str, repeat: Repeat) -> Route {
    Route {
        prefix: prefix.to_owned(),
        class: Class::Interactive,
        repeat,
    }
}

pub(crate) fn service(kind: Kind) -> Service {
    Service {
        kind,
        cells: 1,
        routes: vec![
            route("/", Repeat::Idempotent),
            route("/orders", Repeat::Once),
        ],
        estimate: 10,
    }
}

pub(crate) fn config(endpoints: &[SocketAddr]) -> Config {
    let account = |key| Account {
        share: 1,
        keys: vec![key_hash(key)],
        queue: 16,
    };
    let mut config = Config {
        accounts: BTreeMap::from([
            (AccountName::from("tessel"), account(KEY)),
            (AccountName::from("ndege"), account(OTHER_KEY)),
        ]),
        services: BTreeMap::from([
            (ServiceName::from("app"), service(Kind::Plain)),
            (ServiceName::from("model"), service(Kind::Model)),
        ]),
        centres: BTreeMap::from([(CentreName::from("dock-a"), Centre { out: false })]),
        ..Config::default()
    };
    for (i, &address) in endpoints.iter().enumerate() {
        for kind in ["app", "model"] {
            let endpoint = Endpoint {
                service: kind.into(),
                centre: "dock-a".into(),
                address,
                cold: 1,
                warm: 8,
                ramp: 0,
            };
            let name = EndpointName::from(format!("{kind}-{i}").as_str());
            config.endpoints.insert(name, endpoint);
        }
    }
    config
}

/// Grants the first endpoint of the cell, an avoided one only if there is no other.
pub(crate) fn grant(config: &Config, offer: Offer) -> Reply {
    let endpoint = config
        .cell_endpoints(&offer.cell)
        .map(|(name, _)| name)
        .min_by_key(|name| offer.avoid.contains(name))
        .cloned();
    let retry = Duration::from_secs(3);
    Ok(Grant {
        attempt: offer.attempt,
        endpoint: endpoint.ok_or(Refusal::NoEndpoint { retry })?,
        cell: offer.cell,
        epoch: Epoch(1),
        charged: 10,
    })
}

/// Claims stored in the object API at `store`, or in one that is unreachable.
pub(crate) fn claims(store: Option<SocketAddr>) -> ClaimStore {
    let limits = ClaimLimits {
        shards: 1,
        gap: Duration::ZERO,
        begin_timeout: Duration::from_millis(300),
        ..ClaimLimits::default()
    };
    let store = store.unwrap_or(UNREACHABLE);
    let store = Store::new(store, Duration::from_millis(100));
    ClaimStore::start(&store.into(), Clock::start(), limits)
}

/// Entries that are notified of suspect requests immediately.
pub(crate) type Peers = Arc<Mutex<Vec<Entry>>>;

fn spread(peers: Peers) -> SpreadCall {
    Arc::new(move |told| {
        let peers = peers.lock().unwrap();
        let views = peers.iter().filter_map(|p| p.exchange(told.clone()));
        let views = views.collect();
        Box::pin(async move { views })
    })
}

/// A serving entry and what the test can observe of it.
pub(crate) struct Fleet {
    pub(crate) entry: Entry,
    pub(crate) address: SocketAddr,
    pub(crate) peers: Peers,
    pub(crate) reports: Arc<Mutex<Vec<Report>>>,
    pub(crate) config: watch::Sender<Arc<Config>>,
    served: JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

impl Fleet {
    pub(crate) async fn start(endpoints: &[SocketAddr], limits: EntryLimits) -> Self {
        Self::on_store(endpoints, limits, None).await
    }

    /// Starts an entry with its claims in the object API at `store`, if given.
    pub(crate) async fn on_store(
        endpoints: &[SocketAddr],
        limits: EntryLimits,
        store: Option<SocketAddr>,
    ) -> Self {
        let (sender, receiver) = watch::channel(Arc::new(config(endpoints)));
        let granting = receiver.clone();
        Self::with(sender, limits, store, move |offer| {
            let reply = grant(&granting.borrow(), offer);
            Box::pin(async move { reply })
        })
        .await
    }

    pub(crate) async fn with(
        config: watch::Sender<Arc<Config>>,
        limits: EntryLimits,
        store: Option<SocketAddr>,
        offer: impl Fn(Offer) -> BoxFuture<'static, Reply> + Send + Sync + 'static,
    ) -> Self {
        let reports = Arc::new(Mutex::new(Vec::new()));
        let noted = reports.clone();
        let dispatch = Dispatch {
            offer: Arc::new(offer),
            report: Arc::new(move |report| noted.lock().unwrap().push(report)),
            pick: Arc::new(|service| {
                let service = service.clone();
                Some(cornelstand::CellId { service, index: 0 })
            }),
        };
        let peers = Peers::default();
        let name = InstanceName::from("entry-1");
        let entry = Entry::new(EntryParts {
            name: name.clone(),
            dispatch,
            claims: claims(store),
            spread: spread(peers.clone()),
            config: config.subscribe(),
            clock: Clock::start(),
            timeline: Timeline::new(name, 1_000),
            metrics: EntryMetrics::new(&prometheus::Registry::new()).unwrap(),
            limits,
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let serving = entry.clone();
        let served = tokio::spawn(async move {
            serving
                .serve(listener, async move { drop(stopped.await) })
                .await;
        });
        Self {
            entry,
            address,
            peers,
            reports,
            config,
            served,
            stop,
        }
    }

    /// Signals the entry to stop and returns its task.
    pub(crate) fn stop(self) -> JoinHandle<()> {
        self.stop.send(()).unwrap();
        self.served
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    pub(crate) fn get(&self, path: &str) -> reqwest::RequestBuilder {
        Client::new().get(self.url(path)).bearer_auth(KEY)
    }

    pub(crate) fn post(&self, path: &str) -> reqwest::RequestBuilder {
        Client::new().post(self.url(path)).bearer_auth(KEY)
    }

    /// Waits until the entry has no open requests.
    pub(crate) async fn idle(&self) {
        while self.entry.running() > 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub(crate) fn endings(&self) -> Vec<Ending> {
        let reports = self.reports.lock().unwrap();
        let ending = |r: &Report| match r.phase {
            Phase::Running => None,
            Phase::Ended(ending) => Some(ending),
        };
        reports.iter().filter_map(ending).collect()
    }
}

/// Starts a warp server and returns its address.
pub(crate) async fn endpoint<F>(filter: F) -> SocketAddr
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(warp::serve(filter).incoming(listener).run());
    address
}

/// An address that refuses connections. Its port stays bound, so that no other test gets it.
pub(crate) fn refusing() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}

pub(crate) async fn echo() -> SocketAddr {
    let all = warp::method()
        .and(warp::path::full())
        .and(warp::header::optional::<String>("authorization"))
        .and(warp::body::bytes());
    endpoint(all.map(|method, path: warp::path::FullPath, key, body| {
        let text = format!("{method} {} {key:?} {body:?}", path.as_str());
        Response::builder()
            .header("x-endpoint-boot", "7")
            .body(text)
    }))
    .await
}

/// Starts a stand-in for the platform's object API.
pub(crate) fn store() -> ObjectApi {
    ObjectApi::start(ObjectSettings::default()).unwrap()
}

pub(crate) async fn problem(answer: reqwest::Response) -> (u16, serde_json::Value) {
    assert_eq!(answer.headers()["content-type"], "application/problem+json");
    let id = answer.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    let status = answer.status().as_u16();
    let problem: serde_json::Value = answer.json().await.unwrap();
    assert_eq!(problem["request"], id);
    assert_eq!(problem["status"], status);
    (status, problem)
}

/// Starts an endpoint that answers every connection with the same bytes and closes it.
pub(crate) async fn raw(answer: &'static str) -> SocketAddr {
    script(vec![answer]).await
}

/// Starts an endpoint that answers each connection with the next of `answers`, repeating the last
/// one, and closes it.
pub(crate) async fn script(answers: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for at in 0.. {
            let answer = answers[answers.len().min(at + 1) - 1];
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

pub(crate) const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

pub(crate) fn order(fleet: &Fleet, key: &str, body: &'static str) -> reqwest::RequestBuilder {
    let order = fleet.post("/app/orders/gel");
    order.header("idempotency-key", key).body(body)
}

pub(crate) fn plain(faults: PlainFaults) -> PlainService {
    let settings = PlainSettings {
        is_warm: true,
        faults,
        ..PlainSettings::default()
    };
    PlainService::start(settings).unwrap()
}

pub(crate) fn engine() -> Engine {
    let settings = EngineSettings {
        is_warm: true,
        faults: EngineFaults {
            poison: Some("torn tent".to_owned()),
            ..EngineFaults::default()
        },
        ..EngineSettings::default()
    };
    Engine::start(settings).unwrap()
}

pub(crate) fn chat(fleet: &Fleet, prompt: &str, tokens: u32) -> reqwest::RequestBuilder {
    let body = serde_json::json!({
        "model": "stitch",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let chat = fleet.post("/model/v1/chat/completions");
    chat.json(&body)
}

pub(crate) fn has_usage(chunk: &serde_json::Value) -> bool {
    chunk.get("usage").is_some()
}
