//! The step of the capacity measurements that tells the entry of a request from the owner of its
//! cell: each instance has a runtime of its own, and callers use one that owns nothing they need.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cornelstand::{
    Config, Deployment, EntryLimits, Instance, InstanceStatus, Keys, LOOKUP, Limits, Listen, Log,
    OPERATOR_KEY, Outside, Platform, Settings, Times, Workload, key_hash, plan, run_load, whole,
};
use stand_ins::{InstanceState, Listed, Overload};
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

use crate::capacity_fleet::{plain, streams};
use crate::capacity_proc::threads_seconds;
use crate::capacity_sheet::{RolePoint, Sheet, Work};
use crate::stage::{CHECK, Error, whatever};

/// Instances of the step.
const INSTANCES: usize = 3;
/// Time in which the instances settle.
const SETTLE: Duration = Duration::from_secs(8);
/// Length of a window without work.
const QUIET: Duration = Duration::from_secs(8);
/// Calls of the plain service a second.
const RATES: [f64; 3] = [50.0, 150.0, 300.0];
/// Tokens of a streamed answer.
const TOKENS: [u64; 3] = [10, 40, 120];

struct Role {
    thread: String,
    runtime: Option<Runtime>,
    instance: Option<Instance>,
    address: SocketAddr,
}

impl Drop for Role {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Role {
    async fn start(place: usize, outside: &Outside) -> Result<Self, Error> {
        let thread = format!("role-{place}");
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(&thread)
            .enable_all()
            .build()
            .map_err(|e| whatever("runtime", &e))?;
        let started = runtime.spawn(Instance::start(settings(place, outside)));
        let instance = started.await.map_err(|e| whatever("instance", &e))?;
        let instance = instance.map_err(|e| whatever("instance", &e))?;
        outside.instances.put(Listed {
            name: format!("i{place}"),
            address: instance.addresses().fleet,
            state: InstanceState::Live,
        });
        Ok(Self {
            thread,
            runtime: Some(runtime),
            address: instance.addresses().callers,
            instance: Some(instance),
        })
    }

    async fn status(&self) -> InstanceStatus {
        let instance = self.instance.as_ref().expect("it runs until it is dropped");
        instance.status().await
    }
}

/// Measures an entry and an owner apart, for both kinds of service.
pub(crate) async fn roles() -> Result<Sheet, Error> {
    let deployment = Deployment::tessel(INSTANCES);
    let outside = Outside::start(&deployment, false, Overload::Fall);
    let outside = Arc::new(outside.map_err(|e| whatever("stand-ins", &e))?);
    let mut roles = Vec::new();
    for place in 0..INSTANCES {
        roles.push(Role::start(place, &outside).await?);
    }
    declare(&roles[0], &deployment.config(&outside.addresses())).await?;
    sleep(SETTLE).await;
    let mut points = Vec::new();
    let (entry, owner) = pair(&roles, &deployment.plain().name).await?;
    let at = vec![entry.address];
    run_load(&plain(&deployment, &at, LOOKUP, 50.0), Some(CHECK)).await;
    points.push(measure(entry, owner, Work::Idle, None).await);
    for rate in RATES {
        let load = plain(&deployment, &at, LOOKUP, rate);
        points.push(measure(entry, owner, Work::Plain, Some(&load)).await);
    }
    let (entry, owner) = pair(&roles, &deployment.models().name).await?;
    for tokens in TOKENS {
        let load = streams(&deployment, &[entry.address], tokens);
        points.push(measure(entry, owner, Work::Chat, Some(&load)).await);
    }
    Ok(Sheet {
        roles: points,
        ..Sheet::default()
    })
}

/// An instance that does not own the service's cell, and the one that does.
async fn pair<'a>(
    roles: &'a [Role],
    service: &cornelstand::ServiceName,
) -> Result<(&'a Role, &'a Role), Error> {
    let mut owner = None;
    let mut entry = None;
    for role in roles {
        let status = role.status().await;
        if status.cells.iter().any(|c| c.cell.service == *service) {
            owner = Some(role);
        } else {
            entry = Some(role);
        }
    }
    let none = || snafu::FromString::without_source("a cell has no owner".to_owned());
    entry.zip(owner).ok_or_else(none)
}

async fn measure(entry: &Role, owner: &Role, work: Work, load: Option<&Workload>) -> RolePoint {
    let start = std::time::Instant::now();
    let before = [Spent::of(entry).await, Spent::of(owner).await];
    let mut point = RolePoint {
        work,
        ..RolePoint::default()
    };
    if let Some(load) = load {
        let result = run_load(load, Some(CHECK)).await;
        point.requests = whole(result.counts().answered);
        if work == Work::Chat {
            let tokens = result
                .accounts
                .iter()
                .map(cornelstand::AccountResult::service);
            point.tokens = whole(tokens.sum());
        }
    } else {
        sleep(QUIET).await;
    }
    let after = [Spent::of(entry).await, Spent::of(owner).await];
    point.seconds = start.elapsed().as_secs_f64();
    point.entry = after[0].processor - before[0].processor;
    point.owner = after[1].processor - before[1].processor;
    point.entry_bytes = whole(after[0].bytes - before[0].bytes);
    point.owner_bytes = whole(after[1].bytes - before[1].bytes);
    point
}

struct Spent {
    processor: f64,
    bytes: u64,
}

impl Spent {
    async fn of(role: &Role) -> Self {
        let traffic = role.status().await.traffic;
        Self {
            processor: threads_seconds(&role.thread),
            bytes: traffic.sent + traffic.received,
        }
    }
}

async fn declare(role: &Role, config: &Config) -> Result<(), Error> {
    let note = plan("capacity", config, &Config::default());
    let instance = role.instance.as_ref().expect("it runs until it is dropped");
    let at = instance.addresses().operators;
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.map_err(|e| whatever("client", &e))?;
    let request = client.post(format!("http://{at}/notes"));
    let request = request.bearer_auth(OPERATOR_KEY).json(&note);
    let answer = request
        .send()
        .await
        .and_then(reqwest::Response::error_for_status);
    answer.map(|_| ()).map_err(|e| whatever("note", &e))
}

fn settings(place: usize, outside: &Outside) -> Settings {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        instance: format!("i{place}").as_str().into(),
        centre: "dock-a".into(),
        listen: Listen {
            callers: free,
            operators: free,
            fleet: free,
        },
        platform: Platform {
            objects: outside.objects.address(),
            instances: outside.instances.address(),
        },
        keys: Keys {
            fleet: "key-of-the-whole-fleet".to_owned(),
            operator: key_hash(OPERATOR_KEY),
        },
        seeds: Vec::new(),
        times: Times::default(),
        limits: Limits::default(),
        entry: EntryLimits::default(),
        log: Log::default(),
    }
}
