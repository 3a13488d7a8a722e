//! Executes the statements of operators.

use std::sync::Arc;

use crate::claims;
use crate::members;
use crate::show;
use crate::state::State;
use crate::submit;
use shallotrill_catalog::action::Action;
use shallotrill_catalog::command::Command;
use shallotrill_catalog::patch::Patch;
use shallotrill_catalog::reply;
use shallotrill_catalog::reply::Reply;
use shallotrill_claim::change::Change;
use shallotrill_claim::change::Decision;
use shallotrill_claim::key;
use shallotrill_claim::key::Key;
use shallotrill_claim::proposer;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Report;
use shallotrill_consensus::member::Peer;
use shallotrill_control_client::claim;
use shallotrill_language::Settlement;
use shallotrill_language::Statement;
use shallotrill_language::result_table::ResultTable;
use shallotrill_language::setting::Setting;
use shallotrill_model::class;
use shallotrill_model::command::Id;
use shallotrill_model::digest::Digest;
use shallotrill_model::outcome;
use shallotrill_model::partner;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;
use shallotrill_operator::failure::Failure;
use shallotrill_operator::server::StatementRequest;
use shallotrill_replica::forward::Refusal;
use shallotrill_replica::hello;

/// Status of the response that a retry receives when an operator settled the request as done.
const SETTLED_STATUS: u16 = 200;

/// Timeout of the hello request to the control process that replaces a member.
const HELLO_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Executes a statement and counts its result.
pub(crate) async fn run(
    state: Arc<State>,
    request: StatementRequest,
) -> Result<ResultTable, Failure> {
    let result = dispatch(&state, request).await;
    let code = result.as_ref().err().map_or("ok", Failure::code);
    state.metrics.count_statement(code);
    result
}

async fn dispatch(state: &Arc<State>, request: StatementRequest) -> Result<ResultTable, Failure> {
    let StatementRequest {
        statement,
        command,
        operator,
    } = request;
    if !statement.is_change() {
        submit::read(state)
            .await
            .map_err(|refusal| submit_failure(state, Id(0), refusal))?;
        if show::is_about_nodes(&statement) {
            members::fetch_nodes(state).await;
        }
        return show::run(state, &statement);
    }
    let id = command.ok_or(Failure::CommandMissing)?;
    match statement {
        Statement::Settle {
            partner,
            service,
            key,
            settlement,
        } => {
            let key = parse_key(partner, service, key.0)?;
            settle(state, id, key, settlement).await
        }
        Statement::Replace { old, new } => replace(state, id, old, new).await,
        other => change(state, id, operator, other).await,
    }
}

async fn change(
    state: &Arc<State>,
    id: Id,
    operator: String,
    statement: Statement,
) -> Result<ResultTable, Failure> {
    let (base, action) = action(state, statement)?;
    let command = Command {
        id,
        base,
        operator: Arc::from(operator),
        at: state.clock.wall(),
        action,
    };
    let action = command.action.clone();
    let reply = submit::command(state, command).await;
    match reply.map_err(|refusal| submit_failure(state, id, refusal))? {
        Reply::Accepted(_) if is_reused(state, id, &action) => {
            Err(Failure::CommandReused { command: id })
        }
        Reply::Accepted(revision) => {
            let text = format!("accepted as revision {revision}; command {id}");
            Ok(ResultTable::note(&text))
        }
        Reply::Refused(refusal) => Err(catalog_failure(state, &refusal)),
    }
}

/// Whether the history contains another change that was accepted under this command id.
fn is_reused(state: &State, id: Id, action: &Action) -> bool {
    let catalog = state.catalog.lock();
    let mut changes = catalog.history().last(usize::MAX);
    changes.any(|change| change.command == id && change.action != *action)
}

