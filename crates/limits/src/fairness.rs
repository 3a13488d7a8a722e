//! Accounts of the slot time that each partner used, for fair queueing among partners.

use std::time::Duration;

use crate::config::Config;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// One partner with waiting or recent requests.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub(crate) partner: partner::Name,
    weight: f64,
    /// Slot time used divided by the weight, in microseconds, relative to the other partners.
    weighted_slot_time_us: f64,
    running: u32,
    pub(crate) queued: u32,
    last_active: Instant,
}

impl Account {
    fn is_active(&self) -> bool {
        self.running + self.queued > 0
    }

    /// Weighted slot time, including the expected service time of running requests.
    fn projected_slot_time_us(&self, service_us: f64) -> f64 {
        self.weighted_slot_time_us + f64::from(self.running) * service_us / self.weight
    }
}

/// Accounts sorted by partner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Accounts {
    accounts: Vec<Account>,
}

impl Accounts {
    /// Creates the account of `partner` if there is none. The weighted slot time of an idle
    /// partner is raised to the least of all active partners, so that idle time gives no credit.
    pub(crate) fn activate(&mut self, partner: &partner::Name, config: &Config, now: Instant) {
        let least_slot_time_us = self.least_slot_time_us();
        let index = match self.position(partner) {
            Ok(index) => index,
            Err(index) => {
                self.remove_idle(config.idle_period, now);
                let index = self
                    .position(partner)
                    .unwrap_or(index.min(self.accounts.len()));
                self.accounts.insert(index, account(partner, config, now));
                index
            }
        };
        let account = &mut self.accounts[index];
        if !account.is_active() {
            account.weighted_slot_time_us = account.weighted_slot_time_us.max(least_slot_time_us);
        }
        account.last_active = now;
    }

    pub(crate) fn adjust_queued(&mut self, partner: &partner::Name, change: i32) {
        if let Ok(index) = self.position(partner) {
            let queued = &mut self.accounts[index].queued;
            *queued = queued.saturating_add_signed(change);
        }
    }

    pub(crate) fn record_start(&mut self, partner: &partner::Name) {
        if let Ok(index) = self.position(partner) {
            self.accounts[index].running += 1;
        }
    }

    pub(crate) fn record_end(
        &mut self,
        partner: &partner::Name,
        slot_time: Duration,
        now: Instant,
    ) {
        if let Ok(index) = self.position(partner) {
            let account = &mut self.accounts[index];
            account.running = account.running.saturating_sub(1);
            account.weighted_slot_time_us += slot_time.as_micros() as f64 / account.weight;
            account.last_active = now;
        }
    }

    /// Weighted slot time of `partner` including running requests, as a sort key among partners; zero without an account.
    pub(crate) fn projected_slot_time_us(&self, partner: &partner::Name, service_us: f64) -> f64 {
        self.position(partner).map_or(0.0, |index| {
            self.accounts[index].projected_slot_time_us(service_us)
        })
    }

    /// Number of waiting tickets of `partner`, plus `additional`, divided by its weight; zero without an account.
    pub(crate) fn queue_share(&self, partner: &partner::Name, additional: u32) -> f64 {
        self.position(partner).map_or(0.0, |index| {
            let account = &self.accounts[index];
            f64::from(account.queued + additional) / account.weight
        })
    }

    /// Number of waiting tickets of other partners, counting at most `limit_per_partner` of each.
    pub(crate) fn queued_by_others(
        &self,
        partner: Option<&partner::Name>,
        limit_per_partner: u32,
    ) -> usize {
        let others = self.accounts.iter().filter(|a| Some(&a.partner) != partner);
        others
            .map(|a| a.queued.min(limit_per_partner) as usize)
            .sum()
    }

    fn least_slot_time_us(&self) -> f64 {
        let active = self.accounts.iter().filter(|a| a.is_active());
        let least_slot_time_us = active
            .map(|a| a.weighted_slot_time_us)
            .fold(f64::INFINITY, f64::min);
        if least_slot_time_us.is_finite() {
            least_slot_time_us
        } else {
            0.0
        }
    }

    /// Removes accounts that have been idle for `idle` or longer.
    fn remove_idle(&mut self, idle: Duration, now: Instant) {
        self.accounts
            .retain(|a| a.is_active() || now.since(a.last_active) < idle);
    }

    fn position(&self, partner: &partner::Name) -> Result<usize, usize> {
        self.accounts.binary_search_by(|a| a.partner.cmp(partner))
    }
}

fn account(partner: &partner::Name, config: &Config, now: Instant) -> Account {
    let weight = config
        .weights
        .binary_search_by(|(name, _)| name.cmp(partner))
        .map_or(1, |index| config.weights[index].1);
    Account {
        partner: partner.clone(),
        weight: f64::from(weight),
        weighted_slot_time_us: 0.0,
        running: 0,
        queued: 0,
        last_active: now,
    }
}
