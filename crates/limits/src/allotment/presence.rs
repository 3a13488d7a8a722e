//! Share of the routers that an owner hears from, which bounds what two owners in a partition grant together.

use std::collections::VecDeque;
use std::time::Duration;

use shallotrill_model::time::Instant;

/// Time for which the highest number of routers counts.
const MEMORY_PERIOD: Duration = Duration::from_secs(10);

/// From this share on, all routers count as heard from. Some renew their announcement late on busy instances, and a
/// partition that cuts off fewer lets their owner grant no more than this beyond the rate.
const WHOLE_SHARE_MIN: f64 = 0.95;

/// Number of routers that an owner hears from, compared with the highest recent number.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    /// Counts with the times at which they were last observed, oldest first and decreasing.
    counts: VecDeque<(Instant, u32)>,
}

impl Presence {
    /// Creates an observer that has heard from no router.
    pub const fn new() -> Self {
        Self {
            counts: VecDeque::new(),
        }
    }

    /// Records the number of routers heard from at present.
    pub fn observe(&mut self, routers: u32, now: Instant) {
        while self.counts.back().is_some_and(|(_, c)| *c <= routers) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, routers));
        while self
            .counts
            .front()
            .is_some_and(|(at, _)| now.since(*at) > MEMORY_PERIOD)
        {
            self.counts.pop_front();
        }
    }

    /// Highest number of routers in the last ten seconds.
    pub fn highest(&self) -> u32 {
        self.counts.front().map_or(0, |(_, count)| *count)
    }

    /// Share of those routers that are heard from at present, or 1 when almost all are; zero without any.
    pub fn share(&self) -> f64 {
        let current = self.counts.back().map_or(0, |(_, count)| *count);
        if current == 0 {
            return 0.0;
        }
        let share = f64::from(current) / f64::from(self.highest());
        if share >= WHOLE_SHARE_MIN { 1.0 } else { share }
    }
}
