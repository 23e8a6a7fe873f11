//! The platform's instance list, which lags.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tracing::info;
use warp::Filter;
use warp::reply::Response;

use crate::host::{Host, StartError, boxed};
use crate::wire::{self, Call};

/// State of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It takes part.
    Live,
    /// It is about to go.
    Leaving,
}

/// An instance of the fleet or an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: InstanceState,
}

/// Settings of an [`InstanceList`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Milliseconds by which it lags.
    pub lag: u64,
    /// The list at the start, shown at once.
    pub instances: Vec<Listed>,
}

impl Default for InstanceSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            lag: 2_000,
            instances: Vec::new(),
        }
    }
}

/// Fake of the platform's instance list.
#[derive(Debug)]
pub struct InstanceList {
    host: Host,
    shared: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    lag: Duration,
    /// Latest list last.
    past: VecDeque<(Instant, Vec<Listed>)>,
    reads: u64,
}

#[derive(Deserialize, Serialize)]
struct Body {
    instances: Vec<Listed>,
}

#[derive(Serialize)]
struct Counts {
    reads: u64,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    lag: u64,
}

impl InstanceList {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// If the listener or its thread cannot be set up.
    pub fn start(settings: InstanceSettings) -> Result<Self, StartError> {
        let host = Host::bind(settings.listen)?;
        let state = State {
            lag: Duration::from_millis(settings.lag),
            past: VecDeque::from([(Instant::now(), settings.instances)]),
            reads: 0,
        };
        let shared = Arc::new(Mutex::new(state));
        let list = Self { host, shared };
        let shared = list.shared.clone();
        let filter = wire::calls().map(move |call: Call| answer(&shared, &call));
        list.host.serve(boxed(filter), std::future::ready(()))?;
        info!(address = %list.address(), "instance list started");
        Ok(list)
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Sets the lag.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.shared).lag = lag;
    }

    /// Adds an instance, or replaces the one of that name.
    pub fn put(&self, instance: Listed) {
        let mut state = lock(&self.shared);
        let mut list = state.latest();
        list.retain(|i| i.name != instance.name);
        list.push(instance);
        state.push(list);
    }

    /// Takes an instance off the list.
    pub fn remove(&self, name: &str) {
        let mut state = lock(&self.shared);
        let mut list = state.latest();
        list.retain(|i| i.name != name);
        state.push(list);
    }

    /// Replaces the whole list.
    pub fn set(&self, instances: Vec<Listed>) {
        lock(&self.shared).push(instances);
    }

    /// Reads of the list so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        lock(&self.shared).reads
    }

    /// Stops it for good.
    pub fn stop(&self) {
        self.host.stop();
    }
}

impl State {
    fn latest(&self) -> Vec<Listed> {
        self.past.back().map_or_else(Vec::new, |(_, l)| l.clone())
    }

    fn push(&mut self, mut list: Vec<Listed>) {
        list.sort_by(|a, b| a.name.cmp(&b.name));
        self.past.push_back((Instant::now(), list));
    }

    /// Drops what the lag no longer shows and gives the list that it shows.
    fn shown(&mut self) -> Vec<Listed> {
        let now = Instant::now();
        while self.past.get(1).is_some_and(|(t, _)| *t + self.lag <= now) {
            self.past.pop_front();
        }
        self.past.front().map_or_else(Vec::new, |(_, l)| l.clone())
    }
}

fn lock(shared: &Mutex<State>) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

fn answer(shared: &Mutex<State>, call: &Call) -> Response {
    let mut state = lock(shared);
    match (&call.method, call.segments().as_slice()) {
        (&Method::GET, ["instances"]) => {
            state.reads += 1;
            let instances = state.shown();
            wire::json(&Body { instances })
        }
        (&Method::GET, ["stand-in", "counts"]) => wire::json(&Counts { reads: state.reads }),
        (&Method::PUT, ["stand-in", "instances"]) => match call.json::<Body>() {
            Some(body) => {
                state.push(body.instances);
                wire::status(StatusCode::NO_CONTENT)
            }
            None => wire::error(StatusCode::BAD_REQUEST, "not a list of instances"),
        },
        (&Method::PUT, ["stand-in", "faults"]) => match call.json::<Faults>() {
            Some(faults) => {
                state.lag = Duration::from_millis(faults.lag);
                wire::status(StatusCode::NO_CONTENT)
            }
            None => wire::error(StatusCode::BAD_REQUEST, "not a lag"),
        },
        _ => wire::error(StatusCode::NOT_FOUND, "no such call"),
    }
}
