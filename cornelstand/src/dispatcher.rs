//! The actor that owns one cell.
//!
//! It gives each message to the [`Cell`] with the time, carries grants and refusals to those who
//! wait for them, sets the cell's timer and polls its endpoints for load. After a handover it
//! refuses everything and names the next owner.

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
use crate::endpoint::Load;
use crate::exchange::Totals;
use crate::lease::Tenure;
use crate::moment::{Clock, Moment};
use crate::name::{AttemptId, EndpointName, InstanceName};
use crate::timeline::{Timeline, Topic};

/// Messages that may wait for the actor.
const MAILBOX: usize = 1024;

/// Time between load reports of an endpoint, and the deadline of each.
const POLL: Duration = Duration::from_secs(1);

/// Load reports asked for at once.
const POLLS: usize = 16;

/// Offers a request. The reply comes through the receiver, which fails if the actor stops.
#[derive(Debug)]
pub struct Ask(pub Offer);

/// Takes an offer back whose grant the entry does not use.
#[derive(Debug)]
pub struct Withdraw(pub AttemptId);

/// Tells how granted attempts go. Answers whether the reports were taken in.
#[derive(Debug)]
pub struct Tell(pub Vec<Report>);

/// Puts a revision of the configuration in force.
#[derive(Debug)]
pub struct Configure(pub Arc<Config>);

/// Extends or reduces the ownership of the cell.
#[derive(Debug)]
pub struct SetLease(pub Tenure);

/// Names all endpoints that the platform is about to stop.
#[derive(Debug)]
pub struct SetLeaving(pub BTreeSet<EndpointName>);

/// Tells that the cell was taken over without a handover, and who has still to report.
#[derive(Debug)]
pub struct Recover(pub BTreeSet<InstanceName>);

/// Takes in what an entry runs.
#[derive(Debug)]
pub struct Learn(pub Census);

/// Tells that an entry is gone for good.
#[derive(Debug)]
pub struct EntryGone(pub InstanceName);

/// Asks for the status, `None` after a handover.
#[derive(Debug)]
pub struct Inspect;

/// Ends the ownership, `None` if it has ended. Offers that wait are refused with the next owner.
#[derive(Debug)]
pub struct HandOver {
    /// The next owner, if it is known.
    pub next: Option<InstanceName>,
}

/// Names the channel for totals to the other cells of the service. Those it has no room for are
/// dropped.
#[derive(Debug)]
pub struct Publish(pub mpsc::Sender<Totals>);

/// Takes in the totals of another cell of the service.
#[derive(Debug)]
pub struct Hear(pub Totals);

/// The timer of the cell is due.
struct Tick;

/// An endpoint reported its load.
struct Loaded {
    endpoint: EndpointName,
    load: Load,
}

/// Asks for the endpoints to poll, once every [`POLL`].
struct Polled;

