//! Upper bounds for herding and for the share of requests that faulty targets receive, simulated in
//! virtual time with fixed seeds.

// The `simulate` example uses items of the module that this test does not.
#[expect(dead_code, reason = "the example prints more measurements")]
#[path = "../examples/simulation/mod.rs"]
mod simulation;

use crate::simulation::Simulation;
use crate::simulation::scenario;
use crate::simulation::scenario::Scenario;
use shallotrill_routing::policy;

struct Case {
    name: &'static str,
    scenario: Scenario,
    herding_max: f64,
    share_max: f64,
    last_request_us_max: u64,
}

/// Guards against herding on stale reports, measured as the highest load over the mean load, and
/// against load attracted by a target that fails fast, is slow or drains. The fair share of a target
/// is 1 in 12. Clients learn of the drain at 1,050 ms, and a request travels for at most 0.5 ms.
const CASES: &[Case] = &[
    Case {
        name: "no herding under steady load",
        scenario: scenario::STEADY,
        herding_max: 1.8,
        share_max: 0.1,
        last_request_us_max: u64::MAX,
    },
    Case {
        name: "a target that fails fast receives few requests",
        scenario: scenario::FAST_FAILURE,
        herding_max: 1.9,
        share_max: 0.005,
        last_request_us_max: u64::MAX,
    },
    Case {
        name: "a straggler receives few requests",
        scenario: scenario::STRAGGLER,
        herding_max: 1.9,
        share_max: 0.01,
        last_request_us_max: u64::MAX,
    },
    Case {
        name: "a draining target receives no requests once the drain is known",
        scenario: scenario::DRAIN,
        herding_max: 1.9,
        share_max: 0.002,
        last_request_us_max: 1_050_500,
    },
];

#[test]
fn shares_and_herding_are_bounded() {
    for case in CASES {
        for seed in [1, 2, 3] {
            let scenario = Scenario {
                seconds: 3,
                ..case.scenario
            };
            let mut simulation = Simulation::new(policy::SCORED, scenario, 10, 12, seed);
            simulation.run();
            let (herding, share) = (simulation.measurements.herding(), simulation.share(0));
            let context = format!(
                "{}, seed {seed}: herding {herding}, share {share}",
                case.name
            );
            assert!(herding <= case.herding_max, "{context}");
            assert!(share <= case.share_max, "{context}");
            let last_request_us = simulation.targets[0].last_request_us;
            assert!(
                last_request_us <= case.last_request_us_max,
                "{context}, last request at {last_request_us} us"
            );
        }
    }
}
