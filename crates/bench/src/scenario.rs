//! Scenarios for the comparison of routing policies: faults of the targets and behaviour of callers.

use std::time::Duration;

/// Requests per second that the targets of a comparison can serve.
///
/// Five targets with four slots each take 10 ms for a request, which the 1 ms
/// resolution of the stand-in's timer makes 11 ms on average.
pub const CAPACITY: f64 = 5.0 * 4.0 / 0.011;

/// Load, faults of the targets and retry behaviour of the callers.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Offered load as a share of [`CAPACITY`], without retries and duplicates.
    pub load: f64,
    /// Queries for the control path of the stand-ins, with the index of the target.
    pub faults: &'static [(usize, &'static str)],
    /// Whether the first stand-in is restarted before the run.
    pub restart: bool,
    /// Whether the faults start in the middle of the measured time instead of at the start of the run.
    pub faults_midway: bool,
    /// Maximum number of attempts for each request.
    pub attempts_max: u32,
    /// Time limit for a request with all its attempts; also its deadline.
    pub total_timeout: Duration,
    /// Time after which a caller aborts an attempt and sends the request again; `None` means never.
    pub attempt_timeout: Option<Duration>,
    /// Time after which a caller sends a duplicate request while earlier ones are open; `None` means never.
    pub duplicate_after: Option<Duration>,
}

/// No faults, and callers never retry.
const STEADY: Scenario = Scenario {
    name: "steady",
    load: 0.65,
    faults: &[],
    restart: false,
    faults_midway: false,
    attempts_max: 1,
    total_timeout: Duration::from_secs(1),
    attempt_timeout: None,
    duplicate_after: None,
};

/// All scenarios that routing policies are compared in.
pub const ALL: &[Scenario] = &[
    STEADY,
    Scenario {
        name: "straggler",
        faults: &[(0, "service-us=100000")],
        ..STEADY
    },
    Scenario {
        name: "noisy",
        load: 0.45,
        faults: &[
            (0, "noise=11"),
            (1, "noise=12"),
            (2, "noise=13"),
            (3, "noise=14"),
            (4, "noise=15"),
        ],
        ..STEADY
    },
    Scenario {
        name: "fail-fast",
        faults: &[(0, "mode=fail-fast")],
        ..STEADY
    },
    Scenario {
        name: "cold",
        faults: &[(0, "cold-ms=4000")],
        restart: true,
        ..STEADY
    },
    Scenario {
        name: "drain",
        faults: &[(0, "mode=drain")],
        faults_midway: true,
        ..STEADY
    },
    Scenario {
        name: "shed",
        faults: &[(0, "mode=shed")],
        ..STEADY
    },
    Scenario {
        name: "overload",
        load: 1.5,
        attempts_max: 10,
        total_timeout: Duration::from_millis(250),
        ..STEADY
    },
    Scenario {
        name: "copies",
        load: 0.12,
        faults: &[
            (0, "service-us=50000"),
            (1, "service-us=50000"),
            (2, "service-us=50000"),
            (3, "service-us=50000"),
            (4, "service-us=50000"),
        ],
        attempts_max: 20,
        duplicate_after: Some(Duration::from_millis(10)),
        ..STEADY
    },
    Scenario {
        name: "impatient",
        load: 0.02,
        faults: &[
            (0, "service-us=150000"),
            (1, "service-us=150000"),
            (2, "service-us=150000"),
            (3, "service-us=150000"),
            (4, "service-us=150000"),
        ],
        attempts_max: 20,
        attempt_timeout: Some(Duration::from_millis(60)),
        ..STEADY
    },
    Scenario {
        name: "swarm",
        load: 0.002,
        faults: &[
            (0, "service-us=300000"),
            (1, "service-us=300000"),
            (2, "service-us=300000"),
            (3, "service-us=300000"),
            (4, "service-us=300000"),
        ],
        attempts_max: 200,
        duplicate_after: Some(Duration::from_millis(1)),
        ..STEADY
    },
];
