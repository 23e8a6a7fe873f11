//! Test environment: gateway processes with stand-ins for the platform's store and endpoints. Each
//! [`World`] has its own loopback addresses.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use stand_ins::{EndpointSettings, PlatformEndpoint, PlatformStore};
use tokio::time::{Instant, sleep};

/// Time limit for any wait; far above what the processes need.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const KEY: &str = "key-a";
pub(crate) const EVENTS: u32 = 12;
/// Software version of the endpoints at the start.
pub(crate) const VERSION: &str = "v1";

/// Names of the data centres.
pub(crate) const CENTRES: [&str; 3] = ["north", "south", "west"];
/// Time of an endpoint for a call, and before the first event of a stream.
const WORK: Duration = Duration::from_millis(5);
/// Time until an endpoint restarts after a request crashed it.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(800);

/// A call as written on a connection.
pub(crate) fn raw_call(id: &str) -> String {
    format!(
        "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-cornelstand-attempt-id: {id}\r\n\
         x-cornelstand-deadline-ms: 8000\r\nx-cornelstand-credential: {KEY}\r\n\
         content-length: 4\r\n\r\nbody"
    )
}

static NEXT_WORLD: AtomicU8 = AtomicU8::new(1);

/// One gateway process.
pub(crate) struct Instance {
    pub(crate) ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub(crate) struct World {
    pub(crate) store: PlatformStore,
    pub(crate) endpoints: BTreeMap<String, PlatformEndpoint>,
    /// Addresses of endpoints that are reached through a proxy.
    pub(crate) addresses: BTreeMap<String, SocketAddr>,
    /// Software versions of endpoints other than [`VERSION`].
    pub(crate) versions: BTreeMap<String, String>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) http: reqwest::Client,
}

impl World {
    /// Starts `count` instances in one data centre, without waiting for readiness.
    pub(crate) fn start(count: u8) -> Self {
        Self::start_in(&CENTRES[..1], count, 2)
    }

