//! Delivery of an endpoint's answer to the caller.
//!
//! A short answer is buffered until it is complete, so that a truncated one can still be retried.
//! Any other answer is sent from its first chunk on. Once the head was sent, an answer is either
//! complete or ends in an error that the caller sees. The answer to a claimed request is read to
//! its end even after the caller disconnected, because it has to be recorded.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, StatusCode};

use crate::attempt::{Loss, Sent};
use crate::body::stated_length;
use crate::call::{Call, Step, ending_of};
use crate::caller::{BodyWriter, Caller, Gone};
use crate::claim::{MAX_BODY_BYTES, Recorded};
use crate::config::Kind;
use crate::flight::Flight;
use crate::headers::{REQUEST_ID, forwarded};
use crate::relay::AnswerBody;

/// Largest answer that is buffered until complete, so that a truncated one can be retried.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// A sent attempt and its endpoint's address.
pub(crate) struct Leg {
    pub(crate) flight: Flight,
    pub(crate) address: SocketAddr,
}

/// Head of an endpoint's answer.
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Whether the body is an event stream.
    pub(crate) events: bool,
}

impl Head {
    /// Returns the headers for the caller.
    fn for_caller(&self) -> HeaderMap {
        let mut headers = forwarded(&self.headers);
        headers.remove(REQUEST_ID);
        if self.events {
            headers.remove(CONTENT_LENGTH);
        }
        headers
    }

    fn is_short(&self) -> bool {
        !self.events && stated_length(&self.headers).is_some_and(|l| l <= MAX_BUFFERED_BYTES)
    }

