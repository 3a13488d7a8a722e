//! Credit of the workspaces whose owner this process is, and replies to routers that request it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time;

use crate::state::ConsensusState;
use crate::state::State;
use shallotrill_feed::message::Registers;
use shallotrill_feed::message::Reply;
use shallotrill_items::item::Content;
use shallotrill_limits::allotment::Answer;
use shallotrill_limits::allotment::Ask;
use shallotrill_limits::allotment::Limit;
use shallotrill_limits::allotment::ledger::HEARD_PERIOD;
use shallotrill_limits::allotment::ledger::Ledger;
use shallotrill_model::time::Instant;
use shallotrill_model::workspace;
use shallotrill_process::log::Quota;
use shallotrill_process::metrics::count;
use shallotrill_wire::listen;

/// Interval at which the number of routers is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(300);

/// Log lines per second for requests that got less credit than they need.
const SHORT_LINES_PER_SECOND: u32 = 5;

/// Buckets of all workspaces with an allotment. They are kept by every registry process, so that each can become the
/// owner of any of them.
#[derive(Debug)]
pub struct Table {
    ledger: Ledger,
    /// Revision of the registers from which the limits were read.
    revision: u64,
    /// Whether this process could grant credit at the last observation.
    has_authority: bool,
    short_log_quota: Quota,
}

impl Table {
    /// Creates an empty table.
    pub fn new(now: Instant) -> Self {
        // Zero means no owner to routers; no other process has the same epoch.
        let epoch = rand::random::<u64>() >> 1 | 1;
        Self {
            ledger: Ledger::new(epoch, now),
            revision: 0,
            has_authority: false,
            short_log_quota: Quota::new(SHORT_LINES_PER_SECOND),
        }
    }

    /// Number of workspaces with an allotment.
    pub const fn len(&self) -> usize {
        self.ledger.len()
    }

    /// Whether no workspace has an allotment.
    pub const fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Highest recent number of routers that this process has heard from.
    pub fn routers(&self) -> u32 {
        self.ledger.routers()
    }

    /// Records the time of the last contact with a quorum of the voters.
    fn record_contact(&mut self, contact: Option<Instant>, now: Instant) {
        let had_authority = self.has_authority;
        if self.ledger.record_contact(contact, now) {
            info!(event = "allotments-begun"; "contact with a quorum is restored: the credit of all workspaces begins again");
        }
        self.has_authority = self.ledger.has_authority(now);
        if had_authority && !self.has_authority {
            warn!(event = "allotments-ended", workspaces = self.len(); "no contact with a quorum of the registry processes: no credit is granted until it is restored");
        }
    }

    /// Reads the limits again when the registers have changed.
    fn refresh(&mut self, consensus: &ConsensusState, now: Instant) {
        let revision = consensus.replica.revision();
        if self.revision == revision {
            return;
        }
        self.revision = revision;
        let limits = limits(consensus);
        if limits.len() != self.ledger.len() {
            info!(event = "allotments-changed", workspaces = limits.len(); "the number of workspaces with an allotment has changed");
        }
        if !limits.is_empty() || !self.ledger.is_empty() {
            self.ledger.set_limits(&limits, now);
        }
    }
}

/// Limits of the committed workspaces, sorted by name.
fn limits(consensus: &ConsensusState) -> Vec<(workspace::Name, Limit)> {
    let items = consensus.replica.committed();
    let limits = items.filter_map(|item| match &item.content {
        Content::Workspace(workspace) => {
            let name = workspace::Name::new(&item.key.name).ok()?;
            let allotment = workspace.allotment?;
            let limit = Limit {
                rate: allotment.rate,
                burst: allotment.burst,
            };
            Some((name, limit))
        }
        _ => None,
    });
    let mut limits: Vec<_> = limits.collect();
    limits.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
    limits
}

/// Grants credit to a router. A router without a grant asks the next owner.
pub(crate) fn reply(state: &State, router: SocketAddr, session: u64, asks: &[Ask]) -> Reply {
    let announced = state.announcements.lock().session(router);
    if announced.is_some_and(|announced| announced > session) {
        return Reply::Unable;
    }
    let now = state.now();
    let answers: Vec<Option<Answer>> = {
        let mut table = state.allotments.lock();
        let peers_alive = {
            let consensus = state.consensus.lock();
            table.refresh(&consensus, now);
            let mut others = consensus.roster.others(now);
            others.all(|(_, since_contact)| since_contact < HEARD_PERIOD)
        };
        if !table.ledger.has_authority(now) {
            return Reply::Unable;
        }
        let answers = asks.iter().map(|ask| {
            let answer = table.ledger.ask(router, ask, peers_alive, now);
            if let Some(answer) = answer
                && answer.granted < ask.waiting
                && table.short_log_quota.allows(now)
            {
                log_short(router, ask, &answer);
            }
            answer
        });
        answers.collect()
    };
    for (ask, answer) in asks.iter().zip(&answers) {
        let granted = answer.map_or(0, |answer| answer.granted);
        state.metrics.record_credit("granted", granted);
        let refused = ask.waiting.saturating_sub(granted);
        state.metrics.record_credit("refused", refused);
        state.metrics.record_credit("returned", ask.unused);
        state.metrics.record_credit("ahead", ask.ahead);
    }
    Reply::Credit(answers)
}

fn log_short(router: SocketAddr, ask: &Ask, answer: &Answer) {
    info!(
        event = "credit-short",
        workspace = ask.workspace.as_str(),
        router = router.to_string().as_str(),
        waiting = ask.waiting,
        granted = answer.granted,
        empty_ms = answer.empty_ms,
        substitute = ask.is_substitute;
        "workspace has used its allotment"
    );
}

/// Records the number of routers that another registry process has heard from.
pub(crate) fn record_report(state: &State, registers: &Registers, at: Instant) {
    let mut table = state.allotments.lock();
    let from = registers.member.address;
    table.ledger.record_report(from, registers.routers, at);
}

/// Observes at an interval how many routers this process hears from. A task of its own, because a delay by a disk or a
/// proposal would be taken for a suspension of the process.
pub(crate) async fn maintain(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(OBSERVATION_INTERVAL) => observe(&state),
            () = listen::stopped(&mut stop) => return,
        }
    }
}

/// Records how many routers this process hears from. Without allotments, nothing is done.
fn observe(state: &State) {
    let now = state.now();
    let is_empty = {
        let mut table = state.allotments.lock();
        let consensus = state.consensus.lock();
        table.refresh(&consensus, now);
        table.record_contact(consensus.roster.quorum_contact(now), now);
        state.metrics.allotments.set(count(table.len()));
        let has_authority = table.ledger.has_authority(now);
        state.metrics.authority.set(i64::from(has_authority));
        table.is_empty()
    };
    if is_empty {
        return;
    }
    let heard = {
        let announcements = state.announcements.lock();
        let ages = announcements.renewals(now).map(|(_, age)| age);
        ages.filter(|age: &Duration| *age < HEARD_PERIOD).count()
    };
    let routers = u32::try_from(heard).unwrap_or(u32::MAX);
    if state.allotments.lock().ledger.observe(routers, now) {
        warn!(event = "allotments-begun"; "the process was suspended: the credit of all workspaces begins again");
    }
}
