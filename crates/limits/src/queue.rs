//! Waiting tickets in the order of arrival.

use std::cmp::Ordering;

use crate::fairness::Accounts;
use crate::ticket::Id;
use crate::ticket::Ticket;
use shallotrill_model::time::Instant;

/// The part of the queue that higher priorities cannot take from lower ones, as a divisor.
const LOW_RESERVE: usize = 8;

/// A ticket with its time of arrival.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) arrived: Instant,
}

/// Waiting tickets. The queue is short by configuration, so a scan costs less than an index.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    pub(crate) waiting: Vec<Waiting>,
}

impl Queue {
    pub(crate) fn position(&self, id: Id) -> Option<usize> {
        self.waiting.iter().position(|w| w.ticket.id == id)
    }

    /// The ticket to run next: highest priority (lowest when `low`), then the partner that
    /// received least service, then arrival.
    pub(crate) fn next(&self, low: bool, accounts: &Accounts, service_us: f64) -> Option<usize> {
        let rank = |w: &Waiting| {
            if low {
                255 - w.ticket.priority
            } else {
                w.ticket.priority
            }
        };
        let highest = self.waiting.iter().map(rank).max()?;
        let class = self.waiting.iter().enumerate();
        class
            .filter(|(_, w)| rank(w) == highest)
            .min_by(|(_, a), (_, b)| {
                let received = |w: &Waiting| accounts.received_us(&w.ticket.partner, service_us);
                received(a).total_cmp(&received(b))
            })
            .map(|(at, _)| at)
    }

    /// Tickets that are expected to run before a new one.
    pub(crate) fn ahead(&self, ticket: &Ticket, accounts: &Accounts, low_every: u32) -> usize {
        let (mut higher, mut own, mut others, mut lower) = (0, 0, 0, 0);
        for Waiting { ticket: other, .. } in &self.waiting {
            match other.priority.cmp(&ticket.priority) {
                Ordering::Greater => higher += 1,
                Ordering::Less => lower += 1,
                Ordering::Equal if other.partner == ticket.partner => own += 1,
                Ordering::Equal => others += 1,
            }
        }
        // Fairness runs about one ticket of each other partner for each own one.
        let others = accounts
            .in_turn(&ticket.partner, own as u32 + 1)
            .min(others);
        let same = own + others;
        if lower == 0 {
            // The lowest priority has one of `low_every` dispatches however many wait above it.
            return (higher + same).min(low_every as usize * (same + 1));
        }
        higher + same
    }

    /// The ticket that gives way to a new one when the queue is full: the newest of the partner
    /// with most tickets over its weight, in the first class of priorities that must yield.
    pub(crate) fn victim(&self, ticket: &Ticket, accounts: &Accounts) -> Option<usize> {
        let reserve = self.waiting.len().div_ceil(LOW_RESERVE);
        let priorities = || self.waiting.iter().map(|w| w.ticket.priority);
        if priorities().filter(|p| *p < ticket.priority).count() > reserve {
            return self.most(accounts, |w| w.ticket.priority < ticket.priority);
        }
        if priorities().filter(|p| *p <= ticket.priority).count() < reserve {
            return self.most(accounts, |w| w.ticket.priority > ticket.priority);
        }
        let at = self.most(accounts, |w| w.ticket.priority == ticket.priority)?;
        let theirs = accounts.share(&self.waiting[at].ticket.partner, 0);
        let own = accounts.share(&ticket.partner, 1);
        (own < theirs).then_some(at)
    }

    fn most(&self, accounts: &Accounts, class: impl Fn(&Waiting) -> bool) -> Option<usize> {
        let share = |w: &Waiting| accounts.share(&w.ticket.partner, 0);
        let members = self.waiting.iter().enumerate().filter(|(_, w)| class(w));
        // Of equal ones `max_by` returns the last, which is the newest.
        members
            .max_by(|(_, a), (_, b)| share(a).total_cmp(&share(b)))
            .map(|(at, _)| at)
    }
}
