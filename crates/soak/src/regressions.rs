//! Seeds that once failed, with the cause of the failure.

/// A seed that once failed.
#[derive(Clone, Copy, Debug)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// Cause of the failure.
    pub cause: &'static str,
}

/// All regression seeds. The test `tests/soak.rs` of the package `shallotrill` runs each of them.
pub const REGRESSIONS: &[Regression] = &[
    Regression {
        seed: 1002,
        cause: "the soak test started a backend server twice when two faults replaced it at the same time",
    },
    Regression {
        seed: 1010,
        cause: "the check did not allow the acknowledgement of a change that a higher version had superseded",
    },
    Regression {
        seed: 3001,
        cause: "a backend server received more requests than its stated limit allows",
    },
    Regression {
        seed: 3002,
        cause: "a backend server received more requests than its stated limit allows",
    },
    Regression {
        seed: 3005,
        cause: "routers sent requests to a backend server that stated in its responses that it was leaving",
    },
    Regression {
        seed: 3009,
        cause: "a backend server received more requests than its stated limit allows",
    },
];
