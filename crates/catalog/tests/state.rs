//! Replies to commands, the bounds on retained data, and snapshots.

mod fixtures;

use shallotrill_catalog::reply::Reply;
use shallotrill_catalog::state::State;
use shallotrill_catalog::state::Unsorted;
use shallotrill_model::revision::Revision;

struct Case {
    name: &'static str,
    /// Commands as `operator: action`, each followed by ` = ` and the beginning of the expected reply.
    steps: &'static str,
}

/// Guards against changes that are lost, applied twice or based on an outdated revision, and against values out
/// of range.
const CASES: &[Case] = &[
    Case {
        name: "of two concurrent changes one is refused, and the refusal names the other",
        steps: "ann: create a = 1; ann: change a 1 slots 5 = 2; \
                bob: change a 1 slots 6 = revision 1 is outdated: ann made revision 2 at 2; \
                bob: change a 2 slots 6 = 3",
    },
    Case {
        name: "changes of other services do not conflict",
        steps: "ann: create a = 1; ann: create b = 2; ann: change a 2 slots 5 = 3; \
                bob: change b 2 slots 6 = 4",
    },
    Case {
        name: "revision missing or above the current one",
        steps: "ann: create a = 1; \
                ann: change a - slots 5 = the command does not name the revision that it is based on; \
                ann: change a 9 slots 5 = revision 9 is above the current revision 1",
    },
    Case {
        name: "a deleted service: the refusal names the operator, and the claim region cannot change",
        steps: "ann: create a = 1; ann: delete a 1 = 2; \
                bob: change a 2 slots 5 = ann deleted service a in revision 2; \
                bob: create-elsewhere a = the claims of a deleted service of this name are in region waikato; \
                bob: create a = 3; bob: create a = the service exists already, last changed in revision 3; \
                bob: delete b 3 = service b does not exist",
    },
    Case {
        name: "values out of range",
        steps: "ann: create a = 1; ann: change a 1 slots 0 = slots is 0, allowed is 1..=10000; \
                ann: change a 1 retry_budget_permille 1001 = retry_budget_permille is 1001, allowed is 0..=1000; \
                ann: change a 1 crash_limit 0 = crash_limit is 0, allowed is 1..=1000; \
                ann: change a 1 nothing 0 = patch is empty; a b: create b = operator is a b; \
                ann: classify a 1 get / = method is get; ann: classify a 1 GET x = path is x; \
                ann: join a 1 POST /x = join is true; ann: classify a 1 GET /x = 2",
    },
    Case {
        name: "drains",
        steps: "ann: drain i = 1; bob: drain i = the instance is drained already, by ann; \
                bob: undrain i = 2; bob: undrain i = instance i is not drained",
    },
    Case {
        name: "replacement of a lost disk, of a second one during the copy, and changes that name another epoch",
        steps: "ann: form 1 2 3 = 1; ann: form 1 2 3 = the region has a claim group already, in epoch 1; \
                ann: replace 1 3 3 = 2; ann: replace 2 2 2 = member 3 is still copying records; \
                ann: admit 1 3 = the claim group is in epoch 2, but the command names epoch 1; \
                ann: admit 2 2 = member 2 votes in the claim group already; ann: admit 2 3 = 3; \
                ann: replace 3 2 9 = 4; ann: replace 4 9 3 = member 3 would have two seats in the claim group; \
                ann: replace 4 7 8 = member 7 has no seat in the claim group",
    },
    Case {
        name: "groups that cannot be formed",
        steps: "ann: form 1 2 = a claim group needs an odd number of seats up to 7, got 2; \
                ann: form 1 1 2 = member 1 would have two seats in the claim group; \
                ann: admit 1 1 = the region has no claim group",
    },
    Case {
        name: "members and releases",
        steps: "ann: member 1 = 1; ann: member-for 2 1 = control process 2 is not in the list of members; \
                ann: member 2 = 2; ann: member-for 1 2 = control process 2 is in the list of members already; \
                ann: member-for 1 3 = 3; ann: release a = service a does not exist; \
                ann: create a = 4; ann: release a = 5",
    },
];

