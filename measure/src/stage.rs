//! What is measured: the outside of a deployment with the fleet or a baseline before it.

use std::net::SocketAddr;
use std::sync::Arc;

use cornelstand::{
    AccountLoad, AccountName, AccountSize, Arrival, CHAT, CallKind, CentreName, Check, Config,
    Deployment, Fleet, LoadResult, Outside, Sample, Sampler, Source, Through, Workload, run_load,
    whole,
};
use stand_ins::{Overload, call_digest, digest, text};
use tokio::time::Instant;

use crate::baseline::{Policy, Router};
use crate::report::Variant;

/// What the stand-ins answer.
pub(crate) const CHECK: Check = Check {
    chat: |prompt, tokens| text(digest(prompt), tokens),
    plain: call_digest,
};
/// Mean tokens of an answer.
pub(crate) const TOKENS: u64 = 40;
/// Bytes of a prompt.
pub(crate) const PROMPT: usize = 200;
/// Milliseconds that answers may take after the last arrival.
pub(crate) const SETTLE: u64 = 8_000;

/// Error of setting up or running a scenario.
pub(crate) type Error = snafu::Whatever;

/// The outside of a deployment with what is measured before it.
pub(crate) struct Stage {
    pub(crate) deployment: Deployment,
    pub(crate) outside: Arc<Outside>,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) fleet: Option<Fleet>,
    routers: Vec<Router>,
}

/// What came of a workload.
pub(crate) struct Run {
    pub(crate) result: LoadResult,
    pub(crate) samples: Vec<Sample>,
}

impl Stage {
    /// Starts `variant` before new stand-ins.
    ///
    /// Baselines have endpoints that are warm from the start and refuse what they don't bear, as
    /// they know of no cold ones and would be down all the time otherwise.
    pub(crate) async fn start(deployment: &Deployment, variant: Variant) -> Result<Self, Error> {
        let is_warm = variant != Variant::Fleet;
        let overload = if is_warm {
            Overload::Refuse
        } else {
            Overload::Fall
        };
        let outside =
            Outside::start(deployment, is_warm, overload).map_err(|e| whatever("stand-ins", &e))?;
        let config = deployment.config(&outside.addresses());
        let outside = Arc::new(outside);
        let routers = routers(deployment, &config, variant).await?;
        let mut addresses: Vec<SocketAddr> = routers.iter().map(|r| r.address).collect();
        let mut fleet = None;
        if variant == Variant::Fleet {
            let started = Fleet::start(deployment, outside.clone()).await;
            let started = started.map_err(|e| whatever("fleet", &e))?;
            addresses = started.callers();
            fleet = Some(started);
        }
        Ok(Self {
            deployment: deployment.clone(),
            outside,
            addresses,
            fleet,
            routers,
        })
    }

    /// Sends a workload and samples the endpoints meanwhile.
    pub(crate) async fn run(&self, workload: &Workload) -> Run {
        let sampler = Sampler::start(self.outside.clone(), Instant::now());
        let result = run_load(workload, Some(CHECK)).await;
        Run {
            result,
            samples: sampler.end(),
        }
    }

    /// Tells by its place whether an endpoint is a model engine.
    pub(crate) fn is_model(&self, place: usize) -> bool {
        let models = &self.deployment.models().name;
        self.outside
            .endpoints
            .get(place)
            .is_some_and(|e| e.service == *models)
    }

    /// Tokens a second that `engines` warm and full engines give.
    pub(crate) fn capacity(&self, engines: usize) -> f64 {
        let models = self.deployment.models();
        let engines = u64::try_from(engines).unwrap_or_default();
        models.pace.rate(models.bearing.warm) * whole(engines)
    }

    /// Stops everything.
    pub(crate) async fn stop(self) -> Result<(), Error> {
        match self.fleet {
            Some(fleet) => fleet.stop().await.map_err(|e| whatever("fleet", &e)),
            None => Ok(()),
        }
    }

