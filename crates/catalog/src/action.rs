//! What an operator can ask for.

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
    /// Changes fields of a service.
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
    /// Adds a rule, or replaces the one of the same method and path.
    Classify {
        /// Service that the rule belongs to.
        name: service::Name,
        /// The rule.
        rule: class::Rule,
    },
    /// Drains an instance.
    Drain {
        /// Instance to be drained.
        instance: instance::Name,
    },
    /// Ends the drain of an instance.
    Undrain {
        /// Instance to take work again.
        instance: instance::Name,
    },
    /// Lists a control process, or changes how it is listed.
    AddMember(member::Member),
    /// Lists another control process in the place of one.
    ReplaceMember {
        /// Process that is gone.
        old: member::Id,
        /// Process in its place.
        new: member::Member,
    },
    /// Forms the claim group of a region.
    FormGroup {
        /// Region whose claims the group keeps.
        region: region::Name,
        /// Members and their disks.
        members: Vec<(member::Id, member::Disk)>,
    },
    /// Begins an epoch in which a member copies in the place of one whose disk is lost.
    ReplaceSeat {
        /// Region of the group.
        region: region::Name,
        /// Present epoch.
        epoch: u64,
        /// Member whose disk is lost.
        old: member::Id,
        /// Member in its place; may be the same.
        new: member::Id,
        /// Disk of that member.
        disk: member::Disk,
    },
    /// Begins an epoch in which a member that has copied everything votes.
    AdmitSeat {
        /// Region of the group.
        region: region::Name,
        /// Present epoch.
        epoch: u64,
        /// Member that has copied.
        member: member::Id,
    },
    /// Releases a request from quarantine.
    Release {
        /// Service that the request was for.
        service: service::Name,
        /// Digest of the request.
        digest: Digest,
    },
}
