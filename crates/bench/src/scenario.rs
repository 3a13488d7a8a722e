//! What happens to the targets while policies of the choice are compared.

use std::time::Duration;

/// Requests in a second that the targets of a comparison can serve.
///
/// Five targets of four slots take 10 ms for a request, which the 1 ms steps
/// of the stand-in's timer make 11 ms on average.
pub const CAPACITY: f64 = 5.0 * 4.0 / 0.011;

/// What happens, and how callers behave.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Offered first requests as a share of [`CAPACITY`].
    pub load: f64,
    /// Queries for the control path of stand-ins, by number of the target.
    pub faults: &'static [(usize, &'static str)],
    /// Whether the first stand-in is started anew.
    pub restart: bool,
    /// Whether the faults come in the middle of the counted time instead of before the run.
    pub sudden: bool,
    /// Most times that a caller sends a request.
    pub tries: u32,
    /// Time after which the person gives up.
    pub patience: Duration,
    /// Time after which a caller drops a request and sends it again.
    pub drop_after: Option<Duration>,
    /// Time after which a caller sends one more copy.
    pub copy_after: Option<Duration>,
}

/// Nothing happens and callers never repeat.
const STEADY: Scenario = Scenario {
    name: "steady",
    load: 0.65,
    faults: &[],
    restart: false,
    sudden: false,
    tries: 1,
    patience: Duration::from_secs(1),
    drop_after: None,
    copy_after: None,
};

/// The scenarios of a comparison.
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
        sudden: true,
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
        tries: 10,
        patience: Duration::from_millis(250),
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
        tries: 20,
        copy_after: Some(Duration::from_millis(10)),
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
        tries: 20,
        drop_after: Some(Duration::from_millis(60)),
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
        tries: 200,
        copy_after: Some(Duration::from_millis(1)),
        ..STEADY
    },
];
