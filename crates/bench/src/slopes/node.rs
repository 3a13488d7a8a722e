//! Stand-in nodes that renew a lease and pull the feed, without a data path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant as Clock;

use tokio::sync::watch;
use tokio::time;

use shallotrill_catalog::difference::Update;
use shallotrill_control_client::client::Client;
use shallotrill_control_client::client::Endpoint;
use shallotrill_control_client::feed;
use shallotrill_control_client::lease;
use shallotrill_control_client::lease::AppliedVersions;
use shallotrill_control_client::lease::TargetState;
use shallotrill_membership::announcement::Announcement;
use shallotrill_membership::announcement::AnnouncementVersion;
use shallotrill_membership::view::View;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_rpc::link;

/// Interval of heartbeats, as in a node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a control process answers a pull even without an update, as in a node.
const FEED_WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum pause before a failed pull is retried, as in a node.
const RETRY_INTERVAL_MAX_MS: u64 = 500;

/// Targets of each service: 22,000 targets in 1,700 services.
const TARGETS_PER_SERVICE: usize = 13;

/// A stand-in node without a data path.
#[derive(Debug)]
pub struct StandInNode {
    /// Catalog revision that it has applied.
    pub revision: AtomicU64,
    /// Number of targets in its view.
    pub target_count: AtomicU64,
    /// Whether it announces its target as present.
    pub present: AtomicBool,
    number: usize,
    interest: Vec<service::Name>,
    started: Clock,
    changed: watch::Sender<u64>,
    client: Client,
}

/// Returns the name of the service with this number.
///
/// # Panics
///
/// Never: every number gives a valid name.
pub fn service_name(number: usize) -> service::Name {
    service::Name::new(&format!("service-{number:04}")).expect("the name is valid")
}

/// Creates the announcement of a target, with names as long as in a real installation.
///
/// # Panics
///
/// Never: every number gives a valid name.
pub fn announcement(number: usize, start_number: u64) -> Announcement {
    let instance = format!("zone-18-instance-{number:05}");
    Announcement {
        target: Target {
            service: service_name(number / TARGETS_PER_SERVICE),
            instance: instance::Name::new(&instance).expect("the name is valid"),
            incarnation: Incarnation(1_790_000_000_000 + start_number),
            zone: zone::Name::new("zone-18").expect("the name is valid"),
            region: region::Name::new("region-7").expect("the name is valid"),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            state: State::Ready,
            slots: 10,
        },
        session: AnnouncementVersion {
            node: 1,
            sequence: 1,
        },
    }
}

impl StandInNode {
    /// Starts a stand-in that is interested in the first `services` services.
    ///
    /// # Panics
    ///
    /// Never: every number gives a valid name.
    pub fn start(number: usize, control: SocketAddr, services: usize) -> Arc<Self> {
        let zone = zone::Name::new("zone-18").expect("the name is valid");
        let endpoint = Endpoint {
            address: control,
            zone: zone.clone(),
        };
        let node = Arc::new(Self {
            revision: AtomicU64::new(0),
            target_count: AtomicU64::new(0),
            present: AtomicBool::new(true),
            number,
            interest: (0..services).map(service_name).collect(),
            started: Clock::now(),
            changed: watch::Sender::new(0),
            client: Client::new(&[endpoint], &zone, number as u64, link::Config::default()),
        });
        tokio::spawn(send_heartbeats(Arc::clone(&node)));
        tokio::spawn(pull_feed(Arc::clone(&node)));
        node
    }

    /// Announces its target as present or as departed.
    pub fn set_present(&self, present: bool) {
        self.present.store(present, Ordering::Relaxed);
        self.changed.send_modify(|count| *count += 1);
    }

    fn applied_revision(&self) -> Revision {
        Revision(self.revision.load(Ordering::Relaxed))
    }

    fn now(&self) -> Instant {
        Instant(self.started.elapsed().as_micros() as u64)
    }
}

async fn send_heartbeats(node: Arc<StandInNode>) {
    let mut start_number = 0;
    let mut was_present = false;
    let mut changed = node.changed.subscribe();
    loop {
        let present = node.present.load(Ordering::Relaxed);
        start_number += u64::from(present && !was_present);
        was_present = present;
        let announcement = announcement(node.number, start_number);
        let instance = announcement.target.instance.clone();
        let target_state = if present {
            TargetState::Present(announcement)
        } else {
            TargetState::Left(announcement.target.incarnation)
        };
        let ask = lease::Request {
            instance,
            node: 1,
            target_state,
            applied: AppliedVersions {
                revision: node.applied_revision(),
                membership: None,
            },
            crashes: Vec::new(),
        };
        // A lost heartbeat needs no retry: the next one contains the same state.
        drop(node.client.lease(&ask).await);
        tokio::select! {
            () = time::sleep(HEARTBEAT_INTERVAL) => {}
            _ = changed.changed() => {}
        }
    }
}

async fn pull_feed(node: Arc<StandInNode>) {
    let instance = announcement(node.number, 1).target.instance;
    let mut view = View::new(Duration::from_secs(3));
    let mut crashes_version = 0;
    loop {
        let ask = feed::Request {
            instance: instance.clone(),
            revision: node.applied_revision(),
            membership: view.version().cloned(),
            interest: node.interest.clone(),
            new_services: Vec::new(),
            crashes_version,
            wait_ms: FEED_WAIT_TIMEOUT.as_millis() as u64,
        };
        let Ok(reply) = node.client.feed(&ask).await else {
            let pause = rand::random_range(1..=RETRY_INTERVAL_MAX_MS);
            time::sleep(Duration::from_millis(pause)).await;
            continue;
        };
        crashes_version = reply.crashes_version;
        if let Some(update) = &reply.update {
            node.revision
                .store(resulting_revision(update).0, Ordering::Relaxed);
        }
        if let Some(difference) = &reply.membership {
            drop(view.apply(difference, node.now()));
            node.target_count
                .store(view.rows().len() as u64, Ordering::Relaxed);
        }
    }
}

/// Returns the catalog revision after an update is applied.
pub fn resulting_revision(update: &Update) -> Revision {
    match update {
        Update::Difference(difference) => difference.to,
        Update::Snapshot(view) => view.revision,
        Update::Behind(revision) => *revision,
    }
}
