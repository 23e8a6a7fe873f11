//! Links between instances: RPC over TCP with fleet-key authentication and heartbeats.
//!
//! A link connects on first use and closes when idle. While calls await their answers the
//! connecting side sends heartbeats; a connection that does not answer them is dropped, so that
//! its calls fail at once and the next call reconnects. An idle link sends nothing; the first
//! heartbeat after the next call shows whether it is still alive.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::Display;
use futures::StreamExt;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::claim::{ClaimAnswer, ClaimCall};
use crate::codec::Postcard;
use crate::dispatch::{Census, Handover, Offer, Reply, Report};
use crate::exchange::Totals;
use crate::gossip::Gossip;
use crate::handshake::{self, HandshakeError};
use crate::lease::{Borrow, BorrowReply, Yield};
use crate::meter::{Metered, Traffic};
use crate::name::{AttemptId, CellId, Epoch, InstanceName, Revision};
use crate::revisions::ConfigUpdate;
use crate::status::InstanceStatus;
use crate::suspect::Suspicion;
use crate::timeline::{Event, Stamp};

/// Heartbeats sent within the silence that drops a link.
const HEARTBEATS: u32 = 3;
/// Time without calls after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time added to a call's deadline for the round trip.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// Error of a call to another instance.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    /// No connection; the call was not sent.
    #[snafu(display("no connection to {address}"))]
    Connect {
        address: SocketAddr,
        source: std::io::Error,
    },
    /// The other side did not prove the fleet key; the call was not sent.
    #[snafu(display("handshake with {address} failed"))]
    Handshake {
        address: SocketAddr,
        source: HandshakeError,
    },
    /// The link broke or the deadline passed; the call may have been received.
    #[snafu(display("call to {address} failed"))]
    Call {
        address: SocketAddr,
        source: RpcError,
    },
}

/// Outcome of a report at its receiver.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub(crate) enum Receipt {
    /// The report was taken.
    Taken,
    /// The receiver does not own the cell.
    #[display("not the owner")]
    NotOwner,
}

/// Calls that one instance answers to another.
#[tarpc::service]
pub(crate) trait Fleet {
    /// Heartbeat.
    async fn ping(stamp: Stamp) -> Stamp;
    /// Asks the owner of a cell for an endpoint.
    async fn offer(offer: Offer) -> Reply;
    /// Withdraws an offer, also if it is granted but not used.
    async fn withdraw(cell: CellId, attempt: AttemptId);
    /// Reports granted attempts to the owner of a cell.
    async fn tell(reports: Vec<Report>) -> Vec<Receipt>;
    /// Reports to a cell the service that another cell gave to accounts.
    async fn hear(cell: CellId, totals: Totals);
    /// Asks an entry for its running attempts of a cell, for the owner with `epoch`.
    async fn census(cell: CellId, epoch: Epoch) -> Census;
    /// Hands a cell's state to its next owner.
    async fn hand_over(handover: Handover) -> bool;
    /// Exchanges membership gossip.
    async fn gossip(gossip: Gossip) -> Option<Gossip>;
    /// Asks to borrow half of a cell's limits.
    async fn borrow(borrow: Borrow) -> Option<BorrowReply>;
    /// Tells the next owner of a cell that the former one has stopped.
    async fn yield_cell(word: Yield);
    /// Reports a suspect request and asks what is known of it.
    async fn suspect(suspicion: Suspicion) -> Option<Suspicion>;
    /// Runs an operation on a claim shard that the receiver writes.
    async fn claim(call: ClaimCall) -> Option<ClaimAnswer>;
    /// Asks for the update from revision `known` to the present one.
    async fn config(known: Revision) -> Option<ConfigUpdate>;
    /// Asks for the events of the timeline.
    async fn events() -> Vec<Event>;
    /// Asks for the state of the instance.
    async fn status() -> InstanceStatus;
}

type Call<In, Out> = Arc<dyn Fn(In) -> BoxFuture<'static, Out> + Send + Sync>;

