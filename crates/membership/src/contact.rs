//! Contact of a control process with the other control processes, which gates mass expiry.

/// Number of other control processes, and how many of them are in contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Number of other control processes that are configured.
    pub others: usize,
    /// Number of them with a message within [`crate::config::Config::contact_window`].
    pub heard: usize,
}

impl Contact {
    /// Whether this process and those in contact are a majority of all control processes.
    ///
    /// The process counts itself: when one of three processes crashes, the remaining two
    /// have to be able to expire the leases of the third.
    pub const fn quorum(&self) -> bool {
        (self.heard + 1) * 2 > self.others + 1
    }
}
