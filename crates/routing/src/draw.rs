//! Drawing of random candidates: own availability zone first, then others in proportion.

use crate::choice::Considered;
use crate::choice::Query;
use crate::choice::Reason;
use crate::entry::Entry;
use crate::member::Index;
use crate::score;
use crate::table::Table;
use shallotrill_model::time::Instant;

/// Draws for each candidate before the remaining targets are scanned.
const DRAWS: usize = 4;

/// Candidates, and those when the first ones are old.
const CANDIDATES: usize = 2;
const CANDIDATES_OLD: usize = 3;

/// Most candidates of one choice: those of the own zone and one of another.
pub(crate) const PICKS_MAX: usize = CANDIDATES_OLD + 1;

/// Score of the local best, as a multiple of the median latency, above which another zone is always considered.
const BUSY: f64 = 2.0;

/// Which targets a draw admits beside the usual ones.
#[derive(Clone, Copy, Debug, Default)]
struct Admit {
    any_warmth: bool,
    failing: bool,
}

/// State of drawing candidates.
pub(crate) struct Draw<'table, 'query> {
    pub(crate) table: &'table Table,
    pub(crate) service: usize,
    pub(crate) query: &'query Query<'query>,
    pub(crate) now: Instant,
    pub(crate) picks: Vec<Considered>,
    /// Entries of the picks, in the same order.
    pub(crate) indices: [Index; PICKS_MAX],
    pub(crate) recovery: Option<Index>,
}

impl Draw<'_, '_> {
    /// Draws candidates from the own zone, then from others in the configured proportion.
    pub(crate) fn fill(&mut self, random: &mut dyn FnMut() -> u64) {
        let service = &self.table.services[self.service];
        let config = &self.table.config;
        let own = service.groups.iter().position(|g| g.zone == config.zone);
        if let Some(own) = own {
            self.draw_group(own, CANDIDATES, random);
            if self.old() {
                self.draw_group(own, CANDIDATES_OLD, random);
            }
        }
        let local = self.picks.len();
        let own_len = own.map_or(0, |own| service.groups[own].members.len());
        let less = (config.own_zone as f64 / own_len.max(1) as f64).min(1.0);
        if local == 0 || self.local_busy() || unit(random) < config.cross_zone * less {
            let wanted = if local == 0 { CANDIDATES } else { local + 1 };
            self.draw_others(own, wanted, random);
        }
        if self.picks.is_empty() && self.recovery.is_none() {
            self.scan(false, random);
        }
        if config.last_resort && self.picks.is_empty() && self.recovery.is_none() {
            self.scan(true, random);
        }
    }

    fn old(&self) -> bool {
        let old = self.table.config.old;
        self.picks.iter().any(|p| p.age.is_none_or(|age| age > old))
    }

    fn local_busy(&self) -> bool {
        let median = self.table.services[self.service].latency.value;
        self.picks.iter().all(|p| p.score > BUSY * median)
    }

    fn draw_group(&mut self, group: usize, wanted: usize, random: &mut dyn FnMut() -> u64) {
        let members = &self.table.services[self.service].groups[group].members;
        let wanted = wanted.min(members.len());
        for _ in 0..wanted * DRAWS {
            if self.picks.len() >= wanted {
                return;
            }
            let index = members[below(members.len(), random)];
            self.take(index, Admit::default(), random);
        }
    }

    fn draw_others(&mut self, own: Option<usize>, wanted: usize, random: &mut dyn FnMut() -> u64) {
        let service = &self.table.services[self.service];
        let own_len = own.map_or(0, |own| service.groups[own].members.len());
        let others = service.len() - own_len;
        if others == 0 {
            return;
        }
        for _ in 0..wanted * DRAWS {
            if self.picks.len() >= wanted {
                return;
            }
            let mut at = below(others, random);
            for (number, group) in service.groups.iter().enumerate() {
                if Some(number) == own {
                    continue;
                }
                if let Some(index) = group.members.get(at) {
                    self.take(*index, Admit::default(), random);
                    break;
                }
                at -= group.members.len();
            }
        }
    }

    /// Takes any usable target, from a random place on; reached only when nearly all are unusable.
    fn scan(&mut self, failing: bool, random: &mut dyn FnMut() -> u64) {
        let service = &self.table.services[self.service];
        let length = service.len();
        if length == 0 {
            return;
        }
        let skip = below(length, random);
        for index in service.members_from(skip) {
            let admit = Admit {
                any_warmth: true,
                failing,
            };
            self.take(index, admit, random);
            if !self.picks.is_empty() {
                return;
            }
        }
    }

    /// Adds a drawn target unless it is known, excluded, failing, or too cold for this draw.
    fn take(&mut self, index: Index, admit: Admit, random: &mut dyn FnMut() -> u64) {
        let Some(entry) = self.table.entry(index) else {
            return;
        };
        if self.indices[..self.picks.len()].contains(&index) || excluded(entry, self.query) {
            return;
        }
        let config = &self.table.config;
        if !admit.failing && entry.failure_rate(config, self.now) >= config.failing {
            if self.may_recover(entry) && unit(random) < config.trickle {
                self.recovery = Some(index);
            }
            return;
        }
        let service = &self.table.services[self.service];
        let warmth = entry.warmth(config, service.warmest, self.now);
        if !admit.any_warmth && warmth < 1.0 && unit(random) >= warmth {
            return;
        }
        let estimate = score::estimate(entry, service, config, self.now);
        let round_trip = self.table.round_trip_us(entry);
        let score = score::score(&estimate, entry, round_trip, warmth);
        self.indices[self.picks.len()] = index;
        self.picks.push(Considered {
            instance: entry.target.instance.clone(),
            estimate,
            age: score::age(entry, self.now),
            score,
            reason: Reason::Higher,
        });
    }

    fn may_recover(&self, entry: &Entry) -> bool {
        let rested = entry
            .recovery
            .is_none_or(|last| self.now.since(last) >= self.table.config.recovery_interval);
        rested && self.query.priority == 0 && self.query.exclude.is_empty()
    }
}

pub(crate) fn excluded(entry: &Entry, query: &Query<'_>) -> bool {
    query.exclude.contains(&entry.target.instance)
}

/// A number below `bound`, which is not zero. The bias of the high half of the product is negligible.
pub(crate) fn below(bound: usize, random: &mut dyn FnMut() -> u64) -> usize {
    ((u128::from(random()) * bound as u128) >> 64) as usize
}

/// A number in `0..1`.
pub(crate) fn unit(random: &mut dyn FnMut() -> u64) -> f64 {
    (random() >> 11) as f64 / (1_u64 << 53) as f64
}
