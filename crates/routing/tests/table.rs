//! Rules of the routing table: which targets are eligible, which load reports are applied, and which
//! samples update the estimates.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::load::Report;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_routing::Table;
use shallotrill_routing::choice::Choice;
use shallotrill_routing::choice::Query;
use shallotrill_routing::choice::Refusal;
use shallotrill_routing::config::Config;
use shallotrill_routing::policy;
use shallotrill_routing::policy::Policy;
use shallotrill_routing::sample::Outcome;
use shallotrill_routing::sample::Sample;

fn target(name: &str, state: State) -> Target {
    Target {
        service: service::Name::new("portal").unwrap(),
        instance: instance::Name::new(name).unwrap(),
        incarnation: Incarnation(5),
        zone: zone::Name::new("bodo").unwrap(),
        region: region::Name::new("nordland").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state,
        slots: 6,
    }
}

fn table(targets: &[Target]) -> Table {
    let region = region::Name::new("nordland").unwrap();
    let mut table = Table::new(Config::new(region, zone::Name::new("bodo").unwrap()));
    table.apply(targets, Instant(0));
    table
}

fn choose(table: &mut Table, exclude: &[&str], now: Instant, seed: u64) -> Result<Choice, Refusal> {
    choose_with_priority(table, 1, exclude, now, seed)
}

fn choose_with_priority(
    table: &mut Table,
    priority: u8,
    exclude: &[&str],
    now: Instant,
    seed: u64,
) -> Result<Choice, Refusal> {
    let names: Vec<_> = exclude
        .iter()
        .map(|n| instance::Name::new(n).unwrap())
        .collect();
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut random = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        state ^ state.rotate_left(29)
    };
    let query = Query {
        service: &service::Name::new("portal").unwrap(),
        exclude: &names,
        priority,
    };
    table.choose(&query, now, &mut random)
}

fn fail(table: &mut Table, name: &str, times: u32) {
    let instance = instance::Name::new(name).unwrap();
    for _ in 0..times {
        table.request_started(&instance, Instant(1));
        let sample = Sample {
            incarnation: Incarnation(5),
            outcome: Outcome::Failure,
            latency: Duration::from_micros(1),
        };
        table.request_finished(&instance, sample, Instant(2));
    }
}

struct EligibilityCase {
    name: &'static str,
    targets: &'static [(&'static str, State)],
    failing: &'static [&'static str],
    exclude: &'static [&'static str],
    expected: Result<&'static str, Refusal>,
}

/// Guards against the choice of a target that drains, was tried already or fails, and against a
/// refusal that names the wrong cause.
const ELIGIBILITY_CASES: &[EligibilityCase] = &[
    EligibilityCase {
        name: "the ready target is chosen",
        targets: &[("a", State::Ready), ("b", State::Draining)],
        failing: &[],
        exclude: &[],
        expected: Ok("a"),
    },
    EligibilityCase {
        name: "the target that was not tried is chosen",
        targets: &[("a", State::Ready), ("b", State::Ready)],
        failing: &[],
        exclude: &["a"],
        expected: Ok("b"),
    },
    EligibilityCase {
        name: "the target that does not fail is chosen",
        targets: &[("a", State::Ready), ("b", State::Ready)],
        failing: &["a"],
        exclude: &[],
        expected: Ok("b"),
    },
    EligibilityCase {
        name: "all targets drain",
        targets: &[("a", State::Draining)],
        failing: &[],
        exclude: &[],
        expected: Err(Refusal::AllDraining { draining: 1 }),
    },
    EligibilityCase {
        name: "all targets that do not drain were tried",
        targets: &[("a", State::Ready), ("b", State::Draining)],
        failing: &[],
        exclude: &["a"],
        expected: Err(Refusal::AllExcluded {
            excluded: 1,
            draining: 1,
        }),
    },
    EligibilityCase {
        name: "all targets that were not tried fail",
        targets: &[("a", State::Ready), ("b", State::Ready)],
        failing: &["a"],
        exclude: &["b"],
        expected: Err(Refusal::AllFailing {
            failing: 1,
            excluded: 1,
            draining: 0,
        }),
    },
];

