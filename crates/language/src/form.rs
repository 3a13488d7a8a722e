//! The table of statement forms, which drives the parser and the help text.

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

/// One form of statement.
#[derive(Debug)]
pub struct Form {
    /// The keywords it starts with. No form starts with all keywords of another.
    pub words: &'static [&'static str],
    /// What follows the keywords.
    pub rest: &'static str,
    /// What the statement does.
    pub help: &'static str,
    read: fn(&mut Cursor<'_>) -> Result<Statement, Error>,
}

const SERVICE: &str = "the name of a service";
const REVISION: &str = "the number of a revision";
const INSTANCE: &str = "the name of an instance";
const CLASSIFY: &str =
    "NAME at REVISION METHOD PATH as idempotent|non-idempotent [priority N] [join]";

/// All forms, in the order of the help text.
pub const FORMS: &[Form] = &[
    Form {
        words: &["show", "services"],
        rest: "",
        help: "lists all services",
        read: |_| Ok(Statement::Show(Show::Services)),
    },
    Form {
        words: &["show", "service"],
        rest: "NAME",
        help: "shows the configuration of a service",
        read: |cursor| Ok(Statement::Show(Show::Service(name(cursor)?))),
    },
    Form {
        words: &["show", "targets"],
        rest: "[of NAME]",
        help: "lists targets, of one service if stated",
        read: |cursor| {
            let of = cursor.optional("of");
            let service = of.then(|| name(cursor)).transpose()?;
            Ok(Statement::Show(Show::Targets(service)))
        },
    },
    Form {
        words: &["show", "nodes"],
        rest: "",
        help: "lists all nodes",
        read: |_| Ok(Statement::Show(Show::Nodes)),
    },
    Form {
        words: &["show", "members"],
        rest: "",
        help: "lists control processes and their part in the quorum",
        read: |_| Ok(Statement::Show(Show::Members)),
    },
    Form {
        words: &["show", "budgets"],
        rest: "",
        help: "shows probe and retry budgets and what is left of them",
        read: |_| Ok(Statement::Show(Show::Budgets)),
    },
    Form {
        words: &["show", "history"],
        rest: "[last N]",
        help: "lists accepted changes, newest first",
        read: |cursor| {
            let last = cursor.optional("last");
            let count = last.then(|| number(cursor, "a number of changes"));
            Ok(Statement::Show(Show::History(count.transpose()?)))
        },
    },
    Form {
        words: &["show", "unknown"],
        rest: "",
        help: "lists requests whose outcome is unknown",
        read: |_| Ok(Statement::Show(Show::Unknown)),
    },
    Form {
        words: &["show", "command"],
        rest: "ID",
        help: "shows the outcome of a command",
        read: |cursor| {
            let id = number(cursor, "a command id of 32 hexadecimal digits")?;
            Ok(Statement::Show(Show::Command(id)))
        },
    },
    Form {
        words: &["show", "lag"],
        rest: "",
        help: "lists nodes that are behind the configuration",
        read: |_| Ok(Statement::Show(Show::Lag)),
    },
    Form {
        words: &["in", "force"],
        rest: "REVISION",
        help: "tells whether a revision is in force everywhere, and where it is not",
        read: |cursor| Ok(Statement::InForce(revision(cursor)?)),
    },
    Form {
        words: &["create", "service"],
        rest: "NAME with KEY VALUE, ...",
        help: "creates a service",
        read: create,
    },
    Form {
        words: &["change", "service"],
        rest: "NAME at REVISION set KEY VALUE, ...",
        help: "changes values of a service if REVISION is still the current one",
        read: change,
    },
    Form {
        words: &["delete", "service"],
        rest: "NAME at REVISION",
        help: "deletes a service if REVISION is still the current one",
        read: |cursor| {
            let (service, at) = name_at(cursor)?;
            Ok(Statement::Delete { service, at })
        },
    },
    Form {
        words: &["classify"],
        rest: CLASSIFY,
        help: "sets the class of requests by method (* for any) and path prefix",
        read: classify,
    },
    Form {
        words: &["allow"],
        rest: CLASSIFY,
        help: "the same as classify",
        read: classify,
    },
    Form {
        words: &["drain"],
        rest: "INSTANCE",
        help: "takes new work away from an instance",
        read: |cursor| Ok(Statement::Drain(instance(cursor)?)),
    },
    Form {
        words: &["undrain"],
        rest: "INSTANCE",
        help: "gives new work to an instance again",
        read: |cursor| Ok(Statement::Undrain(instance(cursor)?)),
    },
    Form {
        words: &["replace", "member"],
        rest: "OLD with NEW",
        help: "puts the control process NEW in the place of OLD",
        read: |cursor| {
            let old = number(cursor, "the id of a member")?;
            cursor.keyword(&["with"])?;
            let new = number(cursor, "the id of a member")?;
            Ok(Statement::Replace { old, new })
        },
    },
    Form {
        words: &["settle"],
        rest: "PARTNER SERVICE KEY as done|not-run",
        help: "settles a request whose outcome is unknown",
        read: settle,
    },
    Form {
        words: &["release"],
        rest: "SERVICE DIGEST",
        help: "ends the quarantine of a request",
        read: |cursor| {
            let service = name(cursor)?;
            let digest = number(cursor, "a digest of 64 hexadecimal digits")?;
            Ok(Statement::Release { service, digest })
        },
    },
    Form {
        words: &["explain"],
        rest: "REQUEST",
        help: "shows how a recent request was routed",
        read: |cursor| {
            let request = number(cursor, "a request id of 32 hexadecimal digits")?;
            Ok(Statement::Explain(request))
        },
    },
];