    /// Starts `count` instances, spread over `centres`, and `endpoints` endpoints per service.
    pub(crate) fn start_in(centres: &[&'static str], count: u8, endpoints: u8) -> Self {
        Self::start_with(centres, count, endpoints, WORK)
    }

    /// The same, with endpoints that take `work` for a call.
    pub(crate) fn start_with(
        centres: &[&'static str],
        count: u8,
        endpoints: u8,
        work: Duration,
    ) -> Self {
        Self::start_for(centres, count, endpoints, work, "")
    }

    /// The same, with further lines of the instances' settings.
    pub(crate) fn start_for(
        centres: &[&'static str],
        count: u8,
        endpoints: u8,
        work: Duration,
        lines: &str,
    ) -> Self {
        let names = (1..=endpoints).flat_map(|n| [format!("m-{n}"), format!("o-{n}")]);
        let names: Vec<String> = names.collect();
        let store = PlatformStore::start().expect("the store starts");
        let mut endpoints = BTreeMap::new();
        for name in &names {
            endpoints.insert(name.clone(), endpoint(name, work));
        }
        let world = NEXT_WORLD.fetch_add(1, Ordering::Relaxed);
        let ip = |i: u8| address(std::process::id(), world, i);
        let seeds: Vec<String> = (0..count.min(3))
            .map(|i| format!("{}:8785", ip(i)))
            .collect();
        let mut this = Self {
            store,
            endpoints,
            addresses: BTreeMap::new(),
            versions: BTreeMap::new(),
            instances: Vec::new(),
            http: reqwest::Client::builder()
                .no_proxy()
                .timeout(TEST_TIMEOUT)
                .build()
                .expect("a client"),
        };
        this.configure(1, true);
        for name in &names {
            this.list(name, "ready");
        }
        for i in 0..count {
            let centre = usize::from(i) % centres.len();
            let store = this.store.address();
            let lines = format!("seeds={}\n{lines}", seeds.join(","));
            let instance = Instance::new(ip(i), store, &lines, centres, centre);
            this.instances.push(instance);
        }
        this.instances.iter_mut().for_each(Instance::start);
        this
    }

    /// Writes a configuration to the store, with or without the callers' key.
    pub(crate) fn configure(&self, version: u64, has_key: bool) {
        let route = |name: &str, kind: &str, service: &str| {
            json!({
                "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": kind,
                "timeout_ms": 8000, "target_latency_ms": 800, "max_attempts": 2, "service": service,
                "resumable": kind == "streaming",
            })
        };
        let keys: &[&str] = if has_key { &[KEY] } else { &[] };
        let spec = json!({
            "version": version,
            "routes": [
                route("stream", "streaming", "models"),
                route("book", "non_idempotent", "orders"),
                route("stock", "idempotent", "orders"),
                route(&format!("v{version}"), "idempotent", "orders"),
            ],
            "services": [
                { "name": "models", "engine": { "slots": 64, "kv_capacity": 500_000, "stride": 6 } },
                { "name": "orders" },
            ],
            "limits": {},
            "tenants": [{ "name": "ada", "api_keys": keys }],
        });
        self.store.put("config", "main", &spec);
    }

    /// Writes an endpoint's entry to the store.
    pub(crate) fn list(&self, name: &str, state: &str) {
        let service = if name.starts_with('m') {
            "models"
        } else {
            "orders"
        };
        let direct = || self.endpoints[name].address();
        let address = self.addresses.get(name).copied().unwrap_or_else(direct);
        let spec: Value = json!({
            "service": service, "address": address, "zone": "north",
            "slots": 64, "state": state, "cold_left_ms": 0, "seq": 1,
            "version": self.versions.get(name).map_or(VERSION, String::as_str),
            "born": 1 + self.endpoints[name].ends().len(),
        });
        self.store.put("servers", name, &spec);
    }

    /// Starts and lists one more endpoint of a version, which takes `work` for a call.
    pub(crate) fn add(&mut self, name: &str, version: &str, work: Duration) {
        self.endpoints.insert(name.to_owned(), endpoint(name, work));
        self.versions.insert(name.to_owned(), version.to_owned());
        self.list(name, "ready");
    }

    /// Orders that a service moves to a version.
    pub(crate) fn order(&self, service: &str, target: &str, duration: Duration) {
        let spec = json!({
            "service": service, "target": target, "duration_s": duration.as_secs(),
        });
        self.store.put("rollouts", service, &spec);
    }

    /// Times at which requests crashed endpoints, in order.
    pub(crate) fn ends(&self) -> Vec<std::time::Instant> {
        let ends = self.endpoints.values().flat_map(PlatformEndpoint::ends);
        let mut ends: Vec<_> = ends.collect();
        ends.sort_unstable();
        ends
    }

    /// Sends a request through an instance.
    pub(crate) async fn ask(
        &self,
        instance: usize,
        path: &str,
        id: &str,
    ) -> Result<(u16, String), reqwest::Error> {
        self.ask_with(instance, path, id, "body").await
    }

    /// Sends a request with a body through an instance.
    pub(crate) async fn ask_with(
        &self,
        instance: usize,
        path: &str,
        id: &str,
        body: &str,
    ) -> Result<(u16, String), reqwest::Error> {
        self.ask_prompt(instance, path, id, body, "").await
    }

    /// Sends a request with a body and prompt parts through an instance.
    pub(crate) async fn ask_prompt(
        &self,
        instance: usize,
        path: &str,
        id: &str,
        body: &str,
        parts: &str,
    ) -> Result<(u16, String), reqwest::Error> {
        let request = self.request(instance, path, id, body);
        if parts.is_empty() {
            return send(request).await;
        }
        send(request.header("x-cornelstand-prompt-prefix", parts)).await
    }

    /// A request to an instance, not yet sent.
    pub(crate) fn request(
        &self,
        instance: usize,
        path: &str,
        id: &str,
        body: &str,
    ) -> reqwest::RequestBuilder {
        let address = self.instances[instance].front();
        let request = self.http.post(format!("http://{address}{path}"));
        request
            .header("host", "shop.example")
            .header("x-cornelstand-attempt-id", id)
            .header("x-cornelstand-deadline-ms", "8000")
            .header("x-cornelstand-credential", KEY)
            .header("x-cornelstand-token-count", "100,60")
            .body(body.to_owned())
    }

    /// Waits until the readiness of an instance is `is_ready`.
    pub(crate) async fn await_ready(&self, instance: usize, is_ready: bool) {
        let ip = self.instances[instance].ip;
        self.until("readiness", async || {
            let answer = self
                .http
                .get(format!("http://{ip}:8780/-/ready"))
                .send()
                .await;
            answer.is_ok_and(|a| a.status().is_success()) == is_ready
        })
        .await;
    }

    /// Waits until an instance knows at least `least` peers.
    pub(crate) async fn await_peers(&self, instance: usize, least: usize) {
        let ip = self.instances[instance].ip;
        self.until("peers", async || {
            let answer = self.http.get(format!("http://{ip}:9464/metrics")).send();
            let text = async { answer.await.ok()?.text().await.ok() };
            let text = text.await.unwrap_or_default();
            let known = text
                .lines()
                .find_map(|l| l.strip_prefix("cornelstand_peers "));
            known.is_some_and(|k| k.parse().is_ok_and(|k: usize| k >= least))
        })
        .await;
    }

    /// Waits until `holds` returns true; fails with `what` after the time limit.
    pub(crate) async fn until(&self, what: &str, holds: impl AsyncFn() -> bool) {
        let until = Instant::now() + TEST_TIMEOUT;
        while !holds().await {
            assert!(Instant::now() < until, "no {what} in {TEST_TIMEOUT:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

fn endpoint(name: &str, work: Duration) -> PlatformEndpoint {
    let endpoint = PlatformEndpoint::start(EndpointSettings {
        name: name.to_owned(),
        work,
        events: EVENTS,
        pause: Duration::from_millis(20),
        down: RESTART_DELAY,
    });
    endpoint.expect("the endpoint starts")
}

/// Address of an instance. Processes that run at the same time have identifiers that are close to
/// one another, and a process has fewer than 32 worlds.
fn address(process: u32, world: u8, instance: u8) -> Ipv4Addr {
    let low = u8::try_from(process % 200).expect("below 200");
    let high = u8::try_from(process / 200 % 7).expect("below 7");
    Ipv4Addr::new(127, 20 + low, 32 * high + world, 10 + instance)
}

/// Sends a request and reads the whole response.
pub(crate) async fn send(
    request: reqwest::RequestBuilder,
) -> Result<(u16, String), reqwest::Error> {
    let response = request.send().await?;
    let status = response.status().as_u16();
    Ok((status, response.text().await?))
}

impl Instance {
    fn new(ip: Ipv4Addr, store: SocketAddr, lines: &str, centres: &[&str], centre: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("cornelstand-gateway-{ip}"));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        let settings = folder.join("settings.conf");
        let zones = centres.iter().map(|c| format!("zones.{c}=here\n"));
        let (zones, zone) = (zones.collect::<String>(), centres[centre]);
        let text = format!(
            "node=n-{ip}\nzone={zone}\n{zones}listen.front={ip}:8783\n\
             listen.ready={ip}:8780\nlisten.control={ip}:8785\ninternal_ports=7400,7415\n\
             limits.cpu_share=0.25\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             bounds.grace_s=8\nbounds.budget_slack=50\nplatform.address={store}\n\
             {lines}"
        );
        std::fs::write(&settings, text).expect("settings are written");
        Self {
            ip,
            settings,
            log: folder.join("log.jsonl"),
            child: None,
        }
    }

    /// Address of the listener for callers.
    pub(crate) fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8_783)
    }

    pub(crate) fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_cornelstand"))
            .arg("gateway")
            .env("CORNELSTAND_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .spawn();
        self.child = Some(child.expect("the gateway starts"));
    }

    /// Sends a signal to the process, which has to run.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("started");
        let id = i32::try_from(child.id()).expect("a process id");
        kill_process(Pid::from_raw(id).expect("not zero"), signal).expect("it runs");
    }

    /// Whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|c| c.try_wait().is_ok_and(|s| s.is_some()))
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process belongs to this test");
            child.wait().expect("it ends");
        }
    }

    /// Log output of the process so far.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        if !std::thread::panicking() {
            let folder = self.settings.parent().expect("a folder");
            std::fs::remove_dir_all(folder).expect("the folder belongs to this test");
        }
    }
}
