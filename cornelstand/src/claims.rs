//! Claims of requests that may not be repeated: the shell around the claim protocol.
//!
//! One actor per shard owns a writer and carries out its calls to the store. A [`ClaimBook`] finds
//! the shard of a request, and hands out the [`Ticket`] that allows sending it once.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use derive_more::IsVariant;
use futures::FutureExt;
use futures::future::{BoxFuture, ready};
use snafu::{OptionExt, Snafu};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout};
use tracing::warn;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::claim::{
    ClaimAnswer, ClaimCall, ClaimId, ClaimOp, ClaimShard, ClaimState, ClaimWish, Recorded, Token,
};
use crate::claim_segment::SegmentRef;
use crate::claim_shard::{ClaimLimits, Effect, Event, OpId, ReadEnd, WriteEnd, Writer};
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
type DeleteCall = dyn Fn(&str) -> BoxFuture<'static, ()> + Send + Sync;
type PutCall = dyn Fn(&str, Condition, String) -> BoxFuture<'static, WriteEnd> + Send + Sync;

/// The calls to the object API that claims need, on objects of kind `claim`.
#[derive(Clone)]
pub struct ClaimObjects {
    /// Reads an object by name, `None` if it does not exist, an error if no answer came.
    pub get: Arc<GetCall>,
    /// Writes an object by name under a condition.
    pub put: Arc<PutCall>,
    /// Deletes an object that never changes, once. Nothing depends on it but the store's room.
    pub delete: Arc<DeleteCall>,
}

impl From<Store> for ClaimObjects {
    fn from(store: Store) -> Self {
        let (reader, deleter) = (store.clone(), store.clone());
        Self {
            get: Arc::new(move |name| get(reader.clone(), name.to_owned()).boxed()),
            put: Arc::new(move |name, condition, value| {
                put(store.clone(), name.to_owned(), condition, value).boxed()
            }),
            delete: Arc::new(move |name| delete(deleter.clone(), name.to_owned()).boxed()),
        }
    }
}

async fn get(store: Store, name: String) -> Result<Option<(Version, String)>, ()> {
    let object = store.get(ObjectKind::Claim, &name).await.map_err(drop)?;
    Ok(object.and_then(|o| Some((o.version, o.value?))))
}

