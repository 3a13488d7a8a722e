//! Closing of the server and disconnects while a statement runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time;

use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::client::Client;
use shallotrill_operator::server;
use shallotrill_operator::wire;

/// Longest wait for an event of the test.
const LIMIT: Duration = Duration::from_secs(5);

/// Time for the server to notice a disconnect; too short a time only makes the test weaker.
const SETTLE: Duration = Duration::from_millis(100);

struct Case {
    name: &'static str,
    /// Whether the operator disconnects while the statement runs.
    disconnect: bool,
}

/// Guards against a stop or a disconnect that cuts off a statement whose change is being accepted.
const CASES: &[Case] = &[
    Case {
        name: "close while a statement runs",
        disconnect: false,
    },
    Case {
        name: "disconnect while a statement runs",
        disconnect: true,
    },
];

fn serve(started: &Arc<Semaphore>, go: &Arc<Semaphore>, done: &Arc<Semaphore>) -> server::Server {
    let (started, go, done) = (Arc::clone(started), Arc::clone(go), Arc::clone(done));
    let statement = move |_order| -> server::Reply {
        let (started, go, done) = (Arc::clone(&started), Arc::clone(&go), Arc::clone(&done));
        Box::pin(async move {
            started.add_permits(1);
            go.acquire().await.expect("open").forget();
            done.add_permits(1);
            Ok(ResultTable::note("accepted"))
        })
    };
    let handlers = server::Handlers {
        statement: Box::new(statement),
        state: Box::new(|| serde_json::Value::Null),
        metrics: Box::new(String::new),
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    server::start(server::Config::new(listen), handlers).expect("port 0")
}

async fn reached(event: &Semaphore, name: &str) {
    let permit = time::timeout(LIMIT, event.acquire()).await;
    permit.expect(name).expect("open").forget();
}

#[tokio::test]
async fn statements_run_to_their_end() {
    for case in CASES {
        let event = || Arc::new(Semaphore::new(0));
        let (started, go, done) = (event(), event(), event());
        let server = serve(&started, &go, &done);
        let client = Client::new(vec![server.address()], LIMIT);
        let request = wire::Request {
            statement: "show lag".to_owned(),
            command: None,
            operator: "kari".to_owned(),
        };
        let sent = tokio::spawn(async move { client.send(&request).await });
        reached(&started, case.name).await;
        if case.disconnect {
            sent.abort();
        }
        let closed = tokio::spawn(server.close());
        time::sleep(SETTLE).await;
        assert!(!closed.is_finished(), "{}", case.name);
        go.add_permits(1);
        reached(&done, case.name).await;
        closed.await.expect("task").expect("close");
        let answer = sent.await.ok().map(|result| result.is_ok());
        assert_eq!(answer, (!case.disconnect).then_some(true), "{}", case.name);
    }
}
