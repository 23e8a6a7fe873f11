//! Claims of non-repeatable requests: the actors that run the claim protocol.
//!
//! One actor per shard owns a writer and performs its calls to the store. A [`ClaimStore`] finds
//! the shard of a request and issues the [`Ticket`] that permits sending it once.

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
    ClaimAnswer, ClaimCall, ClaimId, ClaimOp, ClaimRequest, ClaimShard, ClaimState, Recorded, Token,
};
use crate::claim_segment::SegmentRef;
use crate::claim_shard::{ClaimLimits, Effect, Event, OpId, ReadResult, WriteResult, Writer};
use crate::moment::{Clock, Moment};
use crate::name::{AccountName, Fingerprint, RequestId};
use crate::store::{Condition, ObjectKind, Store, StoreError, Version};

/// Error of a claim operation.
///
/// From [`ClaimStore::begin`] it means that the request was not and will not be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ClaimError {
    /// The store gave no definite answer in time.
    #[snafu(display("the claim store is unavailable"))]
    Unavailable,
    /// The shard of the key is full.
    #[snafu(display("the claim store is full"))]
    Full,
    /// Too many claims are queued.
    #[snafu(display("too many claims are waiting"))]
    Busy,
    /// The claim to settle is not in the store.
    #[snafu(display("the claim does not exist"))]
    Lost,
    /// The claim actors have stopped.
    #[snafu(display("the claims are shut down"))]
    Stopped,
}

type GetCall =
    dyn Fn(&str) -> BoxFuture<'static, Result<Option<(Version, String)>, ()>> + Send + Sync;
type DeleteCall = dyn Fn(&str) -> BoxFuture<'static, ()> + Send + Sync;
type PutCall = dyn Fn(&str, Condition, String) -> BoxFuture<'static, WriteResult> + Send + Sync;

/// Object API calls used by claims, on objects of kind `claim`.
#[derive(Clone)]
pub struct ClaimObjects {
    /// Reads an object by name; `None` if it does not exist, an error without an answer.
    pub get: Arc<GetCall>,
    /// Conditionally writes an object by name.
    pub put: Arc<PutCall>,
    /// Deletes an immutable object. Tried once: a failure only wastes storage.
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
        // Best effort: a remaining object only wastes storage.
        let _ = store.delete(ObjectKind::Claim, &name, object.version).await;
    }
}

async fn put(store: Store, name: String, condition: Condition, value: String) -> WriteResult {
    match store.put(ObjectKind::Claim, &name, condition, value).await {
        Ok(version) => WriteResult::Written(version),
        Err(error) => write_result(&error),
    }
}

/// Effect of a failed write. Ambiguous responses leave it unknown.
fn write_result(error: &StoreError) -> WriteResult {
    match error {
        StoreError::Conflict { .. } => WriteResult::Conflict,
        StoreError::Unreachable { .. } | StoreError::TooLarge { .. } => WriteResult::NotWritten,
        StoreError::Refused { status } => match status.as_u16() {
            428 | 429 | 503 => WriteResult::NotWritten,
            _ => WriteResult::Unknown,
        },
        StoreError::Unknown { .. } | StoreError::Malformed { .. } => WriteResult::Unknown,
    }
}

/// Forwards an operation on a shard to the instance that writes it, `None` if that is this one.
///
/// The future yields `None` without an answer. The operation is then applied locally, possibly
/// concurrently with the other instance; conditional writes keep that safe.
pub type ClaimRoute =
    Arc<dyn Fn(u16, &ClaimCall) -> Option<BoxFuture<'static, Option<ClaimAnswer>>> + Send + Sync>;

/// Local writers of all shards and the route to other instances.
struct Shards {
    limits: ClaimLimits,
    actors: Vec<Address<ShardActor>>,
    route: Option<ClaimRoute>,
}

/// An answer, and whether copies of the operation may still arrive elsewhere.
struct Answered {
    answer: Result<ClaimAnswer, ClaimError>,
    may_be_copied: bool,
}

impl Shards {
    async fn request(&self, call: ClaimCall) -> Answered {
        let remote = self.route.as_ref();
        let remote = remote.and_then(|route| route(self.index(&call), &call));
        let may_be_copied = remote.is_some();
        if let Some(remote) = remote
            && let Ok(Some(answer)) = timeout(self.limits.begin_timeout, remote).await
        {
            return Answered {
                answer: Ok(answer),
                may_be_copied,
            };
        }
        let answer = self.request_local(call).await;
        Answered {
            answer,
            may_be_copied,
        }
    }

    async fn request_local(&self, call: ClaimCall) -> Result<ClaimAnswer, ClaimError> {
        let (reply, answer) = oneshot::channel();
        let actor = self.actors.get(usize::from(self.index(&call)));
        let actor = actor.context(StoppedSnafu)?;
        let sent = actor.send(ShardRequest { call, reply }).await;
        sent.map_err(|_| ClaimError::Stopped)?;
        answer.await.map_err(|_| ClaimError::Stopped)
    }

