//! Planned stops of whole instances, with requests that meet the stop in different states.
//!
//! Each instance has a runtime of its own, which is shut down after the drain like that of a
//! process that exits. Endpoints are scripted.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use cornelstand::{Instance, Settings, key_hash};
use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use stand_ins::{InstanceList, InstanceSettings, InstanceState, Listed, ObjectApi, ObjectSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

const OPERATOR: &str = "operators-key";
const ACCOUNT: &str = "kiosk-key";
/// Timeout for hanging tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest planned stop of the instances, beyond the notice of one second.
const DRAIN_MS: u64 = 2_500;
/// Answer of the endpoint to a request that it finishes.
const DONE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
/// Beginning of an answer that the endpoint does not finish.
const BEGUN: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";

/// An endpoint that works on a request until it is told to go on.
struct Endpoint {
    address: SocketAddr,
    /// Targets of the requests that it got, without load polls.
    runs: Arc<Mutex<Vec<String>>>,
    release: watch::Sender<Release>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Release {
    Hold,
    Answer,
    Close,
}

impl Endpoint {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (release, released) = watch::channel(Release::Hold);
        let noted = runs.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(work(stream, noted.clone(), released.clone()));
            }
        });
        Self {
            address,
            runs,
            release,
        }
    }

    fn runs(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    async fn has_run(&self, count: usize) {
        let reached = async {
            while self.runs() < count {
                sleep(Duration::from_millis(2)).await;
            }
        };
        timeout(TEST_TIMEOUT, reached).await.expect("a run");
    }
}

/// Serves one connection with one request.
async fn work(
    mut stream: TcpStream,
    runs: Arc<Mutex<Vec<String>>>,
    mut released: watch::Receiver<Release>,
) {
    let mut request = [0; 4096];
    let count = stream.read(&mut request).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&request[..count]).into_owned();
    let Some(target) = text.split(' ').nth(1).filter(|t| t.contains("/work")) else {
        let _ = stream
            .write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
            .await;
        return;
    };
    runs.lock().unwrap().push(target.to_owned());
    if target.contains("begun") {
        let _ = stream.write_all(BEGUN).await;
    }
    if !target.contains("quick") {
        released.wait_for(|r| *r != Release::Hold).await.ok();
    }
    if *released.borrow() != Release::Close {
        let _ = stream.write_all(DONE).await;
    }
}

/// An instance that stops like a process on SIGTERM.
struct Process {
    callers: SocketAddr,
    terminate: oneshot::Sender<()>,
    thread: JoinHandle<usize>,
}

impl Process {
    async fn start(settings: Settings, list: &InstanceList) -> (Self, SocketAddr) {
        let name = settings.instance.as_str().to_owned();
        let (started, addresses) = oneshot::channel();
        let (terminate, terminated) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Runtime::new().unwrap();
            runtime.block_on(async {
                let instance = Instance::start(settings).await.unwrap();
                started.send(instance.addresses()).unwrap();
                terminated.await.ok();
                instance.drain().await
            })
        });
        let addresses = addresses.await.unwrap();
        list.put(Listed {
            name,
            address: addresses.fleet,
            state: InstanceState::Live,
        });
        let process = Self {
            callers: addresses.callers,
            terminate,
            thread,
        };
        (process, addresses.operators)
    }

    fn terminate(self) -> JoinHandle<usize> {
        self.terminate.send(()).unwrap();
        self.thread
    }
}

/// Waits for the end of a process and returns the number of requests that it cut.
async fn ended(thread: JoinHandle<usize>) -> usize {
    let joined = tokio::task::spawn_blocking(|| thread.join().unwrap());
    timeout(TEST_TIMEOUT, joined).await.unwrap().unwrap()
}

fn settings_text(
    name: &str,
    objects: &ObjectApi,
    list: &InstanceList,
    drain: u64,
    entry: &Value,
) -> String {
    json!({
        "instance": name,
        "centre": "dock-a",
        "listen": { "callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
            "fleet": "127.0.0.1:0" },
        "platform": { "objects": objects.address(), "instances": list.address() },
        "keys": { "fleet": "a fleet key of some length", "operator": key_hash(OPERATOR) },
        "times": { "store": 250, "lease": 1000, "drain": drain },
        "entry": entry,
        "log": { "format": "json" },
    })
    .to_string()
}

/// Two instances before one endpoint.
struct Fleet {
    objects: ObjectApi,
    list: InstanceList,
    endpoint: Endpoint,
    stopping: Process,
    other: Process,
}

