//! Encoding of the load report that a target's node adds to each response.
//!
//! The text consists of nine decimal numbers separated by commas, about 30
//! bytes. Because it is piggybacked on responses, the load of a target in use
//! is learned without additional messages and without work at its backend server.

use std::error;
use std::fmt;

use http::HeaderName;
use http::HeaderValue;

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::load::OUTLOOK_STEPS_MAX;
use shallotrill_model::load::Outlook;
use shallotrill_model::load::Pace;
use shallotrill_model::load::Report;
use shallotrill_model::load::Step;
use shallotrill_model::rate::Rate;

/// Header with the load of the target that sent the response.
pub const LOAD: HeaderName = HeaderName::from_static("shallotrill-load");

/// Header with the pace of the target, beside [`LOAD`]; absent while its backend server states no limit.
pub const PACE: HeaderName = HeaderName::from_static("shallotrill-pace");

/// Header with the outlook of the target, beside [`LOAD`]; absent while a request of any priority starts at once.
pub const OUTLOOK: HeaderName = HeaderName::from_static("shallotrill-outlook");

/// Error for a header value that is not a load report, a pace or an outlook.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a load report must be nine decimal numbers separated by commas, a pace two, an outlook up to eight pairs")
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
/// Returns [`Invalid`] when the value is not nine decimal numbers separated by commas.
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

/// Writes a pace as a header value.
///
/// # Panics
///
/// Never: digits and commas are a valid header value.
pub fn encode_pace(pace: &Pace) -> HeaderValue {
    let text = format!("{},{}", pace.rate.millihertz(), pace.wait_us);
    HeaderValue::from_str(&text).expect("digits and commas are a valid header value")
}

/// Reads a pace from a header value.
///
/// # Errors
///
/// Returns [`Invalid`] when the value is not two decimal numbers separated by a comma.
pub fn decode_pace(value: &HeaderValue) -> Result<Pace, Invalid> {
    let text = value.to_str().or(Err(Invalid))?;
    let mut fields = text.split(',');
    let pace = Pace {
        rate: Rate::from_millihertz(next(&mut fields)?),
        wait_us: next(&mut fields)?,
    };
    match fields.next() {
        None => Ok(pace),
        Some(_) => Err(Invalid),
    }
}

/// Writes an outlook as a header value.
///
/// # Panics
///
/// Never: digits and commas are a valid header value.
pub fn encode_outlook(outlook: &Outlook) -> HeaderValue {
    let steps = outlook.steps().iter();
    let fields: Vec<String> = steps
        .map(|step| format!("{},{}", step.priority_max, step.wait_us))
        .collect();
    HeaderValue::from_str(&fields.join(",")).expect("digits and commas are a valid header value")
}

/// Reads an outlook from a header value.
///
/// # Errors
///
/// Returns [`Invalid`] when the value is not a list of pairs of decimal numbers separated by commas.
pub fn decode_outlook(value: &HeaderValue) -> Result<Outlook, Invalid> {
    let text = value.to_str().or(Err(Invalid))?;
    let mut fields = text.split(',');
    let mut steps = Vec::new();
    for _ in 0..OUTLOOK_STEPS_MAX {
        steps.push(Step {
            priority_max: next(&mut fields)?,
            wait_us: next(&mut fields)?,
        });
        if fields.clone().next().is_none() {
            return Ok(Outlook::new(steps));
        }
    }
    Err(Invalid)
}

fn next<T: std::str::FromStr>(fields: &mut std::str::Split<'_, char>) -> Result<T, Invalid> {
    fields
        .next()
        .and_then(|field| field.parse().ok())
        .ok_or(Invalid)
}
