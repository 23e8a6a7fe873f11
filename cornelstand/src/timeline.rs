//! Timeline of events across all instances.
//!
//! Each instance keeps its latest events in a ring buffer. Events carry a [`Stamp`] of a hybrid
//! logical clock, so that the merged buffers of all instances show causes before effects even
//! when wall clocks differ.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::moment::micros;
use crate::name::{InstanceName, RequestId};

/// Hybrid logical time of an event, ordered across the fleet.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{wall}.{count}")]
pub struct Stamp {
    /// Latest wall-clock time seen, in microseconds since the Unix epoch.
    pub wall: u64,
    /// Counts events with the same wall-clock time.
    pub count: u32,
}

impl Stamp {
    /// The next stamp at wall-clock time `wall`, later than this one and `seen`.
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

/// Category of an event.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// A caller's request.
    Request,
    /// An endpoint's state or limit.
    Endpoint,
    /// Ownership of a cell.
    Cell,
    /// Revision of the configuration.
    Config,
    /// Membership of the fleet.
    Member,
    /// Claim of a request that may not be repeated.
    Claim,
    /// Start and stop of the process.
    Process,
}

/// One event of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Time, in the order of the fleet.
    pub stamp: Stamp,
    /// Recording instance.
    pub instance: InstanceName,
    /// Category.
    pub topic: Topic,
    /// What happened, a short fixed phrase such as `granted`.
    pub what: String,
    /// Endpoint, cell, account or revision concerned.
    pub subject: String,
    /// Request, if the event concerns one.
    pub request: Option<RequestId>,
}

/// Ring buffer of the latest events of one instance. Clones share the buffer.
#[derive(Clone, Debug)]
pub struct Timeline {
    instance: InstanceName,
    buffer: Arc<Mutex<Buffer>>,
}

#[derive(Debug)]
struct Buffer {
    last: Stamp,
    capacity: usize,
    events: VecDeque<Event>,
}

impl Timeline {
    /// Empty buffer of `instance` for at most `capacity` events.
    #[must_use]
    pub fn new(instance: InstanceName, capacity: usize) -> Self {
        let buffer = Buffer {
            last: Stamp::default(),
            capacity: capacity.max(1),
            events: VecDeque::new(),
        };
        Self {
            instance,
            buffer: Arc::new(Mutex::new(buffer)),
        }
    }

    /// Records that `what` happened to `subject`.
    pub fn record(&self, topic: Topic, what: &str, subject: &str, request: Option<RequestId>) {
        let mut buffer = self.lock();
        buffer.last = buffer.last.next(wall_clock(), Stamp::default());
        let event = Event {
            stamp: buffer.last,
            instance: self.instance.clone(),
            topic,
            what: what.to_owned(),
            subject: subject.to_owned(),
            request,
        };
        if buffer.events.len() == buffer.capacity {
            buffer.events.pop_front();
        }
        buffer.events.push_back(event);
    }

    /// Advances the clock past the stamp of a received message.
    pub fn observe(&self, seen: Stamp) {
        let mut buffer = self.lock();
        buffer.last = buffer.last.next(wall_clock(), seen);
    }

    /// Advances the clock and returns a stamp for a message.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        let mut buffer = self.lock();
        buffer.last = buffer.last.next(wall_clock(), Stamp::default());
        buffer.last
    }

    /// The buffered events, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.iter().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn wall_clock() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, micros)
}

/// Merges the events of several instances in stamp order.
#[must_use]
pub fn merge(lists: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    events
}