    fn media(&self) -> &str {
        let value = self.headers.get(CONTENT_TYPE);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// The part of an answer that was read before its head was sent.
#[derive(Default)]
struct ReadAhead {
    chunks: Vec<Bytes>,
    ended: bool,
}

/// Collects the beginning of an answer's body for its record.
struct AnswerRecorder {
    status: u16,
    media: String,
    body: BytesMut,
}

impl AnswerRecorder {
    fn new(head: &Head) -> Self {
        Self {
            status: head.status.as_u16(),
            media: head.media().to_owned(),
            body: BytesMut::new(),
        }
    }

    /// Keeps up to one byte more than a record holds, which marks the body as too long.
    fn push(&mut self, chunk: &[u8]) {
        let room = (MAX_BODY_BYTES + 1).saturating_sub(self.body.len());
        self.body.extend_from_slice(&chunk[..chunk.len().min(room)]);
    }

    fn recorded(self) -> Recorded {
        Recorded::new(self.status, &self.media, &self.body.freeze())
    }
}

/// How a delivery ended.
enum Delivered {
    Complete,
    Truncated(Loss),
    Stopped,
    Disconnected,
}

impl Call {
    /// Delivers an answer to the caller.
    pub(crate) async fn deliver(
        &mut self,
        sent: Sent,
        mut leg: Leg,
        head: Head,
        mut body: AnswerBody,
        mut caller: Caller,
    ) -> Step {
        let ahead = tokio::select! {
            ahead = self.read_ahead(&head, &mut body, &mut leg.flight) => ahead,
            () = caller.gone(), if !self.is_claimed() => {
                leg.flight.cancel(leg.address);
                caller.abandon();
                return Step::Done;
            }
            () = self.core.stop_ended() => return self.cut(sent, leg, caller).await,
        };
        let ahead = match ahead {
            Ok(ahead) => ahead,
            Err(loss) => return self.lost(sent, loss, leg, caller).await,
        };
        let mut recorder = self.is_claimed().then(|| AnswerRecorder::new(&head));
        let mut writer = caller.begin(
            sent.answering(),
            head.status,
            head.for_caller(),
            head.events,
        );
        let delivered = self
            .forward(&mut leg, body, &mut writer, ahead, &mut recorder)
            .await;
        self.finish_delivery(leg, writer, delivered, head.status, recorder)
            .await;
        Step::Done
    }

    /// Reads what is buffered before the head of the answer is sent.
    async fn read_ahead(
        &self,
        head: &Head,
        body: &mut AnswerBody,
        flight: &mut Flight,
    ) -> Result<ReadAhead, Loss> {
        let mut ahead = ReadAhead::default();
        let mut wait = self.first_wait(flight);
        while ahead.chunks.is_empty() || head.is_short() {
            let Some(chunk) = body.next(wait).await? else {
                ahead.ended = true;
                break;
            };
            flight.first_byte(self.core.clock.now());
            ahead.chunks.push(chunk);
            wait = self.core.limits.idle();
        }
        Ok(ahead)
    }

    async fn forward(
        &self,
        leg: &mut Leg,
        mut body: AnswerBody,
        writer: &mut BodyWriter,
        ahead: ReadAhead,
        recorder: &mut Option<AnswerRecorder>,
    ) -> Delivered {
        let idle = self.core.limits.idle();
        let mut stopped = std::pin::pin!(self.core.stop_ended());
        let mut chunks = ahead.chunks.into_iter();
        loop {
            let next = match chunks.next() {
                Some(chunk) => Ok(Some(chunk)),
                None if ahead.ended => Ok(None),
                None => tokio::select! {
                    next = body.next(idle) => next,
                    () = writer.gone(), if recorder.is_none() => return Delivered::Disconnected,
                    () = &mut stopped => return Delivered::Stopped,
                },
            };
            self.charge(&body, &mut leg.flight);
            let chunk = match next {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return Delivered::Complete,
                Err(loss) => return Delivered::Truncated(loss),
            };
            if let Some(recorder) = recorder {
                recorder.push(&chunk);
            }
            let written = tokio::select! {
                written = writer.write(chunk, idle) => written,
                () = &mut stopped => return Delivered::Stopped,
            };
            if written == Err(Gone) && recorder.is_none() {
                return Delivered::Disconnected;
            }
        }
    }

    /// Reports the end of a delivery, to the caller first.
    async fn finish_delivery(
        &mut self,
        leg: Leg,
        writer: BodyWriter,
        delivered: Delivered,
        status: StatusCode,
        recorder: Option<AnswerRecorder>,
    ) {
        match delivered {
            Delivered::Complete => {
                self.record("answered", leg.flight.grant().endpoint.as_str());
                self.note_answer(status.as_u16());
                leg.flight.end(self.ending(status));
                let open = writer.finish();
                self.record_answer(recorder.map(AnswerRecorder::recorded))
                    .await;
                drop(open);
            }
            Delivered::Truncated(loss) => {
                self.record_loss(loss, &leg);
                if loss.is_broken() {
                    self.check_crash(&leg).await;
                }
                leg.flight.end(ending_of(loss));
                let open = writer.abort();
                self.settle_unknown().await;
                drop(open);
            }
            Delivered::Stopped => {
                let endpoint = leg.flight.grant().endpoint.as_str();
                self.record("cut", endpoint);
                self.core.closing.count_cut();
                self.core.closing.log_cut(self.request, endpoint);
                leg.flight.cancel(leg.address);
                let open = writer.abort();
                self.settle_unknown().await;
                drop(open);
            }
            Delivered::Disconnected => {
                self.record("caller-gone", leg.flight.grant().endpoint.as_str());
                leg.flight.cancel(leg.address);
                drop(writer.abandon());
            }
        }
    }

    /// Updates the cost of a running attempt.
    fn charge(&self, body: &AnswerBody, flight: &mut Flight) {
        let cost = match self.kind {
            Kind::Model => body.tokens().unwrap_or_else(|| flight.grant().charged),
            Kind::Plain => flight.elapsed_millis(self.core.clock.now()),
        };
        flight.progress(cost);
    }

    /// Returns the time left until the first byte of the answer is due.
    pub(crate) fn first_wait(&self, flight: &Flight) -> Duration {
        let now = self.core.clock.now();
        let left = self.core.limits.first().saturating_sub(flight.elapsed(now));
        if self.is_claimed() {
            return left;
        }
        left.min(self.deadline.since(now))
    }
}
