//! A group of registry processes in one test process, with real sockets and files.

mod votes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tempfile::TempDir;
use tokio::time;

use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Cursor;
use shallotrill_feed::message::Departure;
use shallotrill_feed::message::Interest;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::item_set_hash::ItemSetHash;
use shallotrill_items::replica::Accepted;
use shallotrill_items::replica::Proposed;
use shallotrill_items::route::Service;
use shallotrill_limits::process::Limits;
use shallotrill_model::instance;
use shallotrill_model::zone;
use shallotrill_process::clock::Clock;
use shallotrill_registry::members;
use shallotrill_registry::propose;
use shallotrill_registry::propose::Failure;
use shallotrill_registry::run;
use shallotrill_registry::run::Registry;
use shallotrill_registry::settings::Settings;

/// Longest wait for a condition that must come true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a state without notifications is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct Member {
    registry: Registry,
    folder: TempDir,
    address: SocketAddr,
}

fn zone_name(name: &str) -> zone::Name {
    zone::Name::new(name).expect("a valid name")
}

async fn start(seeds: Vec<SocketAddr>, first_start: bool, folder: TempDir) -> Member {
    let settings = Settings {
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertised: None,
        seeds,
        zones: vec![zone_name("bodo"), zone_name("narvik")],
        tolerated_disks: 2,
        limits: Limits::default(),
        first_start,
        folder: folder.path().to_owned(),
        clock: Clock::start(),
    };
    let registry = run::start(settings).await.expect("a registry process");
    let address = registry.state().settings.listen;
    Member {
        registry,
        folder,
        address,
    }
}

fn folder() -> TempDir {
    TempDir::new().expect("a temporary folder")
}

/// Starts five processes for the first time and waits until all of them are voters.
async fn group() -> Vec<Member> {
    let members = start_group().await;
    for member in &members {
        wait_for("the process is a voter", || votes(member)).await;
    }
    members
}

/// Whether a process is a voter.
fn votes(member: &Member) -> bool {
    let state = member.registry.state();
    let consensus = state.consensus.lock();
    consensus.roster.own().votes
}

/// The list of voters that a process knows, as in the requests of a proposal.
fn voters(member: &Member) -> Accepted {
    let state = member.registry.state();
    let voters = state.consensus.lock().voters();
    voters.expect("a list is in force")
}

/// The first step of a proposal, for one process.
fn prepare(member: &Member, ballot: Ballot, keys: &[Key]) -> Request {
    Request::Prepare {
        ballot,
        keys: keys.to_vec(),
        voters: voters(member),
    }
}

/// The second step of a proposal, for one process.
fn accept(member: &Member, ballot: Ballot, items: &[Proposed]) -> Request {
    Request::Accept {
        ballot,
        items: items.to_vec(),
        voters: voters(member),
    }
}

/// A request to store departures.
fn depart(member: &Member, departures: &[Departure]) -> Request {
    Request::Depart {
        voters: voters(member).item.version,
        departures: departures.to_vec(),
    }
}

/// Starts five processes for the first time.
async fn start_group() -> Vec<Member> {
    let first = start(Vec::new(), true, folder()).await;
    let seed = first.address;
    let mut members = vec![first];
    for _ in 1..5 {
        members.push(start(vec![seed], true, folder()).await);
    }
    members
}

fn service(name: &str, version: u64, connections: u32) -> Item {
    Item {
        key: Key {
            kind: Kind::Service,
            name: name.into(),
        },
        version,
        content: Content::Service(Service {
            health_path: "/healthz".into(),
            connections,
            warm_up: None,
        }),
        document: connections.to_string().into(),
    }
}

/// Sends a change until it is accepted or refused, as an operator does.
async fn change(member: &Member, item: &Item) -> Result<(), Failure> {
    let state = member.registry.state();
    let sending = async {
        loop {
            match propose::change(&state, std::slice::from_ref(item)).await {
                Err(Failure::Unavailable { .. } | Failure::Overtaken) => {
                    time::sleep(POLL_INTERVAL).await;
                }
                decided => return decided,
            }
        }
    };
    time::timeout(WAIT_TIMEOUT, sending)
        .await
        .expect("the change is accepted or refused in time")
}

