//! State that the tasks of a control process share.
//!
//! Each table has one ranked lock. No lock is held across an await or a disk sync.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::claims::Claims;
use crate::identity::Identity;
use crate::members::Members;
use crate::metrics::Metrics;
use shallotrill_catalog::state::State as Catalog;
use shallotrill_consensus::Replica;
use shallotrill_consensus::member::Set;
use shallotrill_consensus::read;
use shallotrill_disk::journal::Journal;
use shallotrill_locks::Mutex;
use shallotrill_model::time::Instant;
use shallotrill_process::clock::Clock;
use shallotrill_process::process::ProcessMetadata;
use shallotrill_replica::peers::Peers;

/// A linearizable read that waits for confirmation by a quorum.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) token: read::Token,
    pub(crate) sender: oneshot::Sender<Result<u64, read::Failure>>,
}

/// The replica of the log. `replica` is `None` until this process knows its group and has started the replica.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) replica: Option<Replica>,
    pub(crate) readers: Vec<Reader>,
    /// Initial members of the group as stored on the disk; set before the replica is created. Empty if this
    /// process joined an existing group without a vote; `None` if its disk belongs to no group.
    pub(crate) formed: Option<Set>,
    /// Reason why there is no replica yet; shown in the state dump.
    pub(crate) waiting: Option<String>,
}

/// State that all tasks of a control process share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) process: ProcessMetadata,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Peers,
    /// Retention period of claims, counted from the issue time of the key.
    pub(crate) retention: Duration,
    pub(crate) members: Mutex<Members>,
    pub(crate) log: Mutex<Log>,
    pub(crate) catalog: Mutex<Catalog>,
    pub(crate) claims: Mutex<Claims>,
    pub(crate) claims_journal: Journal,
    /// Wakes the driver of the log.
    pub(crate) driver_wake: Notify,
    /// Index of the last applied entry.
    pub(crate) applied: watch::Sender<u64>,
    /// Change counter; nodes and other control processes that wait for changes subscribe to it.
    pub(crate) changed: watch::Sender<u64>,
    /// Time in microseconds when this process last knew that its configuration was current; zero until the first time.
    pub(crate) current_at_us: AtomicU64,
}

impl State {
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Wakes all feeds and exchanges that wait for a change.
    pub(crate) fn announce_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Records that the configuration is current: this process leads with a quorum, or received a message from the leader.
    pub(crate) fn record_current(&self) {
        self.current_at_us
            .store(self.now().0.max(1), Ordering::Relaxed);
    }

    /// Time since this process last knew that its configuration was current; `None` if it never did.
    pub(crate) fn time_since_current(&self) -> Option<Duration> {
        match self.current_at_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(self.now().since(Instant(micros))),
        }
    }

    /// Waits until the log is applied up to `index`; returns false after `limit`.
    pub(crate) async fn wait_applied(&self, index: u64, limit: Duration) -> bool {
        let mut applied = self.applied.subscribe();
        let waiting = applied.wait_for(|applied| *applied >= index);
        matches!(tokio::time::timeout(limit, waiting).await, Ok(Ok(_)))
    }
}
