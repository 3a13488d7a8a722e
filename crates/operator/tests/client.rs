//! The client against servers that refuse, point elsewhere, stay silent or are gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::net::TcpListener;

use self::Fake::Answers;
use self::Fake::Fails;
use self::Fake::Gone;
use self::Fake::Leads;
use self::Fake::NoQuorum;
use self::Fake::PointsToLeader;
use self::Fake::Refuses;
use self::Fake::Silent;
use self::Fake::Undecided;
use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::Failure;
use shallotrill_operator::client::Client;
use shallotrill_operator::client::Error;
use shallotrill_operator::server;
use shallotrill_operator::wire;

/// How a fake control process behaves.
#[derive(Clone, Copy, Debug)]
enum Fake {
    Answers,
    Leads,
    PointsToLeader,
    NoQuorum,
    Refuses,
    Undecided,
    Fails,
    Silent,
    Gone,
}

struct Case {
    name: &'static str,
    fakes: &'static [Fake],
    /// The exit code, zero for an answer.
    exit: u8,
    /// Whether a change may have been accepted without an answer.
    open: bool,
    /// How often a handler saw the command.
    seen: usize,
}

const fn case(
    name: &'static str,
    fakes: &'static [Fake],
    exit: u8,
    open: bool,
    seen: usize,
) -> Case {
    Case {
        name,
        fakes,
        exit,
        open,
        seen,
    }
}

/// Guards against an operator who gets no answer although a process has one, or is told a refusal is none.
const CASES: &[Case] = &[
    case("first answers", &[Answers, Answers], 0, false, 1),
    case("first is gone", &[Gone, Answers], 0, false, 1),
    case("first is silent", &[Silent, Answers], 0, false, 1),
    case("first is cut off", &[NoQuorum, Answers], 0, false, 2),
    case(
        "hint is followed",
        &[PointsToLeader, NoQuorum, Leads],
        0,
        false,
        2,
    ),
    case("refusal ends the search", &[Refuses, Answers], 1, false, 1),
    case("all are cut off", &[NoQuorum, NoQuorum], 3, false, 2),
    case("all are gone", &[Gone, Gone], 3, false, 0),
    case("all are silent", &[Silent], 3, true, 0),
    case("undecided, then known", &[Undecided, Answers], 0, false, 2),
    case("undecided", &[Undecided, NoQuorum], 3, true, 2),
    case("failure", &[Fails, Answers], 1, true, 1),
    case("no address", &[], 3, false, 0),
];

type Seen = Arc<Mutex<Vec<String>>>;

fn serve(fake: Fake, leader: Option<SocketAddr>, seen: &Seen) -> server::Server {
    let seen = Arc::clone(seen);
    let decide = move |order: server::Order| {
        let id = order.command.expect("a change has an id").to_string();
        seen.lock().expect("lock").push(id);
        match fake {
            NoQuorum => Err(Failure::NoQuorum),
            Undecided => Err(Failure::Undecided {
                command: order.command.expect("a change has an id"),
            }),
            Fails => Err(Failure::Internal {
                reason: "disk".to_owned(),
            }),
            PointsToLeader => Err(Failure::NotLeader { leader }),
            Refuses => Err(Failure::Exists {
                kind: "service".to_owned(),
                name: "a".to_owned(),
            }),
            _ => Ok(ResultTable::note("accepted")),
        }
    };
    let handlers = server::Handlers {
        statement: Box::new(move |order| {
            let result = decide(order);
            Box::pin(async move { result })
        }),
        state: Box::new(|| serde_json::Value::Null),
        metrics: Box::new(String::new),
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    server::start(server::Config::new(listen), handlers).expect("port 0")
}

#[tokio::test]
async fn statements_find_their_answer() {
    let id = "000000000000000000000000000000ab";
    let request = wire::Request {
        statement: "drain a".to_owned(),
        command: Some(id.to_owned()),
        operator: "kari".to_owned(),
    };
    for case in CASES {
        let seen = Seen::default();
        let (mut servers, mut silent, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        // Started from the last one, so that a hint can name the leader.
        for fake in case.fakes.iter().rev() {
            match fake {
                Silent | Gone => {
                    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port 0");
                    addresses.insert(0, listener.local_addr().expect("address"));
                    silent.extend(matches!(fake, Silent).then_some(listener));
                }
                _ => {
                    let server = serve(*fake, addresses.last().copied(), &seen);
                    addresses.insert(0, server.address());
                    servers.push(server);
                }
            }
        }
        let client = Client::new(addresses, Duration::from_secs(1));
        let result = client.send(&request).await;
        let exit = result.as_ref().map_or_else(Error::exit_code, |_| 0);
        assert_eq!(exit, case.exit, "{}: {result:?}", case.name);
        let open = result.as_ref().is_err_and(Error::is_open);
        assert_eq!(open, case.open, "{}: {result:?}", case.name);
        let seen = seen.lock().expect("lock").clone();
        assert_eq!(seen, vec![id.to_owned(); case.seen], "{}", case.name);
    }
}
