//! A small fleet with its stand-ins in one process, under a real workload.
//!
//! Stand-ins and instances listen on loopback. The workload goes over HTTP; meanwhile a data
//! centre is taken out by a release note and brought back. Everything in the result comes from
//! what callers received and what the endpoints counted.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use stand_ins::{Overload, call_digest, digest, text};
use tokio::time::{Instant, sleep_until};

use crate::demo_table::print;
use crate::demo_work::workload;
use crate::deployment::Deployment;
use crate::figures::{Span, WINDOW, fairness_gap, utilisation};
use crate::fleet::{Fleet, FleetError, OPERATOR_KEY};
use crate::load::run_load;
use crate::load_call::Check;
use crate::load_result::LoadResult;
use crate::name::AccountName;
use crate::outside::{Outside, Sample, Sampler};
use crate::promise::{Promise, answer_promises, centre_promise};
use crate::timeline::{Event, merge};
use crate::trace::trace_page;

/// Time until the endpoints are warm, left out of the figures.
const WARM_UP: Duration = Duration::from_secs(6);

/// What the stand-ins answer.
const CHECK: Check = Check {
    chat: |prompt, tokens| text(digest(prompt), tokens),
    plain: call_digest,
};

/// What a demonstration is asked for.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Length of the workload, in seconds.
    pub seconds: u64,
    /// Seed of the workload.
    pub seed: u64,
    /// File for the result as JSON.
    pub json: Option<PathBuf>,
    /// File for the time line as a page.
    pub timeline: Option<PathBuf>,
    /// Whether to stay up afterwards.
    pub hold: bool,
}

/// Error of a demonstration.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// A stand-in cannot start.
    #[snafu(display("stand-in: {source}"))]
    StandIn {
        /// Error of the stand-in.
        source: stand_ins::StartError,
    },
    /// The fleet failed.
    #[snafu(display("fleet: {source}"))]
    Fleet {
        /// Error of the fleet.
        source: FleetError,
    },
    /// A file cannot be written.
    #[snafu(display("cannot write {}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
}

/// Result of a demonstration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemoResult {
    /// What the callers met.
    pub load: LoadResult,
    /// Slot time used over slot time borne while all endpoints were in.
    pub utilisation: Option<f64>,
    /// Largest over smallest service per share of the backlogged accounts in the worst window.
    pub gap: Option<f64>,
    /// Bytes that the instances sent one another.
    pub control: u64,
    /// Calls to the object API.
    pub store: u64,
    /// Milliseconds from the start of the workload until the data centre was taken out.
    pub out: u64,
    /// Milliseconds from the start of the workload until it was brought back.
    pub back: u64,
    /// The promises.
    pub promises: Vec<Promise>,
}

impl DemoResult {
    /// Tells whether every promise was kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.promises.iter().all(|p| p.kept)
    }
}

/// Runs a demonstration, prints its tables and tells whether every promise was kept.
///
/// # Errors
///
/// Any [`DemoError`].
pub async fn run_demo(options: &DemoOptions) -> Result<bool, DemoError> {
    let deployment = Deployment::small();
    let outside = Outside::start(&deployment, false, Overload::Fall).context(StandInSnafu)?;
    let outside = Arc::new(outside);
    let mut fleet = Fleet::start(&deployment, outside.clone())
        .await
        .context(FleetSnafu)?;
    let result = drive(options, &deployment, &outside, &mut fleet).await?;
    print(&result);
    write_files(options, &fleet, &result)?;
    if options.hold {
        hold(&deployment, &fleet).await;
    }
    fleet.stop().await.context(FleetSnafu)?;
    Ok(result.is_kept())
}

