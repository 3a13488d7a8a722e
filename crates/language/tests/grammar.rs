//! Statements, their canonical form and the errors of wrong ones.

use shallotrill_language::form;
use shallotrill_language::parse;

const fn form_case(
    name: &'static str,
    change: bool,
    input: &'static str,
    canonical: &'static str,
) -> Form {
    Form {
        name,
        input,
        canonical,
        change,
    }
}

struct Form {
    name: &'static str,
    input: &'static str,
    canonical: &'static str,
    change: bool,
}

/// A form that is canonical already.
const fn same(name: &'static str, change: bool, text: &'static str) -> Form {
    form_case(name, change, text, text)
}

/// Guards against forms that are lost, read as another, or treated as harmless although they change something.
const FORMS: &[Form] = &[
    form_case(
        "keywords in any case",
        false,
        "  SHOW Services ",
        "show services",
    ),
    same("service", false, "show service bookings"),
    same("targets", false, "show targets"),
    same("targets of", false, "show targets of services"),
    same("history", false, "show history last 7"),
    form_case(
        "command",
        false,
        "show command 000000000000000000000000000000AB",
        "show command 000000000000000000000000000000ab",
    ),
    same("in force", false, "in force 41"),
    same("explain", false, "explain 000000000000000000000000000000ab"),
    form_case(
        "units are reduced",
        true,
        "create service a with deadline 120s , probe-cost 6000us,quarantine 1500ms",
        "create service a with deadline 2min, probe-cost 6ms, quarantine 1500ms",
    ),
    form_case(
        "shares",
        true,
        "change service a at 3 set probe-budget 0.2500%, retry-budget 10%",
        "change service a at 3 set probe-budget 0.25%, retry-budget 10%",
    ),
    same(
        "regions",
        true,
        "change service a at 3 set regions \"all\", claim-region north",
    ),
    form_case(
        "all regions",
        true,
        "change service a at 3 set regions ALL",
        "change service a at 3 set regions all",
    ),
    same("delete", true, "delete service a at 3"),
    form_case(
        "allow",
        true,
        "allow a at 3 get \"/a b\\\"\" as idempotent priority 9 join",
        "classify a at 3 GET \"/a b\\\"\" as idempotent priority 9 join",
    ),
    same("classify", true, "classify a at 3 * / as non-idempotent"),
    same("drain", true, "drain bodo-1"),
    same("undrain", true, "undrain bodo-1"),
    same("replace", true, "replace member 2 with 4"),
    form_case(
        "settle",
        true,
        "settle p s 0190163D-8694-739B-AEA5-966C26F8AD91 as not-run",
        "settle p s 0190163d-8694-739b-aea5-966c26f8ad91 as not-run",
    ),
    same(
        "release",
        true,
        "release s 00000000000000000000000000000000000000000000000000000000000000ff",
    ),
];

#[test]
fn forms_are_read() {
    for case in FORMS {
        let statement = parse(case.input).unwrap_or_else(|error| panic!("{}: {error}", case.name));
        assert_eq!(statement.to_string(), case.canonical, "{}", case.name);
        assert_eq!(statement.is_change(), case.change, "{}", case.name);
    }
}

const fn wrong(name: &'static str, input: &'static str, expected: &'static str) -> Wrong {
    Wrong {
        name,
        input,
        expected,
    }
}

struct Wrong {
    name: &'static str,
    input: &'static str,
    expected: &'static str,
}

/// Guards against wrong statements that are accepted, and against errors that do not lead to the right one.
const WRONG: &[Wrong] = &[
    wrong(
        "empty",
        "",
        "column 1: found the end of the statement, expected show or in or create or",
    ),
    wrong("close keyword", "shwo services", "did you mean \"show\"?"),
    wrong(
        "close key",
        "create service a with slot 3",
        "column 23: found \"slot\", expected slots or connections",
    ),
    wrong("far keyword", "xyzzy", "or explain"),
    wrong(
        "column counts characters",
        "show targets of \"ø\" x",
        "column 17: found \"ø\", expected the name of a service",
    ),
    wrong(
        "rest",
        "show targets fo x",
        "column 14: found \"fo\", expected of or the end of the statement",
    ),
    wrong(
        "unit missing",
        "create service a with deadline 250",
        "column 32: found \"250\", expected a duration of whole milliseconds",
    ),
    wrong(
        "key twice",
        "create service a with slots 3, slots 4",
        "column 32: found \"slots\", expected connections or",
    ),
    wrong(
        "comma at the end",
        "create service a with slots 3,",
        "column 31: found the end of the statement",
    ),
    wrong(
        "join of a non-idempotent request",
        "classify a at 3 * / as non-idempotent join",
        "column 39: found \"join\", expected priority or the end",
    ),
    wrong(
        "revision missing",
        "delete service a",
        "column 17: found the end of the statement, expected at",
    ),
    wrong(
        "open quote",
        "show service \"a",
        "column 14: found \"\\\"a\", expected a string that ends with a quote",
    ),
    wrong("keyword in quotes", "show \"services\"", "column 6"),
];

#[test]
fn wrong_statements_are_explained() {
    for case in WRONG {
        let error = parse(case.input).expect_err(case.name).to_string();
        assert!(error.contains(case.expected), "{}: {error}", case.name);
    }
}

struct Value {
    name: &'static str,
    /// Key and value.
    input: &'static str,
}

const fn value(name: &'static str, input: &'static str) -> Value {
    Value { name, input }
}

/// Guards against values that are rounded, cut off or read in another unit.
const VALUES: &[Value] = &[
    value("part of a millisecond", "deadline 1500us"),
    value("share above all", "probe-budget 100.1%"),
    value("five decimals", "probe-budget 0.12345%"),
    value("share too fine", "retry-budget 0.25%"),
    value("too large", "deadline 99999999999min"),
    value("sign", "slots -1"),
    value("share without unit", "retry-budget 10"),
    value("comma in a share", "retry-budget 0,5%"),
];

#[test]
fn wrong_values_are_located() {
    for case in VALUES {
        let text = format!("create service a with {}", case.input);
        let error = parse(&text).expect_err(case.name);
        let key = case.input.split(' ').next().unwrap_or_default();
        let expected = "create service a with ".len() + key.len() + 2;
        assert_eq!(error.column, expected, "{}: {error}", case.name);
    }
}

struct Help {
    name: &'static str,
    words: &'static [&'static str],
    expected: Option<&'static str>,
}

/// Guards against help for a form that the parser does not know, and against forms without help.
const HELP: &[Help] = &[
    Help {
        name: "all",
        words: &[],
        expected: Some("settle PARTNER SERVICE KEY as done|not-run\n"),
    },
    Help {
        name: "one",
        words: &["SHOW", "targets"],
        expected: Some("show targets [of NAME]\n"),
    },
    Help {
        name: "keys",
        words: &["create"],
        expected: Some("probe-budget"),
    },
    Help {
        name: "none",
        words: &["destroy"],
        expected: None,
    },
];

#[test]
fn help_comes_from_the_table() {
    for case in HELP {
        let text = form::help(case.words);
        assert_eq!(text.is_some(), case.expected.is_some(), "{}", case.name);
        let expected = case.expected.unwrap_or_default();
        assert!(text.unwrap_or_default().contains(expected), "{}", case.name);
    }
}
