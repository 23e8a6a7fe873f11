//! Which connections an instance hands over, to which neighbour, and which it takes.
//!
//! The share of connections that are handed over rises with the processor load: an integral would
//! overshoot, since long connections leave an instance slowly. A neighbour's report does not tell
//! what was sent there since, so both ends add what they sent or accepted within [`REPORT_TIME`].

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::gateway::handover::usage::{Sample, Usage, decay, load};
use crate::gateway::number::to_f32;
use crate::moment::Moment;
use crate::name::InstanceName;

/// Load at which an instance begins to hand over.
const BEGIN_LOAD: f64 = 0.75;
/// Load at which it ends.
const END_LOAD: f64 = 0.4;
/// Load above which connections are handed over.
const GIVE_LOAD: f64 = 0.5;
/// Further load at which all are handed over.
const GIVE_SPAN: f64 = 0.35;
/// Load up to which connections are taken.
const TAKE_LOAD: f64 = 0.6;
/// Time until what was sent to a neighbour shows in its reports.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Oldest report that is used; idle instances send one every 0.5 s.
const MAX_REPORT_AGE: Duration = Duration::from_millis(700);
/// Time for which a neighbour that declined is not asked.
const DECLINED_TIME: Duration = Duration::from_millis(500);
/// Time for which a neighbour that did not answer is not asked.
const SILENT_TIME: Duration = Duration::from_secs(2);
/// Smallest expected load of a connection, in cores.
const MIN_CONNECTION_LOAD: f64 = 0.000_5;
/// Expected cost of copying a connection against serving it.
const COPY_COST: f64 = 0.25;
/// Bounds of a connection's weight.
const WEIGHTS: (f64, f64) = (0.25, 4.0);

/// Processor block of a heartbeat.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ProcessorReport {
    /// Share of the time in which the instance did not wait for events.
    pub(crate) share: f32,
    pub(crate) lag_ms: f32,
    /// Connections that it can still take.
    pub(crate) room: u32,
}

impl ProcessorReport {
    /// Whether calculations with the figures are safe.
    pub(crate) fn is_sound(&self) -> bool {
        let is_estimate = |v: f32| v.is_finite() && v >= 0.0;
        is_estimate(self.share) && is_estimate(self.lag_ms)
    }
}

/// A neighbour that may be asked.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) name: InstanceName,
    pub(crate) cores: f64,
}

/// The chosen neighbour.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) name: InstanceName,
    /// Processor time that it has left, in cores.
    pub(crate) headroom: f64,
    /// Expected load of the connection, in cores.
    pub(crate) load: f64,
    pub(crate) at: Moment,
}

/// Why a connection is not taken.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Decline {
    #[display("no processor time is left")]
    Busy = 1,
    #[display("no room is left for connections")]
    Full = 2,
    #[display("it stops or is not ready")]
    NotReady = 3,
    #[display("its view differs")]
    OtherView = 4,
}

impl Decline {
    /// Decodes the answer to an offer. `None` if it is unknown.
    pub(crate) fn read(code: u8) -> Option<Self> {
        [Self::Busy, Self::Full, Self::NotReady, Self::OtherView]
            .into_iter()
            .find(|d| *d as u8 == code)
    }
}

/// Result of an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OfferResult {
    Accepted,
    Declined,
    Unanswered,
}

/// Beginning and end of the time in which connections are handed over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    Begins,
    Ends,
}

/// A sum whose parts lose their weight over [`REPORT_TIME`].
#[derive(Clone, Copy, Debug, Default)]
struct RecentLoad {
    at: Moment,
    sum: f64,
}

impl RecentLoad {
    fn get(&self, now: Moment) -> f64 {
        self.sum * decay(now.since(self.at), REPORT_TIME)
    }

    fn add(&mut self, now: Moment, load: f64) {
        *self = Self {
            at: now,
            sum: (self.get(now) + load).max(0.0),
        };
    }

    /// Takes out what is left of a load that was added at `then`.
    fn remove(&mut self, now: Moment, then: Moment, load: f64) {
        self.add(now, -load * decay(now.since(then), REPORT_TIME));
    }
}

/// What is known of a neighbour.
#[derive(Clone, Copy, Debug, Default)]
struct Neighbour {
    report: Option<(Moment, ProcessorReport)>,
    sent: RecentLoad,
    asked_again: Moment,
}

impl Neighbour {
    /// Processor time that it has left, in cores.
    fn headroom(&self, now: Moment, cores: f64) -> f64 {
        let Some((heard, report)) = self.report else {
            return 0.0;
        };
        if now < self.asked_again || now.since(heard) > MAX_REPORT_AGE || report.room == 0 {
            return 0.0;
        }
        let load = load(f64::from(report.share), f64::from(report.lag_ms));
        cores * (TAKE_LOAD - load) - self.sent.get(now)
    }
}

/// State of the decisions of one instance.
#[derive(Debug, Default)]
pub(crate) struct Balance {
    pub(crate) usage: Usage,
    /// Whether this instance is short of processor time.
    pub(crate) is_pressed: bool,
    /// Expected load of a connection, in cores.
    connection_load: f64,
    neighbours: HashMap<InstanceName, Neighbour>,
    accepted: RecentLoad,
}

