//! Results of `show` and other queries, read from the local state.
//!
//! The caller first waits until this process has applied everything that a quorum confirmed.

use crate::nodes;
use crate::state::State;
use shallotrill_claim::record::State as RecordState;
use shallotrill_language::Show;
use shallotrill_language::Statement;
use shallotrill_language::result_table::Cell;
use shallotrill_language::result_table::Kind;
use shallotrill_language::result_table::ResultTable;
use shallotrill_model::class::Class;
use shallotrill_model::command;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;
use shallotrill_operator::failure::Failure;
use shallotrill_process::calendar;

/// Number of changes in `show history` when the statement contains no number.
const HISTORY_DEFAULT: usize = 20;

/// Maximum number of rows in a result, to keep it readable and small.
const ROWS_MAX: usize = 1_000;

/// Whether the result depends on the revisions of nodes, which other control processes report.
pub(crate) const fn is_about_nodes(statement: &Statement) -> bool {
    matches!(
        statement,
        Statement::Show(Show::Nodes | Show::Lag) | Statement::InForce(_)
    )
}

/// Returns the result of a query.
pub(crate) fn run(state: &State, statement: &Statement) -> Result<ResultTable, Failure> {
    match statement {
        Statement::Show(Show::Services) => services(state),
        Statement::Show(Show::Service(name)) => service(state, name),
        Statement::Show(Show::Targets(service)) => targets(state, service.as_ref()),
        Statement::Show(Show::Nodes) => node_revisions(state),
        Statement::Show(Show::Members) => members(state),
        Statement::Show(Show::Budgets) => budgets(state),
        Statement::Show(Show::History(limit)) => history(state, limit.map(|limit| limit as usize)),
        Statement::Show(Show::Unknown) => unknown(state),
        Statement::Show(Show::Command(id)) => command(state, *id),
        Statement::Show(Show::Lag) => {
            let revision = state.catalog.lock().revision();
            in_force(state, revision)
        }
        Statement::InForce(revision) => in_force(state, *revision),
        Statement::Explain(request) => Ok(ResultTable::note(&format!(
            "a control process does not route requests; send the statement to a node: shallotctl --node ANNOUNCE-ADDRESS explain {request}"
        ))),
        _ => Err(Failure::Internal {
            reason: "a statement that is not a query was executed as a query".to_owned(),
        }),
    }
}

/// Builds a result table row by row, limited to [`ROWS_MAX`] rows.
struct TableBuilder {
    table: ResultTable,
}

impl TableBuilder {
    fn new(columns: &[(&str, Kind)]) -> Self {
        Self {
            table: ResultTable::table(columns),
        }
    }

    fn row(&mut self, cells: Vec<Cell>) -> Result<(), Failure> {
        if self.table.rows.len() == ROWS_MAX {
            self.table
                .notes
                .push(format!("only the first {ROWS_MAX} rows are shown"));
        }
        if self.table.rows.len() >= ROWS_MAX {
            return Ok(());
        }
        self.table.push(cells).map_err(|ragged| Failure::Internal {
            reason: ragged.to_string(),
        })
    }

    fn note(mut self, note: String) -> ResultTable {
        self.table.notes.insert(0, note);
        self.table
    }
}

fn text<T: ToString + ?Sized>(value: &T) -> Cell {
    Cell::Text(value.to_string())
}

fn count(value: impl Into<u64>) -> Cell {
    Cell::Count(value.into())
}

fn services(state: &State) -> Result<ResultTable, Failure> {
    let mut builder = TableBuilder::new(&[
        ("service", Kind::Text),
        ("slots", Kind::Count),
        ("deadline", Kind::Duration),
        ("rules", Kind::Count),
        ("revision", Kind::Count),
        ("by", Kind::Text),
        ("at", Kind::Time),
    ]);
    let catalog = state.catalog.lock();
    for entry in catalog.services() {
        let spec = &entry.value;
        builder.row(vec![
            text(&spec.name),
            count(spec.slots),
            Cell::DurationUs(u64::from(spec.deadline_ms) * 1_000),
            count(spec.rules.len() as u64),
            count(entry.origin.revision.0),
            text(&entry.origin.operator),
            text(&calendar::format(entry.origin.at)),
        ])?;
    }
    Ok(builder.note(format!("revision {} is in force", catalog.revision())))
}

