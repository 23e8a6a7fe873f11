//! A caller that knows what it was told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelstand::RequestId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::plan::{Call, Step};
use crate::world::{Act, Node, World};

pub(crate) const KEY: &str = "counter-key";
pub(crate) const BODY: &str = "gel 201, 6 sheets, tonight, St. Luke's";

/// Filling of a long answer, which is passed on while it comes.
const FILLING: usize = 100_000;

/// The endpoint's answer to `body`.
pub(crate) fn answer_to(body: &str, long: bool) -> String {
    let filling = if long { FILLING } else { 0 };
    format!("done: {body}{}", ".".repeat(filling))
}

/// What a caller has heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Heard {
    /// A whole answer with status 200.
    Answer(String),
    /// A whole answer of the endpoint that it is overloaded.
    Overloaded,
    /// A refusal, with its outcome and the identity of the request.
    Refused(Refused),
    /// The connection ended before the answer was whole.
    Nothing,
}

/// A refusal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Refused {
    pub(crate) outcome: String,
    pub(crate) kind: String,
    pub(crate) request: Option<RequestId>,
}

/// Sends the request through the instance at `address` and waits for the answer.
pub(crate) async fn call(world: &Arc<World>, kind: Call, node: Node, address: SocketAddr) -> Heard {
    let gone = async {
        if node == Node::A {
            world.caller_gone.notified().await;
        } else {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        biased;
        heard = exchange(world, kind, node, address) => heard.unwrap_or(Heard::Nothing),
        () = gone => Heard::Nothing,
        () = world.death(node) => Heard::Nothing,
    }
}

async fn exchange(
    world: &Arc<World>,
    kind: Call,
    node: Node,
    address: SocketAddr,
) -> Option<Heard> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    step(world, Step::Accepted, node).await?;
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: order-17\r\ncontent-length: {}\r\n\r\n",
        kind.path(),
        BODY.len(),
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    step(world, Step::Authenticated, node).await?;
    let (half, rest) = BODY.as_bytes().split_at(BODY.len() / 2);
    stream.write_all(half).await.ok()?;
    sleep(Duration::from_millis(100)).await;
    // A refusal may close the connection before the body is written.
    let _ = stream.write_all(rest).await;
    read(&mut stream).await
}

async fn step(world: &Arc<World>, step: Step, node: Node) -> Option<()> {
    match world.reach(step, node).await {
        Act::Cut => None,
        Act::Silent => {
            // The caller gives a silent connection up.
            sleep(Duration::from_secs(30)).await;
            None
        }
        _ => Some(()),
    }
}

async fn read(stream: &mut TcpStream) -> Option<Heard> {
    let mut read = Vec::new();
    let end = loop {
        if let Some(at) = read.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        more(stream, &mut read).await?;
    };
    let head = String::from_utf8_lossy(&read[..end]).to_lowercase();
    let value = |name: &str| {
        head.lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(found, _)| *found == name)
            .map(|(_, value)| value.trim().to_owned())
    };
    let length: usize = value("content-length")?.parse().ok()?;
    while read.len() < end + length {
        more(stream, &mut read).await?;
    }
    let body = String::from_utf8_lossy(&read[end..end + length]).into_owned();
    if head.starts_with("http/1.1 200") {
        return Some(Heard::Answer(body));
    }
    if value("content-type").is_none() && head.starts_with("http/1.1 503") {
        return Some(Heard::Overloaded);
    }
    let problem: serde_json::Value = serde_json::from_str(&body).ok()?;
    let outcome = problem["outcome"].as_str()?.to_owned();
    let request = value("x-request-id").and_then(|id| u128::from_str_radix(&id, 16).ok());
    let kind = problem["type"].as_str()?.rsplit(':').next()?.to_owned();
    Some(Heard::Refused(Refused {
        outcome,
        kind,
        request: request.map(RequestId),
    }))
}

async fn more(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<()> {
    let count = stream.read_buf(read).await.ok()?;
    (count > 0).then_some(())
}
