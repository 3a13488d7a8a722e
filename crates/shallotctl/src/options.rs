//! Parsing of the command line.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use lexopt::Arg;
use lexopt::ValueExt;

use crate::registry::View;
use shallotrill_model::command;

/// Text of `--help`.
pub(crate) const HELP: &str = "\
Sends a statement to a control process and prints the result.

usage: shallotctl [OPTION]... STATEMENT...
       shallotctl [OPTION]... -
       shallotctl help [STATEMENT]
       shallotctl --registry ADDR [OPTION]... show items|registries|routers|evacuations

  -                  reads statements from standard input, one per line; stops at the first that fails
  --control ADDR     IP address and port of a control process; may be repeated; tried in order
  --node ADDR        announce address of a node that `explain` queries; may be repeated
  --registry ADDR    message address of a registry process; may be repeated; all are queried
  --json             prints JSON lines
  --operator NAME    name recorded in the history (default: USER)
  --command ID       id of the command, to send a change again without applying it twice
  --timeout SECONDS  time limit for each statement (default: 10)
  --help             prints this text
  --version          prints the version

Without --control, the addresses come from SHALLOTCTL_CONTROL, separated by commas.

exit codes: 0 success; 1 refused or failed; 2 invalid command line or statement;
3 no control process could be reached, or the one reached cannot report what is in force
";

/// Default time limit for a statement, long enough for the election after the loss of a leader.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum value of `--timeout`.
const TIMEOUT_MAX_S: u64 = 3_600;

/// The action that the command line requests.
#[derive(Debug)]
pub(crate) enum Action {
    Help,
    Version,
    /// Prints help on the statements that start with these words.
    Explain(Vec<String>),
    Statement(String),
    /// Queries registry processes.
    Registry(View),
    /// Reads statements from standard input.
    Lines,
}

/// A parsed command line.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) registries: Vec<SocketAddr>,
    pub(crate) json: bool,
    pub(crate) operator: String,
    pub(crate) command: Option<command::Id>,
    pub(crate) timeout: Duration,
    pub(crate) action: Action,
}

/// Why a command line is invalid.
#[derive(Debug)]
pub(crate) enum Error {
    Argument(lexopt::Error),
    Address(String),
    Timeout(String),
    Command(command::Invalid),
    /// `--command` was given with several statements, but an id identifies one command.
    CommandForLines,
    /// The statement is missing.
    Statement,
    /// A statement that registry processes do not support.
    View(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Argument(error) => write!(f, "{error}"),
            Self::Address(found) => write!(
                f,
                "{found:?} is not an IP address with a port, such as 127.0.0.1:7101"
            ),
            Self::Timeout(found) => write!(
                f,
                "{found:?} is not a number of seconds from 1 to {TIMEOUT_MAX_S}"
            ),
            Self::Command(invalid) => write!(f, "the value of --command is invalid: {invalid}"),
            Self::CommandForLines => write!(f, "--command cannot be used with several statements"),
            Self::Statement => write!(f, "a statement is required"),
            Self::View(found) => write!(
                f,
                "registry processes do not support {found:?}: expected show items, show registries, show routers or show evacuations"
            ),
        }
    }
}

impl error::Error for Error {}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Argument(error)
    }
}

impl Options {
    /// Parses a command line. `control` and `user` are the values of `SHALLOTCTL_CONTROL` and `USER`.
    pub(crate) fn parse(
        mut arguments: lexopt::Parser,
        control: &str,
        user: &str,
    ) -> Result<Self, Error> {
        let mut options = Self::new(user);
        let mut words: Vec<String> = Vec::new();
        while let Some(argument) = arguments.next()? {
            match argument {
                Arg::Long("control") => {
                    let text = arguments.value()?.string()?;
                    options.control.push(address(&text)?);
                }
                Arg::Long("node") => {
                    let text = arguments.value()?.string()?;
                    options.nodes.push(address(&text)?);
                }
                Arg::Long("registry") => {
                    let text = arguments.value()?.string()?;
                    options.registries.push(address(&text)?);
                }
                Arg::Long("json") => options.json = true,
                Arg::Long("operator") => options.operator = arguments.value()?.string()?,
                Arg::Long("command") => {
                    let id = arguments.value()?.string()?.parse();
                    options.command = Some(id.map_err(Error::Command)?);
                }
                Arg::Long("timeout") => options.timeout = timeout(arguments.value()?.string()?)?,
                Arg::Long("help") | Arg::Short('h') => return Ok(options),
                Arg::Long("version") => {
                    options.action = Action::Version;
                    return Ok(options);
                }
                Arg::Value(word) => words.push(word.string()?),
                other => return Err(Error::Argument(other.unexpected())),
            }
        }
        if options.control.is_empty() {
            let texts = control.split(',').map(str::trim);
            let texts = texts.filter(|text| !text.is_empty());
            options.control = texts.map(address).collect::<Result<_, _>>()?;
        }
        options.action = if options.registries.is_empty() {
            action(words)?
        } else {
            let text = words.join(" ");
            let view = View::parse(&text).ok_or(Error::View(text))?;
            Action::Registry(view)
        };
        if options.command.is_some() && matches!(options.action, Action::Lines) {
            return Err(Error::CommandForLines);
        }
        Ok(options)
    }

    fn new(user: &str) -> Self {
        let operator = if user.is_empty() { "unknown" } else { user };
        Self {
            control: Vec::new(),
            nodes: Vec::new(),
            registries: Vec::new(),
            json: false,
            operator: operator.to_owned(),
            command: None,
            timeout: DEFAULT_TIMEOUT,
            action: Action::Help,
        }
    }
}

fn action(mut words: Vec<String>) -> Result<Action, Error> {
    match words.first().map(String::as_str) {
        None => Err(Error::Statement),
        Some("-") if words.len() == 1 => Ok(Action::Lines),
        Some("help") => {
            words.remove(0);
            // A statement may be passed as one argument or as several.
            let words = words.iter().flat_map(|word| word.split_whitespace());
            Ok(Action::Explain(words.map(str::to_owned).collect()))
        }
        Some(_) => Ok(Action::Statement(words.join(" "))),
    }
}

fn address(text: &str) -> Result<SocketAddr, Error> {
    text.parse().or(Err(Error::Address(text.to_owned())))
}

fn timeout(text: String) -> Result<Duration, Error> {
    match text.parse() {
        Ok(seconds) if (1..=TIMEOUT_MAX_S).contains(&seconds) => Ok(Duration::from_secs(seconds)),
        _ => Err(Error::Timeout(text)),
    }
}
