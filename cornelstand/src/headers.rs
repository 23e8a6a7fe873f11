//! What a caller says about a request in its headers.
//!
//! Every value is bounded and checked before anything is done with the request. Hop-by-hop
//! headers end here, as do those that are meant for the fleet alone.

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
/// Header with the time left until the answer has to begin.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Longest idempotency key, in bytes.
pub const IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Longest account key, in bytes.
pub const ACCOUNT_KEY_BYTES: usize = 256;
/// Largest cost hint, in the unit of the service's kind.
pub const MAX_HINT: u64 = 10_000_000;
/// Longest deadline.
pub const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// Error in a caller's headers.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HeaderError {
    /// A header that may stand once stands more than once.
    #[snafu(display("{name} is given more than once"))]
    Twice {
        /// The header.
        name: HeaderName,
    },
    /// A value has other characters than visible ASCII.
    #[snafu(display("{name} has characters other than visible ASCII"))]
    Characters {
        /// The header.
        name: HeaderName,
    },
    /// A value is empty or too long.
    #[snafu(display("{name} has {bytes} bytes, not 1 to {most}"))]
    Length {
        /// The header.
        name: HeaderName,
        /// Bytes given.
        bytes: usize,
        /// Most bytes allowed.
        most: usize,
    },
    /// A value is no number in its range.
    #[snafu(display("{name} is no whole number from 1 to {most}"))]
    Number {
        /// The header.
        name: HeaderName,
        /// Largest number allowed.
        most: u64,
    },
    /// The scheme of the authorization is another one.
    #[snafu(display("authorization is not of the form \"Bearer KEY\""))]
    Scheme,
}

/// What a caller says about a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wishes {
    /// Key by which a repetition is recognised.
    pub key: Option<String>,
    /// Expected cost, in the unit of the service's kind.
    pub hint: Option<u64>,
    /// Longest time until the answer begins.
    pub deadline: Option<Duration>,
}

impl Wishes {
    /// Reads the wishes from `headers`.
    ///
    /// # Errors
    ///
    /// A [`HeaderError`] that names the first header with a fault.
    pub fn parse(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let key = single(headers, IDEMPOTENCY_KEY)?
            .map(|v| visible(IDEMPOTENCY_KEY, v, IDEMPOTENCY_KEY_BYTES))
            .transpose()?
            .map(str::to_owned);
        let hint = number(headers, COST_HINT, MAX_HINT)?;
        let most = u64::try_from(MAX_DEADLINE.as_millis()).unwrap_or(u64::MAX);
        let deadline = number(headers, DEADLINE_MS, most)?.map(Duration::from_millis);
        Ok(Self {
            key,
            hint,
            deadline,
        })
    }
}

/// The account's key in `headers`, `None` if there is no authorization.
///
/// # Errors
///
/// A [`HeaderError`] if there is one of another form.
pub fn bearer_key(headers: &HeaderMap) -> Result<Option<&str>, HeaderError> {
    let Some(value) = single(headers, AUTHORIZATION)? else {
        return Ok(None);
    };
    let text = value.to_str().ok().context(SchemeSnafu)?;
    let (scheme, key) = text.split_once(' ').context(SchemeSnafu)?;
    ensure!(scheme.eq_ignore_ascii_case("bearer"), SchemeSnafu);
    checked(AUTHORIZATION, key.trim(), ACCOUNT_KEY_BYTES).map(Some)
}

/// The headers of a request or answer that go on to the other side.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_hop(name) && !named.contains(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The headers of a caller's request that go on to the endpoint.
pub(crate) fn for_endpoint(headers: &HeaderMap, kind: Kind) -> HeaderMap {
    let mut kept = forwarded(headers);
    if kind == Kind::Model {
        // A compressed stream of events could not be read for its end.
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

fn is_hop(name: &HeaderName) -> bool {
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

fn single(headers: &HeaderMap, name: HeaderName) -> Result<Option<&HeaderValue>, HeaderError> {
    let mut values = headers.get_all(&name).iter();
    let first = values.next();
    ensure!(values.next().is_none(), TwiceSnafu { name });
    Ok(first)
}

fn visible(name: HeaderName, value: &HeaderValue, most: usize) -> Result<&str, HeaderError> {
    let text = value
        .to_str()
        .ok()
        .context(CharactersSnafu { name: name.clone() })?;
    checked(name, text, most)
}

fn checked(name: HeaderName, text: &str, most: usize) -> Result<&str, HeaderError> {
    let bytes = text.len();
    ensure!(
        (1..=most).contains(&bytes),
        LengthSnafu { name, bytes, most }
    );
    let all = text.bytes().all(|b| b.is_ascii_graphic());
    ensure!(all, CharactersSnafu { name });
    Ok(text)
}

fn number(headers: &HeaderMap, name: HeaderName, most: u64) -> Result<Option<u64>, HeaderError> {
    let Some(value) = single(headers, name.clone())? else {
        return Ok(None);
    };
    let digits = value.as_bytes().iter().all(u8::is_ascii_digit);
    value
        .to_str()
        .ok()
        .filter(|_| digits)
        .and_then(|text| text.parse().ok())
        .filter(|number| (1..=most).contains(number))
        .context(NumberSnafu { name, most })
        .map(Some)
}
