//! Tests of the retry and hedging decisions and of the latency estimate.

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
use shallotrill_retry::decision::FailureKind;
use shallotrill_retry::decision::State;
use shallotrill_retry::decision::StopReason;
use shallotrill_retry::decision::decide;
use shallotrill_retry::decision::hedge;
use shallotrill_retry::latency::Window;

const NOW: Instant = Instant(10_000_000);
const MS: Duration = Duration::from_millis(1);

/// The state of a nested call of `class` with two tokens and 500 ms before the deadline, after its first attempt.
fn state(class: Class) -> State {
    State {
        class,
        call: Call::nested(2, 1).expect("the depth is allowed"),
        attempts: 1,
        in_flight: 0,
        hedged: false,
        response_bytes_sent: 0,
        untried_targets: 3,
        deadline: NOW + MS * 500,
        config: Config::default(),
    }
}

fn fail_attempt(state: &mut State, kind: FailureKind, budget: &mut Budget) -> Decision {
    let attempt = state.call.outgoing().expect("the depth is allowed");
    decide(state, &Failure { kind, attempt }, budget, NOW)
}

struct ProofCase {
    kind: FailureKind,
    not_run: bool,
}

/// Guards against a non-idempotent request, such as a payout, that runs twice because it was retried after a failure
/// that does not prove that the first attempt did not run.
#[rustfmt::skip]
const PROOF_CASES: &[ProofCase] = &[
    ProofCase { kind: FailureKind::Refused, not_run: true },
    ProofCase { kind: FailureKind::Unopened, not_run: true },
    ProofCase { kind: FailureKind::Unsent, not_run: true },
    ProofCase { kind: FailureKind::Fenced, not_run: true },
    ProofCase { kind: FailureKind::Lost, not_run: false },
    ProofCase { kind: FailureKind::Shedding(None), not_run: false },
    ProofCase { kind: FailureKind::Timeout, not_run: false },
    ProofCase { kind: FailureKind::Short, not_run: false },
];

#[test]
fn only_proven_failures_repeat_a_non_idempotent_request() {
    for case in PROOF_CASES {
        for class in [Class::Idempotent, Class::NonIdempotent] {
            let mut budget = Budget::new(BudgetConfig::default(), NOW);
            let decision = fail_attempt(&mut state(class), case.kind, &mut budget);
            let expected = if case.not_run || class == Class::Idempotent {
                retry_after_ms(0)
            } else {
                Decision::Stop(StopReason::NotProven(case.kind))
            };
            assert_eq!(decision, expected, "{:?} {class:?}", case.kind);
        }
    }
}

struct RetryCase {
    name: &'static str,
    kind: FailureKind,
    setup: fn(&mut State),
    expected: Decision,
}

#[rustfmt::skip]
const fn case(name: &'static str, kind: FailureKind, setup: fn(&mut State), expected: Decision) -> RetryCase {
    RetryCase { name, kind, setup, expected }
}

const fn retry_after_ms(ms: u64) -> Decision {
    let after = Duration::from_millis(ms);
    Decision::Retry { after }
}

const SHEDDING_FOR_100_MS: FailureKind = FailureKind::Shedding(Some(Duration::from_millis(100)));
const DEADLINE_REACHED: StopReason = StopReason::Deadline(Duration::ZERO);
const NO_TOKENS: StopReason = StopReason::Refused(Refusal::Tokens);
const WITHOUT_TOKENS: fn(&mut State) = |state| state.call = Call::nested(0, 1).expect("valid");

/// Guards against retries that harm the caller or the service: after response bytes were sent, too close to the
/// deadline, beyond the limits, or without the required backoff.
#[rustfmt::skip]
const RETRY_CASES: &[RetryCase] = &[
    case("response bytes already sent", FailureKind::Short, |s| s.response_bytes_sent = 1, Decision::Stop(StopReason::Answered(1))),
    case("deadline reached", FailureKind::Refused, |s| s.deadline = NOW, Decision::Stop(DEADLINE_REACHED)),
    case("maximum number of attempts", FailureKind::Refused, |s| s.attempts = 4, Decision::Stop(StopReason::Attempts(4))),
    case("no token", FailureKind::Lost, WITHOUT_TOKENS, Decision::Stop(NO_TOKENS)),
    case("another attempt in flight", FailureKind::Lost, |s| s.in_flight = 1, Decision::Stop(StopReason::InFlight(1))),
    case("quarantined", FailureKind::Quarantined, |_| (), Decision::Stop(StopReason::Quarantined)),
    case("backoff doubles", FailureKind::Refused, |s| s.attempts = 3, retry_after_ms(4)),
    case("no other target", FailureKind::Refused, |s| s.untried_targets = 0, retry_after_ms(2)),
    case("retry-after without another target", SHEDDING_FOR_100_MS, |s| s.untried_targets = 0, retry_after_ms(100)),
    case("no backoff with another target", SHEDDING_FOR_100_MS, |_| (), retry_after_ms(0)),
];

