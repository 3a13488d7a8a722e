//! Parsing of statements, their canonical form, and the errors of invalid ones.

use shallotrill_language::form;
use shallotrill_language::parse;

const fn valid(
    name: &'static str,
    is_change: bool,
    input: &'static str,
    canonical: &'static str,
) -> ValidCase {
    ValidCase {
        name,
        input,
        canonical,
        is_change,
    }
}

struct ValidCase {
    name: &'static str,
    input: &'static str,
    canonical: &'static str,
    is_change: bool,
}

/// A statement that is in canonical form already.
const fn already_canonical(name: &'static str, is_change: bool, text: &'static str) -> ValidCase {
    valid(name, is_change, text, text)
}

/// Guards against forms that are not recognised, parsed as another form, or treated as read-only although they
/// change state.
const VALID_CASES: &[ValidCase] = &[
    valid(
        "keywords in any case",
        false,
        "  SHOW Services ",
        "show services",
    ),
    already_canonical("service", false, "show service bookings"),
    already_canonical("targets", false, "show targets"),
    already_canonical("targets of", false, "show targets of services"),
    already_canonical("history", false, "show history last 7"),
    valid(
        "command",
        false,
        "show command 000000000000000000000000000000AB",
        "show command 000000000000000000000000000000ab",
    ),
    already_canonical("in force", false, "in force 41"),
    already_canonical("explain", false, "explain 000000000000000000000000000000ab"),
    valid(
        "units are reduced",
        true,
        "create service a with deadline 120s , probe-cost 6000us,quarantine 1500ms",
        "create service a with deadline 2min, probe-cost 6ms, quarantine 1500ms",
    ),
    valid(
        "shares",
        true,
        "change service a at 3 set probe-budget 0.2500%, retry-budget 10%",
        "change service a at 3 set probe-budget 0.25%, retry-budget 10%",
    ),
    already_canonical(
        "regions",
        true,
        "change service a at 3 set regions \"all\", claim-region north",
    ),
    valid(
        "all regions",
        true,
        "change service a at 3 set regions ALL",
        "change service a at 3 set regions all",
    ),
    already_canonical("delete", true, "delete service a at 3"),
    valid(
        "allow",
        true,
        "allow a at 3 get \"/a b\\\"\" as idempotent priority 9 join",
        "classify a at 3 GET \"/a b\\\"\" as idempotent priority 9 join",
    ),
    already_canonical("classify", true, "classify a at 3 * / as non-idempotent"),
    already_canonical("drain", true, "drain bodo-1"),
    already_canonical("undrain", true, "undrain bodo-1"),
    already_canonical("replace", true, "replace member 2 with 4"),
    valid(
        "settle",
        true,
        "settle p s 0190163D-8694-739B-AEA5-966C26F8AD91 as not-run",
        "settle p s 0190163d-8694-739b-aea5-966c26f8ad91 as not-run",
    ),
    already_canonical(
        "release",
        true,
        "release s 00000000000000000000000000000000000000000000000000000000000000ff",
    ),
];

#[test]
fn valid_statements_are_parsed() {
    for case in VALID_CASES {
        let statement = parse(case.input).unwrap_or_else(|error| panic!("{}: {error}", case.name));
        assert_eq!(statement.to_string(), case.canonical, "{}", case.name);
        assert_eq!(statement.is_change(), case.is_change, "{}", case.name);
    }
}

const fn invalid(name: &'static str, input: &'static str, expected: &'static str) -> InvalidCase {
    InvalidCase {
        name,
        input,
        expected,
    }
}

struct InvalidCase {
    name: &'static str,
    input: &'static str,
    expected: &'static str,
}

