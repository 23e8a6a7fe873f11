//! Identifier types: accounts, services, endpoints, requests, epochs and others.
//!
//! Each kind of identifier has its own type, so that two of them cannot be confused. Text names
//! share their storage: a clone increments a reference count and copies no text.

use std::borrow::Cow;
use std::sync::Arc;

use derive_more::{AsRef, Display, From, Into};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest accepted name, in bytes.
pub const NAME_BYTES: usize = 63;

/// Whether `text` is 1 to [`NAME_BYTES`] lowercase letters, digits, dots, hyphens or
/// underscores.
#[must_use]
pub fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= NAME_BYTES
        && text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b))
}

macro_rules! text_names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd,
            Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

text_names! {
    /// A client account.
    AccountName;
    /// A service: a group of endpoints that answer the same calls.
    ServiceName;
    /// A back end of a service.
    EndpointName;
    /// A data centre.
    CentreName;
    /// An instance of the fleet.
    InstanceName;
    /// The software version of an endpoint, as it reports it.
    VersionName;
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, Into, Ord,
            PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    )*};
}

numbers! {
    /// Number of a configuration. A higher one replaces a lower one.
    Revision(u64);
    /// Fencing token of a cell's ownership. Messages with a lower one are refused.
    Epoch(u64);
    /// Start of an instance's process, in microseconds since the Unix epoch.
    Incarnation(u64);
    /// Start of an endpoint's process, as the endpoint reports it.
    BootId(u64);
    /// Hash of account, route and body, by which a repeated request is recognised.
    Fingerprint(u64);
    /// A part of prompts, as callers name it.
    PartId(u64);
}

/// Identity of one caller's request, unique over the fleet.
///
/// In text formats it is 32 hexadecimal digits, since many JSON parsers lose digits of large
/// numbers.
#[derive(Clone, Copy, Debug, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd)]
#[display("{_0:032x}")]
pub struct RequestId(pub u128);

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let digits = Cow::<str>::deserialize(deserializer)?;
            return u128::from_str_radix(&digits, 16)
                .map(Self)
                .map_err(D::Error::custom);
        }
        u128::deserialize(deserializer).map(Self)
    }
}

/// An attempt of a request: the identity of a grant and its outcome.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{request}/{number}")]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt, from 0.
    pub number: u32,
}

/// A disjoint group of one service's endpoints with one dispatcher.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{service}/{index}")]
pub struct CellId {
    /// The service.
    pub service: ServiceName,
    /// Index of the cell, from 0.
    pub index: u16,
}
