//! Slot time that partners received.

use std::time::Duration;

use crate::config::Config;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// One partner with waiting or recent requests.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub(crate) partner: partner::Name,
    weight: f64,
    /// Slot time received over weight, in microseconds, relative to the other partners.
    served_us: f64,
    running: u32,
    pub(crate) queued: u32,
    last: Instant,
}

impl Account {
    fn active(&self) -> bool {
        self.running + self.queued > 0
    }

    /// Service received, with the expected service of running requests.
    fn received_us(&self, service_us: f64) -> f64 {
        self.served_us + f64::from(self.running) * service_us / self.weight
    }
}

/// Accounts sorted by partner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Accounts {
    accounts: Vec<Account>,
}

impl Accounts {
    /// Makes sure that `partner` has an account. One that was idle starts level with the
    /// active partner that received least, so that idleness earns no credit.
    pub(crate) fn enter(&mut self, partner: &partner::Name, config: &Config, now: Instant) {
        let least = self.least_us();
        let at = match self.find(partner) {
            Ok(at) => at,
            Err(at) => {
                self.forget(config.idle, now);
                let at = self.find(partner).unwrap_or(at.min(self.accounts.len()));
                self.accounts.insert(at, account(partner, config, now));
                at
            }
        };
        let account = &mut self.accounts[at];
        if !account.active() {
            account.served_us = account.served_us.max(least);
        }
        account.last = now;
    }

    pub(crate) fn queued(&mut self, partner: &partner::Name, change: i32) {
        if let Ok(at) = self.find(partner) {
            let queued = &mut self.accounts[at].queued;
            *queued = queued.saturating_add_signed(change);
        }
    }

    pub(crate) fn started(&mut self, partner: &partner::Name) {
        if let Ok(at) = self.find(partner) {
            self.accounts[at].running += 1;
        }
    }

    pub(crate) fn finished(&mut self, partner: &partner::Name, slot_time: Duration, now: Instant) {
        if let Ok(at) = self.find(partner) {
            let account = &mut self.accounts[at];
            account.running = account.running.saturating_sub(1);
            account.served_us += slot_time.as_micros() as f64 / account.weight;
            account.last = now;
        }
    }

    /// Service that `partner` received, for an order among partners.
    pub(crate) fn received_us(&self, partner: &partner::Name, service_us: f64) -> f64 {
        self.find(partner)
            .map_or(0.0, |at| self.accounts[at].received_us(service_us))
    }

    /// Waiting tickets of `partner` over its weight.
    pub(crate) fn share(&self, partner: &partner::Name, more: u32) -> f64 {
        self.find(partner).map_or(0.0, |at| {
            let account = &self.accounts[at];
            f64::from(account.queued + more) / account.weight
        })
    }

    /// Waiting tickets of other partners, at most `turns` of each.
    pub(crate) fn in_turn(&self, partner: &partner::Name, turns: u32) -> usize {
        let others = self.accounts.iter().filter(|a| a.partner != *partner);
        others.map(|a| a.queued.min(turns) as usize).sum()
    }

    fn least_us(&self) -> f64 {
        let active = self.accounts.iter().filter(|a| a.active());
        let least = active.map(|a| a.served_us).fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }

    /// Drops idle accounts.
    fn forget(&mut self, idle: Duration, now: Instant) {
        self.accounts
            .retain(|a| a.active() || now.since(a.last) < idle);
    }

    fn find(&self, partner: &partner::Name) -> Result<usize, usize> {
        self.accounts.binary_search_by(|a| a.partner.cmp(partner))
    }
}

fn account(partner: &partner::Name, config: &Config, now: Instant) -> Account {
    let weight = config
        .weights
        .binary_search_by(|(n, _)| n.cmp(partner))
        .map_or(1, |at| config.weights[at].1);
    Account {
        partner: partner.clone(),
        weight: f64::from(weight),
        served_us: 0.0,
        running: 0,
        queued: 0,
        last: now,
    }
}
