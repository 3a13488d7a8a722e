//! The local backend server: its announcements, its admission gate and its queue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::oneshot;

use crate::crash;
use crate::routes;
use crate::slot::AdmissionResult;
use crate::state::Identity;
use crate::state::State;
use crate::validation;
use crate::validation::ValidAnnouncement;
use shallotrill_backend::announce;
use shallotrill_limits::config::Config as GateConfig;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::probe;
use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Effect;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_membership::announcement::Announcement;
use shallotrill_membership::announcement::AnnouncementVersion;
use shallotrill_membership::incarnation;
use shallotrill_membership::incarnation::ServerIncarnation;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::load::Report;
use shallotrill_model::service;
use shallotrill_model::target;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;

/// Time for which an announcement is valid. A backend server that does not renew it is drained.
pub(crate) const ANNOUNCEMENT_VALIDITY_PERIOD: Duration = Duration::from_secs(3);

/// Connection and queue limits until the service's configuration is known.
const CONNECTIONS_DEFAULT: u32 = 250;
const QUEUE_DEFAULT: u32 = 40;

/// Maximum unused probe credit, in slot time.
const PROBE_CREDIT_MAX: Duration = Duration::from_millis(100);

/// A request that is queued for a slot.
#[derive(Debug)]
struct QueuedRequest {
    id: ticket::Id,
    content: Digest,
    sender: oneshot::Sender<AdmissionResult>,
}

/// A request that has a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) id: ticket::Id,
    pub(crate) content: Digest,
}

/// Requests in flight at the time a connection to the backend server was lost.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionLoss {
    pub(crate) at: Instant,
    pub(crate) contents: Vec<Digest>,
}

/// One incarnation of the backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) incarnation: ServerIncarnation,
    pub(crate) service: service::Name,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) announced_state: target::State,
    pub(crate) last_announcement: Instant,
    pub(crate) first_announcement: Instant,
    pub(crate) running: Vec<RunningRequest>,
    /// Whether a crash of this incarnation was recorded.
    pub(crate) crashed: bool,
    /// Requests in flight at the first of the most recent connection losses.
    pub(crate) connection_loss: Option<ConnectionLoss>,
    pub(crate) probe_path: Option<Arc<str>>,
    pub(crate) probe_budget: probe::Budget,
    pub(crate) last_answer: Option<Instant>,
    pub(crate) last_probe: Option<Instant>,
    gate: Gate,
    /// Limits that the gate and the probe budget were last configured with.
    limits: Limits,
    gate_slots: u32,
    queued: Vec<QueuedRequest>,
}

/// The local backend server, if one has announced itself, and the reasons to drain it.
#[derive(Debug, Default)]
pub(crate) struct Local {
    pub(crate) server: Option<Server>,
    /// Target that was last reported to control; `sequence` counts its changes.
    reported: Option<Target>,
    sequence: u64,
    /// Whether an operator has drained this instance.
    pub(crate) drained: bool,
    /// Whether this node is stopping.
    pub(crate) stopping: bool,
    last_incarnation: Option<ServerIncarnation>,
}

impl Server {
    pub(crate) fn offer(
        &mut self,
        ticket: Ticket,
        content: Digest,
        sender: oneshot::Sender<AdmissionResult>,
        now: Instant,
    ) -> Verdict {
        let id = ticket.id;
        let verdict = self.gate.offer(ticket, now);
        match &verdict {
            Verdict::Run => self.running.push(RunningRequest { id, content }),
            Verdict::Queue { displaced } => {
                self.queued.push(QueuedRequest {
                    id,
                    content,
                    sender,
                });
                if let Some(refused) = displaced {
                    self.resolve(refused.id, Err(refused.refusal));
                }
            }
            Verdict::Refuse(_) => {}
        }
        verdict
    }

    pub(crate) fn release(&mut self, release: Release, now: Instant) {
        self.running.retain(|running| running.id != release.id);
        if release.outcome == ticket::Outcome::Success {
            self.last_answer = Some(now);
        }
        let effect = self.gate.release(release, now);
        self.apply_effect(effect);
    }

    /// Cancels a ticket whose caller disconnected, whether it is queued or has a slot.
    pub(crate) fn cancel(&mut self, id: ticket::Id, now: Instant) {
        self.queued.retain(|queued| queued.id != id);
        let effect = self.gate.cancel(id, now);
        self.apply_effect(effect);
        let release = Release {
            id,
            latency: Duration::ZERO,
            outcome: ticket::Outcome::Cancelled,
        };
        self.release(release, now);
    }

