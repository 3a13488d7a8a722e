//! Admission gate: decides which requests to one backend server run, wait or are refused.

use std::time::Duration;

use crate::config::Config;
use crate::fairness::Accounts;
use crate::limit::Limit;
use crate::outlook;
use crate::pace;
use crate::pace::Pace;
use crate::pace::RecentStarts;
use crate::queue::Place;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::ticket::Effect;
use crate::ticket::Id;
use crate::ticket::Refusal;
use crate::ticket::Refused;
use crate::ticket::Release;
use crate::ticket::Ticket;
use crate::ticket::Verdict;
use shallotrill_model::load;
use shallotrill_model::load::Outlook;
use shallotrill_model::load::Report;
use shallotrill_model::partner;
use shallotrill_model::rate::Rate;
use shallotrill_model::time::Instant;

/// A ticket that has a slot.
#[derive(Clone, Debug)]
struct Running {
    id: Id,
    partner: partner::Name,
}

/// Rate of a backend server while it is cold. Present also while it is warm, if it may become cold.
#[derive(Clone, Debug)]
struct WarmUp {
    rate: Rate,
    is_cold: bool,
    recent: RecentStarts,
}

/// The gate of one backend server.
///
/// A ticket starts only while fewer tickets than the limit are running, and
/// not before the pace allows it if the backend server states a rate or is
/// cold. A ticket whose objective can no longer be met gives way to the timely ones of
/// its priority, and still runs when none of them waits. Every ticket gets
/// exactly one final verdict, run or refused, either from
/// [`Gate::offer`] or later in an [`Effect`].
#[derive(Clone, Debug)]
pub struct Gate {
    config: Config,
    limit: Limit,
    /// Rate of requests that the backend server states.
    stated_rate: Option<Rate>,
    warm_up: Option<WarmUp>,
    /// Keeps the lower of the stated rate and that of a cold backend server; `None` without either.
    pace: Option<Pace>,
    queue: Queue,
    accounts: Accounts,
    /// Sorted by id.
    running: Vec<Running>,
    draining: bool,
    dispatches: u32,
    sequence: u64,
}

impl Gate {
    /// Creates a gate without tickets.
    pub fn new(config: Config) -> Self {
        Self {
            limit: Limit::new(&config),
            config,
            stated_rate: None,
            warm_up: None,
            pace: None,
            queue: Queue::default(),
            accounts: Accounts::default(),
            running: Vec::new(),
            draining: false,
            dispatches: 0,
            sequence: 0,
        }
    }

    /// Decides whether a new ticket runs, waits or is refused.
    pub fn offer(&mut self, ticket: Ticket, now: Instant) -> Verdict {
        if self.draining {
            return Verdict::Refuse(Refusal::Draining);
        }
        if self.contains(ticket.id) {
            return Verdict::Refuse(Refusal::Duplicate);
        }
        self.accounts.activate(&ticket.partner, &self.config, now);
        self.accounts.record_offer(&ticket.partner, now);
        let place = Place {
            priority: self.accounts.priority(&ticket, &self.config),
            partner: Some(&ticket.partner),
            timely: ticket.is_timely(now),
        };
        let wait = self.expected_wait(place, now);
        if now >= ticket.deadline || wait > ticket.deadline.since(now) {
            return Verdict::Refuse(Refusal::TooLate { wait });
        }
        if self.queue.waiting.is_empty() && self.may_start(now) {
            self.start(&ticket, now);
            return Verdict::Run;
        }
        let mut displaced = None;
        if self.queue.waiting.len() >= self.config.queue as usize {
            let Some(index) = self
                .queue
                .displaceable(&ticket, &self.accounts, &self.config, now)
            else {
                let queued = self.queue.waiting.len() as u32;
                return Verdict::Refuse(Refusal::Full { queued });
            };
            displaced = Some(self.refuse(index, Refusal::Displaced));
        }
        self.accounts.adjust_queued(&ticket.partner, 1);
        let arrived = now;
        self.queue.waiting.push(Waiting { ticket, arrived });
        Verdict::Queue { displaced }
    }

    /// Records the end of a running ticket and returns the tickets that run now. An unknown ticket has no effect.
    pub fn release(&mut self, release: Release, now: Instant) -> Effect {
        let Ok(index) = self.running.binary_search_by_key(&release.id, |r| r.id) else {
            return Effect::default();
        };
        let at_limit = self.running.len() >= self.limit.current() as usize;
        let running = self.running.remove(index);
        self.accounts
            .record_end(&running.partner, release.latency, now);
        self.limit.record(
            release.outcome,
            release.latency,
            at_limit,
            &self.config,
            now,
        );
        self.dispatch(now)
    }

