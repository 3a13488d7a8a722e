//! Incarnations as a node derives them.
//!
//! The wall clock of an instance may go backwards, so it only starts the count;
//! the start id of the backend server says whether it was restarted.

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::time::Wall;

/// One life of a backend server as its node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life {
    /// Its number.
    pub incarnation: Incarnation,
    /// Identifier that the backend server chose at its start.
    pub start: u128,
}

impl Life {
    /// The same life, with a number above one that control already knows.
    ///
    /// A node that was replaced has no previous life to count from; control's
    /// refusal tells it the number to exceed.
    #[must_use]
    pub fn exceed(self, known: Incarnation) -> Self {
        Self {
            incarnation: self.incarnation.max(Incarnation(known.0 + 1)),
            start: self.start,
        }
    }
}

/// Derives the life of a backend server that announced itself with `start`.
pub fn derive(previous: Option<&Life>, start: u128, wall: Wall) -> Life {
    match previous {
        Some(previous) if previous.start == start => *previous,
        previous => {
            let next = previous.map_or(0, |previous| previous.incarnation.0 + 1);
            Life {
                incarnation: Incarnation(next.max(wall.0)),
                start,
            }
        }
    }
}
