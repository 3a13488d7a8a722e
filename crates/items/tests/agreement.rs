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
use shallotrill_items::item::Key;
use shallotrill_items::proposal;
use shallotrill_items::proposal::QuorumRead;
use shallotrill_items::replica::Proposed;
use shallotrill_items::replica::Replica;

const REPLICAS: usize = 5;
const QUORUM: usize = 3;
const STEPS: usize = 160;

/// Ways in which a call of an operator ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Acknowledged,
    Refused,
}

/// Requests that a proposer sends next.
enum Phase {
    Prepare,
    /// A quorum has promised the ballot. `refused` is `None` for items that settle another proposal.
    Accept {
        ballot: Ballot,
        items: Vec<Proposed>,
        refused: Option<bool>,
    },
}

/// A call of an operator at one process.
struct Call {
    change: Vec<Item>,
    keys: Vec<Key>,
    settled: Vec<Ballot>,
    phase: Phase,
}

/// Replicas, and what operators were told.
struct Group {
    random: Pcg64,
    replicas: Vec<Replica>,
    calls: Vec<Call>,
    ended: Vec<(Vec<Item>, Outcome)>,
    highest: Ballot,
    ballots: u128,
}

/// Runs one schedule: calls with random versions and unique contents interleave, and each message reaches random
/// replicas. A call whose proposal is overtaken tries again or is given up.
fn run_schedule(seed: u64) {
    let mut group = Group {
        random: Pcg64::seed_from_u64(seed),
        replicas: vec![Replica::default(); REPLICAS],
        calls: Vec::new(),
        ended: Vec::new(),
        highest: Ballot::default(),
        ballots: 0,
    };
    for step in 0..STEPS {
        if group.calls.is_empty() || (step < STEPS / 2 && group.random.random_bool(0.2)) {
            let call = group.new_call(step);
            group.calls.push(call);
        }
        let index = group.random.random_range(0..group.calls.len());
        let call = group.calls.swap_remove(index);
        group.advance(call);
        // Replicas may copy registers from each other at any time.
        let from = group.random.random_range(0..REPLICAS);
        let to = group.random.random_range(0..REPLICAS);
        let entries = group.replicas[from].entries().to_vec();
        let proposals = group.replicas[from].proposals_since(0);
        group.replicas[to].merge(&entries, &proposals);
        check_invariants(&group, seed);
    }
}

impl Group {
    fn new_call(&mut self, number: usize) -> Call {
        let routes = [&["r"][..], &["q"], &["q", "r"], &["p", "q", "r"]];
        let routes = routes[self.random.random_range(0..routes.len())];
        let mut change = vec![fixtures::service("s", 1)];
        for name in routes {
            let version = self.random.random_range(0..5);
            let content = fixtures::route_content("host", &format!("/{number}/"), "s");
            let key = fixtures::route_key(name);
            change.push(fixtures::item(key, version, Content::Route(content)));
        }
        Call {
            keys: check::required_keys(&change),
            change,
            settled: Vec::new(),
            phase: Phase::Prepare,
        }
    }

    fn advance(&mut self, mut call: Call) {
        match std::mem::replace(&mut call.phase, Phase::Prepare) {
            Phase::Prepare => {
                self.prepare(&mut call);
                self.calls.push(call);
            }
            Phase::Accept {
                ballot,
                items,
                refused,
            } => {
                let accepted = self.accept(ballot, &items);
                match (accepted, refused) {
                    (true, None) => call.settled.push(ballot),
                    (true, Some(refused)) => {
                        let outcome = if refused {
                            Outcome::Refused
                        } else {
                            Outcome::Acknowledged
                        };
                        self.ended.push((call.change, outcome));
                        return;
                    }
                    // The process has failed, or its operator sends the change to another one later.
                    (false, _) if self.random.random_bool(0.2) => return,
                    (false, _) => {}
                }
                self.calls.push(call);
            }
        }
    }

    fn prepare(&mut self, call: &mut Call) {
        self.ballots += 1;
        // A proposer with an outdated ballot is refused, like one that was partitioned.
        let observed = if self.random.random_bool(0.8) {
            self.highest
        } else {
            Ballot::default()
        };
        let ballot = Ballot::above(observed, Identity(self.ballots));
        self.highest = self.highest.max(ballot);
        let mut reading = QuorumRead::new(call.keys.clone());
        let mut promised = 0;
        for replica in &mut self.replicas {
            if self.random.random_bool(0.8)
                && let Ok(promise) = replica.prepare(ballot, &call.keys)
            {
                promised += 1;
                reading.add(promise);
            }
        }
        if promised < QUORUM {
            return;
        }
        let missing = reading.missing_keys(&call.settled);
        if !missing.is_empty() {
            call.keys.extend(missing);
            call.keys.sort();
            call.keys.dedup();
            return;
        }
        call.phase = if let Some(items) = reading.unsettled(&call.settled) {
            Phase::Accept {
                ballot,
                items,
                refused: None,
            }
        } else {
            let plan = proposal::plan(&call.change, &reading);
            Phase::Accept {
                ballot,
                refused: Some(plan.refusal.is_some()),
                items: plan.items,
            }
        };
    }

