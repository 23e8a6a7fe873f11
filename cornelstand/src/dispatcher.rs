//! The actor that owns one cell.
//!
//! It passes each message to the [`Cell`] with the current time, delivers grants and refusals to
//! the waiting entries, runs the cell's timer and polls its endpoints for load. After a handover it
//! refuses all offers and names the next owner.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep_until};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::cell::Cell;
use crate::cell_message::{CellInput, CellOutput};
use crate::cell_status::CellStatus;
use crate::config::Config;
use crate::dispatch::{Census, Handover, Offer, Refusal, Reply, Report};
use crate::endpoint::LoadReport;
use crate::exchange::Totals;
use crate::lease::Tenure;
use crate::moment::{Clock, Moment};
use crate::name::{AttemptId, EndpointName, InstanceName};
use crate::response_body::read_whole;
use crate::timeline::{Timeline, Topic};

/// Capacity of the actor's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;

/// Interval of load polls, and the timeout of each.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Largest load report, in bytes.
const MAX_LOAD_BYTES: usize = 64 * 1024;

/// Most concurrent load polls.
const MAX_POLLS: usize = 16;

/// Offers a request. The reply arrives on the receiver, which fails if the actor stops.
#[derive(Debug)]
pub struct SubmitOffer(pub Offer);

/// Withdraws an offer whose grant the entry does not use.
#[derive(Debug)]
pub struct Withdraw(pub AttemptId);

/// Reports on granted attempts. Returns whether the cell is owned and took them.
#[derive(Debug)]
pub struct SendReports(pub Vec<Report>);

/// Puts a revision of the configuration in force.
#[derive(Debug)]
pub struct Configure(pub Arc<Config>);

/// Extends or reduces the lease of the cell.
#[derive(Debug)]
pub struct SetLease(pub Tenure);

/// Sets the complete list of endpoints that the platform is about to stop.
#[derive(Debug)]
pub struct SetLeaving(pub BTreeSet<EndpointName>);

/// Starts recovery after a takeover without a handover. Names the entries that have yet to report.
#[derive(Debug)]
pub struct Recover(pub BTreeSet<InstanceName>);

/// Passes on the running attempts of an entry.
#[derive(Debug)]
pub struct AddCensus(pub Census);

/// Notifies that an entry is permanently gone.
#[derive(Debug)]
pub struct EntryGone(pub InstanceName);

/// Returns the status, `None` after a handover.
#[derive(Debug)]
pub struct GetStatus;

/// Ends the ownership, `None` if it has ended. Queued offers are refused, naming the next owner.
#[derive(Debug)]
pub struct HandOver {
    /// The next owner, if known.
    pub next: Option<InstanceName>,
}

/// Sets the channel for totals to the other cells of the service. Totals that find it full are
/// dropped.
#[derive(Debug)]
pub struct SetTotalsChannel(pub mpsc::Sender<Totals>);

/// Passes on the totals of another cell of the service.
#[derive(Debug)]
pub struct MergeTotals(pub Totals);

/// Signals that the timer of the cell is due.
struct Tick;

/// An endpoint reported its load.
struct LoadPolled {
    endpoint: EndpointName,
    load: LoadReport,
}

/// Returns the endpoints to poll, once every [`POLL_INTERVAL`].
struct PollTargets;

/// Actor that owns one cell.
#[derive(Debug)]
pub struct Dispatcher {
    cell: Option<Cell>,
    clock: Clock,
    timeline: Timeline,
    replies: HashMap<AttemptId, oneshot::Sender<Reply>>,
    next: Option<InstanceName>,
    totals: Option<mpsc::Sender<Totals>>,
    timer: watch::Sender<Option<Moment>>,
    out: Vec<CellOutput>,
}

