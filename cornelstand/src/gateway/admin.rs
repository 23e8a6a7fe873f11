//! Readiness endpoint for the load balancer, and metrics and state for operators and peers.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout, timeout_at};

use crate::gateway::connection::accept_next;
use crate::gateway::gate::Gate;
use crate::gateway::message::{Head, reason};
use crate::gateway::metrics::Limit;
use crate::gateway::outlet::write_all;
use crate::gateway::upstream::read_into;

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time limit for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit to send a page.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most connections of a listener; the platform and the instances of a data centre need fewer.
const MAX_CONNECTIONS: usize = 256;

/// Pages that a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Role {
    /// Readiness of the instance, at any path.
    Readiness,
    /// `/metrics`, and the instance's view of configuration and endpoints at `/beliefs`.
    Control,
}

/// Accepts connections until the process ends.
pub(crate) async fn accept(gate: Rc<Gate>, listener: TcpListener, role: Role) {
    let open: Rc<()> = Rc::default();
    loop {
        let stream = accept_next(&listener).await;
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            gate.metrics.note_limit(Limit::Connections);
            continue;
        }
        let (gate, open) = (gate.clone(), open.clone());
        tokio::task::spawn_local(async move {
            serve(gate, stream, role).await;
            drop(open);
        });
    }
}

async fn serve(gate: Rc<Gate>, stream: TcpStream, role: Role) {
    let mut input = BytesMut::new();
    let mut until = Instant::now() + IDLE_TIMEOUT;
    loop {
        let head = match Head::parse_request(&mut input, MAX_HEAD_BYTES) {
            Ok(Some(head)) => head,
            Ok(None) => match timeout_at(until, read_into(&stream, &mut input)).await {
                Ok(Ok(count)) if count > 0 => continue,
                _ => return,
            },
            Err(_) => return,
        };
        let (status, media, body) = page(&gate, role, head.target());
        let length = body.len();
        let phrase = reason(status);
        let mut out = format!(
            "HTTP/1.1 {status} {phrase}\r\ncontent-type: {media}\r\ncontent-length: {length}\r\n\r\n"
        )
        .into_bytes();
        out.extend_from_slice(&body);
        let sent = timeout(WRITE_TIMEOUT, write_all(&stream, &out)).await;
        if !matches!(sent, Ok(Ok(()))) || !head.keeps_alive() {
            return;
        }
        until = Instant::now() + IDLE_TIMEOUT;
    }
}

fn page(gate: &Gate, role: Role, path: &str) -> (u16, &'static str, Vec<u8>) {
    const TEXT: &str = "text/plain; version=0.0.4";
    match (role, path) {
        (Role::Readiness, _) if gate.is_ready() => (200, TEXT, b"ready\n".to_vec()),
        (Role::Readiness, _) => (503, TEXT, b"not ready\n".to_vec()),
        (Role::Control, "/metrics") => match gate.metrics.text() {
            Ok(text) => (200, TEXT, text),
            Err(error) => (500, TEXT, error.to_string().into_bytes()),
        },
        (Role::Control, "/beliefs") => {
            let snapshot = gate.state.borrow().directory.snapshot(gate.now());
            match serde_json::to_vec(&snapshot) {
                Ok(json) => (200, "application/json", json),
                Err(error) => (500, TEXT, error.to_string().into_bytes()),
            }
        }
        (Role::Control, _) => (404, TEXT, b"no such page\n".to_vec()),
    }
}
