//! Room for answers that take much memory on their way to the caller.
//!
//! The HTTP libraries and the sockets on both sides buffer several hundred kilobytes of an answer
//! that its endpoint sends faster than the caller reads. Long answers, and streams that their
//! callers keep waiting, are therefore limited in number. Others wait meanwhile, and a caller that
//! does not read while others wait loses its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// Memory for each caller's connection that is allowed, in bytes.
const CONNECTION_BYTES: usize = 128 * 1024;
/// Memory of a long answer on its way, in bytes: mostly the receive buffer of its endpoint's connection.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Fewest long answers at once.
const MIN_ANSWERS: usize = 4;
/// Largest answer that is not long, in bytes.
pub(crate) const SHORT_BYTES: usize = 32 * 1024;
/// Time for a caller to take a part of its answer while others wait for room.
pub(crate) const PRESSED_TIMEOUT: Duration = Duration::from_secs(1);

/// Room for long answers.
#[derive(Debug)]
pub(crate) struct LongAnswers {
    room: Arc<Semaphore>,
    waiting: AtomicUsize,
}

impl LongAnswers {
    /// Room in an entry with `connections` connections.
    pub(crate) fn new(connections: usize) -> Self {
        let count = connections.saturating_mul(CONNECTION_BYTES) / ANSWER_BYTES;
        let count = count.clamp(MIN_ANSWERS, Semaphore::MAX_PERMITS);
        Self {
            room: Arc::new(Semaphore::new(count)),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Waits for room, at most for `wait`.
    pub(crate) async fn take(&self, wait: Duration) -> Option<OwnedSemaphorePermit> {
        let _waiting = Waiting::new(&self.waiting);
        timeout(wait, self.room.clone().acquire_owned())
            .await
            .ok()?
            .ok()
    }

    /// Takes room if there is any.
    pub(crate) fn try_take(&self) -> Option<OwnedSemaphorePermit> {
        self.room.clone().try_acquire_owned().ok()
    }

    /// Ends when others wait for room after the time that a caller has.
    pub(crate) async fn pressed(&self) {
        loop {
            sleep(PRESSED_TIMEOUT).await;
            if self.waiting.load(Ordering::Relaxed) > 0 {
                return;
            }
        }
    }
}

/// Counts an answer that waits, until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
