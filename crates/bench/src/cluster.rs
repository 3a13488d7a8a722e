//! Starts the processes of one small installation on this machine.
//!
//! Each installation reserves an address in the loopback range, so that several
//! can run at once with the same ports. Processes are signalled by process id
//! only.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;

/// Port that reserves an address of the loopback range while it is bound.
const RESERVATION_PORT: u16 = 6999;
/// Addresses of one process id; the last byte is never 0 or 255.
const ADDRESSES_PER_PROCESS: u32 = 250;
/// First port of the RPC listeners of control processes.
const RPC_PORT: u16 = 7000;
/// First port of the operator listeners of control processes.
const OPERATOR_PORT: u16 = 7100;
/// First port of the caller listeners of nodes.
const CALLER_PORT: u16 = 8000;
/// First port of the peer listeners of nodes.
const PEER_PORT: u16 = 9000;
/// First port of the announce listeners of nodes.
const ANNOUNCE_PORT: u16 = 10_000;
/// First port of the stand-in backend servers.
const BACKEND_PORT: u16 = 11_000;

/// Interval at which a process is polled for its exit status.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A service with its targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// Service name.
    pub name: &'static str,
    /// Number of targets.
    pub targets: u16,
    /// Concurrent requests of one target.
    pub slots: u32,
    /// Time that a target takes for one request.
    pub service_time: Duration,
    /// Path on which the backend server exits, to simulate a request that crashes it.
    pub crash_path: Option<&'static str>,
}

/// Processes, folders and addresses of an installation.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Folder of the built programs.
    pub program_folder: PathBuf,
    /// Folder for settings, data and logs.
    pub folder: PathBuf,
    /// Address of all listeners.
    pub ip: Ipv4Addr,
    /// Region of all instances.
    pub region: &'static str,
    /// Availability zones; one control process runs in each.
    pub zones: Vec<&'static str>,
    /// The services.
    pub services: Vec<Service>,
    /// Log level of nodes and control processes.
    pub log_level: &'static str,
}

/// A child process with the command line to start or restart it.
#[derive(Debug)]
pub struct Process {
    /// Name in messages; also the stem of the log file.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

/// An instance: a node and its local stand-in backend server.
#[derive(Debug)]
pub struct Instance {
    /// Instance name.
    pub instance_name: String,
    /// Service of the backend server.
    pub service: &'static str,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for announcements and the state dump.
    pub announce: SocketAddr,
    /// Address of the backend server.
    pub backend_address: SocketAddr,
    /// File with the idempotency keys of the requests that the backend server ran, one per line, over all its incarnations.
    pub journal: PathBuf,
    /// The node.
    pub node: Process,
    /// The backend server.
    pub backend: Process,
}

/// A node without a backend server.
#[derive(Debug)]
pub struct EntryNode {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for the state dump.
    pub announce: SocketAddr,
    /// The node.
    pub node: Process,
}

/// A running installation.
#[derive(Debug)]
pub struct Cluster {
    /// The control processes.
    pub controls: Vec<Process>,
    /// Addresses for operators, in the order of the control processes.
    pub operators: Vec<SocketAddr>,
    /// The nodes with their backend servers.
    pub instances: Vec<Instance>,
}

/// Reserves an address in the loopback range until this process ends.
///
/// Two installations on one address would take each other's ports: a control process that is started while a
/// process of the other installation is down joins the wrong group.
///
/// # Errors
///
/// Returns the error of the system when an address cannot be bound, and one of kind `AddrInUse` when none is free.
pub fn reserve_ip() -> io::Result<Ipv4Addr> {
    static RESERVED: AtomicU32 = AtomicU32::new(0);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    for _ in 0..ADDRESSES_PER_PROCESS {
        let number = RESERVED.fetch_add(1, Ordering::Relaxed) % ADDRESSES_PER_PROCESS;
        // The second byte is never 0, so 127.0.0.1 is never returned.
        let ip = Ipv4Addr::new(127, 1 + high % 250, low, 1 + number as u8);
        match TcpListener::bind((ip, RESERVATION_PORT)) {
            Ok(reservation) => {
                // The system closes the listener when the process ends. Child processes do not inherit it.
                std::mem::forget(reservation);
                return Ok(ip);
            }
            // Reserved by this process before, or by one whose id has the same last 16 bits.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Returns the build folder with the programs, found from the path of the running test or example.
///
/// # Errors
///
/// Returns the error of the system when the path of the running program is not known.
pub fn program_folder() -> io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let mut folder = executable
        .parent()
        .map(Path::to_path_buf)
        .unwrap_or_default();
    while folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    Ok(folder)
}

impl Process {
    fn new(name: String, program: PathBuf, arguments: Vec<String>, folder: &Path) -> Self {
        let log = folder.join(format!("{name}.log"));
        Self {
            name,
            program,
            arguments,
            log,
            child: None,
        }
    }

    /// Starts the process; its output goes to its log file.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|error| {
                let program = self.program.display();
                io::Error::new(error.kind(), format!("{program}: {error}"))
            })?;
        self.child = Some(child);
        Ok(())
    }

