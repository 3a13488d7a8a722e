//! Server close and client disconnect while a statement runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time;

use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::client::Client;
use shallotrill_operator::server;
use shallotrill_operator::wire;

/// Timeout for each event of the test.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the server to detect a disconnect; too short a time makes the test weaker but not unstable.
const DISCONNECT_DELAY: Duration = Duration::from_millis(100);

struct Case {
    name: &'static str,
    /// Whether the operator disconnects while the statement runs.
    disconnect: bool,
}

/// Guards against a close or a disconnect that cancels a statement whose change is being accepted.
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

fn serve(
    started: &Arc<Semaphore>,
    proceed: &Arc<Semaphore>,
    done: &Arc<Semaphore>,
) -> server::Server {
    let (started, proceed, done) = (Arc::clone(started), Arc::clone(proceed), Arc::clone(done));
    let statement = move |_order| -> server::Reply {
        let (started, proceed, done) = (
            Arc::clone(&started),
            Arc::clone(&proceed),
            Arc::clone(&done),
        );
        Box::pin(async move {
            started.add_permits(1);
            proceed.acquire().await.expect("open").forget();
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

async fn wait_for(event: &Semaphore, name: &str) {
    let permit = time::timeout(EVENT_TIMEOUT, event.acquire()).await;
    permit.expect(name).expect("open").forget();
}

#[tokio::test]
async fn running_statements_complete() {
    for case in CASES {
        let event = || Arc::new(Semaphore::new(0));
        let (started, proceed, done) = (event(), event(), event());
        let server = serve(&started, &proceed, &done);
        let client = Client::new(vec![server.address()], EVENT_TIMEOUT);
        let request = wire::Request {
            statement: "show lag".to_owned(),
            command: None,
            operator: "kari".to_owned(),
        };
        let sent = tokio::spawn(async move { client.send(&request).await });
        wait_for(&started, case.name).await;
        if case.disconnect {
            sent.abort();
        }
        let closed = tokio::spawn(server.close());
        time::sleep(DISCONNECT_DELAY).await;
        assert!(!closed.is_finished(), "{}", case.name);
        proceed.add_permits(1);
        wait_for(&done, case.name).await;
        closed.await.expect("task").expect("close");
        let is_success = sent.await.ok().map(|result| result.is_ok());
        assert_eq!(
            is_success,
            (!case.disconnect).then_some(true),
            "{}",
            case.name
        );
    }
}
