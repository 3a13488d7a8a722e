//! Statements of backend servers that reach the routing table: a departure and the pace of a stated limit.

use std::net::SocketAddr;

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::load::Pace;
use shallotrill_model::load::Report;
use shallotrill_model::rate::Rate;
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

fn choose(table: &mut Table, now: Instant, seed: u64) -> Result<Choice, Refusal> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut random = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        state ^ state.rotate_left(29)
    };
    let query = Query {
        service: &service::Name::new("portal").unwrap(),
        exclude: &[],
        priority: 1,
    };
    table.choose(&query, now, &mut random)
}

struct LeavingCase {
    name: &'static str,
    /// What happens after incarnation 5 of the target has stated that it is leaving.
    then: fn(&mut Table),
    is_chosen: bool,
}

/// Guards against a target that is chosen again after it has stated that it is leaving.
const LEAVING_CASES: &[LeavingCase] = &[
    LeavingCase {
        name: "nothing",
        then: |_| {},
        is_chosen: false,
    },
    LeavingCase {
        name: "an announcement that it is ready",
        then: |table| table.apply(&[target("a", State::Ready)], Instant(2)),
        is_chosen: false,
    },
    LeavingCase {
        name: "it is removed and added",
        then: |table| {
            table.remove(&instance::Name::new("a").unwrap());
            table.apply(&[target("a", State::Ready)], Instant(2));
        },
        is_chosen: false,
    },
    LeavingCase {
        name: "a later incarnation of the same name",
        then: |table| {
            let later = Target {
                incarnation: Incarnation(6),
                ..target("a", State::Ready)
            };
            table.apply(&[later], Instant(2));
        },
        is_chosen: true,
    },
];

#[test]
fn a_leaving_target_is_not_chosen_again() {
    for case in LEAVING_CASES {
        let mut table = table(&[target("a", State::Ready)]);
        assert!(choose(&mut table, Instant(1), 1).is_ok());
        table.mark_leaving(
            &instance::Name::new("a").unwrap(),
            Incarnation(5),
            Instant(1),
        );
        (case.then)(&mut table);
        let choice = choose(&mut table, Instant(3), 1);
        assert_eq!(choice.is_ok(), case.is_chosen, "{}", case.name);
    }
}

struct PaceCase {
    name: &'static str,
    /// Pace of the first of two equal targets.
    pace: Option<Pace>,
    /// Requests sent to it since the report.
    sent: usize,
    /// Time from the report to the choice, in milliseconds.
    after_ms: u64,
    expected: &'static str,
}

/// Guards against requests that are sent to a target whose stated limit makes them wait, while another one is free,
/// and against a target that stays avoided after its next start.
const PACE_CASES: &[PaceCase] = &[
    PaceCase {
        name: "no limit is stated, and the other target is further away",
        pace: None,
        sent: 0,
        after_ms: 0,
        expected: "a",
    },
    PaceCase {
        name: "a request may start now",
        pace: Some(pace(2_000, 0)),
        sent: 0,
        after_ms: 0,
        expected: "a",
    },
    PaceCase {
        name: "a request waits for the pace",
        pace: Some(pace(2_000, 400)),
        sent: 0,
        after_ms: 0,
        expected: "b",
    },
    PaceCase {
        name: "the wait has passed",
        pace: Some(pace(2_000, 400)),
        sent: 0,
        after_ms: 401,
        expected: "a",
    },
    PaceCase {
        name: "this process has sent one since the report",
        pace: Some(pace(2_000, 0)),
        sent: 1,
        after_ms: 0,
        expected: "b",
    },
    PaceCase {
        name: "no request is accepted",
        pace: Some(Pace {
            rate: Rate::from_millihertz(0),
            wait_us: u32::MAX,
        }),
        sent: 0,
        after_ms: 4_000,
        expected: "b",
    },
    PaceCase {
        name: "no request was accepted, and nothing has been heard since",
        pace: Some(Pace {
            rate: Rate::from_millihertz(0),
            wait_us: u32::MAX,
        }),
        sent: 0,
        after_ms: 6_000,
        expected: "a",
    },
];

const fn pace(millihertz: u32, wait_ms: u32) -> Pace {
    Pace {
        rate: Rate::from_millihertz(millihertz),
        wait_us: wait_ms * 1_000,
    }
}

#[test]
fn requests_avoid_a_target_whose_limit_makes_them_wait() {
    for case in PACE_CASES {
        let other_zone = Target {
            zone: zone::Name::new("z2").unwrap(),
            ..target("b", State::Ready)
        };
        let mut table = table(&[target("a", State::Ready), other_zone]);
        let instance = instance::Name::new("a").unwrap();
        for name in ["a", "b"] {
            let report = Report {
                incarnation: Incarnation(5),
                sequence: 1,
                limit: 6,
                latency_us: 10_000,
                ..Report::default()
            };
            let instance = instance::Name::new(name).unwrap();
            assert!(table.apply_report(&instance, report, Instant(1_000)));
        }
        table.apply_pace(&instance, case.pace, Instant(1_000));
        for _ in 0..case.sent {
            table.request_started(&instance, Instant(1_000));
        }
        let now = Instant(1_000 + case.after_ms * 1_000);
        let choices = (0..20).map(|seed| choose(&mut table, now, seed).unwrap());
        let compared: Vec<_> = choices.filter(|c| c.candidates.len() == 2).collect();
        assert!(!compared.is_empty(), "{}", case.name);
        for choice in compared {
            assert_eq!(choice.instance.as_str(), case.expected, "{}", case.name);
        }
    }
}
