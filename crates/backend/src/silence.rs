//! Detection of a connection that is unresponsive while other connections work.
//!
//! A device on the network path may drop the state of one connection while new
//! connections work. Neither end is notified: the request is acknowledged but
//! its response never arrives. Responses to later requests on other connections
//! show that the backend server works and that this connection does not.

use std::time::Duration;

use tokio::time::Instant;

/// Required number of later requests with responses on other connections. One or two may merely be faster requests.
const LATER_RESPONSES_MIN: usize = 3;

/// Multiple of the recent peak latency after which a request counts as unanswered.
const LATENCY_MULTIPLE: u32 = 8;

/// Minimum wait before a connection is suspected; longer than ordinary pauses of a process.
const WAIT_MIN: Duration = Duration::from_millis(250);

/// Half-life of the peak latency, which retains the latency of slow requests for a while.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(10);

/// Position of a request in the order of dispatch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sequence(pub u64);

/// Detects unresponsive connections from the responses of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct SilenceDetector {
    /// The latest dispatched requests that were answered, in ascending order.
    answered: [Sequence; LATER_RESPONSES_MIN],
    peak: Duration,
    updated_at: Instant,
}

impl SilenceDetector {
    /// Creates a detector that has recorded no response.
    pub const fn new(now: Instant) -> Self {
        Self {
            answered: [Sequence(0); LATER_RESPONSES_MIN],
            peak: Duration::ZERO,
            updated_at: now,
        }
    }

    /// Records that the response to a request was complete, `latency` after its dispatch.
    pub fn record_response(&mut self, request: Sequence, latency: Duration, now: Instant) {
        self.raise_peak(latency, now);
        if request > self.answered[0] {
            self.answered[0] = request;
            self.answered.sort_unstable();
        }
    }

    /// Time to wait for a response before its connection may be suspected.
    pub fn suspicion_timeout(&self, now: Instant) -> Duration {
        (self.peak_at(now) * LATENCY_MULTIPLE).max(WAIT_MIN)
    }

    /// Whether the connection of a request is unresponsive: the request has waited
    /// long enough, and enough later requests were answered.
    ///
    /// A positive result is recorded as a latency, so that slow requests that were
    /// mistaken for an unresponsive connection are given more time the next time.
    pub fn is_silent(&mut self, request: Sequence, waited: Duration, now: Instant) -> bool {
        let silent = waited >= self.suspicion_timeout(now) && self.answered[0] > request;
        if silent {
            self.raise_peak(waited, now);
        }
        silent
    }

    fn raise_peak(&mut self, latency: Duration, now: Instant) {
        self.peak = self.peak_at(now).max(latency);
        self.updated_at = now;
    }

    fn peak_at(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.peak
            .mul_f64(0.5_f64.powf(age / PEAK_HALF_LIFE.as_secs_f64()))
    }
}
