//! Leases, membership and the configuration over several instances.

mod lease;
mod publish;
mod ring;
mod shells;
