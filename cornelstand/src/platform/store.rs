//! Client of the platform's object store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use snafu::{OptionExt, Snafu, ensure};
use tokio::time::timeout;

use crate::gateway::store_revision::StoreRevision;
use crate::gateway::upstream::{ReadError, Upstream};
use crate::platform::headers::read_era;
use crate::platform::objects::{Metadata, StoreObject};
use crate::raw_json::{elements, member, members};

/// Time limit for a call other than a watch; the store responds in some milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time limit to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time that the store may take beyond the wait of a watch.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest response body, in bytes; a page of a list has about one megabyte.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Largest list, in bytes of its pages and its objects beside their contents.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of a decoded object beside its contents.
const OBJECT_BYTES: usize = 256;

/// Characters that are escaped in a query: all but the unreserved ones.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Error of a call to the store.
#[derive(Debug, Snafu)]
pub(crate) enum StoreCallError {
    /// No response. The store may have executed the call, or may still do so.
    #[snafu(display("no response from the store: {reason}"))]
    NoAnswer { reason: String },
    /// The store refused the call: it is rate-limited, or the store is unavailable.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused { status: u16 },
    /// The history since the requested revision was compacted.
    #[snafu(display("the store has compacted the requested history"))]
    HistoryGone,
    /// The response does not continue what is known: the store was restored from an older copy.
    #[snafu(display("the answer is of the store's era {era}"))]
    OtherEra { era: u16 },
    /// The object already exists, or its revision differs.
    #[snafu(display("the object already exists or its revision differs"))]
    Conflict {
        /// The object as it is, if the response has it.
        object: Option<Box<StoreObject>>,
    },
    /// The response is malformed or too large, or the object to write cannot be encoded.
    #[snafu(display("malformed object or response: {reason}"))]
    Unreadable { reason: String },
}

impl From<ReadError> for StoreCallError {
    fn from(error: ReadError) -> Self {
        let reason = error.to_string();
        match error {
            ReadError::Message(_) | ReadError::NoHeadRoom => Self::Unreadable { reason },
            ReadError::Io(_) | ReadError::Closed => Self::NoAnswer { reason },
        }
    }
}

impl From<std::io::Error> for StoreCallError {
    fn from(error: std::io::Error) -> Self {
        Self::NoAnswer {
            reason: error.to_string(),
        }
    }
}

/// A response's members, of which each is decoded on its own: entries of other writers may hold
/// values that no parser accepts.
struct Document<'a>(Vec<(String, &'a [u8])>);

impl<'a> Document<'a> {
    fn read(body: &'a [u8]) -> Result<Self, StoreCallError> {
        let reason = "no JSON object";
        members(body).map(Self).context(UnreadableSnafu { reason })
    }

    /// Decodes a member other than a list.
    fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        serde_json::from_slice(member(&self.0, key)?).ok()
    }

    /// Revision of the store when the response was written, in `era`.
    fn revision(&self, era: u16) -> Result<StoreRevision, StoreCallError> {
        let reason = "no revision";
        let number = self.get("as_of").context(UnreadableSnafu { reason })?;
        Ok(StoreRevision { era, number })
    }

    /// Splits a list into its elements.
    fn list(&self, key: &str) -> Result<Vec<&'a [u8]>, StoreCallError> {
        let reason = "no list";
        let list = member(&self.0, key).and_then(elements);
        list.context(UnreadableSnafu { reason })
    }
}

/// A created, updated or deleted object.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) object: StoreObject,
    pub(crate) is_deleted: bool,
}

