//! Tests of the gateway, with shared fixtures.

mod admission;
mod budget;
mod containment;
mod directory;
mod endpoint_load;
mod extensions;
mod fleet;
mod handover;
mod heavy_load;
mod held_bytes;
mod message;
mod outputs;
mod pauses;
mod peers;
mod placement;
mod prompt_suspects;
mod rollout;
mod rollout_fleet;
mod rollout_link;
mod rollout_orders;
mod stop;
mod uneven_speed;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::budget::RetryRule;
use crate::gateway::catalog::{Catalog, EngineSpec, GatewayRoute, GatewayService, RouteKind};
use crate::gateway::directory::{EndpointChange, EndpointRecord};
use crate::gateway::gate::Gate;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::settings::GatewaySettings;
use crate::name::{
    AccountName, BootId, CentreName, EndpointName, InstanceName, ServiceName, VersionName,
};
use crate::suspect::Crash;

/// Service with engines.
pub(crate) const MODELS: &str = "models";
/// Service without engines.
pub(crate) const ORDERS: &str = "orders";

pub(crate) fn settings(instance: &str) -> GatewaySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    GatewaySettings {
        instance: InstanceName::from(instance),
        centre: CentreName::from("north"),
        centres: ["north", "south"]
            .into_iter()
            .map(CentreName::from)
            .collect(),
        callers: any,
        readiness: any,
        control: None,
        peer_ports: 0..=0,
        seeds: Vec::new(),
        store: any,
        grace: Duration::from_secs(8),
        contact: Duration::from_secs(3),
        retry: RetryRule {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
        cold_over: 1.5,
        cold_slack: 5.0,
        cores: 0.25,
        descriptors: 4_096,
        memory: 256 * 1024 * 1024,
        rollout: None,
    }
}

pub(crate) fn route(name: &str, service: &str, kind: RouteKind) -> GatewayRoute {
    GatewayRoute {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: format!("/{name}/"),
        kind,
        resumable: false,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(400),
        pause: Duration::from_millis(400),
        attempts: 2,
        targets: vec![(ServiceName::from(service), 1)],
        public: false,
    }
}

pub(crate) fn service(name: &str, engine: Option<EngineSpec>) -> GatewayService {
    GatewayService {
        name: ServiceName::from(name),
        connections: 100,
        cold_rate: 10.0,
        cold_time: Duration::from_secs(3),
        engine,
    }
}

pub(crate) fn engine_spec() -> EngineSpec {
    EngineSpec {
        slots: 64,
        memory: 530_000.0,
        stride: 6,
    }
}

/// A configuration with a route of each kind, and the keys `key-a` and `key-b`.
pub(crate) fn catalog(version: u64) -> Catalog {
    let mut digest = route("digest", MODELS, RouteKind::Stream);
    digest.objective = Duration::from_millis(800);
    digest.timeout = Duration::from_secs(15);
    digest.attempts = 1;
    let mut quote = route("quote", MODELS, RouteKind::Stream);
    quote.timeout = Duration::from_secs(12);
    quote.resumable = true;
    let mut booking = route("book", ORDERS, RouteKind::Once);
    booking.attempts = 1;
    let lookup = route("stock", ORDERS, RouteKind::Idempotent);
    let routes = [digest, quote, booking, lookup];
    let services = [service(MODELS, Some(engine_spec())), service(ORDERS, None)];
    let keys = [("key-a", "ada"), ("key-b", "bob")];
    Catalog {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
        keys: keys
            .into_iter()
            .map(|(key, name)| (key.to_owned(), AccountName::from(name)))
            .collect(),
        keyed: true,
        ..Catalog::default()
    }
}

pub(crate) fn record(name: &str, service: &str, address: SocketAddr) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::from(name),
        started_at: 1,
        service: ServiceName::from(service),
        centre: CentreName::from("north"),
        address,
        slots: if service == MODELS { 64 } else { 6 },
        software: VersionName::from("v1"),
        leaving: false,
        cold: Duration::ZERO,
    }
}

/// Crash of an endpoint in its first lifetime.
pub(crate) fn crash(endpoint: &str) -> Crash {
    Crash {
        endpoint: EndpointName::from(endpoint),
        boot: Some(BootId(1)),
    }
}

/// An instance with `records` and the configuration.
pub(crate) fn gate(instance: &str, records: Vec<EndpointRecord>) -> Rc<Gate> {
    let metrics = GatewayMetrics::new().expect("metrics are defined once");
    let gate = Gate::new(settings(instance), metrics, 1);
    gate.state.borrow_mut().directory.set_catalog(catalog(1));
    list(&gate, records);
    Rc::new(gate)
}

pub(crate) fn list(gate: &Gate, records: Vec<EndpointRecord>) {
    let now = gate.now();
    let changes: Vec<EndpointChange> = {
        let mut state = gate.state.borrow_mut();
        state.directory.mark_store_available(now);
        state.directory.list_endpoints(now, records)
    };
    gate.apply(changes);
}
