//! What the path through the fleet costs, beside the endpoint called directly.

use cornelstand::{
    Arrival, CallKind, Check, Deployment, FLEET_THREADS, LOOKUP, LoadResult, PLAIN_CALL, Source,
    SourceResult, Through, Workload, run_load, whole,
};
use stand_ins::call_digest;

use crate::report::{Report, Variant};
use crate::stage::{CHECK, Error, Stage, account, chat, workload};

/// Calls a second at which times are compared.
const RATE: f64 = 100.0;
/// Calls at a time at which processor time is measured.
const BACKLOG: u32 = 40;
/// Clock ticks in a second of processor time.
const TICKS: f64 = 100.0;
/// Seconds in a millisecond, for results in microseconds.
const MICROS: f64 = 1_000.0;

/// Direct calls have the service's name where the fleet has the path.
pub(crate) const DIRECT: Check = Check {
    chat: CHECK.chat,
    plain: |method, _, body| call_digest(method, LOOKUP, body),
};

/// Measures the fleet beside the endpoint.
pub(crate) async fn measure(deployment: &Deployment, report: &mut Report) -> Result<(), Error> {
    let stage = Stage::start(deployment, Variant::Fleet).await?;
    // Endpoints get warm first, so that none of the calls waits for a slot.
    run_load(&lookups(&stage, report, Arrival::Backlog(8)), Some(CHECK)).await;
    let mut direct = lookups(&stage, report, Arrival::Rate(RATE));
    direct.instances = plain_addresses(&stage);
    for source in direct.accounts.iter_mut().flat_map(|a| &mut a.sources) {
        source.service = LOOKUP.trim_start_matches('/').into();
        source.path = String::new();
    }
    let direct = run_load(&direct, Some(DIRECT)).await;
    let through = run_load(&lookups(&stage, report, Arrival::Rate(RATE)), Some(CHECK)).await;
    compare(&direct, &through, report);
    let busy = lookups(&stage, report, Arrival::Backlog(BACKLOG));
    let (calls, cpu) = processor_time(&busy).await;
    let rate = (cpu > 0.0).then(|| whole(calls) / cpu);
    report.add(
        Variant::Fleet,
        "plain calls",
        rate,
        "per core and second",
        None,
    );
    let mut streams = workload(&stage, report.seed, report.seconds);
    let size = &deployment.accounts[0];
    let sources = vec![chat(deployment, "streams", Arrival::Backlog(BACKLOG))];
    streams.accounts.push(account(size, Through::All, sources));
    let (calls, cpu) = processor_time(&streams).await;
    let rate = (cpu > 0.0).then(|| whole(calls) / cpu);
    let name = "streamed answers of 40 tokens on average";
    report.add(Variant::Fleet, name, rate, "per core and second", None);
    report.results.push((Variant::Direct, direct));
    report.results.push((Variant::Fleet, through));
    stage.stop().await
}

fn plain_addresses(stage: &Stage) -> Vec<std::net::SocketAddr> {
    let plain = &stage.deployment.plain().name;
    let endpoints = stage.outside.endpoints.iter();
    let endpoints = endpoints.filter(|e| e.service == *plain);
    endpoints.map(cornelstand::Replica::address).collect()
}

fn lookups(stage: &Stage, report: &Report, arrival: Arrival) -> Workload {
    let mut load = workload(stage, report.seed, report.seconds);
    let source = Source {
        label: "lookup".to_owned(),
        service: stage.deployment.plain().name.clone(),
        path: LOOKUP.to_owned(),
        call: CallKind::Plain {
            cost: PLAIN_CALL,
            once: false,
        },
        arrival,
        after: 0,
        until: None,
        seed: None,
        deadline: None,
    };
    let size = &stage.deployment.accounts[0];
    load.accounts
        .push(account(size, Through::All, vec![source]));
    load
}

fn compare(direct: &LoadResult, through: &LoadResult, report: &mut Report) {
    let times = |result: &LoadResult| {
        let source: Option<&SourceResult> = result.accounts.first().and_then(|a| a.sources.first());
        source.map(|s| (whole(s.whole.p50) / MICROS, whole(s.whole.p99) / MICROS))
    };
    let (direct_times, through_times) = (times(direct), times(through));
    for (variant, times) in [
        (Variant::Direct, direct_times),
        (Variant::Fleet, through_times),
    ] {
        report.add(
            variant,
            "plain call of 40 ms, p50",
            times.map(|t| t.0),
            "ms",
            None,
        );
        report.add(
            variant,
            "plain call of 40 ms, p99",
            times.map(|t| t.1),
            "ms",
            None,
        );
    }
    let more = direct_times.zip(through_times);
    let p50 = more.map(|(d, t)| t.0 - d.0);
    let p99 = more.map(|(d, t)| t.1 - d.1);
    report.add(Variant::Fleet, "added at p50", p50, "ms", None);
    report.add(Variant::Fleet, "added at p99", p99, "ms", None);
    for (variant, result) in [(Variant::Direct, direct), (Variant::Fleet, through)] {
        let counts = result.counts();
        let other = counts.arrived - counts.answered;
        report.add(
            variant,
            "calls not answered whole",
            Some(whole(other)),
            "",
            None,
        );
    }
}

/// Answers of a workload and the processor seconds that the fleet's threads spent on it.
async fn processor_time(load: &Workload) -> (u64, f64) {
    let before = fleet_ticks();
    let result = run_load(load, Some(CHECK)).await;
    let spent = fleet_ticks().saturating_sub(before);
    (result.counts().answered, whole(spent) / TICKS)
}

/// Clock ticks that the fleet's threads have spent.
fn fleet_ticks() -> u64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let stats = tasks.filter_map(|t| std::fs::read_to_string(t.ok()?.path().join("stat")).ok());
    stats.filter_map(|s| ticks_of(&s)).sum()
}

/// User and system ticks in a line of `stat`, if the thread is one of the fleet's.
fn ticks_of(stat: &str) -> Option<u64> {
    let (head, rest) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    if name != FLEET_THREADS {
        return None;
    }
    // The time in user mode is the fourteenth field, the state after the name the third.
    let mut fields = rest.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}
