//! The horizon of retained keys as a function of elapsed time.
//!
//! A wall clock that jumps ahead would expire every record at once, and since
//! the horizon is durable and never falls, correcting the clock would not
//! restore them. Each process incarnation therefore reads the wall clock only
//! once, and from then on the horizon rises with elapsed time.

use std::time::Duration;

use shallotrill_model::time;

/// Maximum rise of the horizon at a start, above the durable horizon.
///
/// After a longer downtime the horizon rises by this much only, and records are
/// kept somewhat longer. 7 days are longer than a downtime over a long weekend,
/// after which the horizon therefore catches up at once.
pub const STARTUP_RISE_MAX: Duration = Duration::from_hours(7 * 24);

/// Computes the horizon from elapsed time since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HorizonClock {
    origin: time::Wall,
    started: time::Instant,
}

impl HorizonClock {
    /// Starts at `wall` minus `retention`, but at most [`STARTUP_RISE_MAX`] above the durable horizon unless
    /// that is zero.
    pub fn new(
        durable: time::Wall,
        wall: time::Wall,
        retention: Duration,
        now: time::Instant,
    ) -> Self {
        let calendar = wall.0.saturating_sub(millis(retention));
        let latest = match durable.0 {
            // Without a durable horizon there is no reference for the error of the wall clock.
            0 => calendar,
            durable => durable.saturating_add(millis(STARTUP_RISE_MAX)),
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
