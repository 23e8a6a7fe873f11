//! Decodes objects of the platform's store into the gateway's types.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::gateway::catalog::{
    Catalog, EngineSpec, GatewayRoute, GatewayService, RequestLimits, RouteKind,
};
use crate::gateway::directory::{EndpointRecord, OrderRecord};
use crate::gateway::rollout::{Order, OrderId, Status, StatusWord};
use crate::name::{AccountName, CentreName, EndpointName, ServiceName, VersionName};

/// Kinds of store objects that the gateway reads.
pub(crate) const CONFIG_KIND: &str = "config";
pub(crate) const ENDPOINT_KIND: &str = "servers";
pub(crate) const EVACUATION_KIND: &str = "evacuations";
pub(crate) const ROLLOUT_KIND: &str = "rollouts";
/// Kind of the entries that the instances register themselves, one each.
pub(crate) const INSTANCE_KIND: &str = "cornelstand-instances";

/// An object of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StoreObject {
    pub(crate) metadata: Metadata,
    #[serde(default)]
    pub(crate) spec: Value,
    #[serde(default, skip_serializing)]
    pub(crate) status: Value,
}

/// Metadata that the store maintains for an object.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(crate) struct Metadata {
    pub(crate) name: String,
    pub(crate) deleting: bool,
    /// Revision of the last change. A call that carries one depends on it.
    #[serde(skip_serializing)]
    pub(crate) revision: u64,
    /// Revision at which the object was created.
    #[serde(skip_serializing)]
    pub(crate) created_rev: u64,
}

/// Registration of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct InstanceSpec {
    /// UDP address for messages from other instances.
    pub(crate) peer: SocketAddr,
    pub(crate) centre: CentreName,
    /// CPU cores.
    pub(crate) cores: f32,
}

#[derive(Deserialize)]
struct ConfigSpec {
    version: u64,
    routes: Vec<RouteSpec>,
    services: Vec<ServiceSpec>,
    #[serde(default)]
    limits: LimitsSpec,
    tenants: Option<Vec<AccountSpec>>,
}

#[derive(Deserialize)]
struct RouteSpec {
    name: String,
    host: String,
    path_prefix: String,
    kind: KindSpec,
    timeout_ms: u64,
    target_latency_ms: u64,
    /// Objective for the longest pause between two events.
    #[serde(default)]
    gap_aim_ms: u64,
    #[serde(default = "one")]
    max_attempts: u32,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<TargetSpec>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindSpec {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Deserialize)]
