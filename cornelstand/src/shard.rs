//! Division of a configuration into objects that fit the store.
//!
//! Items are dealt to shards by the hash of their kind and name. The number of shards is a power
//! of two that follows from the size of the whole, so a note about one item rewrites one shard and
//! the head. A shard is named by the digest of its content: an equal name means equal content,
//! and shards can be cached and written again without harm.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;
use crate::name::Revision;
use crate::note::{Digest, Items};
use crate::store::Version;

/// Bytes of items above which the number of shards doubles.
const SHARD_BYTES: usize = 96 * 1024;

/// Most shards of a configuration.
pub(crate) const MOST_SHARDS: usize = 1024;

/// The head of the stored configuration: its revision and where its parts are.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Revision of the configuration.
    pub revision: Revision,
    /// The shards that are not empty.
    pub shards: Vec<ShardRef>,
    /// The latest accepted notes, oldest first.
    pub notes: Vec<Accepted>,
    /// Shards that the latest notes have replaced and that may be deleted.
    pub retired: Vec<ShardRef>,
}

/// An accepted note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Revision that the note led to.
    pub revision: Revision,
    /// Identity of the note.
    pub digest: Digest,
    /// Title of the note.
    pub title: String,
    /// Kinds and names of the items it touched, cut short after some.
    pub touched: Vec<String>,
}

/// Where a shard is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRef {
    /// Digest of the content, which is also the object's name.
    pub digest: Digest,
    /// Version of the object.
    pub version: Version,
}

/// A shard with its text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Shard {
    pub(crate) digest: Digest,
    pub(crate) text: String,
}

/// Divides `config` into shards, without empty ones.
pub(crate) fn divide(config: &Config) -> Result<Vec<Shard>, serde_json::Error> {
    let total = serde_json::to_vec(config)?.len();
    let count = total
        .div_ceil(SHARD_BYTES)
        .next_power_of_two()
        .min(MOST_SHARDS);
    let mut parts: Vec<Items> = vec![Items::default(); count];
    for (name, item) in &config.accounts {
        let part = &mut parts[place("accounts", name.as_str(), count)];
        part.accounts.insert(name.clone(), item.clone());
    }
    for (name, item) in &config.services {
        let part = &mut parts[place("services", name.as_str(), count)];
        part.services.insert(name.clone(), item.clone());
    }
    for (name, item) in &config.endpoints {
        let part = &mut parts[place("endpoints", name.as_str(), count)];
        part.endpoints.insert(name.clone(), item.clone());
    }
    for (name, item) in &config.centres {
        let part = &mut parts[place("centres", name.as_str(), count)];
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

fn place(kind: &str, name: &str, count: usize) -> usize {
    let hash = xxh3_64(format!("{kind}/{name}").as_bytes());
    usize::try_from(hash % count as u64).unwrap_or_default()
}

/// Puts the parts of a configuration together.
pub(crate) fn join<'a>(revision: Revision, parts: impl Iterator<Item = &'a Items>) -> Config {
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