impl Fleet {
    async fn start(drain: u64, entry: Value, room: u32) -> Self {
        let objects = ObjectApi::start(ObjectSettings::default()).unwrap();
        let list = InstanceList::start(InstanceSettings::default()).unwrap();
        let endpoint = Endpoint::start().await;
        let settings = |name: &str| {
            let text = settings_text(name, &objects, &list, drain, &entry);
            Settings::parse(&text).unwrap()
        };
        let (stopping, operators) = Process::start(settings("north-0"), &list).await;
        let (other, _) = Process::start(settings("north-1"), &list).await;
        let fleet = Self {
            objects,
            list,
            endpoint,
            stopping,
            other,
        };
        fleet.declare(operators, room).await;
        fleet
    }

    async fn declare(&self, operators: SocketAddr, room: u32) {
        let note = json!({
            "title": "first configuration",
            "base": 0,
            "added": {
                "accounts": { "kiosk": { "share": 1, "keys": [key_hash(ACCOUNT)] } },
                "centres": { "dock-a": {} },
                "services": { "app": { "kind": "plain", "estimate": 20, "routes": [
                    { "prefix": "/", "repeat": "idempotent" },
                    { "prefix": "/orders", "repeat": "once" },
                ] } },
                "endpoints": { "app-1": { "service": "app", "centre": "dock-a",
                    "address": self.endpoint.address, "cold": room, "warm": room, "ramp": 1 } },
            },
        });
        let url = format!("http://{operators}/notes");
        let request = client().post(url).bearer_auth(OPERATOR);
        let answer = request.body(note.to_string()).send().await.unwrap();
        assert_eq!(answer.status(), 200, "{:?}", answer.text().await);
        for instance in [&self.stopping, &self.other] {
            wait_ready(instance.callers).await;
        }
        self.endpoint.runs.lock().unwrap().clear();
    }
}

async fn wait_ready(callers: SocketAddr) {
    let ready = async {
        while get(callers, "/work/quick").send().await.unwrap().status() != 200 {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, ready).await.expect("ready");
}

fn client() -> reqwest::Client {
    let client = reqwest::Client::builder().no_proxy().timeout(TEST_TIMEOUT);
    client.build().unwrap()
}

fn get(callers: SocketAddr, path: &str) -> reqwest::RequestBuilder {
    let url = format!("http://{callers}/app{path}");
    client().get(url).bearer_auth(ACCOUNT)
}

fn order(callers: SocketAddr, path: &str) -> reqwest::RequestBuilder {
    let url = format!("http://{callers}/app/orders{path}");
    let request = client().post(url).bearer_auth(ACCOUNT);
    request
        .header("idempotency-key", "order-7")
        .body("24 sheets")
}

fn begin(
    request: reqwest::RequestBuilder,
) -> tokio::task::JoinHandle<reqwest::Result<reqwest::Response>> {
    tokio::spawn(request.send())
}

/// Returns status and outcome of a refusal, and whether it names a time for a retry.
async fn refusal(answer: reqwest::Result<reqwest::Response>) -> (u16, String, bool) {
    let answer = answer.expect("a final answer");
    let status = answer.status().as_u16();
    let has_retry = answer.headers().contains_key("retry-after");
    let problem: Value = answer.json().await.expect("a problem document");
    let outcome = problem["outcome"].as_str().unwrap().to_owned();
    (status, outcome, has_retry)
}

fn not_run() -> (u16, String, bool) {
    (503, "not-run".to_owned(), true)
}

fn unknown() -> (u16, String, bool) {
    (504, "unknown".to_owned(), false)
}

/// Time in the notice of a stop at which tests send late requests.
async fn in_the_notice() {
    sleep(Duration::from_millis(300)).await;
}

/// Time at which new requests are refused and accepted ones go on.
async fn in_the_drain() {
    sleep(Duration::from_millis(1_300)).await;
}

#[rstest]
#[case::idempotent(false)]
#[case::not_repeatable(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_that_may_outlast_the_stop_is_not_cut(#[case] is_order: bool) {
    let fleet = Fleet::start(DRAIN_MS, json!({}), 8).await;
    let callers = fleet.stopping.callers;
    let thread = fleet.stopping.terminate();
    in_the_notice().await;
    let request = if is_order {
        order(callers, "/work")
    } else {
        get(callers, "/work")
    };
    assert_eq!(refusal(request.send().await).await, not_run());
    assert_eq!(fleet.endpoint.runs(), 0);
    assert_eq!(ended(thread).await, 0);
}

