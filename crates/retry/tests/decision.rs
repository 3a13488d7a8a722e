//! Which failures are retried or hedged.

use std::time::Duration;

use shallotrill_model::class::Class;
use shallotrill_model::time::Instant;
use shallotrill_retry::budget::Budget;
use shallotrill_retry::budget::Config as BudgetConfig;
use shallotrill_retry::call::Call;
use shallotrill_retry::call::Refusal;
use shallotrill_retry::decision::Config;
use shallotrill_retry::decision::Decision;
use shallotrill_retry::decision::Failure;
use shallotrill_retry::decision::Kind;
use shallotrill_retry::decision::State;
use shallotrill_retry::decision::Stop;
use shallotrill_retry::decision::decide;
use shallotrill_retry::decision::hedge;
use shallotrill_retry::latency::Window;

const NOW: Instant = Instant(10_000_000);
const MS: Duration = Duration::from_millis(1);

/// An idempotent first attempt of a nested call with two tokens and time to spare.
fn state(class: Class) -> State {
    State {
        class,
        call: Call::nested(2, 1).expect("the depth is allowed"),
        attempts: 1,
        in_flight: 0,
        hedged: false,
        answered_bytes: 0,
        untried: 3,
        deadline: NOW + MS * 500,
        config: Config::default(),
    }
}

fn failed(state: &mut State, kind: Kind, budget: &mut Budget) -> Decision {
    let attempt = state.call.outgoing().expect("the depth is allowed");
    decide(state, &Failure { kind, attempt }, budget, NOW)
}

struct Proof {
    kind: Kind,
    not_run: bool,
}

/// Guards against a payout that runs twice, because its failure did not prove that it never ran.
#[rustfmt::skip]
const PROOFS: &[Proof] = &[
    Proof { kind: Kind::Refused, not_run: true },
    Proof { kind: Kind::Unopened, not_run: true },
    Proof { kind: Kind::Unsent, not_run: true },
    Proof { kind: Kind::Fenced, not_run: true },
    Proof { kind: Kind::Lost, not_run: false },
    Proof { kind: Kind::Shedding(None), not_run: false },
    Proof { kind: Kind::Timeout, not_run: false },
    Proof { kind: Kind::Short, not_run: false },
];

#[test]
fn only_proven_failures_repeat_a_non_idempotent_request() {
    for case in PROOFS {
        for class in [Class::Idempotent, Class::NonIdempotent] {
            let mut budget = Budget::new(BudgetConfig::default(), NOW);
            let decision = failed(&mut state(class), case.kind, &mut budget);
            let expected = if case.not_run || class == Class::Idempotent {
                pause(0)
            } else {
                Decision::Stop(Stop::NotProven(case.kind))
            };
            assert_eq!(decision, expected, "{:?} {class:?}", case.kind);
        }
    }
}

struct Case {
    name: &'static str,
    kind: Kind,
    change: fn(&mut State),
    expected: Decision,
}

#[rustfmt::skip]
const fn case(name: &'static str, kind: Kind, change: fn(&mut State), expected: Decision) -> Case {
    Case { name, kind, change, expected }
}

const fn pause(ms: u64) -> Decision {
    let after = Duration::from_millis(ms);
    Decision::Retry { after }
}

const SHEDS: Kind = Kind::Shedding(Some(Duration::from_millis(100)));
const LATE: Stop = Stop::Deadline(Duration::ZERO);
const TOKENS: Stop = Stop::Refused(Refusal::Tokens);
const NO_CALL_TOKENS: fn(&mut State) = |state| state.call = Call::nested(0, 1).expect("valid");

