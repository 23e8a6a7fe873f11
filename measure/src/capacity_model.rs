//! What follows from the points at the size that the page is for.

use crate::capacity_fit::{Line, fit};
use crate::capacity_sheet::{RolePoint, Sheet, Window, Work};

/// Instances.
pub(crate) const NODES: f64 = 400.0;
/// Requests a second.
pub(crate) const RATE: f64 = 2_700.0;
/// Tokens a second.
pub(crate) const TOKENS: f64 = 730_000.0;
/// Client accounts, and those with work that waits.
pub(crate) const ACCOUNTS: f64 = 25_000.0;
pub(crate) const BACKLOGGED: f64 = 2_500.0;
/// Services.
pub(crate) const SERVICES: f64 = 14.0;
/// Notes a second, from 3,400 a day.
pub(crate) const NOTES: f64 = 3_400.0 / 86_400.0;
/// Budget of a node for control: cores, bytes, bytes a second.
pub(crate) const CORES: f64 = 0.012;
pub(crate) const MEMORY: f64 = 32e6;
pub(crate) const TRAFFIC: f64 = 24e3;
/// Links that gossip keeps open in each direction: two new peers a second, closed 10 s after use.
const GOSSIP_LINKS: f64 = 20.0;
/// Looks at every cell a second: one for each note, and for each of about four changes in the
/// membership with each of 386 restarts and failures a day.
const LOOKS: f64 = NOTES + 4.0 * 386.0 / 86_400.0;
/// Largest scale of the fleet that is weighed.
const SCALES: f64 = 8.0;
/// Steps in the search for the largest fleet.
const HALVINGS: u32 = 30;
/// Events of a ring.
const EVENTS: f64 = 4_096.0;
/// Cells of a service that are weighed.
pub(crate) const LADDER: [f64; 5] = [1.0, 2.0, 4.0, 8.0, 16.0];

/// Slopes, from the points.
#[derive(Debug)]
pub(crate) struct Slopes {
    /// Bytes sent by an idle instance a second, by links.
    pub(crate) idle_sent: Line,
    /// Cores of an idle fleet, by its links, each in one direction.
    pub(crate) idle_cores: Line,
    /// Cores of eight idle instances, by cells.
    pub(crate) cell_cores: Line,
    /// Writes a second, by cells.
    pub(crate) writes: Line,
    /// Store reads a second of an idle fleet, by instances.
    pub(crate) reads: Line,
    /// Processor seconds by requests, and bytes sent and received by requests.
    pub(crate) entry: Line,
    pub(crate) owner: Line,
    pub(crate) entry_bytes: Line,
    pub(crate) owner_bytes: Line,
    /// Processor seconds by tokens, over streamed answers.
    pub(crate) entry_tokens: Line,
    pub(crate) owner_tokens: Line,
    /// Most store writes and reads for a request that runs at most once, in any window.
    pub(crate) claims: (f64, f64),
    /// Processor microseconds of a decision by accounts.
    pub(crate) decision: Line,
    /// Bytes of a configuration by accounts.
    pub(crate) config_bytes: Line,
    /// Resident bytes of an instance by accounts, over the fleet's.
    pub(crate) account_memory: Line,
    /// Resident bytes by instances in one process.
    pub(crate) instance_memory: Line,
    /// Resident bytes by events.
    pub(crate) event_memory: Line,
    /// Median and longest seconds of a note by the binary logarithm of the instances.
    pub(crate) note_median: Line,
    pub(crate) note_longest: Line,
    /// Bytes of a message between two cells by accounts.
    pub(crate) totals: Line,
    /// Bytes that an instance sends for a note, the most of any number of accounts.
    pub(crate) note_bytes: f64,
    /// Most store writes of a note.
    pub(crate) note_writes: f64,
    /// Store reads of a note, by instances.
    pub(crate) note_reads: Line,
}

