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
            reading.add(reply.collect());
        }
        let plan = proposal::plan(&change, &reading);
        let routes = plan.items.iter();
        let routes = routes.filter(|i| i.key == fixtures::route_key("r"));
        let versions: Vec<u64> = routes.map(|i| i.version).collect();
        assert_eq!(versions, case.proposed, "{}", case.name);
        assert_eq!(plan.refusal.is_some(), case.refused, "{}", case.name);
        let other = fixtures::route_key("q");
        assert!(plan.items.iter().all(|i| i.key != other), "{}", case.name);
    }
}
