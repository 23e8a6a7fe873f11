//! The configuration in the platform's store: a head object and content-addressed shards.
//!
//! Accepting a note writes the changed shards first and the head last, by one conditional update.
//! That update is the only point at which the note takes effect. When its answer is lost, the
//! head is read back and the note's digest in it tells whether it was accepted.
//!
//! A note that needs a shard of a name which exists already writes it again, which raises its
//! version. Deleting is conditional on the version seen before, so a shard that a note has just
//! come to need is never deleted under it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::config::Config;
use crate::name::Revision;
use crate::note::{Digest, Items, Note, NoteError, Row};
use crate::shard::{self, Accepted, Head, Shard, ShardRef};
use crate::store::{Condition, ObjectKind, Store, StoreError, Version};

/// Name of the head object.
pub const HEAD_NAME: &str = "head";

/// Tries to settle a conditional update whose answer was lost.
const TRIES: usize = 8;

/// Tries to write a shard; a lost answer costs two.
const SHARD_TRIES: usize = 2 * TRIES;

/// Notes that the head remembers.
const KEPT_NOTES: usize = 64;

/// Items that the head names for each remembered note.
const KEPT_ROWS: usize = 24;

/// Retired shards that the head lists. More are left to [`collect`].
const KEPT_RETIRED: usize = 256;

/// Retired shards that one note deletes.
const DELETED_SHARDS: usize = 4;

/// Result of accepting a note.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acceptance {
    /// Revision that the note led to.
    pub revision: Revision,
    /// Whether it had been accepted before.
    pub repeated: bool,
}

/// Error of storing or reading the configuration.
#[derive(Debug, Snafu)]
pub enum PublishError {
    /// Another note was accepted since the note's base.
    #[snafu(display("{}", conflict(*base, *present, since)))]
    Race {
        /// Base of the note.
        base: Revision,
        /// Revision in the store.
        present: Revision,
        /// Notes accepted since the base, as far as the head remembers them.
        since: Vec<Accepted>,
    },
    /// The note does not fit the stored configuration.
    #[snafu(display("{source}"))]
    Unfit {
        /// Error of the note.
        source: NoteError,
    },
    /// The store failed before the head was written. The note is not accepted.
    #[snafu(display("the note is not accepted: {source}"))]
    NotAccepted {
        /// Error of the store.
        source: StoreError,
    },
    /// The answer to the head's update was lost and the head cannot be read back. The same note
    /// may be applied again without harm.
    #[snafu(display("whether the note is accepted cannot be told now: {source}"))]
    Unsettled {
        /// Error of the store.
        source: StoreError,
    },
    /// Reading failed.
    #[snafu(display("the configuration cannot be read: {source}"))]
    Unread {
        /// Error of the store.
        source: StoreError,
    },
    /// A stored object is not what it should be.
    #[snafu(display("stored object {name} is damaged"))]
    Damaged {
        /// Name of the object.
        name: String,
    },
    /// The head kept changing while its shards were read.
    #[snafu(display("the stored configuration changes too fast to be read"))]
    Unsteady,
}

fn conflict(base: Revision, present: Revision, since: &[Accepted]) -> String {
    let first = format!("the note is against revision {base}, the store has {present}");
    let notes = since.iter().map(|note| {
        let touched = note.touched.join(", ");
        format!("{} \"{}\": {touched}", note.revision, note.title)
    });
    let lines: Vec<String> = std::iter::once(first).chain(notes).collect();
    lines.join("\n")
}

/// The stored configuration as last read, with its parts for the next reading.
#[derive(Clone, Debug, Default)]
pub struct Known {
    version: Version,
    head: Head,
    parts: BTreeMap<Digest, Arc<Items>>,
}

impl Known {
    /// Revision that was read last.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Version of the head object that was read last, for a watch.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// The latest accepted notes, oldest first.
    #[must_use]
    pub fn notes(&self) -> &[Accepted] {
        &self.head.notes
    }

    /// The configuration that was read last.
    #[must_use]
    pub fn config(&self) -> Config {
        let parts = self.head.shards.iter();
        let parts = parts.filter_map(|s| self.parts.get(&s.digest));
        shard::merge_shards(self.head.revision, parts.map(AsRef::as_ref))
    }

    fn condition(&self) -> Condition {
        if self.version == Version::default() {
            Condition::Absent
        } else {
            Condition::Match(self.version)
        }
    }
}

