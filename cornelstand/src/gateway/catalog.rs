//! Active configuration: routes, services, limits, client accounts and their keys.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::IsVariant;
use serde::{Deserialize, Serialize};

use crate::name::{AccountName, ServiceName};

/// How requests of a route may be retried and are answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RouteKind {
    /// Idempotent calls, which may run more than once.
    Idempotent,
    /// Calls that may run at most once.
    Once,
    /// Requests answered by a stream of events.
    Stream,
}

/// A route: which requests it matches and how they are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct GatewayRoute {
    pub(crate) name: String,
    pub(crate) host: String,
    /// Path prefix, with a slash at both ends.
    pub(crate) prefix: String,
    pub(crate) kind: RouteKind,
    /// Whether another endpoint may resume a stream.
    pub(crate) resumable: bool,
    /// Time limit for the complete response.
    pub(crate) timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub(crate) objective: Duration,
    /// Objective for the longest pause between two events of a stream.
    pub(crate) pause: Duration,
    /// Most times that one request may be sent to an endpoint.
    pub(crate) attempts: u32,
    /// Target services with their weights.
    pub(crate) targets: Vec<(ServiceName, u32)>,
    /// Whether requests need no key.
    pub(crate) public: bool,
}

/// Shortest silence after which callers abandon a stream, according to the platform.
const MIN_SILENCE: Duration = Duration::from_secs(2);
/// The same limit as multiples of the route's latency objective and of its pause objective.
const SILENCE_PER_OBJECTIVE: u32 = 4;
const SILENCE_PER_PAUSE: u32 = 8;

impl GatewayRoute {
    /// Silence after which callers abandon a stream: the largest of the three limits.
    pub(crate) fn silence(&self) -> Duration {
        let objectives = self.objective * SILENCE_PER_OBJECTIVE;
        MIN_SILENCE
            .max(objectives)
            .max(self.pause * SILENCE_PER_PAUSE)
    }

    /// Whether a request that may have run may be sent again.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Selects a target service by weight, for a uniformly distributed `draw` in 0..1.
    pub(crate) fn target(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (service, weight) in &self.targets {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        self.targets.first().map(|(service, _)| service)
    }
}

/// Inference engine of a service that generates tokens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct EngineSpec {
    /// Most requests that run concurrently.
    pub(crate) slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub(crate) memory: f64,
    /// Tokens per stream event.
    pub(crate) stride: u32,
}

/// A service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct GatewayService {
    pub(crate) name: ServiceName,
    /// Most connections that an endpoint accepts in total.
    pub(crate) connections: u32,
    /// Requests per second that a cold endpoint can handle; zero for no limit.
    pub(crate) cold_rate: f64,
    /// Warm-up time of an endpoint after its start.
    pub(crate) cold_time: Duration,
    pub(crate) engine: Option<EngineSpec>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RequestLimits {
    pub(crate) head_bytes: usize,
    pub(crate) body_bytes: usize,
    /// Time limit for a request head, from its first byte.
    pub(crate) head_time: Duration,
    /// Longest idle time between two requests, and between two reads of a body.
    pub(crate) idle_time: Duration,
}

impl Default for RequestLimits {
    /// Limits until a configuration is known; all requests are refused until then.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Catalog {
    pub(crate) version: u64,
    pub(crate) routes: Vec<Arc<GatewayRoute>>,
    pub(crate) services: HashMap<ServiceName, GatewayService>,
    pub(crate) limits: RequestLimits,
    pub(crate) keys: HashMap<String, AccountName>,
    /// Whether requests to routes that are not public need a key.
    pub(crate) keyed: bool,
    /// Routes by host, longest prefix first.
    #[serde(skip)]
    pub(crate) hosts: HashMap<String, Vec<Arc<GatewayRoute>>>,
    /// Shortest objective of the routes to each service.
    #[serde(skip)]
    pub(crate) objectives: HashMap<ServiceName, Duration>,
}

impl Catalog {
    /// Builds the indexes over the routes, before the configuration becomes active.
    pub(crate) fn index(mut self) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<GatewayRoute>>> = HashMap::new();
        for route in &self.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        self.hosts = hosts;
        self.objectives.clear();
        for route in &self.routes {
            for (service, _) in &route.targets {
                let shortest = self.objectives.entry(service.clone());
                let shortest = shortest.or_insert(route.objective);
                *shortest = route.objective.min(*shortest);
            }
        }
        self
    }

    /// Shortest objective of the routes to a service.
    pub(crate) fn objective(&self, service: &ServiceName) -> Duration {
        self.objectives.get(service).copied().unwrap_or_default()
    }

    /// Finds the route of `host` with the longest prefix that matches `path`.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<GatewayRoute>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }
}
