//! The clock of a process, read only by the composition and passed to the decisions.

use std::time;

use shallotrill_model::time::Instant;
use shallotrill_model::time::Wall;

/// Gives elapsed time since its start and calendar time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
}

impl Clock {
    /// Starts a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }

    /// Elapsed time since the start. It never goes back.
    pub fn now(&self) -> Instant {
        let micros = self.origin.elapsed().as_micros();
        Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Calendar time. A clock set before 1970 reads as zero.
    pub fn wall(&self) -> Wall {
        wall()
    }
}

/// Calendar time of the instance.
pub fn wall() -> Wall {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    Wall(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
