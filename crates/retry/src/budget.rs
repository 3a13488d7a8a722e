//! Budget of copies for one service, spent by retries and hedges alike.
//!
//! Callers retry without pause, so the number of copies is tied to the number
//! of first attempts: under overload copies stay a small share of the load.

use std::error;
use std::fmt;
use std::time::Duration;

use shallotrill_model::time::Instant;

/// Thousandths of a token in one token.
const TOKEN: u64 = 1_000;

/// Parameters of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    permille: u32,
    floor_per_second: u32,
    burst: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            permille: 100,
            floor_per_second: 1,
            burst: 100,
        }
    }
}

impl Config {
    /// Sets the copies earned by a thousand first attempts.
    #[must_use]
    pub const fn permille(mut self, permille: u32) -> Self {
        self.permille = permille;
        self
    }

    /// Sets the copies allowed in each second however few first attempts there are.
    #[must_use]
    pub const fn floor_per_second(mut self, copies: u32) -> Self {
        self.floor_per_second = copies;
        self
    }

    /// Sets the most earned tokens that are kept.
    #[must_use]
    pub const fn burst(mut self, tokens: u32) -> Self {
        self.burst = tokens;
        self
    }
}

/// The budget has no whole token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted {
    /// Time until the floor alone yields the next token; nothing when the floor is zero.
    pub next: Option<Duration>,
}

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.next {
            Some(next) => write!(
                f,
                "the retry budget is exhausted for {} ms",
                next.as_millis()
            ),
            None => write!(f, "the retry budget is exhausted"),
        }
    }
}

impl error::Error for Exhausted {}

/// Tokens of one service at one node. A token pays for one copy of a request.
///
/// Over any period, the copies are at most
/// `burst + permille / 1000 × first attempts + floor × (1 + seconds)`.
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    earned: u64,
    floor: u64,
    refilled: Instant,
    spent: u64,
    refused: u64,
}

impl Budget {
    /// Makes a budget that holds the floor of one second and nothing earned.
    pub fn new(config: Config, now: Instant) -> Self {
        Self {
            config,
            earned: 0,
            floor: u64::from(config.floor_per_second) * TOKEN,
            refilled: now,
            spent: 0,
            refused: 0,
        }
    }

    /// Replaces the parameters, for example after a change of the service.
    pub fn configure(&mut self, config: Config) {
        self.config = config;
        self.earned = self.earned.min(u64::from(config.burst) * TOKEN);
        self.floor = self.floor.min(u64::from(config.floor_per_second) * TOKEN);
    }

    /// Credits a first attempt.
    pub fn earn(&mut self) {
        let most = u64::from(self.config.burst) * TOKEN;
        self.earned = (self.earned + u64::from(self.config.permille)).min(most);
    }

    /// Takes the token for one copy.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] when neither the earned tokens nor the floor hold a whole token.
    pub fn spend(&mut self, now: Instant) -> Result<(), Exhausted> {
        self.refill(now);
        let source = if self.earned >= TOKEN {
            &mut self.earned
        } else {
            &mut self.floor
        };
        if *source < TOKEN {
            self.refused += 1;
            return Err(self.exhausted());
        }
        *source -= TOKEN;
        self.spent += 1;
        Ok(())
    }

    /// Takes up to `most` earned tokens for copies below a call.
    ///
    /// The second half of the burst is reserved for the node's own copies, so
    /// that tokens handed on do not starve retries close to the caller.
    pub fn withdraw(&mut self, most: u32) -> u32 {
        let reserve = u64::from(self.config.burst) * TOKEN / 2;
        let tokens = (self.earned.saturating_sub(reserve) / TOKEN).min(u64::from(most));
        self.earned -= tokens * TOKEN;
        self.spent += tokens;
        u32::try_from(tokens).unwrap_or(most)
    }

    /// Returns tokens of [`Self::withdraw`] that are proven unspent.
    pub fn refund(&mut self, tokens: u32) {
        let most = u64::from(self.config.burst) * TOKEN;
        self.earned = (self.earned + u64::from(tokens) * TOKEN).min(most);
        self.spent = self.spent.saturating_sub(u64::from(tokens));
    }

    /// Whole tokens that are left, for the state dump.
    pub fn left(&self) -> u64 {
        self.earned / TOKEN + self.floor / TOKEN
    }

    /// Tokens spent so far, for metrics.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Copies refused so far, for metrics.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    fn refill(&mut self, now: Instant) {
        let rate = u64::from(self.config.floor_per_second);
        let elapsed_ms = u64::try_from(now.since(self.refilled).as_millis()).unwrap_or(u64::MAX);
        // One token a second is one thousandth of a token a millisecond.
        self.floor = (self.floor.saturating_add(elapsed_ms.saturating_mul(rate))).min(rate * TOKEN);
        self.refilled = self.refilled + Duration::from_millis(elapsed_ms);
    }

    fn exhausted(&self) -> Exhausted {
        let rate = u64::from(self.config.floor_per_second);
        let missing = TOKEN - self.floor;
        let next = (rate > 0).then(|| Duration::from_millis(missing.div_ceil(rate)));
        Exhausted { next }
    }
}
