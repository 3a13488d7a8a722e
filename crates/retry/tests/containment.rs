//! Tests of crash records, quarantine and request coalescing.

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
use shallotrill_retry::coalescing;
use shallotrill_retry::coalescing::CapacityReached;
use shallotrill_retry::coalescing::Disconnected;
use shallotrill_retry::coalescing::FollowerAction;
use shallotrill_retry::coalescing::LeaderOutcome;
use shallotrill_retry::coalescing::Placement;
use shallotrill_retry::containment;
use shallotrill_retry::containment::Admission;
use shallotrill_retry::containment::CrashRecord;
use shallotrill_retry::containment::SuspectOutcome;

const NOW: Instant = Instant(1_000_000);
const MINUTE: Duration = Duration::from_mins(1);
const SUSPECT: Digest = Digest([1; 32]);

fn instance(number: u64) -> instance::Name {
    instance::Name::new(&format!("i{number}")).expect("the name is valid")
}

/// Records a crash of the first incarnation of an instance with the suspect and `others` further requests in flight.
fn crash(table: &mut containment::Table, number: u64, others: u8) {
    let digests: Vec<Digest> = (1..=others + 1).map(|byte| Digest([byte; 32])).collect();
    table.observe_crash(&instance(number), Incarnation(1), &digests, NOW);
}

struct Case {
    name: &'static str,
    setup: fn(&mut containment::Table),
    after: Duration,
    expected: Admission,
}

#[rustfmt::skip]
const fn case(name: &'static str, setup: fn(&mut containment::Table), after: Duration, expected: Admission) -> Case {
    Case { name, setup, after, expected }
}

const QUARANTINED: Admission = Admission::Quarantined(Instant(NOW.0 + 600_000_000));

/// Guards against a request that crashes several backend servers in sequence, and against the refusal of requests that were only in flight at a crash that another one caused.
#[rustfmt::skip]
const CASES: &[Case] = &[
    case("no crash", |_| (), MINUTE, Admission::Run),
    case("alone once", |t| crash(t, 1, 0), MINUTE, Admission::Isolate),
    case("among others once", |t| crash(t, 1, 3), MINUTE, Admission::Isolate),
    case("same incarnation twice", |t| (0..2).for_each(|_| crash(t, 1, 0)), MINUTE, Admission::Isolate),
    case("among others twice", |t| (0..2).for_each(|i| crash(t, i, 3)), MINUTE, QUARANTINED),
    case("quarantine expired", |t| (0..2).for_each(|i| crash(t, i, 0)), Duration::from_secs(601), Admission::Run),
    case("released by the operator", |t| { crash(t, 1, 0); t.release(SUSPECT); }, MINUTE, Admission::Run),
    case("duplicate after the release", |t| { crash(t, 1, 0); t.release(SUSPECT); crash(t, 1, 0); }, MINUTE, Admission::Run),
    case("an identical request is running", |t| { crash(t, 1, 0); t.admit(SUSPECT, NOW); }, MINUTE, Admission::Wait),
    case("survived, with others at the crash", |t| { crash(t, 1, 3); t.admit(SUSPECT, NOW); t.record_outcome(SUSPECT, SuspectOutcome::Survived); }, MINUTE, Admission::Run),
    case("alone, then survived", |t| { crash(t, 1, 0); t.admit(SUSPECT, NOW); t.record_outcome(SUSPECT, SuspectOutcome::Survived); }, MINUTE, Admission::Isolate),
];

#[test]
fn suspects_are_contained() {
    for case in CASES {
        let mut table = containment::Table::new(containment::Config::default());
        (case.setup)(&mut table);
        let admission = table.admit(SUSPECT, NOW + case.after);
        assert_eq!(admission, case.expected, "{}", case.name);
    }
}

fn merge_all<'records>(records: impl Iterator<Item = &'records CrashRecord>) -> containment::Table {
    let mut table = containment::Table::new(containment::Config::default());
    for record in records {
        table.merge(record.clone(), NOW);
    }
    table
}

proptest! {
    /// Guards against a crash count that depends on the order of crash records or on duplicates.
    #[test]
    fn records_merge_in_any_order(records in vec((0_u8..3, 0_u64..3, 1_u32..3, 0_u8..4), 0..20)) {
        let records: Vec<CrashRecord> = records.into_iter().map(|(digest, number, in_flight, released)| CrashRecord {
            digest: Digest([digest; 32]),
            instance: instance(number),
            incarnation: Incarnation(1),
            in_flight,
            released: released == 0,
            age_ms: 0,
        }).collect();
        let forward = merge_all(records.iter());
        let backward = merge_all(records.iter().chain(&records).rev());
        prop_assert_eq!(forward.suspects(), backward.suspects());
        let reader = merge_all(forward.difference(0, NOW).records.iter());
        prop_assert_eq!(forward.suspects(), reader.suspects());
    }
}