fn service(state: &State, name: &service::Name) -> Result<ResultTable, Failure> {
    let catalog = state.catalog.lock();
    let entry = catalog.service(name).ok_or_else(|| Failure::UnknownName {
        kind: "service".to_owned(),
        name: name.to_string(),
    })?;
    let spec = &entry.value;
    let mut builder = TableBuilder::new(&[
        ("method", Kind::Text),
        ("path", Kind::Text),
        ("class", Kind::Text),
        ("priority", Kind::Count),
        ("join", Kind::Flag),
    ]);
    for rule in &spec.rules {
        let class = match rule.class {
            Class::Idempotent => "idempotent",
            Class::NonIdempotent => "non-idempotent",
        };
        builder.row(vec![
            text(&rule.method),
            text(&rule.path),
            text(class),
            count(rule.priority),
            Cell::Flag(rule.join),
        ])?;
    }
    let mut table = builder.note(format!(
        "service {name} at revision {} by {}",
        entry.origin.revision, entry.origin.operator
    ));
    table.notes.push(format!(
        "slots {}, connections {}, deadline {}ms, queue {}",
        spec.slots, spec.connections, spec.deadline_ms, spec.queue
    ));
    table.notes.push(format!(
        "probe cost {}us, probe budget {} ppm, retry budget {} permille",
        spec.probe_cost_us, spec.probe_budget_ppm, spec.retry_budget_permille
    ));
    table.notes.push(format!(
        "crash limit {}, quarantine {}ms, claim region {}",
        spec.crash_limit, spec.quarantine_ms, spec.claim_region
    ));
    Ok(table)
}

fn targets(state: &State, service: Option<&service::Name>) -> Result<ResultTable, Failure> {
    let mut builder = TableBuilder::new(&[
        ("service", Kind::Text),
        ("instance", Kind::Text),
        ("zone", Kind::Text),
        ("state", Kind::Text),
        ("slots", Kind::Count),
        ("incarnation", Kind::Count),
        ("address", Kind::Text),
    ]);
    let drained: Vec<_> = {
        let catalog = state.catalog.lock();
        catalog
            .drains()
            .iter()
            .map(|entry| entry.value.clone())
            .collect()
    };
    let members = state.members.lock();
    let rows = members.table.rows().filter(|row| row.is_live());
    for row in rows.filter(|row| service.is_none_or(|service| row.target.service == *service)) {
        let target = &row.target;
        let target_state = if drained.binary_search(&target.instance).is_ok() {
            "drained by operator".to_owned()
        } else {
            format!("{:?}", target.state).to_lowercase()
        };
        builder.row(vec![
            text(&target.service),
            text(&target.instance),
            text(&target.zone),
            text(&target_state),
            count(target.slots),
            count(target.incarnation.0),
            text(&target.address),
        ])?;
    }
    let status = format!(
        "status of this control process's view of the targets: {:?}",
        members.table.status()
    );
    Ok(builder.note(status))
}

fn node_revisions(state: &State) -> Result<ResultTable, Failure> {
    let now = state.now();
    let mut builder = TableBuilder::new(&[
        ("node", Kind::Text),
        ("revision", Kind::Count),
        ("heard", Kind::Duration),
    ]);
    let members = state.members.lock();
    for node in members.nodes.all() {
        builder.row(vec![
            text(&node.instance),
            count(node.revision.0),
            Cell::DurationUs(now.since(node.last_contact).as_micros() as u64),
        ])?;
    }
    Ok(builder.note(format!("{} nodes", members.nodes.all().len())))
}

fn in_force(state: &State, revision: Revision) -> Result<ResultTable, Failure> {
    let now = state.now();
    let current = state.catalog.lock().revision();
    let mut builder = TableBuilder::new(&[
        ("node", Kind::Text),
        ("revision", Kind::Count),
        ("heard", Kind::Duration),
        ("silent", Kind::Flag),
    ]);
    let members = state.members.lock();
    let lagging = members.nodes.lagging(revision, now);
    let total = members.nodes.all().len();
    for node in &lagging {
        let elapsed = now.since(node.last_contact);
        builder.row(vec![
            text(&node.instance),
            count(node.revision.0),
            Cell::DurationUs(elapsed.as_micros() as u64),
            Cell::Flag(elapsed >= nodes::HEARTBEAT_AGE_MAX),
        ])?;
    }
    let note = if revision > current {
        format!("revision {revision} is not accepted; the current revision is {current}")
    } else if lagging.is_empty() {
        format!("revision {revision} is in force at all {total} nodes")
    } else {
        format!(
            "revision {revision} is not known to be in force at {} of {total} nodes",
            lagging.len()
        )
    };
    Ok(builder.note(note))
}

