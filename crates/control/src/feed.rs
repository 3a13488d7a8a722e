//! What nodes pull: changes of the configuration, the targets and the crash facts.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use crate::state::State;
use shallotrill_catalog::difference::Update;
use shallotrill_control_client::feed;
use shallotrill_membership::difference::Difference;
use shallotrill_model::revision::Revision;

/// Longest time that a pull is held back.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// Time between a change and the answers that tell of it.
///
/// Changes of a burst that come within it cost each node one answer. It is small against the
/// 15 s of a configuration change and the 3 s after which a leaving target gets no more work.
const GATHER: Duration = Duration::from_millis(50);

/// Further time for each service of interest, because a pull repeats their names.
///
/// With all 1,700 services of the target size a pull has 29 kB, and 0.87 changes a second would
/// cost more than the 23 kB a second of a node. The time is at most [`GATHER_MAX`].
const GATHER_SERVICE: Duration = Duration::from_millis(1);

/// Longest time between a change and the answers that tell of it.
const GATHER_MAX: Duration = Duration::from_secs(2);

/// Answers the pull of a node when there is something that it does not have, or when its wait is over.
pub(crate) async fn pull(state: Arc<State>, ask: feed::Request) -> feed::Reply {
    let wait = Duration::from_millis(ask.wait_ms).min(WAIT_MAX);
    let end = time::Instant::now() + wait;
    let mut changed = state.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let reply = answer(&state, &ask);
        if is_news(&ask, &reply) {
            state.metrics.fed(&reply);
            return reply;
        }
        if time::timeout_at(end, changed.changed()).await.is_err() {
            return answer(&state, &ask);
        }
        time::sleep_until(end.min(time::Instant::now() + gather(ask.interest.len()))).await;
    }
}

fn gather(interest: usize) -> Duration {
    let services = u32::try_from(interest).unwrap_or(u32::MAX);
    let further = GATHER_SERVICE.saturating_mul(services);
    (GATHER + further).min(GATHER_MAX)
}

fn answer(state: &State, ask: &feed::Request) -> feed::Reply {
    let now = state.now();
    let (membership, crashes, version) = {
        let members = state.members.lock();
        let membership = (!ask.interest.is_empty()).then(|| {
            members
                .table
                .difference_with(ask.membership.as_ref(), &ask.interest, &ask.new_services)
        });
        let (crashes, version) = members.crashes.since(ask.crashes_version, now);
        (membership, crashes, version)
    };
    feed::Reply {
        control: state.identity.instance.clone(),
        update: update(state, ask.revision),
        membership,
        crashes,
        crashes_version: version,
        behind_ms: state.behind().map(|behind| behind.as_millis() as u64),
    }
}

/// What changed since a revision. A node that is ahead of this process gets nothing from it.
fn update(state: &State, since: Revision) -> Option<Update> {
    let catalog = state.catalog.lock();
    if catalog.revision() <= since {
        return None;
    }
    Some(catalog.difference(since))
}

fn is_news(ask: &feed::Request, reply: &feed::Reply) -> bool {
    let moved = |difference: &Difference| {
        difference.is_snapshot() || !difference.rows.is_empty() || !difference.removed.is_empty()
    };
    reply.update.is_some()
        || !ask.new_services.is_empty()
        || reply.membership.as_ref().is_some_and(moved)
        || (!reply.crashes.is_empty() && reply.crashes_version != ask.crashes_version)
}
