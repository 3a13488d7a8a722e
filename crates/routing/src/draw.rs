//! Random selection of the candidates of a choice: first from the local availability zone, then
//! from other zones in the configured proportion.

use crate::choice::Candidate;
use crate::choice::Query;
use crate::choice::Reason;
use crate::entry::Entry;
use crate::member::EntryIndex;
use crate::score;
use crate::table::Table;
use shallotrill_model::time::Instant;

/// Maximum number of random draws for each wanted candidate; a draw may hit an ineligible target.
const DRAWS_PER_CANDIDATE: usize = 4;

/// Number of candidates from the local zone, and the number when a report of the first ones is stale.
const CANDIDATES: usize = 2;
const CANDIDATES_STALE: usize = 3;

/// Maximum number of candidates of one choice: those of the local subset, one from outside it, and one of
/// another zone.
pub(crate) const CANDIDATES_MAX: usize = CANDIDATES_STALE + 2;

/// Score of the best local candidate, as a multiple of the median latency, above which another
/// zone is always considered.
const BUSY_SCORE_RATIO: f64 = 2.0;

/// Which otherwise ineligible targets a draw accepts.
#[derive(Clone, Copy, Debug, Default)]
struct DrawFilter {
    allow_warming_up: bool,
    allow_failing: bool,
}

/// State of the candidate selection of one choice.
pub(crate) struct Draw<'table, 'query> {
    pub(crate) table: &'table Table,
    pub(crate) service: usize,
    pub(crate) query: &'query Query<'query>,
    pub(crate) now: Instant,
    pub(crate) candidates: Vec<Candidate>,
    /// Table entries of the candidates, in the same order.
    pub(crate) candidate_indices: [EntryIndex; CANDIDATES_MAX],
    pub(crate) recovery_index: Option<EntryIndex>,
}

impl Draw<'_, '_> {
    /// Draws candidates from the local zone, then from other zones in the configured proportion. In each
    /// zone the subset of this process is preferred; a target of the local zone outside it is considered
    /// when the subset is busy or has too few eligible targets.
    ///
    /// When the draws find no candidate, all targets of the service are scanned.
    pub(crate) fn draw_candidates(&mut self, random: &mut dyn FnMut() -> u64) {
        let service = &self.table.services[self.service];
        let config = &self.table.config;
        let local_group = service
            .groups
            .iter()
            .position(|group| group.zone == config.zone);
        let subset = config.subset.map_or(usize::MAX, |subset| subset.local);
        if let Some(local_group) = local_group {
            self.draw_group(local_group, subset, CANDIDATES, random);
            if self.any_stale() {
                self.draw_group(local_group, subset, CANDIDATES_STALE, random);
            }
            let exceeds_subset = service.groups[local_group].members.len() > subset;
            if exceeds_subset
                && (self.candidates.len() < CANDIDATES || self.local_candidates_busy())
            {
                let wanted = self.candidates.len() + 1;
                self.draw_group(local_group, usize::MAX, wanted, random);
            }
        }
        let local_count = self.candidates.len();
        let local_len =
            local_group.map_or(0, |local_group| service.groups[local_group].members.len());
        let cross_zone_factor =
            (config.local_zone_targets as f64 / local_len.max(1) as f64).min(1.0);
        if local_count == 0
            || self.local_candidates_busy()
            || random_unit(random) < config.cross_zone_share * cross_zone_factor
        {
            let wanted = if local_count == 0 {
                CANDIDATES
            } else {
                local_count + 1
            };
            self.draw_others(local_group, wanted, random);
        }
        if self.candidates.is_empty() && self.recovery_index.is_none() {
            self.scan(false, random);
        }
        if config.last_resort && self.candidates.is_empty() && self.recovery_index.is_none() {
            self.scan(true, random);
        }
    }

    fn any_stale(&self) -> bool {
        let config = &self.table.config;
        let service = &self.table.services[self.service];
        let stale_after = score::load_period(config.stale_after, service, config);
        self.candidates
            .iter()
            .any(|candidate| candidate.age.is_none_or(|age| age > stale_after))
    }

    fn local_candidates_busy(&self) -> bool {
        let median = self.table.services[self.service].median_latency_us.value;
        self.candidates
            .iter()
            .all(|candidate| candidate.score > BUSY_SCORE_RATIO * median)
    }

