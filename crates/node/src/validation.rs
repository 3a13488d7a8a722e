//! Validates the announcements of a backend server.

use std::net::SocketAddr;
use std::sync::Arc;

use shallotrill_backend::announce;
use shallotrill_model::service;
use shallotrill_model::target;

/// Maximum number of slots that a backend server may announce.
const SLOTS_MAX: u32 = 100_000;

/// An announcement with valid fields.
pub(crate) struct ValidAnnouncement {
    pub(crate) service: service::Name,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) state: target::State,
    pub(crate) start: u128,
    pub(crate) probe: Option<Arc<str>>,
}

/// Validates the fields of an announcement.
pub(crate) fn validate(
    announcement: &announce::Announcement,
) -> Result<ValidAnnouncement, announce::Refusal> {
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
    Ok(ValidAnnouncement {
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
