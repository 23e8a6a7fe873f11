//! Memory for large request bodies, which are held until their response has ended.

use std::cell::Cell;
use std::rc::Rc;

/// Largest body that is not counted, in bytes. The number of connections bounds the memory for
/// these.
pub(crate) const MAX_UNCOUNTED_BYTES: usize = 64 * 1024;
/// Part of the process's memory that large bodies may take: most of it is for connections, engines'
/// responses and the configuration.
const MEMORY_DIVISOR: usize = 4;

/// Bytes of large bodies that are held.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyRoom {
    used: Rc<Cell<usize>>,
}

/// Room that one body takes, which is free again when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyShare {
    used: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyRoom {
    /// Share of a body without any bytes yet.
    pub(crate) fn share(&self) -> BodyShare {
        BodyShare {
            used: self.used.clone(),
            bytes: 0,
        }
    }
}

impl BodyShare {
    /// Grows the share to `bytes`. Returns false if a process with `memory` bytes has no room for
    /// it beside the other bodies.
    pub(crate) fn grow(&mut self, bytes: usize, memory: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if bytes <= MAX_UNCOUNTED_BYTES || more == 0 {
            return true;
        }
        let used = self.used.get().saturating_add(more);
        let is_only = self.used.get() == self.bytes;
        let has_room = is_only || used <= memory / MEMORY_DIVISOR;
        if has_room {
            self.used.set(used);
            self.bytes = bytes;
        }
        has_room
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.used.set(self.used.get().saturating_sub(self.bytes));
    }
}
