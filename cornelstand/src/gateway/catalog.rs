//! Configuration that is in force: routes, services, limits, client accounts and their keys.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::IsVariant;
use serde::{Deserialize, Serialize};

use crate::name::{AccountName, ServiceName};

/// What a request of a route may do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// Answered by a stream of events.
    Stream,
}

/// A route: which requests it takes, and how they are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct GatewayRoute {
    pub(crate) name: String,
    pub(crate) host: String,
    /// Start of the paths, with a slash at both ends.
    pub(crate) prefix: String,
    pub(crate) kind: RouteKind,
    /// Whether a stream may go on at another endpoint.
    pub(crate) resumable: bool,
    /// Longest time to the end of the answer.
    pub(crate) timeout: Duration,
    /// Time to the answer, or to the first event, that callers expect.
    pub(crate) objective: Duration,
    /// Longest pause between two events of a stream that callers expect.
    pub(crate) pause: Duration,
    /// Most endpoints that one request may be sent to.
    pub(crate) attempts: u32,
    /// Services with their weights.
    pub(crate) targets: Vec<(ServiceName, u32)>,
    /// Whether requests need no key.
    pub(crate) public: bool,
}

/// Shortest silence after which callers of a stream give up, as the platform states it.
const SILENCE_MIN: Duration = Duration::from_secs(2);
/// The same in objectives and in expected pauses.
const SILENCE_OBJECTIVES: u32 = 4;
const SILENCE_PAUSES: u32 = 8;

impl GatewayRoute {
    /// Silence after which callers of a stream give up.
    pub(crate) fn silence(&self) -> Duration {
        let objectives = self.objective * SILENCE_OBJECTIVES;
        SILENCE_MIN.max(objectives).max(self.pause * SILENCE_PAUSES)
    }

    /// Whether a request may be sent again after it may have run.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Service for a request, spread by weight over `draw` in 0..1.
    pub(crate) fn target(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.targets {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.targets.first().map(|(service, _)| service)
    }
}

/// Engine behind a service that generates tokens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct EngineSpec {
    /// Requests that run at once.
    pub(crate) slots: u32,
    /// Tokens that fit its memory.
    pub(crate) memory: f64,
    /// Tokens in one event of a stream.
    pub(crate) stride: u32,
}

/// A service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct GatewayService {
    pub(crate) name: ServiceName,
    /// Connections that an endpoint accepts from all callers together.
    pub(crate) connections: u32,
    /// Requests a second that a cold endpoint bears; zero if there is no limit.
    pub(crate) cold_rate: f64,
    /// Time for which an endpoint is cold after it starts.
    pub(crate) cold_time: Duration,
    pub(crate) engine: Option<EngineSpec>,
}

/// Limits of callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RequestLimits {
    pub(crate) head_bytes: usize,
    pub(crate) body_bytes: usize,
    /// Longest time until a head that has begun is complete.
    pub(crate) head_time: Duration,
    /// Longest time between two requests on a connection.
    pub(crate) idle_time: Duration,
}

impl Default for RequestLimits {
    /// Until a configuration is known: small requests only, all of which are refused.
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
    /// Whether requests need keys at all.
    pub(crate) keyed: bool,
    /// Routes by host, longest prefix first.
    #[serde(skip)]
    pub(crate) hosts: HashMap<String, Vec<Arc<GatewayRoute>>>,
    /// Shortest objective of the routes to each service.
    #[serde(skip)]
    pub(crate) objectives: HashMap<ServiceName, Duration>,
}

impl Catalog {
    /// Indexes the routes, when the configuration is put in force.
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

    /// Route with the longest prefix of `path` among those of `host`.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<GatewayRoute>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }
}
