//! Settings of a gateway, independent of the file format.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::gateway::budget::RetryRule;
use crate::name::{CentreName, InstanceName};

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GatewaySettings {
    pub(crate) instance: InstanceName,
    pub(crate) centre: CentreName,
    pub(crate) centres: BTreeSet<CentreName>,
    /// Listen address for callers.
    pub(crate) callers: SocketAddr,
    /// Listen address of the load balancer's readiness check.
    pub(crate) readiness: SocketAddr,
    /// Listen address for operators and peers, if any.
    pub(crate) control: Option<SocketAddr>,
    /// UDP ports for messages between instances.
    pub(crate) peer_ports: RangeInclusive<u16>,
    /// Control addresses of some instances; may be outdated.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub(crate) store: SocketAddr,
    /// Grace period between a stop signal and the end of the process.
    pub(crate) grace: Duration,
    /// Time after which the platform expects an instance that had lost the store to be up to date.
    pub(crate) contact: Duration,
    pub(crate) retry: RetryRule,
    /// Factor on a service's configured rate for cold endpoints.
    pub(crate) cold_over: f64,
    /// Requests that a cold endpoint can handle beyond that rate.
    pub(crate) cold_slack: f64,
    /// CPU cores of the instance; may be a fraction.
    pub(crate) cores: f32,
    /// File descriptor limit of the process.
    pub(crate) descriptors: usize,
    /// Memory limit of the process, in bytes.
    pub(crate) memory: usize,
    /// Limits of roll-outs, if the deployment has any.
    pub(crate) rollout: Option<RolloutBounds>,
}

/// Limits on what a new version of a service gets before it is trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RolloutBounds {
    /// Share of the service's requests that a bad version may get between order and deadline.
    pub(crate) share: f64,
    /// Requests that it may get beyond that share.
    pub(crate) slack: f64,
    /// Time from the 50th bad answer within which a bad version stops getting requests.
    pub(crate) rollback: Duration,
}

/// UDP address at which this instance receives messages from other instances.
pub(crate) fn peer_address(settings: &GatewaySettings) -> SocketAddr {
    SocketAddr::new(settings.callers.ip(), *settings.peer_ports.start())
}
