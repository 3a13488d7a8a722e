//! Request classes: which requests may repeat.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Running the request again does no harm.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
}

/// Assigns a class to the requests of a service that match a method and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// HTTP method in upper case, or `*` for any.
    pub method: Arc<str>,
    /// Prefix of the path.
    pub path: Arc<str>,
    /// The class of the requests that match.
    pub class: Class,
    /// Requests of higher priority leave the queue first.
    pub priority: u8,
    /// Whether copies in flight of one idempotent request may share one answer.
    pub join: bool,
}

impl Rule {
    /// Whether a request with this method and path matches.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = &*self.method == "*" || &*self.method == method;
        method_matches && path.starts_with(&*self.path)
    }
}

/// Finds the rule for a request: the longest path prefix wins, and a named method wins over `*`.
///
/// A request that no rule matches is [`Class::NonIdempotent`], because a class
/// that nobody stated must not lead to a second run.
pub fn find<'rules>(rules: &'rules [Rule], method: &str, path: &str) -> Option<&'rules Rule> {
    rules
        .iter()
        .filter(|rule| rule.matches(method, path))
        .max_by_key(|rule| (rule.path.len(), &*rule.method != "*"))
}
