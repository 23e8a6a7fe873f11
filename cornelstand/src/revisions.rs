//! The loop that brings accepted revisions into force at this instance.
//!
//! A few instances, the first in the order of a rendezvous hash, wait for changes of the head
//! in the store. The others learn of a revision by gossip and pull the notes that lead there from
//! a peer that has them, or read the store if no peer answers. So the store's calls per note do
//! not grow with the fleet. A revision in force only rises.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use rand::seq::IndexedRandom as _;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use xtra::prelude::*;

use crate::config::Config;
use crate::gossip::Member;
use crate::member::Members;
use crate::membership::{KnowRevision, Membership, PutInForce};
use crate::name::Revision;
use crate::note::{Note, plan};
use crate::publish::{Known, fetch};
use crate::store::{ObjectKind, Store};
use crate::timeline::{Timeline, Topic};

/// Instances that watch the store.
pub const WATCHERS: usize = 3;

/// Notes that an instance keeps for its peers.
const KEPT_NOTES: usize = 64;

/// Longest time that one watch waits.
const WATCH: Duration = Duration::from_secs(30);

/// Time between reads of the store by those that do not watch it, all of them together.
const BACKSTOP: Duration = Duration::from_secs(30);

/// Time before another try after a failure.
const RETRY: Duration = Duration::from_secs(1);

/// Deadline of a pull from a peer.
const PULL: Duration = Duration::from_secs(2);

/// Peers that a pull tries before it turns to the store.
const PEERS: usize = 3;

/// What a peer gives to reach its revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigUpdate {
    /// Notes to apply in order, the first to the revision asked for.
    Notes(Vec<Note>),
    /// The whole configuration.
    Whole(Box<Config>),
}

type PullCall = dyn Fn(Member, Revision) -> BoxFuture<'static, Option<ConfigUpdate>> + Send + Sync;

/// What the loop needs from the outside.
#[derive(Clone)]
pub struct RevisionParts {
    /// The store.
    pub store: Store,
    /// Asks a peer for what follows a revision; `None` if it has nothing or does not answer.
    pub pull: Arc<PullCall>,
    /// The membership.
    pub members: watch::Receiver<Arc<Members>>,
    /// Where the revision in force is told.
    pub fleet: Address<Membership>,
    /// Where revisions are recorded.
    pub timeline: Timeline,
}

/// The configuration in force and how it came about.
#[derive(Clone, Debug)]
pub struct InForce {
    config: watch::Receiver<Arc<Config>>,
    ready: watch::Receiver<bool>,
    notes: watch::Receiver<VecDeque<Note>>,
}

impl InForce {
    /// The configuration in force, for waiting on changes.
    #[must_use]
    pub fn config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.clone()
    }

    /// Whether the store or a peer has confirmed the revision since the start.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits until [`Self::is_ready`].
    pub async fn until_ready(&mut self) {
        let _ = self.ready.wait_for(|ready| *ready).await;
    }

    /// What a peer with revision `after` needs, `None` if this instance has nothing higher.
    #[must_use]
    pub fn update(&self, after: Revision) -> Option<ConfigUpdate> {
        let config = self.config.borrow().clone();
        if config.revision <= after {
            return None;
        }
        let notes = self.notes.borrow();
        let later: Vec<Note> = notes.iter().filter(|n| n.base >= after).cloned().collect();
        if later.first().is_some_and(|n| n.base == after) {
            return Some(ConfigUpdate::Notes(later));
        }
        Some(ConfigUpdate::Whole(Box::new(config.as_ref().clone())))
    }
}

/// Starts the loop on the current runtime. It ends when the membership ends.
#[must_use]
pub fn keep_revisions(parts: RevisionParts) -> InForce {
    let (config, in_force) = watch::channel(Arc::default());
    let (ready, is_ready) = watch::channel(false);
    let (notes, kept) = watch::channel(VecDeque::new());
    let revisions = Revisions {
        parts,
        known: Known::default(),
        config,
        ready,
        notes,
    };
    tokio::spawn(revisions.run());
    InForce {
        config: in_force,
        ready: is_ready,
        notes: kept,
    }
}

struct Revisions {
    parts: RevisionParts,
    known: Known,
    config: watch::Sender<Arc<Config>>,
    ready: watch::Sender<bool>,
    notes: watch::Sender<VecDeque<Note>>,
}

impl Revisions {
    async fn run(mut self) {
        self.start().await;
        while !self.config.is_closed() && self.parts.members.has_changed().is_ok() {
            if self.is_watcher() {
                self.watch().await;
            } else {
                self.follow().await;
            }
        }
    }

    fn revision(&self) -> Revision {
        self.config.borrow().revision
    }

    fn is_watcher(&self) -> bool {
        let members = self.parts.members.borrow();
        let watchers = members.ranked("config", WATCHERS);
        watchers.iter().any(|m| m.name == members.me().name)
    }

