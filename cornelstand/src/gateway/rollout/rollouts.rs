//! The state of all roll-outs at an instance.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::exchange::Sender;
use crate::gateway::rollout::news::RolloutNews;
use crate::gateway::rollout::order::{Order, OrderId, StatusWord};
use crate::gateway::settings::RolloutBounds;
use crate::moment::Moment;
use crate::name::{CentreName, EndpointName, InstanceName, ServiceName, VersionName};

/// Which endpoints a request may go to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    /// Endpoints of other versions than a running order's target; all where there is no order.
    Baseline,
    /// Endpoints of the target.
    Canary,
}

/// An attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent<'a> {
    pub(crate) service: &'a ServiceName,
    /// Name of the route.
    pub(crate) route: &'a str,
    pub(crate) endpoint: &'a EndpointName,
    /// Version of the endpoint, as listed when the attempt was placed.
    pub(crate) software: &'a VersionName,
    /// Whether the endpoint has warmed up; others are not judged by their time.
    pub(crate) is_warm: bool,
}

/// Outcome of an attempt that its endpoint answered for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    /// Began well, `first` after its send: head of a plain answer, first event of a stream.
    Good { first: Duration },
    /// The endpoint failed: a failure status of its own, a broken or wrong answer, no answer in
    /// time. Not for requests that it did not run, nor for those whose caller left.
    Failed,
}

/// Instances that live, as peers and the store tell.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Fleet {
    /// Instances that send heartbeats here: all in a small fleet, else those of the data centre.
    /// Includes this one.
    pub(crate) instances: BTreeSet<InstanceName>,
    /// Other data centres, if their state comes by digests.
    pub(crate) centres: BTreeSet<CentreName>,
    /// Number of instances in all data centres.
    pub(crate) count: usize,
}

/// A status to write, provided that the object is still the order's.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StatusWrite {
    pub(crate) order: OrderId,
    pub(crate) word: StatusWord,
}

/// Selects endpoints for one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Filter<'a> {
    _rollouts: &'a Rollouts,
    _side: Side,
}

impl Filter<'_> {
    /// Whether an endpoint may get the request.
    pub(crate) fn admits(&self, _software: &VersionName, _endpoint: &EndpointName) -> bool {
        true
    }
}

/// All roll-outs, as one instance knows them.
#[derive(Debug)]
pub(crate) struct Rollouts {
    bounds: Option<RolloutBounds>,
}

impl Rollouts {
    /// No orders yet. Without `bounds` nothing is ever limited.
    pub(crate) fn new(
        _instance: InstanceName,
        _incarnation: u64,
        bounds: Option<RolloutBounds>,
    ) -> Self {
        Self { bounds }
    }

    /// Applies changed settings.
    pub(crate) fn set_bounds(&mut self, bounds: Option<RolloutBounds>) {
        self.bounds = bounds;
    }

    /// Whether the deployment has roll-outs.
    pub(crate) fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Replaces the orders by a complete set, as of a store revision. An older set is ignored.
    pub(crate) fn set_orders(&mut self, _now: Moment, _as_of: u64, _orders: &[Order]) {}

    /// Replaces the listed endpoints of a service.
    pub(crate) fn note_endpoints(
        &mut self,
        _now: Moment,
        _service: &ServiceName,
        _endpoints: &[(EndpointName, VersionName)],
    ) {
    }

    /// Replaces the living instances.
    pub(crate) fn set_fleet(&mut self, _now: Moment, _fleet: Fleet) {}

    /// Advances stages and judges evidence; to be called with each heartbeat, or every 100 ms.
    pub(crate) fn tick(&mut self, _now: Moment) {}

    /// Side of a request that is queued, or placed again, for a uniform `draw` in 0..1.
    pub(crate) fn side_for(
        &self,
        _now: Moment,
        _service: &ServiceName,
        _route: &str,
        _draw: f64,
    ) -> Side {
        Side::Baseline
    }

    /// Endpoints that a request may go to.
    pub(crate) fn filter(&self, _now: Moment, _service: &ServiceName, side: Side) -> Filter<'_> {
        Filter {
            _rollouts: self,
            _side: side,
        }
    }

    /// Counts an attempt right before its first byte is sent. Returns false, and counts nothing,
    /// if it may not be sent any more; the request then needs another place.
    pub(crate) fn note_send(&mut self, _now: Moment, _sent: Sent<'_>) -> bool {
        true
    }

    /// Records an answer, at most one for each attempt that was sent, but for one that breaks after
    /// it began well, which is also `Failed`.
    pub(crate) fn note_answer(&mut self, _now: Moment, _sent: Sent<'_>, _answer: Answer) {}

    /// Records that an attempt that was sent runs no longer.
    pub(crate) fn note_end(&mut self, _now: Moment, _sent: Sent<'_>) {}

    /// Block for a heartbeat or an alarm, about this instance.
    pub(crate) fn news(&self, _now: Moment) -> RolloutNews {
        RolloutNews::default()
    }

    /// Block for a digest, about the instances of this data centre.
    pub(crate) fn centre_news(&self, _now: Moment) -> RolloutNews {
        RolloutNews::default()
    }

    /// Applies a block.
    pub(crate) fn merge(&mut self, _now: Moment, _sender: &Sender, _news: &RolloutNews) {}

    /// Whether all instances must hear [`Self::news`] now. True once for each new verdict.
    pub(crate) fn take_alarm(&mut self) -> bool {
        false
    }

    /// Status that this instance should write. `rank` is its position among the instances that
    /// reach the store; each one waits longer than the one before it.
    pub(crate) fn status_to_write(&self, _now: Moment, _rank: usize) -> Option<StatusWrite> {
        None
    }

    /// Records that the store has accepted a status.
    pub(crate) fn note_status_written(&mut self, _now: Moment, _write: &StatusWrite) {}
}
