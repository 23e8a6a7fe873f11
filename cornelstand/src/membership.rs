//! Actor that runs the membership protocol and publishes the member table.
//!
//! Readers get the membership from a [`watch`] channel. Each exchange runs in a task of its own,
//! so an unresponsive peer delays nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::gossip::{Extension, Gossip, Seed};
use crate::member::Members;
use crate::member_message::{MemberInput, MemberOutput};
use crate::moment::Clock;
use crate::name::{CellId, Epoch, InstanceName, Revision};
use crate::timeline::{Timeline, Topic};

/// Capacity of the actor's mailbox.
const MAILBOX_CAPACITY: usize = 1024;

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between readings of the platform's instance list.
const LIST_PERIOD: Duration = Duration::from_secs(3);

type ExchangeCall = dyn Fn(SocketAddr, Gossip) -> BoxFuture<'static, Option<Gossip>> + Send + Sync;
type ListCall = dyn Fn() -> BoxFuture<'static, Option<Vec<Seed>>> + Send + Sync;
type ExtraCall = dyn Fn(InstanceName, Vec<Extension>) + Send + Sync;

/// Dependencies of the membership actor.
#[derive(Clone)]
pub struct MembershipParts {
    /// Exchanges messages with a peer, `None` if it does not answer.
    pub exchange: Arc<ExchangeCall>,
    /// Reads the platform's instance list, without endpoints; `None` if that fails.
    pub list: Arc<ListCall>,
    /// Handles items of other modules from a peer.
    pub extra: Arc<ExtraCall>,
    /// Clock of the process.
    pub clock: Clock,
    /// Where changes of members and cells are recorded.
    pub timeline: Timeline,
}

/// Answers an exchange that a peer started.
#[derive(Debug)]
pub struct AnswerGossip(pub Gossip);

/// Adds addresses from the settings.
#[derive(Debug)]
pub struct AddSeeds(pub Vec<Seed>);

/// Claims a cell for this instance, with the expected wait there.
#[derive(Clone, Debug)]
pub struct ClaimCell {
    /// The cell.
    pub cell: CellId,
    /// Epoch of this instance.
    pub epoch: Epoch,
    /// Expected wait of a new request, in milliseconds.
    pub delay: u32,
}

/// Announces the revision in force at this instance.
#[derive(Debug)]
pub struct PutInForce(pub Revision);

/// Reports an accepted revision.
#[derive(Debug)]
pub struct KnowRevision(pub Revision);

/// Replaces the items of other modules in later messages.
#[derive(Debug)]
pub struct ExtendGossip(pub Vec<Extension>);

/// Announces that this instance is about to stop.
#[derive(Debug)]
pub struct LeaveFleet;

/// Announces that this instance has stopped all work.
#[derive(Debug)]
pub struct EndMembership;

/// Ends the actor.
#[derive(Debug)]
pub struct StopMembership;

struct Tick;

struct Replied(SocketAddr, Option<Gossip>);

struct Listed(Vec<Seed>);

/// The membership of this instance.
pub struct Membership {
    members: Members,
    parts: MembershipParts,
    published: watch::Sender<Arc<Members>>,
    own_address: Option<WeakAddress<Self>>,
}

