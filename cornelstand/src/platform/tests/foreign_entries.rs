//! Entries of other writers in the store, among those of endpoints.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::gateway::follow::{Followed, follow};
use crate::gateway::gate::Gate;
use crate::gateway::tests::{ORDERS, gate, record};
use crate::name::EndpointName;
use crate::platform::store::StoreClient;
use crate::platform::tests::path::run_local;
use crate::platform::tests::scripted::{TEST_TIMEOUT, own_loopback, read_request};

/// A store that answers each call with the next body, and the last one not at all.
async fn store(bodies: Vec<Vec<u8>>) -> (SocketAddr, Rc<std::cell::RefCell<Vec<String>>>) {
    let listener = TcpListener::bind((own_loopback(), 0))
        .await
        .expect("loopback");
    let address = listener.local_addr().expect("bound");
    let requests: Rc<std::cell::RefCell<Vec<String>>> = Rc::default();
    let kept = requests.clone();
    tokio::task::spawn_local(async move {
        let mut bodies = bodies.into_iter();
        loop {
            let (mut stream, _) = listener.accept().await.expect("accept");
            while let Some(request) = read_request(&mut stream).await {
                kept.borrow_mut().push(request);
                let Some(body) = bodies.next() else {
                    std::future::pending::<()>().await;
                    return;
                };
                let length = body.len();
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                let answer = [head.as_bytes(), &body].concat();
                stream.write_all(&answer).await.expect("written");
            }
        }
    });
    (address, requests)
}

fn entry(name: &str, state: &str) -> Vec<u8> {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":4}},"spec":{{"service":"{ORDERS}",
        "address":"127.0.0.1:9","zone":"north","slots":6,"state":"{state}","born":1}}}}"#
    )
    .into_bytes()
}