fn key(partner: &str) -> coalescing::Key {
    let partner = partner::Name::new(partner).expect("the name is valid");
    let digest = SUSPECT;
    coalescing::Key { partner, digest }
}

/// Result of a step of [`STEPS`].
#[derive(Debug, PartialEq)]
enum StepResult {
    Entered(Placement),
    Left(Disconnected),
    Cancelled(bool),
    Finished(FollowerAction),
}

struct Step {
    name: &'static str,
    run: fn(&mut coalescing::Table) -> StepResult,
    expected: fn() -> StepResult,
}

fn enter(table: &mut coalescing::Table, partner: &str, id: u128) -> StepResult {
    StepResult::Entered(table.enter(key(partner), Id(id), NOW))
}

fn disconnect(table: &mut coalescing::Table, id: u128) -> StepResult {
    StepResult::Left(table.disconnect(&key("a"), Id(id), NOW))
}

/// Tries to cancel a leader's attempt `after_ms` milliseconds after [`NOW`], with a grace period of 50 ms.
fn cancel(table: &mut coalescing::Table, id: u128, after_ms: u64) -> StepResult {
    let grace = Duration::from_millis(50);
    let now = NOW + Duration::from_millis(after_ms);
    StepResult::Cancelled(table.cancel(&key("a"), Id(id), grace, now))
}

fn finish(table: &mut coalescing::Table, id: u128, end: LeaderOutcome) -> StepResult {
    StepResult::Finished(table.finish(&key("a"), Id(id), end))
}

#[rustfmt::skip]
const fn step(name: &'static str, run: fn(&mut coalescing::Table) -> StepResult, expected: fn() -> StepResult) -> Step {
    Step { name, run, expected }
}

/// Guards against a response that reaches another partner, against an attempt that is lost when its first caller
/// disconnects, and against a slow attempt that is restarted for each resent request. Each step continues from the
/// previous one.
#[rustfmt::skip]
const STEPS: &[Step] = &[
    step("first request", |t| enter(t, "a", 1), || StepResult::Entered(Placement::Lead)),
    step("other partner", |t| enter(t, "b", 9), || StepResult::Entered(Placement::Lead)),
    step("identical request", |t| enter(t, "a", 2), || StepResult::Entered(Placement::Follow(Id(1)))),
    step("second identical request", |t| enter(t, "a", 3), || StepResult::Entered(Placement::Follow(Id(1)))),
    step("too many followers", |t| enter(t, "a", 4), || StepResult::Entered(Placement::Alone(CapacityReached::Followers))),
    step("leader disconnects", |t| disconnect(t, 1), || StepResult::Left(Disconnected::OwnerChanged(Id(2)))),
    step("leader is cancelled", |t| finish(t, 1, LeaderOutcome::Cancelled), || StepResult::Finished(FollowerAction::Promoted(Id(2)))),
    step("end of a replaced leader", |t| finish(t, 1, LeaderOutcome::Completed), || StepResult::Finished(FollowerAction::Unknown)),
    step("response", |t| finish(t, 2, LeaderOutcome::Completed), || StepResult::Finished(FollowerAction::Deliver(vec![Id(3)]))),
    step("request after the response", |t| enter(t, "a", 5), || StepResult::Entered(Placement::Lead)),
    step("last caller disconnects", |t| disconnect(t, 5), || StepResult::Left(Disconnected::Orphaned(Id(5)))),
    step("disconnects a second time", |t| disconnect(t, 5), || StepResult::Left(Disconnected::Unknown)),
    step("within the grace period", |t| cancel(t, 5, 49), || StepResult::Cancelled(false)),
    step("request is resent", |t| enter(t, "a", 6), || StepResult::Entered(Placement::Follow(Id(5)))),
    step("not cancelled while a caller waits", |t| cancel(t, 5, 51), || StepResult::Cancelled(false)),
    step("resending caller disconnects", |t| disconnect(t, 6), || StepResult::Left(Disconnected::Orphaned(Id(5)))),
    step("after the grace period", |t| cancel(t, 5, 50), || StepResult::Cancelled(true)),
    step("already removed", |t| cancel(t, 5, 51), || StepResult::Cancelled(false)),
    step("request after the cancellation", |t| enter(t, "a", 7), || StepResult::Entered(Placement::Lead)),
];

#[test]
fn identical_requests_are_coalesced() {
    let mut table = coalescing::Table::new(coalescing::Config::default().followers_max(2));
    for step in STEPS {
        assert_eq!((step.run)(&mut table), (step.expected)(), "{}", step.name);
    }
}