    pub(crate) fn report(&mut self, now: Instant) -> Report {
        self.gate.report(now)
    }

    fn apply_effect(&mut self, effect: Effect) {
        for id in effect.run {
            self.resolve(id, Ok(()));
        }
        for refused in effect.refused {
            self.resolve(refused.id, Err(refused.refusal));
        }
    }

    fn resolve(&mut self, id: ticket::Id, result: AdmissionResult) {
        let Some(index) = self.queued.iter().position(|queued| queued.id == id) else {
            return;
        };
        let queued = self.queued.swap_remove(index);
        if result.is_ok() {
            let content = queued.content;
            self.running.push(RunningRequest { id, content });
        }
        // A dropped receiver releases its slot itself.
        let _disconnected = queued.sender.send(result);
    }

    /// Applies changed limits to the gate and the probe budget. Running requests keep their slots.
    fn configure(&mut self, limits: Limits, now: Instant) {
        let slots = self.slots.min(limits.slots);
        if self.limits == limits && self.gate_slots == slots {
            return;
        }
        self.limits = limits;
        self.gate_slots = slots;
        self.probe_budget.resize(slots, limits.probe_ppm, now);
        let effect = self.gate.resize(slots, limits.queue, now);
        self.apply_effect(effect);
    }

    fn set_draining(&mut self, draining: bool) {
        if draining {
            let effect = self.gate.drain();
            self.apply_effect(effect);
        } else {
            self.gate.undrain();
        }
    }
}

impl Local {
    /// Whether the backend server accepts no new requests: drained by an operator, stopping, draining or
    /// without a valid announcement.
    pub(crate) fn is_draining(&self, now: Instant) -> bool {
        let is_announcement_expired =
            |server: &Server| now.since(server.last_announcement) > ANNOUNCEMENT_VALIDITY_PERIOD;
        let server = self.server.as_ref();
        self.drained
            || self.stopping
            || server.is_none_or(|server| {
                server.announced_state == target::State::Draining || is_announcement_expired(server)
            })
    }

    /// Drains or undrains the gate as [`Local::is_draining`] requires.
    pub(crate) fn update_draining(&mut self, now: Instant) {
        let draining = self.is_draining(now);
        if let Some(server) = &mut self.server {
            server.set_draining(draining);
        }
    }

    /// The current target; `None` without a backend server.
    pub(crate) fn target(&self, identity: &Identity, now: Instant) -> Option<Target> {
        let draining = self.is_draining(now);
        let server = self.server.as_ref()?;
        let state = if draining {
            target::State::Draining
        } else {
            server.announced_state
        };
        Some(Target {
            service: server.service.clone(),
            instance: identity.instance.clone(),
            incarnation: server.incarnation.incarnation,
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            address: identity.address,
            state,
            slots: server.slots,
        })
    }

    /// The announcement to send to control, with a new sequence number if the target changed.
    pub(crate) fn announcement(
        &mut self,
        identity: &Identity,
        now: Instant,
    ) -> Option<Announcement> {
        let target = self.target(identity, now)?;
        if self.reported.as_ref() != Some(&target) {
            self.sequence += 1;
            self.reported = Some(target.clone());
        }
        let session = AnnouncementVersion {
            node: identity.session,
            sequence: self.sequence,
        };
        Some(Announcement { target, session })
    }

    /// Raises the incarnation above `known`, which control knows from an earlier node process.
    pub(crate) fn raise_incarnation(&mut self, known: Incarnation) {
        if let Some(server) = &mut self.server {
            server.incarnation = server.incarnation.raise_above(known);
            self.last_incarnation = Some(server.incarnation);
        }
    }
}

