//! Items that a registry process sends to a watching router.

use std::net::SocketAddr;
use std::sync::Arc;

use tempfile::TempDir;

use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Cursor;
use shallotrill_feed::message::Interest;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::item_set_hash::ItemSetHash;
use shallotrill_items::route::Service;
use shallotrill_limits::process::Limits;
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
            warm_up: None,
        }),
        document: "{}".into(),
    }
}

fn announcement(router: usize, sequence: u64) -> Announcement {
    Announcement {
        router: SocketAddr::from(([127, 0, 0, 1], router as u16)),
        session: 1,
        sequence,
        target: None,
        crashes: Vec::new(),
    }
}

async fn watch(state: &Arc<State>, cursor: Cursor, interest: Interest) -> (Cursor, Vec<Arc<Item>>) {
    let request = Request::Watch {
        cursor,
        announcement: announcement(1, 0),
        wait_ms: 0,
        interest,
        needs_departures: false,
    };
    match members::handle(state, &request).await {
        Reply::View { cursor, items, .. } => (cursor, items),
        other => panic!("{other:?}"),
    }
}

/// Items that the watcher has when it sends its request.
#[derive(Clone, Copy)]
enum WatcherItems {
    /// None, and it does not request any.
    NotRequested,
    None,
    /// All items, read from another process.
    All,
    /// An earlier version of one of them.
    Earlier,
}

struct Case {
    name: &'static str,
    watcher_items: WatcherItems,
    /// Number of items that it is sent.
    expected: usize,
}

/// Guards against a restarted router that is sent the complete configuration by each registry
/// process, and against a router that is not sent a change because it received its items from
/// another process.
const CASES: &[Case] = &[
    Case {
        name: "it requests the items from another process first",
        watcher_items: WatcherItems::NotRequested,
        expected: 0,
    },
    Case {
        name: "a router without items",
        watcher_items: WatcherItems::None,
        expected: 2,
    },
    Case {
        name: "it has the same items",
        watcher_items: WatcherItems::All,
        expected: 0,
    },
    Case {
        name: "it has an earlier version of one item",
        watcher_items: WatcherItems::Earlier,
        expected: 2,
    },
];

struct Fixture {
    state: Arc<State>,
    first: Item,
    second: Item,
    _folder: TempDir,
}

async fn fixture() -> Fixture {
    let folder = TempDir::new().expect("a temporary folder");
    let registry = run::start(Settings {
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertised: None,
        seeds: Vec::new(),
        zones: Vec::new(),
        tolerated_disks: 0,
        first_start: true,
        limits: Limits::default(),
        folder: folder.path().to_owned(),
        clock: Clock::start(),
    })
    .await
    .expect("a registry process");
    let state = registry.state();
    let (first, second) = (service("a", 1), service("b", 4));
    propose::change(&state, &[first.clone(), second.clone()])
        .await
        .expect("the change is accepted");
    Fixture {
        state,
        first,
        second,
        _folder: folder,
    }
}

#[tokio::test]
async fn a_watcher_is_sent_missing_items() {
    let fixture = fixture().await;
    for case in CASES {
        let held = match case.watcher_items {
            WatcherItems::NotRequested => None,
            WatcherItems::None => Some(ItemSetHash::default()),
            WatcherItems::All => Some(ItemSetHash::of(
                [&fixture.second, &fixture.first].into_iter(),
            )),
            WatcherItems::Earlier => Some(ItemSetHash::of(
                [&fixture.first, &service("b", 3)].into_iter(),
            )),
        };
        let interest = held.map_or(Interest::Nothing, |hash| Interest::Items(hash.0));
        let (cursor, items) = watch(&fixture.state, Cursor::default(), interest).await;
        assert_eq!(items.len(), case.expected, "{}", case.name);
        assert!(items.iter().all(|i| i.document.is_empty()), "{}", case.name);
        // The cursor of a watcher that requests no items does not advance.
        assert_eq!(cursor.items == 0, held.is_none(), "{}", case.name);
    }
}

/// Guards against a watcher with the items of another process that is not sent a later change.
#[tokio::test]
async fn a_later_change_is_sent_without_the_unchanged_items() {
    let fixture = fixture().await;
    let held = ItemSetHash::of([&fixture.first, &fixture.second].into_iter()).0;
    let (cursor, _) = watch(&fixture.state, Cursor::default(), Interest::Items(held)).await;
    propose::change(&fixture.state, &[service("c", 1)])
        .await
        .expect("the change is accepted");
    let (_, items) = watch(&fixture.state, cursor, Interest::Items(held)).await;
    let names: Vec<&str> = items.iter().map(|item| &*item.key.name).collect();
    assert_eq!(names, ["c"]);
}

/// Guards against a reply for each of many changes: with 295 routers that start together, each of 295 watchers would
/// be sent up to 295 replies by each registry process.
#[tokio::test]
async fn changes_that_come_together_are_sent_in_one_reply() {
    const ROUTERS: usize = 300;
    let fixture = fixture().await;
    let announce = async |router, sequence| {
        let request = Request::Announce(announcement(router, sequence));
        members::handle(&fixture.state, &request).await;
    };
    for router in 1..=ROUTERS {
        announce(router, 1).await;
    }
    let (cursor, _) = watch(&fixture.state, Cursor::default(), Interest::Nothing).await;
    // The gathering time then passes only when no task can make progress.
    tokio::time::pause();
    let state = Arc::clone(&fixture.state);
    let watcher = tokio::spawn(async move {
        let request = Request::Watch {
            cursor,
            announcement: announcement(1, 1),
            wait_ms: 60_000,
            interest: Interest::Nothing,
            needs_departures: false,
        };
        members::handle(&state, &request).await
    });
    for router in 1..=ROUTERS {
        announce(router, 2).await;
        tokio::task::yield_now().await;
    }
    let Reply::View { announcements, .. } = watcher.await.expect("the watcher ends") else {
        panic!("the registry process replies with a view");
    };
    assert_eq!(announcements.changed.len(), ROUTERS);
}

/// Guards against a change that every registry process sends to every router: a router that has items is told only
/// their hash, at once and once for each change, and can still read what it lacks afterwards.
#[tokio::test]
async fn a_router_with_items_is_told_of_a_change_by_its_hash() {
    let fixture = fixture().await;
    let held = ItemSetHash::of([&fixture.first, &fixture.second].into_iter()).0;
    let (read, _) = watch(&fixture.state, Cursor::default(), Interest::Items(held)).await;
    propose::change(&fixture.state, &[service("c", 1)])
        .await
        .expect("the change is accepted");
    let request = |cursor, interest, wait_ms| Request::Watch {
        cursor,
        announcement: announcement(1, 0),
        wait_ms,
        interest,
        needs_departures: false,
    };
    // Without the wake-up the reply comes after the wait, beyond the limit of the test run.
    let told = request(read, Interest::Hash(held), 3_600_000);
    let told = members::handle(&fixture.state, &told).await;
    let Reply::View {
        cursor,
        items,
        items_hash,
        ..
    } = told
    else {
        panic!("the registry process replies with a view");
    };
    assert!(items.is_empty());
    assert_ne!(items_hash, held);
    tokio::time::pause();
    let before = tokio::time::Instant::now();
    let again = request(cursor, Interest::Hash(held), 60_000);
    members::handle(&fixture.state, &again).await;
    assert!(before.elapsed().as_secs() >= 60, "told twice of one change");
    tokio::time::resume();
    let (_, items) = watch(&fixture.state, read, Interest::Items(held)).await;
    assert_eq!(items.len(), 1);
}
