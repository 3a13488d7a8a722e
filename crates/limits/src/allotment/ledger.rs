//! Buckets of credit at the owner of the counts, one for each workspace with an allotment.

use std::net::SocketAddr;
use std::time::Duration;

use super::AMPLE_PERIOD;
use super::Answer;
use super::Ask;
use super::CREDIT_LIFETIME;
use super::EMPTY_MAX;
use super::Limit;
use super::WINDOW;
use super::authority::Authority;
use super::presence::Presence;
use shallotrill_model::time::Instant;
use shallotrill_model::workspace;

/// An owner without an observation for this long was suspended: others have granted credit meanwhile.
pub const SUSPENSION_MIN: Duration = Duration::from_millis(1_500);

/// Time within which an owner must have heard from a router to count it. Routers renew their announcements every
/// second. After a takeover, the owner before may grant the whole rate on another side of a partition for this long.
pub const HEARD_PERIOD: Duration = Duration::from_millis(1_300);

/// Units spent ahead of grants that are not reserved: part of what the rule allows beyond rate and burst, which is a
/// tenth of them and 20 requests.
const OVERDRAFT_RATIO: f64 = 0.04;
const OVERDRAFT_UNITS: f64 = 8.0;

/// Units that an owner may grant within [`HEARD_PERIOD`] after it takes over, when the owner before may still grant the
/// whole rate elsewhere. It is most of what the rule allows beyond rate and burst; the lifetime of credit uses the
/// rest. Beginning with an empty bucket instead, replays refuse about a second of requests after each takeover.
const TAKEOVER_RATIO: f64 = 0.08;
const TAKEOVER_UNITS: f64 = 16.0;

/// Largest part of a burst that is reserved for units spent ahead. A reserved unit is refused to others.
const RESERVE_RATIO_MAX: f64 = 0.125;

/// Half-life of the number of refused requests, which may return.
const REFUSED_HALF_LIFE_S: f64 = 1.0;

/// Lowest share of routers at which credit is stated to be ample.
const AMPLE_SHARE_MIN: f64 = 0.9;

/// Routers beyond those that asked whose part of the rate a substitute grants. Demand is not spread evenly, so a router
/// without contact to the first owner usually needs more than its own part.
const SUBSTITUTE_MARGIN: f64 = 3.0;

#[derive(Clone, Debug)]
struct Bucket {
    workspace: workspace::Name,
    limit: Limit,
    level: f64,
    filled_at: Instant,
    /// Time at which the bucket began to fill. Units that other owners granted before it are accounted for by
    /// beginning empty.
    began: Instant,
    asked_at: Option<Instant>,
    ample_until: Instant,
    /// Routers that asked because they could not reach an earlier owner, each with the time of its last request.
    /// Sorted by router.
    substituted_for: Vec<(SocketAddr, Instant)>,
    refused: f64,
    refused_at: Instant,
}

impl Bucket {
    fn new(workspace: workspace::Name, limit: Limit, now: Instant) -> Self {
        Self {
            workspace,
            limit,
            level: 0.0,
            filled_at: now,
            began: now,
            asked_at: None,
            ample_until: Instant(0),
            substituted_for: Vec::new(),
            refused: 0.0,
            refused_at: now,
        }
    }

    fn begin(&mut self, now: Instant) {
        self.level = self.level.min(0.0);
        self.filled_at = now;
        self.began = now;
        self.ample_until = Instant(0);
    }

    /// Begins to stand in for an owner that a router could not reach.
    fn take_over(&mut self, now: Instant) {
        self.begin(now);
        let granted = TAKEOVER_UNITS + TAKEOVER_RATIO * self.window_credit();
        self.level += granted.min(self.capacity());
    }

    /// Rate and burst over one window.
    fn window_credit(&self) -> f64 {
        self.limit.rate.per_second() * WINDOW.as_secs_f64() + f64::from(self.limit.burst)
    }

    /// Largest level. At least the credit of one lifetime, because a router asks once in that time.
    fn capacity(&self) -> f64 {
        let per_lifetime = self.limit.rate.per_second() * CREDIT_LIFETIME.as_secs_f64();
        f64::from(self.limit.burst).max(per_lifetime)
    }