/// Store client with one connection, which is opened on demand.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    connection: Option<Upstream>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Lists all objects of a kind, with the revision at which to start a watch.
    ///
    /// # Errors
    ///
    /// Fails if a page cannot be read, or if the list is too large or does not end.
    pub(crate) async fn list(
        &mut self,
        kind: &str,
    ) -> Result<(Vec<StoreObject>, StoreRevision), StoreCallError> {
        let mut objects: Vec<StoreObject> = Vec::new();
        // A watch from the first page's revision also covers changes between two pages.
        let mut first: Option<StoreRevision> = None;
        let mut after = String::new();
        let mut total = 0;
        loop {
            let path = if after.is_empty() {
                format!("/-/objects/{kind}")
            } else {
                // Other writers choose the names of their entries.
                let after = utf8_percent_encode(&after, ESCAPED);
                format!("/-/objects/{kind}?after={after}")
            };
            let (body, era) = self.call("GET", &path, &[], CALL_TIMEOUT).await?;
            if first.is_some_and(|r| r.era != era) {
                return OtherEraSnafu { era }.fail();
            }
            let page = Document::read(&body)?;
            let items = page.list("items")?;
            total += body.len() + OBJECT_BYTES * items.len();
            let reason = "a list larger than allowed";
            ensure!(total <= MAX_LIST_BYTES, UnreadableSnafu { reason });
            let read = items.into_iter().filter_map(decode_object);
            let before = objects.len();
            objects.extend(read);
            let revision = match first {
                Some(revision) => revision,
                None => *first.insert(page.revision(era)?),
            };
            if !page.get("has_more").unwrap_or(false) {
                return Ok((objects, revision));
            }
            // Entries after the last one with a name are listed again by the next page.
            let last = objects[before..].last();
            let reason = "a page without a name to continue from";
            let last = last.context(UnreadableSnafu { reason })?;
            let reason = "a page that ends where it began";
            ensure!(last.metadata.name != after, UnreadableSnafu { reason });
            last.metadata.name.clone_into(&mut after);
        }
    }

    /// Long-polls for changes of a kind after `revision`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the history was compacted or the call fails. Changes of another era than that of
    /// `revision` are returned; they may lack some.
    pub(crate) async fn watch(
        &mut self,
        kind: &str,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<(Vec<Change>, StoreRevision), StoreCallError> {
        let (wait_ms, number) = (wait.as_millis(), revision.number);
        let path = format!("/-/objects/{kind}?watch={number}&wait_ms={wait_ms}");
        let (body, era) = self.call("GET", &path, &[], wait + WATCH_MARGIN).await?;
        let changes = Document::read(&body)?;
        let events = changes.list("events")?.into_iter();
        let events = events.filter_map(decode_change).collect();
        Ok((events, changes.revision(era)?))
    }

    /// Creates an object or replaces an existing one, regardless of its revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not accept the object.
    pub(crate) async fn put(
        &mut self,
        kind: &str,
        object: &StoreObject,
    ) -> Result<(), StoreCallError> {
        let body = serde_json::to_vec(object).map_err(|error| StoreCallError::Unreadable {
            reason: error.to_string(),
        })?;
        let path = format!("/-/objects/{kind}");
        match self.call("POST", &path, &body, CALL_TIMEOUT).await {
            Err(StoreCallError::Conflict { .. }) => {}
            other => return other.map(drop),
        }
        let path = format!("/-/objects/{kind}/{}", object.metadata.name);
        self.call("PUT", &path, &body, CALL_TIMEOUT).await.map(drop)
    }

    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the object cannot be read.
    pub(crate) async fn get(
        &mut self,
        kind: &str,
        name: &str,
    ) -> Result<Option<StoreObject>, StoreCallError> {
        let name = utf8_percent_encode(name, ESCAPED);
        let path = format!("/-/objects/{kind}/{name}");
        match self.call("GET", &path, &[], CALL_TIMEOUT).await {
            Ok((body, _)) => {
                let reason = "no object";
                let object = decode_object(&body).context(UnreadableSnafu { reason })?;
                Ok(Some(object))
            }
            Err(StoreCallError::Refused { status: 404 }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Replaces the status of an object if its revision is still `revision`.
    ///
    /// # Errors
    ///
    /// Fails if the object has changed, or if the store does not confirm the change.
    pub(crate) async fn put_status(
        &mut self,
        kind: &str,
        name: &str,
        revision: u64,
        status: &Value,
    ) -> Result<(), StoreCallError> {
        let metadata = json!({ "name": name, "revision": revision });
        let body = json!({ "metadata": metadata, "status": status }).to_string();
        let name = utf8_percent_encode(name, ESCAPED);
        let path = format!("/-/objects/{kind}/{name}/status");
        self.call("PUT", &path, body.as_bytes(), CALL_TIMEOUT)
            .await
            .map(drop)
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm the deletion.
    pub(crate) async fn delete(&mut self, kind: &str, name: &str) -> Result<(), StoreCallError> {
        let path = format!("/-/objects/{kind}/{name}");
        self.call("DELETE", &path, &[], CALL_TIMEOUT)
            .await
            .map(drop)
    }

    /// Makes a call. Returns the body of the response, with its era.
    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        time: Duration,
    ) -> Result<(Bytes, u16), StoreCallError> {
        let reused = self.connection.take().filter(Upstream::is_clean);
        let mut connection = match reused {
            Some(connection) => connection,
            None => Upstream::connect(self.address, CONNECT_TIMEOUT).await?,
        };
        let mut request = BytesMut::with_capacity(256 + body.len());
        let head = format!("{method} {path} HTTP/1.1\r\nhost: {}\r\n", self.address);
        request.put_slice(head.as_bytes());
        if !body.is_empty() {
            let length = body.len();
            let head = format!("content-type: application/json\r\ncontent-length: {length}\r\n");
            request.put_slice(head.as_bytes());
        }
        request.put_slice(b"\r\n");
        request.put_slice(body);
        let exchange = connection.exchange(method, &request, (MAX_HEAD_BYTES, MAX_BODY_BYTES));
        let timed_out = |_| StoreCallError::NoAnswer {
            reason: "timed out".into(),
        };
        let (head, body) = timeout(time, exchange).await.map_err(timed_out)??;
        if head.keeps_alive() && connection.input.is_empty() {
            self.connection = Some(connection);
        }
        match head.status() {
            200..=299 => Ok((body, read_era(&head))),
            409 => {
                let object = decode_object(&body).map(Box::new);
                ConflictSnafu { object }.fail()
            }
            410 => HistoryGoneSnafu.fail(),
            status => RefusedSnafu { status }.fail(),
        }
    }
}

/// Decodes an object. If only its contents are unreadable they are left out, since its name tells
/// which object is no longer what it was.
fn decode_object(json: &[u8]) -> Option<StoreObject> {
    let parts = members(json).unwrap_or_default();
    let metadata = member(&parts, "metadata").unwrap_or(b"null");
    let metadata = serde_json::from_slice(metadata).unwrap_or_else(|error| {
        tracing::warn!(event = "object_unreadable", %error, "skipping an object without metadata");
        Metadata::default()
    });
    if metadata.name.is_empty() {
        return None;
    }
    let spec = member(&parts, "spec").unwrap_or(b"null");
    let spec = serde_json::from_slice(spec).unwrap_or_else(|error| {
        let name = &metadata.name;
        tracing::warn!(event = "object_unreadable", name, %error, "skipping its contents");
        Value::Null
    });
    let status = member(&parts, "status").unwrap_or(b"null");
    let status = serde_json::from_slice(status).unwrap_or_default();
    Some(StoreObject {
        metadata,
        spec,
        status,
    })
}

fn decode_change(json: &[u8]) -> Option<Change> {
    let parts = members(json).unwrap_or_default();
    let object = decode_object(member(&parts, "object")?)?;
    let is_deleted = member(&parts, "deleted") == Some(b"true");
    Some(Change { object, is_deleted })
}
