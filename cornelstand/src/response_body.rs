//! Bodies of responses that are read whole, up to a bound.

use bytes::{Bytes, BytesMut};
use reqwest::Response;
use snafu::{ResultExt, Snafu, ensure};

/// Why a body was not read whole.
#[derive(Debug, Snafu)]
pub(crate) enum ResponseBodyError {
    /// The body is larger than allowed. The rest of it is not read.
    #[snafu(display("the body has more than {most} bytes"))]
    TooLarge {
        /// Maximum size in bytes.
        most: usize,
    },
    /// The connection failed or the time is over.
    #[snafu(display("the body broke off"))]
    Broken {
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
}

/// Reads a body of at most `most` bytes.
///
/// # Errors
///
/// Any [`ResponseBodyError`]. The connection is closed then.
pub(crate) async fn read_whole(
    mut response: Response,
    most: usize,
) -> Result<Bytes, ResponseBodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.context(BrokenSnafu)? {
        ensure!(body.len() + chunk.len() <= most, TooLargeSnafu { most });
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

#[cfg(test)]
mod tests;
