//! Random schedules of concurrent proposals to replicas, with lost messages and lost disks.

mod fixtures;

use std::sync::Arc;

use proptest::prelude::ProptestConfig;
use proptest::proptest;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::check;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::proposal;
use shallotrill_items::proposal::Plan;
use shallotrill_items::proposal::QuorumRead;
use shallotrill_items::replica::Replica;

const REPLICAS: usize = 5;
const QUORUM: usize = 3;
const STEPS: usize = 60;

/// A proposal that a majority has promised, before its accept requests are sent.
struct Pending {
    change: Vec<Item>,
    ballot: Ballot,
    plan: Plan,
}

/// Runs one schedule: proposals with random versions and contents interleave, and each message reaches random replicas.
fn run_schedule(seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut replicas: Vec<Replica> = vec![Replica::default(); REPLICAS];
    let mut acknowledged: Vec<Item> = Vec::new();
    let mut refused: Vec<Item> = Vec::new();
    let mut pending: Vec<Pending> = Vec::new();
    let mut highest = Ballot::default();
    for step in 0..STEPS {
        if random.random_bool(0.5) || pending.is_empty() {
            // Each attempt has its own proposer, so no two proposals have the same number.
            let proposer = Identity(step as u128);
            // A proposer with an outdated ballot is refused, like one that was partitioned.
            let observed = if random.random_bool(0.8) {
                highest
            } else {
                Ballot::default()
            };
            let ballot = Ballot::above(observed, proposer);
            highest = highest.max(ballot);
            pending.extend(prepare(&mut replicas, ballot, &mut random));
        } else {
            let index = random.random_range(0..pending.len());
            let attempt = pending.swap_remove(index);
            let outcome = accept(&mut replicas, &attempt, &mut random);
            let route = attempt.change[2].clone();
            match outcome {
                Some(true) => acknowledged.push(route),
                Some(false) => refused.push(route),
                None => {}
            }
        }
        // Replicas may copy registers from each other at any time.
        let (from, to) = (
            random.random_range(0..REPLICAS),
            random.random_range(0..REPLICAS),
        );
        let entries = replicas[from].entries().to_vec();
        replicas[to].merge(&entries);
        check_invariants(&replicas, &acknowledged, &refused, seed);
    }
}

fn prepare(replicas: &mut [Replica], ballot: Ballot, random: &mut Pcg64) -> Option<Pending> {
    let version = random.random_range(1..6);
    let to = ["s", "t"][random.random_range(0..2)];
    let change = vec![
        fixtures::service("s", 1),
        fixtures::service("t", 1),
        fixtures::route("r", version, to),
    ];
    let keys = check::required_keys(&change);
    let mut reading = QuorumRead::new(keys.clone());
    let mut promised = 0;
    for replica in replicas.iter_mut() {
        if random.random_bool(0.8)
            && let Ok(shown) = replica.prepare(ballot, &keys)
        {
            promised += 1;
            reading.add(shown);
        }
    }
    (promised >= QUORUM).then(|| Pending {
        plan: proposal::plan(&change, &reading),
        change,
        ballot,
    })
}

/// Returns whether the change was acknowledged (`true`) or refused (`false`); `None` if no majority accepted.
fn accept(replicas: &mut [Replica], attempt: &Pending, random: &mut Pcg64) -> Option<bool> {
    let plan = &attempt.plan;
    let mut accepted = 0;
    for replica in replicas.iter_mut() {
        if random.random_bool(0.8) && replica.accept(attempt.ballot, &plan.items).is_ok() {
            accepted += 1;
        }
    }
    if accepted < QUORUM {
        return None;
    }
    for replica in replicas.iter_mut() {
        if random.random_bool(0.5) {
            replica.commit(attempt.ballot, &plan.items);
        }
    }
    Some(plan.refusal.is_none())
}

fn check_invariants(replicas: &[Replica], acknowledged: &[Item], refused: &[Item], seed: u64) {
    let key = fixtures::route_key("r");
    let mut committed: Vec<&Arc<Item>> = Vec::new();
    for replica in replicas {
        committed.extend(replica.get(&key).and_then(|e| e.committed.as_ref()));
    }
    for one in &committed {
        assert!(
            matches!(one.content, Content::Route(_)),
            "seed {seed}: the committed item is not a route"
        );
        for other in &committed {
            let is_consistent = one.version != other.version || one.content == other.content;
            assert!(
                is_consistent,
                "seed {seed}: version {} is committed with two different contents",
                one.version
            );
        }
        let is_refused = refused.iter().any(|r| {
            r.version == one.version
                && r.content == one.content
                && !acknowledged
                    .iter()
                    .any(|a| a.content == r.content && a.version == r.version)
        });
        assert!(!is_refused, "seed {seed}: a refused change is committed");
    }
    // An acknowledged change survives the loss of any two disks: among any three replicas, the accepted
    // item with the highest ballot is that change or a later one.
    let Some(newest) = acknowledged.iter().map(|item| item.version).max() else {
        return;
    };
    for one in 0..REPLICAS {
        for two in one + 1..REPLICAS {
            let remaining = replicas.iter().enumerate();
            let remaining = remaining.filter(|(index, _)| *index != one && *index != two);
            let accepted = remaining.filter_map(|(_, r)| r.get(&key)?.accepted.as_ref());
            let latest = accepted.max_by_key(|accepted| accepted.ballot);
            let version = latest.map(|accepted| accepted.item.version);
            assert!(
                version >= Some(newest),
                "seed {seed}: acknowledged version {newest} is lost without the replicas {one} and {two}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a version committed with two contents, a committed change that was refused, and an
    /// acknowledged change that is lost with two disks.
    #[test]
    fn random_schedules_preserve_agreement(seed in 0_u64..u64::MAX) {
        run_schedule(seed);
    }
}
