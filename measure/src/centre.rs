//! A data centre that leaves and returns, under full load.

use std::time::Duration;

use cornelstand::{
    AccountName, CentreName, Deployment, OUT_WITHIN, Sample, Sampler, Span, Through, Workload,
    fairness_gap, gain_rate, gained, run_load, whole,
};
use tokio::time::{Instant, sleep_until};

use crate::cold::fastest_ramp;
use crate::plot;
use crate::report::{Report, Target, Variant};
use crate::stage::{CHECK, Error, Run, Stage, account, backlog, chat, whatever, workload};

/// Time until all endpoints are warm, not counted.
const WARM_UP: Duration = Duration::from_secs(12);
/// Time after the note in which the remaining endpoints take the work over.
const TAKE_OVER: Duration = Duration::from_secs(5);
/// Time beyond the endpoints' own warm-up in which they are in full use after the return.
const RETURN: Duration = Duration::from_secs(5);
/// Part of its slots that a returned endpoint uses when it is in full use.
const FULL: f64 = 0.97;

/// Measures the fleet and both baselines.
pub(crate) async fn measure(
    deployment: &Deployment,
    report: &mut Report,
    plots: Option<&std::path::Path>,
) -> Result<(), Error> {
    let fastest = fastest_ramp(deployment, report.seed).await?;
    let name = "cold engine's time until warm, mean";
    report.add(Variant::Direct, name, Some(fastest), "s", None);
    for variant in [Variant::Fleet, Variant::LeastLoaded, Variant::FairSplit] {
        let mut stage = Stage::start(deployment, variant).await?;
        let load = load_of(&stage, report);
        let (run, out) = drive(&mut stage, load).await?;
        judge(&stage, variant, &run, (out, fastest), report);
        if let Some(dir) = plots {
            plot::service(dir, report, variant, &run.result)?;
        }
        report.results.push((variant, run.result));
        stage.stop().await?;
    }
    Ok(())
}

fn load_of(stage: &Stage, report: &Report) -> Workload {
    let deployment = &stage.deployment;
    let mut load = workload(stage, report.seed, report.seconds);
    for size in &deployment.accounts {
        let sources = vec![chat(deployment, "backlog", backlog(deployment, size))];
        load.accounts.push(account(size, Through::All, sources));
    }
    load
}

fn first_centre(stage: &Stage) -> CentreName {
    stage.deployment.centres[0].clone()
}

/// Runs the load; takes the first data centre out after a third and brings it back after two.
async fn drive(stage: &mut Stage, load: Workload) -> Result<(Run, Span), Error> {
    let length = load.span();
    let centre = first_centre(stage);
    let start = Instant::now();
    let sampling = Sampler::start(stage.outside.clone(), start);
    let running = tokio::spawn(async move { run_load(&load, Some(CHECK)).await });
    sleep_until(start + length / 3).await;
    stage.set_centre(&centre, true).await?;
    let from = start.elapsed();
    sleep_until(start + length * 2 / 3).await;
    let to = start.elapsed();
    stage.set_centre(&centre, false).await?;
    let result = running.await.map_err(|e| whatever("load", &e))?;
    let samples = sampling.end();
    Ok((Run { result, samples }, Span { from, to }))
}

fn judge(
    stage: &Stage,
    variant: Variant,
    run: &Run,
    (out, fastest): (Span, f64),
    report: &mut Report,
) {
    let centre = first_centre(stage);
    let none = Some(Target::AtMost(0.0));
    let quiet = Span {
        from: out.from + OUT_WITHIN,
        to: out.to,
    };
    let is_there = |place: usize| stage.is_model_in(place, &centre);
    let new = gained(&run.samples, quiet, is_there, |r| r.runs);
    report.add(
        variant,
        "new work there after 3 s",
        Some(whole(new)),
        "",
        none,
    );
    let counts = run.result.counts();
    report.add(variant, "answers cut", Some(whole(counts.cut)), "", none);
    report.add(
        variant,
        "answers wrong or short",
        Some(whole(counts.wrong)),
        "",
        none,
    );
    let above = Some(whole(stage.above()));
    report.add(
        variant,
        "requests above what an endpoint bore",
        above,
        "",
        none,
    );
    let least = Some(Target::AtLeast(0.95));
    let part = remaining_service(stage, run, out, &centre);
    report.add(
        variant,
        "service from 5 s after the note",
        part,
        "of what remains",
        least,
    );
    let full = full_use(stage, &run.samples, out.to, &centre);
    let most = Some(Target::AtMost(fastest + RETURN.as_secs_f64()));
    report.add(variant, "time from the return to full use", full, "s", most);
    let names: Vec<AccountName> = stage
        .deployment
        .accounts
        .iter()
        .map(|a| a.name.clone())
        .collect();
    let all = Span {
        from: WARM_UP,
        to: Duration::from_secs(report.seconds),
    };
    let gap = fairness_gap(&run.result, &names, all);
    let most = Some(Target::AtMost(1.05));
    report.add(variant, "fairness gap, worst 10 s", gap, "", most);
    let refused = Some(whole(counts.refused()));
    report.add(variant, "refused", refused, "", None);
    report.add(
        variant,
        "answers whole",
        Some(whole(counts.answered)),
        "",
        None,
    );
}

/// Tokens of the remaining engines over what they give when warm and full.
fn remaining_service(stage: &Stage, run: &Run, out: Span, centre: &CentreName) -> Option<f64> {
    let span = Span {
        from: out.from + TAKE_OVER,
        to: out.to,
    };
    let remains = |place: usize| stage.is_model(place) && !stage.is_model_in(place, centre);
    let tokens = gain_rate(&run.samples, span, remains, |r| r.service)?;
    let places = 0..stage.outside.endpoints.len();
    let engines = places.filter(|&p| remains(p)).count();
    Some(tokens / stage.capacity(engines))
}

/// Seconds from the return until the data centre's engines use nearly all their warm slots.
fn full_use(stage: &Stage, samples: &[Sample], back: Duration, centre: &CentreName) -> Option<f64> {
    let warm = stage.deployment.models().bearing.warm;
    let is_full = |sample: &&Sample| {
        let there = sample.readings.iter().enumerate();
        let there: Vec<u32> = there
            .filter(|(place, _)| stage.is_model_in(*place, centre))
            .map(|(_, r)| r.running)
            .collect();
        let slots = warm * u32::try_from(there.len()).unwrap_or(u32::MAX);
        f64::from(there.iter().sum::<u32>()) >= FULL * f64::from(slots)
    };
    let after = samples.iter().filter(|s| s.at >= back);
    after
        .into_iter()
        .find(is_full)
        .map(|s| s.at.saturating_sub(back).as_secs_f64())
}
