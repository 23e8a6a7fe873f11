//! What each part of the gateway adds to heartbeats and digests, and what it learns from them.

use crate::gateway::extensions::Extension;
use crate::gateway::gate::Gate;
use crate::gateway::handover;
use crate::name::{CentreName, InstanceName};

/// Whose state a message tells.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
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
        extensions.extend(self.rollout_heartbeat_block());
        extensions.extend(handover::report_block(self));
        extensions.extend(handover::stop_block(self));
        extensions.extend(self.pace_block());
        extensions
    }

    /// Blocks for a digest, about the instances of this data centre.
    pub(crate) fn digest_extensions(&self) -> Vec<Extension> {
        let mut extensions = Vec::new();
        extensions.extend(self.rollout_digest_block());
        extensions.extend(self.pace_digest_block());
        extensions
    }

    /// Blocks for an alarm, which goes to all instances at once.
    pub(crate) fn alarm_extensions(&self) -> Vec<Extension> {
        let mut extensions = Vec::new();
        extensions.extend(self.rollout_alarm_block());
        extensions
    }

    /// Applies the blocks of a heartbeat, a digest or an alarm.
    pub(crate) fn receive_extensions(&self, sender: &Sender, extensions: &[Extension]) {
        if extensions.is_empty() {
            return;
        }
        tracing::trace!(event = "extensions", ?sender, count = extensions.len());
        handover::receive_report(self, sender, extensions);
        handover::receive_stop(self, sender, extensions);
        self.receive_rollouts(sender, extensions);
        self.receive_paces(sender, extensions);
    }
}
