//! Scanner of server-sent events.
//!
//! It takes the bytes of a stream in pieces of any size and returns only complete events, so that
//! an interrupted stream can be resumed after the last event the caller received. Memory use is
//! bounded by the size of one event.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use snafu::{Snafu, ensure};

/// Maximum size of an event in bytes.
pub const EVENT_BYTES: usize = 256 * 1024;

/// Error in an event stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum SseError {
    /// An event is larger than [`EVENT_BYTES`].
    #[snafu(display("an event has more than {EVENT_BYTES} bytes"))]
    EventTooLarge,
    /// Data follows the end of the stream.
    #[snafu(display("bytes after the end of the stream"))]
    AfterEnd,
}

/// Scanner of one event stream.
#[derive(Debug, Default)]
pub struct Scanner {
    buffer: BytesMut,
    scanned: usize,
    chunks: u64,
    tokens: Option<u64>,
    done: bool,
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

impl Scanner {
    /// Takes the next bytes and returns the events they complete, unchanged.
    ///
    /// # Errors
    ///
    /// [`SseError`] if the stream violates the protocol. The scanner must not be used afterwards.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, SseError> {
        ensure!(!self.done || is_blank(bytes), AfterEndSnafu);
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(next) = event_end(&self.buffer, end.max(self.scanned), end) {
            let event = self.buffer[end..next].to_vec();
            self.process_event(&event);
            end = next;
            self.scanned = next;
        }
        let whole = self.buffer.split_to(end).freeze();
        self.scanned = self.buffer.len().saturating_sub(MAX_TERMINATOR_BYTES);
        ensure!(self.buffer.len() <= EVENT_BYTES, EventTooLargeSnafu);
        let clean = !self.done || is_blank(&self.buffer);
        ensure!(clean, AfterEndSnafu);
        Ok(whole)
    }

    /// Discards an incomplete event before the stream is resumed.
    pub fn rewind(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Returns the number of data events so far, without the one that ends the stream.
    #[must_use]
    pub fn chunks(&self) -> u64 {
        self.chunks
    }

    /// Returns prompt plus completion tokens, if the stream has reported its usage.
    #[must_use]
    pub fn tokens(&self) -> Option<u64> {
        self.tokens
    }

    /// Returns whether the final event was received.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn process_event(&mut self, event: &[u8]) {
        let Some(data) = data_line(event) else {
            return;
        };
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        self.chunks += 1;
        if let Some(tokens) = usage(data) {
            self.tokens = Some(tokens);
        }
    }
}

/// Returns the prompt plus completion tokens that a chunk or whole answer reports.
pub(crate) fn usage(json: &[u8]) -> Option<u64> {
    if !json.windows(USAGE_KEY.len()).any(|w| w == USAGE_KEY) {
        return None;
    }
    let usage = serde_json::from_slice::<Chunk>(json).ok()?.usage?;
    Some(usage.prompt_tokens.saturating_add(usage.completion_tokens))
}

const USAGE_KEY: &[u8] = b"\"usage\"";
/// Longest terminator of an event: a line ending and a blank line.
const MAX_TERMINATOR_BYTES: usize = 4;

/// Returns the end of the event that starts at `start`, searching from `from` on.
fn event_end(buffer: &[u8], from: usize, start: usize) -> Option<usize> {
    let from = from.max(start);
    (from..buffer.len()).find_map(|at| {
        let rest = &buffer[at..];
        [&b"\n\n"[..], b"\n\r\n", b"\r\r"]
            .iter()
            .find(|end| rest.starts_with(end))
            .map(|end| at + end.len())
    })
}

/// Returns the first data line of an event.
fn data_line(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|b| matches!(b, b'\n' | b'\r'))
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}

fn is_blank(bytes: &[u8]) -> bool {
    bytes.iter().all(u8::is_ascii_whitespace)
}
