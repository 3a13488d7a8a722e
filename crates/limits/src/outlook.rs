//! When requests will have room: stated by the gate of each target, and used where requests arrive.
//!
//! A request that every gate would refuse costs a message to each of them and time of its caller. The entry
//! therefore keeps what gates stated last, and refuses a request at once that cannot start in time at any target.

use std::time::Duration;

use crate::config::Ranks;
use shallotrill_model::instance;
use shallotrill_model::load::Outlook;
use shallotrill_model::load::Step;
use shallotrill_model::time::Instant;

/// Age up to which a statement is used. At the peak of a load a queue stays as long as it is, so the age is not
/// subtracted from the wait; a queue of requests with an objective of 500 ms is served within about this time.
const AGE_MAX: Duration = Duration::from_millis(300);

/// Number of targets without room that stand for all. A request is refused after as many gates refused it.
const SAMPLE: usize = 3;

/// One in this many requests of a priority that would be refused is sent nevertheless, so that no kind of request
/// is refused as a whole and the statements are renewed.
const TRIED_INTERVAL: u32 = 10;

/// The same for requests below the highest level. Gates raise those of a workspace that is served much less often than
/// all, which their statements do not show; no workspace is to be served less than a quarter as often as all.
const TRIED_INTERVAL_LOW: u32 = 3;

/// States the wait of each class of priorities, where `wait` is that of a new ticket.
pub(crate) fn state(waiting: impl Iterator<Item = u8>, wait: impl Fn(u8) -> Duration) -> Outlook {
    let mut priorities: Vec<u8> = waiting.chain([u8::MAX]).collect();
    priorities.sort_unstable_by(|a, b| b.cmp(a));
    priorities.dedup();
    Outlook::new(priorities.into_iter().map(|priority| Step {
        priority_max: priority,
        wait_us: u32::try_from(wait(priority).as_micros()).unwrap_or(u32::MAX),
    }))
}

/// A request at the entry.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its priority at the gate, see [`crate::ticket::Ticket::priority`].
    pub priority: u8,
    /// Time within which it has to start to meet its objective.
    pub start_within: Duration,
    /// Number of targets of its service.
    pub targets: usize,
    /// Whether no gate has refused it yet. One that has used up its time at gates shows nothing about its priority.
    pub is_first: bool,
}

/// When a refused request will have room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Time until the queue with the shortest wait is short enough, if nothing is added to it.
    pub after: Duration,
    /// Time in which there is room for as many requests as are refused: that in which the queue is served once, for
    /// each request that was refused recently for each one sent.
    pub spread: Duration,
}

/// Decision on a request before it is sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent.
    Send,
    /// No known target can start it in time.
    Refuse(Room),
}

/// The statements of the targets of one service.
#[derive(Clone, Debug)]
pub struct Statements {
    ranks: Ranks,
    /// Sorted by instance; `None` states that any request would start at once.
    stated: Vec<(instance::Name, Option<Outlook>, Instant)>,
    /// Requests of each priority that would have been refused, sorted by priority.
    counts: Vec<(u8, u32)>,
    /// Requests sent and refused lately, halved every [`AGE_MAX`].
    sent: f64,
    turned_away: f64,
    halved_at: Instant,
    /// The latest refusal of each priority of requests, with the time within which it had to start.
    refused: Vec<(u8, Duration, Instant)>,
}

impl Statements {
    /// Creates an empty table, where `ranks` is that of [`crate::config::Config::timely_first`].
    pub const fn new(ranks: Ranks) -> Self {
        Self {
            ranks,
            stated: Vec::new(),
            counts: Vec::new(),
            sent: 0.0,
            turned_away: 0.0,
            halved_at: Instant(0),
            refused: Vec::new(),
        }
    }