impl Membership {
    /// Starts the actor on the current runtime. It ends when the last address is dropped.
    #[must_use]
    pub fn spawn(
        members: Members,
        parts: MembershipParts,
    ) -> (Address<Self>, watch::Receiver<Arc<Members>>) {
        let (published, receiver) = watch::channel(Arc::new(members.clone()));
        let list = parts.list.clone();
        let period = members.timing().period;
        let actor = Self {
            members,
            parts,
            published,
            own_address: None,
        };
        let address = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY));
        tokio::spawn(tick(address.downgrade(), period));
        tokio::spawn(list_instances(address.downgrade(), list));
        (address, receiver)
    }

    fn handle_input(&mut self, input: MemberInput) -> Option<Gossip> {
        let mut is_changed = !matches!(input, MemberInput::Tick { .. });
        let mut out = Vec::new();
        self.members.handle(self.parts.clock.now(), input, &mut out);
        let mut reply = None;
        for output in out {
            is_changed |= !matches!(output, MemberOutput::Exchange { .. });
            match output {
                MemberOutput::Exchange { address, gossip } => self.exchange(address, *gossip),
                MemberOutput::Reply(gossip) => reply = Some(*gossip),
                MemberOutput::Extra { from, items } => (self.parts.extra)(from, items),
                other => self.record(&other),
            }
        }
        if is_changed {
            self.published.send_replace(Arc::new(self.members.clone()));
        }
        reply
    }

    fn record(&self, output: &MemberOutput) {
        let timeline = &self.parts.timeline;
        match output {
            MemberOutput::Changed(member) => {
                let state = member.state.to_string();
                timeline.record(Topic::Member, &state, member.name.as_str(), None);
            }
            MemberOutput::Revision { revision, .. } => {
                timeline.record(Topic::Config, "heard of", &revision.to_string(), None);
            }
            MemberOutput::Displaced(incarnation) => {
                let later = incarnation.to_string();
                timeline.record(Topic::Member, "displaced", &later, None);
                tracing::error!(%incarnation, "a later process has the name of this instance");
            }
            _ => {}
        }
    }

    fn exchange(&self, address: SocketAddr, gossip: Gossip) {
        let Some(actor) = self.own_address.as_ref().and_then(WeakAddress::try_upgrade) else {
            return;
        };
        let call = (self.parts.exchange)(address, gossip);
        tokio::spawn(async move {
            let reply = timeout(EXCHANGE_TIMEOUT, call).await.ok().flatten();
            let _ = actor.send(Replied(address, reply)).await;
        });
    }
}

async fn tick(actor: WeakAddress<Membership>, period: Duration) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if actor.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn list_instances(actor: WeakAddress<Membership>, list: Arc<ListCall>) {
    let mut ticks = interval(LIST_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while actor.is_connected() {
        ticks.tick().await;
        if let Some(seeds) = list().await {
            let _ = actor.send(Listed(seeds)).await;
        }
    }
}

impl Actor for Membership {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        self.own_address = Some(mailbox.address());
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<AnswerGossip> for Membership {
    type Return = Option<Gossip>;

    async fn handle(&mut self, message: AnswerGossip, _: &mut Context<Self>) -> Option<Gossip> {
        self.parts.timeline.observe(message.0.stamp);
        let stamp = self.parts.timeline.stamp();
        let gossip = Box::new(message.0);
        self.handle_input(MemberInput::Received { gossip, stamp })
    }
}

impl Handler<Replied> for Membership {
    type Return = ();

    async fn handle(&mut self, Replied(address, reply): Replied, _: &mut Context<Self>) {
        let input = match reply {
            Some(gossip) => {
                self.parts.timeline.observe(gossip.stamp);
                MemberInput::Answered(Box::new(gossip))
            }
            None => MemberInput::NoReply(address),
        };
        self.handle_input(input);
    }
}

impl Handler<StopMembership> for Membership {
    type Return = ();

    async fn handle(&mut self, _: StopMembership, context: &mut Context<Self>) {
        context.stop_all();
    }
}

macro_rules! inputs {
    ($($pattern:pat => $message:ty, $me:ident, $input:expr;)*) => {$(
        impl Handler<$message> for Membership {
            type Return = ();

            async fn handle(&mut self, $pattern: $message, _: &mut Context<Self>) {
                let $me = &*self;
                let input = $input;
                self.handle_input(input);
            }
        }
    )*};
}

inputs! {
    Tick => Tick, me, MemberInput::Tick { stamp: me.parts.timeline.stamp() };
    Listed(seeds) => Listed, _me, MemberInput::Seeds { seeds, is_complete: true };
    AddSeeds(seeds) => AddSeeds, _me, MemberInput::Seeds { seeds, is_complete: false };
    ClaimCell { cell, epoch, delay } => ClaimCell, _me,
        MemberInput::Claim { cell, epoch, delay };
    PutInForce(revision) => PutInForce, _me, MemberInput::InForce(revision);
    KnowRevision(revision) => KnowRevision, _me, MemberInput::Known(revision);
    ExtendGossip(items) => ExtendGossip, _me, MemberInput::Extend(items);
    LeaveFleet => LeaveFleet, _me, MemberInput::Leave;
    EndMembership => EndMembership, _me, MemberInput::Left;
}
