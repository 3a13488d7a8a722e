//! Random schedules against the plain model.

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
    Pass(u64),
    Deliver(usize),
    Double(usize),
    Drop(usize),
    Cut(usize),
    /// Cuts the leader off while its clock stands still, so that its quorum check does not help.
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
        8 => (1_u64..400).prop_map(Step::Pass),
        50 => any::<usize>().prop_map(Step::Deliver),
        20 => (0_usize..2).prop_map(Step::Deliver),
        4 => any::<usize>().prop_map(Step::Double),
        4 => any::<usize>().prop_map(Step::Drop),
        1 => any::<usize>().prop_map(Step::Cut),
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

fn take(group: &mut Group, step: &Step) {
    let count = group.hosts.len();
    match *step {
        Step::Pass(ms) => group.pass(Duration::from_millis(ms)),
        Step::Deliver(at) => group.deliver(at, false),
        Step::Double(at) => group.deliver(at, true),
        Step::Drop(at) if !group.wire.is_empty() => {
            let at = at % group.wire.len();
            group.wire.remove(at);
        }
        Step::Drop(_) => {}
        Step::Cut(at) => group.hosts[at % count].cut = true,
        Step::Freeze => {
            if let Some(at) = group.leader() {
                group.hosts[at].cut = true;
                group.hosts[at].slow = true;
            }
        }
        Step::Heal => group.heal(),
        Step::Crash(at) => group.restart(at % count, None),
        // One disk is lost at most, since two of three are beyond what a majority can bear.
        Step::LoseDisk => group.restart(0, Some(peer(0, 2))),
        Step::Propose(byte) => {
            if let Some(at) = group.leader() {
                group.propose(at, vec![byte; 1 + usize::from(byte) / 4]);
            }
        }
        Step::Read => {
            if let Some(at) = group.leader() {
                group.read(at);
            }
        }
        Step::ReadAt(at) => group.read(at % count),
        Step::Compact(at) => group.compact(at % count),
    }
}

struct Case {
    name: &'static str,
    replicas: usize,
    cases: u32,
    seed: [u8; 32],
}

/// Guards against two leaders of a term, lost or changed committed entries, diverging logs and stale reads.
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
fn schedules_keep_the_model() {
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
            for (at, step) in steps.iter().enumerate() {
                take(&mut group, step);
                if at % 10 == 0 {
                    group.check_logs();
                }
            }
            group.heal();
            group.settle(120);
            let before = group.committed.len();
            let leader = group.leader().expect("a leader after healing");
            group.propose(leader, vec![7]);
            group.read(leader);
            group.settle(20);
            assert!(group.committed.len() > before, "no progress after healing");
            committed.set(committed.get() + group.committed.len());
            confirmed.set(confirmed.get() + group.confirmed);
            installed.set(installed.get() + group.installed);
            Ok(())
        });
        assert!(result.is_ok(), "{}: {result:?}", case.name);
        let seen = [committed.get(), confirmed.get(), installed.get()];
        println!("{}: committed, reads, snapshots: {seen:?}", case.name);
        assert!(
            seen.iter().all(|count| *count > 0),
            "{}: {seen:?}",
            case.name
        );
    }
}
