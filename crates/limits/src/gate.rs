//! Admission of requests to one backend server.

use std::time::Duration;

use crate::config::Config;
use crate::fairness::Accounts;
use crate::limit::Limit;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::ticket::Effect;
use crate::ticket::Id;
use crate::ticket::Refusal;
use crate::ticket::Refused;
use crate::ticket::Release;
use crate::ticket::Ticket;
use crate::ticket::Verdict;
use shallotrill_model::load::Report;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// A ticket that has a slot.
#[derive(Clone, Debug)]
struct Running {
    id: Id,
    partner: partner::Name,
}

/// The gate of one backend server.
///
/// No more tickets run than its limit allowed when they started, and every
/// ticket gets exactly one of run and refused, at once or later in an [`Effect`].
#[derive(Clone, Debug)]
pub struct Gate {
    config: Config,
    limit: Limit,
    queue: Queue,
    accounts: Accounts,
    /// Sorted by id.
    running: Vec<Running>,
    draining: bool,
    dispatches: u32,
    sequence: u64,
}

impl Gate {
    /// A gate without tickets.
    pub fn new(config: Config) -> Self {
        Self {
            limit: Limit::new(&config),
            config,
            queue: Queue::default(),
            accounts: Accounts::default(),
            running: Vec::new(),
            draining: false,
            dispatches: 0,
            sequence: 0,
        }
    }

    /// Decides on a new ticket.
    pub fn offer(&mut self, ticket: Ticket, now: Instant) -> Verdict {
        if self.draining {
            return Verdict::Refuse(Refusal::Draining);
        }
        if self.known(ticket.id) {
            return Verdict::Refuse(Refusal::Duplicate);
        }
        let wait = self.expected_wait(&ticket);
        if now >= ticket.deadline || wait > ticket.deadline.since(now) {
            return Verdict::Refuse(Refusal::TooLate { wait });
        }
        self.accounts.enter(&ticket.partner, &self.config, now);
        if self.queue.waiting.is_empty() && self.has_slot() {
            self.start(&ticket);
            return Verdict::Run;
        }
        let mut displaced = None;
        if self.queue.waiting.len() >= self.config.queue as usize {
            let Some(at) = self.queue.victim(&ticket, &self.accounts) else {
                let queued = self.queue.waiting.len() as u32;
                return Verdict::Refuse(Refusal::Full { queued });
            };
            displaced = Some(self.refuse(at, Refusal::Displaced));
        }
        self.accounts.queued(&ticket.partner, 1);
        let arrived = now;
        self.queue.waiting.push(Waiting { ticket, arrived });
        Verdict::Queue { displaced }
    }

    /// Takes the end of a running ticket, and says which tickets run now. An unknown ticket changes nothing.
    pub fn release(&mut self, release: Release, now: Instant) -> Effect {
        let Ok(at) = self.running.binary_search_by_key(&release.id, |r| r.id) else {
            return Effect::default();
        };
        let busy = self.running.len() >= self.limit.get() as usize;
        let running = self.running.remove(at);
        self.accounts
            .finished(&running.partner, release.latency, now);
        self.limit
            .add(release.outcome, release.latency, busy, &self.config, now);
        self.dispatch(now)
    }

    /// Takes the news that the caller of a waiting ticket went away. A running ticket is ended by [`Gate::release`].
    pub fn cancel(&mut self, id: Id, now: Instant) -> Effect {
        let mut effect = self.dispatch(now);
        if let Some(at) = self.queue.position(id) {
            let refused = self.refuse(at, Refusal::Cancelled);
            effect.refused.push(refused);
        }
        effect
    }