/// Reads a statement.
///
/// # Errors
///
/// Returns [`Error`] with the first column at which `text` is not a statement.
pub fn parse(text: &str) -> Result<Statement, Error> {
    let (tokens, end) = token::split(text)?;
    let mut cursor = Cursor::new(&tokens, end);
    let form = select(&mut cursor)?;
    let statement = (form.read)(&mut cursor)?;
    cursor.finish()?;
    Ok(statement)
}

/// Takes keywords until one form is left.
fn select(cursor: &mut Cursor<'_>) -> Result<&'static Form, Error> {
    let mut forms: Vec<&'static Form> = FORMS.iter().collect();
    for depth in 0.. {
        let mut words: Vec<&str> = Vec::new();
        for form in &forms {
            match form.words.get(depth) {
                None => return Ok(form),
                Some(word) if words.contains(word) => {}
                Some(word) => words.push(word),
            }
        }
        let word = cursor.keyword(&words)?;
        forms.retain(|form| form.words[depth] == word);
    }
    unreachable!("each form has a last keyword")
}

/// Help for the forms that start with `words`, or for all forms when it is empty; nothing when there is no such form.
pub fn help(words: &[&str]) -> Option<String> {
    let matches = |form: &&Form| {
        let mut pairs = form.words.iter().zip(words);
        pairs.all(|(keyword, word)| keyword.eq_ignore_ascii_case(word))
    };
    let forms: Vec<&Form> = FORMS.iter().filter(matches).collect();
    if forms.is_empty() {
        return None;
    }
    let mut text = String::new();
    for form in &forms {
        let syntax = format!("{} {}", form.words.join(" "), form.rest);
        line(
            &mut text,
            &format!("{}\n    {}", syntax.trim_end(), form.help),
        );
    }
    if forms.iter().any(|form| form.rest.contains("KEY VALUE")) {
        line(&mut text, "keys:");
        for key in setting::KEYS {
            line(
                &mut text,
                &format!("    {:<14}{}: {}", key.word, key.help, key.value),
            );
        }
    }
    Some(text)
}

fn line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}

fn create(cursor: &mut Cursor<'_>) -> Result<Statement, Error> {
    let service = name(cursor)?;
    cursor.keyword(&["with"])?;
    let settings = setting::list(cursor)?;
    Ok(Statement::Create { service, settings })
}

fn change(cursor: &mut Cursor<'_>) -> Result<Statement, Error> {
    let (service, at) = name_at(cursor)?;
    cursor.keyword(&["set"])?;
    let settings = setting::list(cursor)?;
    Ok(Statement::Change {
        service,
        at,
        settings,
    })
}

fn classify(cursor: &mut Cursor<'_>) -> Result<Statement, Error> {
    let (service, at) = name_at(cursor)?;
    let method = cursor.value("an HTTP method or *", method)?;
    let path = cursor.value("a path that starts with /", path)?;
    cursor.keyword(&["as"])?;
    let class = match cursor.keyword(&["idempotent", "non-idempotent"])? {
        "idempotent" => Class::Idempotent,
        _ => Class::NonIdempotent,
    };
    let priority = if cursor.optional("priority") {
        number(cursor, "a priority from 0 to 255")?
    } else {
        0
    };
    // Copies of a non-idempotent request are never joined; the claim table answers them.
    let join = class == Class::Idempotent && cursor.optional("join");
    Ok(Statement::Classify {
        service,
        at,
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
    let key = number(cursor, "an idempotency key, which is a UUID")?;
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
    cursor.value(SERVICE, |text| service::Name::new(text).ok())
}

fn name_at(cursor: &mut Cursor<'_>) -> Result<(service::Name, Revision), Error> {
    let service = name(cursor)?;
    cursor.keyword(&["at"])?;
    Ok((service, revision(cursor)?))
}

fn revision(cursor: &mut Cursor<'_>) -> Result<Revision, Error> {
    number(cursor, REVISION).map(Revision)
}

fn instance(cursor: &mut Cursor<'_>) -> Result<instance::Name, Error> {
    cursor.value(INSTANCE, |text| instance::Name::new(text).ok())
}

/// Reads a number or an id in its own text form.
fn number<T: std::str::FromStr>(cursor: &mut Cursor<'_>, what: &'static str) -> Result<T, Error> {
    cursor.value(what, |text| text.parse().ok())
}

fn method(text: &str) -> Option<Arc<str>> {
    let valid = text == "*" || (!text.is_empty() && text.bytes().all(|b| b.is_ascii_alphabetic()));
    valid.then(|| Arc::from(text.to_ascii_uppercase()))
}

fn path(text: &str) -> Option<Arc<str>> {
    text.starts_with('/').then(|| Arc::from(text))
}
