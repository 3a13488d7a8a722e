//! Tests of the command line with fake registry processes.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;

use tokio::sync::watch;

use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::RegistryStatus;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_feed::server;
use shallotrill_items::ballot::Identity;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::replica::Replica;
use shallotrill_items::roster::Member;
use shallotrill_wire::listen::Listener;

fn member(port: u16, votes: bool) -> Member {
    Member {
        identity: Identity(port.into()),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        votes,
        founder: false,
        voters: 1,
    }
}

fn status() -> RegistryStatus {
    let removal = Item {
        key: Key {
            kind: Kind::Route,
            name: "r-old".into(),
        },
        version: 9,
        content: Content::Removed,
        document: "".into(),
    };
    let evacuation = Item {
        key: Key {
            kind: Kind::Evacuation,
            name: "bodo".into(),
        },
        version: 3,
        content: Content::Evacuation,
        document: "".into(),
    };
    let mut replica = Replica::default();
    replica.commit(
        shallotrill_items::ballot::Ballot::default(),
        &[Arc::new(removal), Arc::new(evacuation)],
    );
    RegistryStatus {
        member: member(1, true),
        quorum: 3,
        others: vec![(member(2, false), 1_500)],
        entries: replica.entries().to_vec(),
        announcements: vec![(
            Announcement {
                router: SocketAddr::from(([10, 0, 0, 7], 80)),
                session: 1,
                sequence: 0,
                target: None,
                crashes: Vec::new(),
            },
            250,
        )],
    }
}

/// Starts a fake registry process and returns its address.
async fn start_registry() -> SocketAddr {
    let listener = Listener::bind("127.0.0.1:0".parse().expect("the address is valid"));
    let listener = listener.await.expect("the listener binds to a free port");
    let address = listener.address();
    let (stop, stopped) = watch::channel(false);
    let handler: server::Handler = Arc::new(|request| {
        Box::pin(async move {
            match request {
                Request::Show => Reply::Shown(status()),
                _ => Reply::Unable,
            }
        })
    });
    tokio::spawn(async move {
        // Keeps the sender alive, so that the server runs until the test ends.
        let _stop = stop;
        server::run(listener, 10, stopped, handler).await;
    });
    address
}

struct Case {
    name: &'static str,
    /// `{UP}` is replaced by the address of a fake registry process, `{DOWN}` by an address without a listener.
    arguments: &'static str,
    code: i32,
    /// Expected parts of standard output; `error` is one of standard error.
    output: &'static [&'static str],
    error: &'static str,
}

/// Guards against a view that omits a process or an error, and against an exit code 0 when no process replied.
const CASES: &[Case] = &[
    Case {
        name: "items",
        arguments: "--registry {UP} show items",
        code: 0,
        output: &["version", "route 'r-old'", "9"],
        error: "",
    },
    Case {
        name: "evacuations",
        arguments: "--json --registry {UP} show evacuations",
        code: 0,
        output: &[r#""zone":"bodo""#, r#""evacuated":true"#, r#""version":3"#],
        error: "",
    },
    Case {
        name: "registry processes",
        arguments: "--registry {UP} show registries",
        code: 0,
        output: &["quorum", "10.0.0.1:1", "10.0.0.1:2"],
        error: "",
    },
    Case {
        name: "routers as JSON",
        arguments: "--json --registry {UP} show routers",
        code: 0,
        output: &["10.0.0.7:80"],
        error: "",
    },
    Case {
        name: "one of two processes is unreachable",
        arguments: "--registry {UP} --registry {DOWN} show items",
        code: 0,
        output: &["r-old"],
        error: "{DOWN}: no connection",
    },
    Case {
        name: "all processes are unreachable",
        arguments: "--registry {DOWN} show items",
        code: 3,
        output: &[],
        error: "{DOWN}: no connection",
    },
    Case {
        name: "unsupported statement",
        arguments: "--registry {UP} show services",
        code: 2,
        output: &[],
        error: "expected show items, show registries, show routers or show evacuations",
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn registry_status_is_shown() {
    let up = start_registry().await.to_string();
    // After the listener is dropped, nothing listens on its port.
    let dropped_listener =
        std::net::TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let address = dropped_listener
        .local_addr()
        .expect("the address is valid")
        .to_string();
    drop(dropped_listener);
    for case in CASES {
        let replace_addresses = |text: &str| text.replace("{UP}", &up).replace("{DOWN}", &address);
        let arguments = replace_addresses(case.arguments);
        let output = Command::new(env!("CARGO_BIN_EXE_shallotctl"))
            .args(arguments.split(' '))
            .output()
            .expect(case.name);
        let out = String::from_utf8_lossy(&output.stdout);
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {error}",
            case.name
        );
        for part in case.output {
            assert!(out.contains(part), "{}: {out}", case.name);
        }
        assert!(
            error.contains(&replace_addresses(case.error)),
            "{}: {error}",
            case.name
        );
    }
}
