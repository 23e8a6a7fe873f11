//! Prometheus metrics of a gateway, with handles registered once at start.

use derive_more::Display;
use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Buckets of latency histograms, in seconds, around the latency objectives of 0.1 to 0.8 s.
const LATENCY_BUCKETS: [f64; 13] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0,
];

/// A limit on what callers may have an instance hold.
#[derive(Clone, Copy, Debug, Display)]
pub(crate) enum Limit {
    /// Connections of callers.
    #[display("connections")]
    Connections,
    /// Bytes that are counted in the account.
    #[display("held_bytes")]
    HeldBytes,
    /// Time for a caller to read a piece of its response.
    #[display("reading_pace")]
    ReadingPace,
}

/// Handles of all metrics.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    pub(crate) requests: IntCounter,
    pub(crate) outcomes: IntCounterVec,
    pub(crate) retries: IntCounter,
    pub(crate) lost_responses: IntCounter,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) heartbeats: IntCounter,
    /// Changes to the crash suspicions against requests, by source.
    pub(crate) suspicions: IntCounterVec,
    /// Recent suspicions that did not fit into a message.
    pub(crate) unsent: IntCounter,
    /// Status writes of roll-outs, by result.
    pub(crate) rollout_writes: IntCounterVec,
    /// Requests sent while a roll-out runs, by side.
    pub(crate) rollout_sends: IntCounterVec,
    /// Requests and connections that ended at a limit, by limit.
    limits: IntCounterVec,
    /// Answers by what they tell of their endpoint's load.
    pub(crate) load_reports: IntCounterVec,
    pub(crate) connections: IntGauge,
    pub(crate) waiting: IntGauge,
    pub(crate) version: IntGauge,
    pub(crate) peers: IntGauge,
    /// Hand-overs of connections, by result.
    pub(crate) handovers: IntCounterVec,
    /// Connections of callers that neighbours serve.
    pub(crate) handed_over: IntGauge,
    /// Connections that are served for neighbours.
    pub(crate) taken: IntGauge,
    /// Share of the time in which the process does not wait for events.
    pub(crate) processor: Gauge,
    pub(crate) queue_time: Histogram,
    pub(crate) first_time: Histogram,
    pub(crate) total_time: Histogram,
    /// Lag of the process's timers.
    pub(crate) lag: Histogram,
}

/// Registers metrics as it creates them.
struct MetricRegistry(Registry);

impl MetricRegistry {
    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        self.register(IntCounter::new(name, help)?)
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<IntCounterVec, prometheus::Error> {
        self.register(IntCounterVec::new(Opts::new(name, help), &[label])?)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        self.register(IntGauge::new(name, help)?)
    }

    fn share(&self, name: &str, help: &str) -> Result<Gauge, prometheus::Error> {
        self.register(Gauge::new(name, help)?)
    }

    fn histogram(&self, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
        self.register(Histogram::with_opts(options)?)
    }

    fn register<M: Collector + Clone + 'static>(&self, metric: M) -> Result<M, prometheus::Error> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is registered twice.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = MetricRegistry(Registry::new());
        Ok(Self {
            requests: registry.counter("cornelstand_requests_total", "Requests read")?,
            outcomes: registry.counters(
                "cornelstand_outcomes_total",
                "Requests by outcome",
                "outcome",
            )?,
            retries: registry.counter("cornelstand_repeats_total", "Requests sent once more")?,
            lost_responses: registry.counter("cornelstand_losses_total", "Answers that broke off")?,
            store_calls: registry.counters(
                "cornelstand_store_calls_total",
                "Calls to the store",
                "result",
            )?,
            heartbeats: registry.counter("cornelstand_beats_total", "Beats of peers taken in")?,
            suspicions: registry.counters(
                "cornelstand_suspicions_total",
                "Changes of what is held against requests",
                "source",
            )?,
            unsent: registry.counter(
                "cornelstand_suspicions_untold_total",
                "Recent suspicions that a message had no room for",
            )?,
            rollout_writes: registry.counters(
                "cornelstand_rollout_writes_total",
                "Status writes of roll-outs",
                "result",
            )?,
            rollout_sends: registry.counters(
                "cornelstand_rollout_sends_total",
                "Requests sent to the target of a roll-out, withheld from it, or sent to other versions",
                "side",
            )?,
            limits: registry.counters(
                "cornelstand_limits_total",
                "Requests and connections that ended at a limit",
                "limit",
            )?,
            load_reports: registry.counters(
                "cornelstand_load_reports_total",
                "Answers by what they tell of their endpoint's load",
                "result",
            )?,
            connections: registry.gauge("cornelstand_connections", "Open connections of callers")?,
            waiting: registry.gauge("cornelstand_waiting", "Requests that wait for a place")?,
            version: registry.gauge("cornelstand_config_version", "Configuration in force")?,
            peers: registry.gauge(
                "cornelstand_peers",
                "Peers that are known, silent ones included",
            )?,
            handovers: registry.counters(
                "cornelstand_handovers_total",
                "Hand-overs of connections",
                "result",
            )?,
            handed_over: registry.gauge(
                "cornelstand_handed_over",
                "Connections of callers that neighbours serve",
            )?,
            taken: registry.gauge(
                "cornelstand_taken",
                "Connections that are served for neighbours",
            )?,
            processor: registry.share(
                "cornelstand_processor_share",
                "Share of the time in which the process did not wait for events",
            )?,
            queue_time: registry.histogram("cornelstand_queue_seconds", "Time until a place was found")?,
            first_time: registry.histogram("cornelstand_first_seconds", "Time until the answer began")?,
            total_time: registry.histogram("cornelstand_whole_seconds", "Time until the answer ended")?,
            lag: registry.histogram(
                "cornelstand_lag_seconds",
                "Lateness of the process's own timers",
            )?,
            registry: registry.0,
        })
    }

    /// Counts a request or connection that ended at `limit`.
    pub(crate) fn note_limit(&self, limit: Limit) {
        self.limits.with_label_values(&[&limit.to_string()]).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub(crate) fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
