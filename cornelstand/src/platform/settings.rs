//! Parses the platform's settings file: lines of the form `a.b=value`, lists separated by commas.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};

use crate::gateway::budget::RetryRule;
use crate::gateway::settings::{GatewaySettings, RolloutBounds};
use crate::name::{CentreName, InstanceName};

/// Defaults for settings missing from the file; the platform normally sets them per deployment.
const DEFAULT_GRACE_S: f64 = 8.0;
const DEFAULT_CONTACT_MS: f64 = 3_000.0;
const DEFAULT_RETRY_RATIO: f64 = 0.2;
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
const DEFAULT_COLD_OVER: f64 = 1.5;
const DEFAULT_CANARY_SHARE: f64 = 0.1;
const DEFAULT_ROLLBACK_MS: f64 = 5_000.0;
/// Bytes in a megabyte, as used in the file.
const MEGABYTE: usize = 1024 * 1024;

/// Error in a settings file.
#[derive(Debug, Snafu)]
pub(crate) enum SettingsFileError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings {path}: {source}"))]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    /// A required setting is missing.
    #[snafu(display("settings: {key} is missing"))]
    Missing { key: &'static str },
    /// A setting is malformed.
    #[snafu(display("settings: {key} has the value {value:?}, which is not {expected}"))]
    Malformed {
        key: &'static str,
        value: String,
        expected: &'static str,
    },
}

/// Reads the settings file at `path`.
///
/// # Errors
///
/// Fails if the file cannot be read or a setting is missing or malformed.
pub(crate) fn read_settings(path: &str) -> Result<GatewaySettings, SettingsFileError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    parse_settings(&text)
}

/// Parses the text of a settings file. Unknown settings are ignored.
///
/// # Errors
///
/// Fails if a setting is missing or malformed.
pub(crate) fn parse_settings(text: &str) -> Result<GatewaySettings, SettingsFileError> {
    let lines = text.lines().filter_map(|l| l.split_once('='));
    let fields: HashMap<&str, &str> = lines.map(|(k, v)| (k.trim(), v.trim())).collect();
    let file = Fields(fields);
    let centres = file.0.keys().filter_map(|k| k.strip_prefix("zones."));
    let peer_ports = file.ports("internal_ports")?;
    Ok(GatewaySettings {
        instance: InstanceName::from(file.text("node")?),
        centre: CentreName::from(file.text("zone")?),
        centres: centres.map(CentreName::from).collect(),
        callers: file.value("listen.front", "an address")?,
        readiness: file.value("listen.ready", "an address")?,
        control: file.optional("listen.control", "an address")?,
        peer_ports,
        seeds: file.addresses("seeds")?,
        store: file.value("platform.address", "an address")?,
        grace: file.seconds("bounds.grace_s", DEFAULT_GRACE_S)?,
        contact: file.milliseconds("bounds.contact_ms", DEFAULT_CONTACT_MS)?,
        retry: RetryRule {
            ratio: file.number("bounds.retry_budget_ratio", DEFAULT_RETRY_RATIO)?,
            slack: file.number("bounds.budget_slack", 0.0)?,
            window: file.seconds("bounds.retry_window_s", DEFAULT_RETRY_WINDOW_S)?,
        },
        cold_over: file.number("bounds.cold_over", DEFAULT_COLD_OVER)?,
        cold_slack: file.number("bounds.cold_slack", 0.0)?,
        cores: file
            .optional("limits.cpu_share", "a number")?
            .unwrap_or(1.0),
        descriptors: file.value("limits.max_fds", "a number")?,
        memory: file.value::<usize>("limits.memory_mb", "a number")? * MEGABYTE,
        rollout: file.rollout()?,
    })
}

struct Fields<'a>(HashMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn text(&self, key: &'static str) -> Result<&'a str, SettingsFileError> {
        let value = self.0.get(key).copied().filter(|v| !v.is_empty());
        value.context(MissingSnafu { key })
    }

    fn value<T: FromStr>(
        &self,
        key: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsFileError> {
        let value = self.text(key)?;
        parse(key, value, expected)
    }

    fn optional<T: FromStr>(
        &self,
        key: &'static str,
        expected: &'static str,
    ) -> Result<Option<T>, SettingsFileError> {
        let value = self.0.get(key).filter(|v| !v.is_empty());
        value.map(|v| parse(key, v, expected)).transpose()
    }

    fn number(&self, key: &'static str, default: f64) -> Result<f64, SettingsFileError> {
        let value: Option<f64> = self.optional(key, "a number")?;
        let value = value.unwrap_or(default);
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        MalformedSnafu {
            key,
            value: value.to_string(),
            expected: "a number that is not negative",
        }
        .fail()
    }

    /// Limits of roll-outs, if they are among the parts of the rules in force.
    fn rollout(&self) -> Result<Option<RolloutBounds>, SettingsFileError> {
        let contracts = self.0.get("contracts").copied().unwrap_or_default();
        if !contracts.split(',').any(|c| c.trim() == "rollout") {
            return Ok(None);
        }
        Ok(Some(RolloutBounds {
            share: self.number("bounds.canary_share", DEFAULT_CANARY_SHARE)?,
            slack: self.number("bounds.canary_slack", 0.0)?,
            rollback: self.milliseconds("bounds.rollback_ms", DEFAULT_ROLLBACK_MS)?,
        }))
    }

    fn seconds(&self, key: &'static str, default: f64) -> Result<Duration, SettingsFileError> {
        self.number(key, default).map(Duration::from_secs_f64)
    }

    fn milliseconds(&self, key: &'static str, default: f64) -> Result<Duration, SettingsFileError> {
        self.number(key, default)
            .map(|ms| Duration::from_secs_f64(ms / 1e3))
    }

    fn addresses(&self, key: &'static str) -> Result<Vec<SocketAddr>, SettingsFileError> {
        let list = self.0.get(key).copied().unwrap_or_default();
        let parts = list.split(',').filter(|p| !p.trim().is_empty());
        parts
            .map(|p| parse(key, p.trim(), "a list of addresses"))
            .collect()
    }

    /// Parses an inclusive port range given as two ports.
    fn ports(&self, key: &'static str) -> Result<RangeInclusive<u16>, SettingsFileError> {
        let value = self.text(key)?;
        let expected = "two ports";
        let malformed = MalformedSnafu {
            key,
            value,
            expected,
        };
        let (first, last) = value.split_once(',').context(malformed)?;
        Ok(parse(key, first.trim(), expected)?..=parse(key, last.trim(), expected)?)
    }
}

fn parse<T: FromStr>(
    key: &'static str,
    value: &str,
    expected: &'static str,
) -> Result<T, SettingsFileError> {
    value.parse().ok().context(MalformedSnafu {
        key,
        value,
        expected,
    })
}
