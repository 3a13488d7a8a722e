//! Typed statements and their canonical form.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::key::Key;
use crate::setting::Setting;
use crate::token::Quote;
use shallotrill_model::class::Class;
use shallotrill_model::command;
use shallotrill_model::digest::Digest;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::request;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// What an operator asks for. Prints in the canonical form, which parses to the same statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Statement {
    /// Shows something.
    Show(Show),
    /// Asks where a revision is not in force yet.
    InForce(Revision),
    /// Creates a service.
    Create {
        /// The service.
        service: service::Name,
        /// Its values where they differ from the defaults.
        settings: Vec<Setting>,
    },
    /// Changes a service.
    Change {
        /// The service.
        service: service::Name,
        /// The revision that the change builds on.
        at: Revision,
        /// The values that change.
        settings: Vec<Setting>,
    },
    /// Deletes a service.
    Delete {
        /// The service.
        service: service::Name,
        /// The revision that the change builds on.
        at: Revision,
    },
    /// Assigns a class to the requests with a method and a path prefix.
    Classify {
        /// The service.
        service: service::Name,
        /// The revision that the change builds on.
        at: Revision,
        /// Method in upper case, or `*`.
        method: Arc<str>,
        /// Prefix of the path.
        path: Arc<str>,
        /// The class.
        class: Class,
        /// The priority; zero when none is stated.
        priority: u8,
        /// Whether copies in flight may share one answer.
        join: bool,
    },
    /// Takes new work away from an instance.
    Drain(instance::Name),
    /// Gives new work to an instance again.
    Undrain(instance::Name),
    /// Replaces a control process.
    Replace {
        /// Id of the member that leaves.
        old: u64,
        /// Id of the member that takes its place.
        new: u64,
    },
    /// Settles a request whose outcome is unknown.
    Settle {
        /// The partner.
        partner: partner::Name,
        /// The service.
        service: service::Name,
        /// The idempotency key.
        key: Key,
        /// What the operator found out.
        settlement: Settlement,
    },
    /// Ends the quarantine of a request.
    Release {
        /// The service.
        service: service::Name,
        /// Digest of the request.
        digest: Digest,
    },
    /// Asks how a recent request was routed.
    Explain(request::Id),
}

/// What can be shown.
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
    /// The last changes, as many as stated.
    History(Option<u32>),
    /// Requests whose outcome is unknown.
    Unknown,
    /// The outcome of a command.
    Command(command::Id),
    /// Nodes that lag behind the configuration.
    Lag,
}

/// How a request of unknown outcome is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settlement {
    /// It ran.
    Done,
    /// It did not run.
    NotRun,
}

impl Statement {
    /// Whether the statement changes something and so needs a command id.
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
                join(f, settings)
            }
            Self::Change {
                service,
                at,
                settings,
            } => {
                write!(f, "change service {service} at {at} set ")?;
                join(f, settings)
            }
            Self::Delete { service, at } => write!(f, "delete service {service} at {at}"),
            Self::Classify { .. } => self.classify(f),
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
    fn classify(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Classify {
            service,
            at,
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
        let (method, path) = (Quote(method), Quote(path));
        write!(f, "classify {service} at {at} {method} {path} as {class}")?;
        if *priority > 0 {
            write!(f, " priority {priority}")?;
        }
        if *join {
            write!(f, " join")?;
        }
        Ok(())
    }
}

fn join(f: &mut fmt::Formatter<'_>, settings: &[Setting]) -> fmt::Result {
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
