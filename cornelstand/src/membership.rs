//! The actor around the membership: it sends, answers and publishes what is known.
//!
//! Everybody else reads the membership from a [`watch`] channel. Exchanges run in tasks of their
//! own, so a silent peer holds nothing up.

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

/// Messages that may wait for the actor.
const MAILBOX: usize = 1024;

/// Deadline of an exchange.
const EXCHANGE: Duration = Duration::from_millis(900);

/// Time between readings of the platform's instance list.
const LIST: Duration = Duration::from_secs(3);

type ExchangeCall = dyn Fn(SocketAddr, Gossip) -> BoxFuture<'static, Option<Gossip>> + Send + Sync;
type ListCall = dyn Fn() -> BoxFuture<'static, Option<Vec<Seed>>> + Send + Sync;
type ExtraCall = dyn Fn(InstanceName, Vec<Extension>) + Send + Sync;

/// What the membership needs from the outside.
#[derive(Clone)]
pub struct MembershipParts {
    /// Exchanges messages with a peer, `None` if it does not answer.
    pub exchange: Arc<ExchangeCall>,
    /// Reads the platform's instance list, without endpoints; `None` if that fails.
    pub list: Arc<ListCall>,
    /// Takes in items of other modules from a peer.
    pub extra: Arc<ExtraCall>,
    /// Clock of the process.
    pub clock: Clock,
    /// Where changes of members and cells are recorded.
    pub timeline: Timeline,
}

/// Answers an exchange that a peer started.
#[derive(Debug)]
pub struct AnswerGossip(pub Gossip);

/// Gives addresses from the settings.
#[derive(Debug)]
pub struct AddSeeds(pub Vec<Seed>);

/// Tells that this instance acts as owner of a cell, and the wait there in milliseconds.
#[derive(Clone, Debug)]
pub struct ClaimCell {
    /// The cell.
    pub cell: CellId,
    /// Epoch of this instance.
    pub epoch: Epoch,
    /// Expected wait of a new request, in milliseconds.
    pub delay: u32,
}

/// Tells that a revision is in force at this instance.
#[derive(Debug)]
pub struct PutInForce(pub Revision);

/// Tells that a revision was accepted.
#[derive(Debug)]
pub struct KnowRevision(pub Revision);

/// Replaces the items of other modules in messages to come.
#[derive(Debug)]
pub struct ExtendGossip(pub Vec<Extension>);

/// Tells the peers that this instance is about to stop.
#[derive(Debug)]
pub struct LeaveFleet;

/// Tells the peers that this instance has stopped all work.
#[derive(Debug)]
pub struct EndMembership;

/// Ends the actor.
#[derive(Debug)]
pub struct StopMembership;

struct Round;

struct Replied(SocketAddr, Option<Gossip>);

struct Listed(Vec<Seed>);

/// The membership of this instance.
pub struct Membership {
    members: Members,
    parts: MembershipParts,
    published: watch::Sender<Arc<Members>>,
    itself: Option<WeakAddress<Self>>,
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
        let fleet = Self {
            members,
            parts,
            published,
            itself: None,
        };
        let address = xtra::spawn_tokio(fleet, Mailbox::bounded(MAILBOX));
        tokio::spawn(beat(address.downgrade(), period));
        tokio::spawn(list_instances(address.downgrade(), list));
        (address, receiver)
    }

    fn take_in(&mut self, input: MemberInput) -> Option<Gossip> {
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
                let what = member.state.to_string();
                timeline.record(Topic::Member, &what, member.name.as_str(), None);
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
        let Some(fleet) = self.itself.as_ref().and_then(WeakAddress::try_upgrade) else {
            return;
        };
        let call = (self.parts.exchange)(address, gossip);
        tokio::spawn(async move {
            let reply = timeout(EXCHANGE, call).await.ok().flatten();
            let _ = fleet.send(Replied(address, reply)).await;
        });
    }
}

async fn beat(fleet: WeakAddress<Membership>, period: Duration) {
    let mut beat = interval(period);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beat.tick().await;
        if fleet.send(Round).await.is_err() {
            return;
        }
    }
}

async fn list_instances(fleet: WeakAddress<Membership>, list: Arc<ListCall>) {
    let mut beat = interval(LIST);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while fleet.is_connected() {
        beat.tick().await;
        if let Some(seeds) = list().await {
            let _ = fleet.send(Listed(seeds)).await;
        }
    }
}

impl Actor for Membership {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        self.itself = Some(mailbox.address());
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
        self.take_in(MemberInput::Received { gossip, stamp })
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
            None => MemberInput::Silent(address),
        };
        self.take_in(input);
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
                self.take_in(input);
            }
        }
    )*};
}

inputs! {
    Round => Round, me, MemberInput::Tick { stamp: me.parts.timeline.stamp() };
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
