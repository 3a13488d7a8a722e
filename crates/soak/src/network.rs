//! The forwarders of a run.

use std::io;
use std::time::Duration;

use shallotrill_bench::forward::Forward;

use crate::layout;
use crate::layout::Layout;
use crate::plan::Harm;
use crate::plan::Process;

/// The forwarders before each process.
#[derive(Debug)]
pub struct Network {
    /// For connections of other processes, by process.
    peers: Vec<Forward>,
    /// For connections of a router to the backend server beside it; nothing for registry processes.
    backends: Vec<Option<Forward>>,
}

impl Network {
    /// Starts the forwarders.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when an address is taken.
    pub async fn start(layout: Layout, processes: usize) -> io::Result<Self> {
        let forward = async |process, port| {
            let from = layout.before(process, port);
            Forward::start(from, layout.at(process, port), Duration::ZERO).await
        };
        let mut peers = Vec::new();
        let mut backends = Vec::new();
        for process in 0..processes {
            if layout::is_registry(process) {
                peers.push(forward(process, layout::PEER).await?);
                backends.push(None);
            } else {
                peers.push(forward(process, layout::INBOUND).await?);
                backends.push(Some(forward(process, layout::BACKEND).await?));
            }
        }
        Ok(Self { peers, backends })
    }

    /// Connections of other processes to one process.
    pub fn peers(&self, process: Process) -> &Forward {
        &self.peers[process]
    }

    /// Connections of a router to its backend server.
    pub fn backend(&self, process: Process) -> Option<&Forward> {
        self.backends[process].as_ref()
    }

    /// Ends all harm.
    pub fn heal(&self) {
        for forward in self.peers.iter().chain(self.backends.iter().flatten()) {
            end(forward);
        }
    }
}

/// Begins a harm.
pub fn begin(forward: &Forward, harm: Harm) {
    match harm {
        Harm::CutIn => forward.cut(true, false),
        Harm::CutOut => forward.cut(false, true),
        Harm::Silence => forward.cut(true, true),
        Harm::Slow(millis) => forward.slow(Duration::from_millis(millis)),
        Harm::Reset => forward.reset(),
    }
}

/// Ends any harm. Connections that were cut stay silent.
pub fn end(forward: &Forward) {
    forward.cut(false, false);
    forward.slow(Duration::ZERO);
}
