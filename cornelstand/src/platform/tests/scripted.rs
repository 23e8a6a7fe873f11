//! Test endpoints that run a script on each connection.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Time limit for any wait in a test; far above the latency of loopback.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A step of the script for one connection.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Reads a complete request.
    Read,
    Write(String),
    /// Waits until the peer closes the connection.
    AwaitClose,
    Pause(u64),
    /// Resets the connection.
    Reset,
}

pub(crate) fn answer(id: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: {id}\r\nX-Cornelstand-Server-Stamp: s\r\n\
         {extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A response with a stamp, whose framing is among `headers`.
pub(crate) fn response(id: &str, status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Cornelstand-Attempt-Id: {id}\r\nX-Cornelstand-Server-Stamp: s\r\n\
         {headers}\r\n{body}"
    )
}

pub(crate) fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Cornelstand-Attempt-Id: {id}\r\nX-Cornelstand-Server-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(crate) fn event(number: u32) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// An endpoint that runs one script per connection and records the requests it read.
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    pub(crate) requests: Rc<std::cell::RefCell<Vec<String>>>,
    pub(crate) closes: Rc<std::cell::Cell<usize>>,
}

impl Endpoint {
    pub(crate) async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind((own_loopback(), 0))
            .await
            .expect("loopback");
        let address = listener.local_addr().expect("bound");
        let requests: Rc<std::cell::RefCell<Vec<String>>> = Rc::default();
        let closes: Rc<std::cell::Cell<usize>> = Rc::default();
        let (kept, counted) = (requests.clone(), closes.clone());
        tokio::task::spawn_local(async move {
            for script in scripts {
                let stream = accept(&listener).await;
                tokio::task::spawn_local(run_script(stream, script, kept.clone(), counted.clone()));
            }
        });
        Self {
            address,
            requests,
            closes,
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.requests.borrow().len()
    }
}

/// A loopback address that no other endpoint of this process has. The port of an endpoint that is
/// down could otherwise go to another test's.
pub(crate) fn own_loopback() -> Ipv4Addr {
    static COUNT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, 1, high, low)
}

/// Accepts the next connection that carries data; skips probes, which send none.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let (stream, _) = listener.accept().await.expect("accept");
        if stream.peek(&mut [0]).await.is_ok_and(|n| n > 0) {
            return stream;
        }
    }
}

pub(crate) async fn run_script(
    mut stream: TcpStream,
    script: Vec<Step>,
    requests: Rc<std::cell::RefCell<Vec<String>>>,
    closes: Rc<std::cell::Cell<usize>>,
) {
    for step in script {
        match step {
            Step::Read => match read_request(&mut stream).await {
                Some(request) => requests.borrow_mut().push(request),
                None => return,
            },
            Step::Write(text) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Step::AwaitClose => {
                let mut byte = [0];
                while stream.read(&mut byte).await.is_ok_and(|n| n > 0) {}
                closes.set(closes.get() + 1);
            }
            Step::Pause(ms) => sleep(Duration::from_millis(ms)).await,
            Step::Reset => {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("a socket option");
                return;
            }
        }
    }
}

pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).to_lowercase();
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|l| l.split("\r\n").next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    text.extend(body);
    Some(String::from_utf8_lossy(&text).into_owned())
}
