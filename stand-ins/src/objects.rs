//! Contents, faults and counts of the object API.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// How the object API is down.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It answers 503.
    Refuse,
    /// It gives no answer.
    Hang,
}

/// Faults of the object API, switchable while it runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectFaults {
    /// Whether it is down. Waiting watches end too.
    pub outage: Option<Outage>,
    /// Milliseconds added to each call, half of them before it takes effect.
    pub slow: u64,
    /// Number of coming writes that take effect and lose their answer.
    pub lost: u32,
    /// Writes a second above which calls are refused with 429.
    pub writes: Option<u32>,
    /// Reads a second above which calls are refused with 429. A waiting watch counts once.
    pub reads: Option<u32>,
}

/// Calls to the object API.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Reads of a whole kind.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Writes on condition that there is no object.
    pub creates: u64,
    /// Writes on condition of a version.
    pub replaces: u64,
    /// Deletions.
    pub deletes: u64,
    /// Writes refused for their condition.
    pub conflicts: u64,
    /// Calls refused in an outage.
    pub outages: u64,
    /// Calls refused above the rate.
    pub limited: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost: u64,
    /// Calls by kind of object.
    pub kinds: BTreeMap<String, u64>,
}

impl ObjectCounts {
    /// All calls, whatever their result.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.kinds.values().sum()
    }
}

/// Condition of a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Rule {
    Absent,
    Match(u64),
}

/// Result of a write that was not made.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Miss {
    /// The present version, if there is an object.
    Changed(Option<u64>),
    Absent,
}

#[derive(Debug, Default)]
pub(crate) struct Objects {
    version: u64,
    kinds: BTreeMap<String, BTreeMap<String, Entry>>,
}

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) version: u64,
    pub(crate) value: Option<Arc<str>>,
}

impl Objects {
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<(u64, Arc<str>)> {
        let entry = self.kinds.get(kind)?.get(name)?;
        Some((entry.version, entry.value.clone()?))
    }

    /// The objects of a kind; with `after`, those changed since, deleted ones too.
    pub(crate) fn list(&self, kind: &str, after: Option<u64>) -> Vec<(&str, &Entry)> {
        let entries = self.kinds.get(kind).into_iter().flatten();
        entries
            .filter(|(_, e)| after.map_or(e.value.is_some(), |v| e.version > v))
            .map(|(name, e)| (name.as_str(), e))
            .collect()
    }

    pub(crate) fn put(
        &mut self,
        kind: &str,
        name: &str,
        rule: Rule,
        value: &str,
    ) -> Result<u64, Miss> {
        let present = self.get(kind, name).map(|(version, _)| version);
        let holds = match rule {
            Rule::Absent => present.is_none(),
            Rule::Match(version) => present == Some(version),
        };
        if !holds {
            return Err(Miss::Changed(present));
        }
        Ok(self.write(kind, name, Some(value.into())))
    }

    pub(crate) fn delete(&mut self, kind: &str, name: &str, version: u64) -> Result<u64, Miss> {
        let present = self.get(kind, name).map(|(version, _)| version);
        match present {
            None => Err(Miss::Absent),
            Some(v) if v != version => Err(Miss::Changed(present)),
            Some(_) => Ok(self.write(kind, name, None)),
        }
    }

    fn write(&mut self, kind: &str, name: &str, value: Option<Arc<str>>) -> u64 {
        self.version += 1;
        let version = self.version;
        let entry = Entry { version, value };
        let kind = self.kinds.entry(kind.to_owned()).or_default();
        kind.insert(name.to_owned(), entry);
        version
    }
}

/// Calls admitted in the present second.
#[derive(Debug)]
pub(crate) struct Window {
    start: Instant,
    calls: u32,
}

impl Window {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            start: now,
            calls: 0,
        }
    }

    /// Admits a call unless `limit` calls were admitted in this second.
    pub(crate) fn admit(&mut self, now: Instant, limit: Option<u32>) -> bool {
        if now.saturating_duration_since(self.start) >= WINDOW {
            *self = Self::new(now);
        }
        if limit.is_some_and(|l| self.calls >= l) {
            return false;
        }
        self.calls += 1;
        true
    }
}
