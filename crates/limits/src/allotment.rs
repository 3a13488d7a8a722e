//! Allotments of workspaces: the credit that routers request, and the owners of the counts that grant it.
//!
//! A request of a workspace takes one unit of credit. The [`ledger`] at the owner grants units from a bucket for each
//! workspace; the [`share`] at a router spends them.

pub mod authority;
pub mod ledger;
pub mod presence;
pub mod share;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::rate::Rate;
use shallotrill_model::workspace;

/// Window of the allotment rule: the requests of a workspace that run in any such window are limited.
pub const WINDOW: Duration = Duration::from_secs(5);

/// Time for which granted credit is valid, from when the router asked. In a window, requests are admitted with the
/// credit of this much more time, which uses half of the tenth that the rule allows beyond the rate.
pub const CREDIT_LIFETIME: Duration = Duration::from_millis(250);

/// Time for which a router may use the statement that credit is ample.
pub const AMPLE_PERIOD: Duration = Duration::from_secs(1);

/// Longest time that an owner states until there is credit again. A lower rate may be raised meanwhile.
pub const EMPTY_MAX: Duration = Duration::from_secs(5);

/// Requests that a workspace may send, over all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests per second.
    pub rate: Rate,
    /// Requests that may be sent at once after a pause.
    pub burst: u32,
}

/// Units that a router spent, by their age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// Time since they were spent, in milliseconds.
    pub age_ms: u32,
    /// Number of units.
    pub units: u32,
}

/// Request of a router for credit of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The workspace.
    pub workspace: workspace::Name,
    /// Units for requests that wait for them.
    pub waiting: u32,
    /// Units for requests that are expected within the lifetime of the credit.
    pub expected: u32,
    /// Units that were spent before they were granted, after a statement that credit is ample.
    pub ahead: u32,
    /// Requests that the router refused since its last request, by the owner's statement that it has no credit.
    pub refused: u32,
    /// Units of earlier grants that expired, or whose request is proven not to have run.
    pub unused: u32,
    /// Epoch of the owner that granted the unused units.
    pub epoch: u64,
    /// Units that other owners granted and that were spent within the last [`WINDOW`], unless an earlier request
    /// to this owner contained them.
    pub elsewhere: Vec<Spent>,
    /// Whether the router could not reach an owner that comes before this one in its order.
    pub is_substitute: bool,
}

/// Reply of an owner to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Units granted.
    pub granted: u32,
    /// Epoch of the owner. Unused units of another epoch are not taken back.
    pub epoch: u64,
    /// Time until the workspace has credit again, in milliseconds; zero when all requested units are granted.
    pub empty_ms: u32,
    /// Time after that over which the requests that were refused recently are to be spread, in milliseconds.
    pub spread_ms: u32,
    /// Whether a router may spend one unit before it is granted, within [`AMPLE_PERIOD`].
    pub is_ample: bool,
}
