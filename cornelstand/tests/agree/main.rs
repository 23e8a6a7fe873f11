//! Leases, membership and the configuration over several instances.

mod figures;
mod lease;
mod matrix;
mod member;
mod publish;
mod ring;
mod swarm;
mod trail;
