//! A small HTTP/1.1 reader and writer for the stand-ins: strict, blocking, one message at a time.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Largest head that is read.
const MAX_HEAD: usize = 64 * 1024;

/// A message with its start line and headers.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Word `index` of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn bad(text: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.buffer.len() > MAX_HEAD {
                return Err(bad("a line is too long".into()));
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a start line and headers; `None` if the connection ends before them.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line
                .split_once(':')
                .ok_or_else(|| bad(format!("header {line:?}")))?;
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the next piece of a chunked body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| bad(format!("a chunk's size can't be read: {line:?}")))?;
        let data = self.exactly(size)?;
        if self.exactly(2)? != b"\r\n" {
            return Err(bad("a chunk has no end".into()));
        }
        Ok((size > 0).then_some(data))
    }

    /// Reads the body that `head` announces.
    pub fn body(&mut self, head: &mut Message) -> io::Result<()> {
        if head.get("transfer-encoding").is_some() {
            while let Some(data) = self.chunk()? {
                head.body.extend(data);
            }
        } else if let Some(length) = head.get("content-length") {
            let length = length.parse().map_err(|_| bad("length".into()))?;
            head.body = self.exactly(length)?;
        }
        Ok(())
    }

    /// Reads a whole request; `None` if the connection ends before it.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut head) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut head)?;
        Ok(Some(head))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends an answer with a length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut out = format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(body);
        self.send(&out)
    }

    pub fn send_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut out = format!("{:x}\r\n", data.len()).into_bytes();
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
        self.send(&out)
    }
}
