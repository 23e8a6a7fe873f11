//! Sizes of a deployment on one machine: its data centres, endpoints and accounts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::Display;
use stand_ins::{Bearing, Pace};

use crate::auth::key_hash;
use crate::config::{Account, Centre, Class, Config, Endpoint, Kind, Repeat, Route, Service};
use crate::name::{AccountName, CentreName, EndpointName, ServiceName};

/// Path of interactive calls of a model service.
pub const CHAT: &str = "/v1/chat/completions";
/// Path of batch calls of a model service.
pub const BATCH_CHAT: &str = "/batch/v1/chat/completions";
/// Path of calls of a plain service that may be repeated.
pub const LOOKUP: &str = "/lookup";
/// Path of calls of a plain service that run at most once.
pub const ORDER: &str = "/orders";
/// Milliseconds of a slot that a call of a plain service takes.
pub const PLAIN_CALL: u64 = 40;
/// Requests of an account that may wait at a cell.
const QUEUE: u32 = 256;

/// A deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its data centres.
    pub centres: Vec<CentreName>,
    /// Its services.
    pub services: Vec<ServiceSize>,
    /// Its accounts.
    pub accounts: Vec<AccountSize>,
    /// Instances of the fleet.
    pub instances: usize,
}

/// A service of a deployment.
#[derive(Clone, Debug)]
pub struct ServiceSize {
    /// The service.
    pub name: ServiceName,
    /// Kind of its endpoints.
    pub kind: Kind,
    /// Number of endpoints, dealt to the data centres in turn.
    pub replicas: usize,
    /// Requests at once that each bears.
    pub bearing: Bearing,
    /// Time between tokens of a model engine.
    pub pace: Pace,
    /// Cost charged for a call without history.
    pub estimate: u64,
}

/// An account of a deployment.
#[derive(Clone, Debug, Display)]
#[display("{name}")]
pub struct AccountSize {
    /// The account.
    pub name: AccountName,
    /// Its share.
    pub share: u32,
    /// Its key.
    pub key: String,
}

impl Deployment {
    /// Tessel Zipworks, north-coast, with `instances` instances.
    #[must_use]
    pub fn tessel(instances: usize) -> Self {
        let large = [("seam-group", 12), ("north-tailors", 10), ("bag-clinic", 8)];
        Self {
            name: "tessel",
            centres: names(["dock-a", "dock-b", "dock-c"]),
            services: vec![models("stitch-models", 20), plain("counter-app", 3)],
            accounts: accounts(&large, "kiosk"),
            instances,
        }
    }

    /// Ndege Stagecraft, ke-nairobi, with `instances` instances.
    #[must_use]
    pub fn ndege(instances: usize) -> Self {
        let large = [("film-unit", 12), ("city-theatre", 10), ("tent-shows", 8)];
        Self {
            name: "ndege",
            centres: names(["nbo-a", "nbo-b", "nbo-c", "nbo-d"]),
            services: vec![models("gel-assistant", 10), plain("orders-app", 4)],
            accounts: accounts(&large, "crew"),
            instances,
        }
    }

    /// A small one for a demonstration.
    #[must_use]
    pub fn small() -> Self {
        let large = [("seam-group", 6), ("north-tailors", 4)];
        let mut accounts = accounts(&large, "kiosk");
        accounts.truncate(6);
        Self {
            name: "demo",
            centres: names(["dock-a", "dock-b", "dock-c"]),
            services: vec![models("stitch-models", 6), plain("counter-app", 3)],
            accounts,
            instances: 6,
        }
    }

    /// The model service.
    ///
    /// # Panics
    ///
    /// If the deployment has none.
    #[must_use]
    pub fn models(&self) -> &ServiceSize {
        self.service(Kind::Model)
    }

    /// The plain service.
    ///
    /// # Panics
    ///
    /// If the deployment has none.
    #[must_use]
    pub fn plain(&self) -> &ServiceSize {
        self.service(Kind::Plain)
    }

    /// All shares together.
    #[must_use]
    pub fn shares(&self) -> u32 {
        self.accounts.iter().map(|a| a.share).sum()
    }

