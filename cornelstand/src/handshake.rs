//! Fleet-key authentication at the start of every link between instances.
//!
//! Both sides send a nonce and prove the key by an HMAC over both nonces and their role, so that
//! neither a recorded exchange nor the other side's own proof can be replayed. Frames are bounded
//! and the whole exchange has a deadline, which limits the cost of a silent or malformed peer.

use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::name::{InstanceName, is_name};

/// Version of the protocol between instances.
pub const PROTOCOL: u16 = 1;
/// Maximum bytes per handshake frame.
pub const HELLO_BYTES: usize = 256;
/// Time for the whole handshake.
pub const HELLO_TIME: Duration = Duration::from_secs(2);

/// Error of a handshake.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// The connection failed.
    #[snafu(display("the connection failed during the handshake"))]
    Connection {
        /// Error of the socket or of the framing.
        source: std::io::Error,
    },
    /// The other side closed the connection.
    #[snafu(display("the connection was closed during the handshake"))]
    Closed,
    /// No proof within [`HELLO_TIME`].
    #[snafu(display("no proof of the fleet key within {HELLO_TIME:?}"))]
    Timeout,
    /// A frame is not a handshake message.
    #[snafu(display("a frame is not a handshake message"))]
    Malformed {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// The other side speaks another version.
    #[snafu(display("the other side speaks version {theirs} of the protocol, not {PROTOCOL}"))]
    Protocol {
        /// Version of the other side.
        theirs: u16,
    },
    /// The other side's name is not a valid name.
    #[snafu(display("the other side's name is not valid"))]
    Name,
    /// The other side does not know the fleet key.
    #[snafu(display("the other side does not prove the fleet key"))]
    Proof,
}

#[derive(Deserialize, Serialize)]
struct Hello {
    protocol: u16,
    instance: InstanceName,
    nonce: [u8; 32],
}

#[derive(Deserialize, Serialize)]
struct Proof([u8; 32]);

#[derive(Clone, Copy)]
enum Role {
    Client,
    Server,
}

/// Proves `key` as the connecting side and returns the other side's name.
///
/// # Errors
///
/// [`HandshakeError`]; the connection must be dropped.
pub(crate) async fn connect<S>(
    stream: &mut S,
    key: &str,
    own: &InstanceName,
) -> Result<InstanceName, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    prove_in_time(stream, key, own, Role::Client).await
}

/// Proves `key` as the accepting side and returns the other side's name.
///
/// # Errors
///
/// [`HandshakeError`]; the connection must be dropped.
pub(crate) async fn accept<S>(
    stream: &mut S,
    key: &str,
    own: &InstanceName,
) -> Result<InstanceName, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    prove_in_time(stream, key, own, Role::Server).await
}

async fn prove_in_time<S>(
    stream: &mut S,
    key: &str,
    own: &InstanceName,
    role: Role,
) -> Result<InstanceName, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    timeout(HELLO_TIME, prove(stream, key, own, role))
        .await
        .unwrap_or(TimeoutSnafu.fail())
}

async fn prove<S>(
    stream: &mut S,
    key: &str,
    own: &InstanceName,
    role: Role,
) -> Result<InstanceName, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(HELLO_BYTES)
        .new_codec();
    let mut frames = Framed::new(stream, codec);
    let ours = Hello {
        protocol: PROTOCOL,
        instance: own.clone(),
        nonce: nonce(),
    };
    send(&mut frames, &ours).await?;
    let theirs: Hello = receive(&mut frames).await?;
    ensure!(
        theirs.protocol == PROTOCOL,
        ProtocolSnafu {
            theirs: theirs.protocol
        }
    );
    ensure!(is_name(theirs.instance.as_str()), NameSnafu);
    let (client, server, other) = match role {
        Role::Client => (&ours, &theirs, Role::Server),
        Role::Server => (&theirs, &ours, Role::Client),
    };
    let own_proof = Proof(
        proof_mac(key, role, client, server)
            .finalize()
            .into_bytes()
            .into(),
    );
    // The accepting side proves itself only to a side that has proved itself first.
    if matches!(role, Role::Client) {
        send(&mut frames, &own_proof).await?;
    }
    let proof: Proof = receive(&mut frames).await?;
    proof_mac(key, other, client, server)
        .verify_slice(&proof.0)
        .ok()
        .context(ProofSnafu)?;
    if matches!(role, Role::Server) {
        send(&mut frames, &own_proof).await?;
    }
    Ok(theirs.instance)
}

fn proof_mac(key: &str, role: Role, client: &Hello, server: &Hello) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes a key of any length");
    mac.update(match role {
        Role::Client => b"client",
        Role::Server => b"server",
    });
    for hello in [client, server] {
        mac.update(&hello.nonce);
        mac.update(hello.instance.as_str().as_bytes());
        mac.update(&[0]);
    }
    mac
}

fn nonce() -> [u8; 32] {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).expect("the system's source of random bytes is available");
    bytes
}

async fn send<S, T>(
    frames: &mut Framed<&mut S, LengthDelimitedCodec>,
    message: &T,
) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    T: Serialize + Sync,
{
    let bytes = postcard::to_stdvec(message).context(MalformedSnafu)?;
    frames
        .send(Bytes::from(bytes))
        .await
        .context(ConnectionSnafu)
}

async fn receive<S, T>(
    frames: &mut Framed<&mut S, LengthDelimitedCodec>,
) -> Result<T, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    T: for<'de> Deserialize<'de>,
{
    let frame = frames
        .next()
        .await
        .context(ClosedSnafu)?
        .context(ConnectionSnafu)?;
    postcard::from_bytes(&frame).context(MalformedSnafu)
}

#[cfg(test)]
mod tests;
