//! Commands of operators, and the origin of a change.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::action::Action;
use shallotrill_model::command::Id;
use shallotrill_model::revision::Revision;
use shallotrill_model::time;

/// A command, as an entry of the replicated log contains it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Identifier of the command; a resent command has the same one.
    pub id: Id,
    /// Revision that the change is based on. Required to change, delete or classify a service.
    pub base: Option<Revision>,
    /// Name of the operator who sent it.
    pub operator: Arc<str>,
    /// Time at which it was sent.
    pub at: time::Wall,
    /// Change that it requests.
    pub action: Action,
}

/// The change that set the current value of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Revision that the change made.
    pub revision: Revision,
    /// Name of the operator who made the change.
    pub operator: Arc<str>,
    /// Time at which the command was sent.
    pub at: time::Wall,
}
