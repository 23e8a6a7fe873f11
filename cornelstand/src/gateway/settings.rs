//! Settings of a gateway, whatever file they were read from.

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
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Address at which the balancer asks whether the instance takes callers.
    pub(crate) readiness: SocketAddr,
    /// Address for operators and peers, if there is one.
    pub(crate) control: Option<SocketAddr>,
    /// Ports for messages between instances.
    pub(crate) peer_ports: RangeInclusive<u16>,
    /// Control addresses of a few instances, which may be stale.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub(crate) store: SocketAddr,
    /// Time between a stop signal and the end of the process.
    pub(crate) grace: Duration,
    /// Time after which the platform holds an instance that could not reach the store for informed
    /// again.
    pub(crate) contact: Duration,
    pub(crate) retry: RetryRule,
    /// Part of the stated rate that a cold endpoint bears.
    pub(crate) cold_over: f64,
    /// Requests beyond that rate that it bears.
    pub(crate) cold_slack: f64,
    /// Processor cores of the instance.
    pub(crate) cores: f32,
    /// Most file descriptors of the process.
    pub(crate) descriptors: usize,
    /// Memory of the process, in bytes.
    pub(crate) memory: usize,
}

/// Address at which this instance takes messages.
pub(crate) fn peer_address(settings: &GatewaySettings) -> SocketAddr {
    SocketAddr::new(settings.callers.ip(), *settings.peer_ports.start())
}
