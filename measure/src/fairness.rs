//! Fairness, starvation and utilisation with all accounts backlogged, each through one instance.

use std::time::Duration;

use cornelstand::{
    AccountName, Arrival, Deployment, LoadResult, Span, Through, Workload, fairness_gap, gain_rate,
    utilisation, whole,
};

use crate::plot;
use crate::report::{Report, Target, Variant};
use crate::stage::{Error, Run, Stage, account, backlog, chat, fair_rate, workload};

/// Time until all endpoints are warm, not counted.
const WARM_UP: Duration = Duration::from_secs(15);
/// Seed of the quiet account, before the flood and in it.
const QUIET_SEED: u64 = 77;
/// Calls of the flooding account, in multiples of its share.
const FLOOD: f64 = 100.0;
/// Calls of the account that is not backlogged, in multiples of its share.
const QUIET: f64 = 0.5;

/// Accounts with a part of their own in the workload.
struct Cast {
    quiet: AccountName,
    flooding: AccountName,
    backlogged: Vec<AccountName>,
}

impl Cast {
    fn new(deployment: &Deployment) -> Self {
        let mut names: Vec<AccountName> =
            deployment.accounts.iter().map(|a| a.name.clone()).collect();
        let quiet = names.pop().expect("a deployment has several accounts");
        let flooding = names.pop().expect("a deployment has several accounts");
        Self {
            quiet,
            flooding,
            backlogged: names,
        }
    }
}

/// Measures the fleet and both baselines.
pub(crate) async fn measure(
    deployment: &Deployment,
    report: &mut Report,
    plots: Option<&std::path::Path>,
) -> Result<(), Error> {
    for variant in [Variant::Fleet, Variant::LeastLoaded, Variant::FairSplit] {
        let stage = Stage::start(deployment, variant).await?;
        let cast = Cast::new(deployment);
        let load = load_of(&stage, &cast, report.seed, report.seconds);
        let run = stage.run(&load).await;
        judge(&stage, &cast, variant, &run, report);
        report.results.push((variant, run.result));
        stage.stop().await?;
    }
    if let Some(dir) = plots {
        for (variant, result) in &report.results {
            plot::service(dir, report, *variant, result)?;
        }
    }
    Ok(())
}

/// Measures utilisation with all accounts backlogged over all instances, and with one alone.
pub(crate) async fn measure_use(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let steady = Span {
        from: WARM_UP,
        to: Duration::from_secs(report.seconds),
    };
    for variant in [Variant::Fleet, Variant::LeastLoaded, Variant::FairSplit] {
        let stage = Stage::start(deployment, variant).await?;
        let mut load = workload(&stage, report.seed, report.seconds);
        for size in &deployment.accounts {
            let sources = vec![chat(deployment, "backlog", backlog(deployment, size))];
            load.accounts.push(account(size, Through::All, sources));
        }
        let run = stage.run(&load).await;
        judge_use(&stage, variant, &run, steady, report);
        load.accounts.truncate(1);
        load.accounts[0].share = deployment.shares();
        let models = deployment.models();
        let slots = models.bearing.warm * u32::try_from(models.replicas).unwrap_or(u32::MAX);
        load.accounts[0].sources[0].arrival = Arrival::Backlog(slots + slots / 2);
        let alone = stage.run(&load).await;
        let tokens = gain_rate(&alone.samples, steady, |p| stage.is_model(p), |r| r.service);
        let warm = stage.capacity(models.replicas);
        let least = Some(Target::AtLeast(0.97));
        let part = tokens.map(|t| t / warm);
        report.add(
            variant,
            "tokens made for an account alone",
            part,
            "of warm capacity",
            least,
        );
        let above = Some(whole(stage.above()));
        let none = Some(Target::AtMost(0.0));
        report.add(
            variant,
            "requests above what an endpoint bore",
            above,
            "",
            none,
        );
        report.results.push((variant, run.result));
        stage.stop().await?;
    }
    Ok(())
}

/// When the flood starts: the time before it, without the warm-up, is as long as the flood.
fn half(seconds: u64) -> Duration {
    (WARM_UP + Duration::from_secs(seconds)) / 2
}

