//! Typed statements and their canonical text form.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::key::IdempotencyKey;
use crate::setting::Setting;
use crate::token::QuotedIfNeeded;
use shallotrill_model::class::Class;
use shallotrill_model::command;
use shallotrill_model::digest::Digest;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::request;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// A statement of an operator. It is displayed in the canonical form, which parses to the same statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Statement {
    /// Reads a part of the configuration or status.
    Show(Show),
    /// Shows on which nodes a revision is not in force yet.
    InForce(Revision),
    /// Creates a service.
    Create {
        /// The service.
        service: service::Name,
        /// Values that differ from the defaults.
        settings: Vec<Setting>,
    },
    /// Changes a service.
    Change {
        /// The service.
        service: service::Name,
        /// Revision that the change is based on.
        #[serde(rename = "at")]
        base: Revision,
        /// Values to be changed.
        settings: Vec<Setting>,
    },
    /// Deletes a service.
    Delete {
        /// The service.
        service: service::Name,
        /// Revision that the change is based on.
        #[serde(rename = "at")]
        base: Revision,
    },
    /// Assigns a class to the requests with a method and a path prefix.
    Classify {
        /// The service.
        service: service::Name,
        /// Revision that the change is based on.
        #[serde(rename = "at")]
        base: Revision,
        /// Method in upper case, or `*`.
        method: Arc<str>,
        /// Path prefix.
        path: Arc<str>,
        /// The class.
        class: Class,
        /// Priority; zero if the statement contains none.
        priority: u8,
        /// Whether concurrent duplicates of a request share one response.
        join: bool,
    },
    /// Stops new requests to an instance.
    Drain(instance::Name),
    /// Allows new requests to an instance again.
    Undrain(instance::Name),
    /// Replaces a control process.
    Replace {
        /// Identifier of the member that is removed.
        old: u64,
        /// Identifier of the member that replaces it.
        new: u64,
    },
    /// Records whether a request with unknown outcome ran.
    Settle {
        /// The partner.
        partner: partner::Name,
        /// The service.
        service: service::Name,
        /// The idempotency key.
        key: IdempotencyKey,
        /// The outcome that the operator determined.
        settlement: Settlement,
    },
    /// Ends the quarantine of a request.
    Release {
        /// The service.
        service: service::Name,
        /// Digest of the request.
        digest: Digest,
    },
    /// Shows how a recent request was routed.
    Explain(request::Id),
}

/// What a `show` statement shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Show {
    /// All services.
    Services,
    /// One service.
    Service(service::Name),
    /// Targets, of one service if stated.
    Targets(Option<service::Name>),
    /// All nodes.
    Nodes,
    /// All control processes.
    Members,
    /// Probe and retry budgets.
    Budgets,
    /// The latest accepted changes; the value limits their number.
    History(Option<u32>),
    /// Requests whose outcome is unknown.
    Unknown,
    /// The outcome of a command.
    Command(command::Id),
    /// Nodes whose revision is below the current one.
    Lag,
}

/// The outcome that an operator records for a request with unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settlement {
    /// The request ran.
    Done,
    /// The request did not run.
    NotRun,
}

impl Statement {
    /// Whether the statement changes state and therefore needs a command id.
    pub const fn is_change(&self) -> bool {
        match self {
            Self::Show(_) | Self::InForce(_) | Self::Explain(_) => false,
            Self::Create { .. }
            | Self::Change { .. }
            | Self::Delete { .. }
            | Self::Classify { .. }
            | Self::Drain(_)
            | Self::Undrain(_)
            | Self::Replace { .. }
            | Self::Settle { .. }
            | Self::Release { .. } => true,
        }
    }
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(show) => write!(f, "show {show}"),
            Self::InForce(revision) => write!(f, "in force {revision}"),
            Self::Create { service, settings } => {
                write!(f, "create service {service} with ")?;
                write_settings(f, settings)
            }
            Self::Change {
                service,
                base,
                settings,
            } => {
                write!(f, "change service {service} at {base} set ")?;
                write_settings(f, settings)
            }
            Self::Delete { service, base } => write!(f, "delete service {service} at {base}"),
            Self::Classify { .. } => self.write_classify(f),
            Self::Drain(instance) => write!(f, "drain {instance}"),
            Self::Undrain(instance) => write!(f, "undrain {instance}"),
            Self::Replace { old, new } => write!(f, "replace member {old} with {new}"),
            Self::Settle {
                partner,
                service,
                key,
                settlement,
            } => write!(f, "settle {partner} {service} {key} as {settlement}"),
            Self::Release { service, digest } => write!(f, "release {service} {digest}"),
            Self::Explain(request) => write!(f, "explain {request}"),
        }
    }
}

impl Statement {
    fn write_classify(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Classify {
            service,
            base,
            method,
            path,
            class,
            priority,
            join,
        } = self
        else {
            return Ok(());
        };
        let class = match class {
            Class::Idempotent => "idempotent",
            Class::NonIdempotent => "non-idempotent",
        };
        let (method, path) = (QuotedIfNeeded(method), QuotedIfNeeded(path));
        write!(f, "classify {service} at {base} {method} {path} as {class}")?;
        if *priority > 0 {
            write!(f, " priority {priority}")?;
        }
        if *join {
            write!(f, " join")?;
        }
        Ok(())
    }
}

fn write_settings(f: &mut fmt::Formatter<'_>, settings: &[Setting]) -> fmt::Result {
    for (index, setting) in settings.iter().enumerate() {
        if index > 0 {
            f.write_str(", ")?;
        }
        write!(f, "{setting}")?;
    }
    Ok(())
}

impl fmt::Display for Show {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Services => write!(f, "services"),
            Self::Service(service) => write!(f, "service {service}"),
            Self::Targets(None) => write!(f, "targets"),
            Self::Targets(Some(service)) => write!(f, "targets of {service}"),
            Self::Nodes => write!(f, "nodes"),
            Self::Members => write!(f, "members"),
            Self::Budgets => write!(f, "budgets"),
            Self::History(None) => write!(f, "history"),
            Self::History(Some(last)) => write!(f, "history last {last}"),
            Self::Unknown => write!(f, "unknown"),
            Self::Command(id) => write!(f, "command {id}"),
            Self::Lag => write!(f, "lag"),
        }
    }
}

impl fmt::Display for Settlement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
        })
    }
}
