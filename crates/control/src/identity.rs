//! Identity of this process, converted to the types of the other packages.

use shallotrill_catalog::member as listed;
use shallotrill_claim::epoch;
use shallotrill_consensus::disk;
use shallotrill_consensus::member;
use shallotrill_membership::owner::Owner;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::zone;

/// Identity of this process: location, member number, disk and incarnation.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: instance::Name,
    pub(crate) zone: zone::Name,
    pub(crate) region: region::Name,
    /// Member number and disk in the consensus group.
    pub(crate) peer: member::Peer,
    /// This incarnation as an owner of leases.
    pub(crate) owner: Owner,
}

impl Identity {
    /// Member number in claim groups and in the configuration, which use a 32-bit type.
    pub(crate) fn member(&self) -> epoch::Member {
        epoch::Member(member_number(self.peer.id))
    }

    pub(crate) fn claim_disk(&self) -> epoch::Disk {
        epoch::Disk(folded_disk(self.peer.disk))
    }

    pub(crate) fn listed(&self) -> listed::Member {
        listed::Member {
            id: listed::Id(member_number(self.peer.id)),
            disk: listed::Disk(folded_disk(self.peer.disk)),
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
        }
    }
}

/// Member number in 32 bits; the settings allow no larger one.
pub(crate) fn member_number(id: member::Id) -> u32 {
    u32::try_from(id.0).unwrap_or(u32::MAX)
}

/// Disk identity folded to 64 bits, which is enough to distinguish the disks of one member.
pub(crate) const fn folded_disk(disk: disk::Identity) -> u64 {
    (disk.0 ^ (disk.0 >> 64)) as u64
}
