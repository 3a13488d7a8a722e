//! Addresses, names and settings files of a run.
//!
//! Each process has a loopback address of its own. Others reach it at a second one, where the
//! forwarders of the run listen.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use crate::plan::Process;
use crate::plan::REGISTRIES;
use crate::plan::TOLERATED_DISKS;

/// Requests of other routers.
pub const INBOUND: u16 = 8_624;
/// The question whether callers should come.
pub const READY: u16 = 8_625;
/// The backend server.
pub const BACKEND: u16 = 8_628;
/// Requests of callers.
pub const OUTBOUND: u16 = 8_629;
/// Announcements of backend servers, and operators.
pub const ADMIN: u16 = 8_620;
/// Messages between processes.
pub const PEER: u16 = 7_600;

/// Services; router `n` stands beside a backend server of service `n` modulo their number.
pub const SERVICES: [&str; 3] = ["catalogue", "bookings", "payments"];

/// Time between a request to stop and a forced end, in seconds.
pub const GRACE_S: u64 = 6;

/// Milliseconds within which a drain binds everywhere.
pub const DRAIN_MS: u64 = 2_000;

/// Share of copies allowed beyond the first attempts.
pub const RETRY_RATIO: f64 = 0.2;

/// Copies allowed beyond that share, in each window.
pub const RETRY_SLACK: usize = 60;

/// The loopback networks of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Third byte of all addresses; it keeps runs beside each other apart.
    pub network: u8,
}

impl Layout {
    /// Where a process listens.
    pub fn ip(self, process: Process) -> IpAddr {
        Ipv4Addr::new(127, 64, self.network, process as u8 + 1).into()
    }

    /// Where others reach it.
    pub fn reachable(self, process: Process) -> IpAddr {
        Ipv4Addr::new(127, 65, self.network, process as u8 + 1).into()
    }

    /// One of its own addresses.
    pub fn at(self, process: Process, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(process), port)
    }

    /// Address of the forwarder before it.
    pub fn before(self, process: Process, port: u16) -> SocketAddr {
        SocketAddr::new(self.reachable(process), port)
    }

    /// The settings file of a process.
    pub fn settings(self, process: Process, seeds: &[Process], first: bool, data: &Path) -> Value {
        let at = |port| self.at(process, port).to_string();
        let seeds: Vec<String> = seeds
            .iter()
            .map(|&seed| self.before(seed, ADMIN).to_string())
            .collect();
        let mut settings = json!({
            "nodeName": name(process),
            "ip": self.ip(process),
            "zone": format!("zone-{}", process % 3),
            "region": "waikato",
            "peerPortRange": [PEER, PEER + 15],
            "seeds": seeds,
            "bootstrap": first,
            "faultTolerance": {"machines": TOLERATED_DISKS, "zones": 0, "regions": 0},
            "bounds": [
                format!("graceS={GRACE_S}"),
                format!("drainS={}", DRAIN_MS / 1_000),
                format!("retryBudgetRatio={RETRY_RATIO}"),
                format!("budgetSlack={RETRY_SLACK}"),
            ],
        });
        if is_registry(process) {
            settings["listenAddrs"] = json!({"admin": at(ADMIN)});
            settings["dataDir"] = json!(data);
        } else {
            settings["listenAddrs"] = json!({
                "inbound": at(INBOUND),
                "outbound": at(OUTBOUND),
                "ready": at(READY),
                "admin": at(ADMIN),
            });
            settings["dataDir"] = Value::Null;
            settings["appAddr"] = json!(self.before(process, BACKEND).to_string());
            settings["service"] = json!(&*service(process));
        }
        settings
    }
}

/// Whether a process is a registry process.
pub const fn is_registry(process: Process) -> bool {
    process < REGISTRIES
}

/// Name of a process in logs and reports.
pub fn name(process: Process) -> String {
    if is_registry(process) {
        format!("registry-{process}")
    } else {
        format!("router-{}", process - REGISTRIES)
    }
}

/// Service of the backend server beside a router.
pub fn service(router: Process) -> Arc<str> {
    Arc::from(SERVICES[(router - REGISTRIES) % SERVICES.len()])
}
