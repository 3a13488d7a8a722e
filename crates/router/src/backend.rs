//! State of the local backend server: its announcements, incarnations and admission gate.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use tokio::sync::oneshot;

use crate::cold;
use crate::cold::Rule;
use crate::cold::Statements;
use crate::forwarded::Denial;
use crate::retired;
use crate::retired::Reason;
use crate::slot;
use crate::state::State;
use shallotrill_feed::message::Departure;
use shallotrill_limits::config::Config;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Effect;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::rate::Rate;
use shallotrill_model::service;
use shallotrill_model::target;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;

/// Share of the announced slots that the gate uses: backend servers slow down when they are nearly full.
const SLOT_SHARE: f64 = 0.8;

/// Queued requests for each slot. More of them could not start within their objective.
const QUEUED_PER_SLOT_MAX: u32 = 3;

/// Ratio to the usual latency above which the gate lowers its limit. Set so high that latency never
/// lowers the limit: short interference on shared machines makes requests several times slower, and
/// fewer slots would not help against that.
const LATENCY_TOLERANCE_RATIO: f64 = 1_000.0;

/// Service time that the gate assumes before the first request has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Time for which an incarnation with an earlier start announces itself, and the current one does not, until it replaces
/// the current one. Announcements that are late arrive within seconds.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(5);

/// Announcement in which a backend server reports its state to its router. The router announces itself and this
/// backend server to the registries with `Announcement` of the feed package.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnnouncement {
    /// Name of the backend server.
    pub instance: instance::Name,
    /// Service that it runs.
    pub service: service::Name,
    /// Start of this incarnation as Unix time in milliseconds; zero when it is not reported.
    pub start_time_ms: u64,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Whether it accepts no further requests because it is about to stop.
    pub draining: bool,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Remaining time for which it is cold; zero when it is warm, `None` when that is not stated.
    pub warm_up_remaining: Option<Duration>,
}

/// Why an announcement is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnouncementError {
    /// The announced service differs from the service that this router is configured for.
    Service(service::Name),
    /// It states the drain or departure of an incarnation that started before the current one. An acknowledgement would
    /// promise that the address gets no requests.
    Earlier,
}

impl fmt::Display for AnnouncementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => {
                write!(f, "the service '{name}' is not the one of this instance")
            }
            Self::Earlier => f.write_str("a later incarnation is in use at this address"),
        }
    }
}

impl error::Error for AnnouncementError {}

/// State of the current incarnation of the backend server.
#[derive(Debug)]
pub struct ServerState {
    /// The latest announcement.
    pub announcement: ServerAnnouncement,
    /// Number that distinguishes this incarnation from earlier and later ones.
    pub incarnation: Incarnation,
    /// Admission control for its slots.
    pub gate: Gate,
    /// Queued tickets and the channels on which their result is sent.
    waiting: Vec<(ticket::Id, oneshot::Sender<Result<(), Denial>>)>,
    slowness_report: SlownessReport,
    stated_limit: StatedLimit,
    pub(crate) cold: Statements,
    pub(crate) cold_rule: Rule,
    /// Whether it was cold when the time was last applied.
    pub(crate) is_cold: bool,
    /// Whether its zone is evacuated.
    pub(crate) evacuated: bool,
    /// Set when it has announced or stated in a response that it is leaving. An incarnation does not come back.
    leaving: bool,
    /// When it last announced itself.
    announced_at: Instant,
}

/// The limit that the backend server states, and what was sent to it since.
#[derive(Clone, Copy, Debug)]
struct StatedLimit {
    rate: Option<Rate>,
    since: Instant,
    requests: u64,
}

/// What limits the rate of requests to the backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateLimit {
    /// Nothing.
    #[default]
    None,
    /// A limit that it states.
    Stated,
    /// It is cold.
    Cold,
}

impl RateLimit {
    /// The name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Stated => "stated",
            Self::Cold => "cold",
        }
    }
}

