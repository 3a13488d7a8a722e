//! The table of statement forms, from which the parser and the help text work.

use std::fmt::Write;
use std::sync::Arc;

use crate::cursor::Cursor;
use crate::error::Error;
use crate::setting;
use crate::statement::Settlement;
use crate::statement::Show;
use crate::statement::Statement;
use crate::token;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// A form of statement: its keywords, arguments and parser.
#[derive(Debug)]
pub struct Form {
    /// The keywords that the statement starts with. No form starts with all keywords of another one.
    pub keywords: &'static [&'static str],
    /// Syntax of the arguments after the keywords.
    pub arguments: &'static str,
    /// Help text that describes what the statement does.
    pub help: &'static str,
    parse_arguments: fn(&mut Cursor<'_>) -> Result<Statement, Error>,
}

const SERVICE_NAME: &str = "the name of a service";
const REVISION_NUMBER: &str = "the number of a revision";
const INSTANCE_NAME: &str = "the name of an instance";
const CLASSIFY_ARGUMENTS: &str =
    "NAME at REVISION METHOD PATH as idempotent|non-idempotent [priority N] [join]";

/// All forms, in the order of the help text.
pub const FORMS: &[Form] = &[
    Form {
        keywords: &["show", "services"],
        arguments: "",
        help: "lists all services",
        parse_arguments: |_| Ok(Statement::Show(Show::Services)),
    },
    Form {
        keywords: &["show", "service"],
        arguments: "NAME",
        help: "shows the configuration of a service",
        parse_arguments: |cursor| Ok(Statement::Show(Show::Service(name(cursor)?))),
    },
    Form {
        keywords: &["show", "targets"],
        arguments: "[of NAME]",
        help: "lists targets, of one service if stated",
        parse_arguments: |cursor| {
            let of = cursor.optional("of");
            let service = of.then(|| name(cursor)).transpose()?;
            Ok(Statement::Show(Show::Targets(service)))
        },
    },
    Form {
        keywords: &["show", "nodes"],
        arguments: "",
        help: "lists all nodes",
        parse_arguments: |_| Ok(Statement::Show(Show::Nodes)),
    },
    Form {
        keywords: &["show", "members"],
        arguments: "",
        help: "lists control processes and their roles in the quorum",
        parse_arguments: |_| Ok(Statement::Show(Show::Members)),
    },
    Form {
        keywords: &["show", "budgets"],
        arguments: "",
        help: "shows probe and retry budgets and what remains of them",
        parse_arguments: |_| Ok(Statement::Show(Show::Budgets)),
    },
    Form {
        keywords: &["show", "history"],
        arguments: "[last N]",
        help: "lists accepted changes, newest first",
        parse_arguments: |cursor| {
            let last = cursor.optional("last");
            let count = last.then(|| parse_value(cursor, "a number of changes"));
            Ok(Statement::Show(Show::History(count.transpose()?)))
        },
    },
    Form {
        keywords: &["show", "unknown"],
        arguments: "",
        help: "lists requests whose outcome is unknown",
        parse_arguments: |_| Ok(Statement::Show(Show::Unknown)),
    },
    Form {
        keywords: &["show", "command"],
        arguments: "ID",
        help: "shows the outcome of a command",
        parse_arguments: |cursor| {
            let id = parse_value(cursor, "a command id of 32 hexadecimal digits")?;
            Ok(Statement::Show(Show::Command(id)))
        },
    },
    Form {
        keywords: &["show", "lag"],
        arguments: "",
        help: "lists nodes that are behind the configuration",
        parse_arguments: |_| Ok(Statement::Show(Show::Lag)),
    },
    Form {
        keywords: &["in", "force"],
        arguments: "REVISION",
        help: "shows whether a revision is in force on all nodes, and on which it is not",
        parse_arguments: |cursor| Ok(Statement::InForce(revision(cursor)?)),
    },
    Form {
        keywords: &["create", "service"],
        arguments: "NAME with KEY VALUE, ...",
        help: "creates a service",
        parse_arguments: create,
    },
    Form {
        keywords: &["change", "service"],
        arguments: "NAME at REVISION set KEY VALUE, ...",
        help: "changes values of a service unless it has changed since REVISION",
        parse_arguments: change,
    },
    Form {
        keywords: &["delete", "service"],
        arguments: "NAME at REVISION",
        help: "deletes a service unless it has changed since REVISION",
        parse_arguments: |cursor| {
            let (service, base) = name_and_revision(cursor)?;
            Ok(Statement::Delete { service, base })
        },
    },
    Form {
        keywords: &["classify"],
        arguments: CLASSIFY_ARGUMENTS,
        help: "sets the class of requests by method (* for any) and path prefix",
        parse_arguments: classify,
    },
    Form {
        keywords: &["allow"],
        arguments: CLASSIFY_ARGUMENTS,
        help: "the same as classify",
        parse_arguments: classify,
    },
    Form {
        keywords: &["drain"],
        arguments: "INSTANCE",
        help: "takes new work away from an instance",
        parse_arguments: |cursor| Ok(Statement::Drain(instance(cursor)?)),
    },
    Form {
        keywords: &["undrain"],
        arguments: "INSTANCE",
        help: "gives new work to an instance again",
        parse_arguments: |cursor| Ok(Statement::Undrain(instance(cursor)?)),
    },
    Form {
        keywords: &["replace", "member"],
        arguments: "OLD with NEW",
        help: "replaces the control process OLD by NEW",
        parse_arguments: |cursor| {
            let old = parse_value(cursor, "the id of a member")?;
            cursor.keyword(&["with"])?;
            let new = parse_value(cursor, "the id of a member")?;
            Ok(Statement::Replace { old, new })
        },
    },
    Form {
        keywords: &["settle"],
        arguments: "PARTNER SERVICE KEY as done|not-run",
        help: "records whether a request with unknown outcome ran",
        parse_arguments: settle,
    },
    Form {
        keywords: &["release"],
        arguments: "SERVICE DIGEST",
        help: "ends the quarantine of a request",
        parse_arguments: |cursor| {
            let service = name(cursor)?;
            let digest = parse_value(cursor, "a digest of 64 hexadecimal digits")?;
            Ok(Statement::Release { service, digest })
        },
    },
    Form {
        keywords: &["explain"],
        arguments: "REQUEST",
        help: "shows how a recent request was routed",
        parse_arguments: |cursor| {
            let request = parse_value(cursor, "a request id of 32 hexadecimal digits")?;
            Ok(Statement::Explain(request))
        },
    },
];