impl Slopes {
    pub(crate) fn of(sheet: &Sheet) -> Self {
        let idle = |w: &&Window| w.work == Work::Idle;
        let idle: Vec<&Window> = sheet.windows.iter().filter(idle).collect();
        let alone: Vec<&Window> = idle.iter().filter(|w| w.cells <= 2.0).copied().collect();
        let eight: Vec<&Window> = idle
            .iter()
            .filter(|w| (7.5..8.5).contains(&w.instances))
            .copied()
            .collect();
        let plain = |p: &RolePoint| p.work == Work::Plain || p.work == Work::Idle;
        let chat = |p: &RolePoint| p.work == Work::Chat;
        let notes: Vec<_> = sheet.notes.iter().filter(|n| n.accounts < 1.0).collect();
        let once: Vec<&Window> = sheet
            .windows
            .iter()
            .filter(|w| w.work == Work::Once)
            .collect();
        let writes = line(&idle, |w| (w.cells, w.writes / w.seconds));
        Self {
            idle_sent: line(&alone, |w| {
                (w.instances - 1.0, w.sent / w.instances / w.seconds)
            }),
            idle_cores: line(&alone, |w| {
                let links = w.instances * (w.instances - 1.0);
                (links, w.processor / w.seconds)
            }),
            cell_cores: line(&eight, |w| (w.cells, w.processor / w.seconds)),
            writes,
            reads: line(&alone, |w| (w.instances, w.reads / w.seconds)),
            entry: roles(sheet, plain, |p| p.requests, |p| p.entry),
            owner: roles(sheet, plain, |p| p.requests, |p| p.owner),
            entry_bytes: roles(sheet, plain, |p| p.requests, |p| p.entry_bytes),
            owner_bytes: roles(sheet, plain, |p| p.requests, |p| p.owner_bytes),
            entry_tokens: roles(sheet, chat, |p| p.tokens, |p| p.entry),
            owner_tokens: roles(sheet, chat, |p| p.tokens, |p| p.owner),
            claims: (
                most(&once, |w| w.writes - w.cells * writes.slope * w.seconds),
                most(&once, |w| w.reads - w.watches),
            ),
            decision: line(&sheet.cells, |c| (c.accounts, c.micros)),
            config_bytes: line(&sheet.configs, |c| (c.accounts, c.bytes)),
            account_memory: line(&with_accounts(sheet), |f| (f.0, f.1)),
            instance_memory: line(
                &sheet
                    .fleets
                    .iter()
                    .filter(|f| f.accounts < 1.0)
                    .collect::<Vec<_>>(),
                |f| (f.instances, f.memory * f.instances),
            ),
            event_memory: line(&sheet.events, |e| (e.events, e.memory)),
            note_median: line(&notes, |n| (n.instances.log2(), n.median)),
            note_longest: line(&notes, |n| (n.instances.log2(), n.longest)),
            totals: line(&sheet.totals, |t| (t.accounts, t.bytes)),
            note_writes: sheet.notes.iter().map(|n| n.writes).fold(0.0, f64::max),
            note_reads: line(&notes, |n| (n.instances, n.reads)),
            note_bytes: sheet
                .notes
                .iter()
                .map(|n| n.sent / n.instances)
                .fold(0.0, f64::max),
        }
    }

    /// Bytes that a node sends and receives a second for membership and `links` more links.
    pub(crate) fn base_traffic(&self, sheet: &Sheet, links: f64, scale: f64) -> f64 {
        2.0 * (self.idle_sent.at(GOSSIP_LINKS + links) + scale * gossip_growth(sheet))
    }

    /// Cores that a node spends on membership, links and its machines of `cells` cells.
    pub(crate) fn base_cores(&self, sheet: &Sheet, links: f64, cells: f64, scale: f64) -> f64 {
        let largest = sheet.gossip.last();
        let smallest = sheet.gossip.first();
        let micros = largest.map_or(0.0, |g| g.micros) - smallest.map_or(0.0, |g| g.micros);
        // Each exchange counts both sides, and a node takes part in as many as it starts twice.
        let gossip = micros * largest.map_or(0.0, |g| g.messages) / 2.0 / 1e6;
        let machines = self.machine_cores(cells) + scale * look_cores(sheet, cells);
        self.idle_cores.slope * (GOSSIP_LINKS + links) + scale * gossip + machines
    }

    /// Cores of a node's machines of `cells` cells, as if the eight instances shared the cost evenly.
    pub(crate) fn machine_cores(&self, cells: f64) -> f64 {
        self.cell_cores.slope * cells / 8.0
    }

    /// Bytes a second that the owner of one of `cells` cells of a service spends more.
    pub(crate) fn owner_traffic(&self, cells: f64) -> f64 {
        let rate = RATE / SERVICES / cells;
        rate * self.owner_bytes.slope
    }

    /// Bytes a second of the exchange among `cells` cells of a service, sent and received.
    pub(crate) fn exchange_traffic(&self, cells: f64) -> f64 {
        2.0 * (cells - 1.0) * self.totals.at(BACKLOGGED / SERVICES)
    }

    /// Cores that the owner of one of `cells` cells of a service spends more.
    pub(crate) fn owner_cores(&self, cells: f64) -> f64 {
        let rate = RATE / SERVICES / cells;
        let small = self.decision.at(15.0);
        let more = (self.decision.at(ACCOUNTS) - small).max(0.0) / 1e6;
        rate * (self.owner.slope + more)
    }

    /// Bytes a second that a node sends and receives for notes.
    pub(crate) fn note_traffic(&self) -> f64 {
        2.0 * NOTES * self.note_bytes
    }

