//! Shares of the descriptors of a process, and which connection of a full listener is closed first.

use std::net::IpAddr;
use std::time::Duration;

use shallotrill_model::time::Instant;

/// Descriptors of a process whose settings state none: those of an instance with a router.
pub const DESCRIPTORS_DEFAULT: usize = 4_096;

/// Largest numbers of connections of the listeners.
///
/// The rest, a fifth of the descriptors, is kept for control, targets, files and connections to other
/// processes, so callers cannot take it. With 4,100 descriptors the share of callers is 1,804.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other processes.
    pub processes: usize,
    /// Connections to each address for the platform's calls; a router has two of them.
    pub calls: usize,
}

impl Shares {
    /// The shares of a router.
    pub const fn router(descriptors: usize) -> Self {
        Self {
            callers: descriptors * 44 / 100,
            processes: descriptors * 24 / 100,
            calls: descriptors * 6 / 100,
        }
    }

    /// The shares of a registry process, which has no callers.
    pub const fn registry(descriptors: usize) -> Self {
        Self {
            callers: 0,
            processes: descriptors * 68 / 100,
            calls: descriptors * 12 / 100,
        }
    }
}

/// Share of a listener's connections that one client address may have while the listener is full.
/// All callers of an instance may share one address, so the share is large.
const ADDRESS_SHARE_PERCENT: usize = 75;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No complete request head has arrived since the last response.
    Idle,
    /// A request is being handled.
    Busy,
}

/// An open connection.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// Address of the client.
    pub from: IpAddr,
    /// What it is doing.
    pub activity: Activity,
    /// Since when it is doing that.
    pub since: Instant,
    /// Whether a request was ever handled on it.
    pub was_used: bool,
}

/// An idle connection is not closed before this time: its first request may be on its way.
const IDLE_MIN: Duration = Duration::from_millis(100);

/// Chooses the connection that a full listener closes for a new one: the idle one of the longest time,
/// first among those without any request so far and those of addresses above their share.
///
/// A connection with a request in progress is not chosen, because its request may have run.
pub fn victim(connections: &[Connection], limit: usize, now: Instant) -> Option<usize> {
    let address_max = limit * ADDRESS_SHARE_PERCENT / 100;
    let mut addresses: Vec<IpAddr> = connections.iter().map(|c| c.from).collect();
    addresses.sort_unstable();
    let count = |from: IpAddr| {
        let start = addresses.partition_point(|a| *a < from);
        addresses.partition_point(|a| *a <= from) - start
    };
    let idle = connections.iter().enumerate().filter(|(_, connection)| {
        connection.activity == Activity::Idle && now.since(connection.since) >= IDLE_MIN
    });
    let chosen = idle.min_by_key(|(_, connection)| {
        let is_over = count(connection.from) > address_max;
        (!is_over, connection.was_used, connection.since)
    });
    chosen.map(|(index, _)| index)
}
