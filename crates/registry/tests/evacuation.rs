//! Orders for the evacuation of a zone at a group of registry processes in one test process, with real sockets and
//! files.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tempfile::TempDir;
use tokio::time;

use shallotrill_items::evacuation::Order;
use shallotrill_items::table::Table;
use shallotrill_limits::process::Limits;
use shallotrill_model::zone;
use shallotrill_process::clock::Clock;
use shallotrill_registry::evacuations;
use shallotrill_registry::evacuations::Error;
use shallotrill_registry::propose::Failure;
use shallotrill_registry::run;
use shallotrill_registry::run::Registry;
use shallotrill_registry::settings::Settings;

/// Longest wait for a condition that must come true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a state without notifications is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

const ZONE: &str = "bodo";

async fn start(seeds: Vec<SocketAddr>, first_start: bool, folder: &TempDir) -> Registry {
    let zone = |name| zone::Name::new(name).expect("a valid name");
    let settings = Settings {
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertised: None,
        seeds,
        tolerated_disks: 2,
        first_start,
        limits: Limits::default(),
        zones: vec![zone(ZONE), zone("narvik")],
        folder: folder.path().to_owned(),
        clock: Clock::start(),
    };
    run::start(settings).await.expect("a registry process")
}

async fn group(first_start: bool, folders: &[TempDir]) -> Vec<Registry> {
    let first = start(Vec::new(), first_start, &folders[0]).await;
    let seeds = vec![first.state().settings.listen];
    let mut members = vec![first];
    for folder in &folders[1..] {
        members.push(start(seeds.clone(), first_start, folder).await);
    }
    members
}

fn folders() -> Vec<TempDir> {
    let folder = |_| TempDir::new().expect("a temporary folder");
    (0..5).map(folder).collect()
}

/// Sends an order until it is acknowledged, as an operator does.
async fn order(member: &Registry, order: Order) {
    let sending = async {
        while let Err(error) = evacuations::order(&member.state(), order, ZONE).await {
            assert!(matches!(error, Error::NotInForce(_)), "{error}");
            time::sleep(POLL_INTERVAL).await;
        }
    };
    let sent = time::timeout(WAIT_TIMEOUT, sending).await;
    sent.expect("the order is acknowledged in time");
}

/// Whether the zone is evacuated, and the version of its item, as a process shows them.
async fn evacuated(member: &Registry) -> (bool, u64) {
    let items = run::in_force(&member.state()).await.unwrap_or_default();
    let version = items.first().map_or(0, |item| item.version);
    let mut table = Table::default();
    table.apply(&items);
    (!table.evacuated_zones().is_empty(), version)
}

async fn wait_until(members: &[Registry], expected: (bool, u64)) {
    for member in members {
        let waiting = async {
            while evacuated(member).await != expected {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = time::timeout(WAIT_TIMEOUT, waiting).await;
        assert!(waited.is_ok(), "{expected:?} is not in force");
    }
}

/// Guards against an order without effect at some process, a resent order that makes a new version, and an order for a
/// zone that does not exist.
#[tokio::test]
async fn a_resent_order_changes_nothing() {
    let folders = folders();
    let members = group(true, &folders).await;
    order(&members[0], Order::Finish).await;
    order(&members[0], Order::Start).await;
    order(&members[1], Order::Start).await;
    wait_until(&members, (true, 1)).await;
    order(&members[2], Order::Finish).await;
    order(&members[3], Order::Finish).await;
    wait_until(&members, (false, 2)).await;
    let unknown = evacuations::order(&members[0].state(), Order::Start, "oslo").await;
    let text = unknown.expect_err("an unknown zone").to_string();
    assert_eq!(text, "unknown zone: bodo, narvik are allowed");
}

/// Guards against processes that disagree after a start and an end were ordered at the same time.
#[tokio::test]
async fn a_race_of_start_and_end_has_one_result() {
    let folders = folders();
    let members = group(true, &folders).await;
    for _ in 0..5 {
        tokio::join!(
            order(&members[0], Order::Start),
            order(&members[1], Order::Finish),
            order(&members[2], Order::Start),
            order(&members[3], Order::Finish),
        );
        // What a process states after a confirmed read is what all of them state.
        let result = evacuated(&members[4]).await;
        wait_until(&members, result).await;
    }
    order(&members[4], Order::Start).await;
    assert!(evacuated(&members[0]).await.0);
}

/// Guards against an evacuation that is lost in a total power loss, and one that starts without a quorum.
#[tokio::test]
async fn an_evacuation_outlives_a_power_loss() {
    let folders = folders();
    let members = group(true, &folders).await;
    order(&members[0], Order::Start).await;
    for member in members {
        member.stop();
        let stopped = Arc::downgrade(&member.state());
        drop(member);
        let waiting = async {
            while stopped.strong_count() > 0 {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = time::timeout(WAIT_TIMEOUT, waiting).await;
        waited.expect("the process stops");
    }
    let mut members = group(false, &folders).await;
    wait_until(&members, (true, 1)).await;
    for member in members.split_off(2) {
        member.stop();
    }
    let outcome = evacuations::order(&members[0].state(), Order::Finish, ZONE).await;
    let is_unavailable = matches!(outcome, Err(Error::NotInForce(Failure::Unavailable { .. })));
    assert!(is_unavailable, "{outcome:?}");
}
