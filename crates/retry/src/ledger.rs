//! Retry tokens of the requests that run at this node's backend server.
//!
//! A backend server copies the token header of its inbound call into each of
//! its nested calls, which would duplicate the tokens. The local node therefore
//! records the tokens that arrived with each request, and nested calls draw only
//! from that record.

use std::cmp;

use crate::call::TOKENS_MAX;
use shallotrill_model::request;
use shallotrill_model::time::Instant;

#[derive(Clone, Copy, Debug)]
struct Account {
    request: request::Id,
    tokens: u32,
    /// Number of attempts of the request that run at this backend server.
    attempts: u32,
    deadline: Instant,
}

/// Remaining tokens of each request that runs at the backend server, sorted by request.
#[derive(Debug)]
pub struct Ledger {
    accounts: Vec<Account>,
    requests_max: usize,
}

impl Ledger {
    /// Creates a ledger of at most `requests_max` requests; nested calls of further requests get no tokens.
    pub fn new(requests_max: usize) -> Self {
        Self {
            accounts: Vec::new(),
            requests_max,
        }
    }

    /// Credits the tokens that arrived with an attempt. Returns `false` when the ledger is full and the attempt is not recorded.
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
            Err(_) if self.accounts.len() >= self.requests_max => false,
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

    /// Draws tokens for a nested call whose header requests `requested` tokens, and returns their number.
    ///
    /// A call gets at most half of the remaining tokens, rounded up, because the
    /// number of nested calls is not known in advance. It gets none when the
    /// request is not in the ledger.
    pub fn draw(&mut self, request: request::Id, requested: u32) -> u32 {
        let Ok(index) = self.position(request) else {
            return 0;
        };
        let account = &mut self.accounts[index];
        let tokens = requested.min(account.tokens.div_ceil(2));
        account.tokens -= tokens;
        tokens
    }

    /// Credits the tokens that a nested call did not spend.
    pub fn refund(&mut self, request: request::Id, tokens: u32) {
        if let Ok(index) = self.position(request) {
            let account = &mut self.accounts[index];
            account.tokens = account.tokens.saturating_add(tokens);
        }
    }

    /// Ends an attempt. The last attempt of a request closes its account and returns the number
    /// of unspent tokens, which its response reports; any other attempt returns zero.
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

    /// Closes the accounts whose deadline has passed and discards their tokens.
    pub fn expire(&mut self, now: Instant) {
        self.accounts.retain(|account| account.deadline > now);
    }

    fn position(&self, request: request::Id) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&request, |account| account.request)
    }
}
