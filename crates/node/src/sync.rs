//! What this node tells control and learns from it.
//!
//! The heartbeat renews the lease of the target and reports crashes. The feed
//! brings changes of the configuration, of the targets of the services that
//! are called here, and of crash facts. Both go on as long as the process runs;
//! without an answer the node keeps what it knows and shows its age.

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
use shallotrill_control_client::lease::Crash;
use shallotrill_control_client::lease::Held;
use shallotrill_control_client::lease::Standing;
use shallotrill_membership::change::Refusal;
use shallotrill_membership::difference::Difference;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_wire::listen;

/// Interval of heartbeats, a third of the lease.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Longest time that control holds a pull back when nothing changes.
const FEED_WAIT: Duration = Duration::from_secs(10);

/// Longest pause after a failed pull; the pause is random, so that nodes do not come back all at once.
const FEED_PAUSE_MAX_MS: u64 = 500;

/// A control process that is further behind than this is left for the next one, since it
/// would feed a configuration that was replaced: a third of the 15 s in which a change is in force.
const BEHIND_MAX: Duration = Duration::from_secs(5);

/// A backend server that is silent for longer than this is no longer announced.
const SILENT_MAX: Duration = Duration::from_secs(6);

/// Crash facts that are kept for control at most.
const CRASHES_MAX: usize = 1_000;

/// What control does not have yet, and where the feed stands.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    pub(crate) crashes: Vec<Crash>,
    /// Whether control has accepted the announcement.
    pub(crate) registered: bool,
    /// Version of the crash facts, and the control process that counts it.
    facts: u64,
    facts_source: Option<instance::Name>,
    /// How far the control process was behind when it last answered.
    pub(crate) control_behind: Option<Duration>,
}

/// Sends heartbeats until `stop`, then says that the target left.
pub(crate) async fn heartbeat(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        local::watch_silence(&state);
        beat(&state).await;
        tokio::select! {
            () = time::sleep(HEARTBEAT) => {}
            () = state.changed.notified() => {}
            () = listen::stopped(&mut stop) => break,
        }
    }
    let life = state.local.lock().server.as_ref().map(|server| server.life);
    if let Some(life) = life {
        let ask = ask(&state, Standing::Left(life.incarnation));
        if let Err(error) = state.control.lease(&ask).await {
            warn!(event = "leave-not-told"; "{error}");
        }
    }
}

async fn beat(state: &Arc<State>) {
    let ask = ask(state, standing(state));
    let sent = ask.crashes.len();
    match state.control.lease(&ask).await {
        Ok(reply) => {
            note_contact(state);
            let mut pending = state.sync.lock();
            pending.crashes.drain(..sent);
            let registered = reply.result.is_ok() && matches!(ask.standing, Standing::Present(_));
            if registered != pending.registered {
                info!(event = "registration-changed", registered = registered, control = reply.control.as_str(); "");
            }
            pending.registered = registered;
            drop(pending);
            if let Err(refusal) = reply.result {
                refused(state, refusal);
            }
        }
        Err(error) => warn!(event = "heartbeat-failed"; "{error}"),
    }
}

fn ask(state: &State, standing: Standing) -> lease::Ask {
    let revision = state.catalog.lock().revision;
    let membership = state.targets.lock().view.version().cloned();
    let mut pending = state.sync.lock();
    pending.crashes.truncate(CRASHES_MAX);
    lease::Ask {
        instance: state.identity.instance.clone(),
        node: state.identity.session,
        standing,
        held: Held {
            revision,
            membership,
        },
        crashes: pending.crashes.clone(),
    }
}

fn standing(state: &State) -> Standing {
    let now = state.now();
    let mut local = state.local.lock();
    let silent = local
        .server
        .as_ref()
        .is_some_and(|server| now.since(server.heard) > SILENT_MAX);
    if silent {
        return Standing::Absent;
    }
    match local.announcement(&state.identity, now) {
        Some(announcement) => Standing::Present(announcement),
        None => Standing::Absent,
    }
}

fn refused(state: &State, refusal: Refusal) {
    match refusal {
        Refusal::Superseded(known) | Refusal::Left(known) => {
            // An earlier node of this instance had a clock ahead of ours.
            state.local.lock().exceed(known);
            state.changed.notify_one();
        }
        Refusal::Late(_) | Refusal::Reused(_) | Refusal::Conflict { .. } | Refusal::Unknown => {
            warn!(event = "announcement-refused"; "{refusal}");
        }
    }
}

fn note_contact(state: &State) {
    let micros = state.now().0.max(1);
    state.contact.store(micros, Ordering::Relaxed);
}

/// Pulls changes until `stop`.
pub(crate) async fn feed(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        state.forget_unused();
        let ask = pull(&state);
        let reply = tokio::select! {
            reply = state.control.feed(&ask) => reply,
            () = state.interested.notified() => continue,
            () = listen::stopped(&mut stop) => return,
        };
        match reply {
            Ok(reply) => {
                note_contact(&state);
                apply(&state, &ask, reply);
            }
            Err(error) => {
                warn!(event = "feed-failed"; "{error}");
                let pause = Duration::from_millis(rand::random_range(1..=FEED_PAUSE_MAX_MS));
                tokio::select! {
                    () = time::sleep(pause) => {}
                    () = listen::stopped(&mut stop) => return,
                }
            }
        }
    }
}

