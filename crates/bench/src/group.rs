//! Runs a group of control processes inside this process, each on a separate runtime.
//!
//! Shutting a runtime down stops its tasks at their current await point, which
//! simulates a kill. A [`FaultProxy`] on each connection between two control
//! processes adds delay or blocks traffic.

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

use crate::fault_proxy::FaultProxy;
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
/// Time limit for the data folder and the addresses of a stopped process to become free.
const RESTART_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a failed start is retried.
const RESTART_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Region of all control processes of the group.
pub const REGION: &str = "waikato";

struct RunningControl {
    runtime: Runtime,
    control: Control,
}

/// A group of control processes with fault-injecting connections between them.
pub struct Group {
    ip: Ipv4Addr,
    folder: PathBuf,
    settings: Vec<Settings>,
    running: Vec<Option<RunningControl>>,
    /// Proxies by connecting process and by target process; `None` from a process to itself.
    proxies: Vec<Vec<Option<FaultProxy>>>,
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
    /// Starts `count` processes that store their files in `folder`, with `delay` as one-way network delay between them.
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
            proxies: Vec::new(),
            links: Vec::new(),
        };
        for from in 0..count {
            let mut row = Vec::new();
            for to in 0..count {
                row.push(group.start_proxy(from, to, delay).await?);
            }
            group.proxies.push(row);
            let rpc = group.address(RPC_PORT, from);
            group.links.push(Link::new(rpc, link::Config::default()));
        }
        for index in 0..count {
            let settings = group.parse_settings(index)?;
            group.settings.push(settings);
            group.restart(index).await?;
        }
        Ok(group)
    }

    async fn start_proxy(
        &self,
        from: usize,
        to: usize,
        delay: Duration,
    ) -> io::Result<Option<FaultProxy>> {
        if from == to {
            return Ok(None);
        }
        let listen = SocketAddr::new(IpAddr::V4(self.ip), 0);
        let target = self.address(RPC_PORT, to);
        FaultProxy::start(listen, target, delay).await.map(Some)
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

    fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("control-{}", index + 1))
    }

    fn parse_settings(&self, index: usize) -> io::Result<Settings> {
        let peers: Vec<String> = self.proxies[index]
            .iter()
            .enumerate()
            .filter_map(|(to, proxy)| proxy.as_ref().map(|proxy| (to + 1, proxy)))
            .map(|(id, proxy)| {
                let address = proxy.address();
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
            self.data_folder(index).display(),
            peers.join(", "),
            voters.join(", "),
        );
        Settings::parse(&text, Path::new("group.toml")).map_err(io::Error::other)
    }

    /// Stops the tasks of a process at once, to simulate a kill.
    pub fn kill(&mut self, index: usize) {
        if let Some(running) = self.running[index].take() {
            running.runtime.shutdown_background();
        }
    }

    /// Kills a process and moves its data folder away, to simulate the loss of its disk.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn lose_disk(&mut self, index: usize) -> io::Result<()> {
        self.kill(index);
        let moved = self
            .folder
            .join(format!("lost-{index}-{}", rand::random::<u32>()));
        fs::rename(self.data_folder(index), moved)
    }

    /// Stops a process gracefully; returns whether all requests in flight were answered.
    ///
    /// # Errors
    ///
    /// Returns the error of the task.
    pub async fn stop(&mut self, index: usize) -> io::Result<bool> {
        let Some(running) = self.running[index].take() else {
            return Ok(true);
        };
        let stopping = running.control.stop(std::future::pending());
        let stopped = running.runtime.spawn(stopping).await;
        running.runtime.shutdown_background();
        stopped.map_err(io::Error::other)
    }

    /// Starts a process with its existing data folder, unless it runs.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt when it does not start within 10 s.
    pub async fn restart(&mut self, index: usize) -> io::Result<()> {
        if self.running[index].is_some() {
            return Ok(());
        }
        let end = time::Instant::now() + RESTART_TIMEOUT;
        loop {
            match self.try_start(index).await {
                Ok(running) => {
                    self.running[index] = Some(running);
                    return Ok(());
                }
                Err(error) if time::Instant::now() >= end => return Err(error),
                // The data folder or an address of the stopped process may still be in use.
                Err(_) => time::sleep(RESTART_RETRY_INTERVAL).await,
            }
        }
    }

    async fn try_start(&self, index: usize) -> io::Result<RunningControl> {
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
                Role::Node(_) => Err(io::Error::other(
                    "the settings are not those of a control process",
                )),
            }
        });
        match started.await.map_err(io::Error::other).flatten() {
            Ok(control) => Ok(RunningControl { runtime, control }),
            Err(error) => {
                runtime.shutdown_background();
                Err(error)
            }
        }
    }

    /// Blocks or restores the traffic of one process: what it sends (`outbound`) and what it receives (`inbound`).
    pub fn block(&self, index: usize, outbound: bool, inbound: bool) {
        for (other, row) in self.proxies.iter().enumerate() {
            if let Some(proxy) = &row[index] {
                proxy.block(inbound, outbound);
            }
            if let Some(proxy) = &self.proxies[index][other] {
                proxy.block(outbound, inbound);
            }
        }
    }

    /// Bytes that were sent between the processes, in both directions.
    pub fn wire_bytes(&self) -> u64 {
        let proxies = self.proxies.iter().flatten().flatten();
        proxies.map(FaultProxy::bytes).sum()
    }

    /// Address of the proxy through which one process connects to another; `None` for the process itself.
    pub fn address_from(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.proxies[from][to].as_ref().map(FaultProxy::address)
    }

    /// The RPC connection to a process, for requests of any method.
    pub fn link(&self, index: usize) -> &Link {
        &self.links[index]
    }

    /// Sends a claim request to one process, as a node does.
    ///
    /// # Errors
    ///
    /// Returns the failure when no response arrives within `timeout`.
    pub async fn claim(
        &self,
        index: usize,
        ask: &claim::Request,
        timeout: Duration,
    ) -> Result<claim::Reply, link::Failure> {
        self.links[index].call(claim::METHOD, ask, timeout).await
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for index in 0..self.running.len() {
            self.kill(index);
        }
    }
}

/// Returns [`REGION`] as a validated name.
///
/// # Panics
///
/// Never, since the name is valid.
pub fn region() -> region::Name {
    region::Name::new(REGION).expect("the name is valid")
}
