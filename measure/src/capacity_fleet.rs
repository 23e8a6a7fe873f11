//! Steps of the capacity measurements that run a fleet over real links, before stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use cornelstand::{
    Arrival, CallKind, Config, Deployment, LOOKUP, ORDER, PLAIN_CALL, Source, Through, Workload,
    run_load, whole,
};
use stand_ins::ObjectCounts;
use tokio::time::{Instant, sleep};

use crate::capacity_proc::{fleet_seconds, resident};
use crate::capacity_sheet::{CallPoint, FleetPoint, NotePoint, Sheet, Window, Work};
use crate::capacity_state::{accounts_named, float};
use crate::overhead::DIRECT;
use crate::report::Variant;
use crate::stage::{CHECK, Error, Stage, account, chat, whatever};

/// Time in which a fleet settles after a change.
const SETTLE: Duration = Duration::from_secs(8);
/// Length of a window without work.
const QUIET: Duration = Duration::from_secs(10);
/// Length of a window with work, in seconds.
const BUSY: u64 = 5;
/// Calls a second of each kind.
const RATES: [f64; 2] = [50.0, 150.0];
/// Streamed answers a second, and tokens of each.
const STREAMS: f64 = 20.0;
const TOKENS: [u64; 3] = [10, 40, 120];
/// Notes of which the time is taken.
const NOTES: usize = 9;
/// Time between two looks at whether a note is in force.
const LOOK: Duration = Duration::from_millis(10);
/// Time between two notes.
const GAP: Duration = Duration::from_millis(700);
/// Accounts in one note.
const NOTE_ACCOUNTS: usize = 2_500;
/// Longest wait for a note.
const NOTE_WAIT: Duration = Duration::from_secs(30);

/// Measures a fleet of `instances` instances idle, at work and with notes.
pub(crate) async fn fleet(instances: usize) -> Result<Sheet, Error> {
    let deployment = Deployment::tessel(instances);
    let (mut stage, point) = start(&deployment).await?;
    let mut sheet = Sheet {
        fleets: vec![point],
        ..Sheet::default()
    };
    sheet.windows.push(quiet(&stage, QUIET).await);
    // Endpoints get warm first.
    run_load(
        &plain(&stage.deployment, &stage.addresses, LOOKUP, 50.0),
        Some(CHECK),
    )
    .await;
    for rate in RATES {
        let load = plain(&stage.deployment, &stage.addresses, LOOKUP, rate);
        sheet.windows.push(busy(&stage, Work::Plain, &load).await);
    }
    for rate in RATES {
        let load = plain(&stage.deployment, &stage.addresses, ORDER, rate / 2.0);
        sheet.windows.push(busy(&stage, Work::Once, &load).await);
    }
    for tokens in TOKENS {
        let load = streams(&stage.deployment, &stage.addresses, tokens);
        sheet.windows.push(busy(&stage, Work::Chat, &load).await);
    }
    sheet.notes.push(notes(&mut stage, 0).await?);
    stage.stop().await?;
    Ok(sheet)
}

/// Measures eight idle instances with `cells` cells of each service.
pub(crate) async fn cells(cells: usize) -> Result<Sheet, Error> {
    let deployment = Deployment::tessel(8);
    let (mut stage, _) = start(&deployment).await?;
    let mut declared = config(&stage);
    for service in declared.services.values_mut() {
        service.cells = u16::try_from(cells).unwrap_or(u16::MAX);
    }
    declare(&mut stage, declared).await?;
    let all = cells * deployment.services.len();
    let fleet = stage.fleet.as_ref().expect("the fleet was started");
    while !fleet.status().await.iter().all(|s| s.owners.len() >= all) {
        sleep(LOOK).await;
    }
    sleep(SETTLE).await;
    let window = quiet(&stage, QUIET).await;
    stage.stop().await?;
    Ok(Sheet {
        windows: vec![window],
        ..Sheet::default()
    })
}

