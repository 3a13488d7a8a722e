//! Scenarios of the simulation: the load, and how the behaviour of the targets changes over time.

use std::time::Duration;

use super::Simulation;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::target::State;
use shallotrill_routing::config::Config;
use shallotrill_routing::config::Subset;

/// A load and the changes of the targets; `tick` is called each virtual millisecond with the time in microseconds.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    /// Offered load as a multiple of the capacity of all targets.
    pub load: f64,
    pub seconds: u64,
    /// Mean time that an undisturbed target takes for a request, in microseconds.
    pub service_time_us: f64,
    /// Changes the default configuration of the routing table of the client with this number.
    pub config: fn(Config, u64) -> Config,
    pub tick: fn(&mut Simulation, u64),
}

/// The behaviour of the targets does not change.
pub const STEADY: Scenario = Scenario {
    name: "steady",
    load: 0.7,
    seconds: 6,
    service_time_us: 6_000.0,
    config: |config, _| config,
    tick: |_, _| {},
};

/// One target is slower by a factor of ten from the first second on.
pub const STRAGGLER: Scenario = Scenario {
    name: "straggler",
    tick: |simulation, now_us| {
        if now_us == 1_000_000 {
            simulation.targets[0].slowdown = 10.0;
        }
    },
    ..STEADY
};

/// Every 4 ms, each target becomes slower by a factor of three with a probability of 1 in 5.
pub const NOISY: Scenario = Scenario {
    name: "noisy",
    load: 0.55,
    tick: |simulation, now_us| {
        if now_us.is_multiple_of(4_000) {
            for index in 0..simulation.targets.len() {
                let noisy = simulation.random().is_multiple_of(5);
                simulation.targets[index].slowdown = if noisy { 3.0 } else { 1.0 };
            }
        }
    },
    ..STEADY
};

/// Configuration of the routing tables that a router uses.
pub fn router_config(config: Config, client: u64) -> Config {
    config
        .latency_band(1.0)
        .latency_half_life(Duration::from_millis(300))
        .cross_zone_share(1.0)
        .local_zone_targets(3)
        .load_latency_share(1.0)
        .subset(Subset {
            key: client,
            local: 8,
            other: 2,
        })
}

/// Requests take 300 ms, and a quarter of the targets is four times as slow for 300 ms at a time, as on the
/// shared machines of the large site.
pub const SLOW_SERVICE: Scenario = Scenario {
    name: "slow-service",
    load: 0.55,
    seconds: 30,
    service_time_us: 300_000.0,
    config: router_config,
    tick: |simulation, now_us| {
        if now_us.is_multiple_of(300_000) {
            for index in 0..simulation.targets.len() {
                let noisy = simulation.random().is_multiple_of(4);
                simulation.targets[index].slowdown = if noisy { 4.0 } else { 1.0 };
            }
        }
    },
};

/// One target responds at once with an error and reports no failures, from the first second on.
pub const FAST_FAILURE: Scenario = Scenario {
    name: "fast-failure",
    tick: |simulation, now_us| {
        if now_us == 1_000_000 {
            simulation.targets[0].fails_fast = true;
        }
    },
    ..STEADY
};

/// One target restarts at the first second and is five times as slow, decaying with a time constant of 2 s.
pub const COLD_START: Scenario = Scenario {
    name: "cold-start",
    seconds: 12,
    tick: |simulation, now_us| {
        if now_us == 1_000_000 {
            simulation.targets[0].announced.incarnation = Incarnation(2);
            simulation.announce(now_us);
        }
        if now_us >= 1_000_000 {
            let elapsed = (now_us - 1_000_000) as f64 / 2_000_000.0;
            simulation.targets[0].slowdown = 1.0 + 4.0 * (-elapsed).exp();
        }
    },
    ..STEADY
};

/// One target refuses requests from the first second on; clients are notified 50 ms later.
pub const DRAIN: Scenario = Scenario {
    name: "drain",
    tick: |simulation, now_us| {
        if now_us == 1_000_000 {
            simulation.targets[0].refuses_requests = true;
            simulation.targets[0].announced.state = State::Draining;
        }
        if now_us == 1_050_000 {
            simulation.announce(now_us);
        }
    },
    ..STEADY
};

/// The offered load is 1.5 times the capacity of the targets.
pub const OVERLOAD: Scenario = Scenario {
    name: "overload",
    load: 1.5,
    ..STEADY
};
