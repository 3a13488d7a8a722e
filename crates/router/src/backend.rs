//! The backend server beside this router, as it announces itself.

use std::error;
use std::fmt;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use tokio::sync::oneshot;

use crate::forwarded::Denial;
use crate::state::State;
use shallotrill_limits::config::Config;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Effect;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::target;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;

/// Part of the slots that are used at once: backend servers slow down when they are nearly full.
const SLOT_SHARE: f64 = 0.8;

/// Waiting requests for each slot. More of them could not start within their objective.
const QUEUE_PER_SLOT: u32 = 3;

/// Latency above the usual that lowers the limit. Noise of shared machines makes work several
/// times slower for moments; fewer slots would not help against that.
const TOLERANCE: f64 = 1_000.0;

/// Service time assumed until one is measured.
const SERVICE_TIME: Duration = Duration::from_millis(50);

/// Lives that have ended and are remembered, so that a late announcement does not revive one.
const FORMER_MAX: usize = 16;

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Its identity.
    pub instance: instance::Name,
    /// Its service.
    pub service: service::Name,
    /// Start of this life in calendar time; zero when it is not told.
    pub born: u64,
    /// Rises with each announcement of one life.
    pub sequence: u64,
    /// Whether it is leaving.
    pub draining: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

/// Why an announcement is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It names another service than the one beside this router.
    Service(service::Name),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => {
                write!(f, "the service '{name}' is not the one of this instance")
            }
        }
    }
}

impl error::Error for Refusal {}

/// One life of the backend server.
#[derive(Debug)]
pub struct Life {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// Tells this life from others.
    pub incarnation: Incarnation,
    /// Admission.
    pub gate: Gate,
    /// Sorted by ticket.
    waiting: Vec<(ticket::Id, oneshot::Sender<Result<(), Denial>>)>,
    pace: Pace,
}

/// How long work takes on the machine of a backend server, compared with the usual.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    slowness: u32,
    stated: Instant,
}

/// Slowness of a machine that works as usual, in percent.
const USUAL: u32 = 100;

/// A statement older than this says nothing of the present: noise on shared machines lasts some hundred milliseconds.
const PACE_AGE_MAX: Duration = Duration::from_millis(300);

/// Slowness from which another target is the better choice, a second hop included.
const SLOW: u32 = 180;

/// The backend server beside this router.
#[derive(Debug, Default)]
pub struct Backend {
    /// Its present life.
    pub life: Option<Life>,
    former: Vec<(instance::Name, u64)>,
}

/// What an announcement changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// What others know of the target.
    Target,
    /// A new life; connections to an earlier one are closed.
    Life,
}

impl Backend {
    /// Takes an announcement.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> Change {
        if self.is_former(&announcement) {
            return Change::None;
        }
        if let Some(life) = &mut self.life {
            let known = &life.announcement;
            if known.instance == announcement.instance && known.born == announcement.born {
                if announcement.sequence <= known.sequence {
                    return Change::None;
                }
                let changed = known.draining != announcement.draining
                    || known.slots != announcement.slots
                    || known.cold.is_zero() != announcement.cold.is_zero();
                if announcement.draining && !known.draining {
                    let effect = life.gate.drain();
                    life.settle(effect);
                }
                life.announcement = announcement;
                return if changed {
                    Change::Target
                } else {
                    Change::None
                };
            }
            if announcement.born < known.born {
                return Change::None;
            }
        }
        self.leave_life();
        self.life = Some(Life::new(announcement, now));
        Change::Life
    }

    /// Takes the word of a backend server that it leaves. Returns whether others must know.
    pub fn leave(&mut self, instance: &instance::Name) -> bool {
        let present = self.life.as_ref();
        if present.is_none_or(|life| life.announcement.instance != *instance) {
            return false;
        }
        self.leave_life();
        true
    }

    fn leave_life(&mut self) {
        let Some(mut life) = self.life.take() else {
            return;
        };
        let effect = life.gate.drain();
        life.settle(effect);
        let known = &life.announcement;
        self.former.push((known.instance.clone(), known.born));
        if self.former.len() > FORMER_MAX {
            self.former.remove(0);
        }
    }

    fn is_former(&self, announcement: &Announcement) -> bool {
        let mut former = self.former.iter();
        former.any(|(name, born)| *name == announcement.instance && announcement.born <= *born)
    }

    /// The present life, if it is the one that is meant.
    pub fn is(&mut self, instance: &instance::Name, incarnation: Incarnation) -> Option<&mut Life> {
        let life = self.life.as_mut()?;
        let same = life.announcement.instance == *instance && life.incarnation == incarnation;
        same.then_some(life)
    }
}