/// Measures four instances with `accounts` accounts more in their configuration.
pub(crate) async fn accounts(accounts: usize) -> Result<Sheet, Error> {
    let (mut stage, mut point) = start(&Deployment::tessel(4)).await?;
    let before = resident();
    let added: Vec<_> = accounts_named(accounts).into_iter().collect();
    for part in added.chunks(NOTE_ACCOUNTS) {
        let mut declared = config(&stage);
        declared.accounts.extend(part.iter().cloned());
        declare(&mut stage, declared).await?;
        wait_in_force(&stage).await?;
    }
    sleep(SETTLE).await;
    point.accounts = float(accounts);
    point.memory = (resident() - before) / 4.0;
    let notes = notes(&mut stage, accounts).await?;
    stage.stop().await?;
    Ok(Sheet {
        fleets: vec![point],
        notes: vec![notes],
        ..Sheet::default()
    })
}

/// Compares a call through two instances with a direct one.
pub(crate) async fn calls() -> Result<Sheet, Error> {
    let (stage, _) = start(&Deployment::tessel(2)).await?;
    run_load(
        &plain(&stage.deployment, &stage.addresses, LOOKUP, 50.0),
        Some(CHECK),
    )
    .await;
    let mut direct = plain(&stage.deployment, &stage.addresses, LOOKUP, 50.0);
    let endpoints = stage.outside.endpoints.iter();
    let service = stage.deployment.plain().name.clone();
    let endpoints = endpoints.filter(|e| e.service == service);
    direct.instances = endpoints.map(cornelstand::Replica::address).collect();
    for source in direct.accounts.iter_mut().flat_map(|a| &mut a.sources) {
        source.service = LOOKUP.trim_start_matches('/').into();
        source.path = String::new();
    }
    let median = |result: &cornelstand::LoadResult| {
        let micros = result.accounts[0].sources[0].whole.p50;
        whole(micros) / 1e3
    };
    let direct = run_load(&direct, Some(DIRECT)).await;
    let through = run_load(
        &plain(&stage.deployment, &stage.addresses, LOOKUP, 50.0),
        Some(CHECK),
    )
    .await;
    let point = CallPoint {
        direct: median(&direct),
        through: median(&through),
    };
    stage.stop().await?;
    Ok(Sheet {
        calls: vec![point],
        ..Sheet::default()
    })
}

async fn start(deployment: &Deployment) -> Result<(Stage, FleetPoint), Error> {
    let before = resident();
    let stage = Stage::start(deployment, Variant::Fleet).await?;
    sleep(SETTLE).await;
    let point = FleetPoint {
        instances: float(deployment.instances),
        accounts: 0.0,
        cells: float(config(&stage).cells().count()),
        memory: (resident() - before) / float(deployment.instances),
    };
    Ok((stage, point))
}

fn config(stage: &Stage) -> Config {
    let fleet = stage.fleet.as_ref().expect("the fleet was started");
    fleet.config().clone()
}

async fn declare(stage: &mut Stage, declared: Config) -> Result<(), Error> {
    let fleet = stage.fleet.as_mut().expect("the fleet was started");
    let done = fleet.declare("capacity", declared).await;
    done.map_err(|e| whatever("note", &e))
}

/// What has been counted until a moment.
struct Counts {
    at: Instant,
    sent: Vec<u64>,
    processor: f64,
    objects: ObjectCounts,
}

impl Counts {
    async fn take(stage: &Stage) -> Self {
        let fleet = stage.fleet.as_ref().expect("the fleet was started");
        let status = fleet.status().await;
        Self {
            at: Instant::now(),
            sent: status.iter().map(|s| s.traffic.sent).collect(),
            processor: fleet_seconds(),
            objects: stage.outside.objects.counts(),
        }
    }

    /// The window from `self` until now.
    async fn window(self, stage: &Stage, work: Work) -> Window {
        let end = Self::take(stage).await;
        let sent = end
            .sent
            .iter()
            .zip(&self.sent)
            .map(|(end, start)| end - start);
        let sent: Vec<u64> = sent.collect();
        let writes = |c: &ObjectCounts| c.creates + c.replaces + c.deletes;
        let reads = |c: &ObjectCounts| c.gets + c.lists + c.watches;
        let more =
            |count: fn(&ObjectCounts) -> u64| whole(count(&end.objects) - count(&self.objects));
        Window {
            work,
            instances: float(stage.deployment.instances),
            cells: float(config(stage).cells().count()),
            seconds: (end.at - self.at).as_secs_f64(),
            requests: 0.0,
            tokens: 0.0,
            sent: whole(sent.iter().sum()),
            most_sent: whole(sent.iter().max().copied().unwrap_or_default()),
            processor: end.processor - self.processor,
            writes: more(writes),
            reads: more(reads),
            watches: more(|c| c.watches),
        }
    }
}

