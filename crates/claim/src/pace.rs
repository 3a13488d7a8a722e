//! How fast the horizon may rise.
//!
//! A calendar clock that jumps ahead would retire every record at once, and
//! since the horizon is durable and never falls, setting the clock right would
//! not bring them back. The calendar is therefore read once in each process
//! life, and from then on the horizon rises with elapsed time.

use std::time::Duration;

use shallotrill_model::time;

/// Longest absence of a process that its first reading of the calendar may show.
///
/// A longer one raises the horizon by this much only; the records stay a little
/// longer. 7 days cover a long weekend without the process.
pub const ABSENCE_MAX: Duration = Duration::from_hours(7 * 24);

/// The horizon as a function of elapsed time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    origin: time::Wall,
    started: time::Instant,
}

impl Pace {
    /// Starts from the calendar, and from the durable horizon where there is one.
    pub fn new(
        durable: time::Wall,
        wall: time::Wall,
        retention: Duration,
        now: time::Instant,
    ) -> Self {
        let calendar = wall.0.saturating_sub(millis(retention));
        let latest = match durable.0 {
            // Nothing was ever retired here, so nothing tells how far the calendar may be off.
            0 => calendar,
            durable => durable.saturating_add(millis(ABSENCE_MAX)),
        };
        Self {
            origin: time::Wall(calendar.min(latest)),
            started: now,
        }
    }

    /// The horizon at `now`.
    pub fn horizon(&self, now: time::Instant) -> time::Wall {
        let elapsed = now.since(self.started);
        time::Wall(self.origin.0.saturating_add(millis(elapsed)))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
