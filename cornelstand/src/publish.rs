//! The configuration in the platform's store: a head object and content-addressed shards.
//!
//! Accepting a note writes the changed shards first and the head last, by one conditional update.
//! That update is the only point at which the note takes effect. When its answer is lost, the
//! head is read back and the note's digest in it tells whether it was accepted.
//!
//! A note that needs an existing shard writes it again, which raises its version. Deletion is
//! conditional on the version seen before, so a shard that another note has just started to use
//! is never deleted.

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

/// Attempts to read the head or settle a lost update.
const MAX_ATTEMPTS: usize = 8;

/// Attempts per shard; a lost answer costs two.
const MAX_SHARD_ATTEMPTS: usize = 2 * MAX_ATTEMPTS;

/// Notes listed in the head.
const HEAD_NOTES: usize = 64;

/// Items listed in the head for each note.
const ROWS_PER_NOTE: usize = 24;

/// Retired shards listed in the head. [`collect`] deletes the rest.
const HEAD_RETIRED: usize = 256;

/// Retired shards deleted per note.
const DELETIONS_PER_NOTE: usize = 4;

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
        /// Notes accepted since the base, as far as the head lists them.
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
    /// can safely be sent again.
    #[snafu(display("whether the note is accepted cannot be told now: {source}"))]
    OutcomeUnknown {
        /// Error of the store.
        source: StoreError,
    },
    /// Reading failed.
    #[snafu(display("the configuration cannot be read: {source}"))]
    ReadFailed {
        /// Error of the store.
        source: StoreError,
    },
    /// A stored object is malformed or altered.
    #[snafu(display("stored object {name} is damaged"))]
    Damaged {
        /// Name of the object.
        name: String,
    },
    /// The head kept changing while its shards were read.
    #[snafu(display("the stored configuration changes too fast to be read"))]
    HeadUnstable,
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

