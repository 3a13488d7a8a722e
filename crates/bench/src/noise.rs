//! Varies the speed of a stand-in backend server over time.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::time;

/// Slowdown factor of an undisturbed stand-in, in thousandths.
pub const NORMAL_PERMILLE: u64 = 1_000;

/// Slowdown factor while a neighbour is busy, in thousandths.
const BUSY_PERMILLE: u64 = 4 * NORMAL_PERMILLE;

/// Slowdown factor at the start of a cold stand-in, in thousandths.
const COLD_PERMILLE: u64 = 8 * NORMAL_PERMILLE;

/// Mean length of a busy and of a quiet period of a neighbour, in milliseconds.
const BUSY_MEAN_MS: f64 = 12.0;
const QUIET_MEAN_MS: f64 = 36.0;

/// Number of steps in which a cold stand-in reaches normal speed.
const COLD_STEPS: u32 = 20;

/// A pattern of speed changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variation {
    /// A noisy neighbour: busy and quiet periods alternate, with exponentially distributed lengths.
    Neighbour {
        /// Seed of the lengths.
        seed: u64,
    },
    /// A cold start: slow at first, with normal speed after this time.
    Cold(Duration),
}

/// Runs a variation and calls `set_slowdown` with each new factor, in thousandths.
pub async fn run(variation: Variation, set_slowdown: impl Fn(u64)) {
    match variation {
        Variation::Neighbour { seed } => neighbour(seed, set_slowdown).await,
        Variation::Cold(time) => cold(time, set_slowdown).await,
    }
}

async fn neighbour(seed: u64, set_slowdown: impl Fn(u64)) {
    let mut random = Pcg64::seed_from_u64(seed);
    loop {
        set_slowdown(NORMAL_PERMILLE);
        time::sleep(exponential(QUIET_MEAN_MS, &mut random)).await;
        set_slowdown(BUSY_PERMILLE);
        time::sleep(exponential(BUSY_MEAN_MS, &mut random)).await;
    }
}

async fn cold(time: Duration, set_slowdown: impl Fn(u64)) {
    for step in 0..COLD_STEPS {
        let remaining = u64::from(COLD_STEPS - step);
        set_slowdown(
            NORMAL_PERMILLE + (COLD_PERMILLE - NORMAL_PERMILLE) * remaining / u64::from(COLD_STEPS),
        );
        time::sleep(time / COLD_STEPS).await;
    }
    set_slowdown(NORMAL_PERMILLE);
}

/// Returns an exponentially distributed time with this mean.
pub fn exponential<R: Rng>(mean_ms: f64, random: &mut R) -> Duration {
    let unit: f64 = random.random();
    Duration::from_secs_f64(-mean_ms * (1.0 - unit).ln() / 1_000.0)
}