impl Balance {
    /// Records the use of a processor with `cores`, and the numbers of connections served here and
    /// handed over.
    pub(crate) fn step(
        &mut self,
        now: Moment,
        sample: Sample,
        cores: f64,
        (served, handed_over): (f64, f64),
    ) -> Option<Change> {
        self.usage.record(now, sample);
        let used = self.usage.share * cores;
        let connections = (served + COPY_COST * handed_over).max(1.0);
        self.connection_load = (used / connections).max(MIN_CONNECTION_LOAD);
        let load = self.usage.load();
        let was_pressed = self.is_pressed;
        self.is_pressed = load >= if was_pressed { END_LOAD } else { BEGIN_LOAD };
        match (was_pressed, self.is_pressed) {
            (false, true) => Some(Change::Begins),
            (true, false) => Some(Change::Ends),
            _ => None,
        }
    }

    /// Share of the connections to hand over.
    pub(crate) fn share(&self) -> f64 {
        if !self.is_pressed {
            return 0.0;
        }
        ((self.usage.load() - GIVE_LOAD) / GIVE_SPAN).clamp(0.0, 1.0)
    }

    /// What this instance tells its neighbours, with room for that many more connections.
    pub(crate) fn report(&self, room: u32) -> ProcessorReport {
        ProcessorReport {
            share: to_f32(self.usage.share),
            lag_ms: to_f32(self.usage.lag_ms),
            room,
        }
    }

    /// Records the report of a neighbour.
    pub(crate) fn record_report(
        &mut self,
        now: Moment,
        name: InstanceName,
        report: ProcessorReport,
    ) {
        self.neighbours.entry(name).or_default().report = Some((now, report));
    }

    /// Removes neighbours that have not reported for long.
    pub(crate) fn remove_silent(&mut self, now: Moment) {
        let is_recent = |at: Moment| now.since(at) < REPORT_TIME * 10;
        self.neighbours
            .retain(|_, n| n.report.is_some_and(|(at, _)| is_recent(at)));
    }

    /// Whether the lot `lot`, from 0 to 1, falls on a connection, whose request rate is `weight`
    /// times that of the average one.
    pub(crate) fn is_due(&self, weight: f64, lot: f64) -> bool {
        let weight = weight.clamp(WEIGHTS.0, WEIGHTS.1);
        lot < 1.0 - (1.0 - self.share()).powf(weight)
    }

    /// Chooses the one with more headroom of two neighbours, which are drawn by headroom with `lots`
    /// from 0 to 1. Its expected load grows at once.
    pub(crate) fn choose(
        &mut self,
        now: Moment,
        candidates: &[Candidate],
        lots: [f64; 2],
    ) -> Option<Choice> {
        let load = self.connection_load;
        let headroom = |c: &Candidate| {
            let neighbour = self.neighbours.get(&c.name);
            neighbour.map_or(0.0, |n| n.headroom(now, c.cores))
        };
        let open: Vec<(&Candidate, f64)> = candidates
            .iter()
            .map(|c| (c, headroom(c)))
            .filter(|(_, headroom)| *headroom > load)
            .collect();
        let all: f64 = open.iter().map(|(_, headroom)| headroom).sum();
        let draw = |lot: f64| {
            let mut left = lot * all;
            let drawn = open.iter().find(|(_, headroom)| {
                left -= headroom;
                left <= 0.0
            });
            drawn.or(open.last())
        };
        let drawn = lots.into_iter().filter_map(draw);
        let (candidate, headroom) = drawn.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let (name, headroom) = (candidate.name.clone(), *headroom);
        let neighbour = self.neighbours.entry(name.clone()).or_default();
        neighbour.sent.add(now, load);
        Some(Choice {
            name,
            headroom,
            load,
            at: now,
        })
    }

    /// Records the answer to an offer.
    pub(crate) fn note_result(&mut self, now: Moment, choice: &Choice, result: OfferResult) {
        let neighbour = self.neighbours.entry(choice.name.clone()).or_default();
        let pause = match result {
            OfferResult::Accepted => return,
            OfferResult::Declined => DECLINED_TIME,
            OfferResult::Unanswered => SILENT_TIME,
        };
        neighbour.sent.remove(now, choice.at, choice.load);
        neighbour.asked_again = now.after(pause);
    }

    /// Records the end of a connection that was handed over.
    pub(crate) fn note_given_end(&mut self, now: Moment, choice: &Choice) {
        if let Some(neighbour) = self.neighbours.get_mut(&choice.name) {
            neighbour.sent.remove(now, choice.at, choice.load);
        }
    }

    /// Records the end of a connection with `load` that was taken at `then`.
    pub(crate) fn note_taken_end(&mut self, now: Moment, then: Moment, load: f64) {
        self.accepted.remove(now, then, load);
    }

    /// Takes a connection with an expected `load`, in cores.
    ///
    /// # Errors
    ///
    /// Fails if too little processor time is left on this instance's `cores`.
    pub(crate) fn accept(&mut self, now: Moment, load: f64, cores: f64) -> Result<(), Decline> {
        let left = cores * (TAKE_LOAD - self.usage.load()) - self.accepted.get(now);
        if self.is_pressed || left < load {
            return Err(Decline::Busy);
        }
        self.accepted.add(now, load);
        Ok(())
    }
}
