//! Callers that nobody controls, and an ordinary one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::endpoint::LONG_BYTES;

/// Time limit of an ordinary caller.
const ASK_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that a slow caller reads at once, and its pause between two reads.
const SLOW_BYTES: usize = 2_048;
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// Pause of a caller that sends one byte at a time.
const DRIP_PAUSE: Duration = Duration::from_secs(1);
/// Bytes of a body that is announced and never sent.
const ANNOUNCED_BYTES: usize = 4_000_000;
/// Bytes that a caller sends of a head that does not end.
const HEAD_BYTES: usize = 1_000_000;
/// Requests that a caller sends without reading an answer.
const PIPELINED: usize = 2_000;

/// What the callers of a crowd do.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Way {
    /// Asks for a long answer and reads none of it.
    Unread(&'static str),
    /// Reads a long answer slowly.
    Slow(&'static str),
    /// Reads a long answer but for its last byte.
    LastByteLeft(&'static str),
    /// Reads an answer as fast as it comes.
    Eager(&'static str),
    /// Sends the bytes of a request one at a time.
    Drip,
    /// Sends a head that does not end.
    EndlessHead,
    /// Announces a body and sends none of it.
    BodyUnsent,
    /// Sends requests one after the other and reads no answer.
    Pipelined,
}

/// Callers that do the same.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd {
    pub(crate) count: usize,
    pub(crate) way: Way,
}

/// Where callers connect, and how a request is written.
#[derive(Clone, Debug)]
pub(crate) struct Front {
    pub(crate) address: SocketAddr,
    /// Head without its end, for a path, an identity and the length of the body.
    pub(crate) head: fn(&str, &str, usize) -> String,
}

impl Front {
    fn request(&self, path: &str, id: &str) -> String {
        (self.head)(path, id, 4) + "\r\nbody"
    }
}

/// Sends an ordinary request and reads its answer to the end of the connection.
pub(crate) async fn ask(front: &Front, id: &str) -> Option<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(front.address).await.ok()?;
        let head = (front.head)("plain", id, 4) + "connection: close\r\n\r\nbody";
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    timeout(ASK_TIMEOUT, exchange).await.ok().flatten()
}

/// Acts as one caller of a crowd; it connects again whenever its connection ends.
pub(crate) async fn run(front: Arc<Front>, way: Way, id: String) {
    for number in 0.. {
        if let Ok(stream) = TcpStream::connect(front.address).await {
            act(&front, way, &format!("{id}-{number}"), stream).await;
        }
        sleep(SLOW_PAUSE).await;
    }
}

/// Ends with the connection.
async fn act(front: &Front, way: Way, id: &str, mut stream: TcpStream) -> Option<()> {
    let body_unsent = || (front.head)("plain", id, ANNOUNCED_BYTES) + "\r\n";
    match way {
        Way::Unread(path) => {
            send(&mut stream, &front.request(path, id)).await?;
            std::future::pending().await
        }
        Way::Slow(path) => {
            send(&mut stream, &front.request(path, id)).await?;
            let mut bytes = [0; SLOW_BYTES];
            while stream.read(&mut bytes).await.ok()? > 0 {
                sleep(SLOW_PAUSE).await;
            }
            None
        }
        Way::LastByteLeft(path) => {
            send(&mut stream, &front.request(path, id)).await?;
            let mut rest = LONG_BYTES - 1;
            let mut bytes = vec![0; 64 * 1024];
            while rest > 0 {
                let most = bytes.len().min(rest);
                let count = stream.read(&mut bytes[..most]).await.ok()?;
                if count == 0 {
                    return None;
                }
                rest -= count;
            }
            std::future::pending().await
        }
        Way::Eager(path) => {
            send(&mut stream, &front.request(path, id)).await?;
            wait_closed(&mut stream).await
        }
        Way::Drip => {
            for byte in front.request("plain", id).bytes() {
                stream.write_all(&[byte]).await.ok()?;
                sleep(DRIP_PAUSE).await;
            }
            None
        }
        Way::EndlessHead => {
            send(&mut stream, &(front.head)("plain", id, 4)).await?;
            let line = format!("x-more: {}\r\n", "y".repeat(1_000));
            for _ in 0..HEAD_BYTES / line.len() {
                stream.write_all(line.as_bytes()).await.ok()?;
            }
            std::future::pending().await
        }
        Way::BodyUnsent => {
            send(&mut stream, &body_unsent()).await?;
            wait_closed(&mut stream).await
        }
        Way::Pipelined => {
            for number in 0..PIPELINED {
                send(
                    &mut stream,
                    &front.request("plain", &format!("{id}-{number}")),
                )
                .await?;
            }
            std::future::pending().await
        }
    }
}

async fn send(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

async fn wait_closed(stream: &mut TcpStream) -> Option<()> {
    let mut bytes = [0; SLOW_BYTES];
    while stream.read(&mut bytes).await.ok()? > 0 {}
    None
}