fn text(reply: &Reply) -> String {
    match reply {
        Reply::Accepted(revision) => revision.to_string(),
        Reply::Refused(refusal) => refusal.to_string(),
    }
}

#[test]
fn replies() {
    for case in CASES {
        let mut state = State::new();
        let mut replies = Vec::new();
        for (index, step) in case.steps.split("; ").enumerate() {
            let (command, expected) = step.split_once(" = ").unwrap();
            let command = fixtures::command(index as u64 + 1, command);
            let before = state.view();
            let reply = state.apply(index as u64 + 1, &command);
            let text = text(&reply);
            let matches = text == expected || expected.len() > 3 && text.starts_with(expected);
            assert!(
                matches,
                "{}: step {step:?}: got the reply {text:?}",
                case.name
            );
            if matches!(reply, Reply::Refused(_)) {
                assert_eq!(
                    state.view(),
                    before,
                    "{}: the refused step {step:?} changed the view",
                    case.name
                );
            }
            replies.push((command, reply));
        }
        let mut resent = State::restore(state.snapshot()).unwrap();
        for (command, reply) in &replies {
            assert_eq!(resent.apply(99, command), *reply, "{} resent", case.name);
            assert_eq!(state.reply(command.id), Some(reply), "{}", case.name);
        }
        assert_eq!(resent.view(), state.view(), "{} resent", case.name);
    }
}

/// Guards against retained replies and changes that grow without bound, and against replies that are dropped
/// before the stated number.
#[test]
fn retained_data_is_bounded() {
    let mut state = State::new();
    state.apply(1, &fixtures::command(1, "ann: create a"));
    let change = |id: u64| fixtures::command(id, &format!("ann: change a {} slots 5", id - 1));
    let mut bytes_max = 0;
    for id in 2..=130_000 {
        state.apply(id, &change(id));
        bytes_max = bytes_max.max(state.usage().bytes());
    }
    assert_eq!(state.revision(), Revision(130_000));
    assert_eq!(state.history().len(), 10_000);
    assert_eq!(
        state.reply(change(30_001).id),
        Some(&Reply::Accepted(Revision(30_001)))
    );
    assert_eq!(state.reply(change(10_000).id), None);
    println!("{:?}, at most {bytes_max} bytes", state.usage());
    assert!(
        bytes_max < 40_000_000,
        "the configuration takes {bytes_max} bytes"
    );
}

/// Guards against a snapshot that loses state, and against a restored one whose vectors are not sorted.
#[test]
fn snapshots_are_complete_and_validated() {
    let mut state = State::new();
    let steps = "ann: create a; ann: create b; ann: drain i; ann: undrain i; ann: form 1 2 3; \
                 ann: member 1; ann: release a; ann: delete b 7; ann: drain j";
    for (index, step) in (1..).zip(steps.split("; ")) {
        let reply = state.apply(index, &fixtures::command(index, step));
        assert_eq!(reply, Reply::Accepted(Revision(index)), "{step}");
    }
    let text = serde_json::to_string(&state.snapshot()).unwrap();
    let decoded = serde_json::from_str(&text).unwrap();
    assert_eq!(State::restore(decoded), Ok(state));
    let (first, second) = ("\"name\":\"a\"", "\"name\":\"c\"");
    let mut state = State::new();
    state.apply(1, &fixtures::command(1, "ann: create a"));
    state.apply(2, &fixtures::command(2, "ann: create b"));
    let text = serde_json::to_string(&state)
        .unwrap()
        .replace(first, second);
    let refused = State::restore(serde_json::from_str(&text).unwrap());
    assert_eq!(refused, Err(Unsorted { vector: "services" }));
}