/// Sends the workload and takes a data centre out and brings it back meanwhile.
async fn drive(
    options: &DemoOptions,
    deployment: &Deployment,
    outside: &Arc<Outside>,
    fleet: &mut Fleet,
) -> Result<DemoResult, DemoError> {
    let work = workload(deployment, fleet.callers(), options);
    let length = work.span();
    let start = Instant::now();
    let sampling = Sampler::start(outside.clone(), start);
    let load = tokio::spawn(async move { run_load(&work, Some(CHECK)).await });
    let bar = tokio::spawn(show_progress(start, length));
    let centre = deployment.centres[0].clone();
    sleep_until(start + length / 3).await;
    let out = start.elapsed();
    fleet.set_centre(&centre, true).await.context(FleetSnafu)?;
    sleep_until(start + length * 2 / 3).await;
    let back = start.elapsed();
    fleet.set_centre(&centre, false).await.context(FleetSnafu)?;
    let load = load.await.expect("the workload does not panic");
    bar.abort();
    let samples = sampling.end();
    let status = fleet.status().await;
    let spans = Spans {
        before: Span {
            from: WARM_UP,
            to: out,
        },
        out: Span {
            from: out,
            to: back,
        },
        all: Span {
            from: WARM_UP,
            to: length,
        },
    };
    let mut promises = answer_promises(&load, outside);
    promises.push(centre_promise(&samples, outside, &centre, spans.out));
    let revision = fleet.config().revision;
    let behind = status.iter().filter(|s| s.revision != revision).count();
    let behind = u64::try_from(behind).unwrap_or(u64::MAX);
    promises.push(Promise::never(
        "instances without the last note in force",
        behind,
    ));
    Ok(DemoResult {
        utilisation: used(deployment, outside, &samples, spans.before),
        gap: fairness_gap(&load, &backlogged(&load), spans.all),
        load,
        control: status.iter().map(|s| s.traffic.sent).sum(),
        store: outside.objects.counts().calls(),
        out: millis(out),
        back: millis(back),
        promises,
    })
}

/// Parts of the run.
struct Spans {
    before: Span,
    out: Span,
    all: Span,
}

/// Utilisation of the model engines.
fn used(deployment: &Deployment, outside: &Outside, samples: &[Sample], span: Span) -> Option<f64> {
    let models = &deployment.models().name;
    let is_model = |place: usize| outside.endpoints[place].service == *models;
    utilisation(samples, span, is_model)
}

/// The accounts that always have work waiting.
fn backlogged(load: &LoadResult) -> Vec<AccountName> {
    let accounts = load.accounts.iter();
    accounts
        .filter(|a| a.source("batch").is_some())
        .map(|a| a.account.clone())
        .collect()
}

async fn show_progress(start: Instant, length: Duration) {
    let bar = ProgressBar::new(millis(length));
    let style = ProgressStyle::with_template("{msg} {wide_bar} {percent}%");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    loop {
        let at = start.elapsed();
        let message = if at < length / 3 || at > length * 2 / 3 {
            "all data centres in"
        } else {
            "a data centre is out"
        };
        bar.set_message(message);
        bar.set_position(millis(at.min(length)));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn write_files(options: &DemoOptions, fleet: &Fleet, result: &DemoResult) -> Result<(), DemoError> {
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(result).unwrap_or_default();
        std::fs::write(path, text).context(FileSnafu { path })?;
    }
    if let Some(path) = &options.timeline {
        let rings = fleet.instances().map(|i| i.timeline().events());
        let events: Vec<Event> = merge(rings.collect());
        std::fs::write(path, trace_page(&events)).context(FileSnafu { path })?;
    }
    Ok(())
}

/// Prints how to try the fleet by hand and waits for an interrupt.
async fn hold(deployment: &Deployment, fleet: &Fleet) {
    println!("\nCallers:   {}", listed(&fleet.callers()));
    println!(
        "Operators: {} with key {OPERATOR_KEY}",
        listed(&fleet.operators())
    );
    let account = &deployment.accounts[0];
    if let Some(at) = fleet.callers().first() {
        let service = &deployment.models().name;
        println!(
            "\ncurl -N http://{at}/{service}/v1/chat/completions \\\n  \
             -H 'Authorization: Bearer {}' -H 'Content-Type: application/json' \\\n  \
             -d '{{\"model\":\"default\",\"stream\":true,\"max_tokens\":20,\
             \"messages\":[{{\"role\":\"user\",\"content\":\"A torn zip\"}}]}}'",
            account.key
        );
    }
    println!("\nInterrupt to stop.");
    tokio::signal::ctrl_c().await.ok();
}

fn listed(addresses: &[std::net::SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(" ")
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Shortest workload in which fairness can be measured, in seconds.
pub const LEAST_SECONDS: u64 = WARM_UP.as_secs() + WINDOW.as_secs();
