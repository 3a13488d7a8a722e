//! Keys of workspaces: each is held by one workspace, also when two changes meet or one is delivered late.

mod fixtures;

use std::sync::Arc;

use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::check;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::proposal;
use shallotrill_items::proposal::Plan;
use shallotrill_items::proposal::QuorumRead;
use shallotrill_items::replica::Replica;
use shallotrill_items::table::Table;
use shallotrill_items::workspace::Digest;
use shallotrill_items::workspace::Workspace;

/// A version of a workspace: its name, version and keys; `None` removes it.
type Version = (&'static str, u64, Option<&'static [&'static str]>);

struct Case {
    name: &'static str,
    /// Changes in the order in which they are proposed; the last one is checked.
    changes: &'static [&'static [Version]],
    accepted: bool,
    /// Each key with the workspace that holds it afterwards.
    holders: &'static [(&'static str, Option<&'static str>)],
}

/// Guards against a key that two workspaces hold, and against a key that stays with a workspace that gave it up.
const CASES: &[Case] = &[
    Case {
        name: "two workspaces of one change",
        changes: &[&[("a", 1, Some(&["k"])), ("b", 1, Some(&["k"]))]],
        accepted: false,
        holders: &[("k", None)],
    },
    Case {
        name: "the other workspace is not in the change",
        changes: &[&[("a", 1, Some(&["k"]))], &[("b", 1, Some(&["k", "l"]))]],
        accepted: false,
        holders: &[("k", Some("a")), ("l", None)],
    },
    Case {
        name: "the other workspace gave the key up before",
        changes: &[
            &[("a", 1, Some(&["k"]))],
            &[("a", 2, Some(&["l"]))],
            &[("b", 1, Some(&["k"]))],
        ],
        accepted: true,
        holders: &[("k", Some("b")), ("l", Some("a"))],
    },
    Case {
        name: "the other workspace gives the key up in the same change",
        changes: &[
            &[("a", 1, Some(&["k"]))],
            &[("b", 1, Some(&["k"])), ("a", 2, Some(&[]))],
        ],
        accepted: true,
        holders: &[("k", Some("b"))],
    },
    Case {
        name: "two workspaces exchange their keys",
        changes: &[
            &[("a", 1, Some(&["k"])), ("b", 1, Some(&["l"]))],
            &[("a", 2, Some(&["l"])), ("b", 2, Some(&["k"]))],
        ],
        accepted: true,
        holders: &[("k", Some("b")), ("l", Some("a"))],
    },
    Case {
        name: "the other workspace was removed",
        changes: &[
            &[("a", 1, Some(&["k"]))],
            &[("a", 2, None)],
            &[("b", 1, Some(&["k"]))],
        ],
        accepted: true,
        holders: &[("k", Some("b"))],
    },
    Case {
        name: "an older version that is delivered again is acknowledged and takes no key back",
        changes: &[
            &[("a", 1, Some(&["k"]))],
            &[("a", 2, Some(&["l"]))],
            &[("b", 1, Some(&["k"]))],
            &[("a", 1, Some(&["k"]))],
        ],
        accepted: true,
        holders: &[("k", Some("b")), ("l", Some("a"))],
    },
    Case {
        name: "a change that is sent again",
        changes: &[&[("a", 1, Some(&["k"]))], &[("a", 1, Some(&["k"]))]],
        accepted: true,
        holders: &[("k", Some("a"))],
    },
];

fn workspace(&(name, version, keys): &Version) -> Item {
    let key = Key {
        kind: Kind::Workspace,
        name: name.into(),
    };
    let content = match keys {
        None => Content::Removed,
        Some(keys) => {
            let mut keys: Vec<Digest> = keys.iter().map(|k| Digest::of(k.as_bytes())).collect();
            keys.sort();
            Content::Workspace(Workspace {
                keys,
                priority: 0,
                allotment: None,
            })
        }
    };
    fixtures::item(key, version, content)
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        proposer: Identity(1),
    }
}

/// Plans a change on what some replicas have accepted, as a proposer does.
fn plan(replicas: &mut [Replica], ballot: Ballot, change: &[Item]) -> Plan {
    let mut keys = check::required_keys(change);
    loop {
        let mut reading = QuorumRead::new(keys.clone());
        for replica in replicas.iter_mut() {
            reading.add(replica.prepare(ballot, &keys).expect("promised"));
        }
        assert_eq!(reading.unsettled(&[]), None);
        let plan = proposal::plan(change, &reading);
        if plan.missing.is_empty() {
            return plan;
        }
        keys.extend(plan.missing);
        keys.sort();
        keys.dedup();
    }
}

fn holder(replica: &Replica, key: &str) -> Option<String> {
    let key = Digest::of(key.as_bytes()).holder_key();
    let item = replica.committed().find(|item| item.key == key)?;
    match &item.content {
        Content::KeyHolder(name) => Some(name.as_str().to_owned()),
        _ => None,
    }
}