    fn index(&self, call: &ClaimCall) -> u16 {
        call.claim.shard(self.limits.shards)
    }
}

/// Permission to send one claimed request once.
///
/// It cannot be copied and settling consumes it, so a settled request can never be sent.
/// Dropping a ticket settles it as unknown.
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
    /// Returns whether the request may still be sent at `now`.
    ///
    /// Must be checked right before the first byte is written. A holder paused past its window
    /// must not send, because its claim may have expired for others.
    #[must_use]
    pub fn is_sendable(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Drops a ticket that holds no claim, without an operation.
    fn discard(mut self) {
        self.shards = None;
    }

    /// Starts the ticket's final operation in the background.
    fn start_final(&mut self, op: ClaimOp) -> Option<JoinHandle<Answered>> {
        let shards = self.shards.take()?;
        let claim = self.claim;
        let runtime = Handle::try_current().ok()?;
        let mut request = async move { shards.request(ClaimCall { claim, op }).await }.boxed();
        // Polling once enqueues the operation before the caller continues.
        Some(match (&mut request).now_or_never() {
            Some(answered) => runtime.spawn(ready(answered)),
            None => runtime.spawn(request),
        })
    }

    /// Settles the ticket and waits. Dropping the future does not cancel the operation.
    async fn settle(mut self, op: ClaimOp) -> Result<(), ClaimError> {
        let operation = self.start_final(op).context(StoppedSnafu)?;
        let answered = operation.await.map_err(|_| ClaimError::Stopped)?;
        match answered.answer? {
            ClaimAnswer::Done => Ok(()),
            other => Err(error_from(&other)),
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.start_final(ClaimOp::Settle(self.token, ClaimState::Unknown));
    }
}

/// A ticket not yet issued. Dropping it releases the claim.
struct UnissuedTicket(Option<Ticket>);

impl Drop for UnissuedTicket {
    fn drop(&mut self) {
        if let Some(mut ticket) = self.0.take() {
            let op = ClaimOp::Release(ticket.token);
            ticket.start_final(op);
        }
    }
}

/// Outcome of a `begin`.
#[derive(Debug, IsVariant)]
pub enum BeginOutcome {
    /// The caller alone may send this request, once.
    Fresh(Ticket),
    /// The request was answered before.
    Answered(Recorded),
    /// Another instance or connection holds the claim and may run the request.
    Running,
    /// The request was sent with unknown outcome, or its claim has been open for too long.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
}

/// One instance's access to the fleet's claims. Clones share the actors.
#[derive(Clone)]
pub struct ClaimStore {
    clock: Clock,
    shards: Arc<Shards>,
}

impl ClaimStore {
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

    /// Returns the same claims with a route to other instances.
    ///
    /// Each shard is then normally written by one instance, so that all instances' claims share
    /// its writes.
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

    /// Performs an operation routed here by another instance.
    ///
    /// # Errors
    ///
    /// [`ClaimError::Stopped`].
    pub async fn serve(&self, call: ClaimCall) -> Result<ClaimAnswer, ClaimError> {
        self.shards.request_local(call).await
    }

    /// Claims the request of `account` with idempotency key `key` before it is sent.
    ///
    /// Cancelling the future releases the claim.
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
    ) -> Result<BeginOutcome, ClaimError> {
        let claim = ClaimId::new(account, key);
        let token = Token(rand::random());
        let ticket = Ticket {
            claim,
            token,
            until: self.clock.now().after(self.shards.limits.send_window),
            shards: Some(self.shards.clone()),
        };
        let mut unissued = UnissuedTicket(Some(ticket));
        let op = ClaimOp::Begin(ClaimRequest {
            token,
            fingerprint,
            request,
        });
        let answered = self.shards.request(ClaimCall { claim, op }).await;
        if answered.may_be_copied && answered.answer != Ok(ClaimAnswer::Fresh) {
            // Dropping the ticket prevents a late copy from claiming.
            drop(unissued);
            return begun_from(answered.answer?);
        }
        let ticket = unissued.0.take().context(StoppedSnafu)?;
        if answered.answer == Ok(ClaimAnswer::Fresh) {
            return Ok(BeginOutcome::Fresh(ticket));
        }
        ticket.discard();
        begun_from(answered.answer?)
    }

    /// Returns whether `ticket` permits sending now. Check right before the first byte.
    #[must_use]
    pub fn is_sendable(&self, ticket: &Ticket) -> bool {
        ticket.is_sendable(self.clock.now())
    }

    /// Stores the answer of a request for callers that repeat it.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`]: the answer may not be stored.
    pub async fn record(&self, ticket: Ticket, recorded: Recorded) -> Result<(), ClaimError> {
        let state = ClaimState::Recorded(recorded);
        let op = ClaimOp::Settle(ticket.token, state);
        ticket.settle(op).await
    }

    /// Releases the claim of a request of which no byte was sent.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`]: the claim may remain, and the key then counts as running.
    pub async fn release(&self, ticket: Ticket) -> Result<(), ClaimError> {
        let op = ClaimOp::Release(ticket.token);
        ticket.settle(op).await
    }

    /// Records that a request was sent with unknown outcome.
    ///
    /// # Errors
    ///
    /// Any [`ClaimError`]: the claim may still count as running for a time.
    pub async fn settle_unknown(&self, ticket: Ticket) -> Result<(), ClaimError> {
        let op = ClaimOp::Settle(ticket.token, ClaimState::Unknown);
        ticket.settle(op).await
    }
}

