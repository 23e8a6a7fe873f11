//! Endpoints that turn cold without warning, under full load.

use std::sync::Arc;
use std::time::Duration;

use cornelstand::{Deployment, Fake, Through, run_load, whole};
use serde_json::json;
use stand_ins::{Engine, EngineSettings, Overload};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::report::{Report, Target, Variant};
use crate::stage::{CHECK, Error, Stage, TOKENS, account, backlog, chat, whatever, workload};

/// One in this many engines is crashed.
const EVERY: usize = 4;

/// Measures the fleet, both baselines and the fastest ramp of an engine by itself.
pub(crate) async fn measure(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let fastest = fastest_ramp(deployment, report.seed).await?;
    let name = "cold engine's time until warm, mean";
    report.add(Variant::Direct, name, Some(fastest), "s", None);
    for variant in [Variant::Fleet, Variant::LeastLoaded, Variant::FairSplit] {
        measure_variant(deployment, variant, fastest, report).await?;
    }
    Ok(())
}

async fn measure_variant(
    deployment: &Deployment,
    variant: Variant,
    fastest: f64,
    report: &mut Report,
) -> Result<(), Error> {
    let stage = Stage::start(deployment, variant).await?;
    let mut load = workload(&stage, report.seed, report.seconds);
    for size in &deployment.accounts {
        let sources = vec![chat(deployment, "backlog", backlog(deployment, size))];
        load.accounts.push(account(size, Through::All, sources));
    }
    let start = Instant::now();
    let running = tokio::spawn(async move { run_load(&load, Some(CHECK)).await });
    sleep_until(start + Duration::from_secs(report.seconds) / 2).await;
    let crashed: Vec<&Engine> = engines(&stage).step_by(EVERY).collect();
    for engine in &crashed {
        engine.crash();
    }
    let result = running.await.map_err(|e| whatever("load", &e))?;
    let ramps: Vec<u64> = crashed.iter().filter_map(|e| e.counts().ramp).collect();
    let is_complete = ramps.len() == crashed.len();
    let mean = is_complete.then(|| mean_seconds(&ramps));
    let total: u64 = engines(&stage).map(|e| e.counts().crashes).sum();
    let made = u64::try_from(crashed.len()).unwrap_or(u64::MAX);
    let none = Some(Target::AtMost(0.0));
    let above = Some(whole(stage.above()));
    report.add(
        variant,
        "requests above what an endpoint bore",
        above,
        "",
        none,
    );
    let more = Some(whole(total.saturating_sub(made)));
    report.add(variant, "crashes beyond those made", more, "", none);
    report.add(
        variant,
        "cold engine's time until warm, mean",
        mean,
        "s",
        None,
    );
    let ratio = mean.map(|m| m / fastest);
    let most = Some(Target::AtMost(1.1));
    report.add(variant, "time until warm over the fastest", ratio, "", most);
    let counts = result.counts();
    report.add(
        variant,
        "answers wrong or short",
        Some(whole(counts.wrong)),
        "",
        none,
    );
    report.add(
        variant,
        "answers cut by the crashes",
        Some(whole(counts.cut)),
        "",
        None,
    );
    report.add(
        variant,
        "answers whole",
        Some(whole(counts.answered)),
        "",
        None,
    );
    report.results.push((variant, result));
    stage.stop().await
}

fn engines(stage: &Stage) -> impl Iterator<Item = &Engine> {
    stage
        .outside
        .endpoints
        .iter()
        .filter_map(|e| match &e.fake {
            Fake::Engine(engine) => Some(engine),
            Fake::Plain(_) => None,
        })
}

fn mean_seconds(micros: &[u64]) -> f64 {
    let sum = Duration::from_micros(micros.iter().sum()).as_secs_f64();
    sum / whole(u64::try_from(micros.len().max(1)).unwrap_or(u64::MAX))
}

/// Mean time in seconds in which engines get warm that always run all they bear.
pub(crate) async fn fastest_ramp(deployment: &Deployment, seed: u64) -> Result<f64, Error> {
    let models = deployment.models();
    let number = models.replicas.div_ceil(EVERY);
    let mut tasks = JoinSet::new();
    for place in 0..number {
        let engine = Engine::start(EngineSettings {
            bearing: models.bearing,
            pace: models.pace,
            overload: Overload::Refuse,
            ..EngineSettings::default()
        });
        let engine = Arc::new(engine.map_err(|e| whatever("engine", &e))?);
        tasks.spawn(warm_up(engine, format!("{seed}-{place}")));
    }
    let ramps: Vec<u64> = tasks.join_all().await;
    Ok(mean_seconds(&ramps))
}

/// Keeps an engine as busy as it bears until it is warm, and gives the time in microseconds.
async fn warm_up(engine: Arc<Engine>, label: String) -> u64 {
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.expect("an HTTP client without TLS needs no system resources");
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let mut calls = JoinSet::new();
    // Lengths between half and one and a half times the mean, as in a workload.
    for number in 0u64.. {
        if let Some(ramp) = engine.counts().ramp {
            return ramp;
        }
        while u32::try_from(calls.len()).unwrap_or(u32::MAX) >= engine.counts().bears {
            calls.join_next().await;
        }
        let tokens = TOKENS / 2 + (number * 17 + 5) % (TOKENS + 1);
        let body = json!({
            "messages": [{ "role": "user", "content": format!("{label}-{number}") }],
            "max_tokens": tokens,
        });
        let request = http.post(&url).json(&body);
        calls.spawn(async move {
            if let Ok(answer) = request.send().await {
                answer.bytes().await.ok();
            }
        });
        // The call has to arrive before the engine is asked again what it bears.
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    0
}
