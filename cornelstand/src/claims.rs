//! Claims of requests that may not be repeated: the shell around the claim protocol.
//!
//! One actor per shard owns a writer and carries out its calls to the store. A [`ClaimBook`] finds
//! the shard of a request, and hands out the [`Ticket`] that allows sending it once.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::IsVariant;
use futures::FutureExt;
use futures::future::BoxFuture;
use snafu::{OptionExt, Snafu};
use tokio::sync::oneshot;
use tokio::time::sleep_until;
use tracing::warn;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::claim::{ClaimId, ClaimState, Recorded, Shard, Token, Wish};
use crate::claim_shard::{Answer, ClaimLimits, Effect, Event, Op, OpId, ReadEnd, WriteEnd, Writer};
use crate::moment::{Clock, Moment};
use crate::name::{AccountName, Fingerprint, RequestId};
use crate::store::{Condition, ObjectKind, Store, StoreError, Version};

/// Error of a call to the claims.
///
/// From [`ClaimBook::begin`] each of them means that the request was not and will not be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ClaimError {
    /// The store gave no clear answer in time.
    #[snafu(display("the claim store is unavailable"))]
    Unavailable,
    /// The shard of the key has no room for another claim.
    #[snafu(display("the claim store is full"))]
    Full,
    /// Too many claims wait for the store.
    #[snafu(display("too many claims are waiting"))]
    Busy,
    /// The claim to settle is not in the store.
    #[snafu(display("the claim does not exist"))]
    Lost,
    /// The claims are shut down.
    #[snafu(display("the claims are shut down"))]
    Stopped,
}

type GetCall =
    dyn Fn(&str) -> BoxFuture<'static, Result<Option<(Version, String)>, ()>> + Send + Sync;
type PutCall = dyn Fn(&str, Condition, String) -> BoxFuture<'static, WriteEnd> + Send + Sync;

/// The two calls to the object API that claims need, on objects of kind `claim`.
#[derive(Clone)]
pub struct ClaimObjects {
    /// Reads an object by name, `None` if it does not exist, an error if no answer came.
    pub get: Arc<GetCall>,
    /// Writes an object by name under a condition.
    pub put: Arc<PutCall>,
}

impl From<Store> for ClaimObjects {
    fn from(store: Store) -> Self {
        let reader = store.clone();
        Self {
            get: Arc::new(move |name| get(reader.clone(), name.to_owned()).boxed()),
            put: Arc::new(move |name, condition, value| {
                put(store.clone(), name.to_owned(), condition, value).boxed()
            }),
        }
    }
}

async fn get(store: Store, name: String) -> Result<Option<(Version, String)>, ()> {
    let object = store.get(ObjectKind::Claim, &name).await.map_err(drop)?;
    Ok(object.and_then(|o| Some((o.version, o.value?))))
}

async fn put(store: Store, name: String, condition: Condition, value: String) -> WriteEnd {
    match store.put(ObjectKind::Claim, &name, condition, value).await {
        Ok(version) => WriteEnd::Written(version),
        Err(error) => write_end(&error),
    }
}

/// What a failed write says about its effect. Answers of unclear origin leave it open.
fn write_end(error: &StoreError) -> WriteEnd {
    match error {
        StoreError::Conflict { .. } => WriteEnd::Conflict,
        StoreError::Unreachable { .. } | StoreError::TooLarge { .. } => WriteEnd::NotWritten,
        StoreError::Refused { status } => match status.as_u16() {
            428 | 429 | 503 => WriteEnd::NotWritten,
            _ => WriteEnd::Unknown,
        },
        StoreError::Unknown { .. } | StoreError::Malformed { .. } => WriteEnd::Unknown,
    }
}

/// The right to send one claimed request once.
///
/// It cannot be copied and is given up by settling it, so a settled claim can never be sent.
/// A ticket that is dropped without that is settled as unknown.
#[derive(Debug)]
#[must_use = "a ticket has to be recorded, released or settled as unknown"]
pub struct Ticket {
    id: ClaimId,
    token: Token,
    until: Moment,
    actor: Option<Address<ShardActor>>,
}