async fn delete(store: Store, name: String) {
    if let Ok(Some(object)) = store.get(ObjectKind::Claim, &name).await {
        // An object that stays takes room, and no more than that.
        let _ = store.delete(ObjectKind::Claim, &name, object.version).await;
    }
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

/// Carries an operation on a shard to the instance that writes it, `None` if that is this one.
///
/// The future gives `None` if no answer came; the operation is then applied here, which may write
/// beside the other instance: the versions of the store keep that safe.
pub type ClaimRoute =
    Arc<dyn Fn(u16, &ClaimCall) -> Option<BoxFuture<'static, Option<ClaimAnswer>>> + Send + Sync>;

/// The writers of all shards and the way to those of other instances.
struct Shards {
    limits: ClaimLimits,
    actors: Vec<Address<ShardActor>>,
    route: Option<ClaimRoute>,
}

/// An answer, and whether copies of the operation may still arrive somewhere.
struct Answered {
    answer: Result<ClaimAnswer, ClaimError>,
    copied: bool,
}

impl Shards {
    async fn ask(&self, call: ClaimCall) -> Answered {
        let remote = self.route.as_ref();
        let remote = remote.and_then(|route| route(self.index(&call), &call));
        let copied = remote.is_some();
        if let Some(remote) = remote
            && let Ok(Some(answer)) = timeout(self.limits.patience, remote).await
        {
            return Answered {
                answer: Ok(answer),
                copied,
            };
        }
        let answer = self.ask_here(call).await;
        Answered { answer, copied }
    }

    async fn ask_here(&self, call: ClaimCall) -> Result<ClaimAnswer, ClaimError> {
        let (reply, answer) = oneshot::channel();
        let actor = self.actors.get(usize::from(self.index(&call)));
        let actor = actor.context(StoppedSnafu)?;
        let asked = actor.send(Asked { call, reply }).await;
        asked.map_err(|_| ClaimError::Stopped)?;
        answer.await.map_err(|_| ClaimError::Stopped)
    }

    fn index(&self, call: &ClaimCall) -> u16 {
        call.claim.shard(self.limits.shards)
    }
}

/// The right to send one claimed request once.
///
/// It cannot be copied and is given up by settling it, so a settled claim can never be sent.
/// A ticket that is dropped without that is settled as unknown.
#[must_use = "a ticket has to be recorded, released or settled as unknown"]
pub struct Ticket {
    claim: ClaimId,
    token: Token,
    until: Moment,
    shards: Option<Arc<Shards>>,
}

impl fmt::Debug for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Ticket({}, {})", self.claim, self.token)
    }
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
        self.shards = None;
    }

    /// Starts the last operation of the ticket, which goes on by itself.
    fn end(&mut self, op: ClaimOp) -> Option<JoinHandle<Answered>> {
        let shards = self.shards.take()?;
        let claim = self.claim;
        let runtime = Handle::try_current().ok()?;
        let mut asking = async move { shards.ask(ClaimCall { claim, op }).await }.boxed();
        // The first poll posts the operation, ahead of whatever the caller does next.
        Some(match (&mut asking).now_or_never() {
            Some(answered) => runtime.spawn(ready(answered)),
            None => runtime.spawn(asking),
        })
    }

    /// Settles the ticket and waits for it. The operation goes on when the future is dropped.
    async fn settle(mut self, op: ClaimOp) -> Result<(), ClaimError> {
        let end = self.end(op).context(StoppedSnafu)?;
        let answered = end.await.map_err(|_| ClaimError::Stopped)?;
        match answered.answer? {
            ClaimAnswer::Done => Ok(()),
            other => Err(failure(&other)),
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.end(ClaimOp::Settle(self.token, ClaimState::Unknown));
    }
}

/// A ticket that was not handed out. Dropping it releases the claim.
struct Unsent(Option<Ticket>);

