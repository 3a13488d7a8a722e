//! Tests of metrics and process information.

use shallotrill_process::metrics::LabelSet;
use shallotrill_process::metrics::Registry;
use shallotrill_process::process::ProcessMetadata;

struct Case {
    name: &'static str,
    values: &'static [&'static str],
    expected: &'static [&'static str],
}

/// Guards against label sets that grow without bound with the values that callers send.
const CASES: &[Case] = &[
    Case {
        name: "within the limit",
        values: &["a", "b", "a"],
        expected: &["c{l=\"a\"} 2", "c{l=\"b\"} 1"],
    },
    Case {
        name: "beyond the limit",
        values: &["a", "b", "c", "d"],
        expected: &["c{l=\"b\"} 1", "c{l=\"other\"} 2"],
    },
];

#[test]
fn label_sets_are_bounded() {
    for case in CASES {
        let registry = Registry::new();
        let counters = registry
            .counters("c", "help", LabelSet::new("l", 2))
            .expect("the metric name is valid and unused");
        for value in case.values {
            counters.of(value).inc();
        }
        let text = registry.text().expect("metrics can be encoded");
        for expected in case.expected {
            assert!(text.contains(expected), "{}: {text}", case.name);
        }
    }
}

/// Guards against reading the wrong fields of `/proc/self`.
#[test]
fn process_info_is_plausible() {
    let info = ProcessMetadata::start("1.2.3")
        .info()
        .expect("/proc/self can be read");
    assert_eq!(info.pid, std::process::id());
    assert!(info.rss_bytes > 100_000, "{info:?}");
    assert!(info.cpu_ms < 600_000, "{info:?}");
}
