//! Orders of operators to evacuate an availability zone and to end that.

use std::error;
use std::fmt;
use std::sync::Arc;

use log::info;
use log::warn;

use crate::propose;
use crate::propose::Electors;
use crate::propose::Failure;
use crate::state::State;
use shallotrill_items::evacuation;
use shallotrill_items::evacuation::Order;
use shallotrill_model::zone;

/// Why an order is not known to be in force.
#[derive(Debug)]
pub enum Error {
    /// The settings contain no such zone; the order has no effect.
    UnknownZone {
        /// Zones of the settings.
        allowed: Vec<zone::Name>,
    },
    /// The order is not known to be in force. It may be sent again.
    NotInForce(Failure),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownZone { allowed } if allowed.is_empty() => {
                f.write_str("the settings of this process contain no zones")
            }
            Self::UnknownZone { allowed } => {
                let names: Vec<&str> = allowed.iter().map(zone::Name::as_str).collect();
                write!(f, "unknown zone: {} are allowed", names.join(", "))
            }
            Self::NotInForce(failure) => failure.fmt(f),
        }
    }
}

impl error::Error for Error {}

/// Brings an order for a zone into force. An order that is in force already is acknowledged and changes nothing.
///
/// # Errors
///
/// Returns an [`Error`], from which it follows whether the order can still come into force.
pub async fn order(state: &Arc<State>, order: Order, zone: &str) -> Result<(), Error> {
    let outcome = bring_into_force(state, order, zone).await;
    let label = match &outcome {
        Ok(()) => "accepted",
        Err(Error::UnknownZone { .. }) => "refused",
        Err(Error::NotInForce(_)) => "unclear",
    };
    state.metrics.record_evacuation_order(label);
    let order = order.to_string();
    match &outcome {
        Ok(()) => {
            info!(event = "evacuation-ordered", order = order.as_str(), zone = zone; "order for the evacuation of a zone is in force");
        }
        Err(error) => {
            warn!(event = "evacuation-not-ordered", order = order.as_str(), zone = zone; "order for the evacuation of a zone is not known to be in force: {error}");
        }
    }
    outcome
}

async fn bring_into_force(state: &Arc<State>, order: Order, zone: &str) -> Result<(), Error> {
    let zones = &state.settings.zones;
    let Some(zone) = zones.iter().find(|known| known.as_str() == zone) else {
        let allowed = zones.clone();
        return Err(Error::UnknownZone { allowed });
    };
    let keys = vec![evacuation::key(zone)];
    propose::propose(state, keys, Electors::InForce, &|reading, _| {
        evacuation::plan(order, zone, reading)
    })
    .await
    .map_err(Error::NotInForce)?;
    Ok(())
}
