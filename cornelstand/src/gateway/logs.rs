//! Log lines without waiting: JSON on standard output, written by a thread of its own.
//!
//! Lines are gathered and written a few times a second. When the reader of standard output is too
//! slow, lines are dropped and counted; the count is logged when there is room again.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

/// Most bytes that wait to be written.
const BUFFER_BYTES: usize = 1024 * 1024;
/// Time between two writes; a line is at most this late.
const WRITE_PERIOD: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped: u64,
}

/// Where log lines go.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogBuffer(Arc<Mutex<Buffer>>);

impl LogBuffer {
    /// Writes what was gathered to `output`.
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
                // Nobody is left to be told that standard output is closed.
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
        if buffer.lines.len() + line.len() > BUFFER_BYTES {
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