fn pull(state: &State) -> feed::Ask {
    let revision = state.catalog.lock().revision;
    let own = state
        .local
        .lock()
        .server
        .as_ref()
        .map(|server| server.service.clone());
    let (interest, fresh, membership) = {
        let mut targets = state.targets.lock();
        let mut interest: Vec<service::Name> = targets
            .interest
            .iter()
            .map(|interest| interest.service.clone())
            .collect();
        if let Some(own) = own
            && let Err(index) = interest.binary_search(&own)
        {
            interest.insert(index, own);
        }
        targets.forget(&interest);
        let followed = &targets.followed;
        let fresh = |service: &&service::Name| followed.binary_search(service).is_err();
        let fresh: Vec<service::Name> = interest.iter().filter(fresh).cloned().collect();
        let version = targets.view.version().cloned();
        (interest, fresh, version.filter(|_| !targets.misfit))
    };
    let facts = state.sync.lock().facts;
    feed::Ask {
        instance: state.identity.instance.clone(),
        revision,
        membership,
        interest,
        fresh,
        facts,
        wait_ms: FEED_WAIT.as_millis() as u64,
    }
}

fn apply(state: &Arc<State>, ask: &feed::Ask, reply: feed::Reply) {
    let configured = reply
        .update
        .is_some_and(|update| apply_update(state, update));
    let moved = match &reply.membership {
        Some(difference) => apply_targets(state, ask, difference),
        None => false,
    };
    if configured || moved {
        routes::tell(state);
        state.arrived.notify_waiters();
    }
    apply_facts(state, &reply.control, reply.facts, reply.facts_version);
    let behind = reply.behind_ms.map(Duration::from_millis);
    state.sync.lock().control_behind = behind;
    if behind.is_some_and(|behind| behind > BEHIND_MAX) {
        state.control.leave(&reply.control);
    }
}

/// Applies a change of the configuration; returns whether anything changed.
fn apply_update(state: &Arc<State>, update: Update) -> bool {
    let view = {
        let mut catalog = state.catalog.lock();
        let before = catalog.revision;
        if let Err(refusal) = catalog.apply(update) {
            // The next pull states the revision held, and control answers with what is missing.
            warn!(event = "configuration-not-applied"; "{refusal}");
            return false;
        }
        if catalog.revision == before {
            return false;
        }
        catalog.clone()
    };
    info!(event = "configuration-applied", revision = view.revision.0; "");
    let drained = view.is_drained(&state.identity.instance);
    let now = state.now();
    {
        let mut local = state.local.lock();
        local.drained = drained;
        local.update_draining(now);
    }
    local::configure(state);
    state.changed.notify_one();
    for release in &view.releases {
        if let Some(spec) = view.service(&release.service) {
            state.budget(spec, |budget| budget.containment.release(release.digest));
        }
    }
    cache::store(state, view);
    true
}

/// Applies a change of the targets; returns whether any target changed.
fn apply_targets(state: &State, ask: &feed::Ask, difference: &Difference) -> bool {
    let now = state.now();
    let mut targets = state.targets.lock();
    match targets.view.apply(difference, now) {
        Ok(changed) => {
            targets.misfit = false;
            targets.inform(&ask.interest);
            // A first answer without any target also wakes requests that wait.
            changed || ask.membership.is_none() || !ask.fresh.is_empty()
        }
        Err(refusal) => {
            warn!(event = "targets-not-applied"; "{refusal}");
            targets.misfit = true;
            false
        }
    }
}

impl Targets {
    fn inform(&mut self, asked: &[service::Name]) {
        for interest in &mut self.interest {
            interest.informed |= asked.binary_search(&interest.service).is_ok();
        }
        self.followed = asked.to_vec();
    }

    /// Drops what is known of services that are no longer of interest.
    fn forget(&mut self, interest: &[service::Name]) {
        let gone = |service: &service::Name| interest.binary_search(service).is_err();
        if self.followed.iter().any(gone) {
            self.followed.retain(|service| !gone(service));
            self.view.retain_services(interest);
        }
    }
}

fn apply_facts(state: &State, source: &instance::Name, facts: Vec<Crash>, version: u64) {
    let now = state.now();
    for crash in facts {
        if let Some(spec) = state.service(&crash.service) {
            state.budget(&spec, |budget| budget.containment.merge(crash.fact, now));
        }
    }
    let mut pending = state.sync.lock();
    // Versions of two control processes are not comparable; after a switch all facts come again.
    let same = pending.facts_source.as_ref() == Some(source);
    pending.facts = if same { version } else { 0 };
    pending.facts_source = Some(source.clone());
}

/// The life of the target that control should know, for the state dump.
pub(crate) fn incarnation(state: &State) -> Option<Incarnation> {
    let local = state.local.lock();
    local.server.as_ref().map(|server| server.life.incarnation)
}
