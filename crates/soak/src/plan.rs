//! Plan of the faults of a run, generated from its seed.

use std::ops::Range;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Number of disks that may be lost, as configured in the settings of the processes.
pub const TOLERATED_DISKS: usize = 2;

/// Number of registry processes: with two disks lost, the remaining three of five are still a majority.
pub const REGISTRIES: usize = 5;

/// Time without faults after all processes are ready, in milliseconds.
const FAULT_FREE_START_MS: u64 = 1_000;

/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: Range<u64> = 200..3_500;

/// Limit that a backend server states, in requests in a thousand seconds.
const LIMIT_MILLIHERTZ: Range<u32> = 500..12_000;

/// Duration for which a limit is stated, in milliseconds. It applies to the routers after some seconds.
const LIMIT_DURATION_MS: Range<u64> = 6_000..12_000;

/// Changes the seed of a run for the faults of [`add_statements`].
const STATEMENTS_SEED: u64 = 0x5eed;

/// Index of a process of a run: registry processes first, then routers.
pub type ProcessIndex = usize;

/// Fault of the connections that pass through one forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes towards the process that accepts the connection are dropped.
    CutIn,
    /// Bytes from the process that accepts the connection are dropped.
    CutOut,
    /// Bytes are dropped in both directions; open connections stay unresponsive afterwards.
    Silence,
    /// All bytes are delayed by this many milliseconds.
    Slow(u64),
    /// All connections are reset at once.
    Reset,
}

/// A fault, or an ordinary action of operators. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is suspended for this time.
    Pause(ProcessIndex, u64),
    /// The process is killed and restarted.
    Kill(ProcessIndex),
    /// The process is stopped gracefully and restarted with this offset of its clock.
    Restart(ProcessIndex, i64),
    /// The seed addresses of the process are replaced, with or without a signal to reload them.
    Reseed(ProcessIndex, bool),
    /// All processes are killed and restarted.
    KillAll,
    /// A registry process loses its disk and restarts with an empty one.
    LoseDisk(ProcessIndex),
    /// The disk of a registry process refuses writes for this time.
    RefuseWrites(ProcessIndex, u64),
    /// The connections from other processes have a fault for this time.
    Peers(ProcessIndex, LinkFault, u64),
    /// The connections from a router to its backend server have a fault for this time.
    Backend(ProcessIndex, LinkFault, u64),
    /// The backend server of a router crashes and restarts as a new incarnation.
    Crash(ProcessIndex),
    /// The backend server deregisters, with or without draining first, and restarts as a new incarnation.
    Leave(ProcessIndex, bool),
    /// The backend server is slower by this factor for this time.
    SlowBackend(ProcessIndex, u32, u64),
    /// The backend server states for this time that it accepts this many requests in a thousand seconds.
    StateLimit(ProcessIndex, u32, u64),
    /// The backend server states only in its responses that it is leaving, and restarts as a new incarnation.
    LeaveUnannounced(ProcessIndex),
    /// An operator sends this many changes, one after another.
    Changes(u32),
    /// Two operators send different content under one version to two registry processes.
    Race,
}

/// A fault and its time.
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
    /// Number of routers, each with a backend server.
    pub routers: usize,
    /// Duration of the faults in milliseconds.
    pub length_ms: u64,
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed that the plan was generated from.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Faults sorted by time.
    pub steps: Vec<Step>,
}

/// Generates the plan of a seed. Without `size`, the size is generated too.
pub fn generate(seed: u64, size: Option<Size>) -> Plan {
    let mut random = Pcg64::seed_from_u64(seed);
    let random_size = Size {
        routers: random.random_range(4..10),
        length_ms: random.random_range(8_000..16_000),
    };
    let size = size.unwrap_or(random_size);
    let end = FAULT_FREE_START_MS + size.length_ms;
    let mut steps = Vec::new();
    let mut remaining_disk_losses = TOLERATED_DISKS;
    for _ in 0..random.random_range(6..16) {
        let at_ms = random.random_range(FAULT_FREE_START_MS..end);
        // A fault is injected once or repeatedly at short intervals.
        let repeats = if random.random_bool(0.3) {
            random.random_range(2..5)
        } else {
            1
        };
        let fault = random_fault(&mut random, size.routers, &mut remaining_disk_losses);
        let gap = random.random_range(50..900);
        for repeat in 0..repeats {
            let at_ms = at_ms + repeat * gap;
            let repeated = match fault {
                // A repetition would lose more disks than the system tolerates.
                Fault::LoseDisk(_) if repeat > 0 => continue,
                fault => fault,
            };
            steps.push(Step {
                at_ms,
                fault: repeated,
            });
        }
    }
    add_statements(seed, size, end, &mut steps);
    steps.sort_by_key(|step| step.at_ms);
    Plan {
        seed,
        routers: size.routers,
        steps,
    }
}

/// Adds faults in which backend servers state something in their responses. They have a random source
/// of their own, so that the other faults of a known seed stay the same.
fn add_statements(seed: u64, size: Size, end: u64, steps: &mut Vec<Step>) {
    let mut random = Pcg64::seed_from_u64(seed ^ STATEMENTS_SEED);
    for _ in 0..random.random_range(0..4) {
        let router = REGISTRIES + random.random_range(0..size.routers);
        let fault = if random.random_bool(0.7) {
            let millihertz = random.random_range(LIMIT_MILLIHERTZ);
            Fault::StateLimit(router, millihertz, random.random_range(LIMIT_DURATION_MS))
        } else {
            Fault::LeaveUnannounced(router)
        };
        let at_ms = random.random_range(FAULT_FREE_START_MS..end);
        steps.push(Step { at_ms, fault });
    }
}

fn random_fault(random: &mut Pcg64, routers: usize, remaining_disk_losses: &mut usize) -> Fault {
    let registry = random.random_range(0..REGISTRIES);
    let router = REGISTRIES + random.random_range(0..routers);
    let process = if random.random_bool(0.4) {
        registry
    } else {
        router
    };
    let duration_ms = random.random_range(FAULT_DURATION_MS);
    match random.random_range(0..20) {
        0 | 1 => Fault::Pause(process, duration_ms),
        2 | 3 => Fault::Kill(process),
        4..=6 => Fault::Restart(process, random.random_range(-5_000..5_000)),
        7 => Fault::Reseed(process, random.random_bool(0.5)),
        8 if random.random_bool(0.5) => Fault::KillAll,
        9 if *remaining_disk_losses > 0 => {
            *remaining_disk_losses -= 1;
            Fault::LoseDisk(registry)
        }
        10 => Fault::RefuseWrites(registry, duration_ms),
        11..=13 => Fault::Peers(process, random_link_fault(random), duration_ms),
        14 => Fault::Backend(router, random_link_fault(random), duration_ms),
        15 => Fault::Crash(router),
        16 => Fault::Leave(router, random.random_bool(0.7)),
        17 => Fault::SlowBackend(router, random.random_range(2..8), duration_ms),
        18 => Fault::Race,
        _ => Fault::Changes(random.random_range(1..8)),
    }
}

fn random_link_fault(random: &mut Pcg64) -> LinkFault {
    match random.random_range(0..5) {
        0 => LinkFault::CutIn,
        1 => LinkFault::CutOut,
        2 => LinkFault::Silence,
        3 => LinkFault::Slow(random.random_range(20..400)),
        _ => LinkFault::Reset,
    }
}
