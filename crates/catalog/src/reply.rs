//! Replies to commands.

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

/// The reply to a command; a resent command gets the same one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The change is accepted and made this revision.
    Accepted(Revision),
    /// Nothing changed.
    Refused(Refusal),
}

/// Why a command is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A field has a value outside its range.
    Invalid(Invalid),
    /// The service changed after the revision that the command builds on.
    Conflict {
        /// Revision that the command builds on.
        base: Revision,
        /// The change that won.
        current: Origin,
    },
    /// The command names a revision that does not exist yet.
    Future {
        /// Revision that the command builds on.
        base: Revision,
        /// Present revision.
        current: Revision,
    },
    /// The command has to name the revision that it builds on.
    BaseMissing,
    /// The service exists.
    Exists(Origin),
    /// The service does not exist; holds its deletion if that is still known.
    Missing(service::Name, Option<Origin>),
    /// A service of this name has claims in another region, where they stay.
    ClaimRegion(region::Name),
    /// The instance is drained already.
    Drained(Origin),
    /// The instance is not drained.
    NotDrained(instance::Name),
    /// The control process is not listed.
    NoMember(member::Id),
    /// The control process is listed already.
    Listed(member::Id),
    /// The claim group cannot take the step.
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
                write!(f, "revision {base} is above the present one, {current}")
            }
            Self::BaseMissing => f.write_str("the command does not name a revision"),
            Self::Exists(origin) => {
                write!(f, "the service exists since revision {}", origin.revision)
            }
            Self::Missing(name, None) => write!(f, "service {name} does not exist"),
            Self::Missing(name, Some(origin)) => write!(
                f,
                "{} deleted service {name} in revision {}",
                origin.operator, origin.revision
            ),
            Self::ClaimRegion(region) => write!(f, "the claims of the service are in {region}"),
            Self::Drained(origin) => {
                write!(f, "{} drained the instance already", origin.operator)
            }
            Self::NotDrained(instance) => write!(f, "instance {instance} is not drained"),
            Self::NoMember(member) => write!(f, "member {} is not listed", member.0),
            Self::Listed(member) => write!(f, "member {} is listed already", member.0),
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
