//! What the dispatcher knows of one endpoint, and how many requests it may run at once.
//!
//! The limit is what the endpoint surely bears: its cold number after a boot, rising with the
//! answers it has given since. A boot counts as proven once an answer has shown it. Load reports
//! lag, so they confirm a rise of the proven boot and cut the limit when they show a new one.
//! Each cut starts a generation; what attempts of an earlier generation tell cannot cut again.
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

/// Oldest that a load report may be.
pub(crate) const LOAD_LAG: Duration = Duration::from_secs(3);

/// Longest that requests which nobody can follow are assumed to run without a load report.
const DOUBT: Duration = Duration::from_mins(1);

/// While attempts run: how long a boot counts as proven after it was seen, and age from which an
/// attempt proves it. Less than a restart takes beyond the outcomes of what it cuts.
const PROOF: Duration = Duration::from_millis(500);

/// Boot identities that are remembered as ended.
const RETIRED: usize = 8;

/// First bytes seen before a late one is told from an ordinary one.
const HISTORY: u32 = 16;

/// A first byte is late above this many times the average.
const LATE_FACTOR: u32 = 8;

/// Weight of the latest first byte in the average is one over this.
const FIRST_WEIGHT: u32 = 16;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It bears no more than after a boot.
    #[display("cold")]
    Cold,
    /// It bears more with each answer.
    #[display("warming")]
    Warming,
    /// It bears its full number.
    #[display("warm")]
    Warm,
    /// It gets single probes until one is answered.
    #[display("suspect")]
    Suspect,
    /// The platform is about to stop it. No new work.
    #[display("leaving")]
    Leaving,
    /// It, or its data centre, is taken out by the configuration. No new work.
    #[display("out")]
    Out,
}

/// Requests that may run at an endpoint beside those the dispatcher knows of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Foreign {
    /// Not known; nothing is granted.
    Unknown,
    /// At most this many.
    AtMost(u32),
}

/// What an attempt showed of its endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sight<'a> {
    pub(crate) attempt: AttemptId,
    pub(crate) granted: Moment,
    /// Generation of the endpoint when the attempt was granted.
    pub(crate) generation: u32,
    /// Who ran the attempt.
    pub(crate) entry: Option<&'a InstanceName>,
    pub(crate) boot: Option<BootId>,
    pub(crate) first: Option<Duration>,
}

/// What was known of a boot.
#[derive(Clone, Copy, Debug)]
struct Held {
    boot: BootId,
    answers: u32,
    load: Option<(BootId, u32)>,
    confirm: bool,
}

/// Knowledge of one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointModel {
    cold: u32,
    warm: u32,
    ramp: u32,
    /// Boot that an answer has shown.
    boot: Option<BootId>,
    retired: Vec<BootId>,
    /// The boot before a broken connection, restored when it turns out to live on.
    held: Option<Held>,
    generation: u32,
    /// Outcomes that are answers since the boot or the latest cut.
    answers: u32,
    /// Latest load report of a boot that has not ended.
    load: Option<(BootId, u32)>,
    /// Whether load reports of the present boot confirm a rise.
    confirm: bool,
    firsts: u32,
    first: Duration,
    /// When the boot was last seen.
    proof: Moment,
    /// Broken attempts since `held` was set.
    broken: u32,
    probe: Probe,
    leaving: bool,
    out: bool,
    /// Running attempts, by the moment of their grant.
    calls: BTreeSet<(Moment, AttemptId)>,
    foreign: Foreign,
    /// When `foreign` last rose; load reports say nothing of it until [`LOAD_LAG`] later.
    risen: Moment,
    shown: State,
}

