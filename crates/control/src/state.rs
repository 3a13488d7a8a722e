//! The shared tables of a control process.
//!
//! Each table has one ranked lock. None is held across an await or a disk sync.

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
use shallotrill_process::process::Process;
use shallotrill_replica::peers::Peers;

/// A read that waits for its confirmation.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) token: read::Token,
    pub(crate) sender: oneshot::Sender<Result<u64, read::Failure>>,
}

/// The replica of the log; absent until this process belongs to a group.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) replica: Option<Replica>,
    pub(crate) readers: Vec<Reader>,
    /// First members of the group as the disk has them, also before there is a replica.
    pub(crate) formed: Option<Set>,
    /// Why there is no replica, for operators.
    pub(crate) waiting: Option<String>,
}

/// Everything that the workers of a control process share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) process: Process,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Peers,
    /// Claims are kept for this time after their key was issued.
    pub(crate) retention: Duration,
    pub(crate) members: Mutex<Members>,
    pub(crate) log: Mutex<Log>,
    pub(crate) catalog: Mutex<Catalog>,
    pub(crate) claims: Mutex<Claims>,
    pub(crate) claims_journal: Journal,
    /// Wakes the driver of the log.
    pub(crate) wake: Notify,
    /// Index of the last applied entry.
    pub(crate) applied: watch::Sender<u64>,
    /// Counts changes that nodes and other control processes should hear of.
    pub(crate) changed: watch::Sender<u64>,
    /// Time at which this process last knew that its configuration was the latest, in microseconds; zero before.
    pub(crate) current: AtomicU64,
}

impl State {
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Tells feeds and exchanges that something changed.
    pub(crate) fn announce_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Notes that this process has the latest configuration: it leads with a quorum, or heard from the leader.
    pub(crate) fn note_current(&self) {
        self.current.store(self.now().0.max(1), Ordering::Relaxed);
    }

    /// Time since this process last knew that its configuration was the latest.
    pub(crate) fn behind(&self) -> Option<Duration> {
        match self.current.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(self.now().since(Instant(micros))),
        }
    }

    /// Waits until the log is applied up to `index`.
    pub(crate) async fn wait_applied(&self, index: u64, limit: Duration) -> bool {
        let mut applied = self.applied.subscribe();
        let waiting = applied.wait_for(|applied| *applied >= index);
        matches!(tokio::time::timeout(limit, waiting).await, Ok(Ok(_)))
    }
}
