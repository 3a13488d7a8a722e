//! Plans that are drawn from seeds.

use shallotrill_soak::plan;
use shallotrill_soak::plan::Fault;
use shallotrill_soak::plan::REGISTRIES;
use shallotrill_soak::plan::Size;
use shallotrill_soak::plan::TOLERATED_DISKS;

/// Seeds that are drawn in these tests.
const SEEDS: u64 = 500;

/// Guards against a seed that cannot be repeated.
#[test]
fn a_seed_gives_one_plan() {
    for seed in 0..SEEDS {
        assert_eq!(plan::draw(seed, None), plan::draw(seed, None), "{seed}");
    }
}

/// Guards against a plan that asks for more than the system promises to bear, or for a process that is not there.
#[test]
fn plans_stay_within_what_is_tolerated() {
    for seed in 0..SEEDS {
        let plan = plan::draw(seed, None);
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
                | Fault::SlowBackend(p, _, _) => (p, REGISTRIES),
                Fault::KillAll | Fault::Changes(_) | Fault::Race => continue,
            };
            let processes = REGISTRIES + plan.routers;
            assert!((least..processes).contains(&process), "{seed}: {step:?}");
        }
    }
}

/// Guards against a kind of fault that is never drawn.
#[test]
fn every_kind_of_fault_comes() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..SEEDS {
        for step in plan::draw(seed, None).steps {
            let text = format!("{:?}", step.fault);
            kinds.insert(text.split('(').next().unwrap_or_default().to_owned());
        }
    }
    assert_eq!(kinds.len(), 14, "{kinds:?}");
}

/// Guards against a size on the command line that is not used.
#[test]
fn a_given_size_is_used() {
    let size = Size {
        routers: 40,
        length_ms: 3_000,
    };
    let plan = plan::draw(1, Some(size));
    assert_eq!(plan.routers, 40);
    // A series of faults may reach beyond the time by its gaps.
    assert!(plan.steps.iter().all(|step| step.at_ms < 8_000));
}
