//! Retry tokens and depth of a call, which bound retries across nested calls.
//!
//! Without a common bound, `r` attempts at each of 13 levels result in `r^13`
//! attempts of the innermost call. A token therefore exists only once. The entry
//! node creates it by withdrawing it from its [`Budget`]. A call with `t` tokens
//! either spends a token on an extra attempt (a retry or a hedge) or passes it
//! to exactly one attempt, for the calls nested below that attempt.
//!
//! Bound: the tree below a call that arrived with `t` tokens makes at most `t`
//! extra attempts. By induction over depth: the call makes `c` extra attempts
//! and passes `h1, h2, ...` tokens to its attempts, and [`Call`] subtracts each
//! of them from `t` before use, so `c + h1 + h2 + ... <= t`; the subtree of each
//! attempt makes at most `hi` extra attempts. An attempt at the maximum depth
//! receives no tokens, because calls nested below it can make no attempts. Tokens are returned only for an attempt that is proven not to
//! have run, whose subtree is empty, or with its response, after which its
//! subtree has no access to them. The extra attempts of the complete tree are
//! therefore at most the tokens that the entry node withdrew from its budget. A
//! backend server that copies its header value into several nested calls does
//! not add tokens, because its node tracks them in a
//! [`Ledger`](crate::ledger::Ledger).

use std::error;
use std::fmt;

use crate::budget::Budget;
use crate::budget::Exhausted;
use shallotrill_model::time::Instant;

/// Maximum depth of nested calls.
pub const DEPTH_MAX: u8 = 13;

/// Maximum number of tokens in a header; a larger value is reduced to this.
pub const TOKENS_MAX: u32 = 16;

/// Values of the forwarded headers `shallotrill-retry-tokens` and `shallotrill-depth`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHeaders {
    /// Number of extra attempts allowed for the calls nested below the attempt.
    pub tokens: u32,
    /// Nesting depth of the attempt; 1 for an attempt of the entry node.
    pub depth: u8,
}

/// Why a call or an extra attempt of it is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The call is nested deeper than [`DEPTH_MAX`]; contains its depth.
    Deep(u8),
    /// The call has no tokens remaining.
    Tokens,
    /// The service's budget at this node is exhausted.
    Budget(Exhausted),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deep(depth) => write!(f, "call depth {depth} exceeds the limit of {DEPTH_MAX}"),
            Self::Tokens => write!(f, "the call has no retry tokens remaining"),
            Self::Budget(exhausted) => exhausted.fmt(f),
        }
    }
}

impl error::Error for Refusal {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The call entered the system at this node; its extra attempts are charged to the node's budget only.
    Entry,
    /// The call is nested; each extra attempt also costs a token that arrived with it.
    Nested,
}

/// A call at a node, with the tokens that it may still spend or pass on.
///
/// It is not `Clone`, because a clone would spend the same tokens again.
#[derive(Debug, PartialEq, Eq)]
pub struct Call {
    origin: Origin,
    tokens: u32,
    depth: u8,
}

impl Call {
    /// Creates a call that enters the system at this node, and withdraws up to `max` tokens for its nested calls.
    pub fn entry(budget: &mut Budget, max: u32) -> Self {
        Self {
            origin: Origin::Entry,
            tokens: budget.withdraw(max.min(TOKENS_MAX)),
            depth: 0,
        }
    }

    /// Creates a nested call from the header values that it arrived with; a missing token header counts as zero.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Deep`] when the depth exceeds [`DEPTH_MAX`].
    pub fn nested(tokens: u32, depth: u8) -> Result<Self, Refusal> {
        if depth > DEPTH_MAX {
            return Err(Refusal::Deep(depth));
        }
        Ok(Self {
            origin: Origin::Nested,
            tokens: tokens.min(TOKENS_MAX),
            depth,
        })
    }

    /// Prepares the header values of one attempt and subtracts the tokens that it passes on.
    ///
    /// Half of the tokens, rounded down, go to the attempt; the rest pays for
    /// extra attempts of this call and is shared with later attempts.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Deep`] when the attempt would exceed [`DEPTH_MAX`].
    pub fn outgoing(&mut self) -> Result<AttemptHeaders, Refusal> {
        let depth = self.depth + 1;
        if depth > DEPTH_MAX {
            return Err(Refusal::Deep(depth));
        }
        let tokens = if depth == DEPTH_MAX {
            0
        } else {
            self.tokens / 2
        };
        self.tokens -= tokens;
        Ok(AttemptHeaders { tokens, depth })
    }

    /// Charges one extra attempt of the call.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the call or the service's budget has no token; in that case neither is charged.
    pub fn charge_attempt(&mut self, budget: &mut Budget, now: Instant) -> Result<(), Refusal> {
        if self.origin == Origin::Nested && self.tokens == 0 {
            return Err(Refusal::Tokens);
        }
        budget.spend(now).map_err(Refusal::Budget)?;
        if self.origin == Origin::Nested {
            self.tokens -= 1;
        }
        Ok(())
    }

    /// Restores the tokens of an attempt that is proven not to have run.
    pub fn restore(&mut self, attempt: AttemptHeaders) {
        self.tokens = self.tokens.saturating_add(attempt.tokens);
    }

    /// Restores the tokens that the subtree of an answered attempt did not spend, as reported in its response.
    ///
    /// An attempt without a complete response returns no tokens, because its subtree may still be running.
    pub fn refund_unspent(&mut self, attempt: AttemptHeaders, unspent: u32) {
        self.tokens = self.tokens.saturating_add(unspent.min(attempt.tokens));
    }

    /// Ends the call. An entry call refunds its unspent tokens to `budget` and returns zero;
    /// a nested call returns them, for the [`Ledger`](crate::ledger::Ledger).
    pub fn finish(self, budget: &mut Budget) -> u32 {
        match self.origin {
            Origin::Entry => {
                budget.refund(self.tokens);
                0
            }
            Origin::Nested => self.tokens,
        }
    }

    /// Number of tokens remaining.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Depth of the call; zero at the entry node.
    pub fn depth(&self) -> u8 {
        self.depth
    }
}
