//! Server-sent events, read as the HTML standard defines them.
//!
//! Lines end in LF, CR LF or CR, an empty line ends an event, and only whole lines are fields. A
//! [`Splitter`] takes the bytes of a stream in pieces of any size and returns only complete events,
//! so that an interrupted stream can be resumed after the last event the caller received. Memory
//! use is bounded by the size of one event.

use std::borrow::Cow;

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use snafu::{Snafu, ensure};

/// Maximum size of an event in bytes.
pub const EVENT_BYTES: usize = 256 * 1024;

/// Byte order mark, which may precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

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

/// Terminator of a line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LineEnd {
    #[default]
    Lf,
    CrLf,
    Cr,
}

/// Returns the terminator of the line that ends at `at`, or `None` if a CR is the last byte so far
/// and an LF may follow.
fn terminator(bytes: &[u8], at: usize) -> Option<LineEnd> {
    match (bytes[at], bytes.get(at + 1)) {
        (b'\n', _) => Some(LineEnd::Lf),
        (_, Some(b'\n')) => Some(LineEnd::CrLf),
        (_, Some(_)) => Some(LineEnd::Cr),
        (_, None) => None,
    }
}

impl LineEnd {
    fn length(self) -> usize {
        match self {
            Self::Lf | Self::Cr => 1,
            Self::CrLf => 2,
        }
    }
}

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    /// Start of the current line.
    line: usize,
    /// Bytes of the current line and earlier ones that have been searched.
    scanned: usize,
    /// Terminator of the previous line.
    previous: LineEnd,
    /// Whether events were taken before.
    is_started: bool,
    /// Whether the events follow those of an earlier response.
    is_resumed: bool,
}

impl Splitter {
    /// Splitter for a response whose events follow those of an earlier one. Its byte order mark is
    /// dropped, since it may only stand at the beginning of a stream.
    pub(crate) fn resumed() -> Self {
        Self {
            is_resumed: true,
            ..Self::default()
        }
    }

    /// The buffer to which the bytes of the stream are appended.
    pub(crate) fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Bytes of the incomplete event.
    pub(crate) fn pending(&self) -> &[u8] {
        &self.buffer
    }

    /// Takes the complete events; `is_end` tells that no more bytes follow.
    pub(crate) fn take(&mut self, is_end: bool) -> Events {
        let mut complete = 0;
        while let Some(offset) = memchr::memchr2(b'\n', b'\r', &self.buffer[self.scanned..]) {
            let at = self.scanned + offset;
            let is_empty = at == self.line;
            // The blank line after a line that ended in a bare CR most likely does so as well, and
            // an event must not wait for the next one.
            let is_bare = is_end || (is_empty && self.previous == LineEnd::Cr);
            let bare = is_bare.then_some(LineEnd::Cr);
            let Some(end) = terminator(&self.buffer, at).or(bare) else {
                self.scanned = at;
                return self.split_off(complete);
            };
            self.line = at + end.length();
            self.scanned = self.line;
            self.previous = end;
            if is_empty {
                complete = self.line;
            }
        }
        self.scanned = self.buffer.len();
        self.split_off(complete)
    }

    fn split_off(&mut self, complete: usize) -> Events {
        let mut bytes = self.buffer.split_to(complete).freeze();
        self.line -= complete;
        self.scanned -= complete;
        let is_first = !self.is_started;
        self.is_started |= complete > 0;
        if is_first && self.is_resumed && bytes.starts_with(BYTE_ORDER_MARK) {
            bytes.advance(BYTE_ORDER_MARK.len());
        }
        Events { bytes, is_first }
    }
}

/// Complete events, in the bytes in which they came.
#[derive(Debug)]
pub(crate) struct Events {
    pub(crate) bytes: Bytes,
    /// Whether the stream begins with them.
    is_first: bool,
}

impl Events {
    /// Blocks of lines that are terminated by an empty one.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Event<'_>> {
        let mark = BYTE_ORDER_MARK;
        let marked = self.bytes.strip_prefix(mark).filter(|_| self.is_first);
        let mut rest = marked.unwrap_or(&self.bytes);
        std::iter::from_fn(move || {
            if rest.is_empty() {
                return None;
            }
            let mut event = Event::default();
            while let Some((line, next)) = split_line(rest) {
                rest = next;
                if line.is_empty() {
                    break;
                }
                event.add_line(line);
            }
            Some(event)
        })
    }
}

/// Splits off the first line, without its terminator. The last line may have none.
fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    if bytes.is_empty() {
        return None;
    }
    let Some(at) = memchr::memchr2(b'\n', b'\r', bytes) else {
        return Some((bytes, &[]));
    };
    let end = terminator(bytes, at).unwrap_or(LineEnd::Cr);
    Some((&bytes[..at], &bytes[at + end.length()..]))
}

/// Fields of an event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Event<'a> {
    /// Identifier that the event sets, without NUL; empty to reset it.
    pub(crate) id: Option<&'a [u8]>,
    /// The data lines, joined by LF. Without any, the event has no effect but on the identifier.
    pub(crate) data: Option<Cow<'a, [u8]>>,
}

impl<'a> Event<'a> {
    fn add_line(&mut self, line: &'a [u8]) {
        let colon = memchr::memchr(b':', line);
        let (name, value) = colon.map_or((line, &line[..0]), |at| (&line[..at], &line[at + 1..]));
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"id" if !value.contains(&0) => self.id = Some(value),
            b"data" => match &mut self.data {
                None => self.data = Some(Cow::Borrowed(value)),
                Some(data) => {
                    data.to_mut().push(b'\n');
                    data.to_mut().extend_from_slice(value);
                }
            },
            _ => {}
        }
    }
}

/// Scanner of one event stream of a model engine.
#[derive(Debug, Default)]
pub struct Scanner {
    splitter: Splitter,
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
    /// [`SseError`] if the stream violates the protocol. Events before the violation are returned
    /// first, and the error by the next call.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, SseError> {
        ensure!(!self.done || is_blank(bytes), AfterEndSnafu);
        self.splitter.buffer().extend_from_slice(bytes);
        let events = self.splitter.take(false);
        for event in events.iter() {
            self.process_event(&event);
        }
        if !events.bytes.is_empty() {
            return Ok(events.bytes);
        }
        let pending = self.splitter.pending();
        ensure!(pending.len() <= EVENT_BYTES, EventTooLargeSnafu);
        ensure!(!self.done || is_blank(pending), AfterEndSnafu);
        Ok(events.bytes)
    }

    /// Discards an incomplete event before the stream is resumed.
    pub fn rewind(&mut self) {
        self.splitter = Splitter::resumed();
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

    fn process_event(&mut self, event: &Event<'_>) {
        let Some(data) = event.data.as_deref() else {
            return;
        };
        if data.trim_ascii() == b"[DONE]" {
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

fn is_blank(bytes: &[u8]) -> bool {
    bytes.iter().all(u8::is_ascii_whitespace)
}

#[cfg(test)]
mod tests;
