//! Crash facts, quarantine and joined copies.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prop_assert_eq;
use proptest::proptest;

use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::request::Id;
use shallotrill_model::time::Instant;
use shallotrill_retry::containment;
use shallotrill_retry::containment::Admission;
use shallotrill_retry::containment::Ending;
use shallotrill_retry::containment::Fact;
use shallotrill_retry::join;
use shallotrill_retry::join::End;
use shallotrill_retry::join::Enter;
use shallotrill_retry::join::Finish;
use shallotrill_retry::join::Full;
use shallotrill_retry::join::Left;

const NOW: Instant = Instant(1_000_000);
const MINUTE: Duration = Duration::from_mins(1);
const SUSPECT: Digest = Digest([1; 32]);

fn instance(number: u64) -> instance::Name {
    instance::Name::new(&format!("i{number}")).expect("the name is valid")
}

/// A crash of one life of `instance` with the suspect and `others` in flight.
fn crash(table: &mut containment::Table, number: u64, others: u8) {
    let digests: Vec<Digest> = (1..=others + 1).map(|byte| Digest([byte; 32])).collect();
    table.observe_crash(&instance(number), Incarnation(1), &digests, NOW);
}

struct Case {
    name: &'static str,
    change: fn(&mut containment::Table),
    after: Duration,
    expected: Admission,
}

#[rustfmt::skip]
const fn case(name: &'static str, change: fn(&mut containment::Table), after: Duration, expected: Admission) -> Case {
    Case { name, change, after, expected }
}

const UNTIL: Admission = Admission::Quarantined(Instant(NOW.0 + 600_000_000));

/// Guards against a request that crashes one backend server after another, and against bystanders that are refused.
#[rustfmt::skip]
const CASES: &[Case] = &[
    case("unknown", |_| (), MINUTE, Admission::Run),
    case("alone once", |t| crash(t, 1, 0), MINUTE, Admission::Isolate),
    case("among others once", |t| crash(t, 1, 3), MINUTE, Admission::Isolate),
    case("same life twice", |t| (0..2).for_each(|_| crash(t, 1, 0)), MINUTE, Admission::Isolate),
    case("among others twice", |t| (0..2).for_each(|i| crash(t, i, 3)), MINUTE, UNTIL),
    case("time", |t| (0..2).for_each(|i| crash(t, i, 0)), Duration::from_secs(601), Admission::Run),
    case("operator", |t| { crash(t, 1, 0); t.release(SUSPECT); }, MINUTE, Admission::Run),
    case("duplicate after the operator", |t| { crash(t, 1, 0); t.release(SUSPECT); crash(t, 1, 0); }, MINUTE, Admission::Run),
    case("one copy runs", |t| { crash(t, 1, 0); t.admit(SUSPECT, NOW); }, MINUTE, Admission::Wait),
    case("bystander", |t| { crash(t, 1, 3); t.admit(SUSPECT, NOW); t.finished(SUSPECT, Ending::Survived); }, MINUTE, Admission::Run),
    case("alone, then survived", |t| { crash(t, 1, 0); t.admit(SUSPECT, NOW); t.finished(SUSPECT, Ending::Survived); }, MINUTE, Admission::Isolate),
];

#[test]
fn suspects_are_contained() {
    for case in CASES {
        let mut table = containment::Table::new(containment::Config::default());
        (case.change)(&mut table);
        let admission = table.admit(SUSPECT, NOW + case.after);
        assert_eq!(admission, case.expected, "{}", case.name);
    }
}

fn merged<'facts>(facts: impl Iterator<Item = &'facts Fact>) -> containment::Table {
    let mut table = containment::Table::new(containment::Config::default());
    for fact in facts {
        table.merge(fact.clone(), NOW);
    }
    table
}

proptest! {
    /// Guards against a crash count that depends on how often or in which order facts arrive.
    #[test]
    fn facts_merge_in_any_order(facts in vec((0_u8..3, 0_u64..3, 1_u32..3, 0_u8..4), 0..20)) {
        let facts: Vec<Fact> = facts.into_iter().map(|(digest, number, in_flight, released)| Fact {
            digest: Digest([digest; 32]),
            instance: instance(number),
            incarnation: Incarnation(1),
            in_flight,
            released: released == 0,
            age_ms: 0,
        }).collect();
        let forward = merged(facts.iter());
        let backward = merged(facts.iter().chain(&facts).rev());
        prop_assert_eq!(forward.suspects(), backward.suspects());
        let reader = merged(forward.difference(0, NOW).facts.iter());
        prop_assert_eq!(forward.suspects(), reader.suspects());
    }
}

