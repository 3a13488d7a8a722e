//! Number of routers that share a limit, compared with those heard from, which bounds what two owners in a partition grant
//! together.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_model::time::Instant;

/// Time for which the highest number of routers counts, up to the last contact with a quorum of the voters. Both sides of
/// a partition lack routers, and only one has a quorum. Until then both grant their part, so that a short partition
/// refuses no request.
pub const MEMORY_PERIOD: Duration = Duration::from_secs(30);

/// From this share on, all routers count as heard from. Some renew their announcement late on busy instances, and a
/// partition that cuts off fewer lets their owner grant no more than this beyond the rate.
const WHOLE_SHARE_MIN: f64 = 0.95;

/// Number of routers that another owner has reported.
#[derive(Clone, Copy, Debug)]
struct Report {
    from: SocketAddr,
    routers: u32,
    at: Instant,
}

/// Number of routers that a process hears from, compared with the highest recent number.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    /// Counts with the times at which they were last observed, oldest first and decreasing.
    counts: VecDeque<(Instant, u32)>,
    /// The latest reports of other owners, sorted by owner.
    reports: Vec<Report>,
}

impl Presence {
    /// Creates an observer that has heard from no router.
    pub const fn new() -> Self {
        Self {
            counts: VecDeque::new(),
            reports: Vec::new(),
        }
    }

    /// Records the number of routers heard from at present. `contact` is the time of the last contact with a quorum;
    /// without any, nothing is forgotten.
    pub fn observe(&mut self, routers: u32, contact: Option<Instant>, now: Instant) {
        while self.counts.back().is_some_and(|(_, c)| *c <= routers) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, routers));
        let is_over =
            |at: Instant| contact.is_some_and(|contact| contact.since(at) > MEMORY_PERIOD);
        while self.counts.front().is_some_and(|(at, _)| is_over(*at)) {
            self.counts.pop_front();
        }
        self.reports.retain(|report| !is_over(report.at));
    }

    /// Records the highest number of routers that another owner has heard from. It may hear from some that this process
    /// does not, or remember more.
    pub fn record_report(&mut self, from: SocketAddr, routers: u32, at: Instant) {
        let report = Report { from, routers, at };
        match self.reports.binary_search_by(|known| known.from.cmp(&from)) {
            Ok(index) => self.reports[index] = report,
            Err(index) => self.reports.insert(index, report),
        }
    }

    /// Highest number of routers that this process has heard from within [`MEMORY_PERIOD`].
    pub fn highest(&self) -> u32 {
        self.counts.front().map_or(0, |(_, count)| *count)
    }

    /// Highest number of routers that this process or another owner has heard from within [`MEMORY_PERIOD`].
    pub fn known(&self) -> u32 {
        let reported = self.reports.iter().map(|report| report.routers).max();
        self.highest().max(reported.unwrap_or(0))
    }

    /// Share of those routers that are heard from at present, or 1 when almost all are; zero without any.
    pub fn share(&self) -> f64 {
        let current = self.counts.back().map_or(0, |(_, count)| *count);
        if current == 0 {
            return 0.0;
        }
        let share = f64::from(current) / f64::from(self.known());
        if share >= WHOLE_SHARE_MIN { 1.0 } else { share }
    }
}