    /// Refuses waiting tickets whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Effect {
        self.dispatch(now)
    }

    /// When [`Gate::expire`] is due.
    pub fn next_expiry(&self) -> Option<Instant> {
        let deadlines = self.queue.waiting.iter().map(|w| w.ticket.deadline);
        deadlines.min()
    }

    /// Refuses all waiting tickets and every later offer. Running tickets finish.
    pub fn drain(&mut self) -> Effect {
        self.draining = true;
        let mut effect = Effect::default();
        while let Some(at) = self.queue.waiting.len().checked_sub(1) {
            effect.refused.push(self.refuse(at, Refusal::Draining));
        }
        effect.refused.reverse();
        effect
    }

    /// Takes offers again after [`Gate::drain`].
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    /// Takes other slots or another length of the queue. The newest tickets beyond it are refused as full.
    pub fn resize(&mut self, slots: u32, queue: u32, now: Instant) -> Effect {
        self.config.slots = slots.max(1);
        self.config.queue = queue;
        self.limit.resize(slots);
        let mut effect = self.dispatch(now);
        while self.queue.waiting.len() > queue as usize {
            let at = self.queue.waiting.len() - 1;
            effect
                .refused
                .push(self.refuse(at, Refusal::Full { queued: queue }));
        }
        effect
    }

    /// The load as it is now, with the next sequence number.
    pub fn report(&mut self, now: Instant) -> Report {
        self.sequence += 1;
        Report {
            incarnation: self.config.incarnation,
            sequence: self.sequence,
            in_flight: self.running.len() as u32,
            queued: self.queue.waiting.len() as u32,
            limit: self.limit.get(),
            latency_us: self.limit.latency_us(),
            failure_permille: self.limit.failure_permille(),
            shedding: self.limit.shedding(now),
            age_us: 0,
        }
    }

    /// Time until the ticket is expected to start.
    fn expected_wait(&self, ticket: &Ticket) -> Duration {
        if self.queue.waiting.is_empty() && self.has_slot() {
            return Duration::ZERO;
        }
        let service = self.limit.service_us();
        let ahead = self
            .queue
            .ahead(ticket, &self.accounts, self.config.low_every);
        let slots = f64::from(self.limit.get());
        Duration::from_micros(((ahead as f64 + 1.0) * service / slots) as u64)
    }

    fn known(&self, id: Id) -> bool {
        self.queue.position(id).is_some()
            || self.running.binary_search_by_key(&id, |r| r.id).is_ok()
    }

    fn has_slot(&self) -> bool {
        self.running.len() < self.limit.get() as usize
    }

    fn start(&mut self, ticket: &Ticket) {
        let (Ok(at) | Err(at)) = self.running.binary_search_by_key(&ticket.id, |r| r.id);
        let id = ticket.id;
        let partner = ticket.partner.clone();
        self.accounts.started(&partner);
        self.running.insert(at, Running { id, partner });
    }

    fn refuse(&mut self, at: usize, refusal: Refusal) -> Refused {
        let waiting = self.queue.waiting.remove(at);
        self.accounts.queued(&waiting.ticket.partner, -1);
        let id = waiting.ticket.id;
        Refused { id, refusal }
    }

    /// Refuses what is too late and fills free slots from the queue.
    fn dispatch(&mut self, now: Instant) -> Effect {
        let mut effect = Effect::default();
        let mut at = 0;
        while let Some(waiting) = self.queue.waiting.get(at) {
            if now < waiting.ticket.deadline {
                at += 1;
                continue;
            }
            let wait = now.since(waiting.arrived);
            let refused = self.refuse(at, Refusal::TooLate { wait });
            effect.refused.push(refused);
        }
        while self.has_slot() {
            let low = (self.dispatches + 1).is_multiple_of(self.config.low_every);
            let service = self.limit.service_us();
            let Some(at) = self.queue.next(low, &self.accounts, service) else {
                break;
            };
            self.dispatches = self.dispatches.wrapping_add(1);
            let waiting = self.queue.waiting.remove(at);
            self.accounts.queued(&waiting.ticket.partner, -1);
            self.start(&waiting.ticket);
            effect.run.push(waiting.ticket.id);
        }
        effect
    }
}
