//! Queue of the gate: selects the next ticket to run and the ticket to displace when the queue is full.

use std::cmp::Ordering;

use crate::config::Config;
use crate::fairness::Accounts;
use crate::ticket::Id;
use crate::ticket::Ticket;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// Divisor of the queue length that gives the part reserved for lower priorities.
const LOW_RESERVE_DIVISOR: usize = 8;

/// A queued ticket with its arrival time.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) arrived: Instant,
}

/// Where a new ticket would be in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place<'ticket> {
    pub(crate) priority: u8,
    pub(crate) partner: Option<&'ticket partner::Name>,
    pub(crate) timely: bool,
}

/// Waiting tickets in the order of arrival. The queue is short by configuration, so a scan costs less than an index.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    pub(crate) waiting: Vec<Waiting>,
}

impl Queue {
    pub(crate) fn position(&self, id: Id) -> Option<usize> {
        self.waiting.iter().position(|w| w.ticket.id == id)
    }

    /// Index of the ticket to run next: highest priority (lowest if `lowest_first`), then timely tickets,
    /// then the partner with the least weighted slot time, then arrival. With [`Config::timely_first`], timely tickets
    /// come before the priority, and `lowest_first` selects the lowest rank of the highest priority.
    pub(crate) fn next_index(
        &self,
        lowest_first: bool,
        accounts: &Accounts,
        config: &Config,
        service_us: f64,
        now: Instant,
    ) -> Option<usize> {
        let rank = |w: &Waiting| {
            let timely = u8::from(w.ticket.is_timely(now));
            let value = accounts.priority(&w.ticket, config);
            match config.ranks.map(|ranks| ranks.per_priority) {
                None if lowest_first => (255 - value, timely, 0),
                None => (value, timely, 0),
                Some(ranks) if lowest_first => (timely, value / ranks, ranks - 1 - value % ranks),
                Some(ranks) => (timely, value / ranks, value % ranks),
            }
        };
        let highest = self.waiting.iter().map(rank).max()?;
        let tickets = self.waiting.iter().enumerate();
        tickets
            .filter(|(_, w)| rank(w) == highest)
            .min_by(|(_, a), (_, b)| {
                let projected_slot_time_us =
                    |w: &Waiting| accounts.projected_slot_time_us(&w.ticket.partner, service_us);
                projected_slot_time_us(a).total_cmp(&projected_slot_time_us(b))
            })
            .map(|(index, _)| index)
    }

    /// Number of tickets that are expected to run before a new one. Without a partner, none of its tickets waits.
    pub(crate) fn requests_ahead(
        &self,
        place: Place<'_>,
        accounts: &Accounts,
        config: &Config,
        now: Instant,
    ) -> usize {
        let Place {
            priority,
            partner,
            timely,
        } = place;
        let low_priority_interval = config.low_priority_interval;
        let (mut higher, mut same_partner, mut other_partners, mut lower) = (0, 0, 0, 0);
        let mut higher_priority = false;
        for Waiting { ticket: other, .. } in &self.waiting {
            let other_timely = other.is_timely(now);
            let other_priority = accounts.priority(other, config);
            if let Some(ranks) = config.ranks {
                if timely && !other_timely {
                    continue;
                }
                if !timely && other_timely {
                    higher += 1;
                    higher_priority = true;
                    continue;
                }
                higher_priority |=
                    other_priority / ranks.per_priority > priority / ranks.per_priority;
            }
            match other_priority.cmp(&priority) {
                Ordering::Equal if timely && !other_timely => {}
                Ordering::Greater => higher += 1,
                Ordering::Less => lower += 1,
                Ordering::Equal if Some(&other.partner) == partner => same_partner += 1,
                Ordering::Equal => other_partners += 1,
            }
        }
        // Fair queueing dispatches about one ticket of each other partner for each ticket of this partner.
        let other_partners = accounts
            .queued_by_others(partner, same_partner as u32 + 1)
            .min(other_partners);
        let same = same_partner + other_partners;
        if lower == 0 && !higher_priority {
            // The lowest priority gets one of `low_priority_interval` dispatches, regardless of the number of tickets above it.
            return (higher + same).min(low_priority_interval as usize * (same + 1));
        }
        higher + same
    }

    /// Index of the ticket that a new one displaces when the queue is full: the newest ticket of
    /// the partner with the most tickets relative to its weight, `None` if the new ticket must be refused.
    ///
    /// Tried in this order: a ticket of lower priority, if lower priorities occupy more than the
    /// reserve; a ticket of higher priority, if tickets of the new one's priority and below occupy
    /// less than the reserve; a late ticket of the same priority, if the new one is timely; a ticket
    /// of the same priority whose partner has a larger share, unless only the new one is late.
    ///
    /// With timely tickets first, a timely ticket displaces a late one of any priority, a late one displaces no
    /// timely one, and none displaces one of a higher priority: the request whose nested call is displaced has wasted
    /// its slot.
    pub(crate) fn displaceable(
        &self,
        ticket: &Ticket,
        accounts: &Accounts,
        config: &Config,
        now: Instant,
    ) -> Option<usize> {
        let timely_first = config.ranks.is_some();
        if timely_first && ticket.is_timely(now) {
            let late = self.newest_of_largest_share(accounts, |w| !w.ticket.is_timely(now));
            if late.is_some() {
                return late;
            }
        }
        let reserve = self.waiting.len().div_ceil(LOW_RESERVE_DIVISOR);
        let priority = accounts.priority(ticket, config);
        let of = |w: &Waiting| accounts.priority(&w.ticket, config);
        let priorities = || self.waiting.iter().map(of);
        let may_displace_timely = !timely_first || ticket.is_timely(now);
        if may_displace_timely && priorities().filter(|p| *p < priority).count() > reserve {
            return self.newest_of_largest_share(accounts, |w| of(w) < priority);
        }
        if !timely_first && priorities().filter(|p| *p <= priority).count() < reserve {
            return self.newest_of_largest_share(accounts, |w| of(w) > priority);
        }
        let timely = ticket.is_timely(now);
        if timely {
            let late = self.newest_of_largest_share(accounts, |w| {
                of(w) == priority && !w.ticket.is_timely(now)
            });
            if late.is_some() {
                return late;
            }
        }
        let index = self.newest_of_largest_share(accounts, |w| {
            of(w) == priority && (timely || !w.ticket.is_timely(now))
        })?;
        let displaced_share = accounts.queue_share(&self.waiting[index].ticket.partner, 0);
        let new_share = accounts.queue_share(&ticket.partner, 1);
        (new_share < displaced_share).then_some(index)
    }

    /// Index of the newest ticket of the partner with the most tickets relative to its weight, among those in `selected`.
    fn newest_of_largest_share(
        &self,
        accounts: &Accounts,
        selected: impl Fn(&Waiting) -> bool,
    ) -> Option<usize> {
        let queue_share = |w: &Waiting| accounts.queue_share(&w.ticket.partner, 0);
        let candidates = self.waiting.iter().enumerate().filter(|(_, w)| selected(w));
        // `max_by` returns the last of several equal elements, which is the newest ticket.
        candidates
            .max_by(|(_, a), (_, b)| queue_share(a).total_cmp(&queue_share(b)))
            .map(|(index, _)| index)
    }
}
