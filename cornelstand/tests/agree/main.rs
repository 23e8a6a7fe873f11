//! Leases, membership and the configuration over several instances.

mod figures;
mod lease;
mod member;
mod net;
mod publish;
mod ring;
mod shells;
mod swarm;
