//! Parsing and encoding of the platform's settings, headers and objects.

use std::time::Duration;

use bytes::BytesMut;
use rstest::rstest;
use serde_json::json;

use crate::gateway::endpoint_load::{LoadReport, ToldLoad};
use crate::gateway::message::Head;
use crate::platform::headers::{
    CallerFraming, Forwarding, read_call, read_response, write_request_head, write_response_head,
};
use crate::platform::objects::{StoreObject, read_config, read_endpoint};
use crate::platform::settings::parse_settings;

const SETTINGS: &str = "\
node=front-dock-a-1
zone=dock-a
zones.dock-a=north-coast
zones.dock-b=north-coast
listen.front=10.1.0.33:8783
listen.ready=10.1.0.33:8780
listen.control=10.1.0.33:8785
internal_ports=7400,7415
seeds=10.1.0.33:8785,10.2.0.18:8785
something.new=1
limits.memory_mb=260
limits.max_fds=4100
bounds.grace_s=8
bounds.retry_budget_ratio=0.2
bounds.budget_slack=52
bounds.retry_window_s=10
bounds.cold_over=1.5
bounds.cold_slack=5
platform.address=10.200.1.7:8781
";

#[test]
fn settings_are_read_and_unknown_ones_ignored() {
    let settings = parse_settings(SETTINGS).expect("valid");
    assert_eq!(settings.instance.as_str(), "front-dock-a-1");
    assert_eq!(settings.centres.len(), 2);
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.peer_ports, 7_400..=7_415);
    assert_eq!(settings.grace, Duration::from_secs(8));
}

#[rstest]
#[case::missing("node=front-dock-a-1\n", "", "settings: node is missing")]
#[case::empty("zone=dock-a\n", "zone=\n", "settings: zone is missing")]
#[case::address(
    "listen.front=10.1.0.33:8783",
    "listen.front=here",
    "settings: listen.front has the value \"here\", which is not an address"
)]
#[case::ports(
    "internal_ports=7400,7415",
    "internal_ports=7400",
    "settings: internal_ports has the value \"7400\", which is not two ports"
)]
#[case::negative(
    "bounds.cold_over=1.5",
    "bounds.cold_over=-1",
    "settings: bounds.cold_over has the value \"-1\", which is not a number that is not negative"
)]
fn errors_name_the_malformed_setting(
    #[case] line: &str,
    #[case] instead: &str,
    #[case] message: &str,
) {
    let error = parse_settings(&SETTINGS.replacen(line, instead, 1)).expect_err("refused");
    assert_eq!(error.to_string(), message);
}

fn head(text: &str) -> Head {
    let head = Head::parse_request(&mut BytesMut::from(text), 4_096);
    head.expect("well formed").expect("complete")
}

const REQUEST: &str = "POST /quote/1?x=%20y HTTP/1.1\r
Host: shop.example\r
X-Cornelstand-Attempt-Id: 9c41\r
X-Cornelstand-Model: m\r
X-Cornelstand-Token-Count: 1460,80\r
X-Cornelstand-Prompt-Prefix: 5c1e07a2:800,e4402b7d:250\r
X-Cornelstand-Deadline-Ms: 15000\r
X-Cornelstand-Credential: secret\r
X-Cornelstand-Tenant: forged\r
X-Cornelstand-Hold: h\r
X-Cornelstand-Pin-Ms: 9\r
X-Cornelstand-Kv-Backup: 10.0.0.1:80\r
Kv-From: 10.0.0.1:80/x\r
X-Own: kept\r
X-Hop: dropped\r
Connection: keep-alive, X-Hop, X-Cornelstand-Model\r
Keep-Alive: timeout=5\r
TE: trailers\r
Transfer-Encoding: chunked\r
\r
";

#[test]
fn a_request_is_passed_on_without_what_callers_must_not_set() {
    let head = head(REQUEST);
    let mut out = BytesMut::new();
    let forwarding = Forwarding {
        endpoint: "i-1",
        account: Some("ada"),
        remaining: Duration::from_millis(14_321),
        last_event: None,
    };
    write_request_head(&mut out, &head, 4, &forwarding);
    out.extend_from_slice(b"body");
    insta::assert_snapshot!(String::from_utf8_lossy(&out).replace('\r', ""));
}

