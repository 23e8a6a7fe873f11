//! What a gateway concludes when its calls to the store fail.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::{advance, sleep, timeout};

use crate::gateway::directory::EndpointChange;
use crate::gateway::follow::{Followed, follow};
use crate::gateway::tests::{ORDERS, gate, record};
use crate::name::CentreName;
use crate::platform::tests::path::run_local;
use crate::platform::tests::scripted::{TEST_TIMEOUT, own_loopback, read_request};

/// A gateway that was cut off from the store alone kept using endpoints whose entries had gone, as
/// if the store had been away and the entries had lapsed.
#[tokio::test(start_paused = true)]
async fn a_gateway_alone_in_its_data_centre_does_not_take_a_cut_for_an_outage() {
    let endpoint = record("o-1", ORDERS, ([127, 0, 0, 1], 9).into());
    let gate = gate("one", vec![endpoint]);
    let peer = gate_in("two", "south");
    let now = gate.now();
    peer.state.borrow_mut().directory.mark_store_available(now);
    let cut_after = 10;
    for step in 0..30 {
        advance(Duration::from_millis(200)).await;
        gate.receive_heartbeat(([127, 0, 0, 1], 7).into(), peer.heartbeat());
        if step == cut_after {
            let now = gate.now();
            gate.state.borrow_mut().directory.mark_store_lost(now);
        }
    }
    let (now, since) = (gate.now(), gate.store_since());
    let directory = &mut gate.state.borrow_mut().directory;
    directory.mark_store_available(since);
    let changes = directory.list_endpoints(now, Vec::new());
    assert_eq!(changes, [EndpointChange::Removed("o-1".into())]);
}

fn gate_in(instance: &str, centre: &str) -> std::rc::Rc<crate::gateway::gate::Gate> {
    let gate = gate(instance, Vec::new());
    gate.settings.borrow_mut().centre = CentreName::from(centre);
    gate
}

/// A call that began in a cut and timed out after it moved the store's recovery on, and with it the
/// removal of endpoints whose entries had gone.
#[tokio::test]
async fn a_call_that_times_out_after_an_answer_does_not_show_a_lost_store() {
    run_local(async {
        let listener = TcpListener::bind((own_loopback(), 0))
            .await
            .expect("loopback");
        let address = listener.local_addr().expect("bound");
        tokio::task::spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("accept");
                tokio::task::spawn_local(async move {
                    let request = read_request(&mut stream).await.unwrap_or_default();
                    if request.starts_with("GET /-/objects/servers HTTP") {
                        let body = r#"{"items":[],"has_more":false,"as_of":5}"#;
                        let length = body.len();
                        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                        let answer = head + body;
                        stream.write_all(answer.as_bytes()).await.expect("written");
                    }
                    // All other calls stay without an answer.
                    std::future::pending::<()>().await;
                });
            }
        });
        let gate = gate("one", Vec::new());
        gate.settings.borrow_mut().store = address;
        gate.discovery_done.set(true);
        tokio::task::spawn_local(follow(gate.clone(), Followed::Evacuations));
        sleep(Duration::from_millis(100)).await;
        tokio::task::spawn_local(follow(gate.clone(), Followed::Endpoints));
        let failed = gate.metrics.store_calls.with_label_values(&["failed"]);
        let wait = async {
            while failed.get() == 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TEST_TIMEOUT, wait)
            .await
            .expect("the first call times out");
        assert!(gate.state.borrow().directory.has_store());
    })
    .await;
}
