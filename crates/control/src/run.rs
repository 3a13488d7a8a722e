//! Starts and stops the control role.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use log::error;
use log::info;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::bootstrap;
use crate::claims;
use crate::claims::Claims;
use crate::driver;
use crate::dump;
use crate::group;
use crate::identity;
use crate::identity::Identity;
use crate::join;
use crate::members;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::retention;
use crate::rpc;
use crate::state::Log;
use crate::state::State;
use crate::statements;
use crate::store;
use crate::store::Store;
use shallotrill_catalog::state::State as Catalog;
use shallotrill_claim::acceptor;
use shallotrill_claim::acceptor::Acceptor;
use shallotrill_claim::epoch;
use shallotrill_claim::journal::Write;
use shallotrill_consensus::disk;
use shallotrill_consensus::member;
use shallotrill_disk::failure::Failure;
use shallotrill_disk::folder::Folder;
use shallotrill_disk::journal;
use shallotrill_disk::journal::Journal;
use shallotrill_disk::replay::Event;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_membership::config::Config as MembershipConfig;
use shallotrill_membership::owner::Owner;
use shallotrill_membership::table::Table;
use shallotrill_operator::server as operator;
use shallotrill_process::clock::Clock;
use shallotrill_process::log as process_log;
use shallotrill_process::metrics;
use shallotrill_process::process::Process;
use shallotrill_process::settings::Settings;
use shallotrill_process::settings::control;
use shallotrill_replica::peers::Endpoint;
use shallotrill_replica::peers::Peers;
use shallotrill_rpc::link;
use shallotrill_rpc::server;

/// Name of the journal of claims in the data folder.
const CLAIMS: &str = "claims";

/// Share of the memory for claims that is kept for answers to known keys, as a divisor.
const RESERVE_DIVISOR: usize = 10;

/// Longest wait for questions in flight when the process stops.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Why a control process could not be started.
#[derive(Debug)]
pub enum Error {
    /// The data folder or its content failed.
    Disk(Failure),
    /// The log could not be read back.
    Store(store::Error),
    /// A record of the claims has a form that this program does not read; holds its position.
    Claims(u64),
    /// The RPC address cannot be listened on.
    Rpc(server::Error),
    /// The operator address cannot be listened on.
    Operator(operator::Error),
    /// The metrics could not be registered.
    Metrics(metrics::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(cause) => cause.fmt(f),
            Self::Store(cause) => cause.fmt(f),
            Self::Claims(position) => {
                write!(f, "the claim record at {position} has an unknown form")
            }
            Self::Rpc(cause) => cause.fmt(f),
            Self::Operator(cause) => cause.fmt(f),
            Self::Metrics(cause) => cause.fmt(f),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Disk(cause) => Some(cause),
            Self::Store(cause) => Some(cause),
            Self::Claims(_) => None,
            Self::Rpc(cause) => Some(cause),
            Self::Operator(cause) => Some(cause),
            Self::Metrics(cause) => Some(cause),
        }
    }
}

/// Addresses of a running control process, with the ports that the system chose where none was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For nodes and other control processes.
    pub rpc: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// A running control process.
#[derive(Debug)]
pub struct Control {
    addresses: Addresses,
    rpc: server::Handle,
    operator: operator::Server,
    tasks: Vec<JoinHandle<()>>,
    failed: watch::Receiver<bool>,
}

/// Starts a control process.
///
/// # Errors
///
/// Returns [`Error`] when the data folder is damaged or in use, or an address cannot be listened on.
pub async fn start(settings: &Settings, control: &control::Settings) -> Result<Control, Error> {
    let folder = Folder::open(&control.data_folder).map_err(Error::Disk)?;
    let mut store = Store::open(&folder).map_err(Error::Store)?;
    let state = Arc::new(build(settings, control, &folder)?);
    // Known before the first question is answered: others must not take this process for a new one.
    state.log.lock().formed = store.formed().cloned();
    state.peers.start();
    let (rpc, rpc_address) = rpc::serve(Arc::clone(&state), control.rpc_listen)
        .await
        .map_err(Error::Rpc)?;
    let config = operator::Config::new(control.operator_listen).logger(process_log::slog_logger());
    let operator = operator::start(config, handlers(&state)).map_err(Error::Operator)?;
    let addresses = Addresses {
        rpc: rpc_address,
        operator: operator.address(),
    };
    let (failing, failed) = watch::channel(false);
    let voters = control.voters.clone();
    let shared = Arc::clone(&state);
    let driver = tokio::spawn(async move {
        // The folder is held, and with it locked, as long as the driver runs.
        let _folder = folder;
        let run = async {
            bootstrap::run(&shared, &mut store, &voters).await?;
            driver::run(shared, store).await
        };
        if let Err(error) = run.await {
            error!(event = "log-failed"; "{error}");
            failing.send_replace(true);
        }
    });
    members::start_exchanges(&state);
    let tasks = vec![
        driver,
        tokio::spawn(members::expire(Arc::clone(&state))),
        tokio::spawn(join::run(Arc::clone(&state))),
        tokio::spawn(group::run(Arc::clone(&state))),
        tokio::spawn(claims::count(Arc::clone(&state))),
        tokio::spawn(claims::lapse(Arc::clone(&state))),
        tokio::spawn(retention::retire(Arc::clone(&state))),
    ];
    info!(
        event = "control-started",
        rpc = addresses.rpc.to_string().as_str(),
        operator = addresses.operator.to_string().as_str();
        "the control process answers"
    );
    Ok(Control {
        addresses,
        rpc,
        operator,
        tasks,
        failed,
    })
}

