//! Client of the platform's object store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::Value;
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use crate::gateway::upstream::{ReadError, Upstream};
use crate::platform::objects::StoreObject;

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
    /// The object already exists, or its revision differs.
    #[snafu(display("the object already exists or its revision differs"))]
    Conflict,
    /// The response does not match the schema.
    #[snafu(display("malformed response from the store: {source}"))]
    Unreadable { source: serde_json::Error },
}

impl From<ReadError> for StoreCallError {
    fn from(error: ReadError) -> Self {
        Self::NoAnswer {
            reason: error.to_string(),
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

#[derive(Deserialize)]
struct Page {
    items: Vec<Value>,
    #[serde(default)]
    has_more: bool,
    /// Revision of the store when the page was read.
    as_of: u64,
}

#[derive(Deserialize)]
struct Changes {
    events: Vec<ChangeFields>,
    /// Revision to pass to the next watch.
    as_of: u64,
}

#[derive(Deserialize)]
struct ChangeFields {
    object: Value,
    #[serde(default)]
    deleted: bool,
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
    /// Fails if a page cannot be read.
    pub(crate) async fn list(
        &mut self,
        kind: &str,
    ) -> Result<(Vec<StoreObject>, u64), StoreCallError> {
        let mut objects: Vec<StoreObject> = Vec::new();
        // A watch from the first page's revision also covers changes between two pages.
        let mut revision = None;
        let mut after = String::new();
        loop {
            let path = if after.is_empty() {
                format!("/-/objects/{kind}")
            } else {
                format!("/-/objects/{kind}?after={after}")
            };
            let body = self.call("GET", &path, &[], CALL_TIMEOUT).await?;
            let page: Page = serde_json::from_slice(&body).context(UnreadableSnafu)?;
            let last = page.items.last().and_then(|i| i.pointer("/metadata/name"));
            last.and_then(Value::as_str)
                .unwrap_or_default()
                .clone_into(&mut after);
            objects.extend(page.items.into_iter().filter_map(decode_object));
            let revision = *revision.get_or_insert(page.as_of);
            if !page.has_more || after.is_empty() {
                return Ok((objects, revision));
            }
        }
    }

    /// Long-polls for changes of a kind after `revision`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the history was compacted or the call fails.
    pub(crate) async fn watch(
        &mut self,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<(Vec<Change>, u64), StoreCallError> {
        let wait_ms = wait.as_millis();
        let path = format!("/-/objects/{kind}?watch={revision}&wait_ms={wait_ms}");
        let body = self.call("GET", &path, &[], wait + WATCH_MARGIN).await?;
        let changes: Changes = serde_json::from_slice(&body).context(UnreadableSnafu)?;
        let change = |fields: ChangeFields| {
            Some(Change {
                object: decode_object(fields.object)?,
                is_deleted: fields.deleted,
            })
        };
        let events = changes.events.into_iter().filter_map(change).collect();
        Ok((events, changes.as_of))
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
        let body = serde_json::to_vec(object).context(UnreadableSnafu)?;
        let path = format!("/-/objects/{kind}");
        match self.call("POST", &path, &body, CALL_TIMEOUT).await {
            Err(StoreCallError::Conflict) => {}
            other => return other.map(drop),
        }
        let path = format!("/-/objects/{kind}/{}", object.metadata.name);
        self.call("PUT", &path, &body, CALL_TIMEOUT).await.map(drop)
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

    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        time: Duration,
    ) -> Result<Bytes, StoreCallError> {
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
            200..=299 => Ok(body),
            409 => ConflictSnafu.fail(),
            410 => HistoryGoneSnafu.fail(),
            status => RefusedSnafu { status }.fail(),
        }
    }
}

fn decode_object(value: Value) -> Option<StoreObject> {
    match serde_json::from_value(value) {
        Ok(object) => Some(object),
        Err(error) => {
            tracing::warn!(event = "object_unreadable", %error, "skipping a malformed object");
            None
        }
    }
}
