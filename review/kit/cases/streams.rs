//! A client that reads a stream of events.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::Wire;
use crate::world::{Record, request};

/// What a client got.
pub struct Received {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub is_whole: bool,
    /// Why it did not.
    pub error: Option<io::Error>,
}

impl Received {
    /// Whether bytes arrived that are no answer in the protocol.
    pub fn is_unreadable(&self) -> bool {
        self.error
            .as_ref()
            .is_some_and(|e| e.kind() == io::ErrorKind::InvalidData)
    }
}

/// Asks for a stream and reads it to its end. `prompt` is the request's own part of its prompt.
pub fn ask(record: &Record, front: SocketAddr, id: &str, path: &str, prompt: u64) -> Received {
    let mut received = Received {
        status: 0,
        body: Vec::new(),
        is_whole: false,
        error: None,
    };
    let more = format!(
        "X-Cornelstand-Model: m\r\nX-Cornelstand-Token-Count: 628,240\r\n\
         X-Cornelstand-Prompt-Prefix: 5c1e07a2:100,{prompt:x}:528\r\n"
    );
    record.note(format!("client: sends {id} ({path})"));
    let read = || -> io::Result<()> {
        let mut wire = Wire::new(TcpStream::connect(front)?);
        wire.stream
            .set_read_timeout(Some(Duration::from_secs(14)))?;
        wire.send(&request("POST", path, id, 12_000, &more, b"photo"))?;
        let Some(mut head) = wire.head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        received.status = head.status();
        if head.get("transfer-encoding").is_none() {
            wire.body(&mut head)?;
            received.body = head.body;
            received.is_whole = true;
            return Ok(());
        }
        while let Some(data) = wire.chunk()? {
            received.body.extend(data);
        }
        received.is_whole = true;
        Ok(())
    };
    received.error = {
        let mut read = read;
        read()
    }
    .err();
    let how = match &received.error {
        None => "whole".to_owned(),
        Some(error) => format!("broken off: {error}"),
    };
    record.note(format!(
        "client: {id} got {} ({} bytes), {how}",
        received.status,
        received.body.len()
    ));
    received
}
