//! Tests of control processes that are behind or unresponsive, and of changed settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time;

use crate::common;
use shallotrill_catalog::difference::Update;
use shallotrill_catalog::view::View;
use shallotrill_control_client::feed;
use shallotrill_control_client::lease;
use shallotrill_model::instance;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;
use shallotrill_model::zone;
use shallotrill_process::settings::node;
use shallotrill_rpc::server::Handle;
use shallotrill_rpc::server::Methods;

/// A fake control process that answers every pull with one configuration.
struct FakeControl {
    view: View,
    behind_ms: u64,
}

async fn pull(control: Arc<FakeControl>, request: feed::Request) -> feed::Reply {
    let update_due = request.revision < control.view.revision;
    if !update_due {
        time::sleep(Duration::from_millis(100)).await;
    }
    feed::Reply {
        control: name(),
        update: update_due.then(|| Update::Snapshot(control.view.clone())),
        membership: None,
        crashes: Vec::new(),
        crashes_version: 0,
        behind_ms: Some(control.behind_ms),
    }
}

async fn renew(_control: Arc<FakeControl>, _request: lease::Request) -> lease::Reply {
    lease::Reply {
        control: name(),
        lease_ms: 3_000,
        result: Ok(()),
    }
}

fn name() -> instance::Name {
    instance::Name::new("c").expect("the name is valid")
}

async fn start(spec: service::Spec, revision: u64, behind_ms: u64) -> (Handle, SocketAddr) {
    let view = View {
        revision: Revision(revision),
        services: vec![Arc::new(spec)],
        ..View::default()
    };
    let mut methods = Methods::new(Arc::new(FakeControl { view, behind_ms }));
    methods.add(feed::METHOD, pull);
    methods.add(lease::METHOD, renew);
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    methods
        .serve(any, 10, 1 << 20)
        .await
        .expect("the server starts")
}

fn entry(address: SocketAddr, zone: &str) -> node::Control {
    let zone = zone::Name::new(zone).expect("the name is valid");
    node::Control { address, zone }
}

struct Case {
    name: &'static str,
    /// Lag of the nearest control process; `None` if it accepts connections without answering.
    behind_ms: Option<u64>,
    switched: bool,
}

/// Guards against a node that stays connected to a control process with an outdated configuration, or with none.
const CONTROLS: &[Case] = &[
    Case {
        name: "up to date",
        behind_ms: Some(0),
        switched: false,
    },
    Case {
        name: "at the lag limit",
        behind_ms: Some(5_000),
        switched: false,
    },
    Case {
        name: "above the lag limit",
        behind_ms: Some(5_001),
        switched: true,
    },
    Case {
        name: "unresponsive",
        behind_ms: None,
        switched: true,
    },
];

#[tokio::test]
async fn switches_control_process() {
    for case in CONTROLS {
        let silent = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let (_near, near) = match case.behind_ms {
            Some(behind) => {
                let (handle, address) = start(common::spec(), 8, behind).await;
                (Some(handle), address)
            }
            None => (None, silent.local_addr().expect("the address is valid")),
        };
        let (_far, far) = start(common::spec(), 9, 0).await;
        let control = vec![entry(near, "z"), entry(far, "y")];
        let fixture = common::start_with(common::spec(), Duration::from_secs(1), control).await;
        let (address, revision) = if case.switched { (far, 9) } else { (near, 8) };
        let dump = fixture
            .wait_until(4, |dump| dump["configuration"]["revision"] == revision)
            .await;
        assert_eq!(
            dump["control"]["address"],
            address.to_string(),
            "{}",
            case.name
        );
    }
}

/// Guards against changed settings of a service that reach its gate only after a restart of the backend server.
#[tokio::test]
async fn settings_change() {
    let mut spec = common::spec();
    spec.queue = 1;
    spec.probe_budget_ppm = 0;
    let (_control, address) = start(spec, 8, 0).await;
    let control = vec![entry(address, "z")];
    let fixture = common::start_with(common::spec(), Duration::from_secs(1), control).await;
    fixture
        .wait_until(4, |dump| dump["configuration"]["revision"] == 8)
        .await;
    let mut requests = JoinSet::new();
    for _ in 0..5 {
        requests.spawn(common::get(fixture.caller(), "/hold", ""));
    }
    fixture
        .wait_until(4, |dump| dump["target"]["load"]["queued"] == 1)
        .await;
    let refused = fixture.get("/").await;
    assert!(
        refused.contains("shallotrill-error: overloaded"),
        "{refused}"
    );
    fixture.backend.hold.add_permits(5);
    while let Some(answer) = requests.join_next().await {
        assert!(answer.expect("the task does not panic").ends_with("done"));
    }
}
