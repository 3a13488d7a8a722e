//! Control processes in this process, each on a runtime of its own.
//!
//! A runtime that is dropped ends its tasks where they are, as a kill would.
//! Between each two processes is a [`Forward`], which delays or cuts.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time;

use crate::forward::Forward;
use shallotrill_control::run;
use shallotrill_control::run::Control;
use shallotrill_control_client::claim;
use shallotrill_model::region;
use shallotrill_process::settings::Role;
use shallotrill_process::settings::Settings;
use shallotrill_rpc::link;
use shallotrill_rpc::link::Link;

/// Port of the RPC listener of the first process.
const RPC_PORT: u16 = 7_301;
/// Port of the operator listener of the first process.
const OPERATOR_PORT: u16 = 7_401;
/// Longest wait for the folder of a killed process to be free, and for an address.
const RESTART_LIMIT: Duration = Duration::from_secs(10);
/// Pause before a start is tried again.
const RESTART_PAUSE: Duration = Duration::from_millis(50);

/// The region of the group.
pub const REGION: &str = "waikato";

/// A running control process.
struct Running {
    runtime: Runtime,
    control: Control,
}

/// Three control processes.
pub struct Group {
    ip: Ipv4Addr,
    folder: PathBuf,
    settings: Vec<Settings>,
    running: Vec<Option<Running>>,
    /// From each process (first index) to each other one.
    forwards: Vec<Vec<Option<Forward>>>,
    links: Vec<Link>,
}

impl std::fmt::Debug for Group {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Group")
            .field("ip", &self.ip)
            .finish_non_exhaustive()
    }
}