    /// Path of the log file.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Process id; `None` when the process was not started or was waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match &self.child {
            Some(child) => Ok(rustix::process::kill_process(
                Pid::from_child(child),
                signal,
            )?),
            None => Ok(()),
        }
    }

    /// Kills the process with SIGKILL, to simulate a crash, and waits for it.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends SIGTERM and waits for the process to exit; it is killed after `timeout`, and then the status is `None`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn stop(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        self.signal(Signal::TERM)?;
        self.wait(timeout)
    }

    /// Waits for the process to exit; it is killed after `timeout`, and then the status is `None`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let end = Instant::now() + timeout;
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        loop {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(Some(status));
            }
            if Instant::now() >= end {
                self.kill()?;
                return Ok(None);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns whether the process was started and has not exited.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // `drop` cannot report an error; a process that cannot be killed stays visible in the process list.
        drop(self.kill());
    }
}

impl Cluster {
    /// Writes the settings and starts every process.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when a file cannot be written or a program not started.
    pub fn start(layout: &Layout) -> io::Result<Self> {
        fs::create_dir_all(&layout.folder)?;
        let mut controls = Vec::new();
        let mut operators = Vec::new();
        for index in 0..layout.zones.len() {
            controls.push(layout.control_process(index)?);
            operators.push(layout.address(OPERATOR_PORT, index));
        }
        let mut instances = Vec::new();
        for service in &layout.services {
            for number in 0..service.targets {
                instances.push(layout.instance(instances.len(), service, number)?);
            }
        }
        let mut cluster = Self {
            controls,
            operators,
            instances,
        };
        for control in &mut cluster.controls {
            control.start()?;
        }
        for instance in &mut cluster.instances {
            instance.node.start()?;
            instance.backend.start()?;
        }
        Ok(cluster)
    }

    /// Stops every process gracefully: nodes first, then backend servers, then control processes.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn stop(&mut self) -> io::Result<()> {
        let timeout = Duration::from_secs(10);
        for instance in &self.instances {
            instance.node.signal(Signal::TERM)?;
        }
        for instance in &mut self.instances {
            instance.node.stop(timeout)?;
        }
        for instance in &mut self.instances {
            instance.backend.kill()?;
        }
        for control in &self.controls {
            control.signal(Signal::TERM)?;
        }
        for control in &mut self.controls {
            control.stop(timeout)?;
        }
        Ok(())
    }
}