/// Handlers of incoming calls.
#[derive(Clone)]
pub(crate) struct Handlers {
    pub(crate) ping: Arc<dyn Fn(Stamp) -> Stamp + Send + Sync>,
    pub(crate) offer: Call<Offer, Reply>,
    pub(crate) withdraw: Call<(CellId, AttemptId), ()>,
    pub(crate) tell: Call<Vec<Report>, Vec<Receipt>>,
    pub(crate) hear: Call<(CellId, Totals), ()>,
    pub(crate) census: Call<(CellId, Epoch), Census>,
    pub(crate) hand_over: Call<Handover, bool>,
    pub(crate) gossip: Call<Gossip, Option<Gossip>>,
    pub(crate) borrow: Call<Borrow, Option<BorrowReply>>,
    pub(crate) yield_cell: Call<Yield, ()>,
    pub(crate) suspect: Call<Suspicion, Option<Suspicion>>,
    pub(crate) claim: Call<ClaimCall, Option<ClaimAnswer>>,
    pub(crate) config: Call<Revision, Option<ConfigUpdate>>,
    pub(crate) events: Arc<dyn Fn() -> Vec<Event> + Send + Sync>,
    pub(crate) status: Call<(), InstanceStatus>,
}

impl Fleet for Handlers {
    async fn ping(self, _: Context, stamp: Stamp) -> Stamp {
        (self.ping)(stamp)
    }

    async fn offer(self, _: Context, offer: Offer) -> Reply {
        (self.offer)(offer).await
    }

    async fn withdraw(self, _: Context, cell: CellId, attempt: AttemptId) {
        (self.withdraw)((cell, attempt)).await;
    }

    async fn tell(self, _: Context, reports: Vec<Report>) -> Vec<Receipt> {
        (self.tell)(reports).await
    }

    async fn hear(self, _: Context, cell: CellId, totals: Totals) {
        (self.hear)((cell, totals)).await;
    }

    async fn census(self, _: Context, cell: CellId, epoch: Epoch) -> Census {
        (self.census)((cell, epoch)).await
    }

    async fn hand_over(self, _: Context, handover: Handover) -> bool {
        (self.hand_over)(handover).await
    }

    async fn gossip(self, _: Context, gossip: Gossip) -> Option<Gossip> {
        (self.gossip)(gossip).await
    }

    async fn borrow(self, _: Context, borrow: Borrow) -> Option<BorrowReply> {
        (self.borrow)(borrow).await
    }

    async fn yield_cell(self, _: Context, word: Yield) {
        (self.yield_cell)(word).await;
    }

    async fn suspect(self, _: Context, suspicion: Suspicion) -> Option<Suspicion> {
        (self.suspect)(suspicion).await
    }

    async fn claim(self, _: Context, call: ClaimCall) -> Option<ClaimAnswer> {
        (self.claim)(call).await
    }

    async fn config(self, _: Context, known: Revision) -> Option<ConfigUpdate> {
        (self.config)(known).await
    }

    async fn events(self, _: Context) -> Vec<Event> {
        (self.events)()
    }

    async fn status(self, _: Context) -> InstanceStatus {
        (self.status)(()).await
    }
}

/// Settings shared by all links.
#[derive(Clone, Debug)]
pub(crate) struct LinkSettings {
    /// Own name.
    pub(crate) own: InstanceName,
    /// Fleet key.
    pub(crate) key: Arc<str>,
    /// Silence after which a link is replaced.
    pub(crate) silence: Duration,
    /// Maximum bytes per message.
    pub(crate) max_frame: usize,
    /// Byte counters.
    pub(crate) traffic: Traffic,
}

impl LinkSettings {
    fn framed(&self, stream: TcpStream) -> Framed<Metered<TcpStream>, LengthDelimitedCodec> {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(self.max_frame)
            .new_codec();
        let silence = IDLE_TIMEOUT + self.silence;
        let stream = Metered::new(stream, self.traffic.clone(), silence);
        Framed::new(stream, codec)
    }
}

/// Accepts links on `listener` until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, settings: LinkSettings, handlers: Handlers) {
    let mut links = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = links.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                links.spawn(answer(stream, settings.clone(), handlers.clone()));
            }
            // Out of descriptors; the next accept would fail at once.
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn answer(mut stream: TcpStream, settings: LinkSettings, handlers: Handlers) {
    stream.set_nodelay(true).ok();
    if let Err(error) = handshake::accept(&mut stream, &settings.key, &settings.own).await {
        tracing::warn!(%error, "link refused");
        return;
    }
    let framed = settings.framed(stream);
    let transport = tarpc::serde_transport::new(framed, Postcard::default());
    BaseChannel::with_defaults(transport)
        .execute(handlers.serve())
        .for_each_concurrent(None, |call| call)
        .await;
}

/// Links to other instances, opened when used. Clones share the links.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    settings: LinkSettings,
    open: Arc<Mutex<HashMap<SocketAddr, Arc<Link>>>>,
}

