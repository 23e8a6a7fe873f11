//! The stand-ins of a deployment, and samples of what its endpoints do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stand_ins::{
    Engine, EngineSettings, InstanceList, InstanceSettings, ObjectApi, ObjectSettings, Overload,
    PlainService, PlainSettings, StartError,
};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::config::Kind;
use crate::deployment::{Deployment, PLAIN_CALL, ServiceSize};
use crate::name::{CentreName, EndpointName, ServiceName};

/// Time between samples of the endpoints.
pub const SAMPLE: Duration = Duration::from_millis(250);

/// The stand-ins of a deployment.
#[derive(Debug)]
pub struct Outside {
    /// The object API.
    pub objects: ObjectApi,
    /// The instance list.
    pub instances: InstanceList,
    /// The endpoints.
    pub endpoints: Vec<Replica>,
}

/// An endpoint of a deployment.
#[derive(Debug)]
pub struct Replica {
    /// Its name.
    pub name: EndpointName,
    /// Its service.
    pub service: ServiceName,
    /// Its data centre.
    pub centre: CentreName,
    /// What stands in for it.
    pub fake: Fake,
}

/// What stands in for an endpoint.
#[derive(Debug)]
pub enum Fake {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain(PlainService),
}

/// What an endpoint has done until a moment.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reading {
    /// Requests that run.
    pub running: u32,
    /// Requests at once that it bears.
    pub bears: u32,
    /// Requests that ran.
    pub runs: u64,
    /// Requests that came beyond what it bore.
    pub above: u64,
    /// Crashes.
    pub crashes: u64,
    /// Tokens made, or milliseconds of slots used.
    pub service: u64,
    /// Slot time used, in microseconds.
    pub busy: u64,
    /// Slot time borne, in microseconds.
    pub borne: u64,
}

/// Readings of all endpoints at one moment, in the order of [`Outside::endpoints`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// Time since the start of the samples.
    pub at: Duration,
    /// The readings.
    pub readings: Vec<Reading>,
}

impl Outside {
    /// Starts all stand-ins of `deployment`. Endpoints are warm if `is_warm`.
    ///
    /// # Errors
    ///
    /// If one cannot listen or start its thread.
    pub fn start(
        deployment: &Deployment,
        is_warm: bool,
        overload: Overload,
    ) -> Result<Self, StartError> {
        let endpoints = deployment.services.iter().flat_map(|service| {
            let replicas = deployment.replicas(service);
            replicas
                .map(move |(name, centre)| Replica::start(service, name, centre, is_warm, overload))
        });
        Ok(Self {
            objects: ObjectApi::start(ObjectSettings::default())?,
            instances: InstanceList::start(InstanceSettings::default())?,
            endpoints: endpoints.collect::<Result<_, _>>()?,
        })
    }

    /// Where the endpoints listen.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<EndpointName, SocketAddr> {
        let endpoints = self.endpoints.iter();
        endpoints.map(|e| (e.name.clone(), e.address())).collect()
    }

    /// Reads all endpoints.
    #[must_use]
    pub fn readings(&self) -> Vec<Reading> {
        self.endpoints.iter().map(Replica::reading).collect()
    }

    /// Runs of an attempt identity at all endpoints.
    #[must_use]
    pub fn runs(&self, attempt: &str) -> u64 {
        self.endpoints.iter().map(|e| e.runs(attempt)).sum()
    }
}

impl Replica {
    fn start(
        size: &ServiceSize,
        name: EndpointName,
        centre: CentreName,
        is_warm: bool,
        overload: Overload,
    ) -> Result<Self, StartError> {
        let fake = match size.kind {
            Kind::Model => Fake::Engine(Engine::start(EngineSettings {
                bearing: size.bearing,
                pace: size.pace,
                overload,
                is_warm,
                ..EngineSettings::default()
            })?),
            Kind::Plain => Fake::Plain(PlainService::start(PlainSettings {
                bearing: size.bearing,
                call: PLAIN_CALL,
                overload,
                is_warm,
                ..PlainSettings::default()
            })?),
        };
        Ok(Self {
            name,
            service: size.name.clone(),
            centre,
            fake,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        match &self.fake {
            Fake::Engine(engine) => engine.address(),
            Fake::Plain(service) => service.address(),
        }
    }

    /// What it has done so far.
    #[must_use]
    pub fn reading(&self) -> Reading {
        match &self.fake {
            Fake::Engine(engine) => {
                let counts = engine.counts();
                Reading {
                    running: counts.running,
                    bears: counts.bears,
                    runs: counts.runs,
                    above: counts.above,
                    crashes: counts.crashes,
                    service: counts.tokens,
                    busy: counts.busy,
                    borne: counts.borne,
                }
            }
            Fake::Plain(service) => {
                let counts = service.counts();
                Reading {
                    running: counts.running,
                    bears: counts.bears,
                    runs: counts.runs,
                    above: counts.above,
                    crashes: counts.crashes,
                    service: counts.answers * PLAIN_CALL,
                    busy: counts.busy,
                    borne: counts.borne,
                }
            }
        }
    }

    /// Runs of an attempt identity.
    #[must_use]
    pub fn runs(&self, attempt: &str) -> u64 {
        match &self.fake {
            Fake::Engine(engine) => engine.runs(attempt),
            Fake::Plain(service) => service.runs_of(attempt),
        }
    }
}

/// Samples the endpoints until it is ended.
#[derive(Debug)]
pub struct Sampler {
    task: JoinHandle<()>,
    samples: Arc<Mutex<Vec<Sample>>>,
}

impl Sampler {
    /// Starts sampling; `start` is the zero of the samples' times.
    #[must_use]
    pub fn start(outside: Arc<Outside>, start: Instant) -> Self {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let taken = samples.clone();
        let task = tokio::spawn(async move {
            let mut ticks = interval(SAMPLE);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                let sample = Sample {
                    at: start.elapsed(),
                    readings: outside.readings(),
                };
                let mut samples = taken.lock().unwrap_or_else(PoisonError::into_inner);
                samples.push(sample);
            }
        });
        Self { task, samples }
    }

    /// Ends sampling and gives the samples.
    #[must_use]
    pub fn end(self) -> Vec<Sample> {
        self.task.abort();
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut samples)
    }
}
