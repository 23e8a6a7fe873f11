//! Non-blocking logging: a separate thread writes JSON lines to standard output.
//!
//! Lines are buffered and written several times a second. If the reader of standard output is too
//! slow, lines are dropped and counted; the count is logged with the next write.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

/// Size limit of the buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 1024 * 1024;
/// Period of writes, and thus the longest delay of a line.
const WRITE_PERIOD: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped: u64,
}

/// Shared buffer of log lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogBuffer(Arc<Mutex<Buffer>>);

impl LogBuffer {
    /// Writes the buffered lines to `output`.
    pub(crate) fn flush(&self, output: &mut impl Write) -> io::Result<()> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = std::mem::take(&mut buffer.lines);
        let dropped = std::mem::take(&mut buffer.dropped);
        drop(buffer);
        output.write_all(&lines)?;
        if dropped > 0 {
            writeln!(
                output,
                r#"{{"level":"WARN","event":"log_lines_dropped","count":{dropped}}}"#
            )?;
        }
        output.flush()
    }

    /// Starts the thread that writes to standard output.
    pub(crate) fn start_writer(&self) -> io::Result<()> {
        let buffer = self.clone();
        let write = move || {
            loop {
                std::thread::sleep(WRITE_PERIOD);
                // Standard output is closed, so the error cannot be logged.
                if buffer.flush(&mut io::stdout()).is_err() {
                    return;
                }
            }
        };
        std::thread::Builder::new()
            .name("logs".into())
            .spawn(write)?;
        Ok(())
    }
}

impl Write for LogBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.lines.len() + line.len() > MAX_BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.lines.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self::Writer {
        self.clone()
    }
}
