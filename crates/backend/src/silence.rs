//! Evidence that a connection has gone silent while others work.
//!
//! Something on the path may lose track of one connection for good while new
//! ones work. Neither end is told: the request is acknowledged and its answer
//! never comes. Later requests that were answered on other connections show
//! that the backend server is well and that this connection is not.

use std::time::Duration;

use tokio::time::Instant;

/// Later answers on other connections that are needed. One or two may just be of a faster kind.
const ANSWERS: usize = 3;

/// Multiple of the recent peak of the latency from which a request counts as unanswered.
const MULTIPLE: u32 = 8;

/// Shortest wait before a connection is suspected, above ordinary pauses of a process.
const WAIT_MIN: Duration = Duration::from_millis(250);

/// The peak of the latency halves in this time, so that a slow kind of request is remembered for a while.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Position of a request in the order of dispatch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sequence(pub u64);

/// What the answers of one backend server show.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// The latest dispatched requests that were answered, ascending.
    answered: [Sequence; ANSWERS],
    peak: Duration,
    at: Instant,
}

impl Evidence {
    /// No answer so far.
    pub const fn new(now: Instant) -> Self {
        Self {
            answered: [Sequence(0); ANSWERS],
            peak: Duration::ZERO,
            at: now,
        }
    }

    /// Notes that a request was answered whole, `latency` after its dispatch.
    pub fn answered(&mut self, request: Sequence, latency: Duration, now: Instant) {
        self.raise(latency, now);
        if request > self.answered[0] {
            self.answered[0] = request;
            self.answered.sort_unstable();
        }
    }

    /// How long a request is waited for before its connection may be suspected.
    pub fn wait(&self, now: Instant) -> Duration {
        (self.peak_at(now) * MULTIPLE).max(WAIT_MIN)
    }

    /// Whether the connection of a request is silent: it was waited for long
    /// enough, and enough later requests were answered.
    ///
    /// A verdict counts as a latency, so that a slow kind of request that is
    /// taken for a silent connection is waited for longer the next time.
    pub fn is_silent(&mut self, request: Sequence, waited: Duration, now: Instant) -> bool {
        let silent = waited >= self.wait(now) && self.answered[0] > request;
        if silent {
            self.raise(waited, now);
        }
        silent
    }

    fn raise(&mut self, latency: Duration, now: Instant) {
        self.peak = self.peak_at(now).max(latency);
        self.at = now;
    }

    fn peak_at(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.peak
            .mul_f64(0.5_f64.powf(age / HALF_LIFE.as_secs_f64()))
    }
}
