//! Callers whose request has not come whole, in the order in which they began to wait.
//!
//! When an instance has the most connections that it may have, the one that waits longest is closed
//! for a new one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Queue {
    next: u64,
    callers: BTreeMap<u64, Rc<Notify>>,
}

/// Callers whose request has not come whole.
#[derive(Debug, Default)]
pub(crate) struct WaitingCallers(RefCell<Queue>);

/// Place of a caller in the order.
#[derive(Debug)]
pub(crate) struct WaitingCaller<'a> {
    callers: &'a WaitingCallers,
    number: u64,
}

impl WaitingCallers {
    /// Adds a caller as the last one until the result is dropped; `close` is notified when its
    /// connection is to be closed.
    pub(crate) fn add(&self, close: &Rc<Notify>) -> WaitingCaller<'_> {
        let mut queue = self.0.borrow_mut();
        let number = queue.next;
        queue.next += 1;
        queue.callers.insert(number, close.clone());
        WaitingCaller {
            callers: self,
            number,
        }
    }

    /// Has the connection closed that waits longest. Returns false if none waits.
    pub(crate) fn close_first(&self) -> bool {
        let first = self.0.borrow_mut().callers.pop_first();
        first.inspect(|(_, close)| close.notify_one()).is_some()
    }
}

impl Drop for WaitingCaller<'_> {
    fn drop(&mut self) {
        self.callers.0.borrow_mut().callers.remove(&self.number);
    }
}
