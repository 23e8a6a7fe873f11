//! Containment of requests that crash endpoints, based on the state machine in `suspect`.
//!
//! An instance shares a suspicion with its peers before it answers the caller, so that every
//! instance recognizes the request if the caller sends it again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::time::{sleep, timeout};

use crate::call::Call;
use crate::caller::{Caller, Interrupt};
use crate::deliver::Leg;
use crate::entry_core::Core;
use crate::flight::Flight;
use crate::name::{BootId, EndpointName, Fingerprint};
use crate::suspect::{Crash, Standing, Suspicion, TrialPhase};

/// Timeout for sharing a suspicion with the peers.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Initial backoff before a request checks again whether its trial may begin.
const TRIAL_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Maximum of this backoff, which doubles.
const TRIAL_BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Timeout for asking an endpoint whether it has restarted.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Shares a suspicion with all peers and returns what they know about the same request, once
/// each has answered or is found to be unreachable.
pub type SpreadCall = Arc<dyn Fn(Suspicion) -> BoxFuture<'static, Vec<Suspicion>> + Send + Sync>;

/// Result of the containment check of a request.
pub(crate) enum Clearance {
    Allowed,
    Refused(Duration),
    DeadlinePassed,
}

impl Call {
    /// Waits until the request is clear of suspicion, or its trial may begin.
    pub(crate) async fn clearance(&mut self, caller: &mut Caller) -> Result<Clearance, Interrupt> {
        let mut backoff = TRIAL_BACKOFF_MIN;
        loop {
            let now = self.core.clock.now();
            let standing = self.core.suspects().check(now, self.fingerprint);
            match standing {
                Standing::Clear => return Ok(Clearance::Allowed),
                Standing::Refused(left) => return Ok(Clearance::Refused(left)),
                Standing::Suspect if now >= self.deadline => return Ok(Clearance::DeadlinePassed),
                Standing::Suspect => {}
            }
            if self.begin_trial().await {
                return Ok(Clearance::Allowed);
            }
            tokio::select! {
                () = sleep(backoff) => {}
                why = self.interrupted(caller) => return Err(why),
            }
            backoff = (backoff * 2).min(TRIAL_BACKOFF_MAX);
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

    /// Reserves the granted endpoint if the request is on trial. Fails if another trial of this
    /// entry holds it, as a crash would count against both.
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

    /// Checks whether an attempt was lost because its endpoint crashed, and if so shares the crash
    /// with the peers before the request goes on.
    pub(crate) async fn check_crash(&self, leg: &Leg) {
        let last_boot = leg.flight.last_boot();
        if !self.core.has_crashed(leg.address, last_boot).await {
            return;
        }
        let endpoint = leg.flight.grant().endpoint.clone();
        self.record("endpoint-crashed", endpoint.as_str());
        let crash = Crash {
            endpoint,
            boot: last_boot,
        };
        let now = self.core.clock.now();
        self.core.metrics.crashes.inc();
        self.core
            .suspects()
            .record_crash(now, self.fingerprint, crash);
        self.core.spread(self.fingerprint).await;
    }

    /// Records a complete answer, which may clear the request.
    pub(crate) fn note_answer(&self, status: u16) {
        let now = self.core.clock.now();
        self.core
            .suspects()
            .record_answer(now, self.fingerprint, status);
    }
}

impl Core {
    /// Shares what is known about `request` with the peers, and merges what they know.
    async fn spread(&self, request: Fingerprint) {
        let suspicion = self.suspects().suspicion(self.clock.now(), request);
        let Some(suspicion) = suspicion else {
            return;
        };
        let views = timeout(SPREAD_TIMEOUT, (self.spread)(suspicion)).await;
        self.merge_suspicions(views.unwrap_or_default());
    }

    /// Merges suspicions from other instances.
    pub(crate) fn merge_suspicions(&self, suspicions: Vec<Suspicion>) {
        let now = self.clock.now();
        let mut suspects = self.suspects();
        for suspicion in suspicions {
            suspects.merge(now, suspicion);
        }
    }

    /// Whether an endpoint is down, or has restarted since it had the boot identity `before`.
    async fn has_crashed(&self, address: SocketAddr, before: Option<BootId>) -> bool {
        match timeout(PROBE_TIMEOUT, self.upstreams.boot(address)).await {
            Ok(Ok(boot)) => boot != before,
            Ok(Err(error)) => error.is_connect(),
            Err(_) => false,
        }
    }
}

/// Guard of a trial. Dropping it ends the trial and releases its endpoint.
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