impl Group {
    /// Starts `count` processes whose files go to `folder`, `delay` apart one way.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub async fn start(
        ip: Ipv4Addr,
        folder: &Path,
        count: usize,
        delay: Duration,
    ) -> io::Result<Self> {
        let mut group = Self {
            ip,
            folder: folder.to_owned(),
            settings: Vec::new(),
            running: (0..count).map(|_| None).collect(),
            forwards: Vec::new(),
            links: Vec::new(),
        };
        for from in 0..count {
            let mut row = Vec::new();
            for to in 0..count {
                row.push(group.forward(from, to, delay).await?);
            }
            group.forwards.push(row);
            let rpc = group.address(RPC_PORT, from);
            group.links.push(Link::new(rpc, link::Config::default()));
        }
        for index in 0..count {
            let settings = group.parse(index)?;
            group.settings.push(settings);
            group.restart(index).await?;
        }
        Ok(group)
    }

    async fn forward(
        &self,
        from: usize,
        to: usize,
        delay: Duration,
    ) -> io::Result<Option<Forward>> {
        if from == to {
            return Ok(None);
        }
        let listen = SocketAddr::new(IpAddr::V4(self.ip), 0);
        let target = self.address(RPC_PORT, to);
        Forward::start(listen, target, delay).await.map(Some)
    }

    fn address(&self, port: u16, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port + index as u16)
    }

    /// Addresses for operators.
    pub fn operators(&self) -> Vec<SocketAddr> {
        (0..self.running.len())
            .map(|index| self.address(OPERATOR_PORT, index))
            .collect()
    }

    fn data(&self, index: usize) -> PathBuf {
        self.folder.join(format!("control-{}", index + 1))
    }

    fn parse(&self, index: usize) -> io::Result<Settings> {
        let peers: Vec<String> = self.forwards[index]
            .iter()
            .enumerate()
            .filter_map(|(to, forward)| forward.as_ref().map(|forward| (to + 1, forward)))
            .map(|(id, forward)| {
                let address = forward.address();
                format!("{{ id = {id}, address = \"{address}\", zone = \"zone-{id}\" }}")
            })
            .collect();
        let id = index + 1;
        let voters: Vec<String> = (1..=self.running.len().min(3))
            .map(|id| id.to_string())
            .collect();
        let text = format!(
            "[process]\ninstance = \"control-{id}\"\nzone = \"zone-{id}\"\nregion = \"{REGION}\"\n\
             [control]\nid = {id}\nrpc_listen = \"{}\"\noperator_listen = \"{}\"\n\
             data_folder = \"{}\"\npeers = [{}]\nvoters = [{}]\n",
            self.address(RPC_PORT, index),
            self.address(OPERATOR_PORT, index),
            self.data(index).display(),
            peers.join(", "),
            voters.join(", "),
        );
        Settings::parse(&text, Path::new("group.toml")).map_err(io::Error::other)
    }

    /// Ends a process where it is.
    pub fn kill(&mut self, index: usize) {
        if let Some(running) = self.running[index].take() {
            running.runtime.shutdown_background();
        }
    }

    /// Ends a process and removes its disk.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn lose_disk(&mut self, index: usize) -> io::Result<()> {
        self.kill(index);
        let moved = self
            .folder
            .join(format!("lost-{index}-{}", rand::random::<u32>()));
        fs::rename(self.data(index), moved)
    }

    /// Stops a process gracefully.
    ///
    /// # Errors
    ///
    /// Returns the error of the task.
    pub async fn stop(&mut self, index: usize) -> io::Result<bool> {
        let Some(running) = self.running[index].take() else {
            return Ok(true);
        };
        let stopping = running.control.stop(std::future::pending());
        let whole = running.runtime.spawn(stopping).await;
        running.runtime.shutdown_background();
        whole.map_err(io::Error::other)
    }

    /// Starts a process on the disk that it has, unless it runs.
    ///
    /// # Errors
    ///
    /// Returns the last reason when it does not start in time.
    pub async fn restart(&mut self, index: usize) -> io::Result<()> {
        if self.running[index].is_some() {
            return Ok(());
        }
        let end = time::Instant::now() + RESTART_LIMIT;
        loop {
            match self.try_start(index).await {
                Ok(running) => {
                    self.running[index] = Some(running);
                    return Ok(());
                }
                Err(error) if time::Instant::now() >= end => return Err(error),
                // The folder or the address of the ended process is not free yet.
                Err(_) => time::sleep(RESTART_PAUSE).await,
            }
        }
    }

    async fn try_start(&self, index: usize) -> io::Result<Running> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name(format!("control-{}", index + 1))
            .enable_all()
            .build()?;
        let settings = self.settings[index].clone();
        let started = runtime.spawn(async move {
            match &settings.role {
                Role::Control(control) => run::start(&settings, control)
                    .await
                    .map_err(|error| io::Error::other(error.to_string())),
                Role::Node(_) => Err(io::Error::other("no control process")),
            }
        });
        match started.await.map_err(io::Error::other).flatten() {
            Ok(control) => Ok(Running { runtime, control }),
            Err(error) => {
                runtime.shutdown_background();
                Err(error)
            }
        }
    }

    /// Cuts or restores all connections of one process: what it sends and what it hears.
    pub fn cut(&self, index: usize, sends: bool, hears: bool) {
        for (other, row) in self.forwards.iter().enumerate() {
            if let Some(forward) = &row[index] {
                forward.cut(hears, sends);
            }
            if let Some(forward) = &self.forwards[index][other] {
                forward.cut(sends, hears);
            }
        }
    }

    /// Bytes that the connections between the processes have carried, in both directions.
    pub fn wire_bytes(&self) -> u64 {
        let forwards = self.forwards.iter().flatten().flatten();
        forwards.map(Forward::bytes).sum()
    }

    /// Address of one process as another one reaches it, through the network between them.
    pub fn address_from(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.forwards[from][to].as_ref().map(Forward::address)
    }

    /// The connection to the RPC listener of a process, for questions of any kind.
    pub fn link(&self, index: usize) -> &Link {
        &self.links[index]
    }

    /// Asks one process about a claim, as a node does.
    ///
    /// # Errors
    ///
    /// Returns the failure when it gives no answer in time.
    pub async fn claim(
        &self,
        index: usize,
        ask: &claim::Request,
        limit: Duration,
    ) -> Result<claim::Reply, link::Failure> {
        self.links[index].call(claim::METHOD, ask, limit).await
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for index in 0..self.running.len() {
            self.kill(index);
        }
    }
}

/// The region of the group as a name.
///
/// # Panics
///
/// Never, since the name is valid.
pub fn region() -> region::Name {
    region::Name::new(REGION).expect("the name is valid")
}
