//! Maps that reject duplicate keys.
//!
//! A plain map silently keeps the last of two equal keys, which hides mistakes in hand-written
//! files. Items of release notes are deserialized with [`map`].

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, Visitor};

/// Reads a map of unique keys.
pub(crate) fn map<'de, D, K, V>(input: D) -> Result<BTreeMap<K, V>, D::Error>
where
    D: Deserializer<'de>,
    K: Deserialize<'de> + Ord + Display,
    V: Deserialize<'de>,
{
    input.deserialize_map(UniqueKeys(PhantomData))
}

struct UniqueKeys<K, V>(PhantomData<(K, V)>);

impl<'de, K, V> Visitor<'de> for UniqueKeys<K, V>
where
    K: Deserialize<'de> + Ord + Display,
    V: Deserialize<'de>,
{
    type Value = BTreeMap<K, V>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map from names to items")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut map = BTreeMap::new();
        while let Some(key) = access.next_key::<K>()? {
            if map.contains_key(&key) {
                return Err(A::Error::custom(format!("the name {key} is given twice")));
            }
            let value = access.next_value()?;
            map.insert(key, value);
        }
        Ok(map)
    }
}