impl Life {
    fn new(announcement: Announcement, now: Instant) -> Self {
        let slots = (f64::from(announcement.slots) * SLOT_SHARE)
            .floor()
            .max(1.0) as u32;
        // A life without a stated start is told from others by when it was first heard.
        let incarnation = Incarnation(if announcement.born > 0 {
            announcement.born
        } else {
            now.0
        });
        let config = Config::new(incarnation, slots, slots * QUEUE_PER_SLOT)
            .service_time(SERVICE_TIME)
            .tolerance(TOLERANCE);
        let mut gate = Gate::new(config);
        if announcement.draining {
            // A new gate has no waiting ticket that would be refused.
            drop(gate.drain());
        }
        Self {
            announcement,
            incarnation,
            gate,
            waiting: Vec::new(),
            pace: Pace {
                slowness: USUAL,
                stated: now,
            },
        }
    }

    /// Takes a statement of how slow the machine is, in percent of the usual.
    pub const fn note_pace(&mut self, slowness: u32, now: Instant) {
        self.pace = Pace {
            slowness,
            stated: now,
        };
    }

    /// How slow the machine is, in percent of the usual, as far as it is known.
    pub fn slowness(&self, now: Instant) -> u32 {
        if self.pace_age(now) > PACE_AGE_MAX {
            USUAL
        } else {
            self.pace.slowness
        }
    }

    /// Age of the last statement of how slow the machine is.
    pub const fn pace_age(&self, now: Instant) -> Duration {
        now.since(self.pace.stated)
    }

    /// Whether the machine is so slow that another target is the better choice.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.slowness(now) >= SLOW
    }

    /// Offers a ticket to the gate. A queued one gets its answer on the receiver.
    ///
    /// # Errors
    ///
    /// Returns the reason of a refusal.
    pub fn offer(
        &mut self,
        ticket: Ticket,
        now: Instant,
    ) -> Result<Option<oneshot::Receiver<Result<(), Denial>>>, Denial> {
        let id = ticket.id;
        match self.gate.offer(ticket, now) {
            Verdict::Run => Ok(None),
            Verdict::Refuse(refusal) => Err(denial(refusal)),
            Verdict::Queue { displaced } => {
                let refused = displaced.into_iter().collect();
                self.settle(Effect {
                    run: Vec::new(),
                    refused,
                });
                let (sender, receiver) = oneshot::channel();
                self.waiting.push((id, sender));
                Ok(Some(receiver))
            }
        }
    }

    /// Tells waiting tickets what the gate decided.
    pub fn settle(&mut self, effect: Effect) {
        for id in effect.run {
            self.tell(id, Ok(()));
        }
        for refused in effect.refused {
            self.tell(refused.id, Err(denial(refused.refusal)));
        }
    }

    fn tell(&mut self, id: ticket::Id, answer: Result<(), Denial>) {
        let Some(at) = self.waiting.iter().position(|(known, _)| *known == id) else {
            return;
        };
        let (_, sender) = self.waiting.swap_remove(at);
        if sender.send(answer).is_err() {
            // The request left meanwhile; its slot is given back where it is dropped.
            log::debug!(event = "ticket-abandoned"; "");
        }
    }
}

const fn denial(refusal: ticket::Refusal) -> Denial {
    match refusal {
        ticket::Refusal::Draining => Denial::Gone,
        _ => Denial::Busy,
    }
}

/// Takes an announcement of the backend server beside this router.
///
/// # Errors
///
/// Returns a [`Refusal`] for a backend server that does not belong here.
pub fn announce(state: &State, announcement: Announcement) -> Result<(), Refusal> {
    if announcement.service != state.settings.service {
        return Err(Refusal::Service(announcement.service));
    }
    let now = state.now();
    let told = announcement.clone();
    let change = {
        let mut backend = state.backend.lock();
        let change = backend.announce(announcement, now);
        if change == Change::Life {
            let slots = backend.life.as_ref().map_or(1, |l| l.announcement.slots);
            let limit = slots.saturating_mul(2).max(1) as usize;
            state.pool.connect_to(state.settings.backend, true, limit);
            state.probes.connect_to(state.settings.backend, true, 1);
        }
        change
    };
    if change != Change::None {
        info!(
            event = "backend-changed",
            instance = told.instance.as_str(),
            born = told.born,
            sequence = told.sequence,
            draining = told.draining,
            slots = told.slots,
            cold_ms = told.cold.as_millis() as u64;
            ""
        );
        state.publish();
    }
    Ok(())
}

/// Takes the word of the backend server beside this router that it is leaving for good.
pub fn leave(state: &State, instance: &instance::Name) {
    let left = state.backend.lock().leave(instance);
    if left {
        info!(event = "backend-left", instance = instance.as_str(); "");
        state.publish();
    }
}

/// The target that others may send requests to.
pub fn target(state: &State) -> Option<Target> {
    if state.withdrawn.load(Ordering::Relaxed) {
        return None;
    }
    let backend = state.backend.lock();
    let life = backend.life.as_ref()?;
    let known = &life.announcement;
    let offer = if known.draining {
        target::State::Draining
    } else if known.cold.is_zero() {
        target::State::Ready
    } else {
        target::State::Starting
    };
    Some(Target {
        service: known.service.clone(),
        instance: known.instance.clone(),
        incarnation: life.incarnation,
        zone: state.settings.zone.clone(),
        region: state.settings.region.clone(),
        address: state.settings.address(),
        state: offer,
        slots: known.slots,
    })
}