/// Applies an announcement of the backend server.
pub(crate) fn announce(
    state: &Arc<State>,
    announcement: &announce::Announcement,
) -> Result<announce::Accepted, announce::Refusal> {
    if state.is_stopping() {
        return Err(announce::Refusal::Stopping);
    }
    let valid = validation::validate(announcement)?;
    let now = state.now();
    let limits = limits(state, &valid.service);
    let (replaced, target_changed) = {
        let mut local = state.local.lock();
        let wall = state.clock.wall();
        let incarnation = incarnation::derive(local.last_incarnation.as_ref(), valid.start, wall);
        let restarted = local
            .last_incarnation
            .is_none_or(|last| last != incarnation);
        let replaced = restarted.then(|| local.server.take()).flatten();
        local.last_incarnation = Some(incarnation);
        let changed = local.apply_announcement(incarnation, valid, limits, now);
        local.update_draining(now);
        if let Some(server) = &local.server {
            let connections = limits.connections as usize;
            state
                .backend
                .connect_to(server.address, restarted, connections);
        }
        if changed || restarted {
            state.report_due.notify_one();
        }
        (replaced, changed || restarted)
    };
    if target_changed {
        routes::apply_to_routing(state);
    }
    if let Some(server) = replaced {
        info!(event = "backend-server-restarted", service = server.service.as_str(); "the backend server announced a new incarnation");
        crash::record_restart(state, &server);
    }
    let incarnation = state
        .local
        .lock()
        .last_incarnation
        .map_or(0, |incarnation| incarnation.incarnation.0);
    Ok(announce::Accepted {
        incarnation,
        valid_ms: ANNOUNCEMENT_VALIDITY_PERIOD.as_millis() as u64,
        registered: state.sync.lock().registered,
    })
}

/// Limits from the service's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Limits {
    /// Maximum number of concurrent requests, even if more slots are announced.
    slots: u32,
    connections: u32,
    queue: u32,
    probe_ppm: u32,
}

fn limits(state: &State, service: &service::Name) -> Limits {
    let spec = state.service(service);
    Limits {
        slots: spec.as_ref().map_or(u32::MAX, |s| s.slots),
        connections: spec.as_ref().map_or(CONNECTIONS_DEFAULT, |s| s.connections),
        queue: spec.as_ref().map_or(QUEUE_DEFAULT, |s| s.queue),
        probe_ppm: spec.as_ref().map_or(0, |s| s.probe_budget_ppm),
    }
}

/// Applies changed settings of the service to the local backend server.
pub(crate) fn configure(state: &State) {
    let service = match &state.local.lock().server {
        Some(server) => server.service.clone(),
        None => return,
    };
    let limits = limits(state, &service);
    let now = state.now();
    let mut local = state.local.lock();
    if let Some(server) = local.server.as_mut().filter(|s| s.service == service) {
        server.configure(limits, now);
        let connections = limits.connections as usize;
        state.backend.connect_to(server.address, false, connections);
    }
}

impl Local {
    /// Applies a valid announcement; returns whether control must be notified at once.
    fn apply_announcement(
        &mut self,
        incarnation: ServerIncarnation,
        valid: ValidAnnouncement,
        limits: Limits,
        now: Instant,
    ) -> bool {
        let current = self
            .server
            .as_mut()
            .filter(|server| server.service == valid.service);
        if let Some(server) = current {
            let changed = server.announced_state != valid.state || server.slots != valid.slots;
            let is_announcement_expired =
                now.since(server.last_announcement) > ANNOUNCEMENT_VALIDITY_PERIOD;
            server.announced_state = valid.state;
            server.last_announcement = now;
            server.address = valid.address;
            server.probe_path = valid.probe;
            server.slots = valid.slots;
            server.configure(limits, now);
            return changed || is_announcement_expired;
        }
        let slots = valid.slots.min(limits.slots);
        let gate = GateConfig::new(incarnation.incarnation, slots, limits.queue);
        self.server = Some(Server {
            incarnation,
            service: valid.service,
            address: valid.address,
            slots: valid.slots,
            announced_state: valid.state,
            last_announcement: now,
            first_announcement: now,
            running: Vec::new(),
            crashed: false,
            connection_loss: None,
            probe_path: valid.probe,
            probe_budget: probe::Budget::new(slots, limits.probe_ppm, PROBE_CREDIT_MAX, now),
            last_answer: None,
            last_probe: None,
            gate: Gate::new(gate),
            limits,
            gate_slots: slots,
            queued: Vec::new(),
        });
        true
    }
}

/// Detects that the backend server became unresponsive or announced itself again, and wakes the heartbeat.
pub(crate) fn update_target_state(state: &State) {
    let now = state.now();
    let mut local = state.local.lock();
    let before = local.reported.as_ref().map(|target| target.state);
    local.update_draining(now);
    let after = local
        .announcement(&state.identity, now)
        .map(|announcement| announcement.target.state);
    if before.is_some() && before != after {
        warn!(event = "target-state-changed"; "the target state changed from {before:?} to {after:?}");
        state.report_due.notify_one();
    }
}
