//! Tests for the state transitions of a record.

use shallotrill_claim::change::Change;
use shallotrill_claim::change::Decision;
use shallotrill_claim::change::Holder;
use shallotrill_claim::grant;
use shallotrill_claim::record::Record;
use shallotrill_claim::record::Refusal;
use shallotrill_claim::record::Report;
use shallotrill_model::attempt;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::outcome::Answer;
use shallotrill_model::outcome::Outcome;
use shallotrill_model::outcome::Reason;

struct Case {
    name: &'static str,
    /// Changes (kind, attempt, holder) and the result of each. Each change is also resent.
    steps: &'static str,
}

/// Guards against violations of the rules in section 6.2 of the design page, with a fault after each
/// step of a request.
const CASES: &[Case] = &[
    Case {
        name: "fault before the grant is durable: fenced, the delayed attempt is refused, the next runs",
        steps: "fence 1 = not run 1; open 1 a = refused: fenced 1; open 2 b = granted 2",
    },
    Case {
        name: "grant durable, node crashes before dispatch: running, then unknown, never granted again",
        steps: "open 1 a = granted 1; fence 1 = running; open 2 b = refused: open; \
                lapse 1 = unknown; fence 1 = unknown; open 2 b = refused: unknown",
    },
    Case {
        name: "grant durable, node refuses before dispatch: not run, the next runs",
        steps: "open 1 a = granted 1; not-run 1 a = not run 1; open 1 a = refused: fenced 1; \
                open 2 b = granted 2",
    },
    Case {
        name: "dispatched without a response: unknown, never granted again",
        steps: "open 1 a = granted 1; lapse 1 = unknown; open 1 a = refused: unknown; \
                open 2 a = refused: unknown",
    },
    Case {
        name: "response received but recorded after the grant expired: unknown becomes the response",
        steps: "open 1 a = granted 1; lapse 1 = unknown; finish 1 a = ran",
    },
    Case {
        name: "response recorded but lost on the way to the caller: the stored response is returned",
        steps: "open 1 a = granted 1; finish 1 a = ran; open 2 b = refused: done; \
                lapse 1 = refused: done; fence 1 = ran",
    },
    Case {
        name: "no quorum before the grant: the holder fences its own attempt",
        steps: "not-run 1 a = not run 1; open 1 a = refused: fenced 1",
    },
    Case {
        name: "a resent request receives its grant, another request does not",
        steps: "open 1 a = granted 1; again 1 a = refused: open; open 1 b = refused: open; \
                open 1 a = granted 1",
    },
    Case {
        name: "different content under the same key",
        steps: "fence 1 = not run 1; open-other 2 a = refused: reused",
    },
    Case {
        name: "another holder can neither finish the attempt nor give up its grant",
        steps: "open 1 a = granted 1; finish 1 b = refused: open; not-run 1 b = refused: open; \
                not-run 2 a = refused: open",
    },
    Case {
        name: "a duplicate request at the same node cannot give up the grant of the first",
        steps: "open 1 a = granted 1; again 1 a = refused: open; \
                not-run-again 1 a = refused: open; lapse 1 = unknown; \
                not-run-again 1 a = refused: unknown; not-run 1 a = not run 1",
    },
    Case {
        name: "settled as not run: the delayed response is refused, the next runs",
        steps: "open 1 a = granted 1; settle-not-run 1 = refused: open; lapse 1 = unknown; \
                settle-not-run 1 = not run 1; finish 1 a = refused: fenced 1; \
                open 2 b = granted 2; lapse 2 = unknown; settle-not-run 1 = refused: unknown",
    },
    Case {
        name: "settled as done: never granted again",
        steps: "open 1 a = granted 1; lapse 1 = unknown; settle-done 1 = ran; \
                settle-not-run 1 = refused: done; not-run 1 a = refused: done",
    },
    Case {
        name: "changes of a key without a record",
        steps: "finish 1 a = refused: no grant; lapse 1 = refused: no grant; \
                open 0 a = refused: attempt",
    },
];

fn change(text: &str) -> Change {
    let words: Vec<&str> = text.split(' ').collect();
    let attempt = attempt::Number(words[1].parse().unwrap());
    let holder = Holder {
        instance: instance::Name::new(words.get(2).unwrap_or(&"none")).unwrap(),
        incarnation: Incarnation(1),
    };
    let digest = Digest([u8::from(words[0] == "open-other"); 32]);
    let grant = grant::Id(u64::from(words[0].ends_with("again")));
    let reason = Reason::Refused;
    let answer = Answer {
        status: 200,
        content_type: String::new(),
        body: None,
        digest,
    };
    let settle = |decision| Change::Settle { attempt, decision };
    match words[0] {
        "finish" => Change::Finish {
            attempt,
            holder,
            answer,
        },
        "not-run" | "not-run-again" => Change::NotRun {
            digest,
            attempt,
            holder,
            grant,
            reason,
        },
        "fence" => Change::Fence { digest, attempt },
        "lapse" => Change::Lapse { attempt },
        "settle-done" => settle(Decision::Done(answer)),
        "settle-not-run" => settle(Decision::NotRun),
        _ => Change::Open {
            digest,
            attempt,
            holder,
            grant,
        },
    }
}

fn summary(outcome: &Result<Report, Refusal>) -> String {
    match outcome {
        Ok(Report::Granted { attempt, .. }) => format!("granted {attempt}"),
        Ok(Report::Outcome { attempt, outcome }) => match outcome {
            Outcome::Answer(_) => String::from("ran"),
            Outcome::Running => String::from("running"),
            Outcome::NotRun(_) => format!("not run {attempt}"),
            Outcome::Unknown => String::from("unknown"),
        },
        Ok(Report::Absent) => String::from("absent"),
        Err(Refusal::KeyReused(_)) => String::from("refused: reused"),
        Err(Refusal::Fenced(attempt)) => format!("refused: fenced {attempt}"),
        Err(Refusal::Open { .. }) => String::from("refused: open"),
        Err(Refusal::Done(_)) => String::from("refused: done"),
        Err(Refusal::Unknown(_)) => String::from("refused: unknown"),
        Err(Refusal::NoGrant) => String::from("refused: no grant"),
        Err(Refusal::Attempt(_)) => String::from("refused: attempt"),
    }
}

#[test]
fn changes_follow_the_rules_and_are_idempotent() {
    for case in CASES {
        let mut record = None;
        for (index, step) in case.steps.split("; ").enumerate() {
            let (step, expected) = step.split_once(" = ").unwrap();
            let change = change(step);
            let applied = Record::apply(record.as_ref(), &change);
            assert_eq!(
                summary(&applied.outcome),
                expected,
                "{}: {index}",
                case.name
            );
            if applied.outcome.is_err() {
                assert_eq!(applied.record, record, "{}: {index}", case.name);
            }
            let resent = Record::apply(applied.record.as_ref(), &change);
            assert_eq!(resent, applied, "{}: {index} resent", case.name);
            record = applied.record;
        }
    }
}
