//! Views of nodes that are updated by differences.

mod fixtures;

use proptest::collection;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use shallotrill_catalog::difference::Update;
use shallotrill_catalog::state::State;
use shallotrill_catalog::view::View;
use shallotrill_model::revision::Revision;

/// Text of a random command. It uses few names, so that objects are removed and created again.
fn text(choice: u32, revision: Revision) -> String {
    let name = ["a", "b", "c"][(choice >> 8) as usize % 3];
    let number = (choice >> 16) % 4 + 1;
    let action = match choice % 12 {
        0 | 1 => format!("create {name}"),
        2 => format!("change {name} {revision} slots {number}"),
        3 | 4 => format!("delete {name} {revision}"),
        5 => format!("drain {name}"),
        6 => format!("undrain {name}"),
        7 => format!("release {name}"),
        8 => format!("member {number}"),
        9 => format!("member-for {number} {}", (choice >> 20) % 4 + 1),
        10 => format!("replace {} 1 {number}", choice >> 20 & 1),
        _ => format!("classify {name} {revision} GET /{number}"),
    };
    format!("ann: {action}")
}

/// Guards against a node whose configuration differs from the accepted one or returns to a lower revision.
#[test]
fn updated_views_equal_the_state() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let schedule = collection::vec(any::<u32>(), 50..200);
    let result = TestRunner::new_with_rng(config, rng).run(&schedule, |choices| {
        let mut state = State::new();
        state.apply(1, &fixtures::command(1, "ann: form 1 2 3"));
        let mut views = [View::default(), View::default(), View::default()];
        let mut outdated = state.difference(Revision(0));
        for (index, choice) in choices.iter().enumerate() {
            let id = index as u64 + 2;
            state.apply(id, &fixtures::command(id, &text(*choice, state.revision())));
            // The first view is updated at once, the second sometimes, and the third gets outdated updates as well.
            for (number, view) in views.iter_mut().enumerate() {
                if number > 0 && choice >> 24 > 40 {
                    continue;
                }
                let held = view.revision;
                if number == 2 && view.apply(outdated.clone()).is_err() {
                    assert!(view.revision == held, "a refused update changed the view");
                }
                let update = state.difference(view.revision);
                outdated = update.clone();
                view.apply(update).unwrap();
                assert_eq!(*view, state.view());
                assert!(view.revision >= held);
            }
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

struct Case {
    /// Revision of the view.
    held: u64,
    /// Revision since which the difference is requested.
    since: u64,
    expected: &'static str,
}

const fn case(held: u64, since: u64, expected: &'static str) -> Case {
    Case {
        held,
        since,
        expected,
    }
}

/// Guards against an update that leads to a lower revision or omits changes. The state is at revision 4.
const CASES: &[Case] = &[
    case(2, 2, "fits"),
    case(2, 1, "fits"),
    case(
        2,
        3,
        "the update applies to revision 3, but the view is at revision 2",
    ),
    case(
        5,
        2,
        "the update leads to revision 4, below revision 5 of the view",
    ),
    case(
        5,
        5,
        "the update leads to revision 4, below revision 5 of the view",
    ),
];

#[test]
fn inapplicable_updates_are_refused() {
    for case in CASES {
        let mut state = State::new();
        for id in 1..=4 {
            state.apply(id, &fixtures::command(id, &format!("ann: create s{id}")));
        }
        let mut view = View {
            revision: Revision(case.held),
            ..state.view()
        };
        let before = view.clone();
        let result = view.apply(state.difference(Revision(case.since)));
        let text = result.map_or_else(|refusal| refusal.to_string(), |()| String::from("fits"));
        assert_eq!(
            text, case.expected,
            "view at {}, since {}",
            case.held, case.since
        );
        let expected = if result.is_ok() { state.view() } else { before };
        assert_eq!(
            view, expected,
            "view at {}, since {}",
            case.held, case.since
        );
    }
}

/// Guards against a difference that omits removals because they are no longer retained.
#[test]
fn old_revisions_get_a_snapshot() {
    let mut state = State::new();
    for id in 1..=40_003 {
        let action = if id % 2 == 1 { "drain" } else { "undrain" };
        state.apply(id, &fixtures::command(id, &format!("ann: {action} i")));
    }
    let retained = state.difference(Revision(2));
    assert!(matches!(retained, Update::Difference(_)));
    let dropped = state.difference(Revision(1));
    assert_eq!(dropped, Update::Snapshot(state.view()));
}
