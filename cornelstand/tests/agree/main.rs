//! Tests of leases, membership and configuration with several instances.

mod figures;
mod lease;
mod matrix;
mod member;
mod net;
mod publish;
mod ring;
mod shells;
mod swarm;
