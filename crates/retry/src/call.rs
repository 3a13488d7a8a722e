//! Tokens and depth that travel with a call, so that nested copies do not multiply.
//!
//! Without a common bound, `r` copies at each of 13 levels make `r^13` copies
//! of the innermost call. Here a token exists once. It is created by the entry
//! node, which withdraws it from its [`Budget`], and a call holding `t` tokens
//! either spends one on a copy or hands it to exactly one attempt below.
//!
//! Bound: the copies in the tree below a call that arrived with `t` tokens are
//! at most `t`. By induction over depth: the call makes `c` copies and hands
//! `h1, h2, ...` tokens to its attempts, and [`Call`] subtracts each of them
//! from `t` before use, so `c + h1 + h2 + ... <= t`; each attempt's subtree
//! makes at most `hi` copies. A call at the greatest depth hands on nothing.
//! Tokens come back only for an attempt that is proven not to have run, whose
//! subtree is empty, or with its response, after which its subtree has no
//! access to them. The copies of the whole tree are therefore at most the
//! tokens that the entry node took from its own budget. A backend server that
//! copies its header value into several nested calls does not add tokens,
//! because its node keeps them in a [`Ledger`](crate::ledger::Ledger).

use std::error;
use std::fmt;

use crate::budget::Budget;
use crate::budget::Exhausted;
use shallotrill_model::time::Instant;

/// Greatest depth of nested calls.
pub const DEPTH_MAX: u8 = 13;

/// Most tokens that a header may carry; a larger value is cut to this.
pub const TOKENS_MAX: u32 = 16;

/// Values of the forwarded headers `shallotrill-retry-tokens` and `shallotrill-depth`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Copies allowed below the attempt.
    pub tokens: u32,
    /// Depth of the attempt.
    pub depth: u8,
}

/// Why a call may not be made or copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The call is nested deeper than [`DEPTH_MAX`]; holds its depth.
    Deep(u8),
    /// The call has no token left.
    Tokens,
    /// The service's budget at this node is exhausted.
    Budget(Exhausted),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deep(depth) => write!(f, "depth {depth} exceeds {DEPTH_MAX}"),
            Self::Tokens => write!(f, "the call has no retry token left"),
            Self::Budget(exhausted) => exhausted.fmt(f),
        }
    }
}

impl error::Error for Refusal {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The call entered the system here; its copies are paid from the node's budget.
    Entry,
    /// The call is nested; its copies also cost a token that arrived with it.
    Nested,
}

/// A call at a node, with the tokens it may still spend or hand on.
///
/// It is not `Clone`, because a copied call would spend its tokens twice.
#[derive(Debug, PartialEq, Eq)]
pub struct Call {
    origin: Origin,
    tokens: u32,
    depth: u8,
}

impl Call {
    /// A call from outside, which withdraws up to `most` tokens for the calls below it.
    pub fn entry(budget: &mut Budget, most: u32) -> Self {
        Self {
            origin: Origin::Entry,
            tokens: budget.withdraw(most.min(TOKENS_MAX)),
            depth: 0,
        }
    }

    /// A nested call with the header values it arrived with; missing tokens count as zero.
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

    /// Prepares the header values of one attempt and subtracts what it hands on.
    ///
    /// Half of the tokens, rounded down, go to the attempt; the rest pays for
    /// copies of the call itself and for later attempts.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Deep`] when the attempt would exceed [`DEPTH_MAX`].
    pub fn outgoing(&mut self) -> Result<Outgoing, Refusal> {
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
        Ok(Outgoing { tokens, depth })
    }

    /// Pays for one copy of the call.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the call or the service's budget has no token; neither is charged then.
    pub fn copy(&mut self, budget: &mut Budget, now: Instant) -> Result<(), Refusal> {
        if self.origin == Origin::Nested && self.tokens == 0 {
            return Err(Refusal::Tokens);
        }
        budget.spend(now).map_err(Refusal::Budget)?;
        if self.origin == Origin::Nested {
            self.tokens -= 1;
        }
        Ok(())
    }

    /// Takes back the tokens of an attempt that is proven not to have run.
    pub fn restore(&mut self, attempt: Outgoing) {
        self.tokens = self.tokens.saturating_add(attempt.tokens);
    }

    /// Takes back what the subtree of an answered attempt left unspent, as its response states.
    ///
    /// An attempt without a complete response gives nothing back, since its subtree may still run.
    pub fn returned(&mut self, attempt: Outgoing, unspent: u32) {
        self.tokens = self.tokens.saturating_add(unspent.min(attempt.tokens));
    }

    /// Ends the call. Unspent tokens go back to the budget that they came from,
    /// or are returned for the [`Ledger`](crate::ledger::Ledger) when the call is nested.
    pub fn finish(self, budget: &mut Budget) -> u32 {
        match self.origin {
            Origin::Entry => {
                budget.refund(self.tokens);
                0
            }
            Origin::Nested => self.tokens,
        }
    }

    /// Tokens left.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Depth of the call; zero at the entry node.
    pub fn depth(&self) -> u8 {
        self.depth
    }
}
