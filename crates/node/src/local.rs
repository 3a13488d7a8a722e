//! The backend server beside this node: what it announced, its gate and its queue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::oneshot;

use crate::checked;
use crate::checked::Checked;
use crate::crash;
use crate::routes;
use crate::slot::Answer;
use crate::state::Identity;
use crate::state::State;
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
use shallotrill_membership::announcement::Session;
use shallotrill_membership::incarnation;
use shallotrill_membership::incarnation::ServerIncarnation;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::load::Report;
use shallotrill_model::service;
use shallotrill_model::target;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;

/// An announcement that is not repeated within this time counts as silence of the backend server.
pub(crate) const ANNOUNCEMENT_VALIDITY: Duration = Duration::from_secs(3);

/// Connections and queue places until the service's configuration is known.
const CONNECTIONS_DEFAULT: u32 = 250;
const QUEUE_DEFAULT: u32 = 40;

/// Unused probe credit is kept up to this much slot time.
const PROBE_BURST: Duration = Duration::from_millis(100);

/// A request that waits for a slot.
#[derive(Debug)]
struct Waiting {
    id: ticket::Id,
    content: Digest,
    sender: oneshot::Sender<Answer>,
}

/// A request that has a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) id: ticket::Id,
    pub(crate) content: Digest,
}

/// Requests in flight when a connection was lost.
#[derive(Clone, Debug)]
pub(crate) struct Lost {
    pub(crate) at: Instant,
    pub(crate) contents: Vec<Digest>,
}

/// The backend server in one of its lives.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) life: ServerIncarnation,
    pub(crate) service: service::Name,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) announced: target::State,
    pub(crate) heard: Instant,
    pub(crate) since: Instant,
    pub(crate) running: Vec<Running>,
    /// Whether the end of this life was noted as a crash.
    pub(crate) crashed: bool,
    /// What was in flight when connections were first lost, and when.
    pub(crate) lost: Option<Lost>,
    pub(crate) probe_path: Option<Arc<str>>,
    pub(crate) probe_budget: probe::Budget,
    pub(crate) last_answer: Option<Instant>,
    pub(crate) last_probe: Option<Instant>,
    gate: Gate,
    /// What the gate and the probe budget were last told.
    limits: Limits,
    gate_slots: u32,
    waiting: Vec<Waiting>,
}

/// The backend server beside this node, if one has announced itself.
#[derive(Debug, Default)]
pub(crate) struct Local {
    pub(crate) server: Option<Server>,
    /// What was last told to control, and its sequence number.
    told: Option<Target>,
    sequence: u64,
    /// Whether an operator drains this instance.
    pub(crate) drained: bool,
    /// Whether this node stops.
    pub(crate) stopping: bool,
    last: Option<ServerIncarnation>,
}