/// Change of the limit that the backend server states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateChange {
    /// The limit before; `None` without one.
    pub from: Option<Rate>,
    /// The limit now; `None` without one.
    pub to: Option<Rate>,
    /// How long the earlier limit was stated.
    pub held: Duration,
    /// Requests sent in that time.
    pub requests: u64,
}

/// Latest report of how long requests take on the machine of a backend server, compared with the usual.
#[derive(Clone, Copy, Debug, Default)]
struct SlownessReport {
    slowness: u32,
    reported_at: Instant,
}

/// Slowness of a machine that runs at its usual speed.
const NORMAL_SLOWNESS_PERCENT: u32 = 100;

/// A slowness report older than this is ignored: interference on shared machines lasts some hundred
/// milliseconds.
const SLOWNESS_AGE_MAX: Duration = Duration::from_millis(300);

/// Slowness from which another target is the better choice, even with the additional hop.
const SLOW_THRESHOLD_PERCENT: u32 = 180;

/// As [`SLOW_THRESHOLD_PERCENT`] for a cold backend server, which takes twice as long anyway. The router that chose it knew
/// that, and after a loss of all power every other target is cold too.
const COLD_SLOW_THRESHOLD_PERCENT: u32 = 2 * SLOW_THRESHOLD_PERCENT;

/// An incarnation that announces itself although it started before the current one: the announcements are late, or the
/// time of day was set back before it started.
#[derive(Clone, Debug)]
struct Candidate {
    instance: instance::Name,
    start_time_ms: u64,
    sequence: u64,
    /// Since when it announces itself and the current one does not.
    since: Instant,
}

/// The local backend server.
#[derive(Debug, Default)]
pub struct Backend {
    /// Its current incarnation; `None` before the first announcement and after it has departed.
    pub current: Option<ServerState>,
    /// Incarnations that must not be used again.
    retired: retired::List,
    candidate: Option<Candidate>,
    /// Whether the departures that earlier processes of this router acknowledged are in `retired`.
    restored: bool,
    /// The latest announcement of a backend server that accepts requests, received before they were.
    pending: Option<ServerAnnouncement>,
    /// What the configuration states about cold targets.
    pub(crate) cold_rule: Rule,
    /// Whether the zone of this router is evacuated.
    pub(crate) evacuated: bool,
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// The target that is published to the registries.
    Target,
    /// A new incarnation; connections to the earlier one are closed.
    Incarnation,
    /// It is not applied and must not be acknowledged.
    Refused,
}

impl Backend {
    /// Applies an announcement; a late or repeated one changes nothing.
    pub fn announce(&mut self, announcement: ServerAnnouncement, now: Instant) -> Change {
        let (instance, start_time_ms) = (&announcement.instance, announcement.start_time_ms);
        let unapplied = if announcement.draining && self.is_other_in_use(instance, start_time_ms) {
            Change::Refused
        } else {
            Change::None
        };
        if self.retired.contains(instance, start_time_ms) {
            return unapplied;
        }
        let mut incarnation_min = 0;
        if let Some(current) = &mut self.current {
            let known = &current.announcement;
            if known.instance == announcement.instance
                && known.start_time_ms == announcement.start_time_ms
            {
                if announcement.sequence <= known.sequence {
                    return Change::None;
                }
                current.announced_at = now;
                let mut changed =
                    known.draining != announcement.draining || known.slots != announcement.slots;
                if announcement.slots != known.slots {
                    let slots = usable_slots(announcement.slots);
                    let effect = current.gate.resize(slots, queue_length(slots), now);
                    current.notify_waiting(effect);
                }
                if announcement.draining {
                    current.leave();
                }
                current.cold.announce(announcement.warm_up_remaining, now);
                changed |= current.refresh_cold(now);
                current.announcement = announcement;
                return if changed {
                    Change::Target
                } else {
                    Change::None
                };
            }
            if announcement.start_time_ms < known.start_time_ms {
                incarnation_min = current.incarnation.0 + 1;
                if !self.replaces_current(&announcement, now) {
                    return unapplied;
                }
            }
        }
        if let Some(ended) = self.end_current() {
            // A later one of the same name would retire this one too.
            let is_later = ended.instance == announcement.instance
                && ended.start_time_ms > announcement.start_time_ms;
            if !is_later {
                self.retired
                    .add(&ended.instance, ended.start_time_ms, Reason::Superseded);
            }
        }
        self.candidate = None;
        let mut server = ServerState::new(announcement, now);
        // Other routers ignore an incarnation that is lower than the one they know.
        server.incarnation = server.incarnation.max(Incarnation(incarnation_min));
        server.set_rule(self.cold_rule, now);
        if self.evacuated {
            server.set_evacuated(true);
        }
        self.current = Some(server);
        Change::Incarnation
    }