/// Parses a statement.
///
/// # Errors
///
/// Returns [`Error`] with the first column at which `text` is not a valid statement.
pub fn parse(text: &str) -> Result<Statement, Error> {
    let (tokens, end) = token::split(text)?;
    let mut cursor = Cursor::new(&tokens, end);
    let form = select(&mut cursor)?;
    let statement = (form.parse_arguments)(&mut cursor)?;
    cursor.finish()?;
    Ok(statement)
}

/// Consumes keywords until they identify one form.
fn select(cursor: &mut Cursor<'_>) -> Result<&'static Form, Error> {
    let mut forms: Vec<&'static Form> = FORMS.iter().collect();
    for depth in 0.. {
        let mut words: Vec<&str> = Vec::new();
        for form in &forms {
            match form.keywords.get(depth) {
                None => return Ok(form),
                Some(word) if words.contains(word) => {}
                Some(word) => words.push(word),
            }
        }
        let word = cursor.keyword(&words)?;
        forms.retain(|form| form.keywords[depth] == word);
    }
    unreachable!("the loop returns when a form has no further keyword")
}

/// Help text of the forms that start with `words`, or of all forms if `words` is empty. Returns `None` if no
/// form starts with `words`.
pub fn help(words: &[&str]) -> Option<String> {
    let matches = |form: &&Form| {
        let mut pairs = form.keywords.iter().zip(words);
        pairs.all(|(keyword, word)| keyword.eq_ignore_ascii_case(word))
    };
    let forms: Vec<&Form> = FORMS.iter().filter(matches).collect();
    if forms.is_empty() {
        return None;
    }
    let mut text = String::new();
    for form in &forms {
        let syntax = format!("{} {}", form.keywords.join(" "), form.arguments);
        push_line(
            &mut text,
            &format!("{}\n    {}", syntax.trim_end(), form.help),
        );
    }
    if forms
        .iter()
        .any(|form| form.arguments.contains("KEY VALUE"))
    {
        push_line(&mut text, "keys:");
        for key in setting::KEYS {
            push_line(
                &mut text,
                &format!("    {:<14}{}: {}", key.keyword, key.help, key.value_format),
            );
        }
    }
    Some(text)
}

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}