#[test]
fn only_eligible_targets_are_chosen() {
    for case in ELIGIBILITY_CASES {
        let targets: Vec<_> = case.targets.iter().map(|(n, s)| target(n, *s)).collect();
        for seed in 0..200 {
            let mut table = table(&targets);
            case.failing
                .iter()
                .for_each(|name| fail(&mut table, name, 4));
            let result = choose(&mut table, case.exclude, Instant(10), seed);
            let result = result.map(|c| c.instance.as_str().to_owned());
            let expected = case.expected.clone().map(str::to_owned);
            assert_eq!(result, expected, "{}, seed {seed}", case.name);
        }
    }
}

struct ReportOrderCase {
    name: &'static str,
    /// Reports in order of arrival: incarnation, sequence number and requests in flight.
    reports: &'static [(u64, u64, u32)],
    expected: f64,
}

/// Guards against an estimate that reverts to an older report because it arrived late.
const REPORT_ORDER_CASES: &[ReportOrderCase] = &[
    ReportOrderCase {
        name: "a higher sequence number replaces the report",
        reports: &[(5, 1, 2), (5, 2, 4)],
        expected: 4.0,
    },
    ReportOrderCase {
        name: "a lower sequence number is ignored",
        reports: &[(5, 2, 4), (5, 1, 2)],
        expected: 4.0,
    },
    ReportOrderCase {
        name: "a lower incarnation is ignored",
        reports: &[(5, 2, 4), (4, 9, 1)],
        expected: 4.0,
    },
    ReportOrderCase {
        name: "a higher incarnation replaces the report for any sequence number",
        reports: &[(5, 2, 4), (6, 1, 1)],
        expected: 1.0,
    },
];

#[test]
fn older_reports_are_ignored() {
    for case in REPORT_ORDER_CASES {
        let mut table = table(&[target("a", State::Ready)]);
        let instance = instance::Name::new("a").unwrap();
        for (incarnation, sequence, in_flight) in case.reports {
            let report = Report {
                incarnation: Incarnation(*incarnation),
                sequence: *sequence,
                in_flight: *in_flight,
                limit: 6,
                ..Report::default()
            };
            table.apply_report(&instance, report, Instant(1_000));
        }
        let choice = choose(&mut table, &[], Instant(1_000), 1).unwrap();
        let ahead = choice.candidates[0].estimate.requests_ahead;
        assert!(
            (ahead - case.expected).abs() < 0.1,
            "{}: {ahead} requests ahead",
            case.name
        );
    }
}

struct LatencySampleCase {
    name: &'static str,
    outcome: Outcome,
    expected_us: f64,
}

/// Guards against a latency estimate from a response for which no work was done; 5 ms is the default latency.
const LATENCY_SAMPLE_CASES: &[LatencySampleCase] = &[
    LatencySampleCase {
        name: "a success updates the latency",
        outcome: Outcome::Success,
        expected_us: 20_000.0,
    },
    LatencySampleCase {
        name: "a failure does not update the latency",
        outcome: Outcome::Failure,
        expected_us: 5_000.0,
    },
    LatencySampleCase {
        name: "a refusal does not update the latency",
        outcome: Outcome::Refused,
        expected_us: 5_000.0,
    },
];

#[test]
fn only_successes_update_the_latency() {
    for case in LATENCY_SAMPLE_CASES {
        let mut table = table(&[target("a", State::Ready)]);
        let instance = instance::Name::new("a").unwrap();
        table.request_started(&instance, Instant(0));
        let sample = Sample {
            incarnation: Incarnation(5),
            outcome: case.outcome,
            latency: Duration::from_millis(40),
        };
        table.request_finished(&instance, sample, Instant(40_000));
        let choice = choose(&mut table, &[], Instant(40_000), 1).unwrap();
        let latency_us = choice.candidates[0].estimate.latency_us;
        let difference = (latency_us - case.expected_us).abs();
        assert!(
            difference < case.expected_us / 10.0,
            "{}: latency {latency_us} us",
            case.name
        );
    }
}

