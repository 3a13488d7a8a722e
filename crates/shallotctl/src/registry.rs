//! Queries registry processes for their items, members and routers, and prints them.

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
use shallotrill_items::item;
use shallotrill_items::item::Content;
use shallotrill_items::replica::Entry;
use shallotrill_language::result_table::Cell;
use shallotrill_language::result_table::Kind;
use shallotrill_language::result_table::ResultTable;
use shallotrill_language::result_table::RowLengthMismatch;

/// Exit code when no registry process could be reached.
const UNREACHABLE: u8 = 3;

/// The part of the registry status to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum View {
    /// Configuration items with their versions.
    Items,
    /// The members that each registry process knows.
    Registries,
    /// Routers with their backend servers.
    Routers,
    /// Availability zones that were ever evacuated.
    Evacuations,
}

impl View {
    /// Parses a statement; `None` when registry processes do not support it.
    pub(crate) fn parse(statement: &str) -> Option<Self> {
        match statement {
            "show items" => Some(Self::Items),
            "show registries" => Some(Self::Registries),
            "show routers" => Some(Self::Routers),
            "show evacuations" => Some(Self::Evacuations),
            _ => None,
        }
    }

    /// Columns of the table. The first one is the address of the registry process that replied.
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
            Self::Evacuations => &[
                ("registry", Kind::Text),
                ("zone", Kind::Text),
                ("evacuated", Kind::Flag),
                ("version", Kind::Count),
                ("settled", Kind::Flag),
            ],
        }
    }

    fn rows(self, status: &RegistryStatus) -> Vec<Vec<Cell>> {
        match self {
            Self::Items => status.entries.iter().map(item_row).collect(),
            Self::Registries => registry_rows(status),
            Self::Routers => router_rows(status),
            Self::Evacuations => evacuation_rows(status),
        }
    }
}

/// Queries all registry processes, prints one table and returns the exit code.
pub(crate) fn run(options: &Options, view: View, output: Output) -> anyhow::Result<u8> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the asynchronous runtime")?;
    let mut table = ResultTable::table(view.columns());
    let mut replies = 0;
    for &address in &options.registries {
        let link = Link::new(address);
        match runtime.block_on(link.call(&Request::Show, options.timeout)) {
            Ok(Reply::Shown(status)) => {
                replies += 1;
                push_rows(&mut table, &address.to_string(), view.rows(&status))
                    .context("the number of cells in a row differs from the number of columns")?;
            }
            Ok(_) => writeln!(
                io::stderr(),
                "shallotctl: {address}: unexpected reply to a request for the registry status"
            )?,
            Err(error) => writeln!(io::stderr(), "shallotctl: {address}: {error}")?,
        }
    }
    output.print_result(&table)?;
    Ok(if replies == 0 { UNREACHABLE } else { 0 })
}

fn push_rows(
    table: &mut ResultTable,
    registry: &str,
    rows: Vec<Vec<Cell>>,
) -> Result<(), RowLengthMismatch> {
    for row in rows {
        let mut cells = vec![Cell::Text(registry.to_owned())];
        cells.extend(row);
        table.push(cells)?;
    }
    Ok(())
}

fn item_row(entry: &Entry) -> Vec<Cell> {
    let accepted = entry.accepted.as_ref().map(|accepted| &accepted.item);
    let is_committed = accepted.is_none() || accepted == entry.committed.as_ref();
    let key = Cell::Text(entry.key.to_string());
    match &entry.committed {
        Some(item) => vec![
            key,
            Cell::Count(item.version),
            Cell::Flag(item.content == Content::Removed),
            Cell::Flag(is_committed),
            Cell::Text(item.document.to_string()),
        ],
        None => vec![
            key,
            Cell::Empty,
            Cell::Empty,
            Cell::Flag(is_committed),
            Cell::Empty,
        ],
    }
}

fn evacuation_rows(status: &RegistryStatus) -> Vec<Vec<Cell>> {
    let entries = status.entries.iter();
    let zones = entries.filter(|entry| entry.key.kind == item::Kind::Evacuation);
    let row = |entry: &Entry| {
        let accepted = entry.accepted.as_ref().map(|accepted| &accepted.item);
        let item = entry.committed.as_ref();
        // The end of an evacuation that never started leaves a register without a committed item.
        let is_settled =
            accepted.is_none_or(|a| Some(a) == item || (item.is_none() && a.is_absent()));
        vec![
            Cell::Text(entry.key.name.to_string()),
            Cell::Flag(item.is_some_and(|item| item.content == Content::Evacuation)),
            item.map_or(Cell::Empty, |item| Cell::Count(item.version)),
            Cell::Flag(is_settled),
        ]
    };
    zones.map(row).collect()
}

fn registry_rows(status: &RegistryStatus) -> Vec<Vec<Cell>> {
    let queried = std::iter::once((status.member, 0));
    let all = queried.chain(status.others.iter().copied());
    let row = |(member, since_last_contact_ms): (shallotrill_items::roster::Member, u64)| {
        vec![
            Cell::Text(member.address.to_string()),
            Cell::Flag(member.votes),
            Cell::DurationUs(since_last_contact_ms * 1_000),
            Cell::Count(status.quorum.into()),
        ]
    };
    all.map(row).collect()
}

fn router_rows(status: &RegistryStatus) -> Vec<Vec<Cell>> {
    let row =
        |(announcement, since_last_contact_ms): &(shallotrill_feed::message::Announcement, u64)| {
            let target = announcement.target.as_ref();
            let text = |value: Option<String>| value.map_or(Cell::Empty, Cell::Text);
            vec![
                Cell::Text(announcement.router.to_string()),
                text(target.map(|t| t.service.to_string())),
                text(target.map(|t| t.instance.to_string())),
                text(target.map(|t| format!("{:?}", t.state).to_lowercase())),
                Cell::DurationUs(since_last_contact_ms * 1_000),
            ]
        };
    status.announcements.iter().map(row).collect()
}