/// Guards against copies that harm the caller or the service: after bytes were given, too late, too many, or without a pause.
#[rustfmt::skip]
const CASES: &[Case] = &[
    case("given", Kind::Short, |s| s.answered_bytes = 1, Decision::Stop(Stop::Answered(1))),
    case("late", Kind::Refused, |s| s.deadline = NOW, Decision::Stop(LATE)),
    case("many", Kind::Refused, |s| s.attempts = 4, Decision::Stop(Stop::Attempts(4))),
    case("no token", Kind::Lost, NO_CALL_TOKENS, Decision::Stop(TOKENS)),
    case("hedge", Kind::Lost, |s| s.in_flight = 1, Decision::Stop(Stop::InFlight(1))),
    case("quarantined", Kind::Quarantined, |_| (), Decision::Stop(Stop::Quarantined)),
    case("doubled", Kind::Refused, |s| s.attempts = 3, pause(4)),
    case("no other target", Kind::Refused, |s| s.untried = 0, pause(2)),
    case("all shed load", SHEDS, |s| s.untried = 0, pause(100)),
    case("another does not", SHEDS, |_| (), pause(0)),
];

#[test]
fn limits_stop_retries() {
    for case in CASES {
        let mut budget = Budget::new(BudgetConfig::default(), NOW);
        let mut state = state(Class::Idempotent);
        (case.change)(&mut state);
        let decision = failed(&mut state, case.kind, &mut budget);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

struct Slow {
    name: &'static str,
    change: fn(&mut State),
    p95_ms: Option<u64>,
    expected: Decision,
}

#[rustfmt::skip]
const fn slow(name: &'static str, change: fn(&mut State), p95_ms: Option<u64>, expected: Decision) -> Slow {
    Slow { name, change, p95_ms, expected }
}

const LATER: Decision = Decision::Hedge {
    at: Instant(NOW.0 + 20_000),
};
const PAYOUT: fn(&mut State) = |s| s.class = Class::NonIdempotent;

/// Guards against a hedge that is early, repeated, or doubles a non-idempotent request.
#[rustfmt::skip]
const SLOW: &[Slow] = &[
    slow("due", |_| (), Some(5), Decision::Hedge { at: NOW }),
    slow("not due", |_| (), Some(30), LATER),
    slow("non-idempotent", PAYOUT, Some(5), Decision::Stop(Stop::NonIdempotent)),
    slow("repeated", |s| s.hedged = true, Some(5), Decision::Stop(Stop::Hedged)),
    slow("unknown", |_| (), None, Decision::Stop(Stop::LatencyUnknown)),
];

#[test]
fn hedges_are_limited() {
    for case in SLOW {
        let mut budget = Budget::new(BudgetConfig::default(), NOW);
        let mut state = state(Class::Idempotent);
        (case.change)(&mut state);
        let started = Instant(NOW.0 - 10_000);
        let decision = hedge(
            &mut state,
            started,
            case.p95_ms.map(Duration::from_millis),
            &mut budget,
            NOW,
        );
        assert_eq!(decision, case.expected, "{}", case.name);
        let due = decision == Decision::Hedge { at: NOW };
        assert_eq!(budget.spent(), u64::from(due), "{}", case.name);
    }
}

struct Quantile {
    name: &'static str,
    fast: usize,
    slow: usize,
    after_s: u64,
    within_us: Option<(u128, u128)>,
}

#[rustfmt::skip]
const fn quantile(name: &'static str, (fast, slow): (usize, usize), after_s: u64, within_us: Option<(u128, u128)>) -> Quantile {
    Quantile { name, fast, slow, after_s, within_us }
}

/// Guards against hedges from a wrong, stale or unfounded latency.
#[rustfmt::skip]
const QUANTILES: &[Quantile] = &[
    quantile("few samples", (19, 0), 0, None),
    quantile("slow tail", (94, 6), 0, Some((50_000, 56_250))),
    quantile("fast", (96, 4), 0, Some((1_000, 1_125))),
    quantile("forgotten", (100, 0), 20, None),
];

#[test]
fn p95_is_estimated() {
    for case in QUANTILES {
        let mut window = Window::new(Duration::from_secs(10), NOW);
        (0..case.fast).for_each(|_| window.record(MS, NOW));
        (0..case.slow).for_each(|_| window.record(MS * 50, NOW));
        let p95 = window.p95(NOW + Duration::from_secs(case.after_s));
        let within = match (p95.map(|p95| p95.as_micros()), case.within_us) {
            (Some(micros), Some((low, high))) => (low..=high).contains(&micros),
            (found, expected) => found.is_none() && expected.is_none(),
        };
        assert!(within, "{}: {p95:?}", case.name);
    }
}
