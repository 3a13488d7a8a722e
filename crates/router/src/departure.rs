//! Stores departures of the local backend server at the registry processes before they are acknowledged.
//!
//! A router keeps no state across a restart. An announcement that was sent before a departure and arrives after the
//! restart would otherwise make the backend server available again.

use std::error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::task::JoinSet;
use tokio::time;

use crate::state::State;
use shallotrill_feed::link::Link;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;

/// Longest wait for the registry processes; a backend server takes an acknowledgement within a second.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a departure cannot be acknowledged: too few registry processes have stored it. The backend server receives no
/// more requests all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unconfirmed {
    /// Number of registry processes that have stored it.
    pub stored: usize,
    /// Number of registry processes that must store it.
    pub needed: usize,
}

impl fmt::Display for Unconfirmed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} registry processes have stored the departure and {} are needed",
            self.stored, self.needed
        )
    }
}

impl error::Error for Unconfirmed {}

/// Stores the departures that are not stored yet at a quorum of the voters among the registry processes. Only voters
/// reply that they have stored them.
///
/// # Errors
///
/// Returns [`Unconfirmed`] when too few of them reply in time.
pub async fn confirm(state: &State) -> Result<(), Unconfirmed> {
    let departures = state.backend.lock().unconfirmed(state.settings.address());
    if departures.is_empty() {
        return Ok(());
    }
    let (registries, voters, quorum) = {
        let views = state.views.lock();
        let electorate = views.electorate();
        (views.registries(), electorate.version, electorate.quorum)
    };
    // Before a registry process has told of the voters, no number of replies is enough.
    let needed = match voters {
        0 => registries.len() + 1,
        _ => quorum as usize,
    };
    let request = Arc::new(Request::Depart {
        voters,
        departures: departures.clone(),
    });
    let mut calls = JoinSet::new();
    for address in registries {
        let request = Arc::clone(&request);
        calls.spawn(async move { Link::new(address).call(&request, STORE_TIMEOUT).await });
    }
    let mut stored = 0;
    let storing = async {
        while let Some(reply) = calls.join_next().await {
            stored += usize::from(matches!(reply, Ok(Ok(Reply::Done))));
            if stored >= needed {
                return;
            }
        }
    };
    // Each call ends by itself in this time; the result is in `stored`.
    drop(time::timeout(STORE_TIMEOUT, storing).await);
    if stored < needed {
        let unconfirmed = Unconfirmed { stored, needed };
        warn!(event = "departure-not-stored", stored = stored, needed = needed; "a departure is not acknowledged: {unconfirmed}");
        return Err(unconfirmed);
    }
    // The other calls are completed, so that all registry processes have the departures soon.
    calls.detach_all();
    state.backend.lock().confirm(&departures);
    for departure in &departures {
        info!(event = "departure-stored", instance = departure.instance.as_str(), born = departure.start_time_ms; "a departure is stored by a quorum of the registry processes");
    }
    Ok(())
}
