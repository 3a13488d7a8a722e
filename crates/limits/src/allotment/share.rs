//! Credit of one workspace at a router.

use std::net::SocketAddr;
use std::time::Duration;

use super::AMPLE_PERIOD;
use super::Answer;
use super::Ask;
use super::CREDIT_LIFETIME;
use super::Limit;
use super::Spent;
use super::WINDOW;
use shallotrill_model::time::Instant;
use shallotrill_model::workspace;

/// Shortest interval between requests for expected units, and shortest time for which an owner's statement that it
/// has no credit is used. Both bound the messages of a router for a workspace to four per second.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for which an owner's statement that it has no credit is used. Returned units and other owners may
/// provide credit earlier than stated.
const REFUSE_PERIOD_MAX: Duration = Duration::from_secs(1);

/// Expected units relative to the recent demand. Requests do not arrive evenly, and a request without credit waits
/// for a round trip.
const DEMAND_MARGIN: f64 = 1.5;

/// Half-life of the recent demand.
const DEMAND_HALF_LIFE_S: f64 = 0.5;

/// Requests that are proven not to have run return their unit within this time. A unit that is returned later would
/// allow requests of two windows in one.
const RETURN_AGE_MAX: Duration = Duration::from_secs(1);

/// Time over which spent units are summed up, so that the list of them stays short.
const SPENT_SLOT: Duration = Duration::from_millis(250);

/// A unit that a request has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    taken_at: Instant,
    epoch: u64,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Admit(Unit),
    /// The owner has stated that there is no credit.
    Refuse {
        /// Time until there is credit again.
        empty: Duration,
        /// Time after that over which requests are to return.
        spread: Duration,
    },
    /// The owner has to be asked.
    Ask,
}

/// Units that were granted together.
#[derive(Clone, Copy, Debug)]
struct Lot {
    owner: SocketAddr,
    epoch: u64,
    units: u32,
    expires: Instant,
}

/// Units that were spent, with the owner that has accounted for them.
#[derive(Clone, Copy, Debug)]
struct Account {
    owner: SocketAddr,
    at: Instant,
    units: u32,
}

/// Credit of one workspace at a router.
#[derive(Clone, Debug)]
pub struct Share {
    workspace: workspace::Name,
    limit: Limit,
    /// Owner that was asked last, and its epoch.
    owner: Option<SocketAddr>,
    epoch: u64,
    /// Sorted by expiry.
    lots: Vec<Lot>,
    unused: u32,
    ahead: u32,
    ahead_reported: u32,
    waiting: u32,
    refused: u32,
    demand_per_s: f64,
    demand_at: Instant,
    used_at: Instant,
    asked_at: Option<Instant>,
    next_ask: Instant,
    /// End of the owner's statement that it has no credit.
    refuse_until: Instant,
    /// Time at which the owner expects to have credit.
    credit_at: Instant,
    spread: Duration,
    ample_until: Instant,
    accounts: Vec<Account>,
    /// Credit from the router's own part of the rate while no owner is reachable.
    own_level: f64,
    own_filled_at: Option<Instant>,
}

impl Share {
    /// Creates a share without credit.
    pub const fn new(workspace: workspace::Name, limit: Limit, now: Instant) -> Self {
        Self {
            workspace,
            limit,
            owner: None,
            epoch: 0,
            lots: Vec::new(),
            unused: 0,
            ahead: 0,
            ahead_reported: 0,
            waiting: 0,
            refused: 0,
            demand_per_s: 0.0,
            demand_at: now,
            used_at: now,
            asked_at: None,
            next_ask: now,
            refuse_until: now,
            credit_at: now,
            spread: Duration::ZERO,
            ample_until: now,
            accounts: Vec::new(),
            own_level: 0.0,
            own_filled_at: None,
        }
    }

    /// The workspace.
    pub const fn workspace(&self) -> &workspace::Name {
        &self.workspace
    }

    /// Time of the last request.
    pub const fn used_at(&self) -> Instant {
        self.used_at
    }

    /// Sets the limit in force. After a change, what the owner stated about the earlier limit does not apply.
    pub fn set_limit(&mut self, limit: Limit, now: Instant) {
        if self.limit != limit {
            self.limit = limit;
            self.refuse_until = now;
            self.ample_until = now;
        }
    }

