//! Sending of statements to a control process.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::runtime;

use crate::USAGE_ERROR;
use crate::explain;
use crate::options::Options;
use crate::output::Output;
use shallotrill_language::Statement;
use shallotrill_model::command;
use shallotrill_operator::client::Client;
use shallotrill_operator::wire;

/// Sends statements and prints their results.
#[derive(Debug)]
pub(crate) struct Sender {
    runtime: runtime::Runtime,
    client: Client,
    operator: String,
    command: Option<command::Id>,
    output: Output,
    nodes: Vec<SocketAddr>,
    timeout: Duration,
}

impl Sender {
    pub(crate) fn new(options: &Options, output: Output) -> anyhow::Result<Self> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("cannot start the asynchronous runtime")?;
        Ok(Self {
            runtime,
            client: Client::new(options.control.clone(), options.timeout),
            operator: options.operator.clone(),
            command: options.command,
            output,
            nodes: options.nodes.clone(),
            timeout: options.timeout,
        })
    }

    /// Parses and sends a statement, prints the result and returns the exit code.
    pub(crate) fn send(&self, text: &str) -> anyhow::Result<u8> {
        let statement = match shallotrill_language::parse(text) {
            Ok(statement) => statement,
            Err(error) => {
                self.output.print_parse_error(text, &error)?;
                return Ok(USAGE_ERROR);
            }
        };
        if let Statement::Explain(request) = statement
            && !self.nodes.is_empty()
        {
            let explanation = explain::run(&self.nodes, request, self.timeout, self.output.json);
            return Ok(self.runtime.block_on(explanation)?);
        }
        let command = statement
            .is_change()
            .then(|| self.command.unwrap_or_else(|| command::Id(rand::random())));
        if let Some(id) = command {
            self.output.print_command_id(id)?;
        }
        let request = wire::Request {
            statement: statement.to_string(),
            command: command.map(String::from),
            operator: self.operator.clone(),
        };
        match self.runtime.block_on(self.client.send(&request)) {
            Ok(table) => {
                self.output.print_result(&table)?;
                Ok(0)
            }
            Err(error) => {
                let unknown_outcome = command.filter(|_| error.may_be_accepted());
                self.output.print_failure(&error, unknown_outcome)?;
                Ok(error.exit_code())
            }
        }
    }
}