fn action(state: &State, statement: Statement) -> Result<(Option<Revision>, Action), Failure> {
    Ok(match statement {
        Statement::Create { service, settings } => {
            let mut spec = service::Spec::new(service, state.identity.region.clone());
            for setting in &settings {
                setting.apply(&mut spec);
            }
            (None, Action::CreateService(spec))
        }
        Statement::Change {
            service,
            base,
            settings,
        } => {
            let patch = patch(&settings)?;
            (
                Some(base),
                Action::ChangeService {
                    name: service,
                    patch,
                },
            )
        }
        Statement::Delete { service, base } => {
            (Some(base), Action::DeleteService { name: service })
        }
        Statement::Classify {
            service,
            base,
            method,
            path,
            class,
            priority,
            join,
        } => {
            let rule = class::Rule {
                method,
                path,
                class,
                priority,
                join,
            };
            (
                Some(base),
                Action::Classify {
                    name: service,
                    rule,
                },
            )
        }
        Statement::Drain(instance) => (None, Action::Drain { instance }),
        Statement::Undrain(instance) => (None, Action::Undrain { instance }),
        Statement::Release { service, digest } => (None, Action::Release { service, digest }),
        Statement::Show(_)
        | Statement::InForce(_)
        | Statement::Explain(_)
        | Statement::Replace { .. }
        | Statement::Settle { .. } => {
            let reason =
                "a statement that does not change the configuration was executed as a change"
                    .to_owned();
            return Err(Failure::Internal { reason });
        }
    })
}

fn patch(settings: &[Setting]) -> Result<Patch, Failure> {
    let mut patch = Patch::default();
    for setting in settings {
        match setting {
            Setting::Slots(value) => patch.slots = Some(*value),
            Setting::Connections(value) => patch.connections = Some(*value),
            Setting::DeadlineMs(value) => patch.deadline_ms = Some(*value),
            Setting::Queue(value) => patch.queue = Some(*value),
            Setting::ProbeCostUs(value) => patch.probe_cost_us = Some(*value),
            Setting::ProbeBudgetPpm(value) => patch.probe_budget_ppm = Some(*value),
            Setting::RetryBudgetPermille(value) => patch.retry_budget_permille = Some(*value),
            Setting::CrashLimit(value) => patch.crash_limit = Some(*value),
            Setting::QuarantineMs(value) => patch.quarantine_ms = Some(*value),
            Setting::Regions(regions) => patch.regions = Some(regions.clone()),
            Setting::ClaimRegion(_) => {
                return Err(Failure::InvalidValue {
                    key: "claim-region".to_owned(),
                    allowed: "a value set when the service is created, because claim records are not moved to another region".to_owned(),
                });
            }
        }
    }
    Ok(patch)
}

/// Converts a refusal by the consensus group.
fn submit_failure(state: &State, command: Id, refusal: Refusal) -> Failure {
    match refusal {
        Refusal::Undecided => Failure::Undecided { command },
        Refusal::NoQuorum | Refusal::NotLeader(_) => Failure::NoQuorum,
        Refusal::Overloaded => Failure::Request {
            status: 503,
            reason: "too many changes are waiting for a quorum; repeat the command".to_owned(),
        },
        Refusal::Member(reason) => {
            let reason = format!("{reason} (reported by {})", state.identity.instance);
            Failure::Request {
                status: 409,
                reason,
            }
        }
    }
}

/// Converts a refusal of an applied command by the catalog.
fn catalog_failure(state: &State, refusal: &reply::Refusal) -> Failure {
    match refusal {
        reply::Refusal::Conflict { base, current } => Failure::Conflict {
            built_on: *base,
            current: current.revision,
            winner: winner(state, current.revision),
        },
        reply::Refusal::Exists(_) => Failure::Exists {
            kind: "service".to_owned(),
            name: refusal.to_string(),
        },
        reply::Refusal::Missing(name, _) => Failure::UnknownName {
            kind: "service".to_owned(),
            name: name.to_string(),
        },
        reply::Refusal::NotDrained(instance) => Failure::UnknownName {
            kind: "drained instance".to_owned(),
            name: instance.to_string(),
        },
        other => Failure::Request {
            status: 422,
            reason: other.to_string(),
        },
    }
}

/// Returns the command that created a revision, if it is still in the history.
fn winner(state: &State, revision: Revision) -> Option<Id> {
    let catalog = state.catalog.lock();
    let mut changes = catalog.history().last(usize::MAX);
    let change = changes.find(|change| change.origin.revision == revision);
    change.map(|change| change.command)
}

