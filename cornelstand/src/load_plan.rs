//! What a workload consists of: accounts and, for each, sources of calls.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::IsVariant;
use serde::{Deserialize, Serialize};

use crate::name::{AccountName, ServiceName};

/// A workload.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Seed of all arrivals and sizes.
    pub seed: u64,
    /// Milliseconds for which calls arrive.
    pub length: u64,
    /// Milliseconds that answers may take after the last arrival.
    #[serde(default = "default_settle")]
    pub settle: u64,
    /// Callers' addresses of the instances.
    pub instances: Vec<SocketAddr>,
    /// The accounts.
    pub accounts: Vec<AccountLoad>,
}

fn default_settle() -> u64 {
    30_000
}

/// The calls of one account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLoad {
    /// The account.
    pub account: AccountName,
    /// Its key.
    pub key: String,
    /// Its share, for the result's table.
    pub share: u32,
    /// Which instances it calls.
    #[serde(default)]
    pub through: Through,
    /// What it calls.
    pub sources: Vec<Source>,
}

/// Which instances an account calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Through {
    /// One after the other.
    #[default]
    All,
    /// Always the one with this index, modulo their number.
    One(usize),
}

/// Calls of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Name in the result.
    pub label: String,
    /// The service.
    pub service: ServiceName,
    /// Path after the service's name, beginning with a slash.
    pub path: String,
    /// What the calls are.
    pub call: CallKind,
    /// When they come.
    pub arrival: Arrival,
    /// Milliseconds after the start of the workload at which the source starts.
    #[serde(default)]
    pub after: u64,
    /// Milliseconds after the start at which it ends, if before the end of the workload.
    #[serde(default)]
    pub until: Option<u64>,
    /// Seed of the source, if another is to have the same arrivals and sizes.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Milliseconds until each call's deadline, if it states one.
    #[serde(default)]
    pub deadline: Option<u64>,
}

/// What the calls of a source are.
#[derive(Clone, Copy, Debug, Deserialize, IsVariant, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum CallKind {
    /// Streamed chat completions.
    Chat {
        /// Mean tokens of an answer, drawn evenly from half to one and a half times that.
        tokens: u64,
        /// Bytes of the prompt.
        prompt: usize,
        /// Whether a cost hint is sent, off by up to a factor of 2.
        hint: bool,
    },
    /// Calls of a plain service.
    Plain {
        /// Milliseconds of a slot that a call takes.
        cost: u64,
        /// Whether the call runs at most once and has an idempotency key.
        once: bool,
    },
}

/// When the calls of a source come.
#[derive(Clone, Copy, Debug, Deserialize, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrival {
    /// Open loop: calls a second, at exponential intervals, whatever becomes of earlier ones.
    Rate(f64),
    /// Closed loop: this number of calls at a time, so that the account is always backlogged.
    Backlog(u32),
}

impl Workload {
    /// Time for which calls arrive.
    #[must_use]
    pub fn span(&self) -> Duration {
        Duration::from_millis(self.length)
    }
}
