//! What happens to the targets of a simulation.

use super::World;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::target::State;

/// What happens to the targets; `tick` is called each virtual millisecond.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    /// Offered load over the capacity of all targets.
    pub load: f64,
    pub seconds: u64,
    pub tick: fn(&mut World, u64),
}

/// Nothing happens.
pub const STEADY: Scenario = Scenario {
    name: "steady",
    load: 0.7,
    seconds: 6,
    tick: |_, _| {},
};

/// One target takes ten times as long from the first second on.
pub const STRAGGLER: Scenario = Scenario {
    name: "straggler",
    tick: |world, now| {
        if now == 1_000_000 {
            world.servers[0].slowness = 10.0;
        }
    },
    ..STEADY
};

/// Every 4 ms each target is slowed by three with a chance of 1 in 5.
pub const NOISY: Scenario = Scenario {
    name: "noisy",
    load: 0.55,
    tick: |world, now| {
        if now.is_multiple_of(4_000) {
            for at in 0..world.servers.len() {
                let noisy = world.random().is_multiple_of(5);
                world.servers[at].slowness = if noisy { 3.0 } else { 1.0 };
            }
        }
    },
    ..STEADY
};

/// One target fails at once and reports no failures from the first second on.
pub const FAST_FAILURE: Scenario = Scenario {
    name: "fast-failure",
    tick: |world, now| {
        if now == 1_000_000 {
            world.servers[0].liar = true;
        }
    },
    ..STEADY
};

/// One target restarts at the first second: five times as slow, decaying over 2 s.
pub const COLD_START: Scenario = Scenario {
    name: "cold-start",
    seconds: 12,
    tick: |world, now| {
        if now == 1_000_000 {
            world.servers[0].target.incarnation = Incarnation(2);
            world.announce(now);
        }
        if now >= 1_000_000 {
            let age = (now - 1_000_000) as f64 / 2_000_000.0;
            world.servers[0].slowness = 1.0 + 4.0 * (-age).exp();
        }
    },
    ..STEADY
};

/// One target refuses work from the first second on; choosers are told 50 ms later.
pub const DRAIN: Scenario = Scenario {
    name: "drain",
    tick: |world, now| {
        if now == 1_000_000 {
            world.servers[0].leaving = true;
            world.servers[0].target.state = State::Draining;
        }
        if now == 1_050_000 {
            world.announce(now);
        }
    },
    ..STEADY
};

/// Half again as many requests as the targets can take.
pub const OVERLOAD: Scenario = Scenario {
    name: "overload",
    load: 1.5,
    ..STEADY
};
