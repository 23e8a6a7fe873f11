//! Metrics of an entry.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of an entry, registered once.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Requests by result: `answered`, `replayed`, `cut`, `gone` or a refusal's outcome.
    pub(crate) requests: IntCounterVec,
    /// Refusals by kind of problem.
    pub(crate) refusals: IntCounterVec,
    /// Attempts by ending.
    pub(crate) attempts: IntCounterVec,
    /// Retries by reason: `crossed`, `withdrawn`, `paused`, `unconnected`, `lost` or `overloaded`.
    pub(crate) retries: IntCounterVec,
    /// Retries of lost attempts denied by the retry budgets.
    pub(crate) retries_denied: IntCounter,
    /// Claims by settlement: `recorded`, `released`, `unknown` or `unsettled`.
    pub(crate) claims: IntCounterVec,
    /// Stream resumptions by result: `resumed`, `unknown`, `down` or `failed`.
    pub(crate) resumes: IntCounterVec,
    /// Attempts lost because the endpoint crashed.
    pub(crate) crashes: IntCounter,
    /// Answers that belong to another attempt.
    pub(crate) foreign_answers: IntCounter,
    /// Connection pools replaced.
    pub(crate) pools_replaced: IntCounter,
    /// Answers cut because the caller read too slowly or found no room, by limit.
    pub(crate) limits: IntCounterVec,
    /// Pauses of the process.
    pub(crate) pauses: IntCounter,
    /// Open requests.
    pub(crate) open: IntGauge,
    /// Requests waiting for an endpoint.
    pub(crate) waiting: IntGauge,
    /// Open caller connections.
    pub(crate) connections: IntGauge,
}

impl EntryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// If `registry` already has metrics of the same names.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let vec = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        Ok(Self {
            requests: vec("entry_requests_total", "Requests by result", "result")?,
            refusals: vec(
                "entry_refusals_total",
                "Refusals by kind of problem",
                "kind",
            )?,
            attempts: vec("entry_attempts_total", "Attempts by ending", "ending")?,
            retries: vec(
                "entry_retries_total",
                "Further attempts by reason",
                "reason",
            )?,
            retries_denied: counter("entry_retries_refused_total", "Retries beyond the budgets")?,
            claims: vec(
                "entry_claims_total",
                "Claims by how they were settled",
                "result",
            )?,
            resumes: vec("entry_resumes_total", "Resumed streams by result", "result")?,
            crashes: counter("entry_crashes_total", "Attempts lost to a crash")?,
            foreign_answers: counter("entry_foreign_answers_total", "Answers of other attempts")?,
            pools_replaced: counter(
                "entry_pools_replaced_total",
                "Pools of connections replaced",
            )?,
            limits: vec(
                "entry_limits_total",
                "Answers cut at a limit on what callers may have held",
                "limit",
            )?,
            pauses: counter("entry_pauses_total", "Pauses of the process")?,
            open: gauge("entry_requests_open", "Requests accepted and not ended")?,
            waiting: gauge("entry_requests_waiting", "Requests waiting for an endpoint")?,
            connections: gauge("entry_connections", "Connections of callers")?,
        })
    }
}
