//! Starts and stops the registry role.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::allotments;
use crate::announcements;
use crate::departures;
use crate::election;
use crate::maintenance;
use crate::members;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::ConsensusState;
use crate::state::Listeners;
use crate::state::Peers;
use crate::state::State;
use crate::store;
use crate::store::Content;
use crate::store::Opened;
use shallotrill_feed::server;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::item::Item;
use shallotrill_items::item::Kind;
use shallotrill_items::replica::Replica;
use shallotrill_items::roster::Roster;
use shallotrill_limits::connection::Shares;
use shallotrill_limits::process::Limits;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_process::metrics;
use shallotrill_wire::budget::Budget;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Limit;
use shallotrill_wire::listen::Listener;

/// Why a registry process could not be started.
#[derive(Debug)]
pub enum Error {
    /// The listener cannot be bound to its address.
    Listen(listen::Error),
    /// The metrics could not be registered.
    Metrics(metrics::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => cause.fmt(f),
            Self::Metrics(cause) => cause.fmt(f),
        }
    }
}

impl error::Error for Error {}

/// A running registry process.
#[derive(Debug)]
pub struct Registry {
    state: Arc<State>,
}

/// Starts a registry process. Waits until its data folder can be opened.
///
/// # Errors
///
/// Returns [`Error`] when the listener cannot be bound or the metrics cannot be registered.
pub async fn start(mut settings: Settings) -> Result<Registry, Error> {
    let listener = Listener::bind(settings.listen)
        .await
        .map_err(Error::Listen)?;
    settings.listen = listener.address();
    let Opened {
        store,
        identity,
        content,
        departures: departed,
    } = store::open(&settings.folder).await;
    let clock = settings.clock;
    let Content { founder, replica } = content.unwrap_or_default();
    let roster = Roster::new(
        identity,
        settings.address(),
        founder || settings.first_start,
        settings.tolerated_disks,
        clock.now(),
    );
    let mut departures = departures::Table::default();
    departures.merge(&departed);
    let (changed, _) = watch::channel(0);
    let memory = Budget::new(settings.limits.memory_bytes);
    let listeners = listeners(&settings.limits, &memory);
    let (stop, stopped) = watch::channel(false);
    let state = Arc::new(State {
        session: clock.wall().0,
        proposer: Identity(rand::random()),
        clock,
        announcements: Mutex::new(Rank::Membership, announcements::Table::default()),
        allotments: Mutex::new(Rank::Budget, allotments::Table::new(clock.now())),
        departures: Mutex::new(Rank::Report, departures),
        peers: Mutex::new(Rank::Pool, Peers::default()),
        confirming: AsyncMutex::new(()),
        consensus: Mutex::new(
            Rank::Consensus,
            ConsensusState {
                highest_ballot: highest_promised(&replica),
                replica,
                roster,
                changes: 1,
                hashed: None,
            },
        ),
        changed,
        voters_changed: Notify::new(),
        stop,
        memory,
        listeners,
        metrics: Metrics::new().map_err(Error::Metrics)?,
        store,
        settings,
    });
    state.consensus.lock().restore_voters();
    if state.settings.first_start {
        // Before others count on this process for the first list: a restart must not forget it.
        state.persist().await;
    }
    let handler_state = Arc::clone(&state);
    let handler: server::Handler = Arc::new(move |request| {
        let state = Arc::clone(&handler_state);
        Box::pin(async move { members::handle(&state, &request).await })
    });
    tokio::spawn(server::run_within(
        listener,
        Arc::clone(&state.listeners.processes),
        stopped.clone(),
        handler,
    ));
    let seeds = state.settings.seeds.clone();
    state.peers.lock().directory.set_seeds(&seeds);
    members::follow(&state, &seeds);
    tokio::spawn(allotments::maintain(Arc::clone(&state), stopped.clone()));
    tokio::spawn(Arc::clone(&state.memory).watch(stopped.clone()));
    // A process that is the only one needs nobody else for the first list.
    election::decide(&state).await;
    tokio::spawn(election::maintain(Arc::clone(&state), stopped.clone()));
    tokio::spawn(maintenance::maintain(Arc::clone(&state), stopped));
    let votes = state.consensus.lock().roster.own().votes;
    info!(event = "registry-started", address = state.settings.listen.to_string().as_str(), votes = votes; "registry process is listening for other processes");
    Ok(Registry { state })
}

fn listeners(limits: &Limits, memory: &Arc<Budget>) -> Listeners {
    let shares = Shares::registry(limits.descriptors);
    let limit = |name, connections| Limit::new(name, connections, Arc::clone(memory));
    Listeners {
        processes: limit("processes", shares.processes),
        operators: limit("operators", shares.calls),
    }
}

fn highest_promised(replica: &Replica) -> Ballot {
    let promised = replica.entries().iter().map(|e| e.promised);
    promised.max().unwrap_or_default()
}

impl Registry {
    /// The shared state, for the interfaces of operators.
    pub fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }

    /// Replaces the seeds by those of a changed configuration, and starts to follow them.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.state.peers.lock().directory.set_seeds(seeds);
        members::follow(&self.state, seeds);
    }

    /// Leaves the voters before a stop if another process is ready to replace this one.
    pub async fn hand_over(&self) {
        election::hand_over(&self.state).await;
    }

    /// Stops: later requests get no reply, and the other processes are no longer followed.
    pub fn stop(&self) {
        self.state.stop.send_replace(true);
    }
}

/// The items in force, or `None` while this process cannot know them: it cannot copy the registers of a
/// quorum, or an uncommitted item may still be committed.
pub async fn in_force(state: &Arc<State>) -> Option<Vec<Arc<Item>>> {
    if !members::confirm(state).await {
        return None;
    }
    let consensus = state.consensus.lock();
    if consensus.replica.uncommitted().next().is_some() {
        return None;
    }
    let items = consensus.replica.committed();
    let items = items.filter(|item| item.key.kind != Kind::Voters);
    Some(items.cloned().collect())
}