    /// Refuses a waiting ticket whose caller disconnected. A running ticket is ended by [`Gate::release`] instead.
    pub fn cancel(&mut self, id: Id, now: Instant) -> Effect {
        let mut effect = self.dispatch(now);
        if let Some(index) = self.queue.position(id) {
            let refused = self.refuse(index, Refusal::Cancelled);
            effect.refused.push(refused);
        }
        effect
    }

    /// Refuses waiting tickets whose deadline has passed, and starts others if slots are free.
    pub fn expire(&mut self, now: Instant) -> Effect {
        self.dispatch(now)
    }

    /// Time at which [`Gate::expire`] is due; `None` when no ticket waits.
    pub fn next_expiry(&self) -> Option<Instant> {
        let deadlines = self.queue.waiting.iter().map(|w| w.ticket.deadline);
        deadlines.min()
    }

    /// Refuses all waiting tickets and every later offer. Running tickets continue to run.
    pub fn drain(&mut self) -> Effect {
        self.draining = true;
        let mut effect = Effect::default();
        while let Some(index) = self.queue.waiting.len().checked_sub(1) {
            effect.refused.push(self.refuse(index, Refusal::Draining));
        }
        effect.refused.reverse();
        effect
    }

    /// Accepts offers again after [`Gate::drain`].
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    /// Sets the number of slots and the maximum length of the queue. The newest tickets beyond that length are refused
    /// with [`Refusal::Full`].
    pub fn resize(&mut self, slots: u32, queue: u32, now: Instant) -> Effect {
        self.config.slots = slots.max(1);
        self.config.queue = queue;
        self.limit.resize(slots);
        let mut effect = self.dispatch(now);
        while self.queue.waiting.len() > queue as usize {
            let index = self.queue.waiting.len() - 1;
            effect
                .refused
                .push(self.refuse(index, Refusal::Full { queued: queue }));
        }
        effect
    }

    /// Sets the rate of requests that the backend server accepts; `None` when it states none.
    pub fn set_rate(&mut self, rate: Option<Rate>, now: Instant) -> Effect {
        self.stated_rate = rate;
        self.update_pace(now);
        self.dispatch(now)
    }

    /// Sets the rate that the backend server accepts while it is cold, `None` without such a rate, and whether it is
    /// cold now.
    pub fn set_warm_up(&mut self, rate: Option<Rate>, is_cold: bool, now: Instant) -> Effect {
        match (rate, &mut self.warm_up) {
            (None, warm_up) => *warm_up = None,
            (Some(rate), Some(warm_up)) => {
                warm_up.rate = rate;
                warm_up.is_cold = is_cold;
            }
            (Some(rate), warm_up) => {
                // Nothing is known of earlier starts but the running tickets; each of them may have just started.
                let mut recent = RecentStarts::default();
                for _ in &self.running {
                    recent.record(now);
                }
                *warm_up = Some(WarmUp {
                    rate,
                    is_cold,
                    recent,
                });
            }
        }
        self.update_pace(now);
        self.dispatch(now)
    }

    /// Whether the rate of a cold backend server is kept.
    pub fn is_cold(&self) -> bool {
        self.warm_up.as_ref().is_some_and(|w| w.is_cold)
    }

    fn update_pace(&mut self, now: Instant) {
        let cold = self.warm_up.as_ref().filter(|w| w.is_cold);
        let cold = cold.map(|w| pace::cold_rate(w.rate));
        let rate = match (self.stated_rate, cold) {
            (Some(stated), Some(cold)) => Some(stated.min(cold)),
            (stated, cold) => stated.or(cold),
        };
        match (rate, &mut self.pace) {
            (None, pace) => *pace = None,
            (Some(rate), Some(pace)) if pace.rate() == rate => {}
            (Some(rate), Some(pace)) => pace.set_rate(rate, now),
            (Some(rate), pace) => *pace = Some(Pace::new(rate, now)),
        }
    }

