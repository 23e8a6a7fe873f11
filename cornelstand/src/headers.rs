//! Request headers: parsing of the caller's options and forwarding.
//!
//! Every value is bounded and validated before the request is processed. Hop-by-hop headers and
//! those meant only for the fleet are not forwarded.

use std::time::Duration;

use http::HeaderMap;
use http::header::{
    ACCEPT_ENCODING, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use snafu::{OptionExt, Snafu, ensure};

use crate::config::Kind;

/// Header with the identity of a request or attempt.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the boot identity of an endpoint.
pub(crate) const ENDPOINT_BOOT: HeaderName = HeaderName::from_static("x-endpoint-boot");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const COST_HINT: HeaderName = HeaderName::from_static("x-cost-hint");
/// Header with the time left until the answer is due to begin.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Maximum length of an idempotency key in bytes.
pub const IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Maximum length of an account key in bytes.
pub const ACCOUNT_KEY_BYTES: usize = 256;
/// Largest cost hint, in the unit of the service's kind.
pub const MAX_HINT: u64 = 10_000_000;
/// Maximum deadline.
pub const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// Error in a caller's headers.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HeaderError {
    /// A single-valued header is given more than once.
    #[snafu(display("{name} is given more than once"))]
    Duplicate {
        /// The header.
        name: HeaderName,
    },
    /// A value has characters other than visible ASCII.
    #[snafu(display("{name} has characters other than visible ASCII"))]
    InvalidCharacters {
        /// The header.
        name: HeaderName,
    },
    /// A value is empty or too long.
    #[snafu(display("{name} has {bytes} bytes, not 1 to {max}"))]
    Length {
        /// The header.
        name: HeaderName,
        /// Length in bytes.
        bytes: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// A value is not a number within its range.
    #[snafu(display("{name} is no whole number from 1 to {max}"))]
    Number {
        /// The header.
        name: HeaderName,
        /// Maximum value.
        max: u64,
    },
    /// The authorization does not use the Bearer scheme.
    #[snafu(display("authorization is not of the form \"Bearer KEY\""))]
    Scheme,
}

/// Request options given in the headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wishes {
    /// Idempotency key, which identifies a repeated request.
    pub key: Option<String>,
    /// Expected cost, in the unit of the service's kind.
    pub hint: Option<u64>,
    /// Maximum time until the answer begins.
    pub deadline: Option<Duration>,
}

impl Wishes {
    /// Parses the options in `headers`.
    ///
    /// # Errors
    ///
    /// A [`HeaderError`] that names the first invalid header.
    pub fn parse(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let key = single_value(headers, IDEMPOTENCY_KEY)?
            .map(|v| visible_ascii(IDEMPOTENCY_KEY, v, IDEMPOTENCY_KEY_BYTES))
            .transpose()?
            .map(str::to_owned);
        let hint = number(headers, COST_HINT, MAX_HINT)?;
        let max = u64::try_from(MAX_DEADLINE.as_millis()).unwrap_or(u64::MAX);
        let deadline = number(headers, DEADLINE_MS, max)?.map(Duration::from_millis);
        Ok(Self {
            key,
            hint,
            deadline,
        })
    }
}

/// Returns the account key in `headers`, or `None` without an authorization header.
///
/// # Errors
///
/// A [`HeaderError`] if the authorization header is malformed.
pub fn bearer_key(headers: &HeaderMap) -> Result<Option<&str>, HeaderError> {
    let Some(value) = single_value(headers, AUTHORIZATION)? else {
        return Ok(None);
    };
    let text = value.to_str().ok().context(SchemeSnafu)?;
    let (scheme, key) = text.split_once(' ').context(SchemeSnafu)?;
    ensure!(scheme.eq_ignore_ascii_case("bearer"), SchemeSnafu);
    check_value(AUTHORIZATION, key.trim(), ACCOUNT_KEY_BYTES).map(Some)
}

/// Returns the end-to-end headers of a request or answer.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let connection_headers = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !connection_headers.contains(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns the headers of a caller's request that are forwarded to the endpoint.
pub(crate) fn for_endpoint(headers: &HeaderMap, kind: Kind) -> HeaderMap {
    let mut kept = forwarded(headers);
    if kind == Kind::Model {
        // The end of a compressed event stream could not be detected.
        kept.remove(ACCEPT_ENCODING);
    }
    for name in [
        HOST,
        AUTHORIZATION,
        CONTENT_LENGTH,
        REQUEST_ID,
        COST_HINT,
        DEADLINE_MS,
    ] {
        kept.remove(name);
    }
    kept
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ]
    .contains(name)
}

fn single_value(
    headers: &HeaderMap,
    name: HeaderName,
) -> Result<Option<&HeaderValue>, HeaderError> {
    let mut values = headers.get_all(&name).iter();
    let first = values.next();
    ensure!(values.next().is_none(), DuplicateSnafu { name });
    Ok(first)
}

fn visible_ascii(name: HeaderName, value: &HeaderValue, max: usize) -> Result<&str, HeaderError> {
    let text = value
        .to_str()
        .ok()
        .context(InvalidCharactersSnafu { name: name.clone() })?;
    check_value(name, text, max)
}

fn check_value(name: HeaderName, text: &str, max: usize) -> Result<&str, HeaderError> {
    let bytes = text.len();
    ensure!((1..=max).contains(&bytes), LengthSnafu { name, bytes, max });
    let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
    ensure!(is_visible, InvalidCharactersSnafu { name });
    Ok(text)
}

fn number(headers: &HeaderMap, name: HeaderName, max: u64) -> Result<Option<u64>, HeaderError> {
    let Some(value) = single_value(headers, name.clone())? else {
        return Ok(None);
    };
    let is_numeric = value.as_bytes().iter().all(u8::is_ascii_digit);
    value
        .to_str()
        .ok()
        .filter(|_| is_numeric)
        .and_then(|text| text.parse().ok())
        .filter(|number| (1..=max).contains(number))
        .context(NumberSnafu { name, max })
        .map(Some)
}
