//! Calls of an operator to an instance.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::time::{Instant, sleep};

use crate::command::KEY_FILE_VARIABLE;
use crate::config::Config;
use crate::name::Revision;
use crate::note::Note;
use crate::operator::OperatorError;
use crate::publish::Acceptance;
use crate::status::{InstanceStatus, MemberStatus};
use crate::timeline::Event;

/// Time for one answer.
const WAIT: Duration = Duration::from_secs(30);
/// Time between two looks at which revision is in force.
const LOOK: Duration = Duration::from_millis(200);

/// Error of a call to an instance.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No key was named.
    #[snafu(display("name the operators' key file by --key-file or {KEY_FILE_VARIABLE}"))]
    NoKey,
    /// The key file cannot be read.
    #[snafu(display("cannot read the key file {}", path.display()))]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// No answer came.
    #[snafu(display("no answer from {address}"))]
    NoAnswer {
        /// The instance.
        address: SocketAddr,
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// The instance refused the call.
    #[snafu(display("{error}"))]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// The reason that the instance gave.
        error: String,
    },
    /// The revision is not in force everywhere in time.
    #[snafu(display("revision {revision} is not yet in force on {}", waiting.join(", ")))]
    NotInForce {
        /// The revision.
        revision: Revision,
        /// Instances that have an earlier one.
        waiting: Vec<String>,
    },
}

/// Client of one instance's operator interface.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: reqwest::Client,
    address: SocketAddr,
    key: String,
}

impl OperatorClient {
    /// A client for the instance at `address` with the operators' `key`.
    ///
    /// # Panics
    ///
    /// If the HTTP client cannot be set up, which takes no input.
    #[must_use]
    pub fn new(address: SocketAddr, key: String) -> Self {
        let http = reqwest::Client::builder().no_proxy().timeout(WAIT).build();
        Self {
            http: http.expect("an HTTP client without TLS needs no system resources"),
            address,
            key,
        }
    }

    /// State of all live instances.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no answer or it is a refusal.
    pub async fn fleet(&self) -> Result<Vec<InstanceStatus>, ClientError> {
        self.get("fleet").await
    }

    /// Events of all live instances.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no answer or it is a refusal.
    pub async fn timeline(&self) -> Result<Vec<Event>, ClientError> {
        self.get("timeline").await
    }

    /// The configuration in force at the instance.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no answer or it is a refusal.
    pub async fn config(&self) -> Result<Config, ClientError> {
        self.get("config").await
    }

    /// Which instance has which revision in force.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no answer or it is a refusal.
    pub async fn revisions(&self) -> Result<Vec<MemberStatus>, ClientError> {
        self.get("revisions").await
    }

    /// The note that leads from the configuration in force to the declared one.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no answer or it is a refusal.
    pub async fn plan(&self, declared: String) -> Result<Note, ClientError> {
        self.read(self.http.post(self.url("plan")).body(declared))
            .await
    }

    /// Applies a note.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no answer or it is a refusal.
    pub async fn apply(&self, note: String) -> Result<Acceptance, ClientError> {
        self.read(self.http.post(self.url("notes")).body(note))
            .await
    }

    /// Waits until `revision` is in force on every live instance.
    ///
    /// # Errors
    ///
    /// [`ClientError::NotInForce`] after `wait`, naming who has not got it.
    pub async fn wait_for(&self, revision: Revision, wait: Duration) -> Result<(), ClientError> {
        let start = Instant::now();
        loop {
            let members = self.revisions().await?;
            let behind = members.iter().filter(|m| m.revision < revision);
            let waiting: Vec<String> = behind.map(|m| m.instance.to_string()).collect();
            if waiting.is_empty() {
                return Ok(());
            }
            if start.elapsed() >= wait {
                return NotInForceSnafu { revision, waiting }.fail();
            }
            sleep(LOOK).await;
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.read(self.http.get(self.url(path))).await
    }

    async fn read<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, ClientError> {
        let address = self.address;
        let request = request.bearer_auth(&self.key);
        let answer = request.send().await.context(NoAnswerSnafu { address })?;
        let status = answer.status();
        if status.is_success() {
            return answer.json().await.context(NoAnswerSnafu { address });
        }
        let error: OperatorError = answer.json().await.context(NoAnswerSnafu { address })?;
        let error = error.error;
        RefusedSnafu { status, error }.fail()
    }
}

/// The operators' key from `file` or from the file that the environment names.
///
/// # Errors
///
/// [`ClientError::NoKey`] or [`ClientError::KeyFile`].
pub fn operator_key(file: Option<&Path>) -> Result<String, ClientError> {
    let named = std::env::var_os(KEY_FILE_VARIABLE).map(PathBuf::from);
    let path = file.map(Path::to_path_buf).or(named).context(NoKeySnafu)?;
    let text = std::fs::read_to_string(&path).context(KeyFileSnafu { path })?;
    Ok(text.trim().to_owned())
}