/// Reads the head, and the shards that `known` lacks, into `known`.
///
/// A head with a lower revision than `known` is not taken in.
///
/// # Errors
///
/// [`PublishError::Unread`], [`PublishError::Damaged`] or [`PublishError::Unsteady`]; `known` is
/// then as before.
pub async fn fetch(store: &Store, known: &mut Known) -> Result<(), PublishError> {
    for _ in 0..TRIES {
        let object = store.get(ObjectKind::ConfigHead, HEAD_NAME).await;
        let Some(object) = object.context(UnreadSnafu)? else {
            return Ok(());
        };
        if object.version <= known.version {
            return Ok(());
        }
        let head: Head = decode(HEAD_NAME, &object.value.unwrap_or_default())?;
        if head.revision < known.head.revision {
            return Ok(());
        }
        if let Some(parts) = fetch_parts(store, &head, &known.parts).await? {
            *known = Known {
                version: object.version,
                head,
                parts,
            };
            return Ok(());
        }
    }
    UnsteadySnafu.fail()
}

type Parts = BTreeMap<Digest, Arc<Items>>;

/// The shards of `head`, or `None` if one was deleted because the head has changed since.
async fn fetch_parts(
    store: &Store,
    head: &Head,
    present: &Parts,
) -> Result<Option<Parts>, PublishError> {
    let mut parts = Parts::new();
    for ShardRef { digest, .. } in &head.shards {
        if let Some(part) = present.get(digest) {
            parts.insert(digest.clone(), part.clone());
            continue;
        }
        let name = digest.as_str();
        let object = store.get(ObjectKind::ConfigShard, name).await;
        let Some(text) = object.context(UnreadSnafu)?.and_then(|o| o.value) else {
            return Ok(None);
        };
        snafu::ensure!(
            Digest::of(text.as_bytes()) == *digest,
            DamagedSnafu { name }
        );
        parts.insert(digest.clone(), Arc::new(decode(name, &text)?));
    }
    Ok(Some(parts))
}

fn decode<T: for<'de> Deserialize<'de>>(name: &str, text: &str) -> Result<T, PublishError> {
    serde_json::from_str(text)
        .ok()
        .context(DamagedSnafu { name })
}

/// Makes `note` part of the stored configuration.
///
/// # Errors
///
/// Any [`PublishError`]. Only after `Unsettled` may the note have been accepted.
pub async fn accept(
    store: &Store,
    note: &Note,
    known: &mut Known,
) -> Result<Acceptance, PublishError> {
    let digest = note.digest();
    let mut lost = None;
    for _ in 0..TRIES {
        match fetch(store, known).await {
            Ok(()) => {}
            Err(PublishError::Unread { source }) if lost.is_some() => {
                return Err(PublishError::Unsettled { source });
            }
            Err(error) => return Err(error),
        }
        if let Some(found) = known.head.notes.iter().find(|n| n.digest == digest) {
            return Ok(Acceptance {
                revision: found.revision,
                repeated: lost.is_none(),
            });
        }
        if note.base != known.revision() {
            return Err(race(note, known));
        }
        let next = note.apply(&known.config()).context(UnfitSnafu)?;
        let shards = divided(&next)?;
        let refs = write_shards(store, &shards, known)
            .await
            .context(NotAcceptedSnafu)?;
        let head = next_head(note, next.revision, refs, known);
        match write_head(store, &head, known.condition()).await {
            Ok(version) => {
                let swept = std::mem::take(&mut known.head.retired);
                *known = Known {
                    version,
                    head,
                    parts: parts_of(&shards),
                };
                sweep(store, &swept).await;
                return Ok(Acceptance {
                    revision: next.revision,
                    repeated: false,
                });
            }
            Err(StoreError::Conflict { .. }) => {}
            Err(source @ StoreError::Unknown { .. }) => lost = Some(source),
            Err(source) => return Err(PublishError::NotAccepted { source }),
        }
    }
    match lost {
        Some(source) => Err(PublishError::Unsettled { source }),
        None => Err(race(note, known)),
    }
}

fn race(note: &Note, known: &Known) -> PublishError {
    let since = known.head.notes.iter();
    PublishError::Race {
        base: note.base,
        present: known.revision(),
        since: since.filter(|n| n.revision > note.base).cloned().collect(),
    }
}

fn divided(config: &Config) -> Result<Vec<Shard>, PublishError> {
    let shards = shard::split_config(config).ok();
    shards.context(DamagedSnafu { name: HEAD_NAME })
}

