//! The dispatcher's model of one endpoint and its concurrency limit.
//!
//! The limit is a safe estimate of the endpoint's capacity: its cold limit after a boot, rising
//! with each answer since. A boot is proven once an answer carries its identity. Load reports
//! lag, so they may raise the limit of a proven boot only, and cut it when they name a new boot.
//! Each cut starts a generation; outcomes of attempts of an earlier one cannot cut again.
//! `docs/design/endpoints.md` has the reasons.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};

use crate::config::Endpoint;
use crate::dispatch::{Ending, EndpointState};
use crate::moment::Moment;
use crate::name::{AttemptId, BootId, InstanceName};
use crate::probe::Probe;

/// Maximum age of a load report.
pub(crate) const LOAD_LAG: Duration = Duration::from_secs(3);

/// How long untracked requests are assumed to run if no load report bounds them.
const UNTRACKED_TIMEOUT: Duration = Duration::from_mins(1);

/// While attempts run: how long a boot stays proven after it was seen, and the age at which an
/// attempt proves it. A restart takes longer than this plus the delay of a broken outcome.
const BOOT_PROOF: Duration = Duration::from_millis(500);

/// Most identities of ended boots that are remembered.
const MAX_RETIRED: usize = 8;

/// First-byte times needed before one can count as late.
const MIN_FIRST_BYTES: u32 = 16;

/// A first byte is late if it takes more than this many times the average.
const LATE_FACTOR: u32 = 8;

/// Inverse weight of the latest first-byte time in the moving average.
const AVERAGE_WEIGHT: u32 = 16;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Its limit is that of a fresh boot.
    #[display("cold")]
    Cold,
    /// Its limit rises with each answer.
    #[display("warming")]
    Warming,
    /// It has its full limit.
    #[display("warm")]
    Warm,
    /// It gets single probes until one is answered.
    #[display("suspect")]
    Suspect,
    /// The platform is about to stop it. No new work.
    #[display("leaving")]
    Leaving,
    /// The configuration takes it, or its data centre, out of service. No new work.
    #[display("out")]
    Out,
}

/// Requests that may run at an endpoint without being tracked by the dispatcher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Untracked {
    /// Any number; nothing is granted.
    Unknown,
    /// At most this many.
    AtMost(u32),
}

/// What an attempt revealed about its endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation<'a> {
    pub(crate) attempt: AttemptId,
    pub(crate) granted: Moment,
    /// Generation of the endpoint when the attempt was granted.
    pub(crate) generation: u32,
    /// The entry that ran the attempt.
    pub(crate) entry: Option<&'a InstanceName>,
    pub(crate) boot: Option<BootId>,
    pub(crate) first: Option<Duration>,
}

/// State of a boot before a broken connection.
#[derive(Clone, Copy, Debug)]
struct SavedBoot {
    boot: BootId,
    answers: u32,
    load: Option<(BootId, u32)>,
    confirm: bool,
}

/// Model of one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointModel {
    cold: u32,
    warm: u32,
    ramp: u32,
    /// Boot identity seen in an answer.
    boot: Option<BootId>,
    retired: Vec<BootId>,
    /// The boot before a broken connection, restored if the endpoint did not restart.
    saved: Option<SavedBoot>,
    generation: u32,
    /// Answered outcomes since the boot or the latest cut.
    answers: u32,
    /// Boot and answers of the latest load report, unless that boot has ended.
    load: Option<(BootId, u32)>,
    /// Whether load reports of the current boot may raise the limit.
    confirm: bool,
    first_count: u32,
    first_average: Duration,
    /// When the boot was last seen.
    boot_seen: Moment,
    /// Broken attempts since `saved` was set.
    broken_count: u32,
    probe: Probe,
    leaving: bool,
    out: bool,
    /// Running attempts, ordered by grant time.
    attempts: BTreeSet<(Moment, AttemptId)>,
    untracked: Untracked,
    /// When `untracked` last rose. Load reports received within [`LOAD_LAG`] may predate it.
    raised: Moment,
    last_state: State,
}

