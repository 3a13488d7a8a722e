//! Connections whose first tries hang.

use std::cell::Cell;
use std::future;
use std::io;
use std::time::Duration;

use tokio::time;

use shallotrill_wire::dial;

/// What becomes of one try.
#[derive(Clone, Copy)]
enum Try {
    Hangs,
    Opens,
    Refused,
}

struct Case {
    name: &'static str,
    /// By try; the last one stands for all later ones.
    tries: &'static [Try],
    /// Which try opened, or the error.
    expected: Result<usize, io::ErrorKind>,
}

/// Guards against a lost opening packet that costs the whole time limit, and against an error that is held back.
const CASES: &[Case] = &[
    Case {
        name: "the first try opens",
        tries: &[Try::Opens],
        expected: Ok(1),
    },
    Case {
        name: "the first packet is lost",
        tries: &[Try::Hangs, Try::Opens],
        expected: Ok(2),
    },
    Case {
        name: "two packets are lost",
        tries: &[Try::Hangs, Try::Hangs, Try::Opens],
        expected: Ok(3),
    },
    Case {
        name: "nothing listens",
        tries: &[Try::Refused],
        expected: Err(io::ErrorKind::ConnectionRefused),
    },
    Case {
        name: "nothing answers",
        tries: &[Try::Hangs],
        expected: Err(io::ErrorKind::TimedOut),
    },
];

/// The kernel's own repetition comes after this time.
const LIMIT: Duration = Duration::from_millis(900);

#[tokio::test]
async fn a_further_try_is_started_beside_one_that_hangs() {
    for case in CASES {
        let started = Cell::new(0);
        let dial = || {
            let number = started.get() + 1;
            started.set(number);
            let index = (number - 1).min(case.tries.len() - 1);
            let fate = case.tries[index];
            async move {
                match fate {
                    Try::Hangs => future::pending().await,
                    Try::Opens => Ok(number),
                    Try::Refused => Err(io::ErrorKind::ConnectionRefused.into()),
                }
            }
        };
        let result = dial::first(dial, LIMIT).await;
        let result = result.map_err(|error| error.kind());
        assert_eq!(result, case.expected, "{}", case.name);
    }
}

/// Guards against a first try that is given up although it only takes long.
#[tokio::test]
async fn a_slow_try_may_still_open() {
    let started = Cell::new(0);
    let dial = || {
        let number = started.get() + 1;
        started.set(number);
        async move {
            if number == 1 {
                time::sleep(LIMIT / 2).await;
                Ok(number)
            } else {
                future::pending().await
            }
        }
    };
    assert_eq!(dial::first(dial, LIMIT).await.ok(), Some(1));
}