    /// Records that a request arrived, for the demand.
    pub fn record_arrival(&mut self, now: Instant) {
        self.used_at = now;
        self.decay_demand(now);
        self.demand_per_s += std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S;
    }

    fn decay_demand(&mut self, now: Instant) {
        let elapsed = now.since(self.demand_at).as_secs_f64();
        self.demand_per_s *= 0.5_f64.powf(elapsed / DEMAND_HALF_LIFE_S);
        self.demand_at = now;
    }

    /// Takes one unit for a request, unless it has to wait for the owner.
    pub fn take(&mut self, now: Instant) -> Decision {
        self.expire(now);
        if let Some(lot) = self.lots.first_mut() {
            lot.units -= 1;
            let Lot {
                owner,
                epoch,
                units,
                ..
            } = *lot;
            if units == 0 {
                self.lots.remove(0);
            }
            self.record_spent(owner, now);
            return Decision::Admit(Unit {
                taken_at: now,
                epoch,
            });
        }
        if now < self.refuse_until {
            self.refused = self.refused.saturating_add(1);
            return Decision::Refuse {
                empty: self.refuse_until.max(self.credit_at).since(now),
                spread: self.spread,
            };
        }
        if now < self.ample_until && self.ahead + self.ahead_reported == 0 {
            self.ahead = 1;
            return Decision::Admit(Unit {
                taken_at: now,
                epoch: self.epoch,
            });
        }
        Decision::Ask
    }

    /// Takes a unit of the router's own part of the rate, while no owner is reachable.
    pub fn take_own(&mut self, routers: usize, now: Instant) -> Option<Unit> {
        let routers = f64::from(u32::try_from(routers.max(1)).unwrap_or(u32::MAX));
        let since = self.own_filled_at.unwrap_or(now);
        let rate = self.limit.rate.per_second() / routers;
        let cap = (rate * ASK_INTERVAL.as_secs_f64()).max(1.0);
        // Begins empty: all routers together then stay within the rate.
        let filled = self.own_level + now.since(since).as_secs_f64() * rate;
        self.own_level = filled.min(cap);
        self.own_filled_at = Some(now);
        if self.own_level < 1.0 {
            return None;
        }
        self.own_level -= 1.0;
        // No owner has this epoch, so the unit is not returned to one.
        Some(Unit {
            taken_at: now,
            epoch: 0,
        })
    }

    /// Returns the unit of a request that is proven not to have run.
    pub fn give_back(&mut self, unit: Unit, now: Instant) {
        let is_known = unit.epoch != 0 && unit.epoch == self.epoch;
        if is_known && now.since(unit.taken_at) < RETURN_AGE_MAX {
            self.unused += 1;
        }
    }

    /// Records that a request waits for a unit.
    pub const fn start_waiting(&mut self) {
        self.waiting += 1;
    }

    /// Records that a request no longer waits for a unit.
    pub const fn end_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Units to request now, for waiting and for expected requests; `None` when no request is needed or one is
    /// outstanding.
    fn need(&mut self, now: Instant) -> Option<(u32, u32)> {
        if self.asked_at.is_some() {
            return None;
        }
        self.expire(now);
        let held: u32 = self.lots.iter().map(|lot| lot.units).sum();
        let expected = self.expected(now).saturating_sub(held);
        let (waiting, expected) = if now < self.refuse_until {
            (0, 0)
        } else {
            // Held units are for requests that have been woken and have not taken them yet.
            (self.waiting.saturating_sub(held), expected)
        };
        let is_due = now >= self.next_ask && (expected > 0 || self.unused > 0);
        (waiting > 0 || self.ahead > 0 || is_due).then_some((waiting, expected))
    }

    /// Whether [`Share::ask`] would build a request.
    pub fn needs_ask(&mut self, now: Instant) -> bool {
        self.need(now).is_some()
    }

