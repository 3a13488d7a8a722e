//! Tests of the statements of when requests will have room.

use std::time::Duration;

use shallotrill_limits::config::Config;
use shallotrill_limits::config::Ranks;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::outlook::Decision;
use shallotrill_limits::outlook::Request;
use shallotrill_limits::outlook::Statements;
use shallotrill_limits::ticket::Id;
use shallotrill_limits::ticket::Ticket;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::load::Outlook;
use shallotrill_model::load::Step;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

const RANKS: Ranks = Ranks {
    per_priority: 8,
    per_level: 64,
};

fn outlook(waits_ms: &[(u8, u32)]) -> Outlook {
    Outlook::new(waits_ms.iter().map(|(priority_max, ms)| Step {
        priority_max: *priority_max,
        wait_us: ms * 1_000,
    }))
}

struct Case {
    name: &'static str,
    /// Age in milliseconds and waits of the statement of each target; no waits when it has room at once.
    stated: &'static [(u64, &'static [(u8, u32)])],
    /// Priority, time to start in milliseconds and number of targets.
    request: (u8, u64, usize),
    sent: bool,
}

const FULL: &[(u8, u32)] = &[(255, 50), (252, 400), (240, 900)];

/// Guards against a refusal without proof that nothing has room, and against a request that is sent although each
/// target states that it cannot start in time.
const CASES: &[Case] = &[
    Case {
        name: "nothing is known",
        stated: &[],
        request: (252, 300, 5),
        sent: true,
    },
    Case {
        name: "three targets have no room",
        stated: &[(0, FULL), (100, FULL), (200, FULL)],
        request: (252, 300, 5),
        sent: false,
    },
    Case {
        name: "one of them has room",
        stated: &[(0, FULL), (100, FULL), (200, FULL), (50, &[])],
        request: (252, 300, 5),
        sent: true,
    },
    Case {
        name: "a statement is too old",
        stated: &[(0, FULL), (100, FULL), (301, FULL)],
        request: (252, 300, 5),
        sent: true,
    },
    Case {
        name: "a higher priority has room",
        stated: &[(0, FULL), (0, FULL), (0, FULL)],
        request: (253, 300, 5),
        sent: true,
    },
    Case {
        name: "a request with more time can start",
        stated: &[(0, FULL), (0, FULL), (0, FULL)],
        request: (252, 500, 5),
        sent: true,
    },
    Case {
        name: "the only target has no room",
        stated: &[(0, FULL)],
        request: (252, 300, 1),
        sent: false,
    },
];

fn statements(stated: &[(u64, &[(u8, u32)])], now: Instant) -> Statements {
    let mut statements = Statements::new(RANKS);
    for (number, (age_ms, waits)) in stated.iter().enumerate() {
        let name = instance::Name::new(&format!("t{number}")).unwrap();
        let stated = (!waits.is_empty()).then(|| outlook(waits));
        statements.record(&name, stated, Instant(now.0 - age_ms * 1_000));
    }
    statements
}

const NOW: Instant = Instant(10_000_000);

fn request((priority, start_ms, targets): (u8, u64, usize)) -> Request {
    Request {
        priority,
        start_within: Duration::from_millis(start_ms),
        targets,
        is_first: true,
    }
}

#[test]
fn requests_without_room_are_refused() {
    for case in CASES {
        let mut statements = statements(case.stated, NOW);
        let request = request(case.request);
        // The first one of its priority is sent in any case.
        assert_eq!(statements.decide(&request, NOW), Decision::Send);
        let sent = statements.decide(&request, NOW) == Decision::Send;
        assert_eq!(sent, case.sent, "{}", case.name);
    }
}

/// Guards against a kind of request that is refused as a whole, and against a lower priority with more time to start
/// that is sent while a higher one is refused.
#[test]
fn a_share_is_sent_and_a_lower_priority_gets_no_more() {
    let mut statements = statements(&[(0, FULL), (0, FULL), (0, FULL)], NOW);
    let mut sent = |kind| {
        let sent = (0..100).filter(|_| statements.decide(&request(kind), NOW) == Decision::Send);
        sent.count()
    };
    assert_eq!(sent((240, 2_000, 5)), 100);
    assert_eq!(sent((252, 300, 5)), 10);
    assert_eq!(sent((240, 2_000, 5)), 10);
}

/// Guards against a request that has used up its time at gates and keeps away those of a lower priority.
#[test]
fn a_request_that_gates_refused_keeps_no_other_away() {
    let mut statements = statements(&[(0, FULL), (0, FULL), (0, FULL)], NOW);
    let refused = Request {
        is_first: false,
        ..request((252, 1, 5))
    };
    let [_, second] = [(); 2].map(|()| statements.decide(&refused, NOW));
    assert!(matches!(second, Decision::Refuse(_)), "{second:?}");
    let lower = request((240, 2_000, 5));
    let decisions = [(); 2].map(|()| statements.decide(&lower, NOW));
    assert_eq!(decisions, [Decision::Send; 2]);
}

/// Guards against a statement that puts a request behind those that give way to it, or hides those ahead of it.
#[test]
fn a_gate_states_the_wait_of_each_priority() {
    let config = Config::new(Incarnation(1), 2, 20).service_time(Duration::from_millis(100));
    let mut gate = Gate::new(config.timely_first(RANKS));
    assert_eq!(gate.outlook(NOW), None);
    for (id, priority) in [250, 250, 252, 252, 240].into_iter().enumerate() {
        let ticket = Ticket {
            id: Id(id as u64),
            partner: partner::Name::new("p").unwrap(),
            priority,
            timely_until: NOW + Duration::from_secs(1),
            deadline: NOW + Duration::from_secs(2),
        };
        gate.offer(ticket, NOW);
    }
    let stated = gate.outlook(NOW).unwrap();
    // Two run. A new one waits for one end for each ticket ahead and one more, with two slots; of the tickets of one
    // partner with its own priority, one is ahead.
    let waits = [255, 252, 251, 240, 0].map(|priority| stated.wait(priority).as_millis());
    assert_eq!(waits, [50, 100, 100, 200, 200]);
}
