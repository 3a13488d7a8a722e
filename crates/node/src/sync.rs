//! Synchronization with control: the heartbeat and the feed.
//!
//! The heartbeat renews the lease of the target and reports crashes. The feed
//! delivers changes of the configuration, of the targets of the services that
//! are called through this node, and of crash records. Both run until the node
//! stops. While control does not answer, the node keeps its last state, whose
//! age the state dump shows.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time;

use crate::cache;
use crate::local;
use crate::routes;
use crate::state::State;
use crate::state::Targets;
use shallotrill_catalog::difference::Update;
use shallotrill_control_client::feed;
use shallotrill_control_client::lease;
use shallotrill_control_client::lease::AppliedVersions;
use shallotrill_control_client::lease::Crash;
use shallotrill_control_client::lease::TargetState;
use shallotrill_membership::change::Refusal;
use shallotrill_membership::difference::Difference;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_wire::listen;

/// Interval of heartbeats: a third of the lease.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which control answers a pull even if nothing changed.
const FEED_WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum interval after a failed pull. The interval is random, so that nodes do not all retry at once.
const FEED_RETRY_INTERVAL_MAX_MS: u64 = 500;

/// Maximum staleness of the configuration of a control process. The node switches from a process with a staler
/// configuration to the next one, since it would feed a configuration that was replaced. This is a third of the 15 s within which a change is in force.
const CONTROL_STALENESS_MAX: Duration = Duration::from_secs(5);

/// Time without an announcement after which the backend server is reported as absent.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum number of crash records that are kept for control.
const CRASHES_MAX: usize = 1_000;

/// State of the synchronization with control, including crash records that control does not have yet.
#[derive(Debug, Default)]
pub(crate) struct ControlSync {
    pub(crate) crashes: Vec<Crash>,
    /// Whether control has accepted the announcement.
    pub(crate) registered: bool,
    /// Version of the received crash records, as counted by the control process in `crashes_source`.
    crashes_version: u64,
    crashes_source: Option<instance::Name>,
    /// Lag of the control process's configuration at its last answer.
    pub(crate) control_staleness: Option<Duration>,
}

/// Sends heartbeats until `stop`, then reports that the target left.
pub(crate) async fn heartbeat(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        local::update_target_state(&state);
        send_heartbeat(&state).await;
        tokio::select! {
            () = time::sleep(HEARTBEAT_INTERVAL) => {}
            () = state.report_due.notified() => {}
            () = listen::stopped(&mut stop) => break,
        }
    }
    let incarnation = state
        .local
        .lock()
        .server
        .as_ref()
        .map(|server| server.incarnation);
    if let Some(incarnation) = incarnation {
        let request = lease_request(&state, TargetState::Left(incarnation.incarnation));
        if let Err(error) = state.control.lease(&request).await {
            warn!(event = "leave-not-told"; "reporting to control that the target left failed: {error}");
        }
    }
}

async fn send_heartbeat(state: &Arc<State>) {
    let request = lease_request(state, target_state(state));
    let sent = request.crashes.len();
    match state.control.lease(&request).await {
        Ok(reply) => {
            record_contact(state);
            let mut control_sync = state.sync.lock();
            control_sync.crashes.drain(..sent);
            let registered =
                reply.result.is_ok() && matches!(request.target_state, TargetState::Present(_));
            if registered != control_sync.registered {
                info!(event = "registration-changed", registered = registered, control = reply.control.as_str(); "the registration of the target at control changed");
            }
            control_sync.registered = registered;
            drop(control_sync);
            if let Err(refusal) = reply.result {
                handle_refusal(state, refusal);
            }
        }
        Err(error) => warn!(event = "heartbeat-failed"; "the heartbeat to control failed: {error}"),
    }
}

fn lease_request(state: &State, target_state: TargetState) -> lease::Request {
    let revision = state.catalog.lock().revision;
    let membership = state.targets.lock().view.version().cloned();
    let mut control_sync = state.sync.lock();
    control_sync.crashes.truncate(CRASHES_MAX);
    lease::Request {
        instance: state.identity.instance.clone(),
        node: state.identity.session,
        target_state,
        applied: AppliedVersions {
            revision,
            membership,
        },
        crashes: control_sync.crashes.clone(),
    }
}

fn target_state(state: &State) -> TargetState {
    let now = state.now();
    let mut local = state.local.lock();
    let is_absent = local
        .server
        .as_ref()
        .is_some_and(|server| now.since(server.last_announcement) > ABSENCE_TIMEOUT);
    if is_absent {
        return TargetState::Absent;
    }
    match local.announcement(&state.identity, now) {
        Some(announcement) => TargetState::Present(announcement),
        None => TargetState::Absent,
    }
}

fn handle_refusal(state: &State, refusal: Refusal) {
    match refusal {
        Refusal::Superseded(known) | Refusal::Left(known) => {
            // The clock of an earlier node process of this instance was ahead of the current clock.
            state.local.lock().raise_incarnation(known);
            state.report_due.notify_one();
        }
        Refusal::Late(_) | Refusal::Reused(_) | Refusal::Conflict { .. } | Refusal::Unknown => {
            warn!(event = "announcement-refused"; "control refused the announcement of the target: {refusal}");
        }
    }
}

fn record_contact(state: &State) {
    let micros = state.now().0.max(1);
    state.last_contact.store(micros, Ordering::Relaxed);
}

