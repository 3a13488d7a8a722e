//! Checks of items before they are proposed.

use std::error;
use std::fmt;
use std::time::Duration;

use crate::change::Refusal;
use crate::item::Content;
use crate::item::Item;
use crate::item::Key;
use crate::item::Kind;
use crate::route::Route;
use shallotrill_model::service;

/// Longest timeout of a route, from the operator's contract.
pub const TIMEOUT_MAX: Duration = Duration::from_mins(10);

/// What is wrong with an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// A route names a service that is not configured.
    UnknownService(service::Name),
    /// The timeout is zero or above [`TIMEOUT_MAX`].
    Timeout(Duration),
    /// A route allows no attempt.
    NoAttempts,
    /// The prefix does not begin with a slash.
    Prefix,
    /// The host is empty.
    Host,
    /// No share of the route has a weight.
    NoWeight,
    /// Its key stands twice in one change, with the same version and different content.
    Twice,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(name) => write!(f, "the service '{name}' is not configured"),
            Self::Timeout(timeout) => write!(
                f,
                "a timeout of {timeout:?} is outside 1 ms to {TIMEOUT_MAX:?}"
            ),
            Self::NoAttempts => f.write_str("at least one attempt must be allowed"),
            Self::Prefix => f.write_str("the prefix must begin with '/'"),
            Self::Host => f.write_str("the host is empty"),
            Self::NoWeight => f.write_str("at least one service must have a weight"),
            Self::Twice => f.write_str("the change holds two contents of one version"),
        }
    }
}

impl error::Error for Problem {}

/// Keys whose present content a check of `items` needs.
pub fn needed(items: &[Item]) -> Vec<Key> {
    let mut keys: Vec<Key> = Vec::new();
    for item in items {
        keys.push(item.key.clone());
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

/// Checks a change; `current` gives the content that is in force for a key.
///
/// # Errors
///
/// Returns the first item that cannot be in force.
pub fn check<'held>(
    items: &[Item],
    current: &dyn Fn(&Key) -> Option<&'held Item>,
) -> Result<(), Refusal> {
    for (at, item) in items.iter().enumerate() {
        let refuse = |problem| {
            let key = item.key.clone();
            Err(Refusal::Invalid { key, problem })
        };
        let same = items[..at].iter().filter(|other| other.key == item.key);
        if same
            .clone()
            .any(|other| other.version == item.version && other != item)
        {
            return refuse(Problem::Twice);
        }
        let Content::Route(route) = &item.content else {
            continue;
        };
        if let Err(problem) = check_route(route) {
            return refuse(problem);
        }
        for share in &route.shares {
            let key = service_key(&share.service);
            let sent = items.iter().find(|other| other.key == key);
            let known = sent.or_else(|| current(&key));
            if known.is_none_or(|service| service.content == Content::Removed) {
                return refuse(Problem::UnknownService(share.service.clone()));
            }
        }
    }
    Ok(())
}

fn check_route(route: &Route) -> Result<(), Problem> {
    if route.host.is_empty() {
        return Err(Problem::Host);
    }
    if !route.prefix.starts_with('/') {
        return Err(Problem::Prefix);
    }
    if route.timeout.is_zero() || route.timeout > TIMEOUT_MAX {
        return Err(Problem::Timeout(route.timeout));
    }
    if route.attempts == 0 {
        return Err(Problem::NoAttempts);
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return Err(Problem::NoWeight);
    }
    Ok(())
}
