//! Requests that crash the endpoints that run them, over real connections.

use std::time::Duration;

use tokio::time::sleep;

use crate::gateway::call::fingerprint;
use crate::gateway::gate::Gate;
use crate::gateway::placement::{Place, PlaceEnd};
use crate::gateway::tests::{ORDERS, gate, record};
use crate::name::{AccountName, EndpointName, Fingerprint};
use crate::platform::tests::path::{ask, entry, local, request, status};
use crate::platform::tests::scripted::{Endpoint, Step, answer};

/// Fingerprint of [`request`] for a path.
fn print(path: &str) -> Fingerprint {
    fingerprint(Some(&AccountName::from("ada")), path, b"body")
}

/// Takes all places of the only endpoint.
fn fill(gate: &Gate) -> Vec<Place> {
    let mut state = gate.state.borrow_mut();
    let mut places = Vec::new();
    for _ in 0..12 {
        places.extend(state.endpoints.take(gate.now(), 0, None));
    }
    places
}

fn crash(gate: &Gate, request: Fingerprint, endpoints: &[&str]) {
    for endpoint in endpoints {
        gate.note_crash(request, &EndpointName::from(*endpoint), 1);
    }
}

#[tokio::test]
async fn a_waiting_request_that_is_known_to_crash_endpoints_meanwhile_is_not_sent() {
    local(async {
        let script = vec![Step::Read, Step::Write(answer("a1", "", "done"))];
        let endpoint = Endpoint::start(vec![script]).await;
        let gate = gate("one", vec![record("o-1", ORDERS, endpoint.address)]);
        let address = entry(&gate).await;
        let places = fill(&gate);
        let asked =
            tokio::task::spawn_local(async move { ask(address, &request("/book/1", "a1")).await });
        sleep(Duration::from_millis(60)).await;
        crash(&gate, print("/book/1"), &["e-1", "e-2"]);
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