/// The head after `note`.
fn next_head(note: &Note, revision: Revision, shards: Vec<ShardRef>, known: &Known) -> Head {
    let old = &known.head;
    let mut notes = old.notes.clone();
    notes.push(Accepted {
        revision,
        digest: note.digest(),
        title: note.title.clone(),
        touched: touched(&note.rows()),
    });
    let is_used = |r: &&ShardRef| shards.iter().any(|s| s.digest == r.digest);
    let left = old.retired.iter().skip(DELETED_SHARDS);
    let dropped = old.shards.iter();
    let retired = left.chain(dropped).filter(|r| !is_used(r));
    let mut retired: Vec<ShardRef> = retired.cloned().collect();
    last(&mut notes, KEPT_NOTES);
    last(&mut retired, KEPT_RETIRED);
    Head {
        revision,
        shards,
        notes,
        retired,
    }
}

fn touched(rows: &[Row]) -> Vec<String> {
    let named = rows.iter().take(KEPT_ROWS);
    let mut touched: Vec<String> = named.map(ToString::to_string).collect();
    if rows.len() > KEPT_ROWS {
        touched.push(format!("and {} more", rows.len() - KEPT_ROWS));
    }
    touched
}

fn last<T>(list: &mut Vec<T>, most: usize) {
    let extra = list.len().saturating_sub(most);
    list.drain(..extra);
}

fn parts_of(shards: &[Shard]) -> Parts {
    let parts = shards.iter().filter_map(|s| {
        let items = serde_json::from_str(&s.text).ok()?;
        Some((s.digest.clone(), Arc::new(items)))
    });
    parts.collect()
}

/// Writes the shards that the head does not refer to yet.
async fn write_shards(
    store: &Store,
    shards: &[Shard],
    known: &Known,
) -> Result<Vec<ShardRef>, StoreError> {
    let mut refs = Vec::new();
    for shard in shards {
        let present = known.head.shards.iter();
        let present = present.clone().find(|r| r.digest == shard.digest);
        refs.push(match present {
            Some(present) => present.clone(),
            None => write_shard(store, shard).await?,
        });
    }
    Ok(refs)
}

/// Writes one shard, also if it exists, so that its version rises.
async fn write_shard(store: &Store, shard: &Shard) -> Result<ShardRef, StoreError> {
    let name = shard.digest.as_str();
    let mut condition = Condition::Absent;
    let mut tries = 0;
    loop {
        tries += 1;
        let text = shard.text.clone();
        match store
            .put(ObjectKind::ConfigShard, name, condition, text)
            .await
        {
            Ok(version) => {
                return Ok(ShardRef {
                    digest: shard.digest.clone(),
                    version,
                });
            }
            Err(StoreError::Conflict { present }) if tries < SHARD_TRIES => {
                condition = present.map_or(Condition::Absent, Condition::Match);
            }
            Err(StoreError::Unknown { .. }) if tries < SHARD_TRIES => {}
            Err(error) => return Err(error),
        }
    }
}

async fn write_head(
    store: &Store,
    head: &Head,
    condition: Condition,
) -> Result<Version, StoreError> {
    let text = serde_json::to_string(head).unwrap_or_default();
    store
        .put(ObjectKind::ConfigHead, HEAD_NAME, condition, text)
        .await
}

/// Deletes the first of the `retired` shards. A failure leaves them to [`collect`].
async fn sweep(store: &Store, retired: &[ShardRef]) {
    for shard in retired.iter().take(DELETED_SHARDS) {
        let name = shard.digest.as_str();
        let _ = store
            .delete(ObjectKind::ConfigShard, name, shard.version)
            .await;
    }
}

/// Deletes at most `most` shards that failed notes have left, and returns their number.
///
/// A shard younger than the head may belong to a note that is just being accepted, so it stays.
///
/// # Errors
///
/// Any error of [`fetch`].
pub async fn collect(store: &Store, most: usize) -> Result<usize, PublishError> {
    let listing = store.list(ObjectKind::ConfigShard).await;
    let listing = listing.context(UnreadSnafu)?;
    let mut known = Known::default();
    fetch(store, &mut known).await?;
    let is_kept = |name: &str| {
        let refs = known.head.shards.iter().chain(&known.head.retired);
        refs.clone().any(|r| r.digest.as_str() == name)
    };
    let mut count = 0;
    let left = listing.objects.iter().filter(|o| o.version < known.version);
    for object in left.filter(|o| !is_kept(&o.name)).take(most) {
        let deleted = store.delete(ObjectKind::ConfigShard, &object.name, object.version);
        count += usize::from(deleted.await.is_ok());
    }
    Ok(count)
}
