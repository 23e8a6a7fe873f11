//! The calls of the model engine's protocol.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use warp::reply::Response;

use crate::batch::Answer;
use crate::chat::{self, ChatRequest};
use crate::engine::{Admission, Inner};
use crate::lines::Lines;
use crate::wire::{self, Call};

/// Events that wait for a slow reader before the stream itself waits.
const EVENTS: usize = 64;

impl Inner {
    pub(crate) async fn answer(self: &Arc<Self>, boot: u64, call: Call) -> Response {
        self.lines.pass(call.peer).await;
        match (&call.method, call.segments().as_slice()) {
            (&Method::POST, [.., "v1", "chat", "completions"]) => self.chat(boot, &call).await,
            (&Method::GET, ["load"]) => self.load(),
            (&Method::POST, ["orders"]) => self.order(&call),
            (&Method::POST, ["streams", id @ .., "cancel"]) => self.cancel(&identity(id)),
            (&Method::GET, ["streams", id @ ..]) => self.resume(&call, &identity(id)),
            (_, ["stand-in", what]) => self.control(&call, what),
            _ => wire::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn chat(self: &Arc<Self>, boot: u64, call: &Call) -> Response {
        let Some(request) = call.json::<ChatRequest>() else {
            return wire::error(StatusCode::BAD_REQUEST, "not a chat request");
        };
        let id = call.header(wire::REQUEST).unwrap_or_default();
        let answer = match self.admit(boot, id, &request) {
            Admission::Started(answer) => answer,
            Admission::Refused => {
                return wire::error(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
            }
            Admission::Fallen => {
                self.fall(boot);
                return std::future::pending().await;
            }
            Admission::Gone => return std::future::pending().await,
        };
        self.arrived.notify_one();
        if request.stream {
            return self.stream(answer, 0, call.peer);
        }
        self.whole(&answer, call.peer).await
    }

    fn stream(
        self: &Arc<Self>,
        answer: Arc<Answer>,
        after: u64,
        peer: Option<SocketAddr>,
    ) -> Response {
        let (events, receiver) = mpsc::channel(EVENTS);
        let lines = self.lines.clone();
        tokio::spawn(async move { send_events(&answer, after, &events, &lines, peer).await });
        let answer = wire::stream(ReceiverStream::new(receiver));
        wire::typed(answer, "text/event-stream")
    }

    async fn whole(&self, answer: &Answer, peer: Option<SocketAddr>) -> Response {
        let mut progress = answer.progress.subscribe();
        let ended = progress.wait_for(|p| p.is_ended).await.map(|p| p.made);
        self.lines.hold(peer).await;
        if ended.is_ok_and(|made| made == answer.tokens) {
            return wire::json(&chat::whole(answer));
        }
        wire::dropped()
    }

    fn resume(self: &Arc<Self>, call: &Call, id: &str) -> Response {
        let answer = {
            let mut core = self.lock();
            let answer = core.batch.answer(id);
            core.counts.resumed += u64::from(answer.is_some());
            answer
        };
        let after = call.param("after").unwrap_or(0);
        match answer {
            Some(answer) => self.stream(answer, after, call.peer),
            None => wire::error(StatusCode::NOT_FOUND, "no such stream"),
        }
    }

    fn cancel(&self, id: &str) -> Response {
        let mut core = self.lock();
        core.record(&self.settings);
        if !core.batch.cancel(id) {
            return wire::error(StatusCode::NOT_FOUND, "no such stream");
        }
        core.counts.cancelled += 1;
        core.record(&self.settings);
        wire::status(StatusCode::NO_CONTENT)
    }

    fn load(&self) -> Response {
        let mut core = self.lock();
        core.record(&self.settings);
        let lag = Duration::from_millis(self.settings.lag);
        wire::json(&core.reports.at(Instant::now(), lag))
    }

    fn order(&self, call: &Call) -> Response {
        let Some(order) = call.json::<Order>() else {
            return wire::error(StatusCode::BAD_REQUEST, "not an order");
        };
        let mut core = self.lock();
        let is_old = order.fence < core.fence;
        if is_old && core.faults.fencing {
            return wire::error(StatusCode::CONFLICT, "old fencing number");
        }
        core.fence = core.fence.max(order.fence);
        core.counts.stale += u64::from(is_old);
        core.counts.orders += 1;
        wire::json(&serde_json::json!({ "order": order.order }))
    }

    fn control(self: &Arc<Self>, call: &Call, what: &str) -> Response {
        match (&call.method, what) {
            (&Method::GET, "counts") => return wire::json(&self.counts()),
            (&Method::GET, "faults") => return wire::json(&self.lock().faults),
            (&Method::POST, "silence") => self.lines.silence(),
            (&Method::POST, "crash") => {
                let boot = self.lock().counts.boot;
                self.fall(boot);
            }
            (&Method::PUT, "faults") => match call.json() {
                Some(faults) => self.lock().faults = faults,
                None => return wire::error(StatusCode::BAD_REQUEST, "not an engine's faults"),
            },
            _ => return wire::error(StatusCode::NOT_FOUND, "no such control"),
        }
        wire::status(StatusCode::NO_CONTENT)
    }
}

/// Body of an order.
#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    order: OrderKind,
}

/// What an order is about.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum OrderKind {
    Load,
    Role,
}

/// An identity from its segments of a path; its own slashes may be plain or escaped.
fn identity(segments: &[&str]) -> String {
    let joined = segments.join("/");
    joined.replace("%2F", "/").replace("%2f", "/")
}

/// Sends the events of an answer after the first `after`, until its end or the reader's.
async fn send_events(
    answer: &Answer,
    after: u64,
    events: &mpsc::Sender<Result<Bytes, io::Error>>,
    lines: &Lines,
    peer: Option<SocketAddr>,
) {
    let mut progress = answer.progress.subscribe();
    let mut next = after;
    while next < answer.tokens {
        let ready = progress.wait_for(|p| p.made > next || p.is_ended).await;
        let Ok(seen) = ready.map(|p| *p) else {
            return;
        };
        for index in next..seen.made {
            lines.hold(peer).await;
            let event = chat::token_event(answer, index);
            if events.send(Ok(event.into())).await.is_err() {
                return;
            }
        }
        next = next.max(seen.made);
        if seen.is_ended && seen.made < answer.tokens {
            let end = io::Error::other("cancelled");
            events.send(Err(end)).await.ok();
            return;
        }
    }
    let usage = (after <= answer.tokens).then(|| chat::usage_event(answer));
    let done = chat::DONE_EVENT.to_owned();
    for event in usage.into_iter().chain([done]) {
        lines.hold(peer).await;
        if events.send(Ok(event.into())).await.is_err() {
            return;
        }
    }
}
