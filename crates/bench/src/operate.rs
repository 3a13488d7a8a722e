//! Runs operator statements for examples and tests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::time;

use crate::cluster::Service;
use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::client::Client;
use shallotrill_operator::client::Error;
use shallotrill_operator::wire::Request;

/// Time limit for one statement at one control process.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause before a failed statement is retried, for example one that found no quorum.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a statement with a new command id.
///
/// # Errors
///
/// Returns the [`Error`] of the last control process that was tried.
pub async fn run(operators: &[SocketAddr], statement: &str) -> Result<ResultTable, Error> {
    let request = Request {
        statement: statement.to_owned(),
        command: Some(format!("{:032x}", rand::random::<u128>())),
        operator: "bench".to_owned(),
    };
    Client::new(operators.to_vec(), STATEMENT_TIMEOUT)
        .send(&request)
        .await
}

/// Retries a statement until it succeeds; each attempt has a new command id.
///
/// # Errors
///
/// Returns the last [`Error`] when the statement does not succeed within `timeout`.
pub async fn run_with_retries(
    operators: &[SocketAddr],
    statement: &str,
    timeout: Duration,
) -> Result<ResultTable, Error> {
    let end = Instant::now() + timeout;
    loop {
        match run(operators, statement).await {
            Ok(table) => return Ok(table),
            Err(error) if Instant::now() >= end => return Err(error),
            Err(_) => time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Creates a service whose GETs are idempotent and coalesced and whose POSTs are non-idempotent.
///
/// # Errors
///
/// Returns the [`Error`] of the statement that failed.
pub async fn create_service(operators: &[SocketAddr], service: &Service) -> Result<(), Error> {
    let timeout = Duration::from_secs(20);
    let name = service.name;
    let create = format!(
        "create service {name} with slots {}, deadline 2s, probe-cost 6ms, probe-budget 1%",
        service.slots
    );
    run_with_retries(operators, &create, timeout).await?;
    // Each change must give the revision of the service that it builds on; the revision in force is at least that.
    for rule in [
        "GET \"/\" as idempotent join",
        "POST \"/\" as non-idempotent",
    ] {
        let revision = revision(operators).await?;
        let classify = format!("classify {name} at {revision} {rule}");
        run_with_retries(operators, &classify, timeout).await?;
    }
    Ok(())
}

/// Returns the catalog revision in force, or 0 when the result has none.
///
/// # Errors
///
/// Returns the [`Error`] of the query.
pub async fn revision(operators: &[SocketAddr]) -> Result<u64, Error> {
    let table = run(operators, "show services").await?;
    let note = table.notes.first().map(String::as_str).unwrap_or_default();
    let number = note.split_whitespace().find_map(|word| word.parse().ok());
    Ok(number.unwrap_or_default())
}
