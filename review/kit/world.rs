//! What the cases share: the record, the gateway process, replicas, the operator and clients.

use std::fs::File;
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};
use crate::store::Store;

pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
pub const HOST: &str = "ficu95.example";

/// Process ids of the processes that the case started; they are ended whatever happens.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends every process that this case started.
pub fn end_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        signal(id, "KILL");
    }
}

/// Sends a signal to a process of this case.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("sh")
        .arg("-c")
        .arg(format!("kill -{name} {id}"))
        .stderr(Stdio::null())
        .status();
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>8} ms  {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A free loopback address for the gateway: all of 127/8 is loopback.
fn free_ip() -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 64 + (id % 64) as u8, (id / 64 % 250) as u8 + 1, 10)
}

fn free_port(ip: Ipv4Addr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// A gateway process, started as the deploy file says.
pub struct Gateway {
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
}

impl Gateway {
    pub fn start(record: &Record, store: &Store) -> io::Result<Self> {
        let ip = free_ip();
        let (front, ready, control) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let udp = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        let store = store.address;
        let text = format!(
            "node=front-dock-a-1\nrole=gateway\nmachine_class=front\nserves=front,control\nip={ip}\n\
             zone=dock-a\nregion=north-coast\nzones.dock-a=north-coast\nzones.dock-b=north-coast\n\
             zones.dock-c=north-coast\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             listen.control={ip}:{control}\ninternal_ports={udp},{udp}\nseeds={ip}:{control}\n\
             bootstrap=true\nin_tolerance=false\nlimits.cpu_share=0.25\nlimits.cores=1\n\
             limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=virtual_ip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n\
             bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.downgrade_ms=250\nbounds.max_skew_ms=5000\n\
             bounds.fail_closed=false\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n\
             bounds.retry_window_s=10\nbounds.budget_slack=52\nbounds.cold_over=1.5\n\
             bounds.cold_slack=5\nbounds.evacuate_ms=5000\nbounds.recovery_s=12\nbounds.pass_ms=120\n\
             bounds.reuse_window_s=10\nbounds.quota_window_s=4\nplatform.address={store}\n\
             platform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
             platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
        );
        let folder = std::env::temp_dir().join(format!("review-{}-{front}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let settings = folder.join("settings.conf");
        std::fs::write(&settings, text)?;
        let log = File::create(folder.join("log.jsonl"))?;
        let child = Command::new("target/release/cornelstand")
            .arg("gateway")
            .env("CORNELSTAND_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        record.note("gateway: started");
        let address = |port| SocketAddr::new(IpAddr::V4(ip), port);
        Ok(Self {
            child,
            front: address(front),
            ready: address(ready),
            folder,
        })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut wire = Wire::new(TcpStream::connect(self.ready)?);
            wire.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            wire.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")?;
            Ok(wire.head()?.map_or(0, |h| h.status()))
        };
        ask().is_ok_and(|s| s == 200)
    }

    /// Waits until the process says that it is ready.
    pub fn await_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > until {
                return Err("the gateway isn't ready after 20 s".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Memory of the process in MB, without the pages of its files.
    pub fn memory_mb(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("RssAnon:"));
        let kb = line
            .and_then(|l| l.split_whitespace().nth(1))
            .and_then(|v| v.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What a replica does with a request that it runs.
pub type Handler = dyn Fn(&Replica, &Message, &mut Wire) -> io::Result<()> + Send + Sync;

/// One replica: answers under its id and counts what it runs.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub born: u64,
    pub record: Record,
    /// Its open connections.
    connections: Mutex<Vec<TcpStream>>,
    /// Connections opened before it fell silent pass nothing any more, in either direction.
    silenced: AtomicU64,
    count: AtomicU64,
    is_down: AtomicBool,
}

impl Replica {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        zone: &'static str,
        handler: Arc<Handler>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone,
            address: listener.local_addr()?,
            born: u64::try_from(born).unwrap(),
            record: record.clone(),
            connections: Mutex::default(),
            silenced: AtomicU64::new(0),
            count: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
        });
        let served = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_down.load(Ordering::SeqCst) {
                    return;
                }
                let (replica, handler) = (served.clone(), handler.clone());
                let number = replica.count.fetch_add(1, Ordering::SeqCst) + 1;
                if let Ok(clone) = stream.try_clone() {
                    replica.connections.lock().unwrap().push(clone);
                }
                std::thread::spawn(move || {
                    let _ = replica.serve(stream, number, &*handler);
                });
            }
        });
        Ok(replica)
    }

    fn serve(&self, stream: TcpStream, number: u64, handler: &Handler) -> io::Result<()> {
        let mut wire = Wire::new(stream);
        NUMBER.with(|n| n.set(number));
        while let Some(request) = wire.request()? {
            if self.is_silent() {
                // The request never reaches the replica.
                loop {
                    std::thread::sleep(Duration::from_secs(3600));
                }
            }
            let expected = request.get("x-cornelstand-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                wire.answer(
                    "421 Misdirected Request",
                    &format!("X-Cornelstand-Replica-Id: {}\r\n", self.id),
                    b"",
                )?;
                continue;
            }
            if request.word(1) == "/healthz" {
                wire.answer(
                    "200 OK",
                    &format!("X-Cornelstand-Replica-Id: {}\r\n", self.id),
                    b"",
                )?;
                continue;
            }
            let id = request
                .get("x-cornelstand-attempt-id")
                .unwrap_or("?")
                .to_owned();
            let after = request
                .get("last-event-id")
                .map_or(String::new(), |l| format!(" after event {l}"));
            self.record.note(format!("{}: runs {id}{after}", self.id));
            handler(self, &request, &mut wire)?;
        }
        Ok(())
    }

    /// Whether the connection of this thread has fallen silent.
    pub fn is_silent(&self) -> bool {
        NUMBER.with(|n| n.get() <= self.silenced.load(Ordering::SeqCst))
    }

    /// Open connections go silent for good, without a reset, while new ones work.
    pub fn silence_connections(&self) {
        self.silenced
            .store(self.count.load(Ordering::SeqCst), Ordering::SeqCst);
        self.record.note(format!(
            "trouble: the open connections to {} go silent",
            self.id
        ));
    }

    /// The process ends at once: it listens no more and its connections are reset.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        self.record.note(format!("trouble: {} crashes", self.id));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str, seq: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }
}

