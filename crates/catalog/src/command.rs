//! Commands of operators.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::action::Action;
use shallotrill_model::command::Id;
use shallotrill_model::revision::Revision;
use shallotrill_model::time;

/// A command as the log carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Identity of the command; a resent one has the same.
    pub id: Id,
    /// Revision that the operator saw; needed to change, delete or classify a service.
    pub base: Option<Revision>,
    /// Who sent it.
    pub operator: Arc<str>,
    /// When it was sent.
    pub at: time::Wall,
    /// What is to change.
    pub action: Action,
}

/// Where the present form of an object comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Revision that the change made.
    pub revision: Revision,
    /// Who made it.
    pub operator: Arc<str>,
    /// When it was made.
    pub at: time::Wall,
}
