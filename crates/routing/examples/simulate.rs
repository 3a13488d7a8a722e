//! Prints latencies of the chosen policy and the baselines in virtual time.
//!
//! `cargo run --release -p shallotrill-routing --example simulate [SEED]`

mod simulation;

use std::env;

use crate::simulation::World;
use crate::simulation::scenario;
use shallotrill_routing::policy;

const CHOOSERS: usize = 30;
const SERVERS: usize = 24;
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
            let mut world = World::new(policy, scenario, CHOOSERS, SERVERS, seed);
            world.run();
            let figures = &world.figures;
            let all = figures.latencies_us.len() as u64 + figures.failed + figures.refused;
            let percent = |part: u64| part as f64 * 100.0 / all.max(1) as f64;
            println!(
                "{:13} {:16} {:8.2} {:7.2} {:8.2} {:8.3} {:9.3} {:7.2} {:19.3}",
                scenario.name,
                policy.name,
                figures.quantile_ms(0.5),
                figures.quantile_ms(0.99),
                figures.quantile_ms(0.999),
                percent(figures.failed),
                percent(figures.refused),
                figures.herding(),
                world.share(0) * 100.0,
            );
        }
    }
}
