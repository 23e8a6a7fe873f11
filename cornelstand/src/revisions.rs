//! Loop that puts accepted revisions in force at this instance.
//!
//! A few instances, the first in the order of a rendezvous hash, watch the head in the store. The
//! others learn of a revision by gossip and pull its notes from a peer that has them, or read the
//! store if no peer answers. So the number of store calls per note does not grow with the fleet.
//! The revision in force never decreases.

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

/// Longest wait of one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between store reads by the instances that do not watch it, all taken together.
const STORE_READ_PERIOD: Duration = Duration::from_secs(30);

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a pull from a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Rounds of pulls before the store is read.
const PULL_ROUNDS: usize = 8;

/// Time between two rounds of pulls.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Peers asked in one round of pulls.
const PULL_PEERS: usize = 3;

/// Update to the revision of a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigUpdate {
    /// Notes to apply in order, the first to the revision asked for.
    Notes(Vec<Note>),
    /// The whole configuration.
    Whole(Box<Config>),
}

type PullCall = dyn Fn(Member, Revision) -> BoxFuture<'static, Option<ConfigUpdate>> + Send + Sync;

/// Dependencies of the loop.
#[derive(Clone)]
pub struct RevisionParts {
    /// The store.
    pub store: Store,
    /// Asks a peer for what follows a revision; `None` if it has nothing or does not answer.
    pub pull: Arc<PullCall>,
    /// The membership.
    pub members: watch::Receiver<Arc<Members>>,
    /// Receives the revision in force.
    pub fleet: Address<Membership>,
    /// Where revisions are recorded.
    pub timeline: Timeline,
}

/// The configuration in force and its latest notes.
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

    /// Update for a peer at revision `after`, `None` if this instance has none higher.
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

    /// Gets a revision from the store or a peer.
    async fn start(&mut self) {
        while !*self.ready.borrow() {
            let is_read = self.read_store().await;
            let is_pulled = !is_read && self.pull().await;
            if is_read || is_pulled {
                self.ready.send_replace(true);
            } else {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Waits for a new head in the store or gossip of a higher revision.
    async fn watch(&mut self) {
        let store = self.parts.store.clone();
        let after = self.known.version();
        let before = self.revision();
        let members = self.parts.members.clone();
        let is_unchanged = tokio::select! {
            listing = store.watch(ObjectKind::ConfigHead, after, WATCH_TIMEOUT) => {
                listing.is_ok_and(|l| l.is_empty())
            }
            () = announced(members, before) => false,
        };
        if is_unchanged {
            return;
        }
        if !self.read_store().await {
            self.pull().await;
        }
        self.back_off(before).await;
    }

    /// Waits for gossip of a higher revision and pulls it.
    async fn follow(&mut self) {
        let before = self.revision();
        let members = self.parts.members.clone();
        let others = members.borrow().live().count().max(1);
        let wait = STORE_READ_PERIOD * u32::try_from(others).unwrap_or(u32::MAX);
        let is_announced = timeout(wait, announced(members, before)).await.is_ok();
        if is_announced && self.pull_with_retries().await {
            return;
        }
        self.read_store().await;
        self.back_off(before).await;
    }

    /// Pulls several times until a peer has a higher revision. Gossip announces a revision before
    /// most peers have it, and store reads have to stay few.
    async fn pull_with_retries(&mut self) -> bool {
        for _ in 0..PULL_ROUNDS {
            if self.pull().await {
                return true;
            }
            sleep(PULL_RETRY_DELAY).await;
        }
        false
    }

    /// Waits before a retry if the revision is still `before`.
    async fn back_off(&self, before: Revision) {
        if self.revision() == before {
            sleep(RETRY_DELAY).await;
        }
    }

    /// Reads the store; returns whether it answered.
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
                tracing::debug!(%error, "failed to read the configuration from the store");
                false
            }
        }
    }

    /// Asks a few peers for a higher revision; returns whether one had it.
    async fn pull(&mut self) -> bool {
        for peer in self.peers() {
            let call = (self.parts.pull)(peer, self.revision());
            let Ok(Some(update)) = timeout(PULL_TIMEOUT, call).await else {
                continue;
            };
            if let Some(config) = self.apply_update(update) {
                self.put_in_force(config).await;
                return true;
            }
        }
        false
    }

    /// Random peers, those known to have a higher revision first.
    fn peers(&self) -> Vec<Member> {
        let members = self.parts.members.borrow();
        let me = &members.me().name;
        let others: Vec<&Member> = members.live().filter(|m| m.name != *me).collect();
        let now = self.revision();
        let (ahead, rest): (Vec<&Member>, Vec<&Member>) =
            others.into_iter().partition(|m| m.revision > now);
        let mut random = rand::rng();
        let first = ahead.sample(&mut random, PULL_PEERS);
        let first: Vec<&Member> = first.copied().collect();
        let then = rest.sample(&mut random, PULL_PEERS).copied();
        first
            .into_iter()
            .chain(then)
            .take(PULL_PEERS)
            .cloned()
            .collect()
    }

    fn apply_update(&self, update: ConfigUpdate) -> Option<Config> {
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

    /// Keeps the note to `next` for peers, or drops all if it skips revisions.
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

/// Waits for gossip of a revision above `present`.
async fn announced(mut members: watch::Receiver<Arc<Members>>, present: Revision) {
    if members.wait_for(|m| m.revision() > present).await.is_err() {
        std::future::pending::<()>().await;
    }
}