    /// The configuration with the endpoints at `addresses`.
    #[must_use]
    pub fn config(&self, addresses: &BTreeMap<EndpointName, SocketAddr>) -> Config {
        let endpoints = self.services.iter().flat_map(|service| {
            self.replicas(service).filter_map(|(name, centre)| {
                let address = *addresses.get(&name)?;
                Some((name, endpoint(service, centre, address)))
            })
        });
        let centres = self.centres.iter();
        let services = self.services.iter();
        let accounts = self.accounts.iter();
        Config {
            accounts: accounts.map(|a| (a.name.clone(), account(a))).collect(),
            services: services.map(|s| (s.name.clone(), service(s))).collect(),
            endpoints: endpoints.collect(),
            centres: centres.map(|c| (c.clone(), Centre::default())).collect(),
            ..Config::default()
        }
    }

    /// The endpoints of a service with their data centres.
    pub fn replicas(
        &self,
        service: &ServiceSize,
    ) -> impl Iterator<Item = (EndpointName, CentreName)> {
        let names = (0..service.replicas).map(|i| format!("{}-{i:02}", service.name));
        let centres = self.centres.iter().cycle().cloned();
        names.map(|n| EndpointName::from(n.as_str())).zip(centres)
    }

    fn service(&self, kind: Kind) -> &ServiceSize {
        let found = self.services.iter().find(|s| s.kind == kind);
        found.expect("a deployment has services of both kinds")
    }
}

fn names<const N: usize>(names: [&str; N]) -> Vec<CentreName> {
    names.into_iter().map(CentreName::from).collect()
}

fn models(name: &str, replicas: usize) -> ServiceSize {
    ServiceSize {
        name: name.into(),
        kind: Kind::Model,
        replicas,
        bearing: Bearing {
            cold: 2,
            warm: 8,
            ramp: 24,
        },
        pace: Pace {
            base: 16_000,
            slope: 1_000,
            prefill: 10,
        },
        estimate: 40,
    }
}

fn plain(name: &str, replicas: usize) -> ServiceSize {
    ServiceSize {
        name: name.into(),
        kind: Kind::Plain,
        replicas,
        bearing: Bearing {
            cold: 4,
            warm: 16,
            ramp: 24,
        },
        pace: Pace::default(),
        estimate: PLAIN_CALL,
    }
}

/// A few large accounts and twelve small ones.
fn accounts(large: &[(&str, u32)], small: &str) -> Vec<AccountSize> {
    let large = large.iter().map(|&(name, share)| (name.to_owned(), share));
    let small = (1..=12).map(|i| (format!("{small}-{i:02}"), 2));
    large
        .chain(small)
        .map(|(name, share)| AccountSize {
            key: format!("key-of-{name}"),
            name: name.as_str().into(),
            share,
        })
        .collect()
}

fn account(size: &AccountSize) -> Account {
    Account {
        share: size.share,
        keys: vec![key_hash(&size.key)],
        queue: QUEUE,
    }
}

fn service(size: &ServiceSize) -> Service {
    let route = |prefix: &str, class, repeat| Route {
        prefix: prefix.to_owned(),
        class,
        repeat,
    };
    let routes = match size.kind {
        Kind::Model => vec![
            route(CHAT, Class::Interactive, Repeat::Idempotent),
            route(BATCH_CHAT, Class::Batch, Repeat::Idempotent),
        ],
        Kind::Plain => vec![
            route(LOOKUP, Class::Interactive, Repeat::Idempotent),
            route(ORDER, Class::Interactive, Repeat::Once),
        ],
    };
    Service {
        kind: size.kind,
        cells: 1,
        routes,
        estimate: size.estimate,
    }
}

fn endpoint(size: &ServiceSize, centre: CentreName, address: SocketAddr) -> Endpoint {
    Endpoint {
        service: size.name.clone(),
        centre,
        address,
        cold: size.bearing.cold,
        warm: size.bearing.warm,
        ramp: size.bearing.ramp,
    }
}