impl Ticket {
    /// Tells whether the request may still be sent at `now`.
    ///
    /// To be asked right before the first byte is written. A holder that was paused past its
    /// window must not send, because others may have given up its claim.
    #[must_use]
    pub fn is_sendable(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Drops the ticket without an operation: it holds no claim.
    fn forget(mut self) {
        self.actor = None;
    }

    /// Posts the last operation of the ticket.
    fn end(&mut self, what: Op) -> Option<oneshot::Receiver<Answer>> {
        let actor = self.actor.take()?;
        let (reply, answer) = oneshot::channel();
        let id = self.id;
        // An unbounded mailbox takes the message at the first poll.
        let posted = actor
            .send(Ask { id, what, reply })
            .detach()
            .now_or_never()?;
        drop(posted.ok()?);
        Some(answer)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.end(Op::Settle(self.token, ClaimState::Unknown));
    }
}

/// A ticket that was not handed out. Dropping it releases the claim.
struct Unsent(Option<Ticket>);

impl Drop for Unsent {
    fn drop(&mut self) {
        if let Some(mut ticket) = self.0.take() {
            let op = Op::Release(ticket.token);
            ticket.end(op);
        }
    }
}

/// What a `begin` found.
#[derive(Debug, IsVariant)]
pub enum Begun {
    /// Nobody else may send this request; the caller may, once.
    Fresh(Ticket),
    /// The request was answered before.
    Answered(Recorded),
    /// Another instance or connection holds the claim and may be running the request.
    Running,
    /// The request was sent and its end is not known, or its holder was not heard of for too long.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
}

/// The claims of the fleet as one instance sees them. Clones share the actors.
#[derive(Clone)]
pub struct ClaimBook {
    clock: Clock,
    limits: ClaimLimits,
    shards: Arc<[Address<ShardActor>]>,
}

impl ClaimBook {
    /// Starts the actors of all shards on the current runtime.
    #[must_use]
    pub fn start(objects: &ClaimObjects, clock: Clock, limits: ClaimLimits) -> Self {
        let shards = (0..limits.shards.max(1))
            .map(|index| {
                let actor = ShardActor::new(index, objects.clone(), clock, limits);
                xtra::spawn_tokio(actor, Mailbox::unbounded())
            })
            .collect();
        Self {
            clock,
            limits,
            shards,
        }
    }

    /// Claims the request of `account` with idempotency key `key`, before it is sent.
    ///
    /// A claim whose `begin` is cancelled is released.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`] but `Lost`. The request was not run and must not be sent.
    pub async fn begin(
        &self,
        account: &AccountName,
        key: &str,
        fingerprint: Fingerprint,
        request: RequestId,
    ) -> Result<Begun, ClaimError> {
        let id = ClaimId::new(account, key);
        let until = self.clock.now().after(self.limits.window);
        let token = Token(rand::random());
        let actor = self.actor(id)?;
        let what = Op::Begin(Wish {
            token,
            fingerprint,
            request,
        });
        let mut unsent = Unsent(Some(Ticket {
            id,
            token,
            until,
            actor: Some(actor.clone()),
        }));
        let (reply, answer) = oneshot::channel();
        let asked = actor.send(Ask { id, what, reply }).await;
        asked.map_err(|_| ClaimError::Stopped)?;
        let answer = answer.await.map_err(|_| ClaimError::Stopped)?;
        let ticket = unsent.0.take().context(StoppedSnafu)?;
        if answer == Answer::Fresh {
            return Ok(Begun::Fresh(ticket));
        }
        ticket.forget();
        match answer {
            Answer::Answered(recorded) => Ok(Begun::Answered(recorded)),
            Answer::Running => Ok(Begun::Running),
            Answer::Unknown => Ok(Begun::Unknown),
            Answer::Mismatch => Ok(Begun::Mismatch),
            other => Err(failure(&other)),
        }
    }

    /// Tells whether the request of `ticket` may be sent now. Ask right before the first byte.
    #[must_use]
    pub fn is_sendable(&self, ticket: &Ticket) -> bool {
        ticket.is_sendable(self.clock.now())
    }

    /// Keeps the answer of a request for callers that send it again.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`]: the answer may not have been kept.
    pub async fn record(&self, ticket: Ticket, recorded: Recorded) -> Result<(), ClaimError> {
        let state = ClaimState::Recorded(recorded);
        let op = Op::Settle(ticket.token, state);
        settle(ticket, op).await
    }

    /// Gives up the claim of a request of which no byte was sent.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`]: the claim may still be there, and the key then counts as running.
    pub async fn release(&self, ticket: Ticket) -> Result<(), ClaimError> {
        let op = Op::Release(ticket.token);
        settle(ticket, op).await
    }

