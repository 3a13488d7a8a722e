//! The load report that a target's node puts on each answer.
//!
//! The text is nine decimal numbers with commas, about 30 bytes. It rides on
//! answers that are sent anyway, so learning the load of a target in use costs
//! no message and no work of its backend server.

use std::error;
use std::fmt;

use http::HeaderName;
use http::HeaderValue;

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::load::Report;

/// The load of the target that answered.
pub const LOAD: HeaderName = HeaderName::from_static("shallotrill-load");

/// A text that is not a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a load report is nine decimal numbers with commas")
    }
}

impl error::Error for Invalid {}

/// Writes a report as a header value.
///
/// # Panics
///
/// Never: digits and commas are a valid header value.
pub fn encode(report: &Report) -> HeaderValue {
    let text = format!(
        "{},{},{},{},{},{},{},{},{}",
        report.incarnation,
        report.sequence,
        report.in_flight,
        report.queued,
        report.limit,
        report.latency_us,
        report.failure_permille,
        u8::from(report.shedding),
        report.age_us
    );
    HeaderValue::from_str(&text).expect("digits and commas are a valid header value")
}

/// Reads a report from a header value.
///
/// # Errors
///
/// Returns [`Invalid`] when the value has another form.
pub fn decode(value: &HeaderValue) -> Result<Report, Invalid> {
    let text = value.to_str().or(Err(Invalid))?;
    let mut fields = text.split(',');
    let report = Report {
        incarnation: Incarnation(next(&mut fields)?),
        sequence: next(&mut fields)?,
        in_flight: next(&mut fields)?,
        queued: next(&mut fields)?,
        limit: next(&mut fields)?,
        latency_us: next(&mut fields)?,
        failure_permille: next(&mut fields)?,
        shedding: next::<u8>(&mut fields)? != 0,
        age_us: next(&mut fields)?,
    };
    match fields.next() {
        None => Ok(report),
        Some(_) => Err(Invalid),
    }
}

fn next<T: std::str::FromStr>(fields: &mut std::str::Split<'_, char>) -> Result<T, Invalid> {
    fields
        .next()
        .and_then(|field| field.parse().ok())
        .ok_or(Invalid)
}