#[test]
fn a_resumed_stream_names_the_last_event() {
    let text = "POST /q/ HTTP/1.1\r\nX-Cornelstand-Attempt-Id: 1\r\nLast-Event-Id: 3\r\n\r\n";
    let mut out = BytesMut::new();
    let forwarding = Forwarding {
        endpoint: "i-1",
        account: None,
        remaining: Duration::from_secs(1),
        last_event: Some(b"17"),
    };
    write_request_head(&mut out, &head(text), 0, &forwarding);
    let out = String::from_utf8_lossy(&out).to_lowercase();
    assert_eq!(out.matches("last-event-id").count(), 1);
    assert!(out.contains("last-event-id: 17\r\n"));
}

#[test]
fn headers_of_a_request_are_decoded() {
    let fields = read_call(&head(REQUEST)).expect("valid");
    assert_eq!(&fields.request_id[..], b"9c41");
    assert_eq!(fields.timeout, Some(Duration::from_secs(15)));
    assert_eq!(fields.key.as_deref(), Some("secret"));
    assert!(fields.prompt.is_some());
}

#[rstest]
#[case::no_identity("GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n", "the request has no identity")]
#[case::two_identities(
    "GET /q/ HTTP/1.1\r\nX-Cornelstand-Attempt-Id: 1\r\nX-Cornelstand-Attempt-Id: 2\r\n\r\n",
    "the request has two identities"
)]
#[case::deadline(
    "GET /q/ HTTP/1.1\r\nX-Cornelstand-Attempt-Id: 1\r\nX-Cornelstand-Deadline-Ms: soon\r\n\r\n",
    "the deadline is no number"
)]
fn requests_with_malformed_headers_are_refused(#[case] text: &str, #[case] reason: &str) {
    assert_eq!(read_call(&head(text)).err(), Some(reason));
}

#[test]
fn an_answer_keeps_its_receipt_and_loses_what_concerns_one_connection() {
    let mut input = BytesMut::from(
        "HTTP/1.1 200 Fine\r\nX-Cornelstand-Attempt-Id: 9c41\r\nX-Cornelstand-Server-Stamp: 3e.1\r\n\
         Content-Type: text/event-stream\r\nKeep-Alive: timeout=7\r\nConnection: close\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
    );
    let head = Head::parse_response(&mut input, 4_096)
        .expect("valid")
        .expect("complete");
    let fields = read_response(&head);
    assert!(fields.has_stamp && !fields.not_run);
    assert_eq!(fields.idle, Some(Duration::from_secs(7)));
    let mut out = BytesMut::new();
    write_response_head(&mut out, &head, CallerFraming::Length(3), "");
    insta::assert_snapshot!(String::from_utf8_lossy(&out).replace('\r', ""));
}

fn load_of(values: &[&str]) -> ToldLoad {
    let mut input = BytesMut::from("HTTP/1.1 200 Fine\r\n");
    for value in values {
        input.extend_from_slice(format!("X-Cornelstand-Replica-Load: {value}\r\n").as_bytes());
    }
    input.extend_from_slice(b"\r\n");
    let head = Head::parse_response(&mut input, 4_096).expect("valid");
    read_response(&head.expect("complete")).load
}

#[rstest]
#[case::without_a_pace("3,0,8", None)]
#[case::with_a_pace("3, 0, 8, 250", Some(2.5))]
fn an_answer_tells_the_load_of_its_endpoint(#[case] value: &str, #[case] pace: Option<f64>) {
    let report = LoadReport {
        running: 3,
        waiting: 0,
        slots: 8,
        pace,
    };
    assert_eq!(load_of(&[value]), ToldLoad::Report(report));
}

