//! Checks of what a backend server announces.

use std::net::SocketAddr;
use std::sync::Arc;

use shallotrill_backend::announce;
use shallotrill_model::service;
use shallotrill_model::target;

/// Most slots that a backend server may announce.
const SLOTS_MAX: u32 = 100_000;

/// An announcement whose fields were checked.
pub(crate) struct Checked {
    pub(crate) service: service::Name,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) state: target::State,
    pub(crate) start: u128,
    pub(crate) probe: Option<Arc<str>>,
}

/// Checks the fields of an announcement.
pub(crate) fn check(announcement: &announce::Announcement) -> Result<Checked, announce::Refusal> {
    let invalid = |field, allowed: &str| announce::Refusal::Invalid {
        field,
        allowed: allowed.to_owned(),
    };
    let service = service::Name::new(&announcement.service)
        .or(Err(invalid("service", "1 to 63 of a-z, 0-9 and -")))?;
    let address = announcement
        .address
        .parse()
        .or(Err(invalid("address", "an IP address and a port")))?;
    if !(1..=SLOTS_MAX).contains(&announcement.slots) {
        return Err(invalid("slots", "from 1 to 100000"));
    }
    let probe = announcement.probe.as_deref();
    if probe.is_some_and(|path| !path.starts_with('/')) {
        return Err(invalid("probe", "a path that starts with /"));
    }
    let hash = blake3::hash(announcement.start.as_bytes());
    let mut start = [0; 16];
    start.copy_from_slice(&hash.as_bytes()[..16]);
    Ok(Checked {
        service,
        address,
        slots: announcement.slots,
        state: match announcement.state {
            announce::State::Starting => target::State::Starting,
            announce::State::Ready => target::State::Ready,
            announce::State::Draining => target::State::Draining,
        },
        start: u128::from_le_bytes(start),
        probe: probe.map(Arc::from),
    })
}
