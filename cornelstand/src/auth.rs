//! Authentication of client accounts by key.
//!
//! Only SHA-256 hashes of keys are stored. A hash prefix selects the candidates, and the full hash
//! is compared in constant time, so that timing reveals nothing about a key: whoever can produce a
//! matching prefix already knows the key.

use std::collections::HashMap;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::config::Config;
use crate::name::AccountName;

/// Size of a SHA-256 hash.
const HASH_BYTES: usize = 32;
/// Size of the hash prefix used as the index key.
const PREFIX_BYTES: usize = 8;

type Hash = [u8; HASH_BYTES];

#[derive(Debug)]
struct Candidate {
    hash: Hash,
    account: AccountName,
}

/// Index of the account keys of one configuration.
#[derive(Debug, Default)]
pub struct KeyIndex {
    by_prefix: HashMap<[u8; PREFIX_BYTES], Vec<Candidate>>,
}

impl KeyIndex {
    /// Builds the index of `config`. Hashes other than hexadecimal SHA-256 are ignored.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut index = Self::default();
        for (name, account) in &config.accounts {
            for hash in account.keys.iter().filter_map(|k| parse_hash(k)) {
                index.insert(hash, name);
            }
        }
        index
    }

    /// Returns the account that `key` belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&AccountName> {
        let hash: Hash = Sha256::digest(key).into();
        self.by_prefix
            .get(&prefix(&hash))?
            .iter()
            .find(|c| bool::from(c.hash.ct_eq(&hash)))
            .map(|c| &c.account)
    }

    fn insert(&mut self, hash: Hash, name: &AccountName) {
        let account = name.clone();
        let candidates = self.by_prefix.entry(prefix(&hash)).or_default();
        candidates.push(Candidate { hash, account });
    }
}

/// Returns the hexadecimal SHA-256 hash of `key`, the form used in the configuration.
#[must_use]
pub fn key_hash(key: &str) -> String {
    let hash: Hash = Sha256::digest(key).into();
    let digit = |nibble: u8| char::from_digit(nibble.into(), 16).unwrap_or_default();
    hash.iter()
        .flat_map(|b| [digit(b >> 4), digit(b & 15)])
        .collect()
}

fn prefix(hash: &Hash) -> [u8; PREFIX_BYTES] {
    let mut prefix = [0; PREFIX_BYTES];
    prefix.copy_from_slice(&hash[..PREFIX_BYTES]);
    prefix
}

fn parse_hash(text: &str) -> Option<Hash> {
    if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(hash)
}
