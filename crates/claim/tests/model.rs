//! Random schedules of three members against a plain model of what was dispatched and reported.

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
    /// Fewest dispatches, answers and completed repairs over all schedules, so that the run shows something.
    least: [usize; 3],
}

/// Guards against a second dispatch, a dispatch after "not run", and an answer that changes.
const CASES: &[Case] = &[
    Case {
        name: "messages lost, duplicated and reordered",
        faults: Faults {
            crashes: false,
            disks: false,
        },
        schedules: 800,
        least: [50, 20, 0],
    },
    Case {
        name: "members crash and lose what was not synced",
        faults: Faults {
            crashes: true,
            disks: false,
        },
        schedules: 800,
        least: [50, 20, 0],
    },
    Case {
        name: "disks are lost, copied and lost again",
        faults: Faults {
            crashes: true,
            disks: true,
        },
        schedules: 1_500,
        least: [50, 20, 50],
    },
];

#[test]
fn a_key_is_dispatched_at_most_once() {
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
        let seen = std::cell::Cell::new([0; 3]);
        let result = runner.run(&schedule, |choices| {
            let mut world = World::new(case.faults);
            for choice in choices {
                world.step(choice);
                world.check().map_err(TestCaseError::fail)?;
            }
            let [dispatches, answers, repairs] = seen.get();
            let more = world.seen();
            seen.set([dispatches + more[0], answers + more[1], repairs + more[2]]);
            Ok(())
        });
        assert!(result.is_ok(), "{}: {result:?}", case.name);
        println!("{}: {:?}", case.name, seen.get());
        let enough = seen.get().iter().zip(case.least).all(|(s, l)| *s >= l);
        assert!(enough, "{}: {:?}", case.name, seen.get());
    }
}