#[rstest]
#[case::idempotent(false)]
#[case::not_repeatable(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_that_ends_before_the_stop_is_served(#[case] is_order: bool) {
    let fleet = Fleet::start(10_000, json!({ "first-ms": 5_000 }), 8).await;
    let callers = fleet.stopping.callers;
    let thread = fleet.stopping.terminate();
    in_the_notice().await;
    let request = if is_order {
        order(callers, "/work")
    } else {
        get(callers, "/work")
    };
    let sent = begin(request);
    fleet.endpoint.has_run(1).await;
    sleep(Duration::from_millis(1_500)).await;
    fleet.endpoint.release.send_replace(Release::Answer);
    let answer = sent.await.unwrap().unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.text().await.unwrap(), "done");
    assert_eq!(ended(thread).await, 0);
}

#[rstest]
#[case::idempotent(false)]
#[case::not_repeatable(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_sent_request_gets_an_answer_at_the_end_of_the_stop(#[case] is_order: bool) {
    let fleet = Fleet::start(DRAIN_MS, json!({}), 8).await;
    let callers = fleet.stopping.callers;
    let request = if is_order {
        order(callers, "/work")
    } else {
        get(callers, "/work")
    };
    let sent = begin(request);
    fleet.endpoint.has_run(1).await;
    let thread = fleet.stopping.terminate();
    assert_eq!(refusal(sent.await.unwrap()).await, unknown());
    assert_eq!(ended(thread).await, 1);
    if is_order {
        let again = order(fleet.other.callers, "/work").send().await;
        assert_eq!(refusal(again).await, (409, "unknown".to_owned(), false));
    }
    assert_eq!(fleet.endpoint.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_has_begun_is_visibly_incomplete_after_the_stop() {
    let fleet = Fleet::start(DRAIN_MS, json!({}), 8).await;
    let sent = order(fleet.stopping.callers, "/work/begun").send().await;
    let mut answer = sent.unwrap();
    assert_eq!(answer.chunk().await.unwrap().unwrap(), "part");
    let thread = fleet.stopping.terminate();
    answer.chunk().await.unwrap_err();
    assert_eq!(ended(thread).await, 1);
    let again = order(fleet.other.callers, "/work/begun").send().await;
    assert_eq!(refusal(again).await, (409, "unknown".to_owned(), false));
    assert_eq!(fleet.endpoint.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_for_an_endpoint_is_refused_before_the_stop_ends() {
    let fleet = Fleet::start(DRAIN_MS, json!({}), 1).await;
    let held = begin(get(fleet.other.callers, "/work"));
    fleet.endpoint.has_run(1).await;
    let waiting = begin(order(fleet.stopping.callers, "/work/quick"));
    sleep(Duration::from_millis(300)).await;
    assert!(!waiting.is_finished());
    let thread = fleet.stopping.terminate();
    assert_eq!(refusal(waiting.await.unwrap()).await, not_run());
    assert_eq!(ended(thread).await, 0);
    fleet.endpoint.release.send_replace(Release::Answer);
    assert_eq!(held.await.unwrap().unwrap().status(), 200);
    let again = order(fleet.other.callers, "/work/quick").send().await;
    assert_eq!(again.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_that_may_outlast_the_stop_is_not_begun() {
    let fleet = Fleet::start(DRAIN_MS, json!({}), 8).await;
    let sent = begin(get(fleet.stopping.callers, "/work"));
    fleet.endpoint.has_run(1).await;
    let thread = fleet.stopping.terminate();
    in_the_drain().await;
    fleet.endpoint.release.send_replace(Release::Close);
    sleep(Duration::from_millis(100)).await;
    fleet.endpoint.release.send_replace(Release::Hold);
    assert_eq!(refusal(sent.await.unwrap()).await, unknown());
    assert_eq!(fleet.endpoint.runs(), 1);
    ended(thread).await;
}

/// Sends `text` on `stream` and returns what arrives until the connection is closed.
async fn exchange(stream: &mut TcpStream, text: &str) -> String {
    let _ = stream.write_all(text.as_bytes()).await;
    let mut answer = Vec::new();
    let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
    let _ = end.expect("the connection is closed");
    String::from_utf8(answer).unwrap()
}

fn head(method: &str, path: &str, rest: &str) -> String {
    format!("{method} /app{path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {ACCOUNT}\r\n{rest}")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_incomplete_at_the_end_of_the_stop_is_refused() {
    let fleet = Fleet::start(DRAIN_MS, json!({}), 8).await;
    let mut stream = TcpStream::connect(fleet.stopping.callers).await.unwrap();
    let part = head(
        "POST",
        "/orders/work",
        "idempotency-key: order-7\r\ncontent-length: 9\r\n\r\n24 s",
    );
    stream.write_all(part.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    let thread = fleet.stopping.terminate();
    let answer = exchange(&mut stream, "").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not-run\""), "{answer}");
    assert_eq!(ended(thread).await, 0);
}

#[rstest]
#[case::while_a_request_runs(true)]
#[case::while_none_runs(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_a_kept_connection_is_refused_while_the_instance_stops(#[case] is_busy: bool) {
    let fleet = Fleet::start(DRAIN_MS, json!({}), 8).await;
    let callers = fleet.stopping.callers;
    let mut stream = TcpStream::connect(callers).await.unwrap();
    let request = head("GET", "/work/quick", "\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut first = [0; 4096];
    let count = stream.read(&mut first).await.unwrap();
    assert!(first[..count].starts_with(b"HTTP/1.1 200"));
    let held = is_busy.then(|| begin(get(callers, "/work")));
    fleet.endpoint.has_run(1 + usize::from(is_busy)).await;
    let thread = fleet.stopping.terminate();
    in_the_drain().await;
    let answer = exchange(&mut stream, &request).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not-run\""), "{answer}");
    ended(thread).await;
    drop(held);
}

#[rstest]
#[case::sent_at_once(100_000)]
#[case::larger_than_the_buffers(8 << 20)]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_with_a_long_body_hears_its_refusal(#[case] bytes: usize) {
    let fleet = Fleet::start(DRAIN_MS, json!({}), 8).await;
    let callers = fleet.stopping.callers;
    let thread = fleet.stopping.terminate();
    in_the_notice().await;
    for _ in 0..20 {
        let request = order(callers, "/work").body("z".repeat(bytes));
        assert_eq!(refusal(request.send().await).await, not_run());
    }
    assert_eq!(fleet.endpoint.runs(), 0);
    assert_eq!(ended(thread).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_caller_that_waits_to_send_its_body_is_not_asked_for_it() {
    let fleet = Fleet::start(DRAIN_MS, json!({}), 8).await;
    let mut stream = TcpStream::connect(fleet.stopping.callers).await.unwrap();
    let thread = fleet.stopping.terminate();
    in_the_notice().await;
    let rest = "idempotency-key: order-7\r\ncontent-length: 9\r\nexpect: 100-continue\r\n\r\n";
    let answer = exchange(&mut stream, &head("POST", "/orders/work", rest)).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(ended(thread).await, 0);
}

/// A process of its own that runs `cornelstand serve`.
struct Served {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
}

impl Drop for Served {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Served {
    /// Starts a process and returns it with its address for callers.
    fn start(settings: &str) -> (Self, SocketAddr) {
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let file = folder.join(format!("stop-{}.json5", std::process::id()));
        std::fs::write(&file, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cornelstand"))
            .arg("serve")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut served = Self { child, log };
        let started = served.line("started");
        let callers = started["fields"]["callers"].as_str().unwrap();
        let callers = callers.parse().unwrap();
        std::fs::remove_file(file).unwrap();
        (served, callers)
    }

    /// Reads the log up to a line with this message.
    fn line(&mut self, message: &str) -> Value {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "no {message}");
            let line: Value = serde_json::from_str(&line).unwrap();
            if line["fields"]["message"] == message {
                return line;
            }
        }
    }

    fn terminate(&self) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), Signal::TERM).unwrap();
    }
}

fn request_id(answer: &reqwest::Response) -> String {
    answer.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_stop_refuses_or_ends_are_in_the_log() {
    let entry = json!({});
    let fleet = Fleet::start(DRAIN_MS, entry.clone(), 8).await;
    let settings = settings_text("north-2", &fleet.objects, &fleet.list, DRAIN_MS, &entry);
    let (mut served, callers) = Served::start(&settings);
    wait_ready(callers).await;
    fleet.endpoint.runs.lock().unwrap().clear();
    let sent = begin(get(callers, "/work"));
    fleet.endpoint.has_run(1).await;
    served.terminate();
    in_the_notice().await;
    let late = order(callers, "/work").send().await.unwrap();
    let sent = sent.await.unwrap().unwrap();
    for (answer, outcome) in [(late, "not-run"), (sent, "unknown")] {
        let line = served.line("refused while stopping");
        assert_eq!(line["fields"]["request"], request_id(&answer));
        assert_eq!(line["fields"]["outcome"], outcome);
    }
    let stopped = served.line("stopped");
    assert_eq!(stopped["fields"]["cut"], 1);
    assert!(served.child.wait().unwrap().success());
    assert_eq!(fleet.endpoint.runs(), 1);
}