#[test]
fn retries_are_limited() {
    for case in RETRY_CASES {
        let mut budget = Budget::new(BudgetConfig::default(), NOW);
        let mut state = state(Class::Idempotent);
        (case.setup)(&mut state);
        let decision = fail_attempt(&mut state, case.kind, &mut budget);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

struct HedgeCase {
    name: &'static str,
    setup: fn(&mut State),
    p95_ms: Option<u64>,
    expected: Decision,
}

#[rustfmt::skip]
const fn hedge_case(name: &'static str, setup: fn(&mut State), p95_ms: Option<u64>, expected: Decision) -> HedgeCase {
    HedgeCase { name, setup, p95_ms, expected }
}

const HEDGE_LATER: Decision = Decision::Hedge {
    at: Instant(NOW.0 + 20_000),
};
const NON_IDEMPOTENT: fn(&mut State) = |s| s.class = Class::NonIdempotent;

/// Guards against a hedge that starts too early, is repeated, or runs a non-idempotent request twice.
#[rustfmt::skip]
const HEDGE_CASES: &[HedgeCase] = &[
    hedge_case("due", |_| (), Some(5), Decision::Hedge { at: NOW }),
    hedge_case("not due", |_| (), Some(30), HEDGE_LATER),
    hedge_case("non-idempotent", NON_IDEMPOTENT, Some(5), Decision::Stop(StopReason::NonIdempotent)),
    hedge_case("already hedged", |s| s.hedged = true, Some(5), Decision::Stop(StopReason::Hedged)),
    hedge_case("latency unknown", |_| (), None, Decision::Stop(StopReason::LatencyUnknown)),
];

#[test]
fn hedges_are_limited() {
    for case in HEDGE_CASES {
        let mut budget = Budget::new(BudgetConfig::default(), NOW);
        let mut state = state(Class::Idempotent);
        (case.setup)(&mut state);
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

struct QuantileCase {
    name: &'static str,
    fast_samples: usize,
    slow_samples: usize,
    after_s: u64,
    within_us: Option<(u128, u128)>,
}

#[rustfmt::skip]
const fn quantile(name: &'static str, (fast_samples, slow_samples): (usize, usize), after_s: u64, within_us: Option<(u128, u128)>) -> QuantileCase {
    QuantileCase { name, fast_samples, slow_samples, after_s, within_us }
}

/// Guards against hedges based on a wrong or outdated latency, or on too few samples.
#[rustfmt::skip]
const QUANTILE_CASES: &[QuantileCase] = &[
    quantile("few samples", (19, 0), 0, None),
    quantile("6% slow samples", (94, 6), 0, Some((50_000, 56_250))),
    quantile("4% slow samples", (96, 4), 0, Some((1_000, 1_125))),
    quantile("outdated samples", (100, 0), 20, None),
];

#[test]
fn p95_is_estimated() {
    for case in QUANTILE_CASES {
        let mut window = Window::new(Duration::from_secs(10), NOW);
        (0..case.fast_samples).for_each(|_| window.record(MS, NOW));
        (0..case.slow_samples).for_each(|_| window.record(MS * 50, NOW));
        let p95 = window.p95(NOW + Duration::from_secs(case.after_s));
        let within_range = match (p95.map(|p95| p95.as_micros()), case.within_us) {
            (Some(micros), Some((low, high))) => (low..=high).contains(&micros),
            (found, expected) => found.is_none() && expected.is_none(),
        };
        assert!(within_range, "{}: {p95:?}", case.name);
    }
}
