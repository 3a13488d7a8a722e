//! Starts and stops the registry role.

use std::error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::sync::watch;

use crate::announcements;
use crate::members;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::Agreement;
use crate::state::State;
use crate::store;
use crate::store::Content;
use shallotrill_feed::server;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::item::Item;
use shallotrill_items::replica::Replica;
use shallotrill_items::roster::Member;
use shallotrill_items::roster::Roster;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_process::metrics;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Listener;

/// Most connections of other processes: two for each router and registry process.
const CONNECTIONS_MAX: usize = 3_000;

/// The registers of so many others must have been copied within this time for an answer on what is in force.
const FRESH: Duration = Duration::from_secs(2);

/// Why a registry process could not be started.
#[derive(Debug)]
pub enum Error {
    /// The address cannot be listened on.
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

/// Starts a registry process. Waits while its disk refuses.
///
/// # Errors
///
/// Returns [`Error`] when the address cannot be listened on.
pub async fn start(mut settings: Settings) -> Result<Registry, Error> {
    let listener = Listener::bind(settings.listen)
        .await
        .map_err(Error::Listen)?;
    settings.listen = listener.address();
    let (store, identity, content) = store::open(&settings.folder).await;
    let clock = settings.clock;
    let remembered = content.as_ref().is_some_and(|c| c.votes);
    let Content { replica, .. } = content.unwrap_or(Content {
        votes: false,
        replica: Replica::default(),
    });
    let own = Member {
        identity,
        address: settings.address(),
        votes: remembered || settings.first_start,
    };
    let (changed, _) = watch::channel(0);
    let (stop, stopped) = watch::channel(false);
    let state = Arc::new(State {
        session: clock.wall().0,
        proposer: Identity(rand::random()),
        clock,
        announcements: Mutex::new(Rank::Membership, announcements::Table::default()),
        peers: Mutex::new(Rank::Pool, Vec::new()),
        agreement: Mutex::new(
            Rank::Consensus,
            Agreement {
                seen: highest(&replica),
                replica,
                roster: Roster::new(own, settings.tolerated_disks),
                changes: 1,
            },
        ),
        changed,
        stop,
        metrics: Metrics::new().map_err(Error::Metrics)?,
        store,
        settings,
    });
    let answering = Arc::clone(&state);
    let handler: server::Handler = Arc::new(move |request| {
        let state = Arc::clone(&answering);
        Box::pin(async move { members::answer(&state, &request).await })
    });
    tokio::spawn(server::run(
        listener,
        CONNECTIONS_MAX,
        stopped.clone(),
        handler,
    ));
    let seeds = state.settings.seeds.clone();
    members::meet(&state, &seeds);
    tokio::spawn(members::upkeep(Arc::clone(&state), stopped));
    info!(event = "registry-started", address = state.settings.listen.to_string().as_str(), votes = own.votes; "");
    Ok(Registry { state })
}

fn highest(replica: &Replica) -> Ballot {
    let promised = replica.entries().iter().map(|e| e.promised);
    promised.max().unwrap_or_default()
}

impl Registry {
    /// The state, for the interfaces of operators.
    pub fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }

    /// Follows other seeds from now on.
    pub fn reseed(&self, seeds: &[std::net::SocketAddr]) {
        members::meet(&self.state, seeds);
    }

    /// Stops: later messages get no answer, and no other process is followed.
    pub fn stop(&self) {
        self.state.stop.send_replace(true);
    }
}

/// The items in force, or nothing while this replica cannot know them: it has not heard a
/// majority lately, or an item may be settled in another way.
pub fn in_force(state: &State) -> Option<Vec<Arc<Item>>> {
    let now = state.now();
    let peers = state.peers();
    let fresh = peers.iter().filter(|peer| {
        let copied = *peer.copied.lock();
        copied.is_some_and(|at| now.since(at) < FRESH)
    });
    let fresh = fresh.count() + 1;
    let agreement = state.agreement.lock();
    if fresh < agreement.roster.quorum(now) || agreement.replica.uncommitted().next().is_some() {
        return None;
    }
    Some(agreement.replica.committed().cloned().collect())
}
