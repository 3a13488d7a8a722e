//! Who this process is, in the terms of each package.

use shallotrill_catalog::member as listed;
use shallotrill_claim::epoch;
use shallotrill_consensus::disk;
use shallotrill_consensus::member;
use shallotrill_membership::owner::Owner;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::zone;

/// Who this process is.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: instance::Name,
    pub(crate) zone: zone::Name,
    pub(crate) region: region::Name,
    /// Number and disk.
    pub(crate) peer: member::Peer,
    /// This life as an owner of leases.
    pub(crate) owner: Owner,
}

impl Identity {
    /// Number in claim groups and in the configuration, which use a shorter type.
    pub(crate) fn member(&self) -> epoch::Member {
        epoch::Member(short(self.peer.id))
    }

    pub(crate) fn claim_disk(&self) -> epoch::Disk {
        epoch::Disk(folded(self.peer.disk))
    }

    pub(crate) fn listed(&self) -> listed::Member {
        listed::Member {
            id: listed::Id(short(self.peer.id)),
            disk: listed::Disk(folded(self.peer.disk)),
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
        }
    }
}

/// A member's number; settings allow no larger one.
pub(crate) fn short(id: member::Id) -> u32 {
    u32::try_from(id.0).unwrap_or(u32::MAX)
}

/// A disk identity in 64 bits, which is enough to tell the disks of one member apart.
pub(crate) const fn folded(disk: disk::Identity) -> u64 {
    (disk.0 ^ (disk.0 >> 64)) as u64
}