impl Layout {
    fn address(&self, port: u16, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port + 1 + index as u16)
    }

    fn control_list(&self, except: Option<usize>, with_ids: bool) -> String {
        let lines: Vec<String> = self
            .zones
            .iter()
            .enumerate()
            .filter(|(index, _)| Some(*index) != except)
            .map(|(index, zone)| {
                let address = self.address(RPC_PORT, index);
                let id = if with_ids {
                    format!("id = {}, ", index + 1)
                } else {
                    String::new()
                };
                format!("    {{ {id}address = \"{address}\", zone = \"{zone}\" }},")
            })
            .collect();
        lines.join("\n")
    }

    fn common_settings(&self, instance_name: &str, zone: &str) -> String {
        let region = self.region;
        let log_level = self.log_level;
        format!(
            "[process]\ninstance = \"{instance_name}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\n\
             [log]\nlevel = \"{log_level}\"\n\n"
        )
    }

    fn control_process(&self, index: usize) -> io::Result<Process> {
        let zone = self.zones[index];
        let id = index + 1;
        let name = format!("{zone}-control");
        let data = self.folder.join(format!("{name}.data"));
        let data = data.display();
        let voters: Vec<String> = (1..=self.zones.len()).map(|id| id.to_string()).collect();
        let text = format!(
            "{}[control]\nid = {id}\nrpc_listen = \"{}\"\noperator_listen = \"{}\"\n\
             data_folder = \"{data}\"\npeers = [\n{}\n]\nvoters = [{}]\n",
            self.common_settings(&name, zone),
            self.address(RPC_PORT, index),
            self.address(OPERATOR_PORT, index),
            self.control_list(Some(index), true),
            voters.join(", "),
        );
        self.process(name, &text)
    }

    /// Prepares a node without a backend server; `settings` are added to its `[node]`.
    ///
    /// `index` selects the ports and the availability zone, and must be greater than the indexes of all instances.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when its settings cannot be written.
    pub fn entry_node(
        &self,
        index: usize,
        instance_name: &str,
        settings: &str,
    ) -> io::Result<EntryNode> {
        let zone = self.zones[index % self.zones.len()];
        let text = self.node(index, instance_name, zone, settings);
        Ok(EntryNode {
            caller: self.address(CALLER_PORT, index),
            announce: self.address(ANNOUNCE_PORT, index),
            node: self.process(instance_name.to_owned(), &text)?,
        })
    }

    /// Formats the settings file of a node.
    fn node(&self, index: usize, instance_name: &str, zone: &str, settings: &str) -> String {
        format!(
            "{}[node]\ncaller_listen = \"{}\"\npeer_listen = \"{}\"\n\
             announce_listen = \"{}\"\ncontrol = [\n{}\n]\n{settings}",
            self.common_settings(instance_name, zone),
            self.address(CALLER_PORT, index),
            self.address(PEER_PORT, index),
            self.address(ANNOUNCE_PORT, index),
            self.control_list(None, false),
        )
    }

    fn instance(&self, index: usize, service: &Service, number: u16) -> io::Result<Instance> {
        let zone = self.zones[index % self.zones.len()];
        let instance_name = format!("{zone}-{}-{}", service.name, number + 1);
        let announce = self.address(ANNOUNCE_PORT, index);
        let caller = self.address(CALLER_PORT, index);
        let text = self.node(index, &instance_name, zone, "");
        let backend_address = self.address(BACKEND_PORT, index);
        let mut arguments = vec![
            "--listen".to_owned(),
            backend_address.to_string(),
            "--node".to_owned(),
            announce.to_string(),
            "--service".to_owned(),
            service.name.to_owned(),
            "--slots".to_owned(),
            service.slots.to_string(),
            "--service-us".to_owned(),
            service.service_time.as_micros().to_string(),
        ];
        if let Some(path) = service.crash_path {
            arguments.push("--crash-path".to_owned());
            arguments.push(path.to_owned());
        }
        let program = self.program_folder.join("examples").join("backend");
        let name = format!("{instance_name}-backend");
        let journal = self.folder.join(format!("{name}.journal"));
        arguments.push("--journal".to_owned());
        arguments.push(journal.display().to_string());
        Ok(Instance {
            node: self.process(instance_name.clone(), &text)?,
            backend: Process::new(name, program, arguments, &self.folder),
            service: service.name,
            instance_name,
            caller,
            announce,
            backend_address,
            journal,
        })
    }

    fn process(&self, name: String, settings: &str) -> io::Result<Process> {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let arguments = vec![
            "run".to_owned(),
            "--settings".to_owned(),
            path.display().to_string(),
        ];
        let program = self.program_folder.join("shallotrill");
        Ok(Process::new(name, program, arguments, &self.folder))
    }
}
