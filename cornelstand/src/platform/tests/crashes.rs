//! Containment of requests that crash endpoints, over loopback connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::gateway::call::{PART_CRASH_REASON, fingerprint};
use crate::gateway::gate::Gate;
use crate::gateway::placement::{AnswerPhase, Place, PlaceEnd};
use crate::gateway::prompt_suspects::{Loss, LossKey};
use crate::gateway::tests::{ORDERS, crash, gate, list, record};
use crate::name::{AccountName, Fingerprint, PartId};
use crate::platform::tests::path::{fetch, listen, request, run_local, status, with_engines};
use crate::platform::tests::scripted::{
    Endpoint, Step, accept, answer, own_loopback, read_request, run_script,
};

/// Fingerprint of [`request`] for `path`.
fn path_fingerprint(path: &str) -> Fingerprint {
    fingerprint(Some(&AccountName::from("ada")), path, b"body")
}

/// Takes all places of the only endpoint.
fn take_all_places(gate: &Gate) -> Vec<Place> {
    let mut state = gate.state.borrow_mut();
    let mut places = Vec::new();
    for _ in 0..64 {
        places.extend(state.endpoints.take(gate.now(), 0, None));
    }
    places
}

#[tokio::test]
async fn a_queued_request_is_not_sent_once_it_is_known_to_crash_endpoints() {
    run_local(async {
        let script = vec![Step::Read, Step::Write(answer("a1", "", "done"))];
        let endpoint = Endpoint::start(vec![script]).await;
        let gate = gate("one", vec![record("o-1", ORDERS, endpoint.address)]);
        let address = listen(&gate).await;
        let places = take_all_places(&gate);
        let asked =
            tokio::task::spawn_local(
                async move { fetch(address, &request("/book/1", "a1")).await },
            );
        sleep(Duration::from_millis(60)).await;
        for endpoint in ["e-1", "e-2"] {
            gate.note_crash(path_fingerprint("/book/1"), crash(endpoint));
        }
        for place in &places {
            gate.end(place, PlaceEnd::Neutral);
        }
        let text = asked.await.expect("a caller");
        assert_eq!(status(&text), "503", "{text}");
        assert!(text.contains("retry-after: "), "{text}");
        assert_eq!(endpoint.count(), 0);
    })
    .await;
}

#[tokio::test]
async fn a_queued_request_is_refused_at_once_when_a_part_of_its_prompt_is_refused() {
    run_local(async {
        let (gate, address, engines) = with_engines(vec![vec![]]).await;
        let _places = take_all_places(&gate);
        let request = request("/digest/1", "a1").replacen(
            "Content-Length:",
            "X-Cornelstand-Prompt-Prefix: a:40,b:40,c:20\r\nContent-Length:",
            1,
        );
        let started = Instant::now();
        let asked = tokio::task::spawn_local(async move { fetch(address, &request).await });
        sleep(Duration::from_millis(30)).await;
        // Two crashes that are too far apart for a common cause.
        for endpoint in [1, 2] {
            gate.note_loss(Loss {
                key: LossKey {
                    request: Fingerprint(u64::from(endpoint)),
                    endpoint,
                },
                parts: vec![PartId(0xa), PartId(0xb)],
                answer: AnswerPhase::Head,
                age: Duration::from_secs(u64::from(endpoint)),
            });
        }
        let text = asked.await.expect("a caller");
        assert_eq!(status(&text), "503", "{text}");
        assert!(text.contains(PART_CRASH_REASON), "{text}");
        assert!(started.elapsed() < Duration::from_millis(150));
        assert_eq!(engines[0].count(), 0);
    })
    .await;
}

/// An endpoint that sends `kind` as its response to its first request. Without `kind` it resets
/// that connection and accepts no other, as if it had crashed and not restarted.
async fn endpoint(kind: Option<&str>) -> SocketAddr {
    let listener = TcpListener::bind((own_loopback(), 0))
        .await
        .expect("loopback");
    let address = listener.local_addr().expect("bound");
    let answer = kind.map(str::to_owned);
    tokio::task::spawn_local(async move {
        let mut stream = accept(&listener).await;
        if answer.is_none() {
            drop(listener);
        }
        read_request(&mut stream).await;
        match answer {
            Some(text) => stream.write_all(text.as_bytes()).await.expect("written"),
            None => SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("a socket option"),
        }
    });
    address
}

#[tokio::test]
async fn a_failure_of_an_endpoint_does_not_clear_a_request_that_crashes_others() {
    run_local(async {
        let failure = "HTTP/1.1 500 Oops\r\nX-Cornelstand-Attempt-Id: a2\r\n\
                       X-Cornelstand-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n";
        let mut records = Vec::new();
        for (name, kind) in [
            ("o-1", None),
            ("o-2", Some(failure)),
            ("o-3", None),
            ("o-4", None),
        ] {
            records.push(record(name, ORDERS, endpoint(kind).await));
        }
        let gate = gate("one", records);
        let address = listen(&gate).await;
        let mut statuses = Vec::new();
        for id in ["a1", "a2", "a3", "a4"] {
            statuses.push(status(&fetch(address, &request("/book/1", id)).await).to_owned());
        }
        assert_eq!(statuses, ["502", "500", "502", "503"]);
    })
    .await;
}

