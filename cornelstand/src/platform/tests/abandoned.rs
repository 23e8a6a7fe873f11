//! Connections to endpoints whose attempt ended without a whole response.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::gateway::directory::EndpointRecord;
use crate::gateway::peers::Heartbeat;
use crate::gateway::tests::{MODELS, gate, record};
use crate::name::{CentreName, InstanceName};
use crate::platform::tests::path::{connect, listen, request, run_local};
use crate::platform::tests::scripted::{
    TEST_TIMEOUT, chunk, event, own_loopback, read_request, response, stream_head,
};

/// An endpoint that sends `text` and tells how its connection ended.
async fn endpoint(text: String) -> (SocketAddr, oneshot::Receiver<io::Result<usize>>) {
    let listener = TcpListener::bind((own_loopback(), 0))
        .await
        .expect("loopback");
    let address = listener.local_addr().expect("bound");
    let (ended, end) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        read_request(&mut stream).await.expect("a request");
        stream.write_all(text.as_bytes()).await.expect("written");
        ended.send(stream.read(&mut [0]).await).expect("awaited");
    });
    (address, end)
}

/// A request that is still on its way must not arrive once nobody waits for its response. Only a
/// reset discards what was written.
#[rstest]
#[case::caller_left("/digest/1", String::new(), true)]
#[case::caller_left_a_stream("/digest/1", stream_head("a1") + &chunk(&event(1)), true)]
#[case::deadline("/digest/1", String::new(), false)]
#[case::deadline_of_a_stream("/digest/1", stream_head("a1") + &chunk(&event(1)), false)]
#[case::silent_stream("/quote/1", stream_head("a1") + &chunk(&event(1)), false)]
#[case::malformed("/quote/1", "who goes there\r\n\r\n".into(), false)]
#[case::without_receipt(
    "/digest/1",
    "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: a1\r\nContent-Length: 9\r\n\r\n".into(),
    false
)]
#[tokio::test]
async fn an_abandoned_connection_is_reset(
    #[case] path: &str,
    #[case] text: String,
    #[case] caller_leaves: bool,
) {
    run_local(async {
        let (engine, end) = endpoint(text).await;
        let gate = gate("one", vec![record("m-1", MODELS, engine)]);
        let address = listen(&gate).await;
        let mut caller = connect(address).await;
        let request = request(path, "a1").replacen("5000", "1000", 1);
        caller.write_all(request.as_bytes()).await.expect("sent");
        if caller_leaves {
            sleep(Duration::from_millis(50)).await;
            drop(caller);
        }
        let end = timeout(TEST_TIMEOUT, end).await.expect("it is closed");
        let error = end.expect("an end").expect_err("no orderly close");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    })
    .await;
}

/// A whole response needs no reset, also if its connection cannot be kept.
#[tokio::test]
async fn a_connection_with_a_whole_response_is_closed_in_order() {
    run_local(async {
        let headers = "Connection: close\r\nContent-Length: 2\r\n";
        let (engine, end) = endpoint(response("a1", "500 Oops", headers, "no")).await;
        let gate = gate("one", vec![record("m-1", MODELS, engine)]);
        let address = listen(&gate).await;
        let mut caller = connect(address).await;
        let request = request("/digest/1", "a1");
        caller.write_all(request.as_bytes()).await.expect("sent");
        let end = timeout(TEST_TIMEOUT, end).await.expect("it is closed");
        assert_eq!(end.expect("an end").expect("an orderly close"), 0);
    })
    .await;
}

/// While the links to the endpoint's data centre are cut, its request waits in the network. It must
/// not arrive once the caller was told that it is lost.
#[rstest]
#[case::nothing_heard(false)]
#[case::heard_meanwhile(true)]
#[tokio::test]
async fn a_request_into_a_silent_data_centre_is_recalled(#[case] is_heard: bool) {
    run_local(async {
        let (engine, end) = endpoint(String::new()).await;
        let gate = gate("one", vec![record_in("south", engine)]);
        let peer = heartbeat_of("two", "south", 1);
        gate.receive_heartbeat(engine, peer);
        let address = listen(&gate).await;
        let mut caller = connect(address).await;
        let request = request("/digest/1", "a1").replacen("5000", "4000", 1);
        caller.write_all(request.as_bytes()).await.expect("sent");
        if is_heard {
            sleep(Duration::from_secs(1)).await;
            gate.receive_heartbeat(engine, heartbeat_of("two", "south", 2));
        }
        let mut answer = [0; 12];
        let read = timeout(TEST_TIMEOUT, caller.read_exact(&mut answer)).await;
        read.expect("an answer").expect("a status");
        let status = String::from_utf8_lossy(&answer);
        // 502 as the request is recalled, 504 at its deadline.
        assert_eq!(
            status,
            if is_heard {
                "HTTP/1.1 504"
            } else {
                "HTTP/1.1 502"
            }
        );
        let end = timeout(TEST_TIMEOUT, end).await.expect("it is closed");
        let error = end.expect("an end").expect_err("no orderly close");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    })
    .await;
}

fn record_in(centre: &str, address: SocketAddr) -> EndpointRecord {
    EndpointRecord {
        centre: CentreName::from(centre),
        ..record("m-1", MODELS, address)
    }
}

/// A heartbeat of another instance.
fn heartbeat_of(instance: &str, centre: &str, number: u64) -> Heartbeat {
    Heartbeat {
        instance: InstanceName::from(instance),
        centre: CentreName::from(centre),
        number,
        ..gate("template", Vec::new()).heartbeat()
    }
}
