//! The buckets of an allotment at its owner, and the credit of a router.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_limits::allotment::Answer;
use shallotrill_limits::allotment::Ask;
use shallotrill_limits::allotment::CREDIT_LIFETIME;
use shallotrill_limits::allotment::Limit;
use shallotrill_limits::allotment::Spent;
use shallotrill_limits::allotment::ledger::Ledger;
use shallotrill_limits::allotment::share::Decision;
use shallotrill_limits::allotment::share::Share;
use shallotrill_model::rate::Rate;
use shallotrill_model::time::Instant;
use shallotrill_model::workspace;

const EPOCH: u64 = 7;

fn name() -> workspace::Name {
    workspace::Name::new("w").expect("a valid name")
}

fn limit((rate, burst): (u32, u32)) -> Limit {
    Limit {
        rate: Rate::from_millihertz(rate * 1_000),
        burst,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[derive(Clone, Copy, Default)]
struct Request {
    router: u16,
    waiting: u32,
    ahead: u32,
    unused: u32,
    epoch: u64,
    elsewhere: &'static [(u32, u32)],
    is_substitute: bool,
}

const NONE: Request = Request {
    router: 1,
    waiting: 0,
    ahead: 0,
    unused: 0,
    epoch: EPOCH,
    elsewhere: &[],
    is_substitute: false,
};

const fn waiting(units: u32) -> Request {
    Request {
        waiting: units,
        ..NONE
    }
}

const fn substitute(units: u32) -> Request {
    Request {
        waiting: units,
        is_substitute: true,
        ..NONE
    }
}

#[derive(Clone, Copy)]
enum Step {
    /// Time passes while the owner hears from this number of routers.
    Run(u64, u32),
    /// Time passes without an observation.
    Suspend(u64),
    Limit((u32, u32)),
    Remove,
    /// A request, the units that are granted, and whether credit is ample.
    Ask(Request, u32, bool),
}

use Step::Ask as Asks;

struct LedgerCase {
    name: &'static str,
    limit: (u32, u32),
    steps: &'static [Step],
}

/// Guards against an owner that grants more than the rule allows after a change of its own state, of the routers it
/// hears from, or of the limit, and against one that loses returned credit.
const LEDGER_CASES: &[LedgerCase] = &[
    LedgerCase {
        name: "a new owner begins empty and fills at the rate once it hears from routers",
        limit: (100, 100),
        steps: &[
            Asks(waiting(5), 0, false),
            Step::Run(900, 10),
            Asks(waiting(200), 60, false),
        ],
    },
    LedgerCase {
        name: "an owner that was suspended begins empty",
        limit: (100, 100),
        steps: &[
            Step::Run(3_000, 10),
            Step::Suspend(7_000),
            Asks(waiting(5), 0, false),
        ],
    },
    LedgerCase {
        name: "an owner that hears from half of the routers has half of the credit",
        limit: (100, 100),
        steps: &[
            Step::Run(3_000, 10),
            Step::Run(3_000, 5),
            Asks(waiting(200), 50, false),
            Step::Run(300, 5),
            Asks(waiting(200), 15, false),
        ],
    },
    LedgerCase {
        name: "an owner that misses a few routers has all of the credit",
        limit: (100, 100),
        steps: &[
            Step::Run(3_000, 100),
            Step::Run(3_000, 96),
            Asks(waiting(200), 100, false),
        ],
    },
    LedgerCase {
        name: "units of other owners are subtracted unless they were spent before this one began",
        limit: (100, 100),
        steps: &[
            Step::Run(3_000, 10),
            Asks(
                Request {
                    waiting: 200,
                    elsewhere: &[(4_000, 50), (1_000, 30), (100, 20)],
                    ..NONE
                },
                50,
                false,
            ),
        ],
    },
    LedgerCase {
        name: "units spent ahead are subtracted, unused ones are added",
        limit: (1, 50),
        steps: &[
            Step::Run(60_000, 10),
            Asks(waiting(45), 45, false),
            Asks(
                Request {
                    waiting: 40,
                    ahead: 1,
                    unused: 20,
                    ..NONE
                },
                24,
                false,
            ),
        ],
    },
    LedgerCase {
        name: "unused units of another epoch are not added",
        limit: (1, 50),
        steps: &[
            Step::Run(60_000, 10),
            Asks(waiting(45), 45, false),
            Asks(
                Request {
                    waiting: 40,
                    unused: 20,
                    epoch: EPOCH + 1,
                    ..NONE
                },
                5,
                false,
            ),
        ],
    },
    LedgerCase {
        name: "a substitute grants what the rule allows beyond the rate, then its part of the rate",
        limit: (100, 100),
        steps: &[
            Step::Run(6_000, 50),
            Asks(substitute(200), 64, false),
            Step::Run(1_200, 50),
            Asks(substitute(200), 0, false),
            Step::Run(300, 50),
            Step::Run(900, 50),
            // One router and the margin of three: 4/50 of the rate for 1.2 s.
            Asks(substitute(200), 9, false),
        ],
    },
    LedgerCase {
        name: "a lowered limit applies at once",
        limit: (100, 100),
        steps: &[
            Step::Run(3_000, 10),
            Step::Limit((10, 10)),
            Asks(waiting(200), 10, false),
        ],
    },
    LedgerCase {
        name: "a workspace that is configured again begins empty",
        limit: (100, 100),
        steps: &[
            Step::Run(3_000, 10),
            Step::Remove,
            Step::Limit((100, 100)),
            Asks(waiting(5), 0, false),
        ],
    },
    LedgerCase {
        name: "credit is ample with a unit for each router, and those units are reserved",
        limit: (1_000, 1_000),
        steps: &[
            Step::Run(3_000, 300),
            Asks(waiting(1), 1, true),
            // 248 of 300 units are covered by the overdraft.
            Asks(waiting(2_000), 947, false),
        ],
    },
    LedgerCase {
        name: "credit is not ample for a small workspace",
        limit: (100, 100),
        steps: &[Step::Run(3_000, 300), Asks(waiting(1), 1, false)],
    },
];

#[test]
fn owner() {
    for case in LEDGER_CASES {
        let mut ledger = Ledger::new(EPOCH, Instant(0));
        let mut now = Instant(0);
        ledger.set_limits(&[(name(), limit(case.limit))], now);
        for (index, step) in case.steps.iter().enumerate() {
            match *step {
                Step::Run(period_ms, routers) => {
                    for _ in 0..period_ms / 300 {
                        now = now + Duration::from_millis(300);
                        ledger.record_contact(Some(now), now);
                        ledger.observe(routers, now);
                    }
                }
                Step::Suspend(period_ms) => now = now + Duration::from_millis(period_ms),
                Step::Limit(changed) => ledger.set_limits(&[(name(), limit(changed))], now),
                Step::Remove => ledger.set_limits(&[], now),
                Step::Ask(request, granted, is_ample) => {
                    let elsewhere = request.elsewhere.iter();
                    let ask = Ask {
                        workspace: name(),
                        waiting: request.waiting,
                        expected: 0,
                        ahead: request.ahead,
                        refused: 0,
                        unused: request.unused,
                        epoch: request.epoch,
                        elsewhere: elsewhere
                            .map(|&(age_ms, units)| Spent { age_ms, units })
                            .collect(),
                        is_substitute: request.is_substitute,
                    };
                    let answer = ledger.ask(address(request.router), &ask, true, now);
                    let answer = answer.expect("a known workspace");
                    let seen = (answer.granted, answer.is_ample);
                    assert_eq!(seen, (granted, is_ample), "{}: step {index}", case.name);
                }
            }
        }
    }
}

fn answer(granted: u32, empty_ms: u32, is_ample: bool) -> Answer {
    Answer {
        granted,
        epoch: EPOCH,
        empty_ms,
        spread_ms: 0,
        is_ample,
    }
}

/// Sends the next request of a share to an owner; the reply arrives at once.
fn exchange(share: &mut Share, owner: u16, answer: Answer, now: Instant) -> Ask {
    let ask = share.ask(address(owner), false, now).expect("a request");
    share.record_answer(&answer, now);
    ask
}

/// Guards against credit that is spent twice or after it has expired, and credit that is lost when it is not used.
#[test]
fn credit_expires_and_is_returned_once() {
    let start = Instant(1_000_000);
    let mut share = Share::new(name(), limit((100, 100)), start);
    assert_eq!(share.take(start), Decision::Ask);
    share.start_waiting();
    exchange(&mut share, 1, answer(3, 0, false), start);
    let Decision::Admit(unit) = share.take(start) else {
        panic!("no credit");
    };
    share.end_waiting();
    share.give_back(unit, start + Duration::from_millis(10));
    let later = start + CREDIT_LIFETIME;
    assert_eq!(share.take(later), Decision::Ask, "expired credit");
    let ask = exchange(&mut share, 1, answer(0, 0, false), later);
    assert_eq!((ask.unused, ask.epoch), (3, EPOCH));
    share.start_waiting();
    let ask = exchange(&mut share, 1, answer(0, 0, false), later);
    assert_eq!(ask.unused, 0, "returned twice");
}

/// Guards against a unit that is spent ahead although none is reserved, or twice, or that is not reported.
#[test]
fn one_unit_is_spent_ahead() {
    let start = Instant(1_000_000);
    let mut share = Share::new(name(), limit((1_000, 1_000)), start);
    share.start_waiting();
    exchange(&mut share, 1, answer(0, 0, true), start);
    share.end_waiting();
    assert!(matches!(share.take(start), Decision::Admit(_)));
    assert_eq!(share.take(start), Decision::Ask, "a second unit ahead");
    let failed = share.ask(address(1), false, start).expect("a report");
    assert_eq!(failed.ahead, 1);
    share.record_failure();
    let ask = exchange(&mut share, 2, answer(0, 0, true), start);
    assert_eq!(ask.ahead, 1, "the unit of the failed request");
    let expired = start + Duration::from_secs(1);
    assert_eq!(share.take(expired), Decision::Ask, "the statement expired");
}

/// Guards against units that a second owner does not know of, or that it subtracts twice.
#[test]
fn spent_units_are_reported_to_another_owner_once() {
    let start = Instant(1_000_000);
    let mut share = Share::new(name(), limit((100, 100)), start);
    share.start_waiting();
    exchange(&mut share, 1, answer(2, 0, false), start);
    for _ in 0..2 {
        assert!(matches!(share.take(start), Decision::Admit(_)));
    }
    let later = start + Duration::from_secs(1);
    let ask = exchange(&mut share, 2, answer(0, 0, false), later);
    let spent = Spent {
        age_ms: 1_000,
        units: 2,
    };
    assert_eq!(ask.elsewhere, [spent]);
    let ask = exchange(&mut share, 2, answer(0, 0, false), later);
    assert_eq!(ask.elsewhere, [], "reported twice");
    let much_later = later + Duration::from_secs(5);
    let ask = exchange(&mut share, 1, answer(0, 0, false), much_later);
    assert_eq!(ask.elsewhere, [], "spent before the window");
}

/// Guards against refusals after the owner's statement has expired, and more requests than the rate while no owner is
/// reachable.
#[test]
fn refusals_end_and_the_own_part_is_bounded() {
    let start = Instant(1_000_000);
    let mut share = Share::new(name(), limit((10, 10)), start);
    share.start_waiting();
    exchange(&mut share, 1, answer(0, 400, false), start);
    let empty = Duration::from_millis(400);
    let spread = Duration::ZERO;
    assert_eq!(share.take(start), Decision::Refuse { empty, spread });
    assert_eq!(share.take(start + empty), Decision::Ask);
    let ask = share.ask(address(1), false, start + empty);
    assert_eq!(ask.map(|ask| ask.refused), Some(1));
    let taken = (0..5_000).filter(|ms| {
        let now = start + Duration::from_millis(*ms);
        share.take_own(10, now).is_some()
    });
    assert_eq!(taken.count(), 4, "one request per second, beginning empty");
}

/// Guards against refused requests that all return at the same time: they are spread over the time in which the rate
/// serves them.
#[test]
fn refused_requests_are_spread() {
    let mut ledger = Ledger::new(EPOCH, Instant(0));
    ledger.set_limits(&[(name(), limit((10, 10)))], Instant(0));
    ledger.observe(10, Instant(0));
    let mut share = Share::new(name(), limit((10, 10)), Instant(0));
    share.start_waiting();
    let mut ask = share.ask(address(1), false, Instant(0)).expect("a request");
    for (refused, empty_ms, spread_ms) in [(0, 100, 100), (19, 100, 2_100), (1_000, 100, 5_000)] {
        ask.refused = refused;
        let answer = ledger.ask(address(1), &ask, true, Instant(0));
        let answer = answer.expect("a known workspace");
        assert_eq!((answer.empty_ms, answer.spread_ms), (empty_ms, spread_ms));
    }
}
