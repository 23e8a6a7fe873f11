//! Figures with their targets, as a table and as JSON.

use std::fmt::Write as _;

use comfy_table::{Table, presets};
use cornelstand::LoadResult;
use derive_more::Display;
use serde::Serialize;

/// What a figure is held against.
#[derive(Clone, Copy, Debug, Display, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Target {
    /// At most this.
    #[display("at most {_0}")]
    AtMost(f64),
    /// At least this.
    #[display("at least {_0}")]
    AtLeast(f64),
}

impl Target {
    fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtMost(most) => value <= most,
            Self::AtLeast(least) => value >= least,
        }
    }
}

/// Who was measured.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Variant {
    /// The fleet.
    #[display("fleet")]
    Fleet,
    /// Every router for itself: least loaded, in order of arrival.
    #[display("alone, least loaded, FIFO")]
    LeastLoaded,
    /// Every router for itself: fair queues, a fixed part of each endpoint.
    #[display("alone, fair queues, fixed split")]
    FairSplit,
    /// No router.
    #[display("direct")]
    Direct,
}

/// One measured number.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figure {
    pub(crate) variant: Variant,
    pub(crate) name: String,
    /// `None` if it could not be measured.
    pub(crate) value: Option<f64>,
    pub(crate) unit: &'static str,
    pub(crate) target: Option<Target>,
    /// Whether the target is met; only figures of the fleet have one.
    pub(crate) passed: Option<bool>,
}

/// All figures of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) scenario: &'static str,
    pub(crate) deployment: &'static str,
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    /// Load averages of the machine at the start and end, one minute each.
    pub(crate) machine: Vec<String>,
    pub(crate) figures: Vec<Figure>,
    /// What the callers met, for each variant.
    pub(crate) results: Vec<(Variant, LoadResult)>,
}

impl Report {
    /// Adds a figure. Only those of the fleet are held against the target.
    pub(crate) fn add(
        &mut self,
        variant: Variant,
        name: &str,
        value: Option<f64>,
        unit: &'static str,
        target: Option<Target>,
    ) {
        let is_judged = variant == Variant::Fleet;
        let passed = target
            .filter(|_| is_judged)
            .map(|t| value.is_some_and(|v| t.is_met(v)));
        self.figures.push(Figure {
            variant,
            name: name.to_owned(),
            value,
            unit,
            target,
            passed,
        });
    }

    /// Notes how busy the machine is, as other work on it disturbs the figures.
    pub(crate) fn note_machine(&mut self) {
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let minute = load.split_whitespace().next().unwrap_or("unknown");
        self.machine.push(minute.to_owned());
    }

    /// Tells whether every target was met.
    pub(crate) fn is_passed(&self) -> bool {
        self.figures.iter().all(|f| f.passed != Some(false))
    }

    /// The figures as a table.
    pub(crate) fn table(&self) -> String {
        let mut table = Table::new();
        table.load_style(presets::ASCII_MARKDOWN);
        table.set_header(["figure", "of", "value", "target", "verdict"]);
        for figure in &self.figures {
            let value = figure.value.map_or("not measured".to_owned(), shown);
            let verdict = match figure.passed {
                Some(true) => "pass",
                Some(false) => "FAIL",
                None => "",
            };
            table.add_row([
                figure.name.clone(),
                figure.variant.to_string(),
                format!("{value} {}", figure.unit),
                figure.target.map_or(String::new(), |t| t.to_string()),
                verdict.to_owned(),
            ]);
        }
        let mut text = String::new();
        let Self {
            scenario,
            deployment,
            seed,
            seconds,
            machine,
            ..
        } = self;
        let machine = machine.join(", ");
        writeln!(
            text,
            "{scenario}, {deployment}, seed {seed}, {seconds} s; load average {machine}\n\n{table}"
        )
        .expect("writing to a string cannot fail");
        text
    }
}

fn shown(value: f64) -> String {
    if value.fract() == 0.0 || value.abs() >= 1_000.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
