//! Request paths.
//!
//! The route of a request is selected by its path, and the endpoint receives the path as the caller
//! sent it. To keep both consistent, the route is looked up by the decoded path, and a path that
//! an endpoint may interpret differently is refused.

use snafu::{Snafu, ensure};

/// Error in the path of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum PathError {
    /// The path has a segment `.` or `..`.
    #[snafu(display("the path has a dot segment"))]
    DotSegment,
    /// The path has a character that only some implementations treat as a separator.
    #[snafu(display("the path has a backslash, an encoded slash or a control character"))]
    Ambiguous,
    /// A percent sign is not followed by two hexadecimal digits.
    #[snafu(display("the path has an incomplete percent encoding"))]
    Encoding,
}

/// Parts of a request's path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallPath<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The rest as sent by the caller, beginning with a slash.
    pub raw: &'a str,
    /// The rest for route lookup: decoded and without repeated slashes.
    pub plain: String,
}

/// Splits `path`, which begins with a slash.
///
/// # Errors
///
/// [`PathError`] if an endpoint may interpret the path differently.
pub fn split_path(path: &str) -> Result<CallPath<'_>, PathError> {
    let rest = path.strip_prefix('/').unwrap_or(path);
    let slash = rest.find('/').unwrap_or(rest.len());
    let (service, raw) = rest.split_at(slash);
    let raw = if raw.is_empty() { "/" } else { raw };
    let plain = normalize(raw)?;
    Ok(CallPath {
        service,
        raw,
        plain,
    })
}

fn normalize(raw: &str) -> Result<String, PathError> {
    let decoded = percent_decode(raw.as_bytes())?;
    let mut plain = String::with_capacity(decoded.len());
    let mut segments = decoded.split('/').peekable();
    while let Some(segment) = segments.next() {
        ensure!(segment != "." && segment != "..", DotSegmentSnafu);
        let last = segments.peek().is_none();
        plain.push_str(segment);
        if !last && !plain.ends_with('/') {
            plain.push('/');
        }
    }
    Ok(plain)
}

fn percent_decode(raw: &[u8]) -> Result<String, PathError> {
    let mut bytes = Vec::with_capacity(raw.len());
    let mut index = 0;
    while index < raw.len() {
        let (byte, next) = match raw[index] {
            b'%' => (decode_escape(raw, index)?, index + 3),
            byte => (byte, index + 1),
        };
        let is_escaped_slash = byte == b'/' && raw[index] == b'%';
        let is_ambiguous = is_escaped_slash || byte == b'\\' || byte.is_ascii_control();
        ensure!(!is_ambiguous, AmbiguousSnafu);
        bytes.push(byte);
        index = next;
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn decode_escape(raw: &[u8], index: usize) -> Result<u8, PathError> {
    let digit = |place: usize| {
        let byte = raw.get(place).copied().unwrap_or_default();
        char::from(byte)
            .to_digit(16)
            .and_then(|d| u8::try_from(d).ok())
    };
    match (digit(index + 1), digit(index + 2)) {
        (Some(high), Some(low)) => Ok(high << 4 | low),
        _ => EncodingSnafu.fail(),
    }
}
