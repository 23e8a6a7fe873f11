//! HTTP/1.1 messages: heads parsed in place, and bodies decoded from their framing.
//!
//! Both the caller and the endpoint side use these types. An HTTP library would hide what the
//! gateway has to detect: bytes after a response, a response cut off by a reset, a late response to
//! an earlier request on the connection. Ambiguous framing is rejected (request smuggling).

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, IsVariant};

/// Most headers of a message, as common servers accept.
const MAX_HEADERS: usize = 100;
/// Longest chunk-size line; chunk extensions are not used here.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Most bytes of trailers, which are discarded.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Most hexadecimal digits of a chunk size, so that it fits 60 bits.
const MAX_CHUNK_DIGITS: usize = 15;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, Display, Eq, IsVariant, PartialEq)]
pub(crate) enum MessageError {
    #[display("head is larger than allowed")]
    HeadTooLarge,
    #[display("head is not HTTP/1.1")]
    BadHead,
    #[display("framing of the body is ambiguous or unknown")]
    BadFraming,
    #[display("body is larger than allowed")]
    BodyTooLarge,
}

/// Byte ranges of one header in the head.
#[derive(Clone, Copy, Debug)]
struct Field {
    name: (usize, usize),
    value: (usize, usize),
}

/// Parsed start line.
#[derive(Clone, Debug)]
enum StartLine {
    Request {
        method: (usize, usize),
        target: (usize, usize),
    },
    Response {
        status: u16,
    },
}

/// Head of a request or response.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    bytes: Bytes,
    start: StartLine,
    minor: u8,
    fields: Vec<Field>,
}

impl Head {
    /// Splits a request head off `buffer` once it is complete.
    pub(crate) fn parse_request(
        buffer: &mut BytesMut,
        limit: usize,
    ) -> Result<Option<Self>, MessageError> {
        // RFC 9112 allows empty lines before a request.
        while buffer.starts_with(b"\r\n") {
            buffer.advance(2);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(buffer).map_err(|_| MessageError::BadHead)?;
        let httparse::Status::Complete(length) = status else {
            return incomplete(buffer, limit);
        };
        let start = StartLine::Request {
            method: range(buffer, request.method.unwrap_or_default().as_bytes()),
            target: range(buffer, request.path.unwrap_or_default().as_bytes()),
        };
        let minor = request.version.unwrap_or_default();
        let fields = fields(buffer, request.headers);
        Self::take(buffer, length, limit, start, minor, fields)
    }

    /// Splits a response head off `buffer` once it is complete.
    pub(crate) fn parse_response(
        buffer: &mut BytesMut,
        limit: usize,
    ) -> Result<Option<Self>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let status = response.parse(buffer).map_err(|_| MessageError::BadHead)?;
        let httparse::Status::Complete(length) = status else {
            return incomplete(buffer, limit);
        };
        let start = StartLine::Response {
            status: response.code.unwrap_or_default(),
        };
        let minor = response.version.unwrap_or_default();
        let fields = fields(buffer, response.headers);
        Self::take(buffer, length, limit, start, minor, fields)
    }

    fn take(
        buffer: &mut BytesMut,
        length: usize,
        limit: usize,
        start: StartLine,
        minor: u8,
        fields: Vec<Field>,
    ) -> Result<Option<Self>, MessageError> {
        if length > limit {
            return Err(MessageError::HeadTooLarge);
        }
        let bytes = buffer.split_to(length).freeze();
        Ok(Some(Self {
            bytes,
            start,
            minor,
            fields,
        }))
    }

    pub(crate) fn method(&self) -> &str {
        match self.start {
            StartLine::Request { method, .. } => self.text(method),
            StartLine::Response { .. } => "",
        }
    }

    pub(crate) fn target(&self) -> &str {
        match self.start {
            StartLine::Request { target, .. } => self.text(target),
            StartLine::Response { .. } => "",
        }
    }

    pub(crate) fn status(&self) -> u16 {
        match self.start {
            StartLine::Response { status } => status,
            StartLine::Request { .. } => 0,
        }
    }

    /// Whether the sender speaks HTTP/1.0, which has no chunked coding.
    pub(crate) fn is_http_1_0(&self) -> bool {
        self.minor == 0
    }