    /// Notes that a request was sent and its end is not known.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`]: the claim may still count as running for a time.
    pub async fn settle_unknown(&self, ticket: Ticket) -> Result<(), ClaimError> {
        let op = Op::Settle(ticket.token, ClaimState::Unknown);
        settle(ticket, op).await
    }

    fn actor(&self, id: ClaimId) -> Result<&Address<ShardActor>, ClaimError> {
        let shard = usize::from(id.shard(self.limits.shards));
        self.shards.get(shard).context(StoppedSnafu)
    }
}

/// Settles a ticket. The operation goes on when the future is dropped.
async fn settle(mut ticket: Ticket, what: Op) -> Result<(), ClaimError> {
    let answer = ticket.end(what).context(StoppedSnafu)?;
    match answer.await.map_err(|_| ClaimError::Stopped)? {
        Answer::Done => Ok(()),
        other => Err(failure(&other)),
    }
}

fn failure(answer: &Answer) -> ClaimError {
    match answer {
        Answer::Full => ClaimError::Full,
        Answer::Busy => ClaimError::Busy,
        Answer::Lost => ClaimError::Lost,
        _ => ClaimError::Unavailable,
    }
}

struct Ask {
    id: ClaimId,
    what: Op,
    reply: oneshot::Sender<Answer>,
}

/// Owner of one shard's writer.
struct ShardActor {
    name: String,
    objects: ClaimObjects,
    clock: Clock,
    writer: Writer,
    next: OpId,
    replies: HashMap<OpId, oneshot::Sender<Answer>>,
    wake: Option<Moment>,
}

impl Actor for ShardActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl ShardActor {
    fn new(index: u16, objects: ClaimObjects, clock: Clock, limits: ClaimLimits) -> Self {
        Self {
            name: format!("{}-{index}", limits.shards.max(1)),
            objects,
            clock,
            writer: Writer::new(limits),
            next: 0,
            replies: HashMap::new(),
            wake: None,
        }
    }

    fn on(&mut self, event: Event, mailbox: &Mailbox<Self>) {
        let effects = self.writer.on(self.clock.now(), event);
        for effect in effects {
            self.perform(effect, mailbox);
        }
    }

    fn perform(&mut self, effect: Effect, mailbox: &Mailbox<Self>) {
        let actor = mailbox.address();
        match effect {
            Effect::Reply(op, answer) => {
                if let Some(reply) = self.replies.remove(&op) {
                    // The asker may have gone; its ticket then releases the claim.
                    let _ = reply.send(answer);
                }
            }
            Effect::Read => {
                let call = (self.objects.get)(&self.name);
                spawn(actor, call.map(|end| Event::Read(read_end(end))));
            }
            Effect::Write(condition, value) => {
                let call = (self.objects.put)(&self.name, condition, value);
                spawn(actor, call.map(Event::Written));
            }
            Effect::Wake(at) if self.wake.is_none_or(|set| at < set) => {
                self.wake = Some(at);
                let sleep = sleep_until(self.clock.instant(at));
                spawn(actor, sleep.map(|()| Event::Tick));
            }
            Effect::Wake(_) => {}
        }
    }
}

/// Runs a call and sends its end to the actor.
fn spawn(actor: WeakAddress<ShardActor>, call: impl Future<Output = Event> + Send + 'static) {
    tokio::spawn(async move {
        // The actor may have stopped meanwhile; nobody waits for the event then.
        let _ = actor.send(call.await).await;
    });
}

fn read_end(end: Result<Option<(Version, String)>, ()>) -> ReadEnd {
    match end {
        Ok(None) => ReadEnd::Absent,
        Ok(Some((version, value))) => match Shard::decode(&value) {
            Ok(shard) => ReadEnd::Found(version, shard),
            Err(error) => {
                warn!(%error, "unreadable claim object");
                ReadEnd::Failed
            }
        },
        Err(()) => ReadEnd::Failed,
    }
}

impl Handler<Ask> for ShardActor {
    type Return = ();

    async fn handle(&mut self, ask: Ask, ctx: &mut Context<Self>) {
        let op = self.next;
        self.next += 1;
        self.replies.insert(op, ask.reply);
        self.on(Event::Asked(op, ask.id, ask.what), ctx.mailbox());
    }
}

impl Handler<Event> for ShardActor {
    type Return = ();

    async fn handle(&mut self, event: Event, ctx: &mut Context<Self>) {
        if event == Event::Tick {
            self.wake = None;
        }
        self.on(event, ctx.mailbox());
    }
}
