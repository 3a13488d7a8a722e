//! Tests of the generation of plans.

use shallotrill_soak::plan;
use shallotrill_soak::plan::Fault;
use shallotrill_soak::plan::REGISTRIES;
use shallotrill_soak::plan::Size;
use shallotrill_soak::plan::TOLERATED_DISKS;

/// Number of seeds that each test covers.
const SEEDS: u64 = 500;

/// Guards against a seed that does not reproduce its plan.
#[test]
fn plans_are_reproducible() {
    for seed in 0..SEEDS {
        assert_eq!(
            plan::generate(seed, None),
            plan::generate(seed, None),
            "{seed}"
        );
    }
}

/// Guards against a plan with more disk losses than the system tolerates, or with a fault of a process that does not exist.
#[test]
fn plans_contain_only_tolerated_faults() {
    for seed in 0..SEEDS {
        let plan = plan::generate(seed, None);
        let lost = plan.steps.iter();
        let lost = lost.filter(|step| matches!(step.fault, Fault::LoseDisk(_)));
        assert!(lost.count() <= TOLERATED_DISKS, "{seed}");
        for step in &plan.steps {
            let (process, least) = match step.fault {
                Fault::Pause(p, _)
                | Fault::Kill(p)
                | Fault::Restart(p, _)
                | Fault::Reseed(p, _)
                | Fault::Peers(p, _, _) => (p, 0),
                Fault::LoseDisk(p) | Fault::RefuseWrites(p, _) => {
                    assert!(p < REGISTRIES, "{seed}: {step:?}");
                    (p, 0)
                }
                Fault::Backend(p, _, _)
                | Fault::Crash(p)
                | Fault::Leave(p, _)
                | Fault::LeaveUnannounced(p)
                | Fault::StateLimit(p, _, _)
                | Fault::SlowBackend(p, _, _) => (p, REGISTRIES),
                Fault::KillAll | Fault::Changes(_) | Fault::Race => continue,
            };
            let processes = REGISTRIES + plan.routers;
            assert!((least..processes).contains(&process), "{seed}: {step:?}");
        }
    }
}

/// Guards against a kind of fault that is never generated.
#[test]
fn every_kind_of_fault_is_generated() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..SEEDS {
        for step in plan::generate(seed, None).steps {
            let text = format!("{:?}", step.fault);
            kinds.insert(text.split('(').next().unwrap_or_default().to_owned());
        }
    }
    assert_eq!(kinds.len(), 16, "{kinds:?}");
}

/// Guards against a size on the command line that is not used.
#[test]
fn given_size_is_used() {
    let size = Size {
        routers: 40,
        length_ms: 3_000,
    };
    let plan = plan::generate(1, Some(size));
    assert_eq!(plan.routers, 40);
    // Repetitions of a fault may exceed the duration by their intervals.
    assert!(plan.steps.iter().all(|step| step.at_ms < 8_000));
}
