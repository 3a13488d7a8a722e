//! History of the latest accepted changes, which operators can list.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::action::Action;
use crate::command::Origin;
use shallotrill_model::command;

/// Maximum number of changes that are retained.
pub const CHANGES_MAX: usize = 10_000;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Revision, operator and time.
    pub origin: Origin,
    /// Identifier of the command that made the change.
    pub command: command::Id,
    /// Action that was applied.
    pub action: Action,
}

/// The latest changes in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct History(VecDeque<Change>);

impl History {
    /// Adds a change and drops the oldest one beyond [`CHANGES_MAX`].
    pub fn push(&mut self, change: Change) {
        self.0.push_back(change);
        if self.0.len() > CHANGES_MAX {
            self.0.pop_front();
        }
    }

    /// The latest `count` changes, the newest first.
    pub fn last(&self, count: usize) -> impl Iterator<Item = &Change> {
        self.0.iter().rev().take(count)
    }

    /// Number of changes that are retained.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no change was accepted yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Estimate of the memory that the changes take in bytes, without their rules and regions.
    pub fn bytes(&self) -> usize {
        self.0.capacity() * size_of::<Change>()
    }
}