#[test]
fn a_key_is_held_by_one_workspace() {
    for case in CASES {
        let mut replicas = [Replica::default()];
        let mut accepted = true;
        for (round, change) in (1..).zip(case.changes) {
            let change: Vec<Item> = change.iter().map(workspace).collect();
            let plan = plan(&mut replicas, ballot(round), &change);
            accepted = plan.refusal.is_none();
            let items: Vec<_> = plan.items.iter().map(|p| Arc::clone(&p.item)).collect();
            let replica = &mut replicas[0];
            replica
                .accept(ballot(round), &plan.items)
                .expect("accepted");
            replica.commit(ballot(round), &items);
        }
        assert_eq!(accepted, case.accepted, "{}", case.name);
        for &(key, expected) in case.holders {
            let held_by = holder(&replicas[0], key);
            assert_eq!(held_by.as_deref(), expected, "{}: {key}", case.name);
        }
    }
}

/// Guards against two changes at the same time that both give one key to their workspace: their quorums share one
/// replica, so the second proposer reads the first one's item.
#[test]
fn two_changes_at_once_do_not_share_a_key() {
    let mut replicas = [Replica::default(), Replica::default(), Replica::default()];
    let first = [workspace(&("a", 1, Some(&["k"])))];
    let second = [workspace(&("b", 1, Some(&["k"])))];
    // Both plan before either is accepted.
    let early = plan(&mut replicas[1..], ballot(1), &second);
    assert!(early.refusal.is_none());
    let planned = plan(&mut replicas[..2], ballot(2), &first);
    for replica in &mut replicas[..2] {
        replica.accept(ballot(2), &planned.items).expect("accepted");
    }
    // The shared replica has promised a higher ballot.
    assert!(replicas[1].accept(ballot(1), &early.items).is_err());
    let items: Vec<_> = planned.items.iter().map(|p| Arc::clone(&p.item)).collect();
    for replica in &mut replicas[..2] {
        replica.commit(ballot(2), &items);
    }
    let late = plan(&mut replicas[1..], ballot(3), &second);
    assert!(late.refusal.is_some());
}

/// Guards against a key that is found after its workspace lost it, and against routes that are open to everyone after
/// the last workspace was removed.
#[test]
fn keys_are_looked_up() {
    let mut table = Table::default();
    assert!(!table.requires_key());
    let holder = |table: &Table, key: &str| {
        let found = table.workspace_of(Digest::of(key.as_bytes()));
        found.map(|active| active.name.as_str().to_owned())
    };
    let apply = |table: &mut Table, version: Version| table.apply(&[Arc::new(workspace(&version))]);
    assert!(apply(&mut table, ("a", 1, Some(&["k", "l"]))));
    assert!(apply(&mut table, ("b", 1, Some(&["m"]))));
    assert!(table.requires_key());
    for (key, expected) in [
        ("k", Some("a")),
        ("l", Some("a")),
        ("m", Some("b")),
        ("", None),
    ] {
        assert_eq!(holder(&table, key).as_deref(), expected, "{key}");
    }
    assert!(apply(&mut table, ("a", 2, Some(&["l"]))));
    assert_eq!(holder(&table, "k"), None);
    assert_eq!(holder(&table, "l").as_deref(), Some("a"));
    assert!(apply(&mut table, ("a", 3, None)));
    assert!(apply(&mut table, ("b", 2, None)));
    assert_eq!(holder(&table, "l"), None);
    assert!(table.requires_key());
}

/// Guards against keys in log lines and error messages.
#[test]
fn keys_are_not_formatted() {
    let mut item = workspace(&("a", 1, Some(&["secret-key"])));
    item.document = r#"{"apiKeys":["secret-key"]}"#.into();
    assert!(!format!("{item:?}").contains("secret-key"));
}

/// Guards against a change of many workspaces that is applied differently from the same changes one by one.
#[test]
fn many_workspaces_at_once_are_applied_as_one_by_one() {
    const WORKSPACES: u64 = 100;
    let text = |number: u64| format!("w-{number}");
    let version = |number: u64, version: u64| {
        let mut item = workspace(&("w", version, Some(&[])));
        let key = Digest::of(format!("{number}-{version}").as_bytes());
        item.key.name = text(number).into();
        item.content = Content::Workspace(Workspace {
            keys: vec![key],
            priority: 0,
            allotment: None,
        });
        Arc::new(item)
    };
    let (mut together, mut one_by_one) = (Table::default(), Table::default());
    for round in 1..=2 {
        let items: Vec<Arc<Item>> = (0..WORKSPACES).map(|n| version(n, round)).collect();
        together.apply(&items);
        for item in items {
            one_by_one.apply(&[item]);
        }
        for number in 0..WORKSPACES {
            for table in [&together, &one_by_one] {
                let current = Digest::of(format!("{number}-{round}").as_bytes());
                let holder = table
                    .workspace_of(current)
                    .map(|w| w.name.as_str().to_owned());
                assert_eq!(holder, Some(text(number)));
                let earlier = Digest::of(format!("{number}-{}", round - 1).as_bytes());
                assert!(table.workspace_of(earlier).is_none());
            }
        }
    }
}
