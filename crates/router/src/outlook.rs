//! What targets stated about their room, and the refusal of requests that none of them can start in time.

use std::time::Duration;

use http::HeaderMap;
use log::info;
use log::warn;

use crate::slot;
use crate::state::State;
use shallotrill_limits::outlook::Decision;
use shallotrill_limits::outlook::Request;
use shallotrill_limits::outlook::Room;
use shallotrill_limits::outlook::Statements;
use shallotrill_model::load::Outlook;
use shallotrill_model::service;
use shallotrill_routing::choice::Choice;
use shallotrill_wire::load;

/// Statements by service, sorted by its name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    services: Vec<(service::Name, Statements)>,
}

impl Table {
    /// The statements of the targets of `service`.
    pub fn of(&mut self, service: &service::Name) -> &mut Statements {
        let index = self
            .services
            .binary_search_by(|(name, _)| name.cmp(service))
            .unwrap_or_else(|index| {
                let statements = Statements::new(slot::RANKS);
                self.services.insert(index, (service.clone(), statements));
                index
            });
        &mut self.services[index].1
    }
}

/// A request for which there may be no room.
#[derive(Clone, Copy, Debug)]
pub struct Pending<'request> {
    /// Service that it is for.
    pub service: &'request service::Name,
    /// Priority of its workspace, if it has one.
    pub workspace_priority: Option<u8>,
    /// Priority of its route.
    pub priority: u8,
    /// Time from arrival to response within which the response has its full value.
    pub objective: Duration,
    /// Time within which it must start to meet its objective.
    pub start_within: Duration,
    /// Remaining time until the deadline of the caller.
    pub remaining: Duration,
    /// Whether no gate has refused it yet.
    pub is_first: bool,
}

impl Pending<'_> {
    fn request(&self, state: &State) -> Request {
        let priority = slot::rank(self.workspace_priority, self.priority, self.objective);
        let targets = state.routing.lock().target_count(self.service);
        Request {
            priority,
            start_within: slot::useful_within(self.objective, self.start_within, self.remaining),
            targets,
            is_first: self.is_first,
        }
    }
}

/// Records what the headers of a response state, and removes them.
pub fn apply(state: &State, service: &service::Name, choice: &Choice, headers: &mut HeaderMap) {
    let value = headers.remove(load::OUTLOOK);
    if !headers.contains_key(load::LOAD) {
        return;
    }
    match value.map(|v| load::decode_outlook(&v)).transpose() {
        Ok(outlook) => record(state, service, choice, outlook),
        Err(error) => warn!(
            event = "load-unreadable";
            "cannot decode the outlook in a response: {error}"
        ),
    }
}

/// Records the outlook of the local backend server, whose refusals have no headers.
pub fn record_local(state: &State, service: &service::Name, choice: &Choice) {
    let now = state.now();
    let outlook = {
        let mut backend = state.backend.lock();
        let server = backend.matching(&choice.instance, choice.incarnation);
        let Some(server) = server else {
            return;
        };
        server.gate.outlook(now)
    };
    record(state, service, choice, outlook);
}

fn record(state: &State, service: &service::Name, choice: &Choice, outlook: Option<Outlook>) {
    let now = state.now();
    let mut outlooks = state.outlooks.lock();
    outlooks.of(service).record(&choice.instance, outlook, now);
}

/// Decides whether a request is sent to a target. One that cannot start in time at any is refused, as not run.
///
/// # Errors
///
/// Returns when there will be room for the request.
pub fn check(state: &State, id: &str, pending: &Pending<'_>) -> Result<(), Room> {
    let request = pending.request(state);
    let now = state.now();
    let decision = state
        .outlooks
        .lock()
        .of(pending.service)
        .decide(&request, now);
    let Decision::Refuse(room) = decision else {
        return Ok(());
    };
    state.metrics.refused_without_room.inc();
    if state.routine_log_quota.allows(now) {
        info!(
            event = "refused-without-room",
            request = id,
            service = pending.service.as_str(),
            priority = request.priority,
            start_within_ms = request.start_within.as_millis() as u64,
            room_after_ms = room.after.as_millis() as u64;
            "no target states that the request can start in time"
        );
    }
    Err(room)
}

/// Records that gates refused a request, and returns when there will be room for it.
pub fn refused_by_gates(state: &State, pending: &Pending<'_>) -> Room {
    let request = pending.request(state);
    let now = state.now();
    let mut outlooks = state.outlooks.lock();
    outlooks.of(pending.service).refused_by_gates(&request, now)
}