/// The stored configuration as last read, with its decoded shards cached.
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
/// A head with a lower revision than `known` is ignored.
///
/// # Errors
///
/// [`PublishError::ReadFailed`], [`PublishError::Damaged`] or [`PublishError::HeadUnstable`];
/// `known` is then unchanged.
pub async fn fetch(store: &Store, known: &mut Known) -> Result<(), PublishError> {
    for _ in 0..MAX_ATTEMPTS {
        let object = store.get(ObjectKind::ConfigHead, HEAD_NAME).await;
        let Some(object) = object.context(ReadFailedSnafu)? else {
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
    HeadUnstableSnafu.fail()
}

type DecodedShards = BTreeMap<Digest, Arc<Items>>;

/// The shards of `head`, or `None` if one was deleted because the head has changed since.
async fn fetch_parts(
    store: &Store,
    head: &Head,
    present: &DecodedShards,
) -> Result<Option<DecodedShards>, PublishError> {
    let mut parts = DecodedShards::new();
    for ShardRef { digest, .. } in &head.shards {
        if let Some(part) = present.get(digest) {
            parts.insert(digest.clone(), part.clone());
            continue;
        }
        let name = digest.as_str();
        let object = store.get(ObjectKind::ConfigShard, name).await;
        let Some(text) = object.context(ReadFailedSnafu)?.and_then(|o| o.value) else {
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

/// Applies `note` to the stored configuration.
///
/// # Errors
///
/// Any [`PublishError`]. Only after `OutcomeUnknown` may the note have been accepted.
pub async fn accept(
    store: &Store,
    note: &Note,
    known: &mut Known,
) -> Result<Acceptance, PublishError> {
    let digest = note.digest();
    let mut lost = None;
    for _ in 0..MAX_ATTEMPTS {
        match fetch(store, known).await {
            Ok(()) => {}
            Err(PublishError::ReadFailed { source }) if lost.is_some() => {
                return Err(PublishError::OutcomeUnknown { source });
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
            return Err(race_error(note, known));
        }
        let next = note.apply(&known.config()).context(UnfitSnafu)?;
        let shards = divide_config(&next)?;
        let refs = write_shards(store, &shards, known)
            .await
            .context(NotAcceptedSnafu)?;
        let head = next_head(note, next.revision, refs, known);
        match write_head(store, &head, known.condition()).await {
            Ok(version) => {
                let retired = std::mem::take(&mut known.head.retired);
                *known = Known {
                    version,
                    head,
                    parts: decode_shards(&shards),
                };
                delete_retired(store, &retired).await;
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
        Some(source) => Err(PublishError::OutcomeUnknown { source }),
        None => Err(race_error(note, known)),
    }
}

fn race_error(note: &Note, known: &Known) -> PublishError {
    let since = known.head.notes.iter();
    PublishError::Race {
        base: note.base,
        present: known.revision(),
        since: since.filter(|n| n.revision > note.base).cloned().collect(),
    }
}

fn divide_config(config: &Config) -> Result<Vec<Shard>, PublishError> {
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
    let listed = old.retired.iter().skip(DELETIONS_PER_NOTE);
    let dropped = old.shards.iter();
    let retired = listed.chain(dropped).filter(|r| !is_used(r));
    let mut retired: Vec<ShardRef> = retired.cloned().collect();
    keep_last(&mut notes, HEAD_NOTES);
    keep_last(&mut retired, HEAD_RETIRED);
    Head {
        revision,
        shards,
        notes,
        retired,
    }
}

fn touched(rows: &[Row]) -> Vec<String> {
    let named = rows.iter().take(ROWS_PER_NOTE);
    let mut touched: Vec<String> = named.map(ToString::to_string).collect();
    if rows.len() > ROWS_PER_NOTE {
        touched.push(format!("and {} more", rows.len() - ROWS_PER_NOTE));
    }
    touched
}

fn keep_last<T>(list: &mut Vec<T>, most: usize) {
    let extra = list.len().saturating_sub(most);
    list.drain(..extra);
}

fn decode_shards(shards: &[Shard]) -> DecodedShards {
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

/// Writes one shard, also if it exists, to raise its version.
async fn write_shard(store: &Store, shard: &Shard) -> Result<ShardRef, StoreError> {
    let name = shard.digest.as_str();
    let mut condition = Condition::Absent;
    let mut attempts = 0;
    loop {
        attempts += 1;
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
            Err(StoreError::Conflict { present }) if attempts < MAX_SHARD_ATTEMPTS => {
                condition = present.map_or(Condition::Absent, Condition::Match);
            }
            Err(StoreError::Unknown { .. }) if attempts < MAX_SHARD_ATTEMPTS => {}
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
async fn delete_retired(store: &Store, retired: &[ShardRef]) {
    for shard in retired.iter().take(DELETIONS_PER_NOTE) {
        let name = shard.digest.as_str();
        let _ = store
            .delete(ObjectKind::ConfigShard, name, shard.version)
            .await;
    }
}

/// Deletes at most `most` shards left behind by failed notes and returns their number.
///
/// A shard newer than the head may belong to a note that is being accepted, so it stays.
///
/// # Errors
///
/// Any error of [`fetch`].
pub async fn collect(store: &Store, most: usize) -> Result<usize, PublishError> {
    let listing = store.list(ObjectKind::ConfigShard).await;
    let listing = listing.context(ReadFailedSnafu)?;
    let mut known = Known::default();
    fetch(store, &mut known).await?;
    let is_kept = |name: &str| {
        let refs = known.head.shards.iter().chain(&known.head.retired);
        refs.clone().any(|r| r.digest.as_str() == name)
    };
    let mut count = 0;
    let older = listing.objects.iter().filter(|o| o.version < known.version);
    for object in older.filter(|o| !is_kept(&o.name)).take(most) {
        let deleted = store.delete(ObjectKind::ConfigShard, &object.name, object.version);
        count += usize::from(deleted.await.is_ok());
    }
    Ok(count)
}
