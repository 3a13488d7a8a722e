//! How the speed of a stand-in changes over time.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::time;

/// Slowness of an undisturbed stand-in, in thousandths.
pub const NORMAL: u64 = 1_000;

/// Slowness while a neighbour is busy.
const BUSY: u64 = 4 * NORMAL;

/// Slowness at the start of a cold stand-in.
const COLD: u64 = 8 * NORMAL;

/// Mean times for which a neighbour is busy and quiet, in milliseconds.
const BUSY_MS: f64 = 12.0;
const QUIET_MS: f64 = 36.0;

/// Steps in which a cold stand-in becomes warm.
const COLD_STEPS: u32 = 20;

/// A change of speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variation {
    /// A neighbour is busy and quiet in turn, for exponential times from this seed.
    Neighbour {
        /// The seed.
        seed: u64,
    },
    /// Slow at first and normal after this time.
    Cold(Duration),
}

/// Runs a variation; `set` takes the slowness in thousandths.
pub async fn run(variation: Variation, set: impl Fn(u64)) {
    match variation {
        Variation::Neighbour { seed } => neighbour(seed, set).await,
        Variation::Cold(time) => cold(time, set).await,
    }
}

async fn neighbour(seed: u64, set: impl Fn(u64)) {
    let mut random = Pcg64::seed_from_u64(seed);
    loop {
        set(NORMAL);
        time::sleep(exponential(QUIET_MS, &mut random)).await;
        set(BUSY);
        time::sleep(exponential(BUSY_MS, &mut random)).await;
    }
}

async fn cold(time: Duration, set: impl Fn(u64)) {
    for step in 0..COLD_STEPS {
        let left = u64::from(COLD_STEPS - step);
        set(NORMAL + (COLD - NORMAL) * left / u64::from(COLD_STEPS));
        time::sleep(time / COLD_STEPS).await;
    }
    set(NORMAL);
}

/// An exponential time of this mean.
pub fn exponential<R: Rng>(mean_ms: f64, random: &mut R) -> Duration {
    let unit: f64 = random.random();
    Duration::from_secs_f64(-mean_ms * (1.0 - unit).ln() / 1_000.0)
}
