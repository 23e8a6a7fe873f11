//! A fleet of instances in one process, before the stand-ins of a deployment.
//!
//! The instances run on a runtime of their own, so that their processor time can be told from
//! that of callers and stand-ins. The first configuration and all changes go through release
//! notes at the operators' address, as from outside.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use snafu::{OptionExt, ResultExt, Snafu};
use stand_ins::{InstanceState, Listed};
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinError;

use crate::auth::key_hash;
use crate::config::Config;
use crate::deployment::Deployment;
use crate::instance::{Instance, StartError};
use crate::name::{CentreName, InstanceName};
use crate::note::{Note, plan};
use crate::outside::Outside;

use crate::entry::EntryLimits;
use crate::settings::{Keys, Limits, Listen, Log, Peer, Platform, Settings, Times};
use crate::status::InstanceStatus;

/// Key of the operators of such a fleet.
pub const OPERATOR_KEY: &str = "key-of-the-operators";
/// Name of the threads that run the instances.
pub const FLEET_THREADS: &str = "fleet";
/// Threads that run the instances.
const THREADS: usize = 4;
/// Longest wait until an instance is ready.
const READY: Duration = Duration::from_secs(30);
/// Time between looks at the owners of the cells.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for an answer to an operator.
const OPERATOR: Duration = Duration::from_secs(30);

/// Error of a fleet in one process.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// The runtime cannot be set up.
    #[snafu(display("cannot start the fleet's threads"))]
    Threads {
        /// Error of the system.
        source: std::io::Error,
    },
    /// An instance cannot start.
    #[snafu(display("instance {name}: {source}"))]
    Start {
        /// The instance.
        name: InstanceName,
        /// Error of the instance.
        source: StartError,
    },
    /// An instance is not ready in time.
    #[snafu(display("instance {name} is not ready in time"))]
    NotReady {
        /// The instance.
        name: InstanceName,
    },
    /// A cell has no owner in time.
    #[snafu(display("a cell has no owner in time"))]
    Unowned,
    /// A task panicked.
    #[snafu(display("a task of the fleet failed"))]
    Task {
        /// Error of the task.
        source: JoinError,
    },
    /// No answer from an instance to an operator.
    #[snafu(display("no answer to an operator"))]
    Operator {
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// A note was refused.
    #[snafu(display("note refused with {status}: {text}"))]
    Note {
        /// Status of the answer.
        status: http::StatusCode,
        /// Text of the answer.
        text: String,
    },
}

/// A fleet in one process.
pub struct Fleet {
    outside: Arc<Outside>,
    runtime: Option<Runtime>,
    members: Vec<FleetMember>,
    /// The configuration as the notes so far declare it.
    config: Config,
    http: reqwest::Client,
}

struct FleetMember {
    settings: Settings,
    instance: Option<Instance>,
}

