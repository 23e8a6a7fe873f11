//! Client of the platform's object API.
//!
//! Writes are conditional. The error tells what the writer may conclude: [`StoreError::Conflict`]
//! and [`StoreError::Refused`] mean that nothing was written, [`StoreError::Unknown`] that the
//! write may have taken effect and has to be settled by reading back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, IsVariant};
use http::StatusCode;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use reqwest::{RequestBuilder, Response};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::raw_json::{elements, member, members};
use crate::response_body::{ResponseBodyError, read_whole};

/// Maximum size of a value in bytes.
pub const VALUE_BYTES: usize = 1 << 20;

/// Maximum size of a listing in bytes.
const LISTING_BYTES: usize = 64 * VALUE_BYTES;

/// Version of an object.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Kind of an object.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// The head of the configuration.
    #[display("config-head")]
    ConfigHead,
    /// A part of the configuration.
    #[display("config-shard")]
    ConfigShard,
    /// Ownership of a cell.
    #[display("lease")]
    Lease,
    /// Claims of requests that may not be repeated.
    #[display("claim")]
    Claim,
}

/// A stored value with its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// Name within the kind.
    #[serde(default)]
    pub name: String,
    /// Version of the value.
    pub version: Version,
    /// The value, `None` once deleted.
    pub value: Option<String>,
}

/// Objects of one kind, or those changed after a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Version up to which the listing is complete.
    pub version: Version,
    /// The objects that could be decoded.
    pub objects: Vec<Object>,
    /// Number of objects that could not be decoded.
    pub unreadable: usize,
}

impl Listing {
    /// Returns whether it has no object, readable or not.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty() && self.unreadable == 0
    }

    /// Decodes each object on its own; unreadable ones hide no others.
    fn parse(json: &[u8]) -> Result<Self, StoreError> {
        let parts = members(json).unwrap_or_default();
        let version = member(&parts, "version").and_then(|v| serde_json::from_slice(v).ok());
        let entries = member(&parts, "objects").and_then(elements);
        let what = "a listing without version or objects";
        let version = version.context(MalformedSnafu { what })?;
        let entries = entries.context(MalformedSnafu { what })?.into_iter();
        let decoded: Vec<_> = entries.map(serde_json::from_slice::<Object>).collect();
        let count = decoded.len();
        let objects: Vec<Object> = decoded.into_iter().flatten().collect();
        let unreadable = count - objects.len();
        if unreadable > 0 {
            tracing::warn!(unreadable, "objects of the store could not be decoded");
        }
        Ok(Self {
            version,
            objects,
            unreadable,
        })
    }
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
pub enum Condition {
    /// No object of that name exists.
    Absent,
    /// The object has this version.
    Match(Version),
}

