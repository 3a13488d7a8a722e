//! Token budget that limits the retries and hedges of one service.
//!
//! Callers retry without backoff. The number of extra attempts (retries and
//! hedges) is therefore limited to a share of the first attempts, so that they
//! remain a small part of the load under overload.

use std::error;
use std::fmt;
use std::time::Duration;

use shallotrill_model::time::Instant;

/// Amounts are counted in thousandths of a token.
const UNITS_PER_TOKEN: u64 = 1_000;

/// Parameters of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    permille: u32,
    floor_per_second: u32,
    slack_permille_per_second: u32,
    burst: u32,
}

/// Retries that the members of a fleet may make together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Extra attempts allowed for each thousand first attempts.
    pub permille: u32,
    /// Extra attempts allowed beyond that share in each window.
    pub slack: u32,
    /// Length of the window.
    pub window: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            permille: 100,
            floor_per_second: 1,
            slack_permille_per_second: 0,
            burst: 100,
        }
    }
}

impl Config {
    /// The part of a fleet's limit that one of its `members` may use.
    ///
    /// Half of the slack is kept as burst and half is earned back over a window, so that all members
    /// together stay within the slack in any window, as long as it is at least two for each member.
    pub fn share(limit: Limit, members: usize) -> Self {
        let members = members.max(1) as f64;
        let half_slack = f64::from(limit.slack) / members / 2.0;
        let per_second = half_slack / limit.window.as_secs_f64().max(1.0);
        Self {
            permille: limit.permille,
            floor_per_second: 0,
            slack_permille_per_second: (per_second * UNITS_PER_TOKEN as f64) as u32,
            burst: (half_slack as u32).max(1),
        }
    }

    /// Sets the number of extra attempts that a thousand first attempts earn.
    #[must_use]
    pub const fn permille(mut self, permille: u32) -> Self {
        self.permille = permille;
        self
    }

    /// Sets the number of extra attempts allowed per second, regardless of the number of first attempts.
    #[must_use]
    pub const fn floor_per_second(mut self, attempts: u32) -> Self {
        self.floor_per_second = attempts;
        self
    }

    /// Sets the maximum number of earned tokens that are kept.
    #[must_use]
    pub const fn burst(mut self, tokens: u32) -> Self {
        self.burst = tokens;
        self
    }
}

/// Error of [`Budget::spend`]: the budget contains less than one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted {
    /// Time until the per-second floor alone provides the next token; `None` when the floor is zero.
    pub next: Option<Duration>,
}

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.next {
            Some(next) => write!(
                f,
                "the retry budget is exhausted; the next token is available in {} ms",
                next.as_millis()
            ),
            None => write!(f, "the retry budget is exhausted"),
        }
    }
}

impl error::Error for Exhausted {}

/// Tokens of one service at one node. A token pays for one extra attempt of a request.
///
/// Over any period, the number of extra attempts is at most the sum of `burst`,
/// `permille / 1000 × first attempts`, `floor_per_second × (1 + seconds)` and
/// `slack_permille_per_second / 1000 × seconds`.
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    /// Tokens earned by first attempts, in thousandths.
    earned_units: u64,
    /// Tokens available from the per-second floor, in thousandths.
    floor_units: u64,
    /// Slack that does not make up a thousandth of a token yet, in millionths of a token.
    slack_rest: u64,
    refilled_at: Instant,
    spent: u64,
    refused: u64,
}

impl Budget {
    /// Creates a budget that contains the floor of one second and no earned tokens.
    pub fn new(config: Config, now: Instant) -> Self {
        Self {
            config,
            earned_units: 0,
            floor_units: u64::from(config.floor_per_second) * UNITS_PER_TOKEN,
            slack_rest: 0,
            refilled_at: now,
            spent: 0,
            refused: 0,
        }
    }

