//! Control processes that are of no use, and settings that change.

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

/// A control process that answers every pull with one configuration.
struct Fake {
    view: View,
    behind_ms: u64,
}

async fn pull(fake: Arc<Fake>, ask: feed::Ask) -> feed::Reply {
    let news = ask.revision < fake.view.revision;
    if !news {
        time::sleep(Duration::from_millis(100)).await;
    }
    feed::Reply {
        control: name(),
        update: news.then(|| Update::Snapshot(fake.view.clone())),
        membership: None,
        facts: Vec::new(),
        facts_version: 0,
        behind_ms: Some(fake.behind_ms),
    }
}

async fn renew(_fake: Arc<Fake>, _ask: lease::Ask) -> lease::Reply {
    lease::Reply {
        control: name(),
        lease_ms: 3_000,
        result: Ok(()),
    }
}

fn name() -> instance::Name {
    instance::Name::new("c").expect("a name")
}

async fn start(spec: service::Spec, revision: u64, behind_ms: u64) -> (Handle, SocketAddr) {
    let view = View {
        revision: Revision(revision),
        services: vec![Arc::new(spec)],
        ..View::default()
    };
    let mut methods = Methods::new(Arc::new(Fake { view, behind_ms }));
    methods.add(feed::METHOD, pull);
    methods.add(lease::METHOD, renew);
    let any = "127.0.0.1:0".parse().expect("an address");
    methods.serve(any, 10, 1 << 20).await.expect("a server")
}

fn entry(address: SocketAddr, zone: &str) -> node::Control {
    let zone = zone::Name::new(zone).expect("a name");
    node::Control { address, zone }
}

struct Case {
    name: &'static str,
    /// How far the nearest control process is behind; nothing when it accepts connections and is silent.
    behind_ms: Option<u64>,
    moved: bool,
}

/// Guards against a node that stays with a control process that cannot tell what is in force.
const CONTROLS: &[Case] = &[
    Case {
        name: "up to date",
        behind_ms: Some(0),
        moved: false,
    },
    Case {
        name: "just not too far behind",
        behind_ms: Some(5_000),
        moved: false,
    },
    Case {
        name: "far behind",
        behind_ms: Some(5_001),
        moved: true,
    },
    Case {
        name: "silent",
        behind_ms: None,
        moved: true,
    },
];

#[tokio::test]
async fn moves_on() {
    for case in CONTROLS {
        let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let (_near, near) = match case.behind_ms {
            Some(behind) => {
                let (handle, address) = start(common::spec(), 8, behind).await;
                (Some(handle), address)
            }
            None => (None, silent.local_addr().expect("an address")),
        };
        let (_far, far) = start(common::spec(), 9, 0).await;
        let control = vec![entry(near, "z"), entry(far, "y")];
        let site = common::start_with(common::spec(), Duration::from_secs(1), control).await;
        let (address, revision) = if case.moved { (far, 9) } else { (near, 8) };
        let dump = site
            .settle(4, |dump| dump["configuration"]["revision"] == revision)
            .await;
        assert_eq!(
            dump["control"]["address"],
            address.to_string(),
            "{}",
            case.name
        );
    }
}

/// Guards against settings of a service that reach its gate only when the backend server restarts.
#[tokio::test]
async fn settings_change() {
    let mut spec = common::spec();
    spec.queue = 1;
    spec.probe_budget_ppm = 0;
    let (_control, address) = start(spec, 8, 0).await;
    let control = vec![entry(address, "z")];
    let site = common::start_with(common::spec(), Duration::from_secs(1), control).await;
    site.settle(4, |dump| dump["configuration"]["revision"] == 8)
        .await;
    let mut asking = JoinSet::new();
    for _ in 0..5 {
        asking.spawn(common::ask(site.caller(), "/hold", ""));
    }
    site.settle(4, |dump| dump["target"]["load"]["queued"] == 1)
        .await;
    let refused = site.get("/").await;
    assert!(
        refused.contains("shallotrill-error: overloaded"),
        "{refused}"
    );
    site.backend.hold.add_permits(5);
    while let Some(answer) = asking.join_next().await {
        assert!(answer.expect("no panic").ends_with("done"));
    }
}
