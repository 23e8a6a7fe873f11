//! Release notes: what operators add, change and withdraw, against a base revision.
//!
//! A note is written as JSON with comments and kept in version control. [`Note::apply`] is pure:
//! it returns the next configuration or every inconsistency of the note. [`plan`] is the reverse:
//! it returns the note that leads to a declared state.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{ResultExt, Snafu, ensure};

use crate::config::{Account, Centre, Config, Endpoint, Service};
use crate::json::{JsonError, parse_json};
use crate::name::{AccountName, CentreName, EndpointName, Revision, ServiceName};
use crate::rules;
use crate::unique;

/// A release note.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// One-line summary of the note.
    pub title: String,
    /// Revision that the note was written against.
    pub base: Revision,
    /// New items.
    #[serde(default)]
    pub added: Items,
    /// Items that replace those of the same name.
    #[serde(default)]
    pub changed: Items,
    /// Names of removed items.
    #[serde(default)]
    pub withdrawn: Names,
}

/// Items of a configuration by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Items {
    /// Client accounts.
    #[serde(
        deserialize_with = "unique::map",
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub accounts: BTreeMap<AccountName, Account>,
    /// Services.
    #[serde(
        deserialize_with = "unique::map",
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub services: BTreeMap<ServiceName, Service>,
    /// Endpoints.
    #[serde(
        deserialize_with = "unique::map",
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub endpoints: BTreeMap<EndpointName, Endpoint>,
    /// Data centres.
    #[serde(
        deserialize_with = "unique::map",
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub centres: BTreeMap<CentreName, Centre>,
}

/// Names of items of a configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Names {
    /// Client accounts.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub accounts: BTreeSet<AccountName>,
    /// Services.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub services: BTreeSet<ServiceName>,
    /// Endpoints.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub endpoints: BTreeSet<EndpointName>,
    /// Data centres.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub centres: BTreeSet<CentreName>,
}

/// Identity of a note: SHA-256 of its content, in hexadecimal.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// The digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        use std::fmt::Write as _;
        let hash = Sha256::digest(bytes);
        let hex = hash.iter().fold(String::new(), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        });
        Self(hex)
    }

    /// The digest as hexadecimal text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Error of parsing or applying a note.
#[derive(Debug, Snafu)]
pub enum NoteError {
    /// The text is not a note.
    #[snafu(display("{source}"))]
    Syntax {
        /// Error with its place.
        source: JsonError,
    },
    /// The note was written against another revision.
    #[snafu(display("the note is against revision {base}, but {present} is in force"))]
    Base {
        /// Revision that the note names.
        base: Revision,
        /// Revision of the configuration.
        present: Revision,
    },
    /// The note does not fit the configuration.
    #[snafu(display("{}", join_problems(problems)))]
    Inconsistent {
        /// All inconsistencies, by place.
        problems: Vec<NoteProblem>,
    },
}

/// One inconsistency of a note.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{place}: {reason}")]
pub struct NoteProblem {
    /// Path into the note or the resulting configuration, such as `added.endpoints.e1.cold`.
    pub place: String,
    /// What is wrong there.
    pub reason: Reason,
}

/// Cause of an inconsistency.
#[derive(Clone, Debug, Display, Eq, IsVariant, PartialEq)]
pub enum Reason {
    /// The name is not valid.
    #[display("a name has 1 to 63 lowercase letters, digits, dots, hyphens or underscores")]
    BadName,
    /// An added item exists.
    #[display("it exists already")]
    Exists,
    /// A changed or withdrawn item does not exist.
    #[display("it does not exist")]
    Missing,
    /// The note names the item twice.
    #[display("the note names it twice")]
    Twice,
    /// A number is below its least value.
    #[display("must be at least {_0}")]
    TooSmall(u64),
    /// A key hash is not 64 lowercase hexadecimal digits.
    #[display("a key is given as the 64 hexadecimal digits of its SHA-256 hash")]
    BadKey,
    /// Another account has the same key.
    #[display("account {_0} has the same key")]
    SharedKey(AccountName),
    /// The endpoint's service does not exist.
    #[display("there is no service {_0}")]
    NoService(ServiceName),
    /// The endpoint's data centre does not exist.
    #[display("there is no data centre {_0}")]
    NoCentre(CentreName),
    /// Another endpoint has the same address.
    #[display("endpoint {_0} has the same address")]
    SharedAddress(EndpointName),
    /// An endpoint still belongs to the withdrawn service or data centre.
    #[display("endpoint {_0} still belongs to it")]
    InUse(EndpointName),
    /// A route's prefix does not begin with a slash.
    #[display("a prefix begins with a slash")]
    BadPrefix,
    /// Two routes of a service have the same prefix.
    #[display("two routes have this prefix")]
    SamePrefix,
    /// The title is empty.
    #[display("a note needs a title")]
    NoTitle,
}

