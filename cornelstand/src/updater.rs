//! Brings accepted revisions of the configuration in force on this instance.
//!
//! A few instances watch the head object in the store; which ones follows from the membership, so
//! that their number does not grow with the fleet. The others learn of a revision from the gossip
//! and take it from the peer that told them, or from the store if that fails. A revision only
//! ever rises.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tokio::sync::{Mutex, watch};
use tokio::time::sleep;
use xtra::Address;

use crate::agent::{Accepted, Agent, InForce, News};
use crate::config::Config;
use crate::gossip::MemberState;
use crate::link::Links;
use crate::name::{InstanceName, Revision};
use crate::note::{Note, plan};
use crate::publish::{Acceptance, Known, PublishError, accept, fetch};
use crate::settings::{SettingsError, parse_json};
use crate::store::{ObjectKind, Store};
use crate::timeline::{Timeline, Topic};
use crate::trail::{ConfigUpdate, Trail};
use crate::view::FleetView;

/// Instances that watch the store.
const WATCHERS: usize = 3;
/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(20);
/// Wait after a failed call.
const PAUSE: Duration = Duration::from_millis(500);
/// Time for a peer's answer.
const PEER_WAIT: Duration = Duration::from_secs(2);

/// Keeps the configuration of one instance. Clones share it.
#[derive(Clone)]
pub(crate) struct Updater {
    pub(crate) own: InstanceName,
    pub(crate) store: Store,
    pub(crate) links: Links,
    pub(crate) view: FleetView,
    pub(crate) agent: Address<Agent>,
    pub(crate) timeline: Timeline,
    pub(crate) config: watch::Sender<Arc<Config>>,
    pub(crate) known: Arc<Mutex<Known>>,
    pub(crate) trail: Arc<std::sync::Mutex<Trail>>,
}

impl Updater {
    /// Reads the configuration from the store and follows it until the future is dropped.
    pub(crate) async fn run(self, news: watch::Receiver<News>) {
        tokio::join!(self.clone().watch(), self.follow(news));
    }

    /// Accepts a note.
    pub(crate) async fn apply(&self, note: &Note) -> Result<Acceptance, PublishError> {
        let mut known = self.known.lock().await;
        let acceptance = accept(&self.store, note, &mut known).await?;
        let config = known.config();
        drop(known);
        self.put_in_force(config).await;
        Ok(acceptance)
    }

    /// The note that leads from the present configuration to the one declared in `text`.
    pub(crate) fn plan(&self, text: &str) -> Result<Note, SettingsError> {
        let declared: Config = parse_json(text)?;
        Ok(plan("plan", &declared, &self.config.borrow()))
    }

    /// Watches the store while this instance is among the watchers.
    async fn watch(self) {
        loop {
            let is_started = self.config.borrow().revision.0 > 0;
            if is_started && !self.is_watcher() {
                sleep(PAUSE).await;
                continue;
            }
            let after = self.known.lock().await.version();
            let wait = if is_started { WATCH } else { PAUSE };
            match self.store.watch(ObjectKind::ConfigHead, after, wait).await {
                Ok(listing) if listing.objects.is_empty() => {}
                Ok(_) => self.read().await,
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    /// Takes revisions that peers tell of.
    async fn follow(&self, mut news: watch::Receiver<News>) {
        while news.changed().await.is_ok() {
            let told = news.borrow_and_update().clone();
            while self.config.borrow().revision < told.revision {
                if !self.take_from_peer(&told).await {
                    self.read().await;
                }
                if self.config.borrow().revision < told.revision {
                    sleep(PAUSE).await;
                }
                if news.has_changed().unwrap_or(true) {
                    break;
                }
            }
        }
    }

    async fn take_from_peer(&self, told: &News) -> bool {
        let Some(address) = told.peer else {
            return false;
        };
        let known = self.config.borrow().revision;
        let call = self
            .links
            .call(address, PEER_WAIT, |client, context| async move {
                client.config(context, known).await
            });
        match call.await {
            Ok(Some(update)) => {
                let present = self.config.borrow().clone();
                let Some(config) = update.follow(&present) else {
                    return false;
                };
                self.put_in_force(config).await;
                true
            }
            Ok(None) | Err(_) => false,
        }
    }

    async fn read(&self) {
        let mut known = self.known.lock().await;
        if fetch(&self.store, &mut known).await.is_err() {
            drop(known);
            sleep(PAUSE).await;
            return;
        }
        let config = known.config();
        drop(known);
        self.put_in_force(config).await;
    }

    /// Puts `config` in force unless a later one is.
    async fn put_in_force(&self, config: Config) {
        let config = Arc::new(config);
        let next = Arc::clone(&config);
        let is_newer = self.config.send_if_modified(|present| {
            let is_newer = next.revision > present.revision;
            if is_newer {
                self.trail().step(present, &next);
                *present = next;
            }
            is_newer
        });
        if !is_newer {
            return;
        }
        let revision = config.revision;
        tracing::info!(%revision, "configuration in force");
        self.timeline
            .record(Topic::Config, "in force", &revision.to_string(), None);
        self.agent.send(Accepted(revision)).await.ok();
        self.agent.send(InForce(config)).await.ok();
    }

    /// What a peer with revision `after` needs to reach the one in force here.
    pub(crate) fn since(&self, after: Revision) -> Option<ConfigUpdate> {
        let config = self.config.borrow().clone();
        self.trail().since(after, &config)
    }

    fn trail(&self) -> std::sync::MutexGuard<'_, Trail> {
        self.trail.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_watcher(&self) -> bool {
        let members = self.view.members();
        let live = members.iter().filter(|m| m.state == MemberState::Live);
        let mut names: Vec<&InstanceName> = live.map(|m| &m.name).collect();
        names.sort();
        names.iter().take(WATCHERS).any(|name| **name == self.own)
    }
}