    /// Replaces the parameters, for example after a configuration change, and caps the tokens at the new limits.
    pub fn configure(&mut self, config: Config) {
        self.config = config;
        self.earned_units = self
            .earned_units
            .min(u64::from(config.burst) * UNITS_PER_TOKEN);
        self.floor_units = self
            .floor_units
            .min(u64::from(config.floor_per_second) * UNITS_PER_TOKEN);
    }

    /// Credits the share of a token that one first attempt earns.
    pub fn earn(&mut self) {
        let max = u64::from(self.config.burst) * UNITS_PER_TOKEN;
        self.earned_units = (self.earned_units + u64::from(self.config.permille)).min(max);
    }

    /// Spends one token for an extra attempt. Earned tokens are spent before the floor.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] when neither the earned tokens nor the floor contain a full token.
    pub fn spend(&mut self, now: Instant) -> Result<(), Exhausted> {
        self.refill(now);
        let source = if self.earned_units >= UNITS_PER_TOKEN {
            &mut self.earned_units
        } else {
            &mut self.floor_units
        };
        if *source < UNITS_PER_TOKEN {
            self.refused += 1;
            return Err(self.exhausted());
        }
        *source -= UNITS_PER_TOKEN;
        self.spent += 1;
        Ok(())
    }

    /// Withdraws up to `max` earned tokens for extra attempts of nested calls.
    ///
    /// Half of the burst is reserved for extra attempts made by this node, so
    /// that tokens passed to nested calls do not starve retries close to the caller.
    pub fn withdraw(&mut self, max: u32) -> u32 {
        let reserve = u64::from(self.config.burst) * UNITS_PER_TOKEN / 2;
        let tokens =
            (self.earned_units.saturating_sub(reserve) / UNITS_PER_TOKEN).min(u64::from(max));
        self.earned_units -= tokens * UNITS_PER_TOKEN;
        self.spent += tokens;
        u32::try_from(tokens).unwrap_or(max)
    }

    /// Returns tokens from [`Self::withdraw`] that are proven to be unspent.
    pub fn refund(&mut self, tokens: u32) {
        let max = u64::from(self.config.burst) * UNITS_PER_TOKEN;
        self.earned_units = (self.earned_units + u64::from(tokens) * UNITS_PER_TOKEN).min(max);
        self.spent = self.spent.saturating_sub(u64::from(tokens));
    }

    /// Number of full tokens remaining, for the state dump.
    pub fn remaining(&self) -> u64 {
        self.earned_units / UNITS_PER_TOKEN + self.floor_units / UNITS_PER_TOKEN
    }

    /// Number of tokens spent so far, for metrics.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Number of extra attempts refused so far, for metrics.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    fn refill(&mut self, now: Instant) {
        let rate = u64::from(self.config.floor_per_second);
        let elapsed_ms = u64::try_from(now.since(self.refilled_at).as_millis()).unwrap_or(u64::MAX);
        // One token per second is one thousandth of a token per millisecond.
        self.floor_units = (self
            .floor_units
            .saturating_add(elapsed_ms.saturating_mul(rate)))
        .min(rate * UNITS_PER_TOKEN);
        let slack_rate = u64::from(self.config.slack_permille_per_second);
        // Refills are more frequent than one unit per refill, so the rest is kept for the next one.
        let slack = elapsed_ms.saturating_mul(slack_rate) + self.slack_rest;
        self.slack_rest = slack % 1_000;
        let slack_units = slack / 1_000;
        let max = u64::from(self.config.burst) * UNITS_PER_TOKEN;
        self.earned_units = self.earned_units.saturating_add(slack_units).min(max);
        self.refilled_at = self.refilled_at + Duration::from_millis(elapsed_ms);
    }

    fn exhausted(&self) -> Exhausted {
        let rate = u64::from(self.config.floor_per_second);
        let missing = UNITS_PER_TOKEN - self.floor_units;
        let next = (rate > 0).then(|| Duration::from_millis(missing.div_ceil(rate)));
        Exhausted { next }
    }
}
