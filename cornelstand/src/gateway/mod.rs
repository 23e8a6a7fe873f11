//! The gateway: one instance, which proxies requests to endpoints on the platform.
//!
//! [`connection`] reads callers' requests, [`call`] resolves their route and account, [`admission`]
//! queues them, [`placement`] selects an endpoint, and [`relay`] returns the response.
//! [`directory`] holds the configuration and endpoints read from the platform's store, and
//! [`peers`] the load that other instances report. Everything runs on one thread: instances have a
//! fraction of a core, and waking another thread costs more than it gains.

pub(crate) mod acquire;
pub(crate) mod admin;
pub(crate) mod admission;
pub(crate) mod budget;
pub(crate) mod call;
pub(crate) mod catalog;
pub(crate) mod connection;
pub(crate) mod containment;
pub(crate) mod daemon;
pub(crate) mod directory;
pub(crate) mod elsewhere;
pub(crate) mod endpoint_load;
pub(crate) mod endpoint_state;
pub(crate) mod exchange;
pub(crate) mod extensions;
pub(crate) mod follow;
pub(crate) mod gate;
pub(crate) mod handover;
pub(crate) mod held_bytes;
pub(crate) mod load_reports;
pub(crate) mod logs;
pub(crate) mod message;
pub(crate) mod metrics;
pub(crate) mod notices;
pub(crate) mod number;
pub(crate) mod outlet;
pub(crate) mod outputs;
pub(crate) mod pauses;
pub(crate) mod peers;
pub(crate) mod peers_link;
pub(crate) mod placement;
pub(crate) mod prompt_suspects;
pub(crate) mod relay;
pub(crate) mod residency;
pub(crate) mod resume;
pub(crate) mod rollout;
pub(crate) mod rollout_link;
pub(crate) mod rollout_writer;
pub(crate) mod settings;
pub(crate) mod stop;
pub(crate) mod store_revision;
pub(crate) mod suspicion_news;
pub(crate) mod upstream;
pub(crate) mod waiting_callers;

#[cfg(test)]
pub(crate) mod tests;