    /// Fills the bucket at `rate_share` of the rate up to `share` of its capacity.
    fn fill(&mut self, rate_share: f64, share: f64, now: Instant) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let filled = self.level + elapsed * self.limit.rate.per_second() * rate_share;
        // One unit must fit, or an owner with a small share would never grant any.
        let unit_min = if share > 0.0 { 1.0 } else { 0.0 };
        self.level = filled.min((self.capacity() * share).max(unit_min));
        self.filled_at = now;
    }

    /// Units that routers may spend ahead at the same time and that the overdraft does not cover.
    fn reserve(&self, routers: u32) -> f64 {
        let window = self.limit.rate.per_second() * WINDOW.as_secs_f64();
        let overdraft = OVERDRAFT_UNITS + OVERDRAFT_RATIO * (window + f64::from(self.limit.burst));
        (f64::from(routers) - overdraft).max(0.0)
    }

    fn record_substitution(&mut self, router: SocketAddr, now: Instant) {
        let routers = &mut self.substituted_for;
        routers.retain(|(_, at)| now.since(*at) < WINDOW);
        match routers.binary_search_by(|(known, _)| known.cmp(&router)) {
            Ok(index) => routers[index].1 = now,
            Err(index) => routers.insert(index, (router, now)),
        }
    }

    fn record_refused(&mut self, units: u32, now: Instant) {
        let elapsed = now.since(self.refused_at).as_secs_f64();
        self.refused *= 0.5_f64.powf(elapsed / REFUSED_HALF_LIFE_S);
        self.refused += f64::from(units);
        self.refused_at = now;
    }
}

/// Buckets of all workspaces with an allotment.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Sorted by workspace.
    buckets: Vec<Bucket>,
    presence: Presence,
    authority: Authority,
    epoch: u64,
    observed_at: Instant,
}

impl Ledger {
    /// Creates an empty ledger. `epoch` must differ from those of earlier processes at the same address.
    pub const fn new(epoch: u64, now: Instant) -> Self {
        Self {
            buckets: Vec::new(),
            presence: Presence::new(),
            authority: Authority::new(now),
            epoch,
            observed_at: now,
        }
    }

    /// Number of workspaces with an allotment.
    pub const fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no workspace has an allotment.
    pub const fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Sets the limits in force, sorted by workspace. A new bucket begins empty, because the process may just have
    /// restarted; a lowered limit applies at once, as each request fills its bucket up to the limit in force.
    pub fn set_limits(&mut self, limits: &[(workspace::Name, Limit)], now: Instant) {
        let share = self.presence.share();
        if self.buckets.is_empty() {
            // Nothing is observed without buckets.
            self.observed_at = now;
        }
        let known = std::mem::take(&mut self.buckets);
        let mut known = known.into_iter().peekable();
        for (workspace, limit) in limits {
            while known.next_if(|b| b.workspace < *workspace).is_some() {}
            let bucket = known.next_if(|b| b.workspace == *workspace);
            let bucket = bucket.map_or_else(
                || Bucket::new(workspace.clone(), *limit, now),
                |mut bucket| {
                    bucket.fill(share, share, now);
                    bucket.limit = *limit;
                    bucket
                },
            );
            self.buckets.push(bucket);
        }
    }

    /// Records the number of routers heard from within [`HEARD_PERIOD`]. Returns whether the process was suspended
    /// since the last call, in which case all buckets begin again.
    pub fn observe(&mut self, routers: u32, now: Instant) -> bool {
        let suspended = self.begin_after_suspension(now);
        self.observed_at = now;
        let before = self.presence.share();
        self.presence
            .observe(routers, self.authority.contact(), now);
        let share = self.presence.share();
        // The time so far is credited at the share that applied to it, and a lower share also lowers the levels.
        if share < 1.0 || before < 1.0 {
            for bucket in &mut self.buckets {
                bucket.fill(before.min(share), share, now);
            }
        }
        suspended
    }

    fn begin_after_suspension(&mut self, now: Instant) -> bool {
        let suspended = now.since(self.observed_at) > SUSPENSION_MIN;
        if suspended {
            self.observed_at = now;
            self.begin(now);
        }
        suspended
    }

    /// Begins all buckets again: others may have granted credit meanwhile.
    fn begin(&mut self, now: Instant) {
        self.epoch += 1;
        for bucket in &mut self.buckets {
            bucket.begin(now);
        }
    }

    /// Records the time of the last contact with a quorum of the voters. Returns whether this process may grant credit
    /// again after a time without, in which case all buckets begin again.
    pub fn record_contact(&mut self, contact: Option<Instant>, now: Instant) -> bool {
        let begins = self.authority.record(contact, now);
        if begins {
            self.begin(now);
        }
        begins
    }