impl Dispatcher {
    /// Starts an actor for `cell`, with its timer and load polls, on the current runtime.
    ///
    /// They end when the last address is dropped.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be set up, which depends on no input.
    #[must_use]
    pub fn spawn(cell: Cell, clock: Clock, timeline: Timeline) -> Address<Self> {
        let (timer, due) = watch::channel(None);
        let dispatcher = Self {
            cell: Some(cell),
            clock,
            timeline,
            replies: HashMap::new(),
            next: None,
            totals: None,
            timer,
            out: Vec::new(),
        };
        let address = xtra::spawn_tokio(dispatcher, Mailbox::bounded(MAILBOX_CAPACITY));
        tokio::spawn(run_timer(address.downgrade(), clock, due));
        tokio::spawn(poll_load(address.downgrade()));
        address
    }

    fn handle(&mut self, input: CellInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(cell) = &mut self.cell else { return };
            cell.handle(self.clock.now(), input, &mut self.out);
            for output in std::mem::take(&mut self.out) {
                let undelivered = self.apply(output);
                inputs.extend(undelivered.map(CellInput::Undelivered));
            }
        }
        let due = self.cell.as_ref().and_then(Cell::timer);
        self.timer.send_if_modified(|t| {
            let changed = *t != due;
            *t = due;
            changed
        });
    }

    /// Drops queued offers whose receivers were dropped without a withdrawal.
    fn drop_abandoned(&mut self) {
        let closed = self.replies.iter().filter(|(_, s)| s.is_closed());
        let abandoned: Vec<AttemptId> = closed.map(|(attempt, _)| *attempt).collect();
        for attempt in abandoned {
            self.replies.remove(&attempt);
            self.handle(CellInput::Undelivered(attempt));
        }
    }

    /// Applies one effect. Returns the attempt of a grant that could not be delivered.
    fn apply(&mut self, output: CellOutput) -> Option<AttemptId> {
        match output {
            CellOutput::Grant(grant) => {
                let attempt = grant.attempt;
                let delivered = self.reply(attempt, Ok(grant));
                return (!delivered).then_some(attempt);
            }
            CellOutput::Refuse { attempt, refusal } => {
                self.reply(attempt, Err(refusal));
            }
            CellOutput::Totals(totals) => {
                // Totals are cumulative, so later ones include any that are dropped.
                self.totals.as_ref().map(|peers| peers.try_send(totals));
            }
            CellOutput::Changed { endpoint, state } => {
                let state = state.to_string();
                self.timeline
                    .record(Topic::Endpoint, &state, endpoint.as_str(), None);
            }
        }
        None
    }

    /// Delivers the reply, and returns whether its receiver was still there.
    fn reply(&mut self, attempt: AttemptId, reply: Reply) -> bool {
        let sender = self.replies.remove(&attempt);
        sender.is_some_and(|s| s.send(reply).is_ok())
    }
}

impl Actor for Dispatcher {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<SubmitOffer> for Dispatcher {
    type Return = oneshot::Receiver<Reply>;

    async fn handle(
        &mut self,
        SubmitOffer(offer): SubmitOffer,
        _: &mut Context<Self>,
    ) -> Self::Return {
        let (sender, receiver) = oneshot::channel();
        if self.cell.is_some() {
            self.replies.insert(offer.attempt, sender);
            self.handle(CellInput::Offer(offer));
        } else {
            drop(sender.send(Err(Refusal::NotOwner(self.next.clone()))));
        }
        receiver
    }
}

impl Handler<SendReports> for Dispatcher {
    type Return = bool;

    async fn handle(&mut self, SendReports(reports): SendReports, _: &mut Context<Self>) -> bool {
        for report in reports {
            self.handle(CellInput::Report(report));
        }
        self.cell.is_some()
    }
}

impl Handler<GetStatus> for Dispatcher {
    type Return = Option<CellStatus>;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self>) -> Self::Return {
        self.cell.as_ref().map(Cell::status)
    }
}

impl Handler<HandOver> for Dispatcher {
    type Return = Option<Handover>;

