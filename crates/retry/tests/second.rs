//! Tests of second attempts, and a replay of a service of five targets with one slow.

use std::time::Duration;

use shallotrill_model::class::Class;
use shallotrill_model::time::Instant;
use shallotrill_retry::decision::Decision;
use shallotrill_retry::decision::StopReason;
use shallotrill_retry::second::Request;
use shallotrill_retry::second::Service;

const START: Instant = Instant(1_000_000);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const REQUEST: Request = Request {
    class: Class::Idempotent,
    attempts: 1,
    attempts_max: 2,
    untried_targets: 4,
    deadline: Instant(3_000_000),
};

/// A service with 100 response times of 1 to 100 ms and as many requests.
fn service(permille: u32) -> Service {
    let mut service = Service::new(permille, START);
    for number in 1..=100 {
        service.record_request();
        service.record_latency(ms(number), START);
    }
    service
}

struct Case {
    name: &'static str,
    request: Request,
    expected: fn(Decision) -> bool,
}

/// Guards against a second attempt of a request that must not run twice, or beyond the attempts of its route.
const CASES: &[Case] = &[
    Case {
        name: "slower than nearly all",
        request: REQUEST,
        expected: |decision| matches!(decision, Decision::Hedge { .. }),
    },
    Case {
        name: "not to be repeated",
        request: Request {
            class: Class::NonIdempotent,
            ..REQUEST
        },
        expected: |decision| decision == Decision::Stop(StopReason::NonIdempotent),
    },
    Case {
        name: "no attempt left",
        request: Request {
            attempts_max: 1,
            ..REQUEST
        },
        expected: |decision| decision == Decision::Stop(StopReason::Attempts(1)),
    },
    Case {
        name: "no other target",
        request: Request {
            untried_targets: 0,
            ..REQUEST
        },
        expected: |decision| decision == Decision::Stop(StopReason::NoTarget),
    },
];

#[test]
fn second_attempts_are_made_where_they_are_allowed() {
    for case in CASES {
        let decision = service(50).decide(&case.request, START, START + ms(200));
        assert!((case.expected)(decision), "{}: {decision:?}", case.name);
    }
}

/// Guards against a quantile that does not follow the share of extra work, and against more work than that share.
#[test]
fn the_share_of_extra_work_is_kept() {
    for (permille, at_ms, allowed) in [(50, 95..=108, 3), (20, 98..=112, 2), (10, 99..=112, 1)] {
        let mut service = service(permille);
        let Decision::Hedge { at } = service.decide(&REQUEST, START, START) else {
            panic!("{permille}: no second attempt");
        };
        let after = at.since(START).as_millis();
        assert!(at_ms.contains(&after), "{permille}: {after} ms");
        let made = (0..50).filter(|_| {
            let decision = service.decide(&REQUEST, START, START + ms(200));
            matches!(decision, Decision::Hedge { .. })
        });
        assert_eq!(made.count(), allowed, "{permille}");
    }
}

/// Replays 10,000 requests to five targets, of which one takes four times as long from the 2,000th on, and returns the
/// shares of requests slower than an objective of 500 ms and of second attempts.
fn replay(permille: u32) -> [f64; 2] {
    let mut service = Service::new(permille, START);
    let (mut late, mut second_attempts) = (0, 0);
    for number in 0..10_000_u64 {
        let now = START + ms(number * 10);
        // A low-discrepancy sequence instead of random numbers keeps the replay the same everywhere.
        let random = |factor: f64| (number as f64 * factor).fract();
        let work = |random: f64, slow: bool| {
            (160.0 * (0.5 + random) * if slow { 4.0 } else { 1.0 }) as u64
        };
        // The balancing among the targets keeps nearly all requests from the slow one.
        let slow = number >= 2_000 && random(0.618_033_988_75) < 0.03;
        let first = ms(work(random(0.754_877_666_25), slow));
        service.record_request();
        let request = Request {
            deadline: now + ms(2_000),
            ..REQUEST
        };
        let Decision::Hedge { at } = service.decide(&request, now, now) else {
            service.record_latency(first, now);
            late += u32::from(first > ms(500));
            continue;
        };
        let mut took = first;
        if now + first > at
            && permille > 0
            && matches!(service.decide(&request, now, at), Decision::Hedge { .. })
        {
            second_attempts += 1;
            let second = at.since(now) + ms(work(random(0.569_840_290_99), false));
            took = first.min(second);
        }
        service.record_latency(took, now);
        late += u32::from(took > ms(500));
    }
    [late, second_attempts].map(|count| f64::from(count) / 10_000.0)
}

/// Guards against responses of one slow target that are late although another target would answer in time.
#[test]
fn second_attempts_shorten_the_slowest_responses() {
    let ([late_without, _], [late, extra]) = (replay(0), replay(50));
    println!("late {late} with, {late_without} without, {extra} second attempts");
    assert!(
        late <= late_without * 0.25,
        "{late}, {late_without} without"
    );
    assert!(extra <= 0.05, "{extra}");
}
