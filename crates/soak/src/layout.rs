//! Addresses, names and settings files of a run.
//!
//! Each process listens on its own loopback address. Other processes connect to a second address,
//! where the forwarders of the run listen.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use crate::plan::ProcessIndex;
use crate::plan::REGISTRIES;
use crate::plan::TOLERATED_DISKS;

/// Port for requests of other routers.
pub const ROUTER_PORT: u16 = 8_624;
/// Port of the readiness check.
pub const READY_PORT: u16 = 8_625;
/// Port of the backend server.
pub const BACKEND_PORT: u16 = 8_628;
/// Port for requests of callers.
pub const CALLER_PORT: u16 = 8_629;
/// Port for announcements of backend servers and for operators.
pub const ADMIN_PORT: u16 = 8_620;
/// First port for messages between processes.
pub const PEER_PORT: u16 = 7_600;

/// Services; the backend server of router `n` (counted from 0) belongs to service `n` modulo the number of services.
pub const SERVICES: [&str; 3] = ["catalogue", "bookings", "payments"];

/// Time between SIGTERM and SIGKILL, in seconds.
pub const GRACE_PERIOD_S: u64 = 6;

/// Time within which a drain takes effect at all routers, in milliseconds.
pub const DRAIN_TIMEOUT_MS: u64 = 2_000;

/// Retry budget: allowed further attempts as a share of the first attempts.
pub const RETRY_BUDGET_RATIO: f64 = 0.2;

/// Further attempts allowed in addition to that share, in each window.
pub const RETRY_BUDGET_SLACK: usize = 60;

/// Length of the window of the retry budget, in milliseconds.
pub const RETRY_BUDGET_WINDOW_MS: u64 = 10_000;

/// The loopback networks of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Third byte of all addresses; concurrent runs use different values.
    pub network: u8,
}

impl Layout {
    /// IP address that a process listens on.
    pub fn ip(self, process: ProcessIndex) -> IpAddr {
        Ipv4Addr::new(127, 64, self.network, process as u8 + 1).into()
    }

    /// IP address of the forwarders in front of a process, which other processes connect to.
    pub fn forwarder_ip(self, process: ProcessIndex) -> IpAddr {
        Ipv4Addr::new(127, 65, self.network, process as u8 + 1).into()
    }

    /// Address that a process listens on.
    pub fn address(self, process: ProcessIndex, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(process), port)
    }

    /// Address of a forwarder in front of a process.
    pub fn forwarder_address(self, process: ProcessIndex, port: u16) -> SocketAddr {
        SocketAddr::new(self.forwarder_ip(process), port)
    }

    /// Content of the settings file of a process. `first_start` is true only until the system has started once.
    pub fn settings(
        self,
        process: ProcessIndex,
        seeds: &[ProcessIndex],
        first_start: bool,
        data: &Path,
    ) -> Value {
        let listen = |port| self.address(process, port).to_string();
        let seeds: Vec<String> = seeds
            .iter()
            .map(|&seed| self.forwarder_address(seed, ADMIN_PORT).to_string())
            .collect();
        let mut settings = json!({
            "nodeName": name(process),
            "ip": self.ip(process),
            "zone": format!("zone-{}", process % 3),
            "region": "waikato",
            "peerPortRange": [PEER_PORT, PEER_PORT + 15],
            "seeds": seeds,
            "bootstrap": first_start,
            "faultTolerance": {"machines": TOLERATED_DISKS, "zones": 0, "regions": 0},
            "bounds": [
                format!("graceS={GRACE_PERIOD_S}"),
                format!("drainS={}", DRAIN_TIMEOUT_MS / 1_000),
                format!("retryBudgetRatio={RETRY_BUDGET_RATIO}"),
                format!("budgetSlack={RETRY_BUDGET_SLACK}"),
                format!("budgetWindowS={}", RETRY_BUDGET_WINDOW_MS / 1_000),
            ],
        });
        if is_registry(process) {
            settings["listenAddrs"] = json!({"admin": listen(ADMIN_PORT)});
            settings["dataDir"] = json!(data);
        } else {
            settings["listenAddrs"] = json!({
                "inbound": listen(ROUTER_PORT),
                "outbound": listen(CALLER_PORT),
                "ready": listen(READY_PORT),
                "admin": listen(ADMIN_PORT),
            });
            settings["dataDir"] = Value::Null;
            settings["appAddr"] = json!(self.forwarder_address(process, BACKEND_PORT).to_string());
            settings["service"] = json!(&*service(process));
        }
        settings
    }
}

/// Whether a process is a registry process rather than a router.
pub const fn is_registry(process: ProcessIndex) -> bool {
    process < REGISTRIES
}

/// Name of a process in logs and reports.
pub fn name(process: ProcessIndex) -> String {
    if is_registry(process) {
        format!("registry-{process}")
    } else {
        format!("router-{}", process - REGISTRIES)
    }
}

/// Service of the backend server of a router.
pub fn service(router: ProcessIndex) -> Arc<str> {
    Arc::from(SERVICES[(router - REGISTRIES) % SERVICES.len()])
}