    /// Whether this process may grant credit. Without, the owners on another side of a partition may grant all of it.
    pub fn has_authority(&self, now: Instant) -> bool {
        self.authority.holds(now)
    }

    /// Records the number of routers that another owner reports.
    pub fn record_report(&mut self, from: SocketAddr, routers: u32, at: Instant) {
        self.presence.record_report(from, routers, at);
    }

    /// Highest recent number of routers that this process has heard from.
    pub fn routers(&self) -> u32 {
        self.presence.highest()
    }

    /// Grants credit to a router; `None` for a workspace without an allotment. To be called only with authority.
    /// `peers_alive` is whether all other owners are reachable from this one, so that a router without contact to them
    /// is alone with that.
    pub fn ask(
        &mut self,
        router: SocketAddr,
        ask: &Ask,
        peers_alive: bool,
        now: Instant,
    ) -> Option<Answer> {
        self.begin_after_suspension(now);
        let index = self
            .buckets
            .binary_search_by(|b| b.workspace.cmp(&ask.workspace))
            .ok()?;
        let routers = self.presence.known().max(1);
        let share = self.presence.share();
        let mut rate_share = share;
        let bucket = &mut self.buckets[index];
        if ask.is_substitute {
            let idle = bucket.asked_at.is_none_or(|at| now.since(at) >= WINDOW);
            if idle {
                bucket.take_over(now);
            }
            bucket.record_substitution(router, now);
            if now.since(bucket.began) < HEARD_PERIOD {
                rate_share = 0.0;
            } else if peers_alive {
                // The first owner grants the rest of the rate to the other routers.
                let substituted_for = bucket.substituted_for.len() as f64 + SUBSTITUTE_MARGIN;
                rate_share = share.min(substituted_for / f64::from(routers));
            }
        }
        bucket.fill(rate_share, share, now);
        bucket.asked_at = Some(now);
        let age = now.since(bucket.began).as_millis();
        let elsewhere = ask.elsewhere.iter();
        let elsewhere = elsewhere.filter(|spent| u128::from(spent.age_ms) < age);
        let elsewhere: f64 = elsewhere.map(|spent| f64::from(spent.units)).sum();
        bucket.level -= elsewhere + f64::from(ask.ahead);
        if ask.epoch == self.epoch {
            let returned = bucket.level + f64::from(ask.unused);
            bucket.level = returned.min(bucket.capacity().max(bucket.level));
        }
        let reserve = bucket.reserve(routers);
        let reserved = if now < bucket.ample_until {
            reserve
        } else {
            0.0
        };
        let available = (bucket.level - reserved).max(0.0);
        let waiting = ask.waiting.min(available as u32);
        let granted = waiting + ask.expected.min(available as u32 - waiting);
        bucket.level -= f64::from(granted);
        let refused = ask.refused.saturating_add(ask.waiting - waiting);
        bucket.record_refused(refused, now);
        let is_short = granted < ask.waiting.saturating_add(ask.expected);
        let mut answer = Answer {
            granted,
            epoch: self.epoch,
            empty_ms: 0,
            spread_ms: 0,
            is_ample: false,
        };
        if is_short {
            let takeover = if ask.is_substitute {
                HEARD_PERIOD.saturating_sub(now.since(bucket.began))
            } else {
                Duration::ZERO
            };
            let fills_at = if takeover.is_zero() {
                rate_share
            } else {
                share
            };
            let rate = bucket.limit.rate.per_second() * fills_at;
            let wait_ms = |delay: Duration, units: f64| {
                let seconds = delay.as_secs_f64() + units.max(0.0) / rate;
                (seconds.min(EMPTY_MAX.as_secs_f64()) * 1_000.0)
                    .ceil()
                    .max(1.0) as u32
            };
            answer.empty_ms = wait_ms(takeover, 1.0 - (bucket.level - reserved));
            answer.spread_ms = wait_ms(Duration::ZERO, bucket.refused);
        }
        let reserve_max = f64::from(bucket.limit.burst) * RESERVE_RATIO_MAX;
        answer.is_ample = !ask.is_substitute
            && !is_short
            && share >= AMPLE_SHARE_MIN
            && reserve <= reserve_max
            && bucket.level >= f64::from(routers) + reserve;
        if answer.is_ample {
            bucket.ample_until = now + AMPLE_PERIOD;
        }
        Some(answer)
    }
}
