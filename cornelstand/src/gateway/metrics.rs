//! Prometheus metrics of a gateway, with handles registered once at start.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Buckets of latency histograms, in seconds, around the latency objectives of 0.1 to 0.8 s.
const LATENCY_BUCKETS: [f64; 13] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0,
];

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
    /// Answers by what they tell of their endpoint's load.
    pub(crate) load_reports: IntCounterVec,
    pub(crate) connections: IntGauge,
    pub(crate) waiting: IntGauge,
    pub(crate) version: IntGauge,
    pub(crate) peers: IntGauge,
    pub(crate) queue_time: Histogram,
    pub(crate) first_time: Histogram,
    pub(crate) total_time: Histogram,
    /// Lag of the process's timers.
    pub(crate) lag: Histogram,
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is registered twice.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        Ok(Self {
            requests: counter("cornelstand_requests_total", "Requests read")?,
            outcomes: counters(
                "cornelstand_outcomes_total",
                "Requests by outcome",
                "outcome",
            )?,
            retries: counter("cornelstand_repeats_total", "Requests sent once more")?,
            lost_responses: counter("cornelstand_losses_total", "Answers that broke off")?,
            store_calls: counters(
                "cornelstand_store_calls_total",
                "Calls to the store",
                "result",
            )?,
            heartbeats: counter("cornelstand_beats_total", "Beats of peers taken in")?,
            suspicions: counters(
                "cornelstand_suspicions_total",
                "Changes of what is held against requests",
                "source",
            )?,
            unsent: counter(
                "cornelstand_suspicions_untold_total",
                "Recent suspicions that a message had no room for",
            )?,
            load_reports: counters(
                "cornelstand_load_reports_total",
                "Answers by what they tell of their endpoint's load",
                "result",
            )?,
            connections: gauge("cornelstand_connections", "Open connections of callers")?,
            waiting: gauge("cornelstand_waiting", "Requests that wait for a place")?,
            version: gauge("cornelstand_config_version", "Configuration in force")?,
            peers: gauge(
                "cornelstand_peers",
                "Peers that are known, silent ones included",
            )?,
            queue_time: histogram("cornelstand_queue_seconds", "Time until a place was found")?,
            first_time: histogram("cornelstand_first_seconds", "Time until the answer began")?,
            total_time: histogram("cornelstand_whole_seconds", "Time until the answer ended")?,
            lag: histogram(
                "cornelstand_lag_seconds",
                "Lateness of the process's own timers",
            )?,
            registry,
        })
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