fn join_problems(problems: &[NoteProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Note {
    /// Reads a note from JSON with comments.
    ///
    /// # Errors
    ///
    /// [`NoteError::Syntax`] with the place, also for unknown keys.
    pub fn parse(text: &str) -> Result<Self, NoteError> {
        parse_json(text).context(SyntaxSnafu)
    }

    /// The note's identity. Equal notes against equal bases have the same.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Digest::of(&bytes)
    }

    /// Whether the note adds, changes and withdraws nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows().is_empty()
    }

    /// The configuration after this note, one revision higher.
    ///
    /// # Errors
    ///
    /// [`NoteError::Base`] if `config` has another revision than the note's base,
    /// [`NoteError::Inconsistent`] with every inconsistency.
    pub fn apply(&self, config: &Config) -> Result<Config, NoteError> {
        ensure!(
            self.base == config.revision,
            BaseSnafu {
                base: self.base,
                present: config.revision
            }
        );
        let mut problems = Vec::new();
        if self.title.trim().is_empty() {
            problems.push(NoteProblem::at("title", Reason::NoTitle));
        }
        let mut next = config.clone();
        let (added, changed, withdrawn) = (&self.added, &self.changed, &self.withdrawn);
        let mut edit = Edit {
            problems: &mut problems,
            kind: "",
        };
        edit.kind = "accounts";
        edit.apply(
            &mut next.accounts,
            &added.accounts,
            &changed.accounts,
            &withdrawn.accounts,
        );
        edit.kind = "services";
        edit.apply(
            &mut next.services,
            &added.services,
            &changed.services,
            &withdrawn.services,
        );
        edit.kind = "endpoints";
        edit.apply(
            &mut next.endpoints,
            &added.endpoints,
            &changed.endpoints,
            &withdrawn.endpoints,
        );
        edit.kind = "centres";
        edit.apply(
            &mut next.centres,
            &added.centres,
            &changed.centres,
            &withdrawn.centres,
        );
        rules::check(&next, self, &mut problems);
        ensure!(problems.is_empty(), InconsistentSnafu { problems });
        next.revision = Revision(config.revision.0 + 1);
        Ok(next)
    }

    /// One row for each item of the note, withdrawn ones first.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let mut rows = Vec::new();
        rows.extend(
            self.withdrawn
                .places()
                .map(|p| Row::new(Action::Withdrawn, p)),
        );
        rows.extend(self.changed.places().map(|p| Row::new(Action::Changed, p)));
        rows.extend(self.added.places().map(|p| Row::new(Action::Added, p)));
        rows
    }
}

/// One item of a note.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{action} {place}")]
pub struct Row {
    /// What happens to it.
    pub action: Action,
    /// Kind and name, such as `endpoints.e1`.
    pub place: String,
}

/// What a note does to an item.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The item is new.
    #[display("+")]
    Added,
    /// The item is replaced.
    #[display("~")]
    Changed,
    /// The item is removed.
    #[display("-")]
    Withdrawn,
}

impl Row {
    fn new(action: Action, place: String) -> Self {
        Self { action, place }
    }
}

