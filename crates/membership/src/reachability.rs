//! Contact of a control process with the other control processes, which gates mass expiry.

/// Number of other control processes, and how many of them are in contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reachability {
    /// Number of other control processes that are configured.
    pub others: usize,
    /// Number of them with a message within [`crate::config::Config::contact_window`].
    pub reachable: usize,
}

impl Reachability {
    /// Whether this process and those in contact are a majority of all control processes.
    ///
    /// The process counts itself: when one of three processes crashes, the remaining two
    /// have to be able to expire the leases of the third.
    pub const fn quorum(&self) -> bool {
        (self.reachable + 1) * 2 > self.others + 1
    }
}