fn foreign(spec: &[u8]) -> Vec<u8> {
    [br#"{"metadata":{"name":"x"},"spec":"#, spec, b"}"].concat()
}

/// A value with more levels than a parser's stack holds.
fn nested(open: &str, close: &str) -> String {
    let levels = 100_000;
    format!("{}0{}", open.repeat(levels), close.repeat(levels))
}

fn page(items: &[Vec<u8>], has_more: bool) -> Vec<u8> {
    let items = items.join(&b","[..]);
    let end = format!(r#"],"has_more":{has_more},"as_of":5}}"#);
    [br#"{"items":["#, &items[..], end.as_bytes()].concat()
}

fn changes(objects: &[Vec<u8>]) -> Vec<u8> {
    let event = |o: &Vec<u8>| [br#"{"object":"#, &o[..], br#","deleted":false}"#].concat();
    let events: Vec<Vec<u8>> = objects.iter().map(event).collect();
    let events = events.join(&b","[..]);
    [br#"{"events":["#, &events[..], br#"],"as_of":6}"#].concat()
}

/// Waits until the gateway knows that an endpoint drains.
async fn wait_until_leaving(gate: &Gate, name: &str) {
    let name = EndpointName::from(name);
    let is_leaving = || {
        let endpoints = gate.state.borrow().directory.snapshot(gate.now()).endpoints;
        let record = endpoints.into_iter().find(|e| e.record.name == name);
        record.is_some_and(|e| e.record.leaving)
    };
    while !is_leaving() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against entries of other writers that hide what follows: in the listing, in the same
/// answer to a watch and in a later one.
#[rstest]
#[case::deeply_nested(nested("[", "]"))]
#[case::deeply_nested_objects(nested("{\"a\":", "}"))]
#[case::large_number(br#"{"slots":1e999}"#)]
#[case::long_number(br#"{"slots":123456789012345678901234567890}"#)]
#[case::port_out_of_range(br#"{"address":"10.0.0.1:99999"}"#)]
#[case::lone_surrogate(br#"{"note":"new sliders \ud83d"}"#)]
#[case::bad_escape(br#"{"note":"\x"}"#)]
#[case::no_utf8(b"{\"note\":\"\xff\xfe\"}")]
#[case::control_character(b"{\"note\":\"a\x00\nb\"}")]
#[case::no_number(br#"{"slots":NaN,"cold_left_ms":-Infinity}"#)]
#[case::no_value(br#"{"slots":,"state"}"#)]
#[case::brackets_in_text(br#"{"note":"]}\"]}"}"#)]
#[case::text(br#""not an object""#)]
#[case::null(b"null")]
#[tokio::test]
async fn an_unreadable_entry_hides_no_other(#[case] spec: impl AsRef<[u8]>) {
    let foreign = foreign(spec.as_ref());
    for odd_call in 0..3 {
        let list = |at: usize, objects: &[Vec<u8>]| {
            let is_odd = at == odd_call;
            let odd = is_odd.then(|| foreign.clone());
            odd.into_iter()
                .chain(objects.iter().cloned())
                .collect::<Vec<_>>()
        };
        let bodies = vec![
            page(
                &list(0, &[entry("o-1", "ready"), entry("o-2", "ready")]),
                false,
            ),
            changes(&list(1, &[entry("o-1", "draining")])),
            changes(&list(2, &[entry("o-2", "draining")])),
        ];
        run_local(async move {
            let (address, _) = store(bodies).await;
            let gate = gate("one", Vec::new());
            gate.settings.borrow_mut().store = address;
            gate.discovery_done.set(true);
            tokio::task::spawn_local(follow(gate.clone(), Followed::Endpoints));
            for name in ["o-1", "o-2"] {
                timeout(TEST_TIMEOUT, wait_until_leaving(&gate, name))
                    .await
                    .expect("the gateway learns of it");
            }
        })
        .await;
    }
}

/// An entry that becomes unreadable names no endpoint any more.
#[tokio::test]
async fn an_entry_that_becomes_unreadable_is_removed() {
    run_local(async {
        let odd = br#"{"metadata":{"name":"o-1"},"spec":{"note":"\ud83d"}}"#.to_vec();
        let bodies = vec![page(&[entry("o-1", "ready")], false), changes(&[odd])];
        let (address, _) = store(bodies).await;
        let gate = gate("one", vec![record("o-1", ORDERS, address)]);
        gate.settings.borrow_mut().store = address;
        gate.discovery_done.set(true);
        tokio::task::spawn_local(follow(gate.clone(), Followed::Endpoints));
        let expired = async {
            loop {
                let now = gate.now();
                let changes = gate.state.borrow_mut().directory.expire(now);
                if !changes.is_empty() {
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, expired).await.expect("it is removed");
    })
    .await;
}

/// A page may end with entries that have no readable name, and names may hold any character.
#[tokio::test]
async fn a_listing_goes_on_after_the_last_readable_name() {
    run_local(async {
        let nameless = br#"{"metadata":{"name":7},"spec":{}}"#.to_vec();
        let odd_name = entry("a b&c=/\\r\\n\u{e9}", "ready");
        let bodies = vec![
            page(&[entry("o-1", "ready"), nameless.clone()], true),
            page(&[nameless.clone(), odd_name], true),
            page(&[nameless, entry("o-3", "ready")], false),
        ];
        let (address, requests) = store(bodies).await;
        let (objects, revision) = StoreClient::new(address)
            .list("servers")
            .await
            .expect("read");
        assert_eq!((objects.len(), revision), (3, 5.into()));
        let paths = requests.borrow();
        let paths = paths.iter().filter_map(|r| r.split(' ').nth(1));
        assert_eq!(
            paths.collect::<Vec<_>>(),
            [
                "/-/objects/servers",
                "/-/objects/servers?after=o-1",
                "/-/objects/servers?after=a%20b%26c%3D%2F%0D%0A%C3%A9",
            ]
        );
    })
    .await;
}

/// A partial list would pass for endpoints that are gone.
#[rstest]
#[case::no_names(br#"{"items":[{"spec":{}}],"has_more":true,"as_of":5}"#)]
#[case::no_revision(br#"{"items":[],"has_more":false}"#)]
#[case::cut(br#"{"items":[{"metadata":{"name":"o-1"},"spec":{}}"#)]
#[case::no_object(b"[]")]
#[tokio::test]
async fn a_listing_that_is_not_whole_is_refused(#[case] body: &[u8]) {
    run_local(async {
        let (address, _) = store(vec![body.to_vec()]).await;
        let list = StoreClient::new(address).list("servers").await;
        assert!(list.is_err(), "{list:?}");
    })
    .await;
}
