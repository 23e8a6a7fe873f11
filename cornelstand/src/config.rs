//! The configuration in force: accounts, services, endpoints and data centres of one revision.
//!
//! It is built from accepted release notes only (see `note`). Everything that several instances
//! have to agree on without communication, such as the cells of a service and their endpoints, is
//! a pure function of a [`Config`], so that equal revisions give equal results.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::IsVariant;
use serde::{Deserialize, Serialize};

use crate::name::{AccountName, CellId, CentreName, EndpointName, Revision, ServiceName};

/// One revision of the configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Number of this configuration.
    pub revision: Revision,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountName, Account>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointName, Endpoint>,
    /// Data centres by name.
    pub centres: BTreeMap<CentreName, Centre>,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Weight of the account among those waiting for the same service, at least 1.
    pub share: u32,
    /// SHA-256 hashes of the account's keys, in hexadecimal.
    pub keys: Vec<String>,
    /// Maximum requests queued at one cell.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

/// Queue limit of an account that sets none.
fn default_queue() -> u32 {
    256
}

/// Kind of a service's endpoints.
#[derive(Clone, Copy, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines that answer chat completions as server-sent events. Cost is in tokens.
    Model,
    /// Plain HTTP services. Cost is in milliseconds of an endpoint's slot.
    Plain,
}

/// A service that callers reach at `/{service}/{path}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of the endpoints.
    pub kind: Kind,
    /// Number of cells that the endpoints are divided into, at least 1.
    #[serde(default = "default_cells")]
    pub cells: u16,
    /// Rules by path; the longest matching prefix applies.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Cost charged for a call of an account without history, in the kind's unit.
    pub estimate: u64,
}

/// Cells of a service that sets no number.
fn default_cells() -> u16 {
    1
}

/// Rule for the calls whose path starts with a prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Start of the path, after the service's name, beginning with a slash.
    pub prefix: String,
    /// Priority in the account.
    #[serde(default)]
    pub class: Class,
    /// Whether a call may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
}

/// Priority of a call within its account.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, IsVariant, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A user waits for the answer.
    #[default]
    Interactive,
    /// The answer may come later.
    Batch,
}

/// Whether a call may be repeated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The call is safe to repeat.
    Idempotent,
    /// The call runs at most once and needs an idempotency key.
    #[default]
    Once,
}

/// A back end of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub centre: CentreName,
    /// IP address and port.
    pub address: SocketAddr,
    /// Concurrency limit of a cold endpoint, at least 1.
    pub cold: u32,
    /// Concurrency limit of a warm endpoint, at least `cold`.
    pub warm: u32,
    /// Answers after which a cold endpoint is warm.
    #[serde(default)]
    pub ramp: u32,
}

/// A data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Centre {
    /// Whether operators have taken the data centre out.
    #[serde(default)]
    pub out: bool,
}

impl Config {
    /// The rule for a call of `service` at `path`, which starts with a slash.
    ///
    /// A call without a matching rule is interactive and may not be repeated.
    #[must_use]
    pub fn rule(&self, service: &Service, path: &str) -> (Class, Repeat) {
        service
            .routes
            .iter()
            .filter(|r| path.starts_with(&r.prefix))
            .max_by_key(|r| r.prefix.len())
            .map_or_else(Default::default, |r| (r.class, r.repeat))
    }

    /// Whether `centre` takes new work. An unknown data centre does not.
    #[must_use]
    pub fn is_centre_in(&self, centre: &CentreName) -> bool {
        self.centres.get(centre).is_some_and(|c| !c.out)
    }

    /// The cell of `endpoint`, or `None` if its service is not configured.
    ///
    /// Endpoints are assigned round-robin in the order of their names, so that cells differ by at
    /// most one endpoint and a data centre's endpoints spread over all cells.
    #[must_use]
    pub fn cell_of(&self, endpoint: &EndpointName) -> Option<CellId> {
        let service = &self.endpoints.get(endpoint)?.service;
        let cells = self.services.get(service)?.cells.max(1);
        let place = self
            .service_endpoints(service)
            .position(|(name, _)| name == endpoint)?;
        let index = u16::try_from(place % usize::from(cells)).unwrap_or_default();
        let service = service.clone();
        Some(CellId { service, index })
    }

    /// The endpoints of `cell` by name.
    pub fn cell_endpoints<'a>(
        &'a self,
        cell: &'a CellId,
    ) -> impl Iterator<Item = (&'a EndpointName, &'a Endpoint)> {
        let cells = self
            .services
            .get(&cell.service)
            .map_or(1, |s| s.cells.max(1));
        self.service_endpoints(&cell.service)
            .skip(usize::from(cell.index))
            .step_by(usize::from(cells))
    }

    /// All cells of all services.
    pub fn cells(&self) -> impl Iterator<Item = CellId> + '_ {
        self.services.iter().flat_map(|(service, s)| {
            (0..s.cells.max(1)).map(|index| CellId {
                service: service.clone(),
                index,
            })
        })
    }

    fn service_endpoints<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a EndpointName, &'a Endpoint)> {
        self.endpoints
            .iter()
            .filter(move |(_, e)| e.service == *service)
    }
}