    pub(crate) fn headers(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let value = |f: &Field| &self.bytes[f.value.0..f.value.1];
        self.fields
            .iter()
            .map(move |f| (self.text(f.name), value(f)))
    }

    /// All values of a header.
    pub(crate) fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let has_name = move |(n, _): &(&str, &[u8])| n.eq_ignore_ascii_case(name);
        self.headers().filter(has_name).map(|(_, value)| value)
    }

    /// First value of a header, if it is UTF-8.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let value = self
            .headers()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))?
            .1;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Whether one of the comma-separated tokens of a header is `token`.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name).any(|value| {
            let mut parts = value.split(|b| *b == b',');
            parts.any(|p| p.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Whether the sender keeps the connection open after this message.
    pub(crate) fn keeps_alive(&self) -> bool {
        if self.is_http_1_0() {
            return self.has_token("connection", "keep-alive");
        }
        !self.has_token("connection", "close")
    }

    /// Reader for a request's body.
    pub(crate) fn request_body(&self) -> Result<BodyReader, MessageError> {
        let framing = self.framing()?;
        Ok(BodyReader::new(framing.unwrap_or(Framing::Length(0))))
    }

    /// Whether a response to a `method` request has no body, whatever its headers say.
    pub(crate) fn is_bodiless(&self, method: &str) -> bool {
        method == "HEAD" || matches!(self.status(), ..200 | 204 | 304)
    }

    /// Media type of the body, without parameters.
    pub(crate) fn media_type(&self) -> &str {
        let value = self.get("content-type").unwrap_or_default();
        value.split(';').next().unwrap_or_default().trim()
    }

    /// Reader for the body of a response to a `method` request.
    pub(crate) fn answer_body(&self, method: &str) -> Result<BodyReader, MessageError> {
        if self.is_bodiless(method) {
            return Ok(BodyReader::new(Framing::Length(0)));
        }
        let framing = self.framing()?;
        Ok(BodyReader::new(framing.unwrap_or(Framing::UntilClose)))
    }

    fn framing(&self) -> Result<Option<Framing>, MessageError> {
        let mut codings = self.values("transfer-encoding");
        let coding = codings.next();
        let mut lengths = self.values("content-length");
        let length = lengths.next();
        if codings.next().is_some() || lengths.next().is_some() {
            return Err(MessageError::BadFraming);
        }
        match (coding, length) {
            (None, None) => Ok(None),
            (Some(coding), None) if !self.is_http_1_0() => {
                let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
                let framing = is_chunked.then_some(Framing::Chunked(ChunkState::Size));
                framing.map(Some).ok_or(MessageError::BadFraming)
            }
            (None, Some(length)) => {
                let digits = length.trim_ascii();
                let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
                let length = std::str::from_utf8(digits).ok().filter(|_| is_number);
                let length = length.and_then(|l| l.parse().ok());
                let length = length.ok_or(MessageError::BadFraming)?;
                Ok(Some(Framing::Length(length)))
            }
            _ => Err(MessageError::BadFraming),
        }
    }

    fn text(&self, range: (usize, usize)) -> &str {
        // httparse accepts ASCII methods and names, and UTF-8 targets.
        std::str::from_utf8(&self.bytes[range.0..range.1]).unwrap_or_default()
    }
}

fn incomplete(buffer: &BytesMut, limit: usize) -> Result<Option<Head>, MessageError> {
    if buffer.len() > limit {
        return Err(MessageError::HeadTooLarge);
    }
    Ok(None)
}

fn range(buffer: &BytesMut, part: &[u8]) -> (usize, usize) {
    let from = part.as_ptr() as usize - buffer.as_ptr() as usize;
    (from, from + part.len())
}

fn fields(buffer: &BytesMut, headers: &[httparse::Header<'_>]) -> Vec<Field> {
    let field = |h: &httparse::Header<'_>| Field {
        name: range(buffer, h.name.as_bytes()),
        value: if h.value.is_empty() {
            (0, 0)
        } else {
            range(buffer, h.value)
        },
    };
    headers.iter().map(field).collect()
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug)]
enum Framing {
    /// Bytes left.
    Length(u64),
    Chunked(ChunkState),
    UntilClose,
}

/// Position in a chunked body.
#[derive(Clone, Copy, Debug)]
enum ChunkState {
    Size,
    /// Bytes left in the chunk.
    Data(u64),
    DataEnd,
    /// Bytes of trailers so far.
    Trailer(usize),
    End,
}

/// Decodes a body from its framing.
#[derive(Clone, Debug)]
pub(crate) struct BodyReader {
    framing: Framing,
}

impl BodyReader {
    fn new(framing: Framing) -> Self {
        Self { framing }
    }

    /// Length of the whole body, if the head states it.
    pub(crate) fn length(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked(_) | Framing::UntilClose => None,
        }
    }

    /// Whether the body ends when the connection closes.
    pub(crate) fn is_until_close(&self) -> bool {
        matches!(self.framing, Framing::UntilClose)
    }

    /// Whether all of the body has been read.
    pub(crate) fn is_done(&self) -> bool {
        matches!(
            self.framing,
            Framing::Length(0) | Framing::Chunked(ChunkState::End)
        )
    }

    /// Decodes body bytes from `input` into `output`.
    pub(crate) fn read(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
    ) -> Result<(), MessageError> {
        match &mut self.framing {
            Framing::Length(left) => {
                move_bytes(left, input, output);
                Ok(())
            }
            Framing::UntilClose => {
                output.extend_from_slice(input);
                input.clear();
                Ok(())
            }
            Framing::Chunked(chunk) => read_chunks(chunk, input, output),
        }
    }
}