fn load_of(stage: &Stage, cast: &Cast, seed: u64, seconds: u64) -> Workload {
    let deployment = &stage.deployment;
    let half = millis(half(seconds));
    let mut load = workload(stage, seed, seconds);
    for (place, size) in deployment.accounts.iter().enumerate() {
        let through = Through::One(place);
        let rate = fair_rate(deployment, size);
        let sources = if size.name == cast.quiet {
            let mut before = chat(deployment, "before", Arrival::Rate(rate * QUIET));
            before.after = millis(WARM_UP);
            before.until = Some(half);
            let mut during = chat(deployment, "during", Arrival::Rate(rate * QUIET));
            during.after = half;
            (before.seed, during.seed) = (Some(QUIET_SEED), Some(QUIET_SEED));
            vec![before, during]
        } else if size.name == cast.flooding {
            let mut flood = chat(deployment, "flood", Arrival::Rate(rate * FLOOD));
            flood.after = half;
            vec![flood]
        } else {
            vec![chat(deployment, "backlog", backlog(deployment, size))]
        };
        load.accounts.push(account(size, through, sources));
    }
    load
}

fn judge(stage: &Stage, cast: &Cast, variant: Variant, run: &Run, report: &mut Report) {
    let seconds = report.seconds;
    let half = half(seconds);
    let steady = Span {
        from: WARM_UP,
        to: Duration::from_secs(seconds),
    };
    let flooded = Span {
        from: half + Duration::from_secs(2),
        to: steady.to,
    };
    let gap = fairness_gap(&run.result, &cast.backlogged, steady);
    let most = Some(Target::AtMost(1.05));
    report.add(variant, "fairness gap, worst 10 s", gap, "", most);
    let mut with_flood = cast.backlogged.clone();
    with_flood.push(cast.flooding.clone());
    let gap = fairness_gap(&run.result, &with_flood, flooded);
    report.add(
        variant,
        "fairness gap with the flooding account, worst 10 s",
        gap,
        "",
        most,
    );
    judge_waits(cast, variant, &run.result, report);
    judge_use(stage, variant, run, steady, report);
    let counts = run.result.counts();
    let none = Some(Target::AtMost(0.0));
    let above = whole(stage.above());
    report.add(
        variant,
        "requests above what an endpoint bore",
        Some(above),
        "",
        none,
    );
    report.add(variant, "answers cut", Some(whole(counts.cut)), "", none);
    report.add(
        variant,
        "answers wrong or short",
        Some(whole(counts.wrong)),
        "",
        none,
    );
    report.add(
        variant,
        "answers whole",
        Some(whole(counts.answered)),
        "",
        None,
    );
    report.add(
        variant,
        "refused as not run",
        Some(whole(counts.not_run)),
        "",
        None,
    );
    let other = counts.unknown + counts.failed + counts.foreign + counts.unsent;
    report.add(variant, "other ends", Some(whole(other)), "", None);
}

fn judge_waits(cast: &Cast, variant: Variant, result: &LoadResult, report: &mut Report) {
    let quiet = result.accounts.iter().find(|a| a.account == cast.quiet);
    let wait = |label: &str| {
        let source = quiet?.source(label)?;
        (source.wait.count > 0).then(|| whole(source.wait.p95) / 1_000.0)
    };
    let (before, during) = (wait("before"), wait("during"));
    report.add(
        variant,
        "quiet account's wait p95 before the flood",
        before,
        "ms",
        None,
    );
    report.add(
        variant,
        "quiet account's wait p95 in the flood",
        during,
        "ms",
        None,
    );
    let ratio = before.zip(during).map(|(before, during)| during / before);
    let most = Some(Target::AtMost(1.3));
    report.add(
        variant,
        "quiet account's wait p95, in the flood over before",
        ratio,
        "",
        most,
    );
}

/// Adds utilisation in a span in which work always waits.
fn judge_use(stage: &Stage, variant: Variant, run: &Run, span: Span, report: &mut Report) {
    let least = Some(Target::AtLeast(0.97));
    let used = utilisation(&run.samples, span, |place| stage.is_model(place));
    report.add(
        variant,
        "slots used while work waits",
        used,
        "of borne",
        least,
    );
    let tokens = gain_rate(
        &run.samples,
        span,
        |place| stage.is_model(place),
        |r| r.service,
    );
    let warm = stage.capacity(stage.deployment.models().replicas);
    let rate = tokens.map(|t| t / warm);
    report.add(
        variant,
        "tokens made while work waits",
        rate,
        "of warm capacity",
        least,
    );
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
