//! Updates the routing table with the targets that this node knows.

use std::sync::Arc;

use crate::state::State;
use shallotrill_catalog::view::View;
use shallotrill_membership::announcement::AnnouncementVersion;
use shallotrill_membership::owner::Owner;
use shallotrill_membership::row::Presence;
use shallotrill_membership::row::Row;
use shallotrill_membership::row::Stamp;
use shallotrill_model::instance;
use shallotrill_model::target;
use shallotrill_model::target::Target;

/// A target as routing was last given it.
#[derive(Clone, Debug)]
pub(crate) struct AppliedTarget {
    row: Arc<Row>,
    drained: bool,
}

/// Applies to routing the differences between the known targets and those it was last given.
pub(crate) fn apply_to_routing(state: &State) {
    let now = state.now();
    let local = local_row(state);
    let mut rows: Vec<Arc<Row>> = state.targets.lock().view.rows().to_vec();
    if let Some(local) = local {
        let name = &local.target.instance;
        match rows.binary_search_by(|row| row.target.instance.cmp(name)) {
            Ok(index) if rows[index].target.incarnation < local.target.incarnation => {
                rows[index] = local;
            }
            Ok(_) => {}
            Err(index) => rows.insert(index, local),
        }
    }
    let wanted: Vec<AppliedTarget> = {
        let catalog = state.catalog.lock();
        let applied = |row: Arc<Row>| AppliedTarget {
            drained: catalog.is_drained(&row.target.instance) || !serves(&catalog, &row.target),
            row,
        };
        rows.into_iter().map(applied).collect()
    };
    let (changed, removed) = {
        let mut targets = state.targets.lock();
        let (changed, removed) = compare(&targets.applied, &wanted);
        targets.applied = wanted;
        (changed, removed)
    };
    let mut routing = state.routing.lock();
    for instance in &removed {
        routing.remove(instance);
    }
    routing.apply(&changed, now);
}

/// Whether the service of a target is served in the region of the target.
fn serves(catalog: &View, target: &Target) -> bool {
    let spec = catalog.service(&target.service);
    spec.is_none_or(|spec| spec.regions.is_empty() || spec.regions.contains(&target.region))
}

/// Row of the local target, which this node knows without control.
fn local_row(state: &State) -> Option<Arc<Row>> {
    let now = state.now();
    let target = state.local.lock().target(&state.identity, now)?;
    let stamp = Stamp {
        incarnation: target.incarnation,
        departed: false,
        session: AnnouncementVersion::default(),
        sequence: 0,
        owner: Owner {
            name: target.instance.clone(),
            start: state.identity.session,
        },
    };
    Some(Arc::new(Row {
        target,
        stamp,
        presence: Presence::Live,
    }))
}

/// Compares two vectors sorted by instance; returns the targets to apply and the instances to remove.
fn compare(
    before: &[AppliedTarget],
    after: &[AppliedTarget],
) -> (Vec<Target>, Vec<instance::Name>) {
    let mut changed = Vec::new();
    let mut removed = Vec::new();
    let mut old = before.iter().peekable();
    for new in after {
        let name = &new.row.target.instance;
        while let Some(dropped) = old.next_if(|old| old.row.target.instance < *name) {
            removed.push(dropped.row.target.instance.clone());
        }
        let known = old.next_if(|old| old.row.target.instance == *name);
        let same =
            |old: &AppliedTarget| Arc::ptr_eq(&old.row, &new.row) && old.drained == new.drained;
        if !known.is_some_and(same) {
            changed.push(target(new));
        }
    }
    removed.extend(old.map(|dropped| dropped.row.target.instance.clone()));
    (changed, removed)
}

fn target(applied: &AppliedTarget) -> Target {
    let mut target = applied.row.target.clone();
    if applied.drained {
        target.state = target::State::Draining;
    }
    target
}