impl Server {
    pub(crate) fn offer(
        &mut self,
        ticket: Ticket,
        content: Digest,
        sender: oneshot::Sender<Answer>,
        now: Instant,
    ) -> Verdict {
        let id = ticket.id;
        let verdict = self.gate.offer(ticket, now);
        match &verdict {
            Verdict::Run => self.running.push(Running { id, content }),
            Verdict::Queue { displaced } => {
                self.waiting.push(Waiting {
                    id,
                    content,
                    sender,
                });
                if let Some(refused) = displaced {
                    self.answer(refused.id, Err(refused.refusal));
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
        self.settle(effect);
    }

    /// Ends a ticket whose caller went away, in whichever state it is.
    pub(crate) fn cancel(&mut self, id: ticket::Id, now: Instant) {
        self.waiting.retain(|waiting| waiting.id != id);
        let effect = self.gate.cancel(id, now);
        self.settle(effect);
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

    fn settle(&mut self, effect: Effect) {
        for id in effect.run {
            self.answer(id, Ok(()));
        }
        for refused in effect.refused {
            self.answer(refused.id, Err(refused.refusal));
        }
    }

    fn answer(&mut self, id: ticket::Id, answer: Answer) {
        let Some(index) = self.waiting.iter().position(|waiting| waiting.id == id) else {
            return;
        };
        let waiting = self.waiting.swap_remove(index);
        if answer.is_ok() {
            let content = waiting.content;
            self.running.push(Running { id, content });
        }
        // A receiver that is gone gives its slot back when it is dropped.
        let _gone = waiting.sender.send(answer);
    }

    /// Brings gate and probe budget in line with the limits in force; requests that run keep their slots.
    fn configure(&mut self, limits: Limits, now: Instant) {
        let slots = self.slots.min(limits.slots);
        if self.limits == limits && self.gate_slots == slots {
            return;
        }
        self.limits = limits;
        self.gate_slots = slots;
        self.probe_budget.resize(slots, limits.probe_ppm, now);
        let effect = self.gate.resize(slots, limits.queue, now);
        self.settle(effect);
    }

    fn set_draining(&mut self, draining: bool) {
        if draining {
            let effect = self.gate.drain();
            self.settle(effect);
        } else {
            self.gate.undrain();
        }
    }
}

impl Local {
    /// Whether the backend server takes no new work, for whichever reason.
    pub(crate) fn is_draining(&self, now: Instant) -> bool {
        let silent = |server: &Server| now.since(server.heard) > ANNOUNCEMENT_VALIDITY;
        let server = self.server.as_ref();
        self.drained
            || self.stopping
            || server
                .is_none_or(|server| server.announced == target::State::Draining || silent(server))
    }

    /// Brings the gate in line with the reasons to drain.
    pub(crate) fn update_draining(&mut self, now: Instant) {
        let draining = self.is_draining(now);
        if let Some(server) = &mut self.server {
            server.set_draining(draining);
        }
    }

    /// The target as it is now.
    pub(crate) fn target(&self, identity: &Identity, now: Instant) -> Option<Target> {
        let draining = self.is_draining(now);
        let server = self.server.as_ref()?;
        let state = if draining {
            target::State::Draining
        } else {
            server.announced
        };
        Some(Target {
            service: server.service.clone(),
            instance: identity.instance.clone(),
            incarnation: server.life.incarnation,
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            address: identity.address,
            state,
            slots: server.slots,
        })
    }

    /// What control should be told of the backend server now.
    pub(crate) fn announcement(
        &mut self,
        identity: &Identity,
        now: Instant,
    ) -> Option<Announcement> {
        let target = self.target(identity, now)?;
        if self.told.as_ref() != Some(&target) {
            self.sequence += 1;
            self.told = Some(target.clone());
        }
        let session = Session {
            node: identity.session,
            sequence: self.sequence,
        };
        Some(Announcement { target, session })
    }

    /// Takes a higher incarnation, because control knows one at least as high from an earlier node.
    pub(crate) fn exceed(&mut self, known: Incarnation) {
        if let Some(server) = &mut self.server {
            server.life = server.life.raise_above(known);
            self.last = Some(server.life);
        }
    }
}

/// Takes an announcement of the backend server.
pub(crate) fn announce(
    state: &Arc<State>,
    announcement: &announce::Announcement,
) -> Result<announce::Accepted, announce::Refusal> {
    if state.is_stopping() {
        return Err(announce::Refusal::Stopping);
    }
    let checked = checked::check(announcement)?;
    let now = state.now();
    let limits = limits(state, &checked.service);
    let (ended, moved) = {
        let mut local = state.local.lock();
        let wall = state.clock.wall();
        let life = incarnation::derive(local.last.as_ref(), checked.start, wall);
        let restarted = local.last.is_none_or(|last| last != life);
        let ended = restarted.then(|| local.server.take()).flatten();
        local.last = Some(life);
        let changed = local.place(life, checked, limits, now);
        local.update_draining(now);
        if let Some(server) = &local.server {
            let connections = limits.connections as usize;
            state
                .backend
                .connect_to(server.address, restarted, connections);
        }
        if changed || restarted {
            state.changed.notify_one();
        }
        (ended, changed || restarted)
    };
    if moved {
        routes::tell(state);
    }
    if let Some(server) = ended {
        info!(event = "backend-server-restarted", service = server.service.as_str(); "a new life was announced");
        crash::ended(state, &server);
    }
    let incarnation = state.local.lock().last.map_or(0, |life| life.incarnation.0);
    Ok(announce::Accepted {
        incarnation,
        valid_ms: ANNOUNCEMENT_VALIDITY.as_millis() as u64,
        registered: state.sync.lock().registered,
    })
}

/// Limits from the service's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Limits {
    /// Most requests at once, whatever is announced.
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

/// Applies changed settings of the service to the backend server here.
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
    /// Puts the announced values in place; returns whether anything differs that control should know at once.
    fn place(
        &mut self,
        life: ServerIncarnation,
        checked: Checked,
        limits: Limits,
        now: Instant,
    ) -> bool {
        let same = self
            .server
            .as_mut()
            .filter(|server| server.service == checked.service);
        if let Some(server) = same {
            let changed = server.announced != checked.state || server.slots != checked.slots;
            let silent = now.since(server.heard) > ANNOUNCEMENT_VALIDITY;
            server.announced = checked.state;
            server.heard = now;
            server.address = checked.address;
            server.probe_path = checked.probe;
            server.slots = checked.slots;
            server.configure(limits, now);
            return changed || silent;
        }
        let slots = checked.slots.min(limits.slots);
        let gate = GateConfig::new(life.incarnation, slots, limits.queue);
        self.server = Some(Server {
            life,
            service: checked.service,
            address: checked.address,
            slots: checked.slots,
            announced: checked.state,
            heard: now,
            since: now,
            running: Vec::new(),
            crashed: false,
            lost: None,
            probe_path: checked.probe,
            probe_budget: probe::Budget::new(slots, limits.probe_ppm, PROBE_BURST, now),
            last_answer: None,
            last_probe: None,
            gate: Gate::new(gate),
            limits,
            gate_slots: slots,
            waiting: Vec::new(),
        });
        true
    }
}

/// Notices that the backend server fell silent or spoke again, and tells control.
pub(crate) fn watch_silence(state: &State) {
    let now = state.now();
    let mut local = state.local.lock();
    let before = local.told.as_ref().map(|target| target.state);
    local.update_draining(now);
    let after = local
        .announcement(&state.identity, now)
        .map(|announcement| announcement.target.state);
    if before.is_some() && before != after {
        warn!(event = "target-state-changed"; "from {before:?} to {after:?}");
        state.changed.notify_one();
    }
}
