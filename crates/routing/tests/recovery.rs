//! Exclusion of failing targets from the choice, and their return after recovery.

use std::time::Duration;

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_routing::choice::Query;
use shallotrill_routing::config::Config;
use shallotrill_routing::sample::Outcome;
use shallotrill_routing::sample::Sample;
use shallotrill_routing::table::Table;

/// Consecutive failures, enough to exceed the threshold of a failing target.
const CONSECUTIVE_FAILURES: usize = 6;

fn instance(name: &str) -> instance::Name {
    instance::Name::new(name).expect("the name is valid")
}

fn service() -> service::Name {
    service::Name::new("s").expect("the name is valid")
}

fn target(name: &str) -> Target {
    Target {
        service: service(),
        instance: instance(name),
        incarnation: Incarnation(1),
        zone: zone::Name::new("bodo").expect("the name is valid"),
        region: region::Name::new("nordland").expect("the name is valid"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        state: State::Ready,
        slots: 4,
    }
}

struct Case {
    name: &'static str,
    config: fn(Config) -> Config,
    /// Targets that fail, of the two targets `a` and `b`.
    failing: &'static [&'static str],
    /// Time of the choices after the last failure, in seconds.
    elapsed_s: u64,
    /// Whether any of 500 choices for a first attempt of priority one selects `a`.
    a_is_chosen: bool,
}

/// Guards against a service that stays without eligible targets after all of them failed, and
/// against a failing target that is chosen while another target works.
const CASES: &[Case] = &[
    Case {
        name: "one target fails, the other works",
        config: |config| config.last_resort(true),
        failing: &["a"],
        elapsed_s: 0,
        a_is_chosen: false,
    },
    Case {
        name: "all targets fail, last resort disabled",
        config: |config| config,
        failing: &["a", "b"],
        elapsed_s: 0,
        a_is_chosen: false,
    },
    Case {
        name: "all targets fail, last resort enabled",
        config: |config| config.last_resort(true),
        failing: &["a", "b"],
        elapsed_s: 0,
        a_is_chosen: true,
    },
    Case {
        name: "one target failed 20 s ago, failure rate does not decay",
        config: |config| config,
        failing: &["a"],
        elapsed_s: 20,
        a_is_chosen: false,
    },
    Case {
        name: "one target failed 20 s ago, failure rate halves every 2 s",
        config: |config| config.failure_half_life(Duration::from_secs(2)),
        failing: &["a"],
        elapsed_s: 20,
        a_is_chosen: true,
    },
];

#[test]
fn failing_targets_are_chosen_again_after_recovery() {
    for case in CASES {
        let zone = zone::Name::new("bodo").expect(case.name);
        let region = region::Name::new("nordland").expect(case.name);
        let mut table = Table::new((case.config)(Config::new(region, zone)));
        table.apply(&[target("a"), target("b")], Instant(0));
        let mut now = Instant(0) + Duration::from_mins(1);
        for name in case.failing {
            for _ in 0..CONSECUTIVE_FAILURES {
                table.request_started(&instance(name), now);
                let sample = Sample {
                    incarnation: Incarnation(1),
                    outcome: Outcome::Failure,
                    latency: Duration::from_micros(1),
                };
                now = now + Duration::from_micros(10);
                table.request_finished(&instance(name), sample, now);
            }
        }
        now = now + Duration::from_secs(case.elapsed_s);
        let service = service();
        let query = Query {
            service: &service,
            exclude: &[],
            priority: 1,
        };
        let mut state = 0_u64;
        let mut random = || {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            state
        };
        let a_is_chosen = (0..500).any(|_| {
            let Ok(choice) = table.choose(&query, now, &mut random) else {
                return false;
            };
            // The request stays in flight, so that the load of the chosen target grows.
            table.request_started(&choice.instance, now);
            choice.instance == instance("a")
        });
        assert_eq!(a_is_chosen, case.a_is_chosen, "{}", case.name);
    }
}