    /// Records the statement that came with a response of a target, and removes the expired ones.
    pub fn record(&mut self, instance: &instance::Name, outlook: Option<Outlook>, now: Instant) {
        self.stated.retain(|(_, _, at)| now.since(*at) <= AGE_MAX);
        match self
            .stated
            .binary_search_by(|(name, ..)| name.cmp(instance))
        {
            Ok(index) => self.stated[index] = (instance.clone(), outlook, now),
            Err(index) => self.stated.insert(index, (instance.clone(), outlook, now)),
        }
    }

    /// Decides whether a request is sent, and counts it if not.
    ///
    /// The waits that gates state fall with the priority. A request of a higher priority may have less time, so one
    /// of a lower priority counts as having no more of it than the last refused one.
    pub fn decide(&mut self, request: &Request, now: Instant) -> Decision {
        let priority = request.priority / self.ranks.per_priority.max(1);
        self.refused.retain(|(.., at)| now.since(*at) <= AGE_MAX);
        let above = self.refused.iter().filter(|(known, ..)| *known > priority);
        let start_within = above
            .map(|(_, start_within, _)| *start_within)
            .fold(request.start_within, Duration::min);
        self.halve(now);
        let Some(room) = self.room(request, start_within, now) else {
            self.sent += 1.0;
            return Decision::Send;
        };
        let index = self
            .counts
            .binary_search_by_key(&request.priority, |(known, _)| *known);
        let index = index.unwrap_or_else(|index| {
            self.counts.insert(index, (request.priority, 0));
            index
        });
        let count = self.counts[index].1;
        self.counts[index].1 = count.wrapping_add(1);
        let per_level = self.ranks.per_level.max(1);
        let interval = if request.priority / per_level == u8::MAX / per_level {
            TRIED_INTERVAL
        } else {
            TRIED_INTERVAL_LOW
        };
        if count.is_multiple_of(interval) {
            self.sent += 1.0;
            return Decision::Send;
        }
        if request.is_first {
            self.refused.retain(|(known, ..)| *known != priority);
            self.refused.push((priority, start_within, now));
        }
        self.turned_away += 1.0;
        Decision::Refuse(room)
    }

    /// Whether requests wait at half of the targets that made a statement lately, or more.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        let recent = self.stated.iter();
        let recent = recent.filter(|(_, _, at)| now.since(*at) <= AGE_MAX);
        let (all, waiting) = recent.fold((0, 0), |(all, waiting), (_, outlook, _)| {
            (all + 1, waiting + usize::from(outlook.is_some()))
        });
        all > 0 && waiting * 2 >= all
    }

    /// Records that gates refused a request that was sent, and returns when it will have room.
    pub fn refused_by_gates(&mut self, request: &Request, now: Instant) -> Room {
        self.halve(now);
        self.sent = (self.sent - 1.0).max(0.0);
        self.turned_away += 1.0;
        self.room(request, request.start_within, now)
            .unwrap_or_default()
    }

    /// When a refused request will have room; `None` while nothing shows that it has none now.
    fn room(&self, request: &Request, start_within: Duration, now: Instant) -> Option<Room> {
        let recent = self.stated.iter();
        let recent = recent.filter(|(_, _, at)| now.since(*at) <= AGE_MAX);
        let waits = recent.map(|(_, outlook, _)| {
            outlook
                .as_ref()
                .map_or(Duration::ZERO, |outlook| outlook.wait(request.priority))
        });
        let (count, shortest) = waits.fold((0, Duration::MAX), |(count, shortest), wait| {
            (count + 1, shortest.min(wait))
        });
        let known = count >= SAMPLE.min(request.targets) && count > 0;
        (known && shortest > start_within).then(|| Room {
            after: shortest.saturating_sub(start_within),
            spread: shortest.mul_f64(1.0 + self.turned_away / self.sent.max(1.0)),
        })
    }

    fn halve(&mut self, now: Instant) {
        while now.since(self.halved_at) >= AGE_MAX {
            self.sent /= 2.0;
            self.turned_away /= 2.0;
            if self.sent + self.turned_away < 0.1 {
                self.halved_at = now;
            } else {
                self.halved_at = self.halved_at + AGE_MAX;
            }
        }
    }
}
