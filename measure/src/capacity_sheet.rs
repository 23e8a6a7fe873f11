//! What the capacity measurements found, as kept in JSON beside the page.

use serde::{Deserialize, Serialize};

/// One step at one size.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Run {
    pub(crate) step: String,
    pub(crate) size: usize,
    /// Load average of the machine over one minute at the start.
    pub(crate) load: String,
    pub(crate) points: Sheet,
}

/// The points of some steps.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Sheet {
    pub(crate) cells: Vec<CellPoint>,
    pub(crate) gossip: Vec<GossipPoint>,
    pub(crate) configs: Vec<ConfigPoint>,
    pub(crate) events: Vec<EventPoint>,
    pub(crate) fleets: Vec<FleetPoint>,
    pub(crate) windows: Vec<Window>,
    pub(crate) notes: Vec<NotePoint>,
    pub(crate) calls: Vec<CallPoint>,
    pub(crate) roles: Vec<RolePoint>,
    pub(crate) totals: Vec<TotalsPoint>,
}

impl Sheet {
    /// Takes in the points of another run.
    pub(crate) fn extend(&mut self, other: &Self) {
        self.cells.extend_from_slice(&other.cells);
        self.gossip.extend_from_slice(&other.gossip);
        self.configs.extend_from_slice(&other.configs);
        self.events.extend_from_slice(&other.events);
        self.fleets.extend_from_slice(&other.fleets);
        self.windows.extend_from_slice(&other.windows);
        self.notes.extend_from_slice(&other.notes);
        self.calls.extend_from_slice(&other.calls);
        self.roles.extend_from_slice(&other.roles);
        self.totals.extend_from_slice(&other.totals);
    }
}

/// The decisions of one cell.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CellPoint {
    pub(crate) accounts: f64,
    /// Processor time of an offer, a grant and an outcome, in microseconds.
    pub(crate) micros: f64,
    /// Resident bytes for an account that was served once.
    pub(crate) idle_bytes: f64,
    /// Resident bytes more for a backlogged account with one waiting request.
    pub(crate) backlogged_bytes: f64,
}

/// A membership in which all is known and the owners of cells tell of them each second.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct GossipPoint {
    pub(crate) instances: f64,
    pub(crate) cells: f64,
    /// Encoded bytes that an instance sends a second, mean and busiest.
    pub(crate) bytes: f64,
    pub(crate) most_bytes: f64,
    /// Messages that an instance sends a second.
    pub(crate) messages: f64,
    /// Processor time of an instance for each exchange, both sides, in microseconds.
    pub(crate) micros: f64,
    /// Resident bytes of an instance's tables.
    pub(crate) memory: f64,
    /// Processor time of one look at the ranks and holders of a cell, in microseconds.
    pub(crate) look: f64,
}

/// A configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ConfigPoint {
    pub(crate) accounts: f64,
    pub(crate) endpoints: f64,
    /// Encoded bytes between instances.
    pub(crate) bytes: f64,
    /// Resident bytes.
    pub(crate) memory: f64,
    /// Processor time to apply a note of one change, in milliseconds.
    pub(crate) apply: f64,
    /// Processor time to encode and decode all of it, in milliseconds.
    pub(crate) copy: f64,
    /// Resident bytes of the index of keys.
    pub(crate) keys: f64,
}

/// A ring of events.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct EventPoint {
    pub(crate) events: f64,
    /// Resident bytes.
    pub(crate) memory: f64,
    /// Processor time of an event, in microseconds.
    pub(crate) micros: f64,
}

/// The start of a fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct FleetPoint {
    pub(crate) instances: f64,
    pub(crate) accounts: f64,
    pub(crate) cells: f64,
    /// Resident bytes for each instance.
    pub(crate) memory: f64,
}

/// A time in which a fleet did one kind of work.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Window {
    pub(crate) work: Work,
    pub(crate) instances: f64,
    pub(crate) cells: f64,
    pub(crate) seconds: f64,
    /// Requests answered.
    pub(crate) requests: f64,
    /// Tokens of their answers.
    pub(crate) tokens: f64,
    /// Bytes sent between instances, by all and by the busiest.
    pub(crate) sent: f64,
    pub(crate) most_sent: f64,
    /// Processor seconds of the fleet's threads.
    pub(crate) processor: f64,
    /// Writes at the store.
    pub(crate) writes: f64,
    /// Reads at the store, watches included.
    pub(crate) reads: f64,
    /// Watches at the store.
    pub(crate) watches: f64,
}

/// Kind of work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Work {
    /// None.
    #[default]
    Idle,
    /// Calls of a plain service.
    Plain,
    /// Calls that run at most once.
    Once,
    /// Streamed answers.
    Chat,
    /// Changes of the configuration.
    Notes,
}

/// A note on its way.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct NotePoint {
    pub(crate) instances: f64,
    pub(crate) accounts: f64,
    /// Seconds until every instance had it in force, median and longest.
    pub(crate) median: f64,
    pub(crate) longest: f64,
    /// Bytes between instances for each note.
    pub(crate) sent: f64,
    /// Writes and reads at the store for each note.
    pub(crate) writes: f64,
    pub(crate) reads: f64,
    /// Processor seconds of the fleet's threads for each note.
    pub(crate) processor: f64,
}

/// The same call through the fleet and directly.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CallPoint {
    /// Milliseconds at the median.
    pub(crate) direct: f64,
    pub(crate) through: f64,
}

/// An entry and the owner of the cell that it uses, each with threads of its own.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct RolePoint {
    pub(crate) work: Work,
    pub(crate) seconds: f64,
    pub(crate) requests: f64,
    pub(crate) tokens: f64,
    /// Processor seconds.
    pub(crate) entry: f64,
    pub(crate) owner: f64,
    /// Bytes between instances, sent and received.
    pub(crate) entry_bytes: f64,
    pub(crate) owner_bytes: f64,
}

/// A message between two cells of a service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct TotalsPoint {
    pub(crate) accounts: f64,
    /// Encoded bytes.
    pub(crate) bytes: f64,
}
