//! Planning of proposals, given what the replicas have accepted.

mod fixtures;

use std::sync::Arc;

use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::check;
use shallotrill_items::item::Item;
use shallotrill_items::proposal;
use shallotrill_items::proposal::QuorumRead;
use shallotrill_items::replica::Accepted;
use shallotrill_items::replica::Promise;
use shallotrill_items::replica::Proposed;
use shallotrill_items::replica::Replica;

struct Case {
    name: &'static str,
    /// Items that replicas have accepted, each with its ballot round.
    accepted: fn() -> Vec<(u64, Item)>,
    change: fn() -> Vec<Item>,
    /// Versions of route `r` that are proposed.
    proposed: &'static [u64],
    refused: bool,
}

/// Guards against a lower version that replaces a higher one, two contents of one version, and the refusal of
/// a change that is in effect already.
const CASES: &[Case] = &[
    Case {
        name: "first version",
        accepted: Vec::new,
        change: || vec![fixtures::route("r", 3, "s")],
        proposed: &[3],
        refused: false,
    },
    Case {
        name: "higher version",
        accepted: || vec![(1, fixtures::route("r", 3, "s"))],
        change: || vec![fixtures::route("r", 5, "s")],
        proposed: &[5],
        refused: false,
    },
    Case {
        name: "a lower version is acknowledged without effect",
        accepted: || vec![(1, fixtures::route("r", 3, "s"))],
        change: || vec![fixtures::route("r", 2, "s")],
        proposed: &[3],
        refused: false,
    },
    Case {
        name: "a resent change is acknowledged again",
        accepted: || vec![(1, fixtures::route("r", 3, "s"))],
        change: || vec![fixtures::route("r", 3, "s")],
        proposed: &[3],
        refused: false,
    },
    Case {
        name: "different content of the same version is refused, and the accepted item is proposed again",
        accepted: || vec![(1, fixtures::route("r", 3, "s"))],
        change: || vec![fixtures::removal("r", 3)],
        proposed: &[3],
        refused: true,
    },
    Case {
        name: "no part of a refused change is proposed",
        accepted: || vec![(1, fixtures::route("r", 3, "s"))],
        change: || vec![fixtures::removal("r", 3), fixtures::route("q", 9, "s")],
        proposed: &[3],
        refused: true,
    },
    Case {
        name: "an older version does not restore a removed route",
        accepted: || vec![(1, fixtures::removal("r", 4))],
        change: || vec![fixtures::route("r", 3, "s")],
        proposed: &[4],
        refused: false,
    },
    Case {
        name: "the item with the highest ballot is used, not the one with the highest version",
        accepted: || {
            vec![
                (2, fixtures::route("r", 3, "s")),
                (1, fixtures::route("r", 4, "s")),
            ]
        },
        change: || vec![fixtures::route("r", 4, "s")],
        proposed: &[4],
        refused: false,
    },
    Case {
        name: "of several versions in one change only the highest is proposed",
        accepted: Vec::new,
        change: || vec![fixtures::route("r", 2, "s"), fixtures::removal("r", 3)],
        proposed: &[3],
        refused: false,
    },
];

#[test]
fn changes_are_planned() {
    for case in CASES {
        let mut change = vec![fixtures::service("s", 1)];
        change.extend((case.change)());
        let keys = check::required_keys(&change);
        let mut reading = QuorumRead::new(keys.clone());
        for (round, item) in (case.accepted)() {
            let reply = keys.iter().map(|key| {
                (*key == item.key).then(|| Accepted {
                    ballot: Ballot {
                        round,
                        proposer: Identity(1),
                    },
                    item: Arc::new(item.clone()),
                })
            });
            reading.add(Promise {
                accepted: reply.collect(),
                proposals: Vec::new(),
            });
        }
        let plan = proposal::plan(&change, &reading);
        let items = plan.items.iter().map(|proposed| &proposed.item);
        let routes = items.clone();
        let routes = routes.filter(|i| i.key == fixtures::route_key("r"));
        let versions: Vec<u64> = routes.map(|i| i.version).collect();
        assert_eq!(versions, case.proposed, "{}", case.name);
        assert_eq!(plan.refusal.is_some(), case.refused, "{}", case.name);
        let other = fixtures::route_key("q");
        // A refused change is replaced by what the registers contain without it.
        let mut items = items;
        let is_not_proposed = |item: &Arc<Item>| item.key != other || item.is_absent();
        assert!(items.all(is_not_proposed), "{}", case.name);
    }
}

/// An accepted item: route name, version, service and ballot round.
type AcceptedRoute = (&'static str, u64, &'static str, u64);

struct Unsettled {
    name: &'static str,
    /// Proposal with ballot round 5: route name and version of each item; the routes lead to service `s`. The items
    /// replace version 1, which leads to service `t`.
    proposal: &'static [(&'static str, u64)],
    /// What the replicas have accepted besides.
    accepted: &'static [AcceptedRoute],
    /// Items that are proposed first: route name, version and service.
    expected: Option<&'static [(&'static str, u64, &'static str)]>,
}

