//! What becomes of a change, given what the replicas hold.

mod scene;

use std::sync::Arc;

use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::check;
use shallotrill_items::item::Item;
use shallotrill_items::proposal;
use shallotrill_items::proposal::Reading;
use shallotrill_items::replica::Accepted;

struct Case {
    name: &'static str,
    /// What replicas show for the route, each with its ballot round.
    held: fn() -> Vec<(u64, Item)>,
    change: fn() -> Vec<Item>,
    /// Versions of the route that are proposed, and whether the change is refused.
    proposed: &'static [u64],
    refused: bool,
}

/// Guards against a version that goes back, two contents of one version, and a refusal of what is in force.
const CASES: &[Case] = &[
    Case {
        name: "first version",
        held: Vec::new,
        change: || vec![scene::route("r", 3, "s")],
        proposed: &[3],
        refused: false,
    },
    Case {
        name: "higher version",
        held: || vec![(1, scene::route("r", 3, "s"))],
        change: || vec![scene::route("r", 5, "s")],
        proposed: &[5],
        refused: false,
    },
    Case {
        name: "lower version changes nothing and is acknowledged",
        held: || vec![(1, scene::route("r", 3, "s"))],
        change: || vec![scene::route("r", 2, "s")],
        proposed: &[3],
        refused: false,
    },
    Case {
        name: "the same again is acknowledged again",
        held: || vec![(1, scene::route("r", 3, "s"))],
        change: || vec![scene::route("r", 3, "s")],
        proposed: &[3],
        refused: false,
    },
    Case {
        name: "other content of the same version is refused, and what is held is settled first",
        held: || vec![(1, scene::route("r", 3, "s"))],
        change: || vec![scene::removal("r", 3)],
        proposed: &[3],
        refused: true,
    },
    Case {
        name: "no part of a refused change is proposed",
        held: || vec![(1, scene::route("r", 3, "s"))],
        change: || vec![scene::removal("r", 3), scene::route("q", 9, "s")],
        proposed: &[3],
        refused: true,
    },
    Case {
        name: "a removed route does not come back with an older version",
        held: || vec![(1, scene::removal("r", 4))],
        change: || vec![scene::route("r", 3, "s")],
        proposed: &[4],
        refused: false,
    },
    Case {
        name: "the highest ballot is what counts, not the highest version",
        held: || {
            vec![
                (2, scene::route("r", 3, "s")),
                (1, scene::route("r", 4, "s")),
            ]
        },
        change: || vec![scene::route("r", 4, "s")],
        proposed: &[4],
        refused: false,
    },
    Case {
        name: "the highest version of several in one change",
        held: Vec::new,
        change: || vec![scene::route("r", 2, "s"), scene::removal("r", 3)],
        proposed: &[3],
        refused: false,
    },
];

#[test]
fn changes_are_planned() {
    for case in CASES {
        let mut change = vec![scene::service("s", 1)];
        change.extend((case.change)());
        let keys = check::needed(&change);
        let mut reading = Reading::new(keys.clone());
        for (round, item) in (case.held)() {
            let shown = keys.iter().map(|key| {
                (*key == item.key).then(|| Accepted {
                    ballot: Ballot {
                        round,
                        proposer: Identity(1),
                    },
                    item: Arc::new(item.clone()),
                })
            });
            reading.add(shown.collect());
        }
        let plan = proposal::plan(&change, &reading);
        let routes = plan.items.iter();
        let routes = routes.filter(|i| i.key == scene::route_key("r"));
        let versions: Vec<u64> = routes.map(|i| i.version).collect();
        assert_eq!(versions, case.proposed, "{}", case.name);
        assert_eq!(plan.refusal.is_some(), case.refused, "{}", case.name);
        let other = scene::route_key("q");
        assert!(plan.items.iter().all(|i| i.key != other), "{}", case.name);
    }
}
