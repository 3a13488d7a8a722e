//! Replies to commands, and the reasons why commands are refused.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Origin;
use crate::field::Invalid;
use crate::group;
use crate::member;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// The reply to a command. A resent command gets the same reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The change was accepted; the value is the revision that it made.
    Accepted(Revision),
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

/// Why a command is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A field has a value outside its range.
    Invalid(Invalid),
    /// The service changed after the revision that the command is based on.
    Conflict {
        /// Revision that the command is based on.
        base: Revision,
        /// The last change of the service.
        current: Origin,
    },
    /// The command names a revision that does not exist yet.
    Future {
        /// Revision that the command is based on.
        base: Revision,
        /// Current revision.
        current: Revision,
    },
    /// The command does not name the revision that it is based on.
    BaseMissing,
    /// A service of this name exists; contains its last change.
    Exists(Origin),
    /// The service does not exist; contains the change that deleted it if that is still retained.
    Missing(service::Name, Option<Origin>),
    /// A deleted service of this name has its claims in another region; contains that region.
    ClaimRegion(region::Name),
    /// The instance is drained already; contains the change that drained it.
    Drained(Origin),
    /// The instance is not drained.
    NotDrained(instance::Name),
    /// The control process is not listed.
    NoMember(member::Id),
    /// The control process is listed already.
    Listed(member::Id),
    /// The change of the claim group is refused.
    Group(group::Refusal),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(invalid) => invalid.fmt(f),
            Self::Conflict { base, current } => write!(
                f,
                "revision {base} is outdated: {} made revision {} at {}",
                current.operator, current.revision, current.at
            ),
            Self::Future { base, current } => {
                write!(f, "revision {base} is above the current revision {current}")
            }
            Self::BaseMissing => {
                f.write_str("the command does not name the revision that it is based on")
            }
            Self::Exists(origin) => {
                write!(
                    f,
                    "the service exists already, last changed in revision {}",
                    origin.revision
                )
            }
            Self::Missing(name, None) => write!(f, "service {name} does not exist"),
            Self::Missing(name, Some(origin)) => write!(
                f,
                "{} deleted service {name} in revision {}",
                origin.operator, origin.revision
            ),
            Self::ClaimRegion(region) => write!(
                f,
                "the claims of a deleted service of this name are in region {region}; its claim region cannot change"
            ),
            Self::Drained(origin) => {
                write!(f, "the instance is drained already, by {}", origin.operator)
            }
            Self::NotDrained(instance) => write!(f, "instance {instance} is not drained"),
            Self::NoMember(member) => write!(
                f,
                "control process {} is not in the list of members",
                member.0
            ),
            Self::Listed(member) => write!(
                f,
                "control process {} is in the list of members already",
                member.0
            ),
            Self::Group(refusal) => refusal.fmt(f),
        }
    }
}

impl error::Error for Refusal {}

impl From<Invalid> for Refusal {
    fn from(invalid: Invalid) -> Self {
        Self::Invalid(invalid)
    }
}

impl From<group::Refusal> for Refusal {
    fn from(refusal: group::Refusal) -> Self {
        Self::Group(refusal)
    }
}