impl Links {
    pub(crate) fn new(settings: LinkSettings) -> Self {
        Self {
            settings,
            open: Arc::default(),
        }
    }

    /// Calls the instance at `address` and waits up to `wait` for its answer.
    ///
    /// # Errors
    ///
    /// [`LinkError`] tells whether the call was sent.
    pub(crate) async fn call<F, Fut, T>(
        &self,
        address: SocketAddr,
        wait: Duration,
        call: F,
    ) -> Result<T, LinkError>
    where
        F: FnOnce(FleetClient, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let link = self.link(address);
        // Taken before the lookup, so that the connection is not closed as idle.
        let _guard = CallGuard::new(&link);
        let client = link.client(&self.settings).await?;
        let mut context = Context::current();
        context.deadline = std::time::Instant::now() + wait + DEADLINE_MARGIN;
        call(client, context).await.context(CallSnafu { address })
    }

    fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links();
        let link = links.entry(address).or_insert_with(|| {
            Arc::new(Link {
                address,
                calls: AtomicUsize::new(0),
                total_calls: AtomicU64::new(0),
                connection: tokio::sync::Mutex::default(),
            })
        });
        Arc::clone(link)
    }

    fn links(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Link>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    /// Calls that wait for a connection or an answer.
    calls: AtomicUsize,
    /// Calls made so far.
    total_calls: AtomicU64,
    connection: tokio::sync::Mutex<Option<Connection>>,
}

#[derive(Debug)]
struct Connection {
    client: FleetClient,
    dispatch: AbortHandle,
}

impl Link {
    async fn client(self: &Arc<Self>, settings: &LinkSettings) -> Result<FleetClient, LinkError> {
        let mut connection = self.connection.lock().await;
        if let Some(open) = connection.as_ref().filter(|c| !c.dispatch.is_finished()) {
            return Ok(open.client.clone());
        }
        let opened = self.open(settings).await?;
        let client = opened.client.clone();
        tokio::spawn(send_heartbeats(
            Arc::clone(self),
            client.clone(),
            opened.dispatch.clone(),
            settings.silence,
        ));
        *connection = Some(opened);
        Ok(client)
    }

    fn is_busy(&self) -> bool {
        self.calls.load(Ordering::Relaxed) > 0
    }

    /// Drops the connection unless a call has come meanwhile; returns whether it did.
    async fn close_idle(&self) -> bool {
        let mut connection = self.connection.lock().await;
        if self.is_busy() {
            return false;
        }
        *connection = None;
        true
    }

    async fn open(&self, settings: &LinkSettings) -> Result<Connection, LinkError> {
        let address = self.address;
        let connecting = timeout(settings.silence, TcpStream::connect(address));
        let mut stream = connecting
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).ok();
        handshake::connect(&mut stream, &settings.key, &settings.own)
            .await
            .context(HandshakeSnafu { address })?;
        let framed = settings.framed(stream);
        let transport = tarpc::serde_transport::new(framed, Postcard::default());
        let new = FleetClient::new(tarpc::client::Config::default(), transport);
        let dispatch = tokio::spawn(new.dispatch).abort_handle();
        Ok(Connection {
            client: new.client,
            dispatch,
        })
    }
}

/// Sends heartbeats while calls wait; closes the connection once it is silent, broken or idle.
async fn send_heartbeats(
    link: Arc<Link>,
    client: FleetClient,
    dispatch: AbortHandle,
    silence: Duration,
) {
    let mut last_used = Instant::now();
    let mut last_total = 0;
    while !dispatch.is_finished() {
        sleep(silence / HEARTBEATS).await;
        let total_calls = link.total_calls.load(Ordering::Relaxed);
        if total_calls != last_total || link.is_busy() {
            last_total = total_calls;
            last_used = Instant::now();
        }
        if link.is_busy() {
            let heartbeat = client.ping(Context::current(), Stamp::default());
            if !matches!(timeout(silence, heartbeat).await, Ok(Ok(_))) {
                break;
            }
        } else if last_used.elapsed() > IDLE_TIMEOUT && link.close_idle().await {
            break;
        }
    }
    dispatch.abort();
}

/// Counts a call in progress.
struct CallGuard<'a>(&'a Link);

impl<'a> CallGuard<'a> {
    fn new(link: &'a Link) -> Self {
        link.calls.fetch_add(1, Ordering::Relaxed);
        link.total_calls.fetch_add(1, Ordering::Relaxed);
        Self(link)
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