async fn quiet(stage: &Stage, length: Duration) -> Window {
    let counts = Counts::take(stage).await;
    sleep(length).await;
    counts.window(stage, Work::Idle).await
}

async fn busy(stage: &Stage, work: Work, load: &Workload) -> Window {
    let counts = Counts::take(stage).await;
    let result = run_load(load, Some(CHECK)).await;
    let mut window = counts.window(stage, work).await;
    window.requests = whole(result.counts().answered);
    if work == Work::Chat {
        window.tokens = whole(
            result
                .accounts
                .iter()
                .map(cornelstand::AccountResult::service)
                .sum(),
        );
    }
    window
}

/// Calls of the plain service at `path`.
pub(crate) fn plain(deployment: &Deployment, at: &[SocketAddr], path: &str, rate: f64) -> Workload {
    let source = Source {
        label: "plain".to_owned(),
        service: deployment.plain().name.clone(),
        path: path.to_owned(),
        call: CallKind::Plain {
            cost: PLAIN_CALL,
            once: path == ORDER,
        },
        arrival: Arrival::Rate(rate),
        after: 0,
        until: None,
        seed: None,
        deadline: None,
    };
    load_of(deployment, at, source)
}

/// Streamed answers of `tokens` tokens on average.
pub(crate) fn streams(deployment: &Deployment, at: &[SocketAddr], tokens: u64) -> Workload {
    let mut source = chat(deployment, "streams", Arrival::Rate(STREAMS));
    source.call = CallKind::Chat {
        tokens,
        prompt: crate::stage::PROMPT,
        hint: true,
    };
    load_of(deployment, at, source)
}

fn load_of(deployment: &Deployment, at: &[SocketAddr], source: Source) -> Workload {
    let size = &deployment.accounts[0];
    Workload {
        seed: 1,
        length: BUSY * 1_000,
        settle: crate::stage::SETTLE,
        instances: at.to_vec(),
        accounts: vec![account(size, Through::All, vec![source])],
    }
}

/// Changes one account's share by notes, first counted without looks, then timed.
async fn notes(stage: &mut Stage, accounts: usize) -> Result<NotePoint, Error> {
    let idle = quiet(stage, QUIET).await;
    let counts = Counts::take(stage).await;
    for _ in 0..NOTES {
        change(stage).await?;
        sleep(GAP).await;
    }
    sleep(GAP * 3).await;
    let spent = counts.window(stage, Work::Notes).await;
    let mut times = Vec::new();
    for _ in 0..NOTES {
        let start = Instant::now();
        change(stage).await?;
        wait_in_force(stage).await?;
        times.push(start.elapsed().as_secs_f64());
        sleep(GAP).await;
    }
    times.sort_by(f64::total_cmp);
    let each = |pick: fn(&Window) -> f64| {
        let without = pick(&idle) / idle.seconds * spent.seconds;
        (pick(&spent) - without) / float(NOTES)
    };
    Ok(NotePoint {
        instances: float(stage.deployment.instances),
        accounts: float(accounts),
        median: times[NOTES / 2],
        longest: times[NOTES - 1],
        sent: each(|w| w.sent),
        writes: each(|w| w.writes),
        reads: each(|w| w.reads),
        processor: each(|w| w.processor),
    })
}

async fn change(stage: &mut Stage) -> Result<(), Error> {
    let mut declared = config(stage);
    let first = declared.accounts.values_mut().next();
    first.expect("there are accounts").share += 1;
    declare(stage, declared).await
}

/// Waits until every instance has the declared revision in force.
async fn wait_in_force(stage: &Stage) -> Result<(), Error> {
    let fleet = stage.fleet.as_ref().expect("the fleet was started");
    let revision = fleet.config().revision;
    let waited = tokio::time::timeout(NOTE_WAIT, async {
        while fleet.status().await.iter().any(|s| s.revision < revision) {
            sleep(LOOK).await;
        }
    });
    waited.await.map_err(|e| whatever("note in force", &e))
}