    /// Time at which [`Gate::expire`] starts a ticket that waits only for the pace; `None` when there is none.
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        if self.queue.waiting.is_empty() || !self.has_slot() {
            return None;
        }
        self.pace?;
        Some(now + self.pace_wait(0, now)?)
    }

    /// Returns the current load with the next sequence number.
    pub fn report(&mut self, now: Instant) -> Report {
        self.sequence += 1;
        Report {
            incarnation: self.config.incarnation,
            sequence: self.sequence,
            in_flight: self.running.len() as u32,
            queued: self.queue.waiting.len() as u32,
            limit: self.limit.current(),
            latency_us: self.limit.latency_us(),
            failure_permille: self.limit.failure_permille(),
            shedding: self.limit.shedding(now),
            age_us: 0,
        }
    }

    /// The pace with the wait of a ticket behind all that wait now; `None` while no rate is set.
    pub fn pace(&self, now: Instant) -> Option<load::Pace> {
        let pace = self.pace?;
        let wait = self.pace_wait(self.queue.waiting.len(), now);
        let wait_us = wait.and_then(|wait| u32::try_from(wait.as_micros()).ok());
        Some(load::Pace {
            rate: pace.rate(),
            wait_us: wait_us.unwrap_or(u32::MAX),
        })
    }

    /// States when a new timely ticket of each priority would start, from a partner without waiting tickets.
    ///
    /// `None` while any ticket would start at once.
    pub fn outlook(&self, now: Instant) -> Option<Outlook> {
        if self.queue.waiting.is_empty() && self.may_start(now) {
            return None;
        }
        let wait = |priority| {
            let place = Place {
                priority,
                partner: None,
                timely: true,
            };
            self.expected_wait(place, now)
        };
        let timely = self.queue.waiting.iter();
        let timely = timely.filter(|w| w.ticket.is_timely(now));
        Some(outlook::state(
            timely.map(|w| self.accounts.priority(&w.ticket, &self.config)),
            wait,
        ))
    }

    /// Expected time until the ticket starts.
    fn expected_wait(&self, place: Place<'_>, now: Instant) -> Duration {
        if self.queue.waiting.is_empty() && self.may_start(now) {
            return Duration::ZERO;
        }
        let service_us = self.limit.service_us();
        let requests_ahead = self
            .queue
            .requests_ahead(place, &self.accounts, &self.config, now);
        let slots = f64::from(self.limit.current());
        let slot_wait = if self.queue.waiting.is_empty() && self.has_slot() {
            Duration::ZERO
        } else {
            Duration::from_micros(((requests_ahead as f64 + 1.0) * service_us / slots) as u64)
        };
        let pace_wait = self.pace_wait(requests_ahead, now);
        slot_wait.max(pace_wait.unwrap_or(Duration::MAX))
    }

    /// Time until the pace allows the request after `ahead` others to start; `None` when none ever may.
    fn pace_wait(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let paced = match &self.pace {
            Some(pace) => pace.wait(ahead, now)?,
            None => Duration::ZERO,
        };
        match &self.warm_up {
            Some(w) if w.is_cold => Some(paced.max(w.recent.wait(w.rate, ahead, now)?)),
            _ => Some(paced),
        }
    }

    fn contains(&self, id: Id) -> bool {
        self.queue.position(id).is_some()
            || self.running.binary_search_by_key(&id, |r| r.id).is_ok()
    }

    fn has_slot(&self) -> bool {
        self.running.len() < self.limit.current() as usize
    }

    fn may_start(&self, now: Instant) -> bool {
        self.has_slot() && self.pace_wait(0, now).is_some_and(|wait| wait.is_zero())
    }

    fn start(&mut self, ticket: &Ticket, now: Instant) {
        if let Some(pace) = &mut self.pace {
            pace.record_start(now);
        }
        if let Some(warm_up) = &mut self.warm_up {
            warm_up.recent.record(now);
        }
        let (Ok(index) | Err(index)) = self.running.binary_search_by_key(&ticket.id, |r| r.id);
        let id = ticket.id;
        let partner = ticket.partner.clone();
        self.accounts.record_start(&partner);
        self.running.insert(index, Running { id, partner });
    }

    fn refuse(&mut self, index: usize, refusal: Refusal) -> Refused {
        let waiting = self.queue.waiting.remove(index);
        self.accounts.adjust_queued(&waiting.ticket.partner, -1);
        let id = waiting.ticket.id;
        Refused { id, refusal }
    }

    /// Refuses tickets whose deadline has passed and fills free slots from the queue, as far as the pace allows.
    fn dispatch(&mut self, now: Instant) -> Effect {
        let mut effect = Effect::default();
        let mut index = 0;
        while let Some(waiting) = self.queue.waiting.get(index) {
            if now < waiting.ticket.deadline {
                index += 1;
                continue;
            }
            let wait = now.since(waiting.arrived);
            let refused = self.refuse(index, Refusal::TooLate { wait });
            effect.refused.push(refused);
        }
        while self.may_start(now) {
            let lowest_first =
                (self.dispatches + 1).is_multiple_of(self.config.low_priority_interval);
            let service_us = self.limit.service_us();
            let Some(index) =
                self.queue
                    .next_index(lowest_first, &self.accounts, &self.config, service_us, now)
            else {
                break;
            };
            self.dispatches = self.dispatches.wrapping_add(1);
            let waiting = self.queue.waiting.remove(index);
            self.accounts.adjust_queued(&waiting.ticket.partner, -1);
            self.start(&waiting.ticket, now);
            effect.run.push(waiting.ticket.id);
        }
        effect
    }
}
