//! Tests of loading and validating settings files.

use std::path::Path;

use shallotrill_process::settings::Error;
use shallotrill_process::settings::Settings;

struct Example {
    name: &'static str,
    file: &'static str,
}

/// Guards against example files that the program itself refuses.
const EXAMPLES: &[Example] = &[
    Example {
        name: "node",
        file: "settings/node.toml",
    },
    Example {
        name: "control",
        file: "settings/control.toml",
    },
];

#[test]
fn example_files_are_valid() {
    for case in EXAMPLES {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(case.file);
        let settings = Settings::load(&path).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(settings.zone.as_str(), "hamilton", "{}", case.name);
    }
}

struct Case {
    name: &'static str,
    /// The example file in which `from` is replaced by `to`.
    file: &'static str,
    from: &'static str,
    to: &'static str,
    expected: &'static [&'static str],
}

/// Guards against a process that starts with invalid settings, and against error messages without position or cause.
const CASES: &[Case] = &[
    Case {
        name: "unknown key",
        file: "node.toml",
        from: "workers = 2 ",
        to: "wokers = 2 ",
        expected: &["23:1: node.wokers: unknown field `wokers`"],
    },
    Case {
        name: "host name",
        file: "node.toml",
        from: "\"127.0.0.1:8080\"",
        to: "\"localhost:8080\"",
        expected: &["12:17: node.caller_listen: \"localhost:8080\" is not an IP address"],
    },
    Case {
        name: "all invalid values are reported together, and an unspecified address conflicts with every address of the same port",
        file: "node.toml",
        from: "node]\ncaller_listen = \"127.0.0.1:8080\"     # HTTP/1.1 from callers\npeer_listen = \"127.0.0.1:8081\"",
        to: "node]\n\ncaller_listen = \"127.0.0.1:8082\"\npeer_listen = \"0.0.0.0:8082\"",
        expected: &[
            "14:15: node.peer_listen: the address is unspecified",
            "14:15: node.peer_listen: port 8082 is already used by node.caller_listen",
            "16:19: node.announce_listen: port 8082 is already used by node.caller_listen",
        ],
    },
    Case {
        name: "out of range",
        file: "node.toml",
        from: "drain_limit_ms = 30000",
        to: "drain_limit_ms = 1    ",
        expected: &["22:18: node.drain_limit_ms: 1 is not in the range 100 to 3600000"],
    },
    Case {
        name: "unknown routing policy",
        file: "node.toml",
        from: "# routing_policy = \"scored\"",
        to: "routing_policy = \"least\"",
        expected: &["28:18: node.routing_policy: policy \"least\" is not one of scored"],
    },
    Case {
        name: "empty list",
        file: "control.toml",
        from: "voters = [1, 2, 3]",
        to: "voters = []",
        expected: &["20:10: control.voters: the list is empty"],
    },
    Case {
        name: "own id among peers, and a voter that is not listed",
        file: "control.toml",
        from: "{ id = 2,",
        to: "{ id = 1,",
        expected: &[
            "17:12: control.peers.id: id 1 is this process",
            "20:14: control.voters: id 2 is neither this process",
        ],
    },
    Case {
        name: "both roles",
        file: "control.toml",
        from: "[control]",
        to: "[node]\ncaller_listen = \"127.0.0.1:1\"\npeer_listen = \"127.0.0.1:2\"\nannounce_listen = \"127.0.0.1:3\"\ncontrol = []\n[control]",
        expected: &["[node] and [control] are both present; exactly one is allowed"],
    },
    Case {
        name: "duplicate control address",
        file: "node.toml",
        from: "127.0.0.1:7002",
        to: "127.0.0.1:7001",
        expected: &["18:17: node.control.address: 127.0.0.1:7001 is listed twice"],
    },
    Case {
        name: "unknown table",
        file: "control.toml",
        from: "[control]",
        to: "[controls]",
        expected: &["unknown field `controls`, expected one of"],
    },
];

#[test]
fn faults_report_position_and_cause() {
    for case in CASES {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("settings");
        let text =
            std::fs::read_to_string(folder.join(case.file)).expect("the example file can be read");
        let changed = text.replacen(case.from, case.to, 1);
        assert_ne!(text, changed, "{}", case.name);
        let error = Settings::parse(&changed, Path::new("f.toml")).expect_err(case.name);
        assert!(matches!(error, Error::Invalid { .. }), "{}", case.name);
        let message = error.to_string();
        for expected in case.expected {
            assert!(message.contains(expected), "{}: {message}", case.name);
        }
    }
}
