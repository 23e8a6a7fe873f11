//! An endpoint that answers at length, or without end. It cuts an answer that stays unread, as
//! those of the users do.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Body of an ordinary answer.
pub(crate) const PLAIN: &str = "an ordinary answer";
/// Bytes of a long answer.
pub(crate) const LONG_BYTES: usize = 6_000_000;
/// Bytes that are written at once.
const PIECE_BYTES: usize = 50_000;
/// Events of a stream, bytes of one, and time between two.
const EVENTS: usize = 1_500;
const EVENT_BYTES: usize = 4_000;
const EVENT_PERIOD: Duration = Duration::from_millis(4);
/// Bytes of a head and of an event that stop short of the bounds for one.
const STALLED_HEAD_BYTES: usize = 60_000;
const STALLED_LONG_HEAD_BYTES: usize = 380_000;
const STALLED_EVENT_BYTES: usize = 250_000;
/// Bytes of these that are written at once, and time between two writes.
const PACED_BYTES: usize = 16_000;
const PACE_PERIOD: Duration = Duration::from_millis(100);
/// Time between two bytes of a trickle.
const TRICKLE_PERIOD: Duration = Duration::from_millis(500);
/// Time after which an unread answer is cut.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts an endpoint on loopback.
pub(crate) async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Serves requests until the peer closes the connection or does not read.
async fn serve(stream: TcpStream) -> Option<()> {
    let mut stream = BufStream::new(stream);
    loop {
        let (target, id) = read(&mut stream).await?;
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-cornelstand-attempt-id: {id}\r\nx-request-id: {id}\r\n\
             x-cornelstand-server-stamp: s\r\n"
        );
        let way = target.rsplit('/').next().unwrap_or_default();
        match way {
            "length" => {
                let head = format!("{head}content-length: {LONG_BYTES}\r\n\r\n");
                put(&mut stream, head.as_bytes()).await?;
                long(&mut stream, false).await?;
            }
            "chunks" => {
                let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
                put(&mut stream, head.as_bytes()).await?;
                long(&mut stream, true).await?;
                put(&mut stream, b"0\r\n\r\n").await?;
            }
            "close" => {
                put(&mut stream, format!("{head}\r\n").as_bytes()).await?;
                return long(&mut stream, false).await;
            }
            "events" => {
                let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
                put(&mut stream, format!("{head}{kind}").as_bytes()).await?;
                events(&mut stream).await?;
            }
            // A head without end that trickles.
            "head" => {
                let line = format!("{head}x-more: {}", "y".repeat(STALLED_HEAD_BYTES));
                pace(&mut stream, line.as_bytes()).await?;
                return trickle(&mut stream, "y").await;
            }
            // The same, for clients that bear larger heads.
            "long-head" => {
                let line = format!("{head}x-more: {}", "y".repeat(STALLED_LONG_HEAD_BYTES));
                pace(&mut stream, line.as_bytes()).await?;
                return trickle(&mut stream, "y").await;
            }
            // A large head, and a body that never comes.
            "body" => {
                let line = format!("{head}x-more: {}\r\n", "y".repeat(STALLED_HEAD_BYTES));
                pace(&mut stream, line.as_bytes()).await?;
                put(&mut stream, b"content-length: 10000\r\n\r\n").await?;
                return trickle(&mut stream, "y").await;
            }
            // An event without end that trickles.
            "event" => {
                let data = "y".repeat(STALLED_EVENT_BYTES);
                let event = format!("{head}content-type: text/event-stream\r\n\r\ndata: {data}");
                pace(&mut stream, event.as_bytes()).await?;
                return trickle(&mut stream, "y").await;
            }
            // An answer, and other bytes behind it that do not end.
            "tail" => {
                let length = PLAIN.len();
                let answer = format!("{head}content-length: {length}\r\n\r\n{PLAIN}");
                put(&mut stream, answer.as_bytes()).await?;
                return flood(&mut stream, "and more ").await;
            }
            "interim" => return flood(&mut stream, "HTTP/1.1 103 Early Hints\r\n\r\n").await,
            "error" => {
                let head = head.replacen("200 OK", "500 Oops", 1);
                put(&mut stream, format!("{head}\r\n").as_bytes()).await?;
                return flood(&mut stream, "and more ").await;
            }
            "comments" => {
                let head = format!("{head}content-type: text/event-stream\r\n\r\n");
                put(&mut stream, head.as_bytes()).await?;
                return flood(&mut stream, ": nothing\n\n").await;
            }
            _ => {
                let length = PLAIN.len();
                let answer = format!("{head}content-length: {length}\r\n\r\n{PLAIN}");
                put(&mut stream, answer.as_bytes()).await?;
            }
        }
    }
}

/// Reads a request; returns its target and its identity.
async fn read(stream: &mut BufStream<TcpStream>) -> Option<(String, String)> {
    let (mut target, mut id, mut length) = (String::new(), String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if target.is_empty() {
            target = line.split(' ').nth(1)?.to_owned();
        }
        if let Some((name, value)) = line.split_once(": ") {
            match name.to_ascii_lowercase().as_str() {
                "x-cornelstand-attempt-id" | "x-request-id" => value.clone_into(&mut id),
                "content-length" => length = value.parse().ok()?,
                _ => {}
            }
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((target, id))
}

async fn put(stream: &mut BufStream<TcpStream>, bytes: &[u8]) -> Option<()> {
    let write = async {
        stream.write_all(bytes).await?;
        stream.flush().await
    };
    timeout(UNREAD_TIMEOUT, write).await.ok()?.ok()
}

async fn long(stream: &mut BufStream<TcpStream>, is_chunked: bool) -> Option<()> {
    let mut piece = vec![b'x'; PIECE_BYTES];
    if is_chunked {
        let size = format!("{PIECE_BYTES:x}\r\n");
        piece.splice(0..0, size.into_bytes());
        piece.extend(b"\r\n");
    }
    for _ in 0..LONG_BYTES / PIECE_BYTES {
        put(stream, &piece).await?;
    }
    Some(())
}

async fn events(stream: &mut BufStream<TcpStream>) -> Option<()> {
    let data = "x".repeat(EVENT_BYTES);
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        put(stream, chunk.as_bytes()).await?;
        sleep(EVENT_PERIOD).await;
    }
    put(stream, b"0\r\n\r\n").await
}

/// Writes `bytes` slowly enough that they are not left in the sockets.
async fn pace(stream: &mut BufStream<TcpStream>, bytes: &[u8]) -> Option<()> {
    for piece in bytes.chunks(PACED_BYTES) {
        put(stream, piece).await?;
        sleep(PACE_PERIOD).await;
    }
    Some(())
}

/// Writes `text` slowly, until the peer closes the connection.
async fn trickle(stream: &mut BufStream<TcpStream>, text: &str) -> Option<()> {
    loop {
        put(stream, text.as_bytes()).await?;
        sleep(TRICKLE_PERIOD).await;
    }
}

/// Writes `text` as fast as it is read, until the peer closes the connection.
async fn flood(stream: &mut BufStream<TcpStream>, text: &str) -> Option<()> {
    let piece = text.repeat(PIECE_BYTES / text.len());
    loop {
        put(stream, piece.as_bytes()).await?;
    }
}
