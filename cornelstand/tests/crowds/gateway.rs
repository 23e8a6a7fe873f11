//! Crowds before a gateway.

use rstest::rstest;
use serde_json::json;
use stand_ins::PlatformStore;

use crate::callers::{Crowd, Front, Way};
use crate::process::{Process, folder};
use crate::{Bounds, alone, endpoint, meet};

/// Memory of the machine in the settings, in megabytes.
const MEMORY_MB: usize = 64;
/// Descriptors of the process in the settings.
const DESCRIPTORS: usize = 1_600;
const KEY: &str = "key-a";

/// Callers that ask for long answers.
const READERS: usize = 24;
/// Callers that hold connections.
const SENDERS: usize = 240;
/// Callers whose requests meet a faulty endpoint.
const ASKING: usize = 640;
/// Callers whose answers come without end, at full speed.
const FLOODED: usize = 8;

fn head(path: &str, id: &str, length: usize) -> String {
    let is_stream = ["event", "events", "comments"].contains(&path);
    let route = if is_stream { "talk" } else { "stock" };
    format!(
        "POST /{route}/{path} HTTP/1.1\r\nhost: shop.example\r\nx-cornelstand-attempt-id: {id}\r\n\
         x-cornelstand-deadline-ms: 8000\r\nx-cornelstand-credential: {KEY}\r\n\
         x-cornelstand-token-count: 10,60\r\ncontent-length: {length}\r\n"
    )
}

fn fill(store: &PlatformStore, endpoint: std::net::SocketAddr) {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 8000, "target_latency_ms": 800, "max_attempts": 2, "service": service,
        })
    };
    let spec = json!({
        "version": 1,
        "routes": [
            route("talk", "streaming", "models"),
            route("stock", "idempotent", "orders"),
        ],
        "services": [
            { "name": "models", "engine": { "slots": 512, "kv_capacity": 500_000, "stride": 6 } },
            { "name": "orders" },
        ],
        "limits": {
            "max_header_bytes": 262_144, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 10_000, "idle_timeout_ms": 10_000,
        },
        "tenants": [{ "name": "ada", "api_keys": [KEY] }],
    });
    store.put("config", "main", &spec);
    for (name, service) in [("m-1", "models"), ("o-1", "orders")] {
        let spec = json!({
            "service": service, "address": endpoint, "zone": "north", "slots": 512,
            "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
        });
        store.put("servers", name, &spec);
    }
}

/// Starts a gateway at the loopback address `last` of these tests.
fn start(store: &PlatformStore, last: u8) -> (Process, Front) {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = std::net::Ipv4Addr::new(127, 100 + high % 64, low, last);
    let folder = folder(&last.to_string());
    let settings = folder.join("settings.conf");
    let text = format!(
        "node=n-{last}\nzone=north\nzones.north=here\nlisten.front={ip}:8783\n\
         listen.ready={ip}:8780\nlisten.control={ip}:8785\ninternal_ports=7400,7415\n\
         seeds={ip}:8785\nlimits.cpu_share=1\nlimits.memory_mb={MEMORY_MB}\n\
         limits.max_fds={DESCRIPTORS}\nbounds.grace_s=8\nbounds.budget_slack=50\n\
         platform.address={}\n",
        store.address()
    );
    std::fs::write(&settings, text).expect("settings are written");
    let process = Process::start(folder, |command| {
        command.arg("gateway").env("CORNELSTAND_CONFIG", settings);
    });
    let front = Front {
        address: (ip, 8_783).into(),
        head,
    };
    (process, front)
}

fn readers(way: Way) -> Crowd {
    Crowd {
        count: READERS,
        way,
    }
}

fn senders(way: Way) -> Crowd {
    Crowd {
        count: SENDERS,
        way,
    }
}

#[rstest]
#[case::unread_length(1, vec![readers(Way::Unread("length"))])]
#[case::unread_chunks(2, vec![readers(Way::Unread("chunks"))])]
#[case::unread_close(3, vec![readers(Way::Unread("close"))])]
#[case::slow_length(4, vec![readers(Way::Slow("length"))])]
#[case::slow_chunks(5, vec![readers(Way::Slow("chunks"))])]
#[case::slow_events(6, vec![readers(Way::Slow("events"))])]
#[case::last_byte_left(7, vec![readers(Way::LastByteLeft("length"))])]
#[case::drip(8, vec![senders(Way::Drip)])]
#[case::endless_head(9, vec![senders(Way::EndlessHead)])]
#[case::body_unsent(10, vec![senders(Way::BodyUnsent)])]
#[case::pipelined(11, vec![senders(Way::Pipelined)])]
#[case::all_at_once(12, vec![
    readers(Way::Unread("length")), readers(Way::Unread("chunks")), readers(Way::Slow("close")),
    readers(Way::Slow("events")), readers(Way::LastByteLeft("chunks")), readers(Way::Drip),
    readers(Way::EndlessHead), readers(Way::BodyUnsent), readers(Way::Pipelined),
])]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_outlives_a_crowd(#[case] last: u8, #[case] crowds: Vec<Crowd>) {
    let _alone = alone().await;
    let store = PlatformStore::start().expect("the store starts");
    fill(&store, endpoint::start().await);
    let (mut process, front) = start(&store, last);
    let bounds = Bounds {
        memory: MEMORY_MB * 1024 * 1024,
        descriptors: DESCRIPTORS,
    };
    meet(&mut process, &front, &crowds, bounds).await;
}

fn asking(path: &'static str) -> Vec<Crowd> {
    let count = ASKING;
    let way = Way::Eager(path);
    vec![Crowd { count, way }]
}

fn flooded(path: &'static str) -> Vec<Crowd> {
    let count = FLOODED;
    let way = Way::Eager(path);
    vec![Crowd { count, way }]
}

/// An endpoint sends bytes without end to many requests at once.
#[rstest]
#[case::head(21, asking("head"))]
#[case::body(22, asking("body"))]
#[case::event(23, asking("event"))]
#[case::tail(24, asking("tail"))]
#[case::interim(25, flooded("interim"))]
#[case::error(26, flooded("error"))]
#[case::comments(27, flooded("comments"))]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_outlives_an_endpoint_without_end(#[case] last: u8, #[case] crowds: Vec<Crowd>) {
    let _alone = alone().await;
    let store = PlatformStore::start().expect("the store starts");
    fill(&store, endpoint::start().await);
    let (mut process, front) = start(&store, last);
    let bounds = Bounds {
        memory: MEMORY_MB * 1024 * 1024,
        descriptors: DESCRIPTORS,
    };
    meet(&mut process, &front, &crowds, bounds).await;
}