    /// Builds the next request to `owner`; `None` when no request is needed or one is outstanding.
    pub fn ask(&mut self, owner: SocketAddr, is_substitute: bool, now: Instant) -> Option<Ask> {
        if self.owner != Some(owner) && self.asked_at.is_none() {
            self.change_owner(owner);
        }
        let (waiting, expected) = self.need(now)?;
        let elsewhere = self.report_accounts(owner, now);
        self.asked_at = Some(now);
        self.next_ask = now + ASK_INTERVAL;
        self.ahead_reported = std::mem::take(&mut self.ahead);
        Some(Ask {
            workspace: self.workspace.clone(),
            waiting,
            expected,
            ahead: self.ahead_reported,
            refused: std::mem::take(&mut self.refused),
            unused: std::mem::take(&mut self.unused),
            epoch: self.epoch,
            elsewhere,
            is_substitute,
        })
    }

    /// Units for the requests that are expected within the lifetime of the credit. The rate bounds them, so a router
    /// holds nothing ahead of need for a workspace of few requests.
    fn expected(&mut self, now: Instant) -> u32 {
        self.decay_demand(now);
        let demand = self.demand_per_s * DEMAND_MARGIN;
        let bounded = demand.min(self.limit.rate.per_second());
        (bounded * CREDIT_LIFETIME.as_secs_f64()) as u32
    }

    /// Records the reply of the owner to the outstanding request.
    pub fn record_answer(&mut self, answer: &Answer, now: Instant) {
        let Some(asked_at) = self.asked_at.take() else {
            return;
        };
        if let Some(owner) = self.owner {
            for _ in 0..self.ahead_reported {
                self.record_spent(owner, asked_at);
            }
        }
        self.ahead_reported = 0;
        self.own_filled_at = None;
        self.own_level = 0.0;
        if self.epoch != answer.epoch {
            self.unused = 0;
            self.epoch = answer.epoch;
        }
        if let (Some(owner), true) = (self.owner, answer.granted > 0) {
            // Counted from the request, so that no credit is valid for longer than its owner assumes.
            self.lots.push(Lot {
                owner,
                epoch: answer.epoch,
                units: answer.granted,
                expires: asked_at + CREDIT_LIFETIME,
            });
        }
        if answer.empty_ms > 0 {
            let empty = Duration::from_millis(u64::from(answer.empty_ms));
            self.credit_at = now + empty;
            self.refuse_until = now + empty.clamp(ASK_INTERVAL, REFUSE_PERIOD_MAX);
            self.spread = Duration::from_millis(u64::from(answer.spread_ms));
        }
        self.ample_until = if answer.is_ample {
            asked_at + AMPLE_PERIOD
        } else {
            now
        };
    }

    /// Records that the outstanding request got no reply. Units spent ahead are reported to the next owner.
    pub fn record_failure(&mut self) {
        if self.asked_at.take().is_some() {
            self.ahead += std::mem::take(&mut self.ahead_reported);
        }
        self.ample_until = Instant(0);
    }

    fn change_owner(&mut self, owner: SocketAddr) {
        // Credit of the former owner stays valid; it expires soon.
        self.owner = Some(owner);
        self.unused = 0;
        self.epoch = 0;
        self.refuse_until = Instant(0);
        self.ample_until = Instant(0);
    }

    /// The units that other owners have accounted for; from now on, `owner` does.
    fn report_accounts(&mut self, owner: SocketAddr, now: Instant) -> Vec<Spent> {
        self.accounts.retain(|a| now.since(a.at) < WINDOW);
        let mut reported = Vec::new();
        for account in &mut self.accounts {
            if account.owner != owner {
                account.owner = owner;
                reported.push(Spent {
                    age_ms: now.since(account.at).as_millis() as u32,
                    units: account.units,
                });
            }
        }
        reported
    }

    fn record_spent(&mut self, owner: SocketAddr, now: Instant) {
        if let Some(last) = self.accounts.last_mut()
            && last.owner == owner
            && now.since(last.at) < SPENT_SLOT
        {
            last.units += 1;
            return;
        }
        self.accounts.retain(|a| now.since(a.at) < WINDOW);
        self.accounts.push(Account {
            owner,
            at: now,
            units: 1,
        });
    }

    fn expire(&mut self, now: Instant) {
        let epoch = self.epoch;
        let mut expired = 0;
        self.lots.retain(|lot| {
            let is_valid = now < lot.expires;
            if !is_valid && lot.epoch == epoch {
                expired += lot.units;
            }
            is_valid
        });
        self.unused += expired;
    }
}
