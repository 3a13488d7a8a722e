//! Bounds on herding and on the shares of bad targets, in virtual time with fixed seeds.

// The example uses more of the simulation than the tests do.
#[expect(dead_code, reason = "the example prints more figures")]
#[path = "../examples/simulation/mod.rs"]
mod simulation;

use crate::simulation::World;
use crate::simulation::scenario;
use crate::simulation::scenario::Scenario;
use shallotrill_routing::policy;

struct Case {
    name: &'static str,
    scenario: Scenario,
    herding_max: f64,
    share_max: f64,
    last_us_max: u64,
}

/// Guards against herds on stale reports (the highest over the mean load), and against load drawn
/// by a target that fails fast, is slow or drains. A fair share is 1 in 12. Choosers learn of
/// the drain at 1,050 ms, and a request is at most 0.5 ms on the way.
const CASES: &[Case] = &[
    Case {
        name: "no herd when steady",
        scenario: scenario::STEADY,
        herding_max: 1.8,
        share_max: 0.1,
        last_us_max: u64::MAX,
    },
    Case {
        name: "a liar gets a trickle",
        scenario: scenario::FAST_FAILURE,
        herding_max: 1.9,
        share_max: 0.005,
        last_us_max: u64::MAX,
    },
    Case {
        name: "a straggler loses share",
        scenario: scenario::STRAGGLER,
        herding_max: 1.9,
        share_max: 0.01,
        last_us_max: u64::MAX,
    },
    Case {
        name: "a drain ends new work once it is known",
        scenario: scenario::DRAIN,
        herding_max: 1.9,
        share_max: 0.002,
        last_us_max: 1_050_500,
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
            let mut world = World::new(policy::SCORED, scenario, 10, 12, seed);
            world.run();
            let (herding, share) = (world.figures.herding(), world.share(0));
            let what = format!("{}, seed {seed}: {herding}, {share}", case.name);
            assert!(herding <= case.herding_max, "{what}");
            assert!(share <= case.share_max, "{what}");
            let last_us = world.servers[0].last_us;
            assert!(last_us <= case.last_us_max, "{what}, {last_us}");
        }
    }
}
