//! Tests of opening connections when the first attempts hang.

use std::cell::Cell;
use std::future;
use std::io;
use std::time::Duration;

use tokio::time;

use shallotrill_wire::dial;

/// Simulated outcome of one connection attempt.
#[derive(Clone, Copy)]
enum Outcome {
    Hang,
    Success,
    Refused,
}

struct Case {
    name: &'static str,
    /// One entry per attempt; the last one applies to all later attempts.
    attempts: &'static [Outcome],
    /// Number of the attempt that succeeded, or the error.
    expected: Result<usize, io::ErrorKind>,
}

/// Guards against a lost SYN that delays the connection until the timeout, and against a delayed report of an error.
const CASES: &[Case] = &[
    Case {
        name: "the first attempt succeeds",
        attempts: &[Outcome::Success],
        expected: Ok(1),
    },
    Case {
        name: "the first SYN is lost",
        attempts: &[Outcome::Hang, Outcome::Success],
        expected: Ok(2),
    },
    Case {
        name: "two SYNs are lost",
        attempts: &[Outcome::Hang, Outcome::Hang, Outcome::Success],
        expected: Ok(3),
    },
    Case {
        name: "connection refused",
        attempts: &[Outcome::Refused],
        expected: Err(io::ErrorKind::ConnectionRefused),
    },
    Case {
        name: "no attempt completes",
        attempts: &[Outcome::Hang],
        expected: Err(io::ErrorKind::TimedOut),
    },
];

/// Shorter than the 1 s after which the kernel retransmits a SYN.
const TIMEOUT: Duration = Duration::from_millis(900);

#[tokio::test]
async fn another_attempt_is_started_while_one_hangs() {
    for case in CASES {
        let started = Cell::new(0);
        let connect = || {
            let number = started.get() + 1;
            started.set(number);
            let index = (number - 1).min(case.attempts.len() - 1);
            let outcome = case.attempts[index];
            async move {
                match outcome {
                    Outcome::Hang => future::pending().await,
                    Outcome::Success => Ok(number),
                    Outcome::Refused => Err(io::ErrorKind::ConnectionRefused.into()),
                }
            }
        };
        let result = dial::race(connect, TIMEOUT).await;
        let result = result.map_err(|error| error.kind());
        assert_eq!(result, case.expected, "{}", case.name);
    }
}

/// Guards against the cancellation of an attempt that is merely slow.
#[tokio::test]
async fn a_slow_attempt_may_still_succeed() {
    let started = Cell::new(0);
    let connect = || {
        let number = started.get() + 1;
        started.set(number);
        async move {
            if number == 1 {
                time::sleep(TIMEOUT / 2).await;
                Ok(number)
            } else {
                future::pending().await
            }
        }
    };
    assert_eq!(dial::race(connect, TIMEOUT).await.ok(), Some(1));
}