fn key(partner: &str) -> join::Key {
    let partner = partner::Name::new(partner).expect("the name is valid");
    let digest = SUSPECT;
    join::Key { partner, digest }
}

/// What a step on the copies of one request returns.
#[derive(Debug, PartialEq)]
enum Seen {
    Entered(Enter),
    Left(Left),
    Cancelled(bool),
    Finished(Finish),
}

struct Step {
    name: &'static str,
    run: fn(&mut join::Table) -> Seen,
    expected: fn() -> Seen,
}

fn enter(table: &mut join::Table, partner: &str, id: u128) -> Seen {
    Seen::Entered(table.enter(key(partner), Id(id), NOW))
}

fn leave(table: &mut join::Table, id: u128) -> Seen {
    Seen::Left(table.disconnect(&key("a"), Id(id), NOW))
}

/// Asks for the cancellation of a leader's work some time after [`NOW`], with a grace of 50 ms.
fn cancel(table: &mut join::Table, id: u128, after_ms: u64) -> Seen {
    let grace = Duration::from_millis(50);
    let now = NOW + Duration::from_millis(after_ms);
    Seen::Cancelled(table.cancel(&key("a"), Id(id), grace, now))
}

fn finish(table: &mut join::Table, id: u128, end: End) -> Seen {
    Seen::Finished(table.finish(&key("a"), Id(id), end))
}

#[rustfmt::skip]
const fn step(name: &'static str, run: fn(&mut join::Table) -> Seen, expected: fn() -> Seen) -> Step {
    Step { name, run, expected }
}

/// Guards against an answer that reaches another partner, against work lost with its first caller, and against a slow answer that starts anew for each impatient copy. Each step continues the last.
#[rustfmt::skip]
const STEPS: &[Step] = &[
    step("first", |t| enter(t, "a", 1), || Seen::Entered(Enter::Lead)),
    step("other partner", |t| enter(t, "b", 9), || Seen::Entered(Enter::Lead)),
    step("copy", |t| enter(t, "a", 2), || Seen::Entered(Enter::Follow(Id(1)))),
    step("second copy", |t| enter(t, "a", 3), || Seen::Entered(Enter::Follow(Id(1)))),
    step("too many", |t| enter(t, "a", 4), || Seen::Entered(Enter::Alone(Full::Followers))),
    step("leader leaves", |t| leave(t, 1), || Seen::Left(Left::Owned(Id(2)))),
    step("work is cancelled", |t| finish(t, 1, End::Cancelled), || Seen::Finished(Finish::Promoted(Id(2)))),
    step("late end", |t| finish(t, 1, End::Settled), || Seen::Finished(Finish::Unknown)),
    step("answer", |t| finish(t, 2, End::Settled), || Seen::Finished(Finish::Deliver(vec![Id(3)]))),
    step("anew", |t| enter(t, "a", 5), || Seen::Entered(Enter::Lead)),
    step("nobody waits", |t| leave(t, 5), || Seen::Left(Left::Orphaned(Id(5)))),
    step("left once", |t| leave(t, 5), || Seen::Left(Left::Unknown)),
    step("within the grace", |t| cancel(t, 5, 49), || Seen::Cancelled(false)),
    step("sent again", |t| enter(t, "a", 6), || Seen::Entered(Enter::Follow(Id(5)))),
    step("somebody waits", |t| cancel(t, 5, 51), || Seen::Cancelled(false)),
    step("nobody waits again", |t| leave(t, 6), || Seen::Left(Left::Orphaned(Id(5)))),
    step("after the grace", |t| cancel(t, 5, 50), || Seen::Cancelled(true)),
    step("is gone", |t| cancel(t, 5, 51), || Seen::Cancelled(false)),
    step("starts anew", |t| enter(t, "a", 7), || Seen::Entered(Enter::Lead)),
];

#[test]
fn copies_are_joined() {
    let mut table = join::Table::new(join::Config::default().followers_max(2));
    for step in STEPS {
        assert_eq!((step.run)(&mut table), (step.expected)(), "{}", step.name);
    }
}