/// Owner of one cell.
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
    /// Starts an actor for `cell`, with its timer and its polls, on the current runtime.
    ///
    /// They end when the last address is dropped.
    ///
    /// # Panics
    ///
    /// If the HTTP client cannot be set up, which takes no input.
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
        let address = xtra::spawn_tokio(dispatcher, Mailbox::bounded(MAILBOX));
        tokio::spawn(keep_time(address.downgrade(), clock, due));
        tokio::spawn(poll(address.downgrade()));
        address
    }

    fn handle(&mut self, input: CellInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(cell) = &mut self.cell else { return };
            cell.handle(self.clock.now(), input, &mut self.out);
            for output in std::mem::take(&mut self.out) {
                let undelivered = self.carry_out(output);
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

    /// Forgets waiting offers whose askers have gone without withdrawing them.
    fn sweep(&mut self) {
        let gone = self.replies.iter().filter(|(_, s)| s.is_closed());
        let gone: Vec<AttemptId> = gone.map(|(attempt, _)| *attempt).collect();
        for attempt in gone {
            self.replies.remove(&attempt);
            self.handle(CellInput::Undelivered(attempt));
        }
    }

    /// Carries out one effect. Returns the attempt of a grant that nobody waits for.
    fn carry_out(&mut self, output: CellOutput) -> Option<AttemptId> {
        match output {
            CellOutput::Grant(grant) => {
                let attempt = grant.attempt;
                let delivered = self.reply(attempt, Ok(grant));
                return (!delivered).then_some(attempt);
            }
            CellOutput::Refuse { attempt, refusal } => {
                self.reply(attempt, Err(refusal));
            }
            CellOutput::Tell(totals) => {
                // Later totals make up for any that are dropped.
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

    /// Gives the reply to whoever waits for it, and tells whether anybody does.
    fn reply(&mut self, attempt: AttemptId, reply: Reply) -> bool {
        let sender = self.replies.remove(&attempt);
        sender.is_some_and(|s| s.send(reply).is_ok())
    }
}

impl Actor for Dispatcher {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Ask> for Dispatcher {
    type Return = oneshot::Receiver<Reply>;

    async fn handle(&mut self, Ask(offer): Ask, _: &mut Context<Self>) -> Self::Return {
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

impl Handler<Tell> for Dispatcher {
    type Return = bool;

    async fn handle(&mut self, Tell(reports): Tell, _: &mut Context<Self>) -> bool {
        for report in reports {
            self.handle(CellInput::Report(report));
        }
        self.cell.is_some()
    }
}

impl Handler<Inspect> for Dispatcher {
    type Return = Option<CellStatus>;

    async fn handle(&mut self, _: Inspect, _: &mut Context<Self>) -> Self::Return {
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

impl Handler<Publish> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, Publish(peers): Publish, _: &mut Context<Self>) {
        self.totals = Some(peers);
    }
}

impl Handler<Polled> for Dispatcher {
    type Return = Vec<(EndpointName, SocketAddr)>;

    async fn handle(&mut self, _: Polled, _: &mut Context<Self>) -> Self::Return {
        self.sweep();
        let cell = self.cell.iter();
        let polled = cell.flat_map(|c| c.polled().map(|(name, at)| (name.clone(), at)));
        polled.collect()
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
    Learn(census) => Learn, CellInput::Census(census);
    EntryGone(entry) => EntryGone, CellInput::EntryGone(entry);
    Hear(totals) => Hear, CellInput::Totals(totals);
    Loaded { endpoint, load } => Loaded, CellInput::Load { endpoint, load };
    _ => Tick, CellInput::Tick;
}

/// Sends a tick whenever the cell's timer is due.
async fn keep_time(
    dispatcher: WeakAddress<Dispatcher>,
    clock: Clock,
    mut due: watch::Receiver<Option<Moment>>,
) {
    loop {
        let at = *due.borrow_and_update();
        let ended = tokio::select! {
            changed = due.changed() => changed.is_err(),
            () = expire(clock, at) => dispatcher.send(Tick).await.is_err(),
        };
        if ended {
            return;
        }
    }
}

async fn expire(clock: Clock, at: Option<Moment>) {
    match at {
        Some(at) => sleep_until(clock.instant(at)).await,
        None => std::future::pending().await,
    }
}

/// Asks the endpoints for their load until the actor stops. One that does not answer is left out.
async fn poll(dispatcher: WeakAddress<Dispatcher>) {
    let http = reqwest::Client::builder().no_proxy().timeout(POLL).build();
    let http = http.expect("an HTTP client without TLS needs no system resources");
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Ok(polled) = dispatcher.send(Polled).await else {
            return;
        };
        let (http, dispatcher) = (&http, &dispatcher);
        let asked = stream::iter(polled).map(|(endpoint, address)| async move {
            if let Some(load) = ask_load(http, address).await {
                // The next message to a stopped actor ends the loop.
                drop(dispatcher.send(Loaded { endpoint, load }).await);
            }
        });
        asked.buffer_unordered(POLLS).collect::<()>().await;
    }
}

async fn ask_load(http: &reqwest::Client, address: SocketAddr) -> Option<Load> {
    let request = http.get(format!("http://{address}/load"));
    let answer = request.send().await.ok()?.error_for_status().ok()?;
    answer.json().await.ok()
}
