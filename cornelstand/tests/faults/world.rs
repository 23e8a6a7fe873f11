//! Two instances, one store and one endpoint, and the fault that meets a request among them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cornelstand::{
    Cell, CellId, Clock, Config, Configure, Dispatcher, EntryGone, Epoch, Moment, Part, RequestId,
    SetLease, Tenure, Timeline,
};
use tokio::sync::{Notify, watch};
use tokio::time::sleep;
use xtra::Address;

use crate::fakes::{FakeStore, StoreFault};
use crate::plan::{Fault, Link, Step};

/// Longer than the window in which a claimed request may be sent, shorter than its deadline.
pub(crate) const PAUSE: Duration = Duration::from_secs(15);
/// Shorter than every deadline.
const SLOW: Duration = Duration::from_millis(300);
/// Time in which a caller's end reaches the instance.
const MOMENT: Duration = Duration::from_millis(5);
/// How long the store, an endpoint or its place in the configuration is away.
const AWAY: Duration = Duration::from_millis(1_500);

/// An instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Node {
    A,
    B,
}

/// What becomes of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Act {
    Go,
    Cut,
    Silent,
    Repeat,
    Cross,
}

/// What the endpoint has seen of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Seen {
    /// Attempts whose headers came.
    pub(crate) touched: u32,
    /// Attempts that came whole.
    pub(crate) runs: u32,
}

pub(crate) struct World {
    pub(crate) store: FakeStore,
    pub(crate) config: watch::Sender<Arc<Config>>,
    /// The caller's connection to instance A is dropped.
    pub(crate) caller_gone: Notify,
    /// The caller sends the request through instance B as well.
    pub(crate) resend: Notify,
    /// Instance A is dead.
    pub(crate) dead: watch::Sender<bool>,
    /// Boot identity of the endpoint; a change breaks its connections.
    pub(crate) boot: watch::Sender<u64>,
    /// A change makes the endpoint's address refuse connections for a time.
    pub(crate) refusals: watch::Sender<u64>,
    /// The endpoint takes the next connection and never reads from it.
    pub(crate) mute: Mutex<bool>,
    /// The endpoint answers that it is overloaded.
    pub(crate) cold: Mutex<bool>,
    /// The instance that holds each request.
    pub(crate) nodes: Mutex<HashMap<RequestId, Node>>,
    cell: Address<Dispatcher>,
    repeating: Mutex<bool>,
    armed: Mutex<Option<(Step, Fault, u32)>>,
    pub(crate) fired: Mutex<u32>,
    pub(crate) seen: Mutex<HashMap<RequestId, Seen>>,
}

impl World {
    pub(crate) fn new(config: Config, step: Step, fault: Fault) -> Arc<Self> {
        let config = Arc::new(config);
        let times = if fault == Fault::CutTwice { 2 } else { 1 };
        Arc::new(Self {
            store: FakeStore::default(),
            cell: cell(&config),
            config: watch::Sender::new(config),
            nodes: Mutex::default(),
            repeating: Mutex::default(),
            caller_gone: Notify::new(),
            resend: Notify::new(),
            dead: watch::Sender::new(false),
            boot: watch::Sender::new(1),
            refusals: watch::Sender::new(0),
            mute: Mutex::default(),
            cold: Mutex::default(),
            armed: Mutex::new(Some((step, fault, times))),
            fired: Mutex::default(),
            seen: Mutex::default(),
        })
    }

