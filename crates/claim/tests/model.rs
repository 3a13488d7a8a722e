//! Runs random schedules of three members and compares them with a model of what was dispatched and reported.

mod world;

use proptest::collection;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use world::Faults;
use world::World;

struct Case {
    name: &'static str,
    faults: Faults,
    schedules: u32,
    /// Least number of dispatches, answers and completed repairs over all schedules, so that a test
    /// whose schedules reach none of them fails.
    minimum: [usize; 3],
}

/// Guards against a second dispatch, a dispatch after "not run" was reported, and an answer that changes.
const CASES: &[Case] = &[
    Case {
        name: "messages lost, duplicated and reordered",
        faults: Faults {
            crashes: false,
            disks: false,
        },
        schedules: 800,
        minimum: [50, 20, 0],
    },
    Case {
        name: "members crash and lose what was not synced",
        faults: Faults {
            crashes: true,
            disks: false,
        },
        schedules: 800,
        minimum: [50, 20, 0],
    },
    Case {
        name: "disks are lost, copied and lost again",
        faults: Faults {
            crashes: true,
            disks: true,
        },
        schedules: 1_500,
        minimum: [50, 20, 50],
    },
];

#[test]
fn key_is_dispatched_at_most_once() {
    for case in CASES {
        let config = Config {
            cases: case.schedules,
            failure_persistence: None,
            max_shrink_iters: 2_000,
            ..Config::default()
        };
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let schedule = collection::vec(any::<u32>(), 600..1500);
        let counts = std::cell::Cell::new([0; 3]);
        let result = runner.run(&schedule, |choices| {
            let mut world = World::new(case.faults);
            for choice in choices {
                world.step(choice);
                world.check().map_err(TestCaseError::fail)?;
            }
            let [dispatches, answers, repairs] = counts.get();
            let added = world.counts();
            counts.set([
                dispatches + added[0],
                answers + added[1],
                repairs + added[2],
            ]);
            Ok(())
        });
        assert!(result.is_ok(), "{}: {result:?}", case.name);
        println!(
            "{}: dispatches, answers, repairs: {:?}",
            case.name,
            counts.get()
        );
        let enough = counts.get().iter().zip(case.minimum).all(|(s, l)| *s >= l);
        assert!(
            enough,
            "{}: too few dispatches, answers or repairs: {:?}",
            case.name,
            counts.get()
        );
    }
}
