//! Request classes: whether a request may be executed more than once, with the rules that assign the classes.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Executing the request more than once has the same effect as executing it once.
    Idempotent,
    /// The request is executed at most once.
    NonIdempotent,
}

/// Assigns a class to the requests of a service that match a method and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// HTTP method in upper case, or `*` for any method.
    pub method: Arc<str>,
    /// Path prefix to match.
    pub path: Arc<str>,
    /// Class of the matching requests.
    pub class: Class,
    /// Requests of higher priority are dequeued first.
    pub priority: u8,
    /// Whether identical idempotent requests in flight are coalesced into one execution with a shared response.
    pub join: bool,
}

impl Rule {
    /// Whether the rule matches a request with this method and path.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = &*self.method == "*" || &*self.method == method;
        method_matches && path.starts_with(&*self.path)
    }
}

/// Finds the rule for a request: the longest path prefix wins, and a named method wins over `*`.
///
/// A request without a matching rule is treated as [`Class::NonIdempotent`], because a request
/// must not be executed twice unless it was explicitly classified as idempotent.
pub fn find<'rules>(rules: &'rules [Rule], method: &str, path: &str) -> Option<&'rules Rule> {
    rules
        .iter()
        .filter(|rule| rule.matches(method, path))
        .max_by_key(|rule| (rule.path.len(), &*rule.method != "*"))
}