#[tokio::test]
async fn a_request_with_other_headers_and_framing_is_the_same_request() {
    run_local(async {
        let mut records = Vec::new();
        for name in ["o-1", "o-2", "o-3"] {
            records.push(record(name, ORDERS, endpoint(None).await));
        }
        let gate = gate("one", records);
        let address = listen(&gate).await;
        let plain = request("/book/1", "a1");
        let chunked = request("/book/1", "a2").replacen(
            "Content-Length: 4\r\n\r\nbody",
            "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
            1,
        );
        let resumed = request("/book/1", "a3").replacen("Host:", "Last-Event-Id: 3\r\nHost:", 1);
        let mut statuses = Vec::new();
        for request in [plain, chunked, resumed] {
            statuses.push(status(&fetch(address, &request).await).to_owned());
        }
        assert_eq!(statuses, ["502", "502", "503"]);
    })
    .await;
}

/// An endpoint that drops its first connection and accepts later ones, as if it had crashed and
/// restarted before the loss was detected.
async fn restarted_endpoint() -> SocketAddr {
    let listener = TcpListener::bind((own_loopback(), 0))
        .await
        .expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::task::spawn_local(async move {
        let mut first = accept(&listener).await;
        read_request(&mut first).await;
        sleep(Duration::from_millis(100)).await;
        drop(first);
        while listener.accept().await.is_ok() {}
    });
    address
}

#[rstest]
#[case::same_name("o-1", 2, true)]
#[case::other_name("o-9", 2, true)]
#[case::same_lifetime("o-1", 1, false)]
#[tokio::test]
async fn a_restart_before_the_loss_is_detected_counts_as_a_crash(
    #[case] name: &str,
    #[case] born: u64,
    #[case] is_crash: bool,
) {
    run_local(async {
        let address = restarted_endpoint().await;
        let gate = gate("one", vec![record("o-1", ORDERS, address)]);
        let front = listen(&gate).await;
        let asked =
            tokio::task::spawn_local(async move { fetch(front, &request("/book/1", "a1")).await });
        sleep(Duration::from_millis(50)).await;
        let mut again = record(name, ORDERS, address);
        again.started_at = born;
        list(&gate, vec![again]);
        assert_eq!(status(&asked.await.expect("a caller")), "502");
        let crashes = gate
            .state
            .borrow()
            .suspects
            .crashes(path_fingerprint("/book/1"));
        assert_eq!(crashes, usize::from(is_crash));
    })
    .await;
}

/// An endpoint that every request crashes, and that restarts at the same address 350 ms later.
async fn crashing_endpoint() -> SocketAddr {
    let mut listener = TcpListener::bind((own_loopback(), 0))
        .await
        .expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::task::spawn_local(async move {
        loop {
            let mut stream = accept(&listener).await;
            drop(listener);
            read_request(&mut stream).await;
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("a socket option");
            drop(stream);
            sleep(Duration::from_millis(350)).await;
            listener = TcpListener::bind(address).await.expect("the port is free");
        }
    });
    address
}

#[tokio::test]
async fn each_crash_counts_though_the_store_misses_the_restart() {
    run_local(async {
        let gate = gate(
            "one",
            vec![record("o-1", ORDERS, crashing_endpoint().await)],
        );
        let address = listen(&gate).await;
        let mut statuses = Vec::new();
        for id in ["a1", "a2", "a3"] {
            statuses.push(status(&fetch(address, &request("/book/1", id)).await).to_owned());
            sleep(Duration::from_millis(600)).await;
        }
        assert_eq!(statuses, ["502", "502", "503"]);
        assert_eq!(
            gate.state
                .borrow()
                .suspects
                .crashes(path_fingerprint("/book/1")),
            2
        );
    })
    .await;
}

/// Guards against requests that are refused as crashing because this instance lacks memory.
#[tokio::test]
async fn an_answer_without_room_is_no_crash_of_its_endpoint() {
    run_local(async {
        let bound = TcpListener::bind((own_loopback(), 0)).await;
        let listener = bound.expect("loopback");
        let endpoint = listener.local_addr().expect("bound");
        let large = format!("X-More: {}\r\n", "y".repeat(20_000));
        let script = vec![Step::Read, Step::Write(answer("a1", &large, "large"))];
        spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("accept");
            drop(listener);
            run_script(stream, script, Rc::default(), Rc::default()).await;
        });
        let gate = gate("one", vec![record("o-1", ORDERS, endpoint)]);
        let memory = gate.settings.borrow().memory;
        let mut other = gate.held.share();
        assert!(other.grow(memory, memory));
        let text = fetch(listen(&gate).await, &request("/book/1", "a1")).await;
        assert_eq!(status(&text), "502", "{text}");
        let state = gate.state.borrow();
        assert_eq!(state.suspects.crashes(path_fingerprint("/book/1")), 0);
    })
    .await;
}
