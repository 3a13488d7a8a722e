//! Accounts of the slot time that each partner used, for fair queueing among partners.

use std::time::Duration;

use crate::config::Config;
use crate::ticket::Ticket;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// A partner is underserved when the share of its tickets that start is less than this part of that of all tickets.
/// No partner is to be served less than a quarter as often as all; the rest allows for tickets that are not offered,
/// because their requests are refused where they arrive.
const UNDERSERVED_SHARE: f64 = 0.5;

/// Time after which the numbers of offered and started tickets are halved.
const SERVED_HALF_LIFE: Duration = Duration::from_secs(1);

/// Numbers of offered and started tickets, which are halved over time.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    offered: f64,
    started: f64,
}

impl Served {
    fn halve(&mut self) {
        self.offered /= 2.0;
        self.started /= 2.0;
    }
}

/// One partner with waiting or recent requests.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub(crate) partner: partner::Name,
    weight: f64,
    /// Slot time used divided by the weight, in microseconds, relative to the other partners.
    weighted_slot_time_us: f64,
    running: u32,
    served: Served,
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
    entries: Vec<Account>,
    served: Served,
    halved_at: Instant,
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
                    .unwrap_or(index.min(self.entries.len()));
                self.entries.insert(index, account(partner, config, now));
                index
            }
        };
        let account = &mut self.entries[index];
        if !account.is_active() {
            account.weighted_slot_time_us = account.weighted_slot_time_us.max(least_slot_time_us);
        }
        account.last_active = now;
    }

    /// Counts a ticket that is offered by a partner with an account.
    pub(crate) fn record_offer(&mut self, partner: &partner::Name, now: Instant) {
        let periods = now.since(self.halved_at).as_micros() / SERVED_HALF_LIFE.as_micros();
        // After 32 of them nothing is left.
        for _ in 0..periods.min(32) {
            self.served.halve();
            self.entries.iter_mut().for_each(|a| a.served.halve());
        }
        if periods > 0 {
            self.halved_at = now;
        }
        if let Ok(index) = self.position(partner) {
            self.entries[index].served.offered += 1.0;
            self.served.offered += 1.0;
        }
    }

    /// Priority of a ticket, raised to the highest level while its partner is underserved.
    pub(crate) fn priority(&self, ticket: &Ticket, config: &Config) -> u8 {
        let Some(ranks) = config.ranks else {
            return ticket.priority;
        };
        let top = u8::MAX - u8::MAX % ranks.per_level;
        let raised = top.saturating_add(ticket.priority % ranks.per_level);
        if raised > ticket.priority && self.is_underserved(&ticket.partner) {
            raised
        } else {
            ticket.priority
        }
    }

    /// Whether tickets of the partner start much less often than those of all, although it uses less than the mean
    /// slot time. A partner that floods the target uses more, and the share that it gets is its own doing.
    fn is_underserved(&self, partner: &partner::Name) -> bool {
        let Ok(index) = self.position(partner) else {
            return false;
        };
        let account = &self.entries[index];
        let active = self.entries.iter().filter(|a| a.is_active());
        let (count, total_us) = active.fold((0.0, 0.0), |(count, total_us), a| {
            (count + 1.0, total_us + a.weighted_slot_time_us)
        });
        let all = self.served.started / self.served.offered.max(1.0);
        account.served.started < UNDERSERVED_SHARE * all * account.served.offered
            && account.weighted_slot_time_us * count <= total_us
    }

    pub(crate) fn adjust_queued(&mut self, partner: &partner::Name, change: i32) {
        if let Ok(index) = self.position(partner) {
            let queued = &mut self.entries[index].queued;
            *queued = queued.saturating_add_signed(change);
        }
    }

    pub(crate) fn record_start(&mut self, partner: &partner::Name) {
        if let Ok(index) = self.position(partner) {
            self.entries[index].running += 1;
            self.entries[index].served.started += 1.0;
            self.served.started += 1.0;
        }
    }

    pub(crate) fn record_end(
        &mut self,
        partner: &partner::Name,
        slot_time: Duration,
        now: Instant,
    ) {
        if let Ok(index) = self.position(partner) {
            let account = &mut self.entries[index];
            account.running = account.running.saturating_sub(1);
            account.weighted_slot_time_us += slot_time.as_micros() as f64 / account.weight;
            account.last_active = now;
        }
    }

    /// Weighted slot time of `partner` including running requests, as a sort key among partners; zero without an account.
    pub(crate) fn projected_slot_time_us(&self, partner: &partner::Name, service_us: f64) -> f64 {
        self.position(partner).map_or(0.0, |index| {
            self.entries[index].projected_slot_time_us(service_us)
        })
    }

    /// Number of waiting tickets of `partner`, plus `additional`, divided by its weight; zero without an account.
    pub(crate) fn queue_share(&self, partner: &partner::Name, additional: u32) -> f64 {
        self.position(partner).map_or(0.0, |index| {
            let account = &self.entries[index];
            f64::from(account.queued + additional) / account.weight
        })
    }

    /// Number of waiting tickets of other partners, counting at most `limit_per_partner` of each.
    pub(crate) fn queued_by_others(
        &self,
        partner: Option<&partner::Name>,
        limit_per_partner: u32,
    ) -> usize {
        let others = self.entries.iter().filter(|a| Some(&a.partner) != partner);
        others
            .map(|a| a.queued.min(limit_per_partner) as usize)
            .sum()
    }

    fn least_slot_time_us(&self) -> f64 {
        let active = self.entries.iter().filter(|a| a.is_active());
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
        self.entries
            .retain(|a| a.is_active() || now.since(a.last_active) < idle);
    }

    fn position(&self, partner: &partner::Name) -> Result<usize, usize> {
        self.entries.binary_search_by(|a| a.partner.cmp(partner))
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
        served: Served::default(),
        queued: 0,
        last_active: now,
    }
}