/// Error of a call to the object API.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The condition does not hold. Nothing was written.
    #[snafu(display("the object has changed"))]
    Conflict {
        /// Version of the present object, if one exists.
        present: Option<Version>,
    },
    /// The store rejected the call. Nothing was written.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// Status of the answer.
        status: StatusCode,
    },
    /// No connection could be made. Nothing was written.
    #[snafu(display("the store cannot be reached"))]
    Unreachable {
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// No answer came. A write may have taken effect.
    #[snafu(display("no answer from the store; the call may have taken effect"))]
    Unknown {
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// The answer does not follow the protocol.
    #[snafu(display("malformed answer from the store: {what}"))]
    Malformed {
        /// What is wrong with it.
        what: String,
    },
    /// The value is larger than [`VALUE_BYTES`].
    #[snafu(display("a value of {bytes} bytes is too large for the store"))]
    TooLarge {
        /// Size of the value.
        bytes: usize,
    },
}

/// Client of the object API, with a call counter.
#[derive(Clone, Debug)]
pub struct Store {
    http: reqwest::Client,
    base: String,
    timeout: Duration,
    calls: Arc<AtomicU64>,
}

impl Store {
    /// A client of the store at `address` that waits `timeout` for each answer.
    ///
    /// # Panics
    ///
    /// If the HTTP client cannot be built; no input affects it.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let http = reqwest::Client::builder()
            .connect_timeout(timeout)
            .no_proxy()
            .build()
            .expect("an HTTP client without TLS needs no system resources");
        Self {
            http,
            base: format!("http://{address}/objects"),
            timeout,
            calls: Arc::default(),
        }
    }

    /// Calls made so far, whatever their result.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads one object, `None` if there is none.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but `Conflict` and `TooLarge`.
    pub async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, StoreError> {
        let request = self.http.get(self.url(kind, name));
        let answer = self.call(request, self.timeout).await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let answer = check_status(answer)?;
        let version = version_of(&answer)?;
        let value = read(answer, VALUE_BYTES).await?;
        let value = String::from_utf8_lossy(&value).into_owned();
        Ok(Some(Object {
            name: name.to_owned(),
            version,
            value: Some(value),
        }))
    }

    /// Reads all objects of `kind`.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but `Conflict` and `TooLarge`.
    pub async fn list(&self, kind: ObjectKind) -> Result<Listing, StoreError> {
        let request = self.http.get(format!("{}/{kind}", self.base));
        let answer = check_status(self.call(request, self.timeout).await?)?;
        Listing::parse(&read(answer, LISTING_BYTES).await?)
    }

    /// Waits up to `wait` for writes to `kind` after version `after`.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but `Conflict` and `TooLarge`.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        after: Version,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        let url = format!(
            "{}/{kind}?after={after}&wait-ms={}",
            self.base,
            wait.as_millis()
        );
        let request = self.http.get(url);
        let answer = check_status(self.call(request, wait + self.timeout).await?)?;
        Listing::parse(&read(answer, LISTING_BYTES).await?)
    }

    /// Writes one object if `condition` holds and returns its new version.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]. After `Unknown` the caller has to read the object back.
    pub async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        condition: Condition,
        value: String,
    ) -> Result<Version, StoreError> {
        if value.len() > VALUE_BYTES {
            return TooLargeSnafu { bytes: value.len() }.fail();
        }
        let request = self.http.put(self.url(kind, name)).body(value);
        let request = match condition {
            Condition::Absent => request.header(IF_NONE_MATCH, "*"),
            Condition::Match(version) => request.header(IF_MATCH, entity_tag(version)),
        };
        let answer = check_status(self.call(request, self.timeout).await?)?;
        version_of(&answer)
    }

    /// Deletes one object if it still has `version`.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but `TooLarge`. After `Unknown` the object may be gone.
    pub async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        version: Version,
    ) -> Result<(), StoreError> {
        let request = self.http.delete(self.url(kind, name));
        let request = request.header(IF_MATCH, entity_tag(version));
        check_status(self.call(request, self.timeout).await?).map(drop)
    }

    fn url(&self, kind: ObjectKind, name: &str) -> String {
        format!("{}/{kind}/{name}", self.base)
    }

    async fn call(&self, request: RequestBuilder, wait: Duration) -> Result<Response, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        request.timeout(wait).send().await.map_err(|source| {
            if source.is_connect() {
                StoreError::Unreachable { source }
            } else {
                StoreError::Unknown { source }
            }
        })
    }
}

fn entity_tag(version: Version) -> String {
    format!("\"{version}\"")
}

fn check_status(answer: Response) -> Result<Response, StoreError> {
    let status = answer.status();
    if status == StatusCode::PRECONDITION_FAILED {
        let present = version_of(&answer).ok();
        return ConflictSnafu { present }.fail();
    }
    if !status.is_success() {
        return RefusedSnafu { status }.fail();
    }
    Ok(answer)
}

async fn read(answer: Response, most: usize) -> Result<Bytes, StoreError> {
    read_whole(answer, most).await.map_err(|error| match error {
        ResponseBodyError::Broken { source } => StoreError::Unknown { source },
        ResponseBodyError::TooLarge { .. } => StoreError::Malformed {
            what: error.to_string(),
        },
    })
}

fn version_of(answer: &Response) -> Result<Version, StoreError> {
    answer
        .headers()
        .get(ETAG)
        .and_then(|tag| tag.to_str().ok())
        .and_then(|tag| tag.trim_matches('"').parse().ok())
        .map(Version)
        .context(MalformedSnafu {
            what: "no version in the ETag header",
        })
}
