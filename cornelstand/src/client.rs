//! Client of an instance's operator interface.

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

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the revisions in force are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Error of a call to an instance.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No key file is given.
    #[snafu(display("no operators' key: name its file with --key-file or {KEY_FILE_VARIABLE}"))]
    NoKey,
    /// The key file cannot be read.
    #[snafu(display("cannot read the key file {}", path.display()))]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// I/O error.
        source: std::io::Error,
    },
    /// No valid answer came.
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
        /// Reason given by the instance.
        error: String,
    },
    /// The revision is not in force on every instance in time.
    #[snafu(display("revision {revision} is not yet in force on {}", behind.join(", ")))]
    NotInForce {
        /// The revision.
        revision: Revision,
        /// Instances with an earlier revision.
        behind: Vec<String>,
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
    /// Creates a client for the instance at `address` with the operators' `key`.
    ///
    /// # Panics
    ///
    /// If the HTTP client cannot be created, which depends on no input.
    #[must_use]
    pub fn new(address: SocketAddr, key: String) -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build();
        Self {
            http: http.expect("an HTTP client without TLS needs no system resources"),
            address,
            key,
        }
    }

    /// Status of all live instances.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the call fails or is refused.
    pub async fn fleet(&self) -> Result<Vec<InstanceStatus>, ClientError> {
        self.get("fleet").await
    }

    /// Events of all live instances.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the call fails or is refused.
    pub async fn timeline(&self) -> Result<Vec<Event>, ClientError> {
        self.get("timeline").await
    }

    /// The configuration in force at the instance.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the call fails or is refused.
    pub async fn config(&self) -> Result<Config, ClientError> {
        self.get("config").await
    }

    /// Revision in force on each instance.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the call fails or is refused.
    pub async fn revisions(&self) -> Result<Vec<MemberStatus>, ClientError> {
        self.get("revisions").await
    }

    /// The note that changes the configuration in force into the declared one.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the call fails or is refused.
    pub async fn plan(&self, declared: String) -> Result<Note, ClientError> {
        self.send(self.http.post(self.url("plan")).body(declared))
            .await
    }

    /// Applies a note.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the call fails or is refused.
    pub async fn apply(&self, note: String) -> Result<Acceptance, ClientError> {
        self.send(self.http.post(self.url("notes")).body(note))
            .await
    }

    /// Waits until `revision` is in force on every live instance.
    ///
    /// # Errors
    ///
    /// [`ClientError::NotInForce`] with the instances still behind after `timeout`.
    pub async fn wait_for(&self, revision: Revision, timeout: Duration) -> Result<(), ClientError> {
        let start = Instant::now();
        loop {
            let members = self.revisions().await?;
            let outdated = members.iter().filter(|m| m.revision < revision);
            let behind: Vec<String> = outdated.map(|m| m.instance.to_string()).collect();
            if behind.is_empty() {
                return Ok(());
            }
            if start.elapsed() >= timeout {
                return NotInForceSnafu { revision, behind }.fail();
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.send(self.http.get(self.url(path))).await
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, ClientError> {
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

/// Reads the operators' key from `file` or the file named by [`KEY_FILE_VARIABLE`].
///
/// # Errors
///
/// [`ClientError::NoKey`] or [`ClientError::KeyFile`].
pub fn operator_key(file: Option<&Path>) -> Result<String, ClientError> {
    let env_path = std::env::var_os(KEY_FILE_VARIABLE).map(PathBuf::from);
    let path = file
        .map(Path::to_path_buf)
        .or(env_path)
        .context(NoKeySnafu)?;
    let text = std::fs::read_to_string(&path).context(KeyFileSnafu { path })?;
    Ok(text.trim().to_owned())
}