thread_local! {
    static NUMBER: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Headers of a replica's answer to `request`.
pub fn stamped(replica: &Replica, request: &Message) -> String {
    let id = request.get("x-cornelstand-attempt-id").unwrap_or_default();
    format!(
        "X-Cornelstand-Attempt-Id: {id}\r\nX-Cornelstand-Server-Stamp: 3e1b.07.5a2.600.0.{}\r\n",
        replica.id
    )
}

/// The manifest of a small site: streams that may be resumed, bookings and reads.
pub fn manifest(version: u64) -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 timeout: u64,
                 target: u64,
                 service: &str,
                 attempts: u64,
                 resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":{resumable},\"gap_aim_ms\":400}}"
        )
    };
    let routes = [
        route(
            "fitting-quote",
            "/quote/",
            "streaming",
            12_000,
            400,
            "stitch-models",
            2,
            true,
        ),
        route(
            "ticket-book",
            "/book/",
            "non_idempotent",
            1_000,
            100,
            "counter-app",
            1,
            false,
        ),
        route(
            "stock-lookup",
            "/stock/",
            "idempotent",
            1_000,
            100,
            "counter-app",
            2,
            false,
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"stitch-models\",\"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":3.0,\"cold_per_s\":10.0,\"engine\":{{\"slots\":64,\"kv_capacity\":530739,\"stride\":6}}}},\
         {{\"name\":\"counter-app\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":30000,\"tokens_per_s\":100000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}",
        routes.join(",")
    )
}

/// A client's request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Cornelstand-Attempt-Id: {id}\r\n\
         X-Cornelstand-Deadline-Ms: {deadline_ms}\r\nX-Cornelstand-Credential: {KEY}\r\n{more}"
    )
    .into_bytes();
    if method != "GET" {
        out.extend(format!("Content-Length: {}\r\n", body.len()).bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// Numbers of the events of a stream, and the text after them.
pub fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body).into_owned();
    let mut found = Vec::new();
    for event in text.split("\n\n").filter(|e| !e.is_empty()) {
        let id = event
            .lines()
            .find_map(|l| l.strip_prefix("id: "))
            .and_then(|v| v.parse().ok());
        let data = event
            .lines()
            .find_map(|l| l.strip_prefix("data: "))
            .unwrap_or_default();
        found.push((id.unwrap_or(0), data.to_owned()));
    }
    found
}