struct TargetSpec {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
struct ServiceSpec {
    name: String,
    #[serde(default)]
    max_conns: u32,
    #[serde(default)]
    cold_start_s: f64,
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<EngineFields>,
}

#[derive(Deserialize)]
struct EngineFields {
    slots: u32,
    kv_capacity: f64,
    #[serde(default = "one")]
    stride: u32,
}

/// Limits on requests. `tokens_per_s` is ignored: the throughput of engines is measured instead.
#[derive(Default, Deserialize)]
#[serde(default)]
struct LimitsSpec {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

#[derive(Deserialize)]
struct AccountSpec {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
}

fn one() -> u32 {
    1
}

/// Decodes the configuration written by operators.
///
/// # Errors
///
/// Fails if the configuration does not match the schema.
pub(crate) fn read_config(spec: &Value) -> Result<Catalog, serde_json::Error> {
    let spec = ConfigSpec::deserialize(spec)?;
    let routes = spec.routes.into_iter().map(route).map(Arc::new);
    let services = spec.services.into_iter().map(service);
    let mut keys = HashMap::new();
    for account in spec.tenants.iter().flatten() {
        let name = AccountName::from(account.name.as_str());
        keys.extend(account.api_keys.iter().map(|k| (k.clone(), name.clone())));
    }
    Ok(Catalog {
        version: spec.version,
        routes: routes.collect(),
        services: services.map(|s| (s.name.clone(), s)).collect(),
        limits: limits(&spec.limits),
        keys,
        keyed: spec.tenants.is_some(),
        ..Catalog::default()
    })
}

fn route(spec: RouteSpec) -> GatewayRoute {
    let split = spec.traffic_split.into_iter();
    let mut targets: Vec<_> = split
        .map(|t| (ServiceName::from(t.service.as_str()), t.weight))
        .collect();
    if let Some(service) = spec.service.filter(|_| targets.is_empty()) {
        targets.push((ServiceName::from(service.as_str()), 1));
    }
    GatewayRoute {
        name: spec.name,
        host: spec.host,
        prefix: spec.path_prefix,
        kind: match spec.kind {
            KindSpec::Idempotent => RouteKind::Idempotent,
            KindSpec::NonIdempotent => RouteKind::Once,
            KindSpec::Streaming => RouteKind::Stream,
        },
        resumable: spec.resumable,
        timeout: Duration::from_millis(spec.timeout_ms),
        objective: Duration::from_millis(spec.target_latency_ms),
        pause: Duration::from_millis(spec.gap_aim_ms),
        attempts: spec.max_attempts.max(1),
        targets,
        public: spec.public,
    }
}

fn service(spec: ServiceSpec) -> GatewayService {
    GatewayService {
        name: ServiceName::from(spec.name.as_str()),
        connections: spec.max_conns,
        cold_rate: spec.cold_per_s,
        cold_time: Duration::try_from_secs_f64(spec.cold_start_s).unwrap_or_default(),
        engine: spec.engine.map(|e| EngineSpec {
            slots: e.slots,
            memory: e.kv_capacity,
            stride: e.stride,
        }),
    }
}

fn limits(spec: &LimitsSpec) -> RequestLimits {
    let default = RequestLimits::default();
    let time = |ms: Option<u64>, default| ms.map_or(default, Duration::from_millis);
    RequestLimits {
        head_bytes: spec.max_header_bytes.unwrap_or(default.head_bytes),
        body_bytes: spec.max_body_bytes.unwrap_or(default.body_bytes),
        head_time: time(spec.header_timeout_ms, default.head_time),
        idle_time: time(spec.idle_timeout_ms, default.idle_time),
    }
}

#[derive(Deserialize)]
struct EndpointSpec {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: StateSpec,
    #[serde(default)]
    version: Value,
    #[serde(default)]
    cold_left_ms: f64,
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum StateSpec {
    Ready,
    Draining,
}

/// Decodes an endpoint's entry.
///
/// # Errors
///
/// Fails if a field is missing or malformed, as in entries by other writers.
pub(crate) fn read_endpoint(object: &StoreObject) -> Result<EndpointRecord, serde_json::Error> {
    let spec = EndpointSpec::deserialize(&object.spec)?;
    Ok(EndpointRecord {
        name: EndpointName::from(object.metadata.name.as_str()),
        started_at: spec.born,
        service: ServiceName::from(spec.service.as_str()),
        centre: CentreName::from(spec.zone.as_str()),
        address: spec.address,
        slots: spec.slots,
        software: VersionName::from(spec.version.as_str().unwrap_or_default()),
        leaving: spec.state == StateSpec::Draining || object.metadata.deleting,
        cold: Duration::try_from_secs_f64(spec.cold_left_ms / 1e3).unwrap_or_default(),
    })
}

#[derive(Deserialize)]
struct RolloutSpec {
    service: String,
    target: String,
    duration_s: f64,
}

/// Progress of a roll-out, as the operator reads it.
#[derive(Deserialize, Serialize)]
struct RolloutStatus {
    state: RolloutState,
    target: String,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum RolloutState {
    Running,
    Completed,
    RolledBack,
}

impl From<RolloutState> for StatusWord {
    fn from(state: RolloutState) -> Self {
        match state {
            RolloutState::Running => Self::Running,
            RolloutState::Completed => Self::Completed,
            RolloutState::RolledBack => Self::RolledBack,
        }
    }
}

impl From<StatusWord> for RolloutState {
    fn from(word: StatusWord) -> Self {
        match word {
            StatusWord::Running => Self::Running,
            StatusWord::Completed => Self::Completed,
            StatusWord::RolledBack => Self::RolledBack,
        }
    }
}

/// Decodes an order to roll out a version. A status that cannot be read is left out.
///
/// # Errors
///
/// Fails if a field is missing or malformed, as in entries by other writers.
pub(crate) fn read_rollout(object: &StoreObject) -> Result<OrderRecord, serde_json::Error> {
    let spec = RolloutSpec::deserialize(&object.spec)?;
    let duration = Duration::try_from_secs_f64(spec.duration_s);
    let duration = duration.map_err(serde::de::Error::custom)?;
    if spec.target.is_empty() {
        return Err(serde::de::Error::custom("no version"));
    }
    let status = RolloutStatus::deserialize(&object.status).ok();
    Ok(OrderRecord {
        name: object.metadata.name.clone(),
        revision: object.metadata.revision,
        order: Order {
            id: OrderId {
                service: ServiceName::from(spec.service.as_str()),
                target: VersionName::from(spec.target.as_str()),
                created: object.metadata.created_rev,
            },
            duration,
            status: status.map(|s| Status {
                word: s.state.into(),
                target: VersionName::from(s.target.as_str()),
            }),
        },
    })
}

/// Status of a roll-out to `target`.
pub(crate) fn rollout_status(word: StatusWord, target: &VersionName) -> Value {
    let (state, target) = (word.into(), target.as_str().to_owned());
    serde_json::to_value(RolloutStatus { state, target }).unwrap_or_default()
}