/// Converts the answer to a failed `begin`.
fn begun_from(answer: ClaimAnswer) -> Result<BeginOutcome, ClaimError> {
    match answer {
        ClaimAnswer::Answered(recorded) => Ok(BeginOutcome::Answered(recorded)),
        ClaimAnswer::Running => Ok(BeginOutcome::Running),
        ClaimAnswer::Unknown => Ok(BeginOutcome::Unknown),
        ClaimAnswer::Mismatch => Ok(BeginOutcome::Mismatch),
        other => Err(error_from(&other)),
    }
}

fn error_from(answer: &ClaimAnswer) -> ClaimError {
    match answer {
        ClaimAnswer::Full => ClaimError::Full,
        ClaimAnswer::Busy => ClaimError::Busy,
        ClaimAnswer::Lost => ClaimError::Lost,
        _ => ClaimError::Unavailable,
    }
}

struct ShardRequest {
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
    next_wake: Option<Moment>,
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
            next_wake: None,
        }
    }

    fn segment_name(&self, segment: SegmentRef) -> String {
        format!("{}-{segment}", self.name)
    }

    fn handle_event(&mut self, event: Event, mailbox: &Mailbox<Self>) {
        let effects = self.writer.handle(self.clock.now(), event);
        for effect in effects {
            self.perform(effect, mailbox);
        }
    }

    fn perform(&mut self, effect: Effect, mailbox: &Mailbox<Self>) {
        let actor = mailbox.address();
        match effect {
            Effect::Reply(op, answer) => {
                if let Some(reply) = self.replies.remove(&op) {
                    // If the receiver is dropped, its ticket releases the claim.
                    let _ = reply.send(answer);
                }
            }
            Effect::Read => {
                let call = (self.objects.get)(&self.name);
                spawn(actor, call.map(|end| Event::Read(read_result(end))));
            }
            Effect::Write(condition, value) => {
                let call = (self.objects.put)(&self.name, condition, value);
                spawn(actor, call.map(Event::Written));
            }
            Effect::ReadSegment(segment) => {
                let call = (self.objects.get)(&self.segment_name(segment));
                let claims = |end| match read_result(end) {
                    ReadResult::Found(_, claims) => Some(claims),
                    ReadResult::Absent | ReadResult::Failed => None,
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
            Effect::Wake(at) if self.next_wake.is_none_or(|set| at < set) => {
                self.next_wake = Some(at);
                let sleep = sleep_until(self.clock.instant(at));
                spawn(actor, sleep.map(|()| Event::Tick));
            }
            Effect::Wake(_) => {}
        }
    }
}

/// Runs a call and sends its result to the actor.
fn spawn(actor: WeakAddress<ShardActor>, call: impl Future<Output = Event> + Send + 'static) {
    tokio::spawn(async move {
        // If the actor has stopped, nothing waits for the event.
        let _ = actor.send(call.await).await;
    });
}

fn read_result(end: Result<Option<(Version, String)>, ()>) -> ReadResult {
    match end {
        Ok(None) => ReadResult::Absent,
        Ok(Some((version, value))) => match ClaimShard::decode(&value) {
            Ok(shard) => ReadResult::Found(version, shard),
            Err(error) => {
                warn!(%error, "cannot decode claim object");
                ReadResult::Failed
            }
        },
        Err(()) => ReadResult::Failed,
    }
}

impl Handler<ShardRequest> for ShardActor {
    type Return = ();

    async fn handle(&mut self, request: ShardRequest, ctx: &mut Context<Self>) {
        let op = self.next;
        self.next += 1;
        self.replies.insert(op, request.reply);
        self.handle_event(Event::Requested(op, request.call), ctx.mailbox());
    }
}

impl Handler<Event> for ShardActor {
    type Return = ();

    async fn handle(&mut self, event: Event, ctx: &mut Context<Self>) {
        if event == Event::Tick {
            self.next_wake = None;
        }
        self.handle_event(event, ctx.mailbox());
    }
}
