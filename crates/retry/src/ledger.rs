//! Tokens of the calls that run at this node's backend server.
//!
//! A backend server copies the header of its inbound call into each of its
//! nested calls, which would create tokens. The node beside it therefore keeps
//! what arrived with each request, and nested calls draw from that alone.

use std::cmp;

use crate::call::TOKENS_MAX;
use shallotrill_model::request;
use shallotrill_model::time::Instant;

#[derive(Clone, Copy, Debug)]
struct Account {
    request: request::Id,
    tokens: u32,
    /// Attempts of the request that run here.
    attempts: u32,
    deadline: Instant,
}

/// Tokens left for each request that runs at the backend server, sorted by request.
#[derive(Debug)]
pub struct Ledger {
    accounts: Vec<Account>,
    most: usize,
}

impl Ledger {
    /// Makes a ledger of at most `most` requests; nested calls of others have no tokens.
    pub fn new(most: usize) -> Self {
        Self {
            accounts: Vec::new(),
            most,
        }
    }

    /// Credits the tokens that arrived with an attempt. Returns whether there was space.
    pub fn open(&mut self, request: request::Id, tokens: u32, deadline: Instant) -> bool {
        let tokens = tokens.min(TOKENS_MAX);
        match self.position(request) {
            Ok(index) => {
                let account = &mut self.accounts[index];
                account.tokens = account.tokens.saturating_add(tokens);
                account.attempts += 1;
                account.deadline = cmp::max(account.deadline, deadline);
                true
            }
            Err(_) if self.accounts.len() >= self.most => false,
            Err(index) => {
                let account = Account {
                    request,
                    tokens,
                    attempts: 1,
                    deadline,
                };
                self.accounts.insert(index, account);
                true
            }
        }
    }

    /// Takes tokens for a nested call whose header states `asked`.
    ///
    /// A call gets at most half of what is left, rounded up, since the number
    /// of nested calls is not known in advance.
    pub fn draw(&mut self, request: request::Id, asked: u32) -> u32 {
        let Ok(index) = self.position(request) else {
            return 0;
        };
        let account = &mut self.accounts[index];
        let tokens = asked.min(account.tokens.div_ceil(2));
        account.tokens -= tokens;
        tokens
    }

    /// Returns what a nested call left unspent.
    pub fn refund(&mut self, request: request::Id, tokens: u32) {
        if let Ok(index) = self.position(request) {
            let account = &mut self.accounts[index];
            account.tokens = account.tokens.saturating_add(tokens);
        }
    }

    /// Ends an attempt. The account closes with the last one, whose response
    /// states the returned number of unspent tokens.
    pub fn close(&mut self, request: request::Id) -> u32 {
        let Ok(index) = self.position(request) else {
            return 0;
        };
        let account = &mut self.accounts[index];
        account.attempts -= 1;
        if account.attempts > 0 {
            return 0;
        }
        self.accounts.remove(index).tokens
    }

    /// Closes the accounts whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        self.accounts.retain(|account| account.deadline > now);
    }

    fn position(&self, request: request::Id) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&request, |account| account.request)
    }
}
