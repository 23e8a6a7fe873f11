//! Links over real connections on loopback.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use tokio::net::TcpListener;

use super::{Handlers, LinkError, LinkSettings, Links, serve};
use crate::meter::Traffic;
use crate::timeline::Stamp;

const SILENCE: Duration = Duration::from_millis(300);
const WAIT: Duration = Duration::from_secs(30);

fn settings(own: &str, key: &str) -> LinkSettings {
    LinkSettings {
        own: own.into(),
        key: key.into(),
        silence: SILENCE,
        max_frame: 1 << 20,
        traffic: Traffic::default(),
    }
}

/// Handlers that answer heartbeats; an offer is never answered.
fn handlers() -> Handlers {
    Handlers {
        ping: Arc::new(|stamp| stamp),
        offer: Arc::new(|_| std::future::pending().boxed()),
        withdraw: Arc::new(|_| async {}.boxed()),
        tell: Arc::new(|_| async { Vec::new() }.boxed()),
        hear: Arc::new(|_| async {}.boxed()),
        census: Arc::new(|_| std::future::pending().boxed()),
        hand_over: Arc::new(|_| async { true }.boxed()),
        gossip: Arc::new(|_| async { None }.boxed()),
        borrow: Arc::new(|_| async { None }.boxed()),
        yield_cell: Arc::new(|_| async {}.boxed()),
        suspect: Arc::new(|_| async { None }.boxed()),
        claim: Arc::new(|_| async { None }.boxed()),
        config: Arc::new(|_| async { None }.boxed()),
        events: Arc::new(Vec::new),
        status: Arc::new(|()| std::future::pending().boxed()),
    }
}

#[tokio::test]
async fn a_call_on_a_link_that_falls_silent_fails_and_the_next_gets_a_new_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    // The first connection is accepted and never read again; the second is served.
    let server = tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.expect("a connection");
        let own = "b".into();
        crate::handshake::accept(&mut first, "a fleet key", &own)
            .await
            .expect("the key is proved");
        serve(listener, settings("b", "a fleet key"), handlers()).await;
        drop(first);
    });
    let links = Links::new(settings("a", "a fleet key"));
    let call = |client: super::FleetClient, context| async move {
        client.ping(context, Stamp::default()).await
    };
    let lost = links.call(address, WAIT, call).await;
    assert!(matches!(lost, Err(LinkError::Call { .. })), "{lost:?}");
    links.call(address, WAIT, call).await.expect("a new link");
    server.abort();
}

#[tokio::test]
async fn a_side_without_the_fleet_key_is_refused_before_any_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(serve(listener, settings("b", "a fleet key"), handlers()));
    let links = Links::new(settings("a", "another key"));
    let refused = links
        .call(address, WAIT, |client, context| async move {
            client.ping(context, Stamp::default()).await
        })
        .await;
    assert!(
        matches!(refused, Err(LinkError::Handshake { .. })),
        "{refused:?}"
    );
    server.abort();
}

#[tokio::test]
async fn a_link_goes_on_after_a_silence_without_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(serve(listener, settings("b", "a fleet key"), handlers()));
    let own = settings("a", "a fleet key");
    let traffic = own.traffic.clone();
    let links = Links::new(own);
    let call = |client: super::FleetClient, context| async move {
        client.ping(context, Stamp::default()).await
    };
    links.call(address, WAIT, call).await.expect("a link");
    let before = traffic.sent();
    tokio::time::sleep(SILENCE * 3).await;
    assert_eq!(traffic.sent(), before, "an idle link sends nothing");
    links
        .call(address, WAIT, call)
        .await
        .expect("the same link");
    server.abort();
}