#[rstest]
#[case::empty("")]
#[case::too_few("3,0")]
#[case::too_many("3,0,8,100,1")]
#[case::negative("-3,0,8,100")]
#[case::no_slots("0,0,0,100")]
#[case::huge("4294967295,0,8,100")]
#[case::no_number("3,0,8,fast")]
#[case::no_pace("3,0,8,NaN")]
#[case::endless("3,0,8,inf")]
#[case::negative_pace("3,0,8,-100")]
#[case::still("3,0,8,0")]
#[case::huge_pace("3,0,8,1e9")]
#[case::fraction("3.5,0,8")]
fn figures_of_load_that_are_absurd_are_no_load_at_all(#[case] value: &str) {
    assert_eq!(load_of(&[value]), ToldLoad::Unreadable);
}

#[test]
fn an_answer_may_tell_no_load_and_not_two() {
    assert_eq!(load_of(&[]), ToldLoad::Missing);
    assert_eq!(load_of(&["1,0,8", "2,0,8"]), ToldLoad::Unreadable);
}

fn entry(spec: &serde_json::Value) -> StoreObject {
    serde_json::from_value(json!({ "metadata": { "name": "i-1" }, "spec": spec })).expect("object")
}

fn endpoint() -> serde_json::Value {
    json!({
        "service": "models", "address": "10.128.0.9:8080", "zone": "dock-a", "version": "v1",
        "slots": 64, "state": "ready", "cold_left_ms": 1500, "seq": 4, "born": 1_700_000_000_000_u64,
    })
}

#[test]
fn an_entry_of_an_endpoint_is_decoded() {
    let record = read_endpoint(&entry(&endpoint())).expect("valid");
    assert_eq!(record.cold, Duration::from_millis(1_500));
    assert!(!record.leaving);
}

#[test]
fn a_draining_endpoint_is_leaving() {
    let mut spec = endpoint();
    spec["state"] = json!("draining");
    assert!(read_endpoint(&entry(&spec)).expect("valid").leaving);
}

#[rstest]
#[case::state("state", json!("dancing"))]
#[case::address("address", json!("nowhere"))]
#[case::slots("slots", json!("many"))]
#[case::service("service", json!(7))]
#[case::zone("zone", json!(null))]
#[case::born("born", json!("yesterday"))]
fn malformed_entries_of_endpoints_are_rejected(
    #[case] field: &str,
    #[case] value: serde_json::Value,
) {
    let mut spec = endpoint();
    spec[field] = value;
    assert!(read_endpoint(&entry(&spec)).is_err());
}

#[test]
fn a_configuration_is_decoded() {
    let spec = json!({
        "version": 7,
        "routes": [
            { "name": "r-1", "host": "Shop.example", "path_prefix": "/a/", "kind": "streaming",
              "timeout_ms": 15000, "target_latency_ms": 800, "max_attempts": 1,
              "traffic_split": [{ "service": "x", "weight": 90 }, { "service": "y", "weight": 10 }] },
            { "name": "r-2", "host": "shop.example", "path_prefix": "/a/b/", "kind": "non_idempotent",
              "timeout_ms": 1000, "target_latency_ms": 100, "service": "y", "public": true },
        ],
        "services": [{ "name": "x", "max_conns": 360, "cold_start_s": 3.0, "cold_per_s": 10.0,
            "engine": { "slots": 64, "kv_capacity": 530_739, "stride": 6 } }, { "name": "y" }],
        "limits": { "max_header_bytes": 16384, "tokens_per_s": 390_000 },
        "tenants": [{ "name": "ada", "api_keys": ["k1", "k2"] }],
    });
    let catalog = read_config(&spec).expect("valid").index();
    assert_eq!(catalog.version, 7);
    assert_eq!(catalog.keys.len(), 2);
    let name = |host, path| catalog.route(host, path).map(|r| r.name.as_str());
    assert_eq!(name("shop.example:80", "/a/c"), Some("r-1"));
    assert_eq!(name("SHOP.example", "/a/b/c"), Some("r-2"));
    assert_eq!(name("shop.example", "/ab"), None);
    let target = |draw| {
        catalog.routes[0]
            .target(draw)
            .map(crate::name::ServiceName::as_str)
    };
    assert_eq!((target(0.89), target(0.91)), (Some("x"), Some("y")));
}
