//! An endpoint that answers at length. It cuts an answer that stays unread, as those of the users
//! do.

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