/// Guards against a proposal of several items that comes into force in part.
const UNSETTLED: &[Unsettled] = &[
    Unsettled {
        name: "nothing contradicts it",
        proposal: &[("a", 3), ("b", 3)],
        accepted: &[],
        expected: Some(&[("a", 3, "s"), ("b", 3, "s")]),
    },
    Unsettled {
        name: "an item has other content with a higher ballot",
        proposal: &[("a", 3), ("b", 3)],
        accepted: &[("a", 3, "t", 6)],
        expected: Some(&[("b", 1, "t")]),
    },
    Unsettled {
        name: "an item has other content with a lower ballot",
        proposal: &[("a", 3), ("b", 3)],
        accepted: &[("a", 3, "t", 4)],
        expected: Some(&[("a", 3, "s"), ("b", 3, "s")]),
    },
    Unsettled {
        name: "an item was withdrawn",
        proposal: &[("a", 3), ("b", 3)],
        accepted: &[("a", 1, "t", 6)],
        expected: Some(&[("b", 1, "t")]),
    },
    Unsettled {
        name: "an item has a later version",
        proposal: &[("a", 3), ("b", 3)],
        accepted: &[("a", 4, "t", 6)],
        expected: Some(&[("b", 3, "s")]),
    },
    Unsettled {
        name: "all items were replaced",
        proposal: &[("a", 3), ("b", 3)],
        accepted: &[("a", 3, "t", 6), ("b", 1, "t", 7)],
        expected: None,
    },
];

#[test]
fn proposals_are_settled_as_a_whole() {
    let ballot = |round| Ballot {
        round,
        proposer: Identity(1),
    };
    for case in UNSETTLED {
        let items = case.proposal.iter().map(|&(name, version)| Proposed {
            item: Arc::new(fixtures::route(name, version, "s")),
            previous: Arc::new(fixtures::route(name, 1, "t")),
        });
        let items: Vec<Proposed> = items.collect();
        // The proposer has read one register of the proposal, and then reads the others.
        let mut keys = vec![fixtures::route_key("b")];
        for _ in 0..2 {
            let mut replica = Replica::default();
            replica.accept(ballot(5), &items).expect("accepted");
            let mut reading = QuorumRead::new(keys.clone());
            reading.add(replica.prepare(ballot(9), &keys).expect("promised"));
            for &(name, version, service, round) in case.accepted {
                let mut replica = Replica::default();
                let item = Arc::new(fixtures::route(name, version, service));
                replica
                    .accept(ballot(round), &[Proposed::unchanged(Arc::clone(&item))])
                    .expect("accepted");
                replica.commit(ballot(round), &[item]);
                reading.add(replica.prepare(ballot(9), &keys).expect("promised"));
            }
            let missing = reading.missing_keys(&[]);
            if missing.is_empty() {
                let settled = reading.unsettled(&[]);
                let settled = settled.map(|items| items.iter().map(describe).collect::<Vec<_>>());
                let expected = case.expected.map(|expected| {
                    let expected = expected.iter();
                    let route = |&(name, version, service): &(&str, u64, &str)| {
                        fixtures::route(name, version, service)
                    };
                    expected.map(route).collect::<Vec<_>>()
                });
                assert_eq!(settled, expected, "{}", case.name);
                assert_eq!(reading.unsettled(&[ballot(5)]), None, "{}", case.name);
            }
            keys.extend(missing);
            keys.sort();
        }
    }
}

fn describe(proposed: &Proposed) -> Item {
    (*proposed.item).clone()
}

/// Guards against a refused change of which an item comes into force later: the replica that had accepted the change
/// was not read when it was refused, and the item that contradicted it has got a later version since.
#[test]
fn an_item_of_a_refused_change_does_not_return() {
    let mut replicas = vec![Replica::default(); 5];
    let mut round = 0;
    let mut propose = |replicas: &mut [Replica], to: &[usize], change: &[Item]| {
        round += 1;
        let ballot = Ballot {
            round,
            proposer: Identity(1),
        };
        let keys = check::required_keys(change);
        let mut reading = QuorumRead::new(keys.clone());
        for &index in to {
            reading.add(replicas[index].prepare(ballot, &keys).expect("promised"));
        }
        assert_eq!(reading.unsettled(&[]), None);
        let plan = proposal::plan(change, &reading);
        for &index in to {
            replicas[index]
                .accept(ballot, &plan.items)
                .expect("accepted");
        }
        let items: Vec<_> = plan.items.iter().map(|p| Arc::clone(&p.item)).collect();
        (ballot, items, plan.refusal.is_some())
    };
    let services = [fixtures::service("s", 1), fixtures::service("t", 1)];
    let with_services = |routes: &[Item]| [&services, routes].concat();
    let large = with_services(&[fixtures::route("q", 2, "s"), fixtures::route("r", 2, "s")]);
    // The first attempt reaches one replica only.
    propose(&mut replicas, &[0], &large);
    for competing in [fixtures::route("r", 2, "t"), fixtures::route("r", 3, "t")] {
        let change = with_services(&[competing]);
        let (ballot, items, refused) = propose(&mut replicas, &[1, 2, 3], &change);
        assert!(!refused);
        for replica in &mut replicas[1..4] {
            replica.commit(ballot, &items);
        }
        if change[2].version == 2 {
            let (ballot, items, refused) = propose(&mut replicas, &[2, 3, 4], &large);
            assert!(refused);
            for replica in &mut replicas[2..5] {
                replica.commit(ballot, &items);
            }
        }
    }
    // A reader that sees the first attempt.
    let mut keys = vec![fixtures::route_key("q")];
    let ballot = Ballot {
        round: 100,
        proposer: Identity(1),
    };
    for _ in 0..2 {
        let mut reading = QuorumRead::new(keys.clone());
        for replica in &mut replicas[0..3] {
            reading.add(replica.prepare(ballot, &keys).expect("promised"));
        }
        assert_eq!(reading.get(&keys[0]), None);
        keys.extend(reading.missing_keys(&[]));
        keys.sort();
    }
}
