//! What happens in a run, drawn from its seed.

use std::ops::Range;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Disks that may be lost at once, as the settings of the processes say.
pub const TOLERATED_DISKS: usize = 2;

/// Registry processes at the start: with two disks lost, three of five are still a majority.
pub const REGISTRIES: usize = 5;

/// Time without faults after all processes are ready.
const CALM_START_MS: u64 = 1_000;

/// Longest fault that ends by itself.
const FAULT_MS: Range<u64> = 200..3_500;

/// A process of a run: registry processes first, then routers.
pub type Process = usize;

/// How a fault harms the connections that a process accepts from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// What others send does not arrive.
    CutIn,
    /// What it answers does not arrive.
    CutOut,
    /// Neither arrives; connections stay silent for good afterwards.
    Silence,
    /// All bytes are late by this many milliseconds.
    Slow(u64),
    /// All connections are reset at once.
    Reset,
}

/// Something that goes wrong, or an ordinary action of those who run the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is suspended.
    Pause(Process, u64),
    /// The process is killed and started again.
    Kill(Process),
    /// The process is asked to stop and started again, with another error of its clock in milliseconds.
    Restart(Process, i64),
    /// The process gets other seeds, with or without a signal.
    Reseed(Process, bool),
    /// All processes are killed and started again.
    KillAll,
    /// The disk of a registry process is lost; it starts again with an empty one.
    LoseDisk(Process),
    /// The disk of a registry process refuses writes.
    RefuseWrites(Process, u64),
    /// The connections from other processes are harmed.
    Peers(Process, Harm, u64),
    /// The connections from a router to the backend server beside it are harmed.
    Backend(Process, Harm, u64),
    /// The backend server beside a router crashes and comes back as another.
    Crash(Process),
    /// The backend server leaves, with or without notice before, and comes back as another.
    Leave(Process, bool),
    /// The backend server works more slowly by this factor.
    SlowBackend(Process, u32, u64),
    /// An operator sends this many changes, one after another.
    Changes(u32),
    /// Two operators send different content under one version to two registry processes.
    Race,
}

/// A fault and its time since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Milliseconds since all processes were ready.
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Size and length of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Routers, each with a backend server.
    pub routers: usize,
    /// Milliseconds with faults.
    pub length_ms: u64,
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed that it was drawn from.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// In the order of their times.
    pub steps: Vec<Step>,
}

/// Draws the plan of a seed. Without a size the seed decides it.
pub fn draw(seed: u64, size: Option<Size>) -> Plan {
    let mut random = Pcg64::seed_from_u64(seed);
    let drawn = Size {
        routers: random.random_range(4..10),
        length_ms: random.random_range(8_000..16_000),
    };
    let size = size.unwrap_or(drawn);
    let end = CALM_START_MS + size.length_ms;
    let mut steps = Vec::new();
    let mut disks = TOLERATED_DISKS;
    for _ in 0..random.random_range(6..16) {
        let at_ms = random.random_range(CALM_START_MS..end);
        // Faults come alone or in a series with short gaps.
        let repeats = if random.random_bool(0.3) {
            random.random_range(2..5)
        } else {
            1
        };
        let fault = fault(&mut random, size.routers, &mut disks);
        let gap = random.random_range(50..900);
        for repeat in 0..repeats {
            let at_ms = at_ms + repeat * gap;
            let again = match fault {
                // Each further loss counts against the tolerance.
                Fault::LoseDisk(_) if repeat > 0 => continue,
                fault => fault,
            };
            steps.push(Step {
                at_ms,
                fault: again,
            });
        }
    }
    steps.sort_by_key(|step| step.at_ms);
    Plan {
        seed,
        routers: size.routers,
        steps,
    }
}

fn fault(random: &mut Pcg64, routers: usize, disks: &mut usize) -> Fault {
    let registry = random.random_range(0..REGISTRIES);
    let router = REGISTRIES + random.random_range(0..routers);
    let process = if random.random_bool(0.4) {
        registry
    } else {
        router
    };
    let for_ms = random.random_range(FAULT_MS);
    match random.random_range(0..20) {
        0 | 1 => Fault::Pause(process, for_ms),
        2 | 3 => Fault::Kill(process),
        4..=6 => Fault::Restart(process, random.random_range(-5_000..5_000)),
        7 => Fault::Reseed(process, random.random_bool(0.5)),
        8 if random.random_bool(0.5) => Fault::KillAll,
        9 if *disks > 0 => {
            *disks -= 1;
            Fault::LoseDisk(registry)
        }
        10 => Fault::RefuseWrites(registry, for_ms),
        11..=13 => Fault::Peers(process, harm(random), for_ms),
        14 => Fault::Backend(router, harm(random), for_ms),
        15 => Fault::Crash(router),
        16 => Fault::Leave(router, random.random_bool(0.7)),
        17 => Fault::SlowBackend(router, random.random_range(2..8), for_ms),
        18 => Fault::Race,
        _ => Fault::Changes(random.random_range(1..8)),
    }
}

fn harm(random: &mut Pcg64) -> Harm {
    match random.random_range(0..5) {
        0 => Harm::CutIn,
        1 => Harm::CutOut,
        2 => Harm::Silence,
        3 => Harm::Slow(random.random_range(20..400)),
        _ => Harm::Reset,
    }
}
