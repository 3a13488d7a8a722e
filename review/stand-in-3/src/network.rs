//! Forwarders between the processes of the project, which cut the machines into two sides.
//!
//! While the machines are cut, a forwarder passes no byte between the sides, on open and on new connections. It finds
//! the process that opened a connection in the tables of the kernel.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::world::FORWARDERS;
use crate::world::World;

/// Time without bytes after which a copying thread looks at the cut again.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The machines, the ids of their processes, and the cut.
pub struct Network {
    world: Arc<World>,
    machines: Mutex<Vec<(u32, u8)>>,
    /// Machines of one side.
    side: Vec<u8>,
    is_cut: AtomicBool,
}

impl Network {
    /// Creates a network that cuts the machines `side` from all others.
    pub fn new(world: &Arc<World>, side: &[u8]) -> Arc<Self> {
        Arc::new(Self {
            world: Arc::clone(world),
            machines: Mutex::new(Vec::new()),
            side: side.to_vec(),
            is_cut: AtomicBool::new(false),
        })
    }

    /// Records the process of a machine.
    pub fn record(&self, pid: u32, machine: u8) {
        let mut machines = self
            .machines
            .lock()
            .expect("no thread panics with the machines");
        machines.push((pid, machine));
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
        let text = if is_cut { "cut" } else { "joined" };
        self.world
            .record(&format!("network: machines {:?} are {text}", self.side));
    }

    /// Forwards a port of a machine.
    pub fn forward(self: &Arc<Self>, machine: u8, port: u16) {
        let listener = TcpListener::bind(self.world.address(machine + FORWARDERS, port))
            .expect("the address is free");
        let network = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let network = Arc::clone(&network);
                thread::spawn(move || network.serve(stream, machine, port));
            }
        });
    }

    fn serve(&self, client: TcpStream, machine: u8, port: u16) {
        let (Ok(from), Ok(to)) = (client.peer_addr(), client.local_addr()) else {
            return;
        };
        // A connection that was closed at once is not found; nothing is lost with it.
        let Some(from) = self.machine_of(from, to) else {
            return;
        };
        let crosses = self.side.contains(&from) != self.side.contains(&machine);
        while crosses && self.is_cut.load(Ordering::Relaxed) {
            thread::sleep(CHECK_INTERVAL);
        }
        let Ok(server) = TcpStream::connect(self.world.address(machine, port)) else {
            return;
        };
        drop((client.set_nodelay(true), server.set_nodelay(true)));
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        thread::scope(|scope| {
            scope.spawn(|| self.copy(client, server_copy, crosses));
            scope.spawn(|| self.copy(server, client_copy, crosses));
        });
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, crosses: bool) {
        let mut bytes = [0; 16384];
        loop {
            let Ok(count) = from.read(&mut bytes) else {
                break;
            };
            while crosses && self.is_cut.load(Ordering::Relaxed) {
                thread::sleep(CHECK_INTERVAL);
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        drop((from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both)));
    }

    /// The machine whose process has the connection between these addresses.
    fn machine_of(&self, from: SocketAddr, to: SocketAddr) -> Option<u8> {
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        let (local, remote) = (encode(from)?, encode(to)?);
        let inode = table.lines().find_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let is_found = *fields.get(1)? == local && *fields.get(2)? == remote;
            is_found.then(|| fields.get(9).map(|inode| format!("socket:[{inode}]")))?
        })?;
        let machines = self
            .machines
            .lock()
            .expect("no thread panics with the machines")
            .clone();
        machines.into_iter().find_map(|(pid, machine)| {
            let files = fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
            let mut links = files
                .flatten()
                .filter_map(|file| fs::read_link(file.path()).ok());
            links
                .any(|link| link.to_string_lossy() == inode)
                .then_some(machine)
        })
    }
}

/// An address as the kernel's table has it.
fn encode(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