    async fn handle(&mut self, message: HandOver, _: &mut Context<Self>) -> Self::Return {
        let cell = self.cell.take()?;
        self.next = message.next;
        for (_, sender) in self.replies.drain() {
            drop(sender.send(Err(Refusal::NotOwner(self.next.clone()))));
        }
        self.timer.send_replace(None);
        Some(cell.hand_over())
    }
}

impl Handler<SetTotalsChannel> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, SetTotalsChannel(peers): SetTotalsChannel, _: &mut Context<Self>) {
        self.totals = Some(peers);
    }
}

impl Handler<PollTargets> for Dispatcher {
    type Return = Vec<(EndpointName, SocketAddr)>;

    async fn handle(&mut self, _: PollTargets, _: &mut Context<Self>) -> Self::Return {
        self.drop_abandoned();
        let cell = self.cell.iter();
        let targets = cell.flat_map(|c| c.polled().map(|(name, at)| (name.clone(), at)));
        targets.collect()
    }
}

macro_rules! inputs {
    ($($message:pat => $type:ty, $input:expr;)*) => {$(
        impl Handler<$type> for Dispatcher {
            type Return = ();

            async fn handle(&mut self, $message: $type, _: &mut Context<Self>) {
                self.handle($input);
            }
        }
    )*};
}

inputs! {
    Withdraw(attempt) => Withdraw, CellInput::Withdraw(attempt);
    Configure(config) => Configure, CellInput::Configure(config);
    SetLease(tenure) => SetLease, CellInput::Lease(tenure);
    SetLeaving(names) => SetLeaving, CellInput::Leaving(names);
    Recover(entries) => Recover, CellInput::Recover { entries };
    AddCensus(census) => AddCensus, CellInput::Census(census);
    EntryGone(entry) => EntryGone, CellInput::EntryGone(entry);
    MergeTotals(totals) => MergeTotals, CellInput::Totals(totals);
    LoadPolled { endpoint, load } => LoadPolled, CellInput::Load { endpoint, load };
    _ => Tick, CellInput::Tick;
}

/// Sends a tick whenever the cell's timer is due.
async fn run_timer(
    dispatcher: WeakAddress<Dispatcher>,
    clock: Clock,
    mut due: watch::Receiver<Option<Moment>>,
) {
    loop {
        let at = *due.borrow_and_update();
        let ended = tokio::select! {
            changed = due.changed() => changed.is_err(),
            () = wait_until(clock, at) => dispatcher.send(Tick).await.is_err(),
        };
        if ended {
            return;
        }
    }
}

async fn wait_until(clock: Clock, at: Option<Moment>) {
    match at {
        Some(at) => sleep_until(clock.instant(at)).await,
        None => std::future::pending().await,
    }
}

/// Polls the endpoints for load until the actor stops. One that does not answer is skipped.
async fn poll_load(dispatcher: WeakAddress<Dispatcher>) {
    let http = reqwest::Client::builder()
        .no_proxy()
        .timeout(POLL_INTERVAL)
        .build();
    let http = http.expect("an HTTP client without TLS needs no system resources");
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Ok(targets) = dispatcher.send(PollTargets).await else {
            return;
        };
        let (http, dispatcher) = (&http, &dispatcher);
        let polls = stream::iter(targets).map(|(endpoint, address)| async move {
            if let Some(load) = fetch_load(http, address).await {
                // The next message to a stopped actor ends the loop.
                drop(dispatcher.send(LoadPolled { endpoint, load }).await);
            }
        });
        polls.buffer_unordered(MAX_POLLS).collect::<()>().await;
    }
}

pub(crate) async fn fetch_load(http: &reqwest::Client, address: SocketAddr) -> Option<LoadReport> {
    let request = http.get(format!("http://{address}/load"));
    let answer = request.send().await.ok()?.error_for_status().ok()?;
    let body = read_whole(answer, MAX_LOAD_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
