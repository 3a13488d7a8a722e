//! Prints latencies, failures and herding of the scored policy and of the baseline policies, simulated
//! in virtual time.
//!
//! `cargo run --release -p shallotrill-routing --example simulate [SEED]`

mod simulation;

use std::env;

use crate::simulation::Simulation;
use crate::simulation::scenario;
use shallotrill_routing::policy;

const CLIENTS: usize = 30;
const TARGETS: usize = 24;
const SEED: u64 = 7;

fn main() {
    let argument = env::args().nth(1);
    let seed = argument.map_or(SEED, |text| text.parse().expect("the seed is a number"));
    println!(
        "scenario      policy             p50 ms  p99 ms p99.9 ms failed % refused % herding share of target 0 %"
    );
    for scenario in [
        scenario::STEADY,
        scenario::STRAGGLER,
        scenario::NOISY,
        scenario::SLOW_SERVICE,
        scenario::FAST_FAILURE,
        scenario::COLD_START,
        scenario::DRAIN,
        scenario::OVERLOAD,
    ] {
        for policy in [
            policy::SCORED,
            policy::RANDOM,
            policy::ROUND_ROBIN,
            policy::LEAST_IN_FLIGHT,
        ] {
            let mut simulation = Simulation::new(policy, scenario, CLIENTS, TARGETS, seed);
            simulation.run();
            let measurements = &simulation.measurements;
            let total =
                measurements.latencies_us.len() as u64 + measurements.failed + measurements.refused;
            let percent = |part: u64| part as f64 * 100.0 / total.max(1) as f64;
            println!(
                "{:13} {:16} {:8.2} {:7.2} {:8.2} {:8.3} {:9.3} {:7.2} {:19.3}",
                scenario.name,
                policy.name,
                measurements.quantile_ms(0.5),
                measurements.quantile_ms(0.99),
                measurements.quantile_ms(0.999),
                percent(measurements.failed),
                percent(measurements.refused),
                measurements.herding(),
                simulation.share(0) * 100.0,
            );
        }
    }
}
