//! What each part of the gateway adds to heartbeats and digests, and what it learns from them.

use crate::gateway::extensions::Extension;
use crate::gateway::gate::Gate;
use crate::name::{CentreName, InstanceName};

/// Whose state a message tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    /// One instance, in its data centre.
    Instance(InstanceName, CentreName),
    /// All instances of a data centre.
    Centre(CentreName),
}

impl Gate {
    /// Blocks for a heartbeat, about this instance.
    pub(crate) fn heartbeat_extensions(&self) -> Vec<Extension> {
        let mut extensions = Vec::new();
        extensions.extend(self.pace_block());
        extensions
    }

    /// Blocks for a digest, about the instances of this data centre.
    pub(crate) fn digest_extensions(&self) -> Vec<Extension> {
        let mut extensions = Vec::new();
        extensions.extend(self.pace_digest_block());
        extensions
    }

    /// Applies the blocks of a heartbeat or a digest.
    pub(crate) fn receive_extensions(&self, sender: &Sender, extensions: &[Extension]) {
        if !extensions.is_empty() {
            tracing::trace!(event = "extensions", ?sender, count = extensions.len());
            self.receive_paces(sender, extensions);
        }
    }
}
