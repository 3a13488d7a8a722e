//! Starts and stops a control process: opens its data folder, starts its servers and background tasks.

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
use shallotrill_process::process::ProcessMetadata;
use shallotrill_process::settings::Settings;
use shallotrill_process::settings::control;
use shallotrill_replica::peers::Endpoint;
use shallotrill_replica::peers::Peers;
use shallotrill_rpc::link;
use shallotrill_rpc::server;

/// Name of the claim journal in the data folder.
const CLAIMS_JOURNAL: &str = "claims";

/// Divisor of the claim memory limit: this share is reserved for responses to keys already stored.
const RESERVE_DIVISOR: usize = 10;

const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a control process could not be started.
#[derive(Debug)]
pub enum Error {
    /// The data folder or its content failed.
    Disk(Failure),
    /// The replicated log could not be read from the disk.
    Store(store::Error),
    /// A record of the claim journal has an unsupported format; contains its position.
    Claims(u64),
    /// The RPC server could not be started.
    Rpc(server::Error),
    /// The operator server could not be started.
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
                write!(
                    f,
                    "the claim journal record at position {position} has an unsupported format"
                )
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

/// Addresses of a running control process. A configured port 0 is replaced by the port that the system assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Listen address for nodes and other control processes.
    pub rpc: SocketAddr,
    /// Listen address for operators.
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
/// Returns [`Error`] when the data folder is corrupted or in use, or when a listen address cannot be bound.
pub async fn start(settings: &Settings, control: &control::Settings) -> Result<Control, Error> {
    let folder = Folder::open(&control.data_folder).map_err(Error::Disk)?;
    let mut store = Store::open(&folder).map_err(Error::Store)?;
    let state = Arc::new(build(settings, control, &folder)?);
    // Set before the first request is served: otherwise other processes would treat this one as new.
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
    let (failed_sender, failed) = watch::channel(false);
    let voters = control.voters.clone();
    let shared = Arc::clone(&state);
    let driver = tokio::spawn(async move {
        // Keeps the lock of the data folder while the driver runs.
        let _folder = folder;
        let run = async {
            bootstrap::run(&shared, &mut store, &voters).await?;
            driver::run(shared, store).await
        };
        if let Err(error) = run.await {
            error!(event = "log-failed"; "replicated log failed: {error}");
            failed_sender.send_replace(true);
        }
    });
    members::start_exchanges(&state);
    let tasks = vec![
        driver,
        tokio::spawn(members::expire(Arc::clone(&state))),
        tokio::spawn(join::run(Arc::clone(&state))),
        tokio::spawn(group::run(Arc::clone(&state))),
        tokio::spawn(claims::record_start_number(Arc::clone(&state))),
        tokio::spawn(claims::expire_grants(Arc::clone(&state))),
        tokio::spawn(retention::run(Arc::clone(&state))),
    ];
    info!(
        event = "control-started",
        rpc = addresses.rpc.to_string().as_str(),
        operator = addresses.operator.to_string().as_str();
        "control process started"
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
        driver_wake: Notify::new(),
        applied: watch::Sender::new(0),
        changed: watch::Sender::new(0),
        current_at_us: AtomicU64::new(0),
        process: ProcessMetadata::start(env!("CARGO_PKG_VERSION")),
        metrics: Metrics::new().map_err(Error::Metrics)?,
        identity,
        clock,
    })
}

/// Restores the registers from the journal. [`claims::record_start_number`] records the start number before any round is run.
fn open_claims(
    control: &control::Settings,
    folder: &Folder,
    identity: &Identity,
) -> Result<(Claims, Journal), Error> {
    let limit_bytes = usize::try_from(control.claim_bytes_max).unwrap_or(usize::MAX);
    let config = acceptor::Config {
        member: epoch::Member(identity::member_number(identity.peer.id)),
        disk: identity.claim_disk(),
        limit_bytes: limit_bytes - limit_bytes / RESERVE_DIVISOR,
        reserve_bytes: limit_bytes / RESERVE_DIVISOR,
    };
    let mut acceptor = Acceptor::new(config);
    let mut start = 0;
    let mut unreadable = None;
    let mut sink = |event: Event<'_>| {
        if let Err(position) = replay(&mut acceptor, &mut start, event) {
            unreadable.get_or_insert(position);
        }
    };
    let journal = Journal::open(
        folder,
        CLAIMS_JOURNAL,
        journal::Config::default(),
        &mut sink,
    )
    .map_err(Error::Disk)?;
    if let Some(position) = unreadable {
        return Err(Error::Claims(position));
    }
    let mut claims = Claims::new(acceptor, identity.member(), start + 1);
    claims.track_all();
    Ok((claims, journal))
}

fn replay(acceptor: &mut Acceptor, start: &mut u64, event: Event<'_>) -> Result<(), u64> {
    match event {
        Event::Snapshot { covers, bytes } => {
            let (last_start, writes): (u64, Vec<Write>) =
                postcard::from_bytes(bytes).or(Err(covers.0))?;
            *start = last_start;
            for write in writes {
                acceptor.apply(write);
            }
        }
        Event::Frame {
            position,
            kind: claims::START_NUMBER,
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
    let shared = Arc::clone(state);
    let dump_state = Arc::clone(state);
    let metrics_state = Arc::clone(state);
    operator::Handlers {
        statement: Box::new(move |request| Box::pin(statements::run(Arc::clone(&shared), request))),
        state: Box::new(move || dump::state(&dump_state)),
        metrics: Box::new(move || metrics_state.metrics.registry.text().unwrap_or_default()),
    }
}

impl Control {
    /// The listen addresses, with assigned ports.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Waits until the replicated log fails, after which the process cannot serve requests.
    pub async fn failed(&self) {
        let mut failed = self.failed.clone();
        if failed.wait_for(|failed| *failed).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Stops the process after the requests in flight are answered.
    ///
    /// `force` ends the wait early. Returns whether every request in flight was answered.
    pub async fn stop(self, force: impl Future<Output = ()>) -> bool {
        info!(event = "control-stopping"; "control process stops; waiting for requests in flight");
        let closing = async {
            let closed = self.operator.close().await;
            if let Err(error) = closed {
                error!(event = "operator-not-closed"; "cannot close the operator server: {error}");
            }
            self.rpc.stop().await;
        };
        let finished = tokio::select! {
            () = closing => true,
            () = time::sleep(STOP_TIMEOUT) => false,
            () = force => false,
        };
        for task in self.tasks {
            task.abort();
        }
        info!(event = "control-stopped", whole = finished; "control process stopped");
        finished
    }
}
