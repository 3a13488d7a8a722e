//! A short run of the soak with fixed seeds; `shallotrill-soak` runs more of them.

use std::path::Path;

use futures_util::StreamExt;
use futures_util::stream;

use shallotrill_soak::plan;
use shallotrill_soak::plan::Size;
use shallotrill_soak::regressions::REGRESSIONS;
use shallotrill_soak::run;

/// Seeds that are always run, beside those that failed once.
const SEEDS: &[u64] = &[11, 12];

/// Size of these runs, so that they end in half a minute beside the other tests.
const SIZE: Size = Size {
    routers: 4,
    length_ms: 8_000,
};

/// Runs beside each other; each has about ten processes.
const AT_ONCE: usize = 3;

/// Guards against a promise that is broken under faults by real processes.
#[tokio::test(flavor = "multi_thread")]
async fn fixed_seeds_break_no_promise() {
    let fixed = SEEDS.iter().map(|&seed| (seed, Some(SIZE)));
    let failed_once = REGRESSIONS.iter().map(|r| (r.seed, None));
    let runs = stream::iter(fixed.chain(failed_once)).map(|(seed, size)| async move {
        let folder = tempfile::tempdir().expect("a folder");
        let plan = plan::draw(seed, size);
        let program = Path::new(env!("CARGO_BIN_EXE_shallotrill"));
        let report = run::run(&plan, program, folder.path()).await;
        let report = report.expect("a run");
        if !report.broken.is_empty() {
            let kept = folder.keep();
            panic!(
                "seed {seed}: {:#?}; logs: {}",
                report.broken,
                kept.display()
            );
        }
        assert!(report.served > 0, "seed {seed}: nothing was served");
    });
    runs.buffer_unordered(AT_ONCE).collect::<Vec<()>>().await;
}