fn build(
    settings: &Settings,
    control: &control::Settings,
    folder: &Folder,
) -> Result<State, Error> {
    let clock = Clock::start();
    let identity = Identity {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer: member::Peer {
            id: member::Id(control.id),
            disk: disk::Identity(folder.identity().0),
        },
        owner: Owner {
            name: settings.instance.clone(),
            start: clock.wall().0,
        },
    };
    let endpoints: Vec<Endpoint> = control
        .peers
        .iter()
        .filter(|peer| peer.id != control.id)
        .map(|peer| Endpoint {
            id: peer.id,
            address: peer.address,
            zone: peer.zone.clone(),
        })
        .collect();
    let (claims, claims_journal) = open_claims(control, folder, &identity)?;
    let table = Table::new(identity.owner.clone(), MembershipConfig::default());
    Ok(State {
        peers: Peers::new(&endpoints, link::Config::default()),
        retention: control.claim_retention,
        members: Mutex::new(Rank::Membership, Members::new(table)),
        log: Mutex::new(Rank::Consensus, Log::default()),
        catalog: Mutex::new(Rank::Config, Catalog::new()),
        claims: Mutex::new(Rank::Claims, claims),
        claims_journal,
        wake: Notify::new(),
        applied: watch::Sender::new(0),
        changed: watch::Sender::new(0),
        current: AtomicU64::new(0),
        process: Process::start(env!("CARGO_PKG_VERSION")),
        metrics: Metrics::new().map_err(Error::Metrics)?,
        identity,
        clock,
    })
}

/// Reads the registers back. The start is counted by [`claims::count`], before any round is run.
fn open_claims(
    control: &control::Settings,
    folder: &Folder,
    identity: &Identity,
) -> Result<(Claims, Journal), Error> {
    let limit = usize::try_from(control.claim_bytes_max).unwrap_or(usize::MAX);
    let config = acceptor::Config {
        member: epoch::Member(identity::short(identity.peer.id)),
        disk: identity.claim_disk(),
        limit_bytes: limit - limit / RESERVE_DIVISOR,
        reserve_bytes: limit / RESERVE_DIVISOR,
    };
    let mut acceptor = Acceptor::new(config);
    let mut start = 0;
    let mut unreadable = None;
    let mut sink = |event: Event<'_>| {
        if let Err(position) = replay(&mut acceptor, &mut start, event) {
            unreadable.get_or_insert(position);
        }
    };
    let journal = Journal::open(folder, CLAIMS, journal::Config::default(), &mut sink)
        .map_err(Error::Disk)?;
    if let Some(position) = unreadable {
        return Err(Error::Claims(position));
    }
    let mut claims = Claims::new(acceptor, identity.member(), start + 1);
    claims.observe_all();
    Ok((claims, journal))
}

fn replay(acceptor: &mut Acceptor, start: &mut u64, event: Event<'_>) -> Result<(), u64> {
    match event {
        Event::Snapshot { covers, bytes } => {
            let (count, writes): (u64, Vec<Write>) =
                postcard::from_bytes(bytes).or(Err(covers.0))?;
            *start = count;
            for write in writes {
                acceptor.apply(write);
            }
        }
        Event::Frame {
            position,
            kind: claims::START,
            body,
        } => *start = postcard::from_bytes(body).or(Err(position.0))?,
        Event::Frame {
            position,
            kind: claims::WRITE,
            body,
        } => acceptor.apply(postcard::from_bytes(body).or(Err(position.0))?),
        Event::Frame { position, .. } => return Err(position.0),
    }
    Ok(())
}

fn handlers(state: &Arc<State>) -> operator::Handlers {
    let running = Arc::clone(state);
    let dumping = Arc::clone(state);
    let measuring = Arc::clone(state);
    operator::Handlers {
        statement: Box::new(move |order| Box::pin(statements::run(Arc::clone(&running), order))),
        state: Box::new(move || dump::state(&dumping)),
        metrics: Box::new(move || measuring.metrics.registry.text().unwrap_or_default()),
    }
}

impl Control {
    /// The addresses of the control process.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Waits until the log fails, after which the process can do nothing useful.
    pub async fn failed(&self) {
        let mut failed = self.failed.clone();
        if failed.wait_for(|failed| *failed).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Stops: questions in flight are answered, then the process ends.
    ///
    /// `now` ends the wait early. Returns whether every question was answered.
    pub async fn stop(self, now: impl Future<Output = ()>) -> bool {
        info!(event = "control-stopping"; "");
        let closing = async {
            let closed = self.operator.close().await;
            if let Err(error) = closed {
                error!(event = "operator-not-closed"; "{error}");
            }
            self.rpc.stop().await;
        };
        let finished = tokio::select! {
            () = closing => true,
            () = time::sleep(STOP_LIMIT) => false,
            () = now => false,
        };
        for task in self.tasks {
            task.abort();
        }
        info!(event = "control-stopped", whole = finished; "");
        finished
    }
}