    /// Returns whether a quorum has accepted the items and has replied.
    fn accept(&mut self, ballot: Ballot, items: &[Proposed]) -> bool {
        let mut accepted = 0;
        for replica in &mut self.replicas {
            if self.random.random_bool(0.8) && replica.accept(ballot, items).is_ok() {
                // A reply may be lost.
                accepted += usize::from(self.random.random_bool(0.95));
            }
        }
        if accepted < QUORUM {
            return false;
        }
        let items: Vec<Arc<Item>> = items.iter().map(|p| Arc::clone(&p.item)).collect();
        for replica in &mut self.replicas {
            if self.random.random_bool(0.5) {
                replica.commit(ballot, &items);
            }
        }
        true
    }

    /// The highest version that was acknowledged for a route.
    fn acknowledged(&self, key: &Key) -> Option<u64> {
        let acknowledged = self.ended.iter();
        let acknowledged = acknowledged.filter(|(_, outcome)| *outcome == Outcome::Acknowledged);
        let items = acknowledged.flat_map(|(change, _)| change);
        items.filter(|i| i.key == *key).map(|i| i.version).max()
    }
}

fn check_invariants(group: &Group, seed: u64) {
    for name in ["p", "q", "r"] {
        let key = fixtures::route_key(name);
        let replicas = group.replicas.iter();
        let committed = replicas.filter_map(|r| r.get(&key)?.committed.as_ref());
        let committed: Vec<&Arc<Item>> = committed.collect();
        for one in &committed {
            assert!(
                matches!(one.content, Content::Route(_)),
                "seed {seed}: the committed item is not a route"
            );
            for other in &committed {
                let is_consistent = one.version != other.version || one.content == other.content;
                assert!(
                    is_consistent,
                    "seed {seed}: version {} of {key} is committed with two different contents",
                    one.version
                );
            }
            let mut refused = group.ended.iter();
            let is_refused = refused.any(|(change, outcome)| {
                *outcome == Outcome::Refused && change.iter().any(|item| item.is_same(one))
            });
            assert!(
                !is_refused,
                "seed {seed}: {key} of a refused change is committed"
            );
        }
        // An acknowledged change survives the loss of any two disks: among any three replicas, the accepted
        // item with the highest ballot is that change or a later one.
        let Some(newest) = group.acknowledged(&key) else {
            continue;
        };
        for one in 0..REPLICAS {
            for two in one + 1..REPLICAS {
                let remaining = group.replicas.iter().enumerate();
                let remaining = remaining.filter(|(index, _)| *index != one && *index != two);
                let accepted = remaining.filter_map(|(_, r)| r.get(&key)?.accepted.as_ref());
                let latest = accepted.max_by_key(|accepted| accepted.ballot);
                let latest = latest.filter(|accepted| !accepted.item.is_absent());
                let version = latest.map(|accepted| accepted.item.version);
                assert!(
                    version >= Some(newest),
                    "seed {seed}: acknowledged version {newest} of {key} is lost without the replicas {one} and {two}"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a version committed with two contents, an item of a refused change that is committed, and an
    /// acknowledged change that is lost with two disks.
    #[test]
    fn random_schedules_preserve_agreement(seed in 0_u64..u64::MAX) {
        run_schedule(seed);
    }
}

/// Guards against a delayed proposal that replaces a copied item with a higher ballot, at a replica whose emptied disk has
/// forgotten that it had accepted the item.
#[test]
fn a_copied_item_is_not_replaced_by_an_earlier_proposal() {
    let ballot = |round| Ballot {
        round,
        proposer: Identity(1),
    };
    let proposed = |service| Proposed::unchanged(Arc::new(fixtures::route("r", 1, service)));
    let mut holder = Replica::default();
    holder
        .accept(ballot(5), &[proposed("s")])
        .expect("accepted");
    let mut emptied = Replica::default();
    emptied.merge(holder.entries(), &holder.proposals_since(0));
    let late = emptied.accept(ballot(3), &[proposed("t")]);
    assert_eq!(late, Err(ballot(5)));
    assert_eq!(emptied.entries()[0].accepted, holder.entries()[0].accepted);
}