    /// Draws from the first `subset` members of a group.
    fn draw_group(
        &mut self,
        group: usize,
        subset: usize,
        wanted: usize,
        random: &mut dyn FnMut() -> u64,
    ) {
        let members = &self.table.services[self.service].groups[group].members;
        let members = &members[..subset.min(members.len())];
        let wanted = wanted.min(members.len());
        for _ in 0..wanted * DRAWS_PER_CANDIDATE {
            if self.candidates.len() >= wanted {
                return;
            }
            let member = members[random_below(members.len(), random)];
            self.consider(member.index, DrawFilter::default(), random);
        }
    }

    fn draw_others(
        &mut self,
        local_group: Option<usize>,
        wanted: usize,
        random: &mut dyn FnMut() -> u64,
    ) {
        let service = &self.table.services[self.service];
        let local_len =
            local_group.map_or(0, |local_group| service.groups[local_group].members.len());
        let others = service.len() - local_len;
        if others == 0 {
            return;
        }
        let subset = self
            .table
            .config
            .subset
            .map_or(usize::MAX, |s| s.other.max(1));
        for _ in 0..wanted * DRAWS_PER_CANDIDATE {
            if self.candidates.len() >= wanted {
                return;
            }
            let mut offset = random_below(others, random);
            for (position, group) in service.groups.iter().enumerate() {
                if Some(position) == local_group {
                    continue;
                }
                let len = group.members.len();
                if offset < len {
                    let member = group.members[offset % subset.min(len)];
                    self.consider(member.index, DrawFilter::default(), random);
                    break;
                }
                offset -= len;
            }
        }
    }

    /// Adds the first eligible target from a random position on. Called only when the draws found
    /// none, because nearly all targets are ineligible.
    fn scan(&mut self, allow_failing: bool, random: &mut dyn FnMut() -> u64) {
        let service = &self.table.services[self.service];
        let count = service.len();
        if count == 0 {
            return;
        }
        let skip = random_below(count, random);
        for index in service.members_from(skip) {
            let filter = DrawFilter {
                allow_warming_up: true,
                allow_failing,
            };
            self.consider(index, filter, random);
            if !self.candidates.is_empty() {
                return;
            }
        }
    }

    /// Adds a drawn target unless it is already a candidate, excluded, failing, or rejected because
    /// it is still warming up.
    fn consider(&mut self, index: EntryIndex, filter: DrawFilter, random: &mut dyn FnMut() -> u64) {
        let Some(entry) = self.table.entry(index) else {
            return;
        };
        if self.candidate_indices[..self.candidates.len()].contains(&index)
            || excluded(entry, self.query)
        {
            return;
        }
        let config = &self.table.config;
        if !filter.allow_failing && entry.failure_rate(config, self.now) >= config.failing_rate_min
        {
            if self.may_recover(entry) && random_unit(random) < config.recovery_probability {
                self.recovery_index = Some(index);
            }
            return;
        }
        let service = &self.table.services[self.service];
        let cold_share = service.cold_share(self.table.processes, self.now);
        let warm_up_share =
            entry.warm_up_share(config, service.earliest_ready, cold_share, self.now);
        if !filter.allow_warming_up && warm_up_share < 1.0 && random_unit(random) >= warm_up_share {
            return;
        }
        let estimate = score::estimate(entry, service, config, self.now);
        let round_trip = self.table.round_trip_us(entry);
        let score = score::score(
            &estimate,
            entry,
            round_trip,
            entry.score_share(warm_up_share),
        );
        self.candidate_indices[self.candidates.len()] = index;
        self.candidates.push(Candidate {
            instance: entry.target.instance.clone(),
            estimate,
            age: score::age(entry, self.now),
            score,
            reason: Reason::Higher,
        });
    }

    fn may_recover(&self, entry: &Entry) -> bool {
        let interval_elapsed = entry
            .last_recovery
            .is_none_or(|last| self.now.since(last) >= self.table.config.recovery_interval);
        interval_elapsed && self.query.priority == 0 && self.query.exclude.is_empty()
    }
}

pub(crate) fn excluded(entry: &Entry, query: &Query<'_>) -> bool {
    query.exclude.contains(&entry.target.instance)
}

/// Returns a random number below `bound`, which is not zero.
///
/// The bias of taking the high half of the product is negligible.
pub(crate) fn random_below(bound: usize, random: &mut dyn FnMut() -> u64) -> usize {
    ((u128::from(random()) * bound as u128) >> 64) as usize
}

/// Returns a random number in `0..1`.
pub(crate) fn random_unit(random: &mut dyn FnMut() -> u64) -> f64 {
    (random() >> 11) as f64 / (1_u64 << 53) as f64
}
