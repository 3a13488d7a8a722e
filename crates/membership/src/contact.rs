//! How well a control process reaches the others.

/// The other control processes, counted within [`crate::config::Config::contact_window`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Other control processes that are configured.
    pub others: usize,
    /// Those of them that were heard from within the window.
    pub heard: usize,
}

impl Contact {
    /// Whether this process and those it heard from are a majority of all control processes.
    ///
    /// The process counts itself: of three, the two that are left when one dies
    /// have to be able to expire the leases of the third.
    pub const fn quorum(&self) -> bool {
        (self.heard + 1) * 2 > self.others + 1
    }
}