async fn wait_for(condition: &str, is_true: impl Fn() -> bool) {
    let waiting = async {
        while !is_true() {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(
        time::timeout(WAIT_TIMEOUT, waiting).await.is_ok(),
        "{condition}"
    );
}

/// Waits until a process shows an item as in force.
async fn wait_until_in_force(member: &Member, item: &Item) {
    let state = member.registry.state();
    let waiting = async {
        loop {
            let items = run::in_force(&state).await.unwrap_or_default();
            if items.iter().any(|in_force| **in_force == *item) {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "{item:?} is not in force");
}

/// Guards against a change that is acknowledged but does not come into force at all processes.
#[tokio::test]
async fn a_change_reaches_all_processes() {
    let members = group().await;
    let item = service("a", 1, 10);
    change(&members[3], &item)
        .await
        .expect("the change is accepted");
    for member in &members {
        wait_until_in_force(member, &item).await;
    }
}

/// Guards against two different contents of the same version that are both acknowledged.
#[tokio::test]
async fn one_of_two_concurrent_changes_is_accepted() {
    let members = group().await;
    for version in 1..6 {
        let (one, two) = (service("a", version, 10), service("a", version, 20));
        let (first, second) = tokio::join!(change(&members[1], &one), change(&members[2], &two));
        assert!(first.is_ok() != second.is_ok(), "{first:?} {second:?}");
        let accepted = if first.is_ok() { &one } else { &two };
        for member in &members {
            wait_until_in_force(member, accepted).await;
        }
        // Repeating the accepted change is acknowledged too.
        change(&members[4], accepted)
            .await
            .expect("the repeated change is accepted");
    }
}

/// Guards against a change that is acknowledged although fewer than a quorum of the replicas store it.
#[tokio::test]
async fn a_minority_accepts_nothing() {
    let mut members = group().await;
    let item = service("a", 1, 10);
    change(&members[0], &item)
        .await
        .expect("the change is accepted");
    for member in members.split_off(2) {
        member.registry.stop();
    }
    let state = members[0].registry.state();
    let outcome = propose::change(&state, &[service("a", 2, 20)]).await;
    assert!(
        matches!(outcome, Err(Failure::Unavailable { .. })),
        "{outcome:?}"
    );
}

/// Guards against the loss of a change when the tolerated two disks are lost, and against a process
/// with an empty disk that votes before it has copied the registers.
#[tokio::test]
async fn no_change_is_lost_with_two_disks() {
    let mut members = group().await;
    let item = service("a", 7, 10);
    change(&members[0], &item)
        .await
        .expect("the change is accepted");
    // Immediately after the acknowledgement, the process that sent it and another one lose their disks.
    let lost: Vec<Member> = members.drain(..2).collect();
    let seeds: Vec<SocketAddr> = members.iter().map(|m| m.address).collect();
    for member in lost {
        member.registry.stop();
    }
    for _ in 0..2 {
        members.push(start(seeds.clone(), false, folder()).await);
    }
    for member in &members {
        wait_until_in_force(member, &item).await;
    }
    let new_members = &members[3..];
    for member in new_members {
        let state = member.registry.state();
        let votes = || state.consensus.lock().roster.own().votes;
        wait_for("the new process is a voter", votes).await;
    }
    // A conflicting content of the same version is refused, and a later version is accepted.
    let conflict = change(&members[4], &service("a", 7, 20)).await;
    assert!(matches!(conflict, Err(Failure::Refused(_))), "{conflict:?}");
    change(&members[3], &service("a", 8, 30))
        .await
        .expect("the change is accepted");
}

/// Stops a process and returns its data folder.
async fn stop(member: Member) -> TempDir {
    member.registry.stop();
    let stopped = Arc::downgrade(&member.registry.state());
    drop(member.registry);
    wait_for("the process has stopped", || stopped.strong_count() == 0).await;
    member.folder
}

/// Number of items that a router without items is sent.
async fn items_sent_to_a_new_router(member: &Member) -> usize {
    let request = Request::Watch {
        cursor: Cursor::default(),
        announcement: Announcement {
            router: "127.0.0.1:1".parse().expect("an address"),
            session: 1,
            sequence: 1,
            target: None,
            crashes: Vec::new(),
        },
        wait_ms: 0,
        interest: Interest::Items(ItemSetHash::default().0),
        needs_departures: false,
    };
    match members::handle(&member.registry.state(), &request).await {
        Reply::View { items, .. } => items.len(),
        other => panic!("{other:?}"),
    }
}

/// Guards against an acknowledged item that is shown, and sent to a new router, in its older version: two processes
/// missed the change, a third one has lost its disk, and the two that have the change are down.
#[tokio::test]
async fn an_empty_disk_does_not_restore_an_older_item() {
    let mut members = group().await;
    let (older, item) = (service("a", 1, 10), service("a", 2, 20));
    change(&members[0], &older)
        .await
        .expect("the change is accepted");
    for member in &members {
        wait_until_in_force(member, &older).await;
    }
    let mut outdated = Vec::new();
    for member in members.drain(..2) {
        outdated.push(stop(member).await);
    }
    change(&members[0], &item)
        .await
        .expect("the change is accepted");
    drop(stop(members.remove(0)).await);
    let mut holders = Vec::new();
    for member in members.drain(..) {
        holders.push(stop(member).await);
    }
    let first = start(Vec::new(), false, outdated.remove(0)).await;
    let seed = first.address;
    let second = start(vec![seed], false, outdated.remove(0)).await;
    let emptied = start(vec![seed], false, folder()).await;
    members.extend([first, second, emptied]);
    for member in &members {
        let state = member.registry.state();
        wait_for("the process follows the other two", || {
            let consensus = state.consensus.lock();
            consensus.roster.others(state.now()).count() == 2
                && !consensus.replica.entries().is_empty()
        })
        .await;
    }
    // Several long polls between the processes end in this time.
    for _ in 0..40 {
        for member in &members {
            assert_eq!(run::in_force(&member.registry.state()).await, None);
            assert_eq!(items_sent_to_a_new_router(member).await, 0);
        }
        time::sleep(POLL_INTERVAL).await;
    }
    for folder in holders {
        members.push(start(vec![seed], false, folder).await);
    }
    for member in &members {
        wait_until_in_force(member, &item).await;
        assert_eq!(items_sent_to_a_new_router(member).await, 1);
    }
}

/// Guards against an answer with the items of a copy that is older than the question: a process that was cut off or
/// suspended for a second had recent copies, and others had accepted a change meanwhile.
#[tokio::test]
async fn a_process_without_a_quorum_does_not_say_what_is_in_force() {
    let mut members = group().await;
    let item = service("a", 1, 10);
    change(&members[0], &item)
        .await
        .expect("the change is accepted");
    for member in &members {
        wait_until_in_force(member, &item).await;
    }
    for member in members.split_off(2) {
        member.registry.stop();
    }
    for member in &members {
        assert_eq!(run::in_force(&member.registry.state()).await, None);
        assert_eq!(items_sent_to_a_new_router(member).await, 0);
    }
}

/// Guards against changes that stay refused or unanswered after disks have refused writes, one after another: each has
/// room again before the next one is full.
#[tokio::test]
async fn changes_are_accepted_after_each_disk_was_full() {
    let members = group().await;
    let mut version = 0;
    for (index, full) in members.iter().enumerate() {
        // The document is written under this name first, so every write fails while it is a folder.
        let blocked = ["registers.tmp", "departures.tmp"].map(|name| full.folder.path().join(name));
        for path in &blocked {
            // A write that is in progress uses the name.
            wait_for("the name is free", || std::fs::create_dir(path).is_ok()).await;
        }
        for sender in &members {
            version += 1;
            let item = service("a", version, 10);
            change(sender, &item)
                .await
                .expect("the change is accepted with four disks");
        }
        let state = full.registry.state();
        assert!(!state.persist().await, "the disk {index} takes no bytes");
        for path in &blocked {
            std::fs::remove_dir(path).expect("the folder is empty");
        }
        assert!(state.persist().await, "the disk {index} has room again");
    }
    // Every process votes with its disk again: any three of them accept a change.
    let mut members = members;
    for member in members.split_off(3) {
        member.registry.stop();
    }
    let item = service("a", version + 1, 10);
    for member in &members {
        change(member, &item)
            .await
            .expect("the change is accepted by three processes");
        wait_until_in_force(member, &item).await;
    }
}

/// Guards against a refused change that comes into force in part: one replica had accepted all its items before a
/// competing change won one of them.
#[tokio::test]
async fn a_refused_change_comes_into_force_in_part() {
    let members = group().await;
    let competing = service("a", 2, 10);
    let large = [
        service("a", 2, 20),
        service("b", 2, 20),
        service("c", 2, 20),
    ];
    let earlier = service("c", 1, 10);
    change(&members[0], &earlier)
        .await
        .expect("the change is accepted");
    for member in &members {
        wait_until_in_force(member, &earlier).await;
    }
    let ballot = Ballot {
        round: 1_000,
        proposer: Identity(1),
    };
    let keys: Vec<Key> = large.iter().map(|item| item.key.clone()).collect();
    let handle =
        async |member: &Member, request| members::handle(&member.registry.state(), &request).await;
    for member in &members {
        let promised = handle(member, prepare(member, ballot, &keys)).await;
        assert!(matches!(promised, Reply::Promised(_)), "{promised:?}");
    }
    let previous = [
        Item::absent(keys[0].clone()),
        Item::absent(keys[1].clone()),
        earlier.clone(),
    ];
    let items = large.iter().zip(previous).map(|(item, previous)| Proposed {
        item: Arc::new(item.clone()),
        previous: Arc::new(previous),
    });
    let items: Vec<Proposed> = items.collect();
    // The competing proposal has the next ballot, and its messages overtake those of the large one.
    let next = Ballot::above(ballot, Identity(2));
    let key = vec![competing.key.clone()];
    for member in &members[1..4] {
        let promised = handle(member, prepare(member, next, &key)).await;
        assert!(matches!(promised, Reply::Promised(_)), "{promised:?}");
    }
    let mut accepted = 0;
    for member in &members {
        let reply = handle(member, accept(member, ballot, &items)).await;
        accepted += usize::from(matches!(reply, Reply::Done));
    }
    assert_eq!(accepted, 2);
    for member in &members[1..4] {
        let items = vec![Proposed {
            item: Arc::new(competing.clone()),
            previous: Arc::new(Item::absent(competing.key.clone())),
        }];
        let reply = handle(member, accept(member, next, &items)).await;
        assert!(matches!(reply, Reply::Done), "{reply:?}");
    }
    // The second attempt of the large change is refused.
    let state = members[0].registry.state();
    let sending = async {
        loop {
            match propose::change(&state, &large).await {
                Err(Failure::Unavailable { .. } | Failure::Overtaken) => {}
                decided => return decided,
            }
        }
    };
    let refused = time::timeout(WAIT_TIMEOUT, sending).await.expect("in time");
    assert!(matches!(refused, Err(Failure::Refused(_))), "{refused:?}");
    for member in &members {
        let state = member.registry.state();
        wait_for("no item is uncommitted", || {
            state
                .consensus
                .lock()
                .replica
                .uncommitted()
                .next()
                .is_none()
        })
        .await;
        wait_until_in_force(member, &competing).await;
        let items = run::in_force(&state).await.expect("items in force");
        let items: Vec<Item> = items.iter().map(|item| (**item).clone()).collect();
        assert_eq!(items, [competing.clone(), earlier.clone()]);
    }
}

/// Guards against a departure that is forgotten when all processes restart and one of them has lost its disk.
#[tokio::test]
async fn a_restart_of_all_keeps_the_departures() {
    let mut members = group().await;
    let departure = Departure {
        router: "127.0.0.1:1".parse().expect("an address"),
        instance: instance::Name::new("i-1").expect("a valid name"),
        start_time_ms: 5,
    };
    // A process becomes a voter for good when it has stored something.
    change(&members[0], &service("a", 1, 10))
        .await
        .expect("the change is accepted");
    for member in &members[..3] {
        let request = depart(member, std::slice::from_ref(&departure));
        let reply = members::handle(&member.registry.state(), &request).await;
        assert!(matches!(reply, Reply::Done), "{reply:?}");
    }
    drop(stop(members.remove(0)).await);
    let mut folders = Vec::new();
    for member in members.drain(..) {
        folders.push(stop(member).await);
    }
    let first = start(Vec::new(), false, folders.remove(0)).await;
    let seed = first.address;
    members.push(first);
    for folder in folders {
        members.push(start(vec![seed], false, folder).await);
    }
    members.push(start(vec![seed], false, folder()).await);
    for member in &members {
        let state = member.registry.state();
        let complete = || state.consensus.lock().is_complete(state.now());
        wait_for("the process knows what is in force", complete).await;
        let departures = state.departures.lock().of(departure.router);
        assert_eq!(departures, std::slice::from_ref(&departure));
    }
}

/// Guards against a change that is lost when all processes restart.
#[tokio::test]
async fn a_restart_of_all_keeps_the_items() {
    let members = group().await;
    let item = service("a", 3, 10);
    change(&members[0], &item)
        .await
        .expect("the change is accepted");
    let mut folders = Vec::new();
    for member in members {
        folders.push(stop(member).await);
    }
    let mut folders = folders.into_iter();
    let first = start(Vec::new(), false, folders.next().expect("five folders")).await;
    let seed = first.address;
    let mut members = vec![first];
    for folder in folders {
        members.push(start(vec![seed], false, folder).await);
    }
    for member in &members {
        wait_until_in_force(member, &item).await;
    }
}
