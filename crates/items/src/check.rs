//! Validation of changes before their items are proposed.

use std::error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::change::Refusal;
use crate::item::Content;
use crate::item::Item;
use crate::item::Key;
use crate::item::Kind;
use crate::route::Route;
use crate::workspace::Digest;
use shallotrill_model::service;

/// Maximum timeout of a route, as documented in the operator API.
pub const TIMEOUT_MAX: Duration = Duration::from_mins(10);

/// Why an item is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValidationError {
    /// A route names a service that is not configured.
    UnknownService(service::Name),
    /// The timeout is zero or above [`TIMEOUT_MAX`].
    Timeout(Duration),
    /// The maximum number of attempts of a route is zero.
    NoAttempts,
    /// The path prefix of a route does not begin with a slash.
    InvalidPrefix,
    /// The host of a route is empty.
    EmptyHost,
    /// All shares of a route have weight zero, or there are none.
    NoWeight,
    /// The change contains two items of the same key and version with different content.
    DuplicateVersion,
    /// Another workspace holds a key of the workspace.
    SharedKey(Arc<str>),
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(name) => write!(f, "the service '{name}' is not configured"),
            Self::Timeout(timeout) => write!(
                f,
                "a timeout of {timeout:?} is outside 1 ms to {TIMEOUT_MAX:?}"
            ),
            Self::NoAttempts => f.write_str("the maximum number of attempts must be at least 1"),
            Self::InvalidPrefix => f.write_str("the prefix must begin with '/'"),
            Self::EmptyHost => f.write_str("the host must not be empty"),
            Self::NoWeight => f.write_str("at least one service must have a weight above 0"),
            Self::DuplicateVersion => {
                f.write_str("the change contains this version twice with different content")
            }
            Self::SharedKey(holder) => {
                write!(
                    f,
                    "apiKeys: the workspace '{holder}' holds one of these keys"
                )
            }
        }
    }
}

impl error::Error for ValidationError {}

/// Keys of the items, of the services that they name and of the holders of their keys: the keys whose current content
/// a change depends on.
pub fn required_keys(items: &[Item]) -> Vec<Key> {
    let mut keys: Vec<Key> = Vec::new();
    for item in items {
        keys.push(item.key.clone());
        if let Content::Workspace(workspace) = &item.content {
            keys.extend(workspace.keys.iter().map(Digest::holder_key));
        }
        let Content::Route(route) = &item.content else {
            continue;
        };
        let services = route.shares.iter().map(|share| service_key(&share.service));
        keys.extend(services);
    }
    keys.sort();
    keys.dedup();
    keys
}

fn service_key(name: &service::Name) -> Key {
    Key {
        kind: Kind::Service,
        name: name.as_str().into(),
    }
}

/// Validates the items of a change. `current` returns the item that exists for a key, if any.
///
/// # Errors
///
/// Returns [`Refusal::Invalid`] for the first item that is not valid.
pub fn check_change<'items>(
    items: &[Item],
    current: &dyn Fn(&Key) -> Option<&'items Item>,
) -> Result<(), Refusal> {
    for (index, item) in items.iter().enumerate() {
        let refuse = |problem| {
            let key = item.key.clone();
            Err(Refusal::Invalid { key, problem })
        };
        let same_key = items[..index].iter().filter(|other| other.key == item.key);
        if same_key
            .clone()
            .any(|other| other.version == item.version && other != item)
        {
            return refuse(ValidationError::DuplicateVersion);
        }
        let Content::Route(route) = &item.content else {
            continue;
        };
        if let Err(problem) = check_route(route) {
            return refuse(problem);
        }
        for share in &route.shares {
            let key = service_key(&share.service);
            let in_change = items.iter().find(|other| other.key == key);
            let found = in_change.or_else(|| current(&key));
            if found.is_none_or(|service| service.content == Content::Removed) {
                return refuse(ValidationError::UnknownService(share.service.clone()));
            }
        }
    }
    Ok(())
}

fn check_route(route: &Route) -> Result<(), ValidationError> {
    if route.host.is_empty() {
        return Err(ValidationError::EmptyHost);
    }
    if !route.prefix.starts_with('/') {
        return Err(ValidationError::InvalidPrefix);
    }
    if route.timeout.is_zero() || route.timeout > TIMEOUT_MAX {
        return Err(ValidationError::Timeout(route.timeout));
    }
    if route.attempts == 0 {
        return Err(ValidationError::NoAttempts);
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return Err(ValidationError::NoWeight);
    }
    Ok(())
}
