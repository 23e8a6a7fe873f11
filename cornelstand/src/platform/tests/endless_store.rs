//! Answers of the store, and messages of peers, without end.

use std::cell::Cell;
use std::rc::Rc;

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::yield_now;

use crate::gateway::peers_link::receive_messages;
use crate::gateway::tests::gate;
use crate::platform::objects::ENDPOINT_KIND;
use crate::platform::store::StoreClient;
use crate::platform::tests::path::run_local;
use crate::platform::tests::scripted::{own_loopback, read_request};

/// Pages of a listing after which the test lets it end.
const MAX_PAGES: usize = 200;

/// Messages at once; more than an instance handles in one turn, and fewer than a socket holds.
const MESSAGES: usize = 200;

/// Guards against messages that keep the only thread.
#[tokio::test]
async fn messages_without_end_leave_turns_to_others() {
    run_local(async {
        let socket = Rc::new(UdpSocket::bind((own_loopback(), 0)).await.expect("bound"));
        let address = socket.local_addr().expect("bound");
        let peer = std::net::UdpSocket::bind((own_loopback(), 0)).expect("bound");
        for _ in 0..MESSAGES {
            peer.send_to(b"no message", address).expect("sent");
        }
        tokio::task::spawn_local(receive_messages(gate("one", Vec::new()), socket.clone()));
        socket.readable().await.expect("messages");
        yield_now().await;
        assert!(socket.try_recv_from(&mut [0; 16]).is_ok(), "none is left");
    })
    .await;
}

/// Guards against a list whose pages always tell of another one.
#[rstest]
#[case::same_page(|_| "a".to_owned(), 10, 2)]
#[case::in_turns(|page: usize| (page % 2).to_string(), 500_000, 40)]
#[case::large_pages(|page| format!("{page:04}"), 500_000, 40)]
#[tokio::test]
async fn a_listing_without_end_is_given_up(
    #[case] name: fn(usize) -> String,
    #[case] length: usize,
    #[case] most: usize,
) {
    run_local(async move {
        let listener = TcpListener::bind((own_loopback(), 0)).await;
        let listener = listener.expect("loopback");
        let address = listener.local_addr().expect("bound");
        let pages = Rc::new(Cell::new(0));
        let counted = pages.clone();
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            while read_request(&mut stream).await.is_some() {
                let (name, spec) = (name(counted.get()), "x".repeat(length));
                counted.set(counted.get() + 1);
                let has_more = counted.get() < MAX_PAGES;
                let body = format!(
                    r#"{{"items":[{{"metadata":{{"name":"{name}"}},"spec":"{spec}"}}],"has_more":{has_more},"as_of":5}}"#
                );
                let length = body.len();
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                let answer = head + &body;
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        let listed = StoreClient::new(address).list(ENDPOINT_KIND).await;
        assert!(listed.is_err(), "{} pages were kept", pages.get());
        assert!(pages.get() <= most, "{} pages were read", pages.get());
    })
    .await;
}
