//! Stand-ins for nodes: a lease and a feed, without a data path.

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
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Longest time that a pull is held back, as in a node.
const FEED_WAIT: Duration = Duration::from_secs(10);
/// Longest pause after a failed pull, as in a node.
const PAUSE_MAX_MS: u64 = 500;

/// Targets of a service: 22,000 in 1,700 services.
const PER_SERVICE: usize = 13;

/// A stand-in node.
#[derive(Debug)]
pub struct Node {
    /// Revision that it holds.
    pub revision: AtomicU64,
    /// Targets that it holds.
    pub rows: AtomicU64,
    /// Whether its target takes part.
    pub present: AtomicBool,
    number: usize,
    interest: Vec<service::Name>,
    began: Clock,
    changed: watch::Sender<u64>,
    client: Client,
}

/// Name of a service that has targets.
///
/// # Panics
///
/// Panics for numbers that make no valid name, of which there are none.
pub fn service_name(number: usize) -> service::Name {
    service::Name::new(&format!("service-{number:04}")).expect("the name is valid")
}

/// The announcement of a target with the names and sizes of a real one.
///
/// # Panics
///
/// Panics for numbers that make no valid name, of which there are none.
pub fn announcement(number: usize, life: u64) -> Announcement {
    let instance = format!("zone-18-instance-{number:05}");
    Announcement {
        target: Target {
            service: service_name(number / PER_SERVICE),
            instance: instance::Name::new(&instance).expect("the name is valid"),
            incarnation: Incarnation(1_790_000_000_000 + life),
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

impl Node {
    /// Starts a stand-in that follows `services` services.
    ///
    /// # Panics
    ///
    /// Panics for numbers that make no valid name, of which there are none.
    pub fn start(number: usize, control: SocketAddr, services: usize) -> Arc<Self> {
        let zone = zone::Name::new("zone-18").expect("the name is valid");
        let endpoint = Endpoint {
            address: control,
            zone: zone.clone(),
        };
        let node = Arc::new(Self {
            revision: AtomicU64::new(0),
            rows: AtomicU64::new(0),
            present: AtomicBool::new(true),
            number,
            interest: (0..services).map(service_name).collect(),
            began: Clock::now(),
            changed: watch::Sender::new(0),
            client: Client::new(&[endpoint], &zone, number as u64, link::Config::default()),
        });
        tokio::spawn(beat(Arc::clone(&node)));
        tokio::spawn(follow(Arc::clone(&node)));
        node
    }

    /// Makes its target take part or leave.
    pub fn set_present(&self, present: bool) {
        self.present.store(present, Ordering::Relaxed);
        self.changed.send_modify(|count| *count += 1);
    }

    fn held(&self) -> Revision {
        Revision(self.revision.load(Ordering::Relaxed))
    }

    fn now(&self) -> Instant {
        Instant(self.began.elapsed().as_micros() as u64)
    }
}

async fn beat(node: Arc<Node>) {
    let mut life = 0;
    let mut before = false;
    let mut changed = node.changed.subscribe();
    loop {
        let present = node.present.load(Ordering::Relaxed);
        life += u64::from(present && !before);
        before = present;
        let announcement = announcement(node.number, life);
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
                revision: node.held(),
                membership: None,
            },
            crashes: Vec::new(),
        };
        // The next heartbeat repeats what was lost.
        drop(node.client.lease(&ask).await);
        tokio::select! {
            () = time::sleep(HEARTBEAT) => {}
            _ = changed.changed() => {}
        }
    }
}

async fn follow(node: Arc<Node>) {
    let instance = announcement(node.number, 1).target.instance;
    let mut view = View::new(Duration::from_secs(3));
    let mut crashes_version = 0;
    loop {
        let ask = feed::Request {
            instance: instance.clone(),
            revision: node.held(),
            membership: view.version().cloned(),
            interest: node.interest.clone(),
            new_services: Vec::new(),
            crashes_version,
            wait_ms: FEED_WAIT.as_millis() as u64,
        };
        let Ok(reply) = node.client.feed(&ask).await else {
            let pause = rand::random_range(1..=PAUSE_MAX_MS);
            time::sleep(Duration::from_millis(pause)).await;
            continue;
        };
        crashes_version = reply.crashes_version;
        if let Some(update) = &reply.update {
            node.revision.store(reached(update).0, Ordering::Relaxed);
        }
        if let Some(difference) = &reply.membership {
            drop(view.apply(difference, node.now()));
            node.rows.store(view.rows().len() as u64, Ordering::Relaxed);
        }
    }
}

/// The revision that an update leads to.
pub fn reached(update: &Update) -> Revision {
    match update {
        Update::Difference(difference) => difference.to,
        Update::Snapshot(view) => view.revision,
        Update::Behind(revision) => *revision,
    }
}