    /// Whether an incarnation with an earlier start is the one that runs: it announces itself again and again, and the
    /// current one has stopped to.
    fn replaces_current(&mut self, announcement: &ServerAnnouncement, now: Instant) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let known = self.candidate.take().filter(|known| {
            known.instance == announcement.instance
                && known.start_time_ms == announcement.start_time_ms
                && known.since > current.announced_at
        });
        let mut candidate = known.unwrap_or_else(|| Candidate {
            instance: announcement.instance.clone(),
            start_time_ms: announcement.start_time_ms,
            sequence: announcement.sequence,
            since: now,
        });
        let is_newer = announcement.sequence > candidate.sequence;
        let replaces = is_newer && now.since(candidate.since) >= REPLACEMENT_DELAY;
        candidate.sequence = candidate.sequence.max(announcement.sequence);
        self.candidate = Some(candidate);
        replaces
    }

    /// Whether the address is in use for another incarnation than this one.
    fn is_other_in_use(&self, instance: &instance::Name, start_time_ms: u64) -> bool {
        self.current.as_ref().is_some_and(|current| {
            let known = &current.announcement;
            let is_same = known.instance == *instance && known.start_time_ms == start_time_ms;
            !is_same && !current.is_draining()
        })
    }

    /// Whether this incarnation may be the one that runs although a later one is current.
    fn may_replace_current(&self, instance: &instance::Name, start_time_ms: u64) -> bool {
        let mut candidate = self.candidate.iter();
        candidate.any(|c| c.instance == *instance && c.start_time_ms == start_time_ms)
    }

    /// Applies an announcement as [`Backend::announce`] does. One of a backend server that accepts requests waits
    /// until the acknowledged departures are restored, because it may have been sent before its departure.
    pub fn receive(&mut self, announcement: ServerAnnouncement, now: Instant) -> Change {
        if self.restored || announcement.draining {
            let (instance, start_time_ms) =
                (announcement.instance.clone(), announcement.start_time_ms);
            let draining = announcement.draining;
            let change = self.announce(announcement, now);
            if draining && change != Change::Refused {
                self.retired.add(&instance, start_time_ms, Reason::Departed);
            }
            return change;
        }
        let order = |known: &ServerAnnouncement| (known.start_time_ms, known.sequence);
        let known = self.pending.as_ref();
        if known.is_none_or(|known| order(known) < order(&announcement)) {
            self.pending = Some(announcement);
        }
        Change::None
    }

    /// Whether the departures that earlier processes of this router acknowledged are known.
    pub const fn is_restored(&self) -> bool {
        self.restored
    }

    /// Adds the departures that earlier processes of this router acknowledged, and returns the announcement that
    /// waited for them.
    pub fn restore(&mut self, departures: &[Departure]) -> Option<ServerAnnouncement> {
        for departure in departures {
            self.retired
                .add(&departure.instance, departure.start_time_ms, Reason::Stored);
        }
        self.restored = true;
        self.pending.take()
    }

    /// Departures that must be stored by registry processes before they are acknowledged.
    pub fn unconfirmed(&self, router: SocketAddr) -> Vec<Departure> {
        self.retired.unconfirmed(router)
    }

    /// Records that registry processes have stored departures.
    pub fn confirm(&mut self, departures: &[Departure]) {
        self.retired.confirm(departures);
    }

    /// Retires the incarnations of `instance` that started at `start_time_ms` or before. Returns [`Change::Target`] if
    /// the current one is among them, in which case the target must be published again.
    ///
    /// Without a stated start these are the known incarnation or, when none is known (the router may have restarted),
    /// all that started before `wall_ms`, the present Unix time in milliseconds.
    pub fn deregister(
        &mut self,
        instance: &instance::Name,
        start_time_ms: Option<u64>,
        wall_ms: u64,
    ) -> Change {
        let current = self.current.as_ref().map(|current| &current.announcement);
        let known = [current, self.pending.as_ref()];
        let known = known.into_iter().flatten();
        let known = known.filter(|known| known.instance == *instance);
        let known = known.map(|known| known.start_time_ms).max();
        let last = start_time_ms.or(known).unwrap_or(wall_ms);
        let departed =
            current.is_some_and(|known| known.instance == *instance && known.start_time_ms <= last);
        if departed {
            self.end_current();
        }
        let refused = self.may_replace_current(instance, last);
        self.retired.add(instance, last, Reason::Departed);
        match (departed, refused) {
            (true, _) => Change::Target,
            (false, true) => Change::Refused,
            (false, false) => Change::None,
        }
    }

    /// Ends the current incarnation, and returns its last announcement.
    fn end_current(&mut self) -> Option<ServerAnnouncement> {
        let mut current = self.current.take()?;
        let effect = current.gate.drain();
        current.notify_waiting(effect);
        Some(current.announcement)
    }

    /// The current incarnation, if it has this name and incarnation number.
    pub fn matching(
        &mut self,
        instance: &instance::Name,
        incarnation: Incarnation,
    ) -> Option<&mut ServerState> {
        let current = self.current.as_mut()?;
        let same = current.announcement.instance == *instance && current.incarnation == incarnation;
        same.then_some(current)
    }
}

