//! Tests of the format of log lines and calendar times, and of log quotas.

use log::kv;

use shallotrill_model::time::Instant;
use shallotrill_model::time::Wall;
use shallotrill_process::calendar;
use shallotrill_process::log::Quota;
use shallotrill_process::log::line;

struct TimeCase {
    name: &'static str,
    ms: u64,
    expected: &'static str,
}

/// Guards against wrong dates around leap days.
const TIME_CASES: &[TimeCase] = &[
    TimeCase {
        name: "epoch",
        ms: 0,
        expected: "1970-01-01T00:00:00.000Z",
    },
    TimeCase {
        name: "leap day of a century divisible by 400",
        ms: 951_782_400_123,
        expected: "2000-02-29T00:00:00.123Z",
    },
    TimeCase {
        name: "last millisecond of a year",
        ms: 1_798_761_599_999,
        expected: "2026-12-31T23:59:59.999Z",
    },
];

#[test]
fn calendar_times_are_rfc_3339() {
    for case in TIME_CASES {
        assert_eq!(
            calendar::format(Wall(case.ms)),
            case.expected,
            "{}",
            case.name
        );
    }
}

struct LineCase {
    name: &'static str,
    event: &'static str,
    pairs: &'static [(&'static str, i64)],
    expected: &'static str,
}

/// Guards against lines that are not valid JSON or whose reserved keys are overwritten.
const LINE_CASES: &[LineCase] = &[
    LineCase {
        name: "pairs",
        event: "started",
        pairs: &[("port", 8080), ("delta", -1)],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"started","port":8080,"delta":-1}"#,
    },
    LineCase {
        name: "quotes and line breaks",
        event: "a \"b\"\n",
        pairs: &[],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"a \"b\"\n"}"#,
    },
    LineCase {
        name: "reserved key as pair",
        event: "e",
        pairs: &[("time", 1)],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"e","field_time":1}"#,
    },
];

fn format_line(pairs: &dyn kv::Source, text: &str) -> String {
    let mut record = log::Record::builder();
    record
        .level(log::Level::Info)
        .module_path(Some("m"))
        .key_values(pairs);
    line(Wall(0), &record.args(format_args!("{text}")).build())
}

#[test]
fn lines_are_json() {
    for case in LINE_CASES {
        assert_eq!(
            format_line(&case.pairs, case.event),
            case.expected,
            "{}",
            case.name
        );
    }
}

struct EventCase {
    name: &'static str,
    text: &'static str,
    pairs: &'static [(&'static str, &'static str)],
    expected: &'static str,
}

/// Guards against events that cannot be searched for because their name is not in the key `event`.
const EVENT_CASES: &[EventCase] = &[
    EventCase {
        name: "event with text",
        text: "received SIGTERM",
        pairs: &[("event", "stopped")],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"stopped","message":"received SIGTERM"}"#,
    },
    EventCase {
        name: "event alone",
        text: "",
        pairs: &[("event", "stopped"), ("id", "7")],
        expected: r#"{"time":"1970-01-01T00:00:00.000Z","level":"info","module":"m","event":"stopped","id":"7"}"#,
    },
];

#[test]
fn event_key_is_the_event_name() {
    for case in EVENT_CASES {
        assert_eq!(
            format_line(&case.pairs, case.text),
            case.expected,
            "{}",
            case.name
        );
    }
}

struct QuotaCase {
    name: &'static str,
    /// Times at which a line is requested, in milliseconds.
    requested_ms: &'static [u64],
    allowed: usize,
}

/// Guards against a log volume that grows with the load, and against a quota that suppresses lines after the second is over.
const QUOTA_CASES: &[QuotaCase] = &[
    QuotaCase {
        name: "within the quota",
        requested_ms: &[0, 1],
        allowed: 2,
    },
    QuotaCase {
        name: "above the quota",
        requested_ms: &[0, 1, 2, 3],
        allowed: 2,
    },
    QuotaCase {
        name: "the quota is reset every second",
        requested_ms: &[0, 1, 2, 1_000, 1_001, 1_002],
        allowed: 4,
    },
];

#[test]
fn quotas_limit_lines_per_second() {
    for case in QUOTA_CASES {
        let quota = Quota::new(2);
        let requested = case.requested_ms.iter();
        let allowed = requested
            .filter(|ms| quota.allows(Instant(**ms * 1_000)))
            .count();
        assert_eq!(allowed, case.allowed, "{}", case.name);
        let suppressed = (case.requested_ms.len() - allowed) as u64;
        assert_eq!(quota.suppressed(), suppressed, "{}", case.name);
    }
}
