//! Tickets: requests as the gate sees them.

use std::error;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// Number of a ticket, given by the caller of the gate and unique while the ticket lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Id(pub u64);

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Its number.
    pub id: Id,
    /// Partner whose caller sent it.
    pub partner: partner::Name,
    /// Higher goes first.
    pub priority: u8,
    /// When its caller gives up.
    pub deadline: Instant,
}

/// Answer to an offered ticket. A ticket that is queued gets its second answer in an [`Effect`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It runs now.
    Run,
    /// It waits; `displaced` lost its place to it.
    Queue {
        /// The ticket that is refused in its stead.
        displaced: Option<Refused>,
    },
    /// It is refused and did not run.
    Refuse(Refusal),
}

/// Why a ticket is refused. Each is a proven "not run".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The queue is full, and no ticket in it gives way.
    Full {
        /// Waiting tickets.
        queued: u32,
    },
    /// It cannot start before its deadline.
    TooLate {
        /// Expected wait, or the time waited when the deadline passed in the queue.
        wait: Duration,
    },
    /// A ticket of higher priority or of a partner under its share took its place.
    Displaced,
    /// The target takes no new work.
    Draining,
    /// Its caller went away.
    Cancelled,
    /// A ticket with its number is waiting or running already.
    Duplicate,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full { queued } => write!(f, "the queue is full with {queued} requests"),
            Self::TooLate { wait } => {
                write!(f, "a wait of {} us passes the deadline", wait.as_micros())
            }
            Self::Displaced => f.write_str("another request took its place in the queue"),
            Self::Draining => f.write_str("the target takes no new work"),
            Self::Cancelled => f.write_str("the caller went away"),
            Self::Duplicate => f.write_str("a request with the same number is in progress"),
        }
    }
}

impl error::Error for Refusal {}

/// A queued ticket that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The ticket.
    pub id: Id,
    /// Why.
    pub refusal: Refusal,
}

/// How a running ticket ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered without an error of its own.
    Success,
    /// The backend server answered with an error, or the connection failed.
    Failure,
    /// The backend server shed the request.
    Shed,
    /// No answer came in time.
    Timeout,
    /// The caller went away while it ran.
    Cancelled,
}

/// The end of a running ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// The ticket.
    pub id: Id,
    /// Time from dispatch to the end.
    pub latency: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// Queued tickets that got their second answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Effect {
    /// Tickets that run now.
    pub run: Vec<Id>,
    /// Tickets that are refused.
    pub refused: Vec<Refused>,
}