/// Guards against invalid statements that are accepted, and against errors that do not point to the cause.
const INVALID_CASES: &[InvalidCase] = &[
    invalid(
        "empty",
        "",
        "column 1: found the end of the statement, expected show or in or create or",
    ),
    invalid(
        "misspelt keyword",
        "shwo services",
        "did you mean \"show\"?",
    ),
    invalid(
        "misspelt key",
        "create service a with slot 3",
        "column 23: found \"slot\", expected slots or connections",
    ),
    invalid("unknown keyword", "xyzzy", "or explain"),
    invalid(
        "column counts characters",
        "show targets of \"ø\" x",
        "column 17: found \"ø\", expected the name of a service",
    ),
    invalid(
        "misspelt optional keyword",
        "show targets fo x",
        "column 14: found \"fo\", expected of or the end of the statement",
    ),
    invalid(
        "unit missing",
        "create service a with deadline 250",
        "column 32: found \"250\", expected a duration of whole milliseconds",
    ),
    invalid(
        "repeated key",
        "create service a with slots 3, slots 4",
        "column 32: found \"slots\", expected connections or",
    ),
    invalid(
        "comma at the end",
        "create service a with slots 3,",
        "column 31: found the end of the statement",
    ),
    invalid(
        "join of a non-idempotent request",
        "classify a at 3 * / as non-idempotent join",
        "column 39: found \"join\", expected priority or the end",
    ),
    invalid(
        "revision missing",
        "delete service a",
        "column 17: found the end of the statement, expected at",
    ),
    invalid(
        "unterminated quote",
        "show service \"a",
        "column 14: found \"\\\"a\", expected a string that ends with a quote",
    ),
    invalid("keyword in quotes", "show \"services\"", "column 6"),
];

#[test]
fn invalid_statements_are_explained() {
    for case in INVALID_CASES {
        let error = parse(case.input).expect_err(case.name).to_string();
        assert!(error.contains(case.expected), "{}: {error}", case.name);
    }
}

struct InvalidValue {
    name: &'static str,
    /// The key and the invalid value.
    input: &'static str,
}

const fn invalid_value(name: &'static str, input: &'static str) -> InvalidValue {
    InvalidValue { name, input }
}

/// Guards against values that are rounded, truncated or interpreted in another unit.
const INVALID_VALUES: &[InvalidValue] = &[
    invalid_value("fraction of a millisecond", "deadline 1500us"),
    invalid_value("share above 100 per cent", "probe-budget 100.1%"),
    invalid_value("five decimals", "probe-budget 0.12345%"),
    invalid_value("share with two decimals", "retry-budget 0.25%"),
    invalid_value("duration above the maximum", "deadline 99999999999min"),
    invalid_value("negative number", "slots -1"),
    invalid_value("share without unit", "retry-budget 10"),
    invalid_value("comma in a share", "retry-budget 0,5%"),
];

#[test]
fn invalid_values_are_located() {
    for case in INVALID_VALUES {
        let text = format!("create service a with {}", case.input);
        let error = parse(&text).expect_err(case.name);
        let key = case.input.split(' ').next().unwrap_or_default();
        let expected = "create service a with ".len() + key.len() + 2;
        assert_eq!(error.column, expected, "{}: {error}", case.name);
    }
}

struct HelpCase {
    name: &'static str,
    words: &'static [&'static str],
    expected: Option<&'static str>,
}

/// Guards against help texts for forms that the parser does not know, and against forms without a help text.
const HELP_CASES: &[HelpCase] = &[
    HelpCase {
        name: "all",
        words: &[],
        expected: Some("settle PARTNER SERVICE KEY as done|not-run\n"),
    },
    HelpCase {
        name: "one",
        words: &["SHOW", "targets"],
        expected: Some("show targets [of NAME]\n"),
    },
    HelpCase {
        name: "keys",
        words: &["create"],
        expected: Some("probe-budget"),
    },
    HelpCase {
        name: "none",
        words: &["destroy"],
        expected: None,
    },
];

#[test]
fn help_covers_the_forms() {
    for case in HELP_CASES {
        let text = form::help(case.words);
        assert_eq!(text.is_some(), case.expected.is_some(), "{}", case.name);
        let expected = case.expected.unwrap_or_default();
        assert!(text.unwrap_or_default().contains(expected), "{}", case.name);
    }
}
