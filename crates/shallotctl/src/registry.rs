//! What registry processes hold.

use std::io;
use std::io::Write;

use anyhow::Context;
use tokio::runtime;

use crate::options::Options;
use crate::output::Output;
use shallotrill_feed::link::Link;
use shallotrill_feed::message::RegistryStatus;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_items::item::Content;
use shallotrill_items::replica::Entry;
use shallotrill_language::result_table::Cell;
use shallotrill_language::result_table::Kind;
use shallotrill_language::result_table::ResultTable;
use shallotrill_language::result_table::RowLengthMismatch;

/// Exit code when no registry process could be reached.
const UNREACHABLE: u8 = 3;

/// What is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum View {
    /// The items with their versions.
    Items,
    /// The registry processes that each one knows.
    Registries,
    /// The routers and their backend servers.
    Routers,
}

impl View {
    /// The view that a statement asks for.
    pub(crate) fn of(statement: &str) -> Option<Self> {
        match statement {
            "show items" => Some(Self::Items),
            "show registries" => Some(Self::Registries),
            "show routers" => Some(Self::Routers),
            _ => None,
        }
    }

    /// Columns after the one of the process that was asked.
    const fn columns(self) -> &'static [(&'static str, Kind)] {
        match self {
            Self::Items => &[
                ("registry", Kind::Text),
                ("item", Kind::Text),
                ("version", Kind::Count),
                ("removed", Kind::Flag),
                ("settled", Kind::Flag),
                ("document", Kind::Text),
            ],
            Self::Registries => &[
                ("registry", Kind::Text),
                ("member", Kind::Text),
                ("votes", Kind::Flag),
                ("silent", Kind::Duration),
                ("quorum", Kind::Count),
            ],
            Self::Routers => &[
                ("registry", Kind::Text),
                ("router", Kind::Text),
                ("service", Kind::Text),
                ("instance", Kind::Text),
                ("state", Kind::Text),
                ("silent", Kind::Duration),
            ],
        }
    }

    fn rows(self, shown: &RegistryStatus) -> Vec<Vec<Cell>> {
        match self {
            Self::Items => shown.entries.iter().map(item).collect(),
            Self::Registries => registries(shown),
            Self::Routers => routers(shown),
        }
    }
}

/// Asks all registry processes and returns the exit code.
pub(crate) fn run(options: &Options, view: View, output: Output) -> anyhow::Result<u8> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the runtime cannot start")?;
    let mut answer = ResultTable::table(view.columns());
    let mut answered = 0;
    for &address in &options.registries {
        let link = Link::new(address);
        match runtime.block_on(link.call(&Request::Show, options.timeout)) {
            Ok(Reply::Shown(shown)) => {
                answered += 1;
                push(&mut answer, &address.to_string(), view.rows(&shown))
                    .context("a row does not fit its columns")?;
            }
            Ok(_) => writeln!(io::stderr(), "shallotctl: {address}: another reply came")?,
            Err(error) => writeln!(io::stderr(), "shallotctl: {address}: {error}")?,
        }
    }
    output.answer(&answer)?;
    Ok(if answered == 0 { UNREACHABLE } else { 0 })
}

fn push(
    answer: &mut ResultTable,
    registry: &str,
    rows: Vec<Vec<Cell>>,
) -> Result<(), RowLengthMismatch> {
    for row in rows {
        let mut cells = vec![Cell::Text(registry.to_owned())];
        cells.extend(row);
        answer.push(cells)?;
    }
    Ok(())
}

fn item(entry: &Entry) -> Vec<Cell> {
    let accepted = entry.accepted.as_ref().map(|accepted| &accepted.item);
    let settled = accepted.is_none() || accepted == entry.committed.as_ref();
    let key = Cell::Text(entry.key.to_string());
    match &entry.committed {
        Some(item) => vec![
            key,
            Cell::Count(item.version),
            Cell::Flag(item.content == Content::Removed),
            Cell::Flag(settled),
            Cell::Text(item.document.to_string()),
        ],
        None => vec![
            key,
            Cell::Empty,
            Cell::Empty,
            Cell::Flag(settled),
            Cell::Empty,
        ],
    }
}

fn registries(shown: &RegistryStatus) -> Vec<Vec<Cell>> {
    let own = std::iter::once((shown.member, 0));
    let all = own.chain(shown.others.iter().copied());
    let row = |(member, silent_ms): (shallotrill_items::roster::Member, u64)| {
        vec![
            Cell::Text(member.address.to_string()),
            Cell::Flag(member.votes),
            Cell::DurationUs(silent_ms * 1_000),
            Cell::Count(shown.quorum.into()),
        ]
    };
    all.map(row).collect()
}

fn routers(shown: &RegistryStatus) -> Vec<Vec<Cell>> {
    let row = |(announcement, silent_ms): &(shallotrill_feed::message::Announcement, u64)| {
        let target = announcement.target.as_ref();
        let text = |value: Option<String>| value.map_or(Cell::Empty, Cell::Text);
        vec![
            Cell::Text(announcement.router.to_string()),
            text(target.map(|t| t.service.to_string())),
            text(target.map(|t| t.instance.to_string())),
            text(target.map(|t| format!("{:?}", t.state).to_lowercase())),
            Cell::DurationUs(silent_ms * 1_000),
        ]
    };
    shown.announcements.iter().map(row).collect()
}
