//! Targets that fail, and how they come back.

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

/// Failures in a row, enough to pass the threshold.
const FAILURES: usize = 6;

fn instance(name: &str) -> instance::Name {
    instance::Name::new(name).expect("a name")
}

fn service() -> service::Name {
    service::Name::new("s").expect("a name")
}

fn target(name: &str) -> Target {
    Target {
        service: service(),
        instance: instance(name),
        incarnation: Incarnation(1),
        zone: zone::Name::new("bodo").expect("a name"),
        region: region::Name::new("nordland").expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        state: State::Ready,
        slots: 4,
    }
}

struct Case {
    name: &'static str,
    config: fn(Config) -> Config,
    /// Targets that fail; `a` and `b` are there.
    failing: &'static [&'static str],
    /// Seconds after the last failure.
    after_s: u64,
    /// Whether `a` is among the chosen ones of many choices for a request that is not repeated.
    chosen: bool,
}

/// Guards against a service that stays without targets after all of them failed, and against a
/// failing target that is used while another one is well.
const CASES: &[Case] = &[
    Case {
        name: "another one is well",
        config: |config| config.last_resort(true),
        failing: &["a"],
        after_s: 0,
        chosen: false,
    },
    Case {
        name: "all fail, without a last resort",
        config: |config| config,
        failing: &["a", "b"],
        after_s: 0,
        chosen: false,
    },
    Case {
        name: "all fail, with a last resort",
        config: |config| config.last_resort(true),
        failing: &["a", "b"],
        after_s: 0,
        chosen: true,
    },
    Case {
        name: "failed long ago, and the rate stays",
        config: |config| config,
        failing: &["a"],
        after_s: 20,
        chosen: false,
    },
    Case {
        name: "failed long ago, and the rate halves",
        config: |config| config.failure_half_life(Duration::from_secs(2)),
        failing: &["a"],
        after_s: 20,
        chosen: true,
    },
];

#[test]
fn failing_targets_come_back() {
    for case in CASES {
        let zone = zone::Name::new("bodo").expect(case.name);
        let region = region::Name::new("nordland").expect(case.name);
        let mut table = Table::new((case.config)(Config::new(region, zone)));
        table.apply(&[target("a"), target("b")], Instant(0));
        let mut now = Instant(0) + Duration::from_mins(1);
        for name in case.failing {
            for _ in 0..FAILURES {
                table.started(&instance(name), now);
                let sample = Sample {
                    incarnation: Incarnation(1),
                    outcome: Outcome::Failure,
                    latency: Duration::from_micros(1),
                };
                now = now + Duration::from_micros(10);
                table.finished(&instance(name), sample, now);
            }
        }
        now = now + Duration::from_secs(case.after_s);
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
        let chosen = (0..500).any(|_| {
            let Ok(choice) = table.choose(&query, now, &mut random) else {
                return false;
            };
            // The request stays in flight, so that the other target gets busy.
            table.started(&choice.instance, now);
            choice.instance == instance("a")
        });
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}
