//! Short runs of the soak test with fixed seeds; `shallotrill-soak` runs other seeds.

use std::path::Path;

use futures_util::StreamExt;
use futures_util::stream;

use shallotrill_soak::plan;
use shallotrill_soak::plan::Size;
use shallotrill_soak::regressions::REGRESSIONS;
use shallotrill_soak::run;

/// Seeds that are always run, in addition to those that failed once.
const SEEDS: &[u64] = &[11, 12];

/// Size of these runs, chosen so that they finish in half a minute while other tests run.
const SIZE: Size = Size {
    routers: 4,
    length_ms: 8_000,
};

/// Maximum number of concurrent runs; each has about ten processes.
const AT_ONCE: usize = 3;

/// Guards against real processes that violate an invariant under faults.
#[tokio::test(flavor = "multi_thread")]
async fn fixed_seeds_keep_all_promises() {
    let fixed = SEEDS.iter().map(|&seed| (seed, Some(SIZE)));
    let failed_once = REGRESSIONS.iter().map(|r| (r.seed, None));
    let runs = stream::iter(fixed.chain(failed_once)).map(|(seed, size)| async move {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let plan = plan::generate(seed, size);
        let program = Path::new(env!("CARGO_BIN_EXE_shallotrill"));
        let report = run::run(&plan, program, folder.path()).await;
        let report = report.expect("the run can be executed");
        if !report.violated_invariants.is_empty() {
            let kept = folder.keep();
            panic!(
                "seed {seed}: {:#?}; logs: {}",
                report.violated_invariants,
                kept.display()
            );
        }
        assert!(report.served > 0, "seed {seed}: no request was served");
    });
    runs.buffer_unordered(AT_ONCE).collect::<Vec<()>>().await;
}
