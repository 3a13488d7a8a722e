//! Runs random schedules of faults and requests and compares the replicas with a model.

mod common;

use std::cell::Cell;
use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::common::Group;
use crate::common::peer;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Partition(usize),
    /// Partitions the leader and stops its clock, so that its quorum check does not make it step down.
    Freeze,
    Heal,
    Crash(usize),
    LoseDisk,
    Propose(u8),
    Read,
    ReadAt(usize),
    Compact(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (1_u64..400).prop_map(Step::Advance),
        50 => any::<usize>().prop_map(Step::Deliver),
        20 => (0_usize..2).prop_map(Step::Deliver),
        4 => any::<usize>().prop_map(Step::Duplicate),
        4 => any::<usize>().prop_map(Step::Drop),
        1 => any::<usize>().prop_map(Step::Partition),
        1 => Just(Step::Freeze),
        1 => Just(Step::Heal),
        1 => any::<usize>().prop_map(Step::Crash),
        1 => Just(Step::LoseDisk),
        8 => any::<u8>().prop_map(Step::Propose),
        4 => Just(Step::Read),
        2 => any::<usize>().prop_map(Step::ReadAt),
        1 => any::<usize>().prop_map(Step::Compact),
    ]
}

fn apply(group: &mut Group, step: &Step) {
    let count = group.hosts.len();
    match *step {
        Step::Advance(ms) => group.advance(Duration::from_millis(ms)),
        Step::Deliver(index) => group.deliver(index, false),
        Step::Duplicate(index) => group.deliver(index, true),
        Step::Drop(index) if !group.in_flight.is_empty() => {
            let index = index % group.in_flight.len();
            group.in_flight.remove(index);
        }
        Step::Drop(_) => {}
        Step::Partition(index) => group.hosts[index % count].partitioned = true,
        Step::Freeze => {
            if let Some(index) = group.leader() {
                group.hosts[index].partitioned = true;
                group.hosts[index].frozen = true;
            }
        }
        Step::Heal => group.heal(),
        Step::Crash(index) => group.restart(index % count, None),
        // At most one disk is lost: a majority of three replicas does not tolerate the loss of two.
        Step::LoseDisk => group.restart(0, Some(peer(0, 2))),
        Step::Propose(byte) => {
            if let Some(index) = group.leader() {
                group.propose(index, vec![byte; 1 + usize::from(byte) / 4]);
            }
        }
        Step::Read => {
            if let Some(index) = group.leader() {
                group.read(index);
            }
        }
        Step::ReadAt(index) => group.read(index % count),
        Step::Compact(index) => group.compact(index % count),
    }
}

struct Case {
    name: &'static str,
    replicas: usize,
    cases: u32,
    seed: [u8; 32],
}

/// Guards against two leaders in one term, lost or changed committed entries, diverging logs and stale reads.
const CASES: &[Case] = &[
    Case {
        name: "three replicas",
        replicas: 3,
        cases: 150,
        seed: [3; 32],
    },
    Case {
        name: "five replicas",
        replicas: 5,
        cases: 100,
        seed: [5; 32],
    },
];

#[test]
fn random_schedules_match_the_model() {
    for case in CASES {
        let config = Config {
            cases: case.cases,
            failure_persistence: None,
            ..Config::default()
        };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &case.seed);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let steps = proptest::collection::vec(step(), 300..900);
        let (committed, confirmed, installed) = (Cell::new(0), Cell::new(0), Cell::new(0));
        let result = runner.run(&steps, |steps| {
            let mut group = Group::new(case.replicas);
            for (index, step) in steps.iter().enumerate() {
                apply(&mut group, step);
                if index % 10 == 0 {
                    group.check_logs();
                }
            }
            group.heal();
            group.run_rounds(120);
            let before = group.committed.len();
            let leader = group
                .leader()
                .expect("a leader after the partitions are healed");
            group.propose(leader, vec![7]);
            group.read(leader);
            group.run_rounds(20);
            assert!(
                group.committed.len() > before,
                "nothing was committed after the partitions were healed"
            );
            committed.set(committed.get() + group.committed.len());
            confirmed.set(confirmed.get() + group.confirmed);
            installed.set(installed.get() + group.installed);
            Ok(())
        });
        assert!(result.is_ok(), "{}: {result:?}", case.name);
        let counts = [committed.get(), confirmed.get(), installed.get()];
        println!(
            "{}: committed entries, confirmed reads, installed snapshots: {counts:?}",
            case.name
        );
        assert!(
            counts.iter().all(|count| *count > 0),
            "{}: committed entries, confirmed reads or installed snapshots are zero: {counts:?}",
            case.name
        );
    }
}
