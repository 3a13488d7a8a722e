//! Policies for the choice of a target: the scored policy, and baseline policies that the benchmarks compare it with.

use crate::choice::Candidate;
use crate::choice::Choice;
use crate::choice::Query;
use crate::choice::Reason;
use crate::choice::Refusal;
use crate::draw::CANDIDATES_MAX;
use crate::draw::Draw;
use crate::draw::excluded;
use crate::draw::random_below;
use crate::member::EntryIndex;
use crate::member::Service;
use crate::score;
use crate::table::Table;
use shallotrill_model::time::Instant;

/// Function that chooses a target for a query.
pub type Choose =
    fn(&mut Table, &Query<'_>, Instant, &mut dyn FnMut() -> u64) -> Result<Choice, Refusal>;

/// A policy for the choice of a target.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name of the policy in printed output.
    pub name: &'static str,
    /// Function that chooses a target.
    pub choose: Choose,
}

/// Chooses the candidate with the lowest score among a few random ones. Nodes use this policy.
pub const SCORED: Policy = Policy {
    name: "scored",
    choose: scored,
};

/// Chooses a random target that the query does not exclude.
pub const RANDOM: Policy = Policy {
    name: "random",
    choose: random,
};

/// Chooses the targets that the query does not exclude in turn.
pub const ROUND_ROBIN: Policy = Policy {
    name: "round-robin",
    choose: round_robin,
};

/// Chooses the target with the fewest local requests in flight among those that the query does not exclude.
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
    let service = find_service(table, query)?;
    let mut draw = Draw {
        table,
        service,
        query,
        now,
        candidates: Vec::with_capacity(CANDIDATES_MAX),
        candidate_indices: [EntryIndex(0); CANDIDATES_MAX],
        recovery_index: None,
    };
    draw.draw_candidates(random);
    let Draw {
        mut candidates,
        candidate_indices,
        recovery_index,
        ..
    } = draw;
    if let Some(index) = recovery_index {
        candidates.clear();
        candidates.extend(candidate(table, service, index, now, Reason::Recovery));
        if let Some(entry) = table.entries[index.0].as_mut() {
            entry.last_recovery = Some(now);
        }
        return build_choice(table, index, candidates);
    }
    let enumerated = candidates.iter().enumerate();
    let Some((lowest_index, _)) = enumerated.min_by(|(_, a), (_, b)| a.score.total_cmp(&b.score))
    else {
        return Err(refusal_reason(table, service, query));
    };
    candidates[lowest_index].reason = Reason::Lowest;
    build_choice(table, candidate_indices[lowest_index], candidates)
}

fn random(
    table: &mut Table,
    query: &Query<'_>,
    now: Instant,
    random: &mut dyn FnMut() -> u64,
) -> Result<Choice, Refusal> {
    let service = find_service(table, query)?;
    let start = random_below(table.services[service].len().max(1), random);
    first_eligible(table, service, query, start, now)
}

fn round_robin(
    table: &mut Table,
    query: &Query<'_>,
    now: Instant,
    _random: &mut dyn FnMut() -> u64,
) -> Result<Choice, Refusal> {
    let service = find_service(table, query)?;
    let count = table.services[service].len().max(1);
    let start = table.services[service].round_robin_cursor % count;
    table.services[service].round_robin_cursor = start + 1;
    first_eligible(table, service, query, start, now)
}

fn least_in_flight(
    table: &mut Table,
    query: &Query<'_>,
    now: Instant,
    random: &mut dyn FnMut() -> u64,
) -> Result<Choice, Refusal> {
    let service = find_service(table, query)?;
    let start = random_below(table.services[service].len().max(1), random);
    let lowest = table.services[service]
        .members_from(start)
        .filter(|index| {
            table
                .entry(*index)
                .is_some_and(|entry| !excluded(entry, query))
        })
        .min_by_key(|index| {
            table
                .entry(*index)
                .map_or(usize::MAX, |entry| entry.in_flight.len())
        });
    let Some(index) = lowest else {
        return Err(refusal_reason(table, service, query));
    };
    let chosen = candidate(table, service, index, now, Reason::Baseline);
    build_choice(table, index, chosen.into_iter().collect())
}

/// Chooses the first target from `start` on that the query does not exclude.
fn first_eligible(
    table: &Table,
    service: usize,
    query: &Query<'_>,
    start: usize,
    now: Instant,
) -> Result<Choice, Refusal> {
    let mut ordered = table.services[service].members_from(start);
    let first = ordered.find(|index| {
        table
            .entry(*index)
            .is_some_and(|entry| !excluded(entry, query))
    });
    let Some(index) = first else {
        return Err(refusal_reason(table, service, query));
    };
    let chosen = candidate(table, service, index, now, Reason::Baseline);
    build_choice(table, index, chosen.into_iter().collect())
}

fn find_service(table: &Table, query: &Query<'_>) -> Result<usize, Refusal> {
    let unknown_service = || Refusal::UnknownService(query.service.clone());
    table
        .service_index(query.service)
        .ok_or_else(unknown_service)
}

/// Returns why no target of the service is eligible.
fn refusal_reason(table: &Table, service: usize, query: &Query<'_>) -> Refusal {
    let evacuated = table.evacuated_count(service);
    let Service { withheld, .. } = &table.services[service];
    let draining = withheld.len() - evacuated;
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
        (0, 0, _) if evacuated > 0 => Refusal::AllEvacuated {
            evacuated,
            draining,
        },
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

fn candidate(
    table: &Table,
    service: usize,
    index: EntryIndex,
    now: Instant,
    reason: Reason,
) -> Option<Candidate> {
    let entry = table.entry(index)?;
    let service = &table.services[service];
    let estimate = score::estimate(entry, service, &table.config, now);
    let cold_share = service.cold_share(table.processes, now);
    let warm_up_share = entry.warm_up_share(&table.config, service.earliest_ready, cold_share, now);
    Some(Candidate {
        instance: entry.target.instance.clone(),
        estimate,
        age: score::age(entry, now),
        score: score::score(
            &estimate,
            entry,
            table.round_trip_us(entry),
            entry.score_share(warm_up_share),
        ),
        reason,
    })
}

fn build_choice(
    table: &Table,
    index: EntryIndex,
    candidates: Vec<Candidate>,
) -> Result<Choice, Refusal> {
    let entry = table.entry(index).ok_or(Refusal::NoTargets)?;
    Ok(Choice {
        instance: entry.target.instance.clone(),
        address: entry.target.address,
        incarnation: entry.target.incarnation,
        candidates,
    })
}
