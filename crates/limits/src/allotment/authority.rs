//! Authority to use a part of what all owners and routers share. It follows from contact with a quorum of the voters,
//! and on the smaller side of a partition it ends before the other side grants the whole.

use std::time::Duration;

use super::ledger::HEARD_PERIOD;
use shallotrill_model::time::Instant;

/// Time after the last contact with a quorum for which the authority lasts. It is shorter than
/// [`super::presence::MEMORY_PERIOD`] by the lifetime of credit, the intervals of observations, and a margin for a busy
/// process.
pub const AUTHORITY_PERIOD: Duration = Duration::from_secs(25);

/// Whether authority lasts at `now`, with the last contact with a quorum at `contact`.
pub fn lasts(contact: Option<Instant>, now: Instant) -> bool {
    contact.is_some_and(|contact| now.since(contact) < AUTHORITY_PERIOD)
}

/// Authority of an owner to grant credit.
#[derive(Clone, Debug)]
pub struct Authority {
    contact: Option<Instant>,
    /// Since when there is no authority; `None` while there is.
    missing_since: Option<Instant>,
    /// Time from which the owner grants credit.
    begins: Instant,
}

impl Authority {
    /// Creates the state of an owner without contact.
    pub const fn new(now: Instant) -> Self {
        Self {
            contact: None,
            missing_since: Some(now),
            begins: now,
        }
    }

    /// Records the time of the last contact with a quorum. Returns whether the authority begins again.
    ///
    /// After a partition, the owners on the other side must hear from the routers of this one before it grants credit.
    /// A new process that has contact at once needs no delay, since it did not begin on the smaller side.
    pub fn record(&mut self, contact: Option<Instant>, now: Instant) -> bool {
        self.contact = self.contact.max(contact);
        let lasts = lasts(self.contact, now);
        match self.missing_since {
            Some(since) if lasts => {
                self.missing_since = None;
                let was_missing_long = now.since(since) >= HEARD_PERIOD;
                if was_missing_long {
                    self.begins = now + HEARD_PERIOD;
                }
                was_missing_long
            }
            None if !lasts => {
                // The next contact begins it again, however soon that is.
                self.missing_since = Some(Instant(0));
                false
            }
            _ => false,
        }
    }

    /// Time of the last contact with a quorum.
    pub const fn contact(&self) -> Option<Instant> {
        self.contact
    }

    /// Whether the owner may grant credit.
    pub fn holds(&self, now: Instant) -> bool {
        lasts(self.contact, now) && self.missing_since.is_none() && now >= self.begins
    }
}
