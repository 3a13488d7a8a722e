//! Settings of a process, read from one TOML file and validated together.

use std::fs;
use std::path::Path;

use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::zone;

mod check;
pub mod control;
mod error;
pub mod node;
mod raw;

pub use self::error::Error;
pub use self::error::InvalidValue;
pub use self::error::Kind;

/// Validated settings of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: instance::Name,
    /// Availability zone of the instance.
    pub zone: zone::Name,
    /// Region of the availability zone.
    pub region: region::Name,
    /// Lowest level of log records that are written.
    pub log: log::LevelFilter,
    /// Role and its settings.
    pub role: Role,
}

/// Role of a process, with the settings of that role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A node, which runs on the same machine as a backend server.
    Node(node::Settings),
    /// A control process, which stores durable state on disk.
    Control(control::Settings),
}

impl Settings {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Read`] when the file cannot be read, and
    /// [`Error::Invalid`] with all invalid values when it is invalid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            file: path.to_owned(),
            source,
        })?;
        Self::parse(&text, path)
    }

    /// Validates the text of a file; `path` is only used in error messages.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] with all invalid values when the text is invalid.
    pub fn parse(text: &str, path: &Path) -> Result<Self, Error> {
        let invalid = |invalid_values| Error::Invalid {
            file: path.to_owned(),
            invalid_values,
        };
        let raw =
            toml::from_str(text).map_err(|error| invalid(vec![check::syntax(text, &error)]))?;
        let mut check = check::Check::new(text);
        let settings = build(raw, &mut check);
        settings.ok_or_else(|| invalid(check.finish()))
    }
}

/// Validates all parts before it fails, so that all invalid values are reported together.
fn build(raw: raw::File, check: &mut check::Check<'_>) -> Option<Settings> {
    let instance = check.name(
        "process.instance",
        &raw.process.instance,
        instance::Name::new,
    );
    let zone = check.name("process.zone", &raw.process.zone, zone::Name::new);
    let region = check.name("process.region", &raw.process.region, region::Name::new);
    let log = match raw.log.unwrap_or_default().level {
        Some(level) => check.level("log.level", &level),
        None => Some(log::LevelFilter::Info),
    };
    let role = match (raw.node, raw.control) {
        (Some(node), None) => node::build(&node, check).map(Role::Node),
        (None, Some(control)) => control::build(&control, check).map(Role::Control),
        (node, control) => {
            check.report_role_error(node.is_some() && control.is_some());
            None
        }
    };
    if check.failed() {
        return None;
    }
    Some(Settings {
        instance: instance?,
        zone: zone?,
        region: region?,
        log: log?,
        role: role?,
    })
}
