//! Failover of the client between servers that refuse, redirect, do not respond or are unreachable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::net::TcpListener;

use self::Behavior::Accepts;
use self::Behavior::Fails;
use self::Behavior::Leader;
use self::Behavior::NoQuorum;
use self::Behavior::NotLeader;
use self::Behavior::Refuses;
use self::Behavior::Undecided;
use self::Behavior::Unreachable;
use self::Behavior::Unresponsive;
use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::Failure;
use shallotrill_operator::client::Client;
use shallotrill_operator::client::Error;
use shallotrill_operator::server;
use shallotrill_operator::wire;

/// Behaviour of a fake control process.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    Accepts,
    Leader,
    NotLeader,
    NoQuorum,
    Refuses,
    Undecided,
    Fails,
    Unresponsive,
    Unreachable,
}

struct Case {
    name: &'static str,
    behaviors: &'static [Behavior],
    /// Expected exit code; zero for a result.
    exit_code: u8,
    /// Whether a change may have been accepted without a result.
    may_be_accepted: bool,
    /// Number of times a handler received the command.
    received: usize,
}

const fn case(
    name: &'static str,
    behaviors: &'static [Behavior],
    exit_code: u8,
    may_be_accepted: bool,
    received: usize,
) -> Case {
    Case {
        name,
        behaviors,
        exit_code,
        may_be_accepted,
        received,
    }
}

/// Guards against a client that returns no result although a process has one, or that misreports a refusal.
const CASES: &[Case] = &[
    case("first succeeds", &[Accepts, Accepts], 0, false, 1),
    case("first is unreachable", &[Unreachable, Accepts], 0, false, 1),
    case(
        "first is unresponsive",
        &[Unresponsive, Accepts],
        0,
        false,
        1,
    ),
    case("first has no quorum", &[NoQuorum, Accepts], 0, false, 2),
    case(
        "leader hint is followed",
        &[NotLeader, NoQuorum, Leader],
        0,
        false,
        2,
    ),
    case("refusal is final", &[Refuses, Accepts], 1, false, 1),
    case("all have no quorum", &[NoQuorum, NoQuorum], 3, false, 2),
    case(
        "all are unreachable",
        &[Unreachable, Unreachable],
        3,
        false,
        0,
    ),
    case("all are unresponsive", &[Unresponsive], 3, true, 0),
    case(
        "undecided, then success",
        &[Undecided, Accepts],
        0,
        false,
        2,
    ),
    case(
        "undecided, then no quorum",
        &[Undecided, NoQuorum],
        3,
        true,
        2,
    ),
    case("internal error is final", &[Fails, Accepts], 1, true, 1),
    case("no address", &[], 3, false, 0),
];

type Received = Arc<Mutex<Vec<String>>>;

fn serve(behavior: Behavior, leader: Option<SocketAddr>, received: &Received) -> server::Server {
    let received = Arc::clone(received);
    let decide = move |request: server::StatementRequest| {
        let id = request.command.expect("a change has an id").to_string();
        received.lock().expect("lock").push(id);
        match behavior {
            NoQuorum => Err(Failure::NoQuorum),
            Undecided => Err(Failure::Undecided {
                command: request.command.expect("a change has an id"),
            }),
            Fails => Err(Failure::Internal {
                reason: "disk".to_owned(),
            }),
            NotLeader => Err(Failure::NotLeader { leader }),
            Refuses => Err(Failure::Exists {
                kind: "service".to_owned(),
                name: "a".to_owned(),
            }),
            _ => Ok(ResultTable::note("accepted")),
        }
    };
    let handlers = server::Handlers {
        statement: Box::new(move |request| {
            let result = decide(request);
            Box::pin(async move { result })
        }),
        state: Box::new(|| serde_json::Value::Null),
        metrics: Box::new(String::new),
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    server::start(server::Config::new(listen), handlers).expect("port 0")
}

#[tokio::test]
async fn client_fails_over_until_a_result_or_a_final_refusal() {
    let id = "000000000000000000000000000000ab";
    let request = wire::Request {
        statement: "drain a".to_owned(),
        command: Some(id.to_owned()),
        operator: "kari".to_owned(),
    };
    for case in CASES {
        let received = Received::default();
        let (mut servers, mut listeners, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        // Started in reverse order, so that a hint can contain the address of the leader.
        for behavior in case.behaviors.iter().rev() {
            match behavior {
                Unresponsive | Unreachable => {
                    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port 0");
                    addresses.insert(0, listener.local_addr().expect("address"));
                    listeners.extend(matches!(behavior, Unresponsive).then_some(listener));
                }
                _ => {
                    let server = serve(*behavior, addresses.last().copied(), &received);
                    addresses.insert(0, server.address());
                    servers.push(server);
                }
            }
        }
        let client = Client::new(addresses, Duration::from_secs(1));
        let result = client.send(&request).await;
        let exit_code = result.as_ref().map_or_else(Error::exit_code, |_| 0);
        assert_eq!(exit_code, case.exit_code, "{}: {result:?}", case.name);
        let may_be_accepted = result.as_ref().is_err_and(Error::may_be_accepted);
        assert_eq!(
            may_be_accepted, case.may_be_accepted,
            "{}: {result:?}",
            case.name
        );
        let received = received.lock().expect("lock").clone();
        assert_eq!(
            received,
            vec![id.to_owned(); case.received],
            "{}",
            case.name
        );
    }
}