/// Pulls changes from control until `stop`.
pub(crate) async fn feed(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        state.expire_interest();
        let request = feed_request(&state);
        let reply = tokio::select! {
            reply = state.control.feed(&request) => reply,
            () = state.interest_added.notified() => continue,
            () = listen::stopped(&mut stop) => return,
        };
        match reply {
            Ok(reply) => {
                record_contact(&state);
                apply_reply(&state, &request, reply);
            }
            Err(error) => {
                warn!(event = "feed-failed"; "pulling changes from control failed: {error}");
                let interval =
                    Duration::from_millis(rand::random_range(1..=FEED_RETRY_INTERVAL_MAX_MS));
                tokio::select! {
                    () = time::sleep(interval) => {}
                    () = listen::stopped(&mut stop) => return,
                }
            }
        }
    }
}

fn feed_request(state: &State) -> feed::Request {
    let revision = state.catalog.lock().revision;
    let local_service = state
        .local
        .lock()
        .server
        .as_ref()
        .map(|server| server.service.clone());
    let (interest, new_services, membership) = {
        let mut targets = state.targets.lock();
        let mut interest: Vec<service::Name> = targets
            .interest
            .iter()
            .map(|interest| interest.service.clone())
            .collect();
        if let Some(local_service) = local_service
            && let Err(index) = interest.binary_search(&local_service)
        {
            interest.insert(index, local_service);
        }
        targets.retain_services(&interest);
        let followed = &targets.followed;
        let is_new = |service: &&service::Name| followed.binary_search(service).is_err();
        let new_services: Vec<service::Name> = interest.iter().filter(is_new).cloned().collect();
        let version = targets.view.version().cloned();
        (
            interest,
            new_services,
            version.filter(|_| !targets.snapshot_needed),
        )
    };
    let crashes_version = state.sync.lock().crashes_version;
    feed::Request {
        instance: state.identity.instance.clone(),
        revision,
        membership,
        interest,
        new_services,
        crashes_version,
        wait_ms: FEED_WAIT_TIMEOUT.as_millis() as u64,
    }
}

fn apply_reply(state: &Arc<State>, request: &feed::Request, reply: feed::Reply) {
    let configured = reply
        .update
        .is_some_and(|update| apply_update(state, update));
    let targets_changed = match &reply.membership {
        Some(difference) => apply_targets(state, request, difference),
        None => false,
    };
    if configured || targets_changed {
        routes::apply_to_routing(state);
        state.targets_changed.notify_waiters();
    }
    apply_crashes(state, &reply.control, reply.crashes, reply.crashes_version);
    let staleness = reply.behind_ms.map(Duration::from_millis);
    state.sync.lock().control_staleness = staleness;
    if staleness.is_some_and(|staleness| staleness > CONTROL_STALENESS_MAX) {
        state.control.switch_from_lagging(&reply.control);
    }
}

/// Applies a change of the configuration; returns whether the revision changed.
fn apply_update(state: &Arc<State>, update: Update) -> bool {
    let view = {
        let mut catalog = state.catalog.lock();
        let before = catalog.revision;
        if let Err(refusal) = catalog.apply(update) {
            // The next pull states the revision in force here, and control answers with the missing changes.
            warn!(event = "configuration-not-applied"; "the configuration update was not applied: {refusal}");
            return false;
        }
        if catalog.revision == before {
            return false;
        }
        catalog.clone()
    };
    info!(event = "configuration-applied", revision = view.revision.0; "a new configuration was applied");
    let drained = view.is_drained(&state.identity.instance);
    let now = state.now();
    {
        let mut local = state.local.lock();
        local.drained = drained;
        local.update_draining(now);
    }
    local::configure(state);
    state.report_due.notify_one();
    for release in &view.releases {
        if let Some(spec) = view.service(&release.service) {
            state.with_service_state(spec, |service| service.containment.release(release.digest));
        }
    }
    cache::store(state, view);
    true
}

/// Applies a change of the targets; returns whether routing must be updated and waiting requests woken.
fn apply_targets(state: &State, request: &feed::Request, difference: &Difference) -> bool {
    let now = state.now();
    let mut targets = state.targets.lock();
    match targets.view.apply(difference, now) {
        Ok(changed) => {
            targets.snapshot_needed = false;
            targets.mark_synced(&request.interest);
            // The first answer for a service wakes waiting requests even if the service has no targets.
            changed || request.membership.is_none() || !request.new_services.is_empty()
        }
        Err(refusal) => {
            warn!(event = "targets-not-applied"; "the update of the targets was not applied: {refusal}");
            targets.snapshot_needed = true;
            false
        }
    }
}

impl Targets {
    fn mark_synced(&mut self, requested: &[service::Name]) {
        for interest in &mut self.interest {
            interest.synced |= requested.binary_search(&interest.service).is_ok();
        }
        self.followed = requested.to_vec();
    }

    /// Removes the targets of services that are no longer of interest.
    fn retain_services(&mut self, interest: &[service::Name]) {
        let is_removed = |service: &service::Name| interest.binary_search(service).is_err();
        if self.followed.iter().any(is_removed) {
            self.followed.retain(|service| !is_removed(service));
            self.view.retain_services(interest);
        }
    }
}

fn apply_crashes(state: &State, source: &instance::Name, crashes: Vec<Crash>, version: u64) {
    let now = state.now();
    for crash in crashes {
        if let Some(spec) = state.service(&crash.service) {
            state.with_service_state(&spec, |service| {
                service.containment.merge(crash.record, now);
            });
        }
    }
    let mut control_sync = state.sync.lock();
    // Versions of two control processes are not comparable; after a switch all crash records are received again.
    let same = control_sync.crashes_source.as_ref() == Some(source);
    control_sync.crashes_version = if same { version } else { 0 };
    control_sync.crashes_source = Some(source.clone());
}

/// Incarnation of the local backend server, for the state dump.
pub(crate) fn incarnation(state: &State) -> Option<Incarnation> {
    let local = state.local.lock();
    local
        .server
        .as_ref()
        .map(|server| server.incarnation.incarnation)
}
