//! Commands from short texts.

use std::sync::Arc;

use shallotrill_catalog::action::Action;
use shallotrill_catalog::command::Command;
use shallotrill_catalog::member;
use shallotrill_catalog::patch::Patch;
use shallotrill_model::class;
use shallotrill_model::command;
use shallotrill_model::digest::Digest;
use shallotrill_model::region;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;
use shallotrill_model::time;

/// The command of a text `operator: action words`.
pub fn command(id: u64, text: &str) -> Command {
    let (operator, rest) = text.split_once(": ").unwrap();
    let words: Vec<&str> = rest.split(' ').collect();
    let revision = words.get(2).and_then(|word| word.parse().ok());
    Command {
        id: command::Id(u128::from(id)),
        base: revision.map(Revision),
        operator: Arc::from(operator),
        at: time::Wall(id),
        action: action(id, &words),
    }
}

fn action(id: u64, words: &[&str]) -> Action {
    let word = |index: usize| words[index];
    let number = |index: usize| words[index].parse().unwrap();
    let name = || service::Name::new(words[1]).unwrap();
    let instance = || words[1].try_into().unwrap();
    let region = || region::Name::new("waikato").unwrap();
    let member = |index: usize| member::Id(number(index));
    let disk = |member: member::Id| member::Disk(u64::from(member.0) + id * 100);
    match words[0] {
        "create" => Action::CreateService(service::Spec::new(name(), region())),
        "create-elsewhere" => {
            let region = region::Name::new("nordland").unwrap();
            Action::CreateService(service::Spec::new(name(), region))
        }
        "change" => change(word(1), patch(word(3), number(4))),
        "delete" => Action::DeleteService { name: name() },
        "classify" | "join" => Action::Classify {
            name: name(),
            rule: class::Rule {
                method: Arc::from(word(3)),
                path: Arc::from(word(4)),
                class: class::Class::NonIdempotent,
                priority: 0,
                join: words[0] == "join",
            },
        },
        "drain" => Action::Drain {
            instance: instance(),
        },
        "undrain" => Action::Undrain {
            instance: instance(),
        },
        "form" => Action::FormGroup {
            region: region(),
            members: (1..words.len())
                .map(|i| (member(i), disk(member(i))))
                .collect(),
        },
        "replace" => Action::ReplaceSeat {
            region: region(),
            epoch: u64::from(number(1)),
            old: member(2),
            new: member(3),
            disk: disk(member(3)),
        },
        "admit" => Action::AdmitSeat {
            region: region(),
            epoch: u64::from(number(1)),
            member: member(2),
        },
        "member" => Action::AddMember(listed(member(1))),
        "member-for" => Action::ReplaceMember {
            old: member(1),
            new: listed(member(2)),
        },
        "release" => Action::Release {
            service: name(),
            digest: Digest([1; 32]),
        },
        other => panic!("unknown action {other}"),
    }
}

/// A change of a service.
pub fn change(name: &str, patch: Patch) -> Action {
    let name = service::Name::new(name).unwrap();
    Action::ChangeService { name, patch }
}

fn patch(field: &str, value: u32) -> Patch {
    let mut patch = Patch::default();
    match field {
        "slots" => patch.slots = Some(value),
        "retry_budget_permille" => patch.retry_budget_permille = Some(value),
        "crash_limit" => patch.crash_limit = Some(value),
        _ => {}
    }
    patch
}

fn listed(id: member::Id) -> member::Member {
    member::Member {
        id,
        disk: member::Disk(1),
        instance: "i".try_into().unwrap(),
        zone: "hamilton".try_into().unwrap(),
        region: "waikato".try_into().unwrap(),
    }
}
