//! Extensions: blocks that follow a heartbeat or a digest in the same datagram.
//!
//! A datagram starts with the message that every build of the gateway reads; older builds ignore
//! the bytes behind it. Each block has a number and bytes of its own, so that a build skips blocks it
//! does not know. A part of the gateway adds its block only where the deployment uses that part.

use serde::{Deserialize, Serialize};

/// Number of a block. Numbers are never used again for another content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ExtensionKind(pub(crate) u8);

impl ExtensionKind {
    /// Processor time that an instance has left.
    pub(crate) const PROCESSOR: Self = Self(1);
    /// Orders, exposure and evidence of roll-outs.
    pub(crate) const ROLLOUTS: Self = Self(2);
    /// Speed of endpoints, from their answers.
    pub(crate) const ENDPOINT_SPEED: Self = Self(3);
    /// Times of a stop that has begun.
    pub(crate) const STOP: Self = Self(4);
}

/// One block.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Extension {
    kind: ExtensionKind,
    bytes: Vec<u8>,
}

impl Extension {
    /// Encodes a block; none if its contents cannot be encoded.
    pub(crate) fn new(kind: ExtensionKind, contents: &impl Serialize) -> Option<Self> {
        let bytes = postcard::to_stdvec(contents);
        let bytes = bytes.inspect_err(|error| tracing::error!(event = "message_unwritten", %error));
        Some(Self {
            kind,
            bytes: bytes.ok()?,
        })
    }
}

/// Decodes the block of a kind. `None` if it is missing or cannot be read.
pub(crate) fn find<T: for<'de> Deserialize<'de>>(
    extensions: &[Extension],
    kind: ExtensionKind,
) -> Option<T> {
    let extension = extensions.iter().find(|e| e.kind == kind)?;
    let contents = postcard::from_bytes(&extension.bytes);
    contents
        .inspect_err(|error| tracing::warn!(event = "message_unreadable", kind = kind.0, %error))
        .ok()
}

/// Encodes a message with extensions.
pub(crate) fn write(
    message: &impl Serialize,
    extensions: &[Extension],
) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_stdvec(message)?;
    if extensions.is_empty() {
        return Ok(bytes);
    }
    postcard::to_extend(extensions, bytes)
}

/// Decodes a message with the extensions that follow it, which may be of another build.
pub(crate) fn read<T: for<'de> Deserialize<'de>>(
    bytes: &[u8],
) -> Result<(T, Vec<Extension>), postcard::Error> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        return Ok((message, Vec::new()));
    }
    let extensions = postcard::from_bytes(rest).unwrap_or_else(|error| {
        tracing::warn!(event = "message_unreadable", %error, "skipping extensions");
        Vec::new()
    });
    Ok((message, extensions))
}