impl EndpointModel {
    pub(crate) fn new(config: &Endpoint, out: bool) -> Self {
        let mut model = Self {
            cold: 0,
            warm: 0,
            ramp: 0,
            boot: None,
            retired: Vec::new(),
            held: None,
            generation: 0,
            answers: 0,
            load: None,
            confirm: true,
            firsts: 0,
            first: Duration::ZERO,
            proof: Moment::default(),
            broken: 0,
            probe: Probe::new(),
            leaving: false,
            out: false,
            calls: BTreeSet::new(),
            foreign: Foreign::AtMost(0),
            risen: Moment::default(),
            shown: State::Cold,
        };
        model.configure(config, out);
        model.shown = model.state();
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

    /// Takes over what an earlier owner had learned.
    pub(crate) fn restore(&mut self, now: Moment, known: &EndpointState) {
        self.haunt(now, known.unseen);
        self.proof = now;
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
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn state(&self) -> State {
        if self.out {
            State::Out
        } else if self.leaving {
            State::Leaving
        } else if self.probe.is_suspect() {
            State::Suspect
        } else if self.bears() >= self.warm {
            State::Warm
        } else if self.bears() > self.cold {
            State::Warming
        } else {
            State::Cold
        }
    }

    /// The state, if it differs from the one that this last returned.
    pub(crate) fn changed(&mut self) -> Option<State> {
        let state = self.state();
        let changed = state != self.shown;
        self.shown = state;
        changed.then_some(state)
    }

    /// Tells whether the endpoint takes new work now or later.
    pub(crate) fn is_in(&self) -> bool {
        !self.out && !self.leaving
    }

    /// Requests at once that the endpoint surely bears.
    pub(crate) fn bears(&self) -> u32 {
        let answers = self.answers.max(self.reported());
        if answers >= self.ramp {
            return self.warm;
        }
        let span = u64::from(self.warm - self.cold);
        let gained = span * u64::from(answers) / u64::from(self.ramp);
        self.cold + u32::try_from(gained).unwrap_or(0)
    }

    /// Requests at once that may be granted. A boot that was not seen lately, and has no
    /// connection that would have broken at a restart, counts as cold until it shows.
    pub(crate) fn limit(&self, now: Moment) -> u32 {
        let proved = self.calls.first().map_or(now <= self.proof, |(oldest, _)| {
            now <= self.proof.after(PROOF) || oldest.after(PROOF) <= now
        });
        if proved { self.bears() } else { self.cold }
    }

    /// Requests that may be granted now, where `part` takes the dispatcher's part of a limit.
    pub(crate) fn room(&self, now: Moment, part: impl Fn(u32) -> u32) -> u32 {
        let Some(foreign) = self.foreign(now) else {
            return 0;
        };
        let limit = part(self.limit(now));
        let free = limit.saturating_sub(self.running().saturating_add(foreign));
        match self.state() {
            State::Out | State::Leaving => 0,
            State::Suspect if now < self.probe.due() => 0,
            State::Suspect => free.min(1),
            State::Cold | State::Warming | State::Warm => free,
        }
    }

    /// Requests that may run beside the known ones, `None` if that is not known.
    pub(crate) fn foreign(&self, now: Moment) -> Option<u32> {
        match self.foreign {
            _ if now >= self.risen.after(DOUBT) => Some(0),
            Foreign::Unknown => None,
            Foreign::AtMost(most) => Some(most),
        }
    }

    /// When requests that nobody can follow are taken as ended.
    pub(crate) fn doubt_ends(&self) -> Option<Moment> {
        (self.foreign != Foreign::AtMost(0)).then(|| self.risen.after(DOUBT))
    }

    /// When a suspect endpoint may be probed again.
    pub(crate) fn probe(&self) -> Option<Moment> {
        self.state().is_suspect().then_some(self.probe.due())
    }

    /// Counts a grant.
    pub(crate) fn start(&mut self, now: Moment, attempt: AttemptId) {
        self.calls.insert((now, attempt));
        self.probe.start(now);
    }

    /// Counts an attempt that an earlier owner granted.
    pub(crate) fn adopt(&mut self, granted: Moment, attempt: AttemptId) {
        self.calls.insert((granted, attempt));
    }

    /// Counts an end, whatever it was.
    pub(crate) fn stop(&mut self, granted: Moment, attempt: AttemptId) {
        self.calls.remove(&(granted, attempt));
    }

    /// Takes in what a running attempt showed.
    pub(crate) fn progress(&mut self, now: Moment, sight: Sight<'_>) {
        self.sight(now, sight);
        if sight.boot.is_some() && sight.generation == self.generation {
            self.probe.clear();
        }
    }

    fn sight(&mut self, now: Moment, sight: Sight<'_>) {
        let Some(boot) = sight.boot else { return };
        if self.boot != Some(boot) && self.retired.contains(&boot) {
            self.revive(now, boot, sight.generation);
        } else if self.boot != Some(boot) {
            self.adopt_boot(boot);
        }
        if self.boot == Some(boot) {
            self.proof = now;
        }
    }

    /// Takes in how a counted attempt ended.
    pub(crate) fn ended(&mut self, now: Moment, sight: Sight<'_>, ending: Ending) {
        self.stop(sight.granted, sight.attempt);
        self.sight(now, sight);
        match ending {
            Ending::Answered => self.answered(sight),
            Ending::Cancelled | Ending::Failed => {}
            Ending::NotSent => self.probe.strike(now, sight.entry),
            Ending::Silent => {
                self.haunt(now, 1);
                self.probe.strike(now, sight.entry);
            }
            Ending::Overloaded => self.overloaded(now, sight),
            Ending::Broken => self.broken(now, sight),
        }
    }

    /// Takes in a load report of up to [`LOAD_LAG`] ago.
    ///
    /// `settled` counts the known attempts that were running already at that time.
    pub(crate) fn load(&mut self, now: Moment, load: Load, settled: u32) {
        if now >= self.risen.after(LOAD_LAG) {
            let others = load.running.saturating_add(load.waiting);
            let others = others.saturating_sub(settled);
            self.foreign = match self.foreign {
                Foreign::Unknown => Foreign::AtMost(others),
                Foreign::AtMost(most) => Foreign::AtMost(most.min(others)),
            };
        }
        if self.retired.contains(&load.boot) {
            return;
        }
        if self.boot.is_some_and(|b| b != load.boot) {
            self.cut();
        }
        let known = self.load.filter(|(boot, _)| *boot == load.boot);
        if known.is_none() && self.boot.is_none() {
            self.probe.hasten(now);
        }
        let answers = known.map_or(0, |(_, answers)| answers);
        self.load = Some((load.boot, load.answers.max(answers)));
    }

    /// Assumes that requests unknown to the dispatcher may run.
    pub(crate) fn doubt(&mut self, now: Moment) {
        self.foreign = Foreign::Unknown;
        self.risen = now;
    }

    /// Assumes that all running requests are known.
    pub(crate) fn settle(&mut self) {
        self.foreign = Foreign::AtMost(0);
    }

    /// Counts one known attempt as one that can no longer be followed.
    pub(crate) fn orphan(&mut self, now: Moment, granted: Moment, attempt: AttemptId) {
        self.stop(granted, attempt);
        self.haunt(now, 1);
    }

    /// Counts attempts that may still run although their connections are gone.
    fn haunt(&mut self, now: Moment, count: u32) {
        if count == 0 {
            return;
        }
        self.risen = now;
        if let Foreign::AtMost(most) = &mut self.foreign {
            *most = most.saturating_add(count);
        }
    }

    /// Takes a boot that was not seen before as the present one.
    fn adopt_boot(&mut self, boot: BootId) {
        if self.boot.is_some() {
            self.cut();
        }
        self.boot = Some(boot);
        self.held = None;
        self.broken = 0;
        if let Foreign::AtMost(most) = &mut self.foreign {
            *most = 0;
        }
    }

    fn answered(&mut self, sight: Sight<'_>) {
        if sight.boot.is_some() && sight.boot == self.boot {
            self.answers = self.answers.saturating_add(1);
        }
        self.probe.clear();
        if let Some(first) = sight.first {
            self.first_byte(first, sight.generation);
        }
    }

    fn first_byte(&mut self, first: Duration, generation: u32) {
        let late = self.firsts >= HISTORY && first > self.first * LATE_FACTOR;
        if late {
            self.slump(generation);
            return;
        }
        self.first = if self.firsts == 0 {
            first
        } else {
            (self.first * (FIRST_WEIGHT - 1) + first) / FIRST_WEIGHT
        };
        self.firsts = self.firsts.saturating_add(1);
    }

    fn broken(&mut self, now: Moment, sight: Sight<'_>) {
        if sight.generation == self.generation {
            let held = self.boot.map(|boot| self.hold(boot)).or(self.held);
            self.cut();
            self.held = held;
            self.probe.strike(now, sight.entry);
        }
        if self.held.is_some() {
            self.broken += 1;
        }
    }

    fn overloaded(&mut self, now: Moment, sight: Sight<'_>) {
        if sight.generation == self.generation {
            self.slump(sight.generation);
            self.probe.strike(now, sight.entry);
        }
    }

    /// Cuts the limit of a boot that goes on, so that only its own answers raise it again.
    fn slump(&mut self, generation: u32) {
        if generation != self.generation {
            return;
        }
        self.generation += 1;
        self.answers = 0;
        self.load = None;
        self.confirm = false;
        self.firsts = 0;
    }

    /// Cuts the limit for a boot that is not known yet.
    fn cut(&mut self) {
        self.generation += 1;
        self.answers = 0;
        self.load = None;
        self.held = None;
        self.confirm = true;
        self.firsts = 0;
        let Some(boot) = self.boot.take() else { return };
        if self.retired.len() == RETIRED {
            self.retired.remove(0);
        }
        self.retired.push(boot);
    }

    fn hold(&self, boot: BootId) -> Held {
        Held {
            boot,
            answers: self.answers,
            load: self.load,
            confirm: self.confirm,
        }
    }

    /// Restores the boot before a broken connection, if an attempt sent after that shows it.
    fn revive(&mut self, now: Moment, boot: BootId, generation: u32) {
        let Some(held) = self.held else { return };
        if held.boot != boot || generation != self.generation {
            return;
        }
        self.held = None;
        self.retired.retain(|b| *b != boot);
        self.boot = Some(boot);
        self.answers = held.answers;
        self.load = held.load;
        self.confirm = held.confirm;
        let broken = std::mem::take(&mut self.broken);
        self.haunt(now, broken);
    }

    /// Answers of the present boot by its load reports. They may count the same answers as the
    /// outcomes, so the two are never added up.
    fn reported(&self) -> u32 {
        let load = self.load.filter(|_| self.confirm);
        load.filter(|(boot, _)| self.boot == Some(*boot))
            .map_or(0, |(_, answers)| answers)
    }
}

/// A load report of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Boot identity.
    pub boot: BootId,
    /// Requests that run.
    pub running: u32,
    /// Requests that the endpoint has queued.
    pub waiting: u32,
    /// Answers since the boot.
    pub answers: u32,
}
