//! Connections that go silent.
//!
//! A connection is known by the peer's address. Once silenced, no request on it is answered and
//! no stream on it goes on, while new connections work.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Clone, Debug, Default)]
pub(crate) struct Lines {
    sets: Arc<Mutex<Sets>>,
}

#[derive(Debug, Default)]
struct Sets {
    known: HashSet<SocketAddr>,
    silent: HashSet<SocketAddr>,
}

impl Lines {
    /// Takes note of a connection and waits for ever if it is silent.
    pub(crate) async fn pass(&self, peer: Option<SocketAddr>) {
        if let Some(peer) = peer {
            self.lock().known.insert(peer);
        }
        self.hold(peer).await;
    }

    /// Waits for ever if the connection is silent.
    pub(crate) async fn hold(&self, peer: Option<SocketAddr>) {
        if self.is_silent(peer) {
            std::future::pending::<()>().await;
        }
    }

    pub(crate) fn is_silent(&self, peer: Option<SocketAddr>) -> bool {
        peer.is_some_and(|p| self.lock().silent.contains(&p))
    }

    /// Silences all connections known so far.
    pub(crate) fn silence(&self) {
        let mut sets = self.lock();
        let known = std::mem::take(&mut sets.known);
        sets.silent.extend(known);
    }

    /// Forgets all connections.
    pub(crate) fn clear(&self) {
        *self.lock() = Sets::default();
    }

    fn lock(&self) -> MutexGuard<'_, Sets> {
        self.sets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