    /// Resident bytes of the parts of a node that owns a cell.
    pub(crate) fn memory(&self, sheet: &Sheet) -> [(&'static str, f64); 6] {
        let cell = sheet.cells.last();
        let idle = cell.map_or(0.0, |c| c.idle_bytes) * ACCOUNTS;
        let waiting = cell.map_or(0.0, |c| c.backlogged_bytes) * BACKLOGGED;
        [
            (
                "an idle instance with 15 accounts",
                self.instance_memory.slope,
            ),
            (
                "configuration, index of keys and copies on their way",
                self.account_memory.at(ACCOUNTS),
            ),
            ("a cell that has served all accounts", idle),
            (
                "its backlogged accounts with one waiting request each",
                waiting,
            ),
            ("ring of events", self.event_memory.at(EVENTS)),
            ("membership", sheet.gossip.last().map_or(0.0, |g| g.memory)),
        ]
    }
}

fn gossip_growth(sheet: &Sheet) -> f64 {
    let bytes = |g: &crate::capacity_sheet::GossipPoint| g.bytes;
    let most = sheet.gossip.last().map_or(0.0, |g| g.most_bytes);
    (most - sheet.gossip.first().map_or(0.0, bytes)).max(0.0)
}

/// Resident bytes of an instance by accounts.
fn with_accounts(sheet: &Sheet) -> Vec<(f64, f64)> {
    let fleets = sheet.fleets.iter().filter(|f| f.accounts > 0.0);
    fleets.map(|f| (f.accounts, f.memory)).collect()
}

/// The line through role points of a kind, each without what an idle role spends meanwhile.
fn roles(
    sheet: &Sheet,
    is_meant: fn(&RolePoint) -> bool,
    x: fn(&RolePoint) -> f64,
    y: fn(&RolePoint) -> f64,
) -> Line {
    let idle = sheet.roles.iter().find(|p| p.work == Work::Idle);
    let quiet = idle.map_or(0.0, |p| y(p) / p.seconds);
    let points: Vec<&RolePoint> = sheet.roles.iter().filter(|p| is_meant(p)).collect();
    line(&points, |p| (x(p), y(p) - quiet * p.seconds))
}

/// Most of something for a request, in any of the windows.
fn most(windows: &[&Window], pick: impl Fn(&Window) -> f64) -> f64 {
    let each = windows.iter().map(|w| pick(w) / w.requests);
    each.fold(0.0, f64::max)
}

fn line<T>(points: &[T], pick: impl Fn(&T) -> (f64, f64)) -> Line {
    let points: Vec<(f64, f64)> = points.iter().map(pick).collect();
    fit(&points)
}

/// The number of cells of a service on the ladder with which the owner's processor time or bytes,
/// whichever is worse beside its budget, is least.
pub(crate) fn cells(slopes: &Slopes, sheet: &Sheet) -> f64 {
    let worse = |cells: f64| {
        let cores = node_cores(slopes, sheet, cells, 1.0) / CORES;
        let bytes = node_traffic(slopes, sheet, cells, 1.0) + slopes.exchange_traffic(cells);
        cores.max(bytes / TRAFFIC)
    };
    let least = LADDER
        .into_iter()
        .min_by(|a, b| worse(*a).total_cmp(&worse(*b)));
    least.unwrap_or(1.0)
}

/// Cores of a node that owns one cell, in a fleet of `scale` times the nodes and requests.
pub(crate) fn node_cores(slopes: &Slopes, sheet: &Sheet, cells: f64, scale: f64) -> f64 {
    let links = owner_links(scale) + entry_links(cells);
    let base = slopes.base_cores(sheet, links, SERVICES * cells, scale);
    base + scale * slopes.owner_cores(cells)
}

/// Bytes a second of such a node, without notes and exchange.
pub(crate) fn node_traffic(slopes: &Slopes, sheet: &Sheet, cells: f64, scale: f64) -> f64 {
    let links = owner_links(scale) + entry_links(cells);
    let entry = RATE / NODES * slopes.entry_bytes.slope;
    let owner = scale * slopes.owner_traffic(cells);
    slopes.base_traffic(sheet, links, scale) + entry + owner
}

/// Nodes, with requests in proportion, up to which `cost` of a scale keeps to `budget`.
pub(crate) fn most_nodes(budget: f64, cost: impl Fn(f64) -> f64) -> f64 {
    let (mut low, mut high) = (0.0, SCALES);
    for _ in 0..HALVINGS {
        let middle = f64::midpoint(low, high);
        if cost(middle) <= budget {
            low = middle;
        } else {
            high = middle;
        }
    }
    low * NODES
}

/// Cores of a node's looks at `cells` cells.
pub(crate) fn look_cores(sheet: &Sheet, cells: f64) -> f64 {
    let look = sheet.gossip.last().map_or(0.0, |g| g.look);
    LOOKS * cells * look / 1e6
}

/// Links of an owner to entries, each with a link from nearly every entry.
pub(crate) fn owner_links(scale: f64) -> f64 {
    // A link in one direction only costs half of what a pair in both costs.
    scale * NODES / 2.0
}

/// Links of an entry to the owners of all cells.
pub(crate) fn entry_links(cells: f64) -> f64 {
    SERVICES * cells / 2.0
}
