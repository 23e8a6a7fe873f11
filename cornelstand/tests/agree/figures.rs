//! Figures that follow from the machines alone, as snapshots: traffic of the gossip and calls to
//! the store at several sizes of the fleet.
