//! A rolling restart of the whole fleet, under full load.

use std::sync::Arc;
use std::time::Duration;

use cornelstand::{Deployment, Fleet, LoadResult, Through, Workload, run_load_through, whole};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::report::{Report, Target, Variant};
use crate::stage::{CHECK, Error, Stage, account, backlog, chat, whatever, workload};

/// Time until all endpoints are warm, not counted.
const WARM_UP: Duration = Duration::from_secs(12);
/// Time in which a balancer sees that an instance is about to stop.
const BALANCER: Duration = Duration::from_millis(500);

/// Measures the fleet; the baselines have no planned stop.
pub(crate) async fn measure(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let variant = Variant::Fleet;
    let mut stage = Stage::start(deployment, variant).await?;
    let load = load_of(&stage, report);
    let (sender, live) = watch::channel(stage.addresses.clone());
    let start = Instant::now();
    let running = {
        let load = load.clone();
        tokio::spawn(async move { run_load_through(&load, &live, Some(CHECK)).await })
    };
    sleep_until(start + half(report)).await;
    let mut fleet = stage
        .fleet
        .take()
        .ok_or_else(|| whatever_text("no fleet"))?;
    let sender = Arc::new(sender);
    let cut = roll(&mut fleet, &stage.addresses, &sender).await?;
    let rolled = start.elapsed();
    let result = running.await.map_err(|e| whatever("load", &e))?;
    judge(&result, cut, rolled, report);
    let above = Some(whole(stage.above()));
    let none = Some(Target::AtMost(0.0));
    report.add(
        variant,
        "requests above what an endpoint bore",
        above,
        "",
        none,
    );
    report.results.push((variant, result));
    fleet.stop().await.map_err(|e| whatever("fleet", &e))?;
    stage.stop().await
}

fn whatever_text(text: &str) -> Error {
    snafu::FromString::without_source(text.to_owned())
}

fn half(report: &Report) -> Duration {
    Duration::from_secs(report.seconds) * 2 / 5
}

fn load_of(stage: &Stage, report: &Report) -> Workload {
    let deployment = &stage.deployment;
    let half = u64::try_from(half(report).as_millis()).unwrap_or(u64::MAX);
    let mut load = workload(stage, report.seed, report.seconds);
    for size in &deployment.accounts {
        let arrival = backlog(deployment, size);
        let mut warm = chat(deployment, "warm-up", arrival);
        warm.until = u64::try_from(WARM_UP.as_millis()).ok();
        let mut before = chat(deployment, "before", arrival);
        before.after = warm.until.unwrap_or_default();
        before.until = Some(half);
        let mut during = chat(deployment, "during", arrival);
        during.after = half;
        let sources = vec![warm, before, during];
        load.accounts.push(account(size, Through::All, sources));
    }
    load
}

/// Restarts one instance after the other, off the balancer's list meanwhile.
async fn roll(
    fleet: &mut Fleet,
    addresses: &[std::net::SocketAddr],
    balancer: &watch::Sender<Vec<std::net::SocketAddr>>,
) -> Result<usize, Error> {
    let mut cut = 0;
    for (place, address) in addresses.iter().enumerate() {
        balancer.send_modify(|live| live.retain(|a| a != address));
        sleep(BALANCER).await;
        let restarted = fleet.restart(place).await;
        cut += restarted.map_err(|e| whatever("restart", &e))?;
        balancer.send_modify(|live| live.push(*address));
        sleep(BALANCER).await;
    }
    Ok(cut)
}

fn judge(result: &LoadResult, cut: usize, rolled: Duration, report: &mut Report) {
    let variant = Variant::Fleet;
    let none = Some(Target::AtMost(0.0));
    let counts = result.counts();
    let stops = u64::try_from(cut).unwrap_or(u64::MAX);
    report.add(
        variant,
        "requests cut by a planned stop",
        Some(whole(stops)),
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
    report.add(variant, "refused", Some(whole(counts.refused())), "", none);
    let end = Some(Target::AtMost(whole(report.seconds)));
    report.add(
        variant,
        "end of the last restart",
        Some(rolled.as_secs_f64()),
        "s",
        end,
    );
    let ratios = result.accounts.iter().filter_map(|account| {
        let (before, during) = (account.source("before")?, account.source("during")?);
        (before.wait.p99 > 0).then(|| whole(during.wait.p99) / whole(before.wait.p99))
    });
    let worst = ratios.max_by(f64::total_cmp);
    let most = Some(Target::AtMost(2.0));
    report.add(
        variant,
        "wait p99 over the undisturbed, worst account",
        worst,
        "",
        most,
    );
    report.add(
        variant,
        "answers whole",
        Some(whole(counts.answered)),
        "",
        None,
    );
}