impl ServerState {
    fn new(announcement: ServerAnnouncement, now: Instant) -> Self {
        let slots = usable_slots(announcement.slots);
        // Without a reported start, the time of the first announcement identifies the incarnation.
        let incarnation = Incarnation(if announcement.start_time_ms > 0 {
            announcement.start_time_ms
        } else {
            now.0
        });
        let config = Config::new(incarnation, slots, queue_length(slots))
            .service_time(INITIAL_SERVICE_TIME)
            .tolerance(LATENCY_TOLERANCE_RATIO)
            .timely_first(slot::RANKS);
        let draining = announcement.draining;
        let mut cold = Statements::new(now);
        cold.announce(announcement.warm_up_remaining, now);
        let mut server = Self {
            announcement,
            incarnation,
            gate: Gate::new(config),
            waiting: Vec::new(),
            slowness_report: SlownessReport {
                slowness: NORMAL_SLOWNESS_PERCENT,
                reported_at: now,
            },
            stated_limit: StatedLimit {
                rate: None,
                since: now,
                requests: 0,
            },
            cold,
            cold_rule: Rule::default(),
            is_cold: false,
            evacuated: false,
            leaving: false,
            announced_at: now,
        };
        if draining {
            server.leave();
        }
        server
    }

    /// Whether it takes no further requests, as announced or as stated in a response.
    pub const fn is_draining(&self) -> bool {
        self.leaving
    }

    /// Refuses all waiting and later requests. Returns false if it is draining already.
    pub fn leave(&mut self) -> bool {
        if self.leaving {
            return false;
        }
        self.leaving = true;
        let effect = self.gate.drain();
        self.notify_waiting(effect);
        true
    }

    /// Sets the limit that the backend server states. Returns the change, if there is one.
    pub fn set_rate_limit(&mut self, rate: Option<Rate>, now: Instant) -> Option<RateChange> {
        let known = self.stated_limit;
        if known.rate == rate {
            return None;
        }
        let effect = self.gate.set_rate(rate, now);
        self.notify_waiting(effect);
        self.stated_limit = StatedLimit {
            rate,
            since: now,
            requests: 0,
        };
        Some(RateChange {
            from: known.rate,
            to: rate,
            held: now.since(known.since),
            requests: known.requests,
        })
    }

