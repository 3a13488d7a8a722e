//! Policies of the choice: the scored one, and baselines that the bench compares it with.

use crate::choice::Choice;
use crate::choice::Considered;
use crate::choice::Query;
use crate::choice::Reason;
use crate::choice::Refusal;
use crate::draw::Draw;
use crate::draw::PICKS_MAX;
use crate::draw::below;
use crate::draw::excluded;
use crate::member::Index;
use crate::member::Service;
use crate::score;
use crate::table::Table;
use shallotrill_model::time::Instant;

/// The function of a policy.
pub type Choose =
    fn(&mut Table, &Query<'_>, Instant, &mut dyn FnMut() -> u64) -> Result<Choice, Refusal>;

/// A policy of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name for printing.
    pub name: &'static str,
    /// Its function.
    pub choose: Choose,
}

/// Best score of a few random candidates; what nodes use.
pub const SCORED: Policy = Policy {
    name: "scored",
    choose: scored,
};

/// Any eligible target.
pub const RANDOM: Policy = Policy {
    name: "random",
    choose: random,
};

/// Eligible targets in turn.
pub const ROUND_ROBIN: Policy = Policy {
    name: "round-robin",
    choose: round_robin,
};

/// The eligible target with the fewest own requests in flight.
pub const LEAST_IN_FLIGHT: Policy = Policy {
    name: "least-in-flight",
    choose: least_in_flight,
};

fn scored(
    table: &mut Table,
    query: &Query<'_>,
    now: Instant,
    random: &mut dyn FnMut() -> u64,
) -> Result<Choice, Refusal> {
    let service = service(table, query)?;
    let mut draw = Draw {
        table,
        service,
        query,
        now,
        picks: Vec::with_capacity(PICKS_MAX),
        indices: [Index(0); PICKS_MAX],
        recovery: None,
    };
    draw.fill(random);
    let Draw {
        mut picks,
        indices,
        recovery,
        ..
    } = draw;
    if let Some(index) = recovery {
        picks.clear();
        picks.extend(considered(table, service, index, now, Reason::Recovery));
        if let Some(entry) = table.entries[index.0].as_mut() {
            entry.recovery = Some(now);
        }
        return finish(table, index, picks);
    }
    let numbered = picks.iter().enumerate();
    let Some((winner, _)) = numbered.min_by(|(_, a), (_, b)| a.score.total_cmp(&b.score)) else {
        return Err(refusal(table, service, query));
    };
    picks[winner].reason = Reason::Lowest;
    finish(table, indices[winner], picks)
}

fn random(
    table: &mut Table,
    query: &Query<'_>,
    now: Instant,
    random: &mut dyn FnMut() -> u64,
) -> Result<Choice, Refusal> {
    let service = service(table, query)?;
    let start = below(table.services[service].len().max(1), random);
    first_from(table, service, query, start, now)
}

fn round_robin(
    table: &mut Table,
    query: &Query<'_>,
    now: Instant,
    _random: &mut dyn FnMut() -> u64,
) -> Result<Choice, Refusal> {
    let service = service(table, query)?;
    let length = table.services[service].len().max(1);
    let start = table.services[service].cursor % length;
    table.services[service].cursor = start + 1;
    first_from(table, service, query, start, now)
}

fn least_in_flight(
    table: &mut Table,
    query: &Query<'_>,
    now: Instant,
    random: &mut dyn FnMut() -> u64,
) -> Result<Choice, Refusal> {
    let service = service(table, query)?;
    let start = below(table.services[service].len().max(1), random);
    let lowest = table.services[service]
        .members_from(start)
        .filter(|index| table.entry(*index).is_some_and(|e| !excluded(e, query)))
        .min_by_key(|index| table.entry(*index).map_or(usize::MAX, |e| e.flight.len()));
    let Some(index) = lowest else {
        return Err(refusal(table, service, query));
    };
    let chosen = considered(table, service, index, now, Reason::Baseline);
    finish(table, index, chosen.into_iter().collect())
}

/// The first target from `start` on that the query does not exclude.
fn first_from(
    table: &Table,
    service: usize,
    query: &Query<'_>,
    start: usize,
    now: Instant,
) -> Result<Choice, Refusal> {
    let mut turn = table.services[service].members_from(start);
    let first = turn.find(|index| table.entry(*index).is_some_and(|e| !excluded(e, query)));
    let Some(index) = first else {
        return Err(refusal(table, service, query));
    };
    let chosen = considered(table, service, index, now, Reason::Baseline);
    finish(table, index, chosen.into_iter().collect())
}

fn service(table: &Table, query: &Query<'_>) -> Result<usize, Refusal> {
    let unknown = || Refusal::UnknownService(query.service.clone());
    table.service_index(query.service).ok_or_else(unknown)
}

/// Says why no target of the service may be used.
fn refusal(table: &Table, service: usize, query: &Query<'_>) -> Refusal {
    let Service { draining, .. } = &table.services[service];
    let draining = draining.len();
    let members = table.services[service].members();
    let (mut excluded_count, mut failing) = (0, 0);
    for entry in members.filter_map(|index| table.entry(index)) {
        if excluded(entry, query) {
            excluded_count += 1;
        } else {
            failing += 1;
        }
    }
    match (failing, excluded_count, draining) {
        (0, 0, 0) => Refusal::NoTargets,
        (0, 0, draining) => Refusal::AllDraining { draining },
        (0, excluded, draining) => Refusal::AllExcluded { excluded, draining },
        (failing, excluded, draining) => Refusal::AllFailing {
            failing,
            excluded,
            draining,
        },
    }
}

fn considered(
    table: &Table,
    service: usize,
    index: Index,
    now: Instant,
    reason: Reason,
) -> Option<Considered> {
    let entry = table.entry(index)?;
    let service = &table.services[service];
    let estimate = score::estimate(entry, service, &table.config, now);
    let warmth = entry.warmth(&table.config, service.warmest, now);
    Some(Considered {
        instance: entry.target.instance.clone(),
        estimate,
        age: score::age(entry, now),
        score: score::score(&estimate, entry, table.round_trip_us(entry), warmth),
        reason,
    })
}

fn finish(table: &Table, index: Index, candidates: Vec<Considered>) -> Result<Choice, Refusal> {
    let entry = table.entry(index).ok_or(Refusal::NoTargets)?;
    Ok(Choice {
        instance: entry.target.instance.clone(),
        address: entry.target.address,
        incarnation: entry.target.incarnation,
        candidates,
    })
}
