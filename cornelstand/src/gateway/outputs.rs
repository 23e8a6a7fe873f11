//! How long the answers of a service get, and how fast its engines must be for them.
//!
//! An engine that reads many prompts between its steps makes all its running answers slower. What
//! it may be given is therefore bounded by the time between two tokens with which the long answers
//! of the service still end before their callers give up.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::number::float;
use crate::name::ServiceName;

/// Part of answers that are meant to end in time: all but the longest one in a hundred.
const QUANTILE: f64 = 0.99;
/// Step of the estimate, as a part of it.
const STEP: f64 = 0.02;
/// Part of the time for an answer that its generation may take on average; under load the time
/// between two tokens varies by a factor of two among engines.
const TIME_PART: f64 = 0.45;
/// Longest time between two tokens if answers are short, in milliseconds: at a quarter of this a
/// reader keeps up with the text.
const TIME_MAX: f64 = 40.0;

/// Estimate for the answers of one route.
#[derive(Clone, Copy, Debug)]
struct Output {
    /// Tokens of a long answer.
    long: f64,
    timeout: Duration,
}

/// Estimates for all routes of all services.
#[derive(Debug, Default)]
pub(crate) struct Outputs {
    services: HashMap<ServiceName, HashMap<String, Output>>,
    /// Mean of the times at peers, with the number of those.
    peers: HashMap<ServiceName, (f64, usize)>,
}

impl Outputs {
    /// Takes in a request for `tokens` on a route.
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
                long: tokens,
                timeout,
            };
            routes.insert(route.to_owned(), output);
            return;
        };
        output.timeout = timeout;
        let step = STEP * output.long.max(1.0);
        if tokens > output.long {
            output.long += step * QUANTILE;
        } else {
            output.long -= step * (1.0 - QUANTILE);
        }
    }

    /// Takes in what the peers see, which see other requests of the same callers.
    pub(crate) fn set_peers(&mut self, times: HashMap<ServiceName, (f64, usize)>) {
        self.peers = times;
    }

    /// Longest time between two tokens, in milliseconds, with which long answers end in time: the
    /// mean over the instances. One that is stricter than the others would find no endpoint that
    /// they have not filled beyond its limit.
    pub(crate) fn token_time(&self, service: &ServiceName) -> f64 {
        let own = self.own_time(service).unwrap_or(TIME_MAX);
        let Some((mean, count)) = self.peers.get(service) else {
            return own;
        };
        let count = float(*count);
        (mean * count + own) / (count + 1.0)
    }

    /// The same as this instance alone sees it, by service, for the peers.
    pub(crate) fn own_times(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        let services = self.services.keys();
        services.filter_map(|service| Some((service, self.own_time(service)?)))
    }

    fn own_time(&self, service: &ServiceName) -> Option<f64> {
        let routes = self.services.get(service)?.values();
        let time = |o: &Output| o.timeout.as_secs_f64() * 1e3 * TIME_PART / o.long.max(1.0);
        Some(routes.map(time).fold(TIME_MAX, f64::min))
    }
}
