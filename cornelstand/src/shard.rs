//! Sharding of a configuration into objects that fit the store.
//!
//! Items are assigned to shards by the hash of their kind and name. The number of shards is a
//! power of two derived from the total size, so a note about one item usually rewrites only one
//! shard and the head. A shard is named by the digest of its content: equal names mean equal
//! content, so shards can be cached and rewritten safely.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;
use crate::name::Revision;
use crate::note::{Digest, Items};
use crate::store::Version;

/// Mean shard size above which the number of shards doubles.
const SHARD_BYTES: usize = 96 * 1024;

/// Maximum shards per configuration.
pub(crate) const MAX_SHARDS: usize = 1024;

/// Head of the stored configuration: its revision and the references to its shards.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Revision of the configuration.
    pub revision: Revision,
    /// The non-empty shards.
    pub shards: Vec<ShardRef>,
    /// The most recently accepted notes, oldest first.
    pub notes: Vec<Accepted>,
    /// Shards that recent notes have replaced and that may be deleted.
    pub retired: Vec<ShardRef>,
}

/// An accepted note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Revision that the note produced.
    pub revision: Revision,
    /// Digest of the note.
    pub digest: Digest,
    /// Title of the note.
    pub title: String,
    /// Kinds and names of the changed items, truncated after some.
    pub touched: Vec<String>,
}

/// Reference to a stored shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRef {
    /// Digest of the content, which is also the object's name.
    pub digest: Digest,
    /// Version of the object.
    pub version: Version,
}

/// A serialized shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Shard {
    pub(crate) digest: Digest,
    pub(crate) text: String,
}

/// Splits `config` into non-empty shards.
pub(crate) fn split_config(config: &Config) -> Result<Vec<Shard>, serde_json::Error> {
    let total = serde_json::to_vec(config)?.len();
    let count = total
        .div_ceil(SHARD_BYTES)
        .next_power_of_two()
        .min(MAX_SHARDS);
    let mut parts: Vec<Items> = vec![Items::default(); count];
    for (name, item) in &config.accounts {
        let part = &mut parts[shard_index("accounts", name.as_str(), count)];
        part.accounts.insert(name.clone(), item.clone());
    }
    for (name, item) in &config.services {
        let part = &mut parts[shard_index("services", name.as_str(), count)];
        part.services.insert(name.clone(), item.clone());
    }
    for (name, item) in &config.endpoints {
        let part = &mut parts[shard_index("endpoints", name.as_str(), count)];
        part.endpoints.insert(name.clone(), item.clone());
    }
    for (name, item) in &config.centres {
        let part = &mut parts[shard_index("centres", name.as_str(), count)];
        part.centres.insert(name.clone(), item.clone());
    }
    parts
        .iter()
        .filter(|part| **part != Items::default())
        .map(|part| {
            let text = serde_json::to_string(part)?;
            let digest = Digest::of(text.as_bytes());
            Ok(Shard { digest, text })
        })
        .collect()
}

fn shard_index(kind: &str, name: &str, count: usize) -> usize {
    let hash = xxh3_64(format!("{kind}/{name}").as_bytes());
    usize::try_from(hash % count as u64).unwrap_or_default()
}

/// Merges the shards of a configuration.
pub(crate) fn merge_shards<'a>(
    revision: Revision,
    parts: impl Iterator<Item = &'a Items>,
) -> Config {
    let mut config = Config {
        revision,
        ..Config::default()
    };
    for part in parts {
        extend(&mut config.accounts, &part.accounts);
        extend(&mut config.services, &part.services);
        extend(&mut config.endpoints, &part.endpoints);
        extend(&mut config.centres, &part.centres);
    }
    config
}

fn extend<K: Ord + Clone, V: Clone>(map: &mut BTreeMap<K, V>, part: &BTreeMap<K, V>) {
    map.extend(part.iter().map(|(k, v)| (k.clone(), v.clone())));
}
