//! Seeds that failed once, with what they showed.

/// A seed and the fault that it found.
#[derive(Clone, Copy, Debug)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// Cause of the failure.
    pub cause: &'static str,
}

/// All of them; the short run of the tests plays each.
pub const REGRESSIONS: &[Regression] = &[
    Regression {
        seed: 1002,
        cause: "the soak started a backend server twice when two faults replaced it at once",
    },
    Regression {
        seed: 1010,
        cause: "the check did not allow that a change which a higher version has overtaken is acknowledged",
    },
];
