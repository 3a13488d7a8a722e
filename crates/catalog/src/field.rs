//! Validation of the fields of commands.

use std::error;
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::class;
use shallotrill_model::service;

/// Longest path prefix in bytes.
pub const PATH_MAX: usize = 1_024;

/// Longest method in bytes.
pub const METHOD_MAX: usize = 16;

/// Maximum number of rules of a service.
pub const RULES_MAX: usize = 100;

/// Maximum number of regions of a service.
pub const REGIONS_MAX: usize = 64;

/// Longest name of an operator in bytes.
pub const OPERATOR_MAX: usize = 64;

/// A value outside the allowed range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Invalid {
    /// Name of the field.
    pub field: Arc<str>,
    /// The refused value.
    pub value: Arc<str>,
    /// The allowed values.
    pub allowed: Arc<str>,
}

impl Invalid {
    fn new(field: &str, value: impl fmt::Display, allowed: impl Into<Arc<str>>) -> Self {
        Self {
            field: Arc::from(field),
            value: Arc::from(value.to_string()),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            value,
            allowed,
        } = self;
        write!(f, "{field} is {value}, allowed is {allowed}")
    }
}

impl error::Error for Invalid {}

/// Checks every field of a service.
///
/// # Errors
///
/// Returns the first field that has a value outside its range.
pub fn check_service(spec: &service::Spec) -> Result<(), Invalid> {
    let numbers = [
        ("slots", spec.slots, 1..=10_000),
        ("connections", spec.connections, 1..=10_000),
        ("deadline_ms", spec.deadline_ms, 1..=600_000),
        ("queue", spec.queue, 0..=100_000),
        ("probe_cost_us", spec.probe_cost_us, 1..=60_000_000),
        ("probe_budget_ppm", spec.probe_budget_ppm, 0..=1_000_000),
        (
            "retry_budget_permille",
            spec.retry_budget_permille,
            0..=1_000,
        ),
        ("crash_limit", spec.crash_limit, 1..=1_000),
        ("quarantine_ms", spec.quarantine_ms, 0..=86_400_000),
    ];
    for (field, value, allowed) in numbers {
        check_range(field, value, &allowed)?;
    }
    check_count("rules", spec.rules.len(), RULES_MAX)?;
    check_count("regions", spec.regions.len(), REGIONS_MAX)?;
    for (index, rule) in spec.rules.iter().enumerate() {
        check_rule(rule)?;
        let has_same_key =
            |other: &class::Rule| other.method == rule.method && other.path == rule.path;
        if spec.rules[..index].iter().any(has_same_key) {
            let value = format!("{} {}", rule.method, rule.path);
            return Err(Invalid::new(
                "rules",
                value,
                "one rule for a method and path",
            ));
        }
    }
    for (index, region) in spec.regions.iter().enumerate() {
        if spec.regions[..index].contains(region) {
            return Err(Invalid::new("regions", region, "each region once"));
        }
    }
    Ok(())
}

/// Checks every field of a rule.
///
/// # Errors
///
/// Returns the first field that has a value outside its range.
pub fn check_rule(rule: &class::Rule) -> Result<(), Invalid> {
    let is_upper_case = |text: &str| text.bytes().all(|b| b.is_ascii_uppercase());
    let method = &*rule.method;
    let is_valid_name = !method.is_empty() && method.len() <= METHOD_MAX && is_upper_case(method);
    if method != "*" && !is_valid_name {
        let allowed = format!("* or 1..={METHOD_MAX} of A-Z");
        return Err(Invalid::new("method", method, allowed));
    }
    let path = &*rule.path;
    let is_graphic = path.bytes().all(|b| b.is_ascii_graphic());
    if !path.starts_with('/') || path.len() > PATH_MAX || !is_graphic {
        let allowed = format!("/ and up to {PATH_MAX} visible ASCII characters");
        return Err(Invalid::new("path", path.escape_debug(), allowed));
    }
    if rule.join && rule.class == class::Class::NonIdempotent {
        return Err(Invalid::new(
            "join",
            true,
            "false for a non-idempotent rule",
        ));
    }
    Ok(())
}

/// Checks the name of an operator.
///
/// # Errors
///
/// Returns [`Invalid`] when the name is empty, too long or not visible ASCII.
pub fn check_operator(operator: &str) -> Result<(), Invalid> {
    let is_graphic = operator.bytes().all(|b| b.is_ascii_graphic());
    if operator.is_empty() || operator.len() > OPERATOR_MAX || !is_graphic {
        let allowed = format!("1..={OPERATOR_MAX} visible ASCII characters");
        return Err(Invalid::new("operator", operator.escape_debug(), allowed));
    }
    Ok(())
}

/// The refusal of a patch without any field.
pub(crate) fn empty_patch() -> Invalid {
    Invalid::new("patch", "empty", "at least one field")
}

fn check_range(field: &str, value: u32, allowed: &RangeInclusive<u32>) -> Result<(), Invalid> {
    if allowed.contains(&value) {
        return Ok(());
    }
    Err(Invalid::new(field, value, format!("{allowed:?}")))
}

fn check_count(field: &str, count: usize, limit: usize) -> Result<(), Invalid> {
    if count <= limit {
        return Ok(());
    }
    Err(Invalid::new(field, count, format!("at most {limit}")))
}
