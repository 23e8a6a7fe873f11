//! Crowds before an instance of `cornelstand serve`.

use std::net::SocketAddr;
use std::time::Duration;

use cornelstand::key_hash;
use rstest::rstest;
use serde_json::json;
use stand_ins::{InstanceList, InstanceSettings, InstanceState, Listed, ObjectApi, ObjectSettings};
use tokio::time::{Instant, sleep};

use crate::callers::{Crowd, Front, Way};
use crate::process::{Process, folder};
use crate::{Bounds, TEST_TIMEOUT, alone, endpoint, meet};

const MEBIBYTE: usize = 1024 * 1024;
/// Connections of callers in the settings, and memory for each.
const CONNECTIONS: usize = 256;
const CONNECTION_BYTES: usize = 128 * 1024;
/// Memory for request bodies in the settings.
const BODY_BYTES: usize = 16 * MEBIBYTE;
/// Memory for the program itself.
const PROGRAM_BYTES: usize = 48 * MEBIBYTE;
/// Descriptors: a connection to an endpoint for each of a caller, and others.
const DESCRIPTORS: usize = 2 * CONNECTIONS + 128;
const OPERATOR: &str = "operators-key";
const KEY: &str = "kiosk-key";

/// Callers that ask for long answers.
const READERS: usize = 120;
/// Callers that hold connections.
const SENDERS: usize = 200;
/// Callers whose answers come without end, at full speed.
const FLOODED: usize = 8;
/// Callers of each kind if all come at once.
const EACH: usize = 24;

fn head(path: &str, _id: &str, length: usize) -> String {
    let is_stream = ["event", "events", "comments"].contains(&path);
    let service = if is_stream { "model" } else { "app" };
    format!(
        "POST /{service}/{path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n"
    )
}

/// Puts the first configuration in force.
async fn declare(operators: SocketAddr) {
    let (app, model) = (endpoint::start().await, endpoint::start().await);
    let service = |kind: &str| {
        json!({ "kind": kind, "estimate": 20, "routes": [
            { "prefix": "/", "repeat": "idempotent" },
        ] })
    };
    let listed = |service: &str, address: SocketAddr| {
        json!({ "service": service, "centre": "dock-a", "address": address,
            "cold": 512, "warm": 512, "ramp": 1 })
    };
    let note = json!({
        "title": "first configuration",
        "base": 0,
        "added": {
            "accounts": { "kiosk": { "share": 1, "keys": [key_hash(KEY)], "queue": 512 } },
            "centres": { "dock-a": {} },
            "services": { "app": service("plain"), "model": service("model") },
            "endpoints": { "app-1": listed("app", app), "model-1": listed("model", model) },
        },
    });
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.expect("a client");
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let url = format!("http://{operators}/notes");
        let request = client.post(url).bearer_auth(OPERATOR);
        match request.body(note.to_string()).send().await {
            Ok(answer) if answer.status() == 200 => return,
            answer => assert!(Instant::now() < until, "{answer:?}"),
        }
        sleep(Duration::from_millis(100)).await;
    }
}

async fn start(objects: &ObjectApi, list: &InstanceList, number: u8) -> (Process, Front) {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = std::net::Ipv4Addr::new(127, 100 + high % 64, low, 100 + number);
    let folder = folder(&format!("serve-{number}"));
    let path = folder.join("settings.json5");
    let text = json!({
        "instance": "north-0",
        "centre": "dock-a",
        "listen": { "callers": format!("{ip}:8080"), "operators": format!("{ip}:8081"),
            "fleet": format!("{ip}:8082") },
        "platform": { "objects": objects.address(), "instances": list.address() },
        "keys": { "fleet": "a fleet key of some length", "operator": key_hash(OPERATOR) },
        "entry": { "connections": CONNECTIONS, "buffer-bytes": BODY_BYTES,
            "header-bytes": 65_536, "header-ms": 10_000, "body-ms": 5_000, "idle-ms": 5_000 },
        "log": { "format": "json" },
    });
    std::fs::write(&path, text.to_string()).expect("settings are written");
    let process = Process::start(folder, |command| {
        command.arg("serve").arg(path);
    });
    list.put(Listed {
        name: "north-0".to_owned(),
        address: (ip, 8_082).into(),
        state: InstanceState::Live,
    });
    declare((ip, 8_081).into()).await;
    let front = Front {
        address: (ip, 8_080).into(),
        head,
    };
    (process, front)
}

fn crowd(count: usize, way: Way) -> Vec<Crowd> {
    vec![Crowd { count, way }]
}

#[rstest]
#[case::unread_length(1, crowd(READERS, Way::Unread("length")))]
#[case::unread_chunks(2, crowd(READERS, Way::Unread("chunks")))]
#[case::slow_length(3, crowd(READERS, Way::Slow("length")))]
#[case::slow_chunks(4, crowd(READERS, Way::Slow("chunks")))]
#[case::slow_events(5, crowd(READERS, Way::Slow("events")))]
#[case::last_byte_left(6, crowd(READERS, Way::LastByteLeft("length")))]
#[case::drip(7, crowd(SENDERS, Way::Drip))]
#[case::endless_head(8, crowd(SENDERS, Way::EndlessHead))]
#[case::body_unsent(9, crowd(SENDERS, Way::BodyUnsent))]
#[case::pipelined(10, crowd(SENDERS, Way::Pipelined))]
#[case::all_at_once(11, [
    Way::Unread("length"), Way::Unread("chunks"), Way::Slow("length"), Way::Slow("events"),
    Way::LastByteLeft("chunks"), Way::Drip, Way::EndlessHead, Way::BodyUnsent, Way::Pipelined,
].map(|way| Crowd { count: EACH, way }).to_vec())]
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_outlives_a_crowd(#[case] number: u8, #[case] crowds: Vec<Crowd>) {
    let _alone = alone().await;
    let objects = ObjectApi::start(ObjectSettings::default()).expect("the store starts");
    let list = InstanceList::start(InstanceSettings::default()).expect("the list starts");
    let (mut process, front) = start(&objects, &list, number).await;
    let bounds = Bounds {
        memory: BODY_BYTES + CONNECTIONS * CONNECTION_BYTES + PROGRAM_BYTES,
        descriptors: DESCRIPTORS,
    };
    meet(&mut process, &front, &crowds, bounds).await;
}

/// An endpoint sends bytes without end to many requests at once.
#[rstest]
#[case::head(21, crowd(SENDERS, Way::Eager("head")))]
#[case::long_head(22, crowd(SENDERS, Way::Eager("long-head")))]
#[case::body(23, crowd(SENDERS, Way::Eager("body")))]
#[case::event(24, crowd(SENDERS, Way::Eager("event")))]
#[case::tail(25, crowd(SENDERS, Way::Eager("tail")))]
#[case::interim(26, crowd(FLOODED, Way::Eager("interim")))]
#[case::error(27, crowd(FLOODED, Way::Eager("error")))]
#[case::comments(28, crowd(FLOODED, Way::Eager("comments")))]
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_outlives_an_endpoint_without_end(
    #[case] number: u8,
    #[case] crowds: Vec<Crowd>,
) {
    let _alone = alone().await;
    let objects = ObjectApi::start(ObjectSettings::default()).expect("the store starts");
    let list = InstanceList::start(InstanceSettings::default()).expect("the list starts");
    let (mut process, front) = start(&objects, &list, number).await;
    let bounds = Bounds {
        memory: BODY_BYTES + CONNECTIONS * CONNECTION_BYTES + PROGRAM_BYTES,
        descriptors: DESCRIPTORS,
    };
    meet(&mut process, &front, &crowds, bounds).await;
}