    /// Takes a data centre out, or brings it back.
    pub(crate) async fn set_centre(&mut self, centre: &CentreName, out: bool) -> Result<(), Error> {
        if let Some(fleet) = &mut self.fleet {
            let set = fleet.set_centre(centre, out).await;
            return set.map_err(|e| whatever("note", &e));
        }
        let endpoints = self.outside.endpoints.iter();
        let there = endpoints.filter(|e| e.centre == *centre);
        let addresses: Vec<SocketAddr> = there.map(cornelstand::Replica::address).collect();
        for router in &self.routers {
            router.set_out(&addresses, out);
        }
        Ok(())
    }

    /// Tells by its place whether an endpoint is a model engine in `centre`.
    pub(crate) fn is_model_in(&self, place: usize, centre: &CentreName) -> bool {
        self.is_model(place) && self.outside.endpoints[place].centre == *centre
    }

    /// Requests that came beyond what an endpoint bore.
    pub(crate) fn above(&self) -> u64 {
        self.outside.readings().iter().map(|r| r.above).sum()
    }
}

/// An error with a text only.
pub(crate) fn whatever(what: &str, error: &dyn std::error::Error) -> Error {
    snafu::FromString::without_source(format!("{what}: {error}"))
}

async fn routers(
    deployment: &Deployment,
    config: &Config,
    variant: Variant,
) -> Result<Vec<Router>, Error> {
    let number = u32::try_from(deployment.instances).unwrap_or(u32::MAX);
    let warm = deployment.models().bearing.warm;
    let policy = match variant {
        Variant::LeastLoaded => Policy::LeastLoaded,
        Variant::FairSplit => Policy::FairSplit {
            slots: (warm / number).max(1),
        },
        Variant::Fleet | Variant::Direct => return Ok(Vec::new()),
    };
    let keys: Vec<(AccountName, String)> = deployment
        .accounts
        .iter()
        .map(|a| (a.name.clone(), a.key.clone()))
        .collect();
    let mut routers = Vec::new();
    for _ in 0..deployment.instances {
        let router = Router::start(config, &keys, policy).await;
        routers.push(router.map_err(|e| whatever("router", &e))?);
    }
    Ok(routers)
}

/// A workload without accounts.
pub(crate) fn workload(stage: &Stage, seed: u64, seconds: u64) -> Workload {
    Workload {
        seed,
        length: seconds * 1_000,
        settle: SETTLE,
        instances: stage.addresses.clone(),
        accounts: Vec::new(),
    }
}

/// An account with its sources.
pub(crate) fn account(size: &AccountSize, through: Through, sources: Vec<Source>) -> AccountLoad {
    AccountLoad {
        account: size.name.clone(),
        key: size.key.clone(),
        share: size.share,
        through,
        sources,
    }
}

/// Interactive chat calls to the model service.
pub(crate) fn chat(deployment: &Deployment, label: &str, arrival: Arrival) -> Source {
    Source {
        label: label.to_owned(),
        service: deployment.models().name.clone(),
        path: CHAT.to_owned(),
        call: CallKind::Chat {
            tokens: TOKENS,
            prompt: PROMPT,
            hint: true,
        },
        arrival,
        after: 0,
        until: None,
        seed: None,
        deadline: None,
    }
}

/// Calls at a time with which an account always has some waiting: twice its part of all slots.
pub(crate) fn backlog(deployment: &Deployment, size: &AccountSize) -> Arrival {
    let models = deployment.models();
    let replicas = u32::try_from(models.replicas).unwrap_or(u32::MAX);
    let slots = models.bearing.warm * replicas;
    Arrival::Backlog(slots * size.share * 2 / deployment.shares() + 4)
}

/// Calls a second that are an account's part of what all warm engines give.
pub(crate) fn fair_rate(deployment: &Deployment, size: &AccountSize) -> f64 {
    let models = deployment.models();
    let replicas = u64::try_from(models.replicas).unwrap_or_default();
    let tokens = models.pace.rate(models.bearing.warm) * whole(replicas);
    let part = f64::from(size.share) / f64::from(deployment.shares());
    tokens * part / whole(TOKENS)
}