    /// The limit that the backend server states.
    pub const fn stated_limit(&self) -> Option<Rate> {
        self.stated_limit.rate
    }

    /// Counts a request that is sent. Returns what limits the rate of requests.
    pub const fn record_request(&mut self) -> RateLimit {
        self.stated_limit.requests += 1;
        match self.stated_limit.rate {
            _ if self.is_cold => RateLimit::Cold,
            Some(_) => RateLimit::Stated,
            None => RateLimit::None,
        }
    }

    /// Records the reported slowness of the machine, in percent of the usual request duration.
    pub const fn record_slowness(&mut self, slowness: u32, now: Instant) {
        self.slowness_report = SlownessReport {
            slowness,
            reported_at: now,
        };
    }

    /// Slowness of the machine, in percent; 100 when the last report is too old.
    pub fn slowness(&self, now: Instant) -> u32 {
        if self.slowness_age(now) > SLOWNESS_AGE_MAX {
            NORMAL_SLOWNESS_PERCENT
        } else {
            self.slowness_report.slowness
        }
    }

    /// Age of the last slowness report.
    pub const fn slowness_age(&self, now: Instant) -> Duration {
        now.since(self.slowness_report.reported_at)
    }

    /// Whether the machine is slow enough that another target is the better choice.
    pub fn is_slow(&self, now: Instant) -> bool {
        let threshold = if self.is_cold {
            COLD_SLOW_THRESHOLD_PERCENT
        } else {
            SLOW_THRESHOLD_PERCENT
        };
        self.slowness(now) >= threshold
    }

    /// Offers a ticket to the gate. `None` means that it may run now; a queued one gets its result
    /// on the receiver.
    ///
    /// # Errors
    ///
    /// Returns a [`Denial`] when the gate refuses the ticket.
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
                self.notify_waiting(Effect {
                    run: Vec::new(),
                    refused,
                });
                let (sender, receiver) = oneshot::channel();
                self.waiting.push((id, sender));
                Ok(Some(receiver))
            }
        }
    }

    /// Sends the decisions of the gate to the queued tickets that they concern.
    pub fn notify_waiting(&mut self, effect: Effect) {
        for id in effect.run {
            self.resolve_ticket(id, Ok(()));
        }
        for refused in effect.refused {
            self.resolve_ticket(refused.id, Err(denial(refused.refusal)));
        }
    }

    fn resolve_ticket(&mut self, id: ticket::Id, result: Result<(), Denial>) {
        let Some(index) = self.waiting.iter().position(|(known, _)| *known == id) else {
            return;
        };
        let (_, sender) = self.waiting.swap_remove(index);
        if sender.send(result).is_err() {
            // The request was cancelled meanwhile; dropping its `Slot` releases the slot.
            log::debug!(event = "ticket-abandoned"; "queued request was cancelled before its ticket was decided");
        }
    }
}

/// Slots that the gate uses of those that are announced.
fn usable_slots(announced: u32) -> u32 {
    (f64::from(announced) * SLOT_SHARE).floor().max(1.0) as u32
}

const fn queue_length(slots: u32) -> u32 {
    slots.saturating_mul(QUEUED_PER_SLOT_MAX)
}

const fn denial(refusal: ticket::Refusal) -> Denial {
    match refusal {
        ticket::Refusal::Draining => Denial::Gone,
        _ => Denial::Busy,
    }
}

