//! Orders for the evacuation of a zone: planning, and random schedules of competing orders.

mod fixtures;

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::evacuation;
use shallotrill_items::evacuation::Order;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::proposal::QuorumRead;
use shallotrill_items::replica::Accepted;
use shallotrill_items::replica::Promise;
use shallotrill_items::replica::Replica;
use shallotrill_model::zone;

fn zone() -> zone::Name {
    zone::Name::new("bodo").expect("a valid name")
}

fn item(version: u64, content: Content) -> Item {
    Item {
        key: evacuation::key(&zone()),
        version,
        content,
        document: "".into(),
    }
}

struct Case {
    name: &'static str,
    /// What the register contains.
    accepted: Option<(u64, Content)>,
    order: Order,
    /// Version and content that are proposed.
    proposed: (u64, Content),
}

/// Guards against an order that is lost behind a higher version, and against a resent order that changes something.
const CASES: &[Case] = &[
    Case {
        name: "the first evacuation",
        accepted: None,
        order: Order::Start,
        proposed: (1, Content::Evacuation),
    },
    Case {
        name: "the end of an evacuation that never started",
        accepted: None,
        order: Order::Finish,
        proposed: (0, Content::Absent),
    },
    Case {
        name: "a resent start",
        accepted: Some((1, Content::Evacuation)),
        order: Order::Start,
        proposed: (1, Content::Evacuation),
    },
    Case {
        name: "the end",
        accepted: Some((1, Content::Evacuation)),
        order: Order::Finish,
        proposed: (2, Content::Removed),
    },
    Case {
        name: "a resent end",
        accepted: Some((2, Content::Removed)),
        order: Order::Finish,
        proposed: (2, Content::Removed),
    },
    Case {
        name: "the second evacuation",
        accepted: Some((2, Content::Removed)),
        order: Order::Start,
        proposed: (3, Content::Evacuation),
    },
    Case {
        name: "the first evacuation was withdrawn",
        accepted: Some((0, Content::Absent)),
        order: Order::Start,
        proposed: (1, Content::Evacuation),
    },
];

#[test]
fn orders_are_planned() {
    for case in CASES {
        let mut reading = QuorumRead::new(vec![evacuation::key(&zone())]);
        let accepted = case.accepted.clone().map(|(version, content)| Accepted {
            ballot: Ballot {
                round: 1,
                proposer: Identity(1),
            },
            item: Arc::new(item(version, content)),
        });
        reading.add(Promise {
            accepted: vec![accepted],
            proposals: Vec::new(),
        });
        let plan = evacuation::plan(case.order, &zone(), &reading);
        assert_eq!(plan.refusal, None, "{}", case.name);
        let proposed: Vec<_> = plan.items.iter().map(|p| (*p.item).clone()).collect();
        let (version, content) = case.proposed.clone();
        assert_eq!(proposed, [item(version, content)], "{}", case.name);
    }
}

const REPLICAS: usize = 5;
const QUORUM: usize = 3;
const SCHEDULES: u64 = 500;

/// Sends one order to a random quorum or less, with lost messages and answers. Returns whether it is acknowledged.
fn send(replicas: &mut [Replica], order: Order, ballot: Ballot, random: &mut Pcg64) -> bool {
    let key = evacuation::key(&zone());
    let mut settled = Vec::new();
    for step in 0..4 {
        let ballot = Ballot {
            round: ballot.round * 10 + step,
            ..ballot
        };
        let mut reading = QuorumRead::new(vec![key.clone()]);
        let mut promised = 0;
        for replica in &mut *replicas {
            if random.random_bool(0.8)
                && let Ok(promise) = replica.prepare(ballot, std::slice::from_ref(&key))
            {
                promised += 1;
                reading.add(promise);
            }
        }
        if promised < QUORUM {
            return false;
        }
        let unsettled = reading.unsettled(&settled);
        let is_order = unsettled.is_none();
        let plan = || evacuation::plan(order, &zone(), &reading).items;
        let items = unsettled.unwrap_or_else(plan);
        let mut accepted = 0;
        for replica in &mut *replicas {
            if random.random_bool(0.7) && replica.accept(ballot, &items).is_ok() {
                accepted += usize::from(random.random_bool(0.9));
            }
        }
        if accepted < QUORUM {
            return false;
        }
        let items: Vec<_> = items.iter().map(|p| Arc::clone(&p.item)).collect();
        for replica in &mut *replicas {
            if random.random_bool(0.5) {
                replica.commit(ballot, &items);
            }
        }
        if is_order {
            return true;
        }
        settled.push(ballot);
    }
    false
}

/// What the register contains, as read from the replicas `present`.
fn read(replicas: &mut [Replica], present: &[usize], ballot: Ballot) -> Option<Content> {
    let key = evacuation::key(&zone());
    let mut reading = QuorumRead::new(vec![key.clone()]);
    for index in present {
        let promise = replicas[*index].prepare(ballot, std::slice::from_ref(&key));
        reading.add(promise.expect("a promise for the highest ballot"));
    }
    reading.get(&key).map(|item| item.content.clone())
}

/// Guards against an acknowledged order that is undone by an earlier one whose answer was lost, and against one that
/// is not in force when two of the replicas are lost.
#[test]
fn an_acknowledged_order_is_in_force() {
    let mut acknowledged = 0;
    for seed in 0..SCHEDULES {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut replicas = vec![Replica::default(); REPLICAS];
        for round in 1..=12 {
            let order = if random.random_bool(0.5) {
                Order::Start
            } else {
                Order::Finish
            };
            let ballot = Ballot {
                round,
                proposer: Identity(round.into()),
            };
            if !send(&mut replicas, order, ballot, &mut random) {
                continue;
            }
            acknowledged += 1;
            let first = random.random_range(0..REPLICAS);
            let present: Vec<_> = (0..QUORUM).map(|n| (first + n) % REPLICAS).collect();
            // The read is on a copy, so that it settles nothing.
            let highest = Ballot {
                round: 1_000,
                proposer: Identity(0),
            };
            let content = read(&mut replicas.clone(), &present, highest);
            let is_evacuated = content == Some(Content::Evacuation);
            assert_eq!(
                is_evacuated,
                order == Order::Start,
                "seed {seed}, round {round}"
            );
        }
    }
    assert!(
        acknowledged > 1_000,
        "{acknowledged} orders were acknowledged"
    );
}