fn parse_key(partner: partner::Name, service: service::Name, key: u128) -> Result<Key, Failure> {
    let invalid = |error: key::Invalid| Failure::InvalidValue {
        key: "key".to_owned(),
        allowed: error.to_string(),
    };
    let id = key::IdempotencyKey::new(key).map_err(invalid)?;
    Ok(Key {
        id,
        partner,
        service,
    })
}

async fn settle(
    state: &Arc<State>,
    command: Id,
    key: Key,
    settlement: Settlement,
) -> Result<ResultTable, Failure> {
    // Read from a majority, because this member may have missed the record. A settled record is
    // settled again, so that a resent statement receives the same result.
    let attempt = match claims::run(state, key.clone(), Task::Read).await {
        Ok(Report::Outcome { attempt, .. }) => attempt,
        Ok(Report::Granted { .. } | Report::Absent) => {
            return Err(Failure::UnknownName {
                kind: "request of unknown outcome".to_owned(),
                name: key.id.to_string(),
            });
        }
        Err(refusal) => return Err(claim_failure(&refusal)),
    };
    let decision = match settlement {
        Settlement::NotRun => Decision::NotRun,
        Settlement::Done => Decision::Done(outcome::Answer {
            status: SETTLED_STATUS,
            content_type: String::new(),
            body: None,
            digest: Digest([0; 32]),
        }),
    };
    let change = Task::Change(Change::Settle { attempt, decision });
    match claims::run(state, key, change).await {
        Ok(Report::Outcome { outcome, .. }) => {
            let text = format!("settled as {settlement}: {}", outcome_name(&outcome));
            Ok(ResultTable::note(&text))
        }
        Ok(Report::Granted { .. } | Report::Absent) => Err(Failure::Internal {
            reason: "the claim group returned no outcome for a settlement".to_owned(),
        }),
        Err(refusal) => Err(match claim_failure(&refusal) {
            // Some members may have accepted the change, and a later round may complete it.
            Failure::NoQuorum => Failure::Undecided { command },
            failure => failure,
        }),
    }
}

fn claim_failure(refusal: &claim::Refusal) -> Failure {
    match refusal {
        claim::Refusal::Claim(proposer::Failure::Refused(refusal)) => Failure::Request {
            status: 409,
            reason: refusal.to_string(),
        },
        claim::Refusal::Claim(proposer::Failure::Expired(_)) => Failure::UnknownName {
            kind: "stored claim record".to_owned(),
            name: refusal_text(refusal),
        },
        _ => Failure::NoQuorum,
    }
}

fn refusal_text(refusal: &claim::Refusal) -> String {
    match refusal {
        claim::Refusal::Claim(failure) => failure.to_string(),
        other => format!("{other:?}"),
    }
}

/// Name of an outcome in results and messages.
pub(crate) const fn outcome_name(outcome: &outcome::Outcome) -> &'static str {
    match outcome {
        outcome::Outcome::Answer(_) => "ran",
        outcome::Outcome::Running => "running",
        outcome::Outcome::NotRun(_) => "not-run",
        outcome::Outcome::Unknown => "unknown",
    }
}

async fn replace(state: &Arc<State>, id: Id, old: u64, new: u64) -> Result<ResultTable, Failure> {
    let peer = request_peer(state, new).await?;
    submit::replace(state, old, peer)
        .await
        .map_err(|refusal| submit_failure(state, id, refusal))?;
    let text = format!(
        "member {old} is replaced by {new} on disk {:032x}",
        peer.disk.0
    );
    Ok(ResultTable::note(&text))
}

/// Requests the current disk of a control process.
async fn request_peer(state: &State, id: u64) -> Result<Peer, Failure> {
    if id == state.identity.peer.id.0 {
        return Ok(state.identity.peer);
    }
    let unknown = || Failure::UnknownName {
        kind: "reachable control process".to_owned(),
        name: id.to_string(),
    };
    let peer = state.peers.get(id).ok_or_else(unknown)?;
    let request = hello::Request {
        own: state.identity.peer,
    };
    let reply: Result<hello::Reply, _> = peer.call(hello::METHOD, &request, HELLO_TIMEOUT).await;
    reply.ok().map(|reply| reply.own).ok_or_else(unknown)
}
