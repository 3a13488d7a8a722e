//! Metrics and process facts.

use shallotrill_process::metrics::Registry;
use shallotrill_process::metrics::Set;
use shallotrill_process::process::Process;

struct Case {
    name: &'static str,
    values: &'static [&'static str],
    expected: &'static [&'static str],
}

/// Guards against label sets that grow with what callers send.
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
            .counters("c", "help", Set::new("l", 2))
            .expect("name");
        for value in case.values {
            counters.of(value).inc();
        }
        let text = registry.text().expect("text");
        for expected in case.expected {
            assert!(text.contains(expected), "{}: {text}", case.name);
        }
    }
}

/// Guards against fields of `/proc/self` that are read at the wrong place.
#[test]
fn facts_are_plausible() {
    let facts = Process::start("1.2.3").facts().expect("facts");
    assert_eq!(facts.pid, std::process::id());
    assert!(facts.rss_bytes > 100_000, "{facts:?}");
    assert!(facts.cpu_ms < 600_000, "{facts:?}");
}