impl EndpointModel {
    pub(crate) fn new(config: &Endpoint, out: bool) -> Self {
        let mut model = Self {
            cold: 0,
            warm: 0,
            ramp: 0,
            boot: None,
            retired: Vec::new(),
            saved: None,
            generation: 0,
            answers: 0,
            load: None,
            confirm: true,
            first_count: 0,
            first_average: Duration::ZERO,
            boot_seen: Moment::default(),
            broken_count: 0,
            probe: Probe::new(),
            leaving: false,
            out: false,
            attempts: BTreeSet::new(),
            untracked: Untracked::AtMost(0),
            raised: Moment::default(),
            last_state: State::Cold,
        };
        model.configure(config, out);
        model.last_state = model.state();
        model
    }

    pub(crate) fn configure(&mut self, config: &Endpoint, out: bool) {
        self.cold = if config.ramp == 0 {
            config.warm
        } else {
            config.cold
        };
        self.warm = config.warm.max(config.cold);
        self.ramp = config.ramp;
        self.out = out;
    }

    pub(crate) fn set_out(&mut self) {
        self.out = true;
    }

    pub(crate) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Restores the state left by an earlier owner. An answer has yet to prove the boot.
    pub(crate) fn restore(&mut self, now: Moment, known: &EndpointState) {
        self.add_untracked(now, known.unseen);
        self.boot = known.boot;
        self.answers = known.answers;
    }

    pub(crate) fn boot(&self) -> Option<BootId> {
        self.boot
    }

    pub(crate) fn answers(&self) -> u32 {
        self.answers
    }

    pub(crate) fn generation(&self) -> u32 {
        self.generation
    }