impl Fleet {
    /// Starts the instances of `deployment` and puts its configuration in force by a note.
    ///
    /// # Errors
    ///
    /// Any [`FleetError`].
    pub async fn start(deployment: &Deployment, outside: Arc<Outside>) -> Result<Self, FleetError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name(FLEET_THREADS)
            .enable_all()
            .build()
            .context(ThreadsSnafu)?;
        let mut fleet = Self {
            outside,
            runtime: Some(runtime),
            members: Vec::new(),
            config: Config::default(),
            http: client(),
        };
        for place in 0..deployment.instances {
            let centre = &deployment.centres[place % deployment.centres.len()];
            let settings = fleet.settings(place, centre);
            fleet.members.push(FleetMember {
                settings,
                instance: None,
            });
            fleet.start_member(place).await?;
        }
        let declared = deployment.config(&fleet.outside.addresses());
        fleet.declare("first configuration", declared).await?;
        for place in 0..fleet.members.len() {
            fleet.wait_ready(place).await?;
        }
        let owned = tokio::time::timeout(READY, fleet.wait_owned()).await;
        owned.ok().context(UnownedSnafu)?;
        Ok(fleet)
    }

    /// Callers' addresses of the instances that run.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let running = self.instances();
        running.map(|i| i.addresses().callers).collect()
    }

    /// Operators' addresses of the instances that run.
    #[must_use]
    pub fn operators(&self) -> Vec<SocketAddr> {
        let running = self.instances();
        running.map(|i| i.addresses().operators).collect()
    }

    /// The instances that run.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.members.iter().filter_map(|m| m.instance.as_ref())
    }

    /// The configuration as the notes so far declare it.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Status of every instance that runs.
    pub async fn status(&self) -> Vec<InstanceStatus> {
        let mut all = Vec::new();
        for instance in self.instances() {
            all.push(instance.status().await);
        }
        all
    }

    /// Takes a data centre out by a note, or brings it back.
    ///
    /// # Errors
    ///
    /// [`FleetError::Operator`] or [`FleetError::Note`].
    pub async fn set_centre(&mut self, centre: &CentreName, out: bool) -> Result<(), FleetError> {
        let mut declared = self.config.clone();
        if let Some(centre) = declared.centres.get_mut(centre) {
            centre.out = out;
        }
        let what = if out { "take out" } else { "bring back" };
        self.declare(&format!("{what} {centre}"), declared).await
    }

    /// Puts `declared` in force by a note.
    ///
    /// # Errors
    ///
    /// [`FleetError::Operator`] or [`FleetError::Note`].
    pub async fn declare(&mut self, title: &str, mut declared: Config) -> Result<(), FleetError> {
        let note = plan(title, &declared, &self.config);
        self.apply(&note).await?;
        declared.revision.0 = note.base.0 + 1;
        self.config = declared;
        Ok(())
    }

    /// Drains an instance and starts it again at the same addresses with nothing in memory.
    ///
    /// Gives the number of requests that the planned stop cut.
    ///
    /// # Errors
    ///
    /// Any [`FleetError`].
    pub async fn restart(&mut self, place: usize) -> Result<usize, FleetError> {
        let Some(instance) = self.members[place].instance.take() else {
            return Ok(0);
        };
        let addresses = instance.addresses();
        let name = self.members[place].settings.instance.as_str().to_owned();
        self.list(&name, addresses.fleet, InstanceState::Leaving);
        let cut = self.spawn(instance.drain()).await?;
        self.outside.instances.remove(&name);
        self.members[place].settings.listen = Listen {
            callers: addresses.callers,
            operators: addresses.operators,
            fleet: addresses.fleet,
        };
        self.start_member(place).await?;
        self.wait_ready(place).await?;
        Ok(cut)
    }

    /// Drains all instances together.
    ///
    /// # Errors
    ///
    /// [`FleetError::Task`].
    pub async fn stop(mut self) -> Result<(), FleetError> {
        let members = self.members.iter_mut();
        let instances: Vec<Instance> = members.filter_map(|m| m.instance.take()).collect();
        let drains: Vec<_> = instances
            .into_iter()
            .map(|i| self.spawn(i.drain()))
            .collect();
        for drain in drains {
            drain.await?;
        }
        Ok(())
    }

    async fn apply(&self, note: &Note) -> Result<(), FleetError> {
        let Some(at) = self.operators().first().copied() else {
            return Ok(());
        };
        let request = self.http.post(format!("http://{at}/notes"));
        let request = request.bearer_auth(OPERATOR_KEY).json(note);
        let answer = request.send().await.context(OperatorSnafu)?;
        let status = answer.status();
        if status.is_success() {
            return Ok(());
        }
        let text = answer.text().await.context(OperatorSnafu)?;
        NoteSnafu { status, text }.fail()
    }

    fn settings(&self, place: usize, centre: &CentreName) -> Settings {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let seeds = self.members.iter().filter_map(|m| {
            let address = m.instance.as_ref()?.addresses().fleet;
            Some(Peer {
                instance: m.settings.instance.clone(),
                address,
            })
        });
        Settings {
            instance: format!("i{place}").as_str().into(),
            centre: centre.clone(),
            listen: Listen {
                callers: free,
                operators: free,
                fleet: free,
            },
            platform: Platform {
                objects: self.outside.objects.address(),
                instances: self.outside.instances.address(),
            },
            keys: Keys {
                fleet: "key-of-the-whole-fleet".to_owned(),
                operator: key_hash(OPERATOR_KEY),
            },
            seeds: seeds.collect(),
            times: Times::default(),
            limits: Limits::default(),
            entry: EntryLimits::default(),
            log: Log::default(),
        }
    }

    async fn start_member(&mut self, place: usize) -> Result<(), FleetError> {
        let settings = self.members[place].settings.clone();
        let name = settings.instance.clone();
        let started = self.spawn(Instance::start(settings)).await?;
        let instance = started.context(StartSnafu { name: name.clone() })?;
        self.list(
            name.as_str(),
            instance.addresses().fleet,
            InstanceState::Live,
        );
        self.members[place].instance = Some(instance);
        Ok(())
    }

    async fn wait_ready(&self, place: usize) -> Result<(), FleetError> {
        let Some(instance) = &self.members[place].instance else {
            return Ok(());
        };
        let ready = tokio::time::timeout(READY, instance.ready()).await;
        let name = &self.members[place].settings.instance;
        ready
            .ok()
            .ok_or_else(|| FleetError::NotReady { name: name.clone() })
    }

    /// Waits until every instance knows the owner of every cell.
    async fn wait_owned(&self) {
        let cells = self.config.cells().count();
        loop {
            let status = self.status().await;
            if status.iter().all(|s| s.owners.len() >= cells) {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn list(&self, name: &str, address: SocketAddr, state: InstanceState) {
        self.outside.instances.put(Listed {
            name: name.to_owned(),
            address,
            state,
        });
    }

    /// Runs a task on the fleet's threads.
    fn spawn<F>(&self, task: F) -> BoxFuture<'static, Result<F::Output, FleetError>>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        let runtime = self.runtime.as_ref().expect("it is taken on drop only");
        let handle = runtime.spawn(task);
        async move { handle.await.context(TaskSnafu) }.boxed()
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .timeout(OPERATOR)
        .build()
        .expect("an HTTP client without TLS needs no system resources")
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