/// Handles an announcement of the local backend server and publishes the target if it changed.
///
/// # Errors
///
/// Returns an [`AnnouncementError`] when the announced service is not the one of this router.
pub fn announce(state: &State, announcement: ServerAnnouncement) -> Result<(), AnnouncementError> {
    if announcement.service != state.settings.service {
        return Err(AnnouncementError::Service(announcement.service));
    }
    let now = state.now();
    let reported = announcement.clone();
    let (change, cold) = {
        let mut backend = state.backend.lock();
        let was_cold = backend.current.as_ref().is_some_and(ServerState::is_cold);
        let change = backend.receive(announcement, now);
        let was_cold = was_cold && change != Change::Incarnation;
        let current = backend.current.as_ref();
        let cold = current.filter(|c| c.is_cold() != was_cold);
        let cold = cold.map(|c| (c.is_cold(), c.cold_rate()));
        let slots = backend.current.as_ref().map_or(1, |l| l.announcement.slots);
        let limit = slots.saturating_mul(2).max(1) as usize;
        if change == Change::Target {
            state.pool.connect_to(state.settings.backend, false, limit);
        }
        if change == Change::Incarnation {
            state.pool.connect_to(state.settings.backend, true, limit);
            state.probes.connect_to(state.settings.backend, true, 1);
            state.metrics.set_backend_limit(None);
            state.metrics.backend_cold.set(0);
        }
        (change, cold)
    };
    if let Some((is_cold, rate)) = cold {
        state.pace_changed.notify_one();
        cold::report(state, reported.instance.as_str(), is_cold, rate);
    }
    if change == Change::Refused {
        return Err(AnnouncementError::Earlier);
    }
    if change != Change::None {
        info!(
            event = "backend-changed",
            instance = reported.instance.as_str(),
            born = reported.start_time_ms,
            sequence = reported.sequence,
            draining = reported.draining,
            slots = reported.slots,
            cold_ms = reported.warm_up_remaining.unwrap_or_default().as_millis() as u64;
            "the local backend server has changed"
        );
        state.publish();
    }
    Ok(())
}

/// Handles the deregistration of the local backend server, which will not come back. `start_time_ms` is the start of
/// the incarnation, if it is stated.
///
/// # Errors
///
/// Returns [`AnnouncementError::Earlier`] when the address stays in use.
pub fn deregister(
    state: &State,
    instance: &instance::Name,
    start_time_ms: Option<u64>,
) -> Result<(), AnnouncementError> {
    let wall_ms = state.clock.wall().0;
    let change = state
        .backend
        .lock()
        .deregister(instance, start_time_ms, wall_ms);
    match change {
        Change::Refused => return Err(AnnouncementError::Earlier),
        Change::None => {}
        Change::Target | Change::Incarnation => {
            info!(event = "backend-left", instance = instance.as_str(); "the local backend server has deregistered");
            state.publish();
        }
    }
    Ok(())
}

/// Adds the departures that earlier processes of this router acknowledged, and applies the announcement that waited
/// for them.
pub fn restore(state: &State, departures: &[Departure]) {
    let pending = {
        let mut backend = state.backend.lock();
        if backend.is_restored() {
            return;
        }
        backend.restore(departures)
    };
    info!(event = "departures-restored", count = departures.len(); "departures of the local backend server are known");
    // It was checked when it was received.
    if let Some(Err(error)) = pending.map(|announcement| announce(state, announcement)) {
        log::warn!(event = "announcement-refused"; "cannot apply an announcement: {error}");
    }
}

/// The target that is published to the registries; `None` without a backend server, or when it is
/// withdrawn because the process stops.
pub fn target(state: &State) -> Option<Target> {
    if state.withdrawn.load(Ordering::Relaxed) {
        return None;
    }
    let backend = state.backend.lock();
    let current = backend.current.as_ref()?;
    let known = &current.announcement;
    let offer = if current.is_draining() {
        target::State::Draining
    } else if current.is_cold() {
        target::State::Starting
    } else {
        target::State::Ready
    };
    Some(Target {
        service: known.service.clone(),
        instance: known.instance.clone(),
        incarnation: current.incarnation,
        zone: state.settings.zone.clone(),
        region: state.settings.region.clone(),
        address: state.settings.address(),
        state: offer,
        slots: known.slots,
    })
}
