//! Tests of the limit on extra attempts in a tree of nested calls.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

use shallotrill_model::request;
use shallotrill_model::time::Instant;
use shallotrill_retry::budget;
use shallotrill_retry::budget::Budget;
use shallotrill_retry::call::Call;
use shallotrill_retry::call::DEPTH_MAX;
use shallotrill_retry::call::Refusal;
use shallotrill_retry::ledger::Ledger;

const NOW: Instant = Instant(1_000_000);
const ID: request::Id = request::Id(7);

/// Simulates one call tree and counts its extra attempts.
struct Tree {
    seed: u64,
    extra_attempts: u32,
    calls: u32,
    deepest: u8,
}

impl Tree {
    fn random(&mut self, bound: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.seed >> 33) % bound
    }

    /// Creates the budget of a nested service. It is large enough that only the tokens limit the extra attempts.
    fn large_budget() -> Budget {
        let config = budget::Config::default().floor_per_second(1_000);
        Budget::new(config, NOW)
    }

    fn run(&mut self, call: &mut Call, budget: &mut Budget) {
        self.calls += 1;
        self.deepest = self.deepest.max(call.depth());
        for attempt in 0..4 {
            if attempt > 0 {
                if call.charge_attempt(budget, NOW).is_err() {
                    return;
                }
                self.extra_attempts += 1;
            }
            let Ok(outgoing) = call.outgoing() else {
                return;
            };
            if self.random(8) == 0 {
                call.restore(outgoing);
            } else {
                let unspent = self.run_backend(outgoing.tokens, outgoing.depth);
                call.refund_unspent(outgoing, unspent);
            }
        }
    }

    /// Simulates a backend server that copies its header value into up to three nested calls. Returns the unspent tokens.
    fn run_backend(&mut self, tokens: u32, depth: u8) -> u32 {
        let mut ledger = Ledger::new(1);
        ledger.open(ID, tokens, NOW + Duration::from_secs(1));
        for _ in 0..=self.random(3) {
            let nested = Call::nested(ledger.draw(ID, tokens), depth);
            let Some(mut call) = nested.ok().filter(|_| self.calls < 20_000) else {
                return 0;
            };
            let mut budget = Self::large_budget();
            self.run(&mut call, &mut budget);
            ledger.refund(ID, call.finish(&mut budget));
        }
        ledger.close(ID)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Guards against extra attempts that multiply by level: 3 attempts at each of 13 levels would be 1.6 million.
    #[test]
    fn extra_attempts_are_limited_by_the_entry_node(seed in any::<u64>(), earned in 0_u32..200, tokens in 0_u32..20) {
        let config = budget::Config::default().permille(1_000).burst(100);
        let mut budget = Budget::new(config, NOW);
        (0..earned).for_each(|_| budget.earn());
        let before = budget.remaining();
        let mut call = Call::entry(&mut budget, tokens);
        let mut tree = Tree { seed, extra_attempts: 0, calls: 0, deepest: 0 };
        tree.run(&mut call, &mut budget);
        call.finish(&mut budget);
        prop_assert!(u64::from(tree.extra_attempts) <= before - budget.remaining());
        prop_assert!(tree.deepest <= DEPTH_MAX);
    }
}

struct DepthCase {
    depth: u8,
    tokens: Result<u32, Refusal>,
}

/// Guards against an unlimited call depth, and against tokens passed to a call at the maximum depth, which cannot use them.
#[rustfmt::skip]
const DEPTH_CASES: &[DepthCase] = &[
    DepthCase { depth: 0, tokens: Ok(4) },
    DepthCase { depth: 12, tokens: Ok(0) },
    DepthCase { depth: 13, tokens: Err(Refusal::Deep(14)) },
    DepthCase { depth: 15, tokens: Err(Refusal::Deep(15)) },
];

#[test]
fn depth_is_limited() {
    for case in DEPTH_CASES {
        let call = Call::nested(8, case.depth);
        let outgoing = call.and_then(|mut call| call.outgoing());
        let tokens = outgoing.map(|outgoing| outgoing.tokens);
        assert_eq!(tokens, case.tokens, "depth {}", case.depth);
    }
}

struct SpendingCase {
    name: &'static str,
    first_attempts: u32,
    seconds: u64,
    extra_attempts: usize,
}

#[rustfmt::skip]
const fn spending(name: &'static str, first_attempts: u32, seconds: u64, extra_attempts: usize) -> SpendingCase {
    SpendingCase { name, first_attempts, seconds, extra_attempts }
}

/// Guards against extra attempts beyond the share of first attempts, and against a service with few calls that can never retry.
#[rustfmt::skip]
const SPENDING_CASES: &[SpendingCase] = &[
    spending("the floor is available at the start", 0, 0, 1),
    spending("the floor does not accumulate", 0, 60, 1),
    spending("a tenth of first attempts and the floor", 100, 0, 11),
    spending("the burst is limited", 100_000, 0, 101),
];

#[test]
fn budget_is_a_share_of_first_attempts() {
    for case in SPENDING_CASES {
        let mut budget = Budget::new(budget::Config::default(), NOW);
        (0..case.first_attempts).for_each(|_| budget.earn());
        let now = NOW + Duration::from_secs(case.seconds);
        let extra_attempts = (0..1_000).filter(|_| budget.spend(now).is_ok()).count();
        assert_eq!(extra_attempts, case.extra_attempts, "{}", case.name);
    }
}