impl Drop for Unsent {
    fn drop(&mut self) {
        if let Some(mut ticket) = self.0.take() {
            let op = ClaimOp::Release(ticket.token);
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
    shards: Arc<Shards>,
}

impl ClaimBook {
    /// Starts the actors of all shards on the current runtime.
    #[must_use]
    pub fn start(objects: &ClaimObjects, clock: Clock, limits: ClaimLimits) -> Self {
        let actors = (0..limits.shards.max(1))
            .map(|index| {
                let actor = ShardActor::new(index, objects.clone(), clock, limits);
                xtra::spawn_tokio(actor, Mailbox::unbounded())
            })
            .collect();
        let shards = Arc::new(Shards {
            limits,
            actors,
            route: None,
        });
        Self { clock, shards }
    }

    /// The same claims with a route to other instances.
    ///
    /// One instance then writes each shard in the ordinary case, so that the claims of all
    /// instances share its writes.
    #[must_use]
    pub fn with_route(&self, route: ClaimRoute) -> Self {
        let shards = Shards {
            limits: self.shards.limits,
            actors: self.shards.actors.clone(),
            route: Some(route),
        };
        Self {
            clock: self.clock,
            shards: Arc::new(shards),
        }
    }

    /// Carries out an operation that another instance has routed here.
    ///
    /// # Errors
    ///
    /// [`ClaimError::Stopped`].
    pub async fn serve(&self, call: ClaimCall) -> Result<ClaimAnswer, ClaimError> {
        self.shards.ask_here(call).await
    }

    /// Claims the request of `account` with idempotency key `key`, before it is sent.
    ///
    /// A claim whose `begin` is cancelled is released.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`]. The request was not run and must not be sent.
    pub async fn begin(
        &self,
        account: &AccountName,
        key: &str,
        fingerprint: Fingerprint,
        request: RequestId,
    ) -> Result<Begun, ClaimError> {
        let claim = ClaimId::new(account, key);
        let token = Token(rand::random());
        let ticket = Ticket {
            claim,
            token,
            until: self.clock.now().after(self.shards.limits.window),
            shards: Some(self.shards.clone()),
        };
        let mut unsent = Unsent(Some(ticket));
        let op = ClaimOp::Begin(ClaimWish {
            token,
            fingerprint,
            request,
        });
        let answered = self.shards.ask(ClaimCall { claim, op }).await;
        if answered.copied && answered.answer != Ok(ClaimAnswer::Fresh) {
            // Dropping the ticket keeps a late copy from claiming.
            drop(unsent);
            return found(answered.answer?);
        }
        let ticket = unsent.0.take().context(StoppedSnafu)?;
        if answered.answer == Ok(ClaimAnswer::Fresh) {
            return Ok(Begun::Fresh(ticket));
        }
        ticket.forget();
        found(answered.answer?)
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
        let op = ClaimOp::Settle(ticket.token, state);
        ticket.settle(op).await
    }

    /// Gives up the claim of a request of which no byte was sent.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`]: the claim may still be there, and the key then counts as running.
    pub async fn release(&self, ticket: Ticket) -> Result<(), ClaimError> {
        let op = ClaimOp::Release(ticket.token);
        ticket.settle(op).await
    }

    /// Notes that a request was sent and its end is not known.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`]: the claim may still count as running for a time.
    pub async fn settle_unknown(&self, ticket: Ticket) -> Result<(), ClaimError> {
        let op = ClaimOp::Settle(ticket.token, ClaimState::Unknown);
        ticket.settle(op).await
    }
}

/// What a `begin` that claimed nothing found.
fn found(answer: ClaimAnswer) -> Result<Begun, ClaimError> {
    match answer {
        ClaimAnswer::Answered(recorded) => Ok(Begun::Answered(recorded)),
        ClaimAnswer::Running => Ok(Begun::Running),
        ClaimAnswer::Unknown => Ok(Begun::Unknown),
        ClaimAnswer::Mismatch => Ok(Begun::Mismatch),
        other => Err(failure(&other)),
    }
}

fn failure(answer: &ClaimAnswer) -> ClaimError {
    match answer {
        ClaimAnswer::Full => ClaimError::Full,
        ClaimAnswer::Busy => ClaimError::Busy,
        ClaimAnswer::Lost => ClaimError::Lost,
        _ => ClaimError::Unavailable,
    }
}

struct Asked {
    call: ClaimCall,
    reply: oneshot::Sender<ClaimAnswer>,
}

/// Owner of one shard's writer.
struct ShardActor {
    name: String,
    objects: ClaimObjects,
    clock: Clock,
    writer: Writer,
    next: OpId,
    replies: HashMap<OpId, oneshot::Sender<ClaimAnswer>>,
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

    fn segment_name(&self, segment: SegmentRef) -> String {
        format!("{}-{segment}", self.name)
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
            Effect::ReadSegment(segment) => {
                let call = (self.objects.get)(&self.segment_name(segment));
                let claims = |end| match read_end(end) {
                    ReadEnd::Found(_, claims) => Some(claims),
                    ReadEnd::Absent | ReadEnd::Failed => None,
                };
                spawn(
                    actor,
                    call.map(move |end| Event::Segment(segment, claims(end))),
                );
            }
            Effect::WriteSegment(segment, value) => {
                let name = self.segment_name(segment);
                let call = (self.objects.put)(&name, Condition::Absent, value);
                spawn(actor, call.map(move |end| Event::Stored(segment, end)));
            }
            Effect::DropSegment(segment) => {
                tokio::spawn((self.objects.delete)(&self.segment_name(segment)));
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
        Ok(Some((version, value))) => match ClaimShard::decode(&value) {
            Ok(shard) => ReadEnd::Found(version, shard),
            Err(error) => {
                warn!(%error, "unreadable claim object");
                ReadEnd::Failed
            }
        },
        Err(()) => ReadEnd::Failed,
    }
}

impl Handler<Asked> for ShardActor {
    type Return = ();

    async fn handle(&mut self, ask: Asked, ctx: &mut Context<Self>) {
        let op = self.next;
        self.next += 1;
        self.replies.insert(op, ask.reply);
        self.on(Event::Asked(op, ask.call), ctx.mailbox());
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