fn members(state: &State) -> Result<ResultTable, Failure> {
    let now = state.now();
    let status = {
        let log = state.log.lock();
        let replica = log.replica.as_ref().ok_or(Failure::NoQuorum)?;
        replica.status(now)
    };
    let mut builder = TableBuilder::new(&[
        ("member", Kind::Count),
        ("role", Kind::Text),
        ("disk", Kind::Text),
        ("leader", Kind::Flag),
        ("matched", Kind::Count),
        ("heard", Kind::Duration),
    ]);
    for progress in &status.members {
        let peer = progress.member.peer;
        builder.row(vec![
            count(peer.id.0),
            text(&format!("{:?}", progress.member.role).to_lowercase()),
            text(&format!("{:032x}", peer.disk.0)),
            Cell::Flag(status.leader == Some(peer)),
            progress.matched.map_or(Cell::Empty, |index| count(index.0)),
            progress.last_contact.map_or(Cell::Empty, |elapsed| {
                Cell::DurationUs(elapsed.as_micros() as u64)
            }),
        ])?;
    }
    let mut table = builder.note(format!(
        "term {}, log applied up to {}, as known to member {}",
        status.term.0, status.applied.0, status.own.id.0
    ));
    for group in state.catalog.lock().groups() {
        let seats: Vec<String> = group
            .value
            .seats
            .iter()
            .map(|seat| format!("{} {:?}", seat.member.0, seat.voting_state))
            .collect();
        table.notes.push(format!(
            "claim group {} epoch {}: {}",
            group.value.region,
            group.value.epoch,
            seats.join(", ")
        ));
    }
    Ok(table)
}

fn budgets(state: &State) -> Result<ResultTable, Failure> {
    let mut builder = TableBuilder::new(&[
        ("service", Kind::Text),
        ("probe_cost", Kind::Duration),
        ("probe_budget", Kind::Share),
        ("retry_budget", Kind::Share),
    ]);
    let catalog = state.catalog.lock();
    for entry in catalog.services() {
        let spec = &entry.value;
        builder.row(vec![
            text(&spec.name),
            Cell::DurationUs(u64::from(spec.probe_cost_us)),
            Cell::SharePpm(spec.probe_budget_ppm),
            Cell::SharePpm(spec.retry_budget_permille * 1_000),
        ])?;
    }
    let note = "the amounts spent are in the state dump of each node".to_owned();
    Ok(builder.note(note))
}

fn history(state: &State, limit: Option<usize>) -> Result<ResultTable, Failure> {
    let mut builder = TableBuilder::new(&[
        ("revision", Kind::Count),
        ("at", Kind::Time),
        ("by", Kind::Text),
        ("command", Kind::Text),
        ("change", Kind::Text),
    ]);
    let catalog = state.catalog.lock();
    for change in catalog.history().last(limit.unwrap_or(HISTORY_DEFAULT)) {
        builder.row(vec![
            count(change.origin.revision.0),
            text(&calendar::format(change.origin.at)),
            text(&change.origin.operator),
            text(&change.command),
            text(&format!("{:?}", change.action)),
        ])?;
    }
    Ok(builder.note(format!("revision {} is in force", catalog.revision())))
}

fn unknown(state: &State) -> Result<ResultTable, Failure> {
    let mut builder = TableBuilder::new(&[
        ("partner", Kind::Text),
        ("service", Kind::Text),
        ("key", Kind::Text),
        ("attempt", Kind::Count),
        ("holder", Kind::Text),
        ("issued", Kind::Time),
        ("content", Kind::Text),
    ]);
    let claims = state.claims.lock();
    for register in claims.acceptor.table().after(None) {
        let Some(accepted) = &register.accepted else {
            continue;
        };
        let record = &accepted.record;
        if let RecordState::Unknown { holder, .. } = &record.state {
            builder.row(vec![
                text(&register.key.partner),
                text(&register.key.service),
                text(&register.key.id),
                count(record.attempt.0),
                text(&holder.instance),
                text(&calendar::format(register.key.time())),
                text(&record.digest),
            ])?;
        }
    }
    let note =
        "requests that may have run, as stored by this member; settle each as done or not-run";
    Ok(builder.note(note.to_owned()))
}

fn command(state: &State, id: command::Id) -> Result<ResultTable, Failure> {
    let catalog = state.catalog.lock();
    let reply = catalog.reply(id).ok_or_else(|| Failure::UnknownName {
        kind: "command".to_owned(),
        name: id.to_string(),
    })?;
    Ok(ResultTable::note(&format!("command {id}: {reply:?}")))
}