    /// Finds the highest revision of store and peers.
    async fn start(&mut self) {
        while !*self.ready.borrow() {
            let is_read = self.read_store().await;
            let is_pulled = !is_read && self.pull().await;
            if is_read || is_pulled {
                self.ready.send_replace(true);
            } else {
                sleep(RETRY).await;
            }
        }
    }

    /// Waits for a change of the head in the store, or for word of one by gossip.
    async fn watch(&mut self) {
        let store = self.parts.store.clone();
        let after = self.known.version();
        let before = self.revision();
        let members = self.parts.members.clone();
        let is_quiet = tokio::select! {
            listing = store.watch(ObjectKind::ConfigHead, after, WATCH) => {
                listing.is_ok_and(|l| l.objects.is_empty())
            }
            () = heard(members, before) => false,
        };
        if is_quiet {
            return;
        }
        if !self.read_store().await {
            self.pull().await;
        }
        self.pause(before).await;
    }

    /// Waits until the gossip tells of a higher revision and pulls it.
    async fn follow(&mut self) {
        let before = self.revision();
        let members = self.parts.members.clone();
        let others = members.borrow().live().count().max(1);
        let wait = BACKSTOP * u32::try_from(others).unwrap_or(u32::MAX);
        let is_heard = timeout(wait, heard(members, before)).await.is_ok();
        if is_heard && self.pull().await {
            return;
        }
        self.read_store().await;
        self.pause(before).await;
    }

    /// Waits before another try if there is still nothing above `before`.
    async fn pause(&self, before: Revision) {
        if self.revision() == before {
            sleep(RETRY).await;
        }
    }

    /// Reads the store and tells whether it answered.
    async fn read_store(&mut self) -> bool {
        match fetch(&self.parts.store, &mut self.known).await {
            Ok(()) => {
                let _ = self
                    .parts
                    .fleet
                    .send(KnowRevision(self.known.revision()))
                    .await;
                if self.known.revision() > self.revision() {
                    self.put_in_force(self.known.config()).await;
                }
                true
            }
            Err(error) => {
                tracing::debug!(%error, "the store gave no configuration");
                false
            }
        }
    }

    /// Asks a few peers that should have a higher revision; tells whether one had it.
    async fn pull(&mut self) -> bool {
        for peer in self.peers() {
            let call = (self.parts.pull)(peer, self.revision());
            let Ok(Some(update)) = timeout(PULL, call).await else {
                continue;
            };
            if let Some(config) = self.updated(update) {
                self.put_in_force(config).await;
                return true;
            }
        }
        false
    }

    /// Random peers, those that are known to have a higher revision first.
    fn peers(&self) -> Vec<Member> {
        let members = self.parts.members.borrow();
        let me = &members.me().name;
        let others: Vec<&Member> = members.live().filter(|m| m.name != *me).collect();
        let now = self.revision();
        let (ahead, rest): (Vec<&Member>, Vec<&Member>) =
            others.into_iter().partition(|m| m.revision > now);
        let mut random = rand::rng();
        let first = ahead.sample(&mut random, PEERS);
        let first: Vec<&Member> = first.copied().collect();
        let then = rest.sample(&mut random, PEERS).copied();
        first.into_iter().chain(then).take(PEERS).cloned().collect()
    }

    fn updated(&self, update: ConfigUpdate) -> Option<Config> {
        let present = self.config.borrow().clone();
        let config = match update {
            ConfigUpdate::Whole(config) => *config,
            ConfigUpdate::Notes(notes) => notes
                .iter()
                .try_fold(present.as_ref().clone(), |config, note| note.apply(&config))
                .ok()?,
        };
        (config.revision > present.revision).then_some(config)
    }

    async fn put_in_force(&self, config: Config) {
        let present = self.config.borrow().clone();
        if config.revision <= present.revision {
            return;
        }
        let revision = config.revision;
        self.keep_note(&present, &config);
        self.config.send_replace(Arc::new(config));
        let text = revision.to_string();
        self.parts
            .timeline
            .record(Topic::Config, "in force", &text, None);
        let _ = self.parts.fleet.send(PutInForce(revision)).await;
    }

    /// Keeps the step to `next` for peers, as one note if it is one revision.
    fn keep_note(&self, present: &Config, next: &Config) {
        self.notes.send_modify(|notes| {
            if next.revision.0 != present.revision.0 + 1 {
                notes.clear();
                return;
            }
            let title = format!("revision {}", next.revision);
            notes.push_back(plan(&title, next, present));
            if notes.len() > KEPT_NOTES {
                notes.pop_front();
            }
        });
    }
}

/// Waits until the gossip tells of a revision above `present`.
async fn heard(mut members: watch::Receiver<Arc<Members>>, present: Revision) {
    if members.wait_for(|m| m.revision() > present).await.is_err() {
        std::future::pending::<()>().await;
    }
}
