//! Tests of requests that another node forwards.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::common;
use crate::common::Fixture;
use crate::common::WAIT_TIMEOUT;
use shallotrill_model::time::Instant;
use shallotrill_peer::pool::Config;
use shallotrill_peer::pool::Pool;

async fn send(
    pool: &Pool,
    fixture: &Fixture,
    path: &str,
    headers: &[(&str, String)],
) -> Response<Incoming> {
    let mut request = Request::builder().uri(format!("http://s{path}"));
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let request = request
        .body(Full::new(Bytes::new()))
        .expect("the request is valid");
    let address = fixture.node.addresses().peer;
    let sent = pool.send(address, request, WAIT_TIMEOUT, Instant(0)).await;
    sent.expect("the node answers")
}

async fn incarnation(fixture: &Fixture) -> u64 {
    let dump = fixture.dump().await;
    dump["target"]["incarnation"]
        .as_u64()
        .expect("the text is a number")
}

struct Case {
    name: &'static str,
    /// Number added to the target's incarnation in the request header; `None` for no header.
    incarnation: Option<u64>,
    header: (&'static str, &'static str),
    code: &'static str,
}

/// Guards against requests that run at another incarnation than the chosen one, and against refusals without a load report.
const REFUSALS: &[Case] = &[
    Case {
        name: "another incarnation",
        incarnation: Some(1),
        header: ("x-none", ""),
        code: "wrong-target",
    },
    Case {
        name: "no incarnation",
        incarnation: None,
        header: ("x-none", ""),
        code: "header-invalid",
    },
    Case {
        name: "an unknown service",
        incarnation: Some(0),
        header: ("shallotrill-service", "t"),
        code: "service-unknown",
    },
    Case {
        name: "no time remaining",
        incarnation: Some(0),
        header: ("shallotrill-deadline-ms", "0"),
        code: "too-late",
    },
    Case {
        name: "a depth that is not a number",
        incarnation: Some(0),
        header: ("shallotrill-depth", "x"),
        code: "header-invalid",
    },
];

#[tokio::test]
async fn refusals() {
    let fixture = common::start(common::spec(), WAIT_TIMEOUT).await;
    let pool = Pool::new(Config::default());
    let current = incarnation(&fixture).await;
    for case in REFUSALS {
        let mut headers = vec![(case.header.0, case.header.1.to_owned())];
        if let Some(offset) = case.incarnation {
            headers.push(("shallotrill-incarnation", (current + offset).to_string()));
        }
        let answer = send(&pool, &fixture, "/", &headers).await;
        let headers = answer.headers();
        assert_eq!(headers["shallotrill-error"], case.code, "{}", case.name);
        assert_eq!(headers["shallotrill-run"], "not-run", "{}", case.name);
        assert!(headers.contains_key("shallotrill-load"), "{}", case.name);
    }
}

/// Guards against a backend server that receives more time than the deadline of the forwarded request allows.
#[tokio::test]
async fn deadline() {
    let fixture = common::start(common::spec(), WAIT_TIMEOUT).await;
    let pool = Pool::new(Config::default());
    let headers = [
        (
            "shallotrill-incarnation",
            incarnation(&fixture).await.to_string(),
        ),
        ("shallotrill-deadline-ms", "9000".to_owned()),
    ];
    let answer = send(&pool, &fixture, "/header/deadline-ms", &headers).await;
    assert!(answer.headers().contains_key("shallotrill-load"));
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("the response has a body")
        .to_bytes();
    let remaining: u64 = String::from_utf8_lossy(&body)
        .parse()
        .expect("the text is a number");
    assert!(remaining < 9_000, "{remaining}");
}

/// Guards against a request that continues at the backend server after the forwarding node disconnected.
#[tokio::test]
async fn cancellation() {
    let fixture = common::start(common::spec(), WAIT_TIMEOUT).await;
    let pool = Pool::new(Config::default());
    let headers = [(
        "shallotrill-incarnation",
        incarnation(&fixture).await.to_string(),
    )];
    tokio::select! {
        _ = send(&pool, &fixture, "/hold", &headers) => panic!("the backend server answered without a permit"),
        _ = fixture.wait_until(4, |_| fixture.backend.held.load(Ordering::Relaxed) == 1) => {}
    }
    let dump = fixture
        .wait_until(4, |_| fixture.backend.aborted.load(Ordering::Relaxed) == 1)
        .await;
    assert_eq!(dump["target"]["load"]["in_flight"], 0);
    assert_eq!(dump["connections"]["backend"]["closed_in_use"], 1);
}