impl Items {
    /// Kind and name of each item.
    pub fn places(&self) -> impl Iterator<Item = String> + '_ {
        let accounts = self.accounts.keys().map(|n| format!("accounts.{n}"));
        let services = self.services.keys().map(|n| format!("services.{n}"));
        let endpoints = self.endpoints.keys().map(|n| format!("endpoints.{n}"));
        let centres = self.centres.keys().map(|n| format!("centres.{n}"));
        accounts.chain(services).chain(endpoints).chain(centres)
    }
}

impl Names {
    /// Kind and name of each item.
    pub fn places(&self) -> impl Iterator<Item = String> + '_ {
        let accounts = self.accounts.iter().map(|n| format!("accounts.{n}"));
        let services = self.services.iter().map(|n| format!("services.{n}"));
        let endpoints = self.endpoints.iter().map(|n| format!("endpoints.{n}"));
        let centres = self.centres.iter().map(|n| format!("centres.{n}"));
        accounts.chain(services).chain(endpoints).chain(centres)
    }
}

impl NoteProblem {
    pub(crate) fn at(place: impl fmt::Display, reason: Reason) -> Self {
        Self {
            place: place.to_string(),
            reason,
        }
    }
}

/// Edits the map of one kind and collects problems.
struct Edit<'a> {
    problems: &'a mut Vec<NoteProblem>,
    kind: &'static str,
}

impl Edit<'_> {
    fn apply<K: Ord + Clone + fmt::Display, V: Clone>(
        &mut self,
        map: &mut BTreeMap<K, V>,
        added: &BTreeMap<K, V>,
        changed: &BTreeMap<K, V>,
        withdrawn: &BTreeSet<K>,
    ) {
        let present: BTreeSet<K> = map.keys().cloned().collect();
        for name in withdrawn {
            self.require(present.contains(name), "withdrawn", name, Reason::Missing);
            map.remove(name);
        }
        for (name, item) in changed {
            self.require(present.contains(name), "changed", name, Reason::Missing);
            self.require(!withdrawn.contains(name), "changed", name, Reason::Twice);
            map.insert(name.clone(), item.clone());
        }
        for (name, item) in added {
            self.require(!present.contains(name), "added", name, Reason::Exists);
            map.insert(name.clone(), item.clone());
        }
    }

    fn require(&mut self, holds: bool, part: &str, name: &impl fmt::Display, reason: Reason) {
        if !holds {
            let place = format!("{part}.{}.{name}", self.kind);
            self.problems.push(NoteProblem { place, reason });
        }
    }
}

/// The note that leads from `present` to `declared`.
///
/// The revision of `declared` is ignored; the note's base is that of `present`.
#[must_use]
pub fn plan(title: &str, declared: &Config, present: &Config) -> Note {
    let mut note = Note {
        title: title.to_owned(),
        base: present.revision,
        ..Note::default()
    };
    (
        note.added.accounts,
        note.changed.accounts,
        note.withdrawn.accounts,
    ) = difference(&declared.accounts, &present.accounts);
    (
        note.added.services,
        note.changed.services,
        note.withdrawn.services,
    ) = difference(&declared.services, &present.services);
    (
        note.added.endpoints,
        note.changed.endpoints,
        note.withdrawn.endpoints,
    ) = difference(&declared.endpoints, &present.endpoints);
    (
        note.added.centres,
        note.changed.centres,
        note.withdrawn.centres,
    ) = difference(&declared.centres, &present.centres);
    note
}

type Difference<K, V> = (BTreeMap<K, V>, BTreeMap<K, V>, BTreeSet<K>);

fn difference<K: Ord + Clone, V: Clone + PartialEq>(
    declared: &BTreeMap<K, V>,
    present: &BTreeMap<K, V>,
) -> Difference<K, V> {
    let pair = |(name, item): (&K, &V)| (name.clone(), item.clone());
    let added = declared
        .iter()
        .filter(|(name, _)| !present.contains_key(name))
        .map(pair)
        .collect();
    let changed = declared
        .iter()
        .filter(|(name, item)| present.get(name).is_some_and(|p| p != *item))
        .map(pair)
        .collect();
    let withdrawn = present
        .keys()
        .filter(|name| !declared.contains_key(name))
        .cloned()
        .collect();
    (added, changed, withdrawn)
}
