//! The latest steps of the configuration, for peers that lack a few of them.
//!
//! A revision changes little of a large configuration. A peer that is a few revisions behind gets
//! the notes that lead to the present one, and only one that is further behind gets the whole.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::name::Revision;
use crate::note::{Note, plan};

/// Steps that an instance keeps.
const STEPS: usize = 64;

/// What a peer gets to reach the sender's revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigUpdate {
    /// Notes to apply in order, the first to the revision asked for.
    Notes(Vec<Note>),
    /// The whole configuration.
    Whole(Box<Config>),
}

impl ConfigUpdate {
    /// The configuration that follows `present`, `None` if this does not lead to a higher one.
    #[must_use]
    pub fn follow(self, present: &Config) -> Option<Config> {
        let next = match self {
            Self::Whole(config) => *config,
            Self::Notes(notes) => {
                let first = present.clone();
                let mut steps = notes.iter();
                steps.try_fold(first, |config, note| note.apply(&config).ok())?
            }
        };
        (next.revision > present.revision).then_some(next)
    }
}

/// The latest steps, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Trail {
    notes: VecDeque<Note>,
}

impl Trail {
    /// Keeps the step from `present` to `next`. A leap over several revisions starts anew.
    pub fn step(&mut self, present: &Config, next: &Config) {
        if next.revision.0 != present.revision.0 + 1 {
            self.notes.clear();
            return;
        }
        let title = format!("revision {}", next.revision);
        self.notes.push_back(plan(&title, next, present));
        if self.notes.len() > STEPS {
            self.notes.pop_front();
        }
    }

    /// What a peer with revision `after` needs to reach `config`, the present configuration;
    /// `None` if that is not higher.
    #[must_use]
    pub fn since(&self, after: Revision, config: &Config) -> Option<ConfigUpdate> {
        if config.revision <= after {
            return None;
        }
        let later: Vec<Note> = self.later(after).cloned().collect();
        let is_whole = later.first().is_none_or(|n| n.base != after);
        let reaches = later
            .last()
            .is_some_and(|n| n.base.0 + 1 == config.revision.0);
        if is_whole || !reaches {
            return Some(ConfigUpdate::Whole(Box::new(config.clone())));
        }
        Some(ConfigUpdate::Notes(later))
    }

    fn later(&self, after: Revision) -> impl Iterator<Item = &Note> {
        self.notes.iter().filter(move |n| n.base >= after)
    }
}