    pub(crate) fn running(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn state(&self) -> State {
        if self.out {
            State::Out
        } else if self.leaving {
            State::Leaving
        } else if self.probe.is_suspect() {
            State::Suspect
        } else if self.capacity() >= self.warm {
            State::Warm
        } else if self.capacity() > self.cold {
            State::Warming
        } else {
            State::Cold
        }
    }

    /// The state, if it has changed since the last call.
    pub(crate) fn take_change(&mut self) -> Option<State> {
        let state = self.state();
        let changed = state != self.last_state;
        self.last_state = state;
        changed.then_some(state)
    }

    /// Whether the endpoint is open to new work, now or after a backoff.
    pub(crate) fn accepts_work(&self) -> bool {
        !self.out && !self.leaving
    }

    /// Concurrent requests that the endpoint is known to sustain.
    pub(crate) fn capacity(&self) -> u32 {
        let answers = self.answers.max(self.reported_answers());
        if answers >= self.ramp {
            return self.warm;
        }
        let span = u64::from(self.warm - self.cold);
        let gained = span * u64::from(answers) / u64::from(self.ramp);
        self.cold + u32::try_from(gained).unwrap_or(0)
    }

    /// Concurrent requests that may be granted. A boot that was not seen recently, and has no
    /// connection that a restart would have broken, counts as cold until it is seen again.
    pub(crate) fn limit(&self, now: Moment) -> u32 {
        let proved = self
            .attempts
            .first()
            .map_or(now <= self.boot_seen, |(oldest, _)| {
                now <= self.boot_seen.after(BOOT_PROOF) || oldest.after(BOOT_PROOF) <= now
            });
        if proved { self.capacity() } else { self.cold }
    }

    /// Requests that may be granted now, where `part` takes the dispatcher's part of a limit.
    pub(crate) fn room(&self, now: Moment, part: impl Fn(u32) -> u32) -> u32 {
        let Some(untracked) = self.untracked(now) else {
            return 0;
        };
        let limit = part(self.limit(now));
        let free = limit.saturating_sub(self.running().saturating_add(untracked));
        match self.state() {
            State::Out | State::Leaving => 0,
            State::Suspect if now < self.probe.due() => 0,
            State::Suspect => free.min(1),
            State::Cold | State::Warming | State::Warm => free,
        }
    }

    /// Upper bound on untracked requests, `None` if there is none.
    pub(crate) fn untracked(&self, now: Moment) -> Option<u32> {
        match self.untracked {
            _ if now >= self.raised.after(UNTRACKED_TIMEOUT) => Some(0),
            Untracked::Unknown => None,
            Untracked::AtMost(most) => Some(most),
        }
    }

    /// When untracked requests are assumed to have ended.
    pub(crate) fn untracked_until(&self) -> Option<Moment> {
        (self.untracked != Untracked::AtMost(0)).then(|| self.raised.after(UNTRACKED_TIMEOUT))
    }

    /// When a suspect endpoint may be probed again.
    pub(crate) fn probe_due(&self) -> Option<Moment> {
        self.state().is_suspect().then_some(self.probe.due())
    }

    /// Counts a grant.
    pub(crate) fn start(&mut self, now: Moment, attempt: AttemptId) {
        self.attempts.insert((now, attempt));
        self.probe.start(now);
    }

    /// Counts an attempt that an earlier owner granted.
    pub(crate) fn adopt(&mut self, granted: Moment, attempt: AttemptId) {
        self.attempts.insert((granted, attempt));
    }

    /// Counts an end, whatever it was.
    pub(crate) fn stop(&mut self, granted: Moment, attempt: AttemptId) {
        self.attempts.remove(&(granted, attempt));
    }

    /// Processes a progress report of a running attempt.
    pub(crate) fn progress(&mut self, now: Moment, seen: Observation<'_>) {
        self.observe(now, seen);
        if seen.boot.is_some() && seen.generation == self.generation {
            self.probe.clear();
        }
    }

    fn observe(&mut self, now: Moment, seen: Observation<'_>) {
        let Some(boot) = seen.boot else { return };
        if self.boot != Some(boot) && self.retired.contains(&boot) {
            self.restore_boot(now, boot, seen.generation);
        } else if self.boot != Some(boot) {
            self.adopt_boot(boot);
        }
        if self.boot == Some(boot) {
            self.boot_seen = now;
        }
    }

    /// Processes the outcome of a counted attempt.
    pub(crate) fn ended(&mut self, now: Moment, seen: Observation<'_>, ending: Ending) {
        self.stop(seen.granted, seen.attempt);
        self.observe(now, seen);
        match ending {
            Ending::Answered => self.answered(seen),
            Ending::Cancelled | Ending::Failed => {}
            Ending::NotSent => self.probe.record_failure(now, seen.entry),
            Ending::Silent => {
                self.add_untracked(now, 1);
                self.probe.record_failure(now, seen.entry);
            }
            Ending::Overloaded => self.overloaded(now, seen),
            Ending::Broken => self.broken(now, seen),
        }
    }

    /// Processes a load report, which may be up to [`LOAD_LAG`] old.
    ///
    /// `counted` is the number of tracked attempts that it includes at any such age.
    pub(crate) fn load(&mut self, now: Moment, load: LoadReport, counted: u32) {
        if now >= self.raised.after(LOAD_LAG) {
            let others = load.running.saturating_add(load.waiting);
            let others = others.saturating_sub(counted);
            self.untracked = match self.untracked {
                Untracked::Unknown => Untracked::AtMost(others),
                Untracked::AtMost(most) => Untracked::AtMost(most.min(others)),
            };
        }
        if self.retired.contains(&load.boot) {
            return;
        }
        if self.boot.is_some_and(|b| b != load.boot) {
            self.retire_boot();
        }
        let known = self.load.filter(|(boot, _)| *boot == load.boot);
        if known.is_none() && self.boot.is_none() {
            self.probe.hasten(now);
        }
        let answers = known.map_or(0, |(_, answers)| answers);
        self.load = Some((load.boot, load.answers.max(answers)));
    }

    /// Assumes that any number of untracked requests may run.
    pub(crate) fn mark_uncertain(&mut self, now: Moment) {
        self.untracked = Untracked::Unknown;
        self.raised = now;
    }

    /// Assumes that all running requests are tracked.
    pub(crate) fn clear_uncertain(&mut self) {
        self.untracked = Untracked::AtMost(0);
    }

    /// Turns a tracked attempt into an untracked one.
    pub(crate) fn mark_orphaned(&mut self, now: Moment, granted: Moment, attempt: AttemptId) {
        self.stop(granted, attempt);
        self.add_untracked(now, 1);
    }

    /// Counts requests that may still run although no connection tracks them.
    fn add_untracked(&mut self, now: Moment, count: u32) {
        if count == 0 {
            return;
        }
        self.raised = now;
        if let Untracked::AtMost(most) = &mut self.untracked {
            *most = most.saturating_add(count);
        }
    }

    /// Makes a boot that was not seen before the current one.
    fn adopt_boot(&mut self, boot: BootId) {
        if self.boot.is_some() {
            self.retire_boot();
        }
        self.boot = Some(boot);
        self.saved = None;
        self.broken_count = 0;
        if let Untracked::AtMost(most) = &mut self.untracked {
            *most = 0;
        }
    }

    fn answered(&mut self, seen: Observation<'_>) {
        // An attempt without an entry was granted by an earlier owner, which may have counted the
        // answer already.
        let is_tracked = seen.entry.is_some();
        if is_tracked && seen.boot.is_some() && seen.boot == self.boot {
            self.answers = self.answers.saturating_add(1);
        }
        self.probe.clear();
        if let Some(first) = seen.first {
            self.first_byte(first, seen.generation);
        }
    }

    fn first_byte(&mut self, first: Duration, generation: u32) {
        let late = self.first_count >= MIN_FIRST_BYTES && first > self.first_average * LATE_FACTOR;
        if late {
            self.cut_limit(generation);
            return;
        }
        self.first_average = if self.first_count == 0 {
            first
        } else {
            (self.first_average * (AVERAGE_WEIGHT - 1) + first) / AVERAGE_WEIGHT
        };
        self.first_count = self.first_count.saturating_add(1);
    }

    fn broken(&mut self, now: Moment, seen: Observation<'_>) {
        if seen.generation == self.generation {
            let saved = self.boot.map(|boot| self.save(boot)).or(self.saved);
            self.retire_boot();
            self.saved = saved;
            self.probe.record_failure(now, seen.entry);
        }
        if self.saved.is_some() {
            self.broken_count += 1;
        }
    }

    fn overloaded(&mut self, now: Moment, seen: Observation<'_>) {
        if seen.generation == self.generation {
            self.cut_limit(seen.generation);
            self.probe.record_failure(now, seen.entry);
        }
    }

    /// Cuts the limit of a boot that keeps running; only answered outcomes raise it again.
    fn cut_limit(&mut self, generation: u32) {
        if generation != self.generation {
            return;
        }
        self.generation += 1;
        self.answers = 0;
        self.load = None;
        self.confirm = false;
        self.first_count = 0;
    }

    /// Retires the current boot and cuts the limit for the next one.
    fn retire_boot(&mut self) {
        self.generation += 1;
        self.answers = 0;
        self.load = None;
        self.saved = None;
        self.confirm = true;
        self.first_count = 0;
        let Some(boot) = self.boot.take() else { return };
        if self.retired.len() == MAX_RETIRED {
            self.retired.remove(0);
        }
        self.retired.push(boot);
    }

    fn save(&self, boot: BootId) -> SavedBoot {
        SavedBoot {
            boot,
            answers: self.answers,
            load: self.load,
            confirm: self.confirm,
        }
    }

    /// Restores the boot before a broken connection, if an attempt sent later carries it.
    fn restore_boot(&mut self, now: Moment, boot: BootId, generation: u32) {
        let Some(saved) = self.saved else { return };
        if saved.boot != boot || generation != self.generation {
            return;
        }
        self.saved = None;
        self.retired.retain(|b| *b != boot);
        self.boot = Some(boot);
        self.answers = saved.answers;
        self.load = saved.load;
        self.confirm = saved.confirm;
        let broken = std::mem::take(&mut self.broken_count);
        self.add_untracked(now, broken);
    }

    /// Answers of the current boot according to load reports. They may include the same answers as
    /// the outcomes, so the two are never added.
    fn reported_answers(&self) -> u32 {
        let load = self.load.filter(|_| self.confirm);
        load.filter(|(boot, _)| self.boot == Some(*boot))
            .map_or(0, |(_, answers)| answers)
    }
}

/// A load report of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Boot identity.
    pub boot: BootId,
    /// Running requests.
    pub running: u32,
    /// Requests queued by the endpoint.
    pub waiting: u32,
    /// Answers since the boot.
    pub answers: u32,
}