fn create(cursor: &mut Cursor<'_>) -> Result<Statement, Error> {
    let service = name(cursor)?;
    cursor.keyword(&["with"])?;
    let settings = setting::parse_list(cursor)?;
    Ok(Statement::Create { service, settings })
}

fn change(cursor: &mut Cursor<'_>) -> Result<Statement, Error> {
    let (service, base) = name_and_revision(cursor)?;
    cursor.keyword(&["set"])?;
    let settings = setting::parse_list(cursor)?;
    Ok(Statement::Change {
        service,
        base,
        settings,
    })
}

fn classify(cursor: &mut Cursor<'_>) -> Result<Statement, Error> {
    let (service, base) = name_and_revision(cursor)?;
    let method = cursor.value("an HTTP method or *", method)?;
    let path = cursor.value("a path that starts with /", path)?;
    cursor.keyword(&["as"])?;
    let class = match cursor.keyword(&["idempotent", "non-idempotent"])? {
        "idempotent" => Class::Idempotent,
        _ => Class::NonIdempotent,
    };
    let priority = if cursor.optional("priority") {
        parse_value(cursor, "a priority from 0 to 255")?
    } else {
        0
    };
    // Duplicates of a non-idempotent request are never coalesced; the claim table answers them.
    let join = class == Class::Idempotent && cursor.optional("join");
    Ok(Statement::Classify {
        service,
        base,
        method,
        path,
        class,
        priority,
        join,
    })
}

fn settle(cursor: &mut Cursor<'_>) -> Result<Statement, Error> {
    let partner = cursor.value("the name of a partner", |text| {
        partner::Name::new(text).ok()
    })?;
    let service = name(cursor)?;
    let key = parse_value(cursor, "an idempotency key, which is a UUID")?;
    cursor.keyword(&["as"])?;
    let settlement = match cursor.keyword(&["done", "not-run"])? {
        "done" => Settlement::Done,
        _ => Settlement::NotRun,
    };
    Ok(Statement::Settle {
        partner,
        service,
        key,
        settlement,
    })
}

fn name(cursor: &mut Cursor<'_>) -> Result<service::Name, Error> {
    cursor.value(SERVICE_NAME, |text| service::Name::new(text).ok())
}

fn name_and_revision(cursor: &mut Cursor<'_>) -> Result<(service::Name, Revision), Error> {
    let service = name(cursor)?;
    cursor.keyword(&["at"])?;
    Ok((service, revision(cursor)?))
}

fn revision(cursor: &mut Cursor<'_>) -> Result<Revision, Error> {
    parse_value(cursor, REVISION_NUMBER).map(Revision)
}

fn instance(cursor: &mut Cursor<'_>) -> Result<instance::Name, Error> {
    cursor.value(INSTANCE_NAME, |text| instance::Name::new(text).ok())
}

/// Parses a number or an identifier with its own text format.
fn parse_value<T: std::str::FromStr>(
    cursor: &mut Cursor<'_>,
    description: &'static str,
) -> Result<T, Error> {
    cursor.value(description, |text| text.parse().ok())
}

fn method(text: &str) -> Option<Arc<str>> {
    let valid = text == "*" || (!text.is_empty() && text.bytes().all(|b| b.is_ascii_alphabetic()));
    valid.then(|| Arc::from(text.to_ascii_uppercase()))
}

fn path(text: &str) -> Option<Arc<str>> {
    text.starts_with('/').then(|| Arc::from(text))
}
