//! Computes the load estimate of a target and the score by which candidates are compared.

use std::time::Duration;

use crate::choice::Estimate;
use crate::cold;
use crate::config::Config;
use crate::entry::Entry;
use crate::member::Service;
use shallotrill_model::time::Instant;

/// Amount added to the score factor of a target that always fails; a partial failure rate counts in proportion.
const FAILURE_PENALTY: f64 = 20.0;

/// Assumed requests ahead for each slot after a refusal; the value decays like a load report.
const REFUSED_REQUESTS_AHEAD: f64 = 4.0;

/// Factor on the score of a target that reports shedding.
const SHEDDING_PENALTY: f64 = 4.0;

/// Age of the load report of an entry; `None` before the first report.
pub(crate) fn age(entry: &Entry, now: Instant) -> Option<Duration> {
    entry.report.map(|_| now.since(entry.reported_at))
}

/// Time in which the load of the targets of a service changes noticeably, but at least `least`.
pub(crate) fn load_period(least: Duration, service: &Service, config: &Config) -> Duration {
    let latency_us = service.median_latency_us.value.max(0.0);
    least.max(Duration::from_micros(
        (latency_us * config.load_latency_share) as u64,
    ))
}

/// Computes the estimate of an entry, decayed towards the median of its service by the age of its report.
pub(crate) fn estimate(
    entry: &Entry,
    service: &Service,
    config: &Config,
    now: Instant,
) -> Estimate {
    let age = now.since(entry.reported_at).as_secs_f64();
    let load_half_life = load_period(config.load_half_life, service, config).as_secs_f64();
    let report_weight = match entry.report {
        Some(_) => (-age / load_half_life).exp2(),
        None => 0.0,
    };
    let report = entry.report.unwrap_or_default();
    let limit = if report.limit > 0 {
        report.limit
    } else {
        entry.target.slots.max(1)
    };
    let reported_ahead = f64::from(report.in_flight) + f64::from(report.queued);
    // A cold target without a report has just come back, so it does not have the load of the others.
    let is_new_and_cold = entry.report.is_none() && entry.is_paced();
    let median_load = if is_new_and_cold {
        0.0
    } else {
        service.median_load.value
    };
    let median_ahead = median_load * f64::from(limit);
    let requests_ahead = reported_ahead * report_weight
        + median_ahead * (1.0 - report_weight)
        + entry.unreported_requests() as f64;
    let mut latency_us = latency_us(entry, service, config, age);
    if is_new_and_cold {
        latency_us *= cold::LATENCY_RATIO;
    }
    let oldest_us = entry.oldest_request_age(now).as_micros() as f64;
    // A gate that refused a request has no free slot for this node, even if its report shows one.
    let refused = entry.last_refused.map_or(0.0, |refused_at| {
        let age = now.since(refused_at).as_secs_f64();
        f64::from(limit) * REFUSED_REQUESTS_AHEAD * (-age / load_half_life).exp2()
    });
    let requests_ahead = requests_ahead.max(refused);
    Estimate {
        requests_ahead: requests_ahead.max(entry.in_flight.len() as f64),
        limit,
        latency_us: latency_us.max(oldest_us),
        wait_us: entry.pace_wait(now).as_micros() as f64,
        failure_rate: entry.failure_rate(config, now),
    }
}

/// Latency from the report, otherwise from local successes, decayed towards the median of the
/// service, in microseconds.
fn latency_us(entry: &Entry, service: &Service, config: &Config, age: f64) -> f64 {
    let median_us = if service.median_latency_us.value > 0.0 {
        service.median_latency_us.value
    } else {
        config.default_latency.as_micros() as f64
    };
    let reported_us = entry.report.map_or(0, |report| report.latency_us);
    let observed_us = if reported_us > 0 {
        f64::from(reported_us)
    } else if entry.local_latency_us > 0.0 {
        entry.local_latency_us
    } else {
        median_us
    };
    let report_weight = (-age / config.latency_half_life.as_secs_f64()).exp2();
    let observed_us = observed_us * report_weight + median_us * (1.0 - report_weight);
    let banded_us = median_us.max(observed_us / config.latency_band);
    if config.latency_band > 1.0 {
        banded_us
    } else {
        observed_us
    }
}

/// Expected response time with penalties, in microseconds.
pub(crate) fn score(
    estimate: &Estimate,
    entry: &Entry,
    round_trip_us: f64,
    warm_up_share: f64,
) -> f64 {
    // The added 1 makes the score of an idle target depend on its latency.
    let response_time_us =
        estimate.latency_us * (1.0 + estimate.requests_ahead / f64::from(estimate.limit));
    let mut penalty = 1.0 + FAILURE_PENALTY * estimate.failure_rate;
    if entry.report.is_some_and(|report| report.shedding) {
        penalty *= SHEDDING_PENALTY;
    }
    response_time_us * penalty / warm_up_share.sqrt() + estimate.wait_us + round_trip_us
}
