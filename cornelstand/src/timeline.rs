//! Time line of events over all processes.
//!
//! Each instance keeps its latest events in a bounded ring. Events carry a [`Stamp`] of a hybrid
//! logical clock, so that the merged rings of all instances show causes before effects even when
//! wall clocks differ.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::moment::micros;
use crate::name::{InstanceName, RequestId};

/// Time of an event in the order of the whole fleet.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{wall}.{count}")]
pub struct Stamp {
    /// Largest wall-clock time seen, in microseconds since the Unix epoch.
    pub wall: u64,
    /// Counts events with the same wall-clock time.
    pub count: u32,
}

impl Stamp {
    /// The stamp of the next event at wall-clock time `wall`, after this one and after `seen`.
    #[must_use]
    pub fn next(self, wall: u64, seen: Self) -> Self {
        let latest = self.max(seen);
        if wall > latest.wall {
            return Self { wall, count: 0 };
        }
        Self {
            wall: latest.wall,
            count: latest.count.saturating_add(1),
        }
    }
}

/// What an event is about.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// A caller's request.
    Request,
    /// An endpoint's state or limit.
    Endpoint,
    /// Ownership of a cell.
    Cell,
    /// A revision of the configuration.
    Config,
    /// Membership of the fleet.
    Member,
    /// A claim of a request that may not be repeated.
    Claim,
    /// Start and stop of the process.
    Process,
}

/// One event of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// When, in the order of the fleet.
    pub stamp: Stamp,
    /// Where.
    pub instance: InstanceName,
    /// What it is about.
    pub topic: Topic,
    /// What happened, a short fixed phrase such as `granted`.
    pub what: String,
    /// The subject: an endpoint, cell, account or revision.
    pub subject: String,
    /// The request, if one is concerned.
    pub request: Option<RequestId>,
}

/// Ring of the latest events of one instance. Clones share the ring.
#[derive(Clone, Debug)]
pub struct Timeline {
    instance: InstanceName,
    ring: Arc<Mutex<Ring>>,
}

#[derive(Debug)]
struct Ring {
    last: Stamp,
    room: usize,
    events: VecDeque<Event>,
}

impl Timeline {
    /// An empty ring of `instance` that keeps at most `room` events.
    #[must_use]
    pub fn new(instance: InstanceName, room: usize) -> Self {
        let ring = Ring {
            last: Stamp::default(),
            room: room.max(1),
            events: VecDeque::new(),
        };
        Self {
            instance,
            ring: Arc::new(Mutex::new(ring)),
        }
    }

    /// Records that `what` happened to `subject`.
    pub fn record(&self, topic: Topic, what: &str, subject: &str, request: Option<RequestId>) {
        let mut ring = self.lock();
        ring.last = ring.last.next(wall_clock(), Stamp::default());
        let event = Event {
            stamp: ring.last,
            instance: self.instance.clone(),
            topic,
            what: what.to_owned(),
            subject: subject.to_owned(),
            request,
        };
        if ring.events.len() == ring.room {
            ring.events.pop_front();
        }
        ring.events.push_back(event);
    }

    /// Takes in the stamp of a message from another instance.
    pub fn observe(&self, seen: Stamp) {
        let mut ring = self.lock();
        ring.last = ring.last.next(wall_clock(), seen);
    }

    /// Stamp for a message to another instance.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        let mut ring = self.lock();
        ring.last = ring.last.next(wall_clock(), Stamp::default());
        ring.last
    }

    /// The events in the ring, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.iter().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn wall_clock() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, micros)
}

/// Merges the rings of several instances into one order.
#[must_use]
pub fn merge(rings: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = rings.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    events
}