struct RecoveryCase {
    name: &'static str,
    priority: u8,
    tried: &'static [&'static str],
    expected: bool,
}

/// Guards against a failing target that is never tried again, and against a recovery attempt with a
/// request of higher priority or with a repeated request. With a recovery interval of 100 ms, at most
/// 10 of the choices within one second may select the target.
const RECOVERY_CASES: &[RecoveryCase] = &[
    RecoveryCase {
        name: "a first attempt of priority zero",
        priority: 0,
        tried: &[],
        expected: true,
    },
    RecoveryCase {
        name: "a higher priority",
        priority: 1,
        tried: &[],
        expected: false,
    },
    RecoveryCase {
        name: "a second attempt",
        priority: 0,
        tried: &["b"],
        expected: false,
    },
];

#[test]
fn failing_target_receives_recovery_requests() {
    for case in RECOVERY_CASES {
        let mut table = table(&["a", "b", "c"].map(|name| target(name, State::Ready)));
        fail(&mut table, "a", 4);
        let chosen = (0..1_000).filter(|call| {
            let now = Instant(call * 1_000);
            let choice = choose_with_priority(&mut table, case.priority, case.tried, now, *call);
            choice.unwrap().instance.as_str() == "a"
        });
        let count = chosen.count();
        assert_eq!(
            count > 0,
            case.expected,
            "{}: chosen {count} times",
            case.name
        );
        assert!(count <= 10, "{}: chosen {count} times", case.name);
    }
}

struct CrossZoneGainCase {
    name: &'static str,
    /// Requests in flight at the target in the local availability zone, which has 6 slots.
    in_flight: u32,
    share_min: f64,
    share_max: f64,
}

/// Guards against requests that cross availability zones for a gain below the round trip, and
/// against a busy zone whose requests do not cross.
const CROSS_ZONE_GAIN_CASES: &[CrossZoneGainCase] = &[
    CrossZoneGainCase {
        name: "no crossing at equal loads",
        in_flight: 0,
        share_min: 0.0,
        share_max: 0.0,
    },
    CrossZoneGainCase {
        name: "no crossing for a gain below the round trip",
        in_flight: 1,
        share_min: 0.0,
        share_max: 0.0,
    },
    CrossZoneGainCase {
        name: "a larger gain crosses in the configured proportion",
        in_flight: 4,
        share_min: 0.2,
        share_max: 0.3,
    },
    CrossZoneGainCase {
        name: "an overloaded target is always compared with another zone",
        in_flight: 12,
        share_min: 1.0,
        share_max: 1.0,
    },
];

#[test]
fn requests_cross_zones_for_a_gain_above_the_round_trip() {
    for case in CROSS_ZONE_GAIN_CASES {
        let mut remote_target = target("b", State::Ready);
        remote_target.zone = zone::Name::new("narvik").unwrap();
        let mut table = table(&[target("a", State::Ready), remote_target]);
        // A round trip of 2 ms costs as much as a third of the slots at a latency of 6 ms.
        table.record_round_trip(
            &zone::Name::new("narvik").unwrap(),
            Duration::from_millis(2),
        );
        for (name, in_flight) in [("a", case.in_flight), ("b", 0)] {
            let report = Report {
                incarnation: Incarnation(5),
                sequence: 1,
                in_flight,
                limit: 6,
                latency_us: 6_000,
                ..Report::default()
            };
            let instance = instance::Name::new(name).unwrap();
            table.apply_report(&instance, report, Instant(2_000));
        }
        let crossed = (0..1_000).filter(|call| {
            let choice = choose_with_priority(&mut table, 0, &[], Instant(2_000), *call * 7_919);
            choice.unwrap().instance.as_str() == "b"
        });
        let share = crossed.count() as f64 / 1_000.0;
        let range = case.share_min..=case.share_max;
        assert!(range.contains(&share), "{}: share {share}", case.name);
    }
}

