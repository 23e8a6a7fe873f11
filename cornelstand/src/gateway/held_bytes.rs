//! Account of the bytes that an instance holds for callers and endpoints.
//!
//! Large request bodies and heads, responses that wait for their caller, and incomplete events take
//! a share of the process's memory. Smaller ones are not counted: the number of connections bounds
//! them.

use std::cell::Cell;
use std::rc::Rc;

/// Largest piece that is not counted, in bytes.
pub(crate) const SMALL_BYTES: usize = 8 * 1024;
/// Part of the process's memory that the account gives out.
const MEMORY_DIVISOR: usize = 4;
/// Memory for a caller's connection without its shares, in bytes: its input, a small response, the
/// input of a connection to an endpoint, the state of a request, and the socket's receive buffer.
const CONNECTION_BYTES: usize = 3 * SMALL_BYTES + RECEIVE_BYTES;
/// Receive buffer of a caller's connection, in bytes.
pub(crate) const RECEIVE_BYTES: usize = 16 * 1024;
/// Part of the process's memory for connections.
const CONNECTIONS_DIVISOR: usize = 2;

/// Most connections of callers in a process with `memory` bytes.
pub(crate) fn max_connections(memory: usize) -> usize {
    memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES
}

/// Bytes that are held.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldBytes {
    used: Rc<Cell<usize>>,
}

/// Bytes that one owner holds, which are free again when it is dropped.
#[derive(Debug)]
pub(crate) struct Share {
    used: Rc<Cell<usize>>,
    bytes: usize,
}

impl HeldBytes {
    /// Share without any bytes yet.
    pub(crate) fn share(&self) -> Share {
        Share {
            used: self.used.clone(),
            bytes: 0,
        }
    }
}

impl Share {
    /// Grows the share to `bytes`. Returns false if a process with `memory` bytes has no room for
    /// it beside the others.
    pub(crate) fn grow(&mut self, bytes: usize, memory: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if bytes <= SMALL_BYTES || more == 0 {
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

    /// Gives back all bytes.
    pub(crate) fn clear(&mut self) {
        self.used.set(self.used.get().saturating_sub(self.bytes));
        self.bytes = 0;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.clear();
    }
}
