//! Metrics of a control process.

use prometheus::IntCounter;

use shallotrill_claim::proposer::Failure;
use shallotrill_control_client::claim;
use shallotrill_control_client::feed;
use shallotrill_process::metrics::Counters;
use shallotrill_process::metrics::Error;
use shallotrill_process::metrics::LabelSet;
use shallotrill_process::metrics::Registry;

/// The metrics of a control process.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    claims: Counters,
    feeds: IntCounter,
    rows: IntCounter,
    statements: Counters,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        Ok(Self {
            claims: registry.counters(
                "shallotrill_control_claims_total",
                "Questions of nodes about claims, by result.",
                LabelSet::new("result", 8),
            )?,
            feeds: registry.counter(
                "shallotrill_control_feeds_total",
                "Pulls of nodes that were answered with a change.",
            )?,
            rows: registry.counter(
                "shallotrill_control_feed_rows_total",
                "Rows of targets that were sent to nodes.",
            )?,
            statements: registry.counters(
                "shallotrill_control_statements_total",
                "Statements of operators, by result.",
                LabelSet::new("result", 16),
            )?,
            registry,
        })
    }

    pub(crate) fn count_claim(&self, result: &claim::Reply) {
        let result = match result {
            Ok(_) => "decided",
            Err(claim::Refusal::Claim(Failure::Refused(_))) => "refused",
            Err(claim::Refusal::Claim(Failure::Conflict { .. })) => "conflict",
            Err(claim::Refusal::Claim(Failure::Expired(_))) => "expired",
            Err(claim::Refusal::Claim(Failure::Full)) => "full",
            Err(claim::Refusal::Claim(Failure::NoQuorum { .. })) => "no-quorum",
            Err(claim::Refusal::Claim(Failure::Epoch(_))) => "epoch",
            Err(
                claim::Refusal::NoGroup | claim::Refusal::NotMember | claim::Refusal::Region(_),
            ) => "not-member",
            Err(claim::Refusal::Ahead(_)) => "ahead",
            Err(claim::Refusal::Starting) => "starting",
        };
        self.claims.of(result).inc();
    }

    pub(crate) fn count_feed(&self, reply: &feed::Reply) {
        self.feeds.inc();
        let rows = reply.membership.as_ref().map_or(0, |difference| {
            difference.rows.len() + difference.removed.len()
        });
        self.rows.inc_by(rows as u64);
    }

    pub(crate) fn count_statement(&self, result: &str) {
        self.statements.of(result).inc();
    }
}