    /// Tells what becomes of the message at `step`, and brings the fault about if it is due.
    pub(crate) async fn reach(self: &Arc<Self>, step: Step, node: Node) -> Act {
        let Some(fault) = self.due(step, node) else {
            return Act::Go;
        };
        *self.fired.lock().unwrap() += 1;
        if matches!(step, Step::Reported | Step::Recorded) {
            // The answer that is on its way to the caller comes first.
            sleep(MOMENT).await;
        }
        match fault {
            Fault::InstanceKilled => {
                self.dead.send_replace(true);
                let cell = self.cell();
                tokio::spawn(async move {
                    sleep(AWAY).await;
                    cell.send(EntryGone("a".into())).await
                });
                Act::Silent
            }
            Fault::InstancePaused => {
                tokio::time::advance(PAUSE).await;
                Act::Go
            }
            Fault::LinkCut | Fault::CutTwice => Act::Cut,
            Fault::LinkSilent => Act::Silent,
            Fault::LinkSlow => {
                sleep(SLOW).await;
                Act::Go
            }
            Fault::MessageRepeated => {
                *self.repeating.lock().unwrap() = step == Step::Queued;
                Act::Repeat
            }
            Fault::MessageCrossed => Act::Cross,
            Fault::StoreDown => self.store_fails(StoreFault::Down),
            Fault::StoreSlow => self.store_fails(StoreFault::Slow(SLOW)),
            Fault::StoreAnswerLost => self.store_fails(StoreFault::AnswerLost),
            Fault::EndpointCrash => self.crash(step),
            Fault::CrashAndAnswerLost => {
                self.store_fails(StoreFault::AnswerLost);
                self.crash(step)
            }
            Fault::EndpointCold => {
                self.for_a_time(
                    |w| *w.cold.lock().unwrap() = true,
                    |w| {
                        *w.cold.lock().unwrap() = false;
                    },
                );
                Act::Go
            }
            Fault::EndpointLeaving => {
                let whole = self.config.borrow().clone();
                let mut without = (*whole).clone();
                without.endpoints.clear();
                let without = Arc::new(without);
                self.for_a_time(move |w| w.configure(without), move |w| w.configure(whole));
                Act::Go
            }
            Fault::CallerGone => {
                self.caller_gone.notify_one();
                sleep(MOMENT).await;
                Act::Go
            }
            Fault::CallerResends => {
                self.resend.notify_one();
                sleep(SLOW).await;
                Act::Go
            }
        }
    }

    /// The real dispatcher.
    pub(crate) fn cell(&self) -> Address<Dispatcher> {
        self.cell.clone()
    }

    /// Tells once whether the present offer is sent twice.
    pub(crate) fn is_repeating(&self) -> bool {
        std::mem::take(&mut self.repeating.lock().unwrap())
    }

    /// The instance that holds `request`.
    pub(crate) fn node(&self, request: RequestId) -> Node {
        let nodes = self.nodes.lock().unwrap();
        nodes.get(&request).copied().unwrap_or(Node::B)
    }

    /// Puts a configuration in force at both instances and at the dispatcher.
    fn configure(&self, config: Arc<Config>) {
        self.config.send_replace(config.clone());
        let cell = self.cell();
        tokio::spawn(async move { cell.send(Configure(config)).await });
    }

    fn due(&self, step: Step, node: Node) -> Option<Fault> {
        let mut armed = self.armed.lock().unwrap();
        let (at, fault, left) = (*armed)?;
        if at != step || node == Node::B && fault != Fault::CutTwice {
            return None;
        }
        *armed = (left > 1).then_some((at, fault, left - 1));
        Some(fault)
    }

    fn store_fails(self: &Arc<Self>, fault: StoreFault) -> Act {
        self.for_a_time(move |w| w.store.set(Some(fault)), |w| w.store.set(None));
        Act::Go
    }

    fn crash(&self, step: Step) -> Act {
        self.boot.send_modify(|boot| *boot += 1);
        if step.link() == Link::Endpoint {
            Act::Cut
        } else {
            Act::Go
        }
    }

    fn for_a_time(
        self: &Arc<Self>,
        begin: impl FnOnce(&Self),
        end: impl FnOnce(&Self) + Send + 'static,
    ) {
        begin(self);
        let world = self.clone();
        tokio::spawn(async move {
            sleep(AWAY).await;
            end(&world);
        });
    }

    /// Never returns if `node` is dead, and as soon as it dies.
    pub(crate) async fn alive_or_stuck(&self, node: Node) {
        if node == Node::A && *self.dead.borrow() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until `node` dies.
    pub(crate) async fn death(&self, node: Node) {
        if node == Node::B {
            std::future::pending::<()>().await;
        }
        let mut dead = self.dead.subscribe();
        let _ = dead.wait_for(|dead| *dead).await;
    }
}

/// The dispatcher of the only cell, with its lease for good.
fn cell(config: &Arc<Config>) -> Address<Dispatcher> {
    let clock = Clock::start();
    let service = "app".into();
    let id = CellId { service, index: 0 };
    let cell = Cell::new(id, Epoch(1), config.clone(), clock.now());
    let dispatcher = Dispatcher::spawn(cell, clock, Timeline::new("a".into(), 100));
    let tenure = Tenure {
        epoch: Epoch(1),
        part: Part::Full,
        until: Moment(u64::MAX),
        after: None,
    };
    let leased = dispatcher.clone();
    tokio::spawn(async move { leased.send(SetLease(tenure)).await });
    dispatcher
}
