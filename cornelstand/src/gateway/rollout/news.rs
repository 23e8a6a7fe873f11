//! What instances tell each other about roll-outs.

use serde::{Deserialize, Serialize};

/// Block of a heartbeat, a digest or an alarm.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct RolloutNews {}

impl RolloutNews {
    /// Whether there is nothing to tell.
    pub(crate) fn is_empty(&self) -> bool {
        true
    }
}
