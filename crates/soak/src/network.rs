//! The forwarders of a run.

use std::io;
use std::time::Duration;

use shallotrill_bench::fault_proxy::FaultProxy;

use crate::layout;
use crate::layout::Layout;
use crate::plan::Harm;
use crate::plan::Process;

/// The forwarders before each process.
#[derive(Debug)]
pub struct Network {
    /// For connections of other processes, by process.
    peers: Vec<FaultProxy>,
    /// For connections of a router to the backend server beside it; nothing for registry processes.
    backends: Vec<Option<FaultProxy>>,
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
            FaultProxy::start(from, layout.at(process, port), Duration::ZERO).await
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
    pub fn peers(&self, process: Process) -> &FaultProxy {
        &self.peers[process]
    }

    /// Connections of a router to its backend server.
    pub fn backend(&self, process: Process) -> Option<&FaultProxy> {
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
pub fn begin(forward: &FaultProxy, harm: Harm) {
    match harm {
        Harm::CutIn => forward.block(true, false),
        Harm::CutOut => forward.block(false, true),
        Harm::Silence => forward.block(true, true),
        Harm::Slow(millis) => forward.set_extra_delay(Duration::from_millis(millis)),
        Harm::Reset => forward.reset(),
    }
}

/// Ends any harm. Connections that were cut stay silent.
pub fn end(forward: &FaultProxy) {
    forward.block(false, false);
    forward.set_extra_delay(Duration::ZERO);
}
