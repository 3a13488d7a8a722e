//! The leases that are renewed at this control process, with the time of the last renewal.

use shallotrill_model::instance;
use shallotrill_model::time::Instant;

/// A lease that is renewed at this process.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) instance: instance::Name,
    pub(crate) renewed: Instant,
    /// Whether another process owns the lease according to a received row. The entry is kept
    /// until it is overdue or renewed, because that row may be older than the last renewal here.
    pub(crate) moved: bool,
}

/// Leases sorted by instance.
///
/// They are stored separately from the rows, because each heartbeat changes a lease and
/// only few rows are renewed at any one control process.
#[derive(Debug, Default)]
pub(crate) struct Table {
    leases: Vec<Lease>,
}

impl Table {
    pub(crate) fn get(&self, instance: &instance::Name) -> Option<Instant> {
        let index = self.position(instance).ok()?;
        Some(self.leases[index].renewed)
    }

    pub(crate) fn set(&mut self, instance: &instance::Name, renewed: Instant) {
        match self.position(instance) {
            Ok(index) => {
                self.leases[index].renewed = renewed;
                self.leases[index].moved = false;
            }
            Err(index) => {
                let instance = instance.clone();
                let lease = Lease {
                    instance,
                    renewed,
                    moved: false,
                };
                self.leases.insert(index, lease);
            }
        }
    }

    pub(crate) fn remove(&mut self, instance: &instance::Name) {
        if let Ok(index) = self.position(instance) {
            self.leases.remove(index);
        }
    }

    /// Removes many leases in one pass; `instances` is sorted.
    pub(crate) fn remove_all(&mut self, instances: &[instance::Name]) {
        let retained = |lease: &Lease| instances.binary_search(&lease.instance).is_err();
        self.leases.retain(retained);
    }

    pub(crate) fn mark_moved(&mut self, instance: &instance::Name) {
        if let Ok(index) = self.position(instance) {
            self.leases[index].moved = true;
        }
    }

    /// Removes the moved leases for whose last renewal here `overdue` returns true.
    pub(crate) fn drop_moved(&mut self, overdue: impl Fn(Instant) -> bool) {
        self.leases
            .retain(|lease| !(lease.moved && overdue(lease.renewed)));
    }

    /// The leases that did not move to another process.
    pub(crate) fn held(&self) -> impl Iterator<Item = &Lease> {
        self.leases.iter().filter(|lease| !lease.moved)
    }

    fn position(&self, instance: &instance::Name) -> Result<usize, usize> {
        self.leases
            .binary_search_by(|lease| lease.instance.cmp(instance))
    }
}
