//! Settings of one process: identity, addresses and limits.
//!
//! Settings are JSON with comments. Accounts, shares, services, endpoints and data centres of
//! endpoints come from release notes instead. Unknown keys are rejected, and all values are
//! validated before anything starts.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use derive_more::Debug;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::entry::EntryLimits;
use crate::json::{JsonError, parse_json};
use crate::name::{CentreName, InstanceName, is_name};

/// Maximum settings file size, in bytes.
pub const SETTINGS_BYTES: usize = 64 << 10;
/// Minimum fleet key length, in characters.
pub const FLEET_KEY_CHARS: usize = 16;

/// Error in a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The text is not JSON with comments, or has an unknown or missing key or a wrong type.
    #[snafu(display("{source}"))]
    Syntax {
        /// Parse error with its position.
        source: JsonError,
    },
    /// A value is not allowed.
    #[snafu(display("{field}: {message}"))]
    Value {
        /// Path of the field.
        field: &'static str,
        /// What is wrong.
        message: String,
    },
    /// The file is larger than [`SETTINGS_BYTES`].
    #[snafu(display("the file has {bytes} bytes, more than {SETTINGS_BYTES}"))]
    TooLarge {
        /// Size of the file.
        bytes: usize,
    },
}

/// Settings of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceName,
    /// Data centre of the instance.
    pub centre: CentreName,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Keys of the fleet and its operators.
    pub keys: Keys,
    /// Fleet addresses of other instances, used until the instance list answers.
    #[serde(default)]
    pub seeds: Vec<Peer>,
    /// Durations.
    #[serde(default)]
    pub times: Times,
    /// Memory limits.
    #[serde(default)]
    pub limits: Limits,
    /// Limits towards callers and endpoints.
    #[serde(default)]
    pub entry: EntryLimits,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// Addresses that the process listens on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators, metrics and probes.
    pub operators: SocketAddr,
    /// Links between instances.
    pub fleet: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Object API.
    pub objects: SocketAddr,
    /// Instance list.
    pub instances: SocketAddr,
}

/// Keys of the fleet and its operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Shared secret that authenticates instances.
    #[debug("(secret)")]
    pub fleet: String,
    /// SHA-256 hash of the operators' key, in hexadecimal.
    pub operator: String,
}

/// Another instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its fleet address.
    pub address: SocketAddr,
}

/// Durations, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Times {
    /// Timeout of an object API call.
    pub store: u64,
    /// Connect and heartbeat timeout of a link.
    pub link: u64,
    /// Duration of a cell's lease.
    pub lease: u64,
    /// Maximum duration of a drain.
    pub drain: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            store: 2_000,
            link: 3_000,
            lease: 5_000,
            drain: 600_000,
        }
    }
}

/// Memory limits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limits {
    /// Events kept for the timeline.
    pub events: usize,
    /// Maximum bytes of a message between instances.
    pub frame_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            events: 4_096,
            frame_bytes: 4 << 20,
        }
    }
}

/// Logging.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Format of a line.
    pub format: LogFormat,
    /// Filter in the syntax of `tracing_subscriber::EnvFilter`.
    pub level: String,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
        }
    }
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the position or the field of the first error.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        if text.len() > SETTINGS_BYTES {
            return TooLargeSnafu { bytes: text.len() }.fail();
        }
        let settings: Self = parse_json(text).context(SyntaxSnafu)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        check_name("instance", self.instance.as_str())?;
        check_name("centre", self.centre.as_str())?;
        for seed in &self.seeds {
            check_name("seeds.instance", seed.instance.as_str())?;
        }
        check_reachable("platform.objects", self.platform.objects)?;
        check_reachable("platform.instances", self.platform.instances)?;
        ensure(
            "keys.fleet",
            self.keys.fleet.chars().count() >= FLEET_KEY_CHARS,
            "shorter than 16 characters",
        )?;
        ensure(
            "keys.operator",
            is_hash(&self.keys.operator),
            "not a SHA-256 hash in 64 hexadecimal digits",
        )?;
        self.check_listen()?;
        self.times.check()?;
        self.limits.check()?;
        check_entry(&self.entry)
    }

    fn check_listen(&self) -> Result<(), SettingsError> {
        let Listen {
            callers,
            operators,
            fleet,
        } = self.listen;
        let conflict = |a: SocketAddr, b: SocketAddr| a.port() != 0 && a == b;
        ensure(
            "listen",
            !conflict(callers, operators)
                && !conflict(callers, fleet)
                && !conflict(operators, fleet),
            "two addresses are the same",
        )?;
        // Peers connect to this address, so it cannot be a wildcard.
        ensure(
            "listen.fleet",
            !fleet.ip().is_unspecified(),
            "needs the instance's own IP number",
        )
    }
}

