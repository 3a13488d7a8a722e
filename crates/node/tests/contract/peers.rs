//! Requests that another node forwards.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::common;
use crate::common::LIMIT;
use crate::common::Site;
use shallotrill_model::time::Instant;
use shallotrill_peer::pool::Config;
use shallotrill_peer::pool::Pool;

async fn send(
    pool: &Pool,
    site: &Site,
    path: &str,
    headers: &[(&str, String)],
) -> Response<Incoming> {
    let mut request = Request::builder().uri(format!("http://s{path}"));
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let address = site.node.addresses().peer;
    let sent = pool.send(address, request, LIMIT, Instant(0)).await;
    sent.expect("an answer")
}

async fn incarnation(site: &Site) -> u64 {
    let dump = site.dump().await;
    dump["target"]["incarnation"].as_u64().expect("a number")
}

struct Case {
    name: &'static str,
    /// What is added to the incarnation of the target; nothing when none is stated.
    incarnation: Option<u64>,
    header: (&'static str, &'static str),
    code: &'static str,
}

/// Guards against work for another life of a target, and against refusals from which nobody learns the load.
const REFUSALS: &[Case] = &[
    Case {
        name: "another life",
        incarnation: Some(1),
        header: ("x-none", ""),
        code: "wrong-target",
    },
    Case {
        name: "no life",
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
        name: "no time left",
        incarnation: Some(0),
        header: ("shallotrill-deadline-ms", "0"),
        code: "too-late",
    },
    Case {
        name: "a depth that is no number",
        incarnation: Some(0),
        header: ("shallotrill-depth", "x"),
        code: "header-invalid",
    },
];

#[tokio::test]
async fn refusals() {
    let site = common::start(common::spec(), LIMIT).await;
    let pool = Pool::new(Config::default());
    let own = incarnation(&site).await;
    for case in REFUSALS {
        let mut headers = vec![(case.header.0, case.header.1.to_owned())];
        if let Some(more) = case.incarnation {
            headers.push(("shallotrill-incarnation", (own + more).to_string()));
        }
        let answer = send(&pool, &site, "/", &headers).await;
        let headers = answer.headers();
        assert_eq!(headers["shallotrill-error"], case.code, "{}", case.name);
        assert_eq!(headers["shallotrill-run"], "not-run", "{}", case.name);
        assert!(headers.contains_key("shallotrill-load"), "{}", case.name);
    }
}

/// Guards against a backend server that works beyond the time that the first caller gave.
#[tokio::test]
async fn deadline() {
    let site = common::start(common::spec(), LIMIT).await;
    let pool = Pool::new(Config::default());
    let headers = [
        (
            "shallotrill-incarnation",
            incarnation(&site).await.to_string(),
        ),
        ("shallotrill-deadline-ms", "9000".to_owned()),
    ];
    let answer = send(&pool, &site, "/header/deadline-ms", &headers).await;
    assert!(answer.headers().contains_key("shallotrill-load"));
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    let left: u64 = String::from_utf8_lossy(&body).parse().expect("a number");
    assert!(left < 9_000, "{left}");
}

/// Guards against work that goes on at the backend server after the caller of the first node went away.
#[tokio::test]
async fn cancellation() {
    let site = common::start(common::spec(), LIMIT).await;
    let pool = Pool::new(Config::default());
    let headers = [(
        "shallotrill-incarnation",
        incarnation(&site).await.to_string(),
    )];
    tokio::select! {
        _ = send(&pool, &site, "/hold", &headers) => panic!("nothing answers"),
        _ = site.settle(4, |_| site.backend.held.load(Ordering::Relaxed) == 1) => {}
    }
    let dump = site
        .settle(4, |_| site.backend.cut.load(Ordering::Relaxed) == 1)
        .await;
    assert_eq!(dump["target"]["load"]["in_flight"], 0);
    assert_eq!(dump["connections"]["backend"]["closed_in_use"], 1);
}
