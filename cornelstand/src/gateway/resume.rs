//! Where another endpoint can go on with a stream.

use crate::sse::Event;

/// Longest event identifier that is sent to an endpoint, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Point of a stream up to which the caller has got its events.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResumePoint {
    id: Option<Vec<u8>>,
    /// Whether the last event has no identifier that could be sent.
    is_unmarked: bool,
}

impl ResumePoint {
    /// Point after the event that the caller of a request names, or before the first event.
    pub(crate) fn after(id: Option<&[u8]>) -> Self {
        Self {
            id: id.map(<[u8]>::to_vec),
            is_unmarked: false,
        }
    }

    /// Moves the point behind `event`.
    pub(crate) fn advance(&mut self, event: &Event<'_>) {
        match event.id {
            Some(id) if is_sendable(id) => {
                let last = self.id.get_or_insert_default();
                last.clear();
                last.extend_from_slice(id);
                self.is_unmarked = false;
            }
            Some(_) => self.is_unmarked = true,
            // Without data, there is nothing that a second copy would repeat.
            None => self.is_unmarked |= event.data.is_some(),
        }
    }

    /// Identifier of the last event that has one.
    pub(crate) fn id(&self) -> Option<&[u8]> {
        self.id.as_deref()
    }

    /// Whether a stream that goes on after [`id`](Self::id) neither repeats nor omits an event.
    pub(crate) fn is_exact(&self) -> bool {
        !self.is_unmarked
    }
}

/// Whether an identifier can be a header's value; an empty one resets what a client would send.
fn is_sendable(id: &[u8]) -> bool {
    let is_text = |b: &u8| *b == b'\t' || !b.is_ascii_control();
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.iter().all(is_text)
}
