//! Monotonic and calendar time of a process.
//!
//! Only the code that wires the packages together reads the clock; decision logic gets the time as an argument.

use std::time;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use shallotrill_model::time::Instant;
use shallotrill_model::time::Wall;

/// Measures elapsed time since its start, and calendar time with an optional offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    origin: Duration,
    /// Added to the calendar time, in milliseconds.
    offset_ms: i64,
}

impl Clock {
    /// Starts a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
            offset_ms: 0,
        }
    }

    /// Returns the same clock with this offset of its calendar time, to simulate a wrong clock in tests.
    #[must_use]
    pub const fn with_offset_ms(mut self, offset_ms: i64) -> Self {
        self.offset_ms = offset_ms;
        self
    }

    /// Elapsed time since the start. It never goes backwards.
    pub fn now(&self) -> Instant {
        let elapsed = since_boot().saturating_sub(self.origin);
        let micros = elapsed.as_micros();
        Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Calendar time. A clock set before 1970 reads as zero.
    pub fn wall(&self) -> Wall {
        Wall(wall().0.saturating_add_signed(self.offset_ms))
    }
}

/// Time since the instance booted, including time during which it was suspended.
///
/// The clock of `std::time::Instant` stops while an instance is suspended, so a grant that expired
/// during the suspension would still look valid after it.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Calendar time of the instance, without the offset of a [`Clock`].
pub fn wall() -> Wall {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    Wall(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
