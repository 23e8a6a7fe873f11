//! Responses without end to requests whose responses are read whole.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::Client;
use rstest::rstest;

use crate::store::{ObjectKind, Store, Version};
use crate::{dispatcher, instance_list};

const MEBIBYTE: usize = 1 << 20;
/// Bytes that may be on their way in sockets and in the HTTP client.
const UNDERWAY: usize = 24 * MEBIBYTE;
/// Bytes after which the server sends no more.
const MAX_SENT: usize = 128 * MEBIBYTE;
/// Time limit of a read.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server whose response to any request has no end, and which counts its bytes.
fn flood() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = sent.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve(stream, &counted);
        }
    });
    (address, sent)
}

fn serve(mut stream: TcpStream, sent: &AtomicUsize) -> Option<()> {
    let count = stream.read(&mut [0; 4096]).ok()?;
    let head = b"HTTP/1.1 200 OK\r\netag: \"1\"\r\n\r\n{\"instances\":[";
    stream.write_all(head).ok().filter(|()| count > 0)?;
    let filler = b"{},".repeat(20_000);
    while sent.load(Ordering::Relaxed) < MAX_SENT {
        stream.write_all(&filler).ok()?;
        sent.fetch_add(filler.len(), Ordering::Relaxed);
    }
    None
}

fn client() -> Client {
    let client = Client::builder().no_proxy().timeout(TIMEOUT);
    client.build().expect("a client")
}

fn store(address: SocketAddr) -> Store {
    Store::new(address, TIMEOUT)
}

/// Bodies were kept for as long as the time limit of their request let them come.
#[rstest]
#[case::load_of_an_endpoint(1, |address| async move {
    dispatcher::fetch_load(&client(), address).await.is_some()
}.boxed())]
#[case::instance_list(8, |address| async move {
    instance_list::read(&client(), address).await.is_some()
}.boxed())]
#[case::object(1, |address| async move {
    store(address).get(ObjectKind::Lease, "a").await.is_ok()
}.boxed())]
#[case::list_of_objects(64, |address| async move {
    store(address).list(ObjectKind::ConfigShard).await.is_ok()
}.boxed())]
#[case::watch(64, |address| async move {
    let kind = ObjectKind::ConfigHead;
    store(address).watch(kind, Version(1), Duration::ZERO).await.is_ok()
}.boxed())]
#[tokio::test]
async fn a_response_without_end_is_not_kept(
    #[case] most: usize,
    #[case] read: fn(SocketAddr) -> BoxFuture<'static, bool>,
) {
    let (address, sent) = flood();
    assert!(!read(address).await, "a response without end was taken");
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= most * MEBIBYTE + UNDERWAY, "{sent} bytes were read");
}
