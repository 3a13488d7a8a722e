//! Estimates and scores of targets.

use std::time::Duration;

use crate::choice::Estimate;
use crate::config::Config;
use crate::entry::Entry;
use crate::member::Service;
use shallotrill_model::time::Instant;

/// Factor on the score of a target that fails always; a partial failure rate counts in proportion.
const FAILURE_PENALTY: f64 = 20.0;

/// Requests ahead for each slot that a refusal stands for; it decays like a report.
const REFUSED_LOAD: f64 = 4.0;

/// Factor on the score of a target that reports shedding.
const SHEDDING_PENALTY: f64 = 4.0;

/// The age of an entry's report.
pub(crate) fn age(entry: &Entry, now: Instant) -> Option<Duration> {
    entry.report.map(|_| now.since(entry.reported))
}

/// The estimate of an entry, decayed towards the median of its service.
pub(crate) fn estimate(
    entry: &Entry,
    service: &Service,
    config: &Config,
    now: Instant,
) -> Estimate {
    let age = now.since(entry.reported).as_secs_f64();
    let fresh = match entry.report {
        Some(_) => (-age / config.half_life.as_secs_f64()).exp2(),
        None => 0.0,
    };
    let report = entry.report.unwrap_or_default();
    let limit = if report.limit > 0 {
        report.limit
    } else {
        entry.target.slots.max(1)
    };
    let reported = f64::from(report.in_flight) + f64::from(report.queued);
    let usual = service.load.value * f64::from(limit);
    let ahead = reported * fresh + usual * (1.0 - fresh) + entry.unreported() as f64;
    let latency = latency(entry, service, config, age);
    let oldest_us = entry.oldest(now).as_micros() as f64;
    // A gate that refuses has no free slot for this node, whatever its report says.
    let refused = entry.refused.map_or(0.0, |at| {
        let age = now.since(at).as_secs_f64();
        f64::from(limit) * REFUSED_LOAD * (-age / config.half_life.as_secs_f64()).exp2()
    });
    let ahead = ahead.max(refused);
    Estimate {
        ahead: ahead.max(entry.flight.len() as f64),
        limit,
        latency_us: latency.max(oldest_us),
        failures: entry.failure_rate(config, now),
    }
}

/// Latency from the report, else from own successes, decayed towards the median of the service.
fn latency(entry: &Entry, service: &Service, config: &Config, age: f64) -> f64 {
    let median = if service.latency.value > 0.0 {
        service.latency.value
    } else {
        config.latency.as_micros() as f64
    };
    let reported = entry.report.map_or(0, |r| r.latency_us);
    let known = if reported > 0 {
        f64::from(reported)
    } else if entry.latency_us > 0.0 {
        entry.latency_us
    } else {
        median
    };
    let fresh = (-age / config.latency_half_life.as_secs_f64()).exp2();
    let known = known * fresh + median * (1.0 - fresh);
    let banded = median.max(known / config.latency_band);
    if config.latency_band > 1.0 {
        banded
    } else {
        known
    }
}

/// Expected response time with penalties, in microseconds.
pub(crate) fn score(estimate: &Estimate, entry: &Entry, round_trip_us: f64, warmth: f64) -> f64 {
    // One is added so that an idle straggler still scores its latency.
    let wait = estimate.latency_us * (1.0 + estimate.ahead / f64::from(estimate.limit));
    let mut penalty = 1.0 + FAILURE_PENALTY * estimate.failures;
    if entry.report.is_some_and(|r| r.shedding) {
        penalty *= SHEDDING_PENALTY;
    }
    wait * penalty / warmth.sqrt() + round_trip_us
}
