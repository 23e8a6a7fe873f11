//! Containment of requests that crash endpoints, around the state machine of `suspect`.
//!
//! What an instance learns is made known to its peers before the caller hears of it, so that the
//! request is known wherever the caller sends it again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::time::{sleep, timeout};

use crate::call::Call;
use crate::caller::{Caller, Gone};
use crate::deliver::Leg;
use crate::entry_core::Core;
use crate::flight::Flight;
use crate::name::{BootId, EndpointName, Fingerprint};
use crate::suspect::{Crash, Standing, Suspicion, TrialPhase};

/// Longest wait for the peers to take a suspicion in.
const SPREAD: Duration = Duration::from_millis(500);
/// Pause before a request asks again whether its trial may begin.
const TURN: Duration = Duration::from_millis(50);
/// Longest of these pauses, which double.
const MAX_TURN: Duration = Duration::from_secs(1);
/// Longest wait for an endpoint to say whether it has started again.
const PROBE: Duration = Duration::from_millis(500);

/// Tells all peers of a suspicion and returns what they know about the same request, as soon as
/// all have answered or are found to be away.
pub type SpreadCall = Arc<dyn Fn(Suspicion) -> BoxFuture<'static, Vec<Suspicion>> + Send + Sync>;

/// What a request may do.
pub(crate) enum Clearance {
    Go,
    Refused(Duration),
    Late,
}

impl Call {
    /// Waits until nothing speaks against an attempt, or a trial may begin.
    pub(crate) async fn clearance(&mut self, caller: &mut Caller) -> Result<Clearance, Gone> {
        let mut pause = TURN;
        loop {
            let now = self.core.clock.now();
            let standing = self.core.suspects().check(now, self.fingerprint);
            match standing {
                Standing::Clear => return Ok(Clearance::Go),
                Standing::Refused(left) => return Ok(Clearance::Refused(left)),
                Standing::Suspect if now >= self.deadline => return Ok(Clearance::Late),
                Standing::Suspect => {}
            }
            if self.begin_trial().await {
                return Ok(Clearance::Go);
            }
            tokio::select! {
                () = sleep(pause) => {}
                () = caller.gone() => return Err(Gone),
            }
            pause = (pause * 2).min(MAX_TURN);
        }
    }

    async fn begin_trial(&mut self) -> bool {
        let core = self.core.clone();
        let request = self.fingerprint;
        if !core
            .suspects()
            .request_trial(core.clock.now(), request, &core.name)
        {
            return false;
        }
        self.trial = Some(TrialGuard {
            core: core.clone(),
            request,
            endpoint: None,
        });
        core.spread(request).await;
        let now = core.clock.now();
        let mut suspects = core.suspects();
        let is_free = suspects.may_begin(now, request, &core.name);
        if is_free && suspects.check(now, request).is_suspect() {
            suspects.set_phase(now, request, &core.name, TrialPhase::Running);
            return true;
        }
        drop(suspects);
        self.trial = None;
        false
    }

    /// Takes the granted endpoint for the trial, if the request is on trial. Two trials of this
    /// entry at one endpoint would make a crash count against both.
    pub(crate) fn place_trial(&mut self, flight: &Flight) -> bool {
        let Some(trial) = &mut self.trial else {
            return true;
        };
        let endpoint = &flight.grant().endpoint;
        let is_free = self.core.trials().insert(endpoint.clone());
        if is_free {
            trial.endpoint = Some(endpoint.clone());
        }
        is_free
    }

    /// Finds out whether an attempt was lost because its endpoint crashed, and if so makes it
    /// known before anything else happens with the request.
    pub(crate) async fn examine(&self, leg: &Leg) {
        let before = leg.flight.boot_before();
        if !self.core.has_crashed(leg.address, before).await {
            return;
        }
        let endpoint = leg.flight.grant().endpoint.clone();
        self.record("endpoint-crashed", endpoint.as_str());
        let crash = Crash {
            endpoint,
            boot: before,
        };
        let now = self.core.clock.now();
        self.core.metrics.crashes.inc();
        self.core
            .suspects()
            .record_crash(now, self.fingerprint, crash);
        self.core.spread(self.fingerprint).await;
    }

    /// Takes in a whole answer, which may clear the request.
    pub(crate) fn note_answer(&self, status: u16) {
        let now = self.core.clock.now();
        self.core
            .suspects()
            .record_answer(now, self.fingerprint, status);
    }
}

impl Core {
    /// Tells the peers what is known about `request`, and takes in what they know.
    async fn spread(&self, request: Fingerprint) {
        let told = self.suspects().suspicion(self.clock.now(), request);
        let Some(told) = told else {
            return;
        };
        let views = timeout(SPREAD, (self.spread)(told)).await;
        self.learn(views.unwrap_or_default());
    }

    /// Takes in what other instances know.
    pub(crate) fn learn(&self, told: Vec<Suspicion>) {
        let now = self.clock.now();
        let mut suspects = self.suspects();
        for suspicion in told {
            suspects.merge(now, suspicion);
        }
    }

    /// Tells whether an endpoint is down, or has started again since it showed `before`.
    async fn has_crashed(&self, address: SocketAddr, before: Option<BootId>) -> bool {
        match timeout(PROBE, self.upstreams.boot(address)).await {
            Ok(Ok(boot)) => boot != before,
            Ok(Err(error)) => error.is_connect(),
            Err(_) => false,
        }
    }
}

/// The trial of a request, which ends with it.
pub(crate) struct TrialGuard {
    core: Arc<Core>,
    request: Fingerprint,
    endpoint: Option<EndpointName>,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        let name = &self.core.name;
        let mut suspects = self.core.suspects();
        suspects.set_phase(now, self.request, name, TrialPhase::Ended);
        drop(suspects);
        if let Some(endpoint) = &self.endpoint {
            self.core.trials().remove(endpoint);
        }
    }
}
