//! Statements of an operator, for examples and tests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::time;

use crate::cluster::Service;
use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::client::Client;
use shallotrill_operator::client::Error;
use shallotrill_operator::wire::Request;

/// Longest time for one statement.
const LIMIT: Duration = Duration::from_secs(10);

/// Pause before a statement that found no quorum is repeated.
const PAUSE: Duration = Duration::from_millis(100);

/// Runs a statement with a command id of its own.
///
/// # Errors
///
/// Returns the [`Error`] of the last control process that was asked.
pub async fn run(operators: &[SocketAddr], statement: &str) -> Result<ResultTable, Error> {
    let request = Request {
        statement: statement.to_owned(),
        command: Some(format!("{:032x}", rand::random::<u128>())),
        operator: "bench".to_owned(),
    };
    Client::new(operators.to_vec(), LIMIT).send(&request).await
}

/// Runs a statement until it succeeds.
///
/// # Errors
///
/// Returns the last [`Error`] when the time is up.
pub async fn insist(
    operators: &[SocketAddr],
    statement: &str,
    limit: Duration,
) -> Result<ResultTable, Error> {
    let end = Instant::now() + limit;
    loop {
        match run(operators, statement).await {
            Ok(answer) => return Ok(answer),
            Err(error) if Instant::now() >= end => return Err(error),
            Err(_) => time::sleep(PAUSE).await,
        }
    }
}

/// Creates a service whose GETs are idempotent and joined and whose POSTs are non-idempotent.
///
/// # Errors
///
/// Returns the [`Error`] of the statement that failed.
pub async fn create(operators: &[SocketAddr], service: &Service) -> Result<(), Error> {
    let limit = Duration::from_secs(20);
    let name = service.name;
    let create = format!(
        "create service {name} with slots {}, deadline 2s, probe-cost 6ms, probe-budget 1%",
        service.slots
    );
    insist(operators, &create, limit).await?;
    // Each change names the revision of the service that it builds on; the revision in force is at least that.
    for rule in [
        "GET \"/\" as idempotent join",
        "POST \"/\" as non-idempotent",
    ] {
        let revision = revision(operators).await?;
        let classify = format!("classify {name} at {revision} {rule}");
        insist(operators, &classify, limit).await?;
    }
    Ok(())
}

/// The revision in force.
///
/// # Errors
///
/// Returns the [`Error`] of the query.
pub async fn revision(operators: &[SocketAddr]) -> Result<u64, Error> {
    let answer = run(operators, "show services").await?;
    let note = answer.notes.first().map(String::as_str).unwrap_or_default();
    let number = note.split_whitespace().find_map(|word| word.parse().ok());
    Ok(number.unwrap_or_default())
}
