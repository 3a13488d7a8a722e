//! Feed for nodes: long-polling pulls of changes to the configuration, the targets and the crash records.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use crate::state::State;
use shallotrill_catalog::difference::Update;
use shallotrill_control_client::feed;
use shallotrill_membership::difference::Difference;
use shallotrill_model::revision::Revision;

/// Maximum time for which a pull without changes is held open.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// Delay after a change before waiting pulls are answered.
///
/// All changes of a burst within this time are sent to a node in one reply. The delay is small
/// compared with the 15 s for a configuration change and the 3 s after which a leaving target
/// receives no more requests.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Additional time for each service of interest, because a pull repeats their names.
///
/// At the target size of 1,700 services a pull has 29 kB, and replying to each of 0.87 changes per
/// second would exceed the budget of 23 kB/s per node. The sum is limited to [`BATCH_INTERVAL_MAX`].
const BATCH_INTERVAL_PER_SERVICE: Duration = Duration::from_millis(1);

/// Maximum of the delay, including the additional time for services.
const BATCH_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// Handles the pull of a node.
///
/// Replies at once when the node lacks changes. Otherwise it waits for a change, collects further
/// changes for the batch interval, and replies at the latest when the wait time ends.
pub(crate) async fn pull(state: Arc<State>, request: feed::Request) -> feed::Reply {
    let wait = Duration::from_millis(request.wait_ms).min(WAIT_MAX);
    let end = time::Instant::now() + wait;
    let mut changed = state.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let reply = build_reply(&state, &request);
        if has_changes(&request, &reply) {
            state.metrics.count_feed(&reply);
            return reply;
        }
        if time::timeout_at(end, changed.changed()).await.is_err() {
            return build_reply(&state, &request);
        }
        time::sleep_until(end.min(time::Instant::now() + batch_interval(request.interest.len())))
            .await;
    }
}

fn batch_interval(interest: usize) -> Duration {
    let services = u32::try_from(interest).unwrap_or(u32::MAX);
    let additional = BATCH_INTERVAL_PER_SERVICE.saturating_mul(services);
    (BATCH_INTERVAL + additional).min(BATCH_INTERVAL_MAX)
}

fn build_reply(state: &State, request: &feed::Request) -> feed::Reply {
    let now = state.now();
    let (membership, crashes, version) = {
        let members = state.members.lock();
        let membership = (!request.interest.is_empty()).then(|| {
            members.table.difference_with(
                request.membership.as_ref(),
                &request.interest,
                &request.new_services,
            )
        });
        let (crashes, version) = members.crashes.since(request.crashes_version, now);
        (membership, crashes, version)
    };
    feed::Reply {
        control: state.identity.instance.clone(),
        update: update(state, request.revision),
        membership,
        crashes,
        crashes_version: version,
        behind_ms: state.time_since_current().map(|age| age.as_millis() as u64),
    }
}

/// Configuration changes since a revision; `None` for a node that is up to date or ahead of this process.
fn update(state: &State, since: Revision) -> Option<Update> {
    let catalog = state.catalog.lock();
    if catalog.revision() <= since {
        return None;
    }
    Some(catalog.difference(since))
}

fn has_changes(request: &feed::Request, reply: &feed::Reply) -> bool {
    let is_changed = |difference: &Difference| {
        difference.is_snapshot() || !difference.rows.is_empty() || !difference.removed.is_empty()
    };
    reply.update.is_some()
        || !request.new_services.is_empty()
        || reply.membership.as_ref().is_some_and(is_changed)
        || (!reply.crashes.is_empty() && reply.crashes_version != request.crashes_version)
}