fn move_bytes(left: &mut u64, input: &mut BytesMut, output: &mut BytesMut) {
    let count = usize::try_from(*left).map_or(input.len(), |l| l.min(input.len()));
    output.extend_from_slice(&input[..count]);
    input.advance(count);
    *left -= count as u64;
}

fn read_chunks(
    chunk: &mut ChunkState,
    input: &mut BytesMut,
    output: &mut BytesMut,
) -> Result<(), MessageError> {
    loop {
        match chunk {
            ChunkState::Size => {
                let Some(line) = take_line(input, MAX_CHUNK_LINE_BYTES)? else {
                    return Ok(());
                };
                let size = chunk_size(&line)?;
                *chunk = if size == 0 {
                    ChunkState::Trailer(0)
                } else {
                    ChunkState::Data(size)
                };
            }
            ChunkState::Data(left) => {
                move_bytes(left, input, output);
                if *left > 0 {
                    return Ok(());
                }
                *chunk = ChunkState::DataEnd;
            }
            ChunkState::DataEnd => {
                if input.len() < 2 {
                    return Ok(());
                }
                if !input.starts_with(b"\r\n") {
                    return Err(MessageError::BadFraming);
                }
                input.advance(2);
                *chunk = ChunkState::Size;
            }
            ChunkState::Trailer(bytes) => {
                let Some(line) = take_line(input, MAX_TRAILER_BYTES)? else {
                    return Ok(());
                };
                *bytes += line.len();
                if *bytes > MAX_TRAILER_BYTES {
                    return Err(MessageError::BadFraming);
                }
                if line.is_empty() {
                    *chunk = ChunkState::End;
                }
            }
            ChunkState::End => return Ok(()),
        }
    }
}

/// Takes a line without its CRLF.
fn take_line(input: &mut BytesMut, limit: usize) -> Result<Option<BytesMut>, MessageError> {
    let Some(end) = memchr::memchr(b'\n', input) else {
        if input.len() > limit {
            return Err(MessageError::BadFraming);
        }
        return Ok(None);
    };
    let mut line = input.split_to(end + 1);
    if end > limit || !line.ends_with(b"\r\n") {
        return Err(MessageError::BadFraming);
    }
    line.truncate(line.len() - 2);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, MessageError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let is_size = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_size);
    let size = text.and_then(|t| u64::from_str_radix(t, 16).ok());
    size.ok_or(MessageError::BadFraming)
}

/// Reason phrase of a status, for the status line.
pub(crate) fn reason(status: u16) -> &'static str {
    let status = http::StatusCode::from_u16(status).ok();
    let reason = status.and_then(|s| s.canonical_reason());
    reason.unwrap_or("Unknown")
}
