//! What a registry process tells a router that watches it.

use std::sync::Arc;

use tempfile::TempDir;

use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Cursor;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_items::digest::Digest;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::route::Service;
use shallotrill_process::clock::Clock;
use shallotrill_registry::members;
use shallotrill_registry::propose;
use shallotrill_registry::run;
use shallotrill_registry::settings::Settings;
use shallotrill_registry::state::State;

fn service(name: &str, version: u64) -> Item {
    Item {
        key: Key {
            kind: Kind::Service,
            name: name.into(),
        },
        version,
        content: Content::Service(Service {
            health_path: "/healthz".into(),
            connections: 10,
        }),
        document: "{}".into(),
    }
}

async fn watch(state: &Arc<State>, cursor: Cursor, held: Option<u64>) -> (Cursor, Vec<Arc<Item>>) {
    let request = Request::Watch {
        cursor,
        announcement: Announcement {
            router: "127.0.0.1:1".parse().expect("an address"),
            session: 1,
            sequence: 0,
            target: None,
            crashes: Vec::new(),
        },
        wait_ms: 0,
        held,
    };
    match members::answer(state, &request).await {
        Reply::View { cursor, items, .. } => (cursor, items),
        other => panic!("{other:?}"),
    }
}

/// What the watcher holds when it asks.
#[derive(Clone, Copy)]
enum Holds {
    /// Nothing, and it wants nothing now.
    WantsNothing,
    Nothing,
    /// All items, read from another process.
    All,
    /// An earlier version of one of them.
    Earlier,
}

struct Case {
    name: &'static str,
    holds: Holds,
    /// Items that it is sent.
    expected: usize,
}

/// Guards against a restart that reads the whole configuration from each registry process, and
/// against a router that lacks an item because another process sent it.
const CASES: &[Case] = &[
    Case {
        name: "it reads from another process first",
        holds: Holds::WantsNothing,
        expected: 0,
    },
    Case {
        name: "a new router",
        holds: Holds::Nothing,
        expected: 2,
    },
    Case {
        name: "it holds the same",
        holds: Holds::All,
        expected: 0,
    },
    Case {
        name: "it holds an earlier version",
        holds: Holds::Earlier,
        expected: 2,
    },
];

struct Scene {
    state: Arc<State>,
    first: Item,
    second: Item,
    _folder: TempDir,
}

async fn scene() -> Scene {
    let folder = TempDir::new().expect("a folder");
    let registry = run::start(Settings {
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertised: None,
        seeds: Vec::new(),
        tolerated_disks: 0,
        first_start: true,
        folder: folder.path().to_owned(),
        clock: Clock::start(),
    })
    .await
    .expect("a registry process");
    let state = registry.state();
    let (first, second) = (service("a", 1), service("b", 4));
    propose::change(&state, &[first.clone(), second.clone()])
        .await
        .expect("accepted");
    Scene {
        state,
        first,
        second,
        _folder: folder,
    }
}

#[tokio::test]
async fn a_watcher_is_sent_what_it_lacks() {
    let scene = scene().await;
    for case in CASES {
        let held = match case.holds {
            Holds::WantsNothing => None,
            Holds::Nothing => Some(Digest::default()),
            Holds::All => Some(Digest::of([&scene.second, &scene.first].into_iter())),
            Holds::Earlier => Some(Digest::of([&scene.first, &service("b", 3)].into_iter())),
        };
        let held = held.map(|digest| digest.0);
        let (cursor, items) = watch(&scene.state, Cursor::default(), held).await;
        assert_eq!(items.len(), case.expected, "{}", case.name);
        assert!(items.iter().all(|i| i.document.is_empty()), "{}", case.name);
        // A watcher that wanted nothing has read nothing.
        assert_eq!(cursor.items == 0, held.is_none(), "{}", case.name);
    }
}

/// Guards against a watcher that holds the items of another process and then misses a change.
#[tokio::test]
async fn a_later_change_is_sent_alone() {
    let scene = scene().await;
    let held = Digest::of([&scene.first, &scene.second].into_iter()).0;
    let (cursor, _) = watch(&scene.state, Cursor::default(), Some(held)).await;
    propose::change(&scene.state, &[service("c", 1)])
        .await
        .expect("accepted");
    let (_, items) = watch(&scene.state, cursor, Some(held)).await;
    let names: Vec<&str> = items.iter().map(|item| &*item.key.name).collect();
    assert_eq!(names, ["c"]);
}