struct PolicyCase {
    name: &'static str,
    policy: Policy,
    /// Whether four consecutive choices select the four targets in order.
    in_turn: bool,
}

/// Guards against a configured baseline policy that still runs the scored policy: a benchmark would
/// then compare the scored policy with itself.
const POLICY_CASES: &[PolicyCase] = &[
    PolicyCase {
        name: "scored",
        policy: policy::SCORED,
        in_turn: false,
    },
    PolicyCase {
        name: "round robin",
        policy: policy::ROUND_ROBIN,
        in_turn: true,
    },
];

#[test]
fn configured_policy_chooses() {
    for case in POLICY_CASES {
        let region = region::Name::new("nordland").unwrap();
        let zone = zone::Name::new("bodo").unwrap();
        let mut table = Table::new(Config::new(region, zone).policy(case.policy));
        let names = ["a", "b", "c", "d"];
        table.apply(&names.map(|name| target(name, State::Ready)), Instant(0));
        let in_turn = (0..4).all(|turn| {
            let choice = choose(&mut table, &[], Instant(1), 3).unwrap();
            choice.instance.as_str() == names[turn]
        });
        assert_eq!(in_turn, case.in_turn, "{}", case.name);
    }
}

struct CrossZoneCase {
    name: &'static str,
    local_zone_targets: usize,
    /// Number of targets in the local availability zone, and in another.
    targets: (usize, usize),
    /// Range of the share of choices that consider the other zone.
    expected: std::ops::RangeInclusive<f64>,
}

/// Guards against choices that consider other zones as often from a zone with many targets as from
/// one with few, and against a zone whose choices never consider another.
const CROSS_ZONE_CASES: &[CrossZoneCase] = &[
    CrossZoneCase {
        name: "no limit on local targets configured",
        local_zone_targets: usize::MAX,
        targets: (12, 12),
        expected: 1.0..=1.0,
    },
    CrossZoneCase {
        name: "as many local targets as configured",
        local_zone_targets: 3,
        targets: (3, 12),
        expected: 1.0..=1.0,
    },
    CrossZoneCase {
        name: "four times as many local targets as configured",
        local_zone_targets: 3,
        targets: (12, 12),
        expected: 0.2..=0.3,
    },
    CrossZoneCase {
        name: "no local targets",
        local_zone_targets: 3,
        targets: (0, 12),
        expected: 1.0..=1.0,
    },
];

#[test]
fn many_local_targets_reduce_cross_zone_choices() {
    const CHOICES: u64 = 2_000;
    for case in CROSS_ZONE_CASES {
        let region = region::Name::new("nordland").unwrap();
        let config = Config::new(region, zone::Name::new("bodo").unwrap())
            .cross_zone_share(1.0)
            .local_zone_targets(case.local_zone_targets);
        let mut table = Table::new(config);
        let other_zone = zone::Name::new("narvik").unwrap();
        let local_targets = (0..case.targets.0).map(|n| target(&format!("own-{n}"), State::Ready));
        let remote_targets = (0..case.targets.1).map(|n| Target {
            zone: other_zone.clone(),
            ..target(&format!("far-{n}"), State::Ready)
        });
        let targets: Vec<Target> = local_targets.chain(remote_targets).collect();
        table.apply(&targets, Instant(0));
        // Reported latencies keep all targets below the busy threshold, above which every choice considers another zone.
        for target in &targets {
            let report = Report {
                incarnation: Incarnation(5),
                sequence: 1,
                limit: 6,
                latency_us: 6_000,
                ..Report::default()
            };
            table.apply_report(&target.instance, report, Instant(1));
        }
        let considers = |seed: &u64| {
            let choice = choose(&mut table, &[], Instant(1), *seed).unwrap();
            let mut candidates = choice.candidates.iter();
            candidates.any(|c| c.instance.as_str().starts_with("far"))
        };
        let count = (1..=CHOICES).filter(considers).count();
        let share = count as f64 / CHOICES as f64;
        assert!(
            case.expected.contains(&share),
            "{}: share {share}",
            case.name
        );
    }
}
