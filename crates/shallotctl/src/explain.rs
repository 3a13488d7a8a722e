//! Queries nodes for how they routed a recent request, and prints the explanation.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use shallotrill_model::request;
use shallotrill_operator::node;

/// Queries the nodes and prints their explanations; returns 0 if at least one node had one, otherwise 1.
pub(crate) async fn run(
    nodes: &[SocketAddr],
    request: request::Id,
    timeout: Duration,
    json: bool,
) -> io::Result<u8> {
    let mut code = 1;
    for address in nodes {
        match node::explain(*address, request, timeout).await {
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
            write!(out, "{}", format_entry(address, entry))?;
        }
    }
    Ok(())
}

fn format_entry(address: SocketAddr, entry: &Value) -> String {
    let mut lines = vec![format!(
        "request {} of {} to {}, {}, accepted by {address}\n",
        display_value(&entry["request"]),
        display_value(&entry["partner"]),
        display_value(&entry["service"]),
        display_value(&entry["class"]),
    )];
    for step in entry["steps"].as_array().into_iter().flatten() {
        let line = match step["step"].as_str() {
            Some("chosen") => format_attempt(step),
            Some("failed") => format!(
                "  {} failed after {} us: {} ({}): {}\n",
                display_value(&step["instance"]),
                display_value(&step["after_us"]),
                display_value(&step["refusal"]["code"]),
                display_value(&step["refusal"]["run"]),
                display_value(&step["refusal"]["message"]),
            ),
            _ => format!(
                "  {} responded with status {} after {} us\n",
                display_value(&step["instance"]),
                display_value(&step["status"]),
                display_value(&step["after_us"]),
            ),
        };
        lines.push(line);
    }
    if let Some(code) = entry["refusal"]["code"].as_str() {
        lines.push(format!("  refused with code {code}\n"));
    }
    lines.concat()
}

fn format_attempt(step: &Value) -> String {
    let header = format!(
        "  attempt {} was sent to {}, chosen from:\n",
        display_value(&step["attempt"]),
        display_value(&step["instance"])
    );
    let candidates = step["candidates"].as_array().into_iter().flatten();
    let lines: Vec<String> = candidates.map(format_candidate).collect();
    header + &lines.concat()
}

fn format_candidate(candidate: &Value) -> String {
    let age = match candidate["age_us"].as_u64() {
        Some(age) => format!("load reported {age} us ago"),
        None => "no load report".to_owned(),
    };
    format!(
        "    {}: {}, score {:.0} us, {} requests ahead for {} slots, {age}\n",
        display_value(&candidate["instance"]),
        display_value(&candidate["reason"]),
        candidate["score_us"].as_f64().unwrap_or_default(),
        display_value(&candidate["estimate"]["ahead"]),
        display_value(&candidate["estimate"]["limit"]),
    )
}

fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
