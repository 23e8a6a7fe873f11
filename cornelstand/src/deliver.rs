//! Delivery of an endpoint's answer to the caller.
//!
//! A short answer is held until it is whole, so that a cut one can still be asked for again. Any
//! other answer begins with its first piece. Once the head went out, an answer ends whole or as an
//! error that the caller sees. The answer to a claimed request is read to its end even when the
//! caller has gone, because it has to be recorded.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, StatusCode};

use crate::attempt::{Loss, Sent};
use crate::body::stated_length;
use crate::call::{Call, Step, ending_of};
use crate::caller::{Caller, Gone, Reader};
use crate::claim::{MAX_BODY_BYTES, Recorded};
use crate::config::Kind;
use crate::flight::Flight;
use crate::headers::{REQUEST_ID, forwarded};
use crate::relay::Source;

/// Largest answer that is held until it is whole, so that a cut one can be asked for again.
const HELD_BYTES: u64 = 64 * 1024;

/// An attempt that was sent, and where to.
pub(crate) struct Leg {
    pub(crate) flight: Flight,
    pub(crate) address: SocketAddr,
}

/// Head of an endpoint's answer.
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Whether the body is a stream of events.
    pub(crate) events: bool,
}

impl Head {
    /// The headers for the caller.
    fn for_caller(&self) -> HeaderMap {
        let mut headers = forwarded(&self.headers);
        headers.remove(REQUEST_ID);
        if self.events {
            headers.remove(CONTENT_LENGTH);
        }
        headers
    }

    fn is_short(&self) -> bool {
        !self.events && stated_length(&self.headers).is_some_and(|l| l <= HELD_BYTES)
    }

    fn media(&self) -> &str {
        let value = self.headers.get(CONTENT_TYPE);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// The part of an answer that was read before its head went out.
#[derive(Default)]
struct Ahead {
    pieces: Vec<Bytes>,
    ended: bool,
}

/// The beginning of an answer's body, for its record.
struct Keep {
    status: u16,
    media: String,
    body: BytesMut,
}

impl Keep {
    fn new(head: &Head) -> Self {
        Self {
            status: head.status.as_u16(),
            media: head.media().to_owned(),
            body: BytesMut::new(),
        }
    }

    /// Keeps up to one byte more than a record takes, which tells that the body is too long.
    fn push(&mut self, piece: &[u8]) {
        let room = (MAX_BODY_BYTES + 1).saturating_sub(self.body.len());
        self.body.extend_from_slice(&piece[..piece.len().min(room)]);
    }

    fn recorded(self) -> Recorded {
        Recorded::new(self.status, &self.media, &self.body.freeze())
    }
}

/// How a delivery ended.
enum Delivered {
    Whole,
    Cut(Loss),
    Gone,
}

impl Call {
    /// Passes an answer on.
    pub(crate) async fn deliver(
        &mut self,
        sent: Sent,
        mut leg: Leg,
        head: Head,
        mut source: Source,
        mut caller: Caller,
    ) -> Step {
        let ahead = tokio::select! {
            ahead = self.read_ahead(&head, &mut source, &mut leg.flight) => ahead,
            () = caller.gone(), if !self.is_claimed() => {
                leg.flight.cancel(leg.address);
                caller.leave();
                return Step::Done;
            }
        };
        let ahead = match ahead {
            Ok(ahead) => ahead,
            Err(loss) => return self.lost(sent, loss, leg, caller).await,
        };
        let mut keep = self.is_claimed().then(|| Keep::new(&head));
        let reader = caller.begin(sent.answering(), head.status, head.for_caller());
        let delivered = self.pass(&mut leg, source, &reader, ahead, &mut keep).await;
        self.conclude(leg, reader, delivered, head.status, keep)
            .await;
        Step::Done
    }

    /// Reads what is held before the head of the answer goes out.
    async fn read_ahead(
        &self,
        head: &Head,
        source: &mut Source,
        flight: &mut Flight,
    ) -> Result<Ahead, Loss> {
        let mut ahead = Ahead::default();
        let mut wait = self.first_wait(flight);
        while ahead.pieces.is_empty() || head.is_short() {
            let Some(piece) = source.next(wait).await? else {
                ahead.ended = true;
                break;
            };
            flight.first_byte(self.core.clock.now());
            ahead.pieces.push(piece);
            wait = self.core.limits.idle();
        }
        Ok(ahead)
    }

    async fn pass(
        &self,
        leg: &mut Leg,
        mut source: Source,
        reader: &Reader,
        ahead: Ahead,
        keep: &mut Option<Keep>,
    ) -> Delivered {
        let idle = self.core.limits.idle();
        let mut listening = true;
        let mut pieces = ahead.pieces.into_iter();
        loop {
            let next = match pieces.next() {
                Some(piece) => Ok(Some(piece)),
                None if ahead.ended => Ok(None),
                None => tokio::select! {
                    next = source.next(idle) => next,
                    () = reader.gone(), if keep.is_none() => return Delivered::Gone,
                },
            };
            self.charge(&source, &mut leg.flight);
            let piece = match next {
                Ok(Some(piece)) => piece,
                Ok(None) => return Delivered::Whole,
                Err(loss) => return Delivered::Cut(loss),
            };
            if let Some(keep) = keep {
                keep.push(&piece);
            }
            listening = listening && reader.write(piece, idle).await != Err(Gone);
            if !listening && keep.is_none() {
                return Delivered::Gone;
            }
        }
    }

    /// Reports the end of a delivery, first to the caller.
    async fn conclude(
        &mut self,
        leg: Leg,
        reader: Reader,
        delivered: Delivered,
        status: StatusCode,
        keep: Option<Keep>,
    ) {
        let idle = self.core.limits.idle();
        match delivered {
            Delivered::Whole => {
                self.record("answered", leg.flight.grant().endpoint.as_str());
                self.note_answer(status.as_u16());
                leg.flight.end(self.ending(status));
                let open = reader.finish();
                self.record_answer(keep.map(Keep::recorded)).await;
                drop(open);
            }
            Delivered::Cut(loss) => {
                self.note_loss(loss, &leg);
                if loss.is_broken() {
                    self.check_crash(&leg).await;
                }
                leg.flight.end(ending_of(loss));
                let open = reader.cut(idle).await;
                self.settle_unknown().await;
                drop(open);
            }
            Delivered::Gone => {
                self.record("caller-gone", leg.flight.grant().endpoint.as_str());
                leg.flight.cancel(leg.address);
                reader.leave(idle).await;
            }
        }
    }

    /// Corrects the cost of a running attempt.
    fn charge(&self, source: &Source, flight: &mut Flight) {
        let cost = match self.kind {
            Kind::Model => source.tokens().unwrap_or_else(|| flight.grant().charged),
            Kind::Plain => flight.elapsed_millis(self.core.clock.now()),
        };
        flight.progress(cost);
    }

    /// Time left until the first byte of an answer has to come.
    pub(crate) fn first_wait(&self, flight: &Flight) -> Duration {
        let now = self.core.clock.now();
        let left = self.core.limits.first().saturating_sub(flight.elapsed(now));
        if self.is_claimed() {
            return left;
        }
        left.min(self.deadline.since(now))
    }
}
