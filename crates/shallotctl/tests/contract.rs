//! The command line against a fake control process.

use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;

use shallotrill_language::answer::Answer;
use shallotrill_language::answer::Cell;
use shallotrill_language::answer::Kind;
use shallotrill_operator::Failure;
use shallotrill_operator::server;

const ID: &str = "000000000000000000000000000000ab";

/// Lists one node, refuses to drain `a`, has no quorum for `b`, and echoes the rest.
fn decide(order: &server::Order) -> Result<Answer, Failure> {
    let text = order.statement.to_string();
    match text.as_str() {
        "show nodes" => {
            let mut answer = Answer::table(&[("node", Kind::Text), ("age", Kind::Duration)]);
            let row = vec![Cell::Text("n1".to_owned()), Cell::DurationUs(2_000)];
            answer.push(row).expect("row fits");
            Ok(answer)
        }
        "drain a" => Err(Failure::UnknownName {
            kind: "instance".to_owned(),
            name: "a".to_owned(),
        }),
        "drain b" => Err(Failure::NoQuorum),
        _ => Ok(Answer::note(&format!("{text} by {}", order.operator))),
    }
}

fn start() -> server::Server {
    let handlers = server::Handlers {
        statement: Box::new(|order| Box::pin(async move { decide(&order) })),
        state: Box::new(|| serde_json::Value::Null),
        metrics: Box::new(String::new),
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    server::start(server::Config::new(listen), handlers).expect("port 0")
}

struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    input: &'static str,
    code: i32,
    output: &'static str,
    error: &'static str,
}

/// Guards against scripts of operators that take a refusal for success or cannot ask about a change.
const CASES: &[Case] = &[
    Case {
        name: "people",
        arguments: &["show", "nodes"],
        input: "",
        code: 0,
        output: "node  age\nn1    2ms\n",
        error: "",
    },
    Case {
        name: "JSON",
        arguments: &["--json", "show nodes"],
        input: "",
        code: 0,
        output: "{\"age_us\":2000,\"node\":\"n1\"}\n",
        error: "",
    },
    Case {
        name: "change",
        arguments: &["--command", ID, "--operator", "kari", "DRAIN", "c"],
        input: "",
        code: 0,
        output: "drain c by kari\n",
        error: "command 000000000000000000000000000000ab\n",
    },
    Case {
        name: "change as JSON",
        arguments: &["--json", "--command", ID, "--operator=kari", "drain c"],
        input: "",
        code: 0,
        output: "{\"command\":\"000000000000000000000000000000ab\"}\n{\"note\":\"drain c by kari\"}\n",
        error: "",
    },
    Case {
        name: "lines",
        arguments: &["--operator", "k", "-"],
        input: "# all\n\nundrain c\nshow lag\n",
        code: 0,
        output: "undrain c by k\nshow lag by k\n",
        error: "command ",
    },
    Case {
        name: "lines stop at a failure",
        arguments: &["--operator", "k", "-"],
        input: "drain a\nshow lag\n",
        code: 1,
        output: "",
        error: "unknown-name: there is no instance a",
    },
    Case {
        name: "no quorum",
        arguments: &["drain", "b"],
        input: "",
        code: 3,
        output: "",
        error: "no quorum",
    },
    Case {
        name: "wrong statement",
        arguments: &["show", "nods"],
        input: "",
        code: 2,
        output: "",
        error: "show nods\n     ^\nshallotctl: column 6",
    },
    Case {
        name: "wrong option",
        arguments: &["--force", "show nodes"],
        input: "",
        code: 2,
        output: "",
        error: "--force",
    },
    Case {
        name: "host name",
        arguments: &["--control", "localhost:1", "show nodes"],
        input: "",
        code: 2,
        output: "",
        error: "is not an IP address",
    },
    Case {
        name: "command for lines",
        arguments: &["--command", ID, "-"],
        input: "",
        code: 2,
        output: "",
        error: "--command cannot",
    },
    Case {
        name: "no statement",
        arguments: &[],
        input: "",
        code: 2,
        output: "",
        error: "a statement is needed",
    },
    Case {
        name: "nobody listens",
        arguments: &["--control", "127.0.0.1:1", "drain c"],
        input: "",
        code: 3,
        output: "",
        error: "no control process could answer; 127.0.0.1:1: no connection",
    },
    Case {
        name: "help on a statement",
        arguments: &["help", "drain"],
        input: "",
        code: 0,
        output: "drain INSTANCE\n    takes new work away from an instance\n",
        error: "",
    },
    Case {
        name: "version",
        arguments: &["--version"],
        input: "",
        code: 0,
        output: concat!("shallotctl ", env!("CARGO_PKG_VERSION"), "\n"),
        error: "",
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn command_line_keeps_its_contract() {
    let server = start();
    for case in CASES {
        let mut child = Command::new(env!("CARGO_BIN_EXE_shallotctl"))
            .args(case.arguments)
            .env("SHALLOTCTL_CONTROL", server.address().to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start");
        let mut input = child.stdin.take().expect("pipe");
        input.write_all(case.input.as_bytes()).expect("write");
        drop(input);
        let result = child.wait_with_output().expect("end");
        let error = String::from_utf8_lossy(&result.stderr);
        assert_eq!(
            result.status.code(),
            Some(case.code),
            "{}: {error}",
            case.name
        );
        let output = String::from_utf8_lossy(&result.stdout);
        assert_eq!(output, case.output, "{}", case.name);
        assert!(error.contains(case.error), "{}: {error}", case.name);
    }
    server.close().await.expect("close");
}
