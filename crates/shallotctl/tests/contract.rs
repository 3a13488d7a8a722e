//! Tests of the command line with a fake control process.

use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;

use shallotrill_language::result_table::Cell;
use shallotrill_language::result_table::Kind;
use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::Failure;
use shallotrill_operator::server;

const ID: &str = "000000000000000000000000000000ab";

/// Lists one node, refuses to drain `a`, reports no quorum for `b`, and echoes other statements.
fn respond(order: &server::StatementRequest) -> Result<ResultTable, Failure> {
    let text = order.statement.to_string();
    match text.as_str() {
        "show nodes" => {
            let mut table = ResultTable::table(&[("node", Kind::Text), ("age", Kind::Duration)]);
            let row = vec![Cell::Text("n1".to_owned()), Cell::DurationUs(2_000)];
            table.push(row).expect("the row has two cells");
            Ok(table)
        }
        "drain a" => Err(Failure::UnknownName {
            kind: "instance".to_owned(),
            name: "a".to_owned(),
        }),
        "drain b" => Err(Failure::NoQuorum),
        _ => Ok(ResultTable::note(&format!("{text} by {}", order.operator))),
    }
}

fn start_server() -> server::Server {
    let handlers = server::Handlers {
        statement: Box::new(|order| Box::pin(async move { respond(&order) })),
        state: Box::new(|| serde_json::Value::Null),
        metrics: Box::new(String::new),
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    server::start(server::Config::new(listen), handlers).expect("the server listens on a free port")
}

struct Case {
    name: &'static str,
    /// Separated by `|`; `{ID}` is replaced by [`ID`], here and in the expected texts.
    arguments: &'static str,
    input: &'static str,
    code: i32,
    output: &'static str,
    error: &'static str,
}

const fn case(
    name: &'static str,
    arguments: &'static str,
    code: i32,
    output: &'static str,
    error: &'static str,
) -> Case {
    Case {
        name,
        arguments,
        input: "",
        code,
        output,
        error,
    }
}

/// Creates a case that reads statements from standard input.
const fn input_case(
    name: &'static str,
    input: &'static str,
    code: i32,
    output: &'static str,
    error: &'static str,
) -> Case {
    Case {
        input,
        ..case(name, "--operator|k|-", code, output, error)
    }
}

const VERSION: &str = concat!("shallotctl ", env!("CARGO_PKG_VERSION"), "\n");

/// Guards against operators' scripts that mistake a refusal for success, or cannot query the outcome of a change.
const CASES: &[Case] = &[
    case("table", "show|nodes", 0, "node  age\nn1    2ms\n", ""),
    case(
        "JSON",
        "--json|show nodes",
        0,
        "{\"age_us\":2000,\"node\":\"n1\"}\n",
        "",
    ),
    case(
        "change",
        "--command={ID}|--operator|kari|DRAIN|c",
        0,
        "drain c by kari\n",
        "command {ID}\n",
    ),
    case(
        "change as JSON",
        "--json|--command={ID}|--operator=kari|drain c",
        0,
        "{\"command\":\"{ID}\"}\n{\"note\":\"drain c by kari\"}\n",
        "",
    ),
    input_case(
        "statements from standard input",
        "# all\n\nundrain c\nshow lag\n",
        0,
        "undrain c by k\nshow lag by k\n",
        "command ",
    ),
    input_case(
        "standard input is read up to the first failure",
        "drain a\nshow lag\n",
        1,
        "",
        "unknown-name: there is no instance a",
    ),
    case("no quorum", "drain|b", 3, "", "no quorum"),
    case(
        "invalid statement",
        "show|nods",
        2,
        "",
        "show nods\n     ^\nshallotctl: column 6",
    ),
    case("unknown option", "--force|show nodes", 2, "", "--force"),
    case("host name", "--control=a:1|show lag", 2, "", "not an IP"),
    case(
        "command id with several statements",
        "--command={ID}|-",
        2,
        "",
        "cannot",
    ),
    case("missing statement", "", 2, "", "a statement is required"),
    case(
        "unreachable",
        "--control=127.0.0.1:1|drain c",
        3,
        "",
        "no conn",
    ),
    case(
        "help on a statement",
        "help|drain",
        0,
        "drain INSTANCE\n    takes new work away from an instance\n",
        "",
    ),
    case("version", "--version", 0, VERSION, ""),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn command_line_output_and_exit_codes() {
    let server = start_server();
    for case in CASES {
        let arguments = case.arguments.replace("{ID}", ID);
        let mut child = Command::new(env!("CARGO_BIN_EXE_shallotctl"))
            .args(arguments.split('|').filter(|text| !text.is_empty()))
            .env("SHALLOTCTL_CONTROL", server.address().to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("shallotctl starts");
        let mut input = child.stdin.take().expect("standard input is a pipe");
        input
            .write_all(case.input.as_bytes())
            .expect("standard input accepts the statements");
        drop(input);
        let result = child.wait_with_output().expect("shallotctl exits");
        let error = String::from_utf8_lossy(&result.stderr);
        assert_eq!(
            result.status.code(),
            Some(case.code),
            "{}: {error}",
            case.name
        );
        let output = String::from_utf8_lossy(&result.stdout);
        assert_eq!(output, case.output.replace("{ID}", ID), "{}", case.name);
        assert!(
            error.contains(&case.error.replace("{ID}", ID)),
            "{}: {error}",
            case.name
        );
    }
    server.close().await.expect("the server closes");
}
