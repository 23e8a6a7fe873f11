//! Estimates of the response length of a service and the token time limit that follows from it.
//!
//! Reading prompts between its steps slows down all running responses of an engine. Its load is
//! therefore limited by the time between two tokens with which the long responses of the service
//! still end before their timeout.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::number::to_f64;
use crate::name::ServiceName;

/// Quantile of the response length that has to end in time.
const QUANTILE: f64 = 0.99;
/// Step of the quantile estimate, as a fraction of it.
const ESTIMATE_STEP: f64 = 0.02;
/// Fraction of the timeout that generation may take on average; under load the time between two
/// tokens varies by a factor of two among engines.
const TIME_SHARE: f64 = 0.45;
/// Longest time between two tokens for short responses, in milliseconds: at a quarter of this a
/// reader keeps up with the text.
const MAX_TOKEN_TIME_MS: f64 = 40.0;

/// Response length estimate of one route.
#[derive(Clone, Copy, Debug)]
struct Output {
    /// Estimated 99th percentile, in tokens.
    p99: f64,
    timeout: Duration,
}

/// Estimates for all routes of all services.
#[derive(Debug, Default)]
pub(crate) struct Outputs {
    services: HashMap<ServiceName, HashMap<String, Output>>,
    /// Mean of the token time limits at peers, with the number of peers.
    peers: HashMap<ServiceName, (f64, usize)>,
}

impl Outputs {
    /// Records a request on a route that is expected to generate `tokens`.
    pub(crate) fn note(
        &mut self,
        service: &ServiceName,
        route: &str,
        timeout: Duration,
        tokens: u32,
    ) {
        let tokens = f64::from(tokens);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), HashMap::new());
        }
        let Some(routes) = self.services.get_mut(service) else {
            return;
        };
        let Some(output) = routes.get_mut(route) else {
            let output = Output {
                p99: tokens,
                timeout,
            };
            routes.insert(route.to_owned(), output);
            return;
        };
        output.timeout = timeout;
        let step = ESTIMATE_STEP * output.p99.max(1.0);
        if tokens > output.p99 {
            output.p99 += step * QUANTILE;
        } else {
            output.p99 -= step * (1.0 - QUANTILE);
        }
    }

    /// Replaces the peers' limits, which are based on other requests of the same callers.
    pub(crate) fn set_peers(&mut self, times: HashMap<ServiceName, (f64, usize)>) {
        self.peers = times;
    }

    /// Longest time between two tokens, in milliseconds, with which long responses end in time: the
    /// mean over the instances. An instance with a lower limit than the others would find all
    /// endpoints loaded beyond its own.
    pub(crate) fn token_time(&self, service: &ServiceName) -> f64 {
        let own = self.own_time(service).unwrap_or(MAX_TOKEN_TIME_MS);
        let Some((mean, count)) = self.peers.get(service) else {
            return own;
        };
        let count = to_f64(*count);
        (mean * count + own) / (count + 1.0)
    }

    /// Limits from this instance's requests alone, by service, for the peers.
    pub(crate) fn own_times(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        let services = self.services.keys();
        services.filter_map(|service| Some((service, self.own_time(service)?)))
    }

    fn own_time(&self, service: &ServiceName) -> Option<f64> {
        let routes = self.services.get(service)?.values();
        let time = |o: &Output| o.timeout.as_secs_f64() * 1e3 * TIME_SHARE / o.p99.max(1.0);
        Some(routes.map(time).fold(MAX_TOKEN_TIME_MS, f64::min))
    }
}
