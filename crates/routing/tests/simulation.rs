//! Upper bounds for herding and for the share of requests that faulty targets receive, simulated in
//! virtual time with fixed seeds.

// The `simulate` example uses items of the module that this test does not.
#[expect(dead_code, reason = "the example prints more measurements")]
#[path = "../examples/simulation/mod.rs"]
mod simulation;

use crate::simulation::Simulation;
use crate::simulation::scenario;
use crate::simulation::scenario::Scenario;
use shallotrill_routing::config::Config;
use shallotrill_routing::config::Subset;
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

struct TailCase {
    name: &'static str,
    scenario: Scenario,
    clients: usize,
    targets: usize,
    /// Configuration without the mechanism.
    without: fn(Config, u64) -> Config,
    /// Highest allowed ratio of the 90th percentile of the latency to the one without the mechanism.
    ratio_max: f64,
}

/// Guards against choices that rest on no load report: because the reports of a slow service expire within a fraction
/// of a request (large site, `scale-1`: 57% of the logged choices rested on reports older than 300 ms), and because each
/// of many clients spreads its requests over all of many targets.
const TAIL_CASES: &[TailCase] = &[
    TailCase {
        name: "reports of a slow service last as long as its requests",
        scenario: scenario::SLOW_SERVICE,
        clients: 84,
        targets: 22,
        without: |config, client| scenario::router_config(config, client).load_latency_share(0.0),
        ratio_max: 0.95,
    },
    TailCase {
        name: "clients prefer a subset of 300 targets",
        scenario: Scenario {
            seconds: 10,
            ..scenario::SLOW_SERVICE
        },
        clients: 600,
        targets: 300,
        without: |config, client| {
            scenario::router_config(config, client).subset(Subset {
                key: client,
                local: usize::MAX,
                other: usize::MAX,
            })
        },
        ratio_max: 0.95,
    },
];

#[test]
fn mechanisms_shorten_the_tail() {
    for case in TAIL_CASES {
        let tail_ms = |scenario: Scenario| {
            let seeds = [1, 2, 3].into_iter();
            let tails = seeds.map(|seed| {
                let (clients, targets) = (case.clients, case.targets);
                let mut simulation =
                    Simulation::new(policy::SCORED, scenario, clients, targets, seed);
                simulation.run();
                simulation.measurements.quantile_ms(0.9)
            });
            tails.sum::<f64>()
        };
        let with = tail_ms(case.scenario);
        let without = tail_ms(Scenario {
            config: case.without,
            ..case.scenario
        });
        let ratio = with / without;
        assert!(ratio <= case.ratio_max, "{}: {ratio}", case.name);
    }
}
