//! How a recent request was routed, asked of nodes and printed.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use shallotrill_model::request;
use shallotrill_operator::node;

/// Asks the nodes and prints what they know; returns the exit code.
pub(crate) async fn run(
    nodes: &[SocketAddr],
    request: request::Id,
    limit: Duration,
    json: bool,
) -> io::Result<u8> {
    let mut code = 1;
    for address in nodes {
        match node::explain(*address, request, limit).await {
            Ok(explanation) => {
                code = 0;
                print(*address, &explanation, json)?;
            }
            Err(error) => writeln!(io::stderr(), "shallotctl: {error}")?,
        }
    }
    Ok(code)
}

fn print(address: SocketAddr, explanation: &Value, json: bool) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for entry in explanation.as_array().into_iter().flatten() {
        if json {
            writeln!(out, "{entry}")?;
        } else {
            write!(out, "{}", text(address, entry))?;
        }
    }
    Ok(())
}

fn text(address: SocketAddr, entry: &Value) -> String {
    let mut lines = vec![format!(
        "request {} of {} to {}, {}, taken by {address}\n",
        word(&entry["request"]),
        word(&entry["partner"]),
        word(&entry["service"]),
        word(&entry["class"]),
    )];
    for step in entry["steps"].as_array().into_iter().flatten() {
        let line = match step["step"].as_str() {
            Some("chosen") => chosen(step),
            Some("failed") => format!(
                "  {} failed after {} us: {} ({}): {}\n",
                word(&step["instance"]),
                word(&step["after_us"]),
                word(&step["refusal"]["code"]),
                word(&step["refusal"]["run"]),
                word(&step["refusal"]["message"]),
            ),
            _ => format!(
                "  {} answered {} after {} us\n",
                word(&step["instance"]),
                word(&step["status"]),
                word(&step["after_us"]),
            ),
        };
        lines.push(line);
    }
    if let Some(code) = entry["refusal"]["code"].as_str() {
        lines.push(format!("  refused as {code}\n"));
    }
    lines.concat()
}

fn chosen(step: &Value) -> String {
    let head = format!(
        "  attempt {} goes to {}, among:\n",
        word(&step["attempt"]),
        word(&step["instance"])
    );
    let candidates = step["candidates"].as_array().into_iter().flatten();
    let lines: Vec<String> = candidates.map(considered).collect();
    head + &lines.concat()
}

fn considered(candidate: &Value) -> String {
    let age = match candidate["age_us"].as_u64() {
        Some(age) => format!("known {age} us ago"),
        None => "nothing known".to_owned(),
    };
    format!(
        "    {}: {}, score {:.0} us, {} ahead of {} slots, {age}\n",
        word(&candidate["instance"]),
        word(&candidate["reason"]),
        candidate["score_us"].as_f64().unwrap_or_default(),
        word(&candidate["estimate"]["ahead"]),
        word(&candidate["estimate"]["limit"]),
    )
}

fn word(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
