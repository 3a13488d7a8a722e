//! The form of log lines and calendar times.

use log::kv;

use shallotrill_model::time::Instant;
use shallotrill_model::time::Wall;
use shallotrill_process::calendar;
use shallotrill_process::log::Quota;
use shallotrill_process::log::line;

struct Time {
    name: &'static str,
    ms: u64,
    expected: &'static str,
}

/// Guards against wrong dates around leap days.
const TIMES: &[Time] = &[
    Time {
        name: "epoch",
        ms: 0,
        expected: "1970-01-01T00:00:00.000Z",
    },
    Time {
        name: "leap day of a century divisible by 400",
        ms: 951_782_400_123,
        expected: "2000-02-29T00:00:00.123Z",
    },
    Time {
        name: "last millisecond of a year",
        ms: 1_798_761_599_999,
        expected: "2026-12-31T23:59:59.999Z",
    },
];

#[test]
fn calendar_times() {
    for case in TIMES {
        assert_eq!(
            calendar::format(Wall(case.ms)),
            case.expected,
            "{}",
            case.name
        );
    }
}

struct Line {
    name: &'static str,
    event: &'static str,
    pairs: &'static [(&'static str, i64)],
    expected: &'static str,
}

/// Guards against lines that JSON readers refuse or whose stable keys are overwritten.
const LINES: &[Line] = &[
    Line {
        name: "pairs",
        event: "started",
        pairs: &[("port", 8080), ("delta", -1)],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"started","port":8080,"delta":-1}"#,
    },
    Line {
        name: "quotes and line breaks",
        event: "a \"b\"\n",
        pairs: &[],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"a \"b\"\n"}"#,
    },
    Line {
        name: "stable key as pair",
        event: "e",
        pairs: &[("time", 1)],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"e","field_time":1}"#,
    },
];

fn written(pairs: &dyn kv::Source, text: &str) -> String {
    let mut record = log::Record::builder();
    record
        .level(log::Level::Info)
        .module_path(Some("m"))
        .key_values(pairs);
    line(Wall(0), &record.args(format_args!("{text}")).build())
}

#[test]
fn lines_are_json() {
    for case in LINES {
        assert_eq!(
            written(&case.pairs, case.event),
            case.expected,
            "{}",
            case.name
        );
    }
}

struct Named {
    name: &'static str,
    text: &'static str,
    pairs: &'static [(&'static str, &'static str)],
    expected: &'static str,
}

/// Guards against events that cannot be searched for, because their name stands under another key.
const NAMED: &[Named] = &[
    Named {
        name: "event with text",
        text: "it was asked to",
        pairs: &[("event", "stopped")],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"stopped","message":"it was asked to"}"#,
    },
    Named {
        name: "event alone",
        text: "",
        pairs: &[("event", "stopped"), ("id", "7")],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"stopped","id":"7"}"#,
    },
];

#[test]
fn events_have_names() {
    for case in NAMED {
        assert_eq!(
            written(&case.pairs, case.text),
            case.expected,
            "{}",
            case.name
        );
    }
}

struct Second {
    name: &'static str,
    /// Moments at which a line is asked for, in milliseconds.
    asked: &'static [u64],
    allowed: usize,
}

/// Guards against a log that grows with the load, and against a kind of line that stays away for good.
const SECONDS: &[Second] = &[
    Second {
        name: "within the quota",
        asked: &[0, 1],
        allowed: 2,
    },
    Second {
        name: "above the quota",
        asked: &[0, 1, 2, 3],
        allowed: 2,
    },
    Second {
        name: "the next second starts anew",
        asked: &[0, 1, 2, 1_000, 1_001, 1_002],
        allowed: 4,
    },
];

#[test]
fn quotas_bound_lines() {
    for case in SECONDS {
        let quota = Quota::new(2);
        let asked = case.asked.iter();
        let allowed = asked
            .filter(|at| quota.allows(Instant(**at * 1_000)))
            .count();
        assert_eq!(allowed, case.allowed, "{}", case.name);
        let left_out = (case.asked.len() - allowed) as u64;
        assert_eq!(quota.left_out(), left_out, "{}", case.name);
    }
}
