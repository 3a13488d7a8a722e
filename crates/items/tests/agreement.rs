//! Random schedules of proposals over replicas that lose messages and disks.

mod scene;

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
use shallotrill_items::proposal::Reading;
use shallotrill_items::replica::Replica;

const REPLICAS: usize = 5;
const QUORUM: usize = 3;
const STEPS: usize = 60;

/// A proposal that a majority has promised to follow, and whose acceptance is still to come.
struct Pending {
    change: Vec<Item>,
    ballot: Ballot,
    plan: Plan,
}

/// One run: proposals with random versions and contents interleave, each reaching random replicas.
fn run(seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut replicas: Vec<Replica> = vec![Replica::default(); REPLICAS];
    let mut acknowledged: Vec<Item> = Vec::new();
    let mut refused: Vec<Item> = Vec::new();
    let mut pending: Vec<Pending> = Vec::new();
    let mut highest = Ballot::default();
    for step in 0..STEPS {
        if random.random_bool(0.5) || pending.is_empty() {
            // No two proposals have the same number: a process draws its part at its start.
            let proposer = Identity(step as u128);
            // A proposer that knows an old number is overtaken, as one behind a partition is.
            let base = if random.random_bool(0.8) {
                highest
            } else {
                Ballot::default()
            };
            let ballot = Ballot::above(base, proposer);
            highest = highest.max(ballot);
            pending.extend(prepare(&mut replicas, ballot, &mut random));
        } else {
            let at = random.random_range(0..pending.len());
            let attempt = pending.swap_remove(at);
            let outcome = accept(&mut replicas, &attempt, &mut random);
            let route = attempt.change[2].clone();
            match outcome {
                Some(true) => acknowledged.push(route),
                Some(false) => refused.push(route),
                None => {}
            }
        }
        // Replicas copy from each other at any moment.
        let (from, to) = (
            random.random_range(0..REPLICAS),
            random.random_range(0..REPLICAS),
        );
        let entries = replicas[from].entries().to_vec();
        replicas[to].merge(&entries);
        check_run(&replicas, &acknowledged, &refused, seed);
    }
}

fn prepare(replicas: &mut [Replica], ballot: Ballot, random: &mut Pcg64) -> Option<Pending> {
    let version = random.random_range(1..6);
    let to = ["s", "t"][random.random_range(0..2)];
    let change = vec![
        scene::service("s", 1),
        scene::service("t", 1),
        scene::route("r", version, to),
    ];
    let keys = check::needed(&change);
    let mut reading = Reading::new(keys.clone());
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

/// Whether the change was acknowledged (`true`) or refused (`false`); nothing when no majority answered.
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

fn check_run(replicas: &[Replica], acknowledged: &[Item], refused: &[Item], seed: u64) {
    let key = scene::route_key("r");
    let mut committed: Vec<&Arc<Item>> = Vec::new();
    for replica in replicas {
        committed.extend(replica.get(&key).and_then(|e| e.committed.as_ref()));
    }
    for one in &committed {
        assert!(matches!(one.content, Content::Route(_)), "seed {seed}");
        for other in &committed {
            let same = one.version != other.version || one.content == other.content;
            assert!(same, "seed {seed}: two contents of version {}", one.version);
        }
        let is_refused = refused.iter().any(|r| {
            r.version == one.version
                && r.content == one.content
                && !acknowledged
                    .iter()
                    .any(|a| a.content == r.content && a.version == r.version)
        });
        assert!(!is_refused, "seed {seed}: a refused change is in force");
    }
    // An acknowledged change survives the loss of any two disks: of any three replicas one holds
    // it or a later one with the highest ballot among them.
    let Some(newest) = acknowledged.iter().map(|item| item.version).max() else {
        return;
    };
    for one in 0..REPLICAS {
        for two in one + 1..REPLICAS {
            let left = replicas.iter().enumerate();
            let left = left.filter(|(at, _)| *at != one && *at != two);
            let held = left.filter_map(|(_, r)| r.get(&key)?.accepted.as_ref());
            let latest = held.max_by_key(|accepted| accepted.ballot);
            let version = latest.map(|accepted| accepted.item.version);
            assert!(
                version >= Some(newest),
                "seed {seed}: version {newest} is lost"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two contents of one version in force, a refused change in force, and an
    /// acknowledged change that two lost disks take away.
    #[test]
    fn schedules_keep_the_agreement(seed in 0_u64..u64::MAX) {
        run(seed);
    }
}