impl Times {
    fn check(&self) -> Result<(), SettingsError> {
        let ranges = [
            ("times.store", self.store, 10, 60_000),
            ("times.link", self.link, 100, 60_000),
            ("times.lease", self.lease, 500, 600_000),
            ("times.drain", self.drain, 100, 86_400_000),
        ];
        for (field, value, min, max) in ranges {
            let message = "outside the allowed range of milliseconds";
            ensure(field, (min..=max).contains(&value), message)?;
        }
        ensure(
            "times.store",
            self.store.saturating_mul(2) <= self.lease,
            "more than half of times.lease, so that a renewal could not be tried twice",
        )
    }

    /// Converts milliseconds to a duration.
    #[must_use]
    pub fn duration(millis: u64) -> Duration {
        Duration::from_millis(millis)
    }
}

impl Limits {
    fn check(&self) -> Result<(), SettingsError> {
        let ranges = [
            ("limits.events", self.events, 1, 1 << 20),
            ("limits.frame-bytes", self.frame_bytes, 64 << 10, 64 << 20),
        ];
        for (field, value, min, max) in ranges {
            ensure(
                field,
                (min..=max).contains(&value),
                "outside the allowed range",
            )?;
        }
        Ok(())
    }
}

fn check_entry(entry: &EntryLimits) -> Result<(), SettingsError> {
    let ranges = [
        ("entry.header-ms", entry.header_ms, 100, 600_000),
        ("entry.body-ms", entry.body_ms, 100, 3_600_000),
        ("entry.first-ms", entry.first_ms, 100, 3_600_000),
        ("entry.probe-ms", entry.probe_ms, 100, 3_600_000),
        ("entry.idle-ms", entry.idle_ms, 100, 3_600_000),
        ("entry.deadline-ms", entry.deadline_ms, 100, 86_400_000),
        ("entry.body-bytes", entry.body_bytes, 0, 1 << 32),
    ];
    for (field, value, min, max) in ranges {
        let message = "outside the allowed range";
        ensure(field, (min..=max).contains(&value), message)?;
    }
    let ranges = [
        ("entry.header-bytes", entry.header_bytes, 1 << 10, 1 << 20),
        ("entry.replay-bytes", entry.replay_bytes, 0, 64 << 20),
        (
            "entry.buffer-bytes",
            entry.buffer_bytes,
            entry.replay_bytes,
            1 << 32,
        ),
        ("entry.connections", entry.connections, 1, 1 << 20),
    ];
    for (field, value, min, max) in ranges {
        let message = "outside the allowed range";
        ensure(field, (min..=max).contains(&value), message)?;
    }
    Ok(())
}

fn ensure(field: &'static str, is_valid: bool, message: &str) -> Result<(), SettingsError> {
    if is_valid {
        return Ok(());
    }
    ValueSnafu { field, message }.fail()
}

fn check_name(field: &'static str, text: &str) -> Result<(), SettingsError> {
    let message = "not 1 to 63 lowercase letters, digits, dots, hyphens or underscores";
    ensure(field, is_name(text), message)
}

fn check_reachable(field: &'static str, address: SocketAddr) -> Result<(), SettingsError> {
    let is_unspecified =
        address.ip() == IpAddr::V4(Ipv4Addr::UNSPECIFIED) || address.ip().is_unspecified();
    ensure(
        field,
        !is_unspecified && address.port() != 0,
        "not an address that can be reached",
    )
}

/// Whether `text` is a SHA-256 hash in hexadecimal.
#[must_use]
pub fn is_hash(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit())
}
