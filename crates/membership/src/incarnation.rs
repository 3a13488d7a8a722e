//! Derivation of the incarnation of a backend server at its node.
//!
//! The wall clock of an instance may go backwards, so it gives only the first number and a
//! lower bound for the next; the start id of the backend server shows whether it was restarted.

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::time::Wall;

/// Incarnation of a backend server with the start id that it was derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// Number of the incarnation.
    pub incarnation: Incarnation,
    /// Start id, which the backend server chose when it started.
    pub start_id: u128,
}

impl ServerIncarnation {
    /// Returns the same start with a number above `known`, which control processes already know.
    ///
    /// A replaced node has no previous incarnation to count from; the refusal of its
    /// announcement contains the number to exceed.
    #[must_use]
    pub fn raise_above(self, known: Incarnation) -> Self {
        Self {
            incarnation: self.incarnation.max(Incarnation(known.0 + 1)),
            start_id: self.start_id,
        }
    }
}

/// Derives the incarnation of a backend server that announced itself with the start id `start_id`.
///
/// The incarnation is unchanged for the same start id and rises for another one.
pub fn derive(
    previous: Option<&ServerIncarnation>,
    start_id: u128,
    wall: Wall,
) -> ServerIncarnation {
    match previous {
        Some(previous) if previous.start_id == start_id => *previous,
        previous => {
            let next = previous.map_or(0, |previous| previous.incarnation.0 + 1);
            ServerIncarnation {
                incarnation: Incarnation(next.max(wall.0)),
                start_id,
            }
        }
    }
}
