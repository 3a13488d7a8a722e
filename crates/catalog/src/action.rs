//! Actions: the changes of the configuration that a command can make.

use serde::Deserialize;
use serde::Serialize;

use crate::member;
use crate::patch::Patch;
use shallotrill_model::class;
use shallotrill_model::digest::Digest;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::service;

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Creates a service.
    CreateService(service::Spec),
    /// Changes some fields of a service.
    ChangeService {
        /// Service to be changed.
        name: service::Name,
        /// New values.
        patch: Patch,
    },
    /// Deletes a service.
    DeleteService {
        /// Service to be deleted.
        name: service::Name,
    },
    /// Adds a classification rule, or replaces the one of the same method and path.
    Classify {
        /// Service that the rule belongs to.
        name: service::Name,
        /// The rule.
        rule: class::Rule,
    },
    /// Drains an instance: it gets no new requests.
    Drain {
        /// Instance to be drained.
        instance: instance::Name,
    },
    /// Ends the drain of an instance.
    Undrain {
        /// Instance that gets new requests again.
        instance: instance::Name,
    },
    /// Adds a control process to the list of members, or replaces its entry.
    AddMember(member::Member),
    /// Replaces a control process in the list of members by another one.
    ReplaceMember {
        /// Process that is removed.
        old: member::Id,
        /// Process that replaces it.
        new: member::Member,
    },
    /// Forms the claim group of a region in epoch 1.
    FormGroup {
        /// Region whose claims the group stores.
        region: region::Name,
        /// Members and their disks.
        members: Vec<(member::Id, member::Disk)>,
    },
    /// Begins an epoch in which a member whose disk was lost is replaced. The new member copies records and
    /// does not vote.
    ReplaceSeat {
        /// Region of the group.
        region: region::Name,
        /// Expected epoch of the group; the action is refused if the group is in another one.
        epoch: u64,
        /// Member whose disk is lost.
        old: member::Id,
        /// Member that replaces it; may be the same member with another disk.
        new: member::Id,
        /// Disk of the new member.
        disk: member::Disk,
    },
    /// Begins an epoch in which a member that has copied all records votes.
    AdmitSeat {
        /// Region of the group.
        region: region::Name,
        /// Expected epoch of the group; the action is refused if the group is in another one.
        epoch: u64,
        /// Member that has copied all records.
        member: member::Id,
    },
    /// Releases a request from quarantine.
    Release {
        /// Service that the request was sent to.
        service: service::Name,
        /// Digest of the request.
        digest: Digest,
    },
}
